//! Retries and hedges, limited by one budget per team and one per target.
//!
//! A request carries an [`Allowance`] through every layer of the host, so that retries in one layer
//! don't multiply those in another. See `docs/design/retries.md`.

use std::{
    sync::atomic::{
        AtomicI64,
        AtomicU64,
        Ordering::{
            AcqRel,
            Acquire,
            Relaxed, //
        }, //
    },
    time::Duration,
};

use derive_more::{
    Display,
    Error, //
};

#[cfg(test)]
mod tests;

pub mod window;

/// One retry in the fixed-point numbers of a budget.
const RETRY_UNIT: i64 = 1000;

/// Settings of retries and hedges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Retries earned by one success. Invariant: in `0 <= share_of_successes <= 0.5`.
    pub share_of_successes: f64,
    /// Retries that a new budget holds, which is also the most that a budget can hold.
    pub reserve_retries: u32,
    /// Most extra attempts of one request, whatever the budgets hold.
    pub attempts_extra_max: u32,
    /// Number of deviations above the mean service time after which a step is hedged.
    pub hedge_deviations: f64,
    /// Shortest delay before a hedge.
    pub hedge_delay_min: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            share_of_successes: 0.1,
            reserve_retries: 10,
            attempts_extra_max: 3,
            hedge_deviations: 6.0,
            hedge_delay_min: Duration::from_millis(20),
        }
    }
}

/// Whether a call may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatable {
    /// Running it twice has the same effect as running it once.
    Idempotent,
    /// It must run at most once.
    AtMostOnce,
}

/// What is known about the attempt that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed {
    /// It certainly did not run: it never left this host, or the target refused it.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// Why an extra attempt is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Denied {
    /// The failed attempt may have run, and the call must not run twice.
    #[display("the call may have run and may not be repeated")]
    NotRepeatable,
    /// The request has made all of its extra attempts.
    #[display("the request's attempts are used up")]
    Allowance,
    /// The team's budget is spent.
    #[display("the team's retry budget is spent")]
    TeamBudget,
    /// The target's budget is spent.
    #[display("the target's retry budget is spent")]
    TargetBudget,
}

/// Budget of extra attempts, earned by successes. Each team and each target has one.
///
/// With `s` successes it allows at most `reserve + share * s` extra attempts. Over a long run, the
/// attempts are thus at most `1 + share` times the requests.
#[derive(Debug)]
pub struct Budget {
    /// Balance in thousandths of a retry. Invariant: in `0..=cap_fixed`.
    balance_fixed: AtomicI64,
    cap_fixed: i64,
    earn_fixed: i64,
}

impl Budget {
    /// Returns a budget that holds its reserve.
    ///
    /// # Panics
    ///
    /// Panics if `share_of_successes` is outside `0..=0.5`.
    pub fn new(settings: &Settings) -> Self {
        assert!(
            (0.0..=0.5).contains(&settings.share_of_successes),
            "share_of_successes outside 0..=0.5"
        );
        let cap_fixed = i64::from(settings.reserve_retries) * RETRY_UNIT;
        Self {
            balance_fixed: AtomicI64::new(cap_fixed),
            cap_fixed,
            earn_fixed: (settings.share_of_successes * RETRY_UNIT as f64) as i64,
        }
    }

    /// Credits the budget for a success.
    pub fn deposit(&self) {
        self.add(self.earn_fixed);
    }

    /// Withdraws one extra attempt. Returns `false` if the budget holds less than one.
    pub fn try_withdraw(&self) -> bool {
        let result = self
            .balance_fixed
            .fetch_update(AcqRel, Acquire, |balance_fixed| {
                (balance_fixed >= RETRY_UNIT).then_some(balance_fixed - RETRY_UNIT)
            });
        result.is_ok()
    }

    /// Puts back an extra attempt that was withdrawn but not made.
    pub fn refund(&self) {
        self.add(RETRY_UNIT);
    }

    /// Returns the number of extra attempts left.
    pub fn balance_retries(&self) -> f64 {
        self.balance_fixed.load(Acquire) as f64 / RETRY_UNIT as f64
    }

