use std::{
    rc::Rc,
    time::Duration, //
};

use anvil_core::reachability::Belief;
use googletest::prelude::*;
use tokio::time::{
    Instant,
    sleep, //
};

use super::open_directly;
use crate::tests::fleet::{
    CallerResult,
    Fleet,
    Host,
    SAFE_PATH,
    SOUND_KEY,
    UNSAFE_PATH,
    run,
    wait_for_peers, //
};

mod data_centre;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the beginning of a cut after which a host is to serve again.
const STABLE_TIME: Duration = Duration::from_secs(3);
const CALLS: usize = 20;

/// Sends requests to a host for as long as it may take to notice a cut.
async fn call_until_stable(host: &Host, path: &str) {
    let cut_at = Instant::now();
    while cut_at.elapsed() < STABLE_TIME {
        host.answer_of(path).await;
        sleep(POLL_INTERVAL).await;
    }
}

/// Guards against callers that get nothing at a host which has lost its links to all targets.
#[gtest]
fn open_reaches_engines_through_peer_when_cut_off() {
    run(async {
        let fleet = Fleet::start(81, 6).await;
        let host = fleet.start_host_cut_off(0).await;
        let other = fleet.start_host(1).await;
        wait_for_peers(&[&host, &other]).await;
        let cut_at = Instant::now();
        while cut_at.elapsed() < STABLE_TIME {
            host.call(&["a"]).await;
            sleep(POLL_INTERVAL).await;
        }
        let mut complete = 0;
        for _ in 0..CALLS {
            complete += usize::from(host.call(&["a"]).await == CallerResult::Complete);
        }
        expect_that!(complete, eq(CALLS));
    });
}

/// Guards against targets that a host can't reach in time because it did not run itself.
#[gtest]
fn open_directly_waits_for_time_in_which_host_runs() {
    const LIMIT: Duration = Duration::from_millis(600);
    const STOP_TIME: Duration = Duration::from_millis(900);
    run(async {
        let fleet = Fleet::start_plain(147, 1, None).await;
        let host = fleet.start_host(0).await;
        fleet.cut_off_silently(&host);
        let target = Rc::clone(&host.gateway.targets.all()[0]);
        sleep(POLL_INTERVAL * 10).await;
        let stop = async {
            sleep(POLL_INTERVAL).await;
            fleet.answer_unanswered(0);
            std::thread::sleep(STOP_TIME);
        };
        let (opened, ()) = tokio::join!(open_directly(&host.gateway, &target, LIMIT), stop);
        expect_that!(opened.is_ok(), eq(true));
        expect_that!(
            host.gateway.link.belief(&"plain".into()),
            eq(Belief::Connected)
        );
    });
}

/// Guards against the same for plain services, and against a request that runs twice on its way through
/// another host.
#[gtest]
fn open_runs_unsafe_request_once_through_peer() {
    run(async {
        let fleet = Fleet::start_plain(82, 6, None).await;
        let host = fleet.start_host_cut_off(0).await;
        let other = fleet.start_host(1).await;
        wait_for_peers(&[&host, &other]).await;
        call_until_stable(&host, SAFE_PATH).await;
        for path in [SAFE_PATH, UNSAFE_PATH].repeat(CALLS / 2) {
            let (id, body) = host.answer_of(path).await;
            expect_that!(body.as_deref(), some(eq(id.as_str())));
            expect_that!(fleet.run_count(&id), eq(1));
        }
    });
}

/// Guards against sound targets that all hosts avoid because one host can't reach them.
#[gtest]
fn cut_off_host_does_not_make_peers_avoid_targets() {
    run(async {
        let fleet = Fleet::start(83, 6).await;
        let host = fleet.start_host_cut_off(0).await;
        let other = fleet.start_host(1).await;
        wait_for_peers(&[&host, &other]).await;
        let cut_at = Instant::now();
        let mut avoided = 0;
        while cut_at.elapsed() < STABLE_TIME {
            host.call(&["a"]).await;
            sleep(POLL_INTERVAL).await;
            avoided = avoided.max(other.gateway.peers_view().avoided.len());
        }
        // One target that fails is no sign of a cut yet.
        expect_that!(avoided, le(1));
    });
}

