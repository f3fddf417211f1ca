use googletest::prelude::*;

use super::*;

const LAYERS: LayerRange = LayerRange { first: 0, end: 40 };
const STATE: EngineState = EngineState {
    started_unix_ms: 1,
    version: 7,
    layers: LAYERS,
    unresponsive_at: None,
};

fn shared() -> Arc<Prefix> {
    Arc::new(Prefix::new([("system", 500), ("tools", 300)]))
}

/// Begins a request with the prompt of [`shared`], which is expected to run for 2 s.
fn begin(residency: &mut Residency, target: &str, now: Instant) -> RecordId {
    let expected = Duration::from_secs(2);
    let term = Term {
        since: now,
        expected,
    };
    residency.begin(&target.into(), STATE, LAYERS, &shared(), term)
}

/// Returns the tokens that are held of the same prompt after `delay`.
fn held(residency: &mut Residency, state: EngineState, now: Instant, delay: Duration) -> f64 {
    let held = residency.held(&"a".into(), state, &shared(), now, delay);
    expected_tokens(&held, LAYERS)
}

/// Guards against a saving at an engine whose requests with the prefix have ended. Load: two requests.
#[gtest]
fn held_lasts_until_last_request_ends() {
    let now = Instant::now();
    let mut residency = Residency::default();
    let ids = ["a", "a", "b"].map(|target| begin(&mut residency, target, now));
    let mut tokens_after = |id| {
        residency.end(id);
        held(&mut residency, STATE, now, Duration::ZERO)
    };
    let tokens = [&ids[0], &ids[0], &ids[1]].map(&mut tokens_after);
    expect_that!(tokens, eq([800.0, 800.0, 0.0]));
    residency.end_engine(&"b".into());
    expect_that!(residency.is_empty(), eq(true));
}

/// Guards against a saving by what an engine lost. Load: holder lost: it restarts, loads another version,
/// loses layers, or falls silent.
#[gtest]
fn held_ends_when_engine_loses_its_memory() {
    let now = Instant::now();
    let (mut restarted, mut reloaded, mut moved, mut silent) = (STATE, STATE, STATE, STATE);
    restarted.started_unix_ms = 2;
    reloaded.version = 8;
    moved.layers.end = 39;
    silent.unresponsive_at = Some(now);
    for state in [restarted, reloaded, moved, silent] {
        let mut residency = Residency::default();
        begin(&mut residency, "a", now);
        // What was refuted once does not come back.
        for state in [state, STATE] {
            let tokens = held(&mut residency, state, now, Duration::ZERO);
            expect_that!(tokens, eq(0.0), "{state:?}");
        }
    }
}

/// Guards against choices by old knowledge. Load: stale belief: a request that makes no progress, as after
/// a preemption, and one that runs over its expected time.
#[gtest]
fn held_fades_with_silence_and_lasts_while_progress_is_seen() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut residency = Residency::default();
    let id = begin(&mut residency, "a", now);
    expect_that!(held(&mut residency, STATE, now, Duration::MAX), eq(0.0));
    let silent = [50, 300, 1000].map(|ms| held(&mut residency, STATE, at(ms), Duration::ZERO));
    expect_that!(silent[0], gt(0.9 * 800.0));
    expect_that!(silent[1], all![lt(0.6 * 800.0), gt(0.5 * 800.0)]);
    expect_that!(silent[2], lt(0.2 * 800.0));
    let seen = [1000, 1500, 1900, 3000, 8000].map(|ms| {
        residency.confirm(&id, at(ms));
        held(&mut residency, STATE, at(ms), Duration::from_millis(100))
    });
    expect_that!(seen[0], gt(0.9 * 800.0));
    expect_that!(seen[1], lt(seen[0]));
    expect_that!(seen[2], lt(seen[1]));
    // A request that runs over its expected time is likely to go on for a while.
    expect_that!(seen[3], all![gt(seen[2]), lt(seen[0])]);
    expect_that!(seen[4], all![gt(seen[3]), lt(seen[0])]);
    expect_that!(
        held(&mut residency, STATE, at(10_000), Duration::ZERO),
        gt(0.0)
    );
    expect_that!(
        held(&mut residency, STATE, at(10_001), Duration::ZERO),
        eq(0.0)
    );
    expect_that!(residency.is_empty(), eq(true));
}

/// Guards against growth with what callers send. Load: 2,000 requests that never end, half of them at one
/// of 50 engines.
#[gtest]
fn begin_replaces_oldest_beyond_bounds() {
    let now = Instant::now();
    let mut residency = Residency::new(Limits {
        per_engine: 4,
        total: 20,
    });
    let mut ids = Vec::new();
    for index in 0..1000 {
        for target in [&format!("engine-{}", index % 50), "a"] {
            ids.push(begin(&mut residency, target, now));
        }
        let lengths: Vec<usize> = residency.engines.values().map(VecDeque::len).collect();
        expect_that!(lengths, each(le(&4)));
        expect_that!(
            lengths.iter().sum::<usize>(),
            all![eq(residency.len()), le(20)]
        );
    }
    expect_that!(residency.len(), eq(20));
    expect_that!(held(&mut residency, STATE, now, Duration::ZERO), eq(800.0));
    ids.iter().for_each(|id| residency.end(id));
    expect_that!((residency.len(), residency.engines.len()), eq((0, 0)));
}

/// Guards against a saving for parts that stand in another order, or have other lengths.
#[gtest]
fn shared_tokens_counts_leading_parts_only() {
    let prompt = Prefix::new([("a", 10), ("b", 20), ("c", 30)]);
    let tokens = |parts: &[(&str, u32)]| prompt.shared_tokens(&Prefix::new(parts.iter().copied()));
    expect_that!(
        tokens(&[("a", 10), ("b", 20), ("c", 30), ("d", 40)]),
        eq(60)
    );
    expect_that!(tokens(&[("a", 10), ("b", 20)]), eq(30));
    expect_that!(tokens(&[("a", 10), ("x", 20), ("c", 30)]), eq(10));
    expect_that!(tokens(&[("b", 20), ("a", 10), ("c", 30)]), eq(0));
    expect_that!(tokens(&[("a", 11), ("b", 20)]), eq(0));
}

/// Guards against a saving that counts one token twice, or layers that were not prefilled.
#[gtest]
fn expected_tokens_takes_longest_prefix_that_is_left() {
    let held = [(800.0, 0.5, 40), (500.0, 0.5, 20), (100.0, 1.0, 40)];
    let held = held.map(|(tokens, probability, end)| HeldPrefix {
        layers: LayerRange { first: 0, end },
        tokens,
        probability,
    });
    let tokens = [20, 40, 41].map(|end| expected_tokens(&held, LayerRange { first: 0, end }));
    expect_that!(tokens, eq([550.0, 450.0, 0.0]));
}
