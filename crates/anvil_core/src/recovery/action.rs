//! Chooses how a request continues after a failed step. A retry at the same target comes first,
//! then the action with the lowest predicted cost.

use derive_more::Display;

use crate::{
    id::Position,
    step::{
        Failure,
        Refusal, //
    },
};

/// An action by which a request continues after a failed step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display(rename_all = "snake_case")]
pub enum RecoveryAction {
    /// Request the same step from the same target again, over a new connection.
    Resume,
    /// Request the step from the same target again after a pause.
    Pause,
    /// Move the caches of the layer range to other targets.
    Import,
    /// Rebuild the caches of the layer range on other targets from kept activations.
    Rebuild,
    /// Start a new attempt from the prompt and the tokens sent so far.
    PrefillAgain,
    /// No action is possible now. Choose again after a pause.
    Wait,
    /// Fail the request, because no recoveries are left.
    GiveUp,
}

/// Kind of failure of a step, as seen from the host that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum FailureKind {
    /// The target accepts no connection.
    Unreachable,
    /// The connection was lost.
    ConnectionLost,
    /// The target did not answer within the time limit.
    Silent,
    /// The target's cache ends at another position than the step expects.
    #[display("cache_mismatch")]
    CacheMismatch {
        /// Position after the last token in the target's cache.
        held_position: Position,
    },
    /// The target doesn't hold the layers.
    NotHeld,
    /// The target's queue is full.
    Overloaded,
    /// The target is leaving.
    Leaving,
    /// The step was cancelled, or the target would refuse it every time.
    Rejected,
}

impl From<&Failure> for FailureKind {
    fn from(failure: &Failure) -> Self {
        match failure {
            Failure::Connect { .. } => Self::Unreachable,
            Failure::ConnectionLost { .. } => Self::ConnectionLost,
            Failure::Timeout { .. } => Self::Silent,
            Failure::Refused { refusal, .. } => match refusal {
                Refusal::NotHeld => Self::NotHeld,
                Refusal::CacheMismatch { held_position } => Self::CacheMismatch {
                    held_position: *held_position,
                },
                Refusal::Overloaded => Self::Overloaded,
                Refusal::Leaving => Self::Leaving,
                Refusal::Cancelled | Refusal::Malformed(_) => Self::Rejected,
            },
        }
    }
}

impl FailureKind {
    /// Returns whether the failure points to a fault of the target rather than of the step.
    pub fn is_target_fault(self) -> bool {
        match self {
            Self::Unreachable | Self::ConnectionLost | Self::Silent => true,
            Self::CacheMismatch { .. }
            | Self::NotHeld
            | Self::Overloaded
            | Self::Leaving
            | Self::Rejected => false,
        }
    }

    /// Returns whether the target's caches can still be requested from it.
    pub fn source(self) -> CacheSource {
        match self {
            Self::Overloaded | Self::Leaving => CacheSource::Reachable,
            Self::Unreachable
            | Self::ConnectionLost
            | Self::Silent
            | Self::CacheMismatch { .. }
            | Self::NotHeld
            | Self::Rejected => CacheSource::Lost,
        }
    }
}

/// Whether a target still holds the caches of the layer range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CacheSource {
    /// A target holds them, and they can be requested from it.
    Reachable,
    /// No target from which they could be requested holds them.
    Lost,
}

/// Predicted times of the actions that move the work to other targets, in nanoseconds. `None`
/// means that the action is not possible.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// Time of importing the caches of the layer range.
    pub import_ns: Option<f64>,
    /// Time of rebuilding the caches of the layer range.
    pub rebuild_ns: Option<f64>,
    /// Time of a new attempt.
    pub prefill_ns: Option<f64>,
}

/// Inputs of the choice of an action.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryContext {
    /// The last failure.
    pub failure: FailureKind,
    /// Number of times that this step was already requested again from the same target.
    pub same_target_retries: u32,
    /// Predicted times of the actions that use other targets.
    pub costs: Costs,
    /// Number of recoveries left before the request fails.
    pub recoveries_left: u32,
}

/// Number of times that a step is sent again to a target that refuses it because of overload,
/// before the sequence moves to other targets.
const OVERLOAD_RETRIES_MAX: u32 = 3;

/// Chooses the action after a failed step.
pub fn choose_action(context: &RecoveryContext) -> RecoveryAction {
    if context.recoveries_left == 0 {
        return RecoveryAction::GiveUp;
    }
    match context.failure {
        FailureKind::ConnectionLost | FailureKind::Silent if context.same_target_retries == 0 => {
            RecoveryAction::Resume
        }
        FailureKind::Overloaded if context.same_target_retries < OVERLOAD_RETRIES_MAX => {
            RecoveryAction::Pause
        }
        FailureKind::Unreachable
        | FailureKind::ConnectionLost
        | FailureKind::Silent
        | FailureKind::CacheMismatch { .. }
        | FailureKind::NotHeld
        | FailureKind::Overloaded
        | FailureKind::Leaving
        | FailureKind::Rejected => cheapest_action(context.costs),
    }
}

/// Returns the possible action with the least predicted time, or [`RecoveryAction::Wait`] if there
/// is none. The earlier action in the list wins a tie.
fn cheapest_action(costs: Costs) -> RecoveryAction {
    [
        (RecoveryAction::Import, costs.import_ns),
        (RecoveryAction::Rebuild, costs.rebuild_ns),
        (RecoveryAction::PrefillAgain, costs.prefill_ns),
    ]
    .into_iter()
    .filter_map(|(action, cost_ns)| Some((action, cost_ns?)))
    .min_by(|a, b| a.1.total_cmp(&b.1))
    .map_or(RecoveryAction::Wait, |(action, _)| action)
}
