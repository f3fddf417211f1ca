//! Prices a node for one request.

use crate::{
    document::Role,
    id::LayerRange, //
};

use super::graph::{
    Graph,
    Node, //
};

/// Requirements of one request on a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Layers that the route must cover.
    pub layers: LayerRange,
    /// Tokens to process before the first answer token.
    pub prompt_tokens: u32,
    /// Expected number of answer tokens.
    pub answer_tokens: u32,
    /// Weight of the time to the first answer token, relative to the time of the other tokens.
    pub urgency: f64,
    /// Kind of work that the engines must accept.
    pub phase: Phase,
}

/// Part of a request that a route serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The prompt, then the answer; an engine with the prefill role transfers its cache after the
    /// prompt.
    Prompt,
    /// Answer tokens.
    Answer,
}

impl Phase {
    /// Returns whether an engine with `role` accepts this work.
    pub fn admits(self, role: Role) -> bool {
        match (self, role) {
            (Self::Prompt, Role::Prefill | Role::Both) => true,
            (Self::Answer, Role::Decode | Role::Both) => true,
            (Self::Prompt, Role::Decode) | (Self::Answer, Role::Prefill) => false,
        }
    }
}

/// Load of a node as known when a route is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Time that the engine needs for one token of every sequence that it hosts, in total.
    pub resident_ns: f64,
    /// Engine time of the steps in its queue.
    pub backlog_ns: f64,
    /// Steps in the queue when the engine last reported.
    pub reported_queue_steps: u32,
    /// Ratio of observed to predicted step time. Invariant: at least 1.
    pub slowdown: f64,
    /// Prompt tokens that are expected to be in the engine's prefix cache.
    pub cached_tokens: u32,
    /// Whether the node may be chosen.
    pub availability: Availability,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            resident_ns: 0.0,
            backlog_ns: 0.0,
            reported_queue_steps: 0,
            slowdown: 1.0,
            cached_tokens: 0,
            availability: Availability::Open,
        }
    }
}

/// Whether a node may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Availability {
    /// May be chosen without restriction.
    Open,
    /// May be chosen only if no route avoids it.
    LastResort,
    /// Must not be chosen.
    Closed,
}

/// Price of a node for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Price {
    /// Fixed part for a hop at the node, independent of its layers.
    pub hop_ns: f64,
    /// Part for each layer that the hop uses.
    pub layer_ns: f64,
}

impl Price {
    const UNAVAILABLE: Self = Self {
        hop_ns: f64::INFINITY,
        layer_ns: f64::INFINITY,
    };

    /// Returns the price of a hop that uses `layer_count` layers.
    pub fn hop_cost_ns(self, layer_count: u16) -> f64 {
        self.hop_ns + f64::from(layer_count) * self.layer_ns
    }

    /// Returns the price multiplied by `factor`.
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            hop_ns: self.hop_ns * factor,
            layer_ns: self.layer_ns * factor,
        }
    }
}

/// Factor on the price of a node of [`Availability::LastResort`]: more expensive than any detour.
const LAST_RESORT_FACTOR: f64 = 1e6;

/// Computes the price of every node for `demand`.
///
/// # Panics
///
/// Panics if `loads` does not have one entry per node.
pub(super) fn prices(
    graph: &Graph,
    loads: &[Load],
    demand: &Demand,
    congestion_weight: f64,
) -> Vec<Price> {
    assert_eq!(
        graph.nodes.len(),
        loads.len(),
        "there must be one load per node"
    );
    let unloaded_token_ns = graph.unloaded_token_ns();
    graph
        .nodes
        .iter()
        .zip(loads)
        .map(|(node, load)| price(node, load, demand, unloaded_token_ns, congestion_weight))
        .collect()
}

/// Computes the price of a node: the predicted time of the request's own steps, plus the delay that
/// its work causes to the sequences already there.
///
/// The second part depends only on the engine's resident load, not on its speed. The choices of
/// many requests therefore converge to equal load on engines that share a layer (derived in
/// docs/design/routing.md).
fn price(
    node: &Node,
    load: &Load,
    demand: &Demand,
    unloaded_token_ns: f64,
    congestion_weight: f64,
) -> Price {
    if !demand.phase.admits(node.role) {
        return Price::UNAVAILABLE;
    }
    let factor = match load.availability {
        Availability::Open => load.slowdown,
        Availability::LastResort => load.slowdown * LAST_RESORT_FACTOR,
        Availability::Closed => return Price::UNAVAILABLE,
    };
    let prompt_tokens = demand.prompt_tokens.saturating_sub(load.cached_tokens);
    let answer_tokens = match node.role {
        Role::Prefill => 0,
        Role::Both | Role::Decode => demand.answer_tokens,
    };
    let work_tokens = demand.urgency * f64::from(prompt_tokens) + f64::from(answer_tokens);
    let steps = f64::from(u32::from(demand.prompt_tokens > 0)) + f64::from(answer_tokens);
    let utilisation = utilisation(load.resident_ns, unloaded_token_ns);
    let wait_ns = 0.5 * load.resident_ns * utilisation.min(1.0);
    let congestion_ns = congestion_weight * load.resident_ns * utilisation * utilisation;
    let transfer_ns =
        (f64::from(demand.prompt_tokens) + f64::from(answer_tokens)) * node.transfer_ns_per_token;
    Price {
        hop_ns: demand.urgency * load.backlog_ns
            + steps * (node.batch_ns + node.round_trip_ns + wait_ns)
            + transfer_ns,
        layer_ns: work_tokens * (node.layer_ns + congestion_ns),
    }
    .scaled(factor)
}

/// Returns the ratio of resident time to the time in which an idle route produces one token. A
/// ratio above 1 means that the engine is the bottleneck of its sequences.
fn utilisation(resident_ns: f64, unloaded_token_ns: f64) -> f64 {
    if unloaded_token_ns <= 0.0 {
        return 0.0;
    }
    resident_ns / unloaded_token_ns
}
