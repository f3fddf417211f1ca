//! Recovery of a request whose step failed, with checks that no layer is applied twice or skipped.

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

/// Settings of the recovery of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Memory for the boundary activations of all requests of a host together.
    pub kept_limit_bytes: u64,
    /// Number of consecutive recoveries without a new token after which a request fails.
    pub recoveries_max: u32,
    /// Time to wait for the answer to a step that is requested again under the same name.
    pub resume_timeout: Duration,
    /// Weight of the time to the next token relative to the time of the remaining tokens, when a
    /// lost layer range is rebuilt. Invariant: at least 1.
    pub urgency: f64,
    /// Pause before a step is sent again to a target that refused it because of overload.
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
