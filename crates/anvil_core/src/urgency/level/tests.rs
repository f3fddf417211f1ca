use std::collections::BTreeMap;

use googletest::prelude::*;

use super::*;
use crate::urgency::{
    RankDemand,
    capacity::Capacity, //
};

const RANKS: [Rank; 3] = [0, 1, 2];

fn forecast(used_share: f64, tokens_per_s: f64) -> Forecast {
    let capacity = Capacity {
        total_tokens: 10_000.0,
        used_tokens: 10_000.0 * used_share,
    };
    let demand = RankDemand {
        requests_per_s: tokens_per_s / 100.0,
        tokens_per_s,
        refused_per_s: 0.0,
    };
    let demand: BTreeMap<Rank, RankDemand> = RANKS.map(|rank| (rank, demand)).into();
    Forecast::new(capacity, Duration::from_secs(2), demand)
}

/// Updates a level every 100 ms, and returns the fractions after each update.
fn updates(level: &mut Level, forecast: &Forecast, from_ms: u64, count: u64) -> Vec<[f64; 3]> {
    (1..=count)
        .map(|index| {
            let now = Duration::from_millis(from_ms + 100 * index);
            level.update(&RANKS, forecast, now);
            RANKS.map(|rank| level.fraction(rank))
        })
        .collect()
}

/// Load: engines are lost. The least urgent ranks fall to the floor within a second; once the engines
/// are back, the ranks rise slowly, the least urgent last.
#[gtest]
fn update_falls_fast_and_rises_slowly_in_order() {
    let mut level = Level::default();
    let fallen = updates(&mut level, &forecast(1.3, 3000.0), 0, 10);
    expect_that!(fallen[0][2], ge(0.7));
    expect_that!(fallen[9][2], eq(0.05));
    let risen = updates(&mut level, &forecast(0.6, 500.0), 1000, 70);
    expect_that!(risen[0][0] - fallen[9][0], le(0.051));
    for fractions in &risen {
        expect_that!(fractions[0], ge(fractions[1]));
        expect_that!(fractions[1], ge(fractions[2]));
        if fractions[2] > 0.06 {
            expect_that!(fractions[1], ge(RISEN_FRACTION));
        }
    }
    expect_that!(risen[69], eq([1.0; 3]));
}

/// Guards against a request that is held back while half of the capacity is free, because the fractions
/// rise slowly.
#[gtest]
fn admits_all_while_half_is_free() {
    let mut level = Level::default();
    updates(&mut level, &forecast(1.3, 3000.0), 0, 10);
    expect_that!(level.admits(2, 0.9), eq(false));
    updates(&mut level, &forecast(0.4, 3000.0), 1000, 1);
    expect_that!(level.admits(2, 0.9), eq(true));
}

/// Failure: the table changes ranks under load. New ranks start at 1, and old ones are forgotten.
#[gtest]
fn update_starts_unknown_rank_at_one() {
    let mut level = Level::default();
    updates(&mut level, &forecast(1.3, 3000.0), 0, 10);
    expect_that!(level.fraction(7), eq(1.0));
    level.update(&[0, 7], &forecast(0.6, 100.0), Duration::from_millis(1100));
    expect_that!(level.fraction(1), eq(1.0));
    expect_that!(level.fractions.len(), eq(2));
}

/// Guards against less urgent requests that are admitted while engines refuse more urgent ones for
/// causes that the memory doesn't show, and against ranks that are closed without need.
#[gtest]
fn update_counts_refusals_against_least_urgent_first() {
    let mut level = Level::default();
    let mut forecast = forecast(0.6, 500.0);
    forecast.demand.get_mut(&0).unwrap().refused_per_s = 4.0;
    let falling = updates(&mut level, &forecast, 0, 30);
    expect_that!(level.cause(1), eq(Cause::Refusals));
    let closed = falling.iter().position(|fractions| fractions[2] <= 0.05);
    expect_that!(falling[closed.unwrap() - 1][1], eq(1.0));
    expect_that!(falling[29], eq([1.0, 0.05, 0.05]));
}

/// Load: a long shortage, in which most requests that aren't admitted are refused at once.
#[gtest]
fn may_admit_within_only_while_rising() {
    let within = Duration::from_millis(250);
    let mut level = Level::default();
    updates(&mut level, &forecast(1.3, 3000.0), 0, 10);
    expect_that!(level.may_admit_within(2, 0.06, within), eq(false));
    expect_that!(level.may_admit_within(2, 0.04, within), eq(true));
    updates(&mut level, &forecast(0.6, 500.0), 1000, 1);
    let present = level.fraction(1);
    expect_that!(level.may_admit_within(1, present + 0.1, within), eq(true));
    expect_that!(level.may_admit_within(1, present + 0.2, within), eq(false));
}

/// Load: engines refuse urgent requests although their memory has room, as after a loss. Guards against
/// ranks that close because of refusals which capacity doesn't explain.
#[gtest]
fn update_ignores_refusals_where_loads_are_known() {
    let mut level = Level::default();
    let mut forecast = forecast(0.6, 500.0);
    forecast.demand.get_mut(&0).unwrap().refused_per_s = 4.0;
    forecast.counts_refusals = false;
    let fractions = updates(&mut level, &forecast, 0, 30);
    expect_that!(fractions, each(eq(&[1.0, 1.0, 1.0])));
}
