//! Detects the time in which this host did not run.
//!
//! A process that is stopped, suspended or without processor time reads nothing. What arrived meanwhile
//! waits in its sockets, and its timers fire before it is read. Such time says nothing about a peer
//! that seems silent.

use std::{
    cell::Cell,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use tokio::time::{
    Instant,
    error::Elapsed,
    sleep_until,
    timeout_at, //
};

use crate::gateway::Gateway;

#[cfg(test)]
mod tests;

/// Interval at which the clock is read.
const TICK: Duration = Duration::from_millis(100);
/// Shortest time beyond a tick that counts as a gap. A quota of processor time may keep a sound host
/// from running for most of a tenth of a second.
const GAP_MIN: Duration = Duration::from_millis(100);

/// Sums up the gaps in which this host did not run.
#[derive(Debug, Default)]
pub struct RunClock {
    /// When the host was last seen to run; `None` until [`watch`] begins.
    last_run: Cell<Option<Instant>>,
    /// Sum of all gaps. Invariant: never decreases.
    lost: Cell<Duration>,
}

impl RunClock {
    /// Returns the sum of all gaps until now. The gap from which the host has just returned counts,
    /// whichever of its tasks runs first.
    pub fn lost_time(&self) -> Duration {
        self.observe(Instant::now());
        self.lost.get()
    }

    /// Waits for a future for as long as `limit`, without the time in which this host does not run.
    ///
    /// # Errors
    ///
    /// Returns [`Elapsed`] if the future is not ready by then.
    pub async fn timeout<F: Future>(
        &self,
        limit: Duration,
        future: F,
    ) -> Result<F::Output, Elapsed> {
        let mut future = pin!(future);
        let lost_before = self.lost_time();
        let started_at = Instant::now();
        let mut deadline = started_at + limit;
        loop {
            match timeout_at(deadline, future.as_mut()).await {
                Ok(output) => return Ok(output),
                Err(elapsed) => {
                    let postponed = started_at + limit + (self.lost_time() - lost_before);
                    if postponed <= deadline {
                        return Err(elapsed);
                    }
                    deadline = postponed;
                }
            }
        }
    }

    /// Records that the host runs at `now`.
    fn observe(&self, now: Instant) {
        let Some(last_run) = self.last_run.get() else {
            return;
        };
        let gap = now.saturating_duration_since(last_run);
        self.last_run.set(Some(now));
        if gap > TICK + GAP_MIN {
            self.lost.set(self.lost.get() + gap);
            spdlog::warn!("host.timer_late", kv: {
                late_ms = gap.as_millis() as u64,
            });
        }
    }
}

/// Reads the clock periodically. Never returns.
pub async fn watch(gateway: Rc<Gateway>) {
    let clock = &gateway.run_clock;
    clock.last_run.set(Some(Instant::now()));
    loop {
        let wake_at = Instant::now() + TICK;
        sleep_until(wake_at).await;
        clock.observe(Instant::now());
        gateway.metrics.record_timer_delay(wake_at.elapsed());
    }
}
