use std::{
    panic::catch_unwind,
    sync::Arc, //
};

use bytes::Bytes;
use googletest::prelude::*;

use super::*;
use crate::id::LayerRange;

fn range(first: u16, end: u16) -> LayerRange {
    LayerRange { first, end }
}

fn run_prompt() -> Lineage {
    let mut lineage = Lineage::new(8, 5);
    lineage.apply(range(0, 3), 0, 5);
    lineage.apply(range(3, 8), 0, 5);
    lineage
}

#[gtest]
fn lineage_accepts_tokens_in_order() {
    let mut lineage = run_prompt();
    lineage.emit();
    lineage.apply(range(0, 3), 5, 1);
    lineage.apply(range(3, 8), 5, 1);
    lineage.emit();
    expect_that!(lineage.next_position(), eq(7));
    expect_that!(lineage.emitted_tokens(), eq(2));
}

#[gtest]
fn lineage_asserts_each_layer_once_and_in_order() {
    let applied_twice = || run_prompt().apply(range(3, 8), 0, 5);
    let skipped = || {
        let mut lineage = run_prompt();
        lineage.emit();
        lineage.apply(range(3, 8), 5, 1);
    };
    let emitted_early = || {
        let mut lineage = Lineage::new(8, 5);
        lineage.apply(range(0, 3), 0, 5);
        lineage.emit();
    };
    let emitted_twice = || {
        let mut lineage = run_prompt();
        lineage.emit();
        lineage.emit();
    };
    expect_true!(catch_unwind(applied_twice).is_err());
    expect_true!(catch_unwind(skipped).is_err());
    expect_true!(catch_unwind(emitted_early).is_err());
    expect_true!(catch_unwind(emitted_twice).is_err());
}

#[gtest]
fn lineage_accepts_rebuild_of_lost_range() {
    let mut lineage = run_prompt();
    lineage.emit();
    lineage.apply(range(0, 3), 5, 1);
    lineage.invalidate(range(3, 8), 0);
    lineage.apply(range(3, 6), 0, 6);
    lineage.apply(range(6, 8), 0, 6);
    lineage.emit();
    expect_that!(lineage.next_position(), eq(7));
}

fn data(tokens: std::ops::Range<u8>) -> Bytes {
    tokens.flat_map(|token| [token, token]).collect()
}

#[gtest]
fn replay_starts_inside_chunk() {
    let budget = Arc::new(Budget::new(1000));
    let mut buffer = ActivationBuffer::new(Arc::clone(&budget));
    buffer.append(3, 0, 4, data(0..4));
    buffer.append(3, 4, 1, data(4..5));
    expect_that!(buffer.replay(3, 0, 5), some(eq(&data(0..5))));
    expect_that!(buffer.replay(3, 2, 5), some(eq(&data(2..5))));
    expect_that!(buffer.replay(3, 0, 4), some(eq(&data(0..4))));
    expect_that!(buffer.replay(3, 0, 3), none());
    expect_that!(buffer.replay(3, 0, 6), none());
    expect_that!(buffer.replay(4, 0, 5), none());
    buffer.append(5, 0, 4, data(0..4));
    expect_that!(budget.used_bytes(), eq(18));
    buffer.discard_within(range(3, 8));
    expect_that!(budget.used_bytes(), eq(10));
    buffer.close();
    expect_that!(budget.used_bytes(), eq(0));
}

#[gtest]
fn append_clears_buffer_that_exceeds_budget() {
    let budget = Arc::new(Budget::new(10));
    let mut first = ActivationBuffer::new(Arc::clone(&budget));
    let mut second = ActivationBuffer::new(Arc::clone(&budget));
    first.append(3, 0, 4, data(0..4));
    second.append(3, 0, 1, data(0..1));
    second.append(3, 1, 1, data(1..2));
    expect_that!(second.replay(3, 0, 2), none());
    second.append(3, 2, 1, data(2..3));
    expect_that!(second.replay(3, 2, 3), none());
    expect_that!(first.replay(3, 0, 4), some(eq(&data(0..4))));
    expect_that!(budget.used_bytes(), eq(8));
}

fn context(failure: FailureKind) -> RecoveryContext {
    RecoveryContext {
        failure,
        same_target_retries: 0,
        costs: Costs {
            import_ns: None,
            rebuild_ns: Some(20.0),
            prefill_ns: Some(50.0),
        },
        recoveries_left: 5,
    }
}

#[gtest]
fn choose_action_resumes_silent_connection_first() {
    let silent = context(FailureKind::Silent);
    expect_that!(choose_action(&silent), eq(RecoveryAction::Resume));
    let retried = RecoveryContext {
        same_target_retries: 1,
        ..silent
    };
    expect_that!(choose_action(&retried), eq(RecoveryAction::Rebuild));
}

#[gtest]
fn choose_action_moves_at_once_from_unreachable_target() {
    let unreachable = context(FailureKind::Unreachable);
    expect_that!(choose_action(&unreachable), eq(RecoveryAction::Rebuild));
    let nothing_kept = RecoveryContext {
        costs: Costs {
            rebuild_ns: None,
            ..unreachable.costs
        },
        ..unreachable
    };
    expect_that!(
        choose_action(&nothing_kept),
        eq(RecoveryAction::PrefillAgain)
    );
}

#[gtest]
fn choose_action_imports_from_leaving_target() {
    let leaving = context(FailureKind::Leaving);
    let leaving = RecoveryContext {
        costs: Costs {
            import_ns: Some(5.0),
            ..leaving.costs
        },
        ..leaving
    };
    expect_that!(choose_action(&leaving), eq(RecoveryAction::Import));
}

#[gtest]
fn choose_action_rebuilds_when_target_returns_with_stale_cache() {
    let stale = context(FailureKind::CacheMismatch { held_position: 7 });
    expect_that!(choose_action(&stale), eq(RecoveryAction::Rebuild));
}

#[gtest]
fn choose_action_pauses_for_overloaded_target_a_few_times() {
    let overloaded = context(FailureKind::Overloaded);
    expect_that!(choose_action(&overloaded), eq(RecoveryAction::Pause));
    let retried = RecoveryContext {
        same_target_retries: 3,
        ..overloaded
    };
    expect_that!(choose_action(&retried), eq(RecoveryAction::Rebuild));
}

#[gtest]
fn choose_action_gives_up_or_waits_without_options() {
    let no_recoveries_left = RecoveryContext {
        recoveries_left: 0,
        ..context(FailureKind::Unreachable)
    };
    expect_that!(
        choose_action(&no_recoveries_left),
        eq(RecoveryAction::GiveUp)
    );
    let no_action = RecoveryContext {
        costs: Costs::default(),
        ..context(FailureKind::Unreachable)
    };
    expect_that!(choose_action(&no_action), eq(RecoveryAction::Wait));
}
