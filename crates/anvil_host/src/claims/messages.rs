//! Requests to a claim shard and their responses, within a host and between hosts.

use std::time::Duration;

use anvil_core::{
    claims::{
        ClaimId,
        Key,
        KeyHash,
        KeyStatus,
        OpenClaim,
        Record,
        RequestDigest,
        Ruling,
        Shard, //
    },
    id::Offset, //
};
use anvil_wire::{
    codec as wire_codec,
    generated::peer_claims as wire, //
};
use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};

use super::codec::{
    self,
    decode_hash, //
};

/// A request to a claim shard.
#[derive(Clone, Debug)]
pub enum ShardRequest {
    /// Return the status of a key.
    Lookup {
        /// Hash of the key.
        hash: KeyHash,
        /// Digest of the call.
        digest: RequestDigest,
        /// Whether the records read so far suffice for the answer.
        freshness: Freshness,
    },
    /// Append a record and read it back.
    Append(Record),
    /// Answer once the key is no longer held by a claim that has neither an outcome nor a lost
    /// answer, or at the deadline of the request.
    AwaitOutcome {
        /// Hash of the key.
        hash: KeyHash,
        /// Digest of the call.
        digest: RequestDigest,
    },
    /// List the claims of at least the given age that have no outcome.
    ListOpen {
        /// Minimum age of the listed claims.
        age: Duration,
    },
    /// Start to follow the shard's stream, and answer once every record of it was read.
    Warm,
}

/// How recent the records must be that a look-up is answered from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The records read so far suffice.
    Known,
    /// A read of the log must have begun after the request.
    Fresh,
}

/// Successful response to a [`ShardRequest`].
#[derive(Clone, Debug)]
pub enum ShardResponse {
    /// The status of the key.
    KeyView(KeyView),
    /// The record was read back from the log, or the shard has caught up with its stream.
    ReadBack,
    /// The claims without an outcome.
    OpenClaims(Vec<OpenClaim>),
}

/// Status of a key after the records before `end_offset`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyView {
    /// Offset after the last record that was read.
    pub end_offset: Offset,
    /// Status of the key at that offset.
    pub key_status: KeyStatus,
}

/// Error of a shard that could not answer.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("claim shard {shard}: {message}")]
pub struct ShardUnavailable {
    /// The shard that was asked.
    pub shard: Shard,
    /// Whether the record to append may be on the log or still reach it.
    pub append_state: AppendState,
    /// Cause of the error, for people.
    pub message: String,
}

/// Whether a record may be on the log. The later variant is the less certain one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AppendState {
    /// The record is not on the log and can no longer reach it.
    NotAppended,
    /// The record may be on the log, or may still reach it.
    Unknown,
}

/// Encodes a request for a peer that may take up to `wait` to answer it.
pub fn encode_request(shard: Shard, request: &ShardRequest, wait: Duration) -> Bytes {
    let body = match request {
        ShardRequest::Lookup {
            hash,
            digest,
            freshness,
        } => wire::QuestionBody::Lookup(wire::Lookup {
            hash: Bytes::copy_from_slice(hash),
            digest: Bytes::copy_from_slice(digest),
            fresh: *freshness == Freshness::Fresh,
        }),
        ShardRequest::Append(record) => wire::QuestionBody::Append(wire::Append {
            record: codec::encode(record),
        }),
        ShardRequest::AwaitOutcome { hash, digest } => wire::QuestionBody::Follow(wire::Follow {
            hash: Bytes::copy_from_slice(hash),
            digest: Bytes::copy_from_slice(digest),
        }),
        ShardRequest::ListOpen { age } => wire::QuestionBody::ListOpen(wire::ListOpen {
            age_ms: saturating_millis(*age),
        }),
        ShardRequest::Warm => wire::QuestionBody::Warm,
    };
    let request = wire::Question {
        shard,
        wait_ms: saturating_millis(wait),
        body,
    };
    // The message holds structs, text, bytes and numbers, which MessagePack can always encode.
    wire_codec::encode(&request).expect("a shard request is representable in MessagePack")
}

/// Decodes a peer's request, and returns it with its shard and the time that it may take.
///
/// # Errors
///
/// Returns a message if the bytes are not a request that this release knows.
pub fn decode_request(body: &[u8]) -> Result<(Shard, ShardRequest, Duration), String> {
    let request: wire::Question = wire_codec::decode(body).map_err(|error| error.to_string())?;
    let hash = |bytes: &Bytes| decode_hash(bytes).map_err(|error| error.to_string());
    let wait = Duration::from_millis(request.wait_ms);
    let body = match request.body {
        wire::QuestionBody::Lookup(lookup) => ShardRequest::Lookup {
            hash: hash(&lookup.hash)?,
            digest: hash(&lookup.digest)?,
            freshness: if lookup.fresh {
                Freshness::Fresh
            } else {
                Freshness::Known
            },
        },
        wire::QuestionBody::Append(append) => {
            ShardRequest::Append(codec::decode(&append.record).map_err(|error| error.to_string())?)
        }
        wire::QuestionBody::Follow(follow) => ShardRequest::AwaitOutcome {
            hash: hash(&follow.hash)?,
            digest: hash(&follow.digest)?,
        },
        wire::QuestionBody::ListOpen(list) => ShardRequest::ListOpen {
            age: Duration::from_millis(list.age_ms),
        },
        wire::QuestionBody::Warm => ShardRequest::Warm,
    };
    Ok((request.shard, body, wait))
}

