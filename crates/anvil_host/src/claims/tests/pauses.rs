//! Pauses a claimant at each of its calls to an external system, from its claim to the end of its
//! call, and checks that the call runs at most once.

use std::{
    sync::Arc,
    time::Duration, //
};

use anvil_core::outcome::{
    Outcome,
    Refused, //
};
use googletest::prelude::*;
use tokio::time::Instant;

use super::fleet::Fleet;
use crate::{
    fakes::Pauser,
    port::ServiceAnswer, //
};

const BODY: &str = "body";

/// How long the claimant is paused.
#[derive(Clone, Copy, Debug)]
enum Pause {
    For(Duration),
    Forever,
}

struct Reply {
    at: Instant,
    answer: std::result::Result<ServiceAnswer, Refused>,
}

/// Returns a key for whose shard host 0 is the combiner, or is not, as `is_combiner` says.
fn key_combined_by_host_0(is_combiner: bool) -> String {
    let fleet = Fleet::new(3);
    (0..)
        .map(|number| format!("k{number}"))
        .find(|key| {
            let combiners = fleet.dispatchers[0].client().combiners(fleet.shard(key));
            (combiners[0].id == "host-0") == is_combiner
        })
        .unwrap()
}

async fn call(fleet: &Fleet, host: usize, key: &str) -> Reply {
    let answer = fleet.call(host, key, BODY).await;
    Reply {
        at: Instant::now(),
        answer,
    }
}

/// Pauses host 0 from a checkpoint on while the other hosts retry, and returns the number of
/// checkpoints that host 0 has reached.
async fn run_paused_at(checkpoint: u64, pause: Pause, key: &str) -> u64 {
    let pauser = Pauser::new(checkpoint);
    let fleet = Arc::new(Fleet::with_pausers(3, |host| {
        (host == 0).then(|| Arc::clone(&pauser))
    }));
    let first = tokio::spawn({
        let fleet = Arc::clone(&fleet);
        let key = key.to_owned();
        async move { call(&fleet, 0, &key).await }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut replies = vec![call(&fleet, 1, key).await, call(&fleet, 2, key).await];
    match pause {
        Pause::For(duration) => {
            tokio::time::sleep(duration).await;
            pauser.resume();
            replies.push(first.await.unwrap());
        }
        Pause::Forever => first.abort(),
    }
    tokio::time::sleep(Duration::from_secs(20)).await;
    replies.push(call(&fleet, 1, key).await);
    check(
        &fleet,
        &replies,
        &format!("paused at {checkpoint}: {pause:?}"),
    );
    pauser.checkpoint_count()
}

fn check(fleet: &Fleet, replies: &[Reply], case: &str) {
    let runs = fleet.service.runs();
    expect_that!(runs.len(), le(1), "{case}");
    let answers: Vec<_> = replies
        .iter()
        .filter_map(|reply| reply.answer.as_ref().ok())
        .collect();
    if let Some(first) = answers.first() {
        expect_that!(answers, each(eq(first)), "{case}");
    }
    for reply in replies {
        let Err(refused) = &reply.answer else {
            continue;
        };
        if refused.outcome == Outcome::Unknown {
            continue;
        }
        for run in &runs {
            // No call ran before the reply, and the call that host 0 had accepted before may not
            // run after it.
            expect_that!(run.at, ge(reply.at), "{case}: {refused:?}");
            expect_that!(
                run.target.as_str(),
                not(eq("host-0")),
                "{case}: {refused:?}"
            );
        }
    }
}

async fn run_paused_at_every_checkpoint(pause: Pause) {
    for is_combiner in [false, true] {
        let key = key_combined_by_host_0(is_combiner);
        let mut checkpoint = 0;
        while run_paused_at(checkpoint, pause, &key).await > checkpoint && checkpoint < 40 {
            checkpoint += 1;
        }
        expect_that!(checkpoint, gt(5));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_runs_at_most_once_when_claimant_pauses_briefly() {
    run_paused_at_every_checkpoint(Pause::For(Duration::from_millis(10))).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_runs_at_most_once_when_claimant_pauses_for_an_hour() {
    run_paused_at_every_checkpoint(Pause::For(Duration::from_secs(3600))).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_runs_at_most_once_when_claimant_is_killed() {
    run_paused_at_every_checkpoint(Pause::Forever).await;
}
