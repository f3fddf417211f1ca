//! Distinguishes a slow target from a silent connection and from a lost answer.

use std::time::{
    Duration,
    Instant, //
};

/// A step that waits for its answer, and what its target answered in the meantime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingStep {
    /// When the step was sent.
    pub sent_at: Instant,
    /// When the target last answered any step over the same connection; `None` if never.
    pub heard_at: Option<Instant>,
    /// Latest send time of any step that the target has answered; `None` if there is none.
    pub answered_sent_at: Option<Instant>,
    /// Time without any answer after which the connection counts as silent.
    pub deadline: Duration,
    /// Time after which the step is given up even if the target answers other steps. Invariant: at
    /// least `deadline`.
    pub limit: Duration,
}

/// Result of checking a step that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepStatus {
    /// The target is still working.
    Wait {
        /// When to check again.
        until: Instant,
    },
    /// No answer to any step came over the connection for `deadline`.
    Silent,
    /// The target answers other steps, and the answer to this one is overdue.
    AnswerLost,
}

/// Decides whether to keep waiting for the answer to a step.
///
/// A loaded engine answers late but keeps answering, and sending the step again adds to its load. A
/// step is therefore given up only if nothing was answered for `deadline`, if a step that was sent
/// at least `deadline` later has been answered, or if `limit` has passed.
pub fn check_pending_step(step: &PendingStep, now: Instant) -> StepStatus {
    let overtaken_at = step.sent_at + step.deadline;
    let is_overtaken = step
        .answered_sent_at
        .is_some_and(|sent_at| sent_at >= overtaken_at);
    if is_overtaken {
        return StepStatus::AnswerLost;
    }
    let silent_since = step
        .heard_at
        .map_or(step.sent_at, |heard_at| heard_at.max(step.sent_at));
    if now >= silent_since + step.deadline {
        return StepStatus::Silent;
    }
    let limit_at = step.sent_at + step.limit;
    if now >= limit_at {
        return StepStatus::AnswerLost;
    }
    StepStatus::Wait {
        until: limit_at.min(silent_since + step.deadline),
    }
}
