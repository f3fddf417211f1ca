//! Retries and hedges under one budget per team and per target.
//!
//! A request carries an [`Allowance`] through every layer of the host, so that one hop's retry
//! never multiplies another's. See `docs/design/retries.md`.

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

/// Fixed-point unit of a budget: one retry.
const RETRY_UNIT: i64 = 1000;

/// Settings of retries and hedges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Retries earned by one success. Invariant: in `0 <= share_of_successes <= 0.5`.
    pub share_of_successes: f64,
    /// Retries that a new budget holds, and the most that it saves up.
    pub reserve_retries: u32,
    /// Extra attempts that one request may make, whatever the budgets hold.
    pub attempts_extra_max: u32,
    /// Deviations above the mean after which a step is hedged.
    pub hedge_deviations: f64,
    /// Shortest wait before a hedge.
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

/// What may be sent a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatable {
    /// Running it twice equals running it once.
    Idempotent,
    /// It must run at most once.
    AtMostOnce,
}

/// What is known of the attempt that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed {
    /// It provably did not run: it never left this host, or the target refused it.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// Why an extra attempt is not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Denied {
    /// It may have run and must not run twice.
    #[display("the call may have run and may not be repeated")]
    NotRepeatable,
    /// The request made all of its extra attempts.
    #[display("the request's attempts are used up")]
    Allowance,
    /// The team's budget is spent.
    #[display("the team's retry budget is spent")]
    TeamBudget,
    /// The target's budget is spent.
    #[display("the target's retry budget is spent")]
    TargetBudget,
}

/// Budget of extra attempts, earned by successes. One belongs to each team and each target.
///
/// With `s` successes it grants at most `reserve + share * s` extra attempts, so that the attempts
/// of a long run are at most `1 + share` times its requests.
#[derive(Debug)]
pub struct Budget {
    /// Thousandths of retries left. Invariant: in `0..=cap_fixed`.
    balance_fixed: AtomicI64,
    cap_fixed: i64,
    earn_fixed: i64,
}

impl Budget {
    /// Makes a budget that holds its reserve.
    ///
    /// # Panics
    ///
    /// A share outside `0..=0.5`.
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

    /// Counts a success.
    pub fn deposit(&self) {
        self.add(self.earn_fixed);
    }

    /// Takes one extra attempt out of the budget.
    pub fn try_withdraw(&self) -> bool {
        let result = self
            .balance_fixed
            .fetch_update(AcqRel, Acquire, |balance_fixed| {
                (balance_fixed >= RETRY_UNIT).then_some(balance_fixed - RETRY_UNIT)
            });
        result.is_ok()
    }

    /// Puts back an extra attempt that was not made after all.
    pub fn refund(&self) {
        self.add(RETRY_UNIT);
    }

    /// Extra attempts left.
    pub fn balance_retries(&self) -> f64 {
        self.balance_fixed.load(Acquire) as f64 / RETRY_UNIT as f64
    }

    fn add(&self, amount_fixed: i64) {
        // A full budget is the common case and costs one load.
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

/// Extra attempts that one request may still make, over all stages and causes together.
#[derive(Debug, PartialEq, Eq)]
pub struct Allowance {
    attempts_left: u32,
}

impl Allowance {
    /// The allowance of a new request.
    pub fn new(settings: &Settings) -> Self {
        Self {
            attempts_left: settings.attempts_extra_max,
        }
    }

    /// Extra attempts left.
    pub fn attempts_left(&self) -> u32 {
        self.attempts_left
    }

    /// Asks for one more attempt after a failed one.
    ///
    /// # Errors
    ///
    /// The reason why it may not be made; nothing is spent then.
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

    /// Asks for a second attempt beside a slow one that is still out.
    ///
    /// # Errors
    ///
    /// The reason why it may not be made; nothing is spent then.
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

/// Running mean and deviation of service times, from which the wait before a hedge follows.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    mean_ns: AtomicU64,
    deviation_ns: AtomicU64,
}

impl ServiceTimes {
    /// Counts a service time. Racing updates may lose one sample, which shifts the mean by little.
    pub fn observe(&self, service_time: Duration) {
        let sample_ns = u64::try_from(service_time.as_nanos()).unwrap_or(u64::MAX / 16);
        let mean_ns = self.mean_ns.load(Relaxed);
        if mean_ns == 0 {
            self.mean_ns.store(sample_ns.max(1), Relaxed);
            self.deviation_ns.store(sample_ns / 2, Relaxed);
            return;
        }
        let distance_ns = mean_ns.abs_diff(sample_ns);
        let deviation_ns = self.deviation_ns.load(Relaxed);
        self.mean_ns
            .store(mean_ns - mean_ns / 8 + sample_ns / 8, Relaxed);
        self.deviation_ns
            .store(deviation_ns - deviation_ns / 4 + distance_ns / 4, Relaxed);
    }

    /// Mean service time, or nothing before the first sample.
    pub fn mean(&self) -> Option<Duration> {
        let mean_ns = self.mean_ns.load(Relaxed);
        (mean_ns > 0).then(|| Duration::from_nanos(mean_ns))
    }

    /// Time after which an unanswered step is worth a hedge; nothing before the first sample.
    pub fn hedge_delay(&self, settings: &Settings) -> Option<Duration> {
        let deviation = Duration::from_nanos(self.deviation_ns.load(Relaxed));
        let delay = self.mean()? + deviation.mul_f64(settings.hedge_deviations);
        Some(delay.max(settings.hedge_delay_min))
    }
}
