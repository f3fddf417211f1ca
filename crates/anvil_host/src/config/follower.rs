//! The task that judges records and puts versions in force.

mod sources;

#[cfg(test)]
pub use sources::readers;

use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};

use anvil_core::{
    config::{
        Relation,
        Settings,
        State,
        Verdict, //
    },
    id::{
        DataCentreId,
        HostId,
        LogStreamId,
        Offset,
        Version, //
    }, //
};
use arc_swap::ArcSwap;
use bytes::Bytes;
use tokio::{
    sync::{
        mpsc,
        oneshot,
        watch, //
    },
    time::Instant, //
};
use tokio_util::sync::CancellationToken;

use self::sources::{
    Event,
    Sources, //
};
use super::{
    exchange,
    messages::{
        self,
        Position,
        PullResponse,
        Records, //
    },
    recent::RecentRecords,
    snapshot::{
        LoadedSnapshot,
        SnapshotStore, //
    }, //
};
use crate::{
    port::{
        Log,
        LogBatch,
        Peers, //
    },
    roster::{
        self,
        Roster, //
    }, //
};

/// Peers' messages that may wait.
const INBOX_LIMIT: usize = 256;

/// Puts a state in force in the host.
pub type ApplyState = Box<dyn Fn(&State) + Send + Sync>;

/// What a follower is made of.
pub struct FollowerContext {
    /// Name of this host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Other hosts.
    pub peers: Arc<dyn Peers>,
    /// The hosts that are believed to live.
    pub roster: Arc<dyn Roster>,
    /// Puts a newer version in force.
    pub apply_state: ApplyState,
}

/// A peer's message with where to send the answer.
enum Message {
    Push {
        records: Records,
        answer: oneshot::Sender<Bytes>,
    },
    Pull {
        next_offset: Offset,
        answer: oneshot::Sender<Bytes>,
    },
}

/// What the rest of the host does with the configuration.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Inner>,
}

struct Inner {
    settings: Settings,
    stream: LogStreamId,
    log: Arc<dyn Log>,
    state: ArcSwap<State>,
    changed: watch::Sender<Offset>,
    inbox: mpsc::Sender<Message>,
    /// Where messages arrive, until the follower takes it.
    arrivals: Mutex<Option<mpsc::Receiver<Message>>>,
}

impl Handle {
    /// Makes the handle of a host that has no version yet.
    pub fn new(settings: Settings, stream: LogStreamId, log: Arc<dyn Log>) -> Self {
        let (inbox, arrivals) = mpsc::channel(INBOX_LIMIT);
        Self {
            shared: Arc::new(Inner {
                settings,
                stream,
                log,
                state: ArcSwap::default(),
                changed: watch::Sender::new(0),
                inbox,
                arrivals: Mutex::new(Some(arrivals)),
            }),
        }
    }

    /// The state after the records judged so far.
    pub fn state(&self) -> Arc<State> {
        self.shared.state.load_full()
    }

    /// Tells of each record judged.
    pub fn changes(&self) -> watch::Receiver<Offset> {
        self.shared.changed.subscribe()
    }

    /// How the configuration is followed.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    pub(super) fn log(&self) -> &Arc<dyn Log> {
        &self.shared.log
    }

    pub(super) fn stream(&self) -> &LogStreamId {
        &self.shared.stream
    }

    /// Answers a peer's message.
    ///
    /// # Errors
    ///
    /// A path or body that is not of the configuration's messages, or a host that stops.
    pub async fn handle_peer_message(&self, path: &str, body: &[u8]) -> Result<Bytes, String> {
        let (answer, answered) = oneshot::channel();
        let message = match path {
            messages::PUSH_PATH => Message::Push {
                records: messages::decode_push(body)?,
                answer,
            },
            messages::PULL_PATH => Message::Pull {
                next_offset: messages::decode_pull(body)?,
                answer,
            },
            _ => return Err(format!("no such path: {path}")),
        };
        let busy = |_| "too many messages wait".to_owned();
        self.shared.inbox.try_send(message).map_err(busy)?;
        answered.await.map_err(|_| "the host stops".to_owned())
    }
}

