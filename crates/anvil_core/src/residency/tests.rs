use googletest::prelude::*;

use super::*;

const LAYERS: LayerRange = LayerRange { first: 0, end: 40 };
const STATE: EngineState = EngineState {
    started_unix_ms: 1,
    version: 7,
    layers: LAYERS,
    unresponsive_at: None,
};
const EXPECTED: Duration = Duration::from_secs(2);

fn prefix(parts: &[(&str, u32)]) -> Arc<Prefix> {
    Arc::new(Prefix::new(parts.iter().copied()))
}

fn shared() -> Arc<Prefix> {
    prefix(&[("system", 500), ("tools", 300)])
}

/// Begins a request with the prompt of [`shared`].
fn begin(residency: &mut Residency, target: &str, now: Instant) -> RecordId {
    let term = Term {
        since: now,
        expected: EXPECTED,
    };
    residency.begin(&target.into(), STATE, LAYERS, &shared(), term)
}

fn held(residency: &mut Residency, target: &str, state: EngineState, now: Instant) -> f64 {
    let held = residency.held(&target.into(), state, &shared(), now, Duration::ZERO);
    expected_tokens(&held, LAYERS)
}

/// Guards against a saving at an engine whose only request with the prefix has ended. Load: one request.
#[gtest]
fn held_lasts_until_last_request_ends() {
    let now = Instant::now();
    let mut residency = Residency::default();
    expect_that!(held(&mut residency, "a", STATE, now), eq(0.0));
    let first = begin(&mut residency, "a", now);
    let second = begin(&mut residency, "a", now);
    expect_that!(held(&mut residency, "a", STATE, now), eq(800.0));
    expect_that!(held(&mut residency, "b", STATE, now), eq(0.0));
    residency.end(&first);
    residency.end(&first);
    expect_that!(held(&mut residency, "a", STATE, now), eq(800.0));
    residency.end(&second);
    expect_that!(held(&mut residency, "a", STATE, now), eq(0.0));
    expect_that!(residency.is_empty(), eq(true));
}

/// Guards against a saving by what an engine lost. Load: one request; then the engine restarts, loads
/// another version, loses layers, falls silent, or is found to have ended.
#[gtest]
fn held_ends_when_engine_loses_its_memory() {
    let now = Instant::now();
    let later = now + Duration::from_millis(10);
    let states = [
        EngineState {
            started_unix_ms: 2,
            ..STATE
        },
        EngineState {
            version: 8,
            ..STATE
        },
        EngineState {
            layers: LayerRange { first: 10, end: 50 },
            ..STATE
        },
        EngineState {
            unresponsive_at: Some(later),
            ..STATE
        },
    ];
    for state in states {
        let mut residency = Residency::default();
        begin(&mut residency, "a", now);
        expect_that!(
            held(&mut residency, "a", state, later),
            eq(0.0),
            "{state:?}"
        );
        // What was refuted once does not come back.
        expect_that!(
            held(&mut residency, "a", STATE, later),
            eq(0.0),
            "{state:?}"
        );
    }
    let mut residency = Residency::default();
    begin(&mut residency, "a", now);
    begin(&mut residency, "b", now);
    residency.end_engine(&"a".into());
    expect_that!(held(&mut residency, "a", STATE, now), eq(0.0));
    expect_that!(held(&mut residency, "b", STATE, now), eq(800.0));
    let silent_before = EngineState {
        unresponsive_at: Some(now - Duration::from_secs(1)),
        ..STATE
    };
    expect_that!(held(&mut residency, "b", silent_before, now), eq(800.0));
}

