use std::{
    rc::Rc,
    time::Duration, //
};

use googletest::prelude::*;
use tokio::{
    task::{
        JoinSet,
        spawn_local, //
    },
    time::{
        Instant,
        sleep, //
    },
};

use super::*;
use crate::{
    http1::Connection,
    tests::fleet::{
        Behaviour,
        CallerResult,
        Fleet,
        Host,
        SAFE_PATH,
        SOUND_KEY,
        UNSAFE_PATH,
        read_answer,
        run, //
    }, //
};

/// Time from the signal until which the load balancer still sends requests.
const SENDING_TIME: Duration = Duration::from_millis(2200);
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Guards against requests that are cut off because they were accepted during a planned stop.
#[gtest]
fn stop_answers_all_requests_accepted_meanwhile() {
    run(async {
        let fleet = Fleet::start_plain(71, 3, None).await;
        for target in &fleet.engines {
            let work_time = Duration::from_millis(300);
            target.behaviour.set(Behaviour::Late(work_time));
        }
        let host = Rc::new(fleet.start_host(0).await);
        let gateway = Rc::clone(&host.gateway);
        let mut calls = JoinSet::new();
        let call = |calls: &mut JoinSet<_>, index: usize| {
            let host = Rc::clone(&host);
            calls.spawn_local(async move {
                let path = [SAFE_PATH, UNSAFE_PATH][index % 2];
                host.answer_of(path).await.1
            });
        };
        for index in 0..10 {
            call(&mut calls, index);
        }
        sleep(CALL_INTERVAL).await;
        let signalled_at = Instant::now();
        let stopping = spawn_local(async move {
            let placer = Placer::new(Rc::clone(&gateway));
            stop(&gateway, &placer).await
        });
        let mut count = 10;
        while signalled_at.elapsed() < SENDING_TIME {
            call(&mut calls, count);
            count += 1;
            sleep(CALL_INTERVAL).await;
        }
        let mut answered = 0;
        while let Some(answer) = calls.join_next().await {
            answered += usize::from(answer.unwrap().is_some());
        }
        expect_that!(answered, eq(count));
        expect_that!(stopping.await.unwrap(), eq(ShutdownOutcome::Drained));
        expect_that!(is_ready(&host.gateway), eq(false));
    });
}

fn begin_stop(host: &Host) -> tokio::task::JoinHandle<ShutdownOutcome> {
    let gateway = Rc::clone(&host.gateway);
    spawn_local(async move {
        let placer = Placer::new(Rc::clone(&gateway));
        stop(&gateway, &placer).await
    })
}

/// Guards against connections that a planned stop closes without a word although a request was on its way
/// (LOST).
#[gtest]
fn stop_refuses_late_requests_with_an_answer() {
    const PART_DELAY: Duration = Duration::from_millis(150);
    let whole = format!(
        "POST {SAFE_PATH} HTTP/1.1\r\nHost: test\r\nid: 1\r\nkey: {SOUND_KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    let (first_part, last_part) = whole.split_at(30);
    let send_rest = async |mut connection: Connection| {
        sleep(PART_DELAY).await;
        connection.write_all(last_part.as_bytes()).await.unwrap();
        read_answer(&mut connection).await.map(|(status, _)| status)
    };
    run(async {
        let fleet = Fleet::start_plain(72, 1, None).await;
        let host = fleet.start_host(0).await;
        let stopping = begin_stop(&host);
        sleep(READINESS_PROPAGATION_DELAY - PART_DELAY / 2).await;
        // This request begins before the host closes its connections.
        let early = host.open_silent_connection(first_part.as_bytes()).await;
        expect_that!(send_rest(early).await, some(eq(503)));
        // The load balancer may be slow.
        let late = host.open_silent_connection(b"").await;
        sleep(PART_DELAY).await;
        late.write_all(first_part.as_bytes()).await.unwrap();
        expect_that!(send_rest(late).await, some(eq(503)));
        expect_that!(stopping.await.unwrap(), eq(ShutdownOutcome::Drained));
        expect_that!(fleet.run_count(&"1".into()), eq(0));
    });
}

/// Guards against requests that end without an answer when the grace period of a planned stop is over
/// (LOST).
#[gtest]
fn stop_answers_requests_that_no_target_has_answered() {
    run(async {
        let fleet = Fleet::start_plain(73, 2, None).await;
        for target in &fleet.engines {
            let work_time = Duration::from_secs(60);
            target.behaviour.set(Behaviour::Late(work_time));
        }
        let host = fleet.start_host(0).await;
        let stopping = begin_stop(&host);
        let call = async |path: &str| host.call_plain(path, SOUND_KEY, "").await;
        let body_missing = format!(
            "POST {SAFE_PATH} HTTP/1.1\r\nHost: test\r\nid: 1\r\nkey: {SOUND_KEY}\r\nContent-Length: 9\r\n\r\n"
        );
        let mut unfinished = host.open_silent_connection(body_missing.as_bytes()).await;
        let results = futures::future::join3(
            call(SAFE_PATH),
            call(UNSAFE_PATH),
            read_answer(&mut unfinished),
        );
        let (safe, unsafe_result, unfinished) = results.await;
        // Both may have run.
        for result in [safe, unsafe_result] {
            expect_that!(result, eq(CallerResult::Status(502)));
        }
        expect_that!(unfinished.map(|(status, _)| status), some(eq(503)));
        expect_that!(stopping.await.unwrap(), eq(ShutdownOutcome::Drained));
    });
}

/// Guards against a kept connection that is closed under its next request, because an answer given during
/// a planned stop didn't announce that (LOST).
#[gtest]
fn stop_announces_close_in_answers_to_earlier_requests() {
    run(async {
        let fleet = Fleet::start_plain(74, 1, None).await;
        let work_time = Duration::from_millis(300);
        fleet.engines[0].behaviour.set(Behaviour::Late(work_time));
        let host = fleet.start_host(0).await;
        let whole = format!(
            "POST {SAFE_PATH} HTTP/1.1\r\nHost: test\r\nid: 1\r\nkey: {SOUND_KEY}\r\nContent-Length: 0\r\n\r\n"
        );
        let mut caller = host.open_silent_connection(whole.as_bytes()).await;
        while host.gateway.open_requests.get() == 0 {
            sleep(CALL_INTERVAL).await;
        }
        host.gateway.set_phase(Phase::Draining);
        let head = caller.read_response().await.unwrap();
        expect_that!(head.status, eq(200));
        expect_that!(head.keep_alive, eq(false));
    });
}
