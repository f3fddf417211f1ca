//! Boundary activations kept so that a lost range of layers can be rebuilt alone.

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

/// Memory for the activations of all requests of a host.
#[derive(Debug)]
pub struct Budget {
    /// Most bytes kept.
    limit_bytes: u64,
    /// Bytes kept. Invariant: at most `limit_bytes`.
    used_bytes: AtomicU64,
}

impl Budget {
    /// Makes an unused budget.
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            limit_bytes,
            used_bytes: AtomicU64::new(0),
        }
    }

    /// Bytes kept by all requests together.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes.load(Ordering::Acquire)
    }

    fn try_take(&self, bytes: u64) -> bool {
        let more = |used: u64| {
            let used = used.checked_add(bytes)?;
            (used <= self.limit_bytes).then_some(used)
        };
        self.used_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more)
            .is_ok()
    }

    fn give_back(&self, bytes: u64) {
        let before = self.used_bytes.fetch_sub(bytes, Ordering::AcqRel);
        assert!(before >= bytes, "more activations freed than kept");
    }
}

/// Activations of consecutive tokens at one boundary.
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

    /// The part of the chunk from `position` on.
    fn from(&self, position: Position) -> Option<Bytes> {
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

/// Chunks of one boundary. Invariant: they follow each other without a gap.
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

/// Activations that one request keeps, by boundary.
///
/// A request that meets a full budget gives up what it kept: activations with a gap rebuild
/// nothing, and the memory serves the requests that are still whole.
#[derive(Debug)]
pub struct ActivationBuffer {
    budget: Arc<Budget>,
    boundaries: Vec<Boundary>,
    /// Bytes in `boundaries`. Invariant: taken from `budget`.
    bytes: u64,
}

impl ActivationBuffer {
    /// Keeps nothing yet.
    pub fn new(budget: Arc<Budget>) -> Self {
        Self {
            budget,
            boundaries: Vec::new(),
            bytes: 0,
        }
    }

    /// Keeps the activations before `layer` of tokens from `position` on.
    ///
    /// Activations that were kept before are left as they are; ones that would leave a gap are
    /// not kept.
    pub fn append(&mut self, layer: Layer, position: Position, token_count: u32, data: Bytes) {
        let end = self.end(layer);
        if position != end {
            return;
        }
        let bytes = data.len() as u64;
        if !self.budget.try_take(bytes) {
            self.clear();
            return;
        }
        self.bytes += bytes;
        let chunk = Chunk {
            position,
            token_count,
            data,
        };
        match self.boundaries.iter_mut().find(|kept| kept.layer == layer) {
            Some(boundary) => boundary.chunks.push(chunk),
            None => self.boundaries.push(Boundary {
                layer,
                chunks: vec![chunk],
            }),
        }
    }

    /// The activations before `layer` of the tokens `from..end`, where all of them are kept and
    /// `end` is where a step ended.
    pub fn replay(&self, layer: Layer, from: Position, end: Position) -> Option<Bytes> {
        let boundary = self.boundaries.iter().find(|kept| kept.layer == layer)?;
        let chunks = &boundary.chunks;
        let is_whole = from < end && chunks.iter().any(|chunk| chunk.end() == end);
        if !is_whole {
            return None;
        }
        let mut data = BytesMut::new();
        for chunk in chunks.iter().filter(|chunk| chunk.position < end) {
            if chunk.end() > from {
                data.extend_from_slice(&chunk.from(from)?);
            }
        }
        Some(data.freeze())
    }

    /// Frees what is kept at boundaries strictly inside `layers`.
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
        self.budget.give_back(freed);
    }

    /// Position after the last activation kept before `layer`.
    pub fn end(&self, layer: Layer) -> Position {
        self.boundaries
            .iter()
            .find(|kept| kept.layer == layer)
            .and_then(|boundary| boundary.chunks.last())
            .map_or(0, Chunk::end)
    }

    /// Frees everything.
    pub fn clear(&mut self) {
        self.boundaries.clear();
        self.budget.give_back(self.bytes);
        self.bytes = 0;
    }

    /// Frees everything for good.
    pub fn close(mut self) {
        self.clear();
    }
}

impl Drop for ActivationBuffer {
    fn drop(&mut self) {
        self.clear();
    }
}
