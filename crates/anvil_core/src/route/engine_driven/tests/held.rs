//! Paths of requests whose prompts engines hold in part.

use std::{
    collections::{
        HashSet,
        VecDeque, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    super::*,
    DEMAND,
    engine,
    names,
    path,
    worker, //
};
use crate::residency::{
    EngineState,
    Prefix,
    Residency,
    SAVING_USED_SHARE_MAX,
    Term, //
};

const FIRST: LayerRange = LayerRange { first: 0, end: 40 };

fn held(tokens: f64, probability: f64) -> Vec<HeldPrefix> {
    vec![HeldPrefix {
        layers: FIRST,
        tokens,
        probability,
    }]
}

/// Returns `count` engines for each half of the layers, all equal.
fn fleet(count: usize) -> Vec<Worker> {
    let workers = (0..2 * count).map(|index| {
        let first = if index < count { 0 } else { 40 };
        let mut worker = worker(&format!("{index}"), "large", 0, first, first + 40);
        worker.kind.memory_megabytes = 100_000.0;
        worker
    });
    workers.collect()
}

fn used_share(worker: &Worker) -> f64 {
    memory_share(&engine(), worker, &DEMAND, 0)
}

fn set_used_share(worker: &mut Worker, share: f64) {
    let capacity = engine().capacity_token_layers(worker.kind, worker.layers.count());
    worker.used_token_layers = share * capacity;
}

/// Returns the name of the first engine of the cheapest path.
fn first(workers: &[Worker]) -> String {
    names(workers, &path(workers).unwrap()).remove(0)
}

/// Guards against other paths in fleets where nothing is held, or less than all layers of the hop.
#[gtest]
fn choose_prices_as_without_reuse_if_nothing_is_held() {
    let engine = engine();
    let mut workers = fleet(3);
    for (index, worker) in workers.iter_mut().enumerate() {
        worker.sequences = index as f64;
        set_used_share(worker, 0.1 * index as f64);
        let share = used_share(worker);
        let step_ms = HOP_MS + step_ms(&engine, worker, &DEMAND, worker.layers);
        let time_ms =
            prefill_ms(&engine, worker, &DEMAND, worker.layers) + DEMAND.answer_tokens * step_ms;
        let expected = time_ms * (1.0 + MEMORY_WEIGHT * share * share);
        let cost = request_cost_ms(&engine, worker, &DEMAND, worker.layers);
        expect_that!(cost, some(eq(expected)));
    }
    let without = path(&workers).unwrap();
    expect_that!(without.saved_tokens, eq(0.0));
    for worker in &mut workers {
        worker.held = held(800.0, 1.0);
        worker.held[0].layers.end = 39;
    }
    expect_that!(path(&workers).unwrap(), eq(&without));
}

/// Guards against a holder that is passed over though nothing speaks against it. Load: holder free.
#[gtest]
fn choose_follows_free_holder() {
    let mut workers = fleet(3);
    let before = path(&workers).unwrap();
    workers[2].held = held(600.0, 1.0);
    let path = path(&workers).unwrap();
    expect_that!(path.hops[0].worker, eq(2));
    expect_that!(path.saved_tokens, near(300.0, 1e-9));
    let saved_ms = engine().prefill_time_ms(workers[2].kind, 40, 600.0);
    expect_that!(
        path.first_event_ms,
        near(before.first_event_ms - saved_ms, 1e-9)
    );
    expect_that!(path.pause_ms, eq(before.pause_ms));
}

/// Guards against waiting at a holder for longer than the prefill takes. Load: holder busy, by sequences
/// or by memory.
#[gtest]
fn choose_leaves_busy_holder() {
    let mut workers = fleet(3);
    workers[0].held = held(800.0, 1.0);
    expect_that!(first(&workers), eq("0"));
    workers[0].sequences = 30.0;
    expect_that!(first(&workers), not(eq("0")));
    workers[0].sequences = 0.0;
    set_used_share(&mut workers[0], 0.5);
    expect_that!(first(&workers), not(eq("0")));
    // The holder attracts nothing even among engines that are as full.
    set_used_share(&mut workers[0], SAVING_USED_SHARE_MAX);
    expect_that!(saving_ms(&engine(), &workers[0], &DEMAND, FIRST), eq(0.0));
}

/// Guards against a holder that takes no requests, and against a saving that is counted in full though the
/// prefix is likely gone. Load: holder lost; stale belief.
#[gtest]
fn choose_avoids_lost_or_unlikely_holder() {
    let mut workers = fleet(2);
    workers[0].sequences = 1.0;
    for (open, probability, name) in [(true, 0.9, "0"), (true, 0.01, "1"), (false, 0.9, "1")] {
        workers[0].open = open;
        workers[0].held = held(800.0, probability);
        expect_that!(first(&workers), eq(name));
    }
}

/// Guards against negative prefill times by tokens that the request does not have.
#[gtest]
fn saving_is_at_most_prefill() {
    let engine = engine();
    let mut worker = fleet(1).remove(0);
    worker.slowdown = 3.0;
    worker.held = held(1e9, 1.0);
    let prefill = prefill_ms(&engine, &worker, &DEMAND, FIRST);
    expect_that!(saving_ms(&engine, &worker, &DEMAND, FIRST), eq(prefill));
    set_used_share(&mut worker, 0.4);
    expect_that!(
        saving_ms(&engine, &worker, &DEMAND, FIRST),
        near(0.5 * prefill, 1e-9)
    );
}

/// Runs requests through 8 equal engines for each half of the layers. One request arrives every 20 ms and
/// runs for `run_time`; every third has the popular prefix. Returns the largest share of memory in use at any
/// engine and time, the first engines of paths with the popular prefix, and the number of those with a saving.
fn simulate(has_reuse: bool, run_time: Duration) -> (f64, HashSet<usize>, usize) {
    let engine = engine();
    let demand = Demand {
        prompt_tokens: 1200.0,
        answer_tokens: 60.0,
        ..DEMAND
    };
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(5);
    let mut workers = fleet(8);
    let mut residency = Residency::default();
    let mut running: VecDeque<(Instant, Vec<(Hop, _)>)> = VecDeque::new();
    let (mut used_share_max, mut holders, mut saved_count) = (0.0f64, HashSet::new(), 0);
    for index in 0..1500 {
        let now = start + Duration::from_millis(20) * index;
        while running.front().is_some_and(|(end, _)| *end <= now) {
            for (hop, id) in running.pop_front().into_iter().flat_map(|(_, hops)| hops) {
                let worker = &mut workers[hop.worker];
                worker.sequences -= 1.0;
                worker.used_token_layers -= demand.memory_tokens() * f64::from(hop.layers.count());
                residency.end(&id);
            }
        }
        for (_, id) in running.iter().flat_map(|(_, hops)| hops) {
            residency.confirm(id, now);
        }
        let is_popular = index % 3 == 0;
        let id = if is_popular { 0 } else { index };
        let prefix = Arc::new(Prefix::new([(format!("part-{id}").as_str(), 1100)]));
        let state = |worker: &Worker| EngineState {
            started_unix_ms: 1,
            version: 1,
            layers: worker.layers,
            unresponsive_at: None,
        };
        for worker in workers.iter_mut().filter(|_| has_reuse) {
            let delay = Duration::from_millis(40);
            worker.held = residency.held(&worker.target, state(worker), &prefix, now, delay);
        }
        let noise = || rng.random_range(0.95..1.05);
        let path = choose(&engine, &workers, &demand, 1, noise).expect("no engine is full");
        if is_popular {
            holders.insert(path.hops[0].worker);
            saved_count += usize::from(path.saved_tokens > 0.0);
        }
        let term = Term {
            since: now,
            expected: run_time,
        };
        let hops = path.hops.into_iter().map(|hop| {
            let worker = &mut workers[hop.worker];
            worker.sequences += 1.0;
            worker.used_token_layers += demand.memory_tokens() * f64::from(hop.layers.count());
            used_share_max = used_share_max.max(used_share(worker));
            let state = state(worker);
            let id = residency.begin(&worker.target, state, hop.layers, &prefix, term);
            (hop, id)
        });
        running.push_back((now + run_time, hops.collect()));
    }
    (used_share_max, holders, saved_count)
}

/// Guards against a popular prefix that fills its holder while other engines are free. Load: one prefix
/// with a third of all traffic, where all requests take a quarter, half and four fifths of the memory.
#[gtest]
fn choose_spreads_popular_prefix_before_holder_is_full() {
    for run_time_ms in [2000, 4200, 6800] {
        let run_time = Duration::from_millis(run_time_ms);
        let (used_share_without, ..) = simulate(false, run_time);
        let (used_share, holders, saved_count) = simulate(true, run_time);
        expect_that!(used_share, le(used_share_without + 0.05), "{run_time:?}");
        expect_that!(holders.len(), ge(6), "{run_time:?}");
        expect_that!(saved_count, gt(400), "{run_time:?}");
    }
}
