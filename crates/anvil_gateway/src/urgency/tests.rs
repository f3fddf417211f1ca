use anvil_core::exchange::Presence;
use googletest::prelude::*;
use tokio::time::sleep;

use super::*;
use crate::port::{
    ReportedLoad,
    ResponseMetadata, //
};
use crate::tests::fleet::{
    BATCH_PATH,
    Behaviour,
    CallerResult,
    Fleet,
    Host,
    MODEL_PATH,
    competing_table,
    run,
    wait_for_peers, //
};

/// A stream that is shorter than the longest wait.
const SHORT_STREAM: Behaviour = Behaviour::Slow {
    events: 3,
    pause: Duration::from_millis(40),
};
/// A stream that is longer than the longest wait, and has no pause after which it is sent again.
const LONG_STREAM: Behaviour = Behaviour::Slow {
    events: 8,
    pause: Duration::from_millis(100),
};
/// Time after which a request has been sent to its engine.
const SEND_TIME: Duration = Duration::from_millis(40);

/// Starts a host before one engine with memory for one request at a time.
async fn start_competing(network: u8, behaviour: Behaviour) -> (Fleet, Host) {
    let fleet = Fleet::start(network, 1).await;
    let host = fleet.start_host(0).await;
    host.update_table(competing_table(2, 2));
    fleet.engines[0].behaviour.set(behaviour);
    (fleet, host)
}

/// Sends a request later than others, and returns the answer.
async fn call_later(host: &Host, path: &str) -> CallerResult {
    sleep(SEND_TIME).await;
    host.call_model(&[], path, "").await
}

#[gtest]
fn serve_states_urgency_where_ranks_compete() {
    run(async {
        let (fleet, host) = start_competing(201, Behaviour::Sound).await;
        for path in [MODEL_PATH, BATCH_PATH] {
            let result = host.call_model(&[], path, "").await;
            expect_that!(result, eq(CallerResult::Complete));
        }
        let urgencies = fleet.engines[0].urgencies.borrow();
        expect_that!(*urgencies, elements_are![eq("0"), eq("9")]);
        let demand = host.gateway.urgency.own_demand(host.gateway.uptime());
        // The teams have no priority, so that the route's stands in both places of the rank.
        expect_that!(demand.keys().collect::<Vec<_>>(), eq(&[&0, &2002]));
    });
}

/// Guards against changes on services where all requests have one rank: a header, a wait, or lists in
/// digests.
#[gtest]
fn serve_changes_nothing_for_one_rank() {
    run(async {
        let (fleet, host) = start_competing(202, LONG_STREAM).await;
        // With the rank of the other route.
        host.update_table(competing_table(3, 0));
        let calls = async {
            let refused = call_later(&host, BATCH_PATH).await;
            expect_that!(refused, eq(CallerResult::Status(503)));
            expect_that!(fleet.engines[0].last_event.get(), le(2));
        };
        let (first, ()) = tokio::join!(host.call(&[]), calls);
        expect_that!(first, eq(CallerResult::Complete));
        expect_that!(*fleet.engines[0].urgencies.borrow(), elements_are![eq("")]);
        let gateway = &host.gateway;
        expect_that!(gateway.urgency.services.borrow().is_empty(), eq(true));
        expect_that!(gateway.urgency.own_demand(gateway.uptime()).len(), eq(0));
    });
}

/// Load: memory that becomes free while the caller of a request still waits.
#[gtest]
fn pass_sends_waiting_request_when_another_ends() {
    run(async {
        let (fleet, host) = start_competing(203, SHORT_STREAM).await;
        let later = call_later(&host, MODEL_PATH);
        let (first, later) = tokio::join!(host.call(&[]), later);
        expect_that!([first, later], each(eq(CallerResult::Complete)));
        expect_that!(fleet.run_count(&host.last_id()), eq(1));
        let admission = host
            .gateway
            .urgency
            .of_service(&host.gateway, &"model".into());
        expect_that!(admission.waiting_count(), eq(0));
        expect_that!(admission.held.get(), eq((0, 0)));
    });
}

