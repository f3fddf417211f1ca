use googletest::prelude::*;

use super::*;

const HOLD_TIME: Duration = Duration::from_secs(2);

fn forecast(used_share: f64, tokens_per_s: [f64; 3], refused_share: f64) -> Forecast {
    let capacity = Capacity {
        total_tokens: 10_000.0,
        used_tokens: 10_000.0 * used_share,
    };
    let demand = tokens_per_s.iter().enumerate().map(|(rank, tokens_per_s)| {
        let demand = RankDemand {
            requests_per_s: tokens_per_s / 100.0,
            tokens_per_s: *tokens_per_s,
            refused_per_s: refused_share * tokens_per_s / 100.0,
        };
        (rank as Rank, demand)
    });
    Forecast::new(capacity, HOLD_TIME, demand.collect())
}

fn fractions(forecast: &Forecast) -> Vec<f64> {
    (0..3).map(|rank| forecast.fraction(rank).0).collect()
}

/// Guards against refusals while half of the capacity is free, whatever the demand.
#[gtest]
fn fraction_is_one_while_half_is_free() {
    let forecast = forecast(0.5, [1e5, 1e5, 1e5], 0.5);
    expect_that!(fractions(&forecast), each(eq(&1.0)));
}

#[gtest]
fn time_to_capacity_never_shorter_for_less_urgent() {
    let forecast = forecast(0.96, [1500.0, 1500.0, 6000.0], 0.3);
    let times: Vec<Duration> = (0..3).map(|rank| forecast.time_to_capacity(rank)).collect();
    expect_that!(times.is_sorted(), eq(true), "{times:?}");
    expect_that!(times[2], gt(times[0]));
}
