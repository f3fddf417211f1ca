//! Figures of the model engines that drive a pipeline themselves, and what follows from them.
//!
//! An engine holds a range of a model's layers on one accelerator. It works in passes over all
//! work that waits; the time of a pass grows with the share of the layers that it runs and with
//! the sequences in it.

use std::{
    collections::HashMap,
    time::Duration, //
};

use crate::id::{
    AcceleratorKind,
    Layer,
    LayerRange,
    ModelId, //
};

#[cfg(test)]
pub(crate) mod tests;

/// Bytes of a megabyte, as operators state memory.
const MEGABYTE_BYTES: f64 = 1e6;
/// Tokens of the unit in which the cost of context is stated.
const CONTEXT_UNIT_TOKENS: f64 = 1000.0;

/// An accelerator kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AcceleratorSpec {
    /// Memory for layers and requests.
    pub memory_megabytes: f64,
    /// Factor on the time of a token step.
    pub step_factor: f64,
    /// Factor on the time of reading prompts.
    pub prefill_factor: f64,
}

/// Figures of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// The model.
    pub model: ModelId,
    /// Layers of the model.
    pub layer_count: Layer,
    /// Memory of one layer's weights.
    pub layer_megabytes: f64,
    /// Memory that one token of a request takes over all layers.
    pub kv_token_bytes: f64,
    /// Requests that an engine runs at once as the first of a path.
    pub slot_limit_requests: u32,
    /// Time of one token step over all layers.
    pub step_ms: f64,
    /// Time that each sequence adds to a step.
    pub step_ms_per_sequence: f64,
    /// Time that each sequence adds to a step for each 1,000 tokens of its context.
    pub step_ms_per_context_unit: f64,
    /// Rate at which prompts are read over all layers.
    pub prefill_tokens_per_s: f64,
    /// Token steps between two events of a stream.
    pub steps_per_event: u32,
    /// Time to load the whole model.
    pub load_time: Duration,
    /// Loads that run at once without slowing one another.
    pub loads_at_once: u32,
    /// Mean prompt.
    pub mean_prompt_tokens: f64,
    /// Mean answer.
    pub mean_answer_tokens: f64,
    /// Bytes that a token takes between two engines of a path.
    pub activation_bytes: f64,
    /// Bandwidth that all transfers between two data centres share.
    pub pipe_megabits_per_s: f64,
    /// Accelerator kinds.
    pub kinds: HashMap<AcceleratorKind, AcceleratorSpec>,
}

impl EngineProfile {
    /// The whole model.
    pub fn all_layers(&self) -> LayerRange {
        LayerRange {
            first: 0,
            end: self.layer_count,
        }
    }

    /// Most layers that an accelerator's memory holds.
    pub fn layers_max(&self, kind: AcceleratorSpec) -> Layer {
        let layers = (kind.memory_megabytes / self.layer_megabytes).floor();
        // A negative or huge figure saturates.
        (layers as Layer).min(self.layer_count)
    }

    /// Memory left for requests beside `layer_count` layers, in tokens times layers.
    pub fn capacity_token_layers(&self, kind: AcceleratorSpec, layer_count: Layer) -> f64 {
        let free_megabytes = kind.memory_megabytes - f64::from(layer_count) * self.layer_megabytes;
        let token_layer_bytes = self.kv_token_bytes / f64::from(self.layer_count.max(1));
        (free_megabytes * MEGABYTE_BYTES / token_layer_bytes).max(0.0)
    }

    /// Tokens of context that requests can have at once on an accelerator that holds, and runs
    /// for each of them, `layer_count` layers.
    pub fn capacity_tokens(&self, kind: AcceleratorSpec, layer_count: Layer) -> f64 {
        if layer_count == 0 {
            return 0.0;
        }
        self.capacity_token_layers(kind, layer_count) / f64::from(layer_count)
    }

    /// Time of one token step over `layer_count` layers in a pass of `sequences`, each with
    /// `context_tokens`.
    pub fn step_time_ms(
        &self,
        kind: AcceleratorSpec,
        layer_count: Layer,
        sequences: f64,
        context_tokens: f64,
    ) -> f64 {
        let per_sequence_ms = self.step_ms_per_sequence
            + self.step_ms_per_context_unit * context_tokens / CONTEXT_UNIT_TOKENS;
        self.share(layer_count) * kind.step_factor * (self.step_ms + sequences * per_sequence_ms)
    }

    /// Time to read a prompt over `layer_count` layers.
    pub fn prefill_time_ms(
        &self,
        kind: AcceleratorSpec,
        layer_count: Layer,
        prompt_tokens: f64,
    ) -> f64 {
        let tokens_per_ms = (self.prefill_tokens_per_s / 1e3).max(f64::MIN_POSITIVE);
        self.share(layer_count) * kind.prefill_factor * prompt_tokens / tokens_per_ms
    }

    /// Time that one token takes on the pipe between two data centres.
    pub fn pipe_time_ms(&self) -> f64 {
        if self.pipe_megabits_per_s <= 0.0 {
            return 0.0;
        }
        self.activation_bytes * 8.0 / (self.pipe_megabits_per_s * 1e3)
    }

    fn share(&self, layer_count: Layer) -> f64 {
        f64::from(layer_count) / f64::from(self.layer_count.max(1))
    }
}
