//! Splits a stream of server-sent events into single events.

use bytes::{
    Bytes,
    BytesMut, //
};
use derive_more::{
    Display,
    Error, //
};

use crate::port::EventId;

/// Largest event that is accepted. Engines send events of a few hundred bytes.
pub const EVENT_LIMIT_BYTES: usize = 256 << 10;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
    /// The number in its `id` field; `None` if the field is missing or no number.
    pub id: Option<EventId>,
}

/// The error for an event that exceeds the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("an event is larger than {EVENT_LIMIT_BYTES} bytes")]
pub struct EventTooLarge;

/// Buffers the bytes of a stream and splits them into events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: BytesMut,
    /// Length of the prefix of `buffer` that contains no end of an event.
    searched_bytes: usize,
}

impl EventDecoder {
    /// Appends received bytes to the buffer.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLarge`] if the buffer would exceed the size limit of an event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        if self.buffer.len() + bytes.len() > EVENT_LIMIT_BYTES {
            return Err(EventTooLarge);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes the next complete event from the buffer; returns `None` if there is none yet.
    pub fn take_event(&mut self) -> Option<Event> {
        let end = self.find_event_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched_bytes = 0;
        Some(Event {
            id: parse_event_id(&bytes),
            bytes,
        })
    }

    /// Returns whether the buffer holds a complete event.
    pub fn has_event(&mut self) -> bool {
        self.find_event_end().is_some()
    }

    /// Removes the bytes of an incomplete event from the buffer.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched_bytes = 0;
        self.buffer.split().freeze()
    }

    /// Returns the number of bytes in the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the length of the first event in the buffer; `None` if it is incomplete.
    fn find_event_end(&mut self) -> Option<usize> {
        let mut from = self.searched_bytes;
        while let Some(offset) = memchr::memchr(b'\n', &self.buffer[from..]) {
            let newline = from + offset;
            match (self.buffer.get(newline + 1), self.buffer.get(newline + 2)) {
                (Some(b'\n'), _) => return Some(newline + 2),
                (Some(b'\r'), Some(b'\n')) => return Some(newline + 3),
                (None, _) | (Some(b'\r'), None) => {
                    self.searched_bytes = newline;
                    return None;
                }
                (Some(_), _) => from = newline + 1,
            }
        }
        self.searched_bytes = self.buffer.len();
        None
    }
}

fn parse_event_id(event: &[u8]) -> Option<EventId> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}

#[cfg(test)]
mod tests;
