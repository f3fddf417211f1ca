use std::time::Duration;

use anvil_core::retry::window::Need;
use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::time::{
    Instant,
    sleep, //
};

use crate::tests::fleet::{
    Behaviour,
    CallerResult,
    Fleet,
    Host,
    LETHAL_BODY,
    LETHAL_KEY,
    MODEL_PATH,
    SAFE_PATH,
    SOUND_KEY,
    UNSAFE_PATH,
    run,
    wait_for_peers, //
};

mod lethal;

/// Most targets that may end under equal requests: three, and three in later sends.
const ENDED_MAX: usize = 6;
/// Most targets that may end later, in a trial of whether the request still ends targets.
const TRIALS_MAX: usize = 1;
/// Several times the interval at which hosts inform one another.
const EXCHANGE_TIME: Duration = Duration::from_secs(2);

async fn send_lethal(host: &Host, count: usize) {
    for _ in 0..count {
        host.call_plain(SAFE_PATH, LETHAL_KEY, LETHAL_BODY).await;
    }
}

/// Sends requests that differ from the lethal one in body, path or caller alone.
async fn expect_sound_answered(host: &Host) {
    for (path, key, body) in [
        (SAFE_PATH, LETHAL_KEY, "other"),
        ("/safe/other", LETHAL_KEY, LETHAL_BODY),
        (SAFE_PATH, SOUND_KEY, LETHAL_BODY),
        (UNSAFE_PATH, SOUND_KEY, LETHAL_BODY),
    ] {
        expect_that!(
            host.call_plain(path, key, body).await,
            eq(CallerResult::Complete),
            "{path}, {key}, {body}"
        );
    }
}

#[gtest]
fn serve_stops_sending_request_that_ends_targets() {
    run(async {
        let fleet = Fleet::start_plain(21, 16, None).await;
        let host = fleet.start_host(0).await;
        send_lethal(&host, 12).await;
        expect_that!(fleet.ended_count(), le(ENDED_MAX));
        expect_sound_answered(&host).await;
    });
}

/// Guards against hosts that end each target again as soon as it has restarted.
#[gtest]
fn serve_stops_sending_request_that_ends_targets_which_restart() {
    const RESTART_DELAY: Duration = Duration::from_millis(300);
    const TEST_TIME: Duration = Duration::from_secs(6);
    run(async {
        let fleet = Fleet::start_plain(22, 3, Some(RESTART_DELAY)).await;
        let hosts = [fleet.start_host(0).await, fleet.start_host(1).await];
        wait_for_peers(&[&hosts[0], &hosts[1]]).await;
        let start = Instant::now();
        while start.elapsed() < TEST_TIME {
            for host in &hosts {
                host.call_plain(SAFE_PATH, LETHAL_KEY, LETHAL_BODY).await;
                sleep(Duration::from_millis(50)).await;
            }
        }
        expect_that!(fleet.ended_count(), le(ENDED_MAX));
        sleep(RESTART_DELAY * 2).await;
        for host in &hosts {
            expect_sound_answered(host).await;
        }
    });
}

#[gtest]
fn serve_stops_sending_request_that_ended_targets_of_peers() {
    run(async {
        let fleet = Fleet::start_plain(23, 16, None).await;
        let hosts = [fleet.start_host(0).await, fleet.start_host(1).await];
        wait_for_peers(&[&hosts[0], &hosts[1]]).await;
        send_lethal(&hosts[0], 4).await;
        sleep(EXCHANGE_TIME).await;
        let ended_count = fleet.ended_count();
        send_lethal(&hosts[1], 8).await;
        expect_that!(fleet.ended_count(), le(ended_count + TRIALS_MAX));
        expect_that!(ended_count, le(ENDED_MAX));
    });
}

#[gtest]
fn serve_stops_sending_request_that_ended_targets_before_restart() {
    run(async {
        let fleet = Fleet::start_plain(24, 16, None).await;
        let peer = fleet.start_host(0).await;
        let restarted = fleet.start_host(1).await;
        wait_for_peers(&[&peer, &restarted]).await;
        send_lethal(&restarted, 4).await;
        sleep(EXCHANGE_TIME).await;
        restarted.kill().await;
        let ended_count = fleet.ended_count();
        let restarted = fleet.start_host(1).await;
        sleep(EXCHANGE_TIME).await;
        send_lethal(&restarted, 8).await;
        expect_that!(fleet.ended_count(), le(ended_count + TRIALS_MAX));
    });
}

