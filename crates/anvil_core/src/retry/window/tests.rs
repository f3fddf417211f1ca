use googletest::prelude::*;

use super::*;

const ALLOWED: WindowLimits = WindowLimits {
    ratio: 0.2,
    slack_sends: 100.0,
    window: Duration::from_secs(10),
};

/// A time at which a host's first window is over.
const BEGUN: Duration = Duration::from_secs(10);

fn taken(budget: &mut Budget, host_count: usize, now: Duration) -> usize {
    (0..1000)
        .filter(|_| budget.try_take(&ALLOWED, Some(host_count), now))
        .count()
}

#[gtest]
fn try_take_divides_slack_among_hosts() {
    let mut sum = 0;
    for _ in 0..10 {
        sum += taken(&mut Budget::default(), 10, BEGUN);
    }
    expect_that!(sum, all![le(100), ge(70)]);
}

#[gtest]
fn try_take_follows_requests() {
    let mut budget = Budget::default();
    for _ in 0..1000 {
        budget.record_request(&ALLOWED, BEGUN);
    }
    expect_that!(taken(&mut budget, 1000, BEGUN), all![le(200), ge(150)]);
}

/// A storm: every request wants five extra sends, for a minute, and any window is looked at.
#[gtest]
fn try_take_holds_in_any_window_of_a_storm() {
    let mut budget = Budget::default();
    let mut sends = Vec::new();
    let mut requests = Vec::new();
    for tick in 0..6000 {
        let now = BEGUN + Duration::from_millis(tick * 10);
        requests.push(now);
        budget.record_request(&ALLOWED, now);
        for _ in 0..5 {
            if budget.try_take(&ALLOWED, Some(4), now) {
                sends.push(now);
            }
        }
    }
    for start in 0..50 {
        let from = BEGUN + Duration::from_secs(start);
        let window = from..from + ALLOWED.window;
        let extra = sends.iter().filter(|at| window.contains(at)).count() as f64;
        let asked = requests.iter().filter(|at| window.contains(at)).count() as f64;
        expect_that!(extra, le(0.2 * asked + 25.0), "from second {start}");
    }
}

#[gtest]
fn try_take_has_more_after_the_window() {
    let mut budget = Budget::default();
    let first = taken(&mut budget, 1, BEGUN);
    expect_that!(first, gt(0));
    expect_that!(taken(&mut budget, 1, BEGUN + Duration::from_secs(9)), eq(0));
    expect_that!(
        taken(&mut budget, 1, BEGUN + Duration::from_secs(12)),
        eq(first)
    );
}

/// All hosts of a fleet are killed in a storm and go on at once: both runs of a host together stay
/// within its part.
#[gtest]
fn try_take_leaves_slack_to_the_run_before() {
    let used_before = taken(&mut Budget::default(), 4, BEGUN);
    let mut restarted = Budget::default();
    for second in 0..10 {
        expect_that!(
            taken(&mut restarted, 4, Duration::from_secs(second)),
            eq(0),
            "{used_before} sends before the kill, second {second} after it"
        );
    }
}

#[gtest]
fn try_take_leaves_slack_while_fleet_is_unknown() {
    let mut budget = Budget::default();
    expect_that!(budget.try_take(&ALLOWED, None, BEGUN), eq(false));
    for _ in 0..10 {
        budget.record_request(&ALLOWED, BEGUN);
    }
    expect_that!(budget.try_take(&ALLOWED, None, BEGUN), eq(true));
}
