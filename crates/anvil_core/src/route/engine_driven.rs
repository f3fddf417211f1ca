//! Chooses the path of a request whose engines forward it among themselves.
//!
//! The router sends a request once, to the first engine of its path. Each engine of the path needs
//! memory for the request from the first token to the last, so a path is priced by time and by
//! memory. Paths cross between data centres as rarely as possible, since all transfers between two
//! data centres share one link, the pipe.

use crate::{
    engine_model::{
        AcceleratorSpec,
        EngineProfile, //
    },
    id::{
        Layer,
        LayerRange,
        TargetId, //
    },
    residency::{
        self,
        HeldPrefix, //
    },
};

use derive_more::{
    Display,
    Error, //
};

#[cfg(test)]
mod tests;

/// Weight of used memory on a price: a full accelerator adds this many times the price of an empty
/// one.
const MEMORY_WEIGHT: f64 = 4.0;
/// Share of an answer's tokens that are in memory on average, since the answer grows from empty.
const ANSWER_MEMORY_SHARE: f64 = 0.5;
/// Largest share of an engine's request memory that is planned for. It can be close to 1 because
/// answers grow at different times.
const USED_MEMORY_SHARE_MAX: f64 = 0.96;
/// Share of an engine's resident sequences that take part in one pass of the engine over its
/// waiting work; the others are at other engines of their paths.
const PASS_SHARE: f64 = 0.5;
/// Weight of transfer time on the pipe relative to the request's own time, since other requests
/// wait for the pipe too.
const PIPE_WEIGHT: f64 = 8.0;
/// Time that each engine on a path adds to each token: the transfer to it, and the wait for its
/// next pass.
const HOP_MS: f64 = 0.2;
/// Assumed delay between two data centres, added to each token.
const CROSSING_MS: f64 = 0.75;

/// An engine that may be part of a path.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// Target under which the router knows the engine.
    pub target: TargetId,
    /// Index of its data centre, below the `data_centre_count` passed to [`choose`].
    pub data_centre: usize,
    /// Memory and speed of its accelerator.
    pub kind: AcceleratorSpec,
    /// Held layers; a path may use any contiguous part of them.
    pub layers: LayerRange,
    /// Number of requests in flight whose path includes the engine.
    pub sequences: f64,
    /// Memory that these requests use, in tokens times layers.
    pub used_token_layers: f64,
    /// Number of requests in flight whose path begins with the engine.
    pub first_requests: f64,
    /// Ratio of observed to predicted time. Invariant: at least 1.
    pub slowdown: f64,
    /// Expected wait for prefill behind requests that move from lost engines; see
    /// [`displaced`](super::displaced).
    pub prefill_wait_ms: f64,
    /// Whether the engine may be part of a new path.
    pub open: bool,
    /// Whether a path may begin with the engine.
    pub may_be_first: bool,
    /// Prefixes of the request's prompt that the engine is expected to hold, longest first. Empty if
    /// nothing is held or known.
    pub held: Vec<HeldPrefix>,
}

/// Requirements of a request on its path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Number of tokens to prefill.
    pub prompt_tokens: f64,
    /// Expected number of answer tokens.
    pub answer_tokens: f64,
    /// Index of the data centre where the request arrived.
    pub data_centre: usize,
    /// Whether the path may go through several data centres. Otherwise it stays in the data centre
    /// of its first engine.
    pub may_cross: bool,
}

impl Demand {
    /// Returns the number of tokens that the request has in memory at its end.
    pub fn tokens(&self) -> f64 {
        self.prompt_tokens + self.answer_tokens
    }

    /// Returns the number of tokens that the request has in memory on average, since the answer
    /// grows from empty.
    pub fn memory_tokens(&self) -> f64 {
        self.prompt_tokens + ANSWER_MEMORY_SHARE * self.answer_tokens
    }
}

/// One step of a path: a layer range at one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// Index in the slice of workers.
    pub worker: usize,
    /// Layers that the worker applies.
    pub layers: LayerRange,
}

/// A path and its predicted performance.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// The hops. Invariant: they cover the model's layers in order without gaps or overlaps, and no
    /// worker occurs twice.
    pub hops: Vec<Hop>,
    /// Predicted time to the first event of the stream.
    pub first_event_ms: f64,
    /// Predicted time between two events of the stream.
    pub pause_ms: f64,
    /// Largest share of a worker's request memory in use, including this request.
    pub memory_share: f64,
    /// Number of times that the path crosses from one data centre to another.
    pub crossing_count: u32,
    /// Expected number of prompt tokens that need no prefill, as a mean over the model's layers.
    pub saved_tokens: f64,
}

