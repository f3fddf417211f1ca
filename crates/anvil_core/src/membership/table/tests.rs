use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng,
    seq::IndexedRandom, //
};

use super::*;
use crate::membership::probe::ProbeOrder;

fn fact(number: usize, incarnation: u64, refutations: u32, state: State) -> Fact {
    Fact {
        host: format!("host-{number}").into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "a".into(),
        version: FactVersion {
            incarnation,
            refutations,
        },
        state,
    }
}

fn table(number: usize) -> Table {
    Table::new(fact(number, 1, 0, State::Alive), Settings::default())
}

fn state(table: &Table, number: usize) -> Option<State> {
    let host = format!("host-{number}").into();
    table.get(&host).map(|fact| fact.state)
}

#[gtest]
fn merge_prefers_newer_version() {
    let now = Instant::now();
    let cases = [
        (fact(1, 5, 0, State::Alive), Some(State::Suspect)),
        (fact(1, 5, 1, State::Alive), Some(State::Alive)),
        (fact(1, 4, 9, State::Alive), Some(State::Suspect)),
        (fact(1, 6, 0, State::Alive), Some(State::Alive)),
        (fact(1, 5, 0, State::Dead), Some(State::Dead)),
        (fact(1, 5, 0, State::Left), Some(State::Left)),
    ];
    for (received, expected) in cases {
        let mut table = table(0);
        table.merge(fact(1, 5, 0, State::Alive), now);
        table.merge(fact(1, 5, 0, State::Suspect), now);
        table.merge(received.clone(), now);
        expect_that!(state(&table, 1), eq(expected), "after {received:?}");
    }
}

#[gtest]
fn merge_keeps_left_state_within_a_run() {
    let now = Instant::now();
    let mut table = table(0);
    table.merge(fact(1, 5, 0, State::Alive), now);
    table.merge(fact(1, 5, 3, State::Left), now);
    table.merge(fact(1, 5, 9, State::Alive), now);
    expect_that!(state(&table, 1), some(eq(State::Left)));
    table.merge(fact(1, 6, 0, State::Alive), now);
    expect_that!(state(&table, 1), some(eq(State::Alive)));
}

#[gtest]
fn merge_refutes_suspicion_of_own_host() {
    let now = Instant::now();
    let mut table = table(0);
    table.merge(fact(0, 1, 4, State::Dead), now);
    expect_that!(table.own().version.refutations, eq(5));
    expect_that!(table.own().state, eq(State::Alive));
    table.leave();
    table.merge(fact(0, 1, 9, State::Suspect), now);
    expect_that!(table.own().state, eq(State::Left));
}

#[gtest]
fn advance_declares_suspect_dead_and_then_removes_it() {
    let start = Instant::now();
    let settings = Settings::default();
    let mut table = table(0);
    table.merge(fact(1, 5, 0, State::Alive), start);
    table.probe_failed(&"host-1".into(), start);
    expect_that!(
        table.advance(start + settings.suspect_timeout / 2),
        is_empty()
    );
    let dead_at = start + settings.suspect_timeout;
    expect_that!(table.advance(dead_at).len(), eq(1));
    // Late gossip about the dead run doesn't revive the host.
    table.merge(fact(1, 5, 0, State::Alive), dead_at);
    expect_that!(state(&table, 1), some(eq(State::Dead)));
    table.advance(dead_at + settings.forget_timeout);
    expect_that!(state(&table, 1), none());
}

#[gtest]
fn apply_list_adds_only_unknown_hosts() {
    let now = Instant::now();
    let mut table = table(0);
    table.merge(fact(1, 5, 0, State::Alive), now);
    table.merge(fact(1, 5, 0, State::Left), now);
    let list: Vec<_> = (0..3)
        .map(|number| ListedHost {
            host: format!("host-{number}").into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: "a".into(),
        })
        .collect();
    table.apply_list(&list, now);
    expect_that!(state(&table, 1), some(eq(State::Left)));
    expect_that!(state(&table, 2), some(eq(State::Alive)));
    expect_that!(table.listed_hosts(), eq(3));
}

#[gtest]
fn facts_to_send_are_bounded_at_any_fleet_size() {
    let now = Instant::now();
    for fleet_size in [20, 410, 2000] {
        let mut table = table(0);
        for number in 1..fleet_size {
            table.merge(fact(number, 1, 0, State::Alive), now);
        }
        expect_that!(
            table.facts_to_send().len(),
            eq(Settings::default().facts_per_message + 1)
        );
    }
}

/// Runs gossip for `rounds` probe intervals in a fleet whose hosts in `down` don't answer.
fn run_gossip(tables: &mut [Table], down: &[usize], rounds: u32, start: Instant, rng: &mut StdRng) {
    let mut probe_orders: Vec<_> = tables.iter().map(|_| ProbeOrder::default()).collect();
    for round in 0..rounds {
        let now = start + Settings::default().probe_interval * round;
        for from in (0..tables.len()).filter(|index| !down.contains(index)) {
            tables[from].advance(now);
            let live: Vec<_> = tables[from].live().map(|fact| fact.host.clone()).collect();
            let Some(name) = probe_orders[from].next(live.iter(), rng) else {
                continue;
            };
            let to = tables
                .iter()
                .position(|table| table.own().host == name)
                .unwrap();
            if down.contains(&to) {
                tables[from].probe_failed(&name, now);
                continue;
            }
            let mut facts = tables[from].facts_to_send();
            facts.extend(tables[from].fact_for(&name));
            for fact in facts {
                tables[to].merge(fact, now);
            }
            for fact in tables[to].facts_to_send() {
                tables[from].merge(fact, now);
            }
        }
    }
}

#[gtest]
fn facts_to_send_spread_failure_to_every_host() {
    const FLEET_SIZE: usize = 60;
    let mut rng = StdRng::seed_from_u64(3);
    let start = Instant::now();
    let mut tables: Vec<_> = (0..FLEET_SIZE).map(table).collect();
    for table in &mut tables {
        // Each host starts from a list of a third of the fleet.
        for _ in 0..FLEET_SIZE / 3 {
            let other = rng.random_range(0..FLEET_SIZE);
            table.merge(fact(other, 1, 0, State::Alive), start);
        }
    }
    run_gossip(&mut tables, &[], 60, start, &mut rng);
    for table in &tables {
        expect_that!(table.live().count(), eq(FLEET_SIZE - 1));
    }
    let down: Vec<usize> = (0..FLEET_SIZE)
        .collect::<Vec<_>>()
        .sample(&mut rng, 5)
        .copied()
        .collect();
    let failed_at = start + Duration::from_secs(30);
    run_gossip(&mut tables, &down, 24, failed_at, &mut rng);
    for (index, table) in tables.iter().enumerate() {
        if !down.contains(&index) {
            expect_that!(table.live().count(), eq(FLEET_SIZE - 1 - down.len()));
        }
    }
}
