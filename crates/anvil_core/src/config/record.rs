//! Records of the configuration stream, and their encoding.
//!
//! A record is a JSON object with a `schema` member that every release, past and future, can read.

use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::patch::Patch;

/// Number of the record schema that this release writes, and the highest that it can read.
pub const SCHEMA: u32 = 1;

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A patch to the configuration, which the readers of the stream accept or refuse.
    Patch(Patch),
}

/// Reason for which this release can't decode a payload.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum DecodeError {
    /// The schema number is above [`SCHEMA`], so the record is of a newer release.
    #[display("record schema {schema} is unknown; this release knows up to {SCHEMA}")]
    UnknownSchema {
        /// Schema number of the record.
        schema: u32,
    },
    /// The payload is not a record. Every release ignores it.
    #[display("malformed record: {message}")]
    Malformed {
        /// Error message of the JSON parser.
        message: String,
    },
}

#[derive(Deserialize)]
struct Header {
    schema: u32,
}

#[derive(Serialize)]
struct EnvelopeRef<'a> {
    schema: u32,
    patch: &'a Patch,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope {
    #[serde(rename = "schema")]
    _schema: u32,
    patch: Patch,
}

impl Record {
    /// Encodes the record as a payload for the log.
    pub fn encode(&self) -> Bytes {
        let Self::Patch(patch) = self;
        let envelope = EnvelopeRef {
            schema: SCHEMA,
            patch,
        };
        // The types hold only structs, strings and numbers, with strings as map keys. JSON can
        // represent every value of them.
        serde_json::to_vec(&envelope)
            .expect("a patch can always be represented in JSON")
            .into()
    }

    /// Decodes a payload read from the log.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError::UnknownSchema`] if the schema number is newer than this release, and
    /// [`DecodeError::Malformed`] if the payload is not a record.
    pub fn decode(payload: &[u8]) -> Result<Self, DecodeError> {
        let header: Header = parse(payload)?;
        if header.schema > SCHEMA {
            return Err(DecodeError::UnknownSchema {
                schema: header.schema,
            });
        }
        let envelope: Envelope = parse(payload)?;
        Ok(Self::Patch(envelope.patch))
    }
}

fn parse<'a, T: Deserialize<'a>>(payload: &'a [u8]) -> Result<T, DecodeError> {
    serde_json::from_slice(payload).map_err(|error| DecodeError::Malformed {
        message: error.to_string(),
    })
}
