//! Memory of a service's engines for requests, and the part of it that is in use.

use crate::id::{
    Layer,
    LayerRange, //
};

#[cfg(test)]
mod tests;

/// Memory of one engine, as a host knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineMemory {
    /// Index of the engine's data centre.
    pub data_centre: usize,
    /// Layers that the engine holds.
    pub layers: LayerRange,
    /// Memory for requests, in tokens times layers.
    pub capacity_token_layers: f64,
    /// Memory in use by requests of all hosts, in tokens times layers.
    pub used_token_layers: f64,
    /// Whether the engine takes new requests. The requests of one that doesn't, because it is avoided,
    /// count as load of the others, which have to take them over.
    pub is_open: bool,
}

/// Memory of a service for requests, in tokens that pass through all layers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Memory of the engines that take new requests.
    pub total_tokens: f64,
    /// Memory in use. May exceed the total after a loss of engines.
    pub used_tokens: f64,
}

impl Capacity {
    /// Returns the capacity of a service with `layer_count` layers.
    ///
    /// A path stays within one data centre, and may begin in any. The fullest layer of each data
    /// centre therefore bounds what passes there, and the data centres add up.
    ///
    /// Load that it answers: a loss of engines that empties one layer while the others have room. The
    /// used share rises at once, before the requests of the lost engines have moved to others.
    pub fn of(layer_count: Layer, engines: &[EngineMemory]) -> Self {
        let data_centre_count = engines
            .iter()
            .map(|engine| engine.data_centre + 1)
            .max()
            .unwrap_or(0);
        let boundaries = usize::from(layer_count) + 1;
        // What each engine adds from its first layer on, and removes after its last.
        let mut steps = vec![Self::default(); data_centre_count * boundaries];
        for engine in engines {
            let layers = f64::from(engine.layers.count().max(1));
            let used_tokens = engine.used_token_layers / layers;
            let total_tokens = match engine.is_open {
                true => engine.capacity_token_layers / layers,
                false => 0.0,
            };
            let offset = engine.data_centre * boundaries;
            let first = offset + usize::from(engine.layers.first.min(layer_count));
            let end = offset + usize::from(engine.layers.end.min(layer_count));
            steps[first].total_tokens += total_tokens;
            steps[first].used_tokens += used_tokens;
            steps[end].total_tokens -= total_tokens;
            steps[end].used_tokens -= used_tokens;
        }
        let mut sum = Self::default();
        for steps in steps.chunks(boundaries) {
            let mut layer = Self::default();
            let mut fullest: Option<Self> = None;
            for step in &steps[..usize::from(layer_count)] {
                layer.total_tokens = (layer.total_tokens + step.total_tokens).max(0.0);
                layer.used_tokens = (layer.used_tokens + step.used_tokens).max(0.0);
                if fullest.is_none_or(|fullest| layer.used_share() > fullest.used_share()) {
                    fullest = Some(layer);
                }
            }
            if let Some(fullest) = fullest {
                sum.total_tokens += fullest.total_tokens;
                sum.used_tokens += fullest.used_tokens;
            }
        }
        sum
    }

    /// Returns the share of the memory in use, at least 1 without any memory.
    pub fn used_share(&self) -> f64 {
        /// Memory below which a layer counts as lost: less than a token.
        const TOKENS_MIN: f64 = 1.0;
        if self.total_tokens < TOKENS_MIN {
            return f64::INFINITY;
        }
        self.used_tokens / self.total_tokens
    }
}
