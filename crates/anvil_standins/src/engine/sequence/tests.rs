use googletest::prelude::*;

use super::*;
use crate::reference;

const LAYER_COUNT: u16 = 6;

fn step(first: u16, end: u16, position: u32, tokens: &[u32], activations: Bytes) -> Step {
    let token_count = match tokens.len() {
        0 => activations.len() / ACTIVATION_BYTES,
        count => count,
    };
    Step {
        tag: 1,
        name: StepName {
            request: "r".into(),
            attempt: 0,
            position,
            layers: LayerRange { first, end },
        },
        model: "m".into(),
        version: "1".into(),
        priority: 0,
        time_left_ms: 1000,
        token_count: u32::try_from(token_count).unwrap(),
        tokens: tokens.to_vec(),
        activations,
    }
}

/// Runs tokens through two engines, of which the second begins at `split_layer`.
fn run_pass(engines: &mut [Sequences; 2], split_layer: u16, position: u32, tokens: &[u32]) -> u32 {
    let first = step(0, split_layer, position, tokens, Bytes::new());
    let Ok((StepOutput::Activations(data), _)) = engines[0].apply(&first, LAYER_COUNT) else {
        panic!("the first range must produce activations");
    };
    let last = step(split_layer, LAYER_COUNT, position, &[], data);
    let Ok((StepOutput::Token(token), _)) = engines[1].apply(&last, LAYER_COUNT) else {
        panic!("the last range must produce a token");
    };
    token
}

#[gtest]
fn apply_matches_reference_across_split_ranges() {
    let prompt = [5, 6, 7];
    let expected = reference::expected_answer("m", "1", LAYER_COUNT, &prompt, 4);
    let mut engines = [Sequences::default(), Sequences::default()];
    let mut answer = vec![run_pass(&mut engines, 2, 0, &prompt)];
    for position in 3..6 {
        let last = answer[answer.len() - 1];
        answer.push(run_pass(&mut engines, 2, position, &[last]));
    }
    expect_that!(answer, eq(&expected));
}

#[gtest]
fn apply_returns_kept_answer_for_same_step_name() {
    let mut sequences = Sequences::default();
    let step = step(0, 2, 0, &[1, 2], Bytes::new());
    let (computed, first) = sequences.apply(&step, LAYER_COUNT).unwrap();
    let (kept, second) = sequences.apply(&step, LAYER_COUNT).unwrap();
    expect_that!((first, second), eq((Origin::Computed, Origin::Kept)));
    expect_that!(kept, eq(&computed));
}

#[gtest]
fn apply_refuses_gap_in_positions() {
    let mut sequences = Sequences::default();
    sequences
        .apply(&step(0, 2, 0, &[1, 2], Bytes::new()), LAYER_COUNT)
        .unwrap();
    expect_that!(
        sequences.apply(&step(0, 2, 3, &[9], Bytes::new()), LAYER_COUNT),
        err(eq(&SequenceError::CacheMismatch { held_position: 2 }))
    );
}

#[gtest]
fn apply_refuses_wrong_size_of_activations() {
    let mut sequences = Sequences::default();
    let mut step = step(2, 4, 0, &[], Bytes::from_static(&[0; 8]));
    step.token_count = 2;
    expect_that!(
        sequences.apply(&step, LAYER_COUNT),
        err(eq(&SequenceError::Malformed))
    );
}

#[gtest]
fn import_continues_an_exported_sequence() {
    let mut sequences = Sequences::default();
    sequences
        .apply(&step(0, 2, 0, &[1, 2], Bytes::new()), LAYER_COUNT)
        .unwrap();
    let name = KvName {
        request: "r".into(),
        attempt: 0,
        layers: LayerRange { first: 0, end: 2 },
    };
    let cache = sequences.export(&name).unwrap();
    let mut importer = Sequences::default();
    importer.import(&KvImport { name, cache }).unwrap();
    let next = step(0, 2, 2, &[3], Bytes::new());
    expect_that!(
        importer.apply(&next, LAYER_COUNT),
        eq(&sequences.apply(&next, LAYER_COUNT))
    );
}
