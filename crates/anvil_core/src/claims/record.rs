//! Records of a shard's stream.

use bytes::Bytes;
use derive_more::Display;
use smol_str::SmolStr;

use super::key::{
    Key,
    KeyHash,
    RequestDigest, //
};
use crate::id::{
    HostId,
    Incarnation,
    Offset, //
};

/// Identifies one attempt to run a call. It is unique over all hosts and attempts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{host}-{incarnation:x}-{number:x}")]
pub struct ClaimId {
    /// Host that makes the attempt.
    pub host: HostId,
    /// Run of the host's process.
    pub incarnation: Incarnation,
    /// Number of the attempt within that run.
    pub number: u64,
}

/// A record of a shard's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A claimant requests permission to send a call.
    Claim {
        /// Key of the call.
        key: Key,
        /// Digest of the call.
        digest: RequestDigest,
        /// Identifier of the claim.
        claim: ClaimId,
        /// End offset of the shard's stream, read after the caller's request arrived.
        seen: Offset,
    },
    /// The claimant did not send the call and never will send it.
    Release {
        /// Hash of the key of the call.
        hash: KeyHash,
        /// Claim that the record is about.
        claim: ClaimId,
        /// Why the claim was released.
        cause: SmolStr,
    },
    /// The claimant sent the call and received no answer.
    Lost {
        /// Hash of the key of the call.
        hash: KeyHash,
        /// Claim that the record is about.
        claim: ClaimId,
        /// Why the answer was lost.
        cause: SmolStr,
    },
    /// The call ran and was answered.
    Outcome {
        /// Hash of the key of the call.
        hash: KeyHash,
        /// Claim that the record is about.
        claim: ClaimId,
        /// Answer of the call.
        answer: Answer,
    },
    /// An operator determined whether a call without an outcome ran.
    Settle {
        /// Hash of the key of the call.
        hash: KeyHash,
        /// Claim that the record is about.
        claim: ClaimId,
        /// Whether the call ran.
        ruling: Ruling,
        /// Operator that settled the claim.
        author: SmolStr,
        /// How the operator determined it.
        note: SmolStr,
    },
}

impl Record {
    /// Returns the hash of the key that the record is about.
    pub fn hash(&self) -> KeyHash {
        match self {
            Self::Claim { key, .. } => key.hash(),
            Self::Release { hash, .. }
            | Self::Lost { hash, .. }
            | Self::Outcome { hash, .. }
            | Self::Settle { hash, .. } => *hash,
        }
    }

    /// Returns the claim that the record is about.
    pub fn claim(&self) -> &ClaimId {
        match self {
            Self::Claim { claim, .. }
            | Self::Release { claim, .. }
            | Self::Lost { claim, .. }
            | Self::Outcome { claim, .. }
            | Self::Settle { claim, .. } => claim,
        }
    }
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, if the answer had one.
    pub content_type: Option<SmolStr>,
    /// Body of the answer, if it is small enough to be kept.
    pub body: AnswerBody,
}

/// Body of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerBody {
    /// The whole body.
    Whole(Bytes),
    /// The body exceeded the size limit and was not kept.
    TooLarge {
        /// Size of the body.
        body_bytes: u64,
    },
}

/// Whether a call ran, as determined by an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Ruling {
    /// The call ran.
    #[display("ran")]
    Ran,
    /// The call did not run, and no copy of it remains that could still run.
    #[display("not_run")]
    NotRun,
}
