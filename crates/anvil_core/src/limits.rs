//! Limits of a team over all hosts, without a central counter in the request path.
//!
//! Each team has a home host, chosen by rendezvous hashing over the live hosts. The other hosts
//! report the demand that they see, and the home grants them short-lived shares of the team's
//! limits. A request is checked only against the [`share::Share`] of its own host. See
//! `docs/design/limits.md` for the bound on what the hosts may admit together.

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
    /// Lifetime of a granted share. Invariant: at least four report intervals.
    pub share_lifetime: Duration,
    /// Time between two reports of a team whose share is in full use. Invariant: above 0.
    pub report_interval: Duration,
    /// Time without an answer from any home after which a host without a share uses its floor: the
    /// limits divided by the number of hosts.
    pub floor_delay: Duration,
    /// Longest wait for the home's answer to a report.
    pub report_timeout: Duration,
    /// Time without requests after which a host drops its state of a team. Invariant: above
    /// `share_lifetime`.
    pub idle_timeout: Duration,
    /// Longest time that a request waits for its host's first share.
    pub first_share_wait: Duration,
    /// Capacity of a token bucket, as the time in which it fills at its rate.
    pub burst: Duration,
    /// Fraction of its floor that a host uses without asking the home. Invariant: in `0..=1`.
    pub silent_share: f64,
    /// Fraction of a limit that the home holds back while the demand stays below the limit, for
    /// hosts whose demand rises. Invariant: in `0..1`.
    pub reserve_share: f64,
    /// Fraction of the listed hosts that must be alive for the home to grant the whole limits.
    /// Below it the home grants only the fraction that is alive, because another home may grant
    /// shares on the other side of a network partition. Invariant: in `0..=1`.
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
    /// Checks the invariants.
    ///
    /// # Panics
    ///
    /// Panics if a setting breaks its invariant.
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

/// One amount for each dimension that a team's limits bound.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amounts {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Tokens per second, of prompts and answers together.
    pub tokens_per_s: f64,
    /// Requests open at the same time.
    pub open_requests: f64,
}

impl Amounts {
    /// Returns the limits of a team.
    pub fn limits_of(team: &Team) -> Self {
        Self {
            requests_per_s: f64::from(team.limit_requests_per_s),
            tokens_per_s: f64::from(team.limit_tokens_per_s),
            open_requests: f64::from(team.limit_open_requests),
        }
    }

    /// Combines two amounts dimension by dimension.
    pub fn zip(self, other: Self, combine: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            requests_per_s: combine(self.requests_per_s, other.requests_per_s),
            tokens_per_s: combine(self.tokens_per_s, other.tokens_per_s),
            open_requests: combine(self.open_requests, other.open_requests),
        }
    }

    /// Adds two amounts dimension by dimension.
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, |left, right| left + right)
    }

    /// Returns the smaller amount of each dimension.
    pub fn min(self, other: Self) -> Self {
        self.zip(other, f64::min)
    }

    /// Returns the larger amount of each dimension.
    pub fn max(self, other: Self) -> Self {
        self.zip(other, f64::max)
    }

    /// Multiplies every dimension by a factor.
    pub fn scaled(self, factor: f64) -> Self {
        self.zip(self, |value, _| value * factor)
    }

    /// Returns whether no dimension exceeds the other's by more than rounding errors.
    pub fn fits_in(self, other: Self) -> bool {
        let fits =
            |left: f64, right: f64| left <= right * (1.0 + ROUNDING_TOLERANCE) + ROUNDING_TOLERANCE;
        fits(self.requests_per_s, other.requests_per_s)
            && fits(self.tokens_per_s, other.tokens_per_s)
            && fits(self.open_requests, other.open_requests)
    }
}

/// Relative and absolute tolerance for the rounding errors in sums of shares.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A host's report to a team's home.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Number of the report. The host applies only the answer to its newest report.
    pub number: u64,
    /// Amounts that the host would use without limits.
    pub demand: Amounts,
    /// Most that the host uses until it has the answer.
    pub held: Amounts,
    /// Time after which `held` expires even without an answer.
    pub held_for: Duration,
    /// What an earlier home may count as in use at the host: its last grant, or less if a report
    /// that states less may have reached that home. At least `held` while a share is in force.
    pub counted: Amounts,
}

/// A home's answer to a report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Number of the report that this answers.
    pub number: u64,
    /// The host's share.
    pub share: Amounts,
    /// Lifetime of the share, counted from the moment at which the host sent the report.
    pub lifetime: Duration,
}