/// Follows the configuration.
pub struct Follower {
    parts: FollowerContext,
    shared: Arc<Inner>,
    inbox: mpsc::Receiver<Message>,
    /// Invariant: its version never falls.
    state: State,
    /// Version that is in force in the host. Invariant: never above the state's.
    in_force: Version,
    recent: RecentRecords,
    snapshots: SnapshotStore,
    sources: Sources,
    /// What is known of the last snapshot on the log.
    snapshot: LastSnapshot,
}

/// The last snapshot on the log, as far as is known.
#[derive(Clone, Copy, Debug, Default)]
struct LastSnapshot {
    next_offset: Offset,
    written_at: Option<Instant>,
}

impl Follower {
    /// Makes the follower behind a handle.
    ///
    /// # Panics
    ///
    /// When the handle has one already.
    pub fn new(handle: &Handle, parts: FollowerContext) -> Self {
        let shared = Arc::clone(&handle.shared);
        let arrivals = shared
            .arrivals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let snapshots = SnapshotStore::new(Arc::clone(&shared.log), &shared.stream);
        Self {
            sources: Sources::new(handle, &parts, snapshots.clone()),
            shared,
            inbox: arrivals.expect("a handle has one follower"),
            state: State::default(),
            in_force: 0,
            recent: RecentRecords::default(),
            snapshots,
            snapshot: LastSnapshot::default(),
            parts,
        }
    }