#[gtest]
fn serve_stops_sending_request_that_ended_targets_before_restart_of_all_hosts() {
    run(async {
        let fleet = Fleet::start_plain(25, 16, None).await;
        let host = fleet.start_host(0).await;
        send_lethal(&host, 4).await;
        sleep(EXCHANGE_TIME).await;
        host.kill().await;
        let ended_count = fleet.ended_count();
        let host = fleet.start_host(0).await;
        sleep(EXCHANGE_TIME).await;
        send_lethal(&host, 8).await;
        expect_that!(fleet.ended_count(), le(ended_count + TRIALS_MAX));
    });
}

/// Guards against a quarantine that no host writes to the store, because each saw one end only.
#[gtest]
fn serve_keeps_request_in_store_that_ended_one_target_of_each_host() {
    run(async {
        let fleet = Fleet::start_plain(27, 16, None).await;
        let hosts = [
            fleet.start_host(0).await,
            fleet.start_host(1).await,
            fleet.start_host(2).await,
        ];
        wait_for_peers(&hosts.iter().collect::<Vec<_>>()).await;
        // Each host ends another target: one that two hosts end together counts once.
        for (index, host) in hosts.iter().enumerate() {
            for (number, target) in host
                .gateway
                .targets
                .of_service(&"plain".into())
                .iter()
                .enumerate()
            {
                if number % hosts.len() != index {
                    target.record_unresponsive(Instant::now());
                }
            }
        }
        let calls = hosts.iter().map(|host| send_lethal(host, 1));
        futures::future::join_all(calls).await;
        sleep(EXCHANGE_TIME).await;
        for host in hosts {
            host.kill().await;
        }
        let ended_count = fleet.ended_count();
        expect_that!(ended_count, ge(3));
        let host = fleet.start_host(3).await;
        sleep(EXCHANGE_TIME).await;
        send_lethal(&host, 8).await;
        expect_that!(fleet.ended_count(), le(ended_count + TRIALS_MAX));
    });
}

/// Guards against requests that are lost on one silent connection of a target after the other.
#[gtest]
fn serve_doubts_kept_connections_to_plain_target_when_drawn_share_is_silent() {
    for seed in 0..6 {
        run(async {
            let mut rng = SmallRng::seed_from_u64(seed);
            let fleet = Fleet::start_plain(51 + seed as u8, 1, None).await;
            let target = &fleet.engines[0];
            let host = fleet.start_host(0).await;
            let calls = (0..6).map(|_| host.call_plain(SAFE_PATH, SOUND_KEY, "sound"));
            futures::future::join_all(calls).await;
            let share = rng.random_range(0.3..0.9);
            target.fall_silent_partly(share, &mut rng);
            for _ in 0..4 {
                host.call_plain(SAFE_PATH, SOUND_KEY, "sound").await;
            }
            expect_that!(target.silent_request_count.get(), le(1), "seed {seed}");
        });
    }
}

/// Guards against a request that ends targets and may not be repeated: it runs at most once, and not
/// at all where the caller is told so.
#[gtest]
fn serve_stops_sending_unsafe_request_that_ends_targets() {
    run(async {
        let fleet = Fleet::start_plain(26, 16, None).await;
        let host = fleet.start_host(0).await;
        for _ in 0..12 {
            let result = host.call_plain(UNSAFE_PATH, LETHAL_KEY, LETHAL_BODY).await;
            let run_count = fleet.run_count(&host.last_id());
            let run_count_max = match result {
                CallerResult::Status(503) => 0,
                CallerResult::Status(502) => 1,
                result => panic!("{result:?}"),
            };
            expect_that!(run_count, le(run_count_max));
        }
        expect_that!(fleet.ended_count(), le(ENDED_MAX));
        expect_sound_answered(&host).await;
    });
}

