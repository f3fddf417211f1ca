//! Whether a host answers, as seen from another.

use std::time::Duration;

/// Time for which a host that was silent must answer again before it is relied on. Within it, the
/// other hosts find it as well and report to it.
pub(super) const PROVING_TIME: Duration = Duration::from_millis(1300);
/// Messages in a row without an answer after which a host counts as silent.
const UNANSWERED_MAX: u32 = 3;

/// What a host knows of another one that it sends messages to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Contact {
    /// Messages sent since the last answer.
    unanswered: u32,
    /// Time from which on the host is relied on, unless it falls silent before. `None` before the
    /// first answer.
    reliable_from: Option<Duration>,
}

impl Contact {
    /// Records that a message was sent.
    pub(super) fn record_sent(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Records an answer. `must_prove` tells whether a host that was silent must first answer for
    /// [`PROVING_TIME`].
    pub(super) fn record_answer(&mut self, now: Duration, must_prove: bool) {
        if !self.is_answering() {
            self.reliable_from = Some(match must_prove {
                true => now + PROVING_TIME,
                false => now,
            });
        }
        self.unanswered = 0;
    }

    /// Returns whether the host answers.
    pub(super) fn is_answering(&self) -> bool {
        self.reliable_from.is_some() && self.unanswered < UNANSWERED_MAX
    }

    /// Returns whether the host answers and is relied on.
    pub(super) fn is_reliable(&self, now: Duration) -> bool {
        self.is_answering() && self.reliable_from.is_some_and(|from| from <= now)
    }
}
