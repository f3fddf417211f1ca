//! Where a follower learns of records: the log, peers, and snapshots on the log.

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

/// Most records of one read.
const READ_LIMIT_RECORDS: usize = 1000;
/// Longest wait of a read for the next record.
const READ_WAIT: Duration = Duration::from_secs(5);
/// Longest wait for a read's answer beyond its own wait.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a read that failed.
const ERROR_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two pulls while no version is in force or the log fails.
const SEEK_INTERVAL: Duration = Duration::from_millis(250);
/// How often it is checked whether a snapshot is due.
const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Pulls without a reader's answer after which a host that doesn't read the log reads it after all.
const UNREAD_PULLS_LIMIT: u32 = 3;

/// What a source gave.
pub enum Event {
    /// Records of the log.
    Read(Result<LogBatch, CallError>),
    /// A peer's answer.
    Pulled(Result<PullResponse, String>),
    /// The last snapshot on the log.
    Snapshot(Result<Option<LoadedSnapshot>, CallError>),
    /// It is time to check whether a snapshot is due.
    SnapshotTick,
    /// A snapshot up to this offset was written.
    SnapshotWritten(Offset),
    /// It is time to look at peers or readers again.
    Tick,
}

/// Whom a pull asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    /// A reader of this data centre.
    Reader,
    /// Another host, which may know no more than this one.
    Other,
}

type Pending<T> = Option<BoxFuture<'static, T>>;

/// Whether this host's own state continues what the log keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Continuity {
    /// It does, as far as is known.
    Connected,
    /// The log has dropped the records that follow it: a newer state is needed.
    Cut,
}

/// Where a follower learns of records.
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
    find: Pending<Result<Option<LoadedSnapshot>, CallError>>,
    write: Pending<Result<Offset, CallError>>,
    continuity: Continuity,
    log_failed: bool,
    /// Pulls since a reader of this data centre answered one.
    unread_pulls: u32,
    /// Whom the pull under way asks.
    asked: Asked,
    next_pull_at: Instant,
    next_snapshot_check_at: Instant,
}

impl Sources {
    /// Makes the sources of a follower.
    pub fn new(handle: &Handle, parts: &FollowerContext, snapshots: SnapshotStore) -> Self {
        let now = Instant::now();
        Self {
            host: parts.host.clone(),
            data_centre: parts.data_centre.clone(),
            settings: handle.settings().clone(),
            stream: handle.stream().clone(),
            log: Arc::clone(handle.log()),
            peers: Arc::clone(&parts.peers),
            roster: Arc::clone(&parts.roster),
            snapshots,
            read: None,
            pull: None,
            find: None,
            write: None,
            continuity: Continuity::Connected,
            log_failed: false,
            unread_pulls: 0,
            asked: Asked::Other,
            next_pull_at: now,
            next_snapshot_check_at: now + SNAPSHOT_CHECK_INTERVAL,
        }
    }

    /// Starts what this host should be asking for now.
    pub fn start(&mut self, state: &State) {
        let members = self.roster.members();
        let is_reader = self.is_reader(&members);
        let reads = is_reader || state.version() == 0 || self.lacks_readers();
        if reads && self.read.is_none() && state.halted().is_none() {
            self.read = Some(self.read_from(state.next_offset()));
        }
        // One that reads in a reader's place goes on asking the readers, to stop when they answer.
        let needs_peers = !is_reader || self.log_failed || state.version() == 0;
        if self.pull.is_some() || Instant::now() < self.next_pull_at {
            return;
        }
        self.next_pull_at = Instant::now() + self.pull_interval();
        if needs_peers || self.continuity == Continuity::Cut {
            self.start_pull(&members, state.next_offset());
        }
    }

