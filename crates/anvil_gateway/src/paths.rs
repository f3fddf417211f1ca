//! Paths of engines for streams, chosen from what this host knows of the targets.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    engine_model::EngineProfile,
    id::{
        Layer,
        LayerRange, //
    },
    route::engine_driven::{
        self,
        Demand,
        NoPath,
        Path,
        Worker, //
    }, //
};
use derive_more::Display;
use tokio::time::Instant;

use crate::{
    exchange::RequestContext,
    gateway::Gateway,
    port::Stage,
    target::Target, //
};

/// Largest relative change of a price at random, so that hosts that know the same spread out.
const NOISE: f64 = 0.15;
/// What is added to it where no other host is heard of.
const NOISE_UNHEARD: f64 = 0.6;
/// Shortest and longest time after which a caller may return where there was no room.
const RETRY_MIN: Duration = Duration::from_millis(300);
const RETRY_MAX: Duration = Duration::from_millis(1200);

/// Most hosts that were never heard of that are taken to do as this one does: where one cut off from
/// all counted more, its few requests would seem to fill the engines.
const UNHEARD_HOSTS_MAX: usize = 40;
/// Index of this host's data centre among those of the engines.
const OWN_DATA_CENTRE: usize = 0;
/// Share of an engine's memory from which on it counts as full in the log.
const FULL_SHARE: f64 = 0.9;
/// Age up to which progress of a request proves that a target lives, against a peer that avoids it.
pub(crate) const LIVENESS_WINDOW: Duration = Duration::from_millis(300);

/// Largest share of a service's engines that are avoided on the word of peers: where more look
/// silent, the cause lies elsewhere.
const PEER_AVOIDED_SHARE_MAX: f64 = 0.15;

/// Largest share of a service's engines that are avoided because they refuse requests of peers: some
/// must be left while many are replaced.
const PEER_REFUSING_SHARE_MAX: f64 = 0.3;

/// A visit of a path.
#[derive(Clone, Debug)]
pub struct Hop {
    /// The engine.
    pub target: Rc<Target>,
    /// Layers that it applies.
    pub layers: LayerRange,
}

/// A path with what is predicted of it.
#[derive(Clone, Debug)]
pub struct ChosenPath {
    /// The engines in order. Invariant: not empty.
    pub hops: Vec<Hop>,
    /// What is predicted.
    pub path: Path,
}

impl ChosenPath {
    /// The engine that the request is sent to.
    pub fn first(&self) -> &Rc<Target> {
        &self.hops[0].target
    }

    /// The path as the request names it.
    pub fn stages(&self) -> Vec<Stage> {
        self.hops
            .iter()
            .map(|hop| Stage {
                address: hop.target.address(),
                layers: hop.layers,
            })
            .collect()
    }

    /// The engine of the path that listens at an address.
    pub fn target_at(&self, address: SocketAddr) -> Option<Rc<Target>> {
        let hop = self
            .hops
            .iter()
            .find(|hop| hop.target.address() == address)?;
        Some(Rc::clone(&hop.target))
    }

    /// The path for a log line.
    pub fn to_log_string(&self) -> String {
        let hop = |hop: &Hop| format!("{}={}", hop.target.id, hop.layers);
        self.hops.iter().map(hop).collect::<Vec<_>>().join(",")
    }

    /// Notes that events came along the path.
    pub fn record_progress(&self, now: Instant, since: Instant, is_first: bool) {
        let predicted_ms = match is_first {
            true => self.path.first_event_ms,
            false => self.path.pause_ms,
        };
        let observed_ms = now.duration_since(since).as_secs_f64() * 1e3;
        for hop in &self.hops {
            hop.target.record_progress(now);
            if !is_first {
                hop.target.record_slowdown_sample(observed_ms, predicted_ms);
            }
        }
    }

    /// Whether every engine of the path made progress with some request a moment ago. Progress since
    /// the last event of one stream proves nothing: another one's may have come just after it.
    pub fn are_all_live(&self) -> bool {
        let since = Instant::now() - LIVENESS_WINDOW;
        self.hops
            .iter()
            .all(|hop| hop.target.progressed_since(since))
    }
}

/// What a request needs.
pub fn demand(request: &RequestContext<'_>, engine: &EngineProfile) -> Demand {
    let limit = f64::from(request.metadata.answer_limit_tokens);
    let expected = request
        .metadata
        .answer_expected_tokens
        .map_or(engine.mean_answer_tokens, f64::from);
    Demand {
        prompt_tokens: f64::from(request.metadata.prompt_tokens),
        answer_tokens: expected.min(limit.max(1.0)),
        data_centre: OWN_DATA_CENTRE,
        may_cross: false,
    }
}

