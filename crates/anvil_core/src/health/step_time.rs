//! Observed step times of one target and the step deadline derived from them.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use super::Settings;

/// Weight of a new observation in the mean, as a negative power of two.
const MEAN_SHIFT: u32 = 3;
/// Weight of a new observation in the mean deviation, as a negative power of two.
const DEVIATION_SHIFT: u32 = 2;
/// Number of mean deviations above the mean at which the deadline of a step lies.
const DEADLINE_DEVIATIONS: u64 = 4;
/// A ratio of 1 between observed and predicted time, in fixed point with 16 fractional bits.
const RATIO_ONE: u64 = 1 << 16;
/// Time without observations in which the excess of the slowdown over 1 halves.
const SLOWDOWN_HALF_LIFE_MS: f64 = 2000.0;
/// Time of a step that predictions leave out: scheduling and timers on both ends.
const STEP_OVERHEAD: Duration = Duration::from_millis(2);
/// Largest ratio that one observation contributes to the mean, so that a single stall on either end
/// doesn't make the target count as slow.
const MEAN_RATIO_MAX: u64 = 16 * RATIO_ONE;
/// Largest ratio that is recorded; a larger observation counts as this.
const RATIO_MAX: f64 = 1000.0;

/// Mean and mean deviation of the ratio of observed to predicted step time.
///
/// Ratios allow steps of different sizes to share one estimate. Of two concurrent observations, one
/// may overwrite the other; the estimate then misses that observation.
#[derive(Debug)]
pub struct StepTime {
    /// Mean ratio in units of `RATIO_ONE`; `RATIO_ONE` before the first observation.
    mean: AtomicU64,
    /// Mean deviation of the ratio in units of `RATIO_ONE`.
    deviation: AtomicU64,
    /// Reference time of `observed_at_ms`.
    origin: Instant,
    /// Time of the last observation in milliseconds after `origin`.
    observed_at_ms: AtomicU64,
}

impl StepTime {
    /// Creates an estimate without observations.
    pub fn new(now: Instant) -> Self {
        Self {
            mean: AtomicU64::new(RATIO_ONE),
            deviation: AtomicU64::new(RATIO_ONE),
            origin: now,
            observed_at_ms: AtomicU64::new(0),
        }
    }

    /// Records a step that took `observed` and was predicted to take `predicted`.
    pub fn record(&self, observed: Duration, predicted: Duration, now: Instant) {
        self.observed_at_ms
            .store(self.millis_after_origin(now), Ordering::Relaxed);
        let predicted = predicted + STEP_OVERHEAD;
        let ratio = observed.as_secs_f64() / predicted.as_secs_f64();
        let ratio = (ratio.min(RATIO_MAX) * RATIO_ONE as f64) as u64;
        let mean = self.mean.load(Ordering::Relaxed);
        let deviation = self.deviation.load(Ordering::Relaxed);
        let ratio_deviation = ratio.abs_diff(mean);
        self.mean.store(
            moving_average(mean, ratio.min(MEAN_RATIO_MAX), MEAN_SHIFT),
            Ordering::Relaxed,
        );
        self.deviation.store(
            moving_average(deviation, ratio_deviation, DEVIATION_SHIFT),
            Ordering::Relaxed,
        );
    }

    /// Returns the mean ratio of observed to predicted time, at least 1.
    ///
    /// The ratio falls towards 1 while nothing is observed, so that a target that was slow is tried
    /// again.
    pub fn slowdown(&self, now: Instant) -> f64 {
        let ratio = self.mean.load(Ordering::Relaxed) as f64 / RATIO_ONE as f64;
        if ratio <= 1.0 {
            return 1.0;
        }
        let observed_at_ms = self.observed_at_ms.load(Ordering::Relaxed);
        let age_ms = self.millis_after_origin(now).saturating_sub(observed_at_ms) as f64;
        1.0 + (ratio - 1.0) * 0.5_f64.powf(age_ms / SLOWDOWN_HALF_LIFE_MS)
    }

    fn millis_after_origin(&self, instant: Instant) -> u64 {
        let elapsed = instant.saturating_duration_since(self.origin);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the longest time to wait for a step that is predicted to take `predicted`.
    pub fn deadline(&self, predicted: Duration, settings: &Settings) -> Duration {
        let mean = self.mean.load(Ordering::Relaxed).max(RATIO_ONE);
        let ratio = mean + DEADLINE_DEVIATIONS * self.deviation.load(Ordering::Relaxed);
        let expected = (predicted + STEP_OVERHEAD).mul_f64(ratio as f64 / RATIO_ONE as f64);
        let longest = settings.step_deadline_max + predicted;
        expected.clamp(settings.step_deadline_min.min(longest), longest)
    }
}

fn moving_average(old: u64, new: u64, shift: u32) -> u64 {
    old - (old >> shift) + (new >> shift)
}
