//! Decodes bodies that are framed by length, in chunks, or by the end of the connection.

use bytes::{
    Buf,
    Bytes,
    BytesMut, //
};
use derive_more::{
    Display,
    Error, //
};

/// Longest chunk-size line, including extensions.
const CHUNK_LINE_LIMIT_BYTES: usize = 256;
/// Largest total size of the trailers.
const TRAILER_LIMIT_BYTES: usize = 4096;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By chunked transfer encoding.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// The result of one step of a decoder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// The next bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The buffer holds too few bytes to continue.
    NeedMore,
}

/// The error for a body that breaks the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// A chunk-size line, the end of a chunk or a trailer is malformed, or the trailers are too long.
    #[display("malformed chunk")]
    MalformedChunk,
    /// The connection ended before the body was complete.
    #[display("the connection ended within the body")]
    Truncated,
}

/// Decodes one body, piece by piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDecoder {
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length { remaining_bytes: u64 },
    ChunkSize,
    ChunkData { remaining_bytes: u64 },
    ChunkEnd,
    Trailers { read_bytes: usize },
    UntilClose,
    Done,
}

impl BodyDecoder {
    /// Creates a decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(remaining_bytes) => State::Length { remaining_bytes },
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns how many of the next bytes on the connection belong to the body; `None` if framing comes
    /// next, or the end.
    pub(super) fn unframed_bytes(&self) -> Option<u64> {
        match self.state {
            State::Length { remaining_bytes } | State::ChunkData { remaining_bytes } => {
                Some(remaining_bytes)
            }
            State::UntilClose => Some(u64::MAX),
            State::ChunkSize | State::ChunkEnd | State::Trailers { .. } | State::Done => None,
        }
    }

    /// Returns how many bytes of the body are left; `None` if its head doesn't state that.
    pub fn length_left(&self) -> Option<u64> {
        match self.state {
            State::Length { remaining_bytes } => Some(remaining_bytes),
            State::Done => Some(0),
            State::ChunkSize
            | State::ChunkData { .. }
            | State::ChunkEnd
            | State::Trailers { .. }
            | State::UntilClose => None,
        }
    }

    /// Records bytes of the body that were read without the decoder, at most [`Self::unframed_bytes`].
    pub(super) fn record_unframed(&mut self, bytes: usize) {
        let bytes = bytes as u64;
        self.state = match self.state {
            State::Length { remaining_bytes } if remaining_bytes == bytes => State::Done,
            State::Length { remaining_bytes } => State::Length {
                remaining_bytes: remaining_bytes - bytes,
            },
            State::ChunkData { remaining_bytes } if remaining_bytes == bytes => State::ChunkEnd,
            State::ChunkData { remaining_bytes } => State::ChunkData {
                remaining_bytes: remaining_bytes - bytes,
            },
            state => state,
        };
    }

    /// Takes the next piece off the front of `buffer`.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::MalformedChunk`] if a chunk or its trailers break the protocol.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Piece, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(Piece::End),
                State::Length { remaining_bytes } => {
                    let Some(data) = take_data(buffer, remaining_bytes) else {
                        return Ok(Piece::NeedMore);
                    };
                    self.state = match remaining_bytes - data.len() as u64 {
                        0 => State::Done,
                        remaining_bytes => State::Length { remaining_bytes },
                    };
                    return Ok(Piece::Data(data));
                }
                State::UntilClose => {
                    return Ok(match take_data(buffer, u64::MAX) {
                        Some(data) => Piece::Data(data),
                        None => Piece::NeedMore,
                    });
                }
                State::ChunkData { remaining_bytes } => {
                    let Some(data) = take_data(buffer, remaining_bytes) else {
                        return Ok(Piece::NeedMore);
                    };
                    self.state = match remaining_bytes - data.len() as u64 {
                        0 => State::ChunkEnd,
                        remaining_bytes => State::ChunkData { remaining_bytes },
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
                    Some(remaining_bytes) => self.state = State::ChunkData { remaining_bytes },
                },
                State::Trailers { read_bytes } => {
                    let Some(end) = memchr::memchr(b'\n', buffer) else {
                        if buffer.len() > TRAILER_LIMIT_BYTES {
                            return Err(BodyError::MalformedChunk);
                        }
                        return Ok(Piece::NeedMore);
                    };
                    let read_bytes = read_bytes + end + 1;
                    if read_bytes > TRAILER_LIMIT_BYTES || !buffer[..end].ends_with(b"\r") {
                        return Err(BodyError::MalformedChunk);
                    }
                    let is_last = end == 1;
                    if !is_last && !is_header(&buffer[..=end]) {
                        return Err(BodyError::MalformedChunk);
                    }
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

    /// Tells the decoder that the sender closed the connection without an error.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Truncated`] if the body was incomplete.
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

/// Removes up to `limit_bytes` from the buffer; returns `None` if it is empty.
fn take_data(buffer: &mut BytesMut, limit_bytes: u64) -> Option<Bytes> {
    if buffer.is_empty() {
        return None;
    }
    let length = usize::try_from(limit_bytes).map_or(buffer.len(), |limit| limit.min(buffer.len()));
    Some(buffer.split_to(length).freeze())
}

/// Returns whether a line is a header. Another line among the trailers may be a chunk whose size is lost, so
/// that the body is not whole.
fn is_header(line: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; 1];
    httparse::parse_headers(line, &mut headers).is_ok()
}

/// Removes a chunk-size line from the buffer and returns the size; returns `None` if the line is
/// incomplete.
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
    // Programs differ in what they take for the end of a line. A lone CR or LF could hide a chunk from one
    // of them. Other control bytes show that the line is spoiled.
    let is_control = |byte: &u8| byte.is_ascii_control() && *byte != b'\t';
    let line = match buffer[..end].strip_suffix(b"\r") {
        Some(line) if !line.iter().any(is_control) => line,
        Some(_) | None => return Err(BodyError::MalformedChunk),
    };
    let digit_count = line
        .iter()
        .position(|byte| !byte.is_ascii_hexdigit())
        .unwrap_or(line.len());
    let extension = line[digit_count..].trim_ascii_start();
    let has_valid_delimiter = matches!(extension.first(), None | Some(b';'));
    if digit_count == 0 || digit_count > 15 || !has_valid_delimiter {
        return Err(BodyError::MalformedChunk);
    }
    let size = std::str::from_utf8(&line[..digit_count])
        .ok()
        .and_then(|text| u64::from_str_radix(text, 16).ok())
        .ok_or(BodyError::MalformedChunk)?;
    buffer.advance(end + 1);
    Ok(Some(size))
}
