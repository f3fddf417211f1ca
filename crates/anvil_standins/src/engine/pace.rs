//! Waits for modelled work so that the mean rate is right despite the coarse timer.

use std::time::Duration;

use tokio::time::Instant;

/// Resolution of the timer. A shorter wait is carried over to the next one.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Tracks the modelled time until which the accelerator is busy.
#[derive(Debug)]
pub(super) struct Pacer {
    /// Time at which the work charged so far is finished.
    busy_until: Instant,
}

impl Pacer {
    pub(super) fn new() -> Self {
        Self {
            busy_until: Instant::now(),
        }
    }

    /// Moves the end of the busy time up to now, so that idle time doesn't shorten later waits.
    pub(super) fn skip_idle_time(&mut self) {
        self.busy_until = self.busy_until.max(Instant::now());
    }

    /// Adds busy time, and waits until it is over unless the wait is below the timer resolution.
    pub(super) async fn charge(&mut self, busy: Duration) {
        self.busy_until += busy;
        if self.busy_until >= Instant::now() + TIMER_RESOLUTION {
            tokio::time::sleep_until(self.busy_until).await;
        }
    }
}
