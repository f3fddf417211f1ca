//! What the claimant of a key may do: a life cycle in which a call is sent at most once, and never
//! after its caller was told that it did not run.
//!
//! [`PendingClaim`] → [`AcquiredClaim`] → [`InFlightCall`], each consumed by the next. A claimant
//! that gives up becomes [`ReleasedClaim`]: it holds no way to send.

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

/// Until when a claimant may send, by its own monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// When the caller's request arrived.
    arrived_at: Instant,
    /// Last time at which the call may be sent.
    send_until: Instant,
}

impl Window {
    /// Makes the window of a request that arrived at `arrived_at` and whose caller waits until
    /// `deadline`.
    pub fn new(arrived_at: Instant, send_window: Duration, deadline: Instant) -> Self {
        Self {
            arrived_at,
            send_until: deadline.min(arrived_at + send_window),
        }
    }

    /// Tells whether the call may still be sent.
    pub fn is_open(&self, now: Instant) -> bool {
        self.arrived_at <= now && now < self.send_until
    }

    /// Last time at which the call may be sent.
    pub fn send_until(&self) -> Instant {
        self.send_until
    }
}

/// Why a claimant gave up before it sent its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum ReleaseCause {
    /// The claim was not read back in time.
    NotReadBack,
    /// The time in which the call may be sent is over.
    WindowOver,
    /// No target took the call.
    NoTarget,
    /// The claim began before the key's last release.
    Superseded,
}

/// A claimant that has not yet read its claim back.
#[derive(Debug)]
pub struct PendingClaim {
    key: Key,
    digest: RequestDigest,
    claim: ClaimId,
    seen: Offset,
    window: Window,
}

/// What a claimant read of its key after its claim's record.
#[derive(Debug)]
pub enum ClaimResult {
    /// Its claim is the first.
    Won(AcquiredClaim),
    /// The key is held by another, closed, or used otherwise.
    Lost(KeyStatus),
    /// Its claim holds nothing, and the key is free.
    Released(ReleasedClaim),
}

impl PendingClaim {
    /// Starts a claim; `seen` is the end of the shard's stream as read after the request arrived.
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

    /// The record to append.
    pub fn record(&self) -> Record {
        Record::Claim {
            key: self.key.clone(),
            digest: self.digest,
            claim: self.claim.clone(),
            seen: self.seen,
        }
    }

    /// Goes on with what was read of the key at or after the claim's own record.
    pub fn resolve(self, standing: KeyStatus) -> ClaimResult {
        match standing {
            KeyStatus::Claimed { claim, lost: None } if claim == self.claim => {
                ClaimResult::Won(AcquiredClaim { claiming: self })
            }
            KeyStatus::Free => ClaimResult::Released(self.release(ReleaseCause::Superseded)),
            KeyStatus::Claimed { .. }
            | KeyStatus::Closed { .. }
            | KeyStatus::Settled { .. }
            | KeyStatus::OtherDigest
            | KeyStatus::Expired => ClaimResult::Lost(standing),
        }
    }

    /// Gives up. The claim's record may still reach the log.
    pub fn release(self, cause: ReleaseCause) -> ReleasedClaim {
        ReleasedClaim {
            claiming: Box::new(self),
            cause,
        }
    }
}

/// The claimant of a key whose claim was read back as the first.
#[derive(Debug)]
pub struct AcquiredClaim {
    claiming: PendingClaim,
}

impl AcquiredClaim {
    /// Takes the right to send, which there is only once.
    ///
    /// # Errors
    ///
    /// The window is over; the claim is to be released.
    pub fn send(self, now: Instant) -> Result<InFlightCall, ReleasedClaim> {
        if self.claiming.window.is_open(now) {
            return Ok(InFlightCall {
                claiming: self.claiming,
            });
        }
        Err(self.claiming.release(ReleaseCause::WindowOver))
    }

    /// Gives up without sending.
    pub fn release(self, cause: ReleaseCause) -> ReleasedClaim {
        self.claiming.release(cause)
    }
}

/// A claimant whose call is on its way, or may be.
#[derive(Debug)]
#[must_use = "what became of the call has to be recorded"]
pub struct InFlightCall {
    claiming: PendingClaim,
}

impl InFlightCall {
    /// The call gave an answer: the record to append.
    pub fn answered(self, answer: Answer) -> Record {
        Record::Outcome {
            hash: self.claiming.key.hash(),
            claim: self.claiming.claim,
            answer,
        }
    }

    /// The call's answer was lost: the record to append.
    pub fn lost(self, cause: impl Into<SmolStr>) -> Record {
        Record::Lost {
            hash: self.claiming.key.hash(),
            claim: self.claiming.claim,
            cause: cause.into(),
        }
    }

    /// The transport proved that nothing was sent: the right to send is still unused.
    pub fn not_sent(self) -> AcquiredClaim {
        AcquiredClaim {
            claiming: self.claiming,
        }
    }
}

/// A claimant that did not send its call and can't.
#[derive(Debug)]
pub struct ReleasedClaim {
    claiming: Box<PendingClaim>,
    cause: ReleaseCause,
}

impl ReleasedClaim {
    /// Why it gave up.
    pub fn cause(&self) -> ReleaseCause {
        self.cause
    }

    /// The call's key.
    pub fn key(&self) -> &Key {
        &self.claiming.key
    }

    /// The record to append. Until it is read back, the claim's own record may hold the key.
    pub fn record(&self) -> Record {
        Record::Release {
            hash: self.claiming.key.hash(),
            claim: self.claiming.claim.clone(),
            cause: format!("{}", self.cause).into(),
        }
    }
}
