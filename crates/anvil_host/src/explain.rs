//! Decisions about recent requests, kept in a bounded ring so that an operator can ask for them.
//!
//! A decision is recorded once: it becomes a log line and a record of the ring. The ring is split
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
/// Largest text of a reason that is kept.
const REASON_LIMIT_BYTES: usize = 256;

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Name of the event, stable over releases, such as `route.chosen`.
    pub event: &'static str,
    /// Attempt that it concerns.
    pub attempt: Option<Attempt>,
    /// What was chosen.
    pub chosen: SmolStr,
    /// What would have been chosen next.
    pub runner_up: Option<SmolStr>,
    /// Why.
    pub reason: SmolStr,
}

impl Decision {
    /// A decision for `chosen` because of `reason`.
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
            reason: shortened(reason),
        }
    }

    /// Names what would have been chosen next.
    pub fn runner_up(self, runner_up: impl Into<SmolStr>) -> Self {
        Self {
            runner_up: Some(runner_up.into()),
            ..self
        }
    }

    /// Names the attempt.
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

fn shortened(text: SmolStr) -> SmolStr {
    if text.len() <= REASON_LIMIT_BYTES {
        return text;
    }
    let end = text.floor_char_boundary(REASON_LIMIT_BYTES);
    SmolStr::new(&text[..end])
}

/// A decision with the time at which it was taken.
#[derive(Clone, Debug)]
pub struct Record {
    /// The time.
    pub at: SystemTime,
    /// The decision.
    pub decision: Decision,
}

/// Everything kept of one request.
#[derive(Clone, Debug, Default)]
pub struct Explanation {
    /// Decisions, oldest first.
    pub records: Vec<Record>,
    /// Decisions that were dropped because the request had too many.
    pub dropped_records: u64,
}

/// Decisions about recent requests.
#[derive(Debug)]
pub struct Ring {
    bounds: Explain,
    hasher: FixedState,
    shards: Vec<Mutex<Shard>>,
}

#[derive(Debug, Default)]
struct Shard {
    /// Invariant: holds the same requests as `order`, each once.
    requests: HashMap<RequestId, Explanation>,
    order: VecDeque<RequestId>,
}

impl Default for Ring {
    fn default() -> Self {
        Self::new(Explain::default())
    }
}

impl Ring {
    /// Makes an empty ring.
    pub fn new(bounds: Explain) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self {
            bounds,
            hasher: FixedState::default(),
            shards,
        }
    }

    /// Logs a decision and keeps it.
    pub fn record(&self, request: &RequestId, decision: Decision) {
        decision.log(request);
        let record = Record {
            at: SystemTime::now(),
            decision,
        };
        self.shard(request).push(request, record, &self.bounds);
    }

    /// What is kept of a request.
    pub fn get(&self, request: &RequestId) -> Option<Explanation> {
        self.shard(request).requests.get(request).cloned()
    }

    /// Number of requests of which decisions are kept.
    pub fn request_count(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| lock(shard).order.len())
            .sum()
    }

    fn shard(&self, request: &RequestId) -> MutexGuard<'_, Shard> {
        let hash = self.hasher.hash_one(request);
        lock(&self.shards[(hash % SHARD_COUNT as u64) as usize])
    }
}

/// A panic of another holder can't leave a shard half changed in a way that matters here.
fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shard {
    fn push(&mut self, request: &RequestId, record: Record, bounds: &Explain) {
        if !self.requests.contains_key(request) {
            self.make_room(bounds.limit_requests.div_ceil(SHARD_COUNT));
            self.order.push_back(request.clone());
        }
        let kept = self.requests.entry(request.clone()).or_default();
        if kept.records.len() >= bounds.limit_records_per_request {
            kept.records.remove(bounds.limit_records_per_request / 2);
            kept.dropped_records += 1;
        }
        kept.records.push(record);
    }

    fn make_room(&mut self, limit_requests: usize) {
        while self.order.len() >= limit_requests.max(1) {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.requests.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
