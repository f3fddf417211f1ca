//! Admission of requests whose ranks compete for the engines of one service, before their first send.
//!
//! The decisions are made in [`anvil_core::urgency`]. This module keeps what they need for each
//! service, takes the fleet's loads and demand from the peers' digests, and lets requests wait. Requests
//! to services without competing ranks pass by it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        HashMap, //
    },
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    engine_model::EngineProfile,
    exchange::Summary,
    id::ServiceId,
    urgency::{
        self, Demand, Forecast, Rank, RankDemand,
        capacity::Capacity,
        level::Level,
        waiting::{
            Bounds,
            Queue, //
        },
    },
};
use tokio::{
    sync::Notify,
    time::Instant, //
};

use crate::{
    exchange::{
        RequestContext,
        RequestTrace, //
    },
    gateway::Gateway,
};

pub(crate) use gate::{
    Verdict,
    pass, //
};

mod gate;

#[cfg(test)]
mod tests;

/// Time without a digest after which this host decides by what it observes itself. Between the silence
/// of the exchange and this time the level stays as it is.
const DIGEST_AGE_MAX: Duration = Duration::from_secs(3);
/// Most requests that wait for one service at this host. A host receives a few requests a second, so
/// that more of them can't be sent within the wait.
const WAITING_REQUESTS_MAX: usize = 64;
/// Share of the memory for requests that waiting ones may take.
const WAITING_BYTES_SHARE: f64 = 0.25;
/// Shortest time between two log lines about one rank's level.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Change of a fraction from which on it is logged.
const LOGGED_CHANGE: f64 = 0.05;
/// Weight of a new sample in the moving averages of a request's duration and first event.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Largest used share in logs and metrics, which stands for a service without memory.
const SHOWN_USED_SHARE_MAX: f64 = 10.0;

/// What this host knows of the other hosts' loads.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Knowledge {
    /// The exchange covers the hosts that are heard.
    Fleet,
    /// No host has been heard for a short time.
    Aging,
    /// No host has been heard for long. Holds the last known number of hosts, this one included.
    Alone(u32),
}

/// Admission of all services with competing ranks.
#[derive(Debug, Default)]
pub struct Urgency {
    services: RefCell<HashMap<ServiceId, Rc<Admission>>>,
    /// When a digest last arrived; `None` before the first.
    digest_at: Cell<Option<Instant>>,
    /// Last known number of hosts, this one included; 0 before a digest arrived.
    known_hosts: Cell<u32>,
}

/// Admission of one service.
#[derive(Debug)]
struct Admission {
    demand: RefCell<Demand>,
    level: RefCell<Level>,
    forecast: RefCell<Forecast>,
    queue: RefCell<Queue<Rc<Cell<bool>>>>,
    bounds: Bounds,
    /// Requests, and bytes of their bodies, that wait for the level to admit them.
    held: Cell<(usize, usize)>,
    /// Notified when a request of this host ended, a digest arrived, or the queue has moved.
    changed: Notify,
    /// When a search for a path last failed.
    failed_search: Cell<Option<Instant>>,
    /// Mean time from a request's first send to its end; `None` before the first end.
    hold_time: Cell<Option<Duration>>,
    /// Mean ratio of the first event's predicted time to that on an idle accelerator.
    first_event_ratio: Cell<f64>,
    /// When the fraction of each rank was last logged, and that fraction.
    logged: RefCell<BTreeMap<Rank, (Instant, f64)>>,
}

impl Urgency {
    /// Returns the demand of this host's callers, by rank. Empty if no service has competing ranks.
    pub fn own_demand(&self, now: Duration) -> BTreeMap<Rank, RankDemand> {
        let mut sum: BTreeMap<Rank, RankDemand> = BTreeMap::new();
        let mut services = self.services.borrow_mut();
        services.retain(|_, admission| {
            let demand = admission.demand.borrow().per_s(now);
            for (rank, demand) in &demand {
                sum.entry(*rank).or_default().add(demand);
            }
            // A service that isn't used, or whose ranks no longer compete, is forgotten.
            !demand.is_empty() || Rc::strong_count(admission) > 1
        });
        sum
    }

    /// Records that a digest of a peer was taken.
    pub(crate) fn record_digest(&self, now: Instant) {
        self.digest_at.set(Some(now));
        for admission in self.services.borrow().values() {
            admission.changed.notify_waiters();
        }
    }

    /// Returns whether the capacity of the service of a request is to be recorded, and the factor by
    /// which this host's own load then stands for that of all hosts that are not heard.
    pub(crate) fn capacity_wanted(
        &self,
        gateway: &Gateway,
        request: &RequestContext<'_>,
        view: &Summary,
    ) -> Option<f64> {
        request.rank?;
        let admission = self.of_service(gateway, request.service_id);
        if !admission.level.borrow().is_due(gateway.uptime()) {
            return None;
        }
        match self.knowledge(gateway, view) {
            Knowledge::Fleet => Some(1.0),
            Knowledge::Aging => None,
            Knowledge::Alone(hosts) => Some(f64::from(hosts)),
        }
    }

