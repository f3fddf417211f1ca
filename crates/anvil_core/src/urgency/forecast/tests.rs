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

/// Load: calm, at a steady four fifths of the capacity.
#[gtest]
fn fraction_is_one_in_steady_load() {
    let per_s = 0.8 * 10_000.0 / HOLD_TIME.as_secs_f64() / 3.0;
    expect_that!(fractions(&forecast(0.8, [per_s; 3], 0.0)), each(eq(&1.0)));
}

/// Load: a surge of the least urgent rank, which alone is limited.
#[gtest]
fn fraction_falls_for_surging_rank_alone() {
    let fractions = fractions(&forecast(0.9, [1000.0, 1000.0, 9000.0], 0.0));
    expect_that!(fractions[..2], each(eq(&1.0)));
    expect_that!(fractions[2], lt(0.5));
}

/// Load: engines are lost and more is used than there is.
#[gtest]
fn fraction_keeps_floor_without_free_memory() {
    let forecast = forecast(1.2, [2000.0, 2000.0, 2000.0], 0.0);
    expect_that!(fractions(&forecast)[2], eq(FRACTION_MIN));
    expect_that!(forecast.fraction(2).1, eq(Cause::Capacity));
}

#[gtest]
fn time_to_capacity_never_shorter_for_less_urgent() {
    let forecast = forecast(0.96, [1500.0, 1500.0, 6000.0], 0.3);
    let times: Vec<Duration> = (0..3).map(|rank| forecast.time_to_capacity(rank)).collect();
    expect_that!(times.is_sorted(), eq(true), "{times:?}");
    expect_that!(times[2], gt(times[0]));
}
