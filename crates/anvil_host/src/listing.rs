//! The platform's list of hosts and targets, read by few hosts and passed on to the others.
//!
//! In each data centre two hosts read the list; the others ask these for what changed. See
//! `docs/design/listing.md`.

mod convert;
mod follow;
mod snapshot;

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use arc_swap::ArcSwap;
use tokio::sync::watch;

pub use follow::{
    PATH,
    handle_list_request,
    run, //
};
pub use snapshot::{
    Delta,
    DigestMismatch,
    EMPTY_DIGEST,
    Snapshot, //
};

#[cfg(test)]
mod tests;

/// Earlier lists that are kept, so that a host that lags is sent only what changed.
const KEPT_SNAPSHOTS: usize = 64;

/// The newest list that this host knows.
#[derive(Clone, Debug)]
pub struct FetchedSnapshot {
    /// The list.
    pub snapshot: Arc<Snapshot>,
    /// When the platform gave it, by this host's clock; nothing before the first.
    pub fetched: Option<Instant>,
}

impl FetchedSnapshot {
    /// Time since the platform gave the list.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.fetched
            .map(|fetched| now.saturating_duration_since(fetched))
    }
}

/// The newest list, and those before it.
#[derive(Debug)]
pub struct Store {
    known: ArcSwap<FetchedSnapshot>,
    /// Invariant: at most [`KEPT_SNAPSHOTS`], oldest first.
    earlier: Mutex<VecDeque<Arc<Snapshot>>>,
    changed: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            known: ArcSwap::from_pointee(FetchedSnapshot {
                snapshot: Arc::default(),
                fetched: None,
            }),
            earlier: Mutex::default(),
            changed: watch::Sender::new(EMPTY_DIGEST),
        }
    }
}

impl Store {
    /// The newest list that this host knows.
    pub fn latest(&self) -> Arc<FetchedSnapshot> {
        self.known.load_full()
    }

    /// Tells of each change of the list, by its digest.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Takes in a list that the platform gave at `fetched`. One older than the known is dropped.
    pub fn update(&self, snapshot: Arc<Snapshot>, fetched: Instant) {
        let mut earlier = self.earlier.lock().unwrap_or_else(PoisonError::into_inner);
        let known = self.known.load_full();
        if known.fetched.is_some_and(|newest| newest > fetched) {
            return;
        }
        let digest = snapshot.digest();
        let is_new = digest != known.snapshot.digest();
        if is_new {
            earlier.push_back(Arc::clone(&known.snapshot));
            if earlier.len() > KEPT_SNAPSHOTS {
                earlier.pop_front();
            }
        }
        self.known.store(Arc::new(FetchedSnapshot {
            snapshot,
            fetched: Some(fetched),
        }));
        drop(earlier);
        if is_new {
            self.changed.send_replace(digest);
        }
    }

    /// What turns the list with digest `base` into the newest; the whole list where `base` is no
    /// longer kept.
    pub fn delta_from(&self, base: u64) -> (Delta, Arc<FetchedSnapshot>) {
        let earlier = self.earlier.lock().unwrap_or_else(PoisonError::into_inner);
        let known = self.known.load_full();
        let kept = earlier.iter().rev().chain([&known.snapshot]);
        let base = kept.into_iter().find(|kept| kept.digest() == base).cloned();
        drop(earlier);
        let delta = known.snapshot.delta_from(&base.unwrap_or_default());
        (delta, known)
    }
}
