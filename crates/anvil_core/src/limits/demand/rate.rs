//! Rate of random arrivals, smoothed while it is steady and quick to follow a change.

use std::time::{
    Duration,
    Instant, //
};

/// Time constant of the running mean.
const MEAN_TIME_CONSTANT_S: f64 = 0.5;
/// Longest window over which a change is detected.
const WINDOW: Duration = Duration::from_millis(200);
/// Shortest window from which a rate is computed.
const WINDOW_MIN: Duration = Duration::from_millis(25);
/// Standard deviations by which a window's count must differ from the expected one to be a change.
const CHANGE_DEVIATIONS: f64 = 3.0;

/// Whether a measurement found a change of the rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The count fits the mean.
    Steady,
    /// The count doesn't fit the mean, which restarts from the window.
    Jumped,
}

/// A smoothed rate.
#[derive(Debug)]
pub struct Rate {
    mean_per_s: f64,
    /// Count at the last measurement.
    count: u64,
    measured_at: Instant,
    window_count: u64,
    window_start: Instant,
}

impl Rate {
    /// Returns a rate of 0, measured from `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            mean_per_s: 0.0,
            count: 0,
            measured_at: now,
            window_count: 0,
            window_start: now,
        }
    }

    /// Returns the smoothed rate per second.
    pub fn per_s(&self) -> f64 {
        self.mean_per_s
    }

    /// Returns the deviation of the mean that random arrivals alone explain, at the confidence with
    /// which a change is detected.
    pub fn noise_per_s(&self) -> f64 {
        CHANGE_DEVIATIONS * (self.mean_per_s / (2.0 * MEAN_TIME_CONSTANT_S)).sqrt()
    }

    /// Updates the rate from a count that only grows, and returns whether the rate has changed.
    pub fn measure(&mut self, count: u64, now: Instant) -> Change {
        let window = now.saturating_duration_since(self.window_start);
        let observed = (count - self.window_count) as f64;
        let expected = self.mean_per_s * window.as_secs_f64();
        // The variance of random arrivals equals their mean. The minimum of 1 avoids false changes
        // at low rates.
        let deviation = expected.max(1.0).sqrt();
        let differs = (observed - expected).abs() > CHANGE_DEVIATIONS * deviation;
        let change = if differs && window >= WINDOW_MIN {
            Change::Jumped
        } else {
            Change::Steady
        };
        self.measure_with_change(count, change, now);
        change
    }

    /// Updates the rate from a count, with the result of another rate's measurement.
    pub fn measure_with_change(&mut self, count: u64, change: Change, now: Instant) {
        let elapsed_s = now
            .saturating_duration_since(self.measured_at)
            .as_secs_f64();
        if elapsed_s <= 0.0 {
            return;
        }
        let window = now.saturating_duration_since(self.window_start);
        match change {
            Change::Jumped => {
                self.mean_per_s = (count - self.window_count) as f64 / window.as_secs_f64();
            }
            Change::Steady => {
                let observed_per_s = (count - self.count) as f64 / elapsed_s;
                let decay = (-elapsed_s / MEAN_TIME_CONSTANT_S).exp();
                self.mean_per_s = self.mean_per_s * decay + observed_per_s * (1.0 - decay);
            }
        }
        self.count = count;
        self.measured_at = now;
        if change == Change::Jumped || window >= WINDOW {
            self.window_count = count;
            self.window_start = now;
        }
    }
}
