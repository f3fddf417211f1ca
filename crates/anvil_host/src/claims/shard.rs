//! Follows one shard's log stream and appends records to it, for this host and for its peers.

mod appender;
mod tail;

use std::{
    collections::HashMap,
    mem,
    sync::Arc,
    time::Duration, //
};

use anvil_core::{
    claims::{
        ClaimId,
        Index,
        KeyHash,
        Record,
        RequestDigest,
        Settings,
        Shard, //
    },
    id::LogStreamId, //
};
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::Instant, //
};
use tokio_util::sync::CancellationToken;

use self::{
    appender::{
        Appender,
        Urgency, //
    },
    tail::{
        Batch,
        Tail, //
        TailRead,
    }, //
};
use super::{
    codec::{
        self,
        DecodeError, //
    },
    messages::{
        AppendState,
        Freshness,
        KeyView, //
        ShardRequest,
        ShardResponse,
        ShardUnavailable,
    }, //
};
use crate::port::Log;

/// Interval at which waiting requests are checked for their deadlines.
const SWEEP_INTERVAL: Duration = Duration::from_millis(25);

/// Interval at which a shard without waiting requests is checked for idleness.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(30);
/// Time after the last request at which the shard is no longer followed.
const IDLE_LIMIT: Duration = Duration::from_secs(300);

/// A request that was sent to a shard's task.
#[derive(Debug)]
pub struct QueuedRequest {
    /// The request to answer.
    pub request: ShardRequest,
    /// Time at which the sender of the request stops waiting.
    pub deadline: Instant,
    /// Channel on which the response is sent.
    pub reply: oneshot::Sender<Result<ShardResponse, ShardUnavailable>>,
}

type ReplySender = oneshot::Sender<Result<ShardResponse, ShardUnavailable>>;

/// Identifies a record that requests wait for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RecordId {
    claim: ClaimId,
    kind: mem::Discriminant<Record>,
}

impl RecordId {
    fn of(record: &Record) -> Self {
        Self {
            claim: record.claim().clone(),
            kind: mem::discriminant(record),
        }
    }
}

/// A request about a key that waits for further records of the log.
struct WaitingRequest {
    hash: KeyHash,
    digest: RequestDigest,
    deadline: Instant,
    reply: ReplySender,
}

/// A record to append that was not read back yet, with the requests that wait for it.
struct PendingRecord {
    record: Record,
    deadline: Instant,
    append_state: AppendState,
    reply_senders: Vec<ReplySender>,
}

/// Returns how urgent it is to append a record. A caller waits for a claim or release, and an
/// operator for a settlement.
fn urgency_of(record: &Record) -> Urgency {
    match record {
        Record::Claim { .. } | Record::Release { .. } | Record::Settle { .. } => Urgency::Immediate,
        Record::Outcome { .. } | Record::Lost { .. } => Urgency::Deferrable,
    }
}

/// The task that follows one shard and answers requests about its keys.
pub struct ShardTask {
    shard: Shard,
    settings: Settings,
    /// Invariant: once `caught_up`, holds every record that the log keeps before its next offset.
    index: Index,
    caught_up: bool,
    /// Set at a record whose schema version is unknown. Requests are refused from then on.
    halted: Option<DecodeError>,
    tail: Tail,
    appender: Appender,
    pending_records: HashMap<RecordId, PendingRecord>,
    /// Requests that wait until the shard has caught up with the log.
    catch_up_waiters: Vec<QueuedRequest>,
    /// Requests that wait for the outcome of a claim.
    outcome_waiters: Vec<WaitingRequest>,
    /// Look-ups that wait for the next fresh read to start.
    fresh_queued: Vec<WaitingRequest>,
    /// Look-ups that the fresh read in flight answers.
    fresh_in_flight: Vec<WaitingRequest>,
    last_request_at: Instant,
    next_sweep_at: Instant,
}

impl ShardTask {
    /// Creates the task of a shard without starting to read its stream.
    pub fn new(shard: Shard, settings: Settings, log: Arc<dyn Log>, stream: LogStreamId) -> Self {
        Self {
            shard,
            index: Index::new(0, settings.key_life),
            caught_up: false,
            halted: None,
            tail: Tail::new(Arc::clone(&log), stream.clone()),
            appender: Appender::new(log, stream, &settings),
            settings,
            pending_records: HashMap::new(),
            catch_up_waiters: Vec::new(),
            outcome_waiters: Vec::new(),
            fresh_queued: Vec::new(),
            fresh_in_flight: Vec::new(),
            last_request_at: Instant::now(),
            next_sweep_at: Instant::now(),
        }
    }

