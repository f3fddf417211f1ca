//! Record of which layers were applied to which tokens of a request in its current attempt.

use crate::id::{
    Layer,
    LayerRange,
    Position, //
};

/// The layers applied to the tokens of one request in its current attempt.
///
/// Every change asserts that each layer is applied to each token once and in order, so that an
/// error in the recovery ends the request instead of producing a wrong answer.
#[derive(Clone, Debug)]
pub struct Lineage {
    /// Position after the last token in each layer's key-value cache. Invariant: a step extends it
    /// without a gap or an overlap, and never beyond the position of the layer before.
    covered: Vec<Position>,
    /// Number of tokens in the prompt.
    prompt_tokens: u32,
    /// Number of answer tokens sent. Invariant: they are sent in order, each once.
    emitted_tokens: u32,
}

impl Lineage {
    /// Creates the lineage of a request of which no layer has run.
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
    /// Panics if a layer would be applied to a token twice or out of order.
    pub fn apply(&mut self, layers: LayerRange, position: Position, token_count: u32) {
        let end = position + token_count;
        let mut input_end = self.input_end(layers.first);
        for layer in layers.first..layers.end {
            let covered = &mut self.covered[usize::from(layer)];
            assert_eq!(*covered, position, "layer {layer} applied twice or skipped");
            assert!(
                input_end >= end,
                "layer {layer} applied up to position {end}, but its input ends at {input_end}"
            );
            *covered = end;
            input_end = end;
        }
    }

    /// Records that the caches of `layers` hold only the tokens before `position`.
    ///
    /// # Panics
    ///
    /// Panics if `position` is after the last token to which one of the layers was applied.
    pub fn invalidate(&mut self, layers: LayerRange, position: Position) {
        for layer in layers.first..layers.end {
            let covered = &mut self.covered[usize::from(layer)];
            assert!(
                position <= *covered,
                "layer {layer} invalidated from {position} on, but its cache ends at {covered}"
            );
            *covered = position;
        }
    }

    /// Records that all caches are discarded because a new attempt begins.
    pub fn restart(&mut self) {
        self.covered.fill(0);
    }

    /// Returns the position after the last token to which all of `layers` were applied.
    pub fn covered(&self, layers: LayerRange) -> Position {
        self.covered[usize::from(layers.first)..usize::from(layers.end)]
            .iter()
            .copied()
            .min()
            .unwrap_or(0)
    }

    /// Records that the next answer token is sent.
    ///
    /// # Panics
    ///
    /// Panics unless every layer was applied to all tokens before it.
    pub fn emit(&mut self) {
        let end = self.next_position();
        assert!(
            self.covered.iter().all(|&covered| covered == end),
            "answer token {end} sent before every layer was applied to the tokens before it"
        );
        self.emitted_tokens += 1;
    }

    /// Returns the position of the next answer token.
    pub fn next_position(&self) -> Position {
        self.prompt_tokens + self.emitted_tokens
    }

    /// Returns the number of answer tokens sent.
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
