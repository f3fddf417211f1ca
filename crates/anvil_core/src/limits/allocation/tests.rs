use googletest::prelude::*;
use proptest::{
    prelude::{
        ProptestConfig,
        proptest, //
    },
    test_runner::RngSeed, //
};

use super::*;

#[gtest]
fn allocate_contended_is_proportional() {
    let shares = allocate(10.0, 0.0, &[1.0, 20.0, 3.0, 16.0]);
    expect_that!(
        shares,
        elements_are![eq(&0.25), eq(&5.0), eq(&0.75), eq(&4.0)]
    );
}

#[gtest]
fn allocate_uncontended_leaves_reserve() {
    let shares = allocate(100.0, 5.0, &[10.0, 0.0]);
    expect_that!(shares[0], ge(10.0));
    expect_that!(shares[1], gt(0.0));
    expect_that!(shares.iter().sum::<f64>(), near(95.0, 1e-9));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn allocate_any_demands_stays_within_pool(
        pool in 0.0..1e6_f64,
        demands in proptest::collection::vec(0.0..1e5_f64, 0..50),
    ) {
        let shares = allocate(pool, pool * 0.05, &demands);
        let sum: f64 = shares.iter().sum();
        proptest::prop_assert!(sum <= pool * (1.0 + 1e-9));
        let wanted: f64 = demands.iter().sum();
        // Nothing is left unused while a demand is unmet.
        proptest::prop_assert!(sum >= wanted.min(pool) * (1.0 - 1e-9));
    }
}
