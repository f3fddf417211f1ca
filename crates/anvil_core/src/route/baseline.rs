//! Simple policies that measurements compare the router with.

use rand::{
    Rng,
    RngExt, //
};

use crate::id::{
    Layer,
    LayerRange, //
};

use super::{
    choose::Choice,
    cost::{
        Availability,
        Demand,
        Load, //
    },
    graph::Graph,
    path::{
        Hop,
        Path, //
    },
};

/// Chooses at each boundary the next node in turn of those that hold the layer there, with all
/// layers that it holds from there on. Returns `None` if some layer has no available node.
pub fn round_robin(graph: &Graph, loads: &[Load], demand: &Demand, turn: u64) -> Option<Choice> {
    cover_layers(graph, loads, demand, |candidates| {
        let count = candidates.len() as u64;
        candidates[usize::try_from(turn % count).unwrap_or(0)]
    })
}

/// Draws at each boundary two of the nodes that hold the layer there, and chooses the one that
/// reported the shorter queue, with all layers that it holds from there on. Returns `None` if some
/// layer has no available node.
pub fn random_of_two(
    graph: &Graph,
    loads: &[Load],
    demand: &Demand,
    rng: &mut impl Rng,
) -> Option<Choice> {
    cover_layers(graph, loads, demand, |candidates| {
        let first = candidates[rng.random_range(0..candidates.len())];
        let second = candidates[rng.random_range(0..candidates.len())];
        match loads[second].reported_queue_steps < loads[first].reported_queue_steps {
            true => second,
            false => first,
        }
    })
}

/// Covers the demanded layers from first to last, with the node that `pick` selects at each
/// boundary. Returns `None` if some layer has no available node.
fn cover_layers(
    graph: &Graph,
    loads: &[Load],
    demand: &Demand,
    mut pick: impl FnMut(&[usize]) -> usize,
) -> Option<Choice> {
    let mut hops = Vec::new();
    let mut boundary = demand.layers.first;
    while boundary < demand.layers.end {
        let candidates = candidates(graph, loads, demand, boundary)?;
        let node = pick(&candidates);
        let end = graph.nodes[node].layers.end.min(demand.layers.end);
        let layers = LayerRange::new(boundary, end)?;
        hops.push(Hop { node, layers });
        boundary = end;
    }
    let path = Path { hops, cost_ns: 0.0 };
    Some(Choice {
        path,
        runner_up: None,
    })
}

/// Returns the nodes that hold the layer at `boundary`: those of last resort only if there are no
/// open ones, and `None` if there are neither.
fn candidates(
    graph: &Graph,
    loads: &[Load],
    demand: &Demand,
    boundary: Layer,
) -> Option<Vec<usize>> {
    let of = |availability| -> Vec<usize> {
        (0..graph.nodes.len())
            .filter(|&index| {
                let node = &graph.nodes[index];
                node.layers.first <= boundary
                    && boundary < node.layers.end
                    && demand.phase.admits(node.role)
                    && loads[index].availability == availability
            })
            .collect()
    };
    [Availability::Open, Availability::LastResort]
        .into_iter()
        .map(of)
        .find(|candidates| !candidates.is_empty())
}
