//! Other hosts through which a host that is cut off from targets may reach them.
//!
//! A fault may cut off all hosts of a data centre, or most of all hosts, so that neither the nearest
//! hosts nor any fixed number of them need reach a target. Hosts are therefore drawn from the whole
//! fleet, and those that opened a connection are used again.

use std::{
    collections::HashMap,
    time::Duration, //
};

use crate::id::HostId;

#[cfg(test)]
mod tests;

/// Hosts that are known to open connections, from which on no further ones are searched.
pub const KNOWN_HOSTS: usize = 2;
/// Time for which a host that refused is not asked again: most are cut off too, for seconds.
const REFUSED_TIME: Duration = Duration::from_secs(2);
/// Time for which a host that did not answer is not asked again: it may have stopped for good.
const SILENT_TIME: Duration = Duration::from_secs(5);
/// Time between a search that found too few hosts and the next one. It doubles with each further one.
const SEARCH_INTERVAL_MIN: Duration = Duration::from_millis(300);
/// Longest time between two searches.
const SEARCH_INTERVAL_MAX: Duration = Duration::from_millis(2400);
/// Weight of a host in the own data centre, where one elsewhere has 1: bytes between data centres are
/// dear.
const NEAR_WEIGHT: f64 = 2.0;

/// Why another host opened no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It refused, or reached no target either.
    Refused,
    /// It did not answer.
    Silent,
}

/// A host that may be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the host.
    pub host: HostId,
    /// Whether it is in the data centre of the host that asks.
    pub is_near: bool,
}

impl Candidate {
    fn weight(&self) -> f64 {
        match self.is_near {
            true => NEAR_WEIGHT,
            false => 1.0,
        }
    }
}

/// What a host knows of others as ways to the targets of one service. Times count from any fixed
/// moment.
#[derive(Clone, Debug, Default)]
pub struct Intermediaries {
    /// Hosts that opened a connection and have not failed since.
    known: Vec<HostId>,
    /// Hosts that opened no connection, and until when they are not asked.
    failed: HashMap<HostId, (Failure, Duration)>,
    /// Searches in a row that found too few hosts.
    failed_searches: u32,
    /// When the next search may begin, after one that found too few hosts.
    next_search_at: Duration,
}

impl Intermediaries {
    /// Returns one of the hosts that opened a connection, by a random number. Returns `None` if none
    /// is known.
    pub fn pick(&self, random: u64) -> Option<&HostId> {
        let count = u64::try_from(self.known.len())
            .ok()
            .filter(|count| *count > 0)?;
        self.known.get(usize::try_from(random % count).ok()?)
    }

    /// Returns whether fewer hosts are known than there should be.
    pub fn needs_search(&self) -> bool {
        self.known.len() < KNOWN_HOSTS
    }

    /// Returns whether the last search found no host, and one that was asked reached no target either.
    pub fn found_none(&self) -> bool {
        let mut failed = self.failed.values();
        self.known.is_empty()
            && self.failed_searches > 0
            && failed.any(|(failure, _)| *failure == Failure::Refused)
    }

    /// Returns the time until a search may begin.
    pub fn time_until_search(&self, now: Duration) -> Duration {
        self.next_search_at.saturating_sub(now)
    }

    /// Returns the hosts to ask in a search, in random order by their weights. Hosts that are known, and
    /// those that failed lately, are left out. `draw` returns random numbers in `0.0..1.0`.
    pub fn search_order(
        &mut self,
        candidates: impl IntoIterator<Item = Candidate>,
        now: Duration,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<HostId> {
        self.failed.retain(|_, (_, until)| *until > now);
        let mut drawn: Vec<(f64, HostId)> = candidates
            .into_iter()
            .filter(|candidate| {
                !self.failed.contains_key(&candidate.host) && !self.known.contains(&candidate.host)
            })
            .map(|candidate| {
                // The first of exponentially distributed times is that of a host with a probability
                // in proportion to its rate.
                let time = -(1.0 - draw()).ln() / candidate.weight();
                (time, candidate.host)
            })
            .collect();
        drawn.sort_by(|left, right| left.0.total_cmp(&right.0));
        drawn.into_iter().map(|(_, host)| host).collect()
    }

    /// Records that a host opened a connection.
    pub fn record_opened(&mut self, host: &HostId) {
        if !self.known.contains(host) {
            self.known.push(host.clone());
        }
        self.failed.remove(host);
        self.failed_searches = 0;
    }

    /// Records that a host opened no connection. If it was the last one known, a search may begin.
    pub fn record_failure(&mut self, host: &HostId, failure: Failure, now: Duration) {
        let was_known = !self.known.is_empty();
        self.known.retain(|known| known != host);
        if was_known && self.known.is_empty() {
            self.failed_searches = 0;
            self.next_search_at = Duration::ZERO;
        }
        let pause = match failure {
            Failure::Refused => REFUSED_TIME,
            Failure::Silent => SILENT_TIME,
        };
        self.failed.insert(host.clone(), (failure, now + pause));
    }

    /// Records the end of a search. One that found too few hosts delays the next one.
    pub fn record_search(&mut self, now: Duration) {
        if !self.needs_search() {
            return;
        }
        let factor = 1u32.checked_shl(self.failed_searches).unwrap_or(u32::MAX);
        let interval = SEARCH_INTERVAL_MIN.saturating_mul(factor);
        self.failed_searches = self.failed_searches.saturating_add(1);
        self.next_search_at = now + interval.min(SEARCH_INTERVAL_MAX);
    }
}
