use std::time::Duration;

use anvil_core::{
    id::LayerRange,
    quarantine::{
        Suspect,
        SuspectState, //
    },
    request_digest::RequestDigest, //
};
use googletest::prelude::*;
use tokio::time::Instant;

use super::*;
use crate::limits::SharedLimit;
use crate::port::{
    Position,
    TargetEntry,
    TargetState, //
};

fn key(text: &str) -> DatagramKey {
    DatagramKey::from_hex(&text.repeat(16)).unwrap()
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
        store_era: 2,
        targets_next: Position::new(2, 12),
        targets_age: None,
        loads: vec![TargetLoad {
            target_hash: 7,
            sequences: 2.0,
            token_layers: 5000.0,
            sent_requests: 1.0,
        }],
        avoided: vec![7, 8],
        refusing: vec![9],
        leaving: vec![10, 11],
        slow: vec![SlowTarget {
            target_hash: 8,
            slowdown: 12.5,
        }],
        requests_per_s: 3.75,
        limits: vec![
            SharedLimit {
                target_hash: 7,
                limit_per_s: Some(14.6),
                age: Duration::from_millis(120),
            },
            SharedLimit {
                target_hash: 8,
                limit_per_s: None,
                age: Duration::from_millis(2),
            },
        ],
        suspect_states: vec![
            SuspectState {
                suspect: Suspect::Part("5c1e07a2".into()),
                round: 1,
                points: 4,
                was_answered: true,
                failed_trials: 2,
                ended_targets: Vec::new(),
                age: Duration::from_millis(1500),
            },
            SuspectState {
                suspect: Suspect::Request(RequestDigest::of("GET", "host", "/", None, b"")),
                round: 0,
                points: 4,
                was_answered: false,
                failed_trials: 0,
                ended_targets: vec![7, 9],
                age: Duration::from_millis(20),
            },
        ],
        target_changes: Some(TargetChangeBatch {
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
fn decode_authenticated_reverses_encoding() {
    let encoded = datagram::encode_authenticated(&digest("peer"), &key("a1")).unwrap();
    expect_that!(
        datagram::claimed_sender(&encoded).as_deref(),
        some(eq("peer"))
    );
    expect_that!(
        datagram::decode_authenticated(&encoded, &key("a1")),
        some(eq(&digest("peer")))
    );
}

/// Guards against hosts that hear nothing of one that has requests at many targets.
#[gtest]
fn encode_within_shortens_large_digest_by_changes_and_smallest_loads() {
    let mut large = digest("peer");
    large.loads = (1..400)
        .map(|index| TargetLoad {
            target_hash: u32::MAX - index,
            sequences: 1.0,
            token_layers: f64::from(index) * 1000.0,
            sent_requests: 1.0,
        })
        .collect();
    let encoded = datagram::encode_within(DATAGRAM_LIMIT_BYTES, &mut large, &key("a1")).unwrap();
    let encoded = encoded.unwrap();
    expect_that!(encoded.len(), le(DATAGRAM_LIMIT_BYTES));
    let decoded = datagram::decode_authenticated(&encoded, &key("a1")).unwrap();
    expect_that!(decoded.target_changes, none());
    expect_that!(decoded.suspect_states, eq(&digest("peer").suspect_states));
    expect_that!(decoded.loads.len(), ge(50));
    expect_that!(decoded.loads[0].token_layers, eq(399_000.0));
    expect_that!(
        datagram::encode_within(10, &mut large, &key("a1")).unwrap(),
        none()
    );
}

#[gtest]
fn decode_authenticated_rejects_other_key_and_changed_bytes() {
    let encoded = datagram::encode_authenticated(&digest("peer"), &key("a1")).unwrap();
    expect_that!(datagram::decode_authenticated(&encoded, &key("a2")), none());
    for index in 0..encoded.len() {
        let mut changed = encoded.clone();
        changed[index] ^= 1;
        expect_that!(
            datagram::decode_authenticated(&changed, &key("a1")),
            none(),
            "byte {index}"
        );
    }
    for length in 0..encoded.len() {
        expect_that!(
            datagram::decode_authenticated(&encoded[..length], &key("a1")),
            none()
        );
    }
}

#[gtest]
fn loads_sums_peers_without_silent_ones() {
    let mut registry = PeerRegistry::default();
    let start = Instant::now();
    for host in ["one", "two"] {
        registry.register(host.into(), "10.0.0.1:80".parse().unwrap(), key("a1"));
    }
    registry.record_digest(&"one".into(), digest("one"), start);
    registry.record_digest(&"two".into(), digest("two"), start + Duration::from_secs(1));
    let load = |at| {
        registry
            .loads(at)
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
fn record_digest_drops_older_digest() {
    let mut registry = PeerRegistry::default();
    let now = Instant::now();
    registry.register("one".into(), "10.0.0.1:80".parse().unwrap(), key("a1"));
    registry.record_digest(&"one".into(), digest("one"), now);
    let mut older = digest("one");
    older.sent = BootTime::from_millis(100);
    older.loads.clear();
    registry.record_digest(&"one".into(), older, now);
    expect_that!(registry.loads(now).len(), eq(1));
}

#[gtest]
fn is_reader_selects_two_hosts_per_data_centre() {
    let names = ["one", "two", "three", "four"];
    let now = Instant::now();
    let mut readers = 0;
    for own in names {
        let mut registry = PeerRegistry::default();
        for host in names.iter().filter(|host| **host != own) {
            registry.register((*host).into(), "10.0.0.1:80".parse().unwrap(), key("a1"));
            registry.record_digest(&(*host).into(), digest(host), now);
        }
        readers += u32::from(registry.is_reader(&own.into(), 170, &"a".into(), now));
    }
    expect_that!(readers, eq(2));
}

#[gtest]
fn is_reader_selects_single_host() {
    let registry = PeerRegistry::default();
    expect_that!(
        registry.is_reader(&"one".into(), 170, &"a".into(), Instant::now()),
        eq(true)
    );
}

#[gtest]
fn is_reader_prefers_hosts_with_more_processor_time() {
    let now = Instant::now();
    let mut registry = PeerRegistry::default();
    for (host, processor_millis) in [("one", 84), ("two", 500), ("three", 500), ("four", 84)] {
        registry.register(host.into(), "10.0.0.1:80".parse().unwrap(), key("a1"));
        let mut digest = digest(host);
        digest.processor_millis = processor_millis;
        registry.record_digest(&host.into(), digest, now);
    }
    for own in ["five", "six", "seven"] {
        expect_that!(
            registry.is_reader(&own.into(), 84, &"a".into(), now),
            eq(false)
        );
    }
    // Once the two readers with more processor time are silent, other hosts take over.
    let later = now + Duration::from_secs(9);
    expect_that!(
        registry.is_reader(&"five".into(), 84, &"a".into(), later),
        eq(true)
    );
}

#[gtest]
fn slowdowns_returns_largest_report() {
    let now = Instant::now();
    let mut registry = PeerRegistry::default();
    for (host, slowdown) in [("one", 4.0), ("two", 12.0)] {
        registry.register(host.into(), "10.0.0.1:80".parse().unwrap(), key("a1"));
        let mut digest = digest(host);
        digest.slow[0].slowdown = slowdown;
        registry.record_digest(&host.into(), digest, now);
    }
    expect_that!(registry.slowdowns(now).get(&8).copied(), some(eq(12.0)));
    expect_that!(
        registry.slowdowns(now + Duration::from_secs(9)).is_empty(),
        eq(true)
    );
}

#[gtest]
fn listed_host_count_is_none_before_list_was_read() {
    let mut registry = PeerRegistry::default();
    registry.register("one".into(), "10.0.0.1:80".parse().unwrap(), key("a1"));
    expect_that!(registry.listed_host_count(), none());
    expect_that!(registry.never_heard_count(), none());
    registry.record_listed();
    expect_that!(registry.listed_host_count(), some(eq(2)));
    expect_that!(registry.never_heard_count(), some(eq(1)));
    registry.record_digest(&"one".into(), digest("one"), Instant::now());
    expect_that!(registry.never_heard_count(), some(eq(0)));
}

/// Guards against a host that takes its table for fresh, and says so to its peers, because a peer
/// echoes the clock from before the host's machine restarted.
#[gtest]
fn echo_before_ignores_clock_of_earlier_start() {
    let digest = digest("peer");
    let echo = digest.echo.unwrap();
    let second = Duration::from_secs(1);
    expect_that!(digest.echo_before(echo.later(second)), some(eq(echo)));
    expect_that!(digest.echo_before(echo.earlier(second)), none());
}
