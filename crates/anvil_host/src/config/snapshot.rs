//! Snapshots of the configuration state on a separate log stream, so that a host can start after
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

/// Largest part of a snapshot that is stored in one record.
const PART_LIMIT_BYTES: usize = 256 << 10;
/// Largest number of records that one read of the snapshot stream returns.
const READ_LIMIT_RECORDS: usize = 256;
/// Number of records at the end of the stream that are searched for the last complete snapshot.
const SEARCH_LIMIT_RECORDS: u64 = 2048;

/// A snapshot that was found on the log.
pub struct LoadedSnapshot {
    /// State at the time of the snapshot, with the verdicts and history that it keeps.
    pub state: State,
    /// Age of the last record of the snapshot, by the log's clock.
    pub age: Duration,
}

/// Reads and writes the snapshots of one configuration stream.
#[derive(Clone)]
pub struct SnapshotStore {
    log: Arc<dyn Log>,
    stream: LogStreamId,
}

impl SnapshotStore {
    /// Creates the store for the snapshots of a configuration stream. They are on the stream
    /// `<config_stream>-snapshot`.
    pub fn new(log: Arc<dyn Log>, config_stream: &LogStreamId) -> Self {
        Self {
            log,
            stream: format_smolstr!("{config_stream}-snapshot"),
        }
    }

    /// Appends a snapshot. Appending it twice is harmless.
    ///
    /// # Errors
    ///
    /// The append failed, or its answer was lost.
    pub async fn write(&self, state: &State) -> Result<(), CallError> {
        self.log.append(&self.stream, encode_parts(state)).await?;
        Ok(())
    }

    /// Reads the last complete snapshot. Returns `None` if there is none among the last
    /// [`SEARCH_LIMIT_RECORDS`] records.
    ///
    /// # Errors
    ///
    /// A read of the log failed.
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
                if let Some(state) = decode_parts(&parts) {
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

fn encode_parts(state: &State) -> Vec<Bytes> {
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
            // Parts consist of bytes and numbers, all of which MessagePack can represent.
            codec::encode(&part).expect("a snapshot part is representable in MessagePack")
        })
        .collect()
}

/// Decodes the state once all its parts are present. Returns `None` before that, and if the state
/// can't be decoded.
fn decode_parts(parts: &[wire::SnapshotPart]) -> Option<State> {
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
