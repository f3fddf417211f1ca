use googletest::prelude::*;
use tokio::time::advance;

use super::*;
use crate::port::{
    ResponseMetadata,
    TargetState, //
};

const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Longer than the entries of targets last without renewal.
const OUTAGE: Duration = Duration::from_secs(8);
/// Time after an outage in which entries that lapsed during it are written again.
const RELIST_TIME: Duration = Duration::from_secs(2);

fn entry() -> TargetEntry {
    TargetEntry {
        service: "service".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "a".into(),
        slot_limit_requests: 4,
        state: TargetState::Ready,
        kind: None,
        layers: None,
        started_unix_ms: 1,
    }
}

/// Returns a complete list with one target.
fn list_with(id: &str) -> (Targets, Rc<Target>) {
    let targets = Targets::new(HEARTBEAT);
    let changes = vec![TargetChange::Put(id.into(), entry())];
    targets.replace(changes, Position::new(0, 1), BootTime::now());
    let target = targets.get(&id.into()).unwrap();
    (targets, target)
}

#[gtest]
fn own_avoided_distinguishes_reasons() {
    let now = Instant::now();
    let (targets, target) = list_with("target");
    let avoided_count = |reason| targets.own_avoided(reason, now, |_| true).len();
    target.record_no_capacity(now);
    expect_that!(
        avoided_count(AvoidReason::Unresponsive) + avoided_count(AvoidReason::Refusing),
        eq(0)
    );
    expect_that!(target.is_avoided(now), eq(true));
    let (targets, target) = list_with("target");
    target.record_refusing(now);
    expect_that!(
        targets
            .own_avoided(AvoidReason::Refusing, now, |_| true)
            .len(),
        eq(1)
    );
    expect_that!(
        targets
            .own_avoided(AvoidReason::Unresponsive, now, |_| true)
            .len(),
        eq(0)
    );
    let later = now + Duration::from_secs(60);
    expect_that!(
        targets
            .own_avoided(AvoidReason::Refusing, later, |_| true)
            .len(),
        eq(0)
    );
}

/// Runs a test on tokio's paused clock.
fn run_with_paused_clock(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(test);
}

/// Guards against a host that drops live targets after an outage in which their entries lapsed.
#[gtest]
fn apply_keeps_target_whose_entry_lapsed_in_outage() {
    run_with_paused_clock(async {
        let (targets, target) = list_with("target");
        advance(OUTAGE).await;
        targets.apply(
            vec![TargetChange::Removed("target".into())],
            Position::new(0, 2),
            BootTime::now(),
        );
        expect_that!(target.is_listed_ready(), eq(true));
        advance(RELIST_TIME.mul_f64(0.9)).await;
        let again = vec![TargetChange::Put("target".into(), entry())];
        targets.apply(again, Position::new(0, 3), BootTime::now());
        advance(RELIST_TIME).await;
        targets.apply(Vec::new(), Position::new(0, 3), BootTime::now());
        expect_that!(target.is_listed_ready(), eq(true));
        expect_that!(
            Rc::ptr_eq(&targets.get(&"target".into()).unwrap(), &target),
            eq(true)
        );
    });
}

/// The same for a host that reads the whole list after the outage.
#[gtest]
fn replace_keeps_target_whose_entry_lapsed_in_outage() {
    run_with_paused_clock(async {
        let (targets, target) = list_with("target");
        advance(OUTAGE).await;
        targets.replace(Vec::new(), Position::new(0, 2), BootTime::now());
        expect_that!(target.is_listed_ready(), eq(true));
    });
}

/// Guards against targets that stay listed although they did not come back after an outage.
#[gtest]
fn apply_removes_target_that_stays_away_after_outage() {
    run_with_paused_clock(async {
        let (targets, target) = list_with("target");
        advance(OUTAGE).await;
        let removal = vec![TargetChange::Removed("target".into())];
        targets.apply(removal, Position::new(0, 2), BootTime::now());
        advance(RELIST_TIME.mul_f64(1.1)).await;
        targets.apply(Vec::new(), Position::new(0, 2), BootTime::now());
        expect_that!(target.is_listed_ready(), eq(false));
        expect_that!(targets.get(&"target".into()).is_none(), eq(true));
    });
}

/// Guards against a host that keeps a target although the store was away for this host alone.
#[gtest]
fn apply_removes_target_at_once_after_isolation() {
    run_with_paused_clock(async {
        let (targets, target) = list_with("target");
        advance(OUTAGE).await;
        targets.record_isolation();
        let removal = vec![TargetChange::Removed("target".into())];
        targets.apply(removal, Position::new(0, 2), BootTime::now());
        expect_that!(target.is_listed_ready(), eq(false));
    });
}

