//! Replaces the clock that counts suspensions by tokio's clock.

use std::time::Duration;

use tokio::time::Instant;

/// Time since boot when a thread first asks for it.
const FIRST_READING: Duration = Duration::from_secs(1000);

thread_local! {
    static START: Instant = Instant::now();
}

/// Returns the time since boot, which advances with tokio's clock.
pub(super) fn since_boot() -> Duration {
    FIRST_READING + START.with(|start| start.elapsed())
}
