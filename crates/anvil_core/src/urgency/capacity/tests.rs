use googletest::prelude::*;

use super::*;

fn engine(data_centre: usize, first: Layer, end: Layer, used_share: f64) -> EngineMemory {
    let capacity_token_layers = 1000.0 * f64::from(end - first);
    EngineMemory {
        data_centre,
        layers: LayerRange { first, end },
        capacity_token_layers,
        used_token_layers: used_share * capacity_token_layers,
        is_open: true,
    }
}

/// Guards against a full layer that is hidden by the room of the others.
#[gtest]
fn of_takes_fullest_layer_of_each_data_centre() {
    let engines = [
        engine(0, 0, 4, 0.2),
        engine(0, 4, 8, 0.9),
        engine(1, 0, 8, 0.5),
    ];
    let capacity = Capacity::of(8, &engines);
    expect_that!(capacity.total_tokens, near(2000.0, 1e-6));
    expect_that!(capacity.used_tokens, near(1400.0, 1e-6));
}

/// Load: a loss of engines. Their requests have to move to the engines that are left.
#[gtest]
fn of_rises_at_once_when_engines_are_lost() {
    let mut engines = [engine(0, 0, 8, 0.6), engine(0, 0, 8, 0.6)];
    expect_that!(Capacity::of(8, &engines).used_share(), near(0.6, 1e-6));
    engines[0].is_open = false;
    expect_that!(Capacity::of(8, &engines).used_share(), near(1.2, 1e-6));
    engines[1].is_open = false;
    expect_that!(Capacity::of(8, &engines).used_share(), ge(1.0));
}

#[gtest]
fn of_service_without_engine_for_a_layer_has_no_capacity() {
    let capacity = Capacity::of(8, &[engine(0, 0, 4, 0.1)]);
    expect_that!(capacity.total_tokens, eq(0.0));
    expect_that!(capacity.used_share(), ge(1.0));
    expect_that!(Capacity::of(8, &[]).used_share(), ge(1.0));
}
