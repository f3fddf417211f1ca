//! Tests how hosts see other hosts join, die, leave and return.

use std::time::Duration;

use anvil_fleet::{
    Builder,
    Fleet, //
};
use bytes::Bytes;
use googletest::prelude::*;
use http::{
    Request,
    StatusCode, //
};
use http_body_util::Full;
use hyper_util::{
    client::legacy::Client,
    rt::TokioExecutor, //
};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Far longer than any change takes, so that only a change that never happens fails the test.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until a host sees exactly these hosts as live.
async fn wait_for_live(fleet: &Fleet, index: usize, expected: &[&str]) {
    let shared = fleet.host(index).shared();
    let mut changes = shared.membership.changes();
    let seen = tokio::time::timeout(TIMEOUT, async {
        while shared.membership.view().live_hosts != expected {
            changes.changed().await.unwrap();
        }
    });
    let seen = seen.await.is_ok();
    assert!(
        seen,
        "host {index} sees {:?}, not {expected:?}",
        shared.membership.view().live_hosts
    );
}

async fn wait_for_listed(fleet: &Fleet, index: usize, expected: usize) {
    let shared = fleet.host(index).shared();
    let listed = tokio::time::timeout(TIMEOUT, async {
        while shared.membership.view().listed_host_count != expected {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    let listed = listed.await.is_ok();
    assert!(listed, "host {index} never has {expected} listed hosts");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn view_reflects_kill_stop_and_restart() {
    let mut fleet = Builder::default().hosts(4).start().await.unwrap();
    let all = ["host-0", "host-1", "host-2", "host-3"];
    for index in 0..4 {
        wait_for_live(&fleet, index, &all).await;
    }
    fleet.kill_host(3);
    for index in 0..3 {
        wait_for_live(&fleet, index, &all[..3]).await;
    }
    fleet.stop_host(2).await.unwrap();
    for index in 0..2 {
        wait_for_live(&fleet, index, &all[..2]).await;
    }
    fleet.start_host(3).await.unwrap();
    for index in [0, 1, 3] {
        wait_for_live(&fleet, index, &["host-0", "host-1", "host-3"]).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn view_is_kept_during_host_list_outage() {
    let mut fleet = Builder::default().hosts(3).start().await.unwrap();
    wait_for_live(&fleet, 0, &["host-0", "host-1", "host-2"]).await;
    // Gossip may be ahead of the host list, and only hosts already read from the list are kept.
    wait_for_listed(&fleet, 0, 3).await;
    fleet
        .host_list
        .set_refusal_rate(anvil_standins::fault::Rate::Always);
    fleet.kill_host(2);
    wait_for_live(&fleet, 0, &["host-0", "host-1"]).await;
    let listed = fleet.host(0).shared().membership.view().listed_host_count;
    expect_that!(listed, eq(3));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_listener_rejects_invalid_requests() {
    let fleet = Builder::default().hosts(1).start().await.unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let address = fleet.host(0).peers_address();
    let cases = [
        (Some("Bearer wrong"), "gossip", StatusCode::UNAUTHORIZED),
        (None, "gossip", StatusCode::UNAUTHORIZED),
        (
            Some("Bearer peer-key-of-a-fleet-0"),
            "gossip",
            StatusCode::BAD_REQUEST,
        ),
        (
            Some("Bearer peer-key-of-a-fleet-0"),
            "nothing",
            StatusCode::NOT_FOUND,
        ),
    ];
    for (authorization, path, expected) in cases {
        let mut request = Request::post(format!("http://{address}/peer/v1/{path}"));
        if let Some(authorization) = authorization {
            request = request.header("authorization", authorization);
        }
        let request = request.body(Full::new(Bytes::from_static(b"\xc1")));
        let response = client.request(request.unwrap()).await.unwrap();
        expect_that!(response.status(), eq(expected), "{authorization:?} {path}");
    }
}
