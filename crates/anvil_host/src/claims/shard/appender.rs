//! Appends records to a shard's stream in batches, at a limited rate.

use std::{
    mem,
    sync::Arc,
    time::Duration, //
};

use anvil_core::{
    claims::Settings,
    id::LogStreamId, //
};
use bytes::Bytes;
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use tokio::time::Instant;

use super::RecordId;
use crate::{
    claims::messages::AppendState,
    port::{
        CallError,
        CallErrorKind,
        Log, //
    }, //
};

/// Maximum number of records in one append.
const BATCH_LIMIT_RECORDS: usize = 1000;
/// Pause after a failed append.
const ERROR_BACKOFF: Duration = Duration::from_millis(100);
/// Time limit of one append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for which a deferrable record is held back so that it can share an append.
const DEFER_LIMIT: Duration = Duration::from_millis(200);

/// Whether a record may be held back so that it can share an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// A caller or operator waits for the record.
    Immediate,
    /// No caller waits for the record. It is held back while few appends are left in the burst.
    Deferrable,
}

/// Result of an append.
pub struct AppendResult {
    /// Records of the append.
    pub record_ids: Vec<RecordId>,
    /// Whether the records may be on the log.
    pub append_state: AppendState,
    /// Error of a failed append, or `None` if the append succeeded.
    pub error: Option<CallError>,
}

/// Appends a shard's records in batches, with at most one append in flight.
pub struct Appender {
    log: Arc<dyn Log>,
    stream: LogStreamId,
    queued: Vec<(RecordId, Bytes)>,
    /// Time from which the queued records are appended without waiting for more.
    due_at: Option<Instant>,
    in_flight: Option<InFlight>,
    rate_limiter: RateLimiter,
}

struct InFlight {
    record_ids: Vec<RecordId>,
    result: BoxFuture<'static, Result<(), CallError>>,
}

impl Appender {
    /// Creates an appender with an empty queue.
    pub fn new(log: Arc<dyn Log>, stream: LogStreamId, settings: &Settings) -> Self {
        Self {
            log,
            stream,
            queued: Vec::new(),
            due_at: None,
            in_flight: None,
            rate_limiter: RateLimiter::new(settings),
        }
    }

    /// Adds a record to the next batch. An immediate record makes the batch due at once.
    pub fn push(&mut self, record_id: RecordId, payload: Bytes, urgency: Urgency) {
        let now = Instant::now();
        let due_at = match urgency {
            Urgency::Immediate => now,
            Urgency::Deferrable if self.rate_limiter.has_spare(now) => now,
            Urgency::Deferrable => now + DEFER_LIMIT,
        };
        self.due_at = Some(
            self.due_at
                .map_or(due_at, |earlier_due_at| earlier_due_at.min(due_at)),
        );
        self.queued.push((record_id, payload));
    }

    /// Removes a record from the next batch, and returns whether an append in flight may hold it.
    pub fn remove(&mut self, record_id: &RecordId) -> AppendState {
        self.queued.retain(|(queued, _)| queued != record_id);
        match &self.in_flight {
            Some(in_flight) if in_flight.record_ids.contains(record_id) => AppendState::Unknown,
            Some(_) | None => AppendState::NotAppended,
        }
    }

    /// Starts an append if queued records are due, no append is in flight, and the rate allows it.
    pub fn start(&mut self, now: Instant) {
        let is_due = self.due_at.is_some_and(|due_at| due_at <= now);
        if self.in_flight.is_some()
            || self.queued.is_empty()
            || !is_due
            || !self.rate_limiter.try_take(now)
        {
            return;
        }
        let remaining = self
            .queued
            .split_off(self.queued.len().min(BATCH_LIMIT_RECORDS));
        let (record_ids, payloads) = mem::replace(&mut self.queued, remaining)
            .into_iter()
            .unzip();
        self.due_at = (!self.queued.is_empty()).then_some(now);
        let log = Arc::clone(&self.log);
        let stream = self.stream.clone();
        let result = async move {
            let append = log.append(&stream, payloads);
            match tokio::time::timeout(APPEND_TIMEOUT, append).await {
                Ok(result) => result.map(|_| ()),
                Err(_) => Err(CallError {
                    operation: "append",
                    peer: stream,
                    kind: CallErrorKind::AnswerLost,
                    message: "no answer in time".to_owned(),
                }),
            }
        };
        self.in_flight = Some(InFlight {
            record_ids,
            result: result.boxed(),
        });
    }

    /// Waits until an append ends. Starts the next append when it is due if none is in flight.
    pub async fn next(&mut self) -> AppendResult {
        loop {
            if let Some(in_flight) = &mut self.in_flight {
                let result = in_flight.result.as_mut().await;
                let record_ids = mem::take(&mut in_flight.record_ids);
                self.in_flight = None;
                return self.finish_append(record_ids, result.err());
            }
            if self.queued.is_empty() {
                futures::future::pending::<()>().await;
            }
            let due_at = self.due_at.unwrap_or_else(Instant::now);
            tokio::time::sleep_until(self.rate_limiter.next_at().max(due_at)).await;
            self.start(Instant::now());
        }
    }

    fn finish_append(
        &mut self,
        record_ids: Vec<RecordId>,
        error: Option<CallError>,
    ) -> AppendResult {
        let append_state = match &error {
            None => AppendState::Unknown,
            Some(error) => match error.kind {
                CallErrorKind::AnswerLost => AppendState::Unknown,
                CallErrorKind::NotSent | CallErrorKind::Refused => AppendState::NotAppended,
            },
        };
        if error.is_some() {
            self.rate_limiter.pause(Instant::now() + ERROR_BACKOFF);
        }
        AppendResult {
            record_ids,
            append_state,
            error,
        }
    }
}

/// A token bucket that limits the rate of appends.
struct RateLimiter {
    interval: Duration,
    burst: u32,
    /// Time at which the bucket will be full.
    full_at: Instant,
    paused_until: Instant,
}

impl RateLimiter {
    fn new(settings: &Settings) -> Self {
        let now = Instant::now();
        Self {
            interval: Duration::from_secs(1) / settings.append_rate_per_s.max(1),
            burst: settings.append_burst.max(1),
            full_at: now,
            paused_until: now,
        }
    }

    /// Returns the time from which an append is allowed.
    fn next_at(&self) -> Instant {
        let burst_time = self.interval * (self.burst - 1);
        let allowed_at = self.full_at.checked_sub(burst_time).unwrap_or(self.full_at);
        allowed_at.max(self.paused_until)
    }

    /// Returns whether more than half of the burst is left.
    fn has_spare(&self, now: Instant) -> bool {
        self.full_at.saturating_duration_since(now) < self.interval * (self.burst / 2)
    }

    fn try_take(&mut self, now: Instant) -> bool {
        if now < self.next_at() {
            return false;
        }
        self.full_at = self.full_at.max(now) + self.interval;
        true
    }

    fn pause(&mut self, until: Instant) {
        self.paused_until = until;
    }
}
