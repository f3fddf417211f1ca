//! Randomised runs: many calls under few keys, with faults of every kind.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use anvil_core::outcome::{
    Outcome,
    Refused, //
};
use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::time::Instant;

use super::fleet::Fleet;
use crate::{
    fakes::{
        AppendFault,
        Pauser,
        PeerFault,
        ServiceFault, //
    },
    port::ServiceAnswer, //
};

const HOST_COUNT: usize = 4;
const KEY_COUNT: u32 = 25;
const ATTEMPT_COUNT: usize = 200;
const SEED_COUNT: u64 = 20;

/// One caller's request and the answer that it got.
pub struct Attempt {
    pub key: String,
    pub host: usize,
    pub called_at: Instant,
    pub answered_at: Instant,
    pub answer: std::result::Result<ServiceAnswer, Refused>,
}

fn append_fault(rng: &mut SmallRng) -> AppendFault {
    let delay = Duration::from_millis(rng.random_range(1..4000));
    match rng.random_range(0..5) {
        0 => AppendFault::Refuse,
        1 => AppendFault::LoseAnswer,
        2 => AppendFault::Twice,
        3 => AppendFault::Late(delay),
        _ => AppendFault::LoseAnswerThenLate(delay),
    }
}

fn peer_fault(rng: &mut SmallRng) -> PeerFault {
    match rng.random_range(0..3) {
        0 => PeerFault::NotSent,
        1 => PeerFault::LoseAnswer,
        _ => PeerFault::LoseAnswerThenLate(Duration::from_millis(rng.random_range(1..4000))),
    }
}

fn service_fault(rng: &mut SmallRng) -> ServiceFault {
    match rng.random_range(0..3) {
        0 => ServiceFault::NotSent,
        1 => ServiceFault::LoseAnswer,
        _ => ServiceFault::Slow(Duration::from_millis(rng.random_range(1..4000))),
    }
}

/// Injects faults until the task is aborted.
async fn inject_faults_forever(fleet: Arc<Fleet>, mut rng: SmallRng) {
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..400))).await;
        match rng.random_range(0..12) {
            0..=3 => fleet.log.inject_faults([append_fault(&mut rng)]),
            4..=6 => fleet.peers.inject_faults([peer_fault(&mut rng)]),
            7..=9 => fleet.service.inject_faults([service_fault(&mut rng)]),
            10 => fleet
                .log
                .set_delay(Duration::from_millis(rng.random_range(0..300))),
            _ => {
                fleet.log.set_down(true);
                tokio::time::sleep(Duration::from_millis(rng.random_range(1..6000))).await;
                fleet.log.set_down(false);
            }
        }
    }
}

async fn attempt(fleet: Arc<Fleet>, mut rng: SmallRng) -> Attempt {
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..60_000))).await;
    let key = format!("k{}", rng.random_range(0..KEY_COUNT));
    let host = rng.random_range(0..HOST_COUNT);
    let called_at = Instant::now();
    let answer = fleet.call(host, &key, "body").await;
    Attempt {
        key,
        host,
        called_at,
        answered_at: Instant::now(),
        answer,
    }
}

/// Runs calls with faults while host 0 is paused for a while, and returns the attempts.
pub async fn run(seed: u64) -> (Arc<Fleet>, Vec<Attempt>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let pauser = Pauser::new(rng.random_range(0..400));
    let fleet = Arc::new(Fleet::with_pausers(HOST_COUNT, |host| {
        (host == 0).then(|| Arc::clone(&pauser))
    }));
    let fault_task = tokio::spawn(inject_faults_forever(
        Arc::clone(&fleet),
        SmallRng::seed_from_u64(rng.random()),
    ));
    let handles: Vec<_> = (0..ATTEMPT_COUNT)
        .map(|_| {
            let rng = SmallRng::seed_from_u64(rng.random());
            tokio::spawn(attempt(Arc::clone(&fleet), rng))
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..90_000))).await;
    pauser.resume();
    let mut attempts = Vec::new();
    for handle in handles {
        attempts.push(handle.await.unwrap());
    }
    fault_task.abort();
    tokio::time::sleep(Duration::from_secs(30)).await;
    (fleet, attempts)
}

fn check_attempts(seed: u64, fleet: &Fleet, attempts: &[Attempt]) {
    let mut runs: HashMap<String, Vec<_>> = HashMap::new();
    for run in fleet.service.runs() {
        let key = run.key.clone().unwrap().to_string();
        runs.entry(key).or_default().push(run);
    }
    for (key, runs) in &runs {
        assert_that!(runs.len(), eq(1), "seed {seed}: {key} ran twice");
    }
    let mut answers: HashMap<&str, &ServiceAnswer> = HashMap::new();
    for attempt in attempts {
        let run = runs.get(&attempt.key).map(|runs| &runs[0]);
        match &attempt.answer {
            Ok(answer) => {
                assert_that!(run.is_some(), eq(true), "seed {seed}: answer without a run");
                let first = *answers.entry(attempt.key.as_str()).or_insert(answer);
                assert_that!(answer, eq(first), "seed {seed}: answer of another run");
            }
            Err(refused) if refused.outcome == Outcome::NotRun => {
                let Some(run) = run else { continue };
                let key = &attempt.key;
                assert_that!(
                    run.at,
                    ge(attempt.answered_at),
                    "seed {seed}: {key} had run before not_run"
                );
                // Only a request that arrived later may have run the call. A copy that was delayed
                // from an earlier request may not.
                let has_later_attempt = attempts.iter().any(|other| {
                    other.key == *key
                        && run.target == format!("host-{}", other.host)
                        && other.called_at >= attempt.called_at
                });
                assert_that!(
                    has_later_attempt,
                    eq(true),
                    "seed {seed}: {key} ran after not_run"
                );
            }
            Err(_) => {}
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_runs_at_most_once_through_random_faults() {
    let mut answered_count = 0;
    for seed in 0..SEED_COUNT {
        let (fleet, attempts) = run(seed).await;
        check_attempts(seed, &fleet, &attempts);
        answered_count += attempts
            .iter()
            .filter(|attempt| attempt.answer.is_ok())
            .count();
    }
    // Guards against runs that prove little because few calls were answered.
    expect_that!(answered_count, gt(SEED_COUNT as usize * ATTEMPT_COUNT / 8));
}
