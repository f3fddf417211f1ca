//! The newest records of the configuration stream, kept for peers that lag.

use std::collections::VecDeque;

use anvil_core::id::Offset;
use bytes::Bytes;

/// Most bytes of payload that are kept.
const LIMIT_BYTES: usize = 1 << 20;

/// A run of records without a gap.
#[derive(Debug, Default)]
pub struct RecentRecords {
    /// Offset from which on every record is kept.
    from_offset: Offset,
    next_offset: Offset,
    records: VecDeque<(Offset, Bytes)>,
    size_bytes: usize,
}

impl RecentRecords {
    /// Starts anew at an offset.
    pub fn reset(&mut self, offset: Offset) {
        *self = Self {
            from_offset: offset,
            next_offset: offset,
            ..Self::default()
        };
    }

    /// Adds the record that follows.
    pub fn push(&mut self, offset: Offset, payload: Bytes) {
        self.next_offset = offset + 1;
        self.size_bytes += payload.len();
        self.records.push_back((offset, payload));
        while self.size_bytes > LIMIT_BYTES
            && let Some((dropped, payload)) = self.records.pop_front()
        {
            self.size_bytes -= payload.len();
            self.from_offset = dropped + 1;
        }
    }

    /// Every record from an offset on, if none of them was dropped.
    pub fn since(&self, offset: Offset) -> Option<Vec<(Offset, Bytes)>> {
        if offset < self.from_offset {
            return None;
        }
        let newer = self.records.iter().filter(|(at, _)| *at >= offset);
        Some(newer.cloned().collect())
    }
}