/// Cheapest path to a boundary that ends in one data centre. Each hop is priced independently, so a
/// worker may occur twice; [`trace_back`] merges its hops.
#[derive(Clone, Copy)]
struct Arrival {
    cost_ms: f64,
    worker: usize,
    from_boundary: usize,
    from_data_centre: usize,
}

const UNREACHED: Arrival = Arrival {
    cost_ms: f64::INFINITY,
    worker: usize::MAX,
    from_boundary: 0,
    from_data_centre: 0,
};

/// Error: no path covers all layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("no open worker with room holds layer {reached} after a path up to it")]
pub struct NoPath {
    /// Last layer boundary that some path reaches.
    pub reached: Layer,
}

/// Finds the cheapest path for a new request.
///
/// # Errors
///
/// Returns [`NoPath`] if open workers with enough memory and request slots do not cover all layers.
///
/// `noise` returns a factor near 1 for each worker, so that hosts with the same knowledge do not
/// all choose the same path.
pub fn choose(
    engine: &EngineProfile,
    workers: &[Worker],
    demand: &Demand,
    data_centre_count: usize,
    mut noise: impl FnMut() -> f64,
) -> Result<Path, NoPath> {
    let noise_factors: Vec<f64> = workers.iter().map(|_| noise()).collect();
    let hop_cost_ms = |index: usize, layers: LayerRange| {
        let worker = &workers[index];
        let has_slot = worker.first_requests < f64::from(engine.slot_limit_requests);
        if layers.first == 0 && !(worker.may_be_first && has_slot) {
            return None;
        }
        Some(request_cost_ms(engine, worker, demand, layers)? * noise_factors[index])
    };
    let boundaries = boundaries(engine, workers, &[]);
    search(
        engine,
        workers,
        demand,
        data_centre_count,
        &boundaries,
        hop_cost_ms,
    )
}

/// Finds the cheapest path for a running request that has lost an engine.
///
/// `kept` holds the surviving hops of its path, including the first one. Kept hops need no further
/// memory and no prefill; all other hops prefill every token so far. When engines crash under load,
/// the requests whose paths include them can thus continue without being sent again.
///
/// # Errors
///
/// Returns [`NoPath`] if open workers with enough memory do not fill the gaps between the kept
/// hops.
pub fn repair(
    engine: &EngineProfile,
    workers: &[Worker],
    demand: &Demand,
    data_centre_count: usize,
    kept: &[Hop],
    mut noise: impl FnMut() -> f64,
) -> Result<Path, NoPath> {
    let noise_factors: Vec<f64> = workers.iter().map(|_| noise()).collect();
    let hop_cost_ms = |index: usize, layers: LayerRange| {
        let worker = &workers[index];
        if let Some(hop) = kept.iter().find(|hop| hop.worker == index) {
            let decode_ms =
                demand.answer_tokens * (HOP_MS + step_ms(engine, worker, demand, layers));
            return (hop.layers == layers).then_some(decode_ms);
        }
        if layers.first == 0 {
            return None;
        }
        Some(request_cost_ms(engine, worker, demand, layers)? * noise_factors[index])
    };
    let boundaries = boundaries(engine, workers, kept);
    search(
        engine,
        workers,
        demand,
        data_centre_count,
        &boundaries,
        hop_cost_ms,
    )
}

/// Finds the cheapest path. `hop_cost_ms` returns the cost of a hop at a worker, or `None` to
/// exclude the hop.
fn search(
    engine: &EngineProfile,
    workers: &[Worker],
    demand: &Demand,
    data_centre_count: usize,
    boundaries: &[Layer],
    hop_cost_ms: impl Fn(usize, LayerRange) -> Option<f64>,
) -> Result<Path, NoPath> {
    let last = boundaries.len() - 1;
    let mut arrivals = vec![vec![UNREACHED; data_centre_count]; boundaries.len()];
    for end in 1..=last {
        for start in 0..end {
            let layers = LayerRange {
                first: boundaries[start],
                end: boundaries[end],
            };
            for (index, worker) in workers.iter().enumerate() {
                if !worker.layers.contains(layers) {
                    continue;
                }
                let Some(cost_ms) = hop_cost_ms(index, layers) else {
                    continue;
                };
                let (predecessor_ms, from) = if start == 0 {
                    let entry_crossing_ms = if worker.data_centre == demand.data_centre {
                        0.0
                    } else {
                        CROSSING_MS
                    };
                    (entry_crossing_ms, worker.data_centre)
                } else {
                    cheapest_predecessor(engine, &arrivals[start], worker.data_centre, demand)
                };
                let cost_ms = predecessor_ms + cost_ms;
                let best = &mut arrivals[end][worker.data_centre];
                if cost_ms < best.cost_ms {
                    *best = Arrival {
                        cost_ms,
                        worker: index,
                        from_boundary: start,
                        from_data_centre: from,
                    };
                }
            }
        }
    }
    let hops = trace_back(&arrivals, boundaries).ok_or_else(|| NoPath {
        reached: furthest_reached(&arrivals, boundaries),
    })?;
    assert_covers(engine, workers, &hops);
    Ok(predict(engine, workers, demand, hops))
}

