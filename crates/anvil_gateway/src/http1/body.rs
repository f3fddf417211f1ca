//! Bodies: by length, in chunks, or up to the end of the connection.

use bytes::{
    Buf,
    Bytes,
    BytesMut, //
};
use derive_more::{
    Display,
    Error, //
};

/// Longest line that states a chunk's size, extensions included.
const CHUNK_LINE_LIMIT_BYTES: usize = 256;
/// Largest sum of trailers.
const TRAILER_LIMIT_BYTES: usize = 4096;

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// It ends with the connection.
    UntilClose,
}

/// What came out of a decoder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Some of the body.
    Data(Bytes),
    /// The body is whole.
    End,
    /// The buffer holds too little to go on.
    NeedMore,
}

/// A body that breaks the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// A chunk's size can't be read.
    #[display("malformed chunk")]
    MalformedChunk,
    /// The connection ended before the body did.
    #[display("the connection ended within the body")]
    Truncated,
}

/// Decodes one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDecoder {
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length { left_bytes: u64 },
    ChunkSize,
    ChunkData { left_bytes: u64 },
    ChunkEnd,
    Trailers { read_bytes: usize },
    UntilClose,
    Done,
}

impl BodyDecoder {
    /// A decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(left_bytes) => State::Length { left_bytes },
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Whether the body is whole.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Takes the next piece off the front of `buffer`.
    ///
    /// # Errors
    ///
    /// A chunk that breaks the protocol.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Piece, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(Piece::End),
                State::Length { left_bytes } => {
                    let Some(data) = take_data(buffer, left_bytes) else {
                        return Ok(Piece::NeedMore);
                    };
                    self.state = match left_bytes - data.len() as u64 {
                        0 => State::Done,
                        left_bytes => State::Length { left_bytes },
                    };
                    return Ok(Piece::Data(data));
                }
                State::UntilClose => {
                    return Ok(match take_data(buffer, u64::MAX) {
                        Some(data) => Piece::Data(data),
                        None => Piece::NeedMore,
                    });
                }
                State::ChunkData { left_bytes } => {
                    let Some(data) = take_data(buffer, left_bytes) else {
                        return Ok(Piece::NeedMore);
                    };
                    self.state = match left_bytes - data.len() as u64 {
                        0 => State::ChunkEnd,
                        left_bytes => State::ChunkData { left_bytes },
                    };
                    return Ok(Piece::Data(data));
                }
                State::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(Piece::NeedMore);
                    }
                    if !buffer.starts_with(b"\r\n") {
                        return Err(BodyError::MalformedChunk);
                    }
                    buffer.advance(2);
                    self.state = State::ChunkSize;
                }
                State::ChunkSize => match take_chunk_size(buffer)? {
                    None => return Ok(Piece::NeedMore),
                    Some(0) => self.state = State::Trailers { read_bytes: 0 },
                    Some(left_bytes) => self.state = State::ChunkData { left_bytes },
                },
                State::Trailers { read_bytes } => {
                    let Some(end) = memchr::memchr(b'\n', buffer) else {
                        if buffer.len() > TRAILER_LIMIT_BYTES {
                            return Err(BodyError::MalformedChunk);
                        }
                        return Ok(Piece::NeedMore);
                    };
                    let read_bytes = read_bytes + end + 1;
                    if read_bytes > TRAILER_LIMIT_BYTES {
                        return Err(BodyError::MalformedChunk);
                    }
                    let is_last = end == 0 || (end == 1 && buffer[0] == b'\r');
                    buffer.advance(end + 1);
                    self.state = if is_last {
                        State::Done
                    } else {
                        State::Trailers { read_bytes }
                    };
                }
            }
        }
    }

    /// Says that the sender closed the connection in good order.
    ///
    /// # Errors
    ///
    /// [`BodyError::Truncated`] where the body was not whole.
    pub fn end_of_connection(&mut self) -> Result<(), BodyError> {
        match self.state {
            State::UntilClose | State::Done => {
                self.state = State::Done;
                Ok(())
            }
            State::Length { .. }
            | State::ChunkSize
            | State::ChunkData { .. }
            | State::ChunkEnd
            | State::Trailers { .. } => Err(BodyError::Truncated),
        }
    }
}

fn take_data(buffer: &mut BytesMut, limit_bytes: u64) -> Option<Bytes> {
    if buffer.is_empty() {
        return None;
    }
    let length = usize::try_from(limit_bytes).map_or(buffer.len(), |limit| limit.min(buffer.len()));
    Some(buffer.split_to(length).freeze())
}

fn take_chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, BodyError> {
    let Some(end) = memchr::memchr(b'\n', buffer) else {
        if buffer.len() > CHUNK_LINE_LIMIT_BYTES {
            return Err(BodyError::MalformedChunk);
        }
        return Ok(None);
    };
    if end > CHUNK_LINE_LIMIT_BYTES {
        return Err(BodyError::MalformedChunk);
    }
    let line = &buffer[..end];
    let digits = line
        .iter()
        .position(|byte| !byte.is_ascii_hexdigit())
        .unwrap_or(line.len());
    let ends_well = matches!(line.get(digits), None | Some(b'\r' | b';' | b' '));
    if digits == 0 || digits > 15 || !ends_well {
        return Err(BodyError::MalformedChunk);
    }
    let size = std::str::from_utf8(&line[..digits])
        .ok()
        .and_then(|text| u64::from_str_radix(text, 16).ok())
        .ok_or(BodyError::MalformedChunk)?;
    buffer.advance(end + 1);
    Ok(Some(size))
}
