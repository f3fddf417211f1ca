mod fleet;
mod histories;
mod pauses;
mod runs;

use std::time::Duration;

use anvil_core::{
    claims::Ruling,
    outcome::{
        Outcome,
        Reason, //
    }, //
};
use googletest::prelude::*;

use self::fleet::Fleet;
use crate::fakes::{
    AppendFault,
    PeerFault,
    ServiceFault, //
};

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_returns_same_answer_to_retry_on_other_host() {
    let fleet = Fleet::new(3);
    let first = fleet.call(0, "k", "body").await.unwrap();
    for host in 0..3 {
        expect_that!(fleet.call(host, "k", "body").await, ok(eq(&first)));
    }
    expect_that!(fleet.service.runs().len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_runs_once_through_append_faults() {
    let faults = [
        AppendFault::Refuse,
        AppendFault::LoseAnswer,
        AppendFault::Twice,
        AppendFault::Late(Duration::from_millis(500)),
        AppendFault::LoseAnswerThenLate(Duration::from_millis(500)),
    ];
    for fault in faults {
        let fleet = Fleet::new(2);
        fleet.log.inject_faults([fault]);
        let first = fleet.call(0, "k", "body").await;
        expect_that!(first.is_ok(), eq(true), "{fault:?}: {first:?}");
        expect_that!(fleet.call(1, "k", "body").await, eq(&first), "{fault:?}");
        expect_that!(fleet.service.runs().len(), eq(1), "{fault:?}");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_runs_once_through_peer_faults() {
    let late = Duration::from_millis(700);
    let faults = [
        PeerFault::NotSent,
        PeerFault::LoseAnswer,
        PeerFault::LoseAnswerThenLate(late),
    ];
    for fault in faults {
        for count in 1..4 {
            let fleet = Fleet::new(4);
            fleet.peers.inject_faults(vec![fault; count]);
            let mut answers = Vec::new();
            for host in 0..4 {
                answers.push(fleet.call(host, "k", "body").await);
            }
            expect_that!(answers[0].is_ok(), eq(true), "{fault:?}: {answers:?}");
            expect_that!(answers, each(eq(&answers[0])), "{fault:?}");
            expect_that!(fleet.service.runs().len(), eq(1), "{fault:?}");
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_is_unknown_while_log_is_down_and_runs_once_after() {
    let fleet = Fleet::new(2);
    fleet.log.set_down(true);
    let refused = fleet.call(0, "k", "body").await.unwrap_err();
    expect_that!(refused.outcome, eq(Outcome::Unknown));
    expect_that!(refused.reason, eq(Reason::LogUnavailable));
    expect_that!(refused.retry_after, some(anything()));
    expect_that!(fleet.service.runs().len(), eq(0));
    fleet.log.set_down(false);
    expect_that!(fleet.call(1, "k", "body").await, ok(anything()));
    expect_that!(fleet.service.runs().len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_reports_unknown_for_sent_call_while_log_is_down() {
    let fleet = Fleet::new(2);
    fleet.service.inject_faults([ServiceFault::LoseAnswer]);
    expect_that!(fleet.call(0, "k", "body").await.is_err(), eq(true));
    fleet.log.set_down(true);
    for host in 0..2 {
        let refused = fleet.call(host, "k", "body").await.unwrap_err();
        expect_that!(refused.outcome, eq(Outcome::Unknown));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_with_lost_answer_stays_unknown_until_settled() {
    let fleet = Fleet::new(2);
    fleet.service.inject_faults([ServiceFault::LoseAnswer]);
    for host in [0, 1, 0] {
        let refused = fleet.call(host, "k", "body").await.unwrap_err();
        expect_that!(refused.outcome, eq(Outcome::Unknown));
        expect_that!(refused.reason, eq(Reason::AnswerLost));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let dispatcher = &fleet.dispatchers[1];
    let open = dispatcher.list_unsettled().await.claims;
    assert_that!(open.len(), eq(1));
    let claim_id = open[0].claim.to_string();
    expect_that!(open[0].lost, some(anything()));
    let early = dispatcher
        .settle(claim_id.as_str(), Ruling::Ran, "op", "")
        .await;
    expect_that!(early.is_err(), eq(true));
    tokio::time::sleep(dispatcher.settings().settle_age).await;
    let settled = dispatcher
        .settle(claim_id.as_str(), Ruling::Ran, "op", "seen")
        .await;
    expect_that!(settled.is_ok(), eq(true));
    expect_that!(dispatcher.list_unsettled().await.claims.len(), eq(0));
    let refused = fleet.call(0, "k", "body").await.unwrap_err();
    expect_that!(refused.message, contains_substring("operator"));
    expect_that!(fleet.service.runs().len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_accepted_by_no_target_is_not_run_and_may_be_repeated() {
    let fleet = Fleet::new(2);
    fleet.service.inject_faults([ServiceFault::NotSent]);
    let refused = fleet.call(0, "k", "body").await.unwrap_err();
    expect_that!(refused.outcome, eq(Outcome::NotRun));
    expect_that!(fleet.call(1, "k", "body").await, ok(anything()));
    expect_that!(fleet.service.runs().len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_refuses_key_used_for_other_call() {
    let fleet = Fleet::new(2);
    expect_that!(fleet.call(0, "k", "body").await, ok(anything()));
    let refused = fleet.call(1, "k", "other").await.unwrap_err();
    expect_that!(refused.reason, eq(Reason::KeyReused));
    expect_that!(fleet.service.runs().len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_refuses_expired_key() {
    let fleet = Fleet::new(2);
    expect_that!(fleet.call(0, "k", "body").await, ok(anything()));
    tokio::time::sleep(fleet.dispatchers[0].settings().key_life + Duration::from_secs(1)).await;
    let refused = fleet.call(1, "k", "body").await.unwrap_err();
    expect_that!(refused.reason, eq(Reason::KeyExpired));
    expect_that!(refused.outcome, eq(Outcome::Unknown));
    expect_that!(fleet.service.runs().len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_without_key_is_sent_once() {
    let fleet = Fleet::new(1);
    fleet.service.inject_faults([ServiceFault::LoseAnswer]);
    let refused = fleet.call_without_key(0, "body").await.unwrap_err();
    expect_that!(refused.outcome, eq(Outcome::Unknown));
    expect_that!(fleet.service.runs().len(), eq(1));
    fleet.service.inject_faults([ServiceFault::NotSent]);
    let refused = fleet.call_without_key(0, "body").await.unwrap_err();
    expect_that!(refused.outcome, eq(Outcome::NotRun));
    expect_that!(fleet.service.runs().len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_concurrent_on_every_host_runs_once() {
    let fleet = Fleet::new(5);
    let calls = (0..20).map(|n| fleet.call(n % 5, "k", "body"));
    let answers = futures::future::join_all(calls).await;
    expect_that!(answers, each(eq(&answers[0])));
    expect_that!(fleet.service.runs().len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_survives_loss_of_combiner() {
    let fleet = Fleet::new(4);
    let first = fleet.call(0, "k", "body").await.unwrap();
    let combiner = fleet.dispatchers[0].client().combiners(fleet.shard("k"))[0].clone();
    fleet.peers.remove(&combiner.id);
    for host in 0..4 {
        expect_that!(fleet.call(host, "k", "body").await, ok(eq(&first)));
    }
    expect_that!(fleet.service.runs().len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn close_appends_outcomes_and_warms_next_combiner() {
    let fleet = Fleet::new(3);
    fleet
        .service
        .inject_faults([ServiceFault::Slow(Duration::from_secs(2))]);
    let call = fleet.call(0, "k", "body");
    let close = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.dispatchers[0].close(Duration::from_secs(20)).await;
    };
    let (answer, ()) = futures::future::join(call, close).await;
    fleet.peers.remove("host-0");
    expect_that!(fleet.call(1, "k", "body").await, eq(&answer));
    expect_that!(answer.is_ok(), eq(true));
    expect_that!(fleet.service.runs().len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn shard_batches_claims_into_few_appends() {
    let fleet = Fleet::new(4);
    let keys: Vec<_> = (0..2000).map(|n| format!("k{n}")).collect();
    let calls = keys
        .iter()
        .enumerate()
        .map(|(n, key)| fleet.call(n % 4, key, "body"));
    let answers = futures::future::join_all(calls).await;
    expect_that!(answers, each(ok(anything())));
    tokio::time::sleep(Duration::from_secs(10)).await;
    // 4,000 records (2,000 claims and 2,000 outcomes over 32 shards) at 10 or more per append.
    expect_that!(fleet.log.appends(), le(400));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_runs_once_when_log_drops_records_that_host_has_not_read() {
    let fleet = Fleet::new(1);
    expect_that!(fleet.call(0, "old", "body").await, ok(anything()));
    let stream = format!("claims-{}", fleet.shard("k"));
    // Records below the horizon can never be read again, so the shard starts again from there.
    fleet.log.truncate_before(&stream, 5);
    expect_that!(fleet.call(0, "k", "body").await, ok(anything()));
    expect_that!(fleet.call(0, "k", "body").await, ok(anything()));
    expect_that!(fleet.service.runs().len(), eq(2));
}
