//! What refusals, stalls and pauses of a request say of the engines of its path.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use anvil_core::engine_model::EngineProfile;
use tokio::time::Instant;

use crate::{
    gateway::Gateway,
    paths::{
        ChosenPath,
        LIVENESS_WINDOW, //
    },
    target::Target, //
};

/// Share of an engine's memory in known use from which on a refusal may be for want of room: what
/// other hosts sent since their last word is not known.
const MAYBE_FULL_SHARE: f64 = 0.7;
/// Pause from which on the cause is looked for: shorter ones are in time for callers.
const SLOW_PAUSE_MIN: Duration = Duration::from_millis(150);
/// Pause over the predicted one from which on the cause is looked for.
const SLOW_PAUSE_FACTOR: f64 = 2.0;
/// Time between two such questions of this host; peers ask others, and tell.
const SLOW_ASK_PERIOD: Duration = Duration::from_millis(400);
/// Engines of a stalled path that may be blamed together.
const SUSPECTS_MAX: usize = 2;

/// Notes a refusal: the engine at fault is avoided, or the first where none is named. Gives that
/// engine.
pub fn record_refusal(
    gateway: &Gateway,
    engine: &EngineProfile,
    chosen: &ChosenPath,
    at_fault: Option<SocketAddr>,
) -> Rc<Target> {
    let fault = at_fault
        .and_then(|address| gateway.targets.by_address(address))
        .unwrap_or_else(|| Rc::clone(chosen.first()));
    let now = Instant::now();
    // An engine whose other requests go on is not out of order.
    let is_live = fault.progressed_since(now - LIVENESS_WINDOW);
    if may_be_full(gateway, engine, &fault, now) {
        fault.record_no_capacity(now);
    } else if is_live {
        fault.record_refusing(now);
    } else {
        fault.record_unresponsive(now);
    }
    fault
}

/// Asks one engine of a path that is slower than predicted how slow it is itself: the pause alone
/// does not tell which of them is the cause.
pub fn query_slow_engine(gateway: &Gateway, chosen: &ChosenPath, pause: Duration) {
    let predicted = Duration::from_secs_f64(chosen.path.pause_ms / 1e3);
    if pause < SLOW_PAUSE_MIN || pause < predicted.mul_f64(SLOW_PAUSE_FACTOR) {
        return;
    }
    let now = Instant::now();
    let was_asked = gateway.last_slowdown_query.get();
    if was_asked.is_some_and(|at| now.duration_since(at) < SLOW_ASK_PERIOD) {
        return;
    }
    let unknown: Vec<&Rc<Target>> = chosen
        .hops
        .iter()
        .map(|hop| &hop.target)
        .filter(|target| target.reported_slowdown(now).is_none())
        .collect();
    let index = (gateway.random_unit() * unknown.len() as f64) as usize;
    let Some(target) = unknown.get(index).map(|target| Rc::clone(target)) else {
        return;
    };
    gateway.last_slowdown_query.set(Some(now));
    let orders = Rc::clone(&gateway.platform.orders);
    tokio::task::spawn_local(async move {
        match orders.report(&target.id, target.address()).await {
            Ok(state) => {
                let slowdown = state.slowdown.unwrap_or(1.0);
                target.record_reported_slowdown(Instant::now(), slowdown);
                spdlog::info!("target.speed", kv: {
                    target = target.id.as_str(),
                    slowdown,
                    pause_ms = pause.as_millis() as u64,
                    predicted_ms = predicted.as_millis() as u64,
                });
            }
            Err(error) => {
                spdlog::warn!("target.speed_unknown", kv: { target = target.id.as_str(), error: });
            }
        }
    });
}

/// Whether the requests that this host knows of may leave no room at an engine.
fn may_be_full(gateway: &Gateway, engine: &EngineProfile, target: &Target, now: Instant) -> bool {
    let entry = target.entry.borrow();
    let kind = entry.kind.as_ref().and_then(|kind| engine.kinds.get(kind));
    let (Some(kind), Some((layers, _))) = (kind, entry.layers) else {
        return false;
    };
    let peers = gateway.peers.borrow().loads(now);
    let load = peers.get(&target.id_hash).copied().unwrap_or_default();
    let used = target.token_layers.get() + load.token_layers;
    used > MAYBE_FULL_SHARE * engine.capacity_token_layers(*kind, layers.count())
}

/// Notes a stall: engines that showed no progress with other requests a moment ago either are
/// avoided. Where these are many, most of them are sound, and none is named to other hosts.
pub fn record_stall(chosen: &ChosenPath) {
    let now = Instant::now();
    let suspects: Vec<&Rc<Target>> = chosen
        .hops
        .iter()
        .map(|hop| &hop.target)
        .filter(|target| !target.progressed_since(now - LIVENESS_WINDOW))
        .collect();
    let is_certain = suspects.len() <= SUSPECTS_MAX;
    for target in suspects {
        if is_certain {
            target.record_unresponsive(now);
        } else {
            target.record_failure(now);
        }
    }
}
