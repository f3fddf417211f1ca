//! Chooses paths of engines for streams, from what this host knows of the targets.

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
    route::{
        displaced::{
            self,
            Displaced, //
        },
        engine_driven::{
            self,
            Demand,
            NoPath,
            Path,
            Worker, //
        },
    },
    urgency::capacity::{
        Capacity,
        EngineMemory, //
    },
};
use derive_more::Display;
use tokio::time::Instant;

use crate::{
    clock::BootTime,
    exchange::RequestContext,
    gateway::Gateway,
    held_prompts::HolderChoice,
    port::Stage,
    target::Target,
    trial_place::{
        self,
        Standing, //
    },
};

#[cfg(test)]
mod tests;

/// Largest random change of an engine's price, relative to the price, so that hosts with the same
/// knowledge choose different engines.
const PRICE_NOISE: f64 = 0.15;
/// Added to [`PRICE_NOISE`] if this host has never heard from any other host; proportionally less
/// if it has heard from some.
const PRICE_NOISE_NEVER_HEARD: f64 = 0.6;
/// Bounds of `Retry-After` where no path has room.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(300);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(1200);

/// Largest number of never-heard hosts that are assumed to send the same load as this one. If a
/// host that is cut off from all others assumed more, its few requests would seem to fill the
/// engines.
const NEVER_HEARD_HOSTS_MAX: usize = 40;
/// Index of this host's data centre in the list of data centres of a choice.
const OWN_DATA_CENTRE_INDEX: usize = 0;
/// Share of an engine's memory in use above which a log line counts the engine as full.
const FULL_SHARE: f64 = 0.9;
/// Longest age at which progress of a request still proves that a target works, even if a peer
/// avoids it.
pub(crate) const LIVENESS_WINDOW: Duration = Duration::from_millis(300);

/// Largest share of a service's engines that are avoided because peers report them unresponsive. If
/// more of them seem unresponsive, the cause lies elsewhere.
const PEER_AVOIDED_SHARE_MAX: f64 = 0.15;

/// Largest share of a service's engines that are avoided because they refuse requests of peers.
/// Some engines must remain in use while many are being replaced.
const PEER_REFUSING_SHARE_MAX: f64 = 0.3;

/// One step of a path.
#[derive(Clone, Debug)]
pub struct Hop {
    /// The engine of this step.
    pub target: Rc<Target>,
    /// Layers that the engine applies to the request; `None` for a target that is no engine.
    pub layers: Option<LayerRange>,
}

/// A path of targets, with the times predicted for it.
#[derive(Clone, Debug)]
pub struct ChosenPath {
    /// The engines in order. Invariant: not empty.
    pub hops: Vec<Hop>,
    /// The path as computed by the core, with the predicted times. Without hops and with times of zero
    /// for a target that is no engine.
    pub path: Path,
    /// How the path stands to engines that hold a prefix of the prompt.
    pub holder_choice: HolderChoice,
}

impl ChosenPath {
    /// Returns the path to a target of a service without engines.
    pub fn to_plain_target(target: Rc<Target>) -> Self {
        Self {
            hops: vec![Hop {
                target,
                layers: None,
            }],
            path: Path {
                hops: Vec::new(),
                first_event_ms: 0.0,
                pause_ms: 0.0,
                memory_share: 0.0,
                crossing_count: 0,
                saved_tokens: 0.0,
            },
            holder_choice: HolderChoice::NoHolder,
        }
    }

    /// Returns the first engine, which the request is sent to.
    pub fn first(&self) -> &Rc<Target> {
        &self.hops[0].target
    }

    /// Returns the path in the form in which it is sent with the request; empty for a target that is no
    /// engine.
    pub fn stages(&self) -> Vec<Stage> {
        let stage = |hop: &Hop| {
            Some(Stage {
                address: hop.target.address(),
                layers: hop.layers?,
            })
        };
        self.hops.iter().filter_map(stage).collect()
    }

    /// Returns the engine of the path that listens at an address, or `None` if there is none.
    pub fn target_at(&self, address: SocketAddr) -> Option<Rc<Target>> {
        let hop = self
            .hops
            .iter()
            .find(|hop| hop.target.address() == address)?;
        Some(Rc::clone(&hop.target))
    }

    /// Formats the path for a log line, as `target=layers` joined by commas.
    pub fn to_log_string(&self) -> String {
        let hop = |hop: &Hop| match hop.layers {
            Some(layers) => format!("{}={layers}", hop.target.id),
            None => hop.target.id.to_string(),
        };
        self.hops.iter().map(hop).collect::<Vec<_>>().join(",")
    }

