//! Requests whose stages fail: each must get its full answer, with each layer applied once.

mod support;

use std::time::Duration;

use anvil_core::{
    document::Role,
    id::Token,
    outcome::{
        Outcome,
        Reason, //
    },
    recovery::RecoveryAction,
};
use anvil_settings::targets::Targets;
use anvil_standins::{
    engine::{
        AnswerFault,
        RetainedState, //
    },
    fault::Rate,
};
use googletest::prelude::*;
use support::{
    Fleet,
    Request,
    spec, //
};

fn prompt() -> Vec<Token> {
    (100..140).collect()
}

async fn expect_full_answer(request: Request) {
    let (expected, answer) = request.finish().await;
    expect_that!(answer, ok(eq(&expected)));
}

/// Starts a fleet that holds three layer ranges, each on two engines of which the second is slower.
async fn start_fleet_of_pairs() -> Fleet {
    Fleet::start([
        spec("a1", 0, 4),
        spec("a2", 0, 4).slower(),
        spec("b1", 4, 9),
        spec("b2", 4, 9).slower(),
        spec("c1", 9, 12),
        spec("c2", 9, 12).slower(),
    ])
    .await
}

#[gtest]
#[tokio::test]
async fn run_returns_reference_answer_over_uneven_ranges() {
    let fleet = Fleet::start([
        spec("a", 0, 5),
        spec("b", 3, 9),
        spec("c", 4, 8),
        spec("d", 7, 12),
    ])
    .await;
    expect_full_answer(fleet.request(prompt(), 20)).await;
    expect_that!(fleet.ledger.duplicate_applications(), eq(0));
    expect_that!(fleet.targets_in_use(), is_empty());
    fleet.close().await;
}

#[gtest]
#[tokio::test]
async fn run_refuses_as_not_run_without_a_route() {
    let fleet = Fleet::start([spec("a", 0, 5), spec("d", 7, 12)]).await;
    let (_, answer) = fleet.request(prompt(), 3).finish().await;
    let refused = answer.unwrap_err();
    expect_that!(refused.outcome, eq(Outcome::NotRun));
    expect_that!(refused.reason, eq(Reason::NoRoute));
    fleet.close().await;
}

#[gtest]
#[tokio::test]
async fn kill_rebuilds_only_the_lost_range() {
    let fleet = start_fleet_of_pairs().await;
    let mut request = fleet.request(prompt(), 30);
    request.receive(5).await;
    expect_that!(
        fleet.targets_in_use(),
        elements_are![eq("a1"), eq("b1"), eq("c1")]
    );
    fleet.engine("b1").kill().await;
    request.receive(5).await;
    expect_that!(
        fleet.targets_in_use(),
        elements_are![eq("a1"), eq("b2"), eq("c1")]
    );
    expect_full_answer(request).await;
    expect_that!(fleet.recoveries(RecoveryAction::Rebuild), eq(1));
    expect_that!(fleet.recoveries(RecoveryAction::PrefillAgain), eq(0));
    expect_that!(fleet.ledger.duplicate_applications(), eq(0));
    fleet.close().await;
}

#[gtest]
#[tokio::test]
async fn kill_prefills_again_where_nothing_is_kept() {
    let mut settings = Targets::default();
    settings.recovery.kept_limit_bytes = 0;
    let specs = [
        spec("a1", 0, 6),
        spec("b1", 6, 12),
        spec("b2", 6, 12).slower(),
    ];
    let fleet = Fleet::start_with(specs, settings).await;
    let mut request = fleet.request(prompt(), 30);
    request.receive(5).await;
    fleet.engine("b1").kill().await;
    expect_full_answer(request).await;
    expect_that!(fleet.recoveries(RecoveryAction::Rebuild), eq(0));
    expect_that!(fleet.recoveries(RecoveryAction::PrefillAgain), eq(1));
    expect_that!(fleet.ledger.duplicate_applications(), eq(0));
    fleet.close().await;
}

