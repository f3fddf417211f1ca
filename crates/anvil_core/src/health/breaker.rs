//! Circuit breaker of one target.

use std::{
    sync::atomic::{
        AtomicBool,
        AtomicU32,
        AtomicU64,
        Ordering, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use super::Settings;

/// Largest number of doublings of the ejection time. It keeps their factor within a `u32`.
const EJECTION_DOUBLINGS_MAX: u32 = 16;

/// What the breaker allows a new sequence to do with its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Permit {
    /// Use the target.
    Use,
    /// Use the target as one of at most `probes_max` probes.
    Probe,
    /// Avoid the target.
    Avoid,
}

/// How certain it is that a failure is the target's fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Severity {
    /// The connection or the step may be at fault; several consecutive failures eject the target.
    Suspected,
    /// The target accepts no connection; a single failure ejects it.
    Confirmed,
}

/// Ejects a target after consecutive failures and admits probes after a time that grows with each
/// ejection.
#[derive(Debug)]
pub struct Breaker {
    /// Reference time of `ejected_until_us`.
    origin: Instant,
    /// Number of failures since the last success.
    failures: AtomicU32,
    /// Number of ejections since the last success.
    ejections: AtomicU32,
    /// End of the latest ejection in microseconds after `origin`; 0 if there was none since the
    /// last success.
    ejected_until_us: AtomicU64,
    /// Whether the latest ejection began because the target accepted no connection; false once the
    /// target has answered a call other than a step.
    unreachable: AtomicBool,
    /// Number of probes in progress. Invariant: at most `probes_max`.
    probes: AtomicU32,
}

impl Breaker {
    /// Creates a breaker that permits every sequence.
    pub fn new(now: Instant) -> Self {
        Self {
            origin: now,
            failures: AtomicU32::new(0),
            ejections: AtomicU32::new(0),
            ejected_until_us: AtomicU64::new(0),
            unreachable: AtomicBool::new(false),
            probes: AtomicU32::new(0),
        }
    }

    /// Returns what a new sequence may do, without reserving a probe.
    pub fn permit(&self, now: Instant, settings: &Settings) -> Permit {
        let until_us = self.ejected_until_us.load(Ordering::Acquire);
        if until_us == 0 {
            return Permit::Use;
        }
        let probes = self.probes.load(Ordering::Acquire);
        if self.micros_after_origin(now) >= until_us && probes < settings.probes_max {
            return Permit::Probe;
        }
        Permit::Avoid
    }

    /// Reserves one of the `probes_max` probes. Returns false if none is free.
    pub fn try_probe(&self, settings: &Settings) -> bool {
        let increment = |probes| (probes < settings.probes_max).then_some(probes + 1);
        self.probes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, increment)
            .is_ok()
    }

    /// Releases a probe that `try_probe` reserved.
    ///
    /// # Panics
    ///
    /// Panics if no probe is reserved.
    pub fn end_probe(&self) {
        let previous = self.probes.fetch_sub(1, Ordering::AcqRel);
        assert!(previous > 0, "end_probe called without a probe in progress");
    }

    /// Records an answered step. Returns true if it ended an ejection.
    pub fn record_success(&self) -> bool {
        if self.failures.load(Ordering::Relaxed) != 0 {
            self.failures.store(0, Ordering::Relaxed);
        }
        if self.ejected_until_us.load(Ordering::Relaxed) == 0 {
            return false;
        }
        self.ejections.store(0, Ordering::Relaxed);
        self.ejected_until_us.swap(0, Ordering::AcqRel) != 0
    }

    /// Records a failure. Returns the duration of the ejection that it started, or `None` if it
    /// started none.
    pub fn record_failure(
        &self,
        severity: Severity,
        now: Instant,
        settings: &Settings,
    ) -> Option<Duration> {
        let failures = self.failures.fetch_add(1, Ordering::AcqRel) + 1;
        let until_us = self.ejected_until_us.load(Ordering::Acquire);
        let is_ejected = self.micros_after_origin(now) < until_us;
        let should_eject = severity == Severity::Confirmed
            || until_us != 0
            || failures >= settings.failures_to_eject;
        if is_ejected || !should_eject {
            return None;
        }
        let duration = self.eject(now, until_us, settings);
        if duration.is_some() {
            let is_unreachable = severity == Severity::Confirmed;
            self.unreachable.store(is_unreachable, Ordering::Release);
        }
        duration
    }

    /// Records that the target answered a call other than a step. If the target was ejected because
    /// it accepted no connection, the ejection time ends now and probes are permitted. Returns true
    /// if this shortened an ejection.
    pub fn record_reachable(&self, now: Instant) -> bool {
        if !self.unreachable.swap(false, Ordering::AcqRel) {
            return false;
        }
        let now_us = self.micros_after_origin(now).max(1);
        self.ejected_until_us
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |until_us| {
                (until_us > now_us).then_some(now_us)
            })
            .is_ok()
    }

    fn eject(&self, now: Instant, until_us: u64, settings: &Settings) -> Option<Duration> {
        let doublings = self
            .ejections
            .load(Ordering::Relaxed)
            .min(EJECTION_DOUBLINGS_MAX);
        let duration = settings
            .ejection_min
            .saturating_mul(1 << doublings)
            .min(settings.ejection_max);
        let end_us = self.micros_after_origin(now + duration).max(1);
        self.ejected_until_us
            .compare_exchange(until_us, end_us, Ordering::AcqRel, Ordering::Acquire)
            .ok()?;
        self.ejections.fetch_add(1, Ordering::Relaxed);
        Some(duration)
    }

    fn micros_after_origin(&self, instant: Instant) -> u64 {
        let elapsed = instant.saturating_duration_since(self.origin);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }
}