/// Guards against a caller that gets the answer to another one's request, because a target sends a
/// second copy of an answer on a connection that is in use again.
#[gtest]
fn serve_gives_no_caller_late_copy_of_other_answer() {
    for (network, behaviour) in [
        (66, Behaviour::AnswersTwice),
        (67, Behaviour::AnswersTwiceLate(Duration::from_millis(15))),
        (68, Behaviour::AnswersTwiceNext),
    ] {
        run(async {
            let fleet = Fleet::start_plain(network, 1, None).await;
            let host = fleet.start_host(0).await;
            fleet.engines[0].behaviour.set(behaviour);
            for index in 0..30 {
                let path = [SAFE_PATH, UNSAFE_PATH][index % 2];
                let (id, body) = host.answer_of(path).await;
                if let Some(body) = &body {
                    expect_that!(*body, eq(id.as_str()), "{behaviour:?}");
                }
                // A request that may be repeated is answered over another connection.
                if path == SAFE_PATH {
                    expect_that!(body, some(anything()), "{behaviour:?}, request {index}");
                }
                expect_that!(fleet.run_count(&id), le(2 - index % 2), "{behaviour:?}");
                // Copies arrive while the connection is idle, in use, or neither.
                sleep(Duration::from_millis(10 * (index as u64 % 3))).await;
            }
        });
    }
}

/// Guards against a refusal that names no request and is taken for a lost answer, or for the answer to
/// another request (TWICE).
#[gtest]
fn serve_takes_refusal_of_request_without_id_for_its_own() {
    run(async {
        let fleet = Fleet::start_plain(96, 1, None).await;
        let host = fleet.start_host(0).await;
        let late = Behaviour::AnswersTwiceLate(Duration::from_millis(15));
        fleet.engines[0].behaviour.set(late);
        for index in 0..12 {
            let status = host.call_plain_without_id(UNSAFE_PATH).await;
            expect_that!(status, some(eq(503)));
            sleep(Duration::from_millis(5 * (index % 3))).await;
            let (id, body) = host.answer_of(SAFE_PATH).await;
            expect_that!(body, some(eq(id.as_str())));
        }
    });
}

/// Guards against a success with an empty or short body, framed as whole, after a target that stopped in
/// the middle of its answer (MIXED, ORDER).
#[gtest]
fn serve_passes_no_success_on_from_target_that_stops_in_its_answer() {
    run(async {
        let fleet = Fleet::start_both(97, 1).await;
        let target = &fleet.engines[0];
        let host = fleet.start_host(0).await;
        for (path, is_framed) in [
            (SAFE_PATH, true),
            (UNSAFE_PATH, true),
            (UNSAFE_PATH, false),
            (MODEL_PATH, true),
        ] {
            target.success_bytes.set(1);
            let mut bytes = 0;
            while bytes < target.success_bytes.get() {
                target.behaviour.set(Behaviour::Cut { bytes, is_framed });
                // The target is used again although it failed.
                for listed in host.gateway.targets.all() {
                    listed.end_avoidance();
                }
                let result = match path {
                    MODEL_PATH => host.call(&["part"]).await,
                    path => host.call_plain(path, SOUND_KEY, "").await,
                };
                expect_that!(result, not(eq(CallerResult::Complete)), "{path}, {bytes}");
                bytes += 1;
            }
            expect_that!(bytes, gt(40), "{path}");
        }
    });
}

/// Guards against a request that is given up, although its target is at work, where no other target may
/// be tried (LOST).
#[gtest]
fn serve_waits_for_target_at_work_when_retry_budget_is_spent() {
    run(async {
        let fleet = Fleet::start_plain(98, 2, None).await;
        let host = fleet.start_host(0).await;
        for target in &fleet.engines {
            // Several times the latency objective of the route.
            target
                .behaviour
                .set(Behaviour::Late(Duration::from_millis(1500)));
        }
        while host
            .gateway
            .take_extra_send(&"plain".into(), Need::Resume)
            .0
        {}
        let (id, body) = host.answer_of(SAFE_PATH).await;
        expect_that!(body, some(eq(id.as_str())));
        expect_that!(fleet.run_count(&id), eq(1));
    });
}

/// Lets a host send its next request to the first target of the fleet. The second one takes a second send.
fn prefer_first_target(fleet: &Fleet, host: &Host) {
    let listed = host.gateway.targets.by_id(&fleet.engines[1].id);
    listed.unwrap().record_failure(Instant::now());
}

