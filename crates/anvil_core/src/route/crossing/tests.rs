use googletest::prelude::*;

use super::*;

/// Time of one token on a pipe that carries 55,000 tokens per second.
const PIPE_TIME_MS: f64 = 1e3 / 55_000.0;
const HOST_COUNT: usize = 100;
const REQUEST_TOKENS: f64 = 900.0;

/// Guards against an overloaded pipe when a data centre lacks a layer and every request tries to
/// cross.
#[gtest]
fn allows_keeps_total_of_all_hosts_below_pipe_rate() {
    let mut sent_tokens = 0.0;
    for _ in 0..HOST_COUNT {
        let mut budget = Budget::new(Duration::ZERO);
        for tick in 0..1000 {
            let now = Duration::from_millis(tick * 20);
            if budget.allows(PIPE_TIME_MS, HOST_COUNT, now) {
                budget.take(REQUEST_TOKENS);
                sent_tokens += REQUEST_TOKENS;
            }
        }
    }
    let pipe_tokens = 20.0 * 1e3 / PIPE_TIME_MS;
    expect_that!(sent_tokens, all![lt(pipe_tokens), gt(0.4 * pipe_tokens)]);
}

#[gtest]
fn allows_limits_accumulated_budget() {
    let mut budget = Budget::new(Duration::ZERO);
    let mut crossing_count = 0;
    while budget.allows(PIPE_TIME_MS, HOST_COUNT, Duration::from_secs(60)) {
        budget.take(REQUEST_TOKENS);
        crossing_count += 1;
    }
    expect_that!(crossing_count, eq(1));
}

#[gtest]
fn allows_everything_without_pipe_time() {
    let mut budget = Budget::new(Duration::ZERO);
    budget.take(1e9);
    expect_that!(budget.allows(0.0, HOST_COUNT, Duration::ZERO), eq(true));
}
