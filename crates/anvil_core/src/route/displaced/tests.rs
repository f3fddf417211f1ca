use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

use super::*;
use crate::{
    engine_model::tests::engine,
    id::Layer,
    route::engine_driven::{
        Demand,
        Hop,
        repair, //
    },
};

const STREAMS: usize = 200;
const STREAM_TOKENS: f64 = 900.0;
const DEMAND: Demand = Demand {
    prompt_tokens: STREAM_TOKENS,
    answer_tokens: 70.0,
    data_centre: 0,
    may_cross: false,
};

fn worker(name: &str, first: Layer, end: Layer) -> Worker {
    let mut kind = engine().kinds["middle"];
    kind.memory_megabytes = 100_000.0;
    Worker {
        target: name.into(),
        data_centre: 0,
        kind,
        layers: LayerRange { first, end },
        sequences: 0.0,
        used_token_layers: 0.0,
        first_requests: 0.0,
        slowdown: 1.0,
        prefill_wait_ms: 0.0,
        open: true,
        may_be_first: true,
        held: Vec::new(),
    }
}

fn lost(age: Duration) -> Displaced {
    Displaced {
        data_centre: 0,
        layers: LayerRange { first: 40, end: 60 },
        token_layers: STREAMS as f64 * STREAM_TOKENS * 20.0,
        age,
    }
}

/// Moves all streams of a lost engine at hosts with the same view, and returns how many each engine that
/// holds its layers takes over. The second of them is a little faster than the others.
fn move_streams(displaced: &[Displaced]) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut workers = vec![
        worker("head", 0, 40),
        worker("a", 40, 60),
        worker("b", 40, 60),
        worker("c", 40, 60),
        worker("tail", 60, 80),
    ];
    workers[2].kind.step_factor *= 0.7;
    let kept = [
        Hop {
            worker: 0,
            layers: workers[0].layers,
        },
        Hop {
            worker: 4,
            layers: workers[4].layers,
        },
    ];
    let mut taken = vec![0; workers.len()];
    for _ in 0..STREAMS {
        for worker in &mut workers {
            let share = rng.random_range(0.0..1.0);
            worker.prefill_wait_ms = prefill_wait_ms(&engine(), worker, displaced, share);
        }
        let path = repair(&engine(), &workers, &DEMAND, 1, &kept, || {
            rng.random_range(0.85..1.15)
        })
        .unwrap();
        taken[path.hops[1].worker] += 1;
    }
    taken[1..4].to_vec()
}

/// Load: an engine with 200 streams is lost, and all hosts move them with the same view.
#[gtest]
fn repair_spreads_displaced_streams_over_engines() {
    // Guards against a backlog of all displaced prompts at one engine.
    let herded = move_streams(&[]);
    expect_that!(herded.iter().max(), some(gt(&(STREAMS * 8 / 10))));
    let spread = move_streams(&[lost(Duration::ZERO)]);
    expect_that!(spread.iter().max(), some(lt(&(STREAMS * 6 / 10))));
    expect_that!(spread.iter().min(), some(gt(&(STREAMS / 10))));
}

#[gtest]
fn prefill_wait_ms_ends_with_age() {
    let taking_over = worker("a", 40, 60);
    let wait_ms = |age| prefill_wait_ms(&engine(), &taking_over, &[lost(age)], 1.0);
    expect_that!(wait_ms(Duration::ZERO), gt(100.0));
    expect_that!(
        wait_ms(Duration::from_millis(50)),
        lt(wait_ms(Duration::ZERO))
    );
    expect_that!(wait_ms(DISPLACEMENT_TIME), eq(0.0));
}

#[gtest]
fn prefill_wait_ms_is_zero_for_engines_that_take_nothing_over() {
    let displaced = [lost(Duration::ZERO)];
    let wait_ms = |worker: &Worker| prefill_wait_ms(&engine(), worker, &displaced, 1.0);
    expect_that!(wait_ms(&worker("other layers", 0, 40)), eq(0.0));
    let mut elsewhere = worker("other data centre", 40, 60);
    elsewhere.data_centre = 1;
    expect_that!(wait_ms(&elsewhere), eq(0.0));
}
