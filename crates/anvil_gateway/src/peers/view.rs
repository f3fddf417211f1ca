//! Registry of the other gateways and of the last digest of each.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet, //
    },
    net::SocketAddr,
    time::Duration, //
};

use anvil_core::{
    id::{
        DataCentreId,
        HostId,
        Version, //
    },
    rendezvous,
};
use tokio::time::Instant;

use crate::clock::BootTime;

use super::{
    datagram::DatagramKey,
    message::Digest, //
};

/// Time without a digest after which a peer, with its requests, no longer counts as live. Several
/// digests must be missed for this.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Number of hosts per data centre that read the store for the others. With two, the loss of one
/// may go unnoticed for a while.
const READERS_PER_DATA_CENTRE: usize = 2;
/// Rendezvous key that selects the readers of a data centre.
const READER_SELECTION_KEY: &str = "reader";

/// Load of the requests of all peers together at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Requests whose path includes the target.
    pub sequences: f64,
    /// Memory that these requests take, in tokens times layers.
    pub token_layers: f64,
    /// Requests that the peers sent directly to the target.
    pub sent_requests: f64,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    key: DatagramKey,
    last_heard: Option<Instant>,
    digest: Option<Digest>,
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        self.last_heard
            .is_some_and(|last_heard| now.duration_since(last_heard) < SILENCE_TIMEOUT)
    }
}

/// Peer to send a digest to.
#[derive(Clone, Debug)]
pub(super) struct Recipient {
    pub index: usize,
    pub address: SocketAddr,
    pub data_centre: Option<DataCentreId>,
    pub is_live: bool,
    pub echo: Option<BootTime>,
}

/// Known peers with their keys and last digests.
#[derive(Debug, Default)]
pub struct PeerRegistry {
    peers: BTreeMap<HostId, Peer>,
    /// Whether the host list has been read from the store.
    is_listed: bool,
}

impl PeerRegistry {
    /// Adds a peer from the host list. A peer whose address and key are unchanged keeps its digest.
    pub(crate) fn register(&mut self, id: HostId, address: SocketAddr, key: DatagramKey) {
        let is_known = self
            .peers
            .get(&id)
            .is_some_and(|peer| peer.address == address && peer.key == key);
        if is_known {
            return;
        }
        let peer = Peer {
            address,
            key,
            last_heard: None,
            digest: None,
        };
        self.peers.insert(id, peer);
    }

    /// Records that the host list has been read from the store.
    pub(super) fn record_listed(&mut self) {
        self.is_listed = true;
    }

    /// Returns the number of hosts on the host list, this host included. Returns `None` before the
    /// list was read.
    pub fn listed_host_count(&self) -> Option<usize> {
        self.is_listed.then_some(self.peers.len() + 1)
    }

    /// Returns the number of known peers, including those from which nothing is heard.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns the number of peers from which nothing was ever heard since they or this host
    /// started. Returns `None` before the host list was read.
    pub fn never_heard_count(&self) -> Option<usize> {
        let unheard = self.peers.values().filter(|peer| peer.digest.is_none());
        self.is_listed.then(|| unheard.count())
    }

    /// Returns the highest version of the operators' table that a live peer has, or 0.
    pub fn newest_table_version(&self, now: Instant) -> Version {
        self.peers
            .values()
            .filter(|peer| peer.is_live(now))
            .filter_map(|peer| peer.digest.as_ref())
            .map(|digest| digest.table_version)
            .max()
            .unwrap_or(0)
    }

    /// Returns the number of peers that are live: a digest arrived from them recently.
    pub fn live_count(&self, now: Instant) -> usize {
        self.peers.values().filter(|peer| peer.is_live(now)).count()
    }

