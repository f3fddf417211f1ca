use std::future::Future;

use googletest::prelude::*;
use tokio::{
    task::{
        LocalSet,
        spawn_local,
        yield_now, //
    }, //
};

use super::*;

const LIMITS: Limits = Limits {
    bytes: 1 << 20,
    connections: 4,
};

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn open(intake: &Rc<Intake>) -> Rc<Place> {
    let place = intake.open().unwrap();
    place.set_stage(Stage::Unfinished);
    place
}

/// Holds memory as a connection's task does: until it is told to end.
fn hold(place: Rc<Place>, charge: Charge) -> tokio::task::JoinHandle<()> {
    spawn_local(async move {
        place.ended().await;
        drop(charge);
    })
}

/// Guards against a request that waits for memory of a connection that is not told to end (LOST).
#[gtest]
fn reserve_waits_until_another_connection_has_ended() {
    run(async {
        let intake = Intake::new("callers", LIMITS);
        let all_bytes = LIMITS.request_bytes();
        let place = open(&intake);
        let charge = place.reserve(all_bytes).await.unwrap();
        let held = hold(place, charge);
        let place = open(&intake);
        let charge = place.reserve(1000).await.unwrap();
        held.await.unwrap();
        expect_that!(charge.bytes(), eq(1000));
        expect_that!(intake.used_bytes(), eq(1000));
        expect_that!(intake.connections(), eq(1));
        expect_that!(intake.occurrences(Cause::Memory), eq(1));
    });
}

/// Guards against two requests that wait for each other's memory for good (LOST).
#[gtest]
fn reserve_ends_waiting_request() {
    run(async {
        let intake = Intake::new("callers", LIMITS);
        let places = [open(&intake), open(&intake)];
        let half = LIMITS.request_bytes() / 2;
        let mut tasks = Vec::new();
        for place in places {
            let charge = place.reserve(half).await.unwrap();
            tasks.push(spawn_local(async move {
                // Both want more than is free.
                let more = place.reserve(half).await;
                let is_granted = more.is_ok();
                drop((charge, more));
                is_granted
            }));
        }
        let mut granted = 0;
        for task in tasks {
            granted += usize::from(task.await.unwrap());
        }
        expect_that!(granted, eq(1));
        expect_that!(intake.used_bytes(), eq(0));
    });
}

#[gtest]
fn reserve_is_refused_if_all_memory_is_held_by_complete_requests() {
    run(async {
        let intake = Intake::new("callers", LIMITS);
        let complete = open(&intake);
        let charge = complete.reserve(LIMITS.request_bytes()).await.unwrap();
        complete.set_stage(Stage::Complete);
        let other = open(&intake);
        expect_that!(other.reserve(1).await.unwrap_err(), eq(Shortage::Refused));
        drop(charge);
        expect_that!(other.reserve(1).await, ok(anything()));
    });
}

/// Guards against requests that wait for the memory of a connection that keeps it, because the rest of its
/// request has arrived (LOST).
#[gtest]
fn reserve_no_longer_waits_for_request_that_is_complete() {
    run(async {
        let intake = Intake::new("callers", LIMITS);
        let late = open(&intake);
        let _charge = late.reserve(LIMITS.request_bytes()).await.unwrap();
        let other = open(&intake);
        let waiting = spawn_local(async move { other.reserve(1).await.map(drop) });
        yield_now().await;
        late.ended().await;
        late.set_stage(Stage::Complete);
        expect_that!(waiting.await.unwrap(), err(eq(Shortage::Refused)));
    });
}

#[gtest]
fn open_ends_idle_connection_for_new_one() {
    run(async {
        let intake = Intake::new("callers", LIMITS);
        let idle: Vec<_> = (0..LIMITS.connections)
            .map(|_| intake.open().unwrap())
            .collect();
        let new = intake.open();
        expect_that!(new.is_some(), eq(true));
        idle[0].ended().await;
        expect_that!(intake.occurrences(Cause::Connections), eq(1));
    });
}

/// Guards against memory of an answer that stays counted after the answer has ended.
#[gtest]
fn drop_of_answer_frees_memory() {
    let intake = Intake::new("callers", LIMITS);
    let place = open(&intake);
    let mut answer = place.begin_answer();
    expect_that!(answer.resize(1000), ok(anything()));
    expect_that!(answer.resize(400), ok(anything()));
    expect_that!(intake.used_bytes(), eq(400));
    drop(answer);
    expect_that!(intake.used_bytes(), eq(0));
}
