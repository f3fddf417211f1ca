//! Histograms that record values without a lock.
//!
//! The histogram of the OpenTelemetry SDK takes a lock that all requests share. This one adds
//! values to atomics, and the exporter later moves them into the SDK's instrument. The values of a
//! bucket are passed on as their mean, so the counts by bucket and the total sum stay exact.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

/// Factor by which a sum of values is multiplied to be stored as an integer.
const SUM_SCALE: f64 = 1e9;

/// A histogram that many tasks record into and one exporter drains.
#[derive(Debug)]
pub struct Histogram {
    /// Upper bounds of all buckets but the last, in ascending order.
    bounds: &'static [f64],
    /// Invariant: there is one more bucket than bounds. The last bucket holds the values above the
    /// highest bound.
    buckets: Vec<Bucket>,
}

#[derive(Debug, Default)]
struct Bucket {
    count: AtomicU64,
    /// Sum of the values, multiplied by [`SUM_SCALE`].
    sum_scaled: AtomicU64,
}

/// Number and mean of the values that were recorded in one bucket since the last drain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketSummary {
    /// Number of values. Never zero.
    pub count: u64,
    /// Mean of the values. Always within the bounds of the bucket.
    pub mean: f64,
}

impl Histogram {
    /// Creates an empty histogram. `bounds` are inclusive upper bounds in ascending order.
    pub fn new(bounds: &'static [f64]) -> Self {
        Self {
            bounds,
            buckets: (0..=bounds.len()).map(|_| Bucket::default()).collect(),
        }
    }

    /// Returns the upper bounds of the buckets, without the last bucket, which has none.
    pub fn bounds(&self) -> &'static [f64] {
        self.bounds
    }

    /// Records a value. A negative value is counted, but adds 0 to the sum.
    pub fn record(&self, value: f64) {
        let index = self.bounds.partition_point(|bound| *bound < value);
        let bucket = &self.buckets[index];
        // The sum is updated first, so that a reader that sees the new count also sees the value in
        // the sum.
        bucket
            .sum_scaled
            .fetch_add((value * SUM_SCALE) as u64, Ordering::Relaxed);
        bucket.count.fetch_add(1, Ordering::Release);
    }

    /// Records a duration in seconds.
    pub fn record_duration(&self, duration: Duration) {
        self.record(duration.as_secs_f64());
    }

    /// Returns the summary of each bucket that is not empty, and resets it.
    pub fn drain(&self) -> impl Iterator<Item = BucketSummary> {
        self.buckets
            .iter()
            .enumerate()
            .filter_map(|(index, bucket)| {
                let count = bucket.count.swap(0, Ordering::Acquire);
                if count == 0 {
                    return None;
                }
                let sum = bucket.sum_scaled.swap(0, Ordering::Relaxed) as f64 / SUM_SCALE;
                let mean = self.clamp_to_bucket(index, sum / count as f64);
                Some(BucketSummary { count, mean })
            })
    }

    /// Clamps a mean to the bounds of its bucket, which rounding or a concurrent recording may have
    /// moved it out of.
    fn clamp_to_bucket(&self, index: usize, mean: f64) -> f64 {
        let lower_bound = match index {
            0 => 0.0,
            _ => self.bounds[index - 1].next_up(),
        };
        let upper_bound = self.bounds.get(index).copied().unwrap_or(f64::MAX);
        mean.clamp(lower_bound, upper_bound)
    }
}
