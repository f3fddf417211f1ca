//! Splits a stream into whole events.

use bytes::{
    Bytes,
    BytesMut, //
};
use derive_more::{
    Display,
    Error, //
};

use crate::port::EventId;

/// Largest event. Engines send a few hundred bytes.
const EVENT_LIMIT_BYTES: usize = 256 << 10;

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the empty line that ends it.
    pub bytes: Bytes,
    /// Its number, where it has one.
    pub id: Option<EventId>,
}

/// An event beyond the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("an event is larger than {EVENT_LIMIT_BYTES} bytes")]
pub struct EventTooLarge;

/// Collects bytes and gives whole events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: BytesMut,
    /// Bytes that hold no end of an event.
    searched_bytes: usize,
}

impl EventDecoder {
    /// Takes bytes in.
    ///
    /// # Errors
    ///
    /// An event that grows beyond the bound.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        if self.buffer.len() + bytes.len() > EVENT_LIMIT_BYTES {
            return Err(EventTooLarge);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the next whole event out.
    pub fn take_event(&mut self) -> Option<Event> {
        let end = self.end_of_event()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched_bytes = 0;
        Some(Event {
            id: id_of(&bytes),
            bytes,
        })
    }

    /// Whether part of an event is left.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn end_of_event(&mut self) -> Option<usize> {
        let mut from = self.searched_bytes;
        while let Some(at) = memchr::memchr(b'\n', &self.buffer[from..]) {
            let at = from + at;
            match (self.buffer.get(at + 1), self.buffer.get(at + 2)) {
                (Some(b'\n'), _) => return Some(at + 2),
                (Some(b'\r'), Some(b'\n')) => return Some(at + 3),
                (None, _) | (Some(b'\r'), None) => {
                    self.searched_bytes = at;
                    return None;
                }
                (Some(_), _) => from = at + 1,
            }
        }
        self.searched_bytes = self.buffer.len();
        None
    }
}

fn id_of(event: &[u8]) -> Option<EventId> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}

#[cfg(test)]
mod tests;
