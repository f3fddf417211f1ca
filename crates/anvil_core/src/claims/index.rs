//! The status of each key, computed from the records of a shard.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use derive_more::{
    Display,
    Error, //
};
use foldhash::fast::FixedState;
use smol_str::SmolStr;

use super::{
    key::{
        Key,
        KeyHash,
        RequestDigest, //
    },
    record::{
        ClaimId,
        Record,
        Ruling, //
    }, //
};
use crate::id::Offset;

/// Effect of a record on the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Applied {
    /// The claim is the first for its key and now holds it.
    Claimed,
    /// The key is already held, closed or settled, so the claim has no effect.
    Void,
    /// The claim was started before the last release of the key, so it has no effect.
    Superseded,
    /// The claim was released.
    Released,
    /// The claim was marked: its call was sent, and the answer was lost.
    MarkedLost,
    /// The outcome of the claim's call was recorded.
    Closed,
    /// The claim was settled by an operator.
    Settled,
    /// The payload is not a record, or the record repeats another, is about a claim that doesn't
    /// hold the key, or names an offset that lies ahead of its own.
    Ignored,
}

/// Status of a key for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// No claim holds the key.
    Free,
    /// A claim holds the key, and no outcome is known.
    Claimed {
        /// The claim that holds the key.
        claim: ClaimId,
        /// Why the answer was lost, if the claimant sent the call and lost its answer.
        lost: Option<SmolStr>,
    },
    /// The outcome of the call is on the log.
    Closed {
        /// Offset of the outcome's record.
        outcome_offset: Offset,
    },
    /// An operator settled the claim.
    Settled {
        /// Whether the call ran.
        ruling: Ruling,
    },
    /// The key was used for another call.
    OtherDigest,
    /// The key has expired: the claim that held it is older than the key life.
    Expired,
}

/// A claim without an outcome, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenClaim {
    /// Key of the call.
    pub key: Key,
    /// Identifier of the claim.
    pub claim: ClaimId,
    /// Offset of the claim's record.
    pub offset: Offset,
    /// Age of the claim's record, from the age that the log reported.
    pub age: Duration,
    /// Why the answer was lost, if the claimant sent the call and lost its answer.
    pub lost: Option<SmolStr>,
}

/// A range of records that the log dropped before they were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("records {next_offset}..{horizon_offset} were dropped before they were read")]
pub struct Gap {
    /// Offset of the next record to read.
    pub next_offset: Offset,
    /// Oldest offset that the log keeps.
    pub horizon_offset: Offset,
}

#[derive(Debug)]
enum KeyState {
    Free,
    Claimed(Box<WinningClaim>),
    Closed {
        digest: RequestDigest,
        outcome_offset: Offset,
    },
    Settled(Box<SettledClaim>),
}

/// The claim that holds a key, or held it until an operator settled it.
#[derive(Debug)]
struct WinningClaim {
    key: Key,
    digest: RequestDigest,
    claim: ClaimId,
    offset: Offset,
    lost: Option<SmolStr>,
}

#[derive(Debug)]
struct SettledClaim {
    winner: WinningClaim,
    ruling: Ruling,
}

#[derive(Debug)]
struct Entry {
    state: KeyState,
    /// Offset of the last release. Invariant: the `seen` offset of a claim that holds the key is
    /// above it.
    released_offset: Option<Offset>,
    /// Offset of the last record about the key. Invariant: an entry is removed only after the log
    /// has dropped that record.
    last_offset: Offset,
    /// Creation time of the record of the claim that last held the key, by the age that the log
    /// reported. Until a claim has held the key, that of the key's first record.
    created_at: Instant,
}

/// The status of each key of a shard, computed from the shard's records.
///
/// Two indexes that have applied the same records agree on every key whose records the log still
/// keeps.
#[derive(Debug)]
pub struct Index {
    /// Invariant: every record from the start offset up to this one was applied, in order.
    next_offset: Offset,
    /// Creation time of the last record. Invariant: never decreases, so that an earlier record is
    /// at least as old as a later one.
    last_created_at: Option<Instant>,
    entries: HashMap<KeyHash, Entry, FixedState>,
    /// Records applied so far that were not pruned, oldest first.
    applied_records: VecDeque<AppliedRecord>,
    key_life: Duration,
    /// Time at which the log was last seen to have dropped a record of a key that had not expired.
    dropped_early_at: Option<Instant>,
}

#[derive(Debug)]
struct AppliedRecord {
    offset: Offset,
    hash: KeyHash,
    /// Time at which the record was created, by the age that the log reported.
    created_at: Instant,
    /// Time at which this host read the record, by its own clock.
    read_at: Instant,
}

