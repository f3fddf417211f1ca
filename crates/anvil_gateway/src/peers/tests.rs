use std::time::Duration;

use anvil_core::id::LayerRange;
use googletest::prelude::*;
use tokio::time::Instant;

use super::*;
use crate::port::{
    TargetEntry,
    TargetState, //
};

fn key(text: &str) -> Key {
    Key::from_hex(&text.repeat(16)).unwrap()
}

fn digest(host: &str) -> Digest {
    Digest {
        host: host.into(),
        data_centre: "a".into(),
        processor_millis: 170,
        sent: BootTime::from_millis(5000),
        echo: Some(BootTime::from_millis(4000)),
        table_version: 3,
        table_age: Some(Duration::from_millis(70)),
        targets_next: 12,
        targets_age: None,
        loads: vec![TargetLoad {
            target_hash: 7,
            sequences: 2.0,
            token_layers: 5000.0,
            sent_requests: 1.0,
        }],
        avoided: vec![7, 8],
        refusing: vec![9],
        slow: vec![SlowTarget {
            target_hash: 8,
            slowdown: 12.5,
        }],
        news: Some(News {
            from: 9,
            changes: vec![
                TargetChange::Removed("gone".into()),
                TargetChange::Put(
                    "new".into(),
                    TargetEntry {
                        service: "service".into(),
                        address: "10.0.0.1:80".parse().unwrap(),
                        data_centre: "a".into(),
                        slot_limit_requests: 4,
                        state: TargetState::Leaving,
                        kind: Some("kind".into()),
                        layers: Some((LayerRange { first: 3, end: 5 }, 1)),
                        started_unix_ms: 99,
                    },
                ),
            ],
        }),
    }
}

#[gtest]
fn open_gives_what_was_sealed() {
    let sealed = datagram::seal(&digest("peer"), &key("a1")).unwrap();
    expect_that!(datagram::sender(&sealed).as_deref(), some(eq("peer")));
    expect_that!(
        datagram::open(&sealed, &key("a1")),
        some(eq(&digest("peer")))
    );
}

#[gtest]
fn open_refuses_other_key_and_changed_bytes() {
    let sealed = datagram::seal(&digest("peer"), &key("a1")).unwrap();
    expect_that!(datagram::open(&sealed, &key("a2")), none());
    for index in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[index] ^= 1;
        expect_that!(datagram::open(&changed, &key("a1")), none(), "byte {index}");
    }
    for length in 0..sealed.len() {
        expect_that!(datagram::open(&sealed[..length], &key("a1")), none());
    }
}

#[gtest]
fn loads_sums_peers_and_forgets_silent_ones() {
    let mut view = PeerRegistry::default();
    let start = Instant::now();
    for host in ["one", "two"] {
        view.register(host.into(), "10.0.0.1:80".parse().unwrap(), key("a1"));
    }
    view.record_digest(&"one".into(), digest("one"), start);
    view.record_digest(&"two".into(), digest("two"), start + Duration::from_secs(1));
    let load = |at| {
        view.loads(at)
            .get(&7)
            .copied()
            .unwrap_or_default()
            .sequences
    };
    expect_that!(load(start + Duration::from_secs(1)), eq(4.0));
    expect_that!(load(start + Duration::from_secs(2)), eq(2.0));
    expect_that!(load(start + Duration::from_secs(9)), eq(0.0));
}

#[gtest]
fn take_drops_digest_older_than_last() {
    let mut view = PeerRegistry::default();
    let now = Instant::now();
    view.register("one".into(), "10.0.0.1:80".parse().unwrap(), key("a1"));
    view.record_digest(&"one".into(), digest("one"), now);
    let mut old = digest("one");
    old.sent = BootTime::from_millis(100);
    old.loads.clear();
    view.record_digest(&"one".into(), old, now);
    expect_that!(view.loads(now).len(), eq(1));
}

#[gtest]
fn is_reader_holds_for_two_of_a_data_centre() {
    let names = ["one", "two", "three", "four"];
    let now = Instant::now();
    let mut readers = 0;
    for own in names {
        let mut view = PeerRegistry::default();
        for host in names.iter().filter(|host| **host != own) {
            view.register((*host).into(), "10.0.0.1:80".parse().unwrap(), key("a1"));
            view.record_digest(&(*host).into(), digest(host), now);
        }
        readers += u32::from(view.is_reader(&own.into(), 170, &"a".into(), now));
    }
    expect_that!(readers, eq(2));
}

#[gtest]
fn is_reader_holds_for_a_host_alone() {
    let view = PeerRegistry::default();
    expect_that!(
        view.is_reader(&"one".into(), 170, &"a".into(), Instant::now()),
        eq(true)
    );
}

#[gtest]
fn is_reader_prefers_hosts_with_processor_time() {
    let now = Instant::now();
    let mut view = PeerRegistry::default();
    for (host, processor_millis) in [("one", 84), ("two", 500), ("three", 500), ("four", 84)] {
        view.register(host.into(), "10.0.0.1:80".parse().unwrap(), key("a1"));
        let mut digest = digest(host);
        digest.processor_millis = processor_millis;
        view.record_digest(&host.into(), digest, now);
    }
    for own in ["five", "six", "seven"] {
        expect_that!(view.is_reader(&own.into(), 84, &"a".into(), now), eq(false));
    }
    // Once the two are silent, others take over.
    let later = now + Duration::from_secs(9);
    expect_that!(
        view.is_reader(&"five".into(), 84, &"a".into(), later),
        eq(true)
    );
}

#[gtest]
fn slow_takes_slowest_word() {
    let now = Instant::now();
    let mut view = PeerRegistry::default();
    for (host, slowdown) in [("one", 4.0), ("two", 12.0)] {
        view.register(host.into(), "10.0.0.1:80".parse().unwrap(), key("a1"));
        let mut digest = digest(host);
        digest.slow[0].slowdown = slowdown;
        view.record_digest(&host.into(), digest, now);
    }
    expect_that!(view.slowdowns(now).get(&8).copied(), some(eq(12.0)));
    expect_that!(
        view.slowdowns(now + Duration::from_secs(9)).is_empty(),
        eq(true)
    );
}

#[gtest]
fn listed_host_count_is_unknown_before_the_list() {
    let mut view = PeerRegistry::default();
    view.register("one".into(), "10.0.0.1:80".parse().unwrap(), key("a1"));
    expect_that!(view.listed_host_count(), none());
    expect_that!(view.never_heard_count(), none());
    view.note_listed();
    expect_that!(view.listed_host_count(), some(eq(2)));
    expect_that!(view.never_heard_count(), some(eq(1)));
    view.record_digest(&"one".into(), digest("one"), Instant::now());
    expect_that!(view.never_heard_count(), some(eq(0)));
}
