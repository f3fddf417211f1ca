use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng, //
};

use super::*;
use crate::engine_model::tests::engine;

fn accelerators(data_centre: &str, kinds: &[(&str, usize)]) -> Vec<Accelerator> {
    let engine = engine();
    let mut accelerators = Vec::new();
    for (kind, count) in kinds {
        for index in 0..*count {
            accelerators.push(Accelerator {
                target: format!("{data_centre}-{kind}-{index}").into(),
                data_centre: data_centre.into(),
                kind: engine.kinds[*kind],
                holds: None,
            });
        }
    }
    accelerators
}

/// Returns the first move of each data centre that raises the rate.
fn rebalance(
    engine: &EngineProfile,
    accelerators: &[Accelerator],
    price_share_max: f64,
) -> Vec<Move> {
    let first_raising = |moves| {
        let mut check = RateCheck::new(engine, accelerators, moves);
        loop {
            if let CheckState::Done(found) = check.advance() {
                return found;
            }
        }
    };
    moves(engine, accelerators, price_share_max)
        .into_values()
        .filter_map(first_raising)
        .collect()
}

/// Returns the number of accelerators in a data centre that hold each layer.
fn copies_per_layer(
    layout: &Layout,
    accelerators: &[Accelerator],
    data_centre: &str,
) -> Vec<usize> {
    let mut copies_per_layer = vec![0; 80];
    for accelerator in accelerators
        .iter()
        .filter(|accelerator| accelerator.data_centre == data_centre)
    {
        if let Some(range) = layout.get(&accelerator.target) {
            for layer in range.first..range.end {
                copies_per_layer[usize::from(layer)] += 1;
            }
        }
    }
    copies_per_layer
}

#[gtest]
fn choose_covers_every_layer_in_each_data_centre() {
    let engine = engine();
    let mut all = accelerators("a", &[("large", 1), ("middle", 3), ("small", 8)]);
    all.extend(accelerators(
        "b",
        &[("large", 1), ("middle", 6), ("small", 5)],
    ));
    all.extend(accelerators(
        "c",
        &[("large", 2), ("middle", 2), ("small", 5)],
    ));
    let layout = choose(&engine, &all, |_| true);
    for data_centre in ["a", "b", "c"] {
        expect_that!(copies_per_layer(&layout, &all, data_centre), each(ge(&1)));
    }
}

#[gtest]
fn choose_never_exceeds_accelerator_memory() {
    let engine = engine();
    let all = accelerators("a", &[("large", 2), ("middle", 3), ("small", 8)]);
    for (target, range) in &choose(&engine, &all, |_| true) {
        let accelerator = all
            .iter()
            .find(|accelerator| accelerator.target == *target)
            .unwrap();
        expect_that!(range.count(), le(engine.layers_max(accelerator.kind)));
    }
}

#[gtest]
fn rebalance_covers_layers_after_permanent_loss() {
    let engine = engine();
    let mut all = accelerators("a", &[("large", 1), ("middle", 3), ("small", 8)]);
    let layout = choose(&engine, &all, |_| true);
    for accelerator in &mut all {
        accelerator.holds = layout.get(&accelerator.target).copied();
    }
    // Whichever accelerator is lost, a few moves of the others cover every layer again.
    for lost in 0..all.len() {
        let mut remaining = all.clone();
        remaining.remove(lost);
        for _ in 0..3 {
            for relocation in rebalance(&engine, &remaining, 0.8) {
                let accelerator = remaining
                    .iter_mut()
                    .find(|accelerator| accelerator.target == relocation.target);
                accelerator.unwrap().holds = Some(relocation.layers);
            }
        }
        let layout = remaining
            .iter()
            .filter_map(|accelerator| Some((accelerator.target.clone(), accelerator.holds?)))
            .collect();
        expect_that!(
            copies_per_layer(&layout, &remaining, "a"),
            each(ge(&1)),
            "without accelerator {lost}"
        );
    }
}

#[gtest]
fn rebalance_keeps_good_layout() {
    let engine = engine();
    let mut all = accelerators("a", &[("large", 1), ("middle", 6), ("small", 5)]);
    let layout = choose(&engine, &all, |_| true);
    for accelerator in &mut all {
        accelerator.holds = layout.get(&accelerator.target).copied();
    }
    expect_that!(rebalance(&engine, &all, 0.8), is_empty());
}