    /// Records the capacity of the service of a request, and updates the admission level by it.
    pub(crate) fn record_capacity(
        &self,
        gateway: &Gateway,
        request: &RequestContext<'_>,
        engine: &EngineProfile,
        view: &Summary,
        capacity: Capacity,
    ) {
        let service = request.service_id;
        let admission = self.of_service(gateway, service);
        let hold_time = admission
            .hold_time
            .get()
            .unwrap_or_else(|| idle_duration(engine));
        let demand = self.fleet_demand(gateway, service, view);
        let mut forecast = Forecast::new(capacity, hold_time, demand);
        forecast.counts_refusals = matches!(self.knowledge(gateway, view), Knowledge::Alone(_));
        // A request that waits may have come under an older table.
        let table = gateway.table_cache.table();
        let ranks = (table.as_ref()).map_or(&[][..], |table| table.competing_ranks(service));
        let mut level = admission.level.borrow_mut();
        level.update(ranks, &forecast, gateway.uptime());
        let used_share = capacity.used_share().min(SHOWN_USED_SHARE_MAX);
        gateway.metrics.set_used_share(service, used_share);
        let now = Instant::now();
        let mut logged = admission.logged.borrow_mut();
        logged.retain(|rank, _| ranks.contains(rank));
        for rank in ranks {
            let fraction = level.fraction(*rank);
            gateway.metrics.set_level(service, *rank, fraction);
            let last = logged.get(rank).copied();
            let (last_at, last_fraction) = last.unwrap_or((now, 1.0));
            let is_due = last.is_none() || now.duration_since(last_at) >= LOG_INTERVAL;
            if is_due && (fraction - last_fraction).abs() >= LOGGED_CHANGE {
                logged.insert(*rank, (now, fraction));
                let demand = forecast.demand.get(rank).copied().unwrap_or_default();
                let digest_age_ms = (self.digest_at.get())
                    .map_or(-1, |at| now.duration_since(at).as_millis() as i64);
                spdlog::info!("admission.level_changed", kv: {
                    service = service.as_str(),
                    rank = *rank,
                    fraction,
                    used_share,
                    demand_per_s = demand.requests_per_s,
                    demand_tokens_per_s = demand.tokens_per_s as u64,
                    refused_per_s = demand.refused_per_s,
                    digest_age_ms,
                    cause = level.cause(*rank).as_str(),
                });
            }
        }
        drop(level);
        *admission.forecast.borrow_mut() = forecast;
    }

    /// Returns what this host knows of the others, and remembers how many there are.
    fn knowledge(&self, gateway: &Gateway, view: &Summary) -> Knowledge {
        let live_hosts = view.live_hosts();
        if live_hosts > 0 {
            self.known_hosts.set(live_hosts + 1);
            return Knowledge::Fleet;
        }
        let known_hosts = self.known_hosts.get();
        if known_hosts == 0 || gateway.peers.borrow().is_empty() {
            return Knowledge::Fleet;
        }
        match self.digest_at.get() {
            Some(at) if at.elapsed() <= DIGEST_AGE_MAX => Knowledge::Aging,
            Some(_) | None => Knowledge::Alone(known_hosts),
        }
    }

    /// Returns the demand of all hosts for a service.
    fn fleet_demand(
        &self,
        gateway: &Gateway,
        service: &ServiceId,
        view: &Summary,
    ) -> BTreeMap<Rank, RankDemand> {
        let now = gateway.uptime();
        let mut demand = (self.of_service(gateway, service).demand.borrow()).per_s(now);
        if view.ranks.is_empty() {
            // Nothing is known of the others, which are expected to have as much as this host.
            let hosts = match self.knowledge(gateway, view) {
                Knowledge::Fleet | Knowledge::Aging => view.live_hosts() + 1,
                Knowledge::Alone(hosts) => hosts,
            };
            for demand in demand.values_mut() {
                *demand = demand.scaled(f64::from(hosts));
            }
            return demand;
        }
        // Digests don't tell services apart. Of several, each is expected to have the part of the
        // fleet's demand that it has of this host's.
        let service_count = self.services.borrow().len().max(1);
        let own = match service_count {
            1 => BTreeMap::new(),
            _ => self.own_demand(now),
        };
        for (rank, others) in &view.ranks {
            let of_service = demand.entry(*rank).or_default();
            let part = match own.get(rank) {
                Some(all) if all.tokens_per_s > 0.0 => of_service.tokens_per_s / all.tokens_per_s,
                Some(_) | None => 1.0 / service_count as f64,
            };
            of_service.add(&others.scaled(part));
        }
        demand
    }

