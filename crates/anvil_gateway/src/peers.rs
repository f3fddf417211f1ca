//! What gateways tell one another in datagrams: their requests in flight, what they read from the
//! store, and how old it is. Each gateway can do without; then it reads more itself.

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
        sleep, //
    },
};

use crate::{
    clock::BootTime,
    gateway::Gateway,
    port::{
        HostEntry,
        TargetChange, //
    },
    target::AvoidReason,
};

pub use datagram::Key;
pub use message::{
    Digest,
    News,
    SlowTarget,
    TargetLoad, //
};
pub use view::{
    PeerLoad,
    PeerRegistry, //
};

/// Time between two digests to a peer in the same data centre. Requests that two hosts place in
/// that time don't know of one another.
const NEAR_PERIOD: Duration = Duration::from_millis(150);
/// Rounds between two digests to a peer in another data centre, whose bytes are dearer.
const FAR_ROUNDS: u64 = 4;
/// Rounds between two digests to a peer that is not heard of.
const SILENT_ROUNDS: u64 = 10;
/// Largest datagram: one packet on any link.
const DATAGRAM_LIMIT_BYTES: usize = 1400;
/// Wait after this host registered until it reads the list: hosts that start together find one
/// another.
const REGISTER_WAIT: Duration = Duration::from_millis(400);
/// Shortest time between two readings of the list of hosts, asked for by unknown senders.
const HOSTS_READ_MIN: Duration = Duration::from_millis(1500);
/// The same for hosts for which others read: while hosts restart in turn, each reading of every
/// host would show one change.
const HOSTS_READ_RELAYED_MIN: Duration = Duration::from_secs(5);
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// The exchange with other gateways.
pub struct Peers {
    gateway: Rc<Gateway>,
    socket: UdpSocket,
    key: Key,
    round: Cell<u64>,
    /// Whether a sender was unknown since the list of hosts was read.
    is_list_outdated: Cell<bool>,
}

