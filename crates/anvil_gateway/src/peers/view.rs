//! The other gateways as this host knows them.

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
        HostId, //
    },
    rendezvous,
};
use tokio::time::Instant;

use crate::clock::BootTime;

use super::{
    datagram::Key,
    message::Digest, //
};

/// Silence after which a peer counts as gone, and its requests with it: several digests.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// Hosts of a data centre that read the store for the others: one may be lost unnoticed for a
/// while.
const READERS: usize = 2;
/// Key under which the readers of a data centre are drawn.
const READER_KEY: &str = "reader";

/// Requests of all peers together at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Requests on paths through it.
    pub sequences: f64,
    /// Memory that they take, in tokens times layers.
    pub token_layers: f64,
    /// Requests that were sent to it.
    pub sent_requests: f64,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    key: Key,
    heard: Option<Instant>,
    digest: Option<Digest>,
}

impl Peer {
    fn is_heard(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|heard| now.duration_since(heard) < SILENCE_LIMIT)
    }
}

/// Whom to send a digest to.
#[derive(Clone, Debug)]
pub(super) struct Recipient {
    pub index: usize,
    pub address: SocketAddr,
    pub data_centre: Option<DataCentreId>,
    pub is_heard: bool,
    pub last_sent: Option<BootTime>,
}

/// The other gateways.
#[derive(Debug, Default)]
pub struct PeerRegistry {
    peers: BTreeMap<HostId, Peer>,
    /// Whether the store's list of hosts was read.
    is_listed: bool,
}

impl PeerRegistry {
    /// Takes in a peer from the store's list.
    pub(crate) fn register(&mut self, id: HostId, address: SocketAddr, key: Key) {
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
            heard: None,
            digest: None,
        };
        self.peers.insert(id, peer);
    }

    /// Notes that the store's list of hosts was read.
    pub(super) fn note_listed(&mut self) {
        self.is_listed = true;
    }

    /// Hosts of the fleet on the store's list, this one included; nothing before it was read.
    pub fn listed_host_count(&self) -> Option<usize> {
        self.is_listed.then_some(self.peers.len() + 1)
    }

    /// Number of peers, heard of or not.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Number of peers that were never heard of since they, or this host, started; nothing before
    /// the store's list of hosts was read.
    pub fn never_heard_count(&self) -> Option<usize> {
        let unheard = self.peers.values().filter(|peer| peer.digest.is_none());
        self.is_listed.then(|| unheard.count())
    }

    /// Number of peers that are heard of.
    pub fn live_count(&self, now: Instant) -> usize {
        self.peers
            .values()
            .filter(|peer| peer.is_heard(now))
            .count()
    }

    /// Whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    pub(super) fn key_of(&self, id: &HostId) -> Option<Key> {
        self.peers.get(id).map(|peer| peer.key)
    }

    /// Takes in a digest; one that is older than the last is dropped.
    pub(crate) fn record_digest(&mut self, id: &HostId, digest: Digest, now: Instant) {
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        let is_old = peer
            .digest
            .as_ref()
            .is_some_and(|last| last.sent > digest.sent);
        if is_old {
            return;
        }
        peer.heard = Some(now);
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
                is_heard: peer.is_heard(now),
                last_sent: peer.digest.as_ref().map(|digest| digest.sent),
            })
            .collect()
    }

    /// Requests of the peers that are heard of, by the hash of the target's name.
    pub fn loads(&self, now: Instant) -> HashMap<u32, PeerLoad> {
        let mut loads: HashMap<u32, PeerLoad> = HashMap::new();
        for peer in self.peers.values().filter(|peer| peer.is_heard(now)) {
            for load in peer.digest.iter().flat_map(|digest| &digest.loads) {
                let sum = loads.entry(load.target_hash).or_default();
                sum.sequences += load.sequences;
                sum.token_layers += load.token_layers;
                sum.sent_requests += load.sent_requests;
            }
        }
        loads
    }

    /// Hashes of the targets that some peer avoids.
    pub fn avoided(&self, now: Instant) -> HashSet<u32> {
        self.peers
            .values()
            .filter(|peer| peer.is_heard(now))
            .flat_map(|peer| &peer.digest)
            .flat_map(|digest| digest.avoided.iter().copied())
            .collect()
    }

    /// Hashes of the targets that refuse requests of some peer although they live and have room.
    pub fn refusing(&self, now: Instant) -> HashSet<u32> {
        self.peers
            .values()
            .filter(|peer| peer.is_heard(now))
            .flat_map(|peer| &peer.digest)
            .flat_map(|digest| digest.refusing.iter().copied())
            .collect()
    }

    /// Targets that are slow, by the hash of their names, as some peer was told: the slowest word
    /// counts.
    pub fn slowdowns(&self, now: Instant) -> HashMap<u32, f64> {
        let mut slow: HashMap<u32, f64> = HashMap::new();
        for peer in self.peers.values().filter(|peer| peer.is_heard(now)) {
            for target in peer.digest.iter().flat_map(|digest| &digest.slow) {
                let known = slow.entry(target.target_hash).or_insert(1.0);
                *known = known.max(target.slowdown);
            }
        }
        slow
    }

    /// Whether a host is one of those that read the store for their data centre.
    ///
    /// These are drawn among the hosts with the most processor time, since the placer is one of
    /// them and searches for layouts.
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
            .filter(|(_, peer)| peer.is_heard(now))
            .filter_map(|(id, peer)| Some((peer.digest.as_ref()?, id)))
            .filter(|(digest, _)| digest.data_centre == *data_centre)
            .map(|(digest, id)| (digest.processor_millis, id))
            .chain([(processor_millis, own)])
            .collect();
        members.sort_unstable_by(|left, right| right.cmp(left));
        // Hosts with as much as the last that would be taken by processor time alone.
        let least = members[READERS.min(members.len()) - 1].0;
        let able = members
            .iter()
            .filter(|(processor_millis, _)| *processor_millis >= least)
            .map(|(_, id)| *id);
        rendezvous::choose_many(READER_KEY, able, READERS).contains(&own)
    }

    /// Number of peers of a data centre that are heard of.
    pub fn same_data_centre_count(&self, data_centre: &DataCentreId, now: Instant) -> usize {
        self.peers
            .values()
            .filter(|peer| peer.is_heard(now))
            .filter_map(|peer| peer.digest.as_ref())
            .filter(|digest| digest.data_centre == *data_centre)
            .count()
    }
}
