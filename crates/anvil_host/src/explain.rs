//! Decisions about recent requests, kept in a bounded ring so that an operator can query them.
//!
//! A decision is recorded once: it is written to the log and kept in the ring. The ring is split
//! into shards by request, so that requests don't wait for one another.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    hash::BuildHasher,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::SystemTime, //
};

use anvil_core::id::{
    Attempt,
    RequestId, //
};
use anvil_settings::settings::Explain;
use foldhash::fast::FixedState;
use smol_str::SmolStr;

const SHARD_COUNT: usize = 64;
/// Longest reason that is kept; a longer one is truncated.
const REASON_LIMIT_BYTES: usize = 256;

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Name of the event, stable across releases, such as `route.chosen`.
    pub event: &'static str,
    /// Attempt that the decision concerns, or `None` if it concerns no single attempt.
    pub attempt: Option<Attempt>,
    /// What was chosen.
    pub chosen: SmolStr,
    /// Second-best choice, or `None` if there is none.
    pub runner_up: Option<SmolStr>,
    /// Reason for the choice.
    pub reason: SmolStr,
}

impl Decision {
    /// Creates a decision for `chosen` because of `reason`, which is truncated if it is too long.
    pub fn new(
        event: &'static str,
        chosen: impl Into<SmolStr>,
        reason: impl Into<SmolStr>,
    ) -> Self {
        let reason = reason.into();
        Self {
            event,
            attempt: None,
            chosen: chosen.into(),
            runner_up: None,
            reason: truncate_reason(reason),
        }
    }

    /// Sets the second-best choice.
    pub fn runner_up(self, runner_up: impl Into<SmolStr>) -> Self {
        Self {
            runner_up: Some(runner_up.into()),
            ..self
        }
    }

    /// Sets the attempt that the decision concerns.
    pub fn attempt(self, attempt: Attempt) -> Self {
        Self {
            attempt: Some(attempt),
            ..self
        }
    }

    fn log(&self, request: &RequestId) {
        spdlog::info!("{}", self.event, kv: {
            request = request.as_str(),
            attempt = self.attempt.unwrap_or(0),
            chosen = self.chosen.as_str(),
            runner_up = self.runner_up.as_deref().unwrap_or(""),
            reason = self.reason.as_str(),
        });
    }
}

fn truncate_reason(text: SmolStr) -> SmolStr {
    if text.len() <= REASON_LIMIT_BYTES {
        return text;
    }
    let end = text.floor_char_boundary(REASON_LIMIT_BYTES);
    SmolStr::new(&text[..end])
}

/// A decision with the time at which it was recorded.
#[derive(Clone, Debug)]
pub struct Record {
    /// Time at which the decision was recorded.
    pub at: SystemTime,
    /// Decision as it was logged.
    pub decision: Decision,
}

/// Decisions kept for one request.
#[derive(Clone, Debug, Default)]
pub struct Explanation {
    /// Decisions, oldest first.
    pub records: Vec<Record>,
    /// Number of decisions that were dropped because the request had too many.
    pub dropped_records: u64,
}

/// Bounded ring of decisions about recent requests.
#[derive(Debug)]
pub struct Ring {
    settings: Explain,
    hasher: FixedState,
    shards: Vec<Mutex<Shard>>,
}

#[derive(Debug, Default)]
struct Shard {
    /// Decisions by request. Invariant: holds the same requests as `insertion_order`, each once.
    requests: HashMap<RequestId, Explanation>,
    insertion_order: VecDeque<RequestId>,
}

impl Default for Ring {
    fn default() -> Self {
        Self::new(Explain::default())
    }
}

impl Ring {
    /// Creates an empty ring.
    pub fn new(settings: Explain) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self {
            settings,
            hasher: FixedState::default(),
            shards,
        }
    }

    /// Logs a decision and keeps it in the ring.
    pub fn record(&self, request: &RequestId, decision: Decision) {
        decision.log(request);
        let record = Record {
            at: SystemTime::now(),
            decision,
        };
        self.shard(request).push(request, record, &self.settings);
    }

    /// Returns the decisions kept for a request, or `None` if there are none.
    pub fn get(&self, request: &RequestId) -> Option<Explanation> {
        self.shard(request).requests.get(request).cloned()
    }

    /// Returns the number of requests for which decisions are kept.
    pub fn request_count(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| lock(shard).insertion_order.len())
            .sum()
    }

    fn shard(&self, request: &RequestId) -> MutexGuard<'_, Shard> {
        let hash = self.hasher.hash_one(request);
        lock(&self.shards[(hash % SHARD_COUNT as u64) as usize])
    }
}

/// Locks a shard. A panic of another holder can't leave the shard half changed in a way that
/// matters here, so a poisoned lock is used as it is.
fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shard {
    fn push(&mut self, request: &RequestId, record: Record, settings: &Explain) {
        if !self.requests.contains_key(request) {
            self.evict_oldest(settings.limit_requests.div_ceil(SHARD_COUNT));
            self.insertion_order.push_back(request.clone());
        }
        let explanation = self.requests.entry(request.clone()).or_default();
        if explanation.records.len() >= settings.limit_records_per_request {
            explanation
                .records
                .remove(settings.limit_records_per_request / 2);
            explanation.dropped_records += 1;
        }
        explanation.records.push(record);
    }

    fn evict_oldest(&mut self, limit_requests: usize) {
        while self.insertion_order.len() >= limit_requests.max(1) {
            let Some(oldest) = self.insertion_order.pop_front() else {
                return;
            };
            self.requests.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
