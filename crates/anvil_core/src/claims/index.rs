//! What the records of a shard say of each key.

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

/// What a record changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Applied {
    /// The claim is the first for its key.
    Claimed,
    /// Another claim came first.
    Void,
    /// The claim began before the key's last release.
    Superseded,
    /// The claim is released.
    Released,
    /// The claim's call was sent, and its answer was lost.
    MarkedLost,
    /// The claim's outcome is known.
    Closed,
    /// The claim was settled.
    Settled,
    /// The record repeats another, or is about a claim that doesn't hold the key.
    Ignored,
}

/// How a key stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// No claim holds it.
    Free,
    /// A claim holds it, and no outcome is known.
    Claimed {
        /// The claim.
        claim: ClaimId,
        /// Set where the claimant sent the call and lost the answer.
        lost: Option<SmolStr>,
    },
    /// The outcome is on the log.
    Closed {
        /// Offset of its record.
        outcome_offset: Offset,
    },
    /// An operator settled it.
    Settled {
        /// What became of the call.
        ruling: Ruling,
    },
    /// The key was used for another call.
    OtherDigest,
    /// The key's life is over.
    Expired,
}

/// A claim without an outcome, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenClaim {
    /// The call's key.
    pub key: Key,
    /// The claimant.
    pub claim: ClaimId,
    /// Offset of the claim's record.
    pub offset: Offset,
    /// Age of the claim.
    pub age: Duration,
    /// Set where the claimant sent the call and lost the answer.
    pub lost: Option<SmolStr>,
}

/// Records were dropped from the log before they were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("records {next_offset}..{horizon_offset} were dropped before they were read")]
pub struct Gap {
    /// Offset that was to be read next.
    pub next_offset: Offset,
    /// Oldest offset still kept.
    pub horizon_offset: Offset,
}

#[derive(Debug)]
enum Holder {
    Free,
    Claimed(Box<Open>),
    Closed {
        digest: RequestDigest,
        outcome_offset: Offset,
    },
    Settled(Box<SettledClaim>),
}

#[derive(Debug)]
struct Open {
    key: Key,
    digest: RequestDigest,
    claim: ClaimId,
    offset: Offset,
    lost: Option<SmolStr>,
}

#[derive(Debug)]
struct SettledClaim {
    open: Open,
    ruling: Ruling,
}

#[derive(Debug)]
struct Entry {
    holder: Holder,
    /// Offset of the last release. Invariant: a claim that holds the key has seen more.
    released_offset: Option<Offset>,
    /// Offset of the last record about the key. Invariant: an entry is forgotten only when the
    /// log has dropped that record.
    last_offset: Offset,
    /// When the first record of the current holder was made, by the log's word on its age.
    born_at: Instant,
}

/// What the records of a shard say of each key.
///
/// Two indexes that have read the same records agree on every key whose records are still kept.
#[derive(Debug)]
pub struct Index {
    /// Invariant: every record from the start on below it was applied, in order.
    next_offset: Offset,
    /// Invariant: never falls, so that an earlier record is at least as old as a later one.
    last_born_at: Option<Instant>,
    entries: HashMap<KeyHash, Entry, FixedState>,
    /// Offsets at which entries were touched, with the time of reading, oldest first.
    touches: VecDeque<Touch>,
    key_life: Duration,
    /// When the log last dropped a record of an unfinished life.
    dropped_early_at: Option<Instant>,
}

#[derive(Debug)]
struct Touch {
    offset: Offset,
    hash: KeyHash,
    /// When the record was made, by the log's word.
    born_at: Instant,
    /// When this host read it, by its own clock.
    read_at: Instant,
}

impl Index {
    /// Makes an index that starts at an offset of the stream.
    pub fn new(start_offset: Offset, key_life: Duration) -> Self {
        Self {
            next_offset: start_offset,
            last_born_at: None,
            entries: HashMap::default(),
            touches: VecDeque::new(),
            key_life,
            dropped_early_at: None,
        }
    }

    /// Offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Number of keys that are kept.
    pub fn key_count(&self) -> usize {
        self.entries.len()
    }

