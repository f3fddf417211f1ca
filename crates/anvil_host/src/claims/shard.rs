//! Follows one shard's stream and appends to it, for this host and for others.

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

/// How often waiting questions are checked for their time.
const SWEEP_INTERVAL: Duration = Duration::from_millis(25);

/// How often it is checked whether a shard is still asked for.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(30);
/// Time after the last question at which a shard is no longer followed.
const IDLE_LIMIT: Duration = Duration::from_secs(300);

/// A question with where to send its reply.
#[derive(Debug)]
pub struct QueuedRequest {
    /// The question.
    pub request: ShardRequest,
    /// When the asker stops waiting.
    pub until: Instant,
    /// Where the reply goes.
    pub reply: oneshot::Sender<Result<ShardResponse, ShardUnavailable>>,
}

type Replier = oneshot::Sender<Result<ShardResponse, ShardUnavailable>>;

/// Which record a question waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RecordName {
    claim: ClaimId,
    kind: mem::Discriminant<Record>,
}

impl RecordName {
    fn of(record: &Record) -> Self {
        Self {
            claim: record.claim().clone(),
            kind: mem::discriminant(record),
        }
    }
}

/// A question that waits for a look at the log.
struct Waiting {
    hash: KeyHash,
    digest: RequestDigest,
    until: Instant,
    reply: Replier,
}

/// Records that wait to be read back.
struct Unread {
    record: Record,
    until: Instant,
    append_state: AppendState,
    repliers: Vec<Replier>,
}

/// A caller waits for a claim or release, and an operator for a settlement.
fn urgency_of(record: &Record) -> Urgency {
    match record {
        Record::Claim { .. } | Record::Release { .. } | Record::Settle { .. } => Urgency::Now,
        Record::Outcome { .. } | Record::Lost { .. } => Urgency::Soon,
    }
}

/// A running shard.
pub struct ShardTask {
    shard: Shard,
    settings: Settings,
    /// Invariant: holds every record that the log keeps, up to its next offset, once `caught_up`.
    index: Index,
    caught_up: bool,
    halted: Option<DecodeError>,
    tail: Tail,
    appender: Appender,
    unread: HashMap<RecordName, Unread>,
    /// Questions that wait for the first catch-up.
    early: Vec<QueuedRequest>,
    followers: Vec<Waiting>,
    fresh: Vec<Waiting>,
    /// Questions that the fresh read on its way answers.
    fresh_asked: Vec<Waiting>,
    asked_at: Instant,
    sweep_at: Instant,
}

impl ShardTask {
    /// Makes the task of a shard.
    pub fn new(shard: Shard, settings: Settings, log: Arc<dyn Log>, stream: LogStreamId) -> Self {
        Self {
            shard,
            index: Index::new(0, settings.key_life),
            caught_up: false,
            halted: None,
            tail: Tail::new(Arc::clone(&log), stream.clone()),
            appender: Appender::new(log, stream, &settings),
            settings,
            unread: HashMap::new(),
            early: Vec::new(),
            followers: Vec::new(),
            fresh: Vec::new(),
            fresh_asked: Vec::new(),
            asked_at: Instant::now(),
            sweep_at: Instant::now(),
        }
    }

    /// Runs until stopped, or until nobody can ask any more.
    pub async fn run(mut self, mut asks: mpsc::Receiver<QueuedRequest>, stop: CancellationToken) {
        loop {
            self.tail.start(self.index.next_offset(), self.caught_up);
            self.start_fresh_read();
            self.appender.start(Instant::now());
            tokio::select! {
                () = stop.cancelled() => return,
                ask = asks.recv() => match ask {
                    Some(ask) => self.ask(ask),
                    None => return,
                },
                read = self.tail.next() => match read {
                    TailRead::Long(batch) => self.take_batch(batch),
                    TailRead::Fresh(batch) => self.take_fresh(batch),
                },
                appended = self.appender.next() => self.take_appended(&appended),
                () = tokio::time::sleep_until(self.sweep_at) => {
                    let now = Instant::now();
                    self.sweep(now);
                    if self.is_idle(now) {
                        return;
                    }
                }
            }
        }
    }

