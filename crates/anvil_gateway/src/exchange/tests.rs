use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use super::START_TIMEOUT;
use crate::tests::fleet::{
    CallerResult,
    Fleet,
    SAFE_PATH,
    SOUND_KEY,
    read_answer,
    run, //
};

/// Guards against connections of callers that went away without a sign and that are kept for good.
#[gtest]
fn serve_ends_connections_of_silent_callers() {
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    run(async {
        let fleet = Fleet::start_plain(31, 1, None).await;
        let host = fleet.start_host(0).await;
        let head = format!("POST {SAFE_PATH} HTTP/1.1\r\nHost: test\r\n");
        let whole = format!("{head}id: 1\r\nkey: {SOUND_KEY}\r\nContent-Length: 0\r\n\r\n");
        let mut silent = Vec::new();
        for bytes in ["", head.as_str(), whole.as_str()] {
            silent.push(host.open_silent_connection(bytes.as_bytes()).await);
        }
        while host.gateway.open_connections.get() < silent.len() as u32 {
            sleep(POLL_INTERVAL).await;
        }
        // Ends only if the host closes them, although the callers keep them open.
        while host.gateway.open_connections.get() > 0 {
            sleep(POLL_INTERVAL).await;
        }
        expect_that!(silent.len(), eq(3));
        let answered = host.call_plain(SAFE_PATH, SOUND_KEY, "sound").await;
        expect_that!(answered, eq(CallerResult::Complete));
    });
}

/// Guards against requests on kept connections that are closed because the host itself did not run.
#[gtest]
fn serve_keeps_connections_of_callers_when_host_did_not_run() {
    const STOP_TIME: Duration = Duration::from_millis(800);
    run(async {
        let fleet = Fleet::start_plain(148, 1, None).await;
        let host = fleet.start_host(0).await;
        let head = format!("POST {SAFE_PATH} HTTP/1.1\r\nHost: test\r\n");
        let rest = format!("id: 1\r\nkey: {SOUND_KEY}\r\nContent-Length: 0\r\n\r\n");
        let whole = format!("{head}{rest}");
        for (first, second) in [("", whole.as_str()), (head.as_str(), rest.as_str())] {
            let mut caller = host.open_silent_connection(first.as_bytes()).await;
            sleep(Duration::from_millis(150)).await;
            std::thread::sleep(STOP_TIME);
            sleep(Duration::from_millis(50)).await;
            expect_that!(caller.write_all(second.as_bytes()).await, ok(anything()));
            let answer = read_answer(&mut caller).await;
            expect_that!(answer.map(|(status, _)| status), some(eq(200)), "{first}");
        }
    });
}

/// Guards against callers that are refused by one host after the other while all of them start.
#[gtest]
fn serve_answers_request_that_arrives_before_first_table() {
    run(async {
        let fleet = Fleet::start_plain(32, 1, None).await;
        let delay = Duration::from_millis(300);
        let host = fleet.start_host_configured_after(0, delay).await;
        let (id, answer) = host.answer_of(SAFE_PATH).await;
        expect_that!(answer, some(eq(id.as_str())));
    });
}

/// Guards against callers that wait at a host that gets no table.
#[gtest]
fn serve_refuses_at_once_when_no_table_came_at_start() {
    run(async {
        let fleet = Fleet::start_plain(33, 1, None).await;
        let never = Duration::from_secs(3600);
        let host = fleet.start_host_configured_after(0, never).await;
        for _ in 0..2 {
            expect_that!(
                host.call_plain(SAFE_PATH, SOUND_KEY, "").await,
                eq(CallerResult::Status(503))
            );
            expect_that!(host.gateway.uptime(), ge(START_TIMEOUT));
        }
        expect_that!(fleet.run_count(&host.last_id()), eq(0));
    });
}