/// Returns the sorted boundaries at which the range of an open worker or a kept hop begins or ends,
/// with both ends of the model.
fn boundaries(engine: &EngineProfile, workers: &[Worker], kept: &[Hop]) -> Vec<Layer> {
    let mut boundaries = vec![0, engine.layer_count];
    for hop in kept {
        boundaries.extend([hop.layers.first, hop.layers.end]);
    }
    for worker in workers.iter().filter(|worker| worker.open) {
        boundaries.push(worker.layers.first.min(engine.layer_count));
        boundaries.push(worker.layers.end.min(engine.layer_count));
    }
    boundaries.sort_unstable();
    boundaries.dedup();
    boundaries
}

/// Returns the lowest cost of reaching a boundary and continuing in `data_centre`, and the data
/// centre in which that path reaches the boundary.
fn cheapest_predecessor(
    engine: &EngineProfile,
    arrivals: &[Arrival],
    data_centre: usize,
    demand: &Demand,
) -> (f64, usize) {
    let mut best = (f64::INFINITY, data_centre);
    for (from, arrival) in arrivals.iter().enumerate() {
        let crossing_ms = if from == data_centre {
            0.0
        } else if demand.may_cross {
            crossing_cost_ms(engine, demand)
        } else {
            f64::INFINITY
        };
        if arrival.cost_ms + crossing_ms < best.0 {
            best = (arrival.cost_ms + crossing_ms, from);
        }
    }
    best
}

/// Returns the cost of one crossing for the whole request.
fn crossing_cost_ms(engine: &EngineProfile, demand: &Demand) -> f64 {
    demand.answer_tokens * CROSSING_MS + PIPE_WEIGHT * demand.tokens() * engine.pipe_time_ms()
}

/// Returns the time of the whole request at one worker, increased by the share of used memory, and the
/// wait for prefill there.
/// Returns `None` if the worker is not open or has too little memory.
fn request_cost_ms(
    engine: &EngineProfile,
    worker: &Worker,
    demand: &Demand,
    layers: LayerRange,
) -> Option<f64> {
    if !worker.open {
        return None;
    }
    if memory_share(engine, worker, demand, layers.count()) > USED_MEMORY_SHARE_MAX {
        return None;
    }
    let time_ms = prefill_ms(engine, worker, demand, layers)
        + demand.answer_tokens * (HOP_MS + step_ms(engine, worker, demand, layers));
    // The factor must not depend on the layers: otherwise a layer range would be cheaper if split
    // into two hops.
    let used_share = memory_share(engine, worker, demand, 0);
    let price_ms = time_ms * (1.0 + MEMORY_WEIGHT * used_share * used_share);
    // The saving is not multiplied: used memory must not make a held prefix more attractive.
    let saving_ms = saving_ms(engine, worker, demand, layers);
    Some(worker.prefill_wait_ms + price_ms - saving_ms)
}

/// Returns the expected number of prompt tokens that need no prefill at a worker, because it holds
/// them, weighed with its memory.
fn saved_tokens(
    engine: &EngineProfile,
    worker: &Worker,
    demand: &Demand,
    layers: LayerRange,
) -> f64 {
    if worker.held.is_empty() {
        return 0.0;
    }
    let tokens = residency::expected_tokens(&worker.held, layers).min(demand.prompt_tokens);
    tokens * residency::memory_factor(memory_share(engine, worker, demand, 0))
}

/// Returns the time that held prompt tokens save at a worker. Never more than [`prefill_ms`].
fn saving_ms(engine: &EngineProfile, worker: &Worker, demand: &Demand, layers: LayerRange) -> f64 {
    let tokens = saved_tokens(engine, worker, demand, layers);
    worker.slowdown * engine.prefill_time_ms(worker.kind, layers.count(), tokens)
}

/// Returns the share of a worker's request memory in use, with this request on `layer_count`
/// layers.
fn memory_share(
    engine: &EngineProfile,
    worker: &Worker,
    demand: &Demand,
    layer_count: Layer,
) -> f64 {
    let capacity = engine.capacity_token_layers(worker.kind, worker.layers.count());
    let needed = worker.used_token_layers + demand.memory_tokens() * f64::from(layer_count);
    if capacity <= 0.0 {
        return f64::INFINITY;
    }
    needed / capacity
}

