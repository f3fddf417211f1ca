use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn candidates(near: usize, remote: usize) -> Vec<Candidate> {
    let candidate = |index: usize| Candidate {
        host: format!("host-{index}").into(),
        is_near: index < near,
    };
    (0..near + remote).map(candidate).collect()
}

/// Guards against a search that ends in the own data centre, where all hosts may be cut off.
#[gtest]
fn search_order_reaches_remote_hosts_early() {
    let mut rng = StdRng::seed_from_u64(1);
    for (near, remote, asked_max) in [(30, 12, 24), (34, 68, 8), (68, 127, 8), (136, 274, 8)] {
        let mut late = 0;
        for _ in 0..1000 {
            let mut intermediaries = Intermediaries::default();
            let order =
                intermediaries.search_order(candidates(near, remote), SECOND, || rng.random());
            expect_that!(order.len(), eq(near + remote));
            let is_remote = |host: &HostId| host[5..].parse::<usize>().unwrap() >= near;
            late += usize::from(!order.iter().take(asked_max).any(is_remote));
        }
        // One search in a hundred may need a second one.
        expect_that!(late, le(10), "{near} near hosts, {remote} remote ones");
    }
}

#[gtest]
fn search_order_prefers_near_hosts_while_all_are_sound() {
    let mut rng = StdRng::seed_from_u64(2);
    let mut first_near = 0;
    for _ in 0..1000 {
        let mut intermediaries = Intermediaries::default();
        let order = intermediaries.search_order(candidates(10, 20), SECOND, || rng.random());
        first_near += usize::from(order[0][5..].parse::<usize>().unwrap() < 10);
    }
    expect_that!(first_near, ge(400));
    expect_that!(first_near, le(600));
}

#[gtest]
fn search_order_leaves_out_known_and_failed_hosts() {
    let mut intermediaries = Intermediaries::default();
    intermediaries.record_opened(&"host-0".into());
    intermediaries.record_failure(&"host-1".into(), Failure::Refused, SECOND);
    intermediaries.record_failure(&"host-2".into(), Failure::Silent, SECOND);
    for (now, expected) in [
        (2 * SECOND, vec!["host-3"]),
        (4 * SECOND, vec!["host-1", "host-3"]),
        (7 * SECOND, vec!["host-1", "host-2", "host-3"]),
    ] {
        let mut order = intermediaries.search_order(candidates(4, 0), now, || 0.5);
        order.sort();
        expect_that!(order, eq(&expected));
    }
}

#[gtest]
fn record_failure_forgets_known_host() {
    let mut intermediaries = Intermediaries::default();
    expect_that!(intermediaries.pick(7), none());
    intermediaries.record_opened(&"a".into());
    intermediaries.record_opened(&"b".into());
    intermediaries.record_opened(&"b".into());
    expect_that!(intermediaries.needs_search(), eq(false));
    expect_that!(intermediaries.pick(7), some(eq("b")));
    intermediaries.record_failure(&"b".into(), Failure::Refused, SECOND);
    expect_that!(intermediaries.needs_search(), eq(true));
    expect_that!(intermediaries.pick(7), some(eq("a")));
}

/// Guards against a fault of the network that is taken for the end of all targets.
#[gtest]
fn found_none_needs_refusal_of_other_host() {
    let mut intermediaries = Intermediaries::default();
    expect_that!(intermediaries.found_none(), eq(false));
    intermediaries.record_search(SECOND);
    expect_that!(intermediaries.found_none(), eq(false));
    intermediaries.record_failure(&"a".into(), Failure::Silent, SECOND);
    expect_that!(intermediaries.found_none(), eq(false));
    intermediaries.record_failure(&"b".into(), Failure::Refused, SECOND);
    expect_that!(intermediaries.found_none(), eq(true));
    intermediaries.record_opened(&"c".into());
    expect_that!(intermediaries.found_none(), eq(false));
}

#[gtest]
fn record_search_delays_next_one_while_hosts_lack() {
    let mut intermediaries = Intermediaries::default();
    expect_that!(intermediaries.time_until_search(SECOND), eq(Duration::ZERO));
    let mut waits_ms = Vec::new();
    for _ in 0..5 {
        intermediaries.record_search(SECOND);
        waits_ms.push(intermediaries.time_until_search(SECOND).as_millis());
    }
    expect_that!(waits_ms, eq(&vec![300, 600, 1200, 2400, 2400]));
    intermediaries.record_opened(&"a".into());
    intermediaries.record_search(SECOND);
    expect_that!(
        intermediaries.time_until_search(SECOND),
        eq(SEARCH_INTERVAL_MIN)
    );
    intermediaries.record_failure(&"a".into(), Failure::Refused, SECOND);
    expect_that!(intermediaries.time_until_search(SECOND), eq(Duration::ZERO));
}
