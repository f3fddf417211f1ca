use std::time::Duration;

use googletest::prelude::*;

use super::{
    Decision,
    RateLimiter, //
};

#[gtest]
fn try_acquire_counts_lines_above_rate() {
    let limiter = RateLimiter::new(10);
    let written = (0..100)
        .filter(|_| limiter.try_acquire("route.chosen", Duration::ZERO) != Decision::Suppress)
        .count();
    expect_that!(written, eq(10));
    expect_that!(
        limiter.try_acquire("route.chosen", Duration::from_millis(100)),
        eq(Decision::Write {
            suppressed_lines: 90
        })
    );
}

#[gtest]
fn try_acquire_limits_events_separately() {
    let limiter = RateLimiter::new(1);
    expect_that!(
        limiter.try_acquire("a", Duration::ZERO),
        eq(Decision::Write {
            suppressed_lines: 0
        })
    );
    expect_that!(
        limiter.try_acquire("a", Duration::ZERO),
        eq(Decision::Suppress)
    );
    expect_that!(
        limiter.try_acquire("b", Duration::ZERO),
        eq(Decision::Write {
            suppressed_lines: 0
        })
    );
}

#[gtest]
fn try_acquire_refills_at_rate() {
    let limiter = RateLimiter::new(100);
    let written = (0..5000)
        .filter(|millis| {
            limiter.try_acquire("a", Duration::from_millis(*millis)) != Decision::Suppress
        })
        .count();
    // The full bucket allows 100 lines at the start, then the refill allows one every 10 ms.
    expect_that!(written, all!(ge(595), le(600)));
}