    /// Records that events arrived along the path. Every pause after the first event is a sample of
    /// the slowdown of all its engines.
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

    /// Returns whether every engine of the path made progress with some request within
    /// `LIVENESS_WINDOW`. Progress since the last event of one stream would prove nothing, as an
    /// event of another stream may have arrived just after it.
    pub fn are_all_live(&self) -> bool {
        let since = Instant::now() - LIVENESS_WINDOW;
        self.hops
            .iter()
            .all(|hop| hop.target.progressed_since(since))
    }
}

/// Returns what a request needs of a path: its expected tokens and its data centre.
pub fn demand(request: &RequestContext<'_>, engine: &EngineProfile) -> Demand {
    let limit = f64::from(request.metadata.answer_limit_tokens);
    let expected = request
        .metadata
        .answer_expected_tokens
        .map_or(engine.mean_answer_tokens, f64::from);
    Demand {
        prompt_tokens: f64::from(request.metadata.prompt_tokens),
        answer_tokens: expected.min(limit.max(1.0)),
        data_centre: OWN_DATA_CENTRE_INDEX,
        may_cross: false,
    }
}

/// Explains in the log why there is no path.
#[derive(Clone, Copy, Debug, Display)]
#[display(
    "no path beyond layer {reached}: {workers} engines hold layers, {unavailable} unavailable, {full} of the others full, {limited} take no more as first engine"
)]
pub struct Blocked {
    /// Layer boundary up to which some path reaches.
    reached: Layer,
    /// Number of engines that hold layers.
    workers: usize,
    /// Number of those that are avoided or excluded.
    unavailable: usize,
    /// Number of the others whose memory is nearly full.
    full: usize,
    /// Number of the others that may not be first: their limit is reached, or the request was sent
    /// to as many first engines as it may be.
    limited: usize,
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
            unavailable: workers.iter().filter(|worker| !worker.open).count(),
            full: workers.iter().filter(is_full).count(),
            limited: workers
                .iter()
                .filter(|worker| worker.open && !worker.may_be_first)
                .count(),
        }
    }
}

/// The engines that earlier attempts of a request used.
pub struct PriorAttempts<'a> {
    /// First engines that the request was sent to. Once those among them that may still run are as many
    /// as the route allows attempts, only they can be first again.
    pub first_engines: &'a [Rc<Target>],
    /// Engines that failed the request. They are excluded if there is a path without them.
    pub failed: &'a [Rc<Target>],
    /// How the request stands to engines with requests under suspicion.
    pub(crate) standing: Standing,
}

/// Chooses a path for a request. Excludes engines that failed it, and engines at which a silent stream
/// was overtaken, unless there is no path without them.
///
/// # Errors
///
/// Returns [`Blocked`] if there is no path even with these engines.
pub fn choose(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    engine: &EngineProfile,
    attempts: &PriorAttempts<'_>,
) -> Result<ChosenPath, Blocked> {
    prepare(gateway, request, engine, attempts).choose()
}

/// Reads the state of the engines for the choice of a path.
pub(crate) fn prepare<'a>(
    gateway: &'a Gateway,
    request: &'a RequestContext<'a>,
    engine: &'a EngineProfile,
    attempts: &'a PriorAttempts<'a>,
) -> Prepared<'a> {
    let now = Instant::now();
    let targets = gateway.targets.of_service(request.service_id);
    let slower = targets.into_iter().filter(|target| target.is_slower(now));
    let mut excluded = attempts.failed.to_vec();
    excluded.extend(slower);
    Prepared {
        gateway,
        request,
        engine,
        attempts,
        snapshot: EngineSnapshot::take(gateway, request, engine, attempts, &excluded),
        excluded,
    }
}

/// A choice of a path for which the state of the engines has been read.
pub(crate) struct Prepared<'a> {
    gateway: &'a Gateway,
    request: &'a RequestContext<'a>,
    engine: &'a EngineProfile,
    attempts: &'a PriorAttempts<'a>,
    /// Engines that are used only if there is no path without them.
    excluded: Vec<Rc<Target>>,
    /// State of the engines, without `excluded`.
    snapshot: EngineSnapshot,
}

