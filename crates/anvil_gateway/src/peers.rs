//! Exchanges datagrams with other gateways: the requests that each has in flight, what each has
//! read from the store, and how old that reading is. [`anvil_core::exchange`] decides who sends what
//! to whom. A gateway that hears from no peer keeps working and reads the store more often itself.

mod datagram;
mod message;
pub mod table;
pub mod tunnel;
mod view;

#[cfg(test)]
mod tests;

use std::{
    cell::Cell,
    collections::{
        BTreeMap,
        HashSet, //
    },
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    exchange::{
        Change,
        MessageKind,
        Outgoing,
        Presence,
        Summary, //
    },
    id::{
        HostId,
        Offset,
        ServiceId, //
    },
    reachability::Belief,
};
use tokio::{
    net::UdpSocket,
    time::{
        Instant,
        sleep,
        sleep_until, //
    },
};

use crate::{
    clock::BootTime,
    gateway::Gateway,
    port::{
        Era,
        HostEntry,
        Position,
        TargetChange, //
    },
    target::AvoidReason,
};

use datagram::LoadOrder;

pub use datagram::DatagramKey;
pub use message::{
    Digest,
    TargetChangeBatch, //
};
pub use view::PeerRegistry;

/// Header with the host that sends a request to a peer.
const HOST_HEADER: &str = "Anvil-Host";
/// Header with the authentication tag of a request to a peer, or of its answer.
const TAG_HEADER: &str = "Anvil-Tag";
/// Largest datagram. It fits into one packet on any link.
const DATAGRAM_LIMIT_BYTES: usize = 1400;
/// Delay between registering this host and reading the host list, so that hosts that start together
/// find one another.
const HOST_LIST_DELAY: Duration = Duration::from_millis(400);
/// Shortest interval between two reads of the host list, which unknown senders trigger.
const HOST_LIST_INTERVAL: Duration = Duration::from_millis(1500);
/// The same interval for a host that is no relay. It is longer because in a
/// rolling restart every host would otherwise read the list once for each host that restarts.
const HOST_LIST_INTERVAL_NON_RELAY: Duration = Duration::from_secs(5);
/// Pause after reading from the socket failed.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay before registering is tried again after a failed call to the store.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(700);

/// A digest to answer a peer with.
struct Answer {
    to: HostId,
    kind: MessageKind,
    /// Position up to which the peer has read the target list.
    targets_next: Position,
}

/// Sends digests to the other gateways and receives theirs.
pub struct Peers {
    gateway: Rc<Gateway>,
    socket: UdpSocket,
    key: DatagramKey,
    /// Hash of the target whose load comes first in the next digest that must be shortened.
    first_load: Cell<u32>,
    /// Whether a datagram from an unknown sender, or with an invalid tag, has arrived since the
    /// host list was last read. It is set at the start.
    is_list_outdated: Cell<bool>,
}

