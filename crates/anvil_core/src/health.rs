//! Evaluates the health of targets by how they answer steps.
//!
//! The state is stored in atomics, so that no request waits for another one to record a result.

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

/// Settings for the ejection of targets and for the deadlines of steps.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Consecutive failures after which a target is ejected. Invariant: above 0.
    pub failures_to_eject: u32,
    /// Duration of the first ejection; each further one before a success doubles it.
    pub ejection_min: Duration,
    /// Longest duration of an ejection. Invariant: at least `ejection_min`.
    pub ejection_max: Duration,
    /// Number of sequences that may try a target at the same time once its ejection time is over.
    pub probes_max: u32,
    /// Largest share of the targets that may be ejected. Above it, the fault is taken to lie with
    /// this host, and the ejections are ignored. Invariant: in `0.0..1.0`.
    pub ejected_share_max: f64,
    /// Shortest deadline of a step.
    pub step_deadline_min: Duration,
    /// Longest time by which the deadline of a step exceeds its predicted time.
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
