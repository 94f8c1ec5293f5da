//! Generates arbitrary values from fixed seeds, so that every test run uses the same values.

use {
    bolero::{
        TypeGenerator,
        generator::bolero_generator::driver::{Options, Rng},
    },
    rand::{SeedableRng, rngs::StdRng},
};

/// Calls `check` with one arbitrary value for each seed in `0..count`.
///
/// The test engine of bolero is not used because it takes its seeds from the operating system.
pub fn for_each_seed<T: TypeGenerator>(count: u64, mut check: impl FnMut(T)) {
    for seed in 0..count {
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &Options::default());
        let value = T::generate(&mut driver).expect("the generator has enough bytes");
        check(value);
    }
}
