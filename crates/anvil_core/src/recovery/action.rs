//! Decides how a request goes on after a failed step, cheapest way first.

use derive_more::Display;

use crate::{
    id::Position,
    step::{
        Failure,
        Refusal, //
    },
};

/// A way to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display(rename_all = "snake_case")]
pub enum RecoveryAction {
    /// Ask the same target for the same step again, over a new connection.
    Resume,
    /// Ask the same target again after a pause.
    Pause,
    /// Move the caches of the range to other targets.
    Import,
    /// Rebuild the caches of the range on other targets from kept activations.
    Rebuild,
    /// Begin a new attempt from the prompt and the tokens given out.
    PrefillAgain,
    /// No way is open now; look again after a pause.
    Wait,
    /// Nothing more can be done.
    GiveUp,
}

/// What a failed step says of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum FailureKind {
    /// It takes no connection.
    Unreachable,
    /// The connection broke.
    ConnectionLost,
    /// The connection is silent.
    Silent,
    /// Its cache ends elsewhere.
    #[display("cache_mismatch")]
    CacheMismatch {
        /// Position after the last token held.
        held_position: Position,
    },
    /// It doesn't hold the layers.
    NotHeld,
    /// Its queue is full.
    Overloaded,
    /// It is leaving.
    Leaving,
    /// It would never take the step.
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
    /// Tells whether the target itself, rather than the step, looks at fault.
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

    /// Whether the target can still be asked for its caches.
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

/// Whether some target still holds the caches of the range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CacheSource {
    /// One does and can be asked.
    Reachable,
    /// None does.
    Lost,
}

/// Predicted times of the ways that lead to other targets; nothing where one is closed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// Of an import.
    pub import_ns: Option<f64>,
    /// Of rebuilding the range.
    pub rebuild_ns: Option<f64>,
    /// Of a new attempt.
    pub prefill_ns: Option<f64>,
}

/// All that the decision rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryContext {
    /// What went wrong last.
    pub failure: FailureKind,
    /// Times that this step was asked for again at this target already.
    pub same_target_retries: u32,
    /// Predicted times of the other ways.
    pub costs: Costs,
    /// Recoveries left before the request is given up.
    pub recoveries_left: u32,
}

/// Times that a target which refuses for overload is asked again before the sequence moves.
const PAUSES_MAX: u32 = 3;

/// Decides how to go on.
pub fn choose_action(context: &RecoveryContext) -> RecoveryAction {
    if context.recoveries_left == 0 {
        return RecoveryAction::GiveUp;
    }
    match context.failure {
        FailureKind::ConnectionLost | FailureKind::Silent if context.same_target_retries == 0 => {
            RecoveryAction::Resume
        }
        FailureKind::Overloaded if context.same_target_retries < PAUSES_MAX => {
            RecoveryAction::Pause
        }
        FailureKind::Unreachable
        | FailureKind::ConnectionLost
        | FailureKind::Silent
        | FailureKind::CacheMismatch { .. }
        | FailureKind::NotHeld
        | FailureKind::Overloaded
        | FailureKind::Leaving
        | FailureKind::Rejected => cheapest(context.costs),
    }
}

/// The open way of least predicted time; the earlier in the list wins a tie.
fn cheapest(costs: Costs) -> RecoveryAction {
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
