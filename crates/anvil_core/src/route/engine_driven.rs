//! Chooses the path of a request whose engines pass it on among themselves.
//!
//! A request is sent once, to the first engine of its path. Each engine of the path needs memory
//! for it from the first token to the last, so that a path is priced by time and by memory, and
//! its data centre changes as seldom as can be: transfers between data centres share one pipe.

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
};

use derive_more::{
    Display,
    Error, //
};

#[cfg(test)]
mod tests;

/// Weight of memory in use on a price: a full accelerator costs this many times an empty one.
const MEMORY_WEIGHT: f64 = 4.0;
/// Share of an answer that counts as memory on average: it grows from nothing.
const MEMORY_ANSWER_SHARE: f64 = 0.5;
/// Largest share of an engine's memory that is given to requests: answers grow at different times.
const MEMORY_SHARE_MAX: f64 = 0.96;
/// Share of an engine's resident sequences that are in one pass; the others are elsewhere on
/// their paths.
const PASS_SHARE: f64 = 0.5;
/// Weight of the pipe's time against the request's own: others wait for it too.
const PIPE_WEIGHT: f64 = 8.0;
/// Time that a further engine on a path adds to each token: the way to it, and the wait for its
/// next pass.
const HOP_MS: f64 = 0.2;
/// Delay assumed between two data centres, for each token.
const CROSSING_MS: f64 = 0.75;

/// An engine that may be part of a path.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// The target.
    pub target: TargetId,
    /// Its data centre, as an index below the count given to [`choose`].
    pub data_centre: usize,
    /// Its accelerator.
    pub kind: AcceleratorSpec,
    /// The layers that it holds; a path may use any run of them.
    pub layers: LayerRange,
    /// Requests in flight on paths through it.
    pub sequences: f64,
    /// Memory that these take, in tokens times layers.
    pub used_token_layers: f64,
    /// Requests in flight of which it is the first engine.
    pub first_requests: f64,
    /// Observed time over the predicted one. Invariant: at least 1.
    pub slowdown: f64,
    /// Whether it may be used at all.
    pub open: bool,
    /// Whether a path may begin with it.
    pub may_be_first: bool,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Tokens to read.
    pub prompt_tokens: f64,
    /// Tokens expected in the answer.
    pub answer_tokens: f64,
    /// Data centre where the request came in.
    pub data_centre: usize,
    /// Whether its path may go through several data centres. Otherwise it stays in the one that it
    /// begins in.
    pub may_cross: bool,
}

impl Demand {
    /// Tokens that the request has in memory at its end.
    pub fn tokens(&self) -> f64 {
        self.prompt_tokens + self.answer_tokens
    }

    /// Tokens that it has in memory on average: the answer grows from nothing.
    pub fn memory_tokens(&self) -> f64 {
        self.prompt_tokens + MEMORY_ANSWER_SHARE * self.answer_tokens
    }
}

/// A visit of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// Index of the worker.
    pub worker: usize,
    /// Layers that it applies.
    pub layers: LayerRange,
}

/// A path with what is predicted of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// The hops. Invariant: they tile the model's layers in order, and no worker comes twice.
    pub hops: Vec<Hop>,
    /// Predicted time to the first event.
    pub first_event_ms: f64,
    /// Predicted pause between two events.
    pub pause_ms: f64,
    /// Largest share of a worker's memory in use, this request included.
    pub memory_share: f64,
    /// Times that it goes from one data centre to another.
    pub crossing_count: u32,
}

/// Cheapest way to a boundary, ending in one data centre. Each visit is priced alone, so that a
/// worker may come twice on it; [`trace_back`] joins its visits.
#[derive(Clone, Copy)]
struct Arrival {
    cost_ms: f64,
    worker: usize,
    from_boundary: usize,
    from_data_centre: usize,
}

const NO_ARRIVAL: Arrival = Arrival {
    cost_ms: f64::INFINITY,
    worker: usize::MAX,
    from_boundary: 0,
    from_data_centre: 0,
};

/// Why there is no path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("no open worker with room holds layer {reached} after a path up to it")]
pub struct NoPath {
    /// Boundary up to which some path leads.
    pub reached: Layer,
}

