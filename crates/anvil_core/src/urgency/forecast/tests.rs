use googletest::prelude::*;

use super::*;

/// Guards against callers of a less urgent rank that are told to come back before others.
#[gtest]
fn time_to_capacity_never_shorter_for_less_urgent() {
    let capacity = Capacity {
        total_tokens: 10_000.0,
        used_tokens: 9600.0,
    };
    let demand = [(0, 1500.0), (1, 1500.0), (2, 6000.0)].map(|(rank, tokens_per_s)| {
        let demand = RankDemand {
            requests_per_s: tokens_per_s / 100.0,
            tokens_per_s,
            refused_per_s: 0.3 * tokens_per_s / 100.0,
        };
        (rank, demand)
    });
    let forecast = Forecast::new(capacity, Duration::from_secs(2), demand.into());
    let times = [0, 1, 2].map(|rank| forecast.time_to_capacity(rank));
    expect_that!(times.is_sorted(), eq(true), "{times:?}");
    expect_that!(times[2], gt(times[0]));
}
