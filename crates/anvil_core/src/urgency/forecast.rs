//! Forecast of the capacity that is left for each rank of a service.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    Rank,
    RankDemand,
    capacity::Capacity, //
};

#[cfg(test)]
mod tests;

/// Time for which capacity is forecast: two digests, after which all hosts know of a loss of engines and
/// have changed their routes.
pub const HORIZON: Duration = Duration::from_secs(2);
/// Used share up to which no rank is limited: half of the capacity is free.
pub const FREE_USED_SHARE: f64 = 0.5;
/// Share of the memory that paths can use. A path needs room for all of a request at single engines,
/// which are not equally full.
const USABLE_SHARE: f64 = 0.96;
/// Time whose random arrivals of more urgent ranks are kept room for: the age up to which hosts decide by
/// the same loads (docs/design/exchange.md).
const RESERVE_TIME: Duration = Duration::from_millis(750);
/// Standard deviations of these arrivals that are kept room for. With 2, more of the second rank's
/// requests were refused in a surge with engines lost (docs/design/urgency.md); memory that is kept
/// empty serves nobody.
const RESERVE_DEVIATIONS: f64 = 3.0;
/// Largest share of the memory that is kept free for more urgent ranks.
const RESERVE_SHARE_MAX: f64 = 0.35;
/// Used share from which on the memory explains refusals. The forecast follows it, and would count them
/// twice.
const EXPLAINED_USED_SHARE: f64 = 0.85;
/// Refused share of the more urgent requests up to which nothing follows: that a rank is served worse by
/// so much is no clear difference, and some requests always find single engines full.
const REFUSED_SHARE_MIN: f64 = 0.05;
/// Refused share of the more urgent requests from which on nothing less urgent is admitted beyond the
/// floor.
const REFUSED_SHARE_FULL: f64 = 0.25;
/// Fraction of each rank that is always admitted, so that none starves.
pub const FRACTION_MIN: f64 = 0.05;
/// Longest time until capacity that is forecast.
const TIME_TO_CAPACITY_MAX: Duration = Duration::from_secs(10);
/// Smallest part of the released memory that is expected to be left for a rank.
const RELEASE_SHARE_MIN: f64 = 0.1;

/// Why a rank's fraction is what it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Capacity for the whole rank is expected.
    Free,
    /// The rank's demand exceeds what is left for it.
    Capacity,
    /// Requests of more urgent ranks are refused or wait.
    Refusals,
    /// A more urgent rank is limited as much.
    Order,
}

impl Cause {
    /// Returns the stable name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::Capacity => "capacity",
            Self::Refusals => "refusals",
            Self::Order => "order",
        }
    }
}

/// What a host expects of a service within the next seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Memory of the service.
    pub capacity: Capacity,
    /// Memory that running requests release, in tokens a second.
    pub release_tokens_per_s: f64,
    /// Demand of all hosts.
    pub demand: BTreeMap<Rank, RankDemand>,
    /// Whether refusals of more urgent requests limit less urgent ones. Where the loads of the fleet are
    /// known, they tell of a shortage; refusals also follow from lost engines and from the level itself.
    pub counts_refusals: bool,
}

impl Forecast {
    /// Creates a forecast where a request keeps its memory for `hold_time` on average.
    pub fn new(
        capacity: Capacity,
        hold_time: Duration,
        demand: BTreeMap<Rank, RankDemand>,
    ) -> Self {
        /// Bounds the rate of release where a service's answers are a few tokens.
        const HOLD_TIME_MIN: Duration = Duration::from_millis(10);
        let held_tokens = capacity.used_tokens.min(capacity.total_tokens);
        Self {
            release_tokens_per_s: held_tokens / hold_time.max(HOLD_TIME_MIN).as_secs_f64(),
            capacity,
            demand,
            counts_refusals: true,
        }
    }

    /// Returns whether so much is free that no request is held back.
    pub fn is_free(&self) -> bool {
        self.capacity.used_share() <= FREE_USED_SHARE
    }

    /// Returns whether requests are refused because the memory is full, or nearly so.
    pub fn explains_refusals(&self) -> bool {
        self.capacity.used_share() > EXPLAINED_USED_SHARE
    }

