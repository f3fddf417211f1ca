use googletest::prelude::*;

use super::*;

fn watched_since(start: Instant) -> RunClock {
    let clock = RunClock::default();
    clock.last_run.set(Some(start));
    clock
}

#[gtest]
fn lost_time_is_zero_before_watch() {
    let clock = RunClock::default();
    clock.observe(Instant::now() + Duration::from_secs(5));
    expect_that!(clock.lost_time(), eq(Duration::ZERO));
}

#[gtest]
fn lost_time_is_zero_while_ticks_are_on_time() {
    let start = Instant::now();
    let clock = watched_since(start);
    for index in 1..=50 {
        clock.observe(start + TICK * index);
    }
    expect_that!(clock.lost.get(), eq(Duration::ZERO));
}

#[gtest]
fn lost_time_adds_up_gaps() {
    let start = Instant::now();
    let clock = watched_since(start);
    let gap = Duration::from_millis(1600);
    clock.observe(start + gap);
    clock.observe(start + gap + TICK);
    clock.observe(start + gap + TICK + gap);
    expect_that!(clock.lost.get(), eq(2 * gap));
}
