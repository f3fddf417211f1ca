//! The platform's list of hosts and targets, which a few hosts read for the others.
//!
//! In each data centre two hosts read the list; the others request the changes from those two. See
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

/// Maximum number of earlier lists that are kept, so that a host that is behind is sent only the
/// changes.
const EARLIER_SNAPSHOTS_MAX: usize = 64;

/// A list and the time at which it was fetched.
#[derive(Clone, Debug)]
pub struct FetchedSnapshot {
    /// State of the list; empty before the first was fetched.
    pub snapshot: Arc<Snapshot>,
    /// When a reader fetched it from the platform, by this host's clock; `None` before the first
    /// list.
    pub fetched: Option<Instant>,
}

impl FetchedSnapshot {
    /// Returns the time since the list was fetched from the platform, or `None` before the first
    /// list.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.fetched
            .map(|fetched| now.saturating_duration_since(fetched))
    }
}

/// The newest list and the lists before it.
#[derive(Debug)]
pub struct Store {
    newest: ArcSwap<FetchedSnapshot>,
    /// Lists before the newest, oldest first. Invariant: at most [`EARLIER_SNAPSHOTS_MAX`].
    earlier: Mutex<VecDeque<Arc<Snapshot>>>,
    changed: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            newest: ArcSwap::from_pointee(FetchedSnapshot {
                snapshot: Arc::default(),
                fetched: None,
            }),
            earlier: Mutex::default(),
            changed: watch::Sender::new(EMPTY_DIGEST),
        }
    }
}

impl Store {
    /// Returns the newest list that this host knows.
    pub fn latest(&self) -> Arc<FetchedSnapshot> {
        self.newest.load_full()
    }

    /// Returns a receiver that is notified of each change of the list; its value is the digest of
    /// the newest list.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Stores a list that was fetched from the platform at `fetched`, unless a newer one is stored.
    pub fn update(&self, snapshot: Arc<Snapshot>, fetched: Instant) {
        let mut earlier = self.earlier.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = self.newest.load_full();
        if newest
            .fetched
            .is_some_and(|newest_fetched| newest_fetched > fetched)
        {
            return;
        }
        let digest = snapshot.digest();
        let is_new = digest != newest.snapshot.digest();
        if is_new {
            earlier.push_back(Arc::clone(&newest.snapshot));
            if earlier.len() > EARLIER_SNAPSHOTS_MAX {
                earlier.pop_front();
            }
        }
        self.newest.store(Arc::new(FetchedSnapshot {
            snapshot,
            fetched: Some(fetched),
        }));
        drop(earlier);
        if is_new {
            self.changed.send_replace(digest);
        }
    }

    /// Returns the newest list, and the delta to it from the list with digest `base`. If that list
    /// is no longer kept, the delta starts from the empty list.
    pub fn delta_from(&self, base: u64) -> (Delta, Arc<FetchedSnapshot>) {
        let earlier = self.earlier.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = self.newest.load_full();
        let snapshots = earlier.iter().rev().chain([&newest.snapshot]);
        let base = snapshots
            .into_iter()
            .find(|snapshot| snapshot.digest() == base)
            .cloned();
        drop(earlier);
        let delta = newest.snapshot.delta_from(&base.unwrap_or_default());
        (delta, newest)
    }
}
