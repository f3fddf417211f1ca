use std::time::Duration;

use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::*;

const LIMITS: Amounts = Amounts {
    requests_per_s: 1000.0,
    tokens_per_s: 100_000.0,
    open_requests: 400.0,
};
const FLEET: Fleet = Fleet {
    alive_hosts: 20,
    listed_hosts: 20,
};

fn context(settings: &Settings) -> GrantContext<'_> {
    GrantContext {
        limits: LIMITS,
        fleet: FLEET,
        settings,
    }
}

fn report(number: u64, fraction: f64, held_fraction: f64) -> Report {
    Report {
        number,
        demand: LIMITS.scaled(fraction),
        held: LIMITS.scaled(held_fraction),
        held_for: Duration::from_secs(2),
        counted: LIMITS.scaled(held_fraction),
    }
}

fn host(number: usize) -> HostId {
    format!("host-{number}").into()
}

/// Returns a ledger whose host has been the home for a long time.
fn established_ledger(now: Instant) -> Ledger {
    Ledger::new(now - Duration::from_secs(1000))
}

#[gtest]
fn report_contended_divides_evenly_after_one_round() {
    let settings = Settings::default();
    let mut now = Instant::now() + Duration::from_secs(2000);
    let mut ledger = established_ledger(now);
    let mut held = [0.0; 4];
    for round in 1..=3 {
        for (number, held) in held.iter_mut().enumerate() {
            now += Duration::from_millis(10);
            let report = report(round, 0.5, *held);
            let grant = ledger
                .report(&host(number), 1, &report, &context(&settings), now)
                .unwrap();
            *held = grant.share.requests_per_s / LIMITS.requests_per_s;
        }
    }
    for fraction in held {
        expect_that!(fraction, near(0.25, 1e-6));
    }
}

#[gtest]
fn report_lost_grant_is_not_granted_twice() {
    let settings = Settings::default();
    let now = Instant::now() + Duration::from_secs(2000);
    let mut ledger = established_ledger(now);
    let context = context(&settings);
    let first = ledger
        .report(&host(0), 1, &report(1, 1.0, 0.0), &context, now)
        .unwrap();
    let second = ledger
        .report(&host(1), 1, &report(1, 1.0, 0.0), &context, now)
        .unwrap();
    expect_that!(first.share.requests_per_s, near(1000.0, 1e-6));
    expect_that!(second.share.requests_per_s, near(0.0, 1e-6));
    let later = now + settings.share_lifetime;
    let again = ledger
        .report(&host(1), 1, &report(2, 1.0, 0.0), &context, later)
        .unwrap();
    expect_that!(again.share.requests_per_s, near(1000.0, 1e-6));
}

#[gtest]
fn report_outdated_is_refused() {
    let settings = Settings::default();
    let now = Instant::now() + Duration::from_secs(2000);
    let mut ledger = established_ledger(now);
    let context = context(&settings);
    let first = ledger.report(&host(0), 7, &report(2, 0.1, 0.0), &context, now);
    expect_that!(first.is_ok(), eq(true));
    let older = ledger.report(&host(0), 7, &report(1, 0.1, 0.0), &context, now);
    expect_that!(older, err(eq(Refusal::Outdated)));
    let earlier_run = ledger.report(&host(0), 6, &report(9, 0.1, 0.0), &context, now);
    expect_that!(earlier_run, err(eq(Refusal::Outdated)));
    let later_run = ledger.report(&host(0), 8, &report(1, 0.1, 0.0), &context, now);
    expect_that!(later_run.is_ok(), eq(true));
}

#[gtest]
fn report_new_home_grants_only_what_was_held() {
    let settings = Settings::default();
    let now = Instant::now();
    let mut ledger = Ledger::new(now);
    let context = context(&settings);
    // An earlier home granted 0.6 to host 0, and the rest to hosts that have not reported yet.
    let first = ledger
        .report(&host(0), 1, &report(9, 1.0, 0.6), &context, now)
        .unwrap();
    expect_that!(first.share.requests_per_s, near(600.0, 1e-6));
    let newcomer = ledger
        .report(&host(1), 1, &report(1, 1.0, 0.0), &context, now)
        .unwrap();
    expect_that!(newcomer.share.requests_per_s, near(0.0, 1e-6));
    // Host 0 needs less now: what it no longer holds may be granted.
    ledger
        .report(&host(0), 1, &report(10, 0.1, 0.1), &context, now)
        .unwrap();
    let newcomer = ledger
        .report(&host(1), 1, &report(2, 1.0, 0.0), &context, now)
        .unwrap();
    expect_that!(newcomer.share.requests_per_s, all![ge(300.0), le(500.0)]);
}

