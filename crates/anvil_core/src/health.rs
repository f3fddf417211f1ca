//! Judges targets by the steps that they answer.
//!
//! The state is kept in atomics, so that every request may record without waiting for another.

mod breaker;
mod ejection_limit;
mod pending_step;
mod step_time;

pub use breaker::{
    Breaker,
    Permit,
    Severity, //
};
pub use ejection_limit::availabilities;
pub use pending_step::{
    PendingStep,
    StepStatus,
    check_pending_step, //
};
pub use step_time::StepTime;

use std::time::Duration;

/// How targets are judged.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Failures in a row after which a target is ejected. Invariant: above 0.
    pub failures_to_eject: u32,
    /// Time of the first ejection; it doubles with each that follows.
    pub ejection_min: Duration,
    /// Longest ejection. Invariant: at least `ejection_min`.
    pub ejection_max: Duration,
    /// Sequences that may try an ejected target at once when its time is over.
    pub probes_max: u32,
    /// Share of the targets that may be ejected. Above it the observer is suspected and the
    /// ejections are ignored. Invariant: in `0.0..1.0`.
    pub ejected_share_max: f64,
    /// Shortest time to wait for a step.
    pub step_deadline_min: Duration,
    /// Longest time to wait for a step beyond its predicted time.
    pub step_deadline_max: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failures_to_eject: 2,
            ejection_min: Duration::from_millis(500),
            ejection_max: Duration::from_secs(15),
            probes_max: 1,
            ejected_share_max: 0.5,
            step_deadline_min: Duration::from_millis(250),
            step_deadline_max: Duration::from_secs(5),
        }
    }
}

#[cfg(test)]
mod tests;
