//! Queue of steps that wait for a batch: higher priority first, then in order of arrival.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use anvil_wire::generated::engine::{
    Step,
    StepAnswer, //
};
use tokio::sync::mpsc::UnboundedSender;

use super::sequence::SequenceKey;

/// A waiting step with the channel for its answer.
#[derive(Debug)]
pub(super) struct QueuedStep {
    pub(super) step: Step,
    pub(super) reply: UnboundedSender<StepAnswer>,
    /// Number in the order of arrival.
    arrival_number: u64,
}

/// The waiting steps of an engine.
#[derive(Debug, Default)]
pub(super) struct Queue {
    steps: BinaryHeap<QueuedStep>,
    next_arrival_number: u64,
}

impl Queue {
    pub(super) fn push(&mut self, step: Step, reply: UnboundedSender<StepAnswer>) {
        let arrival_number = self.next_arrival_number;
        self.next_arrival_number += 1;
        self.steps.push(QueuedStep {
            step,
            reply,
            arrival_number,
        });
    }

    /// Removes and returns the next steps, at most `limit_steps`.
    pub(super) fn take_batch(&mut self, limit_steps: usize) -> Vec<QueuedStep> {
        let count = self.steps.len().min(limit_steps);
        let mut batch = Vec::with_capacity(count);
        while batch.len() < count
            && let Some(queued) = self.steps.pop()
        {
            batch.push(queued);
        }
        batch
    }

    /// Removes and returns the steps of a sequence.
    pub(super) fn remove(&mut self, key: &SequenceKey) -> Vec<QueuedStep> {
        if !self.steps.iter().any(|queued| queued.belongs_to(key)) {
            return Vec::new();
        }
        let (removed, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.steps)
            .into_iter()
            .partition(|queued| queued.belongs_to(key));
        self.steps = remaining.into();
        removed
    }

    pub(super) fn len(&self) -> usize {
        self.steps.len()
    }

    pub(super) fn clear(&mut self) {
        self.steps.clear();
    }
}

impl QueuedStep {
    fn belongs_to(&self, key: &SequenceKey) -> bool {
        self.step.name.request == key.request && self.step.name.attempt == key.attempt
    }

    fn sort_key(&self) -> (u8, Reverse<u64>) {
        (self.step.priority, Reverse(self.arrival_number))
    }
}

impl PartialEq for QueuedStep {
    fn eq(&self, other: &Self) -> bool {
        self.sort_key() == other.sort_key()
    }
}

impl Eq for QueuedStep {}

impl PartialOrd for QueuedStep {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedStep {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.sort_key().cmp(&other.sort_key())
    }
}
