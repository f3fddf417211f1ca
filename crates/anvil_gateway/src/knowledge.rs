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

use anvil_core::entry::Table;

use crate::clock::BootTime;

/// The operators' table in force.
#[derive(Debug, Default)]
pub struct TableCache {
    table: RefCell<Option<Rc<Table>>>,
    /// Latest time at which the table is known to have been the newest.
    current_as_of: Cell<Option<BootTime>>,
}

impl TableCache {
    /// Returns the table in force. Returns `None` before the first was read.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Applies a read that shows the store's state at `as_of` or later. A table that is not newer
    /// than the one in force is ignored.
    pub fn update(&self, table: Option<Table>, as_of: BootTime) {
        if let Some(table) = table {
            let held_version = self.table.borrow().as_ref().map(|held| held.version());
            if held_version.is_none_or(|held_version| held_version < table.version()) {
                spdlog::info!("config.in_force", kv: {
                    version = table.version(),
                    routes = table.route_count(),
                    before = held_version.unwrap_or(0),
                });
                *self.table.borrow_mut() = Some(Rc::new(table));
            }
        }
        if self.table.borrow().is_some() {
            self.confirm_current(as_of);
        }
    }

    /// Records that the table in force was the newest at `as_of`.
    pub fn confirm_current(&self, as_of: BootTime) {
        self.current_as_of
            .set(self.current_as_of.get().max(Some(as_of)));
    }

    /// Returns the time since the table was last known to be the newest. Returns `None` before the
    /// first table.
    pub fn age(&self) -> Option<Duration> {
        self.current_as_of.get().map(BootTime::elapsed)
    }
}