    fn add(&self, amount_fixed: i64) {
        // The budget is usually full, and this case costs only one load.
        if self.balance_fixed.load(Acquire) >= self.cap_fixed {
            return;
        }
        let _ = self
            .balance_fixed
            .fetch_update(AcqRel, Acquire, |balance_fixed| {
                Some((balance_fixed + amount_fixed).min(self.cap_fixed))
            });
    }
}

/// Extra attempts that one request may still make, counted over all stages and causes.
#[derive(Debug, PartialEq, Eq)]
pub struct Allowance {
    attempts_left: u32,
}

impl Allowance {
    /// Returns the allowance of a new request.
    pub fn new(settings: &Settings) -> Self {
        Self {
            attempts_left: settings.attempts_extra_max,
        }
    }

    /// Returns the number of extra attempts left.
    pub fn attempts_left(&self) -> u32 {
        self.attempts_left
    }

    /// Requests one more attempt after a failed one.
    ///
    /// # Errors
    ///
    /// Returns the reason why the attempt is denied; nothing is spent then.
    pub fn retry(
        &mut self,
        repeatable: Repeatable,
        failed: Failed,
        team: &Budget,
        target: &Budget,
    ) -> Result<(), Denied> {
        if repeatable == Repeatable::AtMostOnce && failed == Failed::MayHaveRun {
            return Err(Denied::NotRepeatable);
        }
        self.spend(team, target)
    }

    /// Requests a second attempt beside a slow one that is still running.
    ///
    /// # Errors
    ///
    /// Returns the reason why the attempt is denied; nothing is spent then.
    pub fn hedge(
        &mut self,
        repeatable: Repeatable,
        team: &Budget,
        target: &Budget,
    ) -> Result<(), Denied> {
        self.retry(repeatable, Failed::MayHaveRun, team, target)
    }

    fn spend(&mut self, team: &Budget, target: &Budget) -> Result<(), Denied> {
        if self.attempts_left == 0 {
            return Err(Denied::Allowance);
        }
        if !team.try_withdraw() {
            return Err(Denied::TeamBudget);
        }
        if !target.try_withdraw() {
            team.refund();
            return Err(Denied::TargetBudget);
        }
        self.attempts_left -= 1;
        Ok(())
    }
}

/// Running mean and deviation of service times, which determine the delay before a hedge.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    mean_ns: AtomicU64,
    deviation_ns: AtomicU64,
}

impl ServiceTimes {
    /// Records a service time. Concurrent updates may lose a sample, which changes the mean only a
    /// little.
    pub fn observe(&self, service_time: Duration) {
        let sample_ns = u64::try_from(service_time.as_nanos()).unwrap_or(u64::MAX / 16);
        let mean_ns = self.mean_ns.load(Relaxed);
        if mean_ns == 0 {
            self.mean_ns.store(sample_ns.max(1), Relaxed);
            self.deviation_ns.store(sample_ns / 2, Relaxed);
            return;
        }
        let difference_ns = mean_ns.abs_diff(sample_ns);
        let deviation_ns = self.deviation_ns.load(Relaxed);
        self.mean_ns
            .store(mean_ns - mean_ns / 8 + sample_ns / 8, Relaxed);
        self.deviation_ns
            .store(deviation_ns - deviation_ns / 4 + difference_ns / 4, Relaxed);
    }

    /// Returns the mean service time, or `None` before the first sample.
    pub fn mean(&self) -> Option<Duration> {
        let mean_ns = self.mean_ns.load(Relaxed);
        (mean_ns > 0).then(|| Duration::from_nanos(mean_ns))
    }

    /// Returns the time after which an unanswered step is hedged, or `None` before the first
    /// sample.
    pub fn hedge_delay(&self, settings: &Settings) -> Option<Duration> {
        let deviation = Duration::from_nanos(self.deviation_ns.load(Relaxed));
        let delay = self.mean()? + deviation.mul_f64(settings.hedge_deviations);
        Some(delay.max(settings.hedge_delay_min))
    }
}