    /// Runs until it is stopped, no request can arrive any more, or the shard is idle.
    pub async fn run(
        mut self,
        mut requests: mpsc::Receiver<QueuedRequest>,
        stop: CancellationToken,
    ) {
        loop {
            self.tail.start(self.index.next_offset(), self.caught_up);
            self.start_fresh_read();
            self.appender.start(Instant::now());
            tokio::select! {
                () = stop.cancelled() => return,
                queued = requests.recv() => match queued {
                    Some(queued) => self.handle_request(queued),
                    None => return,
                },
                read = self.tail.next() => match read {
                    TailRead::LongPoll(batch) => self.handle_long_poll(batch),
                    TailRead::Fresh(batch) => self.handle_fresh_read(batch),
                },
                appended = self.appender.next() => self.handle_append_result(&appended),
                () = tokio::time::sleep_until(self.next_sweep_at) => {
                    let now = Instant::now();
                    self.sweep(now);
                    if self.is_idle(now) {
                        return;
                    }
                }
            }
        }
    }

    fn has_no_waiting_requests(&self) -> bool {
        self.pending_records.is_empty()
            && self.outcome_waiters.is_empty()
            && self.catch_up_waiters.is_empty()
            && self.fresh_queued.is_empty()
            && self.fresh_in_flight.is_empty()
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.has_no_waiting_requests() && now.duration_since(self.last_request_at) > IDLE_LIMIT
    }

    fn handle_request(&mut self, queued: QueuedRequest) {
        self.last_request_at = Instant::now();
        self.next_sweep_at = self
            .next_sweep_at
            .min(self.last_request_at + SWEEP_INTERVAL);
        if let Some(error) = &self.halted {
            let _disconnected = queued
                .reply
                .send(Err(self.unavailable(AppendState::NotAppended, error)));
            return;
        }
        if !self.caught_up {
            self.catch_up_waiters.push(queued);
            return;
        }
        let QueuedRequest {
            request,
            deadline,
            reply,
        } = queued;
        match request {
            ShardRequest::Lookup {
                hash,
                digest,
                freshness: Freshness::Known,
            } => {
                let _disconnected = reply.send(Ok(self.view(&hash, &digest)));
            }
            ShardRequest::Lookup {
                hash,
                digest,
                freshness: Freshness::Fresh,
            } => self.fresh_queued.push(WaitingRequest {
                hash,
                digest,
                deadline,
                reply,
            }),
            ShardRequest::AwaitOutcome { hash, digest } => {
                self.outcome_waiters.push(WaitingRequest {
                    hash,
                    digest,
                    deadline,
                    reply,
                });
                self.answer_outcome_waiters();
            }
            ShardRequest::Append(record) => self.append(record, deadline, reply),
            ShardRequest::ListOpen { age } => {
                let open = self.index.open_claims(age, Instant::now().into_std());
                let _disconnected = reply.send(Ok(ShardResponse::OpenClaims(open)));
            }
            ShardRequest::Warm => {
                let _disconnected = reply.send(Ok(ShardResponse::ReadBack));
            }
        }
    }

    fn append(&mut self, record: Record, deadline: Instant, reply: ReplySender) {
        let record_id = RecordId::of(&record);
        if let Some(pending) = self.pending_records.get_mut(&record_id) {
            pending.deadline = pending.deadline.max(deadline);
            pending.reply_senders.push(reply);
            return;
        }
        self.appender.push(
            record_id.clone(),
            codec::encode(&record),
            urgency_of(&record),
        );
        self.pending_records.insert(
            record_id,
            PendingRecord {
                record,
                deadline,
                append_state: AppendState::NotAppended,
                reply_senders: vec![reply],
            },
        );
    }

