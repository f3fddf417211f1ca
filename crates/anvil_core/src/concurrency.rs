//! Adaptive limit on the work that a host keeps in flight at one target or for one model.
//!
//! The limit follows the stretch of the answers: the observed service time divided by the time that
//! the same work takes on an idle target. The floor is the smallest stretch seen over a long time.
//! See `docs/design/admission.md`.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU32,
            AtomicU64,
            Ordering::{
                AcqRel,
                Acquire,
                Relaxed,
                Release, //
            }, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    },
};

#[cfg(test)]
mod tests;

/// Fixed-point unit of a stretch: 1,024 stands for an answer as fast as on an idle target.
const STRETCH_UNIT: u64 = 1024;
/// Fixed-point unit of the limit, so that growth by less than one slot per window adds up.
const LIMIT_UNIT: f64 = 256.0;
/// Largest stretch that one sample adds to a window, so that a single slow answer doesn't dominate
/// the mean.
const STRETCH_MAX: u64 = 64 * STRETCH_UNIT;
/// Smallest factor by which one window may lower the limit.
const GRADIENT_MIN: f64 = 0.5;
/// Fraction of the distance to a window's smallest stretch by which the floor rises.
const FLOOR_RISE_FRACTION: f64 = 0.02;

/// Settings of a [`Limiter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Limit of a new target. Invariant: `limit_min <= limit_initial <= limit_max`.
    pub limit_initial: u32,
    /// Smallest limit. Invariant: above 0, so that a failing target is still tried.
    pub limit_min: u32,
    /// Largest limit.
    pub limit_max: u32,
    /// Multiple of the floor that is accepted as the cost of batching. Invariant: at least 1.
    pub stretch_tolerance: f64,
    /// Smallest floor that is used. Stretches up to `stretch_tolerance` times this value never
    /// lower the limit. Invariant: not below 0.
    pub stretch_floor_min: f64,
    /// Weight of the newly computed limit in each window. Invariant: in `0 < smoothing <= 1`.
    pub smoothing: f64,
    /// Factor on the limit after a refusal or timeout. Invariant: in `0 < backoff < 1`.
    pub backoff: f64,
    /// Shortest time between two changes of the limit.
    pub window: Duration,
    /// Fewest samples with which a window closes. Invariant: above 0.
    pub window_samples: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            limit_initial: 8,
            limit_min: 1,
            limit_max: 4096,
            stretch_tolerance: 2.5,
            stretch_floor_min: 0.0,
            smoothing: 0.3,
            backoff: 0.9,
            window: Duration::from_millis(100),
            window_samples: 8,
        }
    }
}

impl Settings {
    fn check(&self) {
        assert!(self.limit_min > 0, "limit_min is 0");
        assert!(
            self.limit_min <= self.limit_initial && self.limit_initial <= self.limit_max,
            "limit_initial is outside limit_min..=limit_max"
        );
        assert!(self.stretch_tolerance >= 1.0, "stretch_tolerance below 1");
        assert!(self.stretch_floor_min >= 0.0, "stretch_floor_min below 0");
        assert!(
            self.smoothing > 0.0 && self.smoothing <= 1.0,
            "smoothing is not above 0 and at most 1"
        );
        assert!(
            self.backoff > 0.0 && self.backoff < 1.0,
            "backoff is not above 0 and below 1"
        );
        assert!(self.window_samples > 0, "window_samples is 0");
    }
}

/// How a piece of work ended, as seen by the limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered {
        /// Time from sending to the answer.
        service_time: Duration,
        /// Time that the same work takes on an idle target, according to the target's stated rates.
        idle_time: Duration,
    },
    /// The target refused because of overload, or did not answer in time.
    Overloaded,
    /// It says nothing about the target's load: the work was cancelled, or refused for another
    /// reason.
    Ignored,
}

