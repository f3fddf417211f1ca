//! Keeps the membership table: probes peers, answers probes, and applies the platform's list.

mod convert;
mod gossip;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Instant, //
};

use anvil_core::{
    id::{
        DataCentreId,
        HostId, //
    },
    membership::{
        Fact,
        FactVersion,
        State,
        table::{
            Change,
            ListedHost,
            Table, //
        }, //
    }, //
};
use anvil_settings::Settings;
use arc_swap::ArcSwap;
use tokio::sync::watch;

pub use gossip::{
    PATH,
    announce_leave,
    handle_gossip,
    run, //
};

use crate::{
    listing::Snapshot,
    port::{
        ListRole,
        ListState,
        PeerAddress, //
    }, //
};

/// A live host other than this one, as the membership table has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name and peer address of the host.
    pub address: PeerAddress,
    /// Data centre of the host, as gossip or the platform's list states it.
    pub data_centre: DataCentreId,
}

/// A snapshot of the fleet as this host sees it.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// Live hosts other than this one, sorted by name.
    pub peers: Vec<Peer>,
    /// Names of the live hosts, sorted; this host is one of them unless it is leaving.
    pub live_hosts: Vec<HostId>,
    /// Names of the hosts in `live_hosts` that are not suspected, sorted.
    pub alive_hosts: Vec<HostId>,
    /// Number of hosts that are in service according to the platform's newest list.
    pub listed_host_count: usize,
    /// When that list was fetched; `None` before the first list.
    pub list_fetched_at: Option<Instant>,
}

impl MembershipView {
    /// Returns a live peer, or `None` if the host is not live or is this one.
    pub fn peer(&self, host: &HostId) -> Option<&Peer> {
        self.peers
            .binary_search_by(|peer| peer.address.id.cmp(host))
            .ok()
            .map(|index| &self.peers[index])
    }
}

/// The membership table, with a snapshot that request handlers read without taking its lock.
pub struct Membership {
    table: Mutex<Table>,
    view: ArcSwap<MembershipView>,
    changed: watch::Sender<u64>,
}

impl Membership {
    /// Creates a table that holds this host alone. Its peer address is set later by
    /// [`Membership::set_peer_address`].
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        let own = Fact {
            host: settings.host_id.clone(),
            address: settings.listen.peers,
            data_centre: settings.data_centre.clone(),
            version: FactVersion {
                incarnation,
                refutations: 0,
            },
            state: State::Alive,
        };
        let membership = Self {
            table: Mutex::new(Table::new(own, settings.membership)),
            view: ArcSwap::default(),
            changed: watch::Sender::new(0),
        };
        membership.publish(None);
        membership
    }

    /// Sets the address at which peers reach this host, once it is known.
    pub fn set_peer_address(&self, address: SocketAddr) {
        self.table().set_address(address);
    }

    /// Returns the newest snapshot of the fleet.
    pub fn view(&self) -> arc_swap::Guard<Arc<MembershipView>> {
        self.view.load()
    }

    /// Returns a receiver that is notified of each change of the live or the alive hosts.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Records a call that could not be sent to a peer, which counts as a failed probe.
    pub fn record_unreachable(&self, host: &HostId) {
        let change = self.table().probe_failed(host, Instant::now());
        self.publish_changes(change);
    }

    /// Returns the hosts that are suspected now, each with the version of the fact on which the
    /// suspicion rests.
    pub fn suspects(&self) -> Vec<(HostId, FactVersion)> {
        self.table()
            .suspects()
            .map(|(host, version)| (host.clone(), version))
            .collect()
    }

    /// Merges another host's suspicions into the table.
    pub fn merge_suspicions(&self, suspects: impl IntoIterator<Item = (HostId, FactVersion)>) {
        let now = Instant::now();
        let changes: Vec<_> = {
            let mut table = self.table();
            suspects
                .into_iter()
                .filter_map(|(host, version)| table.merge_suspicion(&host, version, now))
                .collect()
        };
        self.publish_changes(changes);
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        // Every method leaves the table consistent before it can panic, so a poisoned lock is safe
        // to use.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn merge(&self, facts: Vec<Fact>, now: Instant) {
        let changes: Vec<_> = {
            let mut table = self.table();
            facts
                .into_iter()
                .filter_map(|fact| table.merge(fact, now))
                .collect()
        };
        self.publish_changes(changes);
    }

    /// Applies the platform's list, which was fetched at `fetched`, to the table.
    pub fn apply_list(&self, list: &Snapshot, fetched: Instant) {
        let listed: Vec<_> = list
            .entries()
            .filter(|entry| entry.role == ListRole::Host && entry.state == ListState::Live)
            .map(|entry| ListedHost {
                host: entry.name.clone(),
                address: entry.address,
                data_centre: entry.data_centre.clone(),
            })
            .collect();
        let changes = self.table().apply_list(&listed, Instant::now());
        log_changes(&changes);
        self.publish(Some(fetched));
    }

    fn publish_changes(&self, changes: impl IntoIterator<Item = Change>) {
        let changes: Vec<_> = changes.into_iter().collect();
        if changes.is_empty() {
            return;
        }
        log_changes(&changes);
        self.publish(None);
    }

    /// Publishes a new snapshot, and notifies receivers if the live or the alive hosts changed.
    fn publish(&self, list_fetched_at: Option<Instant>) {
        let table = self.table();
        let mut peers: Vec<_> = table
            .live()
            .map(|fact| Peer {
                address: PeerAddress {
                    id: fact.host.clone(),
                    address: fact.address,
                },
                data_centre: fact.data_centre.clone(),
            })
            .collect();
        peers.sort_unstable_by(|left, right| left.address.id.cmp(&right.address.id));
        let mut live_hosts = table.live_names();
        live_hosts.sort_unstable();
        let mut alive_hosts = table.alive_names();
        alive_hosts.sort_unstable();
        let old = self.view.load();
        let list_fetched_at = list_fetched_at.or(old.list_fetched_at);
        let changed = live_hosts != old.live_hosts || alive_hosts != old.alive_hosts;
        // The snapshot is stored while the table is locked, so that an older one never replaces a
        // newer one.
        self.view.store(Arc::new(MembershipView {
            peers,
            live_hosts,
            alive_hosts,
            listed_host_count: table.listed_hosts(),
            list_fetched_at,
        }));
        drop(table);
        if changed {
            self.changed.send_modify(|count| *count += 1);
        }
    }
}

fn log_changes(changes: &[Change]) {
    for change in changes {
        spdlog::info!("membership.changed", kv: {
            host = change.host.as_str(),
            from = change.from.map_or("unknown", State::name),
            to = change.to.map_or("unknown", State::name),
            reason = change.cause.name(),
        });
    }
}