#[gtest]
fn report_minority_of_partition_grants_its_fraction() {
    let settings = Settings::default();
    let now = Instant::now() + Duration::from_secs(2000);
    let mut ledger = established_ledger(now);
    let context = GrantContext {
        fleet: Fleet {
            alive_hosts: 8,
            listed_hosts: 20,
        },
        ..context(&settings)
    };
    let grant = ledger
        .report(&host(0), 1, &report(1, 1.0, 0.0), &context, now)
        .unwrap();
    expect_that!(grant.share.requests_per_s, near(400.0, 1e-6));
}

#[gtest]
fn home_since_unchanged_home_predates_newest_view() {
    let settings = Settings::default();
    let start = Instant::now();
    let hosts: Vec<_> = (0..5).map(host).collect();
    let mut homes = Homes::new(host(0), start);
    let joined = start + Duration::from_secs(1);
    homes.update(hosts.clone(), &settings, joined);
    let lost = joined + Duration::from_secs(1);
    homes.update(hosts[..4].to_vec(), &settings, lost);
    let (mut kept, mut taken) = (0, 0);
    for number in 0..1000 {
        let team = format!("team-{number}").into();
        match homes.home_since(&team) {
            Some(since) if since == lost => taken += 1,
            Some(_) => kept += 1,
            None => expect_that!(homes.home_of(&team), not(eq(Some(&host(0))))),
        }
    }
    expect_that!(kept, ge(100));
    expect_that!(taken, ge(10));
}

/// What one host may use, by the rules of `demand::Reporter`: the newest answer, from the moment at
/// which its report was sent, and what it held before.
#[derive(Default)]
struct Model {
    number: u64,
    share: f64,
    until: Option<Instant>,
}

#[gtest]
fn report_random_loss_and_delay_never_exceeds_limit() {
    let settings = Settings::default();
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut now = Instant::now() + Duration::from_secs(2000);
        let mut ledger = established_ledger(now);
        let mut models: Vec<_> = (0..8).map(|_| Model::default()).collect();
        // Answers in transit: arrival, host, moment of the report, grant.
        let mut in_transit: Vec<(Instant, usize, Instant, Grant)> = Vec::new();
        for _ in 0..5000 {
            now += Duration::from_millis(rng.random_range(0..20));
            let number = rng.random_range(0..models.len());
            let model = &mut models[number];
            let in_force = model.until.filter(|until| *until > now);
            let share = if in_force.is_some() { model.share } else { 0.0 };
            model.number += 1;
            model.share = share * rng.random_range(0.3..=1.0);
            let report = Report {
                number: model.number,
                demand: LIMITS.scaled(rng.random_range(0.0..0.6)),
                held: LIMITS.scaled(model.share),
                held_for: in_force.map_or(Duration::ZERO, |until| until - now),
                counted: LIMITS.scaled(share),
            };
            // The report takes some time; then the answer may be lost, late or out of order.
            let arrival = now + Duration::from_millis(rng.random_range(0..3));
            let answer = ledger.report(&host(number), 1, &report, &context(&settings), arrival);
            if let (Ok(grant), true) = (answer, rng.random_bool(0.8)) {
                let answer_arrival = arrival + Duration::from_millis(rng.random_range(0..400));
                in_transit.push((answer_arrival, number, now, grant));
            }
            in_transit.retain(|(answer_arrival, number, sent, grant)| {
                let model = &mut models[*number];
                if *answer_arrival <= now && model.number == grant.number {
                    model.share = grant.share.requests_per_s / LIMITS.requests_per_s;
                    model.until = Some(*sent + grant.lifetime);
                }
                *answer_arrival > now
            });
            let usable: f64 = models
                .iter()
                .filter(|model| model.until.is_some_and(|until| until > now))
                .map(|model| model.share)
                .sum();
            assert_that!(usable, le(1.0 + 1e-6));
        }
    }
}