/// Encodes a response for a peer.
pub fn encode_response(response: &Result<ShardResponse, ShardUnavailable>) -> Bytes {
    let reply = match response {
        Ok(ShardResponse::KeyView(view)) => wire::Reply::View(wire::View {
            end_offset: view.end_offset,
            standing: key_status_to_wire(&view.key_status),
        }),
        Ok(ShardResponse::ReadBack) => wire::Reply::ReadBack,
        Ok(ShardResponse::OpenClaims(claims)) => wire::Reply::OpenClaims(wire::OpenClaims {
            claims: claims.iter().map(open_claim_to_wire).collect(),
        }),
        Err(error) => wire::Reply::Unavailable(wire::Unavailable {
            handed: error.append_state == AppendState::Unknown,
            message: error.message.as_str().into(),
        }),
    };
    // The message holds structs, text, bytes and numbers, which MessagePack can always encode.
    wire_codec::encode(&reply).expect("a shard response is representable in MessagePack")
}

/// Decodes a peer's response. Bytes that are not a response leave it unknown whether a record was
/// appended.
pub fn decode_response(shard: Shard, body: &[u8]) -> Result<ShardResponse, ShardUnavailable> {
    let reply: wire::Reply = wire_codec::decode(body).map_err(|error| ShardUnavailable {
        shard,
        append_state: AppendState::Unknown,
        message: error.to_string(),
    })?;
    match reply {
        wire::Reply::View(view) => Ok(ShardResponse::KeyView(KeyView {
            end_offset: view.end_offset,
            key_status: key_status_from_wire(view.standing),
        })),
        wire::Reply::ReadBack => Ok(ShardResponse::ReadBack),
        wire::Reply::OpenClaims(open) => Ok(ShardResponse::OpenClaims(
            open.claims.into_iter().map(open_claim_from_wire).collect(),
        )),
        wire::Reply::Unavailable(error) => Err(ShardUnavailable {
            shard,
            append_state: if error.handed {
                AppendState::Unknown
            } else {
                AppendState::NotAppended
            },
            message: error.message.to_string(),
        }),
    }
}

fn key_status_to_wire(key_status: &KeyStatus) -> wire::Standing {
    match key_status {
        KeyStatus::Free => wire::Standing::Free,
        KeyStatus::Claimed { claim, lost } => wire::Standing::Claimed(wire::Claimed {
            claim: claim_id_to_wire(claim),
            lost: lost.clone(),
        }),
        KeyStatus::Closed { outcome_offset } => wire::Standing::Closed(wire::Closed {
            outcome_offset: *outcome_offset,
        }),
        KeyStatus::Settled { ruling } => wire::Standing::Settled(wire::Settled {
            ruling: match ruling {
                Ruling::Ran => wire::Ruling::Ran,
                Ruling::NotRun => wire::Ruling::NotRun,
            },
        }),
        KeyStatus::OtherDigest => wire::Standing::OtherDigest,
        KeyStatus::Expired => wire::Standing::Expired,
    }
}

fn key_status_from_wire(standing: wire::Standing) -> KeyStatus {
    match standing {
        wire::Standing::Free => KeyStatus::Free,
        wire::Standing::Claimed(claimed) => KeyStatus::Claimed {
            claim: claim_id_from_wire(claimed.claim),
            lost: claimed.lost,
        },
        wire::Standing::Closed(closed) => KeyStatus::Closed {
            outcome_offset: closed.outcome_offset,
        },
        wire::Standing::Settled(settled) => KeyStatus::Settled {
            ruling: match settled.ruling {
                wire::Ruling::Ran => Ruling::Ran,
                wire::Ruling::NotRun => Ruling::NotRun,
            },
        },
        wire::Standing::OtherDigest => KeyStatus::OtherDigest,
        wire::Standing::Expired => KeyStatus::Expired,
    }
}

fn open_claim_to_wire(open: &OpenClaim) -> wire::OpenClaim {
    wire::OpenClaim {
        key: wire::ClaimKey {
            team: open.key.team.clone(),
            service: open.key.service.clone(),
            text: open.key.text.clone(),
        },
        claim: claim_id_to_wire(&open.claim),
        offset: open.offset,
        age_ms: saturating_millis(open.age),
        lost: open.lost.clone(),
    }
}

fn open_claim_from_wire(open: wire::OpenClaim) -> OpenClaim {
    OpenClaim {
        key: Key {
            team: open.key.team,
            service: open.key.service,
            text: open.key.text,
        },
        claim: claim_id_from_wire(open.claim),
        offset: open.offset,
        age: Duration::from_millis(open.age_ms),
        lost: open.lost,
    }
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

fn saturating_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