    /// Waits for the next event.
    pub async fn next(&mut self) -> Event {
        tokio::select! {
            result = pending(&mut self.read) => {
                self.read = None;
                self.log_failed = result.is_err();
                Event::Read(result)
            }
            result = pending(&mut self.pull) => {
                self.pull = None;
                // A host that isn't a reader may have heard as little of the log as this one.
                self.unread_pulls = match (&result, self.asked) {
                    (Ok(_), Asked::Reader) => 0,
                    (Ok(_), Asked::Other) | (Err(_), _) => self.unread_pulls.saturating_add(1),
                };
                Event::Pulled(result)
            }
            result = pending(&mut self.find) => {
                self.find = None;
                Event::Snapshot(result)
            }
            result = pending(&mut self.write) => {
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
                // `start` looks again and sets the time of the next look.
                Event::Tick
            }
        }
    }

    /// Notes that the log has dropped records that this host has not read.
    pub fn record_gap(&mut self) {
        self.continuity = Continuity::Cut;
        self.next_pull_at = Instant::now();
        if self.find.is_none() {
            let snapshots = self.snapshots.clone();
            self.find = Some(
                async move {
                    tokio::time::sleep(ERROR_PAUSE).await;
                    snapshots.read_last().await
                }
                .boxed(),
            );
        }
    }

    /// Notes that the log continues this host's own state.
    pub fn record_contiguous(&mut self) {
        self.continuity = Continuity::Connected;
    }

    /// Asks a peer as soon as may be.
    pub fn pull_now(&mut self) {
        self.next_pull_at = Instant::now();
    }

    /// Starts to write a snapshot, unless one is being written.
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
        if self.log_failed || self.continuity == Continuity::Cut {
            SEEK_INTERVAL.min(self.settings.pull_interval)
        } else {
            self.settings.pull_interval
        }
    }

    fn start_pull(&mut self, members: &[Member], next_offset: Offset) {
        let Some((member, asked)) = self.choose_peer(members) else {
            self.unread_pulls = self.unread_pulls.saturating_add(1);
            return;
        };
        self.asked = asked;
        self.pull = Some(exchange::pull(Arc::clone(&self.peers), member, next_offset).boxed());
    }

    /// Tells whether no reader of this data centre has answered for some pulls.
    fn lacks_readers(&self) -> bool {
        self.unread_pulls >= UNREAD_PULLS_LIMIT
    }

    /// A reader of this data centre. Any other host where a reader has just failed, or where this
    /// host, having no readers, can't read the log itself.
    fn choose_peer(&self, members: &[Member]) -> Option<(Member, Asked)> {
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
            && (self.unread_pulls == 0 || self.lacks_readers())
            && let Some(reader) = choose(&readers)
        {
            return Some((reader, Asked::Reader));
        }
        let other = choose(members)?;
        let asked = if readers.contains(&other) {
            Asked::Reader
        } else {
            Asked::Other
        };
        Some((other, asked))
    }

    fn read_from(&self, from: Offset) -> BoxFuture<'static, Result<LogBatch, CallError>> {
        let log = Arc::clone(&self.log);
        let stream = self.stream.clone();
        let pause = if self.log_failed || self.continuity == Continuity::Cut {
            ERROR_PAUSE
        } else {
            Duration::ZERO
        };
        async move {
            tokio::time::sleep(pause).await;
            let read = log.read(&stream, from, READ_LIMIT_RECORDS, READ_WAIT);
            match tokio::time::timeout(READ_WAIT + READ_TIMEOUT, read).await {
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

/// The hosts of a data centre that read the log for the others.
pub fn readers(members: &[Member], data_centre: &DataCentreId, settings: &Settings) -> Vec<Member> {
    let local: Vec<_> = members
        .iter()
        .filter(|member| member.data_centre == *data_centre)
        .cloned()
        .collect();
    roster::choose(&local, "config-reader", settings.readers_per_data_centre)
}

async fn pending<T>(future: &mut Pending<T>) -> T {
    match future {
        Some(future) => future.await,
        None => futures::future::pending().await,
    }
}
