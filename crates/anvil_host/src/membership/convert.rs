//! Converts membership facts to and from wire messages.

use anvil_core::membership::{
    Fact,
    FactVersion,
    State, //
};
use anvil_wire::generated::peer_gossip::{
    HostFact,
    HostState, //
};
use smol_str::ToSmolStr;

/// Converts a fact into a wire message.
pub fn to_wire(fact: &Fact) -> HostFact {
    HostFact {
        host: fact.host.clone(),
        address: fact.address.to_smolstr(),
        data_centre: fact.data_centre.clone(),
        incarnation: fact.version.incarnation,
        refutations: fact.version.refutations,
        state: match fact.state {
            State::Alive => HostState::Alive,
            State::Suspect => HostState::Suspect,
            State::Dead => HostState::Dead,
            State::Left => HostState::Left,
        },
    }
}

/// Converts a wire message into a fact, or `None` if its address is unreadable.
pub fn from_wire(fact: HostFact) -> Option<Fact> {
    Some(Fact {
        address: fact.address.parse().ok()?,
        host: fact.host,
        data_centre: fact.data_centre,
        version: FactVersion {
            incarnation: fact.incarnation,
            refutations: fact.refutations,
        },
        state: match fact.state {
            HostState::Alive => State::Alive,
            HostState::Suspect => State::Suspect,
            HostState::Dead => State::Dead,
            HostState::Left => State::Left,
        },
    })
}
