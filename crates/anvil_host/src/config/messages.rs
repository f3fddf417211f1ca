//! Messages between hosts about the configuration.

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

/// Path at which a host takes records that a peer has read.
pub const PUSH_PATH: &str = "config_push";
/// Path at which a host tells what follows a position.
pub const PULL_PATH: &str = "config_pull";

/// Records in offset order that leave out none between their ends.
#[derive(Clone, Debug)]
pub struct Records {
    /// Offset of the first, or of the first that was skipped by the log.
    pub from_offset: Offset,
    /// Offset after the last.
    pub next_offset: Offset,
    /// The records.
    pub records: Vec<(Offset, Bytes)>,
}

/// What a host has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The version.
    pub version: Version,
    /// Its digest.
    pub digest: Digest,
    /// Offset of the next record to judge.
    pub next_offset: Offset,
}

impl Position {
    /// Position of a state.
    pub fn of(state: &State) -> Self {
        Self {
            version: state.version(),
            digest: state.digest(),
            next_offset: state.next_offset(),
        }
    }
}

/// What follows a position.
#[derive(Debug)]
pub enum PullResponse {
    /// Nothing newer.
    UpToDate,
    /// These records.
    Records(Records),
    /// A whole state.
    FullState(Box<State>),
}

/// Encodes records for a peer.
pub fn encode_push(records: &Records, position: Position) -> Bytes {
    encode(&wire_push(records, position))
}

/// Decodes a peer's records.
pub fn decode_push(body: &[u8]) -> Result<Records, String> {
    let push: wire::Push = decode(body)?;
    Ok(records_of(push))
}

/// Encodes the position that a push's receiver has then.
pub fn encode_push_response(position: Position) -> Bytes {
    encode(&wire::PushAnswer {
        position: wire_position(position),
    })
}

/// Decodes the position that a push's receiver has then.
pub fn decode_push_response(body: &[u8]) -> Result<Position, String> {
    let answer: wire::PushAnswer = decode(body)?;
    position_of(&answer.position)
}

/// Encodes the question for what follows an offset.
pub fn encode_pull(next_offset: Offset) -> Bytes {
    encode(&wire::Pull {
        next_offset,
        schema: SCHEMA,
    })
}

/// Decodes the question for what follows an offset.
pub fn decode_pull(body: &[u8]) -> Result<Offset, String> {
    let pull: wire::Pull = decode(body)?;
    Ok(pull.next_offset)
}

/// Encodes what follows a position.
pub fn encode_pull_response(pulled: &PullResponse, position: Position) -> Bytes {
    encode(&match pulled {
        PullResponse::UpToDate => wire::PullAnswer::Nothing,
        PullResponse::Records(records) => wire::PullAnswer::Records(wire_push(records, position)),
        PullResponse::FullState(state) => wire::PullAnswer::Whole(wire::Whole {
            schema: SCHEMA,
            position: wire_position(position),
            state: encode_state(state),
        }),
    })
}

/// Decodes what follows a position.
pub fn decode_pull_response(body: &[u8]) -> Result<PullResponse, String> {
    match decode(body)? {
        wire::PullAnswer::Nothing => Ok(PullResponse::UpToDate),
        wire::PullAnswer::Records(push) => Ok(PullResponse::Records(records_of(push))),
        wire::PullAnswer::Whole(whole) => {
            let state = decode_state(whole.schema, &whole.state)?;
            let position = position_of(&whole.position)?;
            if position != Position::of(&state) {
                return Err("the state does not match its position".to_owned());
            }
            Ok(PullResponse::FullState(Box::new(state)))
        }
    }
}

/// A state as JSON.
pub fn encode_state(state: &State) -> Bytes {
    // Text, numbers and maps by text: JSON holds every value of them.
    serde_json::to_vec(state)
        .expect("a state is representable in JSON")
        .into()
}

/// Reads a state from JSON, unless its schema is newer than this release.
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

fn records_of(push: wire::Push) -> Records {
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

fn position_of(position: &wire::Position) -> Result<Position, String> {
    Ok(Position {
        version: position.version,
        digest: position.digest[..]
            .try_into()
            .map_err(|_| "a digest has the wrong length".to_owned())?,
        next_offset: position.next_offset,
    })
}

fn encode(message: &impl serde::Serialize) -> Bytes {
    // Plain structs, text, bytes and numbers: MessagePack holds every value of them.
    codec::encode(message).expect("a message is representable in MessagePack")
}

fn decode<M: serde::de::DeserializeOwned>(body: &[u8]) -> Result<M, String> {
    codec::decode(body).map_err(|error| error.to_string())
}