/// Returns the predicted time of one decode step of the request at a worker.
fn step_ms(engine: &EngineProfile, worker: &Worker, demand: &Demand, layers: LayerRange) -> f64 {
    let sequences = 1.0 + worker.sequences * PASS_SHARE;
    worker.slowdown * engine.step_time_ms(worker.kind, layers.count(), sequences, demand.tokens())
}

/// Returns the predicted time to prefill the request's prompt at a worker.
fn prefill_ms(engine: &EngineProfile, worker: &Worker, demand: &Demand, layers: LayerRange) -> f64 {
    worker.slowdown * engine.prefill_time_ms(worker.kind, layers.count(), demand.prompt_tokens)
}

/// Returns the last boundary that some path reaches.
fn furthest_reached(arrivals: &[Vec<Arrival>], boundaries: &[Layer]) -> Layer {
    let reached =
        |arrivals: &Vec<Arrival>| arrivals.iter().any(|arrival| arrival.cost_ms.is_finite());
    let index = arrivals.iter().rposition(reached).unwrap_or(0);
    boundaries[index]
}

/// Returns the hops of the cheapest path over all layers, or `None` if there is none.
fn trace_back(arrivals: &[Vec<Arrival>], boundaries: &[Layer]) -> Option<Vec<Hop>> {
    let last = boundaries.len() - 1;
    let (mut data_centre, _) = arrivals[last]
        .iter()
        .enumerate()
        .min_by(|left, right| left.1.cost_ms.total_cmp(&right.1.cost_ms))?;
    let mut end = last;
    let mut hops: Vec<Hop> = Vec::new();
    while end > 0 {
        let arrival = arrivals[end][data_centre];
        if !arrival.cost_ms.is_finite() {
            return None;
        }
        let mut layers = LayerRange {
            first: boundaries[arrival.from_boundary],
            end: boundaries[end],
        };
        // If a worker occurs twice, it also holds all layers in between, so its hops are merged.
        if let Some(later_hop) = hops.iter().position(|hop| hop.worker == arrival.worker) {
            layers.end = hops[later_hop].layers.end;
            hops.truncate(later_hop);
        }
        hops.push(Hop {
            worker: arrival.worker,
            layers,
        });
        end = arrival.from_boundary;
        data_centre = arrival.from_data_centre;
    }
    hops.reverse();
    Some(hops)
}

/// Asserts that the hops cover the model's layers in order, each within its worker's range.
fn assert_covers(engine: &EngineProfile, workers: &[Worker], hops: &[Hop]) {
    let mut reached = 0;
    for hop in hops {
        assert_eq!(
            hop.layers.first, reached,
            "hops must cover the layers without gaps or overlaps"
        );
        assert!(
            workers[hop.worker].layers.contains(hop.layers),
            "a worker must hold the layers that it applies"
        );
        reached = hop.layers.end;
    }
    assert_eq!(
        reached, engine.layer_count,
        "hops must reach the last layer"
    );
}

/// Predicts the performance of a path with these hops.
fn predict(engine: &EngineProfile, workers: &[Worker], demand: &Demand, hops: Vec<Hop>) -> Path {
    let mut prefill_total_ms = 0.0;
    let mut longest_wait_ms: f64 = 0.0;
    let mut step_total_ms = 0.0;
    let mut largest_memory_share: f64 = 0.0;
    let mut previous_data_centre = demand.data_centre;
    let mut crossing_count = 0;
    let mut saved_token_layers = 0.0;
    for (index, hop) in hops.iter().enumerate() {
        let worker = &workers[hop.worker];
        prefill_total_ms += prefill_ms(engine, worker, demand, hop.layers)
            - saving_ms(engine, worker, demand, hop.layers);
        saved_token_layers +=
            saved_tokens(engine, worker, demand, hop.layers) * f64::from(hop.layers.count());
        // The waits pass at the same time.
        longest_wait_ms = longest_wait_ms.max(worker.prefill_wait_ms);
        step_total_ms += HOP_MS + step_ms(engine, worker, demand, hop.layers);
        if worker.data_centre != previous_data_centre {
            step_total_ms += CROSSING_MS;
            // The transfer to the first worker carries only the request's text, not activations.
            crossing_count += u32::from(index > 0);
        }
        previous_data_centre = worker.data_centre;
        largest_memory_share =
            largest_memory_share.max(memory_share(engine, worker, demand, hop.layers.count()));
    }
    let pause_ms = f64::from(engine.steps_per_event) * step_total_ms;
    Path {
        hops,
        first_event_ms: longest_wait_ms + prefill_total_ms + pause_ms,
        pause_ms,
        memory_share: largest_memory_share,
        crossing_count,
        saved_tokens: saved_token_layers / f64::from(engine.layer_count.max(1)),
    }
}