/// Guards against peers that lose a target for good because the host that reads for them kept it.
#[gtest]
fn effective_changes_contains_renewed_entry_of_lapsed_target() {
    run_with_paused_clock(async {
        let (targets, _target) = list_with("target");
        let renewal = [TargetChange::Put("target".into(), entry())];
        expect_that!(targets.effective_changes(&renewal).len(), eq(0));
        advance(OUTAGE).await;
        let removal = vec![TargetChange::Removed("target".into())];
        targets.apply(removal, Position::new(0, 2), BootTime::now());
        expect_that!(targets.effective_changes(&renewal).len(), eq(1));
    });
}

/// Guards against a host that keeps a target that left, because the store turned this host away while
/// it served its peers.
#[gtest]
fn apply_removes_target_at_once_when_peers_were_answered() {
    run_with_paused_clock(async {
        let (targets, target) = list_with("target");
        for _ in 0..8 {
            advance(OUTAGE / 8).await;
            targets.record_store_answer(BootTime::now());
        }
        let removal = vec![TargetChange::Removed("target".into())];
        targets.apply(removal, Position::new(0, 2), BootTime::now());
        expect_that!(target.is_listed_ready(), eq(false));
    });
}

/// Guards against a host that reads the list late after an outage and then keeps a target that left.
#[gtest]
fn apply_keeps_target_no_longer_than_relist_time_after_first_answer() {
    run_with_paused_clock(async {
        let (targets, target) = list_with("target");
        advance(OUTAGE).await;
        targets.record_store_answer(BootTime::now());
        advance(RELIST_TIME.mul_f64(1.1)).await;
        let removal = vec![TargetChange::Removed("target".into())];
        targets.apply(removal, Position::new(0, 2), BootTime::now());
        expect_that!(target.is_listed_ready(), eq(false));
    });
}

#[gtest]
fn apply_removes_target_at_once_while_list_is_current() {
    run_with_paused_clock(async {
        let (targets, target) = list_with("target");
        advance(Duration::from_secs(1)).await;
        let removal = vec![TargetChange::Removed("target".into())];
        targets.apply(removal, Position::new(0, 2), BootTime::now());
        expect_that!(target.is_listed_ready(), eq(false));
    });
}

/// Guards against a host that drops live targets because the store lost their entries.
#[gtest]
fn replace_keeps_target_whose_entry_was_lost_in_restore() {
    run_with_paused_clock(async {
        let (targets, target) = list_with("target");
        targets.replace(Vec::new(), Position::new(1, 0), BootTime::now());
        expect_that!(target.is_listed_ready(), eq(true));
        advance(RELIST_TIME.mul_f64(1.1)).await;
        targets.apply(Vec::new(), Position::new(1, 0), BootTime::now());
        expect_that!(target.is_listed_ready(), eq(false));
    });
}

/// Guards against changes of one era that are applied to a list of another.
#[gtest]
fn apply_peer_changes_ignores_other_era() {
    let (targets, target) = list_with("target");
    let removal = [TargetChange::Removed("target".into())];
    targets.apply_peer_changes(1, &removal, Position::new(1, 2), BootTime::now());
    expect_that!(target.is_listed_ready(), eq(true));
    targets.apply_peer_changes(1, &removal, Position::new(0, 2), BootTime::now());
    expect_that!(target.is_listed_ready(), eq(false));
}

fn leaving_answer() -> ResponseMetadata {
    ResponseMetadata {
        is_leaving: true,
        ..ResponseMetadata::default()
    }
}

/// Guards against requests to a target that stated in an answer that it is shutting down, while the
/// list still calls it ready.
#[gtest]
fn apply_answer_ends_use_of_leaving_target_for_its_run() {
    let now = Instant::now();
    let (targets, target) = list_with("target");
    targets.apply_answer(&target, &leaving_answer(), now, 0.5);
    expect_that!(target.accepts(now), eq(false));
    expect_that!(targets.own_leaving(), elements_are![eq(&target.id_hash)]);
    // Neither an answer without the statement nor a renewal of the entry ends it.
    targets.apply_answer(&target, &ResponseMetadata::default(), now, 0.5);
    let renewal = vec![TargetChange::Put("target".into(), entry())];
    targets.apply(renewal.clone(), Position::new(0, 2), BootTime::now());
    expect_that!(target.accepts(now), eq(false));
    // Nor does a listing after the target had gone.
    let removal = vec![TargetChange::Removed("target".into())];
    targets.apply(removal, Position::new(0, 3), BootTime::now());
    targets.apply(renewal, Position::new(0, 4), BootTime::now());
    let listed = targets.get(&"target".into()).unwrap();
    expect_that!(listed.accepts(now), eq(false));
    // Another run takes requests.
    let next_run = TargetEntry {
        started_unix_ms: 2,
        ..entry()
    };
    let listing = vec![TargetChange::Put("target".into(), next_run)];
    targets.apply(listing, Position::new(0, 5), BootTime::now());
    let listed = targets.get(&"target".into()).unwrap();
    expect_that!(listed.accepts(now), eq(true));
    expect_that!(targets.own_leaving().len(), eq(0));
}

