//! Fake of the roster, which a test can change.

use std::sync::Mutex;

use crate::{
    port::PeerAddress,
    roster::{
        Member,
        Roster, //
    }, //
};

/// A roster of hosts `host-0`, `host-1` and so on, spread evenly over data centres `dc-0`, `dc-1`
/// and so on.
pub struct FakeRoster {
    members: Mutex<Vec<Member>>,
}

impl FakeRoster {
    /// Creates a roster with all hosts on it.
    pub fn new(host_count: usize, data_centre_count: usize) -> Self {
        let members = (0..host_count)
            .map(|number| Member {
                address: PeerAddress {
                    id: format!("host-{number}").into(),
                    address: "127.0.0.1:1".parse().unwrap(),
                },
                data_centre: format!("dc-{}", number % data_centre_count).into(),
            })
            .collect();
        Self {
            members: Mutex::new(members),
        }
    }

    /// Removes a host from the roster.
    pub fn remove(&self, host: &str) {
        let mut members = self.members.lock().unwrap();
        members.retain(|member| member.address.id != host);
    }
}

impl Roster for FakeRoster {
    fn members(&self) -> Vec<Member> {
        self.members.lock().unwrap().clone()
    }
}
