//! One stream of the log.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use anvil_wire::generated::platform::{
    LogRecord,
    ReadAnswer, //
};
use bytes::Bytes;
use tokio::time::Instant;

/// The kept records of a stream, in offset order.
#[derive(Debug, Default)]
pub(super) struct Stream {
    /// Offset of the first kept record, or of the next record if none is kept.
    horizon_offset: u64,
    /// Kept records with the time of their append. Invariant: ages don't increase from front to
    /// back.
    records: VecDeque<(Instant, Bytes)>,
}

impl Stream {
    /// Appends records and returns the offset of the first; drops the oldest beyond the limit.
    pub(super) fn append(&mut self, payloads: &[Bytes], retention_records: usize) -> u64 {
        let now = Instant::now();
        let first_offset = self.end_offset();
        self.records
            .extend(payloads.iter().map(|payload| (now, payload.clone())));
        while self.records.len() > retention_records {
            self.drop_oldest();
        }
        first_offset
    }

    /// Drops the records that are older than the retention, then reads from an offset on.
    pub(super) fn read(
        &mut self,
        from_offset: u64,
        limit_records: usize,
        retention: Duration,
    ) -> ReadAnswer {
        let now = Instant::now();
        while self
            .records
            .front()
            .is_some_and(|(stored_at, _)| now.duration_since(*stored_at) > retention)
        {
            self.drop_oldest();
        }
        let first_offset = from_offset.max(self.horizon_offset);
        let skipped = usize::try_from(first_offset - self.horizon_offset).unwrap_or(usize::MAX);
        let selected = self.records.iter().skip(skipped).take(limit_records);
        let records = (first_offset..)
            .zip(selected)
            .map(|(offset, (stored_at, payload))| LogRecord {
                offset,
                age_ms: to_millis(now.duration_since(*stored_at)),
                payload: payload.clone(),
            });
        ReadAnswer {
            horizon_offset: self.horizon_offset,
            end_offset: self.end_offset(),
            records: records.collect(),
        }
    }

    /// Returns all kept records with their offsets.
    pub(super) fn all_records(&self) -> Vec<(u64, Bytes)> {
        (self.horizon_offset..)
            .zip(self.records.iter().map(|(_, payload)| payload.clone()))
            .collect()
    }

    /// Drops the records below an offset.
    pub(super) fn truncate(&mut self, horizon_offset: u64) {
        while self.horizon_offset < horizon_offset && !self.records.is_empty() {
            self.drop_oldest();
        }
    }

    fn end_offset(&self) -> u64 {
        self.horizon_offset + self.records.len() as u64
    }

    fn drop_oldest(&mut self) {
        if self.records.pop_front().is_some() {
            self.horizon_offset += 1;
        }
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
