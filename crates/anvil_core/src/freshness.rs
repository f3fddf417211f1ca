//! Times by which a host keeps a copy of the store's data within a bound on its age.
//!
//! A few hosts, the readers, wait at the store for changes and pass on to the others what they read
//! and how old it is. No host relies on them: one that learns nothing in time asks the store itself,
//! early enough that the answer arrives within the bound.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Share of the bound for which a reader's call waits at the store for a change.
const WAIT_SHARE: f64 = 0.6;
/// Smallest share of [`WAIT_SHARE`] for the first wait after a change.
const FIRST_WAIT_SHARE_MIN: f64 = 0.2;
/// Age, as a share of the bound, from which on a host asks the store itself.
const OVERDUE_SHARE: f64 = 0.7;
/// Longest random delay of such a call, as a share of the bound.
const OVERDUE_DELAY_SHARE: f64 = 0.15;

/// Time, as a share of the bound, after which a call on a connection that was silent before is given
/// up.
const ANSWER_DOUBT_SHARE: f64 = 0.075;
/// The same where the store is known to answer slowly.
const ANSWER_DOUBT_SHARE_MAX: f64 = 0.25;

/// Times that follow from a bound on the age of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time for which a reader's call waits at the store for a change. Invariant: below
    /// `overdue_age`, with enough time in between to pass the result on to other hosts.
    pub wait: Duration,
    /// Age from which on a host asks the store itself, whatever it expects from others.
    pub overdue_age: Duration,
    /// Upper bound of the random delay before such a call. All hosts miss the readers at once, so
    /// the delay lets one of them ask first. Invariant: `overdue_age` and this delay together leave
    /// time for an answer within the bound.
    pub overdue_delay_max: Duration,
    /// Time after which a call on a kept connection is given up and sent over a new one. Invariant:
    /// `overdue_age`, `overdue_delay_max` and this time together leave time for an answer within the
    /// bound.
    pub answer_doubt: Duration,
    /// Largest such time, where the store is known to answer slowly, and longest time between two parts of
    /// an answer.
    pub answer_doubt_max: Duration,
}

impl Limits {
    /// Returns the times for a bound.
    pub fn for_bound(bound: Duration) -> Self {
        Self {
            wait: bound.mul_f64(WAIT_SHARE),
            overdue_age: bound.mul_f64(OVERDUE_SHARE),
            overdue_delay_max: bound.mul_f64(OVERDUE_DELAY_SHARE),
            answer_doubt: bound.mul_f64(ANSWER_DOUBT_SHARE),
            answer_doubt_max: bound.mul_f64(ANSWER_DOUBT_SHARE_MAX),
        }
    }

    /// Returns the wait of the first call after a change, for a random number in `0.0..1.0`. A
    /// change ends the calls of all readers at the same moment; different first waits spread their
    /// later calls, and with them the confirmations that other hosts receive.
    pub fn first_wait(&self, random_unit: f64) -> Duration {
        self.wait
            .mul_f64(FIRST_WAIT_SHARE_MIN + (1.0 - FIRST_WAIT_SHARE_MIN) * random_unit)
    }
}
