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
    let requests_per_bundle = bundle_requests(engine, accelerators);
    let mut data_centres: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
    for accelerator in accelerators {
        let next_index = data_centres.len();
        data_centres
            .entry(&accelerator.data_centre)
            .or_insert(next_index);
    }
    let mut workers: Vec<Worker> = accelerators
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
                open: true,
                may_be_first: true,
            })
        })
        .collect();
    let data_centre_count = data_centres.len().max(1);
    let mut total_time_ms = 0.0;
    let mut bundle_count = 0;
    let mut refused_count = 0;
    while refused_count < data_centre_count && bundle_count < BUNDLE_COUNT_MAX {
        let demand = Demand {
            prompt_tokens: engine.mean_prompt_tokens,
            answer_tokens: engine.mean_answer_tokens,
            data_centre: (bundle_count + refused_count) % data_centre_count,
            // Layers that a data centre lacks could be run in others, but only at the expense of
            // the pipe that all requests share.
            may_cross: false,
        };
        let Ok(path) = engine_driven::choose(engine, &workers, &demand, data_centre_count, || 1.0)
        else {
            refused_count += 1;
            continue;
        };
        bundle_count += 1;
        let events = demand.answer_tokens / f64::from(engine.steps_per_event.max(1));
        total_time_ms += path.first_event_ms + events * path.pause_ms;
        for (index, hop) in path.hops.iter().enumerate() {
            let worker = &mut workers[hop.worker];
            worker.sequences += requests_per_bundle;
            worker.used_token_layers +=
                requests_per_bundle * demand.memory_tokens() * f64::from(hop.layers.count());
            if index == 0 {
                worker.first_requests += requests_per_bundle;
            }
        }
    }
    if bundle_count == 0 {
        return 0.0;
    }
    let mean_time_s = total_time_ms / 1e3 / bundle_count as f64;
    requests_per_bundle * bundle_count as f64 / mean_time_s
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
