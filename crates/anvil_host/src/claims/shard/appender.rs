//! Appends records to a shard's stream in batches, at a bounded rate.

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

use super::RecordName;
use crate::{
    claims::messages::AppendState,
    port::{
        CallError,
        CallErrorKind,
        Log, //
    }, //
};

/// Most records of one append.
const BATCH_LIMIT_RECORDS: usize = 1000;
/// Pause after an append that failed.
const ERROR_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for an append's answer.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a record nobody waits for stays back, to share an append.
const SOON: Duration = Duration::from_millis(200);

/// Whether a record may stay back to share an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// A caller waits for it.
    Now,
    /// Nobody waits for it, while appends are scarce.
    Soon,
}

/// How an append ended.
pub struct AppendResult {
    /// Records that it held.
    pub names: Vec<RecordName>,
    /// Whether they may be on the log.
    pub append_state: AppendState,
    /// What went wrong.
    pub error: Option<CallError>,
}

/// Appends records in batches.
pub struct Appender {
    log: Arc<dyn Log>,
    stream: LogStreamId,
    waiting: Vec<(RecordName, Bytes)>,
    /// When the records that wait may have an append of their own.
    due_at: Option<Instant>,
    in_flight: Option<InFlight>,
    rate: Rate,
}

struct InFlight {
    names: Vec<RecordName>,
    result: BoxFuture<'static, Result<(), CallError>>,
}

impl Appender {
    /// Makes an appender.
    pub fn new(log: Arc<dyn Log>, stream: LogStreamId, settings: &Settings) -> Self {
        Self {
            log,
            stream,
            waiting: Vec::new(),
            due_at: None,
            in_flight: None,
            rate: Rate::new(settings),
        }
    }

    /// Adds a record to the next batch, which an urgent one does not let wait.
    pub fn push(&mut self, name: RecordName, payload: Bytes, urgency: Urgency) {
        let now = Instant::now();
        let due_at = match urgency {
            Urgency::Now => now,
            Urgency::Soon if self.rate.has_spare(now) => now,
            Urgency::Soon => now + SOON,
        };
        self.due_at = Some(self.due_at.map_or(due_at, |before| before.min(due_at)));
        self.waiting.push((name, payload));
    }

    /// Takes a record out of the next batch, and tells whether it may be on its way already.
    pub fn remove(&mut self, name: &RecordName) -> AppendState {
        self.waiting.retain(|(waiting, _)| waiting != name);
        match &self.in_flight {
            Some(in_flight) if in_flight.names.contains(name) => AppendState::Unknown,
            Some(_) | None => AppendState::NotAppended,
        }
    }

    /// Starts an append if there is something to append, none is on its way and the rate allows.
    pub fn start(&mut self, now: Instant) {
        let is_due = self.due_at.is_some_and(|due_at| due_at <= now);
        if self.in_flight.is_some() || self.waiting.is_empty() || !is_due || !self.rate.take(now) {
            return;
        }
        let rest = self
            .waiting
            .split_off(self.waiting.len().min(BATCH_LIMIT_RECORDS));
        let (names, payloads) = mem::replace(&mut self.waiting, rest).into_iter().unzip();
        self.due_at = (!self.waiting.is_empty()).then_some(now);
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
            names,
            result: result.boxed(),
        });
    }

    /// Waits for the append that is on its way, or for the time of the next one.
    pub async fn next(&mut self) -> AppendResult {
        loop {
            if let Some(in_flight) = &mut self.in_flight {
                let result = in_flight.result.as_mut().await;
                let names = mem::take(&mut in_flight.names);
                self.in_flight = None;
                return self.ended(names, result.err());
            }
            if self.waiting.is_empty() {
                futures::future::pending::<()>().await;
            }
            let due_at = self.due_at.unwrap_or_else(Instant::now);
            tokio::time::sleep_until(self.rate.next_at().max(due_at)).await;
            self.start(Instant::now());
        }
    }

    fn ended(&mut self, names: Vec<RecordName>, error: Option<CallError>) -> AppendResult {
        let append_state = match &error {
            None => AppendState::Unknown,
            Some(error) => match error.kind {
                CallErrorKind::AnswerLost => AppendState::Unknown,
                CallErrorKind::NotSent | CallErrorKind::Refused => AppendState::NotAppended,
            },
        };
        if error.is_some() {
            self.rate.pause(Instant::now() + ERROR_PAUSE);
        }
        AppendResult {
            names,
            append_state,
            error,
        }
    }
}

/// A token bucket over appends.
struct Rate {
    interval: Duration,
    burst: u32,
    /// Time at which the bucket is full again.
    full_at: Instant,
    paused_until: Instant,
}

impl Rate {
    fn new(settings: &Settings) -> Self {
        let now = Instant::now();
        Self {
            interval: Duration::from_secs(1) / settings.append_rate_per_s.max(1),
            burst: settings.append_burst.max(1),
            full_at: now,
            paused_until: now,
        }
    }

    /// Time from which an append is allowed.
    fn next_at(&self) -> Instant {
        let saved = self.interval * (self.burst - 1);
        let allowed_at = self.full_at.checked_sub(saved).unwrap_or(self.full_at);
        allowed_at.max(self.paused_until)
    }

    /// Tells whether more than half of the burst is left.
    fn has_spare(&self, now: Instant) -> bool {
        self.full_at.saturating_duration_since(now) < self.interval * (self.burst / 2)
    }

    fn take(&mut self, now: Instant) -> bool {
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