#[gtest]
#[tokio::test]
async fn kill_of_two_stages_at_once_is_recovered() {
    let fleet = start_fleet_of_pairs().await;
    let mut request = fleet.request(prompt(), 30);
    request.receive(5).await;
    fleet.engine("a1").kill().await;
    fleet.engine("b1").kill().await;
    expect_full_answer(request).await;
    expect_that!(fleet.ledger.duplicate_applications(), eq(0));
    fleet.close().await;
}

#[gtest]
#[tokio::test]
async fn kill_of_the_replacement_is_recovered() {
    let fleet = Fleet::start([
        spec("a", 0, 6),
        spec("b1", 6, 12),
        spec("b2", 6, 12).slower(),
        spec("b3", 6, 12).slower().slower(),
    ])
    .await;
    let mut request = fleet.request(prompt(), 40);
    request.receive(5).await;
    fleet.engine("b1").kill().await;
    request.receive(5).await;
    fleet.engine("b2").kill().await;
    expect_full_answer(request).await;
    expect_that!(fleet.recoveries(RecoveryAction::Rebuild), eq(2));
    expect_that!(fleet.ledger.duplicate_applications(), eq(0));
    fleet.close().await;
}

#[gtest]
#[tokio::test]
async fn kill_of_a_whole_data_centre_is_recovered() {
    let fleet = start_fleet_of_pairs().await;
    let mut request = fleet.request(prompt(), 30);
    request.receive(5).await;
    for id in ["a1", "b1", "c1"] {
        fleet.engine(id).kill().await;
    }
    expect_full_answer(request).await;
    expect_that!(fleet.ledger.duplicate_applications(), eq(0));
    fleet.close().await;
}

#[gtest]
#[tokio::test]
async fn silent_connection_is_resumed_on_the_same_target() {
    let fleet = start_fleet_of_pairs().await;
    let mut request = fleet.request(prompt(), 30);
    request.receive(5).await;
    // The adapter does not replace a connection that is younger than 250 ms.
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.engine("b1").silence_connections();
    request.receive(10).await;
    expect_that!(
        fleet.targets_in_use(),
        elements_are![eq("a1"), eq("b1"), eq("c1")]
    );
    expect_full_answer(request).await;
    expect_that!(fleet.recoveries(RecoveryAction::Resume), ge(1));
    expect_that!(fleet.recoveries(RecoveryAction::Rebuild), eq(0));
    expect_that!(fleet.ledger.duplicate_applications(), eq(0));
    fleet.close().await;
}

#[gtest]
#[tokio::test]
async fn lost_answer_is_requested_again_and_applied_once() {
    let fleet = start_fleet_of_pairs().await;
    let mut request = fleet.request(prompt(), 20);
    request.receive(5).await;
    fleet
        .engine("b1")
        .set_answer_fault(AnswerFault::Lost, Rate::Next(1));
    expect_full_answer(request).await;
    expect_that!(fleet.recoveries(RecoveryAction::Resume), eq(1));
    expect_that!(fleet.engine("b1").counts().kept_answers, eq(1));
    expect_that!(fleet.ledger.duplicate_applications(), eq(0));
    fleet.close().await;
}

#[gtest]
#[tokio::test]
async fn late_crossed_and_duplicated_answers_reach_no_wrong_request() {
    let fleet = start_fleet_of_pairs().await;
    let engine = fleet.engine("b1");
    engine.set_late_delay(Duration::from_millis(30));
    engine.set_answer_fault(AnswerFault::Late, Rate::Probability(0.05));
    engine.set_answer_fault(AnswerFault::Crossed, Rate::Probability(0.02));
    engine.set_answer_fault(AnswerFault::Duplicated, Rate::Probability(0.2));
    let requests: Vec<Request> = (0..12)
        .map(|number| fleet.request((number..number + 30).collect(), 25))
        .collect();
    for request in requests {
        expect_full_answer(request).await;
    }
    expect_that!(fleet.ledger.duplicate_applications(), eq(0));
    fleet.close().await;
}