/// Guards against requests that are refused at the end of a cut, because nobody searches for hosts any
/// more (RECOVER).
#[gtest]
fn open_uses_own_links_when_cut_ends_during_search() {
    run(async {
        let fleet = Fleet::start_plain(94, 6, None).await;
        fleet.register_unanswered_hosts(12).await;
        let host = fleet.start_host(0).await;
        while host.gateway.peers.borrow().len() < 12 {
            sleep(POLL_INTERVAL).await;
        }
        fleet.cut_off_silently(&host);
        let reconnect = async {
            while host.gateway.link.belief(&"plain".into()) != Belief::CutOff {
                sleep(POLL_INTERVAL).await;
            }
            fleet.reconnect(&host);
        };
        let (result, ()) = futures::join!(host.call_plain(SAFE_PATH, SOUND_KEY, ""), reconnect);
        expect_that!(result, eq(CallerResult::Complete));
    });
}

/// Guards against a service whose requests must show again what those of another service have shown:
/// that the host is cut off (RECOVER).
#[gtest]
fn cut_off_host_examines_links_to_all_services() {
    run(async {
        let fleet = Fleet::start_both(90, 6).await;
        let host = fleet.start_host(0).await;
        let other = fleet.start_host(1).await;
        wait_for_peers(&[&host, &other]).await;
        fleet.cut_off_silently(&host);
        call_until_stable(&host, SAFE_PATH).await;
        for service in ["plain", "model"] {
            let belief = host.gateway.link.belief(&service.into());
            expect_that!(belief, eq(Belief::CutOff), "{service}");
        }
    });
}

/// Guards against hosts that learn of a cut by requests of their own alone, each of which is late or
/// fails, while their neighbours know of it (RECOVER).
#[gtest]
fn host_without_requests_examines_links_when_neighbour_is_cut_off() {
    run(async {
        let fleet = Fleet::start_both(91, 6).await;
        let hosts = [
            fleet.start_host_in(0, "a").await,
            fleet.start_host_in(1, "a").await,
            fleet.start_host_in(2, "a").await,
            fleet.start_host_in(3, "b").await,
        ];
        wait_for_peers(&hosts.each_ref()).await;
        let [host, idle, sound, remote] = &hosts;
        sleep(STABLE_TIME).await;
        fleet.cut_off_silently(host);
        fleet.cut_off_silently(idle);
        call_until_stable(host, SAFE_PATH).await;
        for service in ["plain", "model"] {
            let belief = |host: &Host| host.gateway.link.belief(&service.into());
            expect_that!(belief(idle), eq(Belief::CutOff), "{service}");
            expect_that!(belief(sound), eq(Belief::Connected), "{service}");
            expect_that!(belief(remote), eq(Belief::Connected), "{service}");
        }
    });
}

/// Guards against requests that wait, or go from host to host, where no host reaches a target.
#[gtest]
fn open_fails_when_all_hosts_are_cut_off() {
    run(async {
        let fleet = Fleet::start_plain(84, 6, None).await;
        let hosts = [
            fleet.start_host_cut_off(0).await,
            fleet.start_host_cut_off(1).await,
            fleet.start_host_cut_off(2).await,
        ];
        wait_for_peers(&hosts.each_ref()).await;
        for host in &hosts {
            call_until_stable(host, SAFE_PATH).await;
            for path in [SAFE_PATH, UNSAFE_PATH] {
                let result = host.call_plain(path, "key-b", "").await;
                expect_that!(result, eq(CallerResult::Status(503)));
            }
            expect_that!(
                host.gateway.link.belief(&"plain".into()),
                eq(Belief::CutOff)
            );
        }
        for engine in &fleet.engines {
            expect_that!(engine.request_count.get(), eq(0));
        }
    });
}

/// Guards against a host that goes on sending through others after its links are back.
#[gtest]
fn open_uses_own_links_after_cut_ends() {
    run(async {
        let fleet = Fleet::start_plain(85, 6, None).await;
        let host = fleet.start_host_cut_off(0).await;
        let other = fleet.start_host(1).await;
        wait_for_peers(&[&host, &other]).await;
        call_until_stable(&host, SAFE_PATH).await;
        fleet.reconnect(&host);
        sleep(STABLE_TIME / 3).await;
        expect_that!(
            host.gateway.link.belief(&"plain".into()),
            eq(Belief::Connected)
        );
        other.kill().await;
        for path in [SAFE_PATH, UNSAFE_PATH].repeat(CALLS / 2) {
            let (id, body) = host.answer_of(path).await;
            expect_that!(body.as_deref(), some(eq(id.as_str())));
        }
    });
}