impl Index {
    /// Creates an empty index whose first record is the one at `start_offset` of the stream.
    pub fn new(start_offset: Offset, key_life: Duration) -> Self {
        Self {
            next_offset: start_offset,
            last_created_at: None,
            entries: HashMap::default(),
            applied_records: VecDeque::new(),
            key_life,
            dropped_early_at: None,
        }
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the number of keys in the index.
    pub fn key_count(&self) -> usize {
        self.entries.len()
    }

    /// Applies the record at `offset`, which was `age` old when it was read at `now`. `None` stands
    /// for a payload that is not a record.
    ///
    /// # Panics
    ///
    /// Panics if a record is applied twice or out of order.
    pub fn apply(
        &mut self,
        offset: Offset,
        age: Duration,
        record: Option<&Record>,
        now: Instant,
    ) -> Applied {
        assert!(
            offset >= self.next_offset,
            "claim record at offset {offset} applied twice or out of order: next offset is {}",
            self.next_offset
        );
        self.next_offset = offset + 1;
        let created_at = self.created_at(age, now);
        let Some(record) = record else {
            return Applied::Ignored;
        };
        let hash = record.hash();
        self.applied_records.push_back(AppliedRecord {
            offset,
            hash,
            created_at,
            read_at: now,
        });
        let entry = self.entries.entry(hash).or_insert_with(|| Entry {
            state: KeyState::Free,
            released_offset: None,
            last_offset: offset,
            created_at,
        });
        entry.last_offset = offset;
        entry.apply(offset, created_at, record)
    }

    /// Returns the time at which a record was created. If the log's clock goes back, the record is
    /// still never dated before the one that precedes it.
    fn created_at(&mut self, age: Duration, now: Instant) -> Instant {
        let reported = now.checked_sub(age).unwrap_or(now);
        let created_at = self
            .last_created_at
            .map_or(reported, |last| last.max(reported));
        self.last_created_at = Some(created_at);
        created_at
    }

    /// Returns the status of a key for a call with this digest.
    pub fn key_status(&self, hash: &KeyHash, digest: &RequestDigest, now: Instant) -> KeyStatus {
        let Some(entry) = self.entries.get(hash) else {
            return KeyStatus::Free;
        };
        let known_digest = match &entry.state {
            KeyState::Free => return KeyStatus::Free,
            KeyState::Claimed(winner) => &winner.digest,
            KeyState::Closed { digest, .. } => digest,
            KeyState::Settled(settled) => &settled.winner.digest,
        };
        if known_digest != digest {
            return KeyStatus::OtherDigest;
        }
        if now.saturating_duration_since(entry.created_at) > self.key_life {
            return KeyStatus::Expired;
        }
        match &entry.state {
            KeyState::Free => KeyStatus::Free,
            KeyState::Claimed(winner) => KeyStatus::Claimed {
                claim: winner.claim.clone(),
                lost: winner.lost.clone(),
            },
            KeyState::Closed { outcome_offset, .. } => KeyStatus::Closed {
                outcome_offset: *outcome_offset,
            },
            KeyState::Settled(settled) => KeyStatus::Settled {
                ruling: settled.ruling,
            },
        }
    }

    /// Returns whether `claim` holds the key and no outcome is known.
    pub fn holds(&self, hash: &KeyHash, claim: &ClaimId) -> bool {
        self.entries.get(hash).is_some_and(
            |entry| matches!(&entry.state, KeyState::Claimed(winner) if winner.claim == *claim),
        )
    }

    /// Returns the claims without an outcome that are at least `age` old, oldest first.
    pub fn open_claims(&self, age: Duration, now: Instant) -> Vec<OpenClaim> {
        let mut open_claims: Vec<_> = self
            .entries
            .values()
            .filter_map(|entry| match &entry.state {
                KeyState::Claimed(winner) => Some((winner, entry.created_at)),
                KeyState::Free | KeyState::Closed { .. } | KeyState::Settled(_) => None,
            })
            .map(|(winner, created_at)| OpenClaim {
                key: winner.key.clone(),
                claim: winner.claim.clone(),
                offset: winner.offset,
                age: now.saturating_duration_since(created_at),
                lost: winner.lost.clone(),
            })
            .filter(|open_claim| open_claim.age >= age)
            .collect();
        open_claims.sort_by_key(|open_claim| open_claim.offset);
        open_claims
    }

    /// Removes expired keys whose records the log has dropped. `horizon_offset` is the oldest
    /// offset that the log keeps.
    ///
    /// # Errors
    ///
    /// Returns the range of records that were dropped before they were read. The index must then
    /// be rebuilt.
    pub fn prune(&mut self, horizon_offset: Offset, now: Instant) -> Result<(), Gap> {
        if horizon_offset > self.next_offset {
            return Err(Gap {
                next_offset: self.next_offset,
                horizon_offset,
            });
        }
        while let Some(applied) = self.applied_records.front() {
            if applied.offset >= horizon_offset {
                break;
            }
            // Both the log's clock and this host's own clock must show that the key life has
            // passed.
            if now.saturating_duration_since(applied.created_at) <= self.key_life {
                self.dropped_early_at = Some(now);
                break;
            }
            if now.saturating_duration_since(applied.read_at) <= self.key_life {
                break;
            }
            let Some(applied) = self.applied_records.pop_front() else {
                break;
            };
            let is_last = self
                .entries
                .get(&applied.hash)
                .is_some_and(|entry| entry.last_offset == applied.offset);
            if is_last {
                self.entries.remove(&applied.hash);
            }
        }
        Ok(())
    }

    /// Returns whether, within the last key life, the log was seen to have dropped a record younger
    /// than the key life. Readers that start now then can't determine the status of every key.
    pub fn is_retention_too_short(&self, now: Instant) -> bool {
        self.dropped_early_at
            .is_some_and(|at| now.saturating_duration_since(at) <= self.key_life)
    }
}

impl Entry {
    fn apply(&mut self, offset: Offset, created_at: Instant, record: &Record) -> Applied {
        match record {
            Record::Claim {
                key,
                digest,
                claim,
                seen,
            } => self.claim(offset, created_at, *seen, || WinningClaim {
                key: key.clone(),
                digest: *digest,
                claim: claim.clone(),
                offset,
                lost: None,
            }),
            Record::Release { claim, .. } => self.release(offset, claim),
            Record::Lost { claim, cause, .. } => self.mark_lost(claim, cause),
            Record::Outcome { claim, .. } => self.close(offset, claim),
            Record::Settle { claim, ruling, .. } => self.settle(claim, *ruling),
        }
    }

