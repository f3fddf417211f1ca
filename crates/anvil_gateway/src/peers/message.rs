//! The digest in the gateway's own types, and its conversion to and from the wire format.

use std::time::Duration;

use anvil_core::{
    exchange::{
        MessageKind,
        Presence,
        Summary,
        TargetLoad, //
    },
    id::{
        HostId,
        LayerRange,
        Offset,
        Version, //
    },
    quarantine::SuspectState,
    urgency::RankDemand,
};
use anvil_wire::generated::peer_digest as wire;
use smol_str::{
    SmolStr,
    ToSmolStr,
    format_smolstr, //
};

use crate::{
    clock::BootTime,
    limits::SharedLimit,
    port::{
        Era,
        Position,
        TargetChange,
        TargetEntry,
        TargetState, //
    }, //
};

/// Unit of memory on the wire, in tokens times layers.
const WIRE_UNIT_TOKEN_LAYERS: f64 = 1000.0;
/// Factor from a slowdown to the percentage on the wire.
const PERCENT_FACTOR: f64 = 100.0;

/// Factor from requests a second to the number on the wire, which is per 1,000 seconds.
const RATE_FACTOR: f64 = 1000.0;

/// What a gateway tells a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    /// Whose observations the digest carries.
    pub kind: MessageKind,
    /// Sender of the digest.
    pub host: HostId,
    /// Sender's clock when it sent the digest.
    pub sent: BootTime,
    /// Receiver's clock (`sent`) from the last digest that the sender got from the receiver. `None`
    /// before the first.
    pub echo: Option<BootTime>,
    /// Version of the operators' table in force at the sender, 0 if there is none.
    pub table_version: Version,
    /// Time since that table was last known to be the newest. `None` before the first.
    pub table_age: Option<Duration>,
    /// Newest era of the store that the sender knows.
    pub store_era: Era,
    /// Position of the next change of the target list that the sender will read.
    pub targets_next: Position,
    /// Time since the sender's target list was last known to be current. `None` before the first
    /// read.
    pub targets_age: Option<Duration>,
    /// Number of hosts that the sender knows from the host list, itself included; 0 before it read
    /// the list.
    pub listed_hosts: u32,
    /// Observations of the hosts that the digest covers.
    pub summary: Summary,
    /// Whether loads of some targets are left out for lack of room.
    pub is_cut: bool,
    /// Limits that targets stated to the sender or its peers.
    pub limits: Vec<SharedLimit>,
    /// States of suspects that the sender knows.
    pub suspect_states: Vec<SuspectState>,
    /// Changes of the target list that the sender has just read from the store.
    pub target_changes: Option<TargetChangeBatch>,
}

impl Digest {
    /// Returns the receiver's clock when it sent the digest that this one answers. Returns `None` if
    /// there is none, or if the time lies after `now`: the receiver's machine has restarted since,
    /// and its clock with it.
    pub fn echo_before(&self, now: BootTime) -> Option<BootTime> {
        self.echo.filter(|echo| *echo <= now)
    }
}

/// Consecutive changes of the target list.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetChangeBatch {
    /// Offset of the first change. The batch is complete from here up to the digest's
    /// `targets_next`.
    pub from: Offset,
    /// Changes, oldest first.
    pub changes: Vec<TargetChange>,
}

