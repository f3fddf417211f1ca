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
use crate::tests::fleet::{
    Behaviour,
    Fleet,
    SAFE_PATH,
    UNSAFE_PATH,
    run, //
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
