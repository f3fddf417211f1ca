//! Cache of the operators' table in force, and of the time at which it was last known to be the
//! newest.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    entry::Table,
    id::{
        HostId,
        Version, //
    },
};
use derive_more::Display;

use crate::{
    clock::BootTime,
    port::{
        Era,
        Position, //
    }, //
};

/// How this host learned that a table is the newest.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Source {
    /// It read the newest table from the store.
    #[display("read")]
    Read,
    /// It read the changes since its last read, and may have waited for one.
    #[display("poll")]
    Poll,
    /// A peer has the same table and confirmed it.
    #[display("peer {_0}")]
    Peer(HostId),
}

/// A peer's confirmation that a table was the newest, for a table that this host doesn't have yet.
#[derive(Clone, Copy, Debug)]
struct EarlyConfirmation {
    version: Version,
    era: Era,
    as_of: BootTime,
}

/// The operators' table in force.
#[derive(Debug)]
pub struct TableCache {
    table: RefCell<Option<Rc<Table>>>,
    /// Latest time at which the table is known to have been the newest.
    current_as_of: Cell<Option<BootTime>>,
    /// Age from which on the next confirmation is logged.
    late_age: Duration,
    /// Highest version of a peer for which the store was asked successfully. The store lacks it if it
    /// was restored from an older copy.
    checked_peer_version: Cell<Version>,
    /// Position behind the record of the table in force, from which newer ones are read. `None` before the
    /// first table, or if a peer passed the table on without it.
    next: Cell<Option<Position>>,
    /// Latest confirmation of the newest table of a peer, while this host lacks it.
    early: Cell<Option<EarlyConfirmation>>,
}

impl TableCache {
    /// Creates a cache without a table. A confirmation is logged if the table was older than
    /// `late_age` before it.
    pub fn new(late_age: Duration) -> Self {
        Self {
            table: RefCell::new(None),
            current_as_of: Cell::new(None),
            late_age,
            checked_peer_version: Cell::new(0),
            next: Cell::new(None),
            early: Cell::new(None),
        }
    }

    /// Returns the version of the table in force, or 0 before the first was read.
    pub fn version(&self) -> Version {
        self.table
            .borrow()
            .as_ref()
            .map_or(0, |table| table.version())
    }

    /// Returns the position from which tables newer than the one in force are read. Returns `None` if it
    /// isn't known.
    pub fn next(&self) -> Option<Position> {
        self.next.get()
    }

    /// Sets the position from which tables newer than the one in force are read.
    pub fn set_next(&self, next: Option<Position>) {
        self.next.set(next);
    }

    /// Records that the store was asked successfully for a version that a peer has.
    pub fn record_checked(&self, peer_version: Version) {
        let checked = self.checked_peer_version.get().max(peer_version);
        self.checked_peer_version.set(checked);
    }

    /// Returns the highest version of a peer for which the store was asked successfully.
    pub fn checked_peer_version(&self) -> Version {
        self.checked_peer_version.get()
    }

    /// Returns the table in force. Returns `None` before the first was read.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Applies a read that shows the store's state at `as_of` or later. A table that is not newer
    /// than the one in force is ignored.
    pub fn update(&self, table: Option<Table>, as_of: BootTime, source: Source) {
        if let Some(table) = table {
            let held_version = self.table.borrow().as_ref().map(|held| held.version());
            if held_version.is_none_or(|held_version| held_version < table.version()) {
                spdlog::info!("config.in_force", kv: {
                    version = table.version(),
                    routes = table.route_count(),
                    before = held_version.unwrap_or(0),
                    source: = source,
                    as_of_age_ms = as_of.elapsed().as_millis() as u64,
                });
                *self.table.borrow_mut() = Some(Rc::new(table));
            }
        }
        if self.table.borrow().is_some() {
            self.confirm_current(as_of, source);
        }
    }

    /// Applies a peer's confirmation that a table of an era was the newest at `as_of`. It is kept if this host
    /// lacks that table, for [`Self::apply_early_confirmation`].
    pub fn confirm(&self, version: Version, era: Era, as_of: BootTime, peer: &HostId) {
        let held_version = self.version();
        if version == held_version {
            self.confirm_current(as_of, Source::Peer(peer.clone()));
        } else if version > held_version {
            let is_later = self.early.get().is_none_or(|early| {
                (early.era, early.version, early.as_of) < (era, version, as_of)
            });
            if is_later {
                self.early.set(Some(EarlyConfirmation {
                    version,
                    era,
                    as_of,
                }));
            }
        }
    }

    /// Applies what a peer said of the table in force before this host had it. The age that came with
    /// the table is that of when its transfer began.
    pub fn apply_early_confirmation(&self, era: Era, peer: &HostId) {
        if let Some(early) = self.early.get()
            && early.era == era
            && early.version == self.version()
        {
            self.confirm_current(early.as_of, Source::Peer(peer.clone()));
        }
    }

    /// Records that the table in force was the newest at `as_of`.
    pub fn confirm_current(&self, as_of: BootTime, source: Source) {
        if let Some(previous) = self.current_as_of.get()
            && previous.elapsed() > self.late_age
            && as_of.elapsed() <= self.late_age
        {
            spdlog::info!("config.confirmed", kv: {
                version = self.version(),
                source: = source,
                before_age_ms = previous.elapsed().as_millis() as u64,
                age_ms = as_of.elapsed().as_millis() as u64,
            });
        }
        self.current_as_of
            .set(self.current_as_of.get().max(Some(as_of)));
    }

    /// Returns the latest time at which the table is known to have been the newest. Returns `None`
    /// before the first table.
    pub fn current_as_of(&self) -> Option<BootTime> {
        self.current_as_of.get()
    }

    /// Returns the time since the table was last known to be the newest. Returns `None` before the
    /// first table.
    pub fn age(&self) -> Option<Duration> {
        self.current_as_of.get().map(BootTime::elapsed)
    }
}
