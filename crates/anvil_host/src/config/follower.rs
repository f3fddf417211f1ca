//! The task that evaluates configuration records and puts versions in force.

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

/// Largest number of peers' messages that wait for the follower; further ones are refused.
const INBOX_LIMIT_MESSAGES: usize = 256;

/// Callback that puts a state in force in the host.
pub type ApplyState = Box<dyn Fn(&State) + Send + Sync>;

/// What a follower needs of its host.
pub struct FollowerContext {
    /// ID of this host. It is compared with the roster to determine this host's duties.
    pub host: HostId,
    /// Data centre of this host. Records are pushed only to hosts of the same one.
    pub data_centre: DataCentreId,
    /// Connection to the other hosts.
    pub peers: Arc<dyn Peers>,
    /// The hosts that are believed to be live, this one included.
    pub roster: Arc<dyn Roster>,
    /// Called with each state whose version is above all versions before it.
    pub apply_state: ApplyState,
}

/// A peer's message and the channel for the response.
enum Message {
    Push {
        records: Records,
        response_sender: oneshot::Sender<Bytes>,
    },
    Pull {
        next_offset: Offset,
        response_sender: oneshot::Sender<Bytes>,
    },
}

/// Access to the configuration for the rest of the host. Clones share one state.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<HandleState>,
}

struct HandleState {
    settings: Settings,
    stream: LogStreamId,
    log: Arc<dyn Log>,
    state: ArcSwap<State>,
    changed: watch::Sender<Offset>,
    inbox: mpsc::Sender<Message>,
    /// Receiving end of `inbox`; `None` once the follower has taken it.
    receiver: Mutex<Option<mpsc::Receiver<Message>>>,
}

impl Handle {
    /// Creates the handle of a host that has no version yet.
    pub fn new(settings: Settings, stream: LogStreamId, log: Arc<dyn Log>) -> Self {
        let (inbox, receiver) = mpsc::channel(INBOX_LIMIT_MESSAGES);
        Self {
            shared: Arc::new(HandleState {
                settings,
                stream,
                log,
                state: ArcSwap::default(),
                changed: watch::Sender::new(0),
                inbox,
                receiver: Mutex::new(Some(receiver)),
            }),
        }
    }

    /// Returns the state after the records evaluated so far.
    pub fn state(&self) -> Arc<State> {
        self.shared.state.load_full()
    }

    /// Returns a receiver that is notified after records were evaluated; its value is the offset of
    /// the next record.
    pub fn changes(&self) -> watch::Receiver<Offset> {
        self.shared.changed.subscribe()
    }

    /// Returns the settings of the follower.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    pub(super) fn log(&self) -> &Arc<dyn Log> {
        &self.shared.log
    }

    pub(super) fn stream(&self) -> &LogStreamId {
        &self.shared.stream
    }

    /// Passes a peer's message to the follower and returns its response.
    ///
    /// # Errors
    ///
    /// The path or body is not that of a configuration message, the inbox is full, or the host is
    /// stopping.
    pub async fn handle_peer_message(&self, path: &str, body: &[u8]) -> Result<Bytes, String> {
        let (response_sender, response_receiver) = oneshot::channel();
        let message = match path {
            messages::PUSH_PATH => Message::Push {
                records: messages::decode_push(body)?,
                response_sender,
            },
            messages::PULL_PATH => Message::Pull {
                next_offset: messages::decode_pull(body)?,
                response_sender,
            },
            _ => return Err(format!("no such path: {path}")),
        };
        let inbox_full = |_| "the inbox for peer messages is full".to_owned();
        self.shared.inbox.try_send(message).map_err(inbox_full)?;
        response_receiver
            .await
            .map_err(|_| "the host is stopping".to_owned())
    }
}

/// Task that evaluates the configuration records of the log and of peers.
pub struct Follower {
    context: FollowerContext,
    shared: Arc<HandleState>,
    inbox: mpsc::Receiver<Message>,
    /// State after the records evaluated so far. Invariant: its version never decreases.
    state: State,
    /// Version that is in force in the host. Invariant: never above that of `state`.
    in_force: Version,
    recent: RecentRecords,
    snapshots: SnapshotStore,
    sources: Sources,
    /// The last snapshot on the log, as far as this host knows.
    snapshot: LastSnapshot,
}

/// Position and time of a snapshot on the log. The default stands for no snapshot.
#[derive(Clone, Copy, Debug, Default)]
struct LastSnapshot {
    next_offset: Offset,
    written_at: Option<Instant>,
}

