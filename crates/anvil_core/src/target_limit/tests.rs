use googletest::prelude::*;

use super::*;

const LIMIT_PER_S: f64 = 10.0;

fn demand(own_per_s: f64, peers: &[(&str, f64)], unheard_count: usize) -> FleetDemand {
    FleetDemand {
        data_centre: "a".into(),
        own_per_s,
        peers_per_s: peers
            .iter()
            .map(|(data_centre, per_s)| ((*data_centre).into(), *per_s))
            .collect(),
        unheard_count,
    }
}

#[gtest]
fn share_per_s_follows_demand() {
    let usable_per_s = USED_SHARE * LIMIT_PER_S;
    let share = |demand: &FleetDemand| demand.share_per_s(LIMIT_PER_S, &"a".into());
    expect_that!(share(&demand(5.0, &[], 0)), near(usable_per_s, 1e-9));
    expect_that!(
        share(&demand(5.0, &[("a", 15.0)], 0)),
        near(usable_per_s / 4.0, 1e-9)
    );
    expect_that!(share(&demand(5.0, &[], 4)), near(usable_per_s / 5.0, 1e-9));
    let local = share(&demand(5.0, &[("b", 5.0)], 0));
    expect_that!(local, gt(0.9 * usable_per_s));
    let remote = demand(5.0, &[("b", 5.0)], 0).share_per_s(LIMIT_PER_S, &"b".into());
    expect_that!(local + remote, near(usable_per_s, 1e-9));
}

#[gtest]
fn share_per_s_is_positive_without_demand_or_limit() {
    let idle = demand(0.0, &[("a", 0.0)], 0);
    expect_that!(idle.share_per_s(LIMIT_PER_S, &"a".into()), gt(0.0));
    expect_that!(idle.share_per_s(0.0, &"a".into()), gt(0.0));
}

#[gtest]
fn allowance_admits_share_on_average() {
    let start = Instant::now();
    for share_per_s in [0.05, 0.7, 8.0] {
        let mut allowance = Allowance::default();
        let mut sent = 0;
        let steps = 100_000;
        for step in 0..steps {
            let now = start + Duration::from_millis(20) * step;
            let draw = f64::from(step * 7919 % 1000) / 1000.0;
            if allowance.admits(share_per_s, now, draw) {
                allowance.charge();
                sent += 1;
            }
        }
        let expected = share_per_s * 0.02 * f64::from(steps);
        expect_that!(
            f64::from(sent),
            all!(ge(0.9 * expected), le(expected + 1.0))
        );
    }
}

#[gtest]
fn allowance_saves_no_more_than_two_seconds() {
    let start = Instant::now();
    let mut allowance = Allowance::default();
    allowance.admits(3.0, start, 0.5);
    let later = start + Duration::from_secs(600);
    let mut sent = 0;
    while allowance.admits(3.0, later, 0.5) {
        allowance.charge();
        sent += 1;
    }
    expect_that!(sent, eq(6));
}

#[gtest]
fn statement_ends_without_repetition() {
    let stated_at = Instant::now();
    let statement = Statement {
        limit_per_s: Some(LIMIT_PER_S),
        stated_at,
    };
    expect_that!(
        statement.is_current(stated_at + STATEMENT_LIFETIME),
        eq(true)
    );
    let later = stated_at + STATEMENT_LIFETIME + Duration::from_millis(1);
    expect_that!(statement.is_current(later), eq(false));
}

#[gtest]
fn request_rate_follows_requests() {
    let start = Instant::now();
    let mut rate = RequestRate::default();
    for step in 0..2_000 {
        rate.record(start + Duration::from_millis(50) * step);
    }
    let end = start + Duration::from_millis(50) * 2_000;
    expect_that!(rate.per_s(end), near(20.0, 1.0));
    expect_that!(rate.per_s(end + Duration::from_secs(30)), lt(0.1));
}
