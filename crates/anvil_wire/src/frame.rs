//! Framing of messages on a long-lived stream: a 4-byte big-endian length, then one message.

use bytes::{
    Buf,
    BufMut,
    Bytes,
    BytesMut, //
};
use derive_more::{
    Display,
    Error, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::codec::{
    self,
    CodecError, //
};

/// Size of the length prefix before each message.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Largest message that a frame may hold, without the length prefix.
pub const MESSAGE_LIMIT_BYTES: usize = 64 << 20;

/// Why a frame could not be encoded or decoded. After a decoding error the rest of the stream can't
/// be read.
#[derive(Debug, Display, Error)]
pub enum FrameError {
    /// The message is larger than [`MESSAGE_LIMIT_BYTES`].
    #[display("frame of {size_bytes} bytes")]
    TooLarge {
        /// Size of the message, from the length prefix when decoding.
        size_bytes: usize,
    },
    /// The message can't be encoded, or the frame doesn't hold a message of the expected type.
    #[display("frame: {source}")]
    Codec {
        /// Error of the codec.
        source: CodecError,
    },
}

/// Encodes a message as one frame.
///
/// # Errors
///
/// Returns [`FrameError::Codec`] if MessagePack can't represent the message, and
/// [`FrameError::TooLarge`] if it is larger than [`MESSAGE_LIMIT_BYTES`].
pub fn encode(message: &impl Serialize) -> Result<Bytes, FrameError> {
    let mut writer = BytesMut::with_capacity(512).writer();
    writer.get_mut().put_u32(0);
    codec::encode_into(message, &mut writer).map_err(|source| FrameError::Codec { source })?;
    let mut frame = writer.into_inner();
    let size_bytes = frame.len() - LENGTH_PREFIX_BYTES;
    let length = u32::try_from(size_bytes)
        .ok()
        .filter(|_| size_bytes <= MESSAGE_LIMIT_BYTES)
        .ok_or(FrameError::TooLarge { size_bytes })?;
    frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(frame.freeze())
}

/// Reassembles frames from a stream that arrives in arbitrary chunks.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Appends the next chunk of the stream.
    pub fn push(&mut self, chunk: Bytes) {
        if self.buffer.is_empty() {
            // Reuses the chunk's memory without a copy if nothing else refers to it.
            self.buffer = BytesMut::from(chunk);
            return;
        }
        self.buffer.extend_from_slice(&chunk);
    }

    /// Returns the next message, or `None` if its frame is still incomplete.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::TooLarge`] if the length prefix is above [`MESSAGE_LIMIT_BYTES`], and
    /// [`FrameError::Codec`] if the frame doesn't hold a message of type `M`. The stream can't be
    /// used after an error.
    pub fn next_message<M: DeserializeOwned>(&mut self) -> Result<Option<M>, FrameError> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let size_bytes = usize::try_from(u32::from_be_bytes(*prefix)).unwrap_or(usize::MAX);
        if size_bytes > MESSAGE_LIMIT_BYTES {
            return Err(FrameError::TooLarge { size_bytes });
        }
        if self.buffer.len() < LENGTH_PREFIX_BYTES + size_bytes {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_PREFIX_BYTES);
        let message = self.buffer.split_to(size_bytes);
        codec::decode(&message)
            .map(Some)
            .map_err(|source| FrameError::Codec { source })
    }
}

#[cfg(test)]
mod tests;
