//! Rates that a layout sustains, by the same model and the same choice of paths that requests meet.

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

/// Bundles of requests with which the cards are filled: fewer are coarse, more take longer.
const BUNDLES: f64 = 64.0;
/// Bundles after which the filling ends even if there is room.
const BUNDLES_MAX: usize = 256;

/// Requests a second that a layout sustains when every data centre gets the same number: those
/// that fit at once, over the time for which they stay. `lost` are the indices of cards that are
/// gone.
pub fn rate_per_s(
    engine: &EngineProfile,
    accelerators: &[Accelerator],
    layout: &Layout,
    lost: &[usize],
) -> f64 {
    let bundle = bundle_requests(engine, accelerators);
    let mut data_centres: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
    for accelerator in accelerators {
        let next = data_centres.len();
        data_centres.entry(&accelerator.data_centre).or_insert(next);
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
    let count = data_centres.len().max(1);
    let mut time_ms = 0.0;
    let mut bundles = 0;
    let mut refused = 0;
    while refused < count && bundles < BUNDLES_MAX {
        let demand = Demand {
            prompt_tokens: engine.mean_prompt_tokens,
            answer_tokens: engine.mean_answer_tokens,
            data_centre: (bundles + refused) % count,
            // What a data centre lacks, others replace at the price of the pipe that all share.
            may_cross: false,
        };
        let Ok(path) = engine_driven::choose(engine, &workers, &demand, count, || 1.0) else {
            refused += 1;
            continue;
        };
        bundles += 1;
        let events = demand.answer_tokens / f64::from(engine.steps_per_event.max(1));
        time_ms += path.first_event_ms + events * path.pause_ms;
        for (index, hop) in path.hops.iter().enumerate() {
            let worker = &mut workers[hop.worker];
            worker.sequences += bundle;
            worker.used_token_layers +=
                bundle * demand.memory_tokens() * f64::from(hop.layers.count());
            if index == 0 {
                worker.first_requests += bundle;
            }
        }
    }
    if bundles == 0 {
        return 0.0;
    }
    let mean_time_s = time_ms / 1e3 / bundles as f64;
    bundle * bundles as f64 / mean_time_s
}

/// Requests of one bundle: a part of those that would fit if the cards held one copy of the model.
fn bundle_requests(engine: &EngineProfile, accelerators: &[Accelerator]) -> f64 {
    let memory: f64 = accelerators
        .iter()
        .map(|accelerator| engine.capacity_token_layers(accelerator.kind, 0))
        .sum();
    let layers = f64::from(engine.layer_count.max(1));
    let tokens = (engine.mean_prompt_tokens + engine.mean_answer_tokens).max(1.0);
    (memory / layers / tokens / BUNDLES / 2.0).max(1.0)
}
