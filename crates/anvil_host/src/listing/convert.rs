//! Converts deltas of the list to and from wire messages.

use std::time::Duration;

use anvil_wire::generated::peer_list::{
    ListReply,
    Listed,
    ListedName,
    ListedRole,
    ListedState, //
};
use smol_str::ToSmolStr;

use super::snapshot::Delta;
use crate::port::{
    ListEntry,
    ListRole,
    ListState, //
};

/// Converts a delta, and the age of the list that it leads to, into a wire message.
pub fn to_wire(delta: Delta, age: Duration) -> ListReply {
    ListReply {
        base: delta.base,
        digest: delta.digest,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        put: delta.put.into_iter().map(entry_to_wire).collect(),
        removed: delta
            .removed
            .into_iter()
            .map(|(role, name)| ListedName {
                role: role_to_wire(role),
                name,
            })
            .collect(),
    }
}

/// Converts a wire message into a delta. Entries with an unreadable address are left out, so the
/// digest does not match when the delta is applied.
pub fn from_wire(reply: ListReply) -> Delta {
    Delta {
        base: reply.base,
        digest: reply.digest,
        put: reply.put.into_iter().filter_map(entry_from_wire).collect(),
        removed: reply
            .removed
            .into_iter()
            .map(|removed| (role_from_wire(removed.role), removed.name))
            .collect(),
    }
}

fn entry_to_wire(entry: ListEntry) -> Listed {
    Listed {
        role: role_to_wire(entry.role),
        name: entry.name,
        address: entry.address.to_smolstr(),
        data_centre: entry.data_centre,
        state: match entry.state {
            ListState::Live => ListedState::Live,
            ListState::Leaving => ListedState::Leaving,
        },
    }
}

fn entry_from_wire(listed: Listed) -> Option<ListEntry> {
    Some(ListEntry {
        address: listed.address.parse().ok()?,
        name: listed.name,
        data_centre: listed.data_centre,
        role: role_from_wire(listed.role),
        state: match listed.state {
            ListedState::Live => ListState::Live,
            ListedState::Leaving => ListState::Leaving,
        },
    })
}

fn role_to_wire(role: ListRole) -> ListedRole {
    match role {
        ListRole::Host => ListedRole::Host,
        ListRole::Target => ListedRole::Target,
    }
}

fn role_from_wire(role: ListedRole) -> ListRole {
    match role {
        ListedRole::Host => ListRole::Host,
        ListedRole::Target => ListRole::Target,
    }
}