    fn claim(
        &mut self,
        offset: Offset,
        created_at: Instant,
        seen: Offset,
        new_claim: impl FnOnce() -> WinningClaim,
    ) -> Applied {
        if !matches!(self.state, KeyState::Free) {
            return Applied::Void;
        }
        // Without this check, a copy of the call on a host that was paused could run after a caller
        // was told that the call had not run.
        if self
            .released_offset
            .is_some_and(|released| seen <= released)
        {
            return Applied::Superseded;
        }
        if seen > offset {
            return Applied::Ignored;
        }
        self.state = KeyState::Claimed(Box::new(new_claim()));
        self.created_at = created_at;
        Applied::Claimed
    }

    fn release(&mut self, offset: Offset, claim: &ClaimId) -> Applied {
        match &self.state {
            KeyState::Claimed(winner) if winner.claim == *claim => self.state = KeyState::Free,
            // The claim's own record may still come after this release, and must not hold the key
            // then.
            KeyState::Free => {}
            KeyState::Claimed(_) | KeyState::Closed { .. } | KeyState::Settled(_) => {
                return Applied::Ignored;
            }
        }
        self.released_offset = Some(offset);
        Applied::Released
    }

    fn mark_lost(&mut self, claim: &ClaimId, cause: &SmolStr) -> Applied {
        match &mut self.state {
            KeyState::Claimed(winner) if winner.claim == *claim => {
                winner.lost = Some(cause.clone());
                Applied::MarkedLost
            }
            KeyState::Free
            | KeyState::Claimed(_)
            | KeyState::Closed { .. }
            | KeyState::Settled(_) => Applied::Ignored,
        }
    }

    fn close(&mut self, offset: Offset, claim: &ClaimId) -> Applied {
        let winner = match &self.state {
            KeyState::Claimed(winner) => winner.as_ref(),
            // A recorded answer overrides an operator's ruling.
            KeyState::Settled(settled) => &settled.winner,
            KeyState::Free | KeyState::Closed { .. } => return Applied::Ignored,
        };
        if winner.claim != *claim {
            return Applied::Ignored;
        }
        self.state = KeyState::Closed {
            digest: winner.digest,
            outcome_offset: offset,
        };
        Applied::Closed
    }

    fn settle(&mut self, claim: &ClaimId, ruling: Ruling) -> Applied {
        match std::mem::replace(&mut self.state, KeyState::Free) {
            KeyState::Claimed(winner) if winner.claim == *claim => {
                self.state = KeyState::Settled(Box::new(SettledClaim {
                    winner: *winner,
                    ruling,
                }));
                Applied::Settled
            }
            state => {
                self.state = state;
                Applied::Ignored
            }
        }
    }
}
