//! Order in which a host probes the others.

use rand::{
    Rng,
    seq::SliceRandom, //
};

use crate::id::HostId;

/// Probes every live host once per round, in a new random order for each round.
///
/// Each host is therefore probed by every other host within two rounds, which bounds the time until
/// a failure is detected. The number of messages per second doesn't grow with the fleet.
#[derive(Debug, Default)]
pub struct ProbeOrder {
    /// Hosts that are still to be probed in the current round.
    remaining: Vec<HostId>,
}

impl ProbeOrder {
    /// Returns the next of `live_hosts` to probe, or `None` if there are none.
    pub fn next<'a>(
        &mut self,
        live_hosts: impl Iterator<Item = &'a HostId> + Clone,
        rng: &mut impl Rng,
    ) -> Option<HostId> {
        for _ in 0..2 {
            while let Some(host) = self.remaining.pop() {
                if live_hosts.clone().any(|live| *live == host) {
                    return Some(host);
                }
            }
            self.remaining = live_hosts.clone().cloned().collect();
            self.remaining.sort_unstable();
            self.remaining.shuffle(rng);
        }
        None
    }
}
