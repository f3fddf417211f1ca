use std::{
    collections::BTreeMap,
    future::Future,
    rc::Rc, //
};

use anvil_core::{
    exchange::{
        MessageKind,
        Presence,
        Summary, //
    },
    id::{
        TargetId,
        Version, //
    },
};
use googletest::prelude::*;
use rand::{
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::{
    task::{
        LocalSet,
        spawn_local, //
    },
    time::Instant,
};

use super::*;
use crate::{
    peers::Digest,
    port::{
        HostEntry,
        TargetChange,
        TargetEntry,
        TargetState, //
    },
    settings, //
};
use fakes::{
    Availability,
    FakeStore, //
};

mod fakes;
mod fleet;

const OLD_VERSION: Version = 7;
const NEW_VERSION: Version = 8;
/// Time after the end of an outage from which on all bounds hold again.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Bound on changes and on leaving targets in the settings of the tests.
const BOUND: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(5);

fn store() -> Rc<FakeStore> {
    let store = Rc::new(FakeStore::default());
    store.write_table(OLD_VERSION);
    store
}

/// Returns a gateway without peers, which therefore reads the store for itself.
fn lone_gateway(store: &Rc<FakeStore>, seed: u64) -> Rc<Gateway> {
    let text = r#"
        host_id = "own"
        data_centre = "a"
        processor_share = 0.1
        listen = { callers = "10.0.0.1:80", readiness = "10.0.0.1:81", peers = "127.0.0.1:0" }
        platform = { store = "10.0.0.2:80" }
    "#;
    let settings = settings::read("test", text).unwrap();
    let rng = SmallRng::seed_from_u64(seed);
    Rc::new(Gateway::with_rng(settings, fakes::platform(store), rng))
}

/// Records a digest of each of `count` peers in this data centre. All have more processor time than
/// this host, so that two of them read the store for it.
fn record_digests(gateway: &Gateway, count: usize) {
    let hosts: Vec<HostEntry> = (0..count)
        .map(|index| HostEntry {
            id: format!("peer-{index}").into(),
            address: "127.0.0.1:9".parse().unwrap(),
            key: "a1".repeat(16).into(),
            data_centre: "a".into(),
            processor_millis: 500,
        })
        .collect();
    let now = BootTime::now();
    let mut registry = gateway.peers.borrow_mut();
    registry.apply_list(&hosts, now);
    for host in hosts {
        let digest = digest(&host.id, count);
        registry.record_digest(&host.id, digest, now);
    }
}

/// Returns the digest in which a relay of this data centre tells of `count` hosts.
fn digest(host: &str, count: usize) -> Digest {
    let presence = Presence {
        live_hosts: count as u32,
        heard_hosts: count as u32,
        requests_per_s: 0.0,
    };
    Digest {
        kind: MessageKind::Summary,
        host: host.into(),
        sent: BootTime::now(),
        echo: None,
        table_version: OLD_VERSION,
        table_age: None,
        store_era: 0,
        targets_next: Position::default(),
        targets_age: None,
        listed_hosts: 0,
        summary: Summary {
            hosts: BTreeMap::from([("a".into(), presence)]),
            newest_table_version: OLD_VERSION,
            ..Summary::default()
        },
        is_cut: false,
        limits: Vec::new(),
        suspect_states: Vec::new(),
        target_changes: None,
    }
}

/// Records a digest of a known peer that has the new table.
fn record_digest_with_new_table(gateway: &Gateway) {
    let mut registry = gateway.peers.borrow_mut();
    let now = BootTime::now();
    for host in ["peer-0", "peer-1"] {
        let mut digest = digest(host, 2);
        // Newer than the digest that the peer may have sent at the same time.
        digest.sent = now.later(Duration::from_millis(1));
        digest.table_version = NEW_VERSION;
        digest.summary.newest_table_version = NEW_VERSION;
        registry.record_digest(&host.into(), digest, now);
    }
}

/// Returns a gateway with live peers, two of which read the store for it.
fn gateway_with_peers(store: &Rc<FakeStore>, count: usize, seed: u64) -> Rc<Gateway> {
    let gateway = lone_gateway(store, seed);
    record_digests(&gateway, count);
    let sender = Rc::clone(&gateway);
    spawn_local(async move {
        loop {
            sleep(Duration::from_millis(150)).await;
            record_digests(&sender, count);
        }
    });
    gateway
}

/// Records that a peer confirmed both the table and the target list as of now.
fn confirm_by_peer(gateway: &Gateway) {
    let now = BootTime::now();
    gateway
        .table_cache
        .confirm_current(now, Source::Peer("peer-0".into()));
    gateway.targets.confirm_current(now);
}

/// Confirms the table and the target list by a peer all the time. Never returns.
async fn confirm_always(gateway: Rc<Gateway>) {
    loop {
        confirm_by_peer(&gateway);
        sleep(Duration::from_millis(100)).await;
    }
}

fn version(gateway: &Gateway) -> Version {
    gateway.table_cache.version()
}

/// Runs a test on tokio's paused clock, which advances to the next timer whenever all tasks are
/// idle.
fn run_with_paused_clock(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

/// Waits until a condition holds and returns the time since `start`, or `None` after `limit`.
async fn time_until(
    start: Instant,
    limit: Duration,
    condition: impl Fn() -> bool,
) -> Option<Duration> {
    while !condition() {
        if start.elapsed() > limit {
            return None;
        }
        sleep(TICK).await;
    }
    Some(start.elapsed())
}

/// Guards against a host that waits out its long backoff although a peer has a newer table, which
/// shows that the store is back.
#[gtest]
fn follow_table_reads_soon_when_peer_has_newer_table() {
    run_with_paused_clock(async {
        let store = store();
        store.set_availability(Availability::Refusing);
        let gateway = gateway_with_peers(&store, 2, 1);
        spawn_local(follow_table(Rc::clone(&gateway)));
        sleep(Limits::for_bound(BOUND).overdue_delay_max * 2).await;
        expect_that!(store.table_calls.borrow().len(), ge(1));
        store.set_availability(Availability::Up);
        let notified_at = Instant::now();
        gateway.newer_table_notify.notify_one();
        while gateway.table_cache.table().is_none() {
            sleep(TICK).await;
        }
        expect_that!(notified_at.elapsed(), lt(backoff::BACKOFF_MAX));
    });
}

/// Guards against load on a store that is down: a host whose peers read for it must call seldom.
#[gtest]
fn follow_table_calls_failing_store_seldom() {
    run_with_paused_clock(async {
        let store = store();
        store.set_availability(Availability::Refusing);
        let gateway = gateway_with_peers(&store, 2, 1);
        spawn_local(follow_table(Rc::clone(&gateway)));
        for second in 0..20 {
            sleep(Duration::from_secs(1)).await;
            let limit = 2 + 4 * (second + 1);
            expect_that!(
                store.table_calls.borrow().len(),
                le(limit),
                "after {second} s"
            );
        }
        expect_that!(store.table_calls.borrow().len(), ge(10));
    });
}

/// Guards against a poll that an outage swallowed and that keeps a reader from the next change.
#[gtest]
fn follow_table_has_change_in_time_after_outage_swallowed_poll() {
    for outage_ms in (500..7000).step_by(50) {
        for ack_delay_ms in [50, 1000] {
            run_with_paused_clock(async {
                let store = store();
                let gateway = lone_gateway(&store, outage_ms);
                spawn_local(follow_table(Rc::clone(&gateway)));
                sleep(Duration::from_millis(3100)).await;
                store.set_availability(Availability::Silent);
                sleep(Duration::from_millis(outage_ms)).await;
                store.set_availability(Availability::Up);
                let ack_delay = Duration::from_millis(ack_delay_ms);
                sleep(ack_delay).await;
                store.write_table(NEW_VERSION);
                let bound = BOUND.max(SETTLE_TIME - ack_delay);
                let in_force = time_until(Instant::now(), BOUND * 3, || {
                    version(&gateway) == NEW_VERSION
                });
                expect_that!(
                    in_force.await,
                    some(le(bound)),
                    "outage of {outage_ms} ms, change {ack_delay_ms} ms after it"
                );
            });
        }
    }
}

/// Guards against a host that trusts its readers for longer than a change may take.
#[gtest]
fn follow_table_has_change_in_time_when_readers_fall_silent() {
    for ack_delay_ms in [1, 300, 700, 1500] {
        run_with_paused_clock(async {
            let store = store();
            let gateway = gateway_with_peers(&store, 2, 1);
            spawn_local(follow_table(Rc::clone(&gateway)));
            for _ in 0..40 {
                sleep(Duration::from_millis(100)).await;
                confirm_by_peer(&gateway);
            }
            sleep(Duration::from_millis(ack_delay_ms)).await;
            store.write_table(NEW_VERSION);
            let in_force = time_until(Instant::now(), BOUND * 3, || {
                version(&gateway) == NEW_VERSION
            });
            expect_that!(
                in_force.await,
                some(le(BOUND)),
                "change {ack_delay_ms} ms after the last confirmation"
            );
        });
    }
}

/// Guards against a backoff from an outage that goes on after a peer had an answer from the store.
#[gtest]
fn follow_table_has_change_in_time_when_peer_ended_outage() {
    for seed in 0..10 {
        run_with_paused_clock(async {
            let store = store();
            let gateway = gateway_with_peers(&store, 40, seed);
            spawn_local(follow_table(Rc::clone(&gateway)));
            sleep(Duration::from_secs(3)).await;
            store.set_availability(Availability::Silent);
            sleep(Duration::from_secs(10)).await;
            store.set_availability(Availability::Up);
            confirm_by_peer(&gateway);
            sleep(SETTLE_TIME - BOUND).await;
            store.write_table(NEW_VERSION);
            let in_force = time_until(Instant::now(), BOUND * 5, || {
                version(&gateway) == NEW_VERSION
            });
            expect_that!(in_force.await, some(le(BOUND)), "seed {seed}");
        });
    }
}

/// Guards against a reader that waits at the store although a peer has a change already.
#[gtest]
fn follow_table_abandons_wait_when_peer_is_ahead() {
    run_with_paused_clock(async {
        let store = store();
        let gateway = lone_gateway(&store, 1);
        spawn_local(follow_table(Rc::clone(&gateway)));
        sleep(Duration::from_millis(50)).await;
        // Swallows the call that is waiting, and no later one.
        store.set_availability(Availability::Silent);
        store.set_availability(Availability::Up);
        store.write_table(NEW_VERSION);
        record_digests(&gateway, 1);
        record_digest_with_new_table(&gateway);
        let in_force = time_until(Instant::now(), BOUND, || version(&gateway) == NEW_VERSION);
        expect_that!(in_force.await, some(le(DUE_CHECK_INTERVAL * 2)));
    });
}

/// Guards against load on the store from a host whose peer has a version that the store lacks.
#[gtest]
fn follow_table_asks_once_for_version_that_store_lacks() {
    run_with_paused_clock(async {
        let store = store();
        let gateway = gateway_with_peers(&store, 2, 1);
        spawn_local(follow_table(Rc::clone(&gateway)));
        spawn_local(confirm_always(Rc::clone(&gateway)));
        sleep(Duration::from_secs(1)).await;
        let ahead = Rc::clone(&gateway);
        spawn_local(async move {
            loop {
                record_digest_with_new_table(&ahead);
                sleep(Duration::from_millis(20)).await;
            }
        });
        store.table_calls.borrow_mut().clear();
        sleep(Duration::from_secs(5)).await;
        expect_that!(store.table_calls.borrow().len(), eq(1));
    });
}

/// Guards against readers that retry in step, so that one outage swallows the calls of all of them.
#[gtest]
fn follow_table_spreads_retries_after_common_notification() {
    run_with_paused_clock(async {
        let stores = [store(), store()];
        for (seed, store) in stores.iter().enumerate() {
            let gateway = lone_gateway(store, seed as u64);
            spawn_local(follow_table(Rc::clone(&gateway)));
            sleep(Duration::from_millis(20)).await;
            gateway.newer_table_notify.notify_one();
        }
        // Brings both to the same point, as a change does.
        for store in &stores {
            store.write_table(NEW_VERSION);
        }
        sleep(Duration::from_millis(20)).await;
        for store in &stores {
            store.table_calls.borrow_mut().clear();
            store.set_availability(Availability::Silent);
        }
        sleep(Duration::from_secs(12)).await;
        let [first, second] = stores.each_ref().map(|store| store.table_calls.borrow());
        let is_in_step = first
            .iter()
            .zip(second.iter())
            .all(|(left, right)| left.max(right).duration_since(*left.min(right)) < TICK);
        expect_that!(first.len(), ge(2));
        expect_that!(is_in_step, eq(false), "{first:?} and {second:?}");
    });
}

fn entry(state: TargetState) -> TargetEntry {
    TargetEntry {
        service: "service".into(),
        address: "10.0.0.4:80".parse().unwrap(),
        data_centre: "a".into(),
        slot_limit_requests: 4,
        state,
        kind: None,
        layers: None,
        started_unix_ms: 1,
    }
}

/// Guards against a leaving target that stays in use because of a backoff from an outage that a
/// peer saw end.
#[gtest]
fn follow_targets_sees_leaving_target_in_time_when_peer_ended_outage() {
    for seed in 0..10 {
        run_with_paused_clock(async {
            let id: TargetId = "target".into();
            let store = store();
            store.write_target(TargetChange::Put(id.clone(), entry(TargetState::Ready)));
            let gateway = gateway_with_peers(&store, 40, seed);
            let peers = Rc::new(Peers::open(Rc::clone(&gateway)).await.unwrap());
            spawn_local(follow_targets(Rc::clone(&gateway), peers));
            sleep(Duration::from_secs(3)).await;
            store.set_availability(Availability::Silent);
            sleep(Duration::from_secs(10)).await;
            store.set_availability(Availability::Up);
            confirm_by_peer(&gateway);
            sleep(SETTLE_TIME - BOUND).await;
            store.write_target(TargetChange::Put(id.clone(), entry(TargetState::Leaving)));
            let seen = time_until(Instant::now(), BOUND * 5, || {
                let target = gateway.targets.get(&id);
                target.is_some_and(|target| target.entry.borrow().state == TargetState::Leaving)
            });
            expect_that!(seen.await, some(le(BOUND)), "seed {seed}");
        });
    }
}

/// Guards against a host that goes on reading at its old offset after the store was restored from an
/// older copy, and so skips records that were written at lower ones.
#[gtest]
fn follow_table_reads_again_after_restore_that_reused_offsets() {
    for change_count in 1..4 {
        run_with_paused_clock(async {
            let store = store();
            for lost_version in 0..3 {
                store.write_table(OLD_VERSION + lost_version);
            }
            for _ in 0..3 {
                store.write_target(TargetChange::Put(
                    "target".into(),
                    entry(TargetState::Ready),
                ));
            }
            let gateway = lone_gateway(&store, change_count);
            spawn_local(follow_table(Rc::clone(&gateway)));
            sleep(Duration::from_secs(2)).await;
            store.set_availability(Availability::Silent);
            sleep(Duration::from_millis(700)).await;
            store.restore(3);
            let newest = OLD_VERSION + 10 + change_count;
            for index in (0..change_count).rev() {
                store.write_table(newest - index);
            }
            store.set_availability(Availability::Up);
            let in_force = time_until(Instant::now(), BOUND * 3, || version(&gateway) == newest);
            expect_that!(
                in_force.await,
                some(le(SETTLE_TIME)),
                "{change_count} changes"
            );
        });
    }
}

/// The same for the target list.
#[gtest]
fn follow_targets_reads_again_after_restore_that_reused_offsets() {
    run_with_paused_clock(async {
        let id: TargetId = "target".into();
        let store = store();
        store.write_target(TargetChange::Put(id.clone(), entry(TargetState::Ready)));
        store.write_target(TargetChange::Put("lost".into(), entry(TargetState::Ready)));
        let gateway = lone_gateway(&store, 1);
        let peers = Rc::new(Peers::open(Rc::clone(&gateway)).await.unwrap());
        spawn_local(follow_targets(Rc::clone(&gateway), peers));
        sleep(Duration::from_secs(2)).await;
        store.restore(1);
        store.write_target(TargetChange::Put(id.clone(), entry(TargetState::Leaving)));
        let seen = time_until(Instant::now(), BOUND * 3, || {
            let target = gateway.targets.get(&id);
            target.is_some_and(|target| target.entry.borrow().state == TargetState::Leaving)
        });
        expect_that!(seen.await, some(le(BOUND)));
        // The other one never registers again.
        sleep(BOUND * 2).await;
        expect_that!(gateway.targets.get(&"lost".into()).is_none(), eq(true));
    });
}

/// Guards against a host that started after a restore and serves by a table that its peers know to be
/// replaced: its keys may be revoked.
#[gtest]
fn follow_table_knows_that_restored_table_is_superseded() {
    run_with_paused_clock(async {
        let store = store();
        let gateway = gateway_with_peers(&store, 2, 1);
        let ahead = Rc::clone(&gateway);
        let sender = spawn_local(async move {
            loop {
                record_digest_with_new_table(&ahead);
                sleep(Duration::from_millis(20)).await;
            }
        });
        spawn_local(follow_table(Rc::clone(&gateway)));
        sleep(Duration::from_secs(1)).await;
        expect_that!(version(&gateway), eq(OLD_VERSION));
        expect_that!(gateway.is_table_superseded(), eq(true));
        // The operators write again what the store has lost.
        store.write_table(NEW_VERSION);
        let in_force = time_until(Instant::now(), BOUND * 2, || {
            version(&gateway) == NEW_VERSION
        });
        expect_that!(in_force.await, some(le(BOUND)));
        expect_that!(gateway.is_table_superseded(), eq(false));
        sender.abort();
    });
}

/// Guards against a host that counts as superseded while it only lags behind a peer.
#[gtest]
fn is_table_superseded_needs_answer_of_store() {
    run_with_paused_clock(async {
        let store = store();
        let gateway = gateway_with_peers(&store, 2, 1);
        spawn_local(follow_table(Rc::clone(&gateway)));
        sleep(Duration::from_secs(1)).await;
        store.set_availability(Availability::Silent);
        record_digest_with_new_table(&gateway);
        sleep(Duration::from_millis(100)).await;
        record_digest_with_new_table(&gateway);
        expect_that!(gateway.is_behind_peer(), eq(true));
        expect_that!(gateway.is_table_superseded(), eq(false));
    });
}

/// Guards against a table that counts as confirmed at the end of a wait that the store cut short: the
/// answer may have been under way for long.
#[gtest]
fn follow_table_counts_early_answer_from_its_request() {
    run_with_paused_clock(async {
        let store = store();
        let gateway = lone_gateway(&store, 1);
        store.wait_limit.set(Some(Duration::from_millis(10)));
        spawn_local(follow_table(Rc::clone(&gateway)));
        for _ in 0..100 {
            sleep(Duration::from_millis(1)).await;
            let answered = store.table_calls.borrow();
            if let [.., previous, _] = answered[..] {
                let current_as_of = gateway.table_cache.age().unwrap();
                expect_that!(current_as_of, ge(previous.elapsed()));
            }
        }
    });
}
