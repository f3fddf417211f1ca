//! Claim records on the log.

use anvil_core::claims::{
    Answer,
    AnswerBody,
    ClaimId,
    Key,
    KeyHash,
    Record,
    Ruling, //
};
use anvil_wire::{
    codec::{
        self,
        CodecError, //
    },
    generated::log_records as wire, //
};
use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};

/// Number of the record schema that this release reads and writes.
pub const SCHEMA: u32 = 1;

/// Why a payload is not a record that this release can judge.
#[derive(Debug, Display, Error)]
pub enum DecodeError {
    /// The schema number is newer than this release.
    #[display("claim record schema {schema} is unknown; this release knows up to {SCHEMA}")]
    UnknownSchema {
        /// The number.
        schema: u32,
    },
    /// The payload is not a claim record. Every release ignores it.
    #[display("malformed claim record: {source}")]
    Malformed {
        /// The cause.
        source: CodecError,
    },
    /// A hash has the wrong length.
    #[display("malformed claim record: a hash of {length_bytes} bytes")]
    Hash {
        /// Its length.
        length_bytes: usize,
    },
}

/// Encodes a record as a payload for the log.
pub fn encode(record: &Record) -> Bytes {
    let record = wire::ClaimRecord {
        schema: SCHEMA,
        body: body_of(record),
    };
    // Plain structs, text, bytes and numbers: MessagePack holds every value of them.
    codec::encode(&record).expect("a claim record is representable in MessagePack")
}

/// Decodes a payload of the log.
///
/// # Errors
///
/// A schema number newer than this release, or bytes that are not a claim record.
pub fn decode(payload: &[u8]) -> Result<Record, DecodeError> {
    let malformed = |source| DecodeError::Malformed { source };
    let header: wire::RecordHeader = codec::decode(payload).map_err(malformed)?;
    if header.schema > SCHEMA {
        return Err(DecodeError::UnknownSchema {
            schema: header.schema,
        });
    }
    let record: wire::ClaimRecord = codec::decode(payload).map_err(malformed)?;
    record_of(record.body)
}

/// Turns the bytes of a hash or digest into one.
///
/// # Errors
///
/// A wrong length.
pub fn decode_hash(bytes: &[u8]) -> Result<KeyHash, DecodeError> {
    bytes.try_into().map_err(|_| DecodeError::Hash {
        length_bytes: bytes.len(),
    })
}

fn body_of(record: &Record) -> wire::ClaimBody {
    match record {
        Record::Claim {
            key,
            digest,
            claim,
            seen,
        } => wire::ClaimBody::Made(wire::ClaimMade {
            key: wire::ClaimKey {
                team: key.team.clone(),
                service: key.service.clone(),
                text: key.text.clone(),
            },
            digest: Bytes::copy_from_slice(digest),
            claim: wire_id(claim),
            seen: *seen,
        }),
        Record::Release { hash, claim, cause } => wire::ClaimBody::Released(wire::ClaimReleased {
            hash: Bytes::copy_from_slice(hash),
            claim: wire_id(claim),
            cause: cause.clone(),
        }),
        Record::Lost { hash, claim, cause } => wire::ClaimBody::Lost(wire::ClaimLost {
            hash: Bytes::copy_from_slice(hash),
            claim: wire_id(claim),
            cause: cause.clone(),
        }),
        Record::Outcome {
            hash,
            claim,
            answer,
        } => wire::ClaimBody::Outcome(outcome_of(hash, claim, answer)),
        Record::Settle {
            hash,
            claim,
            ruling,
            author,
            note,
        } => wire::ClaimBody::Settled(wire::ClaimSettled {
            hash: Bytes::copy_from_slice(hash),
            claim: wire_id(claim),
            ruling: match ruling {
                Ruling::Ran => wire::Ruling::Ran,
                Ruling::NotRun => wire::Ruling::NotRun,
            },
            author: author.clone(),
            note: note.clone(),
        }),
    }
}

fn outcome_of(hash: &KeyHash, claim: &ClaimId, answer: &Answer) -> wire::ClaimOutcome {
    let (body, body_bytes) = match &answer.body {
        AnswerBody::Whole(body) => (Some(body.clone()), body.len() as u64),
        AnswerBody::TooLarge { body_bytes } => (None, *body_bytes),
    };
    wire::ClaimOutcome {
        hash: Bytes::copy_from_slice(hash),
        claim: wire_id(claim),
        status: answer.status,
        content_type: answer.content_type.clone(),
        body,
        body_bytes,
    }
}

fn record_of(body: wire::ClaimBody) -> Result<Record, DecodeError> {
    Ok(match body {
        wire::ClaimBody::Made(made) => Record::Claim {
            key: Key {
                team: made.key.team,
                service: made.key.service,
                text: made.key.text,
            },
            digest: decode_hash(&made.digest)?,
            claim: id_of(made.claim),
            seen: made.seen,
        },
        wire::ClaimBody::Released(released) => Record::Release {
            hash: decode_hash(&released.hash)?,
            claim: id_of(released.claim),
            cause: released.cause,
        },
        wire::ClaimBody::Lost(lost) => Record::Lost {
            hash: decode_hash(&lost.hash)?,
            claim: id_of(lost.claim),
            cause: lost.cause,
        },
        wire::ClaimBody::Outcome(outcome) => Record::Outcome {
            hash: decode_hash(&outcome.hash)?,
            claim: id_of(outcome.claim),
            answer: Answer {
                status: outcome.status,
                content_type: outcome.content_type,
                body: match outcome.body {
                    Some(body) => AnswerBody::Whole(body),
                    None => AnswerBody::TooLarge {
                        body_bytes: outcome.body_bytes,
                    },
                },
            },
        },
        wire::ClaimBody::Settled(settled) => Record::Settle {
            hash: decode_hash(&settled.hash)?,
            claim: id_of(settled.claim),
            ruling: match settled.ruling {
                wire::Ruling::Ran => Ruling::Ran,
                wire::Ruling::NotRun => Ruling::NotRun,
            },
            author: settled.author,
            note: settled.note,
        },
    })
}

fn wire_id(claim: &ClaimId) -> wire::ClaimId {
    wire::ClaimId {
        host: claim.host.clone(),
        incarnation: claim.incarnation,
        number: claim.number,
    }
}

fn id_of(claim: wire::ClaimId) -> ClaimId {
    ClaimId {
        host: claim.host,
        incarnation: claim.incarnation,
        number: claim.number,
    }
}
