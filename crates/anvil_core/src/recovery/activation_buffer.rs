//! Activations at layer boundaries, kept so that a lost layer range can be rebuilt without the
//! other layers.

use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        Ordering, //
    },
};

use bytes::{
    Bytes,
    BytesMut, //
};

use crate::id::{
    Layer,
    LayerRange,
    Position, //
};

/// Memory budget for the activations of all requests of a host.
#[derive(Debug)]
pub struct Budget {
    /// Largest number of bytes that may be kept.
    limit_bytes: u64,
    /// Bytes kept by all requests together. Invariant: at most `limit_bytes`.
    used_bytes: AtomicU64,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            limit_bytes,
            used_bytes: AtomicU64::new(0),
        }
    }

    /// Returns the bytes kept by all requests together.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes.load(Ordering::Acquire)
    }

    fn try_reserve(&self, bytes: u64) -> bool {
        let add = |used: u64| {
            let used = used.checked_add(bytes)?;
            (used <= self.limit_bytes).then_some(used)
        };
        self.used_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .is_ok()
    }

    fn release(&self, bytes: u64) {
        let before = self.used_bytes.fetch_sub(bytes, Ordering::AcqRel);
        assert!(
            before >= bytes,
            "{bytes} activation bytes released, but only {before} were reserved"
        );
    }
}

/// Activations of consecutive tokens at one layer boundary.
#[derive(Clone, Debug)]
struct Chunk {
    position: Position,
    token_count: u32,
    data: Bytes,
}

impl Chunk {
    fn end(&self) -> Position {
        self.position + self.token_count
    }

    /// Returns the part of the chunk from `position` on, or `None` if the data does not divide
    /// evenly among the tokens.
    fn data_from(&self, position: Position) -> Option<Bytes> {
        if position <= self.position {
            return Some(self.data.clone());
        }
        let token_count = self.token_count as usize;
        if !self.data.len().is_multiple_of(token_count) {
            return None;
        }
        let skipped = (position - self.position) as usize;
        Some(self.data.slice(skipped * (self.data.len() / token_count)..))
    }
}

/// Chunks of one layer boundary. Invariant: they follow each other without a gap.
#[derive(Clone, Debug)]
struct Boundary {
    layer: Layer,
    chunks: Vec<Chunk>,
}

impl Boundary {
    fn bytes(&self) -> u64 {
        self.chunks
            .iter()
            .map(|chunk| chunk.data.len() as u64)
            .sum()
    }
}

/// Activations that one request keeps, by layer boundary.
///
/// A request that exceeds the budget frees everything that it kept: activations with a gap can't be
/// used for a rebuild, and the memory is then free for requests whose activations are complete.
#[derive(Debug)]
pub struct ActivationBuffer {
    budget: Arc<Budget>,
    boundaries: Vec<Boundary>,
    /// Bytes in `boundaries`. Invariant: they are reserved in `budget`.
    bytes: u64,
}

impl ActivationBuffer {
    /// Creates an empty buffer that reserves its memory in `budget`.
    pub fn new(budget: Arc<Budget>) -> Self {
        Self {
            budget,
            boundaries: Vec::new(),
            bytes: 0,
        }
    }

    /// Keeps the activations before `layer` of `token_count` tokens from `position` on.
    ///
    /// Activations are ignored if they were kept before or would leave a gap. If the budget is
    /// exceeded, the buffer frees everything that it keeps.
    pub fn append(&mut self, layer: Layer, position: Position, token_count: u32, data: Bytes) {
        let end = self.end(layer);
        if position != end {
            return;
        }
        let bytes = data.len() as u64;
        if !self.budget.try_reserve(bytes) {
            self.clear();
            return;
        }
        self.bytes += bytes;
        let chunk = Chunk {
            position,
            token_count,
            data,
        };
        match self
            .boundaries
            .iter_mut()
            .find(|boundary| boundary.layer == layer)
        {
            Some(boundary) => boundary.chunks.push(chunk),
            None => self.boundaries.push(Boundary {
                layer,
                chunks: vec![chunk],
            }),
        }
    }

    /// Returns the activations before `layer` of the tokens `from..end`. Returns `None` if not all
    /// of them are kept or if `end` is not the end of a step.
    pub fn replay(&self, layer: Layer, from: Position, end: Position) -> Option<Bytes> {
        let boundary = self
            .boundaries
            .iter()
            .find(|boundary| boundary.layer == layer)?;
        let chunks = &boundary.chunks;
        let is_complete = from < end && chunks.iter().any(|chunk| chunk.end() == end);
        if !is_complete {
            return None;
        }
        let mut data = BytesMut::new();
        for chunk in chunks.iter().filter(|chunk| chunk.position < end) {
            if chunk.end() > from {
                data.extend_from_slice(&chunk.data_from(from)?);
            }
        }
        Some(data.freeze())
    }

    /// Frees the activations at boundaries strictly inside `layers`.
    pub fn discard_within(&mut self, layers: LayerRange) {
        let mut freed = 0;
        self.boundaries.retain(|boundary| {
            let is_within = layers.first < boundary.layer && boundary.layer < layers.end;
            if is_within {
                freed += boundary.bytes();
            }
            !is_within
        });
        self.bytes -= freed;
        self.budget.release(freed);
    }

    /// Returns the position after the last token whose activation before `layer` is kept, or 0 if
    /// there is none.
    pub fn end(&self, layer: Layer) -> Position {
        self.boundaries
            .iter()
            .find(|boundary| boundary.layer == layer)
            .and_then(|boundary| boundary.chunks.last())
            .map_or(0, Chunk::end)
    }

    /// Frees all activations.
    pub fn clear(&mut self) {
        self.boundaries.clear();
        self.budget.release(self.bytes);
        self.bytes = 0;
    }

    /// Consumes the buffer and frees all activations.
    pub fn close(mut self) {
        self.clear();
    }
}

impl Drop for ActivationBuffer {
    fn drop(&mut self) {
        self.clear();
    }
}
