//! Limits that targets state: the requests a second that one takes from all hosts together.
//!
//! Each host uses a share of the limit, in proportion to the requests that it and its peers have. The
//! hosts tell one another of their requests and of the limits that they were told, so that no request
//! waits for a counter elsewhere. What a host doesn't know makes its share smaller.

use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

use crate::id::DataCentreId;

#[cfg(test)]
mod tests;

/// Share of a stated limit that is used. The hosts' knowledge of one another is some hundred ms old.
const USED_SHARE: f64 = 0.95;
/// Smallest limit that is used, in requests a second: without a request no answer would tell that a
/// limit of 0 has ended.
const LIMIT_MIN_PER_S: f64 = 0.1;
/// Weight of the requests of a host in another data centre than the target, which mostly go elsewhere.
const REMOTE_WEIGHT: f64 = 0.1;
/// Time for which unused allowance is saved up.
const SAVED_TIME: Duration = Duration::from_secs(2);
/// Time constant of the moving average of a host's requests.
const RATE_TIME: Duration = Duration::from_secs(3);
/// Time after which what a target stated no longer counts, unless an answer repeats it.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(60);

/// What a target's answer stated about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Requests a second that the target takes; `None` if the answer named no limit.
    pub limit_per_s: Option<f64>,
    /// When the answer arrived.
    pub stated_at: Instant,
}

impl Statement {
    /// Returns whether the statement still counts.
    pub fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.stated_at) <= STATEMENT_LIFETIME
    }
}

/// Requests of a host and its peers, from which the host's share of a target's limit follows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetDemand {
    /// Data centre of this host.
    pub data_centre: DataCentreId,
    /// Requests a second of this host.
    pub own_per_s: f64,
    /// Requests a second of the peers that are heard from, by their data centre.
    pub peers_per_s: HashMap<DataCentreId, f64>,
    /// Number of hosts that aren't heard from, and may have as many requests as this one.
    pub unheard_count: usize,
}

impl FleetDemand {
    /// Returns the requests a second that this host may send to a target in `data_centre` with a
    /// limit of `limit_per_s`.
    pub fn share_per_s(&self, limit_per_s: f64, data_centre: &DataCentreId) -> f64 {
        /// Lets a host without requests have a share, for its first one.
        const OWN_PER_S_MIN: f64 = 0.1;
        let weight = |host_data_centre: &DataCentreId| match host_data_centre == data_centre {
            true => 1.0,
            false => REMOTE_WEIGHT,
        };
        let own = self.own_per_s.max(OWN_PER_S_MIN) * weight(&self.data_centre);
        let peers: f64 = self
            .peers_per_s
            .iter()
            .map(|(peer_data_centre, per_s)| per_s * weight(peer_data_centre))
            .sum();
        let unheard = self.unheard_count as f64 * own;
        let usable_per_s = USED_SHARE * limit_per_s.max(LIMIT_MIN_PER_S);
        usable_per_s * own / (own + peers + unheard)
    }
}

/// A host's allowance of requests to one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    /// Requests that may be sent now; negative after one that was sent in advance.
    requests: f64,
    /// When `requests` was last updated; `None` before the first time.
    updated_at: Option<Instant>,
}

impl Allowance {
    /// Returns whether a request may be sent, where `share_per_s` may be sent a second and `draw` is
    /// uniform in `0.0..1.0`. An allowance of a part of a request is used with that probability, and
    /// leaves a debt: most hosts have less than one request a second of a limit.
    pub fn admits(&mut self, share_per_s: f64, now: Instant, draw: f64) -> bool {
        let elapsed = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.updated_at = Some(now);
        let limit = share_per_s * SAVED_TIME.as_secs_f64();
        let earned = share_per_s * elapsed.as_secs_f64();
        self.requests = (self.requests + earned).min(limit);
        draw < self.requests
    }

    /// Charges a request that was sent.
    pub fn charge(&mut self) {
        self.requests -= 1.0;
    }

    /// Returns the time until a request may be sent again, about.
    pub fn time_left(&self, share_per_s: f64) -> Duration {
        /// Longest time that is stated. The limit may have changed by then.
        const TIME_MAX: Duration = Duration::from_secs(10);
        let missing = (1.0 - self.requests).max(0.0);
        Duration::try_from_secs_f64(missing / share_per_s)
            .map_or(TIME_MAX, |time| time.min(TIME_MAX))
    }
}

/// Moving average of a host's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestRate {
    /// Requests, each of which counts less the older it is.
    weight: f64,
    /// When `weight` was last updated; `None` before the first request.
    updated_at: Option<Instant>,
}

impl RequestRate {
    /// Counts a request.
    pub fn record(&mut self, now: Instant) {
        self.weight = self.weight_at(now) + 1.0;
        self.updated_at = Some(now);
    }

    /// Returns the requests a second.
    pub fn per_s(&self, now: Instant) -> f64 {
        self.weight_at(now) / RATE_TIME.as_secs_f64()
    }

    fn weight_at(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let elapsed = now.saturating_duration_since(updated_at);
        self.weight * (-elapsed.as_secs_f64() / RATE_TIME.as_secs_f64()).exp()
    }
}
