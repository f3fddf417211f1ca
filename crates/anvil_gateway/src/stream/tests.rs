use std::{
    collections::HashSet,
    time::Duration, //
};

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
    LETHAL_PART,
    MODEL_PATH,
    run,
    wait_for_peers, //
};

mod large;

/// Most engines that may end under requests with one part.
const ENDED_MAX: usize = 5;
/// Most engines that may end later, in a trial of whether the part still ends engines.
const TRIALS_MAX: usize = 1;
/// Several times the interval at which hosts inform one another.
const EXCHANGE_TIME: Duration = Duration::from_secs(2);

/// Sends requests with the lethal part, each with another first part, to a host.
async fn send_lethal(host: &Host, count: usize) {
    for index in 0..count {
        host.call(&[&format!("sound-{index}"), LETHAL_PART]).await;
    }
}

#[gtest]
fn serve_stops_sending_part_that_ends_engines() {
    run(async {
        let fleet = Fleet::start(11, 12).await;
        let host = fleet.start_host(0).await;
        send_lethal(&host, 10).await;
        expect_that!(fleet.ended_count(), le(ENDED_MAX));
        for index in 0..10 {
            let sound = format!("sound-{index}");
            expect_that!(host.call(&[&sound]).await, eq(CallerResult::Complete));
        }
    });
}

