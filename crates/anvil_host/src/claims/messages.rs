//! Questions about a shard and their replies, inside a host and between hosts.

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

/// What is asked of a shard.
#[derive(Clone, Debug)]
pub enum ShardRequest {
    /// How does a key stand?
    Lookup {
        /// The key.
        hash: KeyHash,
        /// The call.
        digest: RequestDigest,
        /// What the answer may rest on.
        freshness: Freshness,
    },
    /// Append a record and read it back.
    Append(Record),
    /// Answer once the key is no longer claimed without an outcome.
    AwaitOutcome {
        /// The key.
        hash: KeyHash,
        /// The call.
        digest: RequestDigest,
    },
    /// List claims without an outcome of at least this age.
    ListOpen {
        /// The age.
        age: Duration,
    },
    /// Start to follow the shard's stream.
    Warm,
}

/// What a look-up may rest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// What was read so far.
    Known,
    /// A read of the log begun after the question.
    Fresh,
}

/// Answer to a question.
#[derive(Clone, Debug)]
pub enum ShardResponse {
    /// How the key stands.
    KeyView(KeyView),
    /// The record is on the log.
    ReadBack,
    /// Claims without an outcome.
    OpenClaims(Vec<OpenClaim>),
}

/// How a key stands after the records before an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyView {
    /// Offset after the last record that was read.
    pub end_offset: Offset,
    /// How the key stands.
    pub key_status: KeyStatus,
}

/// A shard that could not answer.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("claim shard {shard}: {message}")]
pub struct ShardUnavailable {
    /// The shard.
    pub shard: Shard,
    /// Whether a record to append may be on the log, or still reach it.
    pub append_state: AppendState,
    /// What happened.
    pub message: String,
}

/// Whether a record may be on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AppendState {
    /// It isn't, and never will be.
    NotAppended,
    /// It may be on the log, or may still reach it.
    Unknown,
}

/// Encodes a question for a peer.
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
            age_ms: millis(*age),
        }),
        ShardRequest::Warm => wire::QuestionBody::Warm,
    };
    let request = wire::Question {
        shard,
        wait_ms: millis(wait),
        body,
    };
    // Plain structs, text, bytes and numbers: MessagePack holds every value of them.
    wire_codec::encode(&request).expect("a question is representable in MessagePack")
}

/// Decodes a peer's question.
///
/// # Errors
///
/// Bytes that are not a question of this release.
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

/// Encodes a reply for a peer.
pub fn encode_response(reply: &Result<ShardResponse, ShardUnavailable>) -> Bytes {
    let reply = match reply {
        Ok(ShardResponse::KeyView(view)) => wire::Reply::View(wire::View {
            end_offset: view.end_offset,
            standing: wire_standing(&view.key_status),
        }),
        Ok(ShardResponse::ReadBack) => wire::Reply::ReadBack,
        Ok(ShardResponse::OpenClaims(claims)) => wire::Reply::OpenClaims(wire::OpenClaims {
            claims: claims.iter().map(wire_open_claim).collect(),
        }),
        Err(error) => wire::Reply::Unavailable(wire::Unavailable {
            handed: error.append_state == AppendState::Unknown,
            message: error.message.as_str().into(),
        }),
    };
    // Plain structs, text, bytes and numbers: MessagePack holds every value of them.
    wire_codec::encode(&reply).expect("a reply is representable in MessagePack")
}

/// Decodes a peer's reply. Bytes that are no reply say nothing of the record.
pub fn decode_response(shard: Shard, body: &[u8]) -> Result<ShardResponse, ShardUnavailable> {
    let reply: wire::Reply = wire_codec::decode(body).map_err(|error| ShardUnavailable {
        shard,
        append_state: AppendState::Unknown,
        message: error.to_string(),
    })?;
    match reply {
        wire::Reply::View(view) => Ok(ShardResponse::KeyView(KeyView {
            end_offset: view.end_offset,
            key_status: standing_of(view.standing),
        })),
        wire::Reply::ReadBack => Ok(ShardResponse::ReadBack),
        wire::Reply::OpenClaims(open) => Ok(ShardResponse::OpenClaims(
            open.claims.into_iter().map(open_claim_of).collect(),
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

fn wire_standing(standing: &KeyStatus) -> wire::Standing {
    match standing {
        KeyStatus::Free => wire::Standing::Free,
        KeyStatus::Claimed { claim, lost } => wire::Standing::Claimed(wire::Claimed {
            claim: wire_id(claim),
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

fn standing_of(standing: wire::Standing) -> KeyStatus {
    match standing {
        wire::Standing::Free => KeyStatus::Free,
        wire::Standing::Claimed(claimed) => KeyStatus::Claimed {
            claim: id_of(claimed.claim),
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

fn wire_open_claim(open: &OpenClaim) -> wire::OpenClaim {
    wire::OpenClaim {
        key: wire::ClaimKey {
            team: open.key.team.clone(),
            service: open.key.service.clone(),
            text: open.key.text.clone(),
        },
        claim: wire_id(&open.claim),
        offset: open.offset,
        age_ms: millis(open.age),
        lost: open.lost.clone(),
    }
}

fn open_claim_of(open: wire::OpenClaim) -> OpenClaim {
    OpenClaim {
        key: Key {
            team: open.key.team,
            service: open.key.service,
            text: open.key.text,
        },
        claim: id_of(open.claim),
        offset: open.offset,
        age: Duration::from_millis(open.age_ms),
        lost: open.lost,
    }
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

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