    fn nobody_waits(&self) -> bool {
        self.unread.is_empty()
            && self.followers.is_empty()
            && self.early.is_empty()
            && self.fresh.is_empty()
            && self.fresh_asked.is_empty()
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.nobody_waits() && now.duration_since(self.asked_at) > IDLE_LIMIT
    }

    fn ask(&mut self, ask: QueuedRequest) {
        self.asked_at = Instant::now();
        self.sweep_at = self.sweep_at.min(self.asked_at + SWEEP_INTERVAL);
        if let Some(error) = &self.halted {
            let _gone = ask
                .reply
                .send(Err(self.unavailable(AppendState::NotAppended, error)));
            return;
        }
        if !self.caught_up {
            self.early.push(ask);
            return;
        }
        let QueuedRequest {
            request,
            until,
            reply,
        } = ask;
        match request {
            ShardRequest::Lookup {
                hash,
                digest,
                freshness: Freshness::Known,
            } => {
                let _gone = reply.send(Ok(self.view(&hash, &digest)));
            }
            ShardRequest::Lookup {
                hash,
                digest,
                freshness: Freshness::Fresh,
            } => self.fresh.push(Waiting {
                hash,
                digest,
                until,
                reply,
            }),
            ShardRequest::AwaitOutcome { hash, digest } => {
                self.followers.push(Waiting {
                    hash,
                    digest,
                    until,
                    reply,
                });
                self.answer_followers();
            }
            ShardRequest::Append(record) => self.append(record, until, reply),
            ShardRequest::ListOpen { age } => {
                let open = self.index.open_claims(age, Instant::now().into_std());
                let _gone = reply.send(Ok(ShardResponse::OpenClaims(open)));
            }
            ShardRequest::Warm => {
                let _gone = reply.send(Ok(ShardResponse::ReadBack));
            }
        }
    }

    fn append(&mut self, record: Record, until: Instant, reply: Replier) {
        let name = RecordName::of(&record);
        if let Some(unread) = self.unread.get_mut(&name) {
            unread.until = unread.until.max(until);
            unread.repliers.push(reply);
            return;
        }
        self.appender
            .push(name.clone(), codec::encode(&record), urgency_of(&record));
        self.unread.insert(
            name,
            Unread {
                record,
                until,
                append_state: AppendState::NotAppended,
                repliers: vec![reply],
            },
        );
    }

    fn take_appended(&mut self, appended: &appender::AppendResult) {
        for name in &appended.names {
            if let Some(unread) = self.unread.get_mut(name) {
                unread.append_state = unread.append_state.max(appended.append_state);
            }
        }
        if let Some(error) = &appended.error {
            spdlog::warn!("claims.append_failed", kv: { shard = self.shard, error: = error });
            let unread: Vec<_> = appended
                .names
                .iter()
                .filter_map(|name| Some((name.clone(), self.unread.get(name)?)))
                .map(|(name, unread)| {
                    let record = &unread.record;
                    (name, codec::encode(record), urgency_of(record))
                })
                .collect();
            for (name, payload, urgency) in unread {
                self.appender.push(name, payload, urgency);
            }
        }
    }

