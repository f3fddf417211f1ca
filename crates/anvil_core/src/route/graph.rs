//! Graph of the engines that hold one model, as stated by the configuration.

use crate::{
    document::{
        Engine,
        Model,
        Role, //
    },
    id::{
        Layer,
        LayerRange,
        TargetId, //
    },
};

use super::{
    cost::{
        Demand,
        Load,
        Phase,
        prices, //
    },
    path::shortest,
};

/// One layer range that one engine holds, with the engine's costs in nanoseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Engine that holds the range; it may have several nodes.
    pub target: TargetId,
    /// Held layers; a step may use any contiguous part of them.
    pub layers: LayerRange,
    /// Role that decides which work the engine accepts.
    pub role: Role,
    /// Time to apply one layer to one token.
    pub layer_ns: f64,
    /// Fixed time of one batch, independent of its size.
    pub batch_ns: f64,
    /// Round-trip delay of the engine's link.
    pub round_trip_ns: f64,
    /// Time to transfer the activation of one token over the link in both directions.
    pub transfer_ns_per_token: f64,
}

impl Node {
    /// Creates the node of an engine that holds `layers` of `model`. A bandwidth of 0 means that
    /// transfers take no time.
    pub fn new(
        target: &TargetId,
        engine: &Engine,
        model: &Model,
        layers: LayerRange,
        role: Role,
    ) -> Self {
        let round_trip_bytes = 2.0 * f64::from(model.activation_bytes_per_token);
        let transfer_ns_per_token = match engine.link_bandwidth_bytes_per_s {
            0 => 0.0,
            bandwidth_bytes_per_s => round_trip_bytes * 1e9 / bandwidth_bytes_per_s as f64,
        };
        Self {
            target: target.clone(),
            layers,
            role,
            layer_ns: engine.layer_time_ns.max(1) as f64,
            batch_ns: engine.batch_time_us as f64 * 1e3,
            round_trip_ns: 2e3 * engine.link_delay_us as f64,
            transfer_ns_per_token,
        }
    }

    /// Returns the time of a step on the idle engine, including transfers in both directions.
    pub fn unloaded_step_ns(&self, layer_count: u16, token_count: u32) -> f64 {
        let tokens = f64::from(token_count);
        self.batch_ns
            + self.round_trip_ns
            + tokens * (f64::from(layer_count) * self.layer_ns + self.transfer_ns_per_token)
    }
}

/// The engines that hold one model version.
#[derive(Clone, Debug)]
pub struct Graph {
    /// Number of the model's layers. Invariant: above 0.
    pub layer_count: Layer,
    /// One node for each layer range that an engine holds. Invariant: each range lies within
    /// `0..layer_count`.
    pub nodes: Vec<Node>,
    /// Sorted boundaries at which the range of a node begins or ends, with 0 and `layer_count`.
    boundaries: Vec<Layer>,
    /// Time of one answer token over the fastest idle route; 0 if there is no route.
    unloaded_token_ns: f64,
}

impl Graph {
    /// Creates a graph. Nodes whose range ends beyond the model's layers are left out.
    pub fn new(layer_count: Layer, nodes: impl IntoIterator<Item = Node>) -> Self {
        let nodes: Vec<Node> = nodes
            .into_iter()
            .filter(|node| node.layers.end <= layer_count)
            .collect();
        let mut boundaries: Vec<Layer> = nodes
            .iter()
            .flat_map(|node| [node.layers.first, node.layers.end])
            .chain([0, layer_count])
            .collect();
        boundaries.sort_unstable();
        boundaries.dedup();
        let mut graph = Self {
            layer_count,
            nodes,
            boundaries,
            unloaded_token_ns: 0.0,
        };
        graph.unloaded_token_ns = graph.fastest_idle_token_ns();
        graph
    }

    /// Returns the range of all the model's layers, or `None` for a model without layers.
    pub fn layers(&self) -> Option<LayerRange> {
        LayerRange::new(0, self.layer_count)
    }

    /// Returns the time of one answer token over the fastest idle route, or 0 if there is no route.
    pub fn unloaded_token_ns(&self) -> f64 {
        self.unloaded_token_ns
    }

    /// Returns both ends of `layers` and every boundary between them, in order.
    pub(super) fn boundaries_within(&self, layers: LayerRange) -> Vec<Layer> {
        let inner_boundaries = self
            .boundaries
            .iter()
            .copied()
            .filter(|&boundary| layers.first < boundary && boundary < layers.end);
        std::iter::once(layers.first)
            .chain(inner_boundaries)
            .chain([layers.end])
            .collect()
    }

    fn fastest_idle_token_ns(&self) -> f64 {
        let Some(layers) = self.layers() else {
            return 0.0;
        };
        let demand = Demand {
            layers,
            prompt_tokens: 0,
            answer_tokens: 1,
            urgency: 1.0,
            phase: Phase::Answer,
        };
        let idle = vec![Load::default(); self.nodes.len()];
        let prices = prices(self, &idle, &demand, 0.0);
        shortest(self, &prices, layers).map_or(0.0, |path| path.cost_ns)
    }
}