/// Records requests of other callers, from which the retry budget follows.
fn earn_retries(host: &Host) {
    for _ in 0..100 {
        host.gateway.record_request(&"plain".into());
    }
}

fn in_flight(host: &Host) -> f64 {
    let targets = host.gateway.targets.all();
    targets.iter().map(|target| target.sequences.get()).sum()
}

/// Guards against a target at work that is given up for another one which has no answer either (LOST).
#[gtest]
fn serve_keeps_silent_target_beside_second_one() {
    run(async {
        let fleet = Fleet::start_plain(141, 2, None).await;
        let host = fleet.start_host(0).await;
        earn_retries(&host);
        let late = [Duration::from_millis(1500), Duration::from_secs(60)];
        for (target, delay) in fleet.engines.iter().zip(late) {
            target.behaviour.set(Behaviour::Late(delay));
        }
        prefer_first_target(&fleet, &host);
        let (id, body) = host.answer_of(SAFE_PATH).await;
        expect_that!(body, some(eq(id.as_str())));
        expect_that!(fleet.run_count(&id), eq(2));
        expect_that!(in_flight(&host), eq(0.0));
    });
}

#[gtest]
fn serve_takes_answer_of_second_target_beside_silent_one() {
    run(async {
        let fleet = Fleet::start_plain(142, 2, None).await;
        let host = fleet.start_host(0).await;
        earn_retries(&host);
        let late = Behaviour::Late(Duration::from_secs(60));
        fleet.engines[0].behaviour.set(late);
        prefer_first_target(&fleet, &host);
        let (id, body) = host.answer_of(SAFE_PATH).await;
        expect_that!(body, some(eq(id.as_str())));
        expect_that!(fleet.run_count(&id), eq(2));
        expect_that!(in_flight(&host), eq(0.0));
    });
}

/// Guards against a request that waits unread at a second target while its time runs (BUDGET).
#[gtest]
fn serve_sends_no_second_time_to_target_that_reads_nothing() {
    run(async {
        let fleet = Fleet::start_plain(172, 2, None).await;
        let host = fleet.start_host(0).await;
        earn_retries(&host);
        let late = Behaviour::Late(Duration::from_millis(1500));
        fleet.engines[0].behaviour.set(late);
        fleet.engines[1].is_stopped.set(true);
        prefer_first_target(&fleet, &host);
        let (id, body) = host.answer_of(SAFE_PATH).await;
        expect_that!(body, some(eq(id.as_str())));
        fleet.engines[1].is_stopped.set(false);
        sleep(Duration::from_millis(100)).await;
        expect_that!(fleet.run_count(&id), eq(1));
        expect_that!(in_flight(&host), eq(0.0));
    });
}

#[gtest]
fn serve_sends_second_time_when_target_reads_again() {
    run(async {
        let fleet = Fleet::start_plain(173, 2, None).await;
        let host = fleet.start_host(0).await;
        earn_retries(&host);
        let late = Behaviour::Late(Duration::from_secs(60));
        fleet.engines[0].behaviour.set(late);
        fleet.engines[1].is_stopped.set(true);
        prefer_first_target(&fleet, &host);
        let go_on = async {
            sleep(Duration::from_millis(1200)).await;
            fleet.engines[1].is_stopped.set(false);
        };
        let ((id, body), ()) = tokio::join!(host.answer_of(SAFE_PATH), go_on);
        expect_that!(body, some(eq(id.as_str())));
        expect_that!(fleet.run_count(&id), eq(2));
    });
}

/// Guards against a request that fails although a retry is left for it, as a hedge was refused before.
#[gtest]
fn serve_replaces_lost_attempt_after_hedge_was_refused() {
    run(async {
        let fleet = Fleet::start_plain(178, 2, None).await;
        let host = fleet.start_host(0).await;
        earn_retries(&host);
        let service = "plain".into();
        while host.gateway.take_extra_send(&service, Need::Hedge).0 {}
        fleet.engines[0].behaviour.set(Behaviour::LosesAnswerLate);
        prefer_first_target(&fleet, &host);
        let (id, body) = host.answer_of(SAFE_PATH).await;
        expect_that!(body, some(eq(id.as_str())));
        expect_that!(fleet.run_count(&id), eq(2));
    });
}

