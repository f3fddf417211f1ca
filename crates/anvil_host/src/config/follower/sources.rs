//! The sources of a follower: the log, peers, and snapshots on the log.

use std::{
    sync::Arc,
    time::Duration, //
};

use anvil_core::{
    config::{
        Settings,
        State, //
    },
    id::{
        DataCentreId,
        HostId,
        LogStreamId,
        Offset, //
    }, //
};
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use super::{
    FollowerContext, //
    Handle,
};
use crate::{
    config::{
        exchange,
        messages::PullResponse,
        snapshot::{
            LoadedSnapshot,
            SnapshotStore, //
        }, //
    },
    port::{
        CallError,
        CallErrorKind,
        Log,
        LogBatch,
        Peers, //
    },
    roster::{
        self,
        Member,
        Roster, //
    }, //
};

/// Largest number of records that one read of the log returns.
const READ_LIMIT_RECORDS: usize = 1000;
/// Longest time for which the log holds a read open for the next record.
const READ_WAIT: Duration = Duration::from_secs(5);
/// Time allowed for a read's response beyond [`READ_WAIT`].
const READ_MARGIN: Duration = Duration::from_secs(2);
/// Pause before the next read after one that failed or met a gap.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time between two pulls while reads of the log fail or the log has dropped records that this host
/// needs, if it is shorter than the configured interval.
const FAST_PULL_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two checks whether a snapshot is due.
const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Number of consecutive pulls without a reader's response after which a host that is not a reader
/// reads the log itself.
const PULLS_WITHOUT_READER_LIMIT: u32 = 3;

/// Result of a source, or a timer that fired.
pub enum Event {
    /// A read of the log ended.
    Read(Result<LogBatch, CallError>),
    /// A pull from a peer ended.
    Pulled(Result<PullResponse, String>),
    /// The search for the last snapshot on the log ended, or writing a snapshot failed.
    Snapshot(Result<Option<LoadedSnapshot>, CallError>),
    /// It is time to check whether a snapshot is due.
    SnapshotTick,
    /// A snapshot up to this offset was written.
    SnapshotWritten(Offset),
    /// It is time to decide again which reads and pulls to start.
    Tick,
}

/// Kind of host that a pull is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PulledHost {
    /// A reader of this data centre.
    Reader,
    /// Another host, which may know no more than this one.
    Other,
}

type Pending<T> = Option<BoxFuture<'static, T>>;

/// Whether this host's own state continues what the log keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Continuity {
    /// No read of the log has shown that records after this host's state are missing.
    Contiguous,
    /// The log has dropped the records after this host's state, so a newer state is needed.
    Gap,
}

/// The sources of a follower, and the calls to them that are under way.
pub struct Sources {
    host: HostId,
    data_centre: DataCentreId,
    settings: Settings,
    stream: LogStreamId,
    log: Arc<dyn Log>,
    peers: Arc<dyn Peers>,
    roster: Arc<dyn Roster>,
    snapshots: SnapshotStore,
    read: Pending<Result<LogBatch, CallError>>,
    pull: Pending<Result<PullResponse, String>>,
    snapshot_read: Pending<Result<Option<LoadedSnapshot>, CallError>>,
    write: Pending<Result<Offset, CallError>>,
    continuity: Continuity,
    log_failed: bool,
    /// Number of pulls since a reader of this data centre last answered one.
    pulls_without_reader: u32,
    /// Kind of host that the pull under way was sent to.
    pulled_host: PulledHost,
    next_pull_at: Instant,
    next_snapshot_check_at: Instant,
}

impl Sources {
    /// Creates the sources of a follower; no call is started yet.
    pub fn new(handle: &Handle, context: &FollowerContext, snapshots: SnapshotStore) -> Self {
        let now = Instant::now();
        Self {
            host: context.host.clone(),
            data_centre: context.data_centre.clone(),
            settings: handle.settings().clone(),
            stream: handle.stream().clone(),
            log: Arc::clone(handle.log()),
            peers: Arc::clone(&context.peers),
            roster: Arc::clone(&context.roster),
            snapshots,
            read: None,
            pull: None,
            snapshot_read: None,
            write: None,
            continuity: Continuity::Contiguous,
            log_failed: false,
            pulls_without_reader: 0,
            pulled_host: PulledHost::Other,
            next_pull_at: now,
            next_snapshot_check_at: now + SNAPSHOT_CHECK_INTERVAL,
        }
    }

    /// Starts the read and the pull that this host needs now, unless they are under way.
    pub fn start(&mut self, state: &State) {
        let members = self.roster.members();
        let is_reader = self.is_reader(&members);
        let reads_log = is_reader || state.version() == 0 || self.lacks_readers();
        if reads_log && self.read.is_none() && state.halted().is_none() {
            self.read = Some(self.read_from(state.next_offset()));
        }
        // A host that reads the log because no reader answers keeps pulling, so that it stops
        // reading once a reader answers again.
        let needs_peers = !is_reader || self.log_failed || state.version() == 0;
        if self.pull.is_some() || Instant::now() < self.next_pull_at {
            return;
        }
        self.next_pull_at = Instant::now() + self.pull_interval();
        if needs_peers || self.continuity == Continuity::Gap {
            self.start_pull(&members, state.next_offset());
        }
    }

