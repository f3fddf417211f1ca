//! The hosts that are believed to live, as those see them who share work among them.

use std::sync::Arc;

use anvil_core::{
    id::{
        DataCentreId,
        HostId, //
    },
    rendezvous, //
};

use crate::{
    membership::Membership,
    port::PeerAddress, //
};

/// A live host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name and peer address.
    pub address: PeerAddress,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

/// The hosts that are believed to live. No safety rests on it.
pub trait Roster: Send + Sync + 'static {
    /// Every live host, this one included unless it leaves.
    fn members(&self) -> Vec<Member>;
}

/// The `count` members that come first for a key by rendezvous hashing, best first.
pub fn choose(members: &[Member], key: &str, count: usize) -> Vec<Member> {
    let names = members.iter().map(|member| &member.address.id);
    let by_name = |name: &HostId| {
        members
            .iter()
            .find(|member| member.address.id == *name)
            .cloned()
    };
    rendezvous::choose_many(key, names, count)
        .into_iter()
        .filter_map(by_name)
        .collect()
}

/// The hosts that gossip and the platform's list show.
#[derive(Clone)]
pub struct MembershipRoster {
    /// What this host knows of the others.
    pub membership: Arc<Membership>,
    /// This host.
    pub own: Member,
}

impl Roster for MembershipRoster {
    fn members(&self) -> Vec<Member> {
        let view = self.membership.view();
        let own = view.live_hosts.contains(&self.own.address.id);
        let others = view.peers.iter().map(|peer| Member {
            address: peer.address.clone(),
            data_centre: peer.data_centre.clone(),
        });
        others.chain(own.then(|| self.own.clone())).collect()
    }
}
