//! Reads back what a pool's engines hold and how busy they are.

use std::{
    collections::HashMap,
    time::Duration, //
};

use anvil_core::{
    document::{
        Document,
        Engine as Properties,
        Holding,
        TargetKind, //
    },
    id::{
        ModelId,
        TargetId, //
    },
    placement::{
        Availability,
        Engine, //
    },
    rendezvous, //
};
use tokio::time::Instant;

use crate::port::{
    self,
    LoadReport,
    TargetAddress, //
};

/// Longest wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// What was ordered and is not yet seen in a report, with the time until which it counts.
pub type PendingOrders = HashMap<TargetId, Vec<(Holding, Instant)>>;

/// A pool as it was read back.
pub struct PoolSnapshot {
    /// Its engines.
    pub engines: Vec<Engine>,
    /// Addresses of the engines.
    pub addresses: HashMap<TargetId, TargetAddress>,
    /// Use of the engines that hold layers of the model.
    pub used_token_layers_per_s: f64,
    /// What they could do.
    pub capacity_token_layers_per_s: f64,
    /// Mean of their queues.
    pub mean_queue_depth_steps: f64,
}

/// Model in whose pool an engine is: that of its first holding in the configuration, or else one
/// that all hosts choose alike.
fn pool_of(document: &Document, target: &TargetId, engine: &Properties) -> Option<ModelId> {
    if let Some(held) = engine.holds.first() {
        return Some(held.model.clone());
    }
    rendezvous::choose(target, document.placements.keys()).cloned()
}

/// Reads back a model's pool.
pub async fn read_back(
    engine_port: &dyn port::Engine,
    document: &Document,
    model_id: &ModelId,
    is_leaving: &(dyn Fn(&TargetId) -> bool + Send + Sync),
    ordered: &PendingOrders,
) -> PoolSnapshot {
    let pool = document
        .targets
        .iter()
        .filter_map(|(id, target)| match &target.kind {
            TargetKind::Engine(engine) => Some((id, target.address, engine)),
            TargetKind::Service { .. } => None,
        })
        .filter(|(id, _, engine)| pool_of(document, id, engine).as_ref() == Some(model_id));
    let reports = pool.map(|(id, address, properties)| async move {
        let address = TargetAddress {
            id: id.clone(),
            address,
        };
        let report = tokio::time::timeout(REPORT_TIMEOUT, engine_port.load_report(&address)).await;
        (address, properties, report.ok().and_then(Result::ok))
    });
    let mut seen = PoolSnapshot {
        engines: Vec::new(),
        addresses: HashMap::new(),
        used_token_layers_per_s: 0.0,
        capacity_token_layers_per_s: 0.0,
        mean_queue_depth_steps: 0.0,
    };
    let mut busy_engines = 0.0;
    for (address, properties, report) in futures::future::join_all(reports).await {
        let is_out = report.as_ref().is_none_or(|report| report.leaving) || is_leaving(&address.id);
        let engine = engine_of(
            document,
            model_id,
            &address,
            properties,
            report.as_ref(),
            ordered,
        );
        if let Some(report) = report.filter(|_| !is_out && !engine.holds.is_empty()) {
            busy_engines += 1.0;
            seen.used_token_layers_per_s += report.rate_token_layers_per_s as f64;
            seen.capacity_token_layers_per_s += 1e9 / properties.layer_time_ns.max(1) as f64;
            seen.mean_queue_depth_steps += f64::from(report.queue_depth_steps);
        }
        seen.engines.push(Engine {
            availability: if is_out {
                Availability::OutOfService
            } else {
                Availability::InService
            },
            ..engine
        });
        seen.addresses.insert(address.id.clone(), address);
    }
    if busy_engines > 0.0 {
        seen.mean_queue_depth_steps /= busy_engines;
    }
    seen
}

fn engine_of(
    document: &Document,
    model_id: &ModelId,
    address: &TargetAddress,
    properties: &Properties,
    report: Option<&LoadReport>,
    ordered: &PendingOrders,
) -> Engine {
    let mut holds = report
        .map(|report| report.holds.clone())
        .unwrap_or_default();
    for (holding, _) in ordered.get(&address.id).into_iter().flatten() {
        if !holds.contains(holding) {
            holds.push(holding.clone());
        }
    }
    let used_bytes = holds
        .iter()
        .filter_map(|held| {
            let model = document.models.get(&held.model)?;
            Some(u64::from(held.layers.count()) * model.weight_bytes_per_layer)
        })
        .sum();
    holds.retain(|held| held.model == *model_id);
    Engine {
        target: address.id.clone(),
        weight_memory_bytes: properties.weight_memory_bytes,
        used_bytes,
        holds,
        fencing: properties.fencing,
        availability: Availability::InService,
    }
}
