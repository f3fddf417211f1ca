//! Recovers a request whose step failed, and checks that no layer is applied twice or skipped.

mod action;
mod activation_buffer;
mod lineage;

pub use action::{
    CacheSource,
    Costs,
    FailureKind,
    RecoveryAction,
    RecoveryContext,
    choose_action, //
};
pub use activation_buffer::{
    ActivationBuffer,
    Budget, //
};
pub use lineage::Lineage;

use std::time::Duration;

/// How requests are recovered.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Boundary activations kept for all requests of a host together.
    pub kept_limit_bytes: u64,
    /// Recoveries in a row without a new token after which a request is given up.
    pub recoveries_max: u32,
    /// Time to wait for the answer to a step that is asked for again by the same name.
    pub resume_timeout: Duration,
    /// Weight of the time to the next token against that of the rest, where a lost range is
    /// rebuilt. Invariant: at least 1.
    pub urgency: f64,
    /// Pause before a target that refused for overload is asked again.
    pub overloaded_pause: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            kept_limit_bytes: 64 << 20,
            recoveries_max: 12,
            resume_timeout: Duration::from_millis(250),
            urgency: 8.0,
            overloaded_pause: Duration::from_millis(20),
        }
    }
}

#[cfg(test)]
mod tests;
