//! Cuts of all hosts of one data centre from all targets, while hosts of another one reach them.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use futures::future::join_all;
use googletest::prelude::*;
use tokio::{
    task::JoinSet,
    time::{
        Instant,
        sleep, //
    },
};

use super::STABLE_TIME;
use crate::tests::fleet::{
    CallerResult,
    Fleet,
    Host,
    MODEL_PATH,
    SAFE_PATH,
    SOUND_KEY,
    run,
    wait_for_peers, //
};

/// Time for which first tries are counted.
const COUNTED_TIME: Duration = Duration::from_secs(6);
/// First tries that may fail at cut hosts, besides one in [`FAILED_SHARE`].
const FAILED_MAX: usize = 10;
const FAILED_SHARE: usize = 50;

/// How connections to targets fail at a cut host.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Cut {
    Refused,
    Unanswered,
    /// New connections are not answered, and kept ones are silent.
    KeptSilent,
}

/// A cut of all hosts of data centre `a`.
#[derive(Clone, Copy)]
struct Case {
    /// Second byte of the loopback addresses.
    network: u8,
    cut_hosts: u8,
    sound_hosts: u8,
    cut: Cut,
    path: &'static str,
    /// Time between two requests, which come to the cut hosts by turns.
    interval: Duration,
}

/// First tries of callers at cut hosts, from [`STABLE_TIME`] after the beginning of the cut.
#[derive(Clone, Copy, Debug, Default)]
struct FirstTries {
    served: usize,
    sent: usize,
}

impl FirstTries {
    fn is_within_bound(self) -> bool {
        self.sent - self.served <= FAILED_MAX + self.sent / FAILED_SHARE
    }
}

/// Sends requests at the same time, so that the host keeps a connection to each target.
async fn keep_connections(fleet: &Fleet, host: &Rc<Host>, path: &'static str) {
    let call = || async { host.call_plain(path, SOUND_KEY, "").await };
    let calls = fleet.engines.iter().map(|_| call());
    join_all(calls).await;
}

/// Cuts hosts off, sends requests to them by turns, and counts those that are served.
async fn first_tries(fleet: &Fleet, hosts: &[Rc<Host>], case: Case) -> FirstTries {
    if case.cut == Cut::KeptSilent {
        for host in hosts {
            keep_connections(fleet, host, case.path).await;
        }
        for engine in &fleet.engines {
            engine.fall_silent();
        }
    }
    for host in hosts {
        match case.cut {
            Cut::Refused => fleet.cut_off(host),
            Cut::Unanswered | Cut::KeptSilent => fleet.cut_off_silently(host),
        }
    }
    let cut_at = Instant::now();
    let tries = Rc::new(Cell::new(FirstTries::default()));
    let mut calls = JoinSet::new();
    for host in hosts.iter().cycle() {
        if cut_at.elapsed() > STABLE_TIME + COUNTED_TIME {
            break;
        }
        let is_counted = cut_at.elapsed() >= STABLE_TIME;
        let (host, tries) = (Rc::clone(host), Rc::clone(&tries));
        calls.spawn_local(async move {
            let result = host.call_plain(case.path, SOUND_KEY, "").await;
            if is_counted {
                let FirstTries { served, sent } = tries.get();
                tries.set(FirstTries {
                    served: served + usize::from(result == CallerResult::Complete),
                    sent: sent + 1,
                });
            }
        });
        sleep(case.interval).await;
    }
    while calls.join_next().await.is_some() {}
    tries.get()
}

async fn play(case: Case) -> FirstTries {
    let fleet = match case.path {
        MODEL_PATH => Fleet::start(case.network, 6).await,
        _ => Fleet::start_plain(case.network, 6, None).await,
    };
    let mut cut_hosts = Vec::new();
    for index in 0..case.cut_hosts {
        cut_hosts.push(Rc::new(fleet.start_host_in(index, "a").await));
    }
    let mut sound_hosts = Vec::new();
    for index in 0..case.sound_hosts {
        let host = fleet.start_host_in(case.cut_hosts + index, "b").await;
        sound_hosts.push(host);
    }
    let all = cut_hosts.iter().map(Rc::as_ref).chain(&sound_hosts);
    wait_for_peers(&all.collect::<Vec<_>>()).await;
    first_tries(&fleet, &cut_hosts, case).await
}

/// Guards against callers who get nothing at the hosts of a data centre that is cut off as a whole,
/// though the hosts of another one reach all targets (RECOVER).
#[gtest]
fn open_reaches_targets_when_own_data_centre_is_cut_off() {
    let case = Case {
        network: 110,
        cut_hosts: 30,
        sound_hosts: 12,
        cut: Cut::Refused,
        path: SAFE_PATH,
        interval: Duration::from_millis(20),
    };
    let cases = [
        ("connections are refused", case),
        (
            "connections are not answered",
            Case {
                network: 111,
                cut: Cut::Unanswered,
                ..case
            },
        ),
        (
            "streams",
            Case {
                network: 112,
                cut: Cut::Unanswered,
                path: MODEL_PATH,
                ..case
            },
        ),
        (
            "few sound hosts",
            Case {
                network: 113,
                cut_hosts: 39,
                sound_hosts: 3,
                cut: Cut::Unanswered,
                ..case
            },
        ),
    ];
    for (name, case) in cases {
        run(async move {
            let tries = play(case).await;
            expect_that!(tries.is_within_bound(), eq(true), "{name}: {tries:?}");
        });
    }
}

/// Guards against a host that notices a cut only by requests of its own: each of these hosts has one
/// request in three seconds (RECOVER).
#[gtest]
fn open_reaches_targets_when_requests_at_cut_hosts_are_rare() {
    let case = Case {
        network: 114,
        cut_hosts: 30,
        sound_hosts: 12,
        cut: Cut::Unanswered,
        path: SAFE_PATH,
        interval: Duration::from_millis(100),
    };
    let cases = [
        ("requests that may be repeated", case),
        (
            "streams",
            Case {
                network: 115,
                path: MODEL_PATH,
                ..case
            },
        ),
    ];
    for (name, case) in cases {
        run(async move {
            let tries = play(case).await;
            expect_that!(tries.is_within_bound(), eq(true), "{name}: {tries:?}");
        });
    }
}

/// Guards against a cut that kept connections hide: requests on them are not answered (RECOVER).
#[gtest]
fn open_reaches_targets_when_kept_connections_are_silent() {
    run(async {
        let tries = play(Case {
            network: 116,
            cut_hosts: 30,
            sound_hosts: 12,
            cut: Cut::KeptSilent,
            path: SAFE_PATH,
            interval: Duration::from_millis(100),
        })
        .await;
        expect_that!(tries.is_within_bound(), eq(true), "{tries:?}");
    });
}