/// Why there is no path, for the log.
#[derive(Clone, Copy, Debug, Display)]
#[display(
    "no path beyond layer {reached}: {workers} engines hold layers, {closed} closed, {full} of the others full"
)]
pub struct Blocked {
    /// Boundary up to which some path leads.
    reached: Layer,
    /// Engines that hold layers.
    workers: usize,
    /// Those that are avoided or left out.
    closed: usize,
    /// Those of the others whose memory is nearly full.
    full: usize,
}

impl Blocked {
    fn new(no_path: NoPath, engine: &EngineProfile, workers: &[Worker]) -> Self {
        let is_full = |worker: &&Worker| {
            let capacity = engine.capacity_token_layers(worker.kind, worker.layers.count());
            worker.open && worker.used_token_layers > FULL_SHARE * capacity
        };
        Self {
            reached: no_path.reached,
            workers: workers.len(),
            closed: workers.iter().filter(|worker| !worker.open).count(),
            full: workers.iter().filter(is_full).count(),
        }
    }
}

/// What a request has tried.
pub struct PriorAttempts<'a> {
    /// First engines that it was sent to; once these are as many as it may be sent to, only they
    /// can be first again.
    pub used: &'a [Rc<Target>],
    /// Engines that failed it: they are left out where there is a path without them.
    pub failed: &'a [Rc<Target>],
}

/// Chooses a path for a request.
pub fn choose(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    engine: &EngineProfile,
    tried: &PriorAttempts<'_>,
) -> Result<ChosenPath, Blocked> {
    choose_without(gateway, request, engine, tried, tried.failed).or_else(|blocked| {
        if tried.failed.is_empty() {
            return Err(blocked);
        }
        choose_without(gateway, request, engine, tried, &[])
    })
}

fn choose_without(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    engine: &EngineProfile,
    tried: &PriorAttempts<'_>,
    left_out: &[Rc<Target>],
) -> Result<ChosenPath, Blocked> {
    let seen = Seen::now(gateway, request, engine, tried, left_out);
    let path = within_or_across(gateway, request, engine, |demand| {
        engine_driven::choose(
            engine,
            &seen.workers,
            demand,
            seen.data_centre_count,
            || noise(gateway, seen.unheard_share),
        )
    })
    .map_err(|no_path| Blocked::new(no_path, engine, &seen.workers))?;
    Ok(seen.chosen(path))
}

/// Chooses a path on which a request that runs along `chosen` can go on without the engines `lost`:
/// the first engine stays, and so do the others that live.
pub fn choose_repair(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    engine: &EngineProfile,
    chosen: &ChosenPath,
    lost: &[Rc<Target>],
) -> Result<ChosenPath, Blocked> {
    let tried = PriorAttempts {
        used: &[],
        failed: lost,
    };
    let seen = Seen::now(gateway, request, engine, &tried, lost);
    let is_lost = |target: &Rc<Target>| lost.iter().any(|other| Rc::ptr_eq(other, target));
    let kept: Vec<engine_driven::Hop> = chosen
        .hops
        .iter()
        .filter(|hop| !is_lost(&hop.target))
        .filter_map(|hop| {
            let is_same = |target: &Rc<Target>| Rc::ptr_eq(target, &hop.target);
            Some(engine_driven::Hop {
                worker: seen.targets.iter().position(is_same)?,
                layers: hop.layers,
            })
        })
        .collect();
    let path = within_or_across(gateway, request, engine, |demand| {
        engine_driven::repair(
            engine,
            &seen.workers,
            demand,
            seen.data_centre_count,
            &kept,
            || noise(gateway, seen.unheard_share),
        )
    })
    .map_err(|no_path| Blocked::new(no_path, engine, &seen.workers))?;
    Ok(seen.chosen(path))
}

/// Chooses a path within one data centre, or one through several where there is no other and the
/// pipe between them has room for it.
fn within_or_across(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    engine: &EngineProfile,
    choose: impl Fn(&Demand) -> Result<Path, NoPath>,
) -> Result<Path, NoPath> {
    let mut demand = demand(request, engine);
    let within = choose(&demand);
    if within.is_ok() || !gateway.may_cross(engine.pipe_time_ms()) {
        return within;
    }
    demand.may_cross = true;
    let path = choose(&demand)?;
    gateway.record_crossing(f64::from(path.crossing_count) * demand.tokens());
    Ok(path)
}

/// Factor on an engine's price. It varies the more, the more hosts this one never heard of: their
/// requests are not known, and all would choose the same engines.
fn noise(gateway: &Gateway, unheard_share: f64) -> f64 {
    let noise = NOISE + NOISE_UNHEARD * unheard_share;
    1.0 + noise * (2.0 * gateway.random_unit() - 1.0)
}

