//! Counters and gauges that are updated without locks.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

/// A value that only increases.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds `amount` to the count.
    pub fn add(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    /// Adds a duration to a counter of nanoseconds.
    pub fn add_duration(&self, duration: Duration) {
        self.add(u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX));
    }

    /// Raises the counter to a total that is counted elsewhere. A lower total has no effect.
    pub fn raise_to(&self, value: u64) {
        self.0.fetch_max(value, Ordering::Relaxed);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A value that increases and decreases.
#[derive(Debug, Default)]
pub struct Gauge(AtomicU64);

impl Gauge {
    /// Adds `amount` to the value.
    pub fn add(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    /// Subtracts `amount` from the value, which must not be smaller: it would wrap around.
    pub fn subtract(&self, amount: u64) {
        self.0.fetch_sub(amount, Ordering::Relaxed);
    }

    /// Replaces the value.
    pub fn set(&self, value: u64) {
        self.0.store(value, Ordering::Relaxed);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