#[gtest]
fn choose_restores_layers_of_lost_accelerator() {
    let engine = engine();
    let mut all = accelerators("a", &[("large", 1), ("middle", 3), ("small", 8)]);
    let layout = choose(&engine, &all, |_| true);
    for accelerator in &mut all {
        accelerator.holds = layout.get(&accelerator.target).copied();
    }
    let lost = all[3].target.clone();
    let before = all[3].holds;
    all[3].holds = None;
    let restored = choose(&engine, &all, |accelerator| accelerator.holds.is_none());
    expect_that!(restored.get(&lost).copied(), eq(before));
    expect_that!(copies_per_layer(&restored, &all, "a"), each(ge(&1)));
}

fn three_data_centres() -> Vec<Accelerator> {
    let mut all = accelerators("a", &[("large", 1), ("middle", 3), ("small", 8)]);
    all.extend(accelerators(
        "b",
        &[("large", 1), ("middle", 6), ("small", 5)],
    ));
    all.extend(accelerators(
        "c",
        &[("large", 2), ("middle", 2), ("small", 5)],
    ));
    all
}

/// Both layouts are filled with simulated requests until memory is full. The layout found by hill
/// climbing must sustain at least the rate of the greedy layout.
#[gtest]
fn hill_climb_sustains_at_least_greedy_rate() {
    let engine = engine();
    let all = three_data_centres();
    let greedy = choose(&engine, &all, |_| true);
    let greedy_per_s = capacity::rate_per_s(&engine, &all, &greedy, &[]);
    let mut climb = HillClimb::new(&engine, &all);
    let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    for _ in 0..150 {
        climb.step(&mut rng);
    }
    let layout = climb.into_layout();
    let climbed_per_s = capacity::rate_per_s(&engine, &all, &layout, &[]);
    println!("greedy {greedy_per_s:.1}/s, climbed {climbed_per_s:.1}/s");
    expect_that!(climbed_per_s, ge(greedy_per_s));
    for (target, range) in &layout {
        let accelerator = all
            .iter()
            .find(|accelerator| accelerator.target == *target)
            .unwrap();
        expect_that!(range.count(), le(engine.layers_max(accelerator.kind)));
    }
}

/// Guards against a layout that cannot sustain bursts after a crash: the site has four data centres
/// with 276 streams per second and bursts of 25 % more, and up to three accelerators of one data
/// centre crash together: three draws, which may repeat an accelerator.
#[gtest]
fn hill_climb_sustains_bursts_after_joint_crash() {
    const BURST_PER_S: f64 = 276.0 * 1.25;
    const CRASHES: usize = 24;
    let engine = EngineProfile {
        kv_token_bytes: 590_000.0,
        step_ms_per_sequence: 0.00459,
        step_ms_per_context_unit: 0.00615,
        prefill_tokens_per_s: 164_000.0,
        steps_per_event: 5,
        activation_bytes: 29_500.0,
        pipe_megabits_per_s: 13_000.0,
        ..engine()
    };
    let data_centres = [
        ("a", 2, 7, 15),
        ("b", 1, 11, 8),
        ("c", 3, 5, 10),
        ("d", 2, 7, 15),
    ];
    let all: Vec<Accelerator> = data_centres
        .iter()
        .flat_map(|(name, large, middle, small)| {
            accelerators(
                name,
                &[("large", *large), ("middle", *middle), ("small", *small)],
            )
        })
        .collect();
    let mut rng = rand::rngs::SmallRng::seed_from_u64(7);
    let mut climb = HillClimb::new(&engine, &all);
    for _ in 0..10 {
        climb.step(&mut rng);
    }
    let layout = climb.into_layout();
    for crash in 0..CRASHES {
        let name = data_centres[crash % data_centres.len()].0;
        let pool: Vec<usize> = (0..all.len())
            .filter(|index| all[*index].data_centre == name)
            .collect();
        let lost: Vec<usize> = (0..3)
            .map(|_| pool[rng.random_range(0..pool.len())])
            .collect();
        let rate_per_s = capacity::rate_per_s(&engine, &all, &layout, &lost);
        expect_that!(rate_per_s, ge(BURST_PER_S), "without {lost:?}");
    }
}
