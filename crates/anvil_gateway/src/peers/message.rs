//! The digest in the gateway's own types, and its conversion to and from the wire format.

use std::time::Duration;

use anvil_core::{
    id::{
        DataCentreId,
        HostId,
        LayerRange,
        Offset,
        Version, //
    },
    quarantine::SuspectState,
};
use anvil_wire::generated::peer_digest as wire;
use smol_str::{
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

/// State that a gateway reports to its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    /// Sender of the digest.
    pub host: HostId,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Processor time available to the sender, in thousandths of a core.
    pub processor_millis: u32,
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
    /// Load of the sender's requests in flight, by target.
    pub loads: Vec<TargetLoad>,
    /// Hashes of the targets that the sender avoids because they did not respond to its own
    /// requests.
    pub avoided: Vec<u32>,
    /// Hashes of the targets that refuse the sender's requests although they are alive and have
    /// capacity.
    pub refusing: Vec<u32>,
    /// Hashes of the targets that stated to the sender that they are shutting down.
    pub leaving: Vec<u32>,
    /// Targets that reported a slowdown to the sender.
    pub slow: Vec<SlowTarget>,
    /// Callers' requests a second at the sender.
    pub requests_per_s: f64,
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

/// Load of one host's requests at one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLoad {
    /// Hash of the target's name.
    pub target_hash: u32,
    /// Requests whose path includes the target.
    pub sequences: f64,
    /// Memory that these requests take, in tokens times layers.
    pub token_layers: f64,
    /// Requests that the host sent directly to the target.
    pub sent_requests: f64,
}

/// Slowdown that a target reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowTarget {
    /// Hash of the target's name.
    pub target_hash: u32,
    /// Ratio of the time that the target takes to the usual time.
    pub slowdown: f64,
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
    let millis = |age: Option<Duration>| {
        age.map_or(u32::MAX, |age| {
            u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
        })
    };
    let states = &digest.suspect_states;
    let round_u32 = |number: f64| number.max(0.0).round() as u32;
    let loads = &digest.loads;
    wire::Digest {
        host: digest.host.clone(),
        data_centre: digest.data_centre.clone(),
        processor_millis: digest.processor_millis,
        sent_ms: digest.sent.as_millis(),
        echo_ms: digest.echo.map_or(0, BootTime::as_millis),
        table_version: digest.table_version,
        table_age_ms: millis(digest.table_age),
        targets_next: digest
            .targets_next
            .offset_in(digest.targets_next.era())
            .unwrap_or(0),
        store_era: Some(digest.store_era),
        targets_era: Some(digest.targets_next.era()),
        targets_age_ms: millis(digest.targets_age),
        load_targets: loads.iter().map(|load| load.target_hash).collect(),
        load_sequences: loads.iter().map(|load| round_u32(load.sequences)).collect(),
        load_token_layers: loads
            .iter()
            .map(|load| round_u32(load.token_layers / WIRE_UNIT_TOKEN_LAYERS))
            .collect(),
        load_sent: loads
            .iter()
            .map(|load| round_u32(load.sent_requests))
            .collect(),
        avoided: digest.avoided.clone(),
        refusing: digest.refusing.clone(),
        leaving: digest.leaving.clone(),
        slow_targets: digest.slow.iter().map(|slow| slow.target_hash).collect(),
        slow_percents: digest
            .slow
            .iter()
            .map(|slow| round_u32(slow.slowdown * PERCENT_FACTOR))
            .collect(),
        requests_per_1000s: round_u32(digest.requests_per_s * RATE_FACTOR),
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
            .map(|limit| millis(Some(limit.age)))
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
        part_ages_ms: states.iter().map(|state| millis(Some(state.age))).collect(),
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
/// length or a target change can't be read.
pub(super) fn from_wire(digest: wire::Digest) -> Option<Digest> {
    let age = |millis: u32| (millis != u32::MAX).then(|| Duration::from_millis(u64::from(millis)));
    let count = digest.load_targets.len();
    let is_consistent = digest.load_sequences.len() == count
        && digest.load_token_layers.len() == count
        && digest.load_sent.len() == count
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
    let mut ended_targets = ended_targets_from_wire(&digest)?;
    let loads = (0..count)
        .map(|index| TargetLoad {
            target_hash: digest.load_targets[index],
            sequences: f64::from(digest.load_sequences[index]),
            token_layers: f64::from(digest.load_token_layers[index]) * WIRE_UNIT_TOKEN_LAYERS,
            sent_requests: f64::from(digest.load_sent[index]),
        })
        .collect();
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
    let changes: Option<Vec<_>> = digest.news.into_iter().map(change_from_wire).collect();
    let changes = changes?;
    Some(Digest {
        host: digest.host,
        data_centre: digest.data_centre,
        processor_millis: digest.processor_millis,
        sent: BootTime::from_millis(digest.sent_ms),
        echo: (digest.echo_ms > 0).then(|| BootTime::from_millis(digest.echo_ms)),
        table_version: digest.table_version,
        table_age: age(digest.table_age_ms),
        store_era: digest.store_era.unwrap_or(0),
        targets_next: Position::new(digest.targets_era.unwrap_or(0), digest.targets_next),
        targets_age: age(digest.targets_age_ms),
        loads,
        avoided: digest.avoided,
        refusing: digest.refusing,
        leaving: digest.leaving,
        slow: digest
            .slow_targets
            .into_iter()
            .zip(digest.slow_percents)
            .map(|(target_hash, percent)| SlowTarget {
                target_hash,
                slowdown: f64::from(percent) / PERCENT_FACTOR,
            })
            .collect(),
        requests_per_s: f64::from(digest.requests_per_1000s) / RATE_FACTOR,
        limits,
        suspect_states,
        target_changes: digest
            .news_from
            .map(|from| TargetChangeBatch { from, changes }),
    })
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

fn change_from_wire(change: wire::TargetNews) -> Option<TargetChange> {
    let Some(entry) = change.entry else {
        return Some(TargetChange::Removed(change.target));
    };
    let layers = match (entry.first_layer, entry.end_layer) {
        (Some(first), Some(end)) => Some((
            LayerRange::new(first, end)?,
            entry.layers_version.unwrap_or(0),
        )),
        _ => None,
    };
    let entry = TargetEntry {
        service: entry.service,
        address: entry.address.parse().ok()?,
        data_centre: entry.data_centre,
        slot_limit_requests: entry.slots,
        state: match entry.leaving {
            true => TargetState::Leaving,
            false => TargetState::Ready,
        },
        kind: entry.kind,
        layers,
        started_unix_ms: entry.started_unix_ms,
    };
    Some(TargetChange::Put(change.target, entry))
}
