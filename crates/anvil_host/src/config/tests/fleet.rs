//! Configuration followers of several hosts that share one log and call each other.

use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        Ordering, //
    }, //
};

use anvil_core::{
    config::{
        Change,
        Entry,
        Patch,
        Settings, //
    },
    document::Team,
    id::Version, //
};
use futures::FutureExt;
use tokio_util::sync::CancellationToken;

use crate::{
    config::{
        Follower,
        FollowerContext,
        Handle,
        follower::readers, //
    },
    fakes::{
        DisconnectableLog,
        FakeLog,
        FakePeers,
        FakeRoster, //
    },
    roster::Roster, //
};

/// Configuration followers of several hosts, named `host-0`, `host-1` and so on.
pub struct Fleet {
    pub log: Arc<FakeLog>,
    pub peers: Arc<FakePeers>,
    pub roster: Arc<FakeRoster>,
    /// Each host's connection to the log.
    pub host_logs: Vec<Arc<DisconnectableLog>>,
    pub hosts: Vec<Handle>,
    in_force: Vec<Arc<AtomicU64>>,
    stops: Vec<CancellationToken>,
}

impl Fleet {
    pub fn new(host_count: usize, data_centre_count: usize) -> Self {
        let mut fleet = Self {
            log: Arc::default(),
            peers: Arc::default(),
            roster: Arc::new(FakeRoster::new(host_count, data_centre_count)),
            host_logs: Vec::new(),
            hosts: Vec::new(),
            in_force: Vec::new(),
            stops: Vec::new(),
        };
        for number in 0..host_count {
            let host_log = Arc::new(DisconnectableLog::new(fleet.log.clone()));
            fleet.host_logs.push(host_log);
            fleet.in_force.push(Arc::default());
            let (handle, stop) = fleet.start(number);
            fleet.hosts.push(handle);
            fleet.stops.push(stop);
        }
        fleet
    }

    fn start(&self, number: usize) -> (Handle, CancellationToken) {
        let member = self.roster.members()[number].clone();
        let handle = Handle::new(
            Settings::default(),
            "config".into(),
            self.host_logs[number].clone(),
        );
        let in_force = Arc::clone(&self.in_force[number]);
        in_force.store(0, Ordering::Relaxed);
        let follower = Follower::new(
            &handle,
            FollowerContext {
                host: member.address.id.clone(),
                data_centre: member.data_centre,
                peers: self.peers.clone(),
                roster: self.roster.clone(),
                apply_state: Box::new(move |state| {
                    let before = in_force.swap(state.version(), Ordering::Relaxed);
                    assert!(before < state.version(), "the version must increase");
                }),
            },
        );
        let handle_for_peers = handle.clone();
        self.peers.add(member.address.id, move |path, body| {
            let handle = handle_for_peers.clone();
            async move {
                handle
                    .handle_peer_message(path, &body)
                    .await
                    .unwrap_or_default()
            }
            .boxed()
        });
        let stop = CancellationToken::new();
        tokio::spawn(follower.run(stop.clone()));
        (handle, stop)
    }

    /// Stops a host and makes it unreachable.
    pub fn stop(&self, number: usize) {
        self.stops[number].cancel();
        self.peers.remove(&format!("host-{number}"));
    }

    /// Replaces a host by a new one without any state.
    pub fn restart(&mut self, number: usize) {
        self.stop(number);
        let (handle, stop) = self.start(number);
        self.hosts[number] = handle;
        self.stops[number] = stop;
    }

    /// Waits until every host knows whether it is a reader.
    pub async fn settle(&self) {
        tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    }

    /// Returns the version in force on each host.
    pub fn versions(&self) -> Vec<Version> {
        let versions = self.in_force.iter();
        versions
            .map(|version| version.load(Ordering::Relaxed))
            .collect()
    }

    /// Returns the numbers of the hosts that read the log. The fleet must have one data centre.
    pub fn readers(&self) -> Vec<usize> {
        let members = self.roster.members();
        let readers = readers(&members, &members[0].data_centre, &Settings::default());
        let is_reader = |number: &usize| readers.contains(&members[*number]);
        (0..members.len()).filter(is_reader).collect()
    }
}

/// Returns a patch that puts a team whose name is the id of the patch.
pub fn patch(id: &str, base_version: Version) -> Patch {
    let entry = Entry::Team {
        name: id.into(),
        value: Arc::new(Team {
            key_sha256: Vec::new(),
            priority: 0,
            weight: 1,
            limit_requests_per_s: 1,
            limit_tokens_per_s: 1,
            limit_open_requests: 1,
        }),
    };
    Patch {
        patch_id: id.into(),
        base_version,
        author: "operator".into(),
        note: "".into(),
        changes: vec![Change::Put(entry)],
    }
}
