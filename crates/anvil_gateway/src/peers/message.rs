//! The digest in the gateway's own types, and its conversion to and from the wire.

use std::time::Duration;

use anvil_core::id::{
    DataCentreId,
    HostId,
    LayerRange,
    Offset,
    Version, //
};
use anvil_wire::generated::peer_digest as wire;
use smol_str::ToSmolStr;

use crate::{
    clock::BootTime,
    port::{
        TargetChange,
        TargetEntry,
        TargetState, //
    }, //
};

/// Unit of memory on the wire, in tokens times layers.
const TOKEN_LAYERS_UNIT: f64 = 1000.0;
/// Unit of slowdowns on the wire.
const PERCENT: f64 = 100.0;

/// What a gateway tells another about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    /// Its name.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Processor time that it has, in thousandths of a core.
    pub processor_millis: u32,
    /// Its own clock when it sent this.
    pub sent: BootTime,
    /// The receiver's clock when it sent the last digest that the sender got from it.
    pub echo: Option<BootTime>,
    /// Version of the table in force there.
    pub table_version: Version,
    /// Time since which that may have been replaced.
    pub table_age: Option<Duration>,
    /// Offset up to which it has read the list of targets.
    pub targets_next: Offset,
    /// Time since which the list may have changed.
    pub targets_age: Option<Duration>,
    /// Its requests in flight.
    pub loads: Vec<TargetLoad>,
    /// Hashes of the targets that it avoids after its own requests failed there.
    pub avoided: Vec<u32>,
    /// Hashes of the targets that refuse its requests although they live and have room.
    pub refusing: Vec<u32>,
    /// Targets that told it that they are slow.
    pub slow: Vec<SlowTarget>,
    /// Changes of the list of targets.
    pub news: Option<News>,
}

/// Requests of one host at one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLoad {
    /// Hash of the target's name.
    pub target_hash: u32,
    /// Requests on paths through it.
    pub sequences: f64,
    /// Memory that they take, in tokens times layers.
    pub token_layers: f64,
    /// Requests that were sent to it.
    pub sent_requests: f64,
}

/// A target that is slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowTarget {
    /// Hash of the target's name.
    pub target_hash: u32,
    /// Time that it takes, over what is usual.
    pub slowdown: f64,
}

/// Changes of the list of targets.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// Offset from which they are whole, up to the digest's `targets_next`.
    pub from: Offset,
    /// The changes.
    pub changes: Vec<TargetChange>,
}

/// Converts to the wire.
pub(super) fn to_wire(digest: &Digest) -> wire::Digest {
    let millis = |age: Option<Duration>| {
        age.map_or(u32::MAX, |age| {
            u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
        })
    };
    let whole = |number: f64| number.max(0.0).round() as u32;
    let loads = &digest.loads;
    wire::Digest {
        host: digest.host.clone(),
        data_centre: digest.data_centre.clone(),
        processor_millis: digest.processor_millis,
        sent_ms: digest.sent.as_millis(),
        echo_ms: digest.echo.map_or(0, BootTime::as_millis),
        table_version: digest.table_version,
        table_age_ms: millis(digest.table_age),
        targets_next: digest.targets_next,
        targets_age_ms: millis(digest.targets_age),
        load_targets: loads.iter().map(|load| load.target_hash).collect(),
        load_sequences: loads.iter().map(|load| whole(load.sequences)).collect(),
        load_token_layers: loads
            .iter()
            .map(|load| whole(load.token_layers / TOKEN_LAYERS_UNIT))
            .collect(),
        load_sent: loads.iter().map(|load| whole(load.sent_requests)).collect(),
        avoided: digest.avoided.clone(),
        refusing: digest.refusing.clone(),
        slow_targets: digest.slow.iter().map(|slow| slow.target_hash).collect(),
        slow_percents: digest
            .slow
            .iter()
            .map(|slow| whole(slow.slowdown * PERCENT))
            .collect(),
        news: digest
            .news
            .iter()
            .flat_map(|news| &news.changes)
            .map(change_to_wire)
            .collect(),
        news_from: digest.news.as_ref().map(|news| news.from),
    }
}

/// Converts from the wire; nothing where the parts don't fit together.
pub(super) fn from_wire(digest: wire::Digest) -> Option<Digest> {
    let age = |millis: u32| (millis != u32::MAX).then(|| Duration::from_millis(u64::from(millis)));
    let count = digest.load_targets.len();
    let is_even = digest.load_sequences.len() == count
        && digest.load_token_layers.len() == count
        && digest.load_sent.len() == count
        && digest.slow_targets.len() == digest.slow_percents.len();
    if !is_even {
        return None;
    }
    let loads = (0..count)
        .map(|index| TargetLoad {
            target_hash: digest.load_targets[index],
            sequences: f64::from(digest.load_sequences[index]),
            token_layers: f64::from(digest.load_token_layers[index]) * TOKEN_LAYERS_UNIT,
            sent_requests: f64::from(digest.load_sent[index]),
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
        targets_next: digest.targets_next,
        targets_age: age(digest.targets_age_ms),
        loads,
        avoided: digest.avoided,
        refusing: digest.refusing,
        slow: digest
            .slow_targets
            .into_iter()
            .zip(digest.slow_percents)
            .map(|(target_hash, percent)| SlowTarget {
                target_hash,
                slowdown: f64::from(percent) / PERCENT,
            })
            .collect(),
        news: digest.news_from.map(|from| News { from, changes }),
    })
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

fn change_from_wire(news: wire::TargetNews) -> Option<TargetChange> {
    let Some(entry) = news.entry else {
        return Some(TargetChange::Removed(news.target));
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
    Some(TargetChange::Put(news.target, entry))
}