    /// Applies the record at `offset`, which was `age` old when it was read at `now`.
    ///
    /// # Panics
    ///
    /// When a record is applied twice or out of order.
    pub fn apply(
        &mut self,
        offset: Offset,
        age: Duration,
        record: Option<&Record>,
        now: Instant,
    ) -> Applied {
        assert!(
            offset >= self.next_offset,
            "claim record {offset} applied twice: next is {}",
            self.next_offset
        );
        self.next_offset = offset + 1;
        let born_at = self.born_at(age, now);
        let Some(record) = record else {
            return Applied::Ignored;
        };
        let hash = record.hash();
        self.touches.push_back(Touch {
            offset,
            hash,
            born_at,
            read_at: now,
        });
        let entry = self.entries.entry(hash).or_insert_with(|| Entry {
            holder: Holder::Free,
            released_offset: None,
            last_offset: offset,
            born_at,
        });
        entry.last_offset = offset;
        entry.apply(offset, born_at, record)
    }

    /// Time at which a record was made. A log whose clock falls back makes no record younger than
    /// those before it.
    fn born_at(&mut self, age: Duration, now: Instant) -> Instant {
        let reported = now.checked_sub(age).unwrap_or(now);
        let born_at = self
            .last_born_at
            .map_or(reported, |last| last.max(reported));
        self.last_born_at = Some(born_at);
        born_at
    }

    /// How a key stands towards a call with this digest.
    pub fn key_status(&self, hash: &KeyHash, digest: &RequestDigest, now: Instant) -> KeyStatus {
        let Some(entry) = self.entries.get(hash) else {
            return KeyStatus::Free;
        };
        let known = match &entry.holder {
            Holder::Free => return KeyStatus::Free,
            Holder::Claimed(open) => &open.digest,
            Holder::Closed { digest, .. } => digest,
            Holder::Settled(settled) => &settled.open.digest,
        };
        if known != digest {
            return KeyStatus::OtherDigest;
        }
        if now.saturating_duration_since(entry.born_at) > self.key_life {
            return KeyStatus::Expired;
        }
        match &entry.holder {
            Holder::Free => KeyStatus::Free,
            Holder::Claimed(open) => KeyStatus::Claimed {
                claim: open.claim.clone(),
                lost: open.lost.clone(),
            },
            Holder::Closed { outcome_offset, .. } => KeyStatus::Closed {
                outcome_offset: *outcome_offset,
            },
            Holder::Settled(settled) => KeyStatus::Settled {
                ruling: settled.ruling,
            },
        }
    }

    /// Tells whether `claim` holds the key and no outcome is known.
    pub fn holds(&self, hash: &KeyHash, claim: &ClaimId) -> bool {
        self.entries.get(hash).is_some_and(
            |entry| matches!(&entry.holder, Holder::Claimed(open) if open.claim == *claim),
        )
    }

    /// Claims without an outcome that are older than `age`, oldest first.
    pub fn open_claims(&self, age: Duration, now: Instant) -> Vec<OpenClaim> {
        let mut open: Vec<_> = self
            .entries
            .values()
            .filter_map(|entry| match &entry.holder {
                Holder::Claimed(open) => Some((open, entry.born_at)),
                Holder::Free | Holder::Closed { .. } | Holder::Settled(_) => None,
            })
            .map(|(open, born_at)| OpenClaim {
                key: open.key.clone(),
                claim: open.claim.clone(),
                offset: open.offset,
                age: now.saturating_duration_since(born_at),
                lost: open.lost.clone(),
            })
            .filter(|open| open.age >= age)
            .collect();
        open.sort_by_key(|open| open.offset);
        open
    }

