//! Attributes refusals, stalls and pauses of a request to the engines of its path.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    engine_model::EngineProfile,
    id::ServiceId,
    reachability::Belief,
    stall::Evidence, //
};
use tokio::time::Instant;

use crate::{
    gateway::Gateway,
    http1::ConnectError,
    link,
    paths::{
        ChosenPath,
        LIVENESS_WINDOW, //
    },
    plain::THROUGH_PEER_TIMEOUT,
    target::Target, //
};

/// Share of an engine's memory in known use from which on a refusal may be for lack of capacity.
/// What other hosts sent since their last digest is not known.
const MAYBE_FULL_USED_SHARE_MIN: f64 = 0.7;
/// Shortest pause for which the cause is investigated. Shorter ones are in time for callers.
const SLOW_PAUSE_MIN: Duration = Duration::from_millis(150);
/// Ratio of a pause to the predicted one from which on the cause is investigated.
const SLOW_PAUSE_FACTOR_MIN: f64 = 2.0;
/// Shortest interval between two slowdown queries of this host. Peers query other engines and
/// report the result.
const SLOWDOWN_QUERY_INTERVAL: Duration = Duration::from_millis(400);
/// Longest time that the probe of an engine may take: several round trips and the time to accept.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// Longest time that the check of a target after a lost connection may take: a few round trips.
const STATE_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after the last event of a stream within which events of other streams may be of the same
/// pass of the engines.
const SAME_PASS_TIME: Duration = Duration::from_millis(20);

/// Records a refusal, so that the engine at fault is avoided, or the first engine of the path if
/// none is named or the named one is not listed. Returns that engine.
pub fn record_refusal(
    gateway: &Gateway,
    engine: &EngineProfile,
    chosen: &ChosenPath,
    at_fault: Option<SocketAddr>,
) -> Rc<Target> {
    let faulty = at_fault
        .and_then(|address| gateway.targets.by_address(address))
        .unwrap_or_else(|| Rc::clone(chosen.first()));
    let now = Instant::now();
    // An engine whose other requests make progress is alive.
    let is_live = faulty.progressed_since(now - LIVENESS_WINDOW);
    if may_be_full(gateway, engine, &faulty) {
        faulty.record_no_capacity(now);
    } else if is_live {
        faulty.record_refusing(now);
    } else {
        faulty.record_unresponsive(now);
    }
    faulty
}

/// Asks one engine of a path that is slower than predicted for its own slowdown. The pause alone
/// doesn't tell which of the engines is the cause.
pub fn query_slow_engine(gateway: &Gateway, chosen: &ChosenPath, pause: Duration) {
    let predicted = Duration::from_secs_f64(chosen.path.pause_ms / 1e3);
    if pause < SLOW_PAUSE_MIN || pause < predicted.mul_f64(SLOW_PAUSE_FACTOR_MIN) {
        return;
    }
    let now = Instant::now();
    let last_query = gateway.last_slowdown_query.get();
    if last_query.is_some_and(|at| now.duration_since(at) < SLOWDOWN_QUERY_INTERVAL) {
        return;
    }
    let unreported: Vec<&Rc<Target>> = chosen
        .hops
        .iter()
        .map(|hop| &hop.target)
        .filter(|target| target.reported_slowdown(now).is_none())
        .collect();
    let index = (gateway.random_unit() * unreported.len() as f64) as usize;
    let Some(target) = unreported.get(index).map(|target| Rc::clone(target)) else {
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

/// Returns whether the requests that this host knows of may leave no capacity at an engine.
fn may_be_full(gateway: &Gateway, engine: &EngineProfile, target: &Target) -> bool {
    let entry = target.entry.borrow();
    let kind = entry.kind.as_ref().and_then(|kind| engine.kinds.get(kind));
    let (Some(kind), Some((layers, _))) = (kind, entry.layers) else {
        return false;
    };
    let peers_view = gateway.peers_view();
    let load = peers_view
        .loads
        .get(&target.id_hash)
        .copied()
        .unwrap_or_default();
    let used = target.token_layers.get() + load.token_layers;
    used > MAYBE_FULL_USED_SHARE_MIN * engine.capacity_token_layers(*kind, layers.count())
}

/// Returns the engines of a path that have made no progress with any request since `silent_since`.
pub fn silent_engines(
    chosen: &ChosenPath,
    silent_since: Instant,
) -> impl Iterator<Item = &Rc<Target>> {
    let targets = chosen.hops.iter().map(|hop| &hop.target);
    targets.filter(move |target| !target.progressed_since(silent_since + SAME_PASS_TIME))
}

/// Records that a stream went on along another path before this one had an event: the engines without
/// progress are used only where there is no path without them. Silence alone is no reason to avoid an
/// engine, since it may be that of one sequence or of this host.
pub fn record_overtaken(chosen: &ChosenPath, silent_since: Instant) {
    let now = Instant::now();
    for target in silent_engines(chosen, silent_since) {
        target.record_slower(now);
    }
}

/// How many engines of a service carry requests of this host, and how many of these are silent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SilenceExtent {
    /// Number of engines that carry requests of this host.
    pub in_use: usize,
    /// Number of those that made no progress with any of them. Invariant: at most `in_use`.
    pub silent: usize,
}

/// Returns how many engines of a service have been silent since `silent_since`. If all are, the cause
/// lies with this host, or with something that all engines share.
pub fn silence_extent(
    gateway: &Gateway,
    service: &ServiceId,
    silent_since: Instant,
) -> SilenceExtent {
    let targets = gateway.targets.of_service(service);
    let in_use = targets.iter().filter(|target| target.sequences.get() > 0.0);
    let mut extent = SilenceExtent::default();
    for target in in_use {
        extent.in_use += 1;
        extent.silent += usize::from(!target.progressed_since(silent_since + SAME_PASS_TIME));
    }
    extent
}

/// What a new connection shows about a target to which one was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The target accepts connections: only the one of the request was lost.
    Alive,
    /// Nothing listens at its address, or no host reaches a target of its service: its process has
    /// ended.
    Ended,
    /// The connection could not be opened for another reason.
    Unreachable,
}

