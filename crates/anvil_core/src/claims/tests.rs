use std::time::{
    Duration,
    Instant, //
};

use bytes::Bytes;
use googletest::prelude::*;

use super::{
    claimant::{
        ClaimResult,
        PendingClaim,
        ReleaseCause,
        Window, //
    },
    *, //
};

const KEY_LIFE: Duration = Duration::from_secs(1800);
const DIGEST: RequestDigest = [1; 16];

fn key() -> Key {
    Key {
        team: "t".into(),
        service: "s".into(),
        text: "k".into(),
    }
}

fn claim_id(number: u64) -> ClaimId {
    ClaimId {
        host: "h".into(),
        incarnation: 1,
        number,
    }
}

fn claim(number: u64, seen: u64) -> Record {
    Record::Claim {
        key: key(),
        digest: DIGEST,
        claim: claim_id(number),
        seen,
    }
}

fn release(number: u64) -> Record {
    Record::Release {
        hash: key().hash(),
        claim: claim_id(number),
        cause: "".into(),
    }
}

fn outcome(number: u64) -> Record {
    Record::Outcome {
        hash: key().hash(),
        claim: claim_id(number),
        answer: Answer {
            status: 200,
            content_type: None,
            body: AnswerBody::Whole(Bytes::new()),
        },
    }
}

fn settle(number: u64, ruling: Ruling) -> Record {
    Record::Settle {
        hash: key().hash(),
        claim: claim_id(number),
        ruling,
        author: "o".into(),
        note: "".into(),
    }
}

/// Applies records at consecutive offsets from 0 and returns the effect of each.
fn apply_all(records: &[Record]) -> (Index, Vec<Applied>) {
    let now = Instant::now();
    let mut index = Index::new(0, KEY_LIFE);
    let applied = (0..)
        .zip(records)
        .map(|(offset, record)| index.apply(offset, Duration::ZERO, Some(record), now))
        .collect();
    (index, applied)
}

fn status(index: &Index) -> KeyStatus {
    index.key_status(&key().hash(), &DIGEST, Instant::now())
}

#[gtest]
fn apply_accepts_only_first_claim() {
    let (index, applied) = apply_all(&[claim(1, 0), claim(2, 0), claim(1, 0)]);
    expect_that!(
        applied,
        elements_are![
            eq(&Applied::Claimed),
            eq(&Applied::Void),
            eq(&Applied::Void)
        ]
    );
    expect_that!(index.holds(&key().hash(), &claim_id(1)), eq(true));
    expect_that!(index.holds(&key().hash(), &claim_id(2)), eq(false));
}

#[gtest]
fn apply_supersedes_claim_appended_after_its_release() {
    let (index, applied) = apply_all(&[release(1), claim(1, 0)]);
    expect_that!(applied[1], eq(Applied::Superseded));
    expect_that!(status(&index), eq(&KeyStatus::Free));
}

#[gtest]
fn apply_supersedes_claim_started_before_release() {
    let (index, applied) = apply_all(&[claim(1, 0), release(1), claim(2, 1), claim(3, 2)]);
    expect_that!(applied[2], eq(Applied::Superseded));
    expect_that!(applied[3], eq(Applied::Claimed));
    expect_that!(index.holds(&key().hash(), &claim_id(3)), eq(true));
}

#[gtest]
fn apply_ignores_release_by_other_claim() {
    let (index, applied) = apply_all(&[claim(1, 0), release(2)]);
    expect_that!(applied[1], eq(Applied::Ignored));
    expect_that!(index.holds(&key().hash(), &claim_id(1)), eq(true));
}

#[gtest]
fn apply_keeps_first_outcome() {
    let (index, applied) =
        apply_all(&[claim(1, 0), outcome(1), outcome(1), claim(2, 3), release(1)]);
    expect_that!(applied[2], eq(Applied::Ignored));
    expect_that!(applied[3], eq(Applied::Void));
    expect_that!(applied[4], eq(Applied::Ignored));
    expect_that!(status(&index), eq(&KeyStatus::Closed { outcome_offset: 1 }));
}

#[gtest]
fn apply_keeps_settled_key_until_late_answer() {
    let (index, applied) = apply_all(&[claim(1, 0), settle(1, Ruling::NotRun), claim(2, 2)]);
    expect_that!(applied[2], eq(Applied::Void));
    let settled = KeyStatus::Settled {
        ruling: Ruling::NotRun,
    };
    expect_that!(status(&index), eq(&settled));
    let (index, _) = apply_all(&[claim(1, 0), settle(1, Ruling::Ran), outcome(1)]);
    expect_that!(status(&index), eq(&KeyStatus::Closed { outcome_offset: 2 }));
}

#[gtest]
fn key_status_reports_other_digest_and_expired_key() {
    let (index, _) = apply_all(&[claim(1, 0), outcome(1)]);
    let hash = key().hash();
    let now = Instant::now();
    expect_that!(
        index.key_status(&hash, &[2; 16], now),
        eq(&KeyStatus::OtherDigest)
    );
    let later = now + KEY_LIFE + Duration::from_secs(1);
    expect_that!(
        index.key_status(&hash, &DIGEST, later),
        eq(&KeyStatus::Expired)
    );
}

#[gtest]
fn prune_keeps_key_until_it_expires_on_both_clocks() {
    let start = Instant::now();
    let mut index = Index::new(0, KEY_LIFE);
    // The log's clock has jumped ahead, so the log reports the new record as expired and drops it.
    index.apply(0, KEY_LIFE * 2, Some(&claim(1, 0)), start);
    expect_that!(index.prune(1, start), ok(eq(())));
    expect_that!(index.key_count(), eq(1));
    let later = start + KEY_LIFE + Duration::from_secs(1);
    expect_that!(index.prune(1, later), ok(eq(())));
    expect_that!(index.key_count(), eq(0));
}

#[gtest]
fn prune_reports_early_drop_and_gap() {
    let start = Instant::now();
    let mut index = Index::new(0, KEY_LIFE);
    index.apply(0, Duration::ZERO, Some(&claim(1, 0)), start);
    expect_that!(index.prune(1, start), ok(eq(())));
    expect_that!(index.is_retention_too_short(start), eq(true));
    expect_that!(index.key_count(), eq(1));
    let gap = Gap {
        next_offset: 1,
        horizon_offset: 2,
    };
    expect_that!(index.prune(2, start), err(eq(gap)));
}

#[gtest]
fn send_fails_after_window() {
    let arrived_at = Instant::now();
    let send_window = Duration::from_secs(10);
    let window = Window::new(
        arrived_at,
        send_window,
        arrived_at + Duration::from_secs(60),
    );
    let pending = PendingClaim::new(key(), DIGEST, claim_id(1), 0, window);
    let (index, _) = apply_all(&[pending.record()]);
    let ClaimResult::Won(acquired) = pending.resolve(status(&index)) else {
        panic!("the only claim for the key did not win it");
    };
    let released = acquired
        .send(arrived_at + send_window)
        .expect_err("call was sent after its send window had ended");
    expect_that!(released.cause(), eq(ReleaseCause::WindowOver));
    expect_that!(released.record(), matches_pattern!(Record::Release { .. }));
}
