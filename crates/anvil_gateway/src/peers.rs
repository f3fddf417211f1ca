//! Exchanges datagrams with other gateways: the requests that each has in flight, what each has
//! read from the store, and how old that reading is. A gateway that hears from no peer keeps
//! working and reads the store more often itself.

mod datagram;
mod message;
mod view;

#[cfg(test)]
mod tests;

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use anvil_core::id::{
    HostId,
    Offset, //
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
    knowledge::Source,
    port::{
        Era,
        HostEntry,
        TargetChange, //
    },
    target::AvoidReason,
};

pub use datagram::DatagramKey;
pub use message::{
    Digest,
    SlowTarget,
    TargetChangeBatch,
    TargetLoad, //
};
pub use view::{
    PeerLoad,
    PeerRegistry, //
};

/// Interval between two digests to a peer in the same data centre. Two hosts that choose targets
/// within one interval don't know of each other's requests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(150);
/// Rounds, one per [`DIGEST_INTERVAL`], between two digests to a peer in another data centre.
/// Traffic there costs more.
const REMOTE_PEER_ROUNDS: u64 = 4;
/// Rounds between two digests to a peer that is not live.
const SILENT_PEER_ROUNDS: u64 = 10;
/// Largest datagram. It fits into one packet on any link.
const DATAGRAM_LIMIT_BYTES: usize = 1400;
/// Delay between registering this host and reading the host list, so that hosts that start together
/// find one another.
const HOST_LIST_DELAY: Duration = Duration::from_millis(400);
/// Shortest interval between two reads of the host list, which unknown senders trigger.
const HOST_LIST_INTERVAL: Duration = Duration::from_millis(1500);
/// The same interval for a host whose peers read the store for it. It is longer because in a
/// rolling restart every host would otherwise read the list once for each host that restarts.
const HOST_LIST_INTERVAL_NON_READER: Duration = Duration::from_secs(5);
/// Delay before registering is tried again after a failed call to the store.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Sends digests to the other gateways and receives theirs.
pub struct Peers {
    gateway: Rc<Gateway>,
    socket: UdpSocket,
    key: DatagramKey,
    round: Cell<u64>,
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
        Ok(Self {
            socket: UdpSocket::bind(gateway.settings.peers).await?,
            key: DatagramKey::generate(&gateway),
            gateway,
            round: Cell::new(0),
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
        };
        let mut registered_era = self.register(&entry).await;
        sleep(HOST_LIST_DELAY).await;
        loop {
            if registered_era != self.gateway.platform.store.era() {
                // The store may have lost the entry.
                registered_era = self.register(&entry).await;
                self.gateway.keep_quarantine_in_store();
            }
            if self.is_list_outdated.replace(false) {
                match self.gateway.platform.store.registry().await {
                    Ok(registry) => {
                        self.apply_host_list(registry.hosts);
                        self.gateway.merge_quarantine_entries(registry.quarantined);
                    }
                    Err(error) => {
                        spdlog::warn!("peers.list_failed", kv: { error: });
                        self.is_list_outdated.set(true);
                    }
                }
            }
            sleep(match is_reader(&self.gateway) {
                true => HOST_LIST_INTERVAL,
                false => HOST_LIST_INTERVAL_NON_READER,
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

    fn apply_host_list(&self, hosts: Vec<HostEntry>) {
        let own = &self.gateway.settings.host_id;
        let mut registry = self.gateway.peers.borrow_mut();
        for host in hosts {
            if host.id == *own {
                continue;
            }
            let Some(key) = DatagramKey::from_hex(&host.key) else {
                spdlog::warn!("peers.unreadable", kv: { peer = host.id.as_str() });
                continue;
            };
            registry.register(host.id, host.address, key);
        }
        registry.record_listed();
        spdlog::info!("peers.listed", kv: { peers = registry.len() });
    }

    /// Sends digests to the peers in rounds. Never returns.
    pub async fn send_digests(self: Rc<Self>) {
        loop {
            let interval = self
                .gateway
                .random_duration(DIGEST_INTERVAL.mul_f64(0.9), DIGEST_INTERVAL);
            let next_round = Instant::now() + interval;
            tokio::select! {
                () = sleep_until(next_round) => {}
                () = self.gateway.quarantine_changed.notified() => {
                    self.send_to_live_peers().await;
                    sleep_until(next_round).await;
                }
            }
            self.send_round().await;
        }
    }

    async fn send_round(&self) {
        let round = self.round.get();
        self.round.set(round + 1);
        let now = Instant::now();
        let mut digest = self.digest();
        let recipients = self.gateway.peers.borrow().recipients(now);
        for recipient in recipients {
            let rounds = match (recipient.is_live, recipient.data_centre.as_ref()) {
                (false, _) => SILENT_PEER_ROUNDS,
                (true, Some(data_centre)) if *data_centre == self.gateway.settings.data_centre => 1,
                (true, _) => REMOTE_PEER_ROUNDS,
            };
            // The index spreads the peers over the rounds.
            if (round + recipient.index as u64).is_multiple_of(rounds) {
                digest.echo = recipient.echo;
                self.send(&mut digest, recipient.address).await;
            }
        }
    }

    /// Sends a digest to all live peers without waiting for their rounds.
    async fn send_to_live_peers(&self) {
        let mut digest = self.digest();
        let recipients = self.gateway.peers.borrow().recipients(Instant::now());
        for recipient in recipients.into_iter().filter(|recipient| recipient.is_live) {
            digest.echo = recipient.echo;
            self.send(&mut digest, recipient.address).await;
        }
    }

    /// Sends target changes to the peers of this data centre without waiting for the next round.
    pub async fn send_changes(&self, from: Offset, changes: &[TargetChange]) {
        let mut digest = self.digest();
        digest.target_changes = Some(TargetChangeBatch {
            from,
            changes: changes.to_vec(),
        });
        let recipients = self.gateway.peers.borrow().recipients(Instant::now());
        for recipient in recipients {
            let is_same_data_centre =
                recipient.data_centre.as_ref() == Some(&self.gateway.settings.data_centre);
            if recipient.is_live && is_same_data_centre {
                digest.echo = recipient.echo;
                self.send(&mut digest, recipient.address).await;
            }
        }
    }

    fn digest(&self) -> Digest {
        let gateway = &self.gateway;
        let now = Instant::now();
        Digest {
            host: gateway.settings.host_id.clone(),
            data_centre: gateway.settings.data_centre.clone(),
            processor_millis: gateway.settings.processor_millis(),
            sent: BootTime::now(),
            echo: None,
            table_version: gateway.table_cache.version(),
            table_age: gateway.table_cache.age(),
            store_era: gateway.platform.store.era(),
            targets_next: gateway.targets.next(),
            targets_age: gateway.targets.age(),
            loads: gateway.targets.own_loads(),
            avoided: gateway.targets.own_avoided(AvoidReason::Unresponsive, now),
            refusing: gateway.targets.own_avoided(AvoidReason::Refusing, now),
            leaving: gateway.targets.own_leaving(),
            slow: gateway.targets.own_slow(now),
            requests_per_s: gateway.own_requests_per_s(),
            limits: gateway.shared_limits(now),
            suspect_states: gateway.shared_suspect_states(),
            target_changes: None,
        }
    }

    /// Sends a digest, shortened if it is too large for a datagram.
    async fn send(&self, digest: &mut Digest, address: SocketAddr) {
        let datagram = match datagram::encode_within(DATAGRAM_LIMIT_BYTES, digest, &self.key) {
            Ok(Some(datagram)) => datagram,
            Ok(None) => {
                spdlog::warn!("peers.too_large", kv: { peer: = address });
                return;
            }
            Err(error) => {
                spdlog::warn!("peers.send_failed", kv: { peer: = address, error: });
                return;
            }
        };
        if let Err(error) = self.socket.send_to(&datagram, address).await {
            spdlog::debug!("peers.send_failed", kv: { peer: = address, error: });
        }
    }

    /// Receives digests and applies them. Never returns.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM_LIMIT_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => self.handle_datagram(&buffer[..length]),
                Err(error) => {
                    spdlog::warn!("peers.receive_failed", kv: { error: });
                    sleep(DIGEST_INTERVAL).await;
                }
            }
        }
    }

    fn handle_datagram(&self, datagram: &[u8]) {
        let Some(sender) = datagram::claimed_sender(datagram) else {
            spdlog::warn!("peers.forged", kv: { reason = "malformed" });
            return;
        };
        let key = self.gateway.peers.borrow().key_of(&sender);
        let Some(key) = key else {
            self.is_list_outdated.set(true);
            return;
        };
        let Some(digest) = datagram::decode_authenticated(datagram, &key) else {
            // A host that restarted has a new key.
            self.is_list_outdated.set(true);
            spdlog::warn!("peers.forged", kv: { reason = "seal", peer = sender.as_str() });
            return;
        };
        self.apply_digest(&sender, digest);
    }

    fn apply_digest(&self, sender: &HostId, digest: Digest) {
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
                && digest.table_version == gateway.table_cache.version()
            {
                gateway
                    .table_cache
                    .confirm_current(echo.earlier(age), Source::Peer(sender.clone()));
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
        if digest.table_version > gateway.table_cache.version() {
            gateway.newer_table_notify.notify_one();
        }
        gateway
            .peers
            .borrow_mut()
            .record_digest(sender, digest, now);
    }
}

/// Returns whether this host is one of those that read the store for their data centre.
pub fn is_reader(gateway: &Gateway) -> bool {
    gateway.peers.borrow().is_reader(
        &gateway.settings.host_id,
        gateway.settings.processor_millis(),
        &gateway.settings.data_centre,
        Instant::now(),
    )
}
