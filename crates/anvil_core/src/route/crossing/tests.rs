use googletest::prelude::*;

use super::*;

/// 55,000 tokens a second.
const PIPE_TIME_MS: f64 = 1e3 / 55_000.0;
const HOST_COUNT: usize = 100;
const REQUEST_TOKENS: f64 = 900.0;

/// A data centre lacks a layer, and every request wants to cross.
#[gtest]
fn allows_keeps_all_hosts_together_below_the_pipe() {
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
fn allows_keeps_unused_budget_for_a_while_only() {
    let mut budget = Budget::new(Duration::ZERO);
    let mut sends = 0;
    while budget.allows(PIPE_TIME_MS, HOST_COUNT, Duration::from_secs(60)) {
        budget.take(REQUEST_TOKENS);
        sends += 1;
    }
    expect_that!(sends, eq(1));
}

#[gtest]
fn allows_everything_without_a_pipe() {
    let mut budget = Budget::new(Duration::ZERO);
    budget.take(1e9);
    expect_that!(budget.allows(0.0, HOST_COUNT, Duration::ZERO), eq(true));
}
