use googletest::prelude::*;

use super::*;

#[gtest]
fn next_check_at_precedes_resend_at() {
    let started_at = Instant::now();
    let mut stall_timer = StallTimer::start(started_at, Duration::ZERO);
    expect_that!(stall_timer.next_check_at(), lt(stall_timer.resend_at()));
    stall_timer.checked_at = Some(stall_timer.next_check_at());
    expect_that!(
        stall_timer.next_check_at(),
        gt(started_at + STALL_CHECK_DELAY)
    );
    expect_that!(stall_timer.resend_at(), eq(started_at + STALL_RESEND_DELAY));
}

/// Callers disconnect after two seconds without an event, so the request must be sent again before.
#[gtest]
fn resend_at_precedes_caller_timeout() {
    const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
    let started_at = Instant::now();
    let mut stall_timer = StallTimer::start(started_at, Duration::ZERO);
    expect_that!(stall_timer.resend_at(), lt(started_at + CALLER_TIMEOUT));
    stall_timer.repaired_at = Some(started_at + STALL_CHECK_DELAY + REPAIR_TIMEOUT);
    expect_that!(stall_timer.resend_at(), lt(started_at + CALLER_TIMEOUT));
}

#[gtest]
fn resend_at_allows_time_after_repair() {
    let started_at = Instant::now();
    let mut stall_timer = StallTimer::start(started_at, Duration::ZERO);
    let repaired_at = started_at + Duration::from_millis(1200);
    stall_timer.repaired_at = Some(repaired_at);
    expect_that!(
        stall_timer.resend_at(),
        eq(repaired_at + REPAIR_RESEND_DELAY)
    );
}
