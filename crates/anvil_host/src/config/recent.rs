//! The newest records of the configuration stream, kept for peers that are behind.

use std::collections::VecDeque;

use anvil_core::id::Offset;
use bytes::Bytes;

/// Limit on the sum of the payloads kept; the oldest records are dropped beyond it.
const KEPT_LIMIT_BYTES: usize = 1 << 20;

/// Consecutive records without a gap.
#[derive(Debug, Default)]
pub struct RecentRecords {
    /// Every record from this offset on is kept.
    from_offset: Offset,
    next_offset: Offset,
    records: VecDeque<(Offset, Bytes)>,
    size_bytes: usize,
}

impl RecentRecords {
    /// Drops all records and continues at an offset.
    pub fn reset(&mut self, offset: Offset) {
        *self = Self {
            from_offset: offset,
            next_offset: offset,
            ..Self::default()
        };
    }

    /// Adds the next record and drops the oldest ones beyond the limit.
    pub fn push(&mut self, offset: Offset, payload: Bytes) {
        self.next_offset = offset + 1;
        self.size_bytes += payload.len();
        self.records.push_back((offset, payload));
        while self.size_bytes > KEPT_LIMIT_BYTES
            && let Some((dropped, payload)) = self.records.pop_front()
        {
            self.size_bytes -= payload.len();
            self.from_offset = dropped + 1;
        }
    }

    /// Returns every record from an offset on, or `None` if one of them was dropped.
    pub fn since(&self, offset: Offset) -> Option<Vec<(Offset, Bytes)>> {
        if offset < self.from_offset {
            return None;
        }
        let newer = self
            .records
            .iter()
            .filter(|(record_offset, _)| *record_offset >= offset);
        Some(newer.cloned().collect())
    }
}