impl Prepared<'_> {
    /// Chooses a path as [`choose`] does.
    ///
    /// # Errors
    ///
    /// Returns [`Blocked`] if there is no path even with the excluded engines.
    pub(crate) fn choose(self) -> Result<ChosenPath, Blocked> {
        let Self {
            gateway,
            request,
            engine,
            attempts,
            excluded,
            snapshot,
        } = self;
        let anywhere = PriorAttempts {
            standing: attempts.standing.relaxed(),
            ..*attempts
        };
        let mut chosen = choose_in(&snapshot, gateway, request, engine);
        if chosen.is_err() && anywhere.standing != attempts.standing {
            chosen = choose_excluding(gateway, request, engine, &anywhere, &excluded);
        }
        if chosen.is_err() && excluded.len() > attempts.failed.len() {
            chosen = choose_excluding(gateway, request, engine, &anywhere, attempts.failed);
        }
        if chosen.is_err() && !attempts.failed.is_empty() {
            chosen = choose_excluding(gateway, request, engine, &anywhere, &[]);
        }
        chosen
    }
}

fn choose_excluding(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    engine: &EngineProfile,
    attempts: &PriorAttempts<'_>,
    excluded: &[Rc<Target>],
) -> Result<ChosenPath, Blocked> {
    let snapshot = EngineSnapshot::take(gateway, request, engine, attempts, excluded);
    choose_in(&snapshot, gateway, request, engine)
}

fn choose_in(
    snapshot: &EngineSnapshot,
    gateway: &Gateway,
    request: &RequestContext<'_>,
    engine: &EngineProfile,
) -> Result<ChosenPath, Blocked> {
    let path = choose_within_or_across(gateway, request, engine, |demand| {
        engine_driven::choose(
            engine,
            &snapshot.workers,
            demand,
            snapshot.data_centre_count,
            || price_noise(gateway, snapshot.never_heard_share),
        )
    })
    .map_err(|no_path| Blocked::new(no_path, engine, &snapshot.workers))?;
    Ok(snapshot.to_chosen_path(path))
}

/// Chooses a path on which a request that runs along `chosen` can continue without the engines in
/// `lost`. The first engine is kept, and so are the other engines that are not lost.
///
/// # Errors
///
/// Returns [`Blocked`] if there is no such path.
pub fn choose_repair(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    engine: &EngineProfile,
    chosen: &ChosenPath,
    lost: &[Rc<Target>],
) -> Result<ChosenPath, Blocked> {
    let attempts = PriorAttempts {
        first_engines: &[],
        failed: lost,
        standing: Standing::Any,
    };
    let snapshot = EngineSnapshot::take(gateway, request, engine, &attempts, lost);
    let is_lost = |target: &Rc<Target>| lost.iter().any(|other| Rc::ptr_eq(other, target));
    let kept: Vec<engine_driven::Hop> = chosen
        .hops
        .iter()
        .filter(|hop| !is_lost(&hop.target))
        .filter_map(|hop| {
            let is_same = |target: &Rc<Target>| Rc::ptr_eq(target, &hop.target);
            Some(engine_driven::Hop {
                worker: snapshot.targets.iter().position(is_same)?,
                layers: hop.layers?,
            })
        })
        .collect();
    let path = choose_within_or_across(gateway, request, engine, |demand| {
        engine_driven::repair(
            engine,
            &snapshot.workers,
            demand,
            snapshot.data_centre_count,
            &kept,
            || price_noise(gateway, snapshot.never_heard_share),
        )
    })
    .map_err(|no_path| Blocked::new(no_path, engine, &snapshot.workers))?;
    Ok(snapshot.to_chosen_path(path))
}

