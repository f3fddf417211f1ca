use googletest::prelude::*;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn failed(targets: &[&str], interval: Duration) -> Reachability {
    let mut reachability = Reachability::default();
    let mut now = SECOND;
    for target in targets {
        reachability.record_failure(&(*target).into(), now);
        now += interval;
    }
    reachability
}

#[gtest]
fn record_failure_suspects_own_link_after_several_targets() {
    expect_that!(failed(&["a"], SECOND).belief(), eq(Belief::Connected));
    expect_that!(
        failed(&["a", "a", "a"], SECOND / 4).belief(),
        eq(Belief::Connected)
    );
    expect_that!(
        failed(&["a", "b"], SECOND / 4).belief(),
        eq(Belief::Suspect)
    );
}

#[gtest]
fn record_failure_forgets_old_failures() {
    expect_that!(
        failed(&["a", "b"], 3 * SECOND).belief(),
        eq(Belief::Connected)
    );
}

#[gtest]
fn record_success_ends_suspicion_and_cut() {
    let mut reachability = failed(&["a", "b"], SECOND / 4);
    expect_that!(reachability.record_success(), eq(Belief::Suspect));
    expect_that!(reachability.belief(), eq(Belief::Connected));
    expect_that!(reachability.unreached_count(), eq(0));
    reachability.record_failed_probes();
    expect_that!(reachability.belief(), eq(Belief::Connected));
}

#[gtest]
fn suspect_is_new_only_while_connected() {
    let mut reachability = Reachability::default();
    expect_that!(reachability.suspect(), eq(true));
    expect_that!(reachability.belief(), eq(Belief::Suspect));
    expect_that!(reachability.suspect(), eq(false));
    reachability.record_failure(&"a".into(), SECOND);
    reachability.record_failed_probes();
    expect_that!(reachability.belief(), eq(Belief::Connected));
    expect_that!(reachability.suspect(), eq(true));
    reachability.record_failure(&"b".into(), SECOND);
    reachability.record_failed_probes();
    expect_that!(reachability.suspect(), eq(false));
    expect_that!(reachability.belief(), eq(Belief::CutOff));
    expect_that!(reachability.record_success(), eq(Belief::CutOff));
    expect_that!(reachability.suspect(), eq(true));
}

#[gtest]
fn record_failed_probes_confirms_suspicion() {
    let mut reachability = failed(&["a", "b"], SECOND / 4);
    reachability.record_failed_probes();
    expect_that!(reachability.belief(), eq(Belief::CutOff));
    expect_that!(
        reachability.record_failure(&"c".into(), 9 * SECOND),
        eq(Belief::CutOff)
    );
    expect_that!(reachability.unreached_count(), eq(3));
    expect_that!(reachability.record_success(), eq(Belief::CutOff));
}
