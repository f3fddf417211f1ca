//! Order in which a host probes the others.

use rand::{
    Rng,
    seq::SliceRandom, //
};

use crate::id::HostId;

/// Probes every live host once per round, in an order drawn anew for each round.
///
/// So a host is probed by each other one within two rounds, which bounds the time until a failure
/// is found, and the number of messages a second doesn't grow with the fleet.
#[derive(Debug, Default)]
pub struct ProbeOrder {
    /// Hosts left in the present round.
    round: Vec<HostId>,
}

impl ProbeOrder {
    /// The host to probe next, among those that live now.
    pub fn next<'a>(
        &mut self,
        live_hosts: impl Iterator<Item = &'a HostId> + Clone,
        rng: &mut impl Rng,
    ) -> Option<HostId> {
        for _ in 0..2 {
            while let Some(host) = self.round.pop() {
                if live_hosts.clone().any(|live| *live == host) {
                    return Some(host);
                }
            }
            self.round = live_hosts.clone().cloned().collect();
            self.round.sort_unstable();
            self.round.shuffle(rng);
        }
        None
    }
}