    fn handle_append_result(&mut self, appended: &appender::AppendResult) {
        for record_id in &appended.record_ids {
            if let Some(pending) = self.pending_records.get_mut(record_id) {
                pending.append_state = pending.append_state.max(appended.append_state);
            }
        }
        if let Some(error) = &appended.error {
            spdlog::warn!("claims.append_failed", kv: { shard = self.shard, error: = error });
            let retries: Vec<_> = appended
                .record_ids
                .iter()
                .filter_map(|record_id| {
                    Some((record_id.clone(), self.pending_records.get(record_id)?))
                })
                .map(|(record_id, pending)| {
                    let record = &pending.record;
                    (record_id, codec::encode(record), urgency_of(record))
                })
                .collect();
            for (record_id, payload, urgency) in retries {
                self.appender.push(record_id, payload, urgency);
            }
        }
    }

    fn handle_long_poll(&mut self, batch: Result<Batch, crate::port::CallError>) {
        match batch {
            Ok(batch) => {
                self.apply(&batch);
                self.answer_outcome_waiters();
            }
            Err(error) => {
                spdlog::warn!("claims.read_failed", kv: { shard = self.shard, error: = error });
            }
        }
    }

    fn start_fresh_read(&mut self) {
        if self.tail.has_fresh_read() {
            return;
        }
        self.fresh_in_flight.append(&mut self.fresh_queued);
        if !self.fresh_in_flight.is_empty() {
            self.tail.start_fresh(self.index.next_offset());
        }
    }

    fn handle_fresh_read(&mut self, batch: Result<Batch, crate::port::CallError>) {
        let is_complete = match batch {
            Ok(batch) => {
                self.apply(&batch);
                self.index.next_offset() >= batch.end_offset
            }
            Err(error) => {
                for waiting in mem::take(&mut self.fresh_in_flight) {
                    let error = self.unavailable(AppendState::NotAppended, &error);
                    let _disconnected = waiting.reply.send(Err(error));
                }
                return;
            }
        };
        if !is_complete {
            // The log holds more records than one read returns. The next read continues for the
            // same look-ups.
            return;
        }
        for waiting in mem::take(&mut self.fresh_in_flight) {
            let view = self.view(&waiting.hash, &waiting.digest);
            let _disconnected = waiting.reply.send(Ok(view));
        }
        self.answer_outcome_waiters();
    }

    fn apply(&mut self, batch: &Batch) {
        let now = Instant::now().into_std();
        if let Err(gap) = self.index.prune(batch.horizon_offset, now) {
            spdlog::warn!("claims.gap", kv: { shard = self.shard, gap: = gap });
            self.index = Index::new(gap.horizon_offset, self.settings.key_life);
            self.caught_up = false;
        }
        if self.index.is_retention_too_short(now) {
            spdlog::error!("claims.retention_too_short", kv: { shard = self.shard });
        }
        for record in &batch.records {
            if self.halted.is_some() {
                return;
            }
            if record.offset < self.index.next_offset() {
                continue;
            }
            self.apply_record(record, now);
        }
        if self.index.next_offset() >= batch.end_offset && !self.caught_up {
            self.caught_up = true;
            for queued in mem::take(&mut self.catch_up_waiters) {
                self.handle_request(queued);
            }
        }
    }

    fn apply_record(&mut self, record: &crate::port::LogRecord, now: std::time::Instant) {
        let decoded = match codec::decode(&record.payload) {
            Ok(decoded) => Some(decoded),
            Err(error @ DecodeError::UnknownSchema { .. }) => {
                self.halt(error);
                return;
            }
            Err(error @ (DecodeError::Malformed { .. } | DecodeError::Hash { .. })) => {
                spdlog::warn!("claims.malformed", kv: { shard = self.shard, error: = error });
                None
            }
        };
        let applied = self
            .index
            .apply(record.offset, record.age, decoded.as_ref(), now);
        let Some(decoded) = decoded else { return };
        spdlog::debug!("claims.applied", kv: {
            shard = self.shard,
            offset = record.offset,
            claim: = decoded.claim(),
            applied: = applied,
        });
        self.answer_read_back(&decoded);
    }

    fn answer_read_back(&mut self, record: &Record) {
        let record_id = RecordId::of(record);
        let Some(pending) = self.pending_records.remove(&record_id) else {
            return;
        };
        self.appender.remove(&record_id);
        let reply = match record {
            Record::Claim { key, digest, .. } => self.view(&key.hash(), digest),
            Record::Release { .. }
            | Record::Lost { .. }
            | Record::Outcome { .. }
            | Record::Settle { .. } => ShardResponse::ReadBack,
        };
        for reply_sender in pending.reply_senders {
            let _disconnected = reply_sender.send(Ok(reply.clone()));
        }
    }

