use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use anvil_core::{
    exchange::{
        Presence,
        TargetLoad, //
    },
    id::LayerRange,
    quarantine::{
        Suspect,
        SuspectState, //
    },
    request_digest::RequestDigest,
    urgency::{
        RankDemand,
        demand::RANKS_MAX, //
    },
};
use anvil_wire::{
    codec,
    generated::peer_digest as wire, //
};
use googletest::prelude::*;

use super::*;
use crate::limits::SharedLimit;
use crate::port::{
    Position,
    TargetEntry,
    TargetState, //
};
use crate::settings;

fn key(text: &str) -> DatagramKey {
    DatagramKey::from_hex(&text.repeat(16)).unwrap()
}

fn load(sequences: f64, token_layers: f64) -> TargetLoad {
    TargetLoad {
        sequences,
        token_layers,
        sent_requests: 1.0,
    }
}

fn digest(host: &str) -> Digest {
    Digest {
        kind: MessageKind::Summary,
        host: host.into(),
        sent: BootTime::from_millis(5000),
        echo: Some(BootTime::from_millis(4000)),
        table_version: 3,
        table_age: Some(Duration::from_millis(70)),
        store_era: 2,
        targets_next: Position::new(2, 12),
        targets_age: None,
        listed_hosts: 20,
        summary: Summary {
            hosts: BTreeMap::from([(
                "a".into(),
                Presence {
                    live_hosts: 2,
                    heard_hosts: 3,
                    requests_per_s: 3.75,
                },
            )]),
            loads: BTreeMap::from([(7, load(2.0, 5000.0))]),
            ranks: BTreeMap::new(),
            avoided: BTreeMap::from([(7, 1), (8, 1)]),
            refusing: BTreeMap::from([(9, 1)]),
            leaving: BTreeMap::from([(10, 1), (11, 1)]),
            slow: BTreeMap::from([(8, 12.5)]),
            newest_table_version: 4,
        },
        is_cut: false,
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

/// Guards against one target change that can't be read and hides all else that a peer says.
#[gtest]
fn from_wire_keeps_rest_of_digest_with_odd_target_change() {
    let sent = digest("host");
    for break_entry in [
        |entry: &mut wire::TargetEntry| entry.address = "10.0.0.1:70000".into(),
        |entry: &mut wire::TargetEntry| entry.end_layer = entry.first_layer,
    ] {
        let mut digest = message::to_wire(&sent);
        let news = digest.news.iter_mut().find(|news| news.entry.is_some());
        break_entry(news.unwrap().entry.as_mut().unwrap());
        let read = message::from_wire(digest).unwrap();
        expect_that!(read.summary, eq(&sent.summary));
        let changes = read.target_changes.unwrap().changes;
        expect_that!(changes[0], eq(&TargetChange::Removed("gone".into())));
        expect_that!(
            changes[1],
            matches_pattern!(TargetChange::Unreadable(eq("new"), _))
        );
    }
}

/// Guards against the same names of targets from a peer of another release.
#[gtest]
fn from_wire_reports_name_that_no_header_holds_as_unreadable() {
    let mut digest = message::to_wire(&digest("host"));
    let news = digest.news.iter_mut().find(|news| news.entry.is_some());
    news.unwrap().target = "new\r\nX: 1".into();
    let changes = message::from_wire(digest).unwrap().target_changes.unwrap();
    expect_that!(
        changes.changes[1],
        matches_pattern!(TargetChange::Unreadable(eq("new\r\nX: 1"), _))
    );
}

/// Guards against builds side by side that can't read one another: the datagram is of 7f27459.
#[gtest]
fn decode_authenticated_reads_datagram_of_former_build() {
    let datagram = include_str!("tests/datagram_7f27459.hex");
    let bytes: Vec<u8> = datagram
        .trim()
        .as_bytes()
        .chunks(2)
        .map(|digits| u8::from_str_radix(str::from_utf8(digits).unwrap(), 16).unwrap())
        .collect();
    let read = datagram::decode_authenticated(&bytes, &key("a1"));
    expect_that!(read, some(eq(&digest("host"))));
    let written = datagram::encode_authenticated(&digest("host"), &key("a1")).unwrap();
    expect_that!(written, eq(&bytes));
}

/// Returns the demand of as many ranks as a digest may carry.
fn all_ranks() -> BTreeMap<u32, RankDemand> {
    let demand = RankDemand {
        requests_per_s: 1234.567,
        tokens_per_s: 4e6,
        refused_per_s: 321.5,
    };
    let ranks = (0..RANKS_MAX as u32).map(|rank| (u32::MAX - rank, demand));
    ranks.collect()
}

/// Guards against a build that can't read the digests of one that knows no demand of ranks, or the other
/// way round. The datagram of 7f27459 above is one without the lists.
#[gtest]
fn decode_reads_demand_of_ranks_and_former_build_skips_it() {
    /// Some of the lists that the former build knows.
    #[derive(serde::Deserialize)]
    struct FormerDigest {
        host: String,
        load_targets: Vec<u32>,
    }
    let mut sent = digest("peer");
    sent.summary.ranks = all_ranks();
    let encoded = datagram::encode_authenticated(&sent, &key("a1")).unwrap();
    let read = datagram::decode_authenticated(&encoded, &key("a1"));
    expect_that!(read, some(eq(&sent)));
    let former: FormerDigest =
        codec::decode(&codec::encode(&message::to_wire(&sent)).unwrap()).unwrap();
    expect_that!(former.host, eq("peer"));
    expect_that!(former.load_targets, elements_are![eq(&7)]);
    let mut torn = message::to_wire(&sent);
    torn.rank_tokens.pop();
    expect_that!(message::from_wire(torn), none());
}

/// Guards against digests that no longer fit into a datagram, or hosts that lose the demand of ranks
/// because there are many loads.
#[gtest]
fn encode_within_keeps_demand_of_ranks_beside_loads() {
    let mut large = large_digest();
    large.summary.ranks = all_ranks();
    let order = LoadOrder {
        is_near: &|_| false,
        first: 0,
    };
    let encoded = datagram::encode_within(DATAGRAM_LIMIT_BYTES, &mut large, &order, &key("a1"));
    let encoded = encoded.unwrap().unwrap();
    expect_that!(encoded.datagram.len(), le(DATAGRAM_LIMIT_BYTES));
    let decoded = datagram::decode_authenticated(&encoded.datagram, &key("a1")).unwrap();
    expect_that!(decoded.summary.ranks, eq(&all_ranks()));
    expect_that!(decoded.summary.loads.len(), ge(25));
}

/// Guards against hosts that hear nothing of one that has requests at many targets.
/// Returns a digest with more loads than a datagram holds.
fn large_digest() -> Digest {
    let mut large = digest("peer");
    large.summary.loads = (1..400)
        .map(|index| (u32::MAX - index, load(1.0, f64::from(index) * 1000.0)))
        .collect();
    large
}

#[gtest]
fn encode_within_shortens_large_digest_by_changes_and_far_loads() {
    let mut large = large_digest();
    let is_near = |target: u32| target > u32::MAX - 40;
    let order = LoadOrder {
        is_near: &is_near,
        first: 0,
    };
    let encode = |limit_bytes, digest: &mut Digest| {
        datagram::encode_within(limit_bytes, digest, &order, &key("a1")).unwrap()
    };
    let encoded = encode(DATAGRAM_LIMIT_BYTES, &mut large).unwrap();
    expect_that!(encoded.datagram.len(), le(DATAGRAM_LIMIT_BYTES));
    let decoded = datagram::decode_authenticated(&encoded.datagram, &key("a1")).unwrap();
    expect_that!(decoded.target_changes, none());
    expect_that!(decoded.suspect_states, eq(&digest("peer").suspect_states));
    expect_that!(decoded.is_cut, eq(true));
    let loads = &decoded.summary.loads;
    expect_that!(loads.len(), ge(50));
    expect_that!(loads.len() + encoded.cut_loads, eq(399));
    let near = (1..40).map(|index| u32::MAX - index);
    expect_that!(
        near.filter(|target| loads.contains_key(target)).count(),
        eq(39)
    );
    expect_that!(encode(10, &mut large_digest()).is_none(), eq(true));
}

/// Guards against a host that its peers don't hear because it knows of many suspects.
#[gtest]
fn encode_within_shortens_digest_by_states_of_suspects() {
    let mut large = digest("peer");
    let state = large.suspect_states[0].clone();
    large.suspect_states = (0..64)
        .map(|index| SuspectState {
            suspect: Suspect::Part(format!("a-part-with-a-long-name-{index:04}").into()),
            ..state.clone()
        })
        .collect();
    let first = large.suspect_states[0].clone();
    let order = LoadOrder {
        is_near: &|_| false,
        first: 0,
    };
    let encoded = datagram::encode_within(DATAGRAM_LIMIT_BYTES, &mut large, &order, &key("a1"));
    let encoded = encoded.unwrap().unwrap();
    expect_that!(encoded.datagram.len(), le(DATAGRAM_LIMIT_BYTES));
    let decoded = datagram::decode_authenticated(&encoded.datagram, &key("a1")).unwrap();
    expect_that!(decoded.suspect_states.first(), some(eq(&first)));
    expect_that!(decoded.suspect_states.len(), ge(10));
}

/// Guards against targets whose load never reaches the peers because there is no room for it.
#[gtest]
fn encode_within_sends_each_load_once_in_few_digests() {
    let mut sent = BTreeSet::new();
    let mut first = 0;
    for _ in 0..10 {
        let order = LoadOrder {
            is_near: &|_| false,
            first,
        };
        let mut large = large_digest();
        let encoded = datagram::encode_within(DATAGRAM_LIMIT_BYTES, &mut large, &order, &key("a1"));
        first = encoded.unwrap().unwrap().first_cut.unwrap();
        sent.extend(large.summary.loads.into_keys());
    }
    expect_that!(sent.len(), eq(399));
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

fn registry_with(hosts: &[(&str, u32)]) -> PeerRegistry {
    let text = r#"
        host_id = "own"
        data_centre = "a"
        processor_share = 0.17
        listen = { callers = "10.0.0.1:80", readiness = "10.0.0.1:81", peers = "127.0.0.1:0" }
        platform = { store = "10.0.0.2:80" }
    "#;
    let mut registry = PeerRegistry::new(&settings::read("test", text).unwrap());
    let entries: Vec<HostEntry> = hosts
        .iter()
        .map(|(id, processor_millis)| HostEntry {
            id: (*id).into(),
            address: "10.0.0.1:80".parse().unwrap(),
            key: "a1".repeat(16).into(),
            data_centre: "a".into(),
            processor_millis: *processor_millis,
        })
        .collect();
    if !entries.is_empty() {
        registry.apply_list(&entries, BootTime::now());
    }
    registry
}

/// Returns the digest in which a host reports its own observations.
fn report(host: &str, sent: BootTime) -> Digest {
    let mut report = digest(host);
    report.kind = MessageKind::Report;
    report.sent = sent;
    report
}

#[gtest]
fn view_sums_reports_without_those_of_silent_hosts() {
    let mut registry = registry_with(&[("one", 84), ("two", 84)]);
    let start = BootTime::now();
    let second = Duration::from_secs(1);
    registry.record_digest(&"one".into(), report("one", start), start);
    registry.record_digest(&"two".into(), report("two", start), start.later(second));
    let mut sequences = |at: BootTime| {
        let view = registry.view(at);
        view.loads.get(&7).copied().unwrap_or_default().sequences
    };
    expect_that!(sequences(start.later(second)), eq(4.0));
    expect_that!(sequences(start.later(second * 2)), eq(2.0));
    expect_that!(sequences(start.later(second * 9)), eq(0.0));
}

#[gtest]
fn record_digest_drops_older_digest() {
    let mut registry = registry_with(&[("one", 84)]);
    let now = BootTime::now();
    registry.record_digest(&"one".into(), report("one", now), now);
    let mut older = report("one", now.earlier(Duration::from_millis(100)));
    older.summary.loads.clear();
    registry.record_digest(&"one".into(), older, now);
    expect_that!(registry.view(now).loads.len(), eq(1));
    expect_that!(registry.echo_for(&"one".into()), some(eq(now)));
}

#[gtest]
fn is_relay_holds_for_single_host() {
    let registry = registry_with(&[]);
    expect_that!(registry.is_relay(BootTime::now()), eq(true));
}

#[gtest]
fn is_relay_prefers_hosts_with_more_processor_time() {
    let mut registry = registry_with(&[("one", 84), ("two", 500), ("three", 500), ("four", 84)]);
    let now = BootTime::now();
    for host in ["two", "three"] {
        let mut answer = digest(host);
        answer.sent = now;
        registry.record_digest(&host.into(), answer, now);
    }
    expect_that!(registry.is_relay(now), eq(false));
    // Once the two relays are silent, this host, the next in the order, takes over.
    let second = Duration::from_secs(1);
    for count in 0..9 {
        registry.round(now.later(second * count));
    }
    expect_that!(registry.is_relay(now.later(second * 9)), eq(true));
}

#[gtest]
fn view_holds_largest_slowdown() {
    let mut registry = registry_with(&[("one", 84), ("two", 84)]);
    let now = BootTime::now();
    for (host, slowdown) in [("one", 4.0), ("two", 12.0)] {
        let mut report = report(host, now);
        report.summary.slow.insert(8, slowdown);
        registry.record_digest(&host.into(), report, now);
    }
    expect_that!(registry.view(now).slow.get(&8), some(eq(&12.0)));
    let later = now.later(Duration::from_secs(9));
    expect_that!(registry.view(later).slow.is_empty(), eq(true));
}

#[gtest]
fn listed_host_count_is_none_before_list_was_read() {
    let mut registry = registry_with(&[]);
    let now = BootTime::now();
    expect_that!(registry.listed_host_count(), none());
    expect_that!(registry.never_heard(now), none());
    let mut registry = registry_with(&[("one", 84)]);
    expect_that!(registry.listed_host_count(), some(eq(2)));
    expect_that!(registry.never_heard(now), some(eq((1, 2))));
    let mut report = report("one", now);
    report.listed_hosts = 2;
    registry.record_digest(&"one".into(), report, now);
    expect_that!(registry.never_heard(now), some(eq((0, 2))));
}

/// Guards against budgets that grow with the fleet at hosts that don't read the host list again.
#[gtest]
fn listed_host_count_follows_longer_list_of_peer() {
    let mut registry = registry_with(&[("one", 84)]);
    let now = BootTime::now();
    registry.record_digest(&"one".into(), report("one", now), now);
    expect_that!(registry.listed_host_count(), some(eq(20)));
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
