//! Bodies in segments. A body grows by whole segments, so that nothing is copied when it grows and its
//! memory is known before it is read.

use std::rc::Rc;

use bytes::{
    BufMut,
    Bytes,
    BytesMut, //
};

/// Smallest segment. Most bodies fit in one.
const SEGMENT_MIN_BYTES: usize = 4 << 10;
/// Largest segment.
const SEGMENT_MAX_BYTES: usize = 64 << 10;

/// A complete body.
#[derive(Clone, Debug, Default)]
pub struct Body {
    segments: Rc<[Bytes]>,
    length: usize,
}

impl Body {
    /// Returns the number of its bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns its bytes in order.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Bytes::as_ref)
    }
}

/// A body that is being read.
#[derive(Debug, Default)]
pub(super) struct BodyBuilder {
    full: Vec<Bytes>,
    last: BytesMut,
    length: usize,
    capacity: usize,
}

impl BodyBuilder {
    /// Returns the number of bytes that were read.
    pub(super) fn len(&self) -> usize {
        self.length
    }

    /// Returns the memory that the body takes.
    pub(super) fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the bytes that fit without another segment.
    pub(super) fn spare_bytes(&self) -> usize {
        self.last.capacity() - self.last.len()
    }

    /// Returns the memory that the body takes with another segment, for at most `remaining_bytes`, and
    /// the size of that segment. Segments grow with the body, so that small bodies take little memory.
    pub(super) fn next_segment(&self, remaining_bytes: u64) -> NextSegment {
        let size = self.length.clamp(SEGMENT_MIN_BYTES, SEGMENT_MAX_BYTES);
        let size = usize::try_from(remaining_bytes).map_or(size, |remaining| remaining.min(size));
        NextSegment {
            size,
            capacity_after: self.capacity + size,
        }
    }

    /// Adds an empty segment.
    pub(super) fn push_segment(&mut self, next: NextSegment) {
        debug_assert_eq!(self.spare_bytes(), 0);
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(next.size));
        if !full.is_empty() {
            self.full.push(full.freeze());
        }
        self.capacity = next.capacity_after;
    }

    /// Returns the free part of the last segment, of at most `limit_bytes`, to be read into. What was read
    /// is recorded by [`Self::record_read`].
    pub(super) fn spare(&mut self, limit_bytes: usize) -> bytes::buf::Limit<&mut BytesMut> {
        let limit_bytes = self.spare_bytes().min(limit_bytes);
        (&mut self.last).limit(limit_bytes)
    }

    /// Records bytes that were read into the last segment.
    pub(super) fn record_read(&mut self, bytes: usize) {
        self.length += bytes;
    }

    /// Appends as many bytes of `data` as fit without another segment; returns their number.
    pub(super) fn append(&mut self, data: &[u8]) -> usize {
        let count = data.len().min(self.spare_bytes());
        self.last.extend_from_slice(&data[..count]);
        self.length += count;
        count
    }

    /// Returns the complete body.
    pub(super) fn finish(mut self) -> Body {
        if !self.last.is_empty() {
            self.full.push(self.last.freeze());
        }
        Body {
            segments: self.full.into(),
            length: self.length,
        }
    }
}

/// A segment that is to be added to a body.
#[derive(Clone, Copy, Debug)]
pub(super) struct NextSegment {
    pub(super) size: usize,
    /// Memory of the whole body with the segment.
    pub(super) capacity_after: usize,
}