/// Guards against a request that is sent to several targets that read nothing and go on together (TWICE,
/// BUDGET).
#[gtest]
fn serve_sends_once_when_silent_targets_go_on_together() {
    // The health check of the second target, of the third one, and of none is not silent yet.
    for (path, stopped_ms) in [
        (UNSAFE_PATH, 220),
        (UNSAFE_PATH, 370),
        (UNSAFE_PATH, 800),
        (SAFE_PATH, 220),
        (SAFE_PATH, 800),
    ] {
        run(async {
            let fleet = Fleet::start_plain(177, 3, None).await;
            let host = fleet.start_host(0).await;
            earn_retries(&host);
            for target in &fleet.engines {
                target.is_stopped.set(true);
                target
                    .behaviour
                    .set(Behaviour::Late(Duration::from_millis(300)));
            }
            let go_on = async {
                sleep(Duration::from_millis(stopped_ms)).await;
                for target in &fleet.engines {
                    target.is_stopped.set(false);
                }
            };
            let ((id, body), ()) = tokio::join!(host.answer_of(path), go_on);
            expect_that!(body, some(eq(id.as_str())), "{path}, {stopped_ms} ms");
            sleep(Duration::from_millis(800)).await;
            expect_that!(fleet.run_count(&id), eq(1), "{path}, {stopped_ms} ms");
        });
    }
}

/// Guards against a request that may run once and runs at two targets, of which one read nothing for a
/// while (TWICE).
#[gtest]
fn serve_runs_refused_request_once_when_targets_read_late() {
    for seed in 0..6 {
        run(async {
            let fleet = Fleet::start_plain(174, 4, None).await;
            let host = fleet.start_host(0).await;
            earn_retries(&host);
            fleet.engines[0].behaviour.set(Behaviour::Refuses);
            let late = Behaviour::Late(Duration::from_millis(100 * seed));
            for target in &fleet.engines[1..] {
                target.behaviour.set(late);
                target.is_stopped.set(true);
                let listed = host.gateway.targets.by_id(&target.id);
                listed.unwrap().record_failure(Instant::now());
            }
            let go_on = async {
                for target in &fleet.engines[1..] {
                    sleep(Duration::from_millis(200)).await;
                    target.is_stopped.set(false);
                }
            };
            let ((id, body), ()) = tokio::join!(host.answer_of(UNSAFE_PATH), go_on);
            expect_that!(body, some(eq(id.as_str())), "seed {seed}");
            sleep(Duration::from_millis(800)).await;
            // The refused send, and the one that ran.
            expect_that!(fleet.run_count(&id), eq(2), "seed {seed}");
        });
    }
}

/// Guards against a failed second send that ends the first one.
#[gtest]
fn serve_keeps_silent_target_when_second_one_fails() {
    for behaviour in [Behaviour::Fails, Behaviour::LosesAnswer] {
        run(async {
            let fleet = Fleet::start_plain(143, 2, None).await;
            let host = fleet.start_host(0).await;
            earn_retries(&host);
            let late = Behaviour::Late(Duration::from_millis(1500));
            fleet.engines[0].behaviour.set(late);
            fleet.engines[1].behaviour.set(behaviour);
            prefer_first_target(&fleet, &host);
            let (id, body) = host.answer_of(SAFE_PATH).await;
            expect_that!(body, some(eq(id.as_str())), "{behaviour:?}");
            expect_that!(fleet.run_count(&id), eq(2));
        });
    }
}

/// Guards against a second send beside a silent one where the request may run once (TWICE), or where its
/// attempts are used up (BUDGET).
#[gtest]
fn serve_sends_beside_silent_targets_within_limits() {
    for (path, sends_max) in [(UNSAFE_PATH, 1), (SAFE_PATH, 2)] {
        run(async {
            let fleet = Fleet::start_plain(144, 4, None).await;
            let host = fleet.start_host(0).await;
            earn_retries(&host);
            for target in &fleet.engines {
                let late = Behaviour::Late(Duration::from_millis(2500));
                target.behaviour.set(late);
            }
            let (id, body) = host.answer_of(path).await;
            expect_that!(body, some(eq(id.as_str())));
            expect_that!(fleet.run_count(&id), eq(sends_max), "{path}");
        });
    }
}

