//! The states of a claimant, the attempt that tries to claim a key. A call is sent at most once,
//! and never after its caller was told that it did not run.
//!
//! The states are [`PendingClaim`] → [`AcquiredClaim`] → [`InFlightCall`]; each transition consumes
//! the previous state. A claimant that gives up becomes a [`ReleasedClaim`], which can't send.

use std::time::{
    Duration,
    Instant, //
};

use derive_more::Display;
use smol_str::SmolStr;

use super::{
    index::KeyStatus,
    key::{
        Key,
        RequestDigest, //
    },
    record::{
        Answer,
        ClaimId,
        Record, //
    }, //
};
use crate::id::Offset;

/// Time window in which a claimant may send its call, by its own monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Time at which the caller's request arrived.
    arrived_at: Instant,
    /// Time from which the call may no longer be sent.
    send_until: Instant,
}

impl Window {
    /// Creates the window for a request that arrived at `arrived_at` and whose caller waits until
    /// `deadline`.
    pub fn new(arrived_at: Instant, send_window: Duration, deadline: Instant) -> Self {
        Self {
            arrived_at,
            send_until: deadline.min(arrived_at + send_window),
        }
    }

    /// Returns whether the call may be sent at `now`.
    pub fn is_open(&self, now: Instant) -> bool {
        self.arrived_at <= now && now < self.send_until
    }

    /// Returns the time from which the call may no longer be sent.
    pub fn send_until(&self) -> Instant {
        self.send_until
    }
}

/// Reason for which a claimant gave up before it sent its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum ReleaseCause {
    /// The claim was not read back from the log in time.
    NotReadBack,
    /// The time window in which the call may be sent has ended.
    WindowOver,
    /// No target accepted the call.
    NoTarget,
    /// The claim was started before the last release of the key.
    Superseded,
}

/// A claimant that has not yet read its claim back from the log.
#[derive(Debug)]
pub struct PendingClaim {
    key: Key,
    digest: RequestDigest,
    claim: ClaimId,
    seen: Offset,
    window: Window,
}

/// Result of a claim, from the status of the key once the claim's record was read back.
#[derive(Debug)]
pub enum ClaimResult {
    /// The claim is the first for the key.
    Won(AcquiredClaim),
    /// The key is claimed by another claimant, closed, settled, expired, or used for another call;
    /// or the claimant's own call was sent and its answer was lost.
    Lost(KeyStatus),
    /// The claim does not hold the key, and the key is free.
    Released(ReleasedClaim),
}

impl PendingClaim {
    /// Starts a claim. `seen` is the end offset of the shard's stream, read after the request
    /// arrived.
    pub fn new(
        key: Key,
        digest: RequestDigest,
        claim: ClaimId,
        seen: Offset,
        window: Window,
    ) -> Self {
        Self {
            key,
            digest,
            claim,
            seen,
            window,
        }
    }

    /// Returns the claim record to append.
    pub fn record(&self) -> Record {
        Record::Claim {
            key: self.key.clone(),
            digest: self.digest,
            claim: self.claim.clone(),
            seen: self.seen,
        }
    }

    /// Resolves the claim from the status of the key, read at or after the claim's own record.
    pub fn resolve(self, status: KeyStatus) -> ClaimResult {
        match status {
            KeyStatus::Claimed { claim, lost: None } if claim == self.claim => {
                ClaimResult::Won(AcquiredClaim { pending: self })
            }
            KeyStatus::Free => ClaimResult::Released(self.release(ReleaseCause::Superseded)),
            KeyStatus::Claimed { .. }
            | KeyStatus::Closed { .. }
            | KeyStatus::Settled { .. }
            | KeyStatus::OtherDigest
            | KeyStatus::Expired => ClaimResult::Lost(status),
        }
    }

    /// Gives up the claim. The claim's record may still reach the log.
    pub fn release(self, cause: ReleaseCause) -> ReleasedClaim {
        ReleasedClaim {
            pending: Box::new(self),
            cause,
        }
    }
}

/// A claimant whose claim was read back and is the first for its key.
#[derive(Debug)]
pub struct AcquiredClaim {
    pending: PendingClaim,
}

impl AcquiredClaim {
    /// Consumes the permission to send the call, which only [`InFlightCall::not_sent`] restores.
    ///
    /// # Errors
    ///
    /// Returns the released claim if the time window for sending has ended.
    pub fn send(self, now: Instant) -> Result<InFlightCall, ReleasedClaim> {
        if self.pending.window.is_open(now) {
            return Ok(InFlightCall {
                pending: self.pending,
            });
        }
        Err(self.pending.release(ReleaseCause::WindowOver))
    }

    /// Gives up the claim without sending the call.
    pub fn release(self, cause: ReleaseCause) -> ReleasedClaim {
        self.pending.release(cause)
    }
}

/// A claimant whose call was sent, or may have been sent.
#[derive(Debug)]
#[must_use = "what became of the call has to be recorded"]
pub struct InFlightCall {
    pending: PendingClaim,
}

impl InFlightCall {
    /// Returns the record to append after the call was answered.
    pub fn answered(self, answer: Answer) -> Record {
        Record::Outcome {
            hash: self.pending.key.hash(),
            claim: self.pending.claim,
            answer,
        }
    }

    /// Returns the record to append after the answer of the call was lost.
    pub fn lost(self, cause: impl Into<SmolStr>) -> Record {
        Record::Lost {
            hash: self.pending.key.hash(),
            claim: self.pending.claim,
            cause: cause.into(),
        }
    }

    /// Returns to the acquired claim after the transport proved that nothing was sent, so that the
    /// call may be sent again.
    pub fn not_sent(self) -> AcquiredClaim {
        AcquiredClaim {
            pending: self.pending,
        }
    }
}

/// A claimant that did not send its call and can no longer send it.
#[derive(Debug)]
pub struct ReleasedClaim {
    pending: Box<PendingClaim>,
    cause: ReleaseCause,
}

impl ReleasedClaim {
    /// Returns the reason for which the claim was given up.
    pub fn cause(&self) -> ReleaseCause {
        self.cause
    }

    /// Returns the key of the call.
    pub fn key(&self) -> &Key {
        &self.pending.key
    }

    /// Returns the release record to append. Until it is read back, the claim's own record may
    /// still hold the key.
    pub fn record(&self) -> Record {
        Record::Release {
            hash: self.pending.key.hash(),
            claim: self.pending.claim.clone(),
            cause: format!("{}", self.cause).into(),
        }
    }
}