#[gtest]
#[tokio::test]
async fn leaving_target_exports_its_cache() {
    let fleet = start_fleet_of_pairs().await;
    let mut request = fleet.request(prompt(), 400);
    request.receive(5).await;
    fleet.engine("b1").set_leaving(true);
    while fleet.targets_in_use().contains(&"b1".into()) {
        request.receive(1).await;
    }
    let applied_steps = fleet.engine("b1").counts().applied_steps;
    expect_full_answer(request).await;
    expect_that!(fleet.recoveries(RecoveryAction::Import), eq(1));
    expect_that!(fleet.engine("b1").counts().applied_steps, eq(applied_steps));
    expect_full_answer(fleet.request(prompt(), 5)).await;
    expect_that!(fleet.engine("b1").counts().applied_steps, eq(applied_steps));
    expect_that!(fleet.ledger.duplicate_applications(), eq(0));
    fleet.close().await;
}

#[gtest]
#[tokio::test]
async fn leaving_target_without_a_substitute_completes_its_sequences() {
    let fleet = Fleet::start([spec("a", 0, 6), spec("b", 6, 12)]).await;
    let mut request = fleet.request(prompt(), 100);
    request.receive(5).await;
    fleet.engine("b").set_leaving(true);
    expect_full_answer(request).await;
    fleet.close().await;
}

async fn expect_full_answer_after_restart(state: RetainedState) {
    let fleet = Fleet::start([spec("a", 0, 6), spec("b", 6, 12)]).await;
    let mut request = fleet.request(prompt(), 30);
    request.receive(5).await;
    fleet.engine("b").kill().await;
    tokio::time::sleep(Duration::from_millis(30)).await;
    fleet.engine("b").restart(state).await.unwrap();
    expect_full_answer(request).await;
    expect_that!(fleet.ledger.duplicate_applications(), eq(0));
    fleet.close().await;
}

#[gtest]
#[tokio::test]
async fn restarted_target_without_state_is_rebuilt() {
    expect_full_answer_after_restart(RetainedState::Lost).await;
}

#[gtest]
#[tokio::test]
async fn restarted_target_with_kept_state_continues() {
    expect_full_answer_after_restart(RetainedState::Kept).await;
}

#[gtest]
#[tokio::test]
async fn overloaded_target_is_retried() {
    let fleet = start_fleet_of_pairs().await;
    let mut request = fleet.request(prompt(), 20);
    request.receive(5).await;
    fleet.engine("b1").set_step_refusal_rate(Rate::Next(2));
    expect_full_answer(request).await;
    expect_that!(fleet.recoveries(RecoveryAction::Pause), eq(2));
    expect_that!(fleet.ledger.duplicate_applications(), eq(0));
    fleet.close().await;
}

#[gtest]
#[tokio::test]
async fn prefill_target_exports_its_cache_after_the_prompt() {
    let fleet = Fleet::start([
        spec("p", 0, 8).role(Role::Prefill),
        spec("d", 0, 8).role(Role::Decode),
        spec("c", 8, 12),
    ])
    .await;
    let mut request = fleet.request(prompt(), 20);
    request.receive(3).await;
    expect_that!(fleet.targets_in_use(), elements_are![eq("c"), eq("d")]);
    expect_full_answer(request).await;
    expect_that!(fleet.engine("p").counts().applied_steps, eq(1));
    expect_that!(fleet.recoveries(RecoveryAction::Import), eq(1));
    expect_that!(fleet.ledger.duplicate_applications(), eq(0));
    fleet.close().await;
}

#[gtest]
#[tokio::test]
async fn close_frees_every_cache() {
    let fleet = start_fleet_of_pairs().await;
    let mut request = fleet.request(prompt(), 20);
    request.receive(5).await;
    fleet.engine("b1").kill().await;
    expect_full_answer(request).await;
    expect_that!(fleet.shared.targets.activation_budget.used_bytes(), eq(0));
    let mut open_sequences = usize::MAX;
    for _ in 0..200 {
        let engines = fleet.engines.iter().filter(|(id, _)| *id != "b1");
        open_sequences = engines.map(|(_, engine)| engine.open_sequences()).sum();
        if open_sequences == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    expect_that!(open_sequences, eq(0));
    fleet.close().await;
}
