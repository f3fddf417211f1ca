//! The admission level of a service: the fraction of each rank that a host admits.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    Rank,
    forecast::{
        Cause,
        FRACTION_MIN,
        Forecast, //
    },
};

#[cfg(test)]
mod tests;

/// Shortest time between two updates. Loads of other hosts are not newer, and a host with a twelfth of a
/// core can't afford more.
pub const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Largest fall of a fraction in a second: from all to none within half a second of a shortage.
const FALL_PER_S: f64 = 2.0;
/// The same where refusals of more urgent ranks are the cause. Their average lags by a second, in which
/// the ranks must not all close one after the other.
const FALL_BY_REFUSALS_PER_S: f64 = 1.0;
/// Time after which refusals no longer count that followed from full memory: two time constants of their
/// average.
const REFUSALS_LIFETIME: Duration = Duration::from_secs(2);
/// Largest rise of a fraction in a second. From none to all takes the forecast's horizon, so that the
/// requests that were just admitted count before more are.
const RISE_PER_S: f64 = 0.5;
/// Fraction from which on a rank counts as admitted, so that less urgent ones may rise too.
const RISEN_FRACTION: f64 = 0.95;

/// The fraction of a rank.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Fraction {
    present: f64,
    /// What the fraction moves to.
    goal: f64,
    cause: Cause,
}

impl Default for Fraction {
    fn default() -> Self {
        Self {
            present: 1.0,
            goal: 1.0,
            cause: Cause::Free,
        }
    }
}

/// Fractions of a service's ranks that one host admits.
#[derive(Clone, Debug, Default)]
pub struct Level {
    /// Invariant: no rank is above a more urgent one, but for ranks that are not yet updated.
    fractions: BTreeMap<Rank, Fraction>,
    updated_at: Option<Duration>,
    /// When the memory last explained refusals; `None` if it never did.
    explained_at: Option<Duration>,
    /// Whether so much was free at the last update that nothing is held back, whatever the fractions.
    is_free: bool,
}

impl Level {
    /// Returns whether an update is due.
    pub fn is_due(&self, now: Duration) -> bool {
        self.updated_at
            .is_none_or(|at| now.saturating_sub(at) >= UPDATE_INTERVAL)
    }

    /// Moves the fractions of a service's ranks, most urgent first, towards what a forecast allows.
    /// Ranks that the service no longer has are dropped; new ones start at 1.
    ///
    /// Loads that it answers: a shortage that is over within a second must not end before the fractions
    /// have fallen; and a fleet whose hosts all see capacity at once must not fill it at once. So
    /// fractions fall fast and rise slowly, the least urgent rank last.
    pub fn update(&mut self, ranks: &[Rank], forecast: &Forecast, now: Duration) {
        let elapsed_s = self
            .updated_at
            .map_or(UPDATE_INTERVAL, |at| now.saturating_sub(at))
            .as_secs_f64();
        self.updated_at = Some(now);
        self.is_free = forecast.is_free();
        if forecast.explains_refusals() {
            self.explained_at = Some(now);
        }
        let is_unexplained = self
            .explained_at
            .is_none_or(|at| now.saturating_sub(at) >= REFUSALS_LIFETIME);
        let counts_refusals = forecast.counts_refusals && is_unexplained;
        self.fractions.retain(|rank, _| ranks.contains(rank));
        // Refusals of more urgent requests count against the least urgent rank that is left. Against
        // all at once they would close ranks that have room once the least urgent one is closed.
        let last_open = ranks
            .iter()
            .rev()
            .find(|rank| self.fraction(**rank) > FRACTION_MIN && forecast.demand.contains_key(rank))
            .copied();
        let mut more_urgent = 1.0;
        let mut may_rise = true;
        for rank in ranks {
            let (mut goal, mut cause) = forecast.fraction(*rank);
            let by_refusals = forecast.fraction_by_refusals(*rank);
            let is_last = last_open.is_none_or(|last| *rank >= last);
            if counts_refusals && is_last && by_refusals < goal {
                (goal, cause) = (by_refusals, Cause::Refusals);
            }
            if more_urgent < goal {
                (goal, cause) = (more_urgent, Cause::Order);
            }
            let fraction = self.fractions.entry(*rank).or_default();
            (fraction.goal, fraction.cause) = (goal, cause);
            let fall_per_s = match cause {
                Cause::Refusals => FALL_BY_REFUSALS_PER_S,
                Cause::Free | Cause::Capacity | Cause::Order => FALL_PER_S,
            };
            let lowest = fraction.present - fall_per_s * elapsed_s;
            let highest = match may_rise {
                true => fraction.present + RISE_PER_S * elapsed_s,
                false => fraction.present,
            };
            // A more urgent rank that fell by a whole step takes this one with it.
            fraction.present = goal.max(lowest).min(highest).min(more_urgent);
            may_rise &= fraction.present >= RISEN_FRACTION;
            more_urgent = fraction.present;
        }
    }

    /// Returns whether so much was free at the last update that nothing is held back.
    pub fn is_free(&self) -> bool {
        self.is_free
    }

    /// Returns the fraction of a rank, 1 for an unknown one.
    pub fn fraction(&self, rank: Rank) -> f64 {
        self.fraction_of(rank).present
    }

    /// Returns why the rank's fraction is where it is, or where it moves to.
    pub fn cause(&self, rank: Rank) -> Cause {
        self.fraction_of(rank).cause
    }

    /// Returns whether a request is admitted whose id gave the draw.
    pub fn admits(&self, rank: Rank, draw: f64) -> bool {
        self.is_free || draw < self.fraction(rank)
    }

    /// Returns whether such a request may be admitted within a time, if the forecast stays as it is.
    ///
    /// Load that it answers: a long shortage. Most of what isn't admitted then will not be in time, and
    /// is refused at once, so that its caller can go elsewhere.
    pub fn may_admit_within(&self, rank: Rank, draw: f64, within: Duration) -> bool {
        let fraction = self.fraction_of(rank);
        let risen = fraction.present + RISE_PER_S * within.as_secs_f64();
        draw < risen.min(fraction.goal).max(fraction.present)
    }

    fn fraction_of(&self, rank: Rank) -> Fraction {
        self.fractions.get(&rank).copied().unwrap_or_default()
    }
}
