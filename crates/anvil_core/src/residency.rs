//! Knows which engines hold the key-value cache of which prompt prefixes, and for how long.
//!
//! An engine keeps the cache of a prompt only while the request runs. A prefix is therefore held as
//! long as some request that begins with it, and that was prefilled at the engine, still runs there,
//! and only for the layers that the path of that request uses.

mod holding;
mod prefix;

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use crate::id::{
    LayerRange,
    TargetId, //
};

pub use holding::Term;
pub use prefix::Prefix;

use holding::Holding;

#[cfg(test)]
mod tests;

/// Share of an engine's request memory in use from which on a held prefix attracts no request. An
/// engine takes requests up to a share of 0.96, and running answers grow.
pub const SAVING_USED_SHARE_MAX: f64 = 0.8;

/// Bounds on the number of requests that a [`Residency`] remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most requests at one engine. Invariant: above 0.
    pub per_engine: usize,
    /// Most requests over all engines, where a request counts at each engine of its path. Invariant:
    /// above 0.
    pub total: usize,
}

impl Default for Limits {
    /// Returns bounds several times above what a host of a large fleet has in flight (1.5 requests a
    /// second, each a few seconds long and on a few engines).
    fn default() -> Self {
        Self {
            per_engine: 32,
            total: 512,
        }
    }
}

/// What decides whether an engine can still hold what was prefilled there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// Start of its process, in milliseconds since the Unix epoch. Its memory is empty after a
    /// restart.
    pub started_unix_ms: u64,
    /// Version of the weights.
    pub version: u64,
    /// Layers whose weights it has.
    pub layers: LayerRange,
    /// When it was last found unresponsive; `None` if it never was. Its process may have ended then.
    pub unresponsive_at: Option<Instant>,
}

/// A prefix of one request's prompt that an engine is expected to hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldPrefix {
    /// Layers for which it is held.
    pub layers: LayerRange,
    /// Number of its tokens.
    pub tokens: f64,
    /// Probability that it is still held when the request is prefilled.
    pub probability: f64,
}

/// Names the record of one request at one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordId {
    target: TargetId,
    number: u64,
}

/// Running requests whose prompts are in the memory of engines.
///
/// The number of records is bounded whatever callers send: each new one beyond a bound replaces the
/// oldest.
#[derive(Debug, Default)]
pub struct Residency {
    limits: Limits,
    /// Records by engine, oldest first. Invariant: no list is empty or longer than
    /// `limits.per_engine`.
    engines: HashMap<TargetId, VecDeque<Holding>>,
    /// Number of all records. Invariant: at most `limits.total`.
    len: usize,
    /// Number of the newest record.
    last_number: u64,
}

impl Residency {
    /// Creates an empty map.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Records that a request has been prefilled at an engine, for `layers`. `term` tells since when it
    /// runs and for how long it is expected to.
    pub fn begin(
        &mut self,
        target: &TargetId,
        state: EngineState,
        layers: LayerRange,
        prefix: &Arc<Prefix>,
        term: Term,
    ) -> RecordId {
        let at_engine = self.engines.get(target).map_or(0, VecDeque::len);
        if at_engine >= self.limits.per_engine {
            self.evict_oldest_of(target);
        } else if self.len >= self.limits.total {
            self.evict_oldest();
        }
        self.last_number += 1;
        let holdings = self.engines.entry(target.clone()).or_default();
        holdings.push_back(Holding {
            number: self.last_number,
            started_unix_ms: state.started_unix_ms,
            version: state.version,
            layers,
            prefix: Arc::clone(prefix),
            term,
            seen_at: term.since,
        });
        self.len += 1;
        RecordId {
            target: target.clone(),
            number: self.last_number,
        }
    }

