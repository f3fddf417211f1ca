//! What hosts observe, of one host or of many together.

use std::collections::BTreeMap;

use crate::{
    id::{
        DataCentreId,
        Version, //
    },
    urgency::{
        Rank,
        RankDemand, //
    },
};

/// Load of hosts' requests at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetLoad {
    /// Requests whose path includes the target.
    pub sequences: f64,
    /// Memory that these requests take, in tokens times layers.
    pub token_layers: f64,
    /// Requests that the hosts sent directly to the target.
    pub sent_requests: f64,
}

impl TargetLoad {
    fn add(&mut self, other: &Self) {
        self.sequences += other.sequences;
        self.token_layers += other.token_layers;
        self.sent_requests += other.sent_requests;
    }

    fn subtract(&mut self, other: &Self) {
        self.sequences = (self.sequences - other.sequences).max(0.0);
        self.token_layers = (self.token_layers - other.token_layers).max(0.0);
        self.sent_requests = (self.sent_requests - other.sent_requests).max(0.0);
    }
}

/// Hosts of one data centre that a summary covers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Presence {
    /// Hosts that are live.
    pub live_hosts: u32,
    /// Hosts that have been live at any time. Invariant: at least `live_hosts`.
    pub heard_hosts: u32,
    /// Callers' requests a second at the live hosts.
    pub requests_per_s: f64,
}

/// Observations of one host, or of several hosts together. Targets are named by their hashes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Hosts that are covered, by data centre.
    pub hosts: BTreeMap<DataCentreId, Presence>,
    /// Sum of the hosts' loads.
    pub loads: BTreeMap<u32, TargetLoad>,
    /// Number of hosts that avoid a target because it did not respond to their own requests.
    pub avoided: BTreeMap<u32, u32>,
    /// Number of hosts whose requests a target refuses although it is alive and has capacity.
    pub refusing: BTreeMap<u32, u32>,
    /// Number of hosts to which a target stated that it is shutting down.
    pub leaving: BTreeMap<u32, u32>,
    /// Largest slowdown that a target reported to one of the hosts, as a ratio to the usual time.
    pub slow: BTreeMap<u32, f64>,
    /// Sum of the hosts' demand for services whose requests compete, by rank. Empty if there are none,
    /// or if the hosts don't tell.
    pub ranks: BTreeMap<Rank, RankDemand>,
    /// Highest version of the operators' table that one of the hosts has, or 0.
    pub newest_table_version: Version,
}

impl Summary {
    /// Adds the observations of other hosts. No host may be covered by both.
    pub fn add(&mut self, other: &Self) {
        self.add_sums(other);
        self.add_maxima(other);
    }

    /// Adds what [`Summary::subtract`] can remove again.
    pub(super) fn add_sums(&mut self, other: &Self) {
        for (data_centre, presence) in &other.hosts {
            let sum = self.hosts.entry(data_centre.clone()).or_default();
            sum.live_hosts += presence.live_hosts;
            sum.heard_hosts += presence.heard_hosts;
            sum.requests_per_s += presence.requests_per_s;
        }
        for (target, load) in &other.loads {
            self.loads.entry(*target).or_default().add(load);
        }
        for (rank, demand) in &other.ranks {
            self.ranks.entry(*rank).or_default().add(demand);
        }
        for (sum, counts) in [
            (&mut self.avoided, &other.avoided),
            (&mut self.refusing, &other.refusing),
            (&mut self.leaving, &other.leaving),
        ] {
            for (target, count) in counts {
                *sum.entry(*target).or_default() += count;
            }
        }
    }

    /// Adds the largest values, from which no host can be subtracted.
    pub(super) fn add_maxima(&mut self, other: &Self) {
        for (target, slowdown) in &other.slow {
            let largest = self.slow.entry(*target).or_insert(1.0);
            *largest = largest.max(*slowdown);
        }
        self.newest_table_version = self.newest_table_version.max(other.newest_table_version);
    }

    /// Subtracts the observations of hosts that were added before, but for the largest values.
    pub(super) fn subtract(&mut self, other: &Self) {
        for (data_centre, presence) in &other.hosts {
            if let Some(sum) = self.hosts.get_mut(data_centre) {
                sum.live_hosts = sum.live_hosts.saturating_sub(presence.live_hosts);
                sum.heard_hosts = sum.heard_hosts.saturating_sub(presence.heard_hosts);
                sum.requests_per_s = (sum.requests_per_s - presence.requests_per_s).max(0.0);
            }
        }
        self.hosts.retain(|_, presence| presence.heard_hosts > 0);
        for (target, load) in &other.loads {
            if let Some(sum) = self.loads.get_mut(target) {
                sum.subtract(load);
                if *sum == TargetLoad::default() {
                    self.loads.remove(target);
                }
            }
        }
        for (rank, demand) in &other.ranks {
            if let Some(sum) = self.ranks.get_mut(rank) {
                sum.subtract(demand);
                if sum.is_negligible() {
                    self.ranks.remove(rank);
                }
            }
        }
        for (sum, counts) in [
            (&mut self.avoided, &other.avoided),
            (&mut self.refusing, &other.refusing),
            (&mut self.leaving, &other.leaving),
        ] {
            for (target, count) in counts {
                if let Some(left) = sum.get_mut(target) {
                    *left = left.saturating_sub(*count);
                    if *left == 0 {
                        sum.remove(target);
                    }
                }
            }
        }
    }

    /// Returns the number of hosts that are live, of all data centres.
    pub fn live_hosts(&self) -> u32 {
        self.hosts
            .values()
            .map(|presence| presence.live_hosts)
            .sum()
    }

    /// Returns the number of hosts that have been live at any time, of all data centres.
    pub fn heard_hosts(&self) -> u32 {
        self.hosts
            .values()
            .map(|presence| presence.heard_hosts)
            .sum()
    }
}
