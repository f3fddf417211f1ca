//! Reports to a caller why a request got no answer, and whether it may have run.

use derive_more::Display;
use std::time::Duration;

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Outcome {
    /// It didn't run, and nothing is left anywhere that could still run it.
    #[display("not_run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The bearer key is missing or unknown.
    Unauthenticated,
    /// There is no such model, service or path.
    NotFound,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The idempotency key's first call is still running.
    KeyInProgress,
    /// The idempotency key is older than the lifetime of keys.
    KeyExpired,
    /// The body exceeds the limit.
    TooLarge,
    /// A limit of the team is reached.
    TeamLimit,
    /// The system is overloaded.
    Overloaded,
    /// The deadline can't be met, or has passed.
    Deadline,
    /// No set of targets holds every layer.
    NoRoute,
    /// Targets failed and the request could not be recovered.
    TargetFailed,
    /// The platform's log can't be reached.
    LogUnavailable,
    /// This host is stopping, or has no configuration yet.
    NotReady,
    /// The call was sent and its answer was lost.
    AnswerLost,
}

/// A refusal that states whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Whether the request could have run.
    pub outcome: Outcome,
    /// Why it was refused.
    pub reason: Reason,
    /// Time after which a retry may succeed; `None` if a retry would not help.
    pub retry_after: Option<Duration>,
    /// Description of what happened, for a person.
    pub message: String,
}

impl Refused {
    /// Returns the refusal of a request that did not run.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after: None,
            message: message.into(),
        }
    }

    /// Returns the refusal of a request that may have run.
    pub fn unknown(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(reason, message)
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }
}
