//! Which layers were applied to which tokens of a request, in the attempt that counts.

use crate::id::{
    Layer,
    LayerRange,
    Position, //
};

/// The lineage of one request's answer.
///
/// Every change asserts that each layer is applied to each token once and in order, so that a
/// fault of the recovery ends the request instead of giving a wrong answer.
#[derive(Clone, Debug)]
pub struct Lineage {
    /// For each layer, the position after the last token in its key-value cache. Invariant: a
    /// step extends it without a gap or an overlap, and never beyond that of the layer before.
    covered: Vec<Position>,
    /// Tokens of the prompt.
    prompt_tokens: u32,
    /// Answer tokens given out. Invariant: they are given out in order, each once.
    emitted_tokens: u32,
}

impl Lineage {
    /// Makes the lineage of a request of which nothing has run.
    pub fn new(layer_count: Layer, prompt_tokens: u32) -> Self {
        Self {
            covered: vec![0; usize::from(layer_count)],
            prompt_tokens,
            emitted_tokens: 0,
        }
    }

    /// Records that `layers` were applied to `token_count` tokens from `position` on.
    ///
    /// # Panics
    ///
    /// Where a layer would be applied twice to a token, or out of order.
    pub fn apply(&mut self, layers: LayerRange, position: Position, token_count: u32) {
        let end = position + token_count;
        let mut input_end = self.input_end(layers.first);
        for layer in layers.first..layers.end {
            let covered = &mut self.covered[usize::from(layer)];
            assert_eq!(*covered, position, "layer {layer} applied twice or skipped");
            assert!(input_end >= end, "layer {layer} applied before its input");
            *covered = end;
            input_end = end;
        }
    }

    /// Records that the caches of `layers` hold the tokens before `position` alone.
    ///
    /// # Panics
    ///
    /// Where that is more than was applied.
    pub fn invalidate(&mut self, layers: LayerRange, position: Position) {
        for layer in layers.first..layers.end {
            let covered = &mut self.covered[usize::from(layer)];
            assert!(position <= *covered, "layer {layer} can't gain tokens");
            *covered = position;
        }
    }

    /// Records that all caches are given up: a new attempt begins.
    pub fn restart(&mut self) {
        self.covered.fill(0);
    }

    /// Position after the last token that every one of `layers` covers.
    pub fn covered(&self, layers: LayerRange) -> Position {
        self.covered[usize::from(layers.first)..usize::from(layers.end)]
            .iter()
            .copied()
            .min()
            .unwrap_or(0)
    }

    /// Records that the next answer token is given out.
    ///
    /// # Panics
    ///
    /// Where a layer is missing for the token that it follows.
    pub fn emit(&mut self) {
        let end = self.next_position();
        assert!(
            self.covered.iter().all(|&covered| covered == end),
            "a token is given out before every layer has run"
        );
        self.emitted_tokens += 1;
    }

    /// Position of the next answer token.
    pub fn next_position(&self) -> Position {
        self.prompt_tokens + self.emitted_tokens
    }

    /// Answer tokens given out.
    pub fn emitted_tokens(&self) -> u32 {
        self.emitted_tokens
    }

    fn input_end(&self, first: Layer) -> Position {
        match first {
            0 => self.next_position(),
            _ => self.covered[usize::from(first) - 1],
        }
    }
}
