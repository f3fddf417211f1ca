//! Histories of racing patches, checked for linearizability.

use std::{
    sync::Arc,
    time::Duration, //
};

use anvil_core::id::Version;
use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use todc_utils::{
    Action::{
        Call,
        Response, //
    },
    History,
    WGLChecker,
    specifications::Specification, //
};
use tokio::time::Instant;

use super::fleet::{
    Fleet,
    patch, //
};
use crate::{
    config::PatchOutcome,
    fakes::{
        AppendFault,
        PeerFault, //
    }, //
};

const HOSTS: usize = 6;
const OPERATORS: usize = 5;
const PATCHES: usize = 12;

/// What an operator was told.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Operation {
    Accepted { base: Version, version: Version },
    Stale { base: Version, version: Version },
}

/// The number of the version in force.
struct Configuration;

impl Specification for Configuration {
    type State = Version;
    type Operation = Operation;

    fn init() -> Self::State {
        0
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            Operation::Accepted { base, version } => {
                (state == base && *version == base + 1, *version)
            }
            Operation::Stale { base, version } => (state == version && base < version, *state),
        }
    }
}

struct Told {
    called_at: Instant,
    told_at: Instant,
    operation: Operation,
}

fn is_linearizable(told: &[Told]) -> bool {
    let mut events = Vec::new();
    for (process, told) in told.iter().enumerate() {
        events.push((told.called_at, 0, process, Call(told.operation.clone())));
        events.push((told.told_at, 1, process, Response(told.operation.clone())));
    }
    events.sort_by_key(|(at, order, process, _)| (*at, *order, *process));
    let actions = events
        .into_iter()
        .map(|(_, _, process, action)| (process, action))
        .collect();
    WGLChecker::<Configuration>::is_linearizable(History::from_actions(actions))
}

async fn operate(fleet: Arc<Fleet>, operator: usize, mut rng: SmallRng) -> Vec<Told> {
    let mut told = Vec::new();
    for number in 0..PATCHES {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..3000))).await;
        let host = &fleet.hosts[rng.random_range(0..HOSTS)];
        let base = host.state().version();
        let called_at = Instant::now();
        let patch = patch(&format!("o{operator}-{number}"), base);
        // Ask until the answer is known, as an operator would.
        let operation = loop {
            match host.submit(patch.clone()).await {
                PatchOutcome::Accepted { version } => break Operation::Accepted { base, version },
                PatchOutcome::Stale { version, .. } => break Operation::Stale { base, version },
                PatchOutcome::Unknown { .. } | PatchOutcome::NotAppended { .. } => {}
                PatchOutcome::Invalid { message } => panic!("{message}"),
            }
        };
        told.push(Told {
            called_at,
            told_at: Instant::now(),
            operation,
        });
    }
    told
}

async fn disturb(fleet: Arc<Fleet>, mut rng: SmallRng) {
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..500))).await;
        let late = Duration::from_millis(rng.random_range(1..3000));
        match rng.random_range(0..8) {
            0 => fleet.log.inject_faults([AppendFault::LoseAnswer]),
            1 => fleet.log.inject_faults([AppendFault::Twice]),
            2 => fleet
                .log
                .inject_faults([AppendFault::LoseAnswerThenLate(late)]),
            3 => fleet.log.inject_faults([AppendFault::Refuse]),
            4 => fleet
                .peers
                .inject_faults([PeerFault::LoseAnswer, PeerFault::NotSent]),
            5 => {
                let way = &fleet.host_logs[rng.random_range(0..HOSTS)];
                way.set_disconnected(true);
                tokio::time::sleep(late).await;
                way.set_disconnected(false);
            }
            6 => fleet.log.set_delay(late / 10),
            _ => {
                fleet.log.set_down(true);
                tokio::time::sleep(late).await;
                fleet.log.set_down(false);
            }
        }
    }
}

/// Lets operators race through faults; gives what they were told.
async fn run(seed: u64) -> Vec<Told> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let fleet = Arc::new(Fleet::new(HOSTS, 3));
    fleet.settle().await;
    let disturbing = tokio::spawn(disturb(
        Arc::clone(&fleet),
        SmallRng::seed_from_u64(rng.random()),
    ));
    let operators: Vec<_> = (0..OPERATORS)
        .map(|operator| {
            let rng = SmallRng::seed_from_u64(rng.random());
            tokio::spawn(operate(Arc::clone(&fleet), operator, rng))
        })
        .collect();
    let mut told = Vec::new();
    for operator in operators {
        told.extend(operator.await.unwrap());
    }
    disturbing.abort();
    fleet.log.set_down(false);
    for way in &fleet.host_logs {
        way.set_disconnected(false);
    }
    tokio::time::sleep(Duration::from_secs(10)).await;
    check_agreement(seed, &fleet, &told);
    told
}

fn check_agreement(seed: u64, fleet: &Fleet, told: &[Told]) {
    let first = fleet.hosts[0].state();
    for host in &fleet.hosts {
        assert_that!(host.state().digest(), eq(first.digest()), "seed {seed}");
    }
    let accepted = told
        .iter()
        .filter(|told| matches!(told.operation, Operation::Accepted { .. }));
    // Every accepted patch put a team of its own, and no other did.
    assert_that!(accepted.count() as u64, eq(first.version()), "seed {seed}");
    let teams = first.document().teams.len() as u64;
    assert_that!(teams, eq(first.version()), "seed {seed}");
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn histories_of_patches_are_linearizable() {
    for seed in 0..12 {
        let told = run(seed).await;
        expect_that!(is_linearizable(&told), eq(true), "seed {seed}");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn checker_rejects_stale_patch_that_won() {
    let mut told = run(0).await;
    let last = told.iter().map(|told| told.told_at).max().unwrap();
    let after = last + Duration::from_millis(1);
    told.push(Told {
        called_at: after,
        told_at: after,
        operation: Operation::Accepted {
            base: 0,
            version: 1,
        },
    });
    expect_that!(is_linearizable(&told), eq(false));
}
