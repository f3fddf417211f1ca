//! Targets whose entries the store removed right after it had been away or restored. Live ones
//! register again within a short time and stay in use until then.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashSet,
    time::Duration, //
};

use anvil_core::id::TargetId;

use crate::clock::BootTime;

/// Age of the list, in heartbeats, from which on entries may have lapsed because the store was away.
/// The store drops an entry after three heartbeats without a renewal.
const LAPSE_AGE_HEARTBEATS: u32 = 2;
/// Time after the store's return within which live targets whose entries lapsed register again.
const RELIST_TIME: Duration = Duration::from_secs(2);

/// Removed entries that may only have lapsed.
#[derive(Debug)]
pub(super) struct Relisting {
    /// Age of the list from which on entries may have lapsed.
    lapse_age: Duration,
    /// Latest time at which this host heard from none of its peers.
    isolated_at: Cell<Option<BootTime>>,
    /// End of the time in which a removed entry may only have lapsed. `None` unless the store was
    /// away or restored shortly before.
    until: Cell<Option<BootTime>>,
    /// Targets whose entries were removed in that time. Invariant: empty once the time has ended.
    lapsed: RefCell<HashSet<TargetId>>,
}

impl Relisting {
    /// Creates the state for targets that renew their entries every `heartbeat`.
    pub(super) fn new(heartbeat: Duration) -> Self {
        Self {
            lapse_age: heartbeat * LAPSE_AGE_HEARTBEATS,
            isolated_at: Cell::new(None),
            until: Cell::new(None),
            lapsed: RefCell::new(HashSet::new()),
        }
    }

    /// Records that this host hears from none of its peers. It can't tell then whether the store was
    /// away for all, so that removed entries count at once.
    pub(super) fn record_isolation(&self) {
        self.isolated_at.set(Some(BootTime::now()));
    }

    /// Begins the time in which a removed entry may only have lapsed, if the list was last current
    /// long ago, at `current_as_of`, and this host was not isolated since, or if the store was
    /// restored.
    pub(super) fn begin_if_needed(&self, current_as_of: BootTime, is_restored: bool) {
        let was_isolated = self.isolated_at.get().is_some_and(|at| at > current_as_of);
        let was_away = current_as_of.elapsed() > self.lapse_age && !was_isolated;
        if was_away || is_restored {
            self.until.set(Some(BootTime::now().later(RELIST_TIME)));
        }
    }

    /// Returns whether a removed entry may only have lapsed now.
    pub(super) fn is_active(&self) -> bool {
        self.until.get().is_some()
    }

    /// Adds a target whose entry was removed. Returns whether this is new.
    pub(super) fn insert(&self, id: &TargetId) -> bool {
        self.lapsed.borrow_mut().insert(id.clone())
    }

    /// Returns whether a target's entry was removed and not written again yet.
    pub(super) fn contains(&self, id: &TargetId) -> bool {
        self.lapsed.borrow().contains(id)
    }

    /// Forgets a target that is listed again or removed.
    pub(super) fn remove(&self, id: &TargetId) {
        self.lapsed.borrow_mut().remove(id);
    }

    /// Ends the time if it is over, and returns the targets that were not listed again.
    pub(super) fn take_expired(&self) -> HashSet<TargetId> {
        match self.until.get() {
            Some(until) if until <= BootTime::now() => {
                self.until.set(None);
                std::mem::take(&mut *self.lapsed.borrow_mut())
            }
            Some(_) | None => HashSet::new(),
        }
    }
}