    fn of_service(&self, gateway: &Gateway, service: &ServiceId) -> Rc<Admission> {
        let mut services = self.services.borrow_mut();
        if let Some(admission) = services.get(service) {
            return Rc::clone(admission);
        }
        let bytes = gateway.budget.callers.bytes as f64 * WAITING_BYTES_SHARE;
        let admission = Rc::new(Admission::new(Bounds {
            requests: WAITING_REQUESTS_MAX,
            bytes: bytes as usize,
        }));
        services.insert(service.clone(), Rc::clone(&admission));
        admission
    }
}

impl Admission {
    fn new(bounds: Bounds) -> Self {
        Self {
            demand: RefCell::default(),
            level: RefCell::default(),
            forecast: RefCell::default(),
            queue: RefCell::new(Queue::new(bounds)),
            bounds,
            held: Cell::default(),
            changed: Notify::new(),
            failed_search: Cell::new(None),
            hold_time: Cell::new(None),
            first_event_ratio: Cell::new(1.0),
            logged: RefCell::default(),
        }
    }

    /// Returns the number of waiting requests.
    fn waiting_count(&self) -> usize {
        self.held.get().0 + self.queue.borrow().len()
    }

    /// Returns whether a request may be sent as soon as it has a path: the level admits it, and no other
    /// one has to be sent before it. Where much is free, no other one has to.
    fn may_search(&self, rank: Rank, draw: f64) -> bool {
        let level = self.level.borrow();
        level.admits(rank, draw) && (level.is_free() || !self.queue.borrow().has_before(rank))
    }

    /// Returns whether capacity for a request is forecast within a time.
    fn expects_capacity(&self, rank: Rank, draw: f64, tokens: f64, within: Duration) -> bool {
        let level = self.level.borrow();
        if !level.admits(rank, draw) {
            return level.may_admit_within(rank, draw, within);
        }
        let before = self.queue.borrow().tokens_before(rank) as f64;
        self.forecast.borrow().left_tokens(rank, within) >= before + tokens
    }

    fn record_first_event(&self, request: &RequestContext<'_>, engine: &EngineProfile, ms: f64) {
        let idle_ms = idle_first_event_ms(request, engine);
        if idle_ms > 0.0 {
            let ratio = self.first_event_ratio.get();
            let sample = ms / idle_ms;
            self.first_event_ratio
                .set(ratio + SAMPLE_WEIGHT * (sample - ratio));
        }
    }
}

/// Returns the time for which a usual request keeps its memory on idle accelerators.
fn idle_duration(engine: &EngineProfile) -> Duration {
    let prefill_s = engine.mean_prompt_tokens / engine.prefill_tokens_per_s.max(1.0);
    let answer_s = engine.mean_answer_tokens * engine.step_ms / 1e3;
    Duration::try_from_secs_f64(prefill_s + answer_s).unwrap_or_default()
}

/// Returns the time of a request's first event on idle accelerators.
fn idle_first_event_ms(request: &RequestContext<'_>, engine: &EngineProfile) -> f64 {
    let prompt_tokens = f64::from(request.metadata.prompt_tokens);
    let prefill_ms = prompt_tokens * 1e3 / engine.prefill_tokens_per_s.max(1.0);
    prefill_ms + engine.step_ms * f64::from(engine.steps_per_event)
}

/// Returns the `Retry-After` of a refused request to a service whose ranks compete.
pub(crate) fn retry_after(gateway: &Gateway, request: &RequestContext<'_>) -> Duration {
    let admission = gateway.urgency.of_service(gateway, request.service_id);
    let time_left = (request.deadline).saturating_duration_since(Instant::now());
    urgency::retry_after(
        &admission.forecast.borrow(),
        request.table.competing_ranks(request.service_id),
        request.rank.unwrap_or_default(),
        time_left,
        gateway.random_unit(),
    )
}

/// Counts a request, once, as one that found no capacity: it waits, or an engine refused it.
pub(crate) fn record_no_capacity(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    trace: &mut RequestTrace,
) {
    if let Some(rank) = request.rank
        && !std::mem::replace(&mut trace.found_no_capacity, true)
    {
        let admission = gateway.urgency.of_service(gateway, request.service_id);
        (admission.demand.borrow_mut()).record_refused(rank, gateway.uptime());
    }
}

/// Records that a request has ended, which may make room for one that waits.
pub(crate) fn record_end(gateway: &Gateway, request: &RequestContext<'_>, trace: &RequestTrace) {
    if request.rank.is_none() {
        return;
    }
    let admission = gateway.urgency.of_service(gateway, request.service_id);
    if let Some(sent_at) = trace.first_send_at
        && trace.events > 0
    {
        let sample = sent_at.elapsed();
        admission
            .hold_time
            .set(Some(match admission.hold_time.get() {
                None => sample,
                Some(mean) => mean.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT),
            }));
    }
    admission.changed.notify_waiters();
}
