//! Encodes and decodes claim records on the log.

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

/// Version of the record schema that this release writes, and the newest that it reads.
pub const SCHEMA_VERSION: u32 = 1;

/// Error from decoding a payload as a claim record.
#[derive(Debug, Display, Error)]
pub enum DecodeError {
    /// The schema version is newer than those that this release knows.
    #[display("claim record schema {schema} is unknown; this release knows up to {SCHEMA_VERSION}")]
    UnknownSchema {
        /// Schema version of the payload.
        schema: u32,
    },
    /// The payload is not a claim record. Every release ignores such a payload.
    #[display("malformed claim record: {source}")]
    Malformed {
        /// Error from the MessagePack decoder.
        source: CodecError,
    },
    /// A hash or digest has the wrong length.
    #[display("malformed claim record: a hash of {length_bytes} bytes")]
    Hash {
        /// Length of the hash or digest in the payload.
        length_bytes: usize,
    },
}

/// Encodes a record as a payload for the log.
pub fn encode(record: &Record) -> Bytes {
    let record = wire::ClaimRecord {
        schema: SCHEMA_VERSION,
        body: encode_body(record),
    };
    // The record holds structs, text, bytes and numbers, which MessagePack can always encode.
    codec::encode(&record).expect("a claim record is representable in MessagePack")
}

/// Decodes a payload from the log.
///
/// # Errors
///
/// Returns an error if the schema version is newer than this release knows, or if the bytes are not
/// a claim record.
pub fn decode(payload: &[u8]) -> Result<Record, DecodeError> {
    let malformed = |source| DecodeError::Malformed { source };
    let header: wire::RecordHeader = codec::decode(payload).map_err(malformed)?;
    if header.schema > SCHEMA_VERSION {
        return Err(DecodeError::UnknownSchema {
            schema: header.schema,
        });
    }
    let record: wire::ClaimRecord = codec::decode(payload).map_err(malformed)?;
    decode_body(record.body)
}

/// Converts bytes to a hash or digest.
///
/// # Errors
///
/// Returns an error if the number of bytes is wrong.
pub fn decode_hash(bytes: &[u8]) -> Result<KeyHash, DecodeError> {
    bytes.try_into().map_err(|_| DecodeError::Hash {
        length_bytes: bytes.len(),
    })
}

fn encode_body(record: &Record) -> wire::ClaimBody {
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
            claim: claim_id_to_wire(claim),
            seen: *seen,
        }),
        Record::Release { hash, claim, cause } => wire::ClaimBody::Released(wire::ClaimReleased {
            hash: Bytes::copy_from_slice(hash),
            claim: claim_id_to_wire(claim),
            cause: cause.clone(),
        }),
        Record::Lost { hash, claim, cause } => wire::ClaimBody::Lost(wire::ClaimLost {
            hash: Bytes::copy_from_slice(hash),
            claim: claim_id_to_wire(claim),
            cause: cause.clone(),
        }),
        Record::Outcome {
            hash,
            claim,
            answer,
        } => wire::ClaimBody::Outcome(encode_outcome(hash, claim, answer)),
        Record::Settle {
            hash,
            claim,
            ruling,
            author,
            note,
        } => wire::ClaimBody::Settled(wire::ClaimSettled {
            hash: Bytes::copy_from_slice(hash),
            claim: claim_id_to_wire(claim),
            ruling: match ruling {
                Ruling::Ran => wire::Ruling::Ran,
                Ruling::NotRun => wire::Ruling::NotRun,
            },
            author: author.clone(),
            note: note.clone(),
        }),
    }
}

fn encode_outcome(hash: &KeyHash, claim: &ClaimId, answer: &Answer) -> wire::ClaimOutcome {
    let (body, body_bytes) = match &answer.body {
        AnswerBody::Whole(body) => (Some(body.clone()), body.len() as u64),
        AnswerBody::TooLarge { body_bytes } => (None, *body_bytes),
    };
    wire::ClaimOutcome {
        hash: Bytes::copy_from_slice(hash),
        claim: claim_id_to_wire(claim),
        status: answer.status,
        content_type: answer.content_type.clone(),
        body,
        body_bytes,
    }
}

fn decode_body(body: wire::ClaimBody) -> Result<Record, DecodeError> {
    Ok(match body {
        wire::ClaimBody::Made(made) => Record::Claim {
            key: Key {
                team: made.key.team,
                service: made.key.service,
                text: made.key.text,
            },
            digest: decode_hash(&made.digest)?,
            claim: claim_id_from_wire(made.claim),
            seen: made.seen,
        },
        wire::ClaimBody::Released(released) => Record::Release {
            hash: decode_hash(&released.hash)?,
            claim: claim_id_from_wire(released.claim),
            cause: released.cause,
        },
        wire::ClaimBody::Lost(lost) => Record::Lost {
            hash: decode_hash(&lost.hash)?,
            claim: claim_id_from_wire(lost.claim),
            cause: lost.cause,
        },
        wire::ClaimBody::Outcome(outcome) => Record::Outcome {
            hash: decode_hash(&outcome.hash)?,
            claim: claim_id_from_wire(outcome.claim),
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
            claim: claim_id_from_wire(settled.claim),
            ruling: match settled.ruling {
                wire::Ruling::Ran => Ruling::Ran,
                wire::Ruling::NotRun => Ruling::NotRun,
            },
            author: settled.author,
            note: settled.note,
        },
    })
}

fn claim_id_to_wire(claim: &ClaimId) -> wire::ClaimId {
    wire::ClaimId {
        host: claim.host.clone(),
        incarnation: claim.incarnation,
        number: claim.number,
    }
}

fn claim_id_from_wire(claim: wire::ClaimId) -> ClaimId {
    ClaimId {
        host: claim.host,
        incarnation: claim.incarnation,
        number: claim.number,
    }
}