#[gtest]
fn serve_stops_sending_part_that_ended_engines_of_peers() {
    run(async {
        let fleet = Fleet::start(12, 16).await;
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
fn serve_stops_sending_part_that_ended_engines_before_restart() {
    run(async {
        let fleet = Fleet::start(13, 16).await;
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
fn serve_stops_sending_part_that_ended_engines_before_restart_of_all_hosts() {
    run(async {
        let fleet = Fleet::start(14, 16).await;
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

/// Guards against a request that ends engine after engine while others with the same prompt parts are
/// answered.
#[gtest]
fn serve_stops_sending_request_that_ends_engines_whose_parts_are_answered() {
    run(async {
        let fleet = Fleet::start(18, 16).await;
        let hosts = [fleet.start_host(0).await, fleet.start_host(1).await];
        wait_for_peers(&[&hosts[0], &hosts[1]]).await;
        for index in 0..8 {
            let host = &hosts[index % hosts.len()];
            host.call_model(&["sound"], "/m/lethal", LETHAL_BODY).await;
            for (path, body) in [("/m/lethal", "other"), ("/m/other", LETHAL_BODY)] {
                let result = host.call_model(&["sound"], path, body).await;
                expect_that!(result, eq(CallerResult::Complete));
            }
        }
        expect_that!(fleet.ended_count(), le(ENDED_MAX));
    });
}

/// Guards against a request that ends engine after engine, as it is resumed and sent again, until its
/// evidence suffices and none is left for others.
#[gtest]
fn serve_keeps_engines_for_others_when_request_ends_them() {
    run(async {
        let fleet = Fleet::start(93, 4).await;
        let hosts = [fleet.start_host(0).await, fleet.start_host(1).await];
        wait_for_peers(&[&hosts[0], &hosts[1]]).await;
        send_sound(&hosts, 10).await;
        for index in 0..6 {
            let host = &hosts[index % hosts.len()];
            host.call_model(&[], "/m/lethal", LETHAL_BODY).await;
        }
        expect_that!(fleet.ended_count(), le(2));
        send_sound(&hosts, 10).await;
    });
}

/// Sends requests to the hosts in turn, and expects that all are answered.
async fn send_sound(hosts: &[Host], count: usize) {
    for index in 0..count {
        let result = hosts[index % hosts.len()].call(&["sound"]).await;
        expect_that!(result, eq(CallerResult::Complete));
    }
}

#[gtest]
fn serve_keeps_to_limit_of_engine_over_all_hosts() {
    const LIMIT_PER_S: f64 = 1.0;
    run(async {
        let fleet = Fleet::start(15, 2).await;
        let limited = &fleet.engines[0];
        limited.limit_per_s.set(Some(LIMIT_PER_S));
        let mut hosts = Vec::new();
        for index in 0..3 {
            hosts.push(fleet.start_host(index).await);
        }
        wait_for_peers(&hosts.iter().collect::<Vec<_>>()).await;
        send_sound(&hosts, 30).await;
        sleep(EXCHANGE_TIME).await;
        limited.request_count.set(0);
        let start = Instant::now();
        send_sound(&hosts, 90).await;
        let window_s = start.elapsed().as_secs_f64().max(4.0);
        let allowed = 1.5 * LIMIT_PER_S * window_s + 5.0;
        expect_that!(f64::from(limited.request_count.get()), le(allowed));
    });
}

/// Guards against hosts that keep to a limit which is no longer stated.
#[gtest]
fn serve_uses_engine_again_after_its_limit_ended() {
    const REQUESTS_PER_STEP: usize = 6;
    const STEPS_MAX: usize = 100;
    run(async {
        let fleet = Fleet::start(16, 2).await;
        let limited = &fleet.engines[0];
        limited.limit_per_s.set(Some(1.0));
        let hosts = [fleet.start_host(0).await, fleet.start_host(1).await];
        wait_for_peers(&[&hosts[0], &hosts[1]]).await;
        send_sound(&hosts, 30).await;
        limited.limit_per_s.set(None);
        let mut requests_in_step = 0;
        for _ in 0..STEPS_MAX {
            limited.request_count.set(0);
            send_sound(&hosts, REQUESTS_PER_STEP).await;
            requests_in_step = limited.request_count.get();
            if requests_in_step > 1 {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        expect_that!(requests_in_step, gt(1));
    });
}

/// Guards against streams that are lost on one silent connection of an engine after the other.
#[gtest]
fn serve_doubts_kept_connections_when_one_is_silent() {
    run(async {
        let fleet = Fleet::start(17, 1).await;
        let engine = &fleet.engines[0];
        let host = fleet.start_host(0).await;
        // Several connections are kept, as several requests are open together.
        let calls = (0..6).map(|_| host.call(&["sound"]));
        futures::future::join_all(calls).await;
        engine.fall_silent();
        for _ in 0..3 {
            host.call(&["sound"]).await;
        }
        expect_that!(engine.silent_request_count.get(), le(1));
    });
}

/// The same where only a drawn share of the connections is silent.
#[gtest]
fn serve_doubts_kept_connections_when_drawn_share_is_silent() {
    for seed in 0..6 {
        run(async {
            let mut rng = SmallRng::seed_from_u64(seed);
            let fleet = Fleet::start(41 + seed as u8, 1).await;
            let engine = &fleet.engines[0];
            let host = fleet.start_host(0).await;
            let calls = (0..6).map(|_| host.call(&["sound"]));
            futures::future::join_all(calls).await;
            let share = rng.random_range(0.3..0.9);
            engine.fall_silent_partly(share, &mut rng);
            for _ in 0..4 {
                host.call(&["sound"]).await;
            }
            expect_that!(engine.silent_request_count.get(), le(1), "seed {seed}");
        });
    }
}

/// Guards against a slow but sound stream that is cut or sent again.
#[gtest]
fn serve_relays_slow_stream_to_its_end() {
    run(async {
        let fleet = Fleet::start(61, 2).await;
        let host = fleet.start_host(0).await;
        for engine in &fleet.engines {
            engine.behaviour.set(Behaviour::Slow {
                events: 5,
                pause: Duration::from_millis(600),
            });
        }
        expect_that!(host.call(&["part"]).await, eq(CallerResult::Complete));
        expect_that!(fleet.run_count(&host.last_id()), eq(1));
    });
}

/// Guards against a stalled stream that never ends because a byte of it comes now and then.
#[gtest]
fn serve_ends_stalled_stream_whose_bytes_complete_no_event() {
    run(async {
        let fleet = Fleet::start(62, 2).await;
        let host = fleet.start_host(0).await;
        for engine in &fleet.engines {
            engine.behaviour.set(Behaviour::Stalled {
                pause: Duration::from_millis(50),
            });
        }
        let start = Instant::now();
        let result = host.call_within(Duration::from_secs(3)).await;
        expect_that!(result, eq(CallerResult::Broken));
        // Before the deadline of the route.
        expect_that!(start.elapsed(), lt(Duration::from_secs(20)));
    });
}

/// Guards against a stream that runs on more engines than its route allows attempts, as those that leave
/// are not counted (BUDGET).
#[gtest]
fn serve_counts_leaving_engines_among_attempts() {
    run(async {
        let fleet = Fleet::start(171, 4).await;
        let host = fleet.start_host(0).await;
        for _ in 0..200 {
            host.gateway.record_request(&"model".into());
        }
        for engine in &fleet.engines {
            engine.behaviour.set(Behaviour::BreaksOff);
            engine.says_leaving.set(true);
        }
        expect_that!(host.call(&["part"]).await, eq(CallerResult::Broken));
        expect_that!(fleet.run_count(&host.last_id()), eq(2));
    });
}

/// Longer than a stream is waited for before it is sent again, and shorter than callers wait.
const LONG_PAUSE: Duration = Duration::from_millis(1900);

/// Guards against a sound stream that is cut because its engine pauses (LOST).
#[gtest]
fn serve_completes_stream_whose_engines_pause() {
    run(async {
        let fleet = Fleet::start(121, 2).await;
        let host = fleet.start_host(0).await;
        for engine in &fleet.engines {
            engine.behaviour.set(Behaviour::PausesOnce {
                events: 8,
                before: 4,
                pause: LONG_PAUSE,
            });
        }
        expect_that!(host.call(&["part"]).await, eq(CallerResult::Complete));
        expect_that!(fleet.run_count(&host.last_id()), le(2));
    });
}

/// The same where the engines pause before the head of their answers.
#[gtest]
fn serve_completes_stream_whose_engines_answer_late() {
    run(async {
        let fleet = Fleet::start(122, 2).await;
        let host = fleet.start_host(0).await;
        for engine in &fleet.engines {
            engine.head_delay.set(LONG_PAUSE);
        }
        expect_that!(host.call(&["part"]).await, eq(CallerResult::Complete));
        expect_that!(fleet.run_count(&host.last_id()), le(2));
    });
}

/// Guards against streams that are cut when all engines pause and the retry budget is spent (LOST).
#[gtest]
fn serve_completes_streams_when_all_engines_pause_at_once() {
    run(async {
        let fleet = Fleet::start(123, 3).await;
        let hosts = [fleet.start_host(0).await, fleet.start_host(1).await];
        wait_for_peers(&[&hosts[0], &hosts[1]]).await;
        for engine in &fleet.engines {
            engine.behaviour.set(Behaviour::PausesOnce {
                events: 8,
                before: 4,
                pause: LONG_PAUSE,
            });
        }
        let service = "model".into();
        for host in &hosts {
            while host.gateway.take_extra_send(&service, Need::Resume).0 {}
        }
        let calls = (0..40).map(|index| hosts[index % 2].call(&["part"]));
        let results = futures::future::join_all(calls).await;
        expect_that!(results, each(eq(&CallerResult::Complete)));
    });
}

/// Guards against engines that take no requests because the streams of one host are silent there.
#[gtest]
fn serve_uses_engines_of_silent_streams_for_other_requests() {
    run(async {
        let fleet = Fleet::start(124, 2).await;
        let hosts = [fleet.start_host(0).await, fleet.start_host(1).await];
        wait_for_peers(&[&hosts[0], &hosts[1]]).await;
        let set_all = |behaviour| {
            for engine in &fleet.engines {
                engine.behaviour.set(behaviour);
            }
        };
        set_all(Behaviour::PausesOnce {
            events: 8,
            before: 4,
            pause: Duration::from_secs(3),
        });
        let host = &hosts[0];
        let silent = (0..8).map(|_| host.call(&["silent"]));
        let others = async {
            // By then the silent streams have been sent again where they may be.
            sleep(Duration::from_millis(1700)).await;
            set_all(Behaviour::Sound);
            for _ in 0..10 {
                expect_that!(host.call(&["part"]).await, eq(CallerResult::Complete));
            }
        };
        let (silent, ()) = tokio::join!(futures::future::join_all(silent), others);
        expect_that!(silent, each(eq(&CallerResult::Complete)));
    });
}

/// Guards against a host that takes all streams for silent after it did not run for a while (LOST).
#[gtest]
fn serve_sends_no_stream_again_after_host_did_not_run() {
    run(async {
        let fleet = Fleet::start(125, 2).await;
        let hosts = [fleet.start_host(0).await, fleet.start_host(1).await];
        wait_for_peers(&[&hosts[0], &hosts[1]]).await;
        for engine in &fleet.engines {
            engine.behaviour.set(Behaviour::Slow {
                events: 10,
                pause: Duration::from_millis(50),
            });
        }
        let calls = (0..12).map(|index| hosts[index % 2].call(&["part"]));
        let stop = async {
            sleep(Duration::from_millis(200)).await;
            std::thread::sleep(Duration::from_millis(1600));
        };
        let (results, ()) = tokio::join!(futures::future::join_all(calls), stop);
        expect_that!(results, each(eq(&CallerResult::Complete)));
        let ids: HashSet<_> = (fleet.engines.iter())
            .flat_map(|engine| engine.run_ids.borrow().clone())
            .collect();
        expect_that!(ids.len(), eq(12));
        let run_counts: Vec<usize> = ids.iter().map(|id| fleet.run_count(id)).collect();
        expect_that!(run_counts, each(eq(&1)));
    });
}

/// Guards against a silent stream that is sent again and again (BUDGET).
#[gtest]
fn serve_sends_silent_stream_as_often_as_route_allows() {
    run(async {
        let fleet = Fleet::start(126, 4).await;
        let hosts = [fleet.start_host(0).await, fleet.start_host(1).await];
        wait_for_peers(&[&hosts[0], &hosts[1]]).await;
        // The retry budget grows with the requests.
        send_sound(&hosts, 60).await;
        let host = &hosts[0];
        for engine in &fleet.engines {
            engine.behaviour.set(Behaviour::Stalled {
                pause: Duration::from_millis(50),
            });
        }
        let result = host.call_within(Duration::from_secs(6)).await;
        expect_that!(result, eq(CallerResult::Broken));
        expect_that!(fleet.run_count(&host.last_id()), le(2));
    });
}

/// Guards against an engine that fails each request at once, and gets most of them because it has the
/// fewest in flight.
#[gtest]
fn serve_sends_few_streams_to_engine_that_fails_at_once() {
    run(async {
        let fleet = Fleet::start(64, 4).await;
        let hosts = [fleet.start_host(0).await, fleet.start_host(1).await];
        wait_for_peers(&[&hosts[0], &hosts[1]]).await;
        fleet.engines[0].behaviour.set(Behaviour::Fails);
        let mut complete = 0;
        for _ in 0..40 {
            for host in &hosts {
                let result = host.call(&["part"]).await;
                complete += usize::from(result == CallerResult::Complete);
            }
        }
        // Two errors at each host show that the engine fails.
        expect_that!(fleet.engines[0].request_count.get(), le(4));
        expect_that!(complete, ge(76));
    });
}

/// Guards against an error of the next engine, or an end that looks complete, in the middle of a stream
/// that broke off (ORDER, MIXED).
#[gtest]
fn serve_writes_nothing_after_events_when_next_engine_fails() {
    run(async {
        let fleet = Fleet::start(92, 2).await;
        let host = fleet.start_host(0).await;
        fleet.engines[0].behaviour.set(Behaviour::BreaksOff);
        fleet.engines[1].behaviour.set(Behaviour::Fails);
        let mut begun = 0;
        for _ in 0..12 {
            let answer = host.call_raw(MODEL_PATH).await;
            let answer = answer.as_str();
            expect_that!(answer.matches("HTTP/1.1 ").count(), eq(1), "{answer}");
            if answer.starts_with("HTTP/1.1 200") {
                begun += 1;
                let (_, body) = answer.split_once("\r\n\r\n").unwrap();
                expect_that!(body, eq("f\r\nid: 1\ndata: a\n\n\r\n"));
            }
        }
        expect_that!(begun, ge(1));
    });
}

mod plain;