/// Finds the cheapest path.
///
/// # Errors
///
/// [`NoPath`] where no open workers with room tile the layers.
///
/// `noise` gives a factor near 1 for each worker, so that hosts that know the same do not all
/// choose the same path.
pub fn choose(
    engine: &EngineProfile,
    workers: &[Worker],
    demand: &Demand,
    data_centre_count: usize,
    mut noise: impl FnMut() -> f64,
) -> Result<Path, NoPath> {
    let factors: Vec<f64> = workers.iter().map(|_| noise()).collect();
    let visit_ms = |index: usize, layers: LayerRange| {
        let worker = &workers[index];
        let has_slot = worker.first_requests < f64::from(engine.slot_limit_requests);
        if layers.first == 0 && !(worker.may_be_first && has_slot) {
            return None;
        }
        Some(visit_cost_ms(engine, worker, demand, layers)? * factors[index])
    };
    let boundaries = boundaries(engine, workers, &[]);
    search(
        engine,
        workers,
        demand,
        data_centre_count,
        &boundaries,
        visit_ms,
    )
}

/// Finds the cheapest path for a request that runs already and has lost an engine.
///
/// `kept` are the hops of its path that live, the first one included. Those that the new path
/// visits as before need no room and read nothing again; all others read every token so far.
/// Answers a crash of engines under load: the requests on paths through them go on without a send
/// of their own.
///
/// # Errors
///
/// [`NoPath`] where no open workers with room fill the gaps between the kept hops.
pub fn repair(
    engine: &EngineProfile,
    workers: &[Worker],
    demand: &Demand,
    data_centre_count: usize,
    kept: &[Hop],
    mut noise: impl FnMut() -> f64,
) -> Result<Path, NoPath> {
    let factors: Vec<f64> = workers.iter().map(|_| noise()).collect();
    let visit_ms = |index: usize, layers: LayerRange| {
        let worker = &workers[index];
        if let Some(hop) = kept.iter().find(|hop| hop.worker == index) {
            let writes_ms =
                demand.answer_tokens * (HOP_MS + step_ms(engine, worker, demand, layers));
            return (hop.layers == layers).then_some(writes_ms);
        }
        if layers.first == 0 {
            return None;
        }
        Some(visit_cost_ms(engine, worker, demand, layers)? * factors[index])
    };
    let boundaries = boundaries(engine, workers, kept);
    search(
        engine,
        workers,
        demand,
        data_centre_count,
        &boundaries,
        visit_ms,
    )
}

/// Finds the cheapest path, where `visit_ms` prices a worker's visit or excludes it.
fn search(
    engine: &EngineProfile,
    workers: &[Worker],
    demand: &Demand,
    data_centre_count: usize,
    boundaries: &[Layer],
    visit_ms: impl Fn(usize, LayerRange) -> Option<f64>,
) -> Result<Path, NoPath> {
    let last = boundaries.len() - 1;
    let mut arrivals = vec![vec![NO_ARRIVAL; data_centre_count]; boundaries.len()];
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
                let Some(cost_ms) = visit_ms(index, layers) else {
                    continue;
                };
                let (before_ms, from) = if start == 0 {
                    let entry_ms = if worker.data_centre == demand.data_centre {
                        0.0
                    } else {
                        CROSSING_MS
                    };
                    (entry_ms, worker.data_centre)
                } else {
                    cheapest_before(engine, &arrivals[start], worker.data_centre, demand)
                };
                let cost_ms = before_ms + cost_ms;
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
        reached: furthest(&arrivals, boundaries),
    })?;
    assert_tiles(engine, workers, &hops);
    Ok(predict(engine, workers, demand, hops))
}

/// Every boundary at which a worker's range or a kept hop begins or ends, with both ends of the
/// model.
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

