mod fleet;
mod histories;

use std::time::Duration;

use anvil_core::config::{
    Diff,
    Record,
    SCHEMA, //
};
use googletest::prelude::*;

use self::fleet::{
    Fleet,
    patch, //
};
use super::PatchOutcome;
use crate::{
    fakes::AppendFault,
    port::Log, //
};

const ACCEPTED: PatchOutcome = PatchOutcome::Accepted { version: 1 };

#[gtest]
#[tokio::test(start_paused = true)]
async fn submit_puts_version_in_force_on_every_host() {
    let fleet = Fleet::new(9, 3);
    fleet.settle().await;
    expect_that!(fleet.hosts[0].submit(patch("p", 0)).await, eq(&ACCEPTED));
    tokio::time::sleep(Duration::from_millis(100)).await;
    expect_that!(fleet.versions(), each(eq(&1)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn submit_returns_diff_to_stale_patch() {
    let fleet = Fleet::new(3, 1);
    fleet.settle().await;
    let (left, right) = futures::future::join(
        fleet.hosts[0].submit(patch("left", 0)),
        fleet.hosts[1].submit(patch("right", 0)),
    )
    .await;
    let (stale, winner) = match (&left, &right) {
        (PatchOutcome::Accepted { .. }, stale) => (stale, "left"),
        (stale, _) => (stale, "right"),
    };
    let PatchOutcome::Stale { version: 1, diff } = stale else {
        panic!("one of the two patches must be stale: {left:?} {right:?}");
    };
    let Diff::Complete(since) = diff else {
        panic!("the diff must be complete");
    };
    expect_that!(since[0].patch_id, eq(winner));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn submit_makes_one_version_through_append_faults() {
    let faults = [
        AppendFault::Refuse,
        AppendFault::LoseAnswer,
        AppendFault::Twice,
        AppendFault::Late(Duration::from_secs(1)),
        AppendFault::LoseAnswerThenLate(Duration::from_secs(1)),
    ];
    for fault in faults {
        let fleet = Fleet::new(3, 1);
        fleet.settle().await;
        fleet.log.inject_faults([fault]);
        let outcome = fleet.hosts[0].submit(patch("p", 0)).await;
        expect_that!(outcome, eq(&ACCEPTED), "{fault:?}");
        tokio::time::sleep(Duration::from_secs(3)).await;
        expect_that!(fleet.versions(), each(eq(&1)), "{fault:?}");
        // An operator who did not get the answer submits the patch again.
        let outcome = fleet.hosts[1].submit(patch("p", 0)).await;
        expect_that!(outcome, eq(&ACCEPTED), "{fault:?}");
        expect_that!(fleet.versions(), each(eq(&1)), "{fault:?}");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn submit_returns_not_appended_while_log_is_down() {
    let fleet = Fleet::new(2, 1);
    fleet.settle().await;
    fleet.log.set_down(true);
    let outcome = fleet.hosts[0].submit(patch("p", 0)).await;
    expect_that!(outcome, matches_pattern!(PatchOutcome::NotAppended { .. }));
    fleet.log.set_down(false);
    tokio::time::sleep(Duration::from_secs(10)).await;
    expect_that!(fleet.versions(), each(eq(&0)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn follower_without_log_follows_peers() {
    let fleet = Fleet::new(6, 3);
    fleet.settle().await;
    for host in [0, 1, 3] {
        fleet.host_logs[host].set_disconnected(true);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    expect_that!(fleet.hosts[2].submit(patch("p", 0)).await, eq(&ACCEPTED));
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_that!(fleet.versions(), each(eq(&1)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn follower_starts_from_peers_while_log_is_down() {
    let mut fleet = Fleet::new(4, 2);
    fleet.settle().await;
    expect_that!(fleet.hosts[0].submit(patch("p", 0)).await, eq(&ACCEPTED));
    fleet.settle().await;
    fleet.log.set_down(true);
    fleet.restart(3);
    expect_that!(fleet.versions()[3], eq(0));
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_that!(fleet.versions()[3], eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn follower_starts_from_snapshot_after_retention() {
    let mut fleet = Fleet::new(2, 1);
    fleet.settle().await;
    for base in 0..30 {
        let id = format!("p{base}");
        fleet.hosts[0].submit(patch(&id, base)).await;
    }
    tokio::time::sleep(Duration::from_secs(10)).await;
    fleet.hosts[0].submit(patch("tail", 30)).await;
    fleet.log.truncate_before("config", 25);
    let before = fleet.hosts[0].state();
    // No peer is left to ask, and the log no longer holds all records.
    fleet.stop(0);
    fleet.restart(1);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = fleet.hosts[1].state();
    expect_that!(after.version(), eq(31));
    expect_that!(after.digest(), eq(before.digest()));
    expect_that!(after.document(), eq(before.document()));
    // A patch that was evaluated before the snapshot keeps its verdict.
    let again = fleet.hosts[1].submit(patch("p29", 29)).await;
    expect_that!(again, eq(&PatchOutcome::Accepted { version: 30 }));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn follower_disconnected_past_retention_catches_up() {
    let fleet = Fleet::new(3, 1);
    fleet.settle().await;
    fleet.host_logs[2].set_disconnected(true);
    fleet.peers.remove("host-2");
    fleet.roster.remove("host-2");
    for base in 0..5 {
        fleet.hosts[0]
            .submit(patch(&format!("p{base}"), base))
            .await;
    }
    tokio::time::sleep(Duration::from_secs(10)).await;
    fleet.log.truncate_before("config", 4);
    fleet.host_logs[2].set_disconnected(false);
    tokio::time::sleep(Duration::from_secs(5)).await;
    expect_that!(fleet.versions()[2], eq(5));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn follower_keeps_version_at_unknown_schema() {
    let fleet = Fleet::new(3, 1);
    fleet.settle().await;
    fleet.hosts[0].submit(patch("p", 0)).await;
    let newer = format!(r#"{{"schema":{},"more":0}}"#, SCHEMA + 1);
    let next = Record::Patch(patch("q", 1)).encode();
    fleet
        .log
        .append(&"config".into(), vec![newer.into(), next])
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_secs(20)).await;
    expect_that!(fleet.versions(), each(eq(&1)));
    for host in &fleet.hosts {
        expect_that!(host.state().halted(), some(anything()));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn follower_survives_loss_of_readers() {
    // Among 40 hosts, a host rarely asks a reader by chance.
    for host_count in [6, 40] {
        check_loss_of_readers(host_count).await;
    }
}

async fn check_loss_of_readers(host_count: usize) {
    let fleet = Fleet::new(host_count, 1);
    fleet.settle().await;
    fleet.hosts[0].submit(patch("p0", 0)).await;
    // The readers lose the log and all peers, but stay on the roster.
    let readers = fleet.readers();
    for reader in &readers {
        fleet.host_logs[*reader].set_disconnected(true);
        fleet.peers.remove(&format!("host-{reader}"));
    }
    let writer = (0..host_count)
        .find(|host| !readers.contains(host))
        .unwrap();
    fleet.hosts[writer].submit(patch("p1", 1)).await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    for host in (0..host_count).filter(|host| !readers.contains(host)) {
        expect_that!(fleet.versions()[host], eq(2), "host {host}");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn follower_log_reads_do_not_grow_with_hosts() {
    let mut reads = Vec::new();
    for host_count in [6, 24] {
        let fleet = Fleet::new(host_count, 3);
        fleet.settle().await;
        expect_that!(fleet.hosts[0].submit(patch("p", 0)).await, eq(&ACCEPTED));
        fleet.settle().await;
        fleet.settle().await;
        let before = fleet.log.reads();
        tokio::time::sleep(Duration::from_secs(60)).await;
        reads.push(fleet.log.reads() - before);
    }
    expect_that!(reads[1], le(reads[0] + reads[0] / 4));
}
