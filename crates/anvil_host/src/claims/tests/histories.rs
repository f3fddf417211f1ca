//! Checks that the histories of calls under a key are linearizable.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use anvil_core::outcome::Outcome;
use googletest::prelude::*;
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

use super::runs;

/// An operation on one key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Operation {
    /// The service ran the call and answered with this body.
    Run(String),
    /// A caller received this body.
    Answered(String),
    /// A caller was told that the call did not run.
    NotRun,
}

/// Specification of one key: either nothing ran, or one call with its answer.
struct Key;

impl Specification for Key {
    type State = Option<String>;
    type Operation = Operation;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            Operation::Run(body) => (state.is_none(), Some(body.clone())),
            Operation::Answered(body) => (state.as_ref() == Some(body), state.clone()),
            Operation::NotRun => (state.is_none(), None),
        }
    }
}

/// An operation, after the earliest and the latest time at which it took effect.
type Interval = (Instant, Instant, Operation);

fn is_linearizable(intervals: &[Interval]) -> bool {
    let mut events = Vec::new();
    for (process, (called_at, answered_at, operation)) in intervals.iter().enumerate() {
        events.push((*called_at, 0, process, Call(operation.clone())));
        events.push((*answered_at, 1, process, Response(operation.clone())));
    }
    // At the same instant, calls come before responses. This is the weaker order.
    events.sort_by_key(|(at, order, process, _)| (*at, *order, *process));
    let actions = events
        .into_iter()
        .map(|(_, _, process, action)| (process, action))
        .collect();
    WGLChecker::<Key>::is_linearizable(History::from_actions(actions))
}

async fn intervals_by_key(seed: u64) -> BTreeMap<String, Vec<Interval>> {
    let (fleet, attempts) = runs::run(seed).await;
    let mut keys: BTreeMap<String, Vec<Interval>> = BTreeMap::new();
    for (number, run) in (1..).zip(fleet.service.runs()) {
        let operation = Operation::Run(format!("run {number}"));
        let key = run.key.unwrap().to_string();
        keys.entry(key)
            .or_default()
            .push((run.at, run.at, operation));
    }
    for attempt in attempts {
        let operation = match attempt.answer {
            Ok(answer) => Operation::Answered(String::from_utf8(answer.body.to_vec()).unwrap()),
            Err(refused) if refused.outcome == Outcome::NotRun => Operation::NotRun,
            // An unknown outcome states nothing about the call. The run that the service recorded
            // covers it.
            Err(_) => continue,
        };
        let interval = (attempt.called_at, attempt.answered_at, operation);
        keys.entry(attempt.key).or_default().push(interval);
    }
    keys
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn histories_of_keyed_calls_are_linearizable() {
    for seed in 100..105 {
        for (key, intervals) in intervals_by_key(seed).await {
            let linearizable = is_linearizable(&intervals);
            expect_that!(linearizable, eq(true), "seed {seed} {key}: {intervals:?}");
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn is_linearizable_rejects_faulty_histories() {
    let keys = intervals_by_key(100).await;
    let ran = |intervals: &&Vec<Interval>| {
        let mut operations = intervals.iter().map(|(_, _, operation)| operation);
        operations.any(|operation| matches!(operation, Operation::Run(_)))
    };
    let intervals = keys.values().find(ran).unwrap();
    let end = intervals
        .iter()
        .map(|(_, answered_at, _)| *answered_at)
        .max()
        .unwrap();
    let faults = [
        Operation::Run("run again".to_owned()),
        Operation::NotRun,
        Operation::Answered("another call's answer".to_owned()),
    ];
    for operation in faults {
        let mut faulty = intervals.clone();
        let after = end + Duration::from_millis(1);
        faulty.push((after, after, operation.clone()));
        expect_that!(is_linearizable(&faulty), eq(false), "{operation:?}");
    }
}
