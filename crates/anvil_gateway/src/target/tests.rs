use googletest::prelude::*;

use super::*;

fn target() -> Target {
    let entry = TargetEntry {
        service: "service".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "a".into(),
        slot_limit_requests: 4,
        state: TargetState::Ready,
        kind: None,
        layers: None,
        started_unix_ms: 1,
    };
    Target::new("target".into(), entry)
}

#[gtest]
fn reported_slowdown_expires() {
    let now = Instant::now();
    let target = target();
    expect_that!(target.reported_slowdown(now), none());
    target.record_reported_slowdown(now, 12.0);
    expect_that!(target.reported_slowdown(now), some(eq(12.0)));
    expect_that!(
        target.reported_slowdown(now + REPORTED_SLOWDOWN_AGE_MAX),
        none()
    );
}

#[gtest]
fn reported_slowdown_is_at_least_one() {
    let now = Instant::now();
    let target = target();
    target.record_reported_slowdown(now, 0.2);
    expect_that!(target.reported_slowdown(now), some(eq(1.0)));
}