    /// Forgets keys whose records the log has dropped.
    ///
    /// # Errors
    ///
    /// Records that were dropped before they were read: the index must be made anew.
    pub fn prune(&mut self, horizon_offset: Offset, now: Instant) -> Result<(), Gap> {
        if horizon_offset > self.next_offset {
            return Err(Gap {
                next_offset: self.next_offset,
                horizon_offset,
            });
        }
        while let Some(touch) = self.touches.front() {
            if touch.offset >= horizon_offset {
                break;
            }
            // The log's clock and this host's own must both say that the life is over.
            if now.saturating_duration_since(touch.born_at) <= self.key_life {
                self.dropped_early_at = Some(now);
                break;
            }
            if now.saturating_duration_since(touch.read_at) <= self.key_life {
                break;
            }
            let Some(touch) = self.touches.pop_front() else {
                break;
            };
            let is_last = self
                .entries
                .get(&touch.hash)
                .is_some_and(|entry| entry.last_offset == touch.offset);
            if is_last {
                self.entries.remove(&touch.hash);
            }
        }
        Ok(())
    }

    /// Tells whether the log lately dropped a record younger than the life of keys, so that
    /// readers that start now can't judge every key.
    pub fn is_retention_too_short(&self, now: Instant) -> bool {
        self.dropped_early_at
            .is_some_and(|at| now.saturating_duration_since(at) <= self.key_life)
    }
}

impl Entry {
    fn apply(&mut self, offset: Offset, born_at: Instant, record: &Record) -> Applied {
        match record {
            Record::Claim {
                key,
                digest,
                claim,
                seen,
            } => self.claim(offset, born_at, *seen, || Open {
                key: key.clone(),
                digest: *digest,
                claim: claim.clone(),
                offset,
                lost: None,
            }),
            Record::Release { claim, .. } => self.release(offset, claim),
            Record::Lost { claim, cause, .. } => self.lose(claim, cause),
            Record::Outcome { claim, .. } => self.close(offset, claim),
            Record::Settle { claim, ruling, .. } => self.settle(claim, *ruling),
        }
    }

    fn claim(
        &mut self,
        offset: Offset,
        born_at: Instant,
        seen: Offset,
        open: impl FnOnce() -> Open,
    ) -> Applied {
        if !matches!(self.holder, Holder::Free) {
            return Applied::Void;
        }
        // Without this, a copy of the call that lay in a paused host could run after a caller was
        // told that nothing had.
        if self
            .released_offset
            .is_some_and(|released| seen <= released)
        {
            return Applied::Superseded;
        }
        if seen > offset {
            return Applied::Ignored;
        }
        self.holder = Holder::Claimed(Box::new(open()));
        self.born_at = born_at;
        Applied::Claimed
    }

    fn release(&mut self, offset: Offset, claim: &ClaimId) -> Applied {
        match &self.holder {
            Holder::Claimed(open) if open.claim == *claim => self.holder = Holder::Free,
            // The claim's own record is still to come, and must not hold the key then.
            Holder::Free => {}
            Holder::Claimed(_) | Holder::Closed { .. } | Holder::Settled(_) => {
                return Applied::Ignored;
            }
        }
        self.released_offset = Some(offset);
        Applied::Released
    }

    fn lose(&mut self, claim: &ClaimId, cause: &SmolStr) -> Applied {
        match &mut self.holder {
            Holder::Claimed(open) if open.claim == *claim => {
                open.lost = Some(cause.clone());
                Applied::MarkedLost
            }
            Holder::Free | Holder::Claimed(_) | Holder::Closed { .. } | Holder::Settled(_) => {
                Applied::Ignored
            }
        }
    }

    fn close(&mut self, offset: Offset, claim: &ClaimId) -> Applied {
        let open = match &self.holder {
            Holder::Claimed(open) => open.as_ref(),
            // The answer itself is stronger than what an operator found out.
            Holder::Settled(settled) => &settled.open,
            Holder::Free | Holder::Closed { .. } => return Applied::Ignored,
        };
        if open.claim != *claim {
            return Applied::Ignored;
        }
        self.holder = Holder::Closed {
            digest: open.digest,
            outcome_offset: offset,
        };
        Applied::Closed
    }

    fn settle(&mut self, claim: &ClaimId, ruling: Ruling) -> Applied {
        match std::mem::replace(&mut self.holder, Holder::Free) {
            Holder::Claimed(open) if open.claim == *claim => {
                self.holder = Holder::Settled(Box::new(SettledClaim {
                    open: *open,
                    ruling,
                }));
                Applied::Settled
            }
            holder => {
                self.holder = holder;
                Applied::Ignored
            }
        }
    }
}