impl Follower {
    /// Creates the follower behind a handle.
    ///
    /// # Panics
    ///
    /// Panics if the handle already has a follower.
    pub fn new(handle: &Handle, context: FollowerContext) -> Self {
        let shared = Arc::clone(&handle.shared);
        let receiver = shared
            .receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let snapshots = SnapshotStore::new(Arc::clone(&shared.log), &shared.stream);
        Self {
            sources: Sources::new(handle, &context, snapshots.clone()),
            shared,
            inbox: receiver.expect("a handle must have only one follower"),
            state: State::default(),
            in_force: 0,
            recent: RecentRecords::default(),
            snapshots,
            snapshot: LastSnapshot::default(),
            context,
        }
    }

    /// Follows the configuration until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            self.sources.start(&self.state);
            tokio::select! {
                () = stop.cancelled() => return,
                message = self.inbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                event = self.sources.next() => self.handle_event(event),
            }
            self.publish_state();
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Read(Ok(batch)) => self.handle_log_batch(batch),
            Event::Read(Err(error)) => {
                spdlog::warn!("config.log_unavailable", kv: { error: = error });
            }
            Event::Pulled(Ok(response)) => self.handle_pull_response(response),
            Event::Pulled(Err(error)) => {
                spdlog::debug!("config.pull_failed", kv: { error = error.as_str() });
            }
            Event::Snapshot(Ok(loaded)) => self.handle_snapshot(loaded),
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

    fn handle_log_batch(&mut self, batch: LogBatch) {
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
        self.apply_records(&records);
        self.push_to_peers(&records);
    }

    /// Evaluates the records that this host has not evaluated yet.
    fn apply_records(&mut self, records: &Records) {
        assert!(
            records.from_offset <= self.state.next_offset(),
            "records start at offset {}, after the next expected offset {}",
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

    /// Sends records that were read from the log to the other hosts of the data centre.
    fn push_to_peers(&self, records: &Records) {
        if records.records.is_empty() {
            return;
        }
        let position = Position::of(&self.state);
        let body = messages::encode_push(records, position);
        for member in self.context.roster.members() {
            let is_other = member.address.id != self.context.host;
            if is_other && member.data_centre == self.context.data_centre {
                let peers = Arc::clone(&self.context.peers);
                tokio::spawn(exchange::push(peers, member, body.clone(), position));
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Push {
                records,
                response_sender,
            } => {
                if records.from_offset <= self.state.next_offset() {
                    self.apply_records(&records);
                } else {
                    self.sources.pull_soon();
                }
                let position = Position::of(&self.state);
                let _peer_gone = response_sender.send(messages::encode_push_response(position));
            }
            Message::Pull {
                next_offset,
                response_sender,
            } => {
                let position = Position::of(&self.state);
                let response = self.pull_response(next_offset);
                let _peer_gone =
                    response_sender.send(messages::encode_pull_response(&response, position));
            }
        }
    }

    fn pull_response(&self, next_offset: Offset) -> PullResponse {
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

    fn handle_pull_response(&mut self, response: PullResponse) {
        match response {
            PullResponse::UpToDate => {}
            PullResponse::Records(records) if records.from_offset <= self.state.next_offset() => {
                self.apply_records(&records);
            }
            PullResponse::Records(_) => {}
            PullResponse::FullState(state) => self.adopt(*state, "peer"),
        }
    }

    fn handle_snapshot(&mut self, loaded: Option<LoadedSnapshot>) {
        let Some(loaded) = loaded else { return };
        self.snapshot = LastSnapshot {
            next_offset: loaded.state.next_offset(),
            written_at: Instant::now().checked_sub(loaded.age),
        };
        self.adopt(loaded.state, "snapshot");
    }

    /// Continues from a state that another host evaluated, if it continues this host's own state.
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

    fn publish_state(&mut self) {
        let published = self.shared.state.load();
        if published.next_offset() == self.state.next_offset()
            && published.halted() == self.state.halted()
        {
            return;
        }
        assert!(
            self.state.version() >= self.in_force,
            "configuration version decreased from {} to {}",
            self.in_force,
            self.state.version()
        );
        self.shared.state.store(Arc::new(self.state.clone()));
        if self.state.version() > self.in_force {
            self.in_force = self.state.version();
            (self.context.apply_state)(&self.state);
            spdlog::info!("config.in_force", kv: { version = self.in_force });
        }
        self.shared.changed.send_replace(self.state.next_offset());
    }

    fn write_snapshot_if_due(&mut self) {
        let members = self.context.roster.members();
        let writer = roster::choose(&members, "config-snapshot", 1);
        let is_writer = writer
            .first()
            .is_some_and(|writer| writer.address.id == self.context.host);
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
        let is_too_old = self
            .snapshot
            .written_at
            .is_none_or(|at| at.elapsed() >= settings.snapshot_age);
        records >= settings.snapshot_every_records || is_too_old
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