impl Peers {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// An address that can't be bound.
    pub async fn open(gateway: Rc<Gateway>) -> std::io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(gateway.settings.peers).await?,
            key: Key::draw(&gateway),
            gateway,
            round: Cell::new(0),
            is_list_outdated: Cell::new(true),
        })
    }

    /// Registers this host and reads the list of hosts, at the start and when a sender is unknown.
    pub async fn maintain_host_list(self: Rc<Self>) {
        let entry = HostEntry {
            id: self.gateway.settings.host_id.clone(),
            address: self.gateway.settings.peers,
            key: self.key.text(),
        };
        while let Err(error) = self.gateway.platform.store.register_host(&entry).await {
            spdlog::warn!("peers.register_failed", kv: { error: });
            sleep(RETRY_PAUSE).await;
        }
        sleep(REGISTER_WAIT).await;
        loop {
            if self.is_list_outdated.replace(false) {
                match self.gateway.platform.store.hosts().await {
                    Ok(hosts) => self.take_hosts(hosts),
                    Err(error) => {
                        spdlog::warn!("peers.list_failed", kv: { error: });
                        self.is_list_outdated.set(true);
                    }
                }
            }
            sleep(match is_reader(&self.gateway) {
                true => HOSTS_READ_MIN,
                false => HOSTS_READ_RELAYED_MIN,
            })
            .await;
        }
    }

    fn take_hosts(&self, hosts: Vec<HostEntry>) {
        let own = &self.gateway.settings.host_id;
        let mut view = self.gateway.peers.borrow_mut();
        for host in hosts {
            if host.id == *own {
                continue;
            }
            let Some(key) = Key::from_hex(&host.key) else {
                spdlog::warn!("peers.unreadable", kv: { peer = host.id.as_str() });
                continue;
            };
            view.register(host.id, host.address, key);
        }
        view.note_listed();
        spdlog::info!("peers.listed", kv: { peers = view.len() });
    }

    /// Sends digests for ever.
    pub async fn send_digests(self: Rc<Self>) {
        loop {
            sleep(
                self.gateway
                    .random_duration(NEAR_PERIOD.mul_f64(0.9), NEAR_PERIOD),
            )
            .await;
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
            let rounds = match (recipient.is_heard, recipient.data_centre.as_ref()) {
                (false, _) => SILENT_ROUNDS,
                (true, Some(near)) if *near == self.gateway.settings.data_centre => 1,
                (true, _) => FAR_ROUNDS,
            };
            // Different peers' turns come in different rounds.
            if (round + recipient.index as u64).is_multiple_of(rounds) {
                digest.echo = recipient.last_sent;
                self.send(&digest, recipient.address).await;
            }
        }
    }

    /// Tells the peers of this data centre at once what changed.
    pub async fn broadcast_changes(&self, from: Offset, changes: &[TargetChange]) {
        let mut digest = self.digest();
        digest.news = Some(News {
            from,
            changes: changes.to_vec(),
        });
        let recipients = self.gateway.peers.borrow().recipients(Instant::now());
        for recipient in recipients {
            let is_near =
                recipient.data_centre.as_ref() == Some(&self.gateway.settings.data_centre);
            if recipient.is_heard && is_near {
                digest.echo = recipient.last_sent;
                self.send(&digest, recipient.address).await;
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
            table_version: gateway
                .table_cache
                .table()
                .map_or(0, |table| table.version()),
            table_age: gateway.table_cache.age(),
            targets_next: gateway.targets.next_offset(),
            targets_age: gateway.targets.age(),
            loads: gateway.targets.own_loads(),
            avoided: gateway.targets.own_avoided(AvoidReason::Unresponsive, now),
            refusing: gateway.targets.own_avoided(AvoidReason::Refusing, now),
            slow: gateway.targets.own_slow(now),
            news: None,
        }
    }

    async fn send(&self, digest: &Digest, address: SocketAddr) {
        let datagram = match datagram::seal(digest, &self.key) {
            Ok(datagram) => datagram,
            Err(error) => {
                spdlog::warn!("peers.send_failed", kv: { peer: = address, error: });
                return;
            }
        };
        if datagram.len() > DATAGRAM_LIMIT_BYTES {
            // The receivers read the list themselves.
            spdlog::debug!("peers.too_large", kv: { bytes = datagram.len() });
            return;
        }
        if let Err(error) = self.socket.send_to(&datagram, address).await {
            spdlog::debug!("peers.send_failed", kv: { peer: = address, error: });
        }
    }

    /// Takes in digests for ever.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM_LIMIT_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => self.take(&buffer[..length]),
                Err(error) => {
                    spdlog::warn!("peers.receive_failed", kv: { error: });
                    sleep(NEAR_PERIOD).await;
                }
            }
        }
    }

    fn take(&self, datagram: &[u8]) {
        let Some(sender) = datagram::sender(datagram) else {
            spdlog::warn!("peers.forged", kv: { reason = "malformed" });
            return;
        };
        let key = self.gateway.peers.borrow().key_of(&sender);
        let Some(key) = key else {
            self.is_list_outdated.set(true);
            return;
        };
        let Some(digest) = datagram::open(datagram, &key) else {
            // A host that started again has another key.
            self.is_list_outdated.set(true);
            spdlog::warn!("peers.forged", kv: { reason = "seal", peer = sender.as_str() });
            return;
        };
        self.apply(&sender, digest);
    }

    fn apply(&self, sender: &HostId, digest: Digest) {
        let gateway = &self.gateway;
        let now = Instant::now();
        // What the peer says held after this host sent the digest that it echoes.
        if let Some(echo) = digest.echo {
            if let Some(age) = digest.table_age {
                let version = gateway
                    .table_cache
                    .table()
                    .map_or(0, |table| table.version());
                if digest.table_version == version {
                    gateway.table_cache.confirm_current(echo.earlier(age));
                }
            }
            if let (Some(news), Some(age)) = (&digest.news, digest.targets_age) {
                gateway.targets.apply_peer_changes(
                    news.from,
                    &news.changes,
                    digest.targets_next,
                    echo.earlier(age),
                );
            } else if let Some(age) = digest.targets_age
                && digest.targets_next == gateway.targets.next_offset()
            {
                gateway.targets.confirm_current(echo.earlier(age));
            }
        }
        let version = gateway
            .table_cache
            .table()
            .map_or(0, |table| table.version());
        if digest.table_version > version {
            gateway.newer_table_notify.notify_one();
        }
        gateway
            .peers
            .borrow_mut()
            .record_digest(sender, digest, now);
    }
}

/// Which hosts of a data centre read the store for the others.
pub fn is_reader(gateway: &Gateway) -> bool {
    gateway.peers.borrow().is_reader(
        &gateway.settings.host_id,
        gateway.settings.processor_millis(),
        &gateway.settings.data_centre,
        Instant::now(),
    )
}