    /// Returns the memory, in tokens, that a rank may take `within` a time: what is free and released,
    /// less what more urgent ranks bring in that time, less what is kept free for them.
    ///
    /// Load that it answers: a surge of the less urgent kinds. Without the reserve they would take each
    /// byte as it becomes free, and a more urgent request would find none when it arrives.
    pub fn left_tokens(&self, rank: Rank, within: Duration) -> f64 {
        let total = self.capacity.total_tokens;
        let free = USABLE_SHARE * total - self.capacity.used_tokens;
        let urgent = self.more_urgent(rank);
        let reserve = match self.is_free() {
            true => 0.0,
            false => random_arrivals(&urgent).min(RESERVE_SHARE_MAX * total),
        };
        let released = (self.release_tokens_per_s - urgent.tokens_per_s) * within.as_secs_f64();
        free - reserve + released.max(0.0)
    }

    /// Returns the fraction of a rank for which capacity is expected, and why, regardless of the other
    /// ranks' fractions.
    ///
    /// Loads that it answers: a surge of one rank, whose excess is held back; and a loss of engines,
    /// where the least urgent ranks find nothing left and the most urgent share what is.
    pub fn fraction(&self, rank: Rank) -> (f64, Cause) {
        let needed = self
            .demand
            .get(&rank)
            .map_or(0.0, |demand| demand.tokens_per_s * HORIZON.as_secs_f64());
        let left = self.left_tokens(rank, HORIZON);
        if self.is_free() || left > 0.0 && left >= needed {
            return (1.0, Cause::Free);
        }
        let fraction = match left > 0.0 {
            true => left / needed,
            false => 0.0,
        };
        (fraction.max(FRACTION_MIN), Cause::Capacity)
    }

    /// Returns the fraction of a rank that leaves room for the more urgent requests that are refused or
    /// wait: 1 if there are none.
    ///
    /// Load that it answers: engines that refuse for causes which their memory doesn't show.
    pub fn fraction_by_refusals(&self, rank: Rank) -> f64 {
        if self.is_free() {
            return 1.0;
        }
        let excess = (self.refused_share(rank) - REFUSED_SHARE_MIN).max(0.0);
        (1.0 - excess / (REFUSED_SHARE_FULL - REFUSED_SHARE_MIN)).max(FRACTION_MIN)
    }

    /// Returns the time until the requests that were refused of this rank and the more urgent ones find
    /// capacity. Never shorter for a less urgent rank.
    pub fn time_to_capacity(&self, rank: Rank) -> Duration {
        let mut returning = 0.0;
        for (_, demand) in self.demand.range(..=rank) {
            if demand.requests_per_s > 0.0 {
                let tokens = demand.tokens_per_s / demand.requests_per_s;
                returning += tokens * demand.refused_per_s * HORIZON.as_secs_f64();
            }
        }
        let missing = returning - self.left_tokens(rank, Duration::ZERO);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let urgent_per_s = self.more_urgent(rank).tokens_per_s;
        let release = self.release_tokens_per_s;
        let left_per_s = (release - urgent_per_s).max(RELEASE_SHARE_MIN * release);
        let limit = TIME_TO_CAPACITY_MAX.as_secs_f64();
        Duration::from_secs_f64((missing / left_per_s.max(f64::MIN_POSITIVE)).min(limit))
    }

    /// Returns the demand of all ranks that are more urgent than a rank.
    fn more_urgent(&self, rank: Rank) -> RankDemand {
        let mut sum = RankDemand::default();
        for (_, demand) in self.demand.range(..rank) {
            sum.add(demand);
        }
        sum
    }

    /// Returns the share of the requests of more urgent ranks that are refused or wait.
    fn refused_share(&self, rank: Rank) -> f64 {
        let sum = self.more_urgent(rank);
        if sum.requests_per_s <= 0.0 {
            return 0.0;
        }
        (sum.refused_per_s / sum.requests_per_s).min(1.0)
    }
}

/// Returns the memory that requests of a demand may take beyond what is expected of them, in tokens.
fn random_arrivals(demand: &RankDemand) -> f64 {
    if demand.requests_per_s <= 0.0 {
        return 0.0;
    }
    let mean_tokens = demand.tokens_per_s / demand.requests_per_s;
    let requests = demand.requests_per_s * RESERVE_TIME.as_secs_f64();
    RESERVE_DEVIATIONS * requests.sqrt() * mean_tokens
}
