//! Demand of each rank: what arrived in the last seconds, and how much of it found no capacity.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::Rank;

#[cfg(test)]
mod tests;

/// Time constant of the moving averages. With a longer one, a surge fills the memory before it is known
/// for one; and refusals would close ranks long after there is room again.
const AVERAGE_TIME: Duration = Duration::from_secs(1);
/// Most ranks that a host tells others. The less urgent ones count as the last of them, which bounds the
/// digest; engines distinguish ten urgencies.
pub const RANKS_MAX: usize = 10;
/// Rates below this are no demand: less than one request in half an hour.
const RATE_MIN_PER_S: f64 = 0.0005;

/// Demand of one rank, of one host or of several together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankDemand {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Memory that these requests need, in tokens a second.
    pub tokens_per_s: f64,
    /// Requests a second that were refused or had to wait.
    pub refused_per_s: f64,
}

impl RankDemand {
    /// Adds the demand of other hosts.
    pub fn add(&mut self, other: &Self) {
        self.requests_per_s += other.requests_per_s;
        self.tokens_per_s += other.tokens_per_s;
        self.refused_per_s += other.refused_per_s;
    }

    /// Subtracts the demand of hosts that was added before.
    pub fn subtract(&mut self, other: &Self) {
        self.requests_per_s = (self.requests_per_s - other.requests_per_s).max(0.0);
        self.tokens_per_s = (self.tokens_per_s - other.tokens_per_s).max(0.0);
        self.refused_per_s = (self.refused_per_s - other.refused_per_s).max(0.0);
    }

    /// Returns whether there is no demand, up to what rounding leaves.
    pub fn is_negligible(&self) -> bool {
        self.requests_per_s < RATE_MIN_PER_S && self.refused_per_s < RATE_MIN_PER_S
    }

    /// Returns this demand times a factor.
    pub fn scaled(&self, factor: f64) -> Self {
        Self {
            requests_per_s: self.requests_per_s * factor,
            tokens_per_s: self.tokens_per_s * factor,
            refused_per_s: self.refused_per_s * factor,
        }
    }
}

/// Moving averages of one host's demand for a service, by rank.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    at: Duration,
    ranks: BTreeMap<Rank, RankDemand>,
}

impl Demand {
    /// Records a request that needs memory for `tokens`.
    pub fn record(&mut self, rank: Rank, tokens: f64, now: Duration) {
        self.advance(now);
        let demand = self.ranks.entry(rank).or_default();
        demand.requests_per_s += 1.0 / AVERAGE_TIME.as_secs_f64();
        demand.tokens_per_s += tokens / AVERAGE_TIME.as_secs_f64();
    }

    /// Records that a request was refused, or has to wait. To be called once a request.
    pub fn record_refused(&mut self, rank: Rank, now: Duration) {
        self.advance(now);
        let demand = self.ranks.entry(rank).or_default();
        demand.refused_per_s += 1.0 / AVERAGE_TIME.as_secs_f64();
    }

    /// Returns the present demand, of at most [`RANKS_MAX`] ranks.
    pub fn per_s(&self, now: Duration) -> BTreeMap<Rank, RankDemand> {
        let factor = decay(now.saturating_sub(self.at));
        let mut shared: BTreeMap<Rank, RankDemand> = BTreeMap::new();
        for (rank, demand) in &self.ranks {
            let demand = demand.scaled(factor);
            if demand.is_negligible() {
                continue;
            }
            let last = shared.last_key_value().map(|(last, _)| *last);
            let rank = match last {
                Some(last) if shared.len() == RANKS_MAX => last,
                Some(_) | None => *rank,
            };
            shared.entry(rank).or_default().add(&demand);
        }
        shared
    }

    fn advance(&mut self, now: Duration) {
        let factor = decay(now.saturating_sub(self.at));
        self.at = self.at.max(now);
        for demand in self.ranks.values_mut() {
            *demand = demand.scaled(factor);
        }
        self.ranks.retain(|_, demand| !demand.is_negligible());
    }
}

/// Returns what is left of an average after a time without requests.
fn decay(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / AVERAGE_TIME.as_secs_f64()).exp()
}
