//! The operators' table in force, and how far back it is known to be the newest.

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

/// The table in force.
#[derive(Debug, Default)]
pub struct TableCache {
    table: RefCell<Option<Rc<Table>>>,
    /// The table is known to have been the newest at this time.
    current_as_of: Cell<Option<BootTime>>,
}

impl TableCache {
    /// The table in force; nothing before the first.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Takes over a reading of the store that was asked for at `as_of`. A table that is older than
    /// the one in force is not taken.
    pub fn update(&self, table: Option<Table>, as_of: BootTime) {
        if let Some(table) = table {
            let held = self.table.borrow().as_ref().map(|held| held.version());
            if held.is_none_or(|held| held < table.version()) {
                spdlog::info!("config.in_force", kv: {
                    version = table.version(),
                    routes = table.route_count(),
                    before = held.unwrap_or(0),
                });
                *self.table.borrow_mut() = Some(Rc::new(table));
            }
        }
        if self.table.borrow().is_some() {
            self.confirm_current(as_of);
        }
    }

    /// Notes that the table in force was the newest at `as_of`.
    pub fn confirm_current(&self, as_of: BootTime) {
        self.current_as_of
            .set(self.current_as_of.get().max(Some(as_of)));
    }

    /// Time since which the table may have been replaced; nothing before the first.
    pub fn age(&self) -> Option<Duration> {
        self.current_as_of.get().map(BootTime::elapsed)
    }
}
