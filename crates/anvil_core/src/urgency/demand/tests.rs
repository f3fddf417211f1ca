use googletest::prelude::*;

use super::*;

#[gtest]
fn per_s_follows_rate_and_forgets() {
    let mut demand = Demand::default();
    for index in 0..1000 {
        demand.record(1, 100.0, Duration::from_millis(20 * index));
        if index % 5 == 0 {
            demand.record_refused(1, Duration::from_millis(20 * index));
        }
    }
    let at_end = Duration::from_secs(20);
    let present = demand.per_s(at_end)[&1];
    expect_that!(present.requests_per_s, near(50.0, 2.0));
    expect_that!(present.tokens_per_s, near(5000.0, 200.0));
    expect_that!(present.refused_per_s, near(10.0, 2.0));
    expect_that!(demand.per_s(at_end + Duration::from_secs(60)).len(), eq(0));
}

/// Guards against digests that grow with the number of ranks.
#[gtest]
fn per_s_counts_least_urgent_ranks_together() {
    let mut demand = Demand::default();
    for rank in 0..40 {
        demand.record(rank, 1.0, Duration::ZERO);
    }
    let shared = demand.per_s(Duration::ZERO);
    expect_that!(shared.len(), eq(RANKS_MAX));
    let sum: f64 = shared.values().map(|demand| demand.requests_per_s).sum();
    expect_that!(sum, near(40.0, 1e-6));
}
