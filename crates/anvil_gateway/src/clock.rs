//! A clock that also counts the time for which the machine was suspended.

use std::time::Duration;

#[cfg(not(test))]
use rustix::time::{
    ClockId,
    clock_gettime, //
};

#[cfg(test)]
mod tests;

/// Time since the machine booted. Ages of cached data are measured with it, because the monotonic
/// clock does not count a suspension and the time of day may jump.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// Returns the current time.
    #[cfg(not(test))]
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
        Self(Duration::new(seconds, nanoseconds))
    }

    /// Returns the current time of tokio's clock, which tests can pause.
    #[cfg(test)]
    pub fn now() -> Self {
        Self(tests::since_boot())
    }

    /// Returns the time since then, or zero if it lies in the future.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }

    /// Returns the time earlier by a duration. It does not go below the boot time.
    pub fn earlier(self, by: Duration) -> Self {
        Self(self.0.saturating_sub(by))
    }

    /// Returns the time later by a duration.
    pub fn later(self, by: Duration) -> Self {
        Self(self.0.saturating_add(by))
    }

    /// Returns the time since the machine booted.
    pub fn since_boot(self) -> Duration {
        self.0
    }

    /// Returns the milliseconds since the machine booted.
    pub fn as_millis(self) -> u64 {
        u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX)
    }

    /// Creates the time that is `millis` milliseconds after the machine booted.
    pub fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }
}
