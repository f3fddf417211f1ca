//! Limits of a team over all hosts, with no central counter on a request's path.
//!
//! Each team has a home host, found by rendezvous hashing over the live hosts. The other hosts
//! report the demand that they see; the home grants them shares of the team's limits, which expire
//! soon. A request is checked against its host's [`share::Share`] alone. See
//! `docs/design/limits.md` for the bound on what the hosts together may admit.

use std::time::Duration;

use crate::document::Team;

pub mod allocation;
pub mod bucket;
pub mod demand;
pub mod home;
pub mod share;

/// Settings of the team limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Life of a granted share. Invariant: at least four report intervals.
    pub share_lifetime: Duration,
    /// Time between two reports of a team whose share is in full use. Invariant: above 0.
    pub report_interval: Duration,
    /// Time without an answer of any home after which a host without a share uses its floor.
    pub floor_delay: Duration,
    /// Longest wait for a home's answer.
    pub report_timeout: Duration,
    /// Time that an unused share's team is remembered. Invariant: above `share_lifetime`.
    pub idle_timeout: Duration,
    /// Longest wait of a request for its host's first share.
    pub first_share_wait: Duration,
    /// Work that a bucket saves up, as a time at its rate.
    pub burst: Duration,
    /// Part of a floor that a host uses without a word to the home. Invariant: in `0..=1`.
    pub silent_share: f64,
    /// Part of an uncontended limit that the home keeps back for hosts that come to need it.
    /// Invariant: in `0..1`.
    pub reserve_share: f64,
    /// Part of the listed hosts below which the home shrinks what it grants, for fear that another
    /// home grants beyond a partition. Invariant: in `0..=1`.
    pub partition_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            share_lifetime: Duration::from_secs(4),
            report_interval: Duration::from_millis(200),
            floor_delay: Duration::from_secs(2),
            report_timeout: Duration::from_millis(300),
            idle_timeout: Duration::from_secs(60),
            first_share_wait: Duration::from_millis(100),
            burst: Duration::from_millis(150),
            silent_share: 0.02,
            reserve_share: 0.05,
            partition_share: 0.8,
        }
    }
}

impl Settings {
    /// Asserts the invariants.
    ///
    /// # Panics
    ///
    /// Settings that break them.
    pub fn check(&self) {
        assert!(!self.report_interval.is_zero(), "report_interval is 0");
        assert!(
            self.share_lifetime >= self.report_interval * 4,
            "share_lifetime below four report intervals"
        );
        assert!(
            self.idle_timeout > self.share_lifetime,
            "idle_timeout not above share_lifetime"
        );
        assert!(
            (0.0..=1.0).contains(&self.silent_share),
            "silent_share outside 0..=1"
        );
        assert!(
            (0.0..1.0).contains(&self.reserve_share),
            "reserve_share outside 0..1"
        );
        assert!(
            (0.0..=1.0).contains(&self.partition_share),
            "partition_share outside 0..=1"
        );
    }
}

/// An amount of each thing that a team's limits bound.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amounts {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Tokens a second, prompt and answer.
    pub tokens_per_s: f64,
    /// Requests open at once.
    pub open_requests: f64,
}

impl Amounts {
    /// The limits of a team.
    pub fn limits_of(team: &Team) -> Self {
        Self {
            requests_per_s: f64::from(team.limit_requests_per_s),
            tokens_per_s: f64::from(team.limit_tokens_per_s),
            open_requests: f64::from(team.limit_open_requests),
        }
    }

    /// Joins two amounts thing by thing.
    pub fn zip(self, other: Self, join: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            requests_per_s: join(self.requests_per_s, other.requests_per_s),
            tokens_per_s: join(self.tokens_per_s, other.tokens_per_s),
            open_requests: join(self.open_requests, other.open_requests),
        }
    }

    /// Sum.
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, |left, right| left + right)
    }

    /// Smaller of each.
    pub fn min(self, other: Self) -> Self {
        self.zip(other, f64::min)
    }

    /// Larger of each.
    pub fn max(self, other: Self) -> Self {
        self.zip(other, f64::max)
    }

    /// All of it times a factor.
    pub fn scaled(self, factor: f64) -> Self {
        self.zip(self, |value, _| value * factor)
    }

    /// Tells whether no thing exceeds the other's by more than rounding.
    pub fn fits_in(self, other: Self) -> bool {
        let fits = |left: f64, right: f64| left <= right * (1.0 + ROUNDING) + ROUNDING;
        fits(self.requests_per_s, other.requests_per_s)
            && fits(self.tokens_per_s, other.tokens_per_s)
            && fits(self.open_requests, other.open_requests)
    }
}

/// Relative error that sums of shares may gather.
const ROUNDING: f64 = 1e-6;

/// What a host tells a team's home.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Number of the report; the host obeys only the answer to its newest one.
    pub number: u64,
    /// What the host would use if it could.
    pub demand: Amounts,
    /// The most that the host uses until it has the answer.
    pub held: Amounts,
    /// Time until `held` runs out by itself.
    pub held_for: Duration,
    /// What an earlier home may count for the host: its last grant, or less where a report with
    /// less may have reached it. At least `held` while a share is in force.
    pub counted: Amounts,
}

/// A home's answer to a report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Number of the report that it answers.
    pub number: u64,
    /// The host's share.
    pub share: Amounts,
    /// Life of the share, counted by the host from the moment at which it sent the report.
    pub lifetime: Duration,
}
