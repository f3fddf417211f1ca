use anvil_core::id::LayerRange;
use googletest::prelude::*;

use super::*;
use crate::port::{
    TargetEntry,
    TargetState, //
};

const LAYERS: LayerRange = LayerRange { first: 0, end: 40 };
const EXPECTED: Duration = Duration::from_secs(2);

fn target(started_unix_ms: u64) -> Rc<Target> {
    let entry = TargetEntry {
        service: "service".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "a".into(),
        slot_limit_requests: 4,
        state: TargetState::Ready,
        kind: Some("large".into()),
        layers: Some((LAYERS, 7)),
        started_unix_ms,
    };
    Rc::new(Target::new("target".into(), entry))
}

fn metadata(parts: &[(&str, u32)]) -> RequestMetadata {
    RequestMetadata {
        shared_parts: parts.iter().map(|(id, _)| (*id).into()).collect(),
        shared_part_tokens: parts.iter().map(|(_, tokens)| *tokens).collect(),
        ..RequestMetadata::default()
    }
}

/// Records one request with the parts `a` and `b` at a target.
fn begin(held_prompts: &HeldPrompts, target: &Rc<Target>, now: Instant) -> Option<HoldingGuard> {
    let hops = [Hop {
        target: Rc::clone(target),
        layers: Some(LAYERS),
    }];
    held_prompts.begin(&metadata(&[("a", 500), ("b", 300)]), &hops, EXPECTED, now)
}

/// Returns the tokens that a target holds of a prompt with the parts `a` and `c`.
fn tokens_at(held_prompts: &HeldPrompts, target: &Target, now: Instant) -> f64 {
    let Some(prefix) = held_prompts.comparable_prefix(&metadata(&[("a", 500), ("c", 300)])) else {
        return 0.0;
    };
    let held = held_prompts.held_at(target, &prefix, now, Duration::ZERO);
    held.first().map_or(0.0, |held| held.tokens)
}

/// Guards against records that outlive their requests. Load: one request at a free holder.
#[gtest]
fn begin_holds_until_guard_is_dropped() {
    let (held_prompts, target, now) = (HeldPrompts::new(), target(1), Instant::now());
    expect_that!(tokens_at(&held_prompts, &target, now), eq(0.0));
    let guard = begin(&held_prompts, &target, now);
    expect_that!(tokens_at(&held_prompts, &target, now), eq(500.0));
    drop(guard);
    expect_that!(tokens_at(&held_prompts, &target, now), eq(0.0));
    expect_that!(held_prompts.is_empty(), eq(true));
}

/// Guards against a saving by memory that is gone. Load: one request at a holder that is lost: it
/// restarts, loads other weights, gives up its layers, does not respond, or ends.
#[gtest]
fn held_at_expects_nothing_of_lost_holder() {
    let now = Instant::now();
    let later = now + Duration::from_millis(1);
    type Loss = fn(&HeldPrompts, &Rc<Target>, Instant);
    let losses: [Loss; 5] = [
        |_, target, _| target.entry.borrow_mut().layers = Some((LAYERS, 8)),
        |_, target, _| target.entry.borrow_mut().layers = None,
        |_, target, _| target.is_removed.set(true),
        |_, target, now| target.record_unresponsive(now),
        |held_prompts, target, _| held_prompts.end_engine(target),
    ];
    for (index, lose) in losses.into_iter().enumerate() {
        let (held_prompts, holder) = (HeldPrompts::new(), target(1));
        let _guard = begin(&held_prompts, &holder, now);
        expect_that!(tokens_at(&held_prompts, &holder, later), eq(500.0));
        lose(&held_prompts, &holder, later);
        expect_that!(tokens_at(&held_prompts, &holder, later), eq(0.0), "{index}");
    }
    let (held_prompts, holder) = (HeldPrompts::new(), target(1));
    let _guard = begin(&held_prompts, &holder, now);
    let restarted = target(2);
    expect_that!(tokens_at(&held_prompts, &restarted, later), eq(0.0));
}

/// Guards against records of prompts that no other request can share.
#[gtest]
fn begin_ignores_prompt_without_shared_parts() {
    let held_prompts = HeldPrompts::new();
    let hops = [Hop {
        target: target(1),
        layers: Some(LAYERS),
    }];
    let guard = held_prompts.begin(&metadata(&[]), &hops, EXPECTED, Instant::now());
    expect_that!(guard.is_none(), eq(true));
    expect_that!(held_prompts.is_empty(), eq(true));
}
