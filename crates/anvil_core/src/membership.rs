//! Which hosts live, by bounded gossip beside the platform's lagging list.
//!
//! No safety rests on agreement about who lives: the table steers work to hosts and away from them.
//! See `docs/design/membership.md`.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::id::{
    DataCentreId,
    HostId,
    Incarnation, //
};

pub mod probe;
pub mod slow_start;
pub mod table;

/// Settings of the membership of hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time between two probes by a host. Invariant: above 0.
    pub probe_interval: Duration,
    /// Longest wait for the answer to a probe.
    pub probe_timeout: Duration,
    /// Hosts that are asked to probe one that did not answer.
    pub indirect_probes: usize,
    /// Facts in one message beside the sender's own. Invariant: above 0.
    pub facts_per_message: usize,
    /// Time that a suspect has to refute the suspicion.
    pub suspect_timeout: Duration,
    /// Time that a dead host or one that left is remembered, so that late gossip doesn't revive it.
    pub forget_timeout: Duration,
    /// Time between two reads of the platform's list.
    pub list_interval: Duration,
    /// Time in which a new host or target comes to its full weight.
    pub slow_start: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(300),
            indirect_probes: 2,
            facts_per_message: 8,
            suspect_timeout: Duration::from_millis(1500),
            forget_timeout: Duration::from_secs(60),
            list_interval: Duration::from_millis(500),
            slow_start: Duration::from_secs(10),
        }
    }
}

impl Settings {
    fn check(&self) {
        assert!(!self.probe_interval.is_zero(), "probe_interval is 0");
        assert!(self.facts_per_message > 0, "facts_per_message is 0");
    }
}

/// State of a host, from the weakest word to the strongest at equal age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer; it has time to refute that.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It said that it leaves. No later word of this run of it counts.
    Left,
}

impl State {
    /// Stable name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }

    /// Tells whether work may go to the host.
    pub fn is_live(self) -> bool {
        match self {
            Self::Alive | Self::Suspect => true,
            Self::Dead | Self::Left => false,
        }
    }
}

/// Age of a host's word on itself. A larger one wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FactVersion {
    /// Run of the host's process.
    pub incarnation: Incarnation,
    /// Suspicions that this run has refuted. Only the host itself raises it.
    pub refutations: u32,
}

/// One thing that gossip says of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// The host.
    pub host: HostId,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Age of the host's own word that this rests on.
    pub version: FactVersion,
    /// Its state.
    pub state: State,
}

impl Fact {
    /// Tells whether this fact replaces another of the same host.
    pub fn supersedes(&self, other: &Self) -> bool {
        if other.state == State::Left && self.version.incarnation == other.version.incarnation {
            return false;
        }
        (self.version, self.state) > (other.version, other.state)
    }
}
