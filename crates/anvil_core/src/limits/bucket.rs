//! Token bucket made of atomics, whose rate may change at any time.

use std::sync::atomic::{
    AtomicI64,
    AtomicU64,
    Ordering::{
        AcqRel,
        Acquire,
        Relaxed, //
    }, //
};

/// Fixed-point unit of a balance.
const FIXED_POINT_UNIT: f64 = 1e9;
/// Shortest time between two refills. More frequent refills would round a low rate down to 0.
const REFILL_INTERVAL_MIN_NS: u64 = 1_000_000;

/// Token bucket. Times are nanoseconds on the owner's clock.
#[derive(Debug)]
pub struct Bucket {
    /// Units per second, as the bits of an `f64`.
    rate_bits: AtomicU64,
    /// Balance in billionths of a unit. Invariant: a refill never raises it above the capacity.
    balance_fixed: AtomicI64,
    refilled_ns: AtomicU64,
    /// Capacity, as the time in which it fills at the current rate.
    burst_s: f64,
    /// Smallest capacity, in units.
    capacity_min: f64,
}

impl Bucket {
    /// Returns a bucket that holds `balance` units.
    pub fn new(
        rate_per_s: f64,
        burst_s: f64,
        capacity_min: f64,
        balance: f64,
        now_ns: u64,
    ) -> Self {
        Self {
            rate_bits: AtomicU64::new(rate_per_s.to_bits()),
            balance_fixed: AtomicI64::new((balance * FIXED_POINT_UNIT) as i64),
            refilled_ns: AtomicU64::new(now_ns),
            burst_s,
            capacity_min,
        }
    }

    /// Returns the current rate, in units per second.
    pub fn rate_per_s(&self) -> f64 {
        f64::from_bits(self.rate_bits.load(Acquire))
    }

    /// Changes the rate from now on.
    pub fn set_rate(&self, rate_per_s: f64, now_ns: u64) {
        self.refill(now_ns);
        self.rate_bits.store(rate_per_s.to_bits(), Relaxed);
    }

    /// Takes `cost` units if the bucket holds `needed` units, and returns whether it did. The
    /// balance may become negative.
    pub fn try_take(&self, cost: f64, needed: f64, now_ns: u64) -> bool {
        self.refill(now_ns);
        let cost_fixed = (cost * FIXED_POINT_UNIT) as i64;
        let needed_fixed = (needed * FIXED_POINT_UNIT) as i64;
        self.balance_fixed
            .fetch_update(AcqRel, Acquire, |balance_fixed| {
                (balance_fixed >= needed_fixed).then(|| balance_fixed.saturating_sub(cost_fixed))
            })
            .is_ok()
    }

    /// Puts back units that were taken and not used, or takes more if `amount` is negative.
    pub fn refund(&self, amount: f64) {
        self.balance_fixed
            .fetch_add((amount * FIXED_POINT_UNIT) as i64, AcqRel);
    }

    /// Returns the units in the bucket; negative while it is in debt.
    pub fn balance(&self, now_ns: u64) -> f64 {
        self.refill(now_ns);
        self.balance_fixed.load(Acquire) as f64 / FIXED_POINT_UNIT
    }

    /// Returns the seconds until the bucket holds `needed` units, or `None` if its rate is 0.
    pub fn wait_s(&self, needed: f64, now_ns: u64) -> Option<f64> {
        let missing = needed - self.balance(now_ns);
        let rate = self.rate_per_s();
        match missing > 0.0 {
            true if rate > 0.0 => Some(missing / rate),
            true => None,
            false => Some(0.0),
        }
    }

    fn refill(&self, now_ns: u64) {
        let refilled_ns = self.refilled_ns.load(Acquire);
        if now_ns < refilled_ns.saturating_add(REFILL_INTERVAL_MIN_NS) {
            return;
        }
        // Only the thread whose exchange succeeds adds the units for the time since the last
        // refill.
        if self
            .refilled_ns
            .compare_exchange(refilled_ns, now_ns, AcqRel, Relaxed)
            .is_err()
        {
            return;
        }
        let rate = self.rate_per_s();
        let capacity_fixed =
            ((rate * self.burst_s).max(self.capacity_min) * FIXED_POINT_UNIT) as i64;
        let added_fixed = ((now_ns - refilled_ns) as f64 * rate) as i64;
        let _ = self
            .balance_fixed
            .fetch_update(AcqRel, Acquire, |balance_fixed| {
                let room_fixed = capacity_fixed.saturating_sub(balance_fixed).max(0);
                Some(balance_fixed.saturating_add(added_fixed.min(room_fixed)))
            });
    }
}
