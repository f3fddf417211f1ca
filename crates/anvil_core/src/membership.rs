//! Tracks which hosts are live, by gossip with messages of bounded size and by the platform's host
//! list, which lags behind.
//!
//! No safety property depends on hosts agreeing on who is live. The table only decides which hosts
//! are given work. See `docs/design/membership.md`.

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

/// Settings for probes, gossip and the host list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time between two probes that a host sends. Invariant: above 0.
    pub probe_interval: Duration,
    /// Longest wait for the answer to a probe.
    pub probe_timeout: Duration,
    /// Number of other hosts that are asked to probe a host that did not answer.
    pub indirect_probes: usize,
    /// Number of facts in one message in addition to the sender's own. Invariant: above 0.
    pub facts_per_message: usize,
    /// Time that a suspected host has to refute the suspicion.
    pub suspect_timeout: Duration,
    /// Time for which a dead or departed host is remembered, so that late gossip doesn't revive it.
    pub forget_timeout: Duration,
    /// Time between two reads of the platform's list.
    pub list_interval: Duration,
    /// Time until a new host or target has its full weight.
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

/// State of a host. Of two facts with the same version, the one with the later state here wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum State {
    /// The host answers probes.
    Alive,
    /// The host did not answer a probe and has `suspect_timeout` to refute the suspicion.
    Suspect,
    /// The host did not refute the suspicion in time.
    Dead,
    /// The host announced that it leaves. No later fact about the same run of its process replaces
    /// this state.
    Left,
}

impl State {
    /// Returns the stable name that logs use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }

    /// Returns whether work may be sent to the host.
    pub fn is_live(self) -> bool {
        match self {
            Self::Alive | Self::Suspect => true,
            Self::Dead | Self::Left => false,
        }
    }
}

/// Version of what a host says about itself. The larger version wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FactVersion {
    /// Run of the host's process; a later run has a larger number.
    pub incarnation: Incarnation,
    /// Number of suspicions that this run has refuted. Only the host itself raises it, and once
    /// more when it leaves.
    pub refutations: u32,
}

/// A statement about one host, spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// Host that the fact describes.
    pub host: HostId,
    /// Address of the host's peer listener.
    pub address: SocketAddr,
    /// Data centre in which the host runs.
    pub data_centre: DataCentreId,
    /// Version of the host's own statement on which this fact is based.
    pub version: FactVersion,
    /// State that the host is said to be in.
    pub state: State,
}

impl Fact {
    /// Returns whether this fact replaces `other`, a fact about the same host.
    pub fn supersedes(&self, other: &Self) -> bool {
        if other.state == State::Left && self.version.incarnation == other.version.incarnation {
            return false;
        }
        (self.version, self.state) > (other.version, other.state)
    }
}