fn cheapest_before(
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

fn crossing_cost_ms(engine: &EngineProfile, demand: &Demand) -> f64 {
    demand.answer_tokens * CROSSING_MS + PIPE_WEIGHT * demand.tokens() * engine.pipe_time_ms()
}

/// Time of a whole request at one worker, made dearer by memory in use; nothing where there is no
/// room.
fn visit_cost_ms(
    engine: &EngineProfile,
    worker: &Worker,
    demand: &Demand,
    layers: LayerRange,
) -> Option<f64> {
    if !worker.open {
        return None;
    }
    if memory_share(engine, worker, demand, layers.count()) > MEMORY_SHARE_MAX {
        return None;
    }
    let time_ms = read_ms(engine, worker, demand, layers)
        + demand.answer_tokens * (HOP_MS + step_ms(engine, worker, demand, layers));
    // The factor does not depend on the layers, so that a run is not cheaper in two parts.
    let used_share = memory_share(engine, worker, demand, 0);
    Some(time_ms * (1.0 + MEMORY_WEIGHT * used_share * used_share))
}

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

fn step_ms(engine: &EngineProfile, worker: &Worker, demand: &Demand, layers: LayerRange) -> f64 {
    let sequences = 1.0 + worker.sequences * PASS_SHARE;
    worker.slowdown * engine.step_time_ms(worker.kind, layers.count(), sequences, demand.tokens())
}

fn read_ms(engine: &EngineProfile, worker: &Worker, demand: &Demand, layers: LayerRange) -> f64 {
    worker.slowdown * engine.prefill_time_ms(worker.kind, layers.count(), demand.prompt_tokens)
}

/// The last boundary that some path reaches.
fn furthest(arrivals: &[Vec<Arrival>], boundaries: &[Layer]) -> Layer {
    let reached =
        |arrivals: &Vec<Arrival>| arrivals.iter().any(|arrival| arrival.cost_ms.is_finite());
    let index = arrivals.iter().rposition(reached).unwrap_or(0);
    boundaries[index]
}

fn trace_back(arrivals: &[Vec<Arrival>], boundaries: &[Layer]) -> Option<Vec<Hop>> {
    let last = boundaries.len() - 1;
    let (mut data_centre, _) = arrivals[last]
        .iter()
        .enumerate()
        .min_by(|left, right| left.1.cost_ms.total_cmp(&right.1.cost_ms))?;
    let mut at = last;
    let mut hops: Vec<Hop> = Vec::new();
    while at > 0 {
        let arrival = arrivals[at][data_centre];
        if !arrival.cost_ms.is_finite() {
            return None;
        }
        let mut layers = LayerRange {
            first: boundaries[arrival.from_boundary],
            end: boundaries[at],
        };
        // A worker that comes twice holds what lies between as well, and must come once.
        if let Some(again) = hops.iter().position(|hop| hop.worker == arrival.worker) {
            layers.end = hops[again].layers.end;
            hops.truncate(again);
        }
        hops.push(Hop {
            worker: arrival.worker,
            layers,
        });
        at = arrival.from_boundary;
        data_centre = arrival.from_data_centre;
    }
    hops.reverse();
    Some(hops)
}

fn assert_tiles(engine: &EngineProfile, workers: &[Worker], hops: &[Hop]) {
    let mut reached = 0;
    for hop in hops {
        assert_eq!(hop.layers.first, reached, "hops must tile the layers");
        assert!(
            workers[hop.worker].layers.contains(hop.layers),
            "a worker holds what it applies"
        );
        reached = hop.layers.end;
    }
    assert_eq!(
        reached, engine.layer_count,
        "hops must reach the last layer"
    );
}

fn predict(engine: &EngineProfile, workers: &[Worker], demand: &Demand, hops: Vec<Hop>) -> Path {
    let mut read = 0.0;
    let mut step = 0.0;
    let mut share: f64 = 0.0;
    let mut previous = demand.data_centre;
    let mut crossing_count = 0;
    for (index, hop) in hops.iter().enumerate() {
        let worker = &workers[hop.worker];
        read += read_ms(engine, worker, demand, hop.layers);
        step += HOP_MS + step_ms(engine, worker, demand, hop.layers);
        if worker.data_centre != previous {
            step += CROSSING_MS;
            // The way to the first worker carries the request's text alone.
            crossing_count += u32::from(index > 0);
        }
        previous = worker.data_centre;
        share = share.max(memory_share(engine, worker, demand, hop.layers.count()));
    }
    let pause_ms = f64::from(engine.steps_per_event) * step;
    Path {
        hops,
        first_event_ms: read + pause_ms,
        pause_ms,
        memory_share: share,
        crossing_count,
    }
}