    fn answer_outcome_waiters(&mut self) {
        let outcome_waiters = mem::take(&mut self.outcome_waiters);
        for waiting in outcome_waiters {
            let now = Instant::now();
            let key_status = self
                .index
                .key_status(&waiting.hash, &waiting.digest, now.into_std());
            let is_open = matches!(
                key_status,
                anvil_core::claims::KeyStatus::Claimed { lost: None, .. }
            );
            if is_open && now < waiting.deadline {
                self.outcome_waiters.push(waiting);
                continue;
            }
            let view = self.view(&waiting.hash, &waiting.digest);
            let _disconnected = waiting.reply.send(Ok(view));
        }
    }

    fn sweep(&mut self, now: Instant) {
        let interval = if self.has_no_waiting_requests() {
            IDLE_SWEEP_INTERVAL
        } else {
            SWEEP_INTERVAL
        };
        self.next_sweep_at = now + interval;
        self.answer_outcome_waiters();
        self.outcome_waiters
            .retain(|waiting| !waiting.reply.is_closed());
        let expired: Vec<_> = self
            .pending_records
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(record_id, _)| record_id.clone())
            .collect();
        for record_id in expired {
            self.fail_pending_record(&record_id);
        }
        let (expired, remaining): (Vec<_>, Vec<_>) = mem::take(&mut self.catch_up_waiters)
            .into_iter()
            .partition(|queued| queued.deadline <= now);
        self.catch_up_waiters = remaining;
        for queued in expired {
            let error = self.unavailable(AppendState::NotAppended, &"the shard is not caught up");
            let _disconnected = queued.reply.send(Err(error));
        }
        self.sweep_fresh(now);
    }

    fn sweep_fresh(&mut self, now: Instant) {
        let waiting = mem::take(&mut self.fresh_in_flight);
        let (expired, remaining): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|waiting| waiting.deadline <= now);
        self.fresh_in_flight = remaining;
        for waiting in expired {
            let error =
                self.unavailable(AppendState::NotAppended, &"the log gave no answer in time");
            let _disconnected = waiting.reply.send(Err(error));
        }
    }

    /// Gives up a record and answers its requests with an error. A record that is still queued for
    /// its append is never appended afterwards.
    fn fail_pending_record(&mut self, record_id: &RecordId) {
        let Some(pending) = self.pending_records.remove(record_id) else {
            return;
        };
        let in_flight = self.appender.remove(record_id);
        let append_state = pending.append_state.max(in_flight);
        for reply_sender in pending.reply_senders {
            let error = self.unavailable(append_state, &"the record was not read back in time");
            let _disconnected = reply_sender.send(Err(error));
        }
    }

    fn halt(&mut self, error: DecodeError) {
        spdlog::error!("claims.halted", kv: { shard = self.shard, error: = error });
        let record_ids: Vec<_> = self.pending_records.keys().cloned().collect();
        for record_id in record_ids {
            self.fail_pending_record(&record_id);
        }
        let waiting = self
            .outcome_waiters
            .drain(..)
            .chain(self.fresh_in_flight.drain(..));
        let reply_senders = waiting.map(|waiting| waiting.reply);
        let catch_up_waiters = self.catch_up_waiters.drain(..).map(|queued| queued.reply);
        for reply in reply_senders.chain(catch_up_waiters) {
            let error = ShardUnavailable {
                shard: self.shard,
                append_state: AppendState::NotAppended,
                message: error.to_string(),
            };
            let _disconnected = reply.send(Err(error));
        }
        self.halted = Some(error);
    }

    fn view(&self, hash: &KeyHash, digest: &RequestDigest) -> ShardResponse {
        let now = Instant::now().into_std();
        ShardResponse::KeyView(KeyView {
            end_offset: self.index.next_offset(),
            key_status: self.index.key_status(hash, digest, now),
        })
    }

    fn unavailable(&self, append_state: AppendState, cause: &impl ToString) -> ShardUnavailable {
        ShardUnavailable {
            shard: self.shard,
            append_state,
            message: cause.to_string(),
        }
    }
}
