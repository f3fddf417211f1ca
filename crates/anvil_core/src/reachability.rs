//! Whether a host can open connections to targets at all.
//!
//! A target that can't be reached has failed, unless no other target can be reached either: then it is
//! the host that is cut off. A host suspects that once connections to several targets have failed and
//! none was opened since, and then looks at further targets.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::id::TargetId;

#[cfg(test)]
mod tests;

/// Targets that can't be reached from which a host suspects that it is cut off.
const SUSPECT_TARGETS_MIN: usize = 2;
/// Time for which a failed connection counts. It covers a few requests of a host with few callers.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);

/// What a host believes of its links to targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Belief {
    /// Targets can be reached.
    #[default]
    Connected,
    /// Connections to several targets failed, and none was opened since, or something else suggests
    /// that this host is cut off. Targets are probed.
    Suspect,
    /// No target can be reached.
    CutOff,
}

/// The outcomes of connections that a host opened to targets. Times count from any fixed moment.
#[derive(Debug, Default)]
pub struct Reachability {
    belief: Belief,
    /// Last failure of each target since a connection was last opened.
    failures: BTreeMap<TargetId, Duration>,
    /// When the first connection failed since one was last opened.
    unreached_since: Option<Duration>,
}

impl Reachability {
    /// Returns the present belief.
    pub fn belief(&self) -> Belief {
        self.belief
    }

    /// Returns the number of targets that could not be reached since a connection was last opened.
    pub fn unreached_count(&self) -> usize {
        self.failures.len()
    }

    /// Returns the time since the first connection failed of those that failed since one was last
    /// opened. Returns zero if none did.
    pub fn unreached_time(&self, now: Duration) -> Duration {
        self.unreached_since
            .map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns whether a connection to a target failed since one was last opened.
    pub fn has_failed(&self, target: &TargetId) -> bool {
        self.failures.contains_key(target)
    }

    /// Records that a connection to a target was opened. Returns the belief before.
    pub fn record_success(&mut self) -> Belief {
        self.failures.clear();
        self.unreached_since = None;
        std::mem::take(&mut self.belief)
    }

    /// Records that a connection to a target could not be opened. Returns the belief after that.
    pub fn record_failure(&mut self, target: &TargetId, now: Duration) -> Belief {
        if self.belief == Belief::Connected {
            self.failures
                .retain(|_, at| now.saturating_sub(*at) <= FAILURE_WINDOW);
            if self.failures.is_empty() {
                self.unreached_since = None;
            }
        }
        self.failures.insert(target.clone(), now);
        self.unreached_since.get_or_insert(now);
        if self.belief == Belief::Connected && self.failures.len() >= SUSPECT_TARGETS_MIN {
            self.belief = Belief::Suspect;
        }
        self.belief
    }

    /// Suspects that this host is cut off, for a reason other than connections of its own. Returns
    /// whether it did not before.
    pub fn suspect(&mut self) -> bool {
        let is_new = self.belief == Belief::Connected;
        if is_new {
            self.belief = Belief::Suspect;
        }
        is_new
    }

    /// Records that the probes of further targets failed as well. A connection that was opened
    /// meanwhile outweighs them. One target that fails shows nothing of this host's links.
    pub fn record_failed_probes(&mut self) {
        if self.belief == Belief::Suspect {
            self.belief = match self.failures.len() >= SUSPECT_TARGETS_MIN {
                true => Belief::CutOff,
                false => Belief::Connected,
            };
        }
    }
}