    fn take_batch(&mut self, batch: Result<Batch, crate::port::CallError>) {
        match batch {
            Ok(batch) => {
                self.apply(&batch);
                self.answer_followers();
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
        self.fresh_asked.append(&mut self.fresh);
        if !self.fresh_asked.is_empty() {
            self.tail.start_fresh(self.index.next_offset());
        }
    }

    fn take_fresh(&mut self, batch: Result<Batch, crate::port::CallError>) {
        let complete = match batch {
            Ok(batch) => {
                self.apply(&batch);
                self.index.next_offset() >= batch.end_offset
            }
            Err(error) => {
                for waiting in mem::take(&mut self.fresh_asked) {
                    let error = self.unavailable(AppendState::NotAppended, &error);
                    let _gone = waiting.reply.send(Err(error));
                }
                return;
            }
        };
        if !complete {
            // More records than one read gives: the next round reads on for the same questions.
            return;
        }
        for waiting in mem::take(&mut self.fresh_asked) {
            let view = self.view(&waiting.hash, &waiting.digest);
            let _gone = waiting.reply.send(Ok(view));
        }
        self.answer_followers();
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
            self.apply_one(record, now);
        }
        if self.index.next_offset() >= batch.end_offset && !self.caught_up {
            self.caught_up = true;
            for ask in mem::take(&mut self.early) {
                self.ask(ask);
            }
        }
    }

    fn apply_one(&mut self, record: &crate::port::LogRecord, now: std::time::Instant) {
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
        let name = RecordName::of(record);
        let Some(unread) = self.unread.remove(&name) else {
            return;
        };
        self.appender.remove(&name);
        let reply = match record {
            Record::Claim { key, digest, .. } => self.view(&key.hash(), digest),
            Record::Release { .. }
            | Record::Lost { .. }
            | Record::Outcome { .. }
            | Record::Settle { .. } => ShardResponse::ReadBack,
        };
        for replier in unread.repliers {
            let _gone = replier.send(Ok(reply.clone()));
        }
    }

    fn answer_followers(&mut self) {
        let followers = mem::take(&mut self.followers);
        for waiting in followers {
            let now = Instant::now();
            let key_status = self
                .index
                .key_status(&waiting.hash, &waiting.digest, now.into_std());
            let is_open = matches!(
                key_status,
                anvil_core::claims::KeyStatus::Claimed { lost: None, .. }
            );
            if is_open && now < waiting.until {
                self.followers.push(waiting);
                continue;
            }
            let view = self.view(&waiting.hash, &waiting.digest);
            let _gone = waiting.reply.send(Ok(view));
        }
    }

    fn sweep(&mut self, now: Instant) {
        let interval = if self.nobody_waits() {
            IDLE_SWEEP_INTERVAL
        } else {
            SWEEP_INTERVAL
        };
        self.sweep_at = now + interval;
        self.answer_followers();
        self.followers.retain(|waiting| !waiting.reply.is_closed());
        let late: Vec<_> = self
            .unread
            .iter()
            .filter(|(_, unread)| unread.until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in late {
            self.drop_unread(&name);
        }
        let (late, early): (Vec<_>, Vec<_>) = mem::take(&mut self.early)
            .into_iter()
            .partition(|ask| ask.until <= now);
        self.early = early;
        for ask in late {
            let error = self.unavailable(AppendState::NotAppended, &"the shard is not caught up");
            let _gone = ask.reply.send(Err(error));
        }
        self.sweep_fresh(now);
    }

    fn sweep_fresh(&mut self, now: Instant) {
        let waiting = mem::take(&mut self.fresh_asked);
        let (late, left): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|waiting| waiting.until <= now);
        self.fresh_asked = left;
        for waiting in late {
            let error =
                self.unavailable(AppendState::NotAppended, &"the log gave no answer in time");
            let _gone = waiting.reply.send(Err(error));
        }
    }

    /// Gives up a record. One that waits for its append is never appended afterwards.
    fn drop_unread(&mut self, name: &RecordName) {
        let Some(unread) = self.unread.remove(name) else {
            return;
        };
        let in_flight = self.appender.remove(name);
        let append_state = unread.append_state.max(in_flight);
        for replier in unread.repliers {
            let error = self.unavailable(append_state, &"the record was not read back in time");
            let _gone = replier.send(Err(error));
        }
    }

    fn halt(&mut self, error: DecodeError) {
        spdlog::error!("claims.halted", kv: { shard = self.shard, error: = error });
        let names: Vec<_> = self.unread.keys().cloned().collect();
        for name in names {
            self.drop_unread(&name);
        }
        let waiting = self.followers.drain(..).chain(self.fresh_asked.drain(..));
        let repliers = waiting.map(|waiting| waiting.reply);
        let early = self.early.drain(..).map(|ask| ask.reply);
        for reply in repliers.chain(early) {
            let error = ShardUnavailable {
                shard: self.shard,
                append_state: AppendState::NotAppended,
                message: error.to_string(),
            };
            let _gone = reply.send(Err(error));
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
