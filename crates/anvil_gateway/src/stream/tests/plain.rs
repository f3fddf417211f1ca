//! Streams of a service without engines.

use std::time::Duration;

use googletest::prelude::*;
use tokio::io::AsyncReadExt;

use crate::tests::fleet::{
    Behaviour,
    EVENTS_ONCE_PATH,
    EVENTS_PATH,
    Fleet,
    SAFE_PATH,
    run, //
};

/// Longer than the latency objective of the routes.
const SLOW: Behaviour = Behaviour::Slow {
    events: 4,
    pause: Duration::from_millis(600),
};

/// Returns the ids of the events in an answer, and whether it ended as complete.
fn events_of(answer: &str) -> (Vec<u32>, bool) {
    let ids = answer
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .filter_map(|id| id.parse().ok())
        .collect();
    (ids, answer.ends_with("0\r\n\r\n"))
}

/// Guards against a stream that is held back until its end, or given up although its target writes it
/// (LOST).
#[gtest]
fn serve_passes_events_on_as_they_come() {
    run(async {
        let fleet = Fleet::start_plain(81, 2, None).await;
        let host = fleet.start_host(0).await;
        for target in &fleet.engines {
            target.behaviour.set(SLOW);
        }
        for path in [EVENTS_PATH, EVENTS_ONCE_PATH] {
            let mut stream = host.open_stream(path).await;
            let mut received = Vec::new();
            while !received.ends_with(b"data: a\n\n\r\n") {
                let count = stream.read_buf(&mut received).await.unwrap();
                assert_that!(count, gt(0), "{path}: the connection ended");
            }
            let target = fleet
                .engines
                .iter()
                .find(|target| target.run_ids.borrow().contains(&host.last_id()));
            expect_that!(target.unwrap().last_event.get(), eq(1), "{path}");
            stream.read_to_end(&mut received).await.unwrap();
            let answer = String::from_utf8(received).unwrap();
            expect_that!(events_of(&answer), eq(&(vec![1, 2, 3, 4], true)), "{path}");
            expect_that!(fleet.run_count(&host.last_id()), eq(1), "{path}");
        }
    });
}

/// Guards against a stream that ends with its target although another one could go on with it (ORDER).
#[gtest]
fn serve_resumes_stream_at_other_target_after_last_event() {
    run(async {
        let fleet = Fleet::start_plain(82, 2, None).await;
        let host = fleet.start_host(0).await;
        // The budget of retries is a share of the requests.
        for _ in 0..100 {
            host.answer_of(SAFE_PATH).await;
        }
        fleet.engines[0].behaviour.set(Behaviour::BreaksOff);
        fleet.engines[1].behaviour.set(Behaviour::Slow {
            events: 4,
            pause: Duration::from_millis(5),
        });
        let mut resumed = 0;
        for _ in 0..12 {
            for target in host.gateway.targets.all() {
                target.end_avoidance();
            }
            let answer = host.call_raw(EVENTS_PATH).await;
            expect_that!(events_of(&answer), eq(&(vec![1, 2, 3, 4], true)));
            resumed += usize::from(fleet.run_count(&host.last_id()) == 2);
        }
        expect_that!(resumed, ge(1));
    });
}

/// Guards against a stream that runs twice, or looks complete, after its target ended within it (TWICE,
/// ORDER).
#[gtest]
fn serve_breaks_off_stream_that_must_not_run_twice() {
    run(async {
        let fleet = Fleet::start_plain(83, 2, None).await;
        let host = fleet.start_host(0).await;
        for target in &fleet.engines {
            target.behaviour.set(Behaviour::BreaksOff);
        }
        for _ in 0..4 {
            let answer = host.call_raw(EVENTS_ONCE_PATH).await;
            expect_that!(events_of(&answer), eq(&(vec![1], false)));
            expect_that!(fleet.run_count(&host.last_id()), eq(1));
        }
    });
}