/// Converts a digest to the wire format.
pub(super) fn to_wire(digest: &Digest) -> wire::Digest {
    let millis = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    let states = &digest.suspect_states;
    let round_u32 = |number: f64| number.max(0.0).round() as u32;
    let summary = &digest.summary;
    let loads = summary.loads.values();
    let presences = summary.hosts.values();
    let ranks = summary.ranks.values();
    wire::Digest {
        kind: kind_to_wire(digest.kind),
        host: digest.host.clone(),
        sent_ms: digest.sent.as_millis(),
        echo_ms: digest.echo.map(BootTime::as_millis),
        table_version: digest.table_version,
        table_age_ms: digest.table_age.map(millis),
        targets_next: digest
            .targets_next
            .offset_in(digest.targets_next.era())
            .unwrap_or(0),
        store_era: Some(digest.store_era),
        targets_era: Some(digest.targets_next.era()),
        targets_age_ms: digest.targets_age.map(millis),
        listed_hosts: Some(digest.listed_hosts),
        newest_version: Some(summary.newest_table_version),
        dc_names: summary.hosts.keys().cloned().collect(),
        dc_live: presences
            .clone()
            .map(|presence| presence.live_hosts)
            .collect(),
        dc_heard: presences
            .clone()
            .map(|presence| presence.heard_hosts)
            .collect(),
        dc_requests: presences
            .map(|presence| round_u32(presence.requests_per_s * RATE_FACTOR))
            .collect(),
        is_cut: digest.is_cut.then_some(true),
        load_targets: summary.loads.keys().copied().collect(),
        load_sequences: loads
            .clone()
            .map(|load| round_u32(load.sequences))
            .collect(),
        load_token_layers: loads
            .clone()
            .map(|load| round_u32(load.token_layers / WIRE_UNIT_TOKEN_LAYERS))
            .collect(),
        load_sent: loads.map(|load| round_u32(load.sent_requests)).collect(),
        rank_numbers: summary.ranks.keys().copied().collect(),
        rank_requests: ranks
            .clone()
            .map(|demand| round_u32(demand.requests_per_s * RATE_FACTOR))
            .collect(),
        rank_tokens: ranks
            .clone()
            .map(|demand| round_u32(demand.tokens_per_s))
            .collect(),
        rank_refused: ranks
            .map(|demand| round_u32(demand.refused_per_s * RATE_FACTOR))
            .collect(),
        avoided: summary.avoided.keys().copied().collect(),
        refusing: summary.refusing.keys().copied().collect(),
        leaving: summary.leaving.keys().copied().collect(),
        slow_targets: summary.slow.keys().copied().collect(),
        slow_percents: summary
            .slow
            .values()
            .map(|slowdown| round_u32(slowdown * PERCENT_FACTOR))
            .collect(),
        limit_targets: digest
            .limits
            .iter()
            .map(|limit| limit.target_hash)
            .collect(),
        limit_per_1000s: digest
            .limits
            .iter()
            .map(|limit| {
                limit
                    .limit_per_s
                    .map_or(u32::MAX, |per_s| round_u32(per_s * RATE_FACTOR))
            })
            .collect(),
        limit_ages_ms: digest
            .limits
            .iter()
            .map(|limit| millis(limit.age))
            .collect(),
        part_names: states
            .iter()
            .map(|state| format_smolstr!("{}", state.suspect))
            .collect(),
        part_rounds: states.iter().map(|state| state.round).collect(),
        part_points: states.iter().map(|state| state.points).collect(),
        part_answered: states.iter().map(|state| state.was_answered).collect(),
        part_failed_trials: states.iter().map(|state| state.failed_trials).collect(),
        part_ended_counts: states
            .iter()
            .map(|state| state.ended_targets.len() as u32)
            .collect(),
        part_ended_targets: states
            .iter()
            .flat_map(|state| state.ended_targets.iter().copied())
            .collect(),
        part_ages_ms: states.iter().map(|state| millis(state.age)).collect(),
        news: digest
            .target_changes
            .iter()
            .flat_map(|batch| &batch.changes)
            .map(change_to_wire)
            .collect(),
        news_from: digest.target_changes.as_ref().map(|batch| batch.from),
    }
}

