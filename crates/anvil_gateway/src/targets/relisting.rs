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

/// Time without an answer of the store to any host, in heartbeats, from which on entries may have
/// lapsed. The store drops an entry after three heartbeats without a renewal.
const OUTAGE_MIN_HEARTBEATS: u32 = 2;
/// Time after the store's return within which live targets whose entries lapsed register again.
const RELIST_TIME: Duration = Duration::from_secs(2);

/// Removed entries that may only have lapsed.
#[derive(Debug)]
pub(super) struct Relisting {
    /// Time without an answer of the store from which on entries may have lapsed.
    outage_min: Duration,
    /// Latest time at which a question is known to have been sent that the store answered, to this
    /// host or to a peer. `None` before the first.
    answered_as_of: Cell<Option<BootTime>>,
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
            outage_min: heartbeat * OUTAGE_MIN_HEARTBEATS,
            answered_as_of: Cell::new(None),
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

    /// Records that the store answered a question that this host or a peer sent at `as_of`. If it
    /// had answered nobody for long, removed entries may only have lapsed for some time from then
    /// on. A list that is merely old shows no outage: the store may have turned this host away
    /// alone.
    pub(super) fn record_answer(&self, as_of: BootTime) {
        let Some(previous) = self.answered_as_of.get() else {
            self.answered_as_of.set(Some(as_of));
            return;
        };
        if as_of <= previous {
            return;
        }
        let was_isolated = self.isolated_at.get().is_some_and(|at| at > previous);
        if as_of > previous.later(self.outage_min) && !was_isolated {
            self.until.set(Some(as_of.later(RELIST_TIME)));
        }
        self.answered_as_of.set(Some(as_of));
    }

    /// Records that the store was restored, so that entries may have been lost.
    pub(super) fn record_restore(&self) {
        self.until.set(Some(BootTime::now().later(RELIST_TIME)));
    }

    /// Returns whether a removed entry may only have lapsed now.
    pub(super) fn is_active(&self) -> bool {
        self.until
            .get()
            .is_some_and(|until| until > BootTime::now())
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