    /// Follows until stopped.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            self.sources.start(&self.state);
            tokio::select! {
                () = stop.cancelled() => return,
                message = self.inbox.recv() => match message {
                    Some(message) => self.take_message(message),
                    None => return,
                },
                event = self.sources.next() => self.take_event(event),
            }
            self.publish();
        }
    }

    fn take_event(&mut self, event: Event) {
        match event {
            Event::Read(Ok(batch)) => self.take_batch(batch),
            Event::Read(Err(error)) => {
                spdlog::warn!("config.log_unavailable", kv: { error: = error });
            }
            Event::Pulled(Ok(pulled)) => self.take_pulled(pulled),
            Event::Pulled(Err(error)) => {
                spdlog::debug!("config.pull_failed", kv: { error = error.as_str() });
            }
            Event::Snapshot(Ok(found)) => self.take_snapshot(found),
            Event::Snapshot(Err(error)) => {
                spdlog::warn!("config.snapshot_unavailable", kv: { error: = error });
            }
            Event::SnapshotTick => self.write_snapshot_if_due(),
            Event::SnapshotWritten(next_offset) => {
                self.snapshot = LastSnapshot {
                    next_offset,
                    written_at: Some(Instant::now()),
                };
            }
            Event::Tick => {}
        }
    }

    fn take_batch(&mut self, batch: LogBatch) {
        let next = self.state.next_offset();
        if batch.horizon_offset > next {
            spdlog::warn!("config.gap", kv: { next, horizon = batch.horizon_offset });
            self.sources.record_gap();
            return;
        }
        self.sources.record_contiguous();
        let records = Records {
            from_offset: next,
            next_offset: batch.records.last().map_or(next, |last| last.offset + 1),
            records: batch
                .records
                .into_iter()
                .map(|record| (record.offset, record.payload))
                .collect(),
        };
        self.judge(&records);
        self.push_on(&records);
    }

    /// Judges the records that are new here.
    fn judge(&mut self, records: &Records) {
        assert!(
            records.from_offset <= self.state.next_offset(),
            "records from {} leave a gap after {}",
            records.from_offset,
            self.state.next_offset()
        );
        for (offset, payload) in &records.records {
            if *offset < self.state.next_offset() {
                continue;
            }
            if self.state.halted().is_some() {
                return;
            }
            let verdict = self.state.apply(*offset, payload);
            log_verdict(*offset, &verdict);
            if !matches!(verdict, Verdict::Halted(_)) {
                self.recent.push(*offset, payload.clone());
            }
        }
    }

    /// Passes records that were read from the log on to the data centre's other hosts.
    fn push_on(&self, records: &Records) {
        if records.records.is_empty() {
            return;
        }
        let position = Position::of(&self.state);
        let body = messages::encode_push(records, position);
        for member in self.parts.roster.members() {
            let is_other = member.address.id != self.parts.host;
            if is_other && member.data_centre == self.parts.data_centre {
                let peers = Arc::clone(&self.parts.peers);
                tokio::spawn(exchange::push(peers, member, body.clone(), position));
            }
        }
    }

    fn take_message(&mut self, message: Message) {
        match message {
            Message::Push { records, answer } => {
                if records.from_offset <= self.state.next_offset() {
                    self.judge(&records);
                } else {
                    self.sources.pull_now();
                }
                let position = Position::of(&self.state);
                let _gone = answer.send(messages::encode_push_response(position));
            }
            Message::Pull {
                next_offset,
                answer,
            } => {
                let position = Position::of(&self.state);
                let pulled = self.what_follows(next_offset);
                let _gone = answer.send(messages::encode_pull_response(&pulled, position));
            }
        }
    }

    fn what_follows(&self, next_offset: Offset) -> PullResponse {
        if next_offset >= self.state.next_offset() {
            return PullResponse::UpToDate;
        }
        match self.recent.since(next_offset) {
            Some(records) => PullResponse::Records(Records {
                from_offset: next_offset,
                next_offset: self.state.next_offset(),
                records,
            }),
            None => PullResponse::FullState(Box::new(self.state.clone())),
        }
    }

    fn take_pulled(&mut self, pulled: PullResponse) {
        match pulled {
            PullResponse::UpToDate => {}
            PullResponse::Records(records) if records.from_offset <= self.state.next_offset() => {
                self.judge(&records);
            }
            PullResponse::Records(_) => {}
            PullResponse::FullState(state) => self.adopt(*state, "peer"),
        }
    }

    fn take_snapshot(&mut self, found: Option<LoadedSnapshot>) {
        let Some(found) = found else { return };
        self.snapshot = LastSnapshot {
            next_offset: found.state.next_offset(),
            written_at: Instant::now().checked_sub(found.age),
        };
        self.adopt(found.state, "snapshot");
    }

    /// Goes on from a state that was judged elsewhere, if it continues this host's own.
    fn adopt(&mut self, state: State, source: &'static str) {
        if self.state.halted().is_some() || state.next_offset() <= self.state.next_offset() {
            return;
        }
        match self.state.relation(&state) {
            Relation::Newer | Relation::Same => {
                spdlog::info!("config.adopted", kv: { source, version = state.version() });
                self.recent.reset(state.next_offset());
                self.state = state;
            }
            Relation::Older => {}
            Relation::Diverged => {
                spdlog::error!("config.diverged", kv: {
                    source,
                    own_version = self.state.version(),
                    their_version = state.version(),
                });
            }
        }
    }

    fn publish(&mut self) {
        let published = self.shared.state.load();
        if published.next_offset() == self.state.next_offset()
            && published.halted() == self.state.halted()
        {
            return;
        }
        assert!(
            self.state.version() >= self.in_force,
            "configuration went from version {} to {}",
            self.in_force,
            self.state.version()
        );
        self.shared.state.store(Arc::new(self.state.clone()));
        if self.state.version() > self.in_force {
            self.in_force = self.state.version();
            (self.parts.apply_state)(&self.state);
            spdlog::info!("config.in_force", kv: { version = self.in_force });
        }
        self.shared.changed.send_replace(self.state.next_offset());
    }

    fn write_snapshot_if_due(&mut self) {
        let members = self.parts.roster.members();
        let writer = roster::choose(&members, "config-snapshot", 1);
        let is_writer = writer
            .first()
            .is_some_and(|writer| writer.address.id == self.parts.host);
        if is_writer && self.snapshot_is_due() {
            self.sources
                .write_snapshot(self.snapshots.clone(), self.state.clone());
        }
    }

    fn snapshot_is_due(&self) -> bool {
        let settings = &self.shared.settings;
        let records = self
            .state
            .next_offset()
            .saturating_sub(self.snapshot.next_offset);
        if records == 0 || self.state.version() == 0 {
            return false;
        }
        let is_old = self
            .snapshot
            .written_at
            .is_none_or(|at| at.elapsed() >= settings.snapshot_age);
        records >= settings.snapshot_every_records || is_old
    }
}

fn log_verdict(offset: Offset, verdict: &Verdict) {
    match verdict {
        Verdict::Accepted { .. } | Verdict::Stale { .. } | Verdict::Invalid { .. } => {
            spdlog::info!("config.judged", kv: { offset, verdict:? = verdict });
        }
        Verdict::Malformed { .. } => {
            spdlog::warn!("config.malformed", kv: { offset, verdict:? = verdict });
        }
        Verdict::Halted(halted) => {
            spdlog::error!("config.halted", kv: { offset, schema = halted.schema });
        }
    }
}
