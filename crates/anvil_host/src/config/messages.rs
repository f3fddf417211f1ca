//! Messages with which hosts exchange the configuration.

use anvil_core::{
    config::{
        Digest,
        SCHEMA,
        State, //
    },
    id::{
        Offset,
        Version, //
    }, //
};
use anvil_wire::{
    codec,
    generated::peer_config as wire, //
};
use bytes::Bytes;

/// Path of pushes: a reader sends the records that it has read from the log.
pub const PUSH_PATH: &str = "config_push";
/// Path of pulls: a host asks a peer for the records from an offset on.
pub const PULL_PATH: &str = "config_pull";

/// All records that the log holds from `from_offset` up to `next_offset`, in offset order.
#[derive(Clone, Debug)]
pub struct Records {
    /// Offset at which the range begins. The first record is later if the log skipped offsets.
    pub from_offset: Offset,
    /// Offset after the last record.
    pub next_offset: Offset,
    /// Each record's offset and payload.
    pub records: Vec<(Offset, Bytes)>,
}

/// How far a host has evaluated the configuration, for comparison with another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Version of the host's state.
    pub version: Version,
    /// Digest of the state. Two hosts with one version and different digests have diverged.
    pub digest: Digest,
    /// Offset of the next record to evaluate.
    pub next_offset: Offset,
}

impl Position {
    /// Returns the position of a state.
    pub fn of(state: &State) -> Self {
        Self {
            version: state.version(),
            digest: state.digest(),
            next_offset: state.next_offset(),
        }
    }
}

/// Response to a pull.
#[derive(Debug)]
pub enum PullResponse {
    /// The peer has no newer record.
    UpToDate,
    /// The records from the requested offset on.
    Records(Records),
    /// The peer's whole state, since it no longer keeps the requested records.
    FullState(Box<State>),
}

/// Encodes a push of records with the sender's position.
pub fn encode_push(records: &Records, position: Position) -> Bytes {
    encode(&wire_push(records, position))
}

/// Decodes the records of a push.
///
/// # Errors
///
/// The body is not a push.
pub fn decode_push(body: &[u8]) -> Result<Records, String> {
    let push: wire::Push = decode(body)?;
    Ok(records_from_wire(push))
}

/// Encodes the response to a push: the receiver's position after it.
pub fn encode_push_response(position: Position) -> Bytes {
    encode(&wire::PushAnswer {
        position: wire_position(position),
    })
}

/// Decodes the response to a push: the receiver's position after it.
///
/// # Errors
///
/// The body is not a response to a push, or its digest has the wrong length.
pub fn decode_push_response(body: &[u8]) -> Result<Position, String> {
    let answer: wire::PushAnswer = decode(body)?;
    position_from_wire(&answer.position)
}

/// Encodes a pull of the records from an offset on.
pub fn encode_pull(next_offset: Offset) -> Bytes {
    encode(&wire::Pull {
        next_offset,
        schema: SCHEMA,
    })
}

/// Decodes the offset of a pull.
///
/// # Errors
///
/// The body is not a pull.
pub fn decode_pull(body: &[u8]) -> Result<Offset, String> {
    let pull: wire::Pull = decode(body)?;
    Ok(pull.next_offset)
}

/// Encodes the response to a pull with the responder's position.
pub fn encode_pull_response(response: &PullResponse, position: Position) -> Bytes {
    encode(&match response {
        PullResponse::UpToDate => wire::PullAnswer::Nothing,
        PullResponse::Records(records) => wire::PullAnswer::Records(wire_push(records, position)),
        PullResponse::FullState(state) => wire::PullAnswer::Whole(wire::Whole {
            schema: SCHEMA,
            position: wire_position(position),
            state: encode_state(state),
        }),
    })
}

/// Decodes the response to a pull.
///
/// # Errors
///
/// The body is not a response to a pull, or holds a state that can't be read or does not match the
/// position sent with it.
pub fn decode_pull_response(body: &[u8]) -> Result<PullResponse, String> {
    match decode(body)? {
        wire::PullAnswer::Nothing => Ok(PullResponse::UpToDate),
        wire::PullAnswer::Records(push) => Ok(PullResponse::Records(records_from_wire(push))),
        wire::PullAnswer::Whole(whole) => {
            let state = decode_state(whole.schema, &whole.state)?;
            let position = position_from_wire(&whole.position)?;
            if position != Position::of(&state) {
                return Err("the state does not match its position".to_owned());
            }
            Ok(PullResponse::FullState(Box::new(state)))
        }
    }
}

/// Encodes a state as JSON.
pub fn encode_state(state: &State) -> Bytes {
    // A state consists of text, numbers and maps with text keys, all of which JSON can represent.
    serde_json::to_vec(state)
        .expect("a state is representable in JSON")
        .into()
}

/// Decodes a state from JSON.
///
/// # Errors
///
/// The schema is newer than this release knows, or the JSON is not a state.
pub fn decode_state(schema: u32, json: &[u8]) -> Result<State, String> {
    if schema > SCHEMA {
        return Err(format!(
            "state schema {schema} is unknown; this release knows up to {SCHEMA}"
        ));
    }
    serde_json::from_slice(json).map_err(|error| error.to_string())
}

fn wire_push(records: &Records, position: Position) -> wire::Push {
    wire::Push {
        from_offset: records.from_offset,
        next_offset: records.next_offset,
        records: records
            .records
            .iter()
            .map(|(offset, payload)| wire::LogEntry {
                offset: *offset,
                payload: payload.clone(),
            })
            .collect(),
        position: wire_position(position),
    }
}

fn records_from_wire(push: wire::Push) -> Records {
    Records {
        from_offset: push.from_offset,
        next_offset: push.next_offset,
        records: push
            .records
            .into_iter()
            .map(|entry| (entry.offset, entry.payload))
            .collect(),
    }
}

fn wire_position(position: Position) -> wire::Position {
    wire::Position {
        version: position.version,
        digest: Bytes::copy_from_slice(&position.digest),
        next_offset: position.next_offset,
    }
}

fn position_from_wire(position: &wire::Position) -> Result<Position, String> {
    Ok(Position {
        version: position.version,
        digest: position.digest[..]
            .try_into()
            .map_err(|_| "the digest has the wrong length".to_owned())?,
        next_offset: position.next_offset,
    })
}

fn encode(message: &impl serde::Serialize) -> Bytes {
    // Messages consist of structs, text, bytes and numbers, all of which MessagePack can represent.
    codec::encode(message).expect("a message is representable in MessagePack")
}

fn decode<M: serde::de::DeserializeOwned>(body: &[u8]) -> Result<M, String> {
    codec::decode(body).map_err(|error| error.to_string())
}
