//! Prefix cache of limited size, whose events become visible late and with gaps.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    time::Duration,
};

use anvil_core::prefix::{
    self,
    BLOCK_TOKENS, //
};
use anvil_wire::generated::engine::{
    CacheEvent,
    Step, //
};
use tokio::time::Instant;

use crate::arithmetic::ACTIVATION_BYTES;

/// Most events kept for readers; the oldest are dropped first.
const MAX_KEPT_EVENTS: usize = 4096;

/// Cache of prompt blocks that evicts the least recently used block first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity_blocks: usize,
    event_delay: Duration,
    /// Every event whose number is a multiple of this is lost; 0 loses none.
    lose_every_nth_event: u64,
    /// Number of the last use of each block. Invariant: the same blocks as in `block_by_use`.
    last_use_by_block: HashMap<u64, u64>,
    block_by_use: BTreeMap<u64, u64>,
    next_use: u64,
    next_sequence_number: u64,
    /// Events with the time from which they are visible, oldest first.
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    pub(super) fn new(
        capacity_blocks: usize,
        event_delay: Duration,
        lose_every_nth_event: u64,
    ) -> Self {
        Self {
            capacity_blocks,
            event_delay,
            lose_every_nth_event,
            last_use_by_block: HashMap::new(),
            block_by_use: BTreeMap::new(),
            next_use: 0,
            next_sequence_number: 1,
            events: VecDeque::new(),
        }
    }

    /// Returns the number of tokens at the start of a prompt whose blocks are cached.
    ///
    /// At least one token of the prompt is left to compute.
    pub(super) fn cached_tokens(&self, blocks: &[u64], token_count: u32) -> u32 {
        let cached = blocks
            .iter()
            .take_while(|block| self.last_use_by_block.contains_key(block))
            .count();
        let cached = u32::try_from(cached * BLOCK_TOKENS).unwrap_or(u32::MAX);
        cached.min(token_count.saturating_sub(1))
    }

    /// Stores the blocks of a prompt, and marks those that are already cached as used.
    pub(super) fn store(&mut self, blocks: &[u64]) {
        for block in blocks.iter().take(self.capacity_blocks) {
            self.next_use += 1;
            match self.last_use_by_block.insert(*block, self.next_use) {
                Some(last_use) => {
                    self.block_by_use.remove(&last_use);
                }
                None => self.publish(*block, true),
            }
            self.block_by_use.insert(self.next_use, *block);
        }
        while self.last_use_by_block.len() > self.capacity_blocks {
            let Some((_, block)) = self.block_by_use.pop_first() else {
                break;
            };
            self.last_use_by_block.remove(&block);
            self.publish(block, false);
        }
        assert_eq!(
            self.last_use_by_block.len(),
            self.block_by_use.len(),
            "last_use_by_block and block_by_use differ in length"
        );
    }

    /// Drops all blocks and events without publishing evictions, as a restarted engine does.
    pub(super) fn clear(&mut self) {
        self.last_use_by_block.clear();
        self.block_by_use.clear();
        self.events.clear();
        self.next_sequence_number = 1;
    }

    /// Returns the events with a number above `after` that are visible at `now`.
    pub(super) fn events(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        self.events
            .iter()
            .take_while(|(visible_at, _)| *visible_at <= now)
            .filter(|(_, event)| event.sequence_number > after)
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn publish(&mut self, block_hash: u64, stored: bool) {
        let sequence_number = self.next_sequence_number;
        self.next_sequence_number += 1;
        let is_lost = self.lose_every_nth_event > 0
            && sequence_number.is_multiple_of(self.lose_every_nth_event);
        if is_lost {
            return;
        }
        if self.events.len() == MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            sequence_number,
            block_hash,
            stored,
        };
        self.events
            .push_back((Instant::now() + self.event_delay, event));
    }
}

/// Returns the hashes of the full blocks in a step that begins a sequence.
///
/// A later step has none.
pub(super) fn blocks(step: &Step) -> Vec<u64> {
    if step.name.position > 0 {
        return Vec::new();
    }
    if step.name.layers.first == 0 {
        return prefix::block_hashes(&step.model, &step.version, &step.tokens);
    }
    let mut previous = prefix::root(&step.model, &step.version);
    step.activations
        .chunks_exact(BLOCK_TOKENS * ACTIVATION_BYTES)
        .map(|block| {
            previous = prefix::chain(previous, block);
            previous
        })
        .collect()
}