/// Guards against choices by knowledge that is old. Load: one request that makes no progress, as after a
/// preemption, and one that runs over its expected time.
#[gtest]
fn held_fades_with_silence_and_ends_long_after_expected_end() {
    let now = Instant::now();
    let mut residency = Residency::default();
    let id = begin(&mut residency, "a", now);
    let at = |ms| now + Duration::from_millis(ms);
    let tokens_at: Vec<f64> = [0, 50, 300, 1000]
        .map(|ms| held(&mut residency, "a", STATE, at(ms)))
        .to_vec();
    expect_that!(tokens_at[1], gt(0.9 * 800.0));
    expect_that!(tokens_at[2], all![lt(0.6 * 800.0), gt(0.5 * 800.0)]);
    expect_that!(tokens_at[3], lt(0.2 * 800.0));
    residency.confirm(&id, at(1000));
    expect_that!(held(&mut residency, "a", STATE, at(1000)), eq(800.0));

    let delay = Duration::from_millis(100);
    let mut chance_at = |ms| {
        residency.confirm(&id, at(ms));
        let held = residency.held(&"a".into(), STATE, &shared(), at(ms), delay);
        held.first().map_or(0.0, |held| held.probability)
    };
    let chances = [0, 1500, 1900, 3000, 8000].map(&mut chance_at);
    expect_that!(chances[0], gt(0.9));
    expect_that!(chances[1], lt(chances[0]));
    expect_that!(chances[2], lt(chances[1]));
    expect_that!(chances[3], all![gt(0.0), le(chances[2])]);
    expect_that!(chance_at(8001), eq(0.0));
    expect_that!(residency.is_empty(), eq(true));
}

/// Guards against growth with what callers send. Load: 1,000 requests at 50 engines that never end.
#[gtest]
fn begin_replaces_oldest_beyond_bounds() {
    let now = Instant::now();
    let mut residency = Residency::new(Limits {
        per_engine: 4,
        total: 20,
    });
    let mut ids = Vec::new();
    for index in 0..1000 {
        ids.push(begin(
            &mut residency,
            &format!("engine-{}", index % 50),
            now,
        ));
        expect_that!(residency.len(), le(20));
    }
    for index in 0..1000 {
        ids.push(begin(&mut residency, "popular", now));
        expect_that!(residency.len(), le(20));
        let others = index % 2 == 0;
        if others {
            ids.push(begin(&mut residency, "other", now));
        }
    }
    let at_engines = |residency: &Residency| -> Vec<usize> {
        let lengths = residency.engines.values().map(VecDeque::len);
        lengths.collect()
    };
    expect_that!(at_engines(&residency), each(le(&4)));
    expect_that!(
        at_engines(&residency).iter().sum::<usize>(),
        eq(residency.len())
    );
    expect_that!(held(&mut residency, "popular", STATE, now), eq(800.0));
    for id in &ids {
        residency.end(id);
    }
    expect_that!(residency.is_empty(), eq(true));
    expect_that!(residency.engines.len(), eq(0));
}

/// Guards against a saving for parts that stand in another order, or have other lengths.
#[gtest]
fn shared_tokens_counts_leading_parts_only() {
    let tokens =
        |left: &[(&str, u32)], right: &[(&str, u32)]| prefix(left).shared_tokens(&prefix(right));
    let parts = [("a", 10), ("b", 20), ("c", 30)];
    expect_that!(tokens(&parts, &parts), eq(60));
    expect_that!(tokens(&parts, &[("a", 10), ("b", 20)]), eq(30));
    expect_that!(tokens(&parts, &[("a", 10), ("x", 20), ("c", 30)]), eq(10));
    expect_that!(tokens(&parts, &[("b", 20), ("a", 10), ("c", 30)]), eq(0));
    expect_that!(tokens(&parts, &[("a", 11), ("b", 20)]), eq(0));
    expect_that!(tokens(&parts, &[]), eq(0));
}

/// Guards against a saving that counts one token twice, or layers that were not prefilled.
#[gtest]
fn expected_tokens_takes_longest_prefix_that_is_left() {
    let held = |tokens, probability, end| HeldPrefix {
        layers: LayerRange { first: 0, end },
        tokens,
        probability,
    };
    let all = [
        held(800.0, 0.5, 40),
        held(500.0, 0.5, 20),
        held(100.0, 1.0, 40),
    ];
    expect_that!(
        expected_tokens(&all, LayerRange { first: 0, end: 20 }),
        near(550.0, 1e-9)
    );
    expect_that!(expected_tokens(&all, LAYERS), near(450.0, 1e-9));
    expect_that!(
        expected_tokens(&all, LayerRange { first: 0, end: 41 }),
        eq(0.0)
    );
}
