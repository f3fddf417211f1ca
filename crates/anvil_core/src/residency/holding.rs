//! One request at one engine, and how likely its memory is still there later.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use crate::id::LayerRange;

use super::{
    EngineState,
    Prefix, //
};

/// Smallest remaining time of a request that still runs, as a share of its expected time, or of its time
/// so far if that is longer. Expected lengths of answers are right at the median only, and engines may
/// be slower than predicted.
const OVERDUE_SHARE: f64 = 0.1;
/// Time after which progress that was seen counts a factor of e less. A stream that makes no progress
/// for some 300 ms is examined, since it may have lost its engine or may have been preempted.
const SEEN_AGE_SCALE: Duration = Duration::from_millis(500);
/// Age of the last progress after which a record is removed; it would count a fiftieth.
const SEEN_AGE_MAX: Duration = Duration::from_secs(2);

/// Since when a request runs, and for how long it is expected to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// When its first event came, so that its prompt had been prefilled.
    pub since: Instant,
    /// Expected time from then to its end.
    pub expected: Duration,
}

/// The record of a request at an engine.
#[derive(Clone, Debug)]
pub(super) struct Holding {
    /// Number of the record; grows with each.
    pub(super) number: u64,
    /// Run of the engine in which the request began.
    pub(super) started_unix_ms: u64,
    /// Version of the weights with which it was prefilled.
    pub(super) version: u64,
    /// Layers that its path uses at the engine.
    pub(super) layers: LayerRange,
    /// The prompt.
    pub(super) prefix: Arc<Prefix>,
    pub(super) term: Term,
    /// When the request last made progress.
    pub(super) seen_at: Instant,
}

impl Holding {
    /// Returns whether an engine in `state` can still hold the prompt.
    pub(super) fn is_valid(&self, state: EngineState, now: Instant) -> bool {
        now.saturating_duration_since(self.seen_at) <= SEEN_AGE_MAX
            && self.started_unix_ms == state.started_unix_ms
            && self.version == state.version
            && state.layers.contains(self.layers)
            && state.unresponsive_at.is_none_or(|at| at < self.term.since)
    }

    /// Returns the probability that the prompt is still held after `delay`.
    pub(super) fn probability(&self, now: Instant, delay: Duration) -> f64 {
        let age = now.saturating_duration_since(self.seen_at);
        let run_time = now.saturating_duration_since(self.term.since);
        let left = self.term.expected.saturating_sub(run_time);
        let left = left.max(self.term.expected.max(run_time).mul_f64(OVERDUE_SHARE));
        if left.is_zero() {
            return 0.0;
        }
        let ends = delay.as_secs_f64() / left.as_secs_f64();
        let stale = age.as_secs_f64() / SEEN_AGE_SCALE.as_secs_f64();
        (-ends - stale).exp()
    }
}