/// The engines of a service as they are seen for one request.
struct Seen {
    targets: Vec<Rc<Target>>,
    /// What the choice of a path needs of each target. Invariant: in the order of `targets`.
    workers: Vec<Worker>,
    data_centre_count: usize,
    /// Share of the hosts on the list that this one never heard of.
    unheard_share: f64,
}

impl Seen {
    fn chosen(&self, path: Path) -> ChosenPath {
        let hops = path
            .hops
            .iter()
            .map(|hop| Hop {
                target: Rc::clone(&self.targets[hop.worker]),
                layers: hop.layers,
            })
            .collect();
        ChosenPath { hops, path }
    }

    fn now(
        gateway: &Gateway,
        request: &RequestContext<'_>,
        engine: &EngineProfile,
        tried: &PriorAttempts<'_>,
        left_out: &[Rc<Target>],
    ) -> Self {
        let now = Instant::now();
        let listed: Vec<Rc<Target>> = gateway
            .targets
            .of_service(request.service_id)
            .into_iter()
            .filter(|target| target.is_listed_ready() && target.entry.borrow().layers.is_some())
            .collect();
        let peers = gateway.peers.borrow().loads(now);
        let peer_slow = gateway.peers.borrow().slowdowns(now);
        // Slow paths are explained by those engines, and tell nothing of the others on them.
        let is_any_slow = !peer_slow.is_empty() || !gateway.targets.own_slow(now).is_empty();
        let peer_avoided = gateway.peers.borrow().avoided(now);
        let mut data_centres = vec![gateway.settings.data_centre.clone()];
        let named = listed
            .iter()
            .filter(|target| peer_avoided.contains(&target.id_hash))
            .count();
        // After a restart of all hosts, each must expect the others to send where it sends itself.
        let (never_heard_count, unheard_share) = match gateway.peers.borrow().never_heard_count() {
            None => (UNHEARD_HOSTS_MAX, 1.0),
            Some(count) => {
                let host_count = gateway.peers.borrow().len() + 1;
                (count, count as f64 / host_count as f64)
            }
        };
        let own_factor = 1.0 + never_heard_count.min(UNHEARD_HOSTS_MAX) as f64;
        let believes_peers = named as f64 <= PEER_AVOIDED_SHARE_MAX * listed.len() as f64;
        let peer_refusing = gateway.peers.borrow().refusing(now);
        let refusing = listed
            .iter()
            .filter(|target| peer_refusing.contains(&target.id_hash))
            .count();
        let believes_refusals = refusing as f64 <= PEER_REFUSING_SHARE_MAX * listed.len() as f64;
        let live_used = tried.used.iter().filter(|target| target.is_listed_ready());
        let firsts_are_used = live_used.count() >= request.route.attempts_max as usize;
        let (targets, workers): (Vec<Rc<Target>>, Vec<Worker>) = listed
            .iter()
            .filter_map(|target| {
                let entry = target.entry.borrow();
                let data_centre = index_of(&mut data_centres, &entry.data_centre);
                let (layers, _) = entry.layers?;
                let kind = *engine.kinds.get(entry.kind.as_ref()?)?;
                let is_avoided = target.is_avoided(now);
                let is_left_out = left_out.iter().any(|other| Rc::ptr_eq(other, target));
                let is_named = believes_peers
                    && peer_avoided.contains(&target.id_hash)
                    && !target.progressed_since(now - LIVENESS_WINDOW);
                let is_refusing = believes_refusals && peer_refusing.contains(&target.id_hash);
                let load = peers.get(&target.id_hash).copied().unwrap_or_default();
                let worker = Worker {
                    target: target.id.clone(),
                    data_centre,
                    kind,
                    layers,
                    sequences: own_factor * target.sequences.get() + load.sequences,
                    used_token_layers: own_factor * target.token_layers.get() + load.token_layers,
                    first_requests: own_factor * target.sent_requests.get() + load.sent_requests,
                    slowdown: target.reported_slowdown(now).unwrap_or_else(|| {
                        match peer_slow.get(&target.id_hash) {
                            Some(slowdown) => *slowdown,
                            None if is_any_slow => 1.0,
                            None => target.slowdown(),
                        }
                    }),
                    open: !(is_avoided || is_named || is_refusing || is_left_out),
                    may_be_first: !firsts_are_used
                        || tried.used.iter().any(|other| Rc::ptr_eq(other, target)),
                };
                Some((Rc::clone(target), worker))
            })
            .unzip();
        Self {
            targets,
            workers,
            data_centre_count: data_centres.len(),
            unheard_share,
        }
    }
}

fn index_of(names: &mut Vec<smol_str::SmolStr>, name: &smol_str::SmolStr) -> usize {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or_else(|| {
            names.push(name.clone());
            names.len() - 1
        })
}

/// When a caller may return where there was no room.
pub fn retry_after(gateway: &Gateway) -> Duration {
    gateway.random_duration(RETRY_MIN, RETRY_MAX)
}