/// Guards against callers of the less urgent rank that come back before those of the more urgent one.
#[gtest]
fn pass_refuses_with_retry_after_by_rank() {
    run(async {
        let (fleet, host) = start_competing(204, LONG_STREAM).await;
        let refused = async {
            sleep(SEND_TIME).await;
            let answers = [host.call_raw(MODEL_PATH), host.call_raw(BATCH_PATH)];
            futures::future::join_all(answers).await
        };
        let (_, answers) = tokio::join!(host.call(&[]), refused);
        expect_that!(answers, each(starts_with("HTTP/1.1 503")));
        let seconds = answers.iter().map(|answer| {
            let rest = answer.split("Retry-After: ").nth(1).unwrap();
            rest.lines().next().unwrap().parse().unwrap()
        });
        let seconds: Vec<f64> = seconds.collect();
        expect_that!(seconds[0], ge(0.3));
        expect_that!(seconds[1], ge(seconds[0]));
        expect_that!(fleet.engines[0].run_ids.borrow().len(), eq(1));
    });
}

/// Failure: the table changes urgency, and then lets no ranks compete, while requests wait.
#[gtest]
fn pass_keeps_rank_of_waiting_request_when_table_changes() {
    run(async {
        let (fleet, host) = start_competing(205, SHORT_STREAM).await;
        let change = async {
            sleep(2 * SEND_TIME).await;
            host.update_table(competing_table(3, 7));
            host.update_table(competing_table(4, 0));
        };
        let later = call_later(&host, BATCH_PATH);
        let (first, later, ()) = tokio::join!(host.call(&[]), later, change);
        expect_that!([first, later], each(eq(CallerResult::Complete)));
        expect_that!(
            *fleet.engines[0].urgencies.borrow(),
            elements_are![eq("0"), eq("9")]
        );
    });
}

/// Failure: an engine states a load that it doesn't have. Loads come from what hosts sent.
#[gtest]
fn pass_ignores_load_that_engine_states() {
    run(async {
        let (_fleet, host) = start_competing(206, Behaviour::Sound).await;
        let gateway = &host.gateway;
        let stated = ReportedLoad {
            running_requests: 10_000,
            waiting_requests: 10_000,
        };
        let answer = ResponseMetadata {
            load: Some(stated),
            ..ResponseMetadata::default()
        };
        let target = gateway.targets.all().remove(0);
        (gateway.targets).apply_answer(&target, &answer, Instant::now(), 0.5);
        let result = host.call_model(&[], BATCH_PATH, "").await;
        expect_that!(result, eq(CallerResult::Complete));
        let admission = gateway.urgency.of_service(gateway, &"model".into());
        expect_that!(admission.forecast.borrow().capacity.used_tokens, eq(0.0));
    });
}

/// Failure: the last digest is old. The level stays for a while, and then follows this host's own load
/// for all hosts that were known.
#[gtest]
fn knowledge_ages_and_then_counts_known_hosts() {
    run(async {
        let fleet = Fleet::start(207, 1).await;
        let hosts = [fleet.start_host(0).await, fleet.start_host(1).await];
        wait_for_peers(&[&hosts[0], &hosts[1]]).await;
        let gateway = &hosts[0].gateway;
        let urgency = Urgency::default();
        let nothing = Summary::default();
        // Before any digest arrived, nothing is known that could be old.
        expect_that!(urgency.knowledge(gateway, &nothing), eq(Knowledge::Fleet));
        let presence = Presence {
            live_hosts: 4,
            heard_hosts: 4,
            requests_per_s: 1.0,
        };
        let heard = Summary {
            hosts: BTreeMap::from([("a".into(), presence)]),
            ..Summary::default()
        };
        urgency.record_digest(Instant::now());
        expect_that!(urgency.knowledge(gateway, &heard), eq(Knowledge::Fleet));
        expect_that!(urgency.knowledge(gateway, &nothing), eq(Knowledge::Aging));
        let old = Instant::now().checked_sub(2 * DIGEST_AGE_MAX).unwrap();
        urgency.digest_at.set(Some(old));
        expect_that!(
            urgency.knowledge(gateway, &nothing),
            eq(Knowledge::Alone(5))
        );
        let service = "model".into();
        let admission = urgency.of_service(gateway, &service);
        (admission.demand.borrow_mut()).record(0, 100.0, gateway.uptime());
        let demand = urgency.fleet_demand(gateway, &service, &nothing);
        expect_that!(demand[&0].requests_per_s, near(5.0, 0.1));
    });
}
