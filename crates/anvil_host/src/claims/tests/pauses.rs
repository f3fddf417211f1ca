//! A claimant that is held at each await between its claim and the end of its call.

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

/// How long the claimant is held.
#[derive(Clone, Copy, Debug)]
enum Held {
    For(Duration),
    Forever,
}

struct Told {
    at: Instant,
    answer: std::result::Result<ServiceAnswer, Refused>,
}

/// A key whose shard host 0 combines, or does not.
fn key_combined_by_host_0(combined: bool) -> String {
    let fleet = Fleet::new(3);
    (0..)
        .map(|number| format!("k{number}"))
        .find(|key| {
            let combiners = fleet.dispatchers[0].client().combiners(fleet.shard(key));
            (combiners[0].id == "host-0") == combined
        })
        .unwrap()
}

async fn ask(fleet: &Fleet, host: usize, key: &str) -> Told {
    let answer = fleet.call(host, key, BODY).await;
    Told {
        at: Instant::now(),
        answer,
    }
}

/// Holds host 0 from a crossing on while the others retry; gives the number of its crossings.
async fn run_held_at(crossing: u64, held: Held, key: &str) -> u64 {
    let pauser = Pauser::new(crossing);
    let fleet = Arc::new(Fleet::with_pausers(3, |host| {
        (host == 0).then(|| Arc::clone(&pauser))
    }));
    let first = tokio::spawn({
        let fleet = Arc::clone(&fleet);
        let key = key.to_owned();
        async move { ask(&fleet, 0, &key).await }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut told = vec![ask(&fleet, 1, key).await, ask(&fleet, 2, key).await];
    match held {
        Held::For(time) => {
            tokio::time::sleep(time).await;
            pauser.resume();
            told.push(first.await.unwrap());
        }
        Held::Forever => first.abort(),
    }
    tokio::time::sleep(Duration::from_secs(20)).await;
    told.push(ask(&fleet, 1, key).await);
    check(&fleet, &told, &format!("held at {crossing} {held:?}"));
    pauser.checkpoint_count()
}

fn check(fleet: &Fleet, told: &[Told], case: &str) {
    let runs = fleet.service.runs();
    expect_that!(runs.len(), le(1), "{case}");
    let answers: Vec<_> = told
        .iter()
        .filter_map(|told| told.answer.as_ref().ok())
        .collect();
    if let Some(first) = answers.first() {
        expect_that!(answers, each(eq(first)), "{case}");
    }
    for told in told {
        let Err(refused) = &told.answer else { continue };
        if refused.outcome == Outcome::Unknown {
            continue;
        }
        for run in &runs {
            // Nothing ran before, and what host 0 took up before may not run after.
            expect_that!(run.at, ge(told.at), "{case}: {refused:?}");
            expect_that!(
                run.target.as_str(),
                not(eq("host-0")),
                "{case}: {refused:?}"
            );
        }
    }
}

async fn run_at_every_crossing(held: Held) {
    for combined in [false, true] {
        let key = key_combined_by_host_0(combined);
        let mut crossing = 0;
        while run_held_at(crossing, held, &key).await > crossing && crossing < 40 {
            crossing += 1;
        }
        expect_that!(crossing, gt(5));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_runs_at_most_once_when_claimant_pauses_briefly() {
    run_at_every_crossing(Held::For(Duration::from_millis(10))).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_runs_at_most_once_when_claimant_pauses_for_an_hour() {
    run_at_every_crossing(Held::For(Duration::from_secs(3600))).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_runs_at_most_once_when_claimant_is_killed() {
    run_at_every_crossing(Held::Forever).await;
}
