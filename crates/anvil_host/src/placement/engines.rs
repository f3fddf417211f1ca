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

/// Longest wait for one load report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Load orders that no report may show yet, by target, with the time until which each of them
/// counts as carried out.
pub type PendingOrders = HashMap<TargetId, Vec<(Holding, Instant)>>;

/// State of a pool as it was read back.
pub struct PoolSnapshot {
    /// Engines of the pool, in service or not.
    pub engines: Vec<Engine>,
    /// Addresses of the engines, by target.
    pub addresses: HashMap<TargetId, TargetAddress>,
    /// Total reported rate of the engines in service that hold layers of the model.
    pub used_token_layers_per_s: f64,
    /// Total rate that these engines could reach.
    pub capacity_token_layers_per_s: f64,
    /// Mean queue length of these engines, or 0 if there are none.
    pub mean_queue_depth_steps: f64,
}

/// Returns the model in whose pool an engine is: that of its first holding in the configuration, or
/// otherwise one chosen by rendezvous hashing, so that all hosts choose the same one. Returns
/// `None` if no model is placed.
fn pool_model(document: &Document, target: &TargetId, engine: &Properties) -> Option<ModelId> {
    if let Some(holding) = engine.holds.first() {
        return Some(holding.model.clone());
    }
    rendezvous::choose(target, document.placements.keys()).cloned()
}

/// Reads back a model's pool. An engine without a report is out of service.
pub async fn read_back(
    engine_port: &dyn port::Engine,
    document: &Document,
    model_id: &ModelId,
    is_leaving: &(dyn Fn(&TargetId) -> bool + Send + Sync),
    pending_orders: &PendingOrders,
) -> PoolSnapshot {
    let pool = document
        .targets
        .iter()
        .filter_map(|(id, target)| match &target.kind {
            TargetKind::Engine(engine) => Some((id, target.address, engine)),
            TargetKind::Service { .. } => None,
        })
        .filter(|(id, _, engine)| pool_model(document, id, engine).as_ref() == Some(model_id));
    let reports = pool.map(|(id, address, properties)| async move {
        let address = TargetAddress {
            id: id.clone(),
            address,
        };
        let report = tokio::time::timeout(REPORT_TIMEOUT, engine_port.load_report(&address)).await;
        (address, properties, report.ok().and_then(Result::ok))
    });
    let mut snapshot = PoolSnapshot {
        engines: Vec::new(),
        addresses: HashMap::new(),
        used_token_layers_per_s: 0.0,
        capacity_token_layers_per_s: 0.0,
        mean_queue_depth_steps: 0.0,
    };
    let mut serving_engines = 0.0;
    for (address, properties, report) in futures::future::join_all(reports).await {
        let is_out_of_service =
            report.as_ref().is_none_or(|report| report.leaving) || is_leaving(&address.id);
        let engine = engine_state(
            document,
            model_id,
            &address,
            properties,
            report.as_ref(),
            pending_orders,
        );
        if let Some(report) = report.filter(|_| !is_out_of_service && !engine.holds.is_empty()) {
            serving_engines += 1.0;
            snapshot.used_token_layers_per_s += report.rate_token_layers_per_s as f64;
            snapshot.capacity_token_layers_per_s += 1e9 / properties.layer_time_ns.max(1) as f64;
            snapshot.mean_queue_depth_steps += f64::from(report.queue_depth_steps);
        }
        snapshot.engines.push(Engine {
            availability: if is_out_of_service {
                Availability::OutOfService
            } else {
                Availability::InService
            },
            ..engine
        });
        snapshot.addresses.insert(address.id.clone(), address);
    }
    if serving_engines > 0.0 {
        snapshot.mean_queue_depth_steps /= serving_engines;
    }
    snapshot
}

fn engine_state(
    document: &Document,
    model_id: &ModelId,
    address: &TargetAddress,
    properties: &Properties,
    report: Option<&LoadReport>,
    pending_orders: &PendingOrders,
) -> Engine {
    let mut holds = report
        .map(|report| report.holds.clone())
        .unwrap_or_default();
    for (holding, _) in pending_orders.get(&address.id).into_iter().flatten() {
        if !holds.contains(holding) {
            holds.push(holding.clone());
        }
    }
    let used_bytes = holds
        .iter()
        .filter_map(|holding| {
            let model = document.models.get(&holding.model)?;
            Some(u64::from(holding.layers.count()) * model.weight_bytes_per_layer)
        })
        .sum();
    holds.retain(|holding| holding.model == *model_id);
    Engine {
        target: address.id.clone(),
        weight_memory_bytes: properties.weight_memory_bytes,
        used_bytes,
        holds,
        fencing: properties.fencing,
        availability: Availability::InService,
    }
}
