use std::sync::Arc;

use googletest::prelude::*;

use super::*;
use crate::document::Team;

fn team(weight: u32) -> Arc<Team> {
    Arc::new(Team {
        key_sha256: Vec::new(),
        priority: 0,
        weight,
        limit_requests_per_s: 1,
        limit_tokens_per_s: 1,
        limit_open_requests: 1,
    })
}

fn patch(patch_id: &str, base_version: u64, weight: u32) -> Patch {
    let entry = Entry::Team {
        name: "a".into(),
        value: team(weight),
    };
    Patch {
        patch_id: patch_id.into(),
        base_version,
        author: "operator".into(),
        note: "".into(),
        changes: vec![Change::Put(entry)],
    }
}

fn payload(patch: Patch) -> bytes::Bytes {
    Record::Patch(patch).encode()
}

#[gtest]
fn apply_accepts_patch_against_current_version() {
    let mut state = State::default();
    let verdict = state.apply(3, &payload(patch("p1", 0, 1)));
    expect_that!(verdict, eq(&Verdict::Accepted { version: 1 }));
    expect_that!(state.document().teams.len(), eq(1));
    expect_that!(state.next_offset(), eq(4));
}

#[gtest]
fn apply_rejects_second_of_two_racing_patches() {
    let mut state = State::default();
    state.apply(0, &payload(patch("p1", 0, 1)));
    let verdict = state.apply(1, &payload(patch("p2", 0, 2)));
    let stale = Verdict::Stale {
        base_version: 0,
        version: 1,
    };
    expect_that!(verdict, eq(&stale));
    let Diff::Complete(since) = state.diff_since(0) else {
        panic!("diff since version 0 is not complete");
    };
    expect_that!(since.len(), eq(1));
    expect_that!(since[0].patch_id, eq("p1"));
}

#[gtest]
fn apply_accepts_repeated_append_once() {
    let mut state = State::default();
    let first = payload(patch("p1", 0, 1));
    state.apply(0, &first);
    expect_that!(
        state.apply(1, &first),
        eq(&Verdict::Accepted { version: 1 })
    );
    expect_that!(state.version(), eq(1));
}

#[gtest]
fn apply_repeats_verdict_on_patch_that_was_ahead() {
    let mut state = State::default();
    let ahead = payload(patch("p2", 1, 2));
    let refused = state.apply(0, &ahead);
    expect_that!(refused, matches_pattern!(Verdict::Invalid { .. }));
    state.apply(1, &payload(patch("p1", 0, 1)));
    expect_that!(state.apply(2, &ahead), eq(&refused));
    expect_that!(state.version(), eq(1));
}

#[gtest]
fn apply_rejects_patch_id_with_other_content() {
    let mut state = State::default();
    state.apply(0, &payload(patch("p1", 0, 1)));
    let verdict = state.apply(1, &payload(patch("p1", 1, 2)));
    expect_that!(verdict, matches_pattern!(Verdict::Invalid { .. }));
    expect_that!(state.version(), eq(1));
}

#[gtest]
fn apply_halts_at_unknown_schema_and_keeps_version() {
    let mut state = State::default();
    state.apply(0, &payload(patch("p1", 0, 1)));
    let halted = Halted {
        offset: 1,
        schema: SCHEMA + 1,
    };
    let newer = format!(r#"{{"schema":{},"other":1}}"#, SCHEMA + 1);
    expect_that!(
        state.apply(1, newer.as_bytes()),
        eq(&Verdict::Halted(halted))
    );
    expect_that!(
        state.apply(2, &payload(patch("p2", 1, 1))),
        eq(&Verdict::Halted(halted))
    );
    expect_that!(state.version(), eq(1));
    expect_that!(state.next_offset(), eq(1));
}

#[gtest]
fn apply_ignores_malformed_record() {
    let mut state = State::default();
    let verdict = state.apply(0, b"\x00");
    expect_that!(verdict, matches_pattern!(Verdict::Malformed { .. }));
    expect_that!(
        state.apply(1, &payload(patch("p1", 0, 1))),
        eq(&Verdict::Accepted { version: 1 })
    );
}

#[gtest]
fn apply_rejects_broken_invariants() {
    let mut state = State::default();
    let verdict = state.apply(0, &payload(patch("p1", 0, 0)));
    expect_that!(verdict, matches_pattern!(Verdict::Invalid { .. }));
    let mut missing = patch("p2", 0, 1);
    missing.changes.push(Change::Delete(Key {
        section: Section::Model,
        name: "m".into(),
    }));
    let verdict = state.apply(1, &payload(missing));
    expect_that!(verdict, matches_pattern!(Verdict::Invalid { .. }));
    expect_that!(state.document().teams.len(), eq(0));
}

#[gtest]
fn digest_depends_on_every_accepted_patch() {
    let run = |weight| {
        let mut state = State::default();
        state.apply(0, &payload(patch("p1", 0, weight)));
        state.apply(1, &payload(patch("p2", 1, 9)));
        state
    };
    expect_that!(run(1).document(), eq(run(2).document()));
    expect_that!(run(1).digest(), not(eq(run(2).digest())));
}

#[gtest]
#[should_panic(expected = "evaluated twice")]
fn apply_asserts_offset_order() {
    let mut state = State::default();
    state.apply(5, b"");
    state.apply(5, b"");
}

#[gtest]
fn relation_distinguishes_divergence_from_progress() {
    let run = |weights: &[u32]| {
        let mut state = State::default();
        for (base, weight) in (0..).zip(weights) {
            state.apply(base, &payload(patch(&format!("p{base}"), base, *weight)));
        }
        state
    };
    let (one, two, other) = (run(&[1]), run(&[1, 2]), run(&[3, 2]));
    expect_that!(one.relation(&two), eq(Relation::Newer));
    expect_that!(two.relation(&one), eq(Relation::Older));
    expect_that!(two.relation(&two), eq(Relation::Same));
    expect_that!(two.relation(&other), eq(Relation::Diverged));
    expect_that!(one.relation(&other), eq(Relation::Diverged));
    expect_that!(State::default().relation(&two), eq(Relation::Newer));
}

#[gtest]
fn apply_gives_same_verdicts_after_snapshot() {
    let mut whole = State::default();
    whole.apply(0, &payload(patch("p1", 0, 1)));
    whole.apply(1, &payload(patch("ahead", 7, 1)));
    let bytes = serde_json::to_vec(&whole).unwrap();
    let mut restored: State = serde_json::from_slice(&bytes).unwrap();
    for (offset, next) in [
        (2, patch("p1", 0, 1)),
        (3, patch("ahead", 7, 1)),
        (4, patch("p2", 1, 3)),
    ] {
        let next = payload(next);
        expect_that!(
            restored.apply(offset, &next),
            eq(&whole.apply(offset, &next))
        );
    }
    expect_that!(restored, eq(&whole));
}