/// Guards against requests to a target within the time for which it wants none, and against hosts that
/// come back together.
#[gtest]
fn apply_answer_closes_target_for_stated_time() {
    let now = Instant::now();
    let stated = Duration::from_secs(3);
    let answer = |retry_after| ResponseMetadata {
        retry_after: Some(retry_after),
        ..ResponseMetadata::default()
    };
    let mut closed_times = Vec::new();
    for random_unit in [0.0, 0.5, 0.999] {
        let (targets, target) = list_with("target");
        expect_that!(target.accepts(now), eq(true));
        targets.apply_answer(&target, &answer(stated), now, random_unit);
        expect_that!(target.accepts(now), eq(false));
        expect_that!(target.accepts(now + stated.mul_f64(0.99)), eq(false));
        expect_that!(target.accepts(now + stated * 2), eq(true));
        // A shorter time does not shorten a longer one.
        targets.apply_answer(&target, &answer(Duration::ZERO), now, random_unit);
        expect_that!(target.closed_for(now), ge(stated));
        closed_times.push(target.closed_for(now));
    }
    closed_times.dedup();
    expect_that!(closed_times.len(), eq(3));
    let (targets, target) = list_with("target");
    targets.apply_answer(&target, &answer(Duration::from_secs(1 << 40)), now, 0.999);
    expect_that!(target.closed_for(now), le(CLOSED_TIME_MAX * 2));
}

/// Guards against an answer that overtakes a later one, at a peer or on another connection.
#[gtest]
fn record_limit_keeps_latest_statement() {
    let now = Instant::now();
    let (_targets, target) = list_with("target");
    let statement = |limit_per_s, age_ms| Statement {
        limit_per_s,
        stated_at: (now - Duration::from_millis(age_ms)).into_std(),
    };
    expect_that!(target.record_limit(statement(Some(14.6), 50)), eq(true));
    expect_that!(target.record_limit(statement(None, 60)), eq(false));
    expect_that!(target.limit_per_s(now), some(eq(14.6)));
    expect_that!(target.record_limit(statement(Some(14.6), 40)), eq(false));
    expect_that!(target.record_limit(statement(None, 10)), eq(true));
    expect_that!(target.limit_per_s(now), none());
}

/// Guards against digests that name every target without a limit.
#[gtest]
fn record_limit_ignores_target_that_never_stated_one() {
    let now = Instant::now();
    let (_targets, target) = list_with("target");
    let without_limit = |age_ms| Statement {
        limit_per_s: None,
        stated_at: (now - Duration::from_millis(age_ms)).into_std(),
    };
    target.record_limit(without_limit(50));
    expect_that!(target.limit_statement(now).is_none(), eq(true));
}

/// Guards against a peer that stays behind because one datagram with changes was lost.
#[gtest]
fn changes_since_returns_what_peer_missed() {
    let targets = Targets::new(Duration::from_secs(1));
    let change = |id: &str| TargetChange::Removed(id.into());
    let at = |offset| Position::new(2, offset);
    let now = BootTime::now();
    targets.replace(Vec::new(), at(10), now);
    targets.keep_changes(at(10), at(20), &[change("one")]);
    targets.apply(vec![change("one")], at(20), now);
    targets.apply_peer_changes(20, &[], at(30), now);
    targets.apply_peer_changes(25, &[change("two")], at(40), now);
    for (position, expected) in [
        (at(9), None),
        (at(10), Some(vec!["one", "two"])),
        (at(20), Some(vec!["two"])),
        (at(35), Some(vec!["two"])),
        (at(40), None),
        (Position::new(1, 20), None),
    ] {
        let missed = targets.changes_since(position);
        let expected = expected.map(|ids| ids.into_iter().map(change).collect::<Vec<_>>());
        expect_that!(missed, eq(&expected), "{position}");
    }
    // What was read up to the newest position is not kept.
    targets.replace(Vec::new(), at(50), now);
    expect_that!(targets.changes_since(at(30)), none());
    // After a gap only the later reads are complete.
    targets.apply_peer_changes(50, &[], at(60), now);
    expect_that!(targets.changes_since(at(30)), none());
    expect_that!(targets.changes_since(at(50)), some(is_empty()));
}
