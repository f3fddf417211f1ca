//! Equal requests that end each target which runs them, again and again, at hosts and targets that have
//! other troubles beside.

use std::{
    rc::Rc,
    time::Duration, //
};

use googletest::prelude::*;
use tokio::{
    task::JoinSet,
    time::{
        Instant,
        sleep, //
    },
};

use crate::tests::fleet::{
    Fleet,
    LETHAL_BODY,
    LETHAL_KEY,
    Lethal,
    SAFE_PATH,
    run,
    wait_for_peers, //
};

/// Time after the third end from which on few of the requests may reach targets.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Most requests that may reach targets after that.
const LATE_MAX: usize = 3;
/// Time for which requests are sent.
const TEST_TIME: Duration = Duration::from_secs(14);
/// Time after which a target that ended starts again.
const RESTART_DELAY: Duration = Duration::from_millis(3200);

/// How callers send the requests.
#[derive(Clone, Copy)]
enum Callers {
    /// They wait for the answer.
    Wait,
    /// They close their connections after a time.
    Leave(Duration),
}

#[derive(Clone, Copy)]
struct Case {
    /// Second byte of the loopback addresses.
    network: u8,
    hosts: u8,
    /// Hosts, of those, that reach targets through others alone.
    cut_hosts: usize,
    targets: u8,
    /// Targets, of those, that answer some of the requests with an error.
    failing_targets: usize,
    /// Time for which a request runs before its target ends.
    delay: Duration,
    callers: Callers,
    interval: Duration,
    /// Whether hosts hear nothing from one another.
    is_isolated: bool,
}

const CASE: Case = Case {
    network: 0,
    hosts: 6,
    cut_hosts: 0,
    targets: 3,
    failing_targets: 0,
    delay: Duration::ZERO,
    callers: Callers::Wait,
    interval: Duration::from_millis(400),
    is_isolated: false,
};

/// Sends equal requests that end targets to the hosts by turns, and returns how many reached targets
/// late.
async fn play(case: Case) -> usize {
    let fleet = Fleet::start_plain(case.network, case.targets, Some(RESTART_DELAY)).await;
    for (index, target) in fleet.engines.iter().enumerate() {
        target.lethal.set(Lethal {
            delay: case.delay,
            failed_of_five: match index < case.failing_targets {
                true => 2,
                false => 0,
            },
        });
    }
    let mut hosts = Vec::new();
    for index in 0..case.hosts {
        hosts.push(fleet.start_host(index).await);
    }
    wait_for_peers(&hosts.iter().collect::<Vec<_>>()).await;
    for host in &hosts[..case.cut_hosts] {
        fleet.cut_off_silently(host);
    }
    if case.is_isolated {
        for host in &mut hosts {
            host.isolate();
        }
        sleep(STABLE_TIME).await;
    }
    let hosts: Vec<_> = hosts.into_iter().map(Rc::new).collect();
    let started_at = Instant::now();
    let mut calls = JoinSet::new();
    for host in hosts.iter().cycle() {
        if started_at.elapsed() > TEST_TIME {
            break;
        }
        let host = Rc::clone(host);
        calls.spawn_local(async move {
            match case.callers {
                Callers::Wait => {
                    host.call_plain(SAFE_PATH, LETHAL_KEY, LETHAL_BODY).await;
                }
                Callers::Leave(after) => {
                    host.call_plain_and_leave(SAFE_PATH, LETHAL_KEY, LETHAL_BODY, after)
                        .await;
                }
            }
        });
        sleep(case.interval).await;
    }
    while calls.join_next().await.is_some() {}
    fleet.late_lethal_count(STABLE_TIME)
}

/// Declares tests that play a case each.
macro_rules! late_sends {
    ($($(#[$doc:meta])* $name:ident: $case:expr;)*) => {
        $(
            $(#[$doc])*
            #[gtest]
            fn $name() {
                run(async {
                    expect_that!(play($case).await, le(LATE_MAX));
                });
            }
        )*
    };
}

late_sends! {
    /// Guards against requests that go on ending targets because one target fails some of them: an
    /// error is no proof that the request is sound (BUDGET).
    serve_stops_lethal_request_that_one_target_fails: Case {
        network: 120,
        failing_targets: 1,
        ..CASE
    };
    /// Guards against the same where each target fails some of the requests (BUDGET).
    serve_stops_lethal_request_that_all_targets_fail: Case {
        network: 121,
        failing_targets: 3,
        ..CASE
    };
    /// Guards against ends of which no host learns, because their callers leave before (BUDGET).
    serve_stops_lethal_request_whose_callers_leave: Case {
        network: 122,
        callers: Callers::Leave(Duration::from_millis(20)),
        delay: Duration::from_millis(60),
        ..CASE
    };
    /// Guards against ends after the time for an attempt, which look like slow targets (BUDGET).
    serve_stops_lethal_request_that_ends_targets_late: Case {
        network: 123,
        delay: Duration::from_millis(800),
        ..CASE
    };
    /// Guards against hosts that hear nothing from one another, and send what ended targets of others
    /// (BUDGET).
    serve_stops_lethal_request_at_isolated_hosts: Case {
        network: 124,
        is_isolated: true,
        ..CASE
    };
    /// Guards against ends that are not seen through other hosts (BUDGET).
    serve_stops_lethal_request_through_peers: Case {
        network: 125,
        cut_hosts: 4,
        ..CASE
    };
    /// Guards against ends beside many others of the same request (BUDGET).
    serve_stops_lethal_request_that_comes_often: Case {
        network: 126,
        targets: 7,
        failing_targets: 2,
        interval: Duration::from_millis(50),
        ..CASE
    };
}