/// Chooses a path within one data centre. If there is none, chooses one through several, provided
/// that the link between them has capacity for it.
fn choose_within_or_across(
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

/// Returns a random factor for an engine's price. The range grows with the share of hosts that this
/// one has never heard from: their requests are unknown, and without noise all hosts would choose
/// the same engines.
fn price_noise(gateway: &Gateway, never_heard_share: f64) -> f64 {
    let amplitude = PRICE_NOISE + PRICE_NOISE_NEVER_HEARD * never_heard_share;
    1.0 + amplitude * (2.0 * gateway.random_unit() - 1.0)
}

/// The state of a service's engines, as this host knows it when it chooses a path for a request.
struct EngineSnapshot {
    targets: Vec<Rc<Target>>,
    /// Input of the choice for each target. Invariant: in the order of `targets`.
    workers: Vec<Worker>,
    data_centre_count: usize,
    /// Share of the listed hosts that this one has never heard from.
    never_heard_share: f64,
}

impl EngineSnapshot {
    /// Replaces the indices of a path by the targets that they stand for.
    fn to_chosen_path(&self, path: Path) -> ChosenPath {
        let hops = path
            .hops
            .iter()
            .map(|hop| Hop {
                target: Rc::clone(&self.targets[hop.worker]),
                layers: Some(hop.layers),
            })
            .collect();
        ChosenPath {
            hops,
            holder_choice: HolderChoice::of(&path, &self.workers),
            path,
        }
    }

    /// Collects the state of the listed engines of the service, with the load and the avoided
    /// engines that peers report.
    fn take(
        gateway: &Gateway,
        request: &RequestContext<'_>,
        engine: &EngineProfile,
        attempts: &PriorAttempts<'_>,
        excluded: &[Rc<Target>],
    ) -> Self {
        let now = Instant::now();
        let peers_view = gateway.peers_view();
        let ready_targets: Vec<Rc<Target>> = gateway
            .targets
            .of_service(request.service_id)
            .into_iter()
            .filter(|target| {
                target.is_listed_ready()
                    && !peers_view.leaving.contains_key(&target.id_hash)
                    && target.entry.borrow().layers.is_some()
            })
            .collect();
        // If some engines are reported slow, they explain the slow paths. The samples from these
        // paths then say nothing about the other engines on them.
        let is_any_slow = !peers_view.slow.is_empty() || !gateway.targets.own_slow(now).is_empty();
        let mut data_centres = vec![gateway.settings.data_centre.clone()];
        let avoided_count = ready_targets
            .iter()
            .filter(|target| peers_view.avoided.contains_key(&target.id_hash))
            .count();
        // After a restart of all hosts, each must expect the others to send to the same engines as
        // itself.
        let (never_heard_count, never_heard_share) =
            match gateway.peers.borrow_mut().never_heard(BootTime::now()) {
                None => (NEVER_HEARD_HOSTS_MAX, 1.0),
                Some((count, host_count)) => (count, count as f64 / host_count as f64),
            };
        let own_load_factor = 1.0 + never_heard_count.min(NEVER_HEARD_HOSTS_MAX) as f64;
        let trusts_avoidance =
            avoided_count as f64 <= PEER_AVOIDED_SHARE_MAX * ready_targets.len() as f64;
        let refusing_count = ready_targets
            .iter()
            .filter(|target| peers_view.refusing.contains_key(&target.id_hash))
            .count();
        let trusts_refusals =
            refusing_count as f64 <= PEER_REFUSING_SHARE_MAX * ready_targets.len() as f64;
        let running_first_engines = attempts
            .first_engines
            .iter()
            .filter(|target| target.may_be_running());
        let is_first_limit_reached =
            running_first_engines.count() >= request.route.attempts_max as usize;
        let capacity_factor = gateway
            .urgency
            .capacity_wanted(gateway, request, &peers_view);
        let mut memories: Vec<EngineMemory> = Vec::new();
        let held_prompts = gateway.held_prompts.as_ref().and_then(|held_prompts| {
            let prefix = held_prompts.comparable_prefix(request.metadata)?;
            Some((held_prompts, prefix))
        });
        let mut demand = None;
        let (targets, mut workers): (Vec<Rc<Target>>, Vec<Worker>) = ready_targets
            .iter()
            .filter_map(|target| {
                let entry = target.entry.borrow();
                let data_centre = index_or_insert(&mut data_centres, &entry.data_centre);
                let (layers, _) = entry.layers?;
                let kind = *engine.kinds.get(entry.kind.as_ref()?)?;
                let is_avoided = target.is_avoided(now) || !target.closed_for(now).is_zero();
                let is_excluded = excluded.iter().any(|other| Rc::ptr_eq(other, target));
                let is_avoided_by_peers = trusts_avoidance
                    && peers_view.avoided.contains_key(&target.id_hash)
                    && !target.progressed_since(now - LIVENESS_WINDOW);
                let is_refusing_peers =
                    trusts_refusals && peers_view.refusing.contains_key(&target.id_hash);
                let is_earlier_first = attempts
                    .first_engines
                    .iter()
                    .any(|other| Rc::ptr_eq(other, target));
                let load = peers_view
                    .loads
                    .get(&target.id_hash)
                    .copied()
                    .unwrap_or_default();
                let is_open = !(is_avoided || is_avoided_by_peers || is_refusing_peers);
                if let Some(factor) = capacity_factor {
                    let own_factor = own_load_factor.max(factor);
                    memories.push(EngineMemory {
                        data_centre,
                        layers,
                        capacity_token_layers: engine.capacity_token_layers(kind, layers.count()),
                        used_token_layers: own_factor * target.token_layers.get()
                            + load.token_layers,
                        is_open,
                    });
                }
                let slowdown = target.reported_slowdown(now).unwrap_or_else(|| {
                    match peers_view.slow.get(&target.id_hash) {
                        Some(slowdown) => *slowdown,
                        None if is_any_slow => 1.0,
                        None => target.slowdown(),
                    }
                });
                let held = match &held_prompts {
                    Some((held_prompts, prefix)) => {
                        // The prefill of the other engines of the path may come first.
                        let prompt_tokens = f64::from(request.metadata.prompt_tokens);
                        let prefill_ms =
                            engine.prefill_time_ms(kind, engine.layer_count, prompt_tokens);
                        let delay = Duration::try_from_secs_f64(slowdown * prefill_ms / 1e3);
                        let delay = delay.unwrap_or(Duration::MAX);
                        held_prompts.held_at(target, prefix, now, delay)
                    }
                    None => Vec::new(),
                };
                let worker = Worker {
                    target: target.id.clone(),
                    data_centre,
                    kind,
                    layers,
                    sequences: own_load_factor * target.sequences.get() + load.sequences,
                    used_token_layers: own_load_factor * target.token_layers.get()
                        + load.token_layers,
                    first_requests: own_load_factor * target.sent_requests.get()
                        + load.sent_requests,
                    slowdown,
                    prefill_wait_ms: 0.0,
                    open: is_open && !is_excluded,
                    may_be_first: (!is_first_limit_reached || is_earlier_first)
                        && gateway.is_within_limit(target, &mut demand, now),
                    held,
                };
                Some((Rc::clone(target), worker))
            })
            .unzip();
        if capacity_factor.is_some() {
            let capacity = Capacity::of(engine.layer_count, &memories);
            (gateway.urgency).record_capacity(gateway, request, engine, &peers_view, capacity);
        }
        trial_place::restrict(gateway, engine, attempts.standing, &targets, &mut workers);
        let is_lost = |target: &Target| {
            target.is_unresponsive(now)
                || trusts_avoidance && peers_view.avoided.contains_key(&target.id_hash)
        };
        let displaced: Vec<Displaced> = targets
            .iter()
            .zip(&workers)
            .filter_map(|(target, worker)| {
                let used = worker.used_token_layers;
                let (since, token_layers) = target.record_lost(is_lost(target), now, used)?;
                Some(Displaced {
                    data_centre: worker.data_centre,
                    layers: worker.layers,
                    token_layers,
                    age: now.duration_since(since),
                })
            })
            .collect();
        forecast_prefill_waits(gateway, request, engine, &displaced, &mut workers);
        Self {
            targets,
            workers,
            data_centre_count: data_centres.len(),
            never_heard_share,
        }
    }
}

/// Sets the wait for prefill at each engine behind the requests of lost engines. Each request assumes a
/// random place among them, so that requests spread over the engines that take over. Nothing is set
/// while the longest wait is too short for callers to notice.
fn forecast_prefill_waits(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    engine: &EngineProfile,
    displaced: &[Displaced],
    workers: &mut [Worker],
) {
    if displaced.is_empty() {
        return;
    }
    let route = request.route;
    let noticed = route.pause_objective.unwrap_or(route.latency_objective);
    let noticed_ms = noticed.as_secs_f64() * 1e3;
    let is_noticed = workers
        .iter()
        .filter(|worker| worker.open)
        .any(|worker| displaced::prefill_wait_ms(engine, worker, displaced, 1.0) > noticed_ms);
    if !is_noticed {
        return;
    }
    for worker in workers.iter_mut().filter(|worker| worker.open) {
        let share = gateway.random_unit();
        worker.prefill_wait_ms = displaced::prefill_wait_ms(engine, worker, displaced, share);
    }
}

/// Returns the index of a name, which is appended if it is missing.
fn index_or_insert(names: &mut Vec<smol_str::SmolStr>, name: &smol_str::SmolStr) -> usize {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or_else(|| {
            names.push(name.clone());
            names.len() - 1
        })
}

/// Returns a random `Retry-After` for requests that found no room.
pub fn retry_after(gateway: &Gateway) -> Duration {
    gateway.random_duration(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}
