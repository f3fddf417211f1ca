//! Request rates that a layout sustains, computed with the same performance model and the same
//! choice of paths that requests are routed with.

use std::collections::BTreeMap;

use crate::{
    engine_model::EngineProfile,
    id::DataCentreId,
    route::engine_driven::{
        self,
        Demand,
        Worker, //
    },
};

use super::{
    Accelerator,
    Layout, //
};

/// Number of request bundles into which half of the accelerators' memory is divided. Fewer bundles
/// are less precise; more take longer to compute.
const BUNDLE_COUNT: f64 = 64.0;
/// Number of bundles after which the simulation ends even if there is free memory.
const BUNDLE_COUNT_MAX: usize = 256;

/// Returns the requests per second that a layout sustains if every data centre receives the same
/// number: the requests that fit into memory at once, divided by the mean time for which they stay.
/// `lost` holds the indices of accelerators that are excluded.
pub fn rate_per_s(
    engine: &EngineProfile,
    accelerators: &[Accelerator],
    layout: &Layout,
    lost: &[usize],
) -> f64 {
    let mut simulation = Simulation::new(engine, accelerators, layout, lost);
    loop {
        if let Some(rate_per_s) = simulation.advance() {
            return rate_per_s;
        }
    }
}

/// Computes the rate of a layout, one path at a time, so that a caller with other work can pause.
#[derive(Debug)]
pub struct Simulation<'a> {
    engine: &'a EngineProfile,
    /// Accelerators that hold layers, with the load of the bundles so far.
    workers: Vec<Worker>,
    data_centre_count: usize,
    requests_per_bundle: f64,
    total_time_ms: f64,
    bundle_count: usize,
    /// Bundles for which there was no path. The simulation ends when there was none for as many as
    /// there are data centres.
    refused_count: usize,
}

impl<'a> Simulation<'a> {
    /// Starts with accelerators that serve no requests. `lost` holds the indices of those that are
    /// excluded.
    pub fn new(
        engine: &'a EngineProfile,
        accelerators: &[Accelerator],
        layout: &Layout,
        lost: &[usize],
    ) -> Self {
        let mut data_centres: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
        for accelerator in accelerators {
            let next_index = data_centres.len();
            data_centres
                .entry(&accelerator.data_centre)
                .or_insert(next_index);
        }
        let workers = accelerators
            .iter()
            .enumerate()
            .filter(|(index, _)| !lost.contains(index))
            .filter_map(|(_, accelerator)| {
                Some(Worker {
                    target: accelerator.target.clone(),
                    data_centre: data_centres[&accelerator.data_centre],
                    kind: accelerator.kind,
                    layers: *layout.get(&accelerator.target)?,
                    sequences: 0.0,
                    used_token_layers: 0.0,
                    first_requests: 0.0,
                    slowdown: 1.0,
                    prefill_wait_ms: 0.0,
                    open: true,
                    may_be_first: true,
                    held: Vec::new(),
                })
            })
            .collect();
        Self {
            engine,
            workers,
            data_centre_count: data_centres.len().max(1),
            requests_per_bundle: bundle_requests(engine, accelerators),
            total_time_ms: 0.0,
            bundle_count: 0,
            refused_count: 0,
        }
    }

    /// Computes the path of one more bundle of requests. Returns the requests per second once no
    /// further bundle fits.
    pub fn advance(&mut self) -> Option<f64> {
        if self.refused_count >= self.data_centre_count || self.bundle_count >= BUNDLE_COUNT_MAX {
            return Some(self.rate_per_s());
        }
        let engine = self.engine;
        let demand = Demand {
            prompt_tokens: engine.mean_prompt_tokens,
            answer_tokens: engine.mean_answer_tokens,
            data_centre: (self.bundle_count + self.refused_count) % self.data_centre_count,
            // Layers that a data centre lacks could be run in others, but only at the expense of
            // the pipe that all requests share.
            may_cross: false,
        };
        let path = engine_driven::choose(
            engine,
            &self.workers,
            &demand,
            self.data_centre_count,
            || 1.0,
        );
        let Ok(path) = path else {
            self.refused_count += 1;
            return None;
        };
        self.bundle_count += 1;
        let events = demand.answer_tokens / f64::from(engine.steps_per_event.max(1));
        self.total_time_ms += path.first_event_ms + events * path.pause_ms;
        for (index, hop) in path.hops.iter().enumerate() {
            let worker = &mut self.workers[hop.worker];
            worker.sequences += self.requests_per_bundle;
            worker.used_token_layers +=
                self.requests_per_bundle * demand.memory_tokens() * f64::from(hop.layers.count());
            if index == 0 {
                worker.first_requests += self.requests_per_bundle;
            }
        }
        None
    }

    fn rate_per_s(&self) -> f64 {
        if self.bundle_count == 0 {
            return 0.0;
        }
        let mean_time_s = self.total_time_ms / 1e3 / self.bundle_count as f64;
        self.requests_per_bundle * self.bundle_count as f64 / mean_time_s
    }
}

/// Returns the number of requests in one bundle: half of those that would fit if all memory were
/// free of weights, divided by the number of bundles; at least 1.
fn bundle_requests(engine: &EngineProfile, accelerators: &[Accelerator]) -> f64 {
    let memory_token_layers: f64 = accelerators
        .iter()
        .map(|accelerator| engine.capacity_token_layers(accelerator.kind, 0))
        .sum();
    let layers = f64::from(engine.layer_count.max(1));
    let tokens_per_request = (engine.mean_prompt_tokens + engine.mean_answer_tokens).max(1.0);
    (memory_token_layers / layers / tokens_per_request / BUNDLE_COUNT / 2.0).max(1.0)
}
