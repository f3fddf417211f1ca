//! Limit of one target over a fleet of hosts in virtual time: hosts know of one another's requests by
//! late messages, requests are uneven and move between hosts, and hosts restart.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

use anvil_core::target_limit::{
    Allowance,
    FleetDemand,
    RequestRate, //
};
use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

const TICK_MS: u64 = 10;
const DAY_MS: u64 = 60_000;
/// Time from the first statement of a limit until it counts.
const STABLE_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
const SEEDS: u64 = 5;

#[derive(Clone, Copy, Debug)]
struct Scenario {
    hosts: usize,
    limit_per_s: f64,
    /// Requests of all hosts for which the target would be chosen.
    requests_per_s: f64,
    /// Age of what a host knows of its peers.
    knowledge_age_ms: u64,
    /// Time after which other hosts get most of the requests.
    shift_interval_ms: u64,
    /// Time between restarts of one host, which then knows nothing of its peers for a second.
    restart_interval_ms: u64,
}

/// What was seen in a run.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    most_in_window: usize,
    sent: usize,
}

fn run(scenario: Scenario, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let data_centre = |host: usize| ["a", "b", "c"][host % 3].into();
    let mut rates = vec![RequestRate::default(); scenario.hosts];
    let mut allowances = vec![Allowance::default(); scenario.hosts];
    let mut started_ms = vec![0; scenario.hosts];
    // Rates of all hosts at each tick, the oldest first.
    let mut history: VecDeque<Vec<f64>> = VecDeque::new();
    let mut sent_ms: VecDeque<u64> = VecDeque::new();
    let mut busy = 0;
    let mut outcome = Outcome::default();
    for now_ms in (0..DAY_MS).step_by(TICK_MS as usize) {
        let now = start + Duration::from_millis(now_ms);
        if now_ms.is_multiple_of(scenario.shift_interval_ms) {
            busy = rng.random_range(0..scenario.hosts);
        }
        if now_ms > 0 && now_ms.is_multiple_of(scenario.restart_interval_ms) {
            let host = rng.random_range(0..scenario.hosts);
            rates[host] = RequestRate::default();
            allowances[host] = Allowance::default();
            started_ms[host] = now_ms;
        }
        history.push_back(rates.iter().map(|rate| rate.per_s(now)).collect());
        if history.len() as u64 > scenario.knowledge_age_ms / TICK_MS {
            history.pop_front();
        }
        let share = scenario.requests_per_s * TICK_MS as f64 / 1000.0;
        let arrivals = share.floor() as usize + usize::from(rng.random_bool(share.fract()));
        for _ in 0..arrivals {
            // Half of the requests come to a third of the hosts.
            let host = match rng.random_bool(0.5) {
                true => {
                    (busy + 3 * rng.random_range(0..scenario.hosts.div_ceil(9))) % scenario.hosts
                }
                false => rng.random_range(0..scenario.hosts),
            };
            rates[host].record(now);
            let knows_peers = now_ms >= started_ms[host] + 1_000;
            let mut demand = FleetDemand {
                data_centre: data_centre(host),
                own_per_s: rates[host].per_s(now),
                ..FleetDemand::default()
            };
            let known = history.front().filter(|_| knows_peers);
            match known {
                Some(known) => {
                    for peer in (0..scenario.hosts).filter(|peer| *peer != host) {
                        let per_s = demand.peers_per_s.entry(data_centre(peer)).or_insert(0.0);
                        *per_s += known[peer];
                    }
                }
                None => demand.unheard_count = scenario.hosts - 1,
            }
            let share_per_s = demand.share_per_s(scenario.limit_per_s, &"a".into());
            if allowances[host].admits(share_per_s, now, rng.random()) {
                allowances[host].charge();
                outcome.sent += 1;
                if now_ms >= STABLE_MS {
                    sent_ms.push_back(now_ms);
                }
            }
        }
        while sent_ms
            .front()
            .is_some_and(|sent| sent + WINDOW_MS <= now_ms)
        {
            sent_ms.pop_front();
        }
        outcome.most_in_window = outcome.most_in_window.max(sent_ms.len());
    }
    outcome
}

/// Guards against a target that gets more requests than it stated, over all hosts (LIMIT).
#[gtest]
fn allowances_of_all_hosts_keep_to_limit_in_every_window() {
    let scenario = Scenario {
        hosts: 20,
        limit_per_s: 14.6,
        requests_per_s: 40.0,
        knowledge_age_ms: 600,
        shift_interval_ms: 5_000,
        restart_interval_ms: 3_000,
    };
    let scenarios = [
        scenario,
        Scenario {
            limit_per_s: 5.3,
            ..scenario
        },
        Scenario {
            limit_per_s: 0.0,
            ..scenario
        },
        Scenario {
            limit_per_s: 50.0,
            requests_per_s: 200.0,
            ..scenario
        },
        Scenario {
            knowledge_age_ms: 1_500,
            shift_interval_ms: 1_000,
            ..scenario
        },
        Scenario {
            hosts: 100,
            limit_per_s: 8.0,
            requests_per_s: 100.0,
            restart_interval_ms: 500,
            ..scenario
        },
    ];
    for scenario in scenarios {
        for seed in 0..SEEDS {
            let outcome = run(scenario, seed);
            let window_s = WINDOW_MS as f64 / 1000.0;
            let allowed = 1.5 * scenario.limit_per_s * window_s + 5.0;
            expect_that!(
                outcome.most_in_window as f64,
                le(allowed),
                "{scenario:?}, seed {seed}: {outcome:?}"
            );
        }
    }
}
