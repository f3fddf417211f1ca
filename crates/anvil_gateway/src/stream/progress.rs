//! How far an engine has come with a request that was sent to it.

use std::time::Duration;

use anvil_core::quarantine::Progress;
use tokio::time::Instant;

/// Time for which an engine must have written events before a later loss of the stream counts as
/// unrelated to the start of its answer.
const EARLY_WRITING_TIME: Duration = Duration::from_millis(300);

/// Progress of one send of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SendProgress {
    /// Whether the head of the answer has arrived.
    has_head: bool,
    /// Number of events that have arrived.
    pub(super) events: u32,
    /// When the first and the last event arrived; `None` before the first.
    span: Option<(Instant, Instant)>,
}

impl SendProgress {
    /// Records that the head of the answer has arrived.
    pub(super) fn record_head(&mut self) {
        self.has_head = true;
    }

    /// Records that an event has arrived.
    pub(super) fn record_event(&mut self, now: Instant) {
        self.events = self.events.saturating_add(1);
        let first = self.span.map_or(now, |(first, _)| first);
        self.span = Some((first, now));
    }

    /// Returns the time from the first event to the last.
    pub(super) fn writing_time(&self) -> Duration {
        self.span
            .map_or(Duration::ZERO, |(first, last)| last.duration_since(first))
    }

    /// Returns how far the engine had come if it had not written for long: the stream was lost at the
    /// start of the answer, or before. Returns `None` after that.
    pub(super) fn early(&self) -> Option<Progress> {
        match (self.has_head, self.writing_time() < EARLY_WRITING_TIME) {
            (_, false) => None,
            (false, true) => Some(Progress::Unanswered),
            (true, true) => Some(Progress::Begun),
        }
    }

    /// Returns the name used in logs and metrics.
    pub(super) fn name(&self) -> &'static str {
        match self.early() {
            Some(Progress::Unanswered) => "no answer",
            Some(Progress::Begun) => "begun",
            None => "writing",
        }
    }
}