impl Peers {
    /// Binds the socket on the address of the settings and generates the key of this run.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn open(gateway: Rc<Gateway>) -> std::io::Result<Self> {
        let key = DatagramKey::generate(&gateway);
        gateway.peers.borrow_mut().set_own_key(key);
        Ok(Self {
            socket: UdpSocket::bind(gateway.settings.peers).await?,
            key,
            gateway,
            first_load: Cell::new(0),
            is_list_outdated: Cell::new(true),
        })
    }

    /// Registers this host, then reads the host list at the start, and again after a datagram from
    /// an unknown sender or with an invalid authentication tag. Never returns.
    pub async fn maintain_host_list(self: Rc<Self>) {
        let entry = HostEntry {
            id: self.gateway.settings.host_id.clone(),
            address: self.gateway.settings.peers,
            key: self.key.hex(),
            data_centre: self.gateway.settings.data_centre.clone(),
            processor_millis: self.gateway.settings.processor_millis(),
        };
        let mut registered_era = self.register(&entry).await;
        sleep(HOST_LIST_DELAY).await;
        loop {
            if registered_era != self.gateway.platform.store.era() {
                // The store may have lost the entry.
                registered_era = self.register(&entry).await;
                self.gateway.keep_quarantine_in_store();
            }
            // What other hosts have quarantined reaches an isolated host through the store alone.
            let is_isolated = self.gateway.peers.borrow().is_isolated(BootTime::now());
            if self.is_list_outdated.replace(false) || is_isolated {
                match self.gateway.platform.store.registry().await {
                    Ok(registry) => {
                        self.apply_host_list(&registry.hosts);
                        self.gateway.merge_quarantine_entries(registry.quarantined);
                    }
                    Err(error) => {
                        spdlog::warn!("peers.list_failed", kv: { error: });
                        self.is_list_outdated.set(true);
                    }
                }
            }
            sleep(match is_relay(&self.gateway) {
                true => HOST_LIST_INTERVAL,
                false => HOST_LIST_INTERVAL_NON_RELAY,
            })
            .await;
        }
    }

    /// Registers this host, repeatedly until it succeeds, and returns the era of the store in which
    /// it did.
    async fn register(&self, entry: &HostEntry) -> Era {
        let store = &self.gateway.platform.store;
        loop {
            let era = store.era();
            match store.register_host(entry).await {
                // The era before the call, unless the store named none before: if it changed during
                // the call, the entry may be lost.
                Ok(()) if era == 0 => return store.era(),
                Ok(()) => return era,
                Err(error) => {
                    spdlog::warn!("peers.register_failed", kv: { error: });
                    sleep(REGISTER_RETRY_DELAY).await;
                }
            }
        }
    }

    fn apply_host_list(&self, hosts: &[HostEntry]) {
        let mut registry = self.gateway.peers.borrow_mut();
        registry.apply_list(hosts, BootTime::now());
        spdlog::info!("peers.listed", kv: { peers = registry.len() });
    }

    /// Sends digests to the peers in rounds. Never returns.
    pub async fn send_digests(self: Rc<Self>) {
        loop {
            let interval = self.gateway.peers.borrow().interval();
            let interval = self
                .gateway
                .random_duration(interval.mul_f64(0.9), interval);
            let next_round = Instant::now() + interval;
            tokio::select! {
                () = sleep_until(next_round) => {}
                () = self.gateway.urgent_change.notified() => {
                    self.send_urgently().await;
                    sleep_until(next_round).await;
                }
            }
            self.send_round().await;
        }
    }

    async fn send_round(&self) {
        let (outgoing, changes) = self.gateway.peers.borrow_mut().round(BootTime::now());
        for change in &changes {
            log_change(change);
        }
        self.send_all(outgoing).await;
    }

    /// Sends digests without waiting for the next round.
    async fn send_urgently(&self) {
        let outgoing = self
            .gateway
            .peers
            .borrow()
            .urgent_recipients(BootTime::now());
        self.send_all(outgoing).await;
    }

    async fn send_all(&self, outgoing: Vec<Outgoing>) {
        if outgoing.is_empty() {
            return;
        }
        let base = self.own_digest();
        for Outgoing { to, kind } in outgoing {
            self.send(&base, kind, &to).await;
        }
    }

    /// Sends target changes to the hosts that report to this relay, without waiting for their next
    /// reports. These digests carry no loads, which leaves room for the changes.
    pub async fn send_changes(&self, from: Offset, changes: &[TargetChange]) {
        let members = self.gateway.peers.borrow().members(BootTime::now());
        let mut base = self.own_digest();
        base.target_changes = Some(TargetChangeBatch {
            from,
            changes: changes.to_vec(),
        });
        for to in members {
            self.send(&base, MessageKind::Summary, &to).await;
        }
    }

    /// Returns the target changes that a peer lacks that has read up to `targets_next`: the datagram
    /// with them may have been lost.
    fn missed_changes(&self, targets_next: Position) -> Option<TargetChangeBatch> {
        let targets = &self.gateway.targets;
        let changes = targets.changes_since(targets_next)?;
        let from = targets_next.offset_in(targets.next().era())?;
        Some(TargetChangeBatch { from, changes })
    }

    /// Returns a digest that carries the observations of this host.
    fn own_digest(&self) -> Digest {
        let gateway = &self.gateway;
        let now = Instant::now();
        let listed_hosts = gateway.peers.borrow().listed_host_count().unwrap_or(0);
        Digest {
            kind: MessageKind::Report,
            host: gateway.settings.host_id.clone(),
            sent: BootTime::now(),
            echo: None,
            table_version: gateway.table_cache.version(),
            table_age: gateway.table_cache.age(),
            store_era: gateway.platform.store.era(),
            targets_next: gateway.targets.next(),
            targets_age: gateway.targets.age(),
            listed_hosts: u32::try_from(listed_hosts).unwrap_or(u32::MAX),
            summary: self.own_summary(now),
            is_cut: false,
            limits: gateway.shared_limits(now),
            suspect_states: gateway.shared_suspect_states(),
            target_changes: None,
        }
    }

    fn own_summary(&self, now: Instant) -> Summary {
        let gateway = &self.gateway;
        let presence = Presence {
            live_hosts: 1,
            heard_hosts: 1,
            requests_per_s: gateway.own_requests_per_s(),
        };
        let counts = |targets: Vec<u32>| targets.into_iter().map(|target| (target, 1)).collect();
        let targets = &gateway.targets;
        // What a host observes that may be cut off is true of itself alone.
        let is_connected = |service: &ServiceId| gateway.link.belief(service) == Belief::Connected;
        let avoided = |reason| counts(targets.own_avoided(reason, now, is_connected));
        Summary {
            hosts: BTreeMap::from([(gateway.settings.data_centre.clone(), presence)]),
            loads: targets.own_loads(),
            ranks: gateway.urgency.own_demand(gateway.uptime()),
            avoided: avoided(AvoidReason::Unresponsive),
            refusing: avoided(AvoidReason::Refusing),
            leaving: counts(targets.own_leaving()),
            slow: targets.own_slow(now),
            newest_table_version: gateway.table_cache.version(),
        }
    }

    /// Sends a digest of a kind to a peer. `base` carries the observations of this host.
    async fn send(&self, base: &Digest, kind: MessageKind, to: &HostId) {
        let (address, mut digest) = {
            let registry = self.gateway.peers.borrow();
            let Some(address) = registry.address_of(to) else {
                return;
            };
            let mut digest = base.clone();
            digest.kind = kind;
            digest.sent = BootTime::now();
            digest.echo = registry.echo_for(to);
            digest.summary = registry.summary(kind, to, &base.summary, digest.sent);
            let changes = digest.target_changes.as_ref();
            if changes.is_some_and(|batch| !batch.changes.is_empty()) {
                digest.summary.loads.clear();
                digest.is_cut = true;
            }
            (address, digest)
        };
        let near = Cell::new(None);
        let order = LoadOrder {
            is_near: &|target| {
                let hashes = near.take().unwrap_or_else(|| self.near_targets());
                let is_near = hashes.contains(&target);
                near.set(Some(hashes));
                is_near
            },
            first: self.first_load.get(),
        };
        let encoded =
            match datagram::encode_within(DATAGRAM_LIMIT_BYTES, &mut digest, &order, &self.key) {
                Ok(Some(encoded)) => encoded,
                Ok(None) => {
                    spdlog::warn!("peers.too_large", kv: { peer = to.as_str() });
                    return;
                }
                Err(error) => {
                    spdlog::warn!("peers.send_failed", kv: { peer = to.as_str(), error: });
                    return;
                }
            };
        if let Some(first_cut) = encoded.first_cut {
            self.first_load.set(first_cut);
        }
        let metrics = &self.gateway.metrics;
        metrics.record_digest_sent(kind_label(kind), encoded.datagram.len(), encoded.cut_loads);
        if let Err(error) = self.socket.send_to(&encoded.datagram, address).await {
            spdlog::debug!("peers.send_failed", kv: { peer = to.as_str(), error: });
        }
    }

    /// Returns the hashes of the targets of this data centre, which its hosts use most.
    fn near_targets(&self) -> HashSet<u32> {
        let own = &self.gateway.settings.data_centre;
        let targets = self.gateway.targets.all();
        let near = targets
            .iter()
            .filter(|target| target.entry.borrow().data_centre == *own);
        near.map(|target| target.id_hash).collect()
    }

    /// Receives digests and applies them. Never returns.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM_LIMIT_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => {
                    let answer = self.handle_datagram(&buffer[..length]);
                    if let Some(Answer {
                        to,
                        kind,
                        targets_next,
                    }) = answer
                    {
                        let mut base = self.own_digest();
                        base.target_changes = self.missed_changes(targets_next);
                        self.send(&base, kind, &to).await;
                    }
                }
                Err(error) => {
                    spdlog::warn!("peers.receive_failed", kv: { error: });
                    sleep(RECEIVE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Applies a datagram, and returns the digest to answer with, or `None`.
    fn handle_datagram(&self, datagram: &[u8]) -> Option<Answer> {
        let Some(sender) = datagram::claimed_sender(datagram) else {
            spdlog::warn!("peers.forged", kv: { reason = "malformed" });
            return None;
        };
        let key = self.gateway.peers.borrow().key_of(&sender);
        let Some(key) = key else {
            self.is_list_outdated.set(true);
            return None;
        };
        let Some(digest) = datagram::decode_authenticated(datagram, &key) else {
            // A host that restarted has a new key.
            self.is_list_outdated.set(true);
            spdlog::warn!("peers.forged", kv: { reason = "seal", peer = sender.as_str() });
            return None;
        };
        self.gateway
            .metrics
            .record_digest_received(kind_label(digest.kind), datagram.len());
        let targets_next = digest.targets_next;
        let kind = self.apply_digest(&sender, digest)?;
        Some(Answer {
            to: sender,
            kind,
            targets_next,
        })
    }

    fn apply_digest(&self, sender: &HostId, digest: Digest) -> Option<MessageKind> {
        let gateway = &self.gateway;
        let now = Instant::now();
        let echo = digest.echo_before(BootTime::now());
        gateway.platform.store.observe_era(digest.store_era);
        gateway.merge_suspect_states(&digest.suspect_states, sender);
        gateway.merge_limits(&digest.limits, sender, now);
        if let Some(echo) = echo {
            for age in [digest.table_age, digest.targets_age].into_iter().flatten() {
                gateway.targets.record_store_answer(echo.earlier(age));
            }
        }
        // The peer measured the ages in its digest after this host had sent the digest that it
        // echoes. Counted back from the echo, they never make a reading look newer than it is.
        if let Some(echo) = echo {
            // What a peer knows of an older era is no confirmation: the store may have other tables.
            if let Some(age) = digest.table_age
                && digest.store_era == gateway.platform.store.era()
            {
                gateway.table_cache.confirm(
                    digest.table_version,
                    digest.store_era,
                    echo.earlier(age),
                    sender,
                );
            }
            if let (Some(batch), Some(age)) = (&digest.target_changes, digest.targets_age) {
                gateway.targets.apply_peer_changes(
                    batch.from,
                    &batch.changes,
                    digest.targets_next,
                    echo.earlier(age),
                );
            } else if let Some(age) = digest.targets_age
                && digest.targets_next == gateway.targets.next()
            {
                gateway.targets.confirm_current(echo.earlier(age));
            }
        }
        // The hosts that report to a relay hear of it only through the relay.
        let avoided = &digest.summary.avoided;
        if digest.kind == MessageKind::Report && !avoided.is_empty() && is_relay(gateway) {
            let known = gateway.peers_view();
            if avoided
                .keys()
                .any(|target| !known.avoided.contains_key(target))
            {
                gateway.urgent_change.notify_one();
            }
        }
        let newest_version = digest
            .table_version
            .max(digest.summary.newest_table_version);
        if newest_version > gateway.table_cache.version() {
            gateway.newer_table_notify.notify_one();
        }
        let kind = gateway
            .peers
            .borrow_mut()
            .record_digest(sender, digest, BootTime::now());
        gateway.urgency.record_digest(now);
        kind
    }
}

fn log_change(change: &Change) {
    match change {
        Change::IsRelay(is_relay) => {
            spdlog::info!("peers.relay_role", kv: { is_relay = *is_relay });
        }
        Change::FirstRelay {
            before,
            after,
            reason,
        } => {
            spdlog::info!("peers.first_relay", kv: {
                before = before.as_deref().unwrap_or(""),
                after = after.as_deref().unwrap_or(""),
                reason = *reason,
            });
        }
    }
}

fn kind_label(kind: MessageKind) -> &'static str {
    match kind {
        MessageKind::Report => "report",
        MessageKind::Summary => "summary",
        MessageKind::Region => "region",
        MessageKind::RegionAnswer => "region_answer",
    }
}

/// Returns whether this host is one of those that read the store for the others.
pub fn is_reader(gateway: &Gateway) -> bool {
    gateway.peers.borrow().is_reader(BootTime::now())
}

/// Returns whether this host is a relay of its data centre.
pub fn is_relay(gateway: &Gateway) -> bool {
    gateway.peers.borrow().is_relay(BootTime::now())
}
