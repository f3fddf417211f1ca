use googletest::prelude::*;

use super::*;

const ALLOWED: WindowLimits = WindowLimits {
    ratio: 0.2,
    slack_sends: 100.0,
    window: Duration::from_secs(10),
};

/// A time after a host's first window.
const AFTER_FIRST_WINDOW: Duration = Duration::from_secs(10);

fn count_taken(budget: &mut Budget, host_count: usize, now: Duration) -> usize {
    (0..1000)
        .filter(|_| budget.try_take(&ALLOWED, Some(host_count), now, Need::Resume))
        .count()
}

#[gtest]
fn try_take_divides_slack_among_hosts() {
    let mut sum = 0;
    for _ in 0..10 {
        sum += count_taken(&mut Budget::default(), 10, AFTER_FIRST_WINDOW);
    }
    expect_that!(sum, all![le(100), ge(70)]);
}

#[gtest]
fn try_take_follows_requests() {
    let mut budget = Budget::default();
    for _ in 0..1000 {
        budget.record_request(&ALLOWED, AFTER_FIRST_WINDOW);
    }
    expect_that!(
        count_taken(&mut budget, 1000, AFTER_FIRST_WINDOW),
        all![le(200), ge(150)]
    );
}

/// For one minute every request tries five extra sends. The limits must hold in every window,
/// checked from each second on.
#[gtest]
fn try_take_retry_storm_stays_within_limits_in_every_window() {
    let mut budget = Budget::default();
    let mut sends = Vec::new();
    let mut requests = Vec::new();
    for tick in 0..6000 {
        let now = AFTER_FIRST_WINDOW + Duration::from_millis(tick * 10);
        requests.push(now);
        budget.record_request(&ALLOWED, now);
        for _ in 0..5 {
            if budget.try_take(&ALLOWED, Some(4), now, Need::Resume) {
                sends.push(now);
            }
        }
    }
    for start in 0..50 {
        let from = AFTER_FIRST_WINDOW + Duration::from_secs(start);
        let window = from..from + ALLOWED.window;
        let extra = sends.iter().filter(|at| window.contains(at)).count() as f64;
        let requested = requests.iter().filter(|at| window.contains(at)).count() as f64;
        expect_that!(extra, le(0.2 * requested + 25.0), "from second {start}");
    }
}

#[gtest]
fn try_take_allows_more_after_window() {
    let mut budget = Budget::default();
    let first = count_taken(&mut budget, 1, AFTER_FIRST_WINDOW);
    expect_that!(first, gt(0));
    expect_that!(
        count_taken(&mut budget, 1, AFTER_FIRST_WINDOW + Duration::from_secs(9)),
        eq(0)
    );
    expect_that!(
        count_taken(&mut budget, 1, AFTER_FIRST_WINDOW + Duration::from_secs(12)),
        eq(first)
    );
}

/// All hosts are killed during a retry storm and restart at once. Both runs of a host together must
/// stay within its part of `slack_sends`, in each window that holds sends of both.
#[gtest]
fn try_take_both_runs_of_restarted_host_stay_within_slack() {
    let host_slack = ALLOWED.slack_sends / 4.0;
    let used_before = count_taken(&mut Budget::default(), 4, AFTER_FIRST_WINDOW);
    let mut restarted = Budget::default();
    let mut used_after = 0;
    for second in 0..10 {
        used_after += count_taken(&mut restarted, 4, Duration::from_secs(second));
        expect_that!(
            (used_before + used_after) as f64,
            le(host_slack),
            "{used_before} sends before the kill, second {second} after it"
        );
    }
    expect_that!(used_after, gt(0));
}

/// Only requests whose callers have part of an answer use the slack in a host's first window.
#[gtest]
fn try_take_first_window_keeps_slack_for_resumed_streams() {
    for need in [Need::Hedge, Need::Replace] {
        let mut budget = Budget::default();
        for second in 0..10 {
            let now = Duration::from_secs(second);
            expect_that!(budget.try_take(&ALLOWED, Some(4), now, need), eq(false));
        }
    }
}

/// Guards against hedges that use up the budget of requests which would be cut or fail without a retry.
#[gtest]
fn try_take_keeps_part_of_budget_for_greater_need() {
    let mut budget = Budget::default();
    let mut taken = [Need::Hedge, Need::Replace, Need::Resume].map(|need| {
        let takes = |_: &usize| budget.try_take(&ALLOWED, Some(1), AFTER_FIRST_WINDOW, need);
        (0..1000).filter(takes).count()
    });
    expect_that!(taken, each(gt(0)));
    taken.sort_unstable();
    expect_that!(taken.iter().sum::<usize>(), all![le(100), ge(70)]);
}

#[gtest]
fn try_take_unknown_host_count_uses_no_slack() {
    let mut budget = Budget::default();
    expect_that!(
        budget.try_take(&ALLOWED, None, AFTER_FIRST_WINDOW, Need::Resume),
        eq(false)
    );
    for _ in 0..10 {
        budget.record_request(&ALLOWED, AFTER_FIRST_WINDOW);
    }
    expect_that!(
        budget.try_take(&ALLOWED, None, AFTER_FIRST_WINDOW, Need::Resume),
        eq(true)
    );
}
