//! A clock that also counts the time for which the machine stood still.

use std::time::Duration;

use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// Time since the machine started. Ages of knowledge are measured with it: the steady clock does
/// not count a suspension, and the time of day jumps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// The present.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
        Self(Duration::new(seconds, nanoseconds))
    }

    /// Time since then; zero where it lies ahead.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }

    /// That much earlier.
    pub fn earlier(self, by: Duration) -> Self {
        Self(self.0.saturating_sub(by))
    }

    /// That much later.
    pub fn later(self, by: Duration) -> Self {
        Self(self.0.saturating_add(by))
    }

    /// Milliseconds since the machine started.
    pub fn as_millis(self) -> u64 {
        u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX)
    }

    /// The time that many milliseconds after the machine started.
    pub fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }
}
