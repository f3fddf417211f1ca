//! Tests that two hosts of a data centre read the platform's list and pass it on to the others.

use std::time::Duration;

use anvil_core::rendezvous;
use anvil_fleet::{
    Builder,
    Fleet, //
};
use anvil_host::port::ListState;
use anvil_standins::fault::Rate;
use anvil_wire::generated::platform::ListState as PlatformListState;
use googletest::prelude::*;
use smol_str::{
    SmolStr,
    format_smolstr, //
};

const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn start_fleet(host_count: usize) -> Fleet {
    let builder = Builder {
        data_centres: vec!["muc-a".into()],
        ..Builder::default()
    };
    let fleet = builder.hosts(host_count).pipeline(1, 2).start().await;
    let fleet = fleet.unwrap();
    wait_until(|| {
        (0..host_count).all(|index| {
            let shared = fleet.host(index).shared();
            shared.membership.view().live_hosts.len() == host_count
        })
    })
    .await;
    fleet
}

async fn wait_until(condition: impl Fn() -> bool) {
    let wait = tokio::time::timeout(TIMEOUT, async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    wait.await.expect("the condition was not met in time");
}

/// Returns the indexes of the two hosts that read the list. The choice is by rendezvous hashing, as
/// in the hosts.
fn readers(host_count: usize) -> Vec<usize> {
    let names: Vec<SmolStr> = (0..host_count)
        .map(|index| format_smolstr!("host-{index}"))
        .collect();
    rendezvous::choose_many("list/muc-a", &names, 2)
        .into_iter()
        .map(|name| names.iter().position(|other| other == name).unwrap())
        .collect()
}

fn sees_leaving(fleet: &Fleet, index: usize, target: &str) -> bool {
    let latest = fleet.host(index).shared().listing.latest();
    latest
        .snapshot
        .entries()
        .any(|entry| entry.name == target && entry.state == ListState::Leaving)
}

fn first_target(fleet: &Fleet) -> SmolStr {
    let latest = fleet.host(0).shared().listing.latest();
    let target = latest
        .snapshot
        .entries()
        .find(|entry| entry.role == anvil_host::port::ListRole::Target);
    target.unwrap().name.clone()
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn listing_shows_leaving_target_on_hosts_that_do_not_read() {
    let fleet = start_fleet(5).await;
    let target = first_target(&fleet);
    fleet.set_list_state(&target, PlatformListState::Leaving);
    for index in 0..5 {
        wait_until(|| sees_leaving(&fleet, index, &target)).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn listing_reaches_hosts_after_both_readers_die() {
    let mut fleet = start_fleet(5).await;
    let target = first_target(&fleet);
    let readers = readers(5);
    for index in &readers {
        fleet.kill_host(*index);
    }
    fleet.set_list_state(&target, PlatformListState::Leaving);
    for index in (0..5).filter(|index| !readers.contains(index)) {
        wait_until(|| sees_leaving(&fleet, index, &target)).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn listing_is_kept_during_host_list_outage() {
    let fleet = start_fleet(3).await;
    let target = first_target(&fleet);
    fleet.host_list.set_refusal_rate(Rate::Always);
    fleet.set_list_state(&target, PlatformListState::Leaving);
    tokio::time::sleep(POLL_INTERVAL).await;
    for index in 0..3 {
        let latest = fleet.host(index).shared().listing.latest();
        expect_that!(latest.snapshot.entries().count(), gt(0));
    }
    fleet.host_list.set_refusal_rate(Rate::Never);
    for index in 0..3 {
        wait_until(|| sees_leaving(&fleet, index, &target)).await;
    }
}