    /// Returns whether peers are known and none of them is live.
    pub fn is_isolated(&self, now: Instant) -> bool {
        !self.is_empty() && self.live_count(now) == 0
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    pub(super) fn key_of(&self, id: &HostId) -> Option<DatagramKey> {
        self.peers.get(id).map(|peer| peer.key)
    }

    /// Records a peer's digest. Drops it if it is older than the last one or the peer is unknown.
    pub(crate) fn record_digest(&mut self, id: &HostId, digest: Digest, now: Instant) {
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        let is_stale = peer
            .digest
            .as_ref()
            .is_some_and(|last| last.sent > digest.sent);
        if is_stale {
            return;
        }
        peer.last_heard = Some(now);
        peer.digest = Some(digest);
    }

    pub(super) fn recipients(&self, now: Instant) -> Vec<Recipient> {
        self.peers
            .values()
            .enumerate()
            .map(|(index, peer)| Recipient {
                index,
                address: peer.address,
                data_centre: peer
                    .digest
                    .as_ref()
                    .map(|digest| digest.data_centre.clone()),
                is_live: peer.is_live(now),
                echo: peer.digest.as_ref().map(|digest| digest.sent),
            })
            .collect()
    }

    /// Returns the load of all live peers together, by the hash of the target's name.
    pub fn loads(&self, now: Instant) -> HashMap<u32, PeerLoad> {
        let mut loads: HashMap<u32, PeerLoad> = HashMap::new();
        for peer in self.peers.values().filter(|peer| peer.is_live(now)) {
            for load in peer.digest.iter().flat_map(|digest| &digest.loads) {
                let sum = loads.entry(load.target_hash).or_default();
                sum.sequences += load.sequences;
                sum.token_layers += load.token_layers;
                sum.sent_requests += load.sent_requests;
            }
        }
        loads
    }

    /// Returns the hashes of the targets that at least one live peer avoids.
    pub fn avoided(&self, now: Instant) -> HashSet<u32> {
        self.peers
            .values()
            .filter(|peer| peer.is_live(now))
            .flat_map(|peer| &peer.digest)
            .flat_map(|digest| digest.avoided.iter().copied())
            .collect()
    }

    /// Returns the hashes of the targets that refuse requests of at least one live peer although
    /// they are alive and have capacity.
    pub fn refusing(&self, now: Instant) -> HashSet<u32> {
        self.peers
            .values()
            .filter(|peer| peer.is_live(now))
            .flat_map(|peer| &peer.digest)
            .flat_map(|digest| digest.refusing.iter().copied())
            .collect()
    }

    /// Returns the hashes of the targets that stated to at least one live peer that they are shutting
    /// down.
    pub fn leaving(&self, now: Instant) -> HashSet<u32> {
        self.peers
            .values()
            .filter(|peer| peer.is_live(now))
            .flat_map(|peer| &peer.digest)
            .flat_map(|digest| digest.leaving.iter().copied())
            .collect()
    }

    /// Returns the slowdowns that targets reported to live peers, by the hash of the target's name.
    /// The largest one counts where several peers report a target.
    pub fn slowdowns(&self, now: Instant) -> HashMap<u32, f64> {
        let mut slowdowns: HashMap<u32, f64> = HashMap::new();
        for peer in self.peers.values().filter(|peer| peer.is_live(now)) {
            for target in peer.digest.iter().flat_map(|digest| &digest.slow) {
                let max_slowdown = slowdowns.entry(target.target_hash).or_insert(1.0);
                *max_slowdown = max_slowdown.max(target.slowdown);
            }
        }
        slowdowns
    }

    /// Returns whether a host is one of those that read the store for their data centre.
    ///
    /// The readers are selected among the hosts with the most processor time, because the placer is
    /// one of them and searches for layouts.
    pub fn is_reader(
        &self,
        own: &HostId,
        processor_millis: u32,
        data_centre: &DataCentreId,
        now: Instant,
    ) -> bool {
        let mut members: Vec<(u32, &HostId)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_live(now))
            .filter_map(|(id, peer)| Some((peer.digest.as_ref()?, id)))
            .filter(|(digest, _)| digest.data_centre == *data_centre)
            .map(|(digest, id)| (digest.processor_millis, id))
            .chain([(processor_millis, own)])
            .collect();
        members.sort_unstable_by(|left, right| right.cmp(left));
        // Every host with as much processor time as the last reader in this order is eligible, so
        // that ties are broken by the rendezvous hash.
        let min_processor_millis = members[READERS_PER_DATA_CENTRE.min(members.len()) - 1].0;
        let eligible = members
            .iter()
            .filter(|(processor_millis, _)| *processor_millis >= min_processor_millis)
            .map(|(_, id)| *id);
        rendezvous::choose_many(READER_SELECTION_KEY, eligible, READERS_PER_DATA_CENTRE)
            .contains(&own)
    }

    /// Returns the requests a second of the live peers, by data centre.
    pub fn requests_per_s(&self, now: Instant) -> HashMap<DataCentreId, f64> {
        let mut requests_per_s: HashMap<DataCentreId, f64> = HashMap::new();
        for peer in self.peers.values().filter(|peer| peer.is_live(now)) {
            if let Some(digest) = &peer.digest {
                *requests_per_s
                    .entry(digest.data_centre.clone())
                    .or_default() += digest.requests_per_s;
            }
        }
        requests_per_s
    }

    /// Returns whether a host is the one among the live hosts that does the work for a key.
    pub fn is_chosen(&self, key: &str, own: &HostId, now: Instant) -> bool {
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live(now));
        rendezvous::choose(key, live.map(|(id, _)| id).chain([own])) == Some(own)
    }

    /// Returns the number of live peers in a data centre.
    pub fn same_data_centre_count(&self, data_centre: &DataCentreId, now: Instant) -> usize {
        self.peers
            .values()
            .filter(|peer| peer.is_live(now))
            .filter_map(|peer| peer.digest.as_ref())
            .filter(|digest| digest.data_centre == *data_centre)
            .count()
    }
}