    /// Records that the request of a record made progress, which shows that its memory is still there.
    pub fn confirm(&mut self, id: &RecordId, now: Instant) {
        let mut holdings = self.engines.get_mut(&id.target).into_iter().flatten();
        if let Some(holding) = holdings.find(|holding| holding.number == id.number) {
            holding.seen_at = now;
        }
    }

    /// Removes the record of a request that ended or left the engine. Does nothing if the record was
    /// removed before.
    pub fn end(&mut self, id: &RecordId) {
        self.retain(&id.target, |holding| holding.number != id.number);
    }

    /// Removes all records of an engine whose process has ended.
    pub fn end_engine(&mut self, target: &TargetId) {
        self.retain(target, |_| false);
    }

    /// Returns the prefixes of a prompt that an engine is expected to hold, longest first, and removes
    /// the records that its state refutes. `delay` is the time until the request is prefilled there.
    pub fn held(
        &mut self,
        target: &TargetId,
        state: EngineState,
        prefix: &Prefix,
        now: Instant,
        delay: Duration,
    ) -> Vec<HeldPrefix> {
        if !self.engines.contains_key(target) {
            return Vec::new();
        }
        self.retain(target, |holding| holding.is_valid(state, now));
        let mut held: Vec<HeldPrefix> = Vec::new();
        for holding in self.engines.get(target).into_iter().flatten() {
            let tokens = f64::from(prefix.shared_tokens(&holding.prefix));
            if tokens <= 0.0 {
                continue;
            }
            let probability = holding.probability(now, delay);
            let same = held
                .iter_mut()
                .find(|other| other.layers == holding.layers && other.tokens == tokens);
            match same {
                // The prefix stays as long as one of the requests runs.
                Some(other) => {
                    other.probability = 1.0 - (1.0 - other.probability) * (1.0 - probability);
                }
                None => held.push(HeldPrefix {
                    layers: holding.layers,
                    tokens,
                    probability,
                }),
            }
        }
        held.sort_by(|left, right| right.tokens.total_cmp(&left.tokens));
        held
    }

    fn retain(&mut self, target: &TargetId, is_kept: impl Fn(&Holding) -> bool) {
        let Some(holdings) = self.engines.get_mut(target) else {
            return;
        };
        let before = holdings.len();
        holdings.retain(is_kept);
        self.len -= before - holdings.len();
        if holdings.is_empty() {
            self.engines.remove(target);
        }
    }

    fn evict_oldest_of(&mut self, target: &TargetId) {
        let oldest = self.engines.get(target).and_then(VecDeque::front);
        if let Some(number) = oldest.map(|holding| holding.number) {
            self.retain(target, |holding| holding.number != number);
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .engines
            .iter()
            .min_by_key(|(_, holdings)| holdings.front().map(|holding| holding.number));
        if let Some(target) = oldest.map(|(target, _)| target.clone()) {
            self.evict_oldest_of(&target);
        }
    }
}

/// Returns the number of prompt tokens that need no prefill on a hop over `layers`, as expected over
/// all that is held. `held` is in the order of [`Residency::held`].
///
/// A prefix counts only if it is held for all layers of the hop: the memory of an engine has no
/// activations from which to continue in the middle of its layers.
pub fn expected_tokens(held: &[HeldPrefix], layers: LayerRange) -> f64 {
    let mut tokens = 0.0;
    let mut all_longer_gone = 1.0;
    for prefix in held {
        if prefix.layers.contains(layers) {
            tokens += all_longer_gone * prefix.probability * prefix.tokens;
            all_longer_gone *= 1.0 - prefix.probability;
        }
    }
    tokens
}

/// Returns the share of the expected saving that counts at an engine with `used_share` of its request
/// memory in use. It falls to 0 at [`SAVING_USED_SHARE_MAX`], so that requests with a popular prefix
/// choose other engines before the holder has to preempt any.
pub fn memory_factor(used_share: f64) -> f64 {
    (1.0 - used_share / SAVING_USED_SHARE_MAX).clamp(0.0, 1.0)
}
