use std::time::Duration;

use googletest::prelude::*;

use super::*;

/// Returns the profile of a model with 80 layers on three kinds of accelerators.
pub(crate) fn engine() -> EngineProfile {
    let kind = |memory_megabytes, step_factor, prefill_factor| AcceleratorSpec {
        memory_megabytes,
        step_factor,
        prefill_factor,
    };
    EngineProfile {
        model: "model".into(),
        layer_count: 80,
        layer_megabytes: 1750.0,
        kv_token_bytes: 918_000.0,
        slot_limit_requests: 192,
        step_ms: 1.02,
        step_ms_per_sequence: 0.007_14,
        step_ms_per_context_unit: 0.009_56,
        prefill_tokens_per_s: 105_000.0,
        steps_per_event: 3,
        load_time: Duration::from_secs(14),
        loads_at_once: 5,
        mean_prompt_tokens: 774.0,
        mean_answer_tokens: 200.0,
        activation_bytes: 45_900.0,
        pipe_megabits_per_s: 26_000.0,
        kinds: HashMap::from([
            ("large".into(), kind(72_000.0, 2.4, 3.2)),
            ("middle".into(), kind(43_200.0, 5.6, 2.7)),
            ("small".into(), kind(21_600.0, 16.0, 8.2)),
        ]),
    }
}

#[gtest]
fn layers_max_fills_memory() {
    let engine = engine();
    expect_that!(engine.layers_max(engine.kinds["large"]), eq(41));
    expect_that!(engine.layers_max(engine.kinds["middle"]), eq(24));
    expect_that!(engine.layers_max(engine.kinds["small"]), eq(12));
}

#[gtest]
fn capacity_tokens_falls_faster_than_layer_count_rises() {
    let engine = engine();
    let large = engine.kinds["large"];
    expect_that!(engine.capacity_tokens(large, 40), near(4_357.0, 1.0));
    expect_that!(engine.capacity_tokens(large, 32), near(43_573.0, 1.0));
    expect_that!(engine.capacity_tokens(large, 0), eq(0.0));
    expect_that!(engine.capacity_token_layers(large, 42), eq(0.0));
}

#[gtest]
fn step_time_scales_with_layer_fraction() {
    let engine = engine();
    let small = engine.kinds["small"];
    let whole = engine.step_time_ms(small, 80, 10.0, 1000.0);
    expect_that!(
        engine.step_time_ms(small, 8, 10.0, 1000.0),
        near(whole / 10.0, 1e-9)
    );
    expect_that!(whole, near(16.0 * (1.02 + 10.0 * 0.0167), 1e-9));
}

#[gtest]
fn prefill_time_follows_prefill_rate() {
    let engine = engine();
    expect_that!(
        engine.prefill_time_ms(engine.kinds["large"], 40, 1050.0),
        near(16.0, 1e-9)
    );
}

#[gtest]
fn pipe_time_is_bytes_over_bandwidth() {
    expect_that!(engine().pipe_time_ms(), near(0.014_123, 1e-6));
}
