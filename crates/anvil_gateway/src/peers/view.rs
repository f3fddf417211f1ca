//! Registry of the other gateways: their addresses and keys, and this host's part in the exchange
//! with them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc, //
};

use anvil_core::{
    exchange::{
        Change,
        Exchange,
        HostRecord,
        Message,
        MessageKind,
        Outgoing,
        Summary, //
    },
    id::{
        DataCentreId,
        HostId,
        Version, //
    },
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::BootTime,
    port::HostEntry,
    settings::Settings, //
};

use super::{
    datagram::DatagramKey,
    message::Digest, //
};

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    key: DatagramKey,
    /// Peer's clock in its last digest.
    last_sent: Option<BootTime>,
}

/// Known peers with their keys, and what they observe.
#[derive(Debug)]
pub struct PeerRegistry {
    peers: BTreeMap<HostId, Peer>,
    exchange: Exchange,
    /// Whether the host list has been read from the store.
    is_listed: bool,
    /// Key of this host; `None` before its address is bound.
    own_key: Option<DatagramKey>,
    /// Largest number of hosts on a peer's host list.
    peers_listed_hosts: usize,
    /// Largest number of other hosts that were heard of.
    heard_hosts: usize,
}

impl PeerRegistry {
    /// Creates a registry for a host that knows no peers yet.
    pub fn new(settings: &Settings) -> Self {
        Self {
            peers: BTreeMap::new(),
            exchange: Exchange::new(HostRecord {
                id: settings.host_id.clone(),
                data_centre: settings.data_centre.clone(),
                processor_millis: settings.processor_millis(),
                run: 0,
            }),
            is_listed: false,
            own_key: None,
            peers_listed_hosts: 0,
            heard_hosts: 0,
        }
    }

    /// Takes over the host list. A peer whose address and key are unchanged keeps its state. Peers
    /// that are no longer listed are kept, because they may still be running.
    pub(crate) fn apply_list(&mut self, hosts: &[HostEntry], now: BootTime) {
        let mut records = Vec::new();
        let own = self.exchange.own_id().clone();
        for host in hosts.iter().filter(|host| host.id != own) {
            let Some(key) = DatagramKey::from_hex(&host.key) else {
                spdlog::warn!("peers.unreadable", kv: { peer = host.id.as_str() });
                continue;
            };
            records.push(HostRecord {
                id: host.id.clone(),
                data_centre: host.data_centre.clone(),
                processor_millis: host.processor_millis,
                run: xxh3_64(format!("{} {}", host.address, host.key).as_bytes()),
            });
            let is_known = self
                .peers
                .get(&host.id)
                .is_some_and(|peer| peer.address == host.address && peer.key == key);
            if !is_known {
                let peer = Peer {
                    address: host.address,
                    key,
                    last_sent: None,
                };
                self.peers.insert(host.id.clone(), peer);
            }
        }
        self.exchange.replace_list(records, now.since_boot());
        self.is_listed = true;
    }

    /// Returns the number of hosts on the host list, this host included, as this host or a peer read
    /// it. Returns `None` before this host read it.
    pub fn listed_host_count(&self) -> Option<usize> {
        let count = self.exchange.known_hosts() + 1;
        self.is_listed.then_some(count.max(self.peers_listed_hosts))
    }

    /// Returns the number of known peers, including those from which nothing is heard.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the number of hosts of which nothing was ever heard since this host started, and the
    /// number of hosts on the list. Returns `None` before the host list was read.
    pub fn never_heard(&mut self, now: BootTime) -> Option<(usize, usize)> {
        // Updates the number of hosts that were heard of.
        self.view(now);
        let listed = self.listed_host_count()?;
        Some((listed.saturating_sub(1 + self.heard_hosts), listed))
    }

    /// Returns whether a digest ever arrived from a peer.
    pub fn has_heard_any(&self) -> bool {
        self.exchange.has_heard_any()
    }

    /// Returns what all other live hosts observe together.
    pub fn view(&mut self, now: BootTime) -> Rc<Summary> {
        let view = self.exchange.view(now.since_boot());
        self.heard_hosts = self.heard_hosts.max(view.heard_hosts() as usize);
        view
    }

    /// Returns the highest version of the operators' table that a live peer has, or 0.
    pub fn newest_table_version(&mut self, now: BootTime) -> Version {
        self.view(now).newest_table_version
    }

    /// Returns the number of other hosts that are live.
    pub fn live_count(&mut self, now: BootTime) -> usize {
        self.view(now).live_hosts() as usize
    }

