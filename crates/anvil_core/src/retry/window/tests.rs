use googletest::prelude::*;

use super::*;

const ALLOWED: Allowed = Allowed {
    ratio: 0.2,
    slack_sends: 100.0,
    window: Duration::from_secs(10),
};

fn taken(budget: &mut Budget, host_count: usize, now: Duration) -> usize {
    (0..1000)
        .filter(|_| budget.try_take(&ALLOWED, host_count, now))
        .count()
}

#[gtest]
fn try_take_divides_slack_among_hosts() {
    let mut sum = 0;
    for _ in 0..10 {
        sum += taken(&mut Budget::default(), 10, Duration::ZERO);
    }
    expect_that!(sum, all![le(100), ge(70)]);
}

#[gtest]
fn try_take_follows_requests() {
    let mut budget = Budget::default();
    for _ in 0..1000 {
        budget.note_request(&ALLOWED, Duration::ZERO);
    }
    expect_that!(
        taken(&mut budget, 1000, Duration::ZERO),
        all![le(200), ge(150)]
    );
}

/// A storm: every request wants five extra sends, for a minute, and any window is looked at.
#[gtest]
fn try_take_holds_in_any_window_of_a_storm() {
    let mut budget = Budget::default();
    let mut sends = Vec::new();
    let mut requests = Vec::new();
    for tick in 0..6000 {
        let now = Duration::from_millis(tick * 10);
        requests.push(now);
        budget.note_request(&ALLOWED, now);
        for _ in 0..5 {
            if budget.try_take(&ALLOWED, 4, now) {
                sends.push(now);
            }
        }
    }
    for start in 0..50 {
        let window = Duration::from_secs(start)..Duration::from_secs(start + 10);
        let extra = sends.iter().filter(|at| window.contains(at)).count() as f64;
        let asked = requests.iter().filter(|at| window.contains(at)).count() as f64;
        expect_that!(extra, le(0.2 * asked + 25.0), "from second {start}");
    }
}

#[gtest]
fn try_take_has_more_after_the_window() {
    let mut budget = Budget::default();
    let first = taken(&mut budget, 1, Duration::ZERO);
    expect_that!(taken(&mut budget, 1, Duration::from_secs(9)), eq(0));
    expect_that!(taken(&mut budget, 1, Duration::from_secs(12)), eq(first));
}
