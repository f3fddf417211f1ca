//! Checks histories of concurrent patches for linearizability.

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

const HOST_COUNT: usize = 6;
const OPERATOR_COUNT: usize = 5;
const PATCHES_PER_OPERATOR: usize = 12;

/// Result of a patch, as the operator got it.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Operation {
    Accepted { base: Version, version: Version },
    Stale { base: Version, version: Version },
}

/// Sequential specification: the state is the number of the version in force.
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

struct Submission {
    called_at: Instant,
    answered_at: Instant,
    operation: Operation,
}

fn is_linearizable(submissions: &[Submission]) -> bool {
    let mut events = Vec::new();
    for (process, submission) in submissions.iter().enumerate() {
        events.push((
            submission.called_at,
            0,
            process,
            Call(submission.operation.clone()),
        ));
        events.push((
            submission.answered_at,
            1,
            process,
            Response(submission.operation.clone()),
        ));
    }
    events.sort_by_key(|(at, order, process, _)| (*at, *order, *process));
    let actions = events
        .into_iter()
        .map(|(_, _, process, action)| (process, action))
        .collect();
    WGLChecker::<Configuration>::is_linearizable(History::from_actions(actions))
}

async fn run_operator(fleet: Arc<Fleet>, operator: usize, mut rng: SmallRng) -> Vec<Submission> {
    let mut submissions = Vec::new();
    for number in 0..PATCHES_PER_OPERATOR {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..3000))).await;
        let host = &fleet.hosts[rng.random_range(0..HOST_COUNT)];
        let base = host.state().version();
        let called_at = Instant::now();
        let patch = patch(&format!("o{operator}-{number}"), base);
        // Submits again until the result is known, as an operator would.
        let operation = loop {
            match host.submit(patch.clone()).await {
                PatchOutcome::Accepted { version } => break Operation::Accepted { base, version },
                PatchOutcome::Stale { version, .. } => break Operation::Stale { base, version },
                PatchOutcome::Unknown { .. } | PatchOutcome::NotAppended { .. } => {}
                PatchOutcome::Invalid { message } => panic!("{message}"),
            }
        };
        submissions.push(Submission {
            called_at,
            answered_at: Instant::now(),
            operation,
        });
    }
    submissions
}

async fn inject_random_faults(fleet: Arc<Fleet>, mut rng: SmallRng) {
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..500))).await;
        let delay = Duration::from_millis(rng.random_range(1..3000));
        match rng.random_range(0..8) {
            0 => fleet.log.inject_faults([AppendFault::LoseAnswer]),
            1 => fleet.log.inject_faults([AppendFault::Twice]),
            2 => fleet
                .log
                .inject_faults([AppendFault::LoseAnswerThenLate(delay)]),
            3 => fleet.log.inject_faults([AppendFault::Refuse]),
            4 => fleet
                .peers
                .inject_faults([PeerFault::LoseAnswer, PeerFault::NotSent]),
            5 => {
                let host_log = &fleet.host_logs[rng.random_range(0..HOST_COUNT)];
                host_log.set_disconnected(true);
                tokio::time::sleep(delay).await;
                host_log.set_disconnected(false);
            }
            6 => fleet.log.set_delay(delay / 10),
            _ => {
                fleet.log.set_down(true);
                tokio::time::sleep(delay).await;
                fleet.log.set_down(false);
            }
        }
    }
}

/// Runs concurrent operators under random faults and returns the results that they got.
async fn run_history(seed: u64) -> Vec<Submission> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let fleet = Arc::new(Fleet::new(HOST_COUNT, 3));
    fleet.settle().await;
    let fault_task = tokio::spawn(inject_random_faults(
        Arc::clone(&fleet),
        SmallRng::seed_from_u64(rng.random()),
    ));
    let operators: Vec<_> = (0..OPERATOR_COUNT)
        .map(|operator| {
            let rng = SmallRng::seed_from_u64(rng.random());
            tokio::spawn(run_operator(Arc::clone(&fleet), operator, rng))
        })
        .collect();
    let mut submissions = Vec::new();
    for operator in operators {
        submissions.extend(operator.await.unwrap());
    }
    fault_task.abort();
    fleet.log.set_down(false);
    for host_log in &fleet.host_logs {
        host_log.set_disconnected(false);
    }
    tokio::time::sleep(Duration::from_secs(10)).await;
    check_agreement(seed, &fleet, &submissions);
    submissions
}

fn check_agreement(seed: u64, fleet: &Fleet, submissions: &[Submission]) {
    let first = fleet.hosts[0].state();
    for host in &fleet.hosts {
        assert_that!(host.state().digest(), eq(first.digest()), "seed {seed}");
    }
    let accepted = submissions
        .iter()
        .filter(|submission| matches!(submission.operation, Operation::Accepted { .. }));
    // Every accepted patch put a team of its own, and no other patch did.
    assert_that!(accepted.count() as u64, eq(first.version()), "seed {seed}");
    let teams = first.document().teams.len() as u64;
    assert_that!(teams, eq(first.version()), "seed {seed}");
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn submit_histories_are_linearizable() {
    for seed in 0..12 {
        let submissions = run_history(seed).await;
        expect_that!(is_linearizable(&submissions), eq(true), "seed {seed}");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn is_linearizable_rejects_accepted_stale_patch() {
    let mut submissions = run_history(0).await;
    let last = submissions
        .iter()
        .map(|submission| submission.answered_at)
        .max()
        .unwrap();
    let later = last + Duration::from_millis(1);
    submissions.push(Submission {
        called_at: later,
        answered_at: later,
        operation: Operation::Accepted {
            base: 0,
            version: 1,
        },
    });
    expect_that!(is_linearizable(&submissions), eq(false));
}
