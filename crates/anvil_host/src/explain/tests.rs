use anvil_core::id::RequestId;
use anvil_settings::settings::Explain;
use googletest::prelude::*;

use super::{
    Decision,
    Ring,
    SHARD_COUNT, //
};

fn ring(limit_records_per_request: usize) -> Ring {
    Ring::new(Explain {
        limit_requests: SHARD_COUNT,
        limit_records_per_request,
    })
}

#[gtest]
fn record_keeps_decisions_in_order() {
    let ring = ring(8);
    let request = RequestId::new("r-1");
    ring.record(
        &request,
        Decision::new("test.first", "a", "cheapest").runner_up("b"),
    );
    ring.record(&request, Decision::new("test.second", "b", "a failed"));
    let explanation = ring.get(&request).expect("the request is kept");
    let chosen: Vec<_> = explanation
        .records
        .iter()
        .map(|record| record.decision.chosen.as_str())
        .collect();
    expect_that!(chosen, elements_are![eq(&"a"), eq(&"b")]);
    expect_that!(explanation.dropped_records, eq(0));
}

#[gtest]
fn record_evicts_oldest_requests() {
    let ring = ring(8);
    for number in 0..1000 {
        let request = RequestId::new(format!("r-{number}"));
        ring.record(&request, Decision::new("test.first", "a", "b"));
    }
    expect_that!(ring.request_count(), le(SHARD_COUNT));
    expect_that!(ring.get(&RequestId::new("r-999")), some(anything()));
    expect_that!(ring.get(&RequestId::new("r-0")), none());
}

#[gtest]
fn record_keeps_first_and_latest_of_many() {
    let ring = ring(4);
    let request = RequestId::new("r-1");
    for number in 0..10 {
        ring.record(
            &request,
            Decision::new("test.first", format!("{number}"), ""),
        );
    }
    let explanation = ring.get(&request).expect("the request is kept");
    let chosen: Vec<_> = explanation
        .records
        .iter()
        .map(|record| record.decision.chosen.to_string())
        .collect();
    expect_that!(chosen, elements_are![eq("0"), eq("1"), eq("8"), eq("9")]);
    expect_that!(explanation.dropped_records, eq(6));
}

#[gtest]
fn new_truncates_long_reason_at_character_boundary() {
    let decision = Decision::new("test.first", "a", "ä".repeat(200));
    expect_that!(decision.reason.len(), le(super::REASON_LIMIT_BYTES));
}
