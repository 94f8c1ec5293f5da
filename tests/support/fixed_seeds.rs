//! Arbitrary values from fixed seeds, so that every run tests the same values.

use {
    bolero::{
        TypeGenerator,
        generator::bolero_generator::driver::{Options, Rng},
    },
    rand::{SeedableRng, rngs::StdRng},
};

/// Calls `check` with one arbitrary value for each seed from 0; the test engine of bolero draws its seeds
/// from the operating system instead.
pub fn for_each_seed<T: TypeGenerator>(count: u64, mut check: impl FnMut(T)) {
    for seed in 0..count {
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &Options::default());
        let value = T::generate(&mut driver).expect("the generator has enough bytes");
        check(value);
    }
}
