//! Snapshots of the configuration state on a stream of their own, so that a host can start after
//! the log has dropped the first patches.

use std::{
    sync::Arc,
    time::Duration, //
};

use anvil_core::{
    config::{
        SCHEMA,
        State, //
    },
    id::{
        LogStreamId,
        Offset, //
    }, //
};
use anvil_wire::{
    codec,
    generated::log_records as wire, //
};
use bytes::Bytes;
use smol_str::format_smolstr;

use super::messages;
use crate::port::{
    CallError,
    Log, //
};

/// Largest part of a snapshot, in one record.
const PART_LIMIT_BYTES: usize = 256 << 10;
/// Most records of one read of the snapshot stream.
const READ_LIMIT_RECORDS: usize = 256;
/// Most records before the stream's end in which the last whole snapshot is sought.
const SEARCH_LIMIT_RECORDS: u64 = 2048;

/// A snapshot that was found on the log.
pub struct LoadedSnapshot {
    /// The state.
    pub state: State,
    /// Age of its record.
    pub age: Duration,
}

/// Reads and writes snapshots.
#[derive(Clone)]
pub struct SnapshotStore {
    log: Arc<dyn Log>,
    stream: LogStreamId,
}

impl SnapshotStore {
    /// Makes the snapshots that belong to a configuration stream.
    pub fn new(log: Arc<dyn Log>, config_stream: &LogStreamId) -> Self {
        Self {
            log,
            stream: format_smolstr!("{config_stream}-snapshot"),
        }
    }

    /// Appends a snapshot. Doing so twice is harmless.
    pub async fn write(&self, state: &State) -> Result<(), CallError> {
        self.log.append(&self.stream, parts_of(state)).await?;
        Ok(())
    }

    /// Reads the last whole snapshot.
    pub async fn read_last(&self) -> Result<Option<LoadedSnapshot>, CallError> {
        let end = self.read(Offset::MAX).await?.end_offset;
        let start = end.saturating_sub(SEARCH_LIMIT_RECORDS);
        let mut from = start;
        let mut parts: Vec<wire::SnapshotPart> = Vec::new();
        let mut found = None;
        while from < end {
            let batch = self.read(from).await?;
            let Some(last) = batch.records.last() else {
                break;
            };
            from = last.offset + 1;
            for record in batch.records {
                let Ok(part) = codec::decode::<wire::SnapshotPart>(&record.payload) else {
                    continue;
                };
                if part.part == 0 {
                    parts.clear();
                }
                if part.part as usize != parts.len() {
                    continue;
                }
                parts.push(part);
                if let Some(state) = whole_of(&parts) {
                    found = Some(LoadedSnapshot {
                        state,
                        age: record.age,
                    });
                }
            }
        }
        Ok(found)
    }

    async fn read(&self, from: Offset) -> Result<crate::port::LogBatch, CallError> {
        self.log
            .read(&self.stream, from, READ_LIMIT_RECORDS, Duration::ZERO)
            .await
    }
}

fn parts_of(state: &State) -> Vec<Bytes> {
    let json = messages::encode_state(state);
    let part_count = json.len().div_ceil(PART_LIMIT_BYTES);
    (0..part_count)
        .map(|part| {
            let start = part * PART_LIMIT_BYTES;
            let end = json.len().min(start + PART_LIMIT_BYTES);
            let part = wire::SnapshotPart {
                schema: SCHEMA,
                version: state.version(),
                next_offset: state.next_offset(),
                part: u32::try_from(part).unwrap_or(u32::MAX),
                part_count: u32::try_from(part_count).unwrap_or(u32::MAX),
                data: json.slice(start..end),
            };
            // Plain structs, bytes and numbers: MessagePack holds every value of them.
            codec::encode(&part).expect("a snapshot part is representable in MessagePack")
        })
        .collect()
}

/// The state, once all its parts are there.
fn whole_of(parts: &[wire::SnapshotPart]) -> Option<State> {
    let last = parts.last()?;
    if parts.len() != last.part_count as usize {
        return None;
    }
    let json: Vec<u8> = parts
        .iter()
        .flat_map(|part| part.data.iter().copied())
        .collect();
    match messages::decode_state(last.schema, &json) {
        Ok(state) => Some(state),
        Err(error) => {
            spdlog::warn!("config.snapshot_unreadable", kv: { error = error.as_str() });
            None
        }
    }
}
