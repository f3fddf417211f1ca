//! Keeps the table of hosts: probes peers, answers probes, and takes in the platform's list.

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

/// A live host other than this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name and address.
    pub address: PeerAddress,
    /// Data centre.
    pub data_centre: DataCentreId,
}

/// The fleet as this host sees it now.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// Live hosts other than this one, by name.
    pub peers: Vec<Peer>,
    /// Names of the live hosts, this one included unless it leaves, sorted.
    pub live_hosts: Vec<HostId>,
    /// Those of `live_hosts` that aren't suspected, sorted.
    pub alive_hosts: Vec<HostId>,
    /// Hosts in service by the platform's newest list.
    pub listed_host_count: usize,
    /// When that list was fetched.
    pub list_fetched_at: Option<Instant>,
}

impl MembershipView {
    /// Finds a live peer.
    pub fn peer(&self, host: &HostId) -> Option<&Peer> {
        self.peers
            .binary_search_by(|peer| peer.address.id.cmp(host))
            .ok()
            .map(|index| &self.peers[index])
    }
}

/// The table of hosts, with a snapshot for those who read it on a request's path.
pub struct Membership {
    table: Mutex<Table>,
    view: ArcSwap<MembershipView>,
    changed: watch::Sender<u64>,
}

impl Membership {
    /// Starts with this host alone. Its peer address is set by [`Membership::set_peer_address`].
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

    /// The fleet as this host sees it now.
    pub fn view(&self) -> arc_swap::Guard<Arc<MembershipView>> {
        self.view.load()
    }

    /// Tells of each change of the live hosts.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Counts a call to a peer that could not even be sent, as a failed probe.
    pub fn record_unreachable(&self, host: &HostId) {
        let change = self.table().probe_failed(host, Instant::now());
        self.publish_changes(change);
    }

    /// Hosts that are suspected now, with the age of the word on which that rests.
    pub fn suspects(&self) -> Vec<(HostId, FactVersion)> {
        self.table()
            .suspects()
            .map(|(host, version)| (host.clone(), version))
            .collect()
    }

    /// Takes in another host's suspicions.
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
        // Every method leaves the table whole before it can panic, so a poisoned lock is usable.
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

    /// Takes in the platform's list, which was fetched at `fetched`.
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
        log(&changes);
        self.publish(Some(fetched));
    }

    fn publish_changes(&self, changes: impl IntoIterator<Item = Change>) {
        let changes: Vec<_> = changes.into_iter().collect();
        if changes.is_empty() {
            return;
        }
        log(&changes);
        self.publish(None);
    }

    /// Publishes a new snapshot.
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
        // Stored under the table's lock, so that an older snapshot never replaces a newer one.
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

fn log(changes: &[Change]) {
    for change in changes {
        spdlog::info!("membership.changed", kv: {
            host = change.host.as_str(),
            from = change.from.map_or("unknown", State::name),
            to = change.to.map_or("unknown", State::name),
            reason = change.cause.name(),
        });
    }
}