/// Guards against work that goes on at both targets after the caller has gone (GONE).
#[gtest]
fn serve_ends_all_attempts_of_caller_that_leaves() {
    run(async {
        let fleet = Fleet::start_plain(145, 2, None).await;
        let host = fleet.start_host(0).await;
        earn_retries(&host);
        for target in &fleet.engines {
            let late = Behaviour::Late(Duration::from_secs(60));
            target.behaviour.set(late);
        }
        let left = Duration::from_millis(1200);
        host.call_plain_and_leave(SAFE_PATH, SOUND_KEY, "", left)
            .await;
        while in_flight(&host) > 0.0 {
            sleep(Duration::from_millis(10)).await;
        }
        expect_that!(
            fleet
                .engines
                .iter()
                .map(|target| target.request_count.get())
                .sum::<u32>(),
            eq(2)
        );
    });
}

/// Guards against a target that is called silent by a host which did not run itself.
#[gtest]
fn serve_sends_once_when_host_did_not_run() {
    run(async {
        let fleet = Fleet::start_plain(146, 2, None).await;
        let host = fleet.start_host(0).await;
        earn_retries(&host);
        for target in &fleet.engines {
            let late = Behaviour::Late(Duration::from_millis(400));
            target.behaviour.set(late);
        }
        let stop = async {
            sleep(Duration::from_millis(200)).await;
            std::thread::sleep(Duration::from_millis(1500));
        };
        let ((id, body), ()) = tokio::join!(host.answer_of(SAFE_PATH), stop);
        expect_that!(body, some(eq(id.as_str())));
        expect_that!(fleet.run_count(&id), eq(1));
    });
}

/// Guards against work that is run again, or said not to have run, after its answer was lost.
#[gtest]
fn serve_does_not_repeat_or_deny_unsafe_request_whose_answer_was_lost() {
    run(async {
        let fleet = Fleet::start_plain(69, 3, None).await;
        let host = fleet.start_host(0).await;
        for target in &fleet.engines {
            target.behaviour.set(Behaviour::LosesAnswer);
        }
        for index in 0..10 {
            let body = format!("body {index}");
            let result = host.call_plain(UNSAFE_PATH, SOUND_KEY, &body).await;
            // 429 and 503 would say that it has not run.
            expect_that!(result, eq(CallerResult::Status(502)));
            expect_that!(fleet.run_count(&host.last_id()), eq(1));
        }
    });
}

/// Guards against a resumed stream that begins again at a service without engines (ORDER).
#[gtest]
fn serve_passes_last_event_on_to_service_without_engines() {
    run(async {
        let fleet = Fleet::start_plain(93, 1, None).await;
        let host = fleet.start_host(0).await;
        let answer = host.resume("/events/a", "19").await;
        expect_that!(answer, some(eq(&(200, "after 19".to_owned()))));
    });
}

/// Guards against an event that a caller has, and of which the target learns nothing, on routes whose
/// streams are not resumed by the gateway.
#[gtest]
fn serve_passes_last_event_on_where_it_resumes_nothing() {
    run(async {
        let fleet = Fleet::start_plain(94, 1, None).await;
        let host = fleet.start_host(0).await;
        for path in [SAFE_PATH, UNSAFE_PATH] {
            for after in ["19", "x"] {
                let answer = host.resume(path, after).await;
                expect_that!(answer, some(eq(&(200, format!("after {after}")))), "{path}");
            }
        }
    });
}

/// Guards against a stream that begins again because the event after which it resumes can't be read
/// (ORDER).
#[gtest]
fn serve_refuses_to_resume_after_unreadable_event() {
    run(async {
        let fleet = Fleet::start_both(95, 1).await;
        let host = fleet.start_host(0).await;
        for path in ["/events/a", MODEL_PATH] {
            let status = host.resume(path, "x").await.map(|(status, _)| status);
            expect_that!(status, some(eq(400)), "{path}");
        }
        expect_that!(fleet.run_count(&host.last_id()), eq(0));
    });
}
