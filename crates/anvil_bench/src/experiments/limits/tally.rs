//! Numbers of requests that arrived and were admitted, by time.

use std::{
    sync::atomic::{
        AtomicU32,
        Ordering::Relaxed, //
    },
    time::Duration, //
};

/// Time over which arrivals and admissions are added up.
const SLOT_TIME: Duration = Duration::from_millis(100);
const SLOT_COUNT: usize = 600;
/// Length in slots of the sliding windows in which the overshoot is measured.
const OVERSHOOT_SLOTS: usize = 50;
/// Length in slots of the windows in which the unused part of the limit is measured.
const UNUSED_SLOTS: usize = 10;

/// Numbers of requests of one team at all hosts, by slot.
pub struct Tally {
    offered: Vec<AtomicU32>,
    admitted: Vec<AtomicU32>,
    admitted_static: Vec<AtomicU32>,
}

impl Default for Tally {
    fn default() -> Self {
        let slots = || (0..SLOT_COUNT).map(|_| AtomicU32::new(0)).collect();
        Self {
            offered: slots(),
            admitted: slots(),
            admitted_static: slots(),
        }
    }
}

impl Tally {
    /// Records the arrival of a request, at a time since the start of the load.
    pub fn record_offered(&self, time: Duration) {
        self.offered[slot_index(time)].fetch_add(1, Relaxed);
    }

    /// Records an admission, at a time since the start of the load.
    pub fn record_admitted(&self, time: Duration) {
        self.admitted[slot_index(time)].fetch_add(1, Relaxed);
    }

    /// Records a request that an equal, constant division of the limit would have admitted.
    pub fn record_admitted_static(&self, time: Duration) {
        self.admitted_static[slot_index(time)].fetch_add(1, Relaxed);
    }

    /// Returns the largest excess over the limit in any window, as a fraction of the limit.
    pub fn overshoot(&self, (from, to): (Duration, Duration), limit_per_s: f64) -> f64 {
        let allowed = limit_per_s * SLOT_TIME.as_secs_f64() * OVERSHOOT_SLOTS as f64;
        self.admitted[slot_index(from)..slot_index(to)]
            .windows(OVERSHOOT_SLOTS)
            .map(|window| (sum(window) - allowed) / allowed)
            .fold(0.0, f64::max)
    }

    /// Returns the fraction of the requests within both the limit and the demand that was not
    /// admitted.
    pub fn unused(&self, time: (Duration, Duration), limit_per_s: f64) -> f64 {
        self.unused_ratio(&self.admitted, time, limit_per_s)
    }

    /// Returns the fraction of the requests within both the limit and the demand that an equal,
    /// constant division of the limit would not have admitted.
    pub fn unused_static(&self, time: (Duration, Duration), limit_per_s: f64) -> f64 {
        self.unused_ratio(&self.admitted_static, time, limit_per_s)
    }

    fn unused_ratio(
        &self,
        admitted: &[AtomicU32],
        (from, to): (Duration, Duration),
        limit_per_s: f64,
    ) -> f64 {
        let allowed = limit_per_s * SLOT_TIME.as_secs_f64() * UNUSED_SLOTS as f64;
        let (mut admissible_sum, mut unused_sum) = (0.0, 0.0);
        for start in (slot_index(from)..slot_index(to)).step_by(UNUSED_SLOTS) {
            let window = start..start + UNUSED_SLOTS;
            let admissible = sum(&self.offered[window.clone()]).min(allowed);
            admissible_sum += admissible;
            unused_sum += (admissible - sum(&admitted[window])).max(0.0);
        }
        unused_sum / admissible_sum
    }
}

fn slot_index(time: Duration) -> usize {
    ((time.as_millis() / SLOT_TIME.as_millis()) as usize).min(SLOT_COUNT - 1)
}

fn sum(slots: &[AtomicU32]) -> f64 {
    slots
        .iter()
        .map(|count| f64::from(count.load(Relaxed)))
        .sum()
}
