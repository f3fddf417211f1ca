//! Table of the prompt blocks that one target is likely to have cached.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

use crate::prefix::BLOCK_TOKENS;

/// Value of a slot that holds no block hash.
const EMPTY: u64 = 0;

/// A lock-free, direct-mapped table of block hashes with a fixed size.
///
/// Two blocks that map to the same slot overwrite each other. This loses only the hint for the
/// overwritten block.
#[derive(Debug)]
pub struct Table {
    /// Block hash in each slot, or [`EMPTY`]. Invariant: the length is a power of two.
    slots: Box<[AtomicU64]>,
    /// Number of the last event seen; 0 before the first.
    last_event: AtomicU64,
}

impl Table {
    /// Creates an empty table of at least `blocks` slots, rounded up to a power of two.
    pub fn new(blocks: usize) -> Self {
        let slots = (0..blocks.next_power_of_two()).map(|_| AtomicU64::new(EMPTY));
        Self {
            slots: slots.collect(),
            last_event: AtomicU64::new(0),
        }
    }

    /// Returns the number of the last event seen, after which further events are requested.
    pub fn last_event(&self) -> u64 {
        self.last_event.load(Ordering::Acquire)
    }

    /// Records the number of an event, and returns false if events before it were missed.
    ///
    /// A gap clears the table, since a missed event may have been an eviction. Events that were
    /// seen before change nothing and are not a gap.
    pub fn advance(&self, sequence_number: u64) -> bool {
        let last = self.last_event.fetch_max(sequence_number, Ordering::AcqRel);
        let gap = last != 0 && sequence_number > last + 1;
        if gap {
            self.clear();
        }
        !gap
    }

    /// Records that a block is cached.
    pub fn store(&self, block_hash: u64) {
        self.slot(block_hash).store(block_hash, Ordering::Relaxed);
    }

    /// Records that a block is no longer cached.
    pub fn evict(&self, block_hash: u64) {
        // If the slot holds another block by now, there is nothing to remove.
        let _ = self.slot(block_hash).compare_exchange(
            block_hash,
            EMPTY,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
    }

    /// Removes all blocks. The number of the last event stays.
    pub fn clear(&self) {
        for slot in &self.slots {
            slot.store(EMPTY, Ordering::Relaxed);
        }
    }

    /// Returns the number of prompt tokens that are likely cached: those of the leading blocks, up
    /// to the first block that is not in the table.
    pub fn cached_tokens(&self, block_hashes: &[u64]) -> u32 {
        let blocks = block_hashes
            .iter()
            .take_while(|&&hash| self.slot(hash).load(Ordering::Relaxed) == hash)
            .count();
        u32::try_from(blocks * BLOCK_TOKENS).unwrap_or(u32::MAX)
    }

    fn slot(&self, block_hash: u64) -> &AtomicU64 {
        let mask = self.slots.len() as u64 - 1;
        &self.slots[usize::try_from(block_hash & mask).unwrap_or(0)]
    }
}