/// Converts a digest from the wire format. Returns `None` if lists that belong together differ in
/// length.
pub(super) fn from_wire(digest: wire::Digest) -> Option<Digest> {
    let age = |millis: u32| Duration::from_millis(u64::from(millis));
    let load_count = digest.load_targets.len();
    let data_centre_count = digest.dc_names.len();
    let is_consistent = digest.load_sequences.len() == load_count
        && digest.load_token_layers.len() == load_count
        && digest.load_sent.len() == load_count
        && digest.dc_live.len() == data_centre_count
        && digest.dc_heard.len() == data_centre_count
        && digest.dc_requests.len() == data_centre_count
        && digest.rank_requests.len() == digest.rank_numbers.len()
        && digest.rank_tokens.len() == digest.rank_numbers.len()
        && digest.rank_refused.len() == digest.rank_numbers.len()
        && digest.slow_targets.len() == digest.slow_percents.len()
        && digest.limit_per_1000s.len() == digest.limit_targets.len()
        && digest.limit_ages_ms.len() == digest.limit_targets.len()
        && [
            digest.part_rounds.len(),
            digest.part_points.len(),
            digest.part_answered.len(),
            digest.part_failed_trials.len(),
            digest.part_ages_ms.len(),
        ]
        .iter()
        .all(|length| *length == digest.part_names.len());
    if !is_consistent {
        return None;
    }
    let summary = summary_from_wire(&digest);
    let mut ended_targets = ended_targets_from_wire(&digest)?;
    let limits = digest
        .limit_targets
        .into_iter()
        .enumerate()
        .map(|(index, target_hash)| {
            let limit = digest.limit_per_1000s[index];
            SharedLimit {
                target_hash,
                limit_per_s: (limit != u32::MAX).then(|| f64::from(limit) / RATE_FACTOR),
                age: Duration::from_millis(u64::from(digest.limit_ages_ms[index])),
            }
        })
        .collect();
    let suspect_states = digest
        .part_names
        .into_iter()
        .enumerate()
        .filter_map(|(index, name)| {
            Some(SuspectState {
                // A later release may know other kinds of suspects.
                suspect: name.parse().ok()?,
                round: digest.part_rounds[index],
                points: digest.part_points[index],
                was_answered: digest.part_answered[index],
                failed_trials: digest.part_failed_trials[index],
                ended_targets: std::mem::take(&mut ended_targets[index]),
                age: Duration::from_millis(u64::from(digest.part_ages_ms[index])),
            })
        })
        .collect();
    let changes = digest.news.into_iter().map(change_from_wire).collect();
    Some(Digest {
        kind: kind_from_wire(digest.kind),
        host: digest.host,
        sent: BootTime::from_millis(digest.sent_ms),
        echo: digest.echo_ms.map(BootTime::from_millis),
        table_version: digest.table_version,
        table_age: digest.table_age_ms.map(age),
        store_era: digest.store_era.unwrap_or(0),
        targets_next: Position::new(digest.targets_era.unwrap_or(0), digest.targets_next),
        targets_age: digest.targets_age_ms.map(age),
        listed_hosts: digest.listed_hosts.unwrap_or(0),
        summary,
        is_cut: digest.is_cut.unwrap_or(false),
        limits,
        suspect_states,
        target_changes: digest
            .news_from
            .map(|from| TargetChangeBatch { from, changes }),
    })
}

fn kind_to_wire(kind: MessageKind) -> wire::MessageKind {
    match kind {
        MessageKind::Report => wire::MessageKind::Report,
        MessageKind::Summary => wire::MessageKind::Summary,
        MessageKind::Region => wire::MessageKind::Region,
        MessageKind::RegionAnswer => wire::MessageKind::RegionAnswer,
    }
}

fn kind_from_wire(kind: wire::MessageKind) -> MessageKind {
    match kind {
        wire::MessageKind::Report => MessageKind::Report,
        wire::MessageKind::Summary => MessageKind::Summary,
        wire::MessageKind::Region => MessageKind::Region,
        wire::MessageKind::RegionAnswer => MessageKind::RegionAnswer,
    }
}