    /// Returns the number of other hosts of a data centre that are live.
    pub fn data_centre_live_count(&mut self, data_centre: &DataCentreId, now: BootTime) -> usize {
        let view = self.view(now);
        let presence = view.hosts.get(data_centre);
        presence.map_or(0, |presence| presence.live_hosts as usize)
    }

    /// Returns whether a digest arrived recently.
    pub fn hears_any(&self, now: BootTime) -> bool {
        self.exchange.hears_any(now.since_boot())
    }

    /// Returns whether peers are known and none of them is heard.
    pub fn is_isolated(&self, now: BootTime) -> bool {
        !self.is_empty() && !self.hears_any(now)
    }

    /// Returns whether this host is one of those that read the store for the others.
    pub fn is_reader(&self, now: BootTime) -> bool {
        self.exchange.is_reader(now.since_boot())
    }

    /// Returns the hosts that report to this one.
    pub(super) fn members(&self, now: BootTime) -> Vec<HostId> {
        let members = self.exchange.members_heard(now.since_boot());
        members.cloned().collect()
    }

    /// Returns whether this host is a relay of its data centre.
    pub fn is_relay(&self, now: BootTime) -> bool {
        self.exchange.is_relay(now.since_boot())
    }

    /// Returns whether this host is the one among the relays that does the work for a key.
    pub fn is_chosen(&self, key: &str, now: BootTime) -> bool {
        self.exchange.is_chosen(key, now.since_boot())
    }

    /// Returns the other relays of this data centre, the first one first.
    pub(super) fn other_relays(&self, now: BootTime) -> Vec<HostId> {
        self.exchange.other_relays(now.since_boot())
    }

    /// Returns the other hosts on the host list, with their data centres.
    pub(super) fn listed_peers(&self) -> Vec<(HostId, DataCentreId)> {
        let listed = self.exchange.listed_hosts();
        listed
            .map(|(id, data_centre)| (id.clone(), data_centre.clone()))
            .collect()
    }

    /// Returns the data centre of a host on the host list.
    pub(super) fn data_centre_of(&self, id: &HostId) -> Option<DataCentreId> {
        self.exchange.data_centre_of(id).cloned()
    }

    pub(super) fn own_key(&self) -> Option<DatagramKey> {
        self.own_key
    }

    pub(super) fn set_own_key(&mut self, key: DatagramKey) {
        self.own_key = Some(key);
    }

    pub(super) fn key_of(&self, id: &HostId) -> Option<DatagramKey> {
        self.peers.get(id).map(|peer| peer.key)
    }

    pub(super) fn address_of(&self, id: &HostId) -> Option<SocketAddr> {
        self.peers.get(id).map(|peer| peer.address)
    }

    /// Returns the peer's clock in its last digest, which the next digest to it echoes.
    pub(super) fn echo_for(&self, id: &HostId) -> Option<BootTime> {
        self.peers.get(id).and_then(|peer| peer.last_sent)
    }

    /// Records a peer's digest, and returns the kind of the digest to answer with, or `None`. Drops
    /// a digest that isn't newer than the last one, and one of an unknown peer.
    pub(crate) fn record_digest(
        &mut self,
        id: &HostId,
        digest: Digest,
        now: BootTime,
    ) -> Option<MessageKind> {
        let peer = self.peers.get_mut(id)?;
        peer.last_sent = peer.last_sent.max(Some(digest.sent));
        self.peers_listed_hosts = self.peers_listed_hosts.max(digest.listed_hosts as usize);
        let message = Message {
            kind: digest.kind,
            sent: digest.sent.as_millis(),
            summary: digest.summary,
            is_cut: digest.is_cut,
        };
        self.exchange.record(id, message, now.since_boot())
    }

    /// Returns the digests that are due in a round, and what changed in this host's part.
    pub(super) fn round(&mut self, now: BootTime) -> (Vec<Outgoing>, Vec<Change>) {
        self.exchange.round(now.since_boot())
    }

    pub(super) fn interval(&self) -> std::time::Duration {
        self.exchange.interval()
    }

    pub(super) fn urgent_recipients(&self, now: BootTime) -> Vec<Outgoing> {
        self.exchange.urgent_recipients(now.since_boot())
    }

    /// Returns the observations for a digest of a kind to a peer.
    pub(super) fn summary(
        &self,
        kind: MessageKind,
        to: &HostId,
        own: &Summary,
        now: BootTime,
    ) -> Summary {
        match kind {
            MessageKind::Report => own.clone(),
            MessageKind::Summary => self.exchange.summary_for(to, own, now.since_boot()),
            MessageKind::Region | MessageKind::RegionAnswer => self.exchange.region(own),
        }
    }
}
