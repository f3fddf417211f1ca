//! Paths of requests whose prompts engines hold in part.

use std::{
    collections::VecDeque,
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
    RecordId,
    Residency,
    SAVING_USED_SHARE_MAX,
    Term, //
};

const FIRST: LayerRange = LayerRange { first: 0, end: 40 };
const LAST: LayerRange = LayerRange { first: 40, end: 80 };

fn held(layers: LayerRange, tokens: f64, probability: f64) -> Vec<HeldPrefix> {
    vec![HeldPrefix {
        layers,
        tokens,
        probability,
    }]
}

/// Returns `count` engines for each half of the layers, all equal.
fn fleet(count: usize) -> Vec<Worker> {
    let halves = [("first", FIRST), ("last", LAST)];
    let of_half = |(name, layers): (&str, LayerRange)| {
        let name = name.to_owned();
        (0..count).map(move |index| {
            let name = format!("{name}-{index}");
            let mut worker = worker(&name, "large", 0, layers.first, layers.end);
            worker.kind.memory_megabytes = 100_000.0;
            worker
        })
    };
    halves.into_iter().flat_map(of_half).collect()
}

fn used_share(worker: &Worker) -> f64 {
    memory_share(&engine(), worker, &DEMAND, 0)
}

fn set_used_share(worker: &mut Worker, share: f64) {
    let capacity = engine().capacity_token_layers(worker.kind, worker.layers.count());
    worker.used_token_layers = share * capacity;
}

/// Guards against other paths in fleets where nothing is held, or only layers that the hop needs in part.
#[gtest]
fn choose_prices_as_without_reuse_if_nothing_is_held() {
    let engine = engine();
    let mut workers = fleet(3);
    for (index, worker) in workers.iter_mut().enumerate() {
        worker.sequences = index as f64;
        set_used_share(worker, 0.1 * index as f64);
        let (time_ms, share) = (
            prefill_ms(&engine, worker, &DEMAND, worker.layers)
                + DEMAND.answer_tokens
                    * (HOP_MS + step_ms(&engine, worker, &DEMAND, worker.layers)),
            used_share(worker),
        );
        let expected = time_ms * (1.0 + MEMORY_WEIGHT * share * share);
        let cost = request_cost_ms(&engine, worker, &DEMAND, worker.layers);
        expect_that!(cost, some(eq(expected)));
    }
    let without = path(&workers).unwrap();
    expect_that!(without.saved_tokens, eq(0.0));
    for worker in &mut workers {
        worker.held = held(LayerRange { first: 0, end: 39 }, 800.0, 1.0);
    }
    expect_that!(path(&workers).unwrap(), eq(&without));
}

/// Guards against a holder that is passed over though nothing speaks against it. Load: holder free.
#[gtest]
fn choose_follows_free_holder() {
    let mut workers = fleet(3);
    let before = path(&workers).unwrap();
    workers[2].held = held(FIRST, 600.0, 1.0);
    let path = path(&workers).unwrap();
    expect_that!(names(&workers, &path)[0].as_str(), eq("first-2"));
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
    workers[0].held = held(FIRST, 800.0, 1.0);
    workers[0].sequences = 30.0;
    let first = |workers: &[Worker]| names(workers, &path(workers).unwrap())[0].clone();
    expect_that!(first(&workers).as_str(), not(eq("first-0")));
    workers[0].sequences = 0.0;
    expect_that!(first(&workers).as_str(), eq("first-0"));
    set_used_share(&mut workers[0], 0.5);
    expect_that!(first(&workers).as_str(), not(eq("first-0")));
    // Even among engines that are as full, the holder attracts nothing.
    for worker in &mut workers {
        set_used_share(worker, SAVING_USED_SHARE_MAX);
    }
    expect_that!(saving_ms(&engine(), &workers[0], &DEMAND, FIRST), eq(0.0));
}

/// Guards against a path through a holder that takes no requests. Load: holder lost.
#[gtest]
fn choose_avoids_lost_holder() {
    let mut workers = fleet(2);
    workers[0].held = held(FIRST, 800.0, 1.0);
    workers[0].open = false;
    let path = path(&workers).unwrap();
    expect_that!(names(&workers, &path)[0].as_str(), eq("first-1"));
    expect_that!(path.saved_tokens, eq(0.0));
}

/// Guards against a saving that is counted in full though the prefix is likely gone. Load: stale belief.
#[gtest]
fn choose_weighs_saving_by_probability() {
    let mut workers = fleet(2);
    workers[0].held = held(FIRST, 800.0, 0.01);
    workers[0].sequences = 1.0;
    let names_of = |workers: &[Worker]| names(workers, &path(workers).unwrap());
    expect_that!(names_of(&workers)[0].as_str(), eq("first-1"));
    workers[0].held = held(FIRST, 800.0, 0.9);
    expect_that!(names_of(&workers)[0].as_str(), eq("first-0"));
}

/// Guards against negative prefill times by tokens that the request does not have.
#[gtest]
fn saving_is_at_most_prefill() {
    let engine = engine();
    let mut worker = fleet(1).remove(0);
    worker.slowdown = 3.0;
    worker.held = held(FIRST, 1e9, 1.0);
    let prefill = prefill_ms(&engine, &worker, &DEMAND, FIRST);
    expect_that!(saving_ms(&engine, &worker, &DEMAND, FIRST), eq(prefill));
    set_used_share(&mut worker, 0.4);
    expect_that!(
        saving_ms(&engine, &worker, &DEMAND, FIRST),
        near(0.5 * prefill, 1e-9)
    );
}

