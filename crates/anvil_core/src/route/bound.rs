//! Upper bound on the token rate that a model's engines can sustain.
//!
//! With `x(e, l)` the rate at which engine `e` applies layer `l`, the constraints are
//! `sum over e of x(e, l) = rate` for each layer, `sum over l of x(e, l) * time(e) <= 1` for each
//! engine and `x(e, l) <= link(e)` for the engine's link. The largest rate that satisfies them is
//! found by bisection, with a maximum flow from layers to engines at each rate. Hops, batching and
//! integrality can only lower the rate that is reached (see docs/design/routing.md).

use std::collections::VecDeque;

use crate::id::TargetId;

use super::graph::{
    Graph,
    Node, //
};

/// Width of the bisection interval, relative to its upper end, at which the bisection stops.
const RELATIVE_PRECISION: f64 = 1e-4;

/// Residual capacity below which an arc counts as full, relative to the tested rate.
const RELATIVE_FLOW_TOLERANCE: f64 = 1e-9;

/// Computes the bound in tokens per second, for batches of at most `batch_limit_tokens` tokens.
pub fn bound_tokens_per_s(graph: &Graph, batch_limit_tokens: u32) -> f64 {
    let Some(layers) = graph.layers() else {
        return 0.0;
    };
    let segments: Vec<(u16, u16)> = graph
        .boundaries_within(layers)
        .windows(2)
        .map(|pair| (pair[0], pair[1]))
        .collect();
    let problem = Problem::new(graph, &segments, batch_limit_tokens);
    let mut low = 0.0;
    let mut high: f64 = problem.capacity.iter().sum::<f64>() / f64::from(graph.layer_count);
    if high <= 0.0 {
        return 0.0;
    }
    while high - low > high * RELATIVE_PRECISION {
        let middle = 0.5 * (low + high);
        if problem.is_feasible(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    0.5 * (low + high)
}

/// A transportation problem: segments of layers have demand, and engines have capacity.
struct Problem {
    /// Number of layers in each segment.
    layer_counts: Vec<f64>,
    /// Layer applications per second that each engine can sustain.
    capacity: Vec<f64>,
    /// Tokens per second that each engine's link can carry in one direction.
    link: Vec<f64>,
    /// Indices of the engines that hold each segment.
    holders: Vec<Vec<usize>>,
}

impl Problem {
    fn new(graph: &Graph, segments: &[(u16, u16)], batch_limit_tokens: u32) -> Self {
        let batch_limit = f64::from(batch_limit_tokens.max(1));
        let mut targets: Vec<&TargetId> = graph.nodes.iter().map(|node| &node.target).collect();
        targets.sort_unstable();
        targets.dedup();
        let nodes_of = |target: &TargetId| -> Vec<&Node> {
            let of_target = |node: &&Node| node.target == *target;
            graph.nodes.iter().filter(of_target).collect()
        };
        let engines: Vec<Vec<&Node>> = targets.into_iter().map(nodes_of).collect();
        let holders = segments.iter().map(|&(first, end)| {
            let holds = |node: &&Node| node.layers.first <= first && end <= node.layers.end;
            (0..engines.len())
                .filter(|&engine| engines[engine].iter().any(holds))
                .collect()
        });
        Self {
            layer_counts: segments
                .iter()
                .map(|&(first, end)| f64::from(end - first))
                .collect(),
            capacity: engines
                .iter()
                .map(|nodes| capacity(nodes, batch_limit))
                .collect(),
            link: engines.iter().map(|nodes| link(nodes)).collect(),
            holders: holders.collect(),
        }
    }

    /// Returns whether the engines can sustain `rate` tokens per second, by augmenting paths.
    fn is_feasible(&self, rate: f64) -> bool {
        let mut flow = Flow {
            problem: self,
            rate,
            assigned: vec![vec![0.0; self.capacity.len()]; self.layer_counts.len()],
            used: vec![0.0; self.capacity.len()],
        };
        (0..self.layer_counts.len()).all(|segment| flow.assign_demand(segment))
    }
}

/// Returns the layer applications per second that one engine can sustain.
///
/// A token takes part in at least one batch of the engine, which can apply all held layers to it.
/// Each layer application thus bears at least the fixed batch time divided by the largest number of
/// tokens in a batch and by the number of held layers.
fn capacity(nodes: &[&Node], batch_limit: f64) -> f64 {
    let layer_count: f64 = nodes
        .iter()
        .map(|node| f64::from(node.layers.count()))
        .sum();
    let batch_ns = nodes[0].batch_ns / batch_limit / layer_count;
    1e9 / (nodes[0].layer_ns + batch_ns)
}

/// Returns the tokens per second that an engine's link carries in one direction, each with its
/// activation; infinite if transfers take no time.
fn link(nodes: &[&Node]) -> f64 {
    let one_way_ns = 0.5 * nodes[0].transfer_ns_per_token;
    if one_way_ns <= 0.0 {
        return f64::INFINITY;
    }
    1e9 / one_way_ns
}

/// A flow from segments to engines, built up one segment at a time.
struct Flow<'a> {
    problem: &'a Problem,
    rate: f64,
    /// Layer applications per second assigned, by segment and engine.
    assigned: Vec<Vec<f64>>,
    /// Layer applications per second assigned, by engine.
    used: Vec<f64>,
}

impl Flow<'_> {
    /// Assigns the whole demand of a segment to engines; returns false if capacity is missing.
    fn assign_demand(&mut self, segment: usize) -> bool {
        let demand = self.rate * self.problem.layer_counts[segment];
        let mut missing = demand;
        while missing > demand * RELATIVE_FLOW_TOLERANCE {
            let increase = self.augment(segment, missing);
            if increase <= demand * RELATIVE_FLOW_TOLERANCE {
                return false;
            }
            missing -= increase;
        }
        true
    }

    /// Increases the flow along a shortest augmenting path from `source`, found by breadth-first
    /// search over segments, by at most `limit`. Returns the increase, or 0 if there is no such
    /// path.
    fn augment(&mut self, source: usize, limit: f64) -> f64 {
        let segment_count = self.assigned.len();
        let tolerance = self.rate * RELATIVE_FLOW_TOLERANCE;
        // For each segment, the engine through which it was reached and the segment before it.
        let mut predecessors: Vec<Option<(usize, usize)>> = vec![None; segment_count];
        let mut visited_engines = vec![false; self.used.len()];
        let mut queue = VecDeque::from([source]);
        while let Some(segment) = queue.pop_front() {
            for &engine in &self.problem.holders[segment] {
                if visited_engines[engine] || self.residual_link(segment, engine) <= tolerance {
                    continue;
                }
                visited_engines[engine] = true;
                if self.problem.capacity[engine] - self.used[engine] > tolerance {
                    return self.push(source, segment, engine, &predecessors, limit);
                }
                for (other, predecessor) in predecessors.iter_mut().enumerate() {
                    let carries = self.assigned[other][engine] > tolerance;
                    if carries && other != source && predecessor.is_none() {
                        *predecessor = Some((engine, segment));
                        queue.push_back(other);
                    }
                }
            }
        }
        0.0
    }

    /// Returns the flow that an engine's link can still carry for a segment.
    fn residual_link(&self, segment: usize, engine: usize) -> f64 {
        let limit = self.problem.link[engine] * self.problem.layer_counts[segment];
        limit - self.assigned[segment][engine]
    }

    /// Increases the flow along the path from `source` to `last` and its `engine`, by the smallest
    /// residual capacity on the path and at most `limit`. Returns the increase.
    fn push(
        &mut self,
        source: usize,
        last: usize,
        engine: usize,
        predecessors: &[Option<(usize, usize)>],
        limit: f64,
    ) -> f64 {
        let residual_engine = self.problem.capacity[engine] - self.used[engine];
        let mut amount = limit
            .min(residual_engine)
            .min(self.residual_link(last, engine));
        let mut segment = last;
        while segment != source {
            let Some((through, before)) = predecessors[segment] else {
                break;
            };
            amount = amount
                .min(self.assigned[segment][through])
                .min(self.residual_link(before, through));
            segment = before;
        }
        self.assigned[last][engine] += amount;
        self.used[engine] += amount;
        let mut segment = last;
        while segment != source {
            let Some((through, before)) = predecessors[segment] else {
                break;
            };
            self.assigned[segment][through] -= amount;
            self.assigned[before][through] += amount;
            segment = before;
        }
        amount
    }
}
