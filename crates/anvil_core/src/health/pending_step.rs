//! Tells a slow target from a silent connection and from a lost answer.

use std::time::{
    Duration,
    Instant, //
};

/// A step that waits, and what its target answered meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingStep {
    /// When the step was sent.
    pub sent_at: Instant,
    /// When the target last answered any step over the same connection.
    pub heard_at: Option<Instant>,
    /// When the latest-sent of the answered steps was sent.
    pub answered_sent_at: Option<Instant>,
    /// Time after which a target that answers nothing is silent.
    pub deadline: Duration,
    /// Time after which the step is given up in any case. Invariant: at least `deadline`.
    pub limit: Duration,
}

/// What to make of a step that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepStatus {
    /// The target is at work: look again then.
    Wait {
        /// When to look again.
        until: Instant,
    },
    /// Nothing comes over the connection.
    Silent,
    /// The target answers others, and this answer is overdue.
    AnswerLost,
}

/// Judges a step that waits.
///
/// A loaded engine answers late but goes on answering, and asking it again adds to its load. So a
/// step is given up only when nothing at all came for a deadline, or when a step that was sent a
/// whole deadline later has its answer.
pub fn check_pending_step(waiting: &PendingStep, now: Instant) -> StepStatus {
    let overtaken_at = waiting.sent_at + waiting.deadline;
    let is_overtaken = waiting
        .answered_sent_at
        .is_some_and(|sent_at| sent_at >= overtaken_at);
    if is_overtaken {
        return StepStatus::AnswerLost;
    }
    let quiet_since = waiting
        .heard_at
        .map_or(waiting.sent_at, |heard_at| heard_at.max(waiting.sent_at));
    if now >= quiet_since + waiting.deadline {
        return StepStatus::Silent;
    }
    let given_up_at = waiting.sent_at + waiting.limit;
    if now >= given_up_at {
        return StepStatus::AnswerLost;
    }
    StepStatus::Wait {
        until: given_up_at.min(quiet_since + waiting.deadline),
    }
}