impl ProcessState {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Ended => "ended",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Finds out by a new connection whether a target to which one was lost is still running. The new one
/// is kept for the next request.
pub async fn check_state(gateway: &Gateway, target: &Target) -> ProcessState {
    let limits = link::Limits {
        direct: STATE_CHECK_TIMEOUT,
        through_peer: THROUGH_PEER_TIMEOUT,
    };
    check_state_within(gateway, target, limits).await
}

/// Returns what is known of each engine of a path whose stream has been silent since `silent_since`:
/// whether it made progress with another stream after that, whether this host or a peer found it
/// unresponsive, or otherwise whether it accepts a connection.
pub async fn probe_path(
    gateway: &Gateway,
    chosen: &ChosenPath,
    silent_since: Instant,
) -> Vec<Evidence> {
    let now = Instant::now();
    let peers_view = gateway.peers_view();
    let probes = chosen.hops.iter().map(|hop| {
        let target = &hop.target;
        let is_avoided =
            target.is_unresponsive(now) || peers_view.avoided.contains_key(&target.id_hash);
        async move {
            if target.progressed_since(silent_since + SAME_PASS_TIME) {
                return Evidence::Alive;
            }
            if is_avoided || target.is_removed.get() {
                return Evidence::Lost;
            }
            let limits = link::Limits {
                direct: PROBE_TIMEOUT,
                through_peer: PROBE_TIMEOUT,
            };
            match check_state_within(gateway, target, limits).await {
                ProcessState::Alive => Evidence::Alive,
                ProcessState::Ended | ProcessState::Unreachable => Evidence::Lost,
            }
        }
    });
    futures::future::join_all(probes).await
}

async fn check_state_within(
    gateway: &Gateway,
    target: &Target,
    limits: link::Limits,
) -> ProcessState {
    let opened = link::open(gateway, target, limits).await;
    let service = target.entry.borrow().service.clone();
    match opened {
        Ok(acquired) => {
            target.pool.release(acquired, None);
            ProcessState::Alive
        }
        Err(ConnectError::Failed { source, .. })
            if source.kind() == std::io::ErrorKind::ConnectionRefused
                && gateway.link.belief(&service) != Belief::Suspect =>
        {
            ProcessState::Ended
        }
        // The targets of a small service may all have ended. If other hosts reach none of them either,
        // this one is not cut off.
        Err(ConnectError::CutOff { .. }) if gateway.tunnels.found_none(&service) => {
            ProcessState::Ended
        }
        Err(_) => ProcessState::Unreachable,
    }
}
