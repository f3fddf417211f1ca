//! Performance model of the engines that forward requests among themselves: memory capacity, and
//! the time of steps, prefill and transfers.
//!
//! An engine holds a range of a model's layers on one accelerator. It works in passes, each over
//! all waiting work. The time of a pass grows with the fraction of the model's layers that it runs
//! and with the number of sequences in it.

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

/// Bytes in a megabyte: operators state memory in decimal megabytes.
const MEGABYTE_BYTES: f64 = 1e6;
/// Number of context tokens that `step_ms_per_context_unit` refers to.
const CONTEXT_UNIT_TOKENS: f64 = 1000.0;

/// Memory and speed of one kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AcceleratorSpec {
    /// Memory for layer weights and requests.
    pub memory_megabytes: f64,
    /// Factor on the time of a decode step.
    pub step_factor: f64,
    /// Factor on the time of prefill.
    pub prefill_factor: f64,
}

/// Parameters of the performance model for one service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Model that the engines hold.
    pub model: ModelId,
    /// Number of the model's layers.
    pub layer_count: Layer,
    /// Memory for the weights of one layer.
    pub layer_megabytes: f64,
    /// Memory for the key-value cache of one token, over all layers.
    pub kv_token_bytes: f64,
    /// Largest number of concurrent requests whose path begins at one engine.
    pub slot_limit_requests: u32,
    /// Fixed time of one decode step over all layers.
    pub step_ms: f64,
    /// Time that each sequence adds to a decode step over all layers.
    pub step_ms_per_sequence: f64,
    /// Time that each sequence adds to a decode step over all layers for each 1,000 tokens of its
    /// context.
    pub step_ms_per_context_unit: f64,
    /// Prefill rate over all layers.
    pub prefill_tokens_per_s: f64,
    /// Decode steps between two events of a stream.
    pub steps_per_event: u32,
    /// Time to load the whole model.
    pub load_time: Duration,
    /// Number of loads that can run concurrently without slowing each other down.
    pub loads_at_once: u32,
    /// Mean length of a prompt.
    pub mean_prompt_tokens: f64,
    /// Mean length of an answer.
    pub mean_answer_tokens: f64,
    /// Bytes transferred for one token between two engines of a path.
    pub activation_bytes: f64,
    /// Bandwidth of the pipe: the link that all transfers between two data centres share. 0 means
    /// that transfers take no time.
    pub pipe_megabits_per_s: f64,
    /// Accelerator kinds that the engines run on, by name.
    pub kinds: HashMap<AcceleratorKind, AcceleratorSpec>,
}

impl EngineProfile {
    /// Returns the range of all the model's layers.
    pub fn all_layers(&self) -> LayerRange {
        LayerRange {
            first: 0,
            end: self.layer_count,
        }
    }

    /// Returns the largest number of layers whose weights fit into an accelerator's memory.
    pub fn layers_max(&self, kind: AcceleratorSpec) -> Layer {
        let layers = (kind.memory_megabytes / self.layer_megabytes).floor();
        // The cast saturates if the quotient is negative or too large.
        (layers as Layer).min(self.layer_count)
    }

    /// Returns the memory that remains for requests beside the weights of `layer_count` layers, in
    /// tokens times layers.
    pub fn capacity_token_layers(&self, kind: AcceleratorSpec, layer_count: Layer) -> f64 {
        let remaining_megabytes =
            kind.memory_megabytes - f64::from(layer_count) * self.layer_megabytes;
        let token_layer_bytes = self.kv_token_bytes / f64::from(self.layer_count.max(1));
        (remaining_megabytes * MEGABYTE_BYTES / token_layer_bytes).max(0.0)
    }

    /// Returns the total context, in tokens, that concurrent requests can have on an accelerator
    /// that holds `layer_count` layers and runs all of them for each request.
    pub fn capacity_tokens(&self, kind: AcceleratorSpec, layer_count: Layer) -> f64 {
        if layer_count == 0 {
            return 0.0;
        }
        self.capacity_token_layers(kind, layer_count) / f64::from(layer_count)
    }

    /// Returns the time of one decode step over `layer_count` layers in a pass of `sequences`
    /// sequences, each with `context_tokens` tokens of context.
    pub fn step_time_ms(
        &self,
        kind: AcceleratorSpec,
        layer_count: Layer,
        sequences: f64,
        context_tokens: f64,
    ) -> f64 {
        let per_sequence_ms = self.step_ms_per_sequence
            + self.step_ms_per_context_unit * context_tokens / CONTEXT_UNIT_TOKENS;
        self.layer_fraction(layer_count)
            * kind.step_factor
            * (self.step_ms + sequences * per_sequence_ms)
    }

    /// Returns the time to prefill a prompt over `layer_count` layers.
    pub fn prefill_time_ms(
        &self,
        kind: AcceleratorSpec,
        layer_count: Layer,
        prompt_tokens: f64,
    ) -> f64 {
        let tokens_per_ms = (self.prefill_tokens_per_s / 1e3).max(f64::MIN_POSITIVE);
        self.layer_fraction(layer_count) * kind.prefill_factor * prompt_tokens / tokens_per_ms
    }

    /// Returns the time to transfer one token over the pipe between two data centres, or 0 if the
    /// pipe has no stated bandwidth.
    pub fn pipe_time_ms(&self) -> f64 {
        if self.pipe_megabits_per_s <= 0.0 {
            return 0.0;
        }
        self.activation_bytes * 8.0 / (self.pipe_megabits_per_s * 1e3)
    }

    fn layer_fraction(&self, layer_count: Layer) -> f64 {
        f64::from(layer_count) / f64::from(self.layer_count.max(1))
    }
}
