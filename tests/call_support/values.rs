//! Generated values from fixed seeds.

use {
    bolero::generator::{
        TypeGenerator,
        bolero_generator::driver::{Options, Rng},
    },
    rand::{SeedableRng, rngs::StdRng},
    std::fmt::Debug,
};

/// Number of seeds, and so of values, with which each property is checked.
const VALUES: u64 = 400;

/// Checks a property with values from fixed seeds, so that every run checks the same ones.
pub fn for_each_value<T: TypeGenerator + Clone + Debug>(check: impl Fn(T)) {
    for seed in 0..VALUES {
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &Options::default());
        if let Some(value) = T::generate(&mut driver) {
            println!("seed {seed}: {value:?}");
            check(value);
        }
    }
}