/// What a [`simulate`] run observed.
struct Observed {
    /// Largest share of memory in use at any engine and time.
    used_share_max: f64,
    /// Share of memory in use when the second engine of the first half got the popular prefix.
    used_share_at_spread: f64,
    /// Number of engines of the first half that held the popular prefix.
    holder_count: usize,
    /// Requests with the popular prefix that had a saving.
    saved_count: usize,
    /// Requests that found no path.
    refused_count: usize,
}

/// Runs requests through 8 equal engines for each half of the layers. One request arrives every 20 ms and
/// runs for `run_time`; every third has the popular prefix.
fn simulate(has_reuse: bool, run_time: Duration) -> Observed {
    const ENGINES: usize = 8;
    const REQUESTS: usize = 1500;
    const DEMAND: Demand = Demand {
        prompt_tokens: 1200.0,
        answer_tokens: 60.0,
        data_centre: 0,
        may_cross: true,
    };
    let engine = engine();
    let start = Instant::now();
    let popular = Arc::new(Prefix::new([("popular", 1100)]));
    let mut workers = fleet(ENGINES);
    let mut residency = Residency::default();
    let mut running: VecDeque<(Instant, Vec<Hop>, Vec<RecordId>)> = VecDeque::new();
    let mut holders = [false; ENGINES];
    let mut observed = Observed {
        used_share_max: 0.0,
        used_share_at_spread: f64::NAN,
        holder_count: 0,
        saved_count: 0,
        refused_count: 0,
    };
    let mut rng = StdRng::seed_from_u64(5);
    let mut noise = || rng.random_range(0.95..1.05);
    for index in 0..REQUESTS {
        let now = start + Duration::from_millis(20) * index as u32;
        while let Some((end, ..)) = running.front()
            && *end <= now
        {
            let (_, hops, ids) = running.pop_front().unwrap();
            for hop in hops {
                let worker = &mut workers[hop.worker];
                worker.sequences -= 1.0;
                worker.first_requests -= f64::from(u8::from(hop.layers.first == 0));
                worker.used_token_layers -= DEMAND.memory_tokens() * f64::from(hop.layers.count());
            }
            for id in &ids {
                residency.end(id);
            }
        }
        for (_, _, ids) in &running {
            for id in ids {
                residency.confirm(id, now);
            }
        }
        let own = Arc::new(Prefix::new([(format!("own-{index}").as_str(), 1100)]));
        let is_popular = index % 3 == 0;
        let prefix = if is_popular { &popular } else { &own };
        let state_of = |worker: &Worker| EngineState {
            started_unix_ms: 1,
            version: 1,
            layers: worker.layers,
            unresponsive_at: None,
        };
        for worker in &mut workers {
            let state = state_of(worker);
            let delay = Duration::from_millis(40);
            worker.held = match has_reuse {
                true => residency.held(&worker.target, state, prefix, now, delay),
                false => Vec::new(),
            };
        }
        let Ok(path) = choose(&engine, &workers, &DEMAND, 1, &mut noise) else {
            observed.refused_count += 1;
            continue;
        };
        observed.saved_count += usize::from(is_popular && path.saved_tokens > 0.0);
        let first = path.hops[0].worker;
        if is_popular && !holders[first] {
            holders[first] = true;
            observed.holder_count += 1;
            if observed.holder_count == 2 {
                let shares = workers[..ENGINES].iter().map(used_share);
                observed.used_share_at_spread = shares.fold(0.0, f64::max);
            }
        }
        let term = Term {
            since: now,
            expected: run_time,
        };
        let mut ids = Vec::new();
        for hop in &path.hops {
            let worker = &mut workers[hop.worker];
            worker.sequences += 1.0;
            worker.first_requests += f64::from(u8::from(hop.layers.first == 0));
            worker.used_token_layers += DEMAND.memory_tokens() * f64::from(hop.layers.count());
            let state = state_of(worker);
            ids.push(residency.begin(&worker.target, state, hop.layers, prefix, term));
            observed.used_share_max = observed.used_share_max.max(used_share(worker));
        }
        running.push_back((now + run_time, path.hops, ids));
    }
    observed
}

/// Guards against a popular prefix that fills its holder while other engines are free. Load: one prefix
/// with a third of all traffic, where all requests take a quarter, half and four fifths of the fleet's memory.
#[gtest]
fn choose_spreads_popular_prefix_before_holder_is_full() {
    for run_time_ms in [2000, 4200, 6800] {
        let run_time = Duration::from_millis(run_time_ms);
        let without = simulate(false, run_time);
        let with = simulate(true, run_time);
        expect_that!(with.holder_count, ge(6), "{run_time:?}");
        expect_that!(with.used_share_at_spread, lt(0.3), "{run_time:?}");
        expect_that!(
            with.used_share_max,
            le(without.used_share_max + 0.05),
            "{run_time:?}"
        );
        expect_that!(with.refused_count, eq(0), "{run_time:?}");
        expect_that!(with.saved_count, gt(400), "{run_time:?}");
    }
}