/// Adaptive concurrency limit. Every operation is a few atomics; no lock is taken.
#[derive(Debug)]
pub struct Limiter {
    settings: Settings,
    /// Start of the limiter's clock, which counts nanoseconds.
    epoch: Instant,
    /// Permits in use. Invariant: [`Limiter::try_acquire`] never raises it above the limit.
    in_flight: AtomicU32,
    /// Most permits in use at once in the current window.
    in_flight_peak: AtomicU32,
    /// Limit in 1/256 slots. Invariant: within `limit_min..=limit_max`.
    limit_fixed: AtomicU64,
    /// Sum of the stretches in the current window.
    stretch_sum: AtomicU64,
    sample_count: AtomicU32,
    /// Smallest stretch in the current window.
    stretch_min: AtomicU64,
    /// Smallest stretch seen over a long time; 0 before the first window.
    stretch_floor: AtomicU64,
    /// Clock time from which the current window may close.
    window_end_ns: AtomicU64,
    /// Clock time before which a further refusal doesn't lower the limit again.
    backoff_end_ns: AtomicU64,
}

impl Limiter {
    /// Returns a limiter at its initial limit.
    ///
    /// # Panics
    ///
    /// Panics if a setting breaks its invariant.
    pub fn new(settings: Settings, now: Instant) -> Self {
        settings.check();
        Self {
            settings,
            epoch: now,
            in_flight: AtomicU32::new(0),
            in_flight_peak: AtomicU32::new(0),
            limit_fixed: AtomicU64::new((f64::from(settings.limit_initial) * LIMIT_UNIT) as u64),
            stretch_sum: AtomicU64::new(0),
            sample_count: AtomicU32::new(0),
            stretch_min: AtomicU64::new(u64::MAX),
            stretch_floor: AtomicU64::new(0),
            window_end_ns: AtomicU64::new(nanoseconds(settings.window)),
            backoff_end_ns: AtomicU64::new(0),
        }
    }

    /// Takes a permit, or returns `None` if the limit is reached.
    pub fn try_acquire(self: &Arc<Self>) -> Option<Permit> {
        let limit = self.limit();
        let in_flight_before = self
            .in_flight
            .fetch_update(AcqRel, Acquire, |count| {
                (count < limit).then_some(count + 1)
            })
            .ok()?;
        self.in_flight_peak.fetch_max(in_flight_before + 1, Relaxed);
        Some(Permit {
            limiter: Some(Arc::clone(self)),
        })
    }

    /// Takes a permit even above the limit, for work that can no longer be refused, such as the
    /// next step of a running request.
    pub fn acquire_over_limit(self: &Arc<Self>) -> Permit {
        let in_flight_before = self.in_flight.fetch_add(1, AcqRel);
        self.in_flight_peak.fetch_max(in_flight_before + 1, Relaxed);
        Permit {
            limiter: Some(Arc::clone(self)),
        }
    }

    /// Returns the current limit.
    pub fn limit(&self) -> u32 {
        (self.limit_fixed.load(Acquire) as f64 / LIMIT_UNIT) as u32
    }

