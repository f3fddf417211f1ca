//! Encodes messages as MessagePack maps with field names, so that a reader of another release can
//! skip fields that it doesn't know.

use std::io::Write;

use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// Why a message could not be encoded or decoded.
#[derive(Debug, Display, Error)]
pub enum CodecError {
    /// MessagePack can't represent the message.
    #[display("cannot encode the message as MessagePack: {source}")]
    Encode {
        /// Error of the encoder.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not a valid message of the expected type.
    #[display("cannot decode the message from MessagePack: {source}")]
    Decode {
        /// Error of the decoder.
        source: rmp_serde::decode::Error,
    },
}

/// Encodes a message.
///
/// # Errors
///
/// Returns [`CodecError::Encode`] if MessagePack can't represent the message.
pub fn encode(message: &impl Serialize) -> Result<Bytes, CodecError> {
    rmp_serde::to_vec_named(message)
        .map(Bytes::from)
        .map_err(|source| CodecError::Encode { source })
}

/// Encodes a message and appends it to a writer.
///
/// # Errors
///
/// Returns [`CodecError::Encode`] if MessagePack can't represent the message.
pub fn encode_into(message: &impl Serialize, writer: &mut impl Write) -> Result<(), CodecError> {
    rmp_serde::encode::write_named(writer, message).map_err(|source| CodecError::Encode { source })
}

/// Decodes a message.
///
/// # Errors
///
/// Returns [`CodecError::Decode`] if the bytes are not a valid message of type `M`.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, CodecError> {
    rmp_serde::from_slice(bytes).map_err(|source| CodecError::Decode { source })
}
