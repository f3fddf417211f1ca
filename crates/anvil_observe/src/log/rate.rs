//! Limits the rate of log lines of each event, with lock-free token buckets chosen by event name.

use std::{
    hash::{
        BuildHasher,
        BuildHasherDefault,
        DefaultHasher, //
    },
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

/// Number of buckets. Events whose names hash to the same bucket share its rate.
const BUCKET_COUNT: usize = 512;
const NANOS_PER_S: u64 = 1_000_000_000;

/// Token buckets of all events. Each allows a burst of one second's worth of lines.
#[derive(Debug)]
pub struct RateLimiter {
    /// Time in which a bucket gains one token.
    interval_ns: u64,
    buckets: Vec<Bucket>,
}

#[derive(Debug, Default)]
struct Bucket {
    /// Time since the limiter's start at which the bucket is full again.
    full_at_ns: AtomicU64,
    suppressed_lines: AtomicU64,
}

/// Whether a line is written or suppressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The line may be written.
    Write {
        /// Lines suppressed in the same bucket since the last line that was written.
        suppressed_lines: u64,
    },
    /// The line must not be written. The limiter has counted it as suppressed.
    Suppress,
}

impl RateLimiter {
    /// Creates a limiter that allows `rate_lines_per_s` lines per second of each event. Zero counts
    /// as one.
    pub fn new(rate_lines_per_s: u32) -> Self {
        Self {
            interval_ns: NANOS_PER_S / u64::from(rate_lines_per_s.max(1)),
            buckets: (0..BUCKET_COUNT).map(|_| Bucket::default()).collect(),
        }
    }

    /// Takes a token for a line of `event`, where `now` is the time since the limiter's start.
    pub fn try_acquire(&self, event: &str, now: Duration) -> Decision {
        let bucket = self.bucket(event);
        let now_ns = u64::try_from(now.as_nanos()).unwrap_or(u64::MAX);
        let interval_ns = self.interval_ns;
        let acquired =
            bucket
                .full_at_ns
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |full_at_ns| {
                    let full_at_ns = full_at_ns.max(now_ns) + interval_ns;
                    (full_at_ns - now_ns <= NANOS_PER_S).then_some(full_at_ns)
                });
        if acquired.is_err() {
            bucket.suppressed_lines.fetch_add(1, Ordering::Relaxed);
            return Decision::Suppress;
        }
        Decision::Write {
            suppressed_lines: bucket.suppressed_lines.swap(0, Ordering::Relaxed),
        }
    }

    fn bucket(&self, event: &str) -> &Bucket {
        let hasher = BuildHasherDefault::<DefaultHasher>::default();
        &self.buckets[(hasher.hash_one(event) % BUCKET_COUNT as u64) as usize]
    }
}

#[cfg(test)]
mod tests;
