//! The versioned configuration: decides which patches on the log are accepted and computes the
//! configuration in force.
//!
//! Acceptance is a pure function of the records in offset order, so that every host reaches the
//! same verdicts without a leader.

mod check;
mod patch;
mod record;
mod state;

pub use check::Invalid;
pub use patch::{
    Change,
    Entry,
    Key,
    Patch,
    PatchId,
    Section, //
};
pub use record::{
    DecodeError,
    Record,
    SCHEMA, //
};
pub use state::{
    Diff,
    Digest,
    Halted,
    Limits,
    Relation,
    State,
    Summary,
    Touch,
    TouchKind,
    Verdict, //
};

use std::time::Duration;

/// Settings of how a host follows the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Number of hosts in each data centre that read the log for the others. Invariant: above 0.
    pub readers_per_data_centre: usize,
    /// Interval at which a host that doesn't read the log, or can't, pulls from a peer. Invariant:
    /// above 0.
    pub pull_interval: Duration,
    /// Number of records after which a snapshot is due. Invariant: above 0.
    pub snapshot_every_records: u64,
    /// Age of the last snapshot from which a new one is due if anything has changed. Invariant:
    /// below the log's retention.
    pub snapshot_age: Duration,
    /// Longest time to wait for the verdict on a submitted patch.
    pub submit_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            readers_per_data_centre: 2,
            pull_interval: Duration::from_secs(1),
            snapshot_every_records: 2000,
            snapshot_age: Duration::from_secs(600),
            submit_timeout: Duration::from_secs(5),
        }
    }
}

impl Settings {
    /// Checks the invariants of the fields.
    ///
    /// # Errors
    ///
    /// Returns the text of the first rule that is broken.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.readers_per_data_centre == 0 {
            return Err("readers_per_data_centre must be above 0");
        }
        if self.pull_interval.is_zero() {
            return Err("pull_interval must be above 0");
        }
        if self.snapshot_every_records == 0 {
            return Err("snapshot_every_records must be above 0");
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
