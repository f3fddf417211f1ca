//! Counts layers that were applied twice to one token.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
};

use anvil_wire::generated::engine::StepName;

use super::sequence::SequenceKey;
use crate::fault::lock;

/// Records how far each layer was applied to each sequence. Engines of one fleet may share it.
///
/// A range that is rebuilt on another engine under the same attempt counts as applied twice.
#[derive(Debug, Default)]
pub struct Ledger {
    /// For each sequence, the position after the last token applied, indexed by layer.
    sequences: Mutex<HashMap<SequenceKey, Vec<u32>>>,
    duplicate_applications: AtomicU64,
}

impl Ledger {
    /// Returns how often a layer was applied to a token that it had been applied to before.
    pub fn duplicate_applications(&self) -> u64 {
        self.duplicate_applications.load(Ordering::Relaxed)
    }

    /// Records an applied step, and counts the tokens that its layers had been applied to before.
    pub(super) fn record(&self, name: &StepName, token_count: u32) {
        let mut sequences = lock(&self.sequences);
        let ends = sequences
            .entry(SequenceKey::from_step_name(name))
            .or_default();
        let range = usize::from(name.layers.first)..usize::from(name.layers.end);
        if ends.len() < range.end {
            ends.resize(range.end, 0);
        }
        let end = name.position + token_count;
        for applied_end in &mut ends[range] {
            let duplicates = (*applied_end).min(end).saturating_sub(name.position);
            self.duplicate_applications
                .fetch_add(u64::from(duplicates), Ordering::Relaxed);
            *applied_end = (*applied_end).max(end);
        }
    }

    /// Removes a sequence that was cancelled.
    pub(super) fn forget(&self, sequence: &SequenceKey) {
        lock(&self.sequences).remove(sequence);
    }
}
