//! Key-value (KV) caches of the sequences that an engine holds, and the steps applied to them.

use std::collections::{
    HashMap,
    VecDeque, //
};

use anvil_wire::generated::engine::{
    KvExport,
    KvImport,
    KvName,
    LayerRange,
    Step,
    StepName, //
};
use bytes::{
    Buf,
    BufMut,
    Bytes,
    BytesMut, //
};
use smol_str::SmolStr;

use crate::arithmetic::{
    self,
    ACTIVATION_BYTES, //
};

/// Answers kept for each sequence, to answer repeated steps.
const KEPT_ANSWERS_PER_SEQUENCE: usize = 8;

/// Size of one layer's entry in an export: its `chain`.
const EXPORT_ENTRY_BYTES: usize = 8;

/// Identifies a sequence.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SequenceKey {
    pub(super) request: SmolStr,
    pub(super) attempt: u32,
}

/// Output of a step: a token from a range that ends the model, activations from any other.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum StepOutput {
    Activations(Bytes),
    Token(u32),
}

/// Why a step or an import was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SequenceError {
    Malformed,
    CacheMismatch { held_position: u32 },
}

/// Whether an output was computed by this call or kept from an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    Computed,
    Kept,
}

/// All sequences of an engine.
#[derive(Clone, Debug, Default)]
pub(super) struct Sequences {
    by_key: HashMap<SequenceKey, Sequence>,
}

#[derive(Clone, Debug, Default)]
struct Sequence {
    /// Caches indexed by layer, from layer 0; a layer that isn't held keeps its default.
    layers: Vec<LayerCache>,
    kept_answers: VecDeque<(StepName, StepOutput)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LayerCache {
    /// Position after the last token applied.
    position: u32,
    /// Hash over the layer's inputs for all tokens applied, in order.
    chain: u64,
}

impl Sequences {
    /// Returns the number of sequences held.
    pub(super) fn count(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether a sequence is held.
    pub(super) fn contains(&self, key: &SequenceKey) -> bool {
        self.by_key.contains_key(key)
    }

    /// Frees a sequence.
    pub(super) fn free(&mut self, key: &SequenceKey) {
        self.by_key.remove(key);
    }

    /// Frees all sequences.
    pub(super) fn clear(&mut self) {
        self.by_key.clear();
    }

    /// Applies a step, or returns the kept output if it was applied before.
    ///
    /// Returns [`SequenceError`] if the step is malformed or doesn't begin where the cache ends.
    pub(super) fn apply(
        &mut self,
        step: &Step,
        layer_count: u16,
    ) -> Result<(StepOutput, Origin), SequenceError> {
        let seed = arithmetic::model_seed(&step.model, &step.version);
        let mut values = step_inputs(step, seed)?;
        let sequence = self
            .by_key
            .entry(SequenceKey::from_step_name(&step.name))
            .or_default();
        if let Some((_, output)) = sequence
            .kept_answers
            .iter()
            .find(|(name, _)| *name == step.name)
        {
            return Ok((output.clone(), Origin::Kept));
        }
        let layers = sequence.layers(&step.name.layers);
        if let Some(held_position) = mismatched_position(layers, step.name.position) {
            return Err(SequenceError::CacheMismatch { held_position });
        }
        for value in &mut values {
            for (layer, cache) in (step.name.layers.first..).zip(layers.iter_mut()) {
                *value = arithmetic::apply_layer(seed, layer, &mut cache.chain, *value);
                cache.position += 1;
            }
        }
        let output = step_output(&values, step.name.layers.end == layer_count);
        if sequence.kept_answers.len() == KEPT_ANSWERS_PER_SEQUENCE {
            sequence.kept_answers.pop_front();
        }
        sequence
            .kept_answers
            .push_back((step.name.clone(), output.clone()));
        Ok((output, Origin::Computed))
    }

    /// Exports the caches of a range.
    ///
    /// Returns `None` if the sequence isn't held, the range is empty, or its layers end at
    /// different positions.
    pub(super) fn export(&mut self, name: &KvName) -> Option<KvExport> {
        let sequence = self.by_key.get_mut(&SequenceKey::from_kv_name(name))?;
        let layers = sequence.layers(&name.layers);
        let position = layers.first()?.position;
        if layers.iter().any(|cache| cache.position != position) {
            return None;
        }
        let mut data = BytesMut::with_capacity(layers.len() * EXPORT_ENTRY_BYTES);
        for cache in layers {
            data.put_u64(cache.chain);
        }
        Some(KvExport {
            position,
            data: data.freeze(),
        })
    }

    /// Imports the caches of a range, and overwrites those held.
    ///
    /// Returns [`SequenceError::Malformed`] if the range is empty or the data has the wrong size.
    pub(super) fn import(&mut self, import: &KvImport) -> Result<(), SequenceError> {
        let range = &import.name.layers;
        let count = usize::from(range.end.saturating_sub(range.first));
        let mut data = import.cache.data.clone();
        if count == 0 || data.len() != count * EXPORT_ENTRY_BYTES {
            return Err(SequenceError::Malformed);
        }
        let sequence = self
            .by_key
            .entry(SequenceKey::from_kv_name(&import.name))
            .or_default();
        for cache in sequence.layers(range) {
            cache.position = import.cache.position;
            cache.chain = data.get_u64();
        }
        Ok(())
    }
}

impl Sequence {
    fn layers(&mut self, range: &LayerRange) -> &mut [LayerCache] {
        let end = usize::from(range.end);
        if self.layers.len() < end {
            self.layers.resize(end, LayerCache::default());
        }
        &mut self.layers[usize::from(range.first)..end]
    }
}

impl SequenceKey {
    /// Returns the key of the sequence that a step belongs to.
    pub(super) fn from_step_name(name: &StepName) -> Self {
        Self {
            request: name.request.clone(),
            attempt: name.attempt,
        }
    }

    fn from_kv_name(name: &KvName) -> Self {
        Self {
            request: name.request.clone(),
            attempt: name.attempt,
        }
    }
}

/// Returns a held position that differs from the one at which a step begins, or `None`.
fn mismatched_position(layers: &[LayerCache], position: u32) -> Option<u32> {
    layers
        .iter()
        .map(|cache| cache.position)
        .find(|held| *held != position)
}

/// Returns the input of the first layer of a step for each token.
///
/// Returns [`SequenceError::Malformed`] if the layers or the sizes of the step are inconsistent.
fn step_inputs(step: &Step, seed: u64) -> Result<Vec<u64>, SequenceError> {
    let range = &step.name.layers;
    let count = usize::try_from(step.token_count).unwrap_or(usize::MAX);
    if range.first >= range.end || count == 0 {
        return Err(SequenceError::Malformed);
    }
    if range.first == 0 {
        let embedded = step
            .tokens
            .iter()
            .map(|token| arithmetic::embed(seed, *token));
        return (step.tokens.len() == count)
            .then(|| embedded.collect())
            .ok_or(SequenceError::Malformed);
    }
    if step.activations.len() != count.saturating_mul(ACTIVATION_BYTES) {
        return Err(SequenceError::Malformed);
    }
    let mut data = step.activations.clone();
    Ok((0..count).map(|_| data.get_u64()).collect())
}

fn step_output(values: &[u64], is_last: bool) -> StepOutput {
    if is_last {
        let last = values.last().copied().unwrap_or_default();
        return StepOutput::Token(arithmetic::decode_token(last));
    }
    let mut data = BytesMut::with_capacity(values.len() * ACTIVATION_BYTES);
    for value in values {
        data.put_u64(*value);
    }
    StepOutput::Activations(data.freeze())
}

#[cfg(test)]
mod tests;
