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

/// Largest number of doublings of the ejection time.
const DOUBLINGS_MAX: u32 = 16;

/// What the breaker lets a new sequence do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Permit {
    /// Use the target.
    Use,
    /// Use it as one of a bounded number of probes.
    Probe,
    /// Avoid it.
    Avoid,
}

/// How sure a failure is of its target's fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Severity {
    /// The connection or the step may be at fault: several in a row eject.
    Suspected,
    /// The target takes no connection: one ejects.
    Confirmed,
}

/// Ejects a target after failures in a row and lets probes back after a growing time.
#[derive(Debug)]
pub struct Breaker {
    /// Zero of the times below.
    origin: Instant,
    /// Failures since the last success.
    failures: AtomicU32,
    /// Ejections since the last success.
    ejections: AtomicU32,
    /// End of the present ejection in microseconds after `origin`; 0 when there is none.
    ejected_until_us: AtomicU64,
    /// Whether the present ejection is for a target that took no connection.
    unreachable: AtomicBool,
    /// Probes under way. Invariant: at most `probes_max`.
    probes: AtomicU32,
}

impl Breaker {
    /// Makes a breaker that lets everything through.
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

    /// Tells what a new sequence may do, without taking a probe.
    pub fn permit(&self, now: Instant, settings: &Settings) -> Permit {
        let until_us = self.ejected_until_us.load(Ordering::Acquire);
        if until_us == 0 {
            return Permit::Use;
        }
        let probes = self.probes.load(Ordering::Acquire);
        if self.micros(now) >= until_us && probes < settings.probes_max {
            return Permit::Probe;
        }
        Permit::Avoid
    }

    /// Takes one of the bounded probes; false where none is free.
    pub fn try_probe(&self, settings: &Settings) -> bool {
        let more = |probes| (probes < settings.probes_max).then_some(probes + 1);
        self.probes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more)
            .is_ok()
    }

    /// Gives a probe back.
    pub fn end_probe(&self) {
        let before = self.probes.fetch_sub(1, Ordering::AcqRel);
        assert!(before > 0, "a probe ends that did not begin");
    }

    /// Records an answer. Returns true where it ended an ejection.
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

    /// Records a failure. Returns the length of the ejection where it began one.
    pub fn record_failure(
        &self,
        severity: Severity,
        now: Instant,
        settings: &Settings,
    ) -> Option<Duration> {
        let failures = self.failures.fetch_add(1, Ordering::AcqRel) + 1;
        let until_us = self.ejected_until_us.load(Ordering::Acquire);
        let ejected = self.micros(now) < until_us;
        let due = severity == Severity::Confirmed
            || until_us != 0
            || failures >= settings.failures_to_eject;
        if ejected || !due {
            return None;
        }
        let length = self.eject(now, until_us, settings);
        if length.is_some() {
            let is_certain = severity == Severity::Confirmed;
            self.unreachable.store(is_certain, Ordering::Release);
        }
        length
    }

    /// Notes that the target answered a call other than a step. Where it was ejected because it
    /// took no connection, its ejection ends in probes now. Returns true where that is a change.
    pub fn record_reachable(&self, now: Instant) -> bool {
        if !self.unreachable.swap(false, Ordering::AcqRel) {
            return false;
        }
        let now_us = self.micros(now).max(1);
        self.ejected_until_us
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |until_us| {
                (until_us > now_us).then_some(now_us)
            })
            .is_ok()
    }

    fn eject(&self, now: Instant, until_us: u64, settings: &Settings) -> Option<Duration> {
        let doublings = self.ejections.load(Ordering::Relaxed).min(DOUBLINGS_MAX);
        let length = settings
            .ejection_min
            .saturating_mul(1 << doublings)
            .min(settings.ejection_max);
        let end_us = self.micros(now + length).max(1);
        self.ejected_until_us
            .compare_exchange(until_us, end_us, Ordering::AcqRel, Ordering::Acquire)
            .ok()?;
        self.ejections.fetch_add(1, Ordering::Relaxed);
        Some(length)
    }

    fn micros(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.origin);
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    }
}
