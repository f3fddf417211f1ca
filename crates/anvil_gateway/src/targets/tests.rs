use googletest::prelude::*;

use super::*;
use crate::port::TargetState;

/// Returns a complete list with one target.
fn list_with(id: &str) -> (Targets, Rc<Target>) {
    let targets = Targets::default();
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
    let changes = vec![TargetChange::Put(id.into(), entry)];
    targets.replace(changes, 1, BootTime::now());
    let target = targets.get(&id.into()).unwrap();
    (targets, target)
}

#[gtest]
fn own_avoided_distinguishes_reasons() {
    let now = Instant::now();
    let (targets, target) = list_with("target");
    let avoided_count = |reason| targets.own_avoided(reason, now).len();
    target.record_no_capacity(now);
    expect_that!(
        avoided_count(AvoidReason::Unresponsive) + avoided_count(AvoidReason::Refusing),
        eq(0)
    );
    expect_that!(target.is_avoided(now), eq(true));
    let (targets, target) = list_with("target");
    target.record_refusing(now);
    expect_that!(targets.own_avoided(AvoidReason::Refusing, now).len(), eq(1));
    expect_that!(
        targets.own_avoided(AvoidReason::Unresponsive, now).len(),
        eq(0)
    );
    let later = now + Duration::from_secs(60);
    expect_that!(
        targets.own_avoided(AvoidReason::Refusing, later).len(),
        eq(0)
    );
}