    /// Waits for the next event.
    pub async fn next(&mut self) -> Event {
        tokio::select! {
            result = wait_for(&mut self.read) => {
                self.read = None;
                self.log_failed = result.is_err();
                Event::Read(result)
            }
            result = wait_for(&mut self.pull) => {
                self.pull = None;
                // A host that is not a reader may know no newer records than this one, so only a
                // response of a reader resets the count.
                self.pulls_without_reader = match (&result, self.pulled_host) {
                    (Ok(_), PulledHost::Reader) => 0,
                    (Ok(_), PulledHost::Other) | (Err(_), _) => self
                        .pulls_without_reader
                        .saturating_add(1),
                };
                Event::Pulled(result)
            }
            result = wait_for(&mut self.snapshot_read) => {
                self.snapshot_read = None;
                Event::Snapshot(result)
            }
            result = wait_for(&mut self.write) => {
                self.write = None;
                match result {
                    Ok(next_offset) => Event::SnapshotWritten(next_offset),
                    Err(error) => Event::Snapshot(Err(error)),
                }
            }
            () = tokio::time::sleep_until(self.next_snapshot_check_at) => {
                self.next_snapshot_check_at = Instant::now() + SNAPSHOT_CHECK_INTERVAL;
                Event::SnapshotTick
            }
            () = tokio::time::sleep_until(self.next_pull_at), if self.pull.is_none() => {
                // `start` decides again and sets the time of the next pull.
                Event::Tick
            }
        }
    }

    /// Records that the log has dropped records that this host has not read. Pulls at once and
    /// looks for a snapshot.
    pub fn record_gap(&mut self) {
        self.continuity = Continuity::Gap;
        self.next_pull_at = Instant::now();
        if self.snapshot_read.is_none() {
            let snapshots = self.snapshots.clone();
            self.snapshot_read = Some(
                async move {
                    tokio::time::sleep(READ_RETRY_PAUSE).await;
                    snapshots.read_last().await
                }
                .boxed(),
            );
        }
    }

    /// Records that the log continues this host's own state.
    pub fn record_contiguous(&mut self) {
        self.continuity = Continuity::Contiguous;
    }

    /// Makes the next pull due now.
    pub fn pull_soon(&mut self) {
        self.next_pull_at = Instant::now();
    }

    /// Starts to write a snapshot unless one is being written already.
    pub fn write_snapshot(&mut self, snapshots: SnapshotStore, state: State) {
        if self.write.is_some() {
            return;
        }
        let write = async move {
            snapshots.write(&state).await?;
            Ok(state.next_offset())
        };
        self.write = Some(write.boxed());
    }

    fn is_reader(&self, members: &[Member]) -> bool {
        readers(members, &self.data_centre, &self.settings)
            .iter()
            .any(|reader| reader.address.id == self.host)
    }

    fn pull_interval(&self) -> Duration {
        if self.log_failed || self.continuity == Continuity::Gap {
            FAST_PULL_INTERVAL.min(self.settings.pull_interval)
        } else {
            self.settings.pull_interval
        }
    }

    fn start_pull(&mut self, members: &[Member], next_offset: Offset) {
        let Some((member, pulled_host)) = self.choose_peer(members) else {
            self.pulls_without_reader = self.pulls_without_reader.saturating_add(1);
            return;
        };
        self.pulled_host = pulled_host;
        self.pull = Some(exchange::pull(Arc::clone(&self.peers), member, next_offset).boxed());
    }

    /// Returns whether no reader of this data centre has answered the last
    /// [`PULLS_WITHOUT_READER_LIMIT`] pulls.
    fn lacks_readers(&self) -> bool {
        self.pulls_without_reader >= PULLS_WITHOUT_READER_LIMIT
    }

    /// Chooses the host for a pull: a reader of this data centre, or any other host if a reader has
    /// just failed to answer or if this host's own reads of the log fail. Returns `None` if there
    /// is no other host.
    fn choose_peer(&self, members: &[Member]) -> Option<(Member, PulledHost)> {
        let choose = |members: &[Member]| {
            let others: Vec<_> = members
                .iter()
                .filter(|member| member.address.id != self.host)
                .collect();
            others
                .choose(&mut rand::rng())
                .map(|member| Member::clone(member))
        };
        let readers = readers(members, &self.data_centre, &self.settings);
        if !self.log_failed
            && (self.pulls_without_reader == 0 || self.lacks_readers())
            && let Some(reader) = choose(&readers)
        {
            return Some((reader, PulledHost::Reader));
        }
        let other = choose(members)?;
        let pulled_host = if readers.contains(&other) {
            PulledHost::Reader
        } else {
            PulledHost::Other
        };
        Some((other, pulled_host))
    }

    fn read_from(&self, from: Offset) -> BoxFuture<'static, Result<LogBatch, CallError>> {
        let log = Arc::clone(&self.log);
        let stream = self.stream.clone();
        let pause = if self.log_failed || self.continuity == Continuity::Gap {
            READ_RETRY_PAUSE
        } else {
            Duration::ZERO
        };
        async move {
            tokio::time::sleep(pause).await;
            let read = log.read(&stream, from, READ_LIMIT_RECORDS, READ_WAIT);
            match tokio::time::timeout(READ_WAIT + READ_MARGIN, read).await {
                Ok(result) => result,
                Err(_) => Err(CallError {
                    operation: "read",
                    peer: stream,
                    kind: CallErrorKind::AnswerLost,
                    message: "no answer in time".to_owned(),
                }),
            }
        }
        .boxed()
    }
}

/// Returns the hosts of a data centre that read the log for the others.
pub fn readers(members: &[Member], data_centre: &DataCentreId, settings: &Settings) -> Vec<Member> {
    let local: Vec<_> = members
        .iter()
        .filter(|member| member.data_centre == *data_centre)
        .cloned()
        .collect();
    roster::choose(&local, "config-reader", settings.readers_per_data_centre)
}

async fn wait_for<T>(future: &mut Pending<T>) -> T {
    match future {
        Some(future) => future.await,
        None => futures::future::pending().await,
    }
}
