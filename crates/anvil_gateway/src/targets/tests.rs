use googletest::prelude::*;

use super::*;
use crate::port::TargetState;

/// A whole list of one target.
fn listed(id: &str) -> (Targets, Rc<Target>) {
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
fn own_avoided_tells_causes_apart() {
    let now = Instant::now();
    let (targets, target) = listed("target");
    let told = |cause| targets.own_avoided(cause, now).len();
    target.record_no_capacity(now);
    expect_that!(
        told(AvoidReason::Unresponsive) + told(AvoidReason::Refusing),
        eq(0)
    );
    expect_that!(target.is_avoided(now), eq(true));
    let (targets, target) = listed("target");
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
