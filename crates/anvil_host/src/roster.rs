//! The hosts that are believed to be live, for components that share work among hosts.

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

/// A host that is believed to be live.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name and peer address of the host.
    pub address: PeerAddress,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
}

/// The hosts that are believed to be live. It may be wrong, so correctness must not depend on it.
pub trait Roster: Send + Sync + 'static {
    /// Returns every live host, including this one unless it is leaving.
    fn members(&self) -> Vec<Member>;
}

/// Returns the `count` members that rank first for a key by rendezvous hashing, best first.
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

/// A roster made from gossip and the platform's list.
#[derive(Clone)]
pub struct MembershipRoster {
    /// Membership table of this host.
    pub membership: Arc<Membership>,
    /// This host, which the table's view of peers leaves out.
    pub own: Member,
}

impl Roster for MembershipRoster {
    fn members(&self) -> Vec<Member> {
        let view = self.membership.view();
        let is_live = view.live_hosts.contains(&self.own.address.id);
        let others = view.peers.iter().map(|peer| Member {
            address: peer.address.clone(),
            data_centre: peer.data_centre.clone(),
        });
        others.chain(is_live.then(|| self.own.clone())).collect()
    }
}
