//! Computes shortest routes over layer boundaries.

use crate::id::{
    Layer,
    LayerRange, //
};

use super::{
    cost::Price,
    graph::Graph, //
};

/// One step of a route: a layer range at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Hop {
    /// Index of the node in the graph.
    pub node: usize,
    /// Layers that the node applies.
    pub layers: LayerRange,
}

/// A route: hops that together cover a layer range without gaps or overlaps.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// The hops in order. Invariant: the first begins at the start of the requested range, each
    /// further one where the previous one ends, and the last ends at the end of the range.
    pub hops: Vec<Hop>,
    /// Sum of the prices of all hops.
    pub cost_ns: f64,
}

/// Cheapest route to a boundary: its cost, the node of its last hop, and the index of the boundary
/// where that hop begins.
#[derive(Clone, Copy)]
struct Arrival {
    cost_ns: f64,
    node: usize,
    start: usize,
}

impl Arrival {
    const UNREACHED: Self = Self {
        cost_ns: f64::INFINITY,
        node: usize::MAX,
        start: usize::MAX,
    };
}

/// Finds the cheapest route that covers `layers`, or returns `None` if there is none. Takes time
/// proportional to nodes times boundaries.
pub(super) fn shortest(graph: &Graph, prices: &[Price], layers: LayerRange) -> Option<Path> {
    let boundaries = graph.boundaries_within(layers);
    let arrivals = arrivals(graph, prices, &boundaries);
    let last = boundaries.len() - 1;
    if !arrivals[last].cost_ns.is_finite() {
        return None;
    }
    let path = Path {
        hops: trace_back(&arrivals, &boundaries),
        cost_ns: arrivals[last].cost_ns,
    };
    assert_covers(&path.hops, layers);
    Some(path)
}

/// Computes the cheapest route to each boundary.
fn arrivals(graph: &Graph, prices: &[Price], boundaries: &[Layer]) -> Vec<Arrival> {
    let mut arrivals = vec![Arrival::UNREACHED; boundaries.len()];
    arrivals[0].cost_ns = 0.0;
    // For each node, the cheapest route to the current boundary whose last hop is at that node.
    let mut ending_at_node = vec![Arrival::UNREACHED; graph.nodes.len()];
    for segment in 0..boundaries.len() - 1 {
        let (first, end) = (boundaries[segment], boundaries[segment + 1]);
        let start_cost_ns = arrivals[segment].cost_ns;
        let mut best = Arrival::UNREACHED;
        for (index, node) in graph.nodes.iter().enumerate() {
            if node.layers.first > first || node.layers.end < end {
                continue;
            }
            let price = prices[index];
            let arrival = &mut ending_at_node[index];
            if start_cost_ns + price.hop_ns < arrival.cost_ns {
                *arrival = Arrival {
                    cost_ns: start_cost_ns + price.hop_ns,
                    node: index,
                    start: segment,
                };
            }
            arrival.cost_ns += f64::from(end - first) * price.layer_ns;
            if arrival.cost_ns < best.cost_ns {
                best = *arrival;
            }
        }
        arrivals[segment + 1] = best;
    }
    arrivals
}

/// Returns the hops of the cheapest route to the last boundary, which must be reachable.
fn trace_back(arrivals: &[Arrival], boundaries: &[Layer]) -> Vec<Hop> {
    let mut hops = Vec::new();
    let mut end = boundaries.len() - 1;
    while end > 0 {
        let Arrival { node, start, .. } = arrivals[end];
        let layers = LayerRange {
            first: boundaries[start],
            end: boundaries[end],
        };
        hops.push(Hop { node, layers });
        end = start;
    }
    hops.reverse();
    hops
}

/// Asserts that the hops cover `layers` in order without gaps or overlaps.
fn assert_covers(hops: &[Hop], layers: LayerRange) {
    let mut reached = layers.first;
    for hop in hops {
        assert_eq!(
            hop.layers.first, reached,
            "hops must cover the layers without gaps or overlaps"
        );
        assert!(
            hop.layers.first < hop.layers.end,
            "a hop must apply at least one layer"
        );
        reached = hop.layers.end;
    }
    assert_eq!(reached, layers.end, "hops must reach the last layer");
}

/// Returns the cost of `hops` under `prices`.
pub(super) fn cost_ns(hops: &[Hop], prices: &[Price]) -> f64 {
    hops.iter()
        .map(|hop| prices[hop.node].hop_cost_ns(hop.layers.count()))
        .sum()
}