/// Reads the observations of a digest whose lists fit together. Each target that is avoided, refuses
/// or leaves counts for one host, because the digest doesn't say for how many.
fn summary_from_wire(digest: &wire::Digest) -> Summary {
    let counts = |targets: &[u32]| targets.iter().map(|target| (*target, 1)).collect();
    let hosts = digest.dc_names.iter().enumerate().map(|(index, name)| {
        let live_hosts = digest.dc_live[index];
        let presence = Presence {
            live_hosts,
            heard_hosts: digest.dc_heard[index].max(live_hosts),
            requests_per_s: f64::from(digest.dc_requests[index]) / RATE_FACTOR,
        };
        (name.clone(), presence)
    });
    let loads = digest
        .load_targets
        .iter()
        .enumerate()
        .map(|(index, target)| {
            let load = TargetLoad {
                sequences: f64::from(digest.load_sequences[index]),
                token_layers: f64::from(digest.load_token_layers[index]) * WIRE_UNIT_TOKEN_LAYERS,
                sent_requests: f64::from(digest.load_sent[index]),
            };
            (*target, load)
        });
    let ranks = digest.rank_numbers.iter().enumerate().map(|(index, rank)| {
        let demand = RankDemand {
            requests_per_s: f64::from(digest.rank_requests[index]) / RATE_FACTOR,
            tokens_per_s: f64::from(digest.rank_tokens[index]),
            refused_per_s: f64::from(digest.rank_refused[index]) / RATE_FACTOR,
        };
        (*rank, demand)
    });
    let slow = digest.slow_targets.iter().zip(&digest.slow_percents);
    Summary {
        hosts: hosts.collect(),
        loads: loads.collect(),
        ranks: ranks.collect(),
        avoided: counts(&digest.avoided),
        refusing: counts(&digest.refusing),
        leaving: counts(&digest.leaving),
        slow: slow
            .map(|(target, percent)| (*target, f64::from(*percent) / PERCENT_FACTOR))
            .collect(),
        newest_table_version: digest.newest_version.unwrap_or(0),
    }
}

/// Returns the targets that ended under each suspect, or `None` if the lists don't fit together. A
/// release that doesn't know them sends none.
fn ended_targets_from_wire(digest: &wire::Digest) -> Option<Vec<Vec<u32>>> {
    let suspect_count = digest.part_names.len();
    if digest.part_ended_counts.is_empty() {
        return Some(vec![Vec::new(); suspect_count]);
    }
    if digest.part_ended_counts.len() != suspect_count {
        return None;
    }
    let mut rest = digest.part_ended_targets.as_slice();
    digest
        .part_ended_counts
        .iter()
        .map(|count| {
            let (targets, later) = rest.split_at_checked(*count as usize)?;
            rest = later;
            Some(targets.to_vec())
        })
        .collect()
}

fn change_to_wire(change: &TargetChange) -> wire::TargetNews {
    match change {
        TargetChange::Put(target, entry) => wire::TargetNews {
            target: target.clone(),
            entry: Some(wire::TargetEntry {
                service: entry.service.clone(),
                address: entry.address.to_smolstr(),
                data_centre: entry.data_centre.clone(),
                slots: entry.slot_limit_requests,
                leaving: entry.state == TargetState::Leaving,
                kind: entry.kind.clone(),
                first_layer: entry.layers.map(|(range, _)| range.first),
                end_layer: entry.layers.map(|(range, _)| range.end),
                layers_version: entry.layers.map(|(_, version)| version),
                started_unix_ms: entry.started_unix_ms,
            }),
        },
        TargetChange::Removed(target) | TargetChange::Unreadable(target, _) => wire::TargetNews {
            target: target.clone(),
            entry: None,
        },
    }
}

/// Converts a target change from the wire format. One that can't be read hides no other.
fn change_from_wire(change: wire::TargetNews) -> TargetChange {
    let Some(entry) = change.entry else {
        return TargetChange::Removed(change.target);
    };
    match entry_from_wire(entry) {
        Ok(entry) => TargetChange::put(change.target, entry),
        Err(error) => TargetChange::Unreadable(change.target, error),
    }
}

fn entry_from_wire(entry: wire::TargetEntry) -> Result<TargetEntry, SmolStr> {
    let layers = match (entry.first_layer, entry.end_layer) {
        (Some(first), Some(end)) => {
            let range = LayerRange::new(first, end)
                .ok_or_else(|| format_smolstr!("no layers in {first}..{end}"))?;
            Some((range, entry.layers_version.unwrap_or(0)))
        }
        _ => None,
    };
    let address = entry
        .address
        .parse()
        .map_err(|_| format_smolstr!("unreadable address {:?}", entry.address))?;
    Ok(TargetEntry {
        service: entry.service,
        address,
        data_centre: entry.data_centre,
        slot_limit_requests: entry.slots,
        state: match entry.leaving {
            true => TargetState::Leaving,
            false => TargetState::Ready,
        },
        kind: entry.kind,
        layers,
        started_unix_ms: entry.started_unix_ms,
    })
}