    /// Returns the number of permits in use.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Acquire)
    }

    /// Returns the smallest stretch seen over a long time; 1 is as fast as the target's stated
    /// rates.
    pub fn stretch_floor(&self) -> f64 {
        self.stretch_floor.load(Relaxed) as f64 / STRETCH_UNIT as f64
    }

    /// Records an outcome without a permit of its own. This is for permits that outlive the timed
    /// work, such as a request's permit with one sample for each of its steps.
    pub fn observe(&self, outcome: Outcome, now: Instant) {
        let now_ns = nanoseconds(now.saturating_duration_since(self.epoch));
        match outcome {
            Outcome::Answered {
                service_time,
                idle_time,
            } => self.record_sample(service_time, idle_time, now_ns),
            Outcome::Overloaded => self.back_off(now_ns),
            Outcome::Ignored => {}
        }
    }

    fn release(&self) {
        let in_flight_before = self.in_flight.fetch_sub(1, AcqRel);
        assert!(
            in_flight_before > 0,
            "a concurrency permit was released twice"
        );
    }

    fn record_sample(&self, service_time: Duration, idle_time: Duration, now_ns: u64) {
        let idle_ns = nanoseconds(idle_time).max(1);
        let stretch = nanoseconds(service_time).saturating_mul(STRETCH_UNIT) / idle_ns;
        let stretch = stretch.clamp(1, STRETCH_MAX);
        self.stretch_sum.fetch_add(stretch, Relaxed);
        self.stretch_min.fetch_min(stretch, Relaxed);
        let count = self.sample_count.fetch_add(1, AcqRel) + 1;
        let window_end_ns = self.window_end_ns.load(Acquire);
        if count < self.settings.window_samples || now_ns < window_end_ns {
            return;
        }
        let next_end_ns = now_ns + nanoseconds(self.settings.window);
        // Only the thread whose exchange succeeds closes the window. Concurrent samples fall into
        // either window, which changes the mean only a little.
        let won = self
            .window_end_ns
            .compare_exchange(window_end_ns, next_end_ns, AcqRel, Relaxed)
            .is_ok();
        if won {
            self.close_window();
        }
    }

    fn close_window(&self) {
        let count = self.sample_count.swap(0, AcqRel).max(1);
        let mean = self.stretch_sum.swap(0, AcqRel) as f64 / f64::from(count);
        let stretch_min = self.stretch_min.swap(u64::MAX, AcqRel);
        let peak = self
            .in_flight_peak
            .swap(self.in_flight.load(Acquire), AcqRel);
        let limit = self.limit_fixed.load(Acquire) as f64 / LIMIT_UNIT;
        let underused = f64::from(peak) < limit * 0.5;
        let lightly_loaded = underused || limit <= f64::from(self.settings.limit_initial);
        let floor = self.update_floor(stretch_min, lightly_loaded);
        let tolerated = self.settings.stretch_tolerance * floor;
        let gradient = (tolerated / mean).clamp(GRADIENT_MIN, 1.0);
        if underused && gradient >= 1.0 {
            return;
        }
        let desired = limit * gradient + limit.sqrt().max(1.0);
        let smoothing = self.settings.smoothing;
        self.store_limit(limit * (1.0 - smoothing) + desired * smoothing);
    }

    /// Updates the floor and returns it, at least `stretch_floor_min`.
    ///
    /// The floor falls at once. It rises only while this host puts little load on the target: at
    /// full load a slow answer is caused by queueing, and a floor that rose with it would let the
    /// queue grow without bound.
    fn update_floor(&self, stretch_min: u64, lightly_loaded: bool) -> f64 {
        let old = self.stretch_floor.load(Relaxed);
        let observed = stretch_min.min(STRETCH_MAX);
        let floor = if old == 0 || observed < old {
            observed as f64
        } else if lightly_loaded {
            old as f64 + (observed - old) as f64 * FLOOR_RISE_FRACTION
        } else {
            old as f64
        };
        self.stretch_floor.store(floor as u64, Relaxed);
        floor.max(self.settings.stretch_floor_min * STRETCH_UNIT as f64)
    }

    fn back_off(&self, now_ns: u64) {
        let end_ns = self.backoff_end_ns.load(Acquire);
        if now_ns < end_ns {
            return;
        }
        let next_ns = now_ns + nanoseconds(self.settings.window);
        let won = self
            .backoff_end_ns
            .compare_exchange(end_ns, next_ns, AcqRel, Relaxed)
            .is_ok();
        if won {
            let limit = self.limit_fixed.load(Acquire) as f64 / LIMIT_UNIT;
            self.store_limit(limit * self.settings.backoff);
        }
    }

    fn store_limit(&self, limit: f64) {
        let min = f64::from(self.settings.limit_min);
        let max = f64::from(self.settings.limit_max);
        let limit = limit.clamp(min, max);
        self.limit_fixed.store((limit * LIMIT_UNIT) as u64, Release);
    }
}

/// One unit of work in flight under a limiter.
///
/// Dropping it frees the slot without recording an outcome.
#[derive(Debug)]
#[must_use = "a dropped permit frees its slot at once"]
pub struct Permit {
    /// Invariant: present until the permit is closed or dropped.
    limiter: Option<Arc<Limiter>>,
}

impl Permit {
    /// Frees the slot and records how the work ended.
    pub fn close(mut self, outcome: Outcome, now: Instant) {
        if let Some(limiter) = self.limiter.take() {
            limiter.release();
            limiter.observe(outcome, now);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(limiter) = self.limiter.take() {
            limiter.release();
        }
    }
}

fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
