use bytes::BytesMut;
use googletest::prelude::*;

use super::*;
use crate::tests::fleet::{
    Fleet,
    Host,
    run,
    wait_for_peers, //
};

/// Sends a request for a tunnel from one host to another, and returns the status of the answer.
async fn status_of(from: &Host, to: &Host, key: DatagramKey, sequence: u64, target: &str) -> u16 {
    let to_id = &to.gateway.settings.host_id;
    let query = format_smolstr!("?sequence={sequence}&target={target}");
    let tag = key.tag(&[LABEL.as_bytes(), to_id.as_bytes(), query.as_bytes()]);
    let request = format!(
        "POST {PATH}{query} HTTP/1.1\r\nHost: test\r\n{HOST_HEADER}: {}\r\n{TAG_HEADER}: {tag}\r\n\
         Content-Length: 0\r\n\r\n",
        from.gateway.settings.host_id
    );
    let limit = Duration::from_secs(5);
    let mut connection = Connection::open(to.gateway.settings.peers, limit)
        .await
        .unwrap();
    connection.write_all(request.as_bytes()).await.unwrap();
    connection.read_response().await.unwrap().status
}

/// Guards against tunnels for anyone who can reach the port for peers, or who sends a request of a
/// host again.
#[gtest]
fn serve_refuses_forged_and_repeated_requests() {
    run(async {
        let fleet = Fleet::start(86, 2).await;
        let host = fleet.start_host(0).await;
        let other = fleet.start_host(1).await;
        wait_for_peers(&[&host, &other]).await;
        let key = host.gateway.peers.borrow().own_key().unwrap();
        let wrong_key = DatagramKey::generate(&host.gateway);
        let cases = [
            ("of a known host", key, 1, "engine-0", 200),
            ("sent again", key, 1, "engine-0", 403),
            ("sent again for another target", key, 1, "engine-1", 403),
            ("with another key", wrong_key, 2, "engine-0", 403),
            ("next", key, 2, "engine-1", 200),
            ("for a target that is not listed", key, 3, "engine-9", 503),
        ];
        for (case, key, sequence, target, expected) in cases {
            let status = status_of(&host, &other, key, sequence, target).await;
            expect_that!(status, eq(expected), "{case}");
        }
    });
}

/// Guards against a host that is cut off, and has no requests that show it, but says of a target that it
/// failed (RECOVER).
#[gtest]
fn serve_says_that_it_is_cut_off_when_it_has_no_requests() {
    run(async {
        let fleet = Fleet::start(88, 6).await;
        let host = fleet.start_host(0).await;
        let other = fleet.start_host(1).await;
        wait_for_peers(&[&host, &other]).await;
        let key = host.gateway.peers.borrow().own_key().unwrap();
        fleet.cut_off_silently(&other);
        let status = status_of(&host, &other, key, 1, "engine-0").await;
        expect_that!(status, eq(503));
    });
}

/// Guards against a host that takes itself for cut off because one target is down.
#[gtest]
fn serve_says_that_target_failed_when_others_are_reached() {
    run(async {
        let fleet = Fleet::start(89, 6).await;
        let host = fleet.start_host(0).await;
        let other = fleet.start_host(1).await;
        wait_for_peers(&[&host, &other]).await;
        let key = host.gateway.peers.borrow().own_key().unwrap();
        fleet.lose_target(&other, 0);
        let status = status_of(&host, &other, key, 1, "engine-0").await;
        expect_that!(status, eq(504));
        let status = status_of(&host, &other, key, 2, "engine-1").await;
        expect_that!(status, eq(200));
    });
}

/// Guards against tunnels through a host that is about to stop.
#[gtest]
fn serve_refuses_while_stopping() {
    run(async {
        let fleet = Fleet::start(87, 2).await;
        let host = fleet.start_host(0).await;
        let other = fleet.start_host(1).await;
        wait_for_peers(&[&host, &other]).await;
        let key = host.gateway.peers.borrow().own_key().unwrap();
        other.gateway.set_phase(Phase::Draining);
        let status = status_of(&host, &other, key, 1, "engine-0").await;
        expect_that!(status, eq(503));
    });
}

/// Guards against targets that a cut-off host can't reach because a query can't hold their names.
#[gtest]
fn authenticate_returns_odd_name_of_target() {
    run(async {
        let fleet = Fleet::start(208, 1).await;
        let host = fleet.start_host(0).await;
        let other = fleet.start_host(1).await;
        wait_for_peers(&[&host, &other]).await;
        let key = host.gateway.peers.borrow().own_key().unwrap();
        let to_id = &other.gateway.settings.host_id;
        for (sequence, name) in (1..).zip(["i-1", "i 1", "i-1#", "i&target=i", "i%41", "i+\u{e9}"])
        {
            let query = render_query(sequence, &name.into());
            let tag = key.tag(&[LABEL.as_bytes(), to_id.as_bytes(), query.as_bytes()]);
            let request = format!(
                "POST {PATH}{query} HTTP/1.1\r\n{HOST_HEADER}: {}\r\n{TAG_HEADER}: {tag}\r\n\r\n",
                host.gateway.settings.host_id
            );
            let limit_bytes = request.len();
            let mut request = BytesMut::from(request.as_bytes());
            let head = RequestHead::take(&mut request, limit_bytes).ok().flatten();
            let target = head.and_then(|head| authenticate(&other.gateway, &head));
            expect_that!(target.as_deref(), some(eq(name)));
        }
    });
}
