//! Places models on engines: one host of the fleet holds the lease and gives the orders.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    engine_model::EngineProfile,
    id::{
        DataCentreId,
        LayerRange,
        ServiceId,
        TargetId, //
    },
    layout::{
        self,
        Accelerator,
        HillClimb, //
    },
};
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    clock::BootTime,
    gateway::Gateway,
    peers,
    port::{
        OrderResponse,
        PlaceOrder,
        PlatformErrorKind, //
    },
    target::Target,
};

/// Length of the lease. Longer than a slow answer of the store, and short enough that engines that
/// come back empty are filled again soon after the placer is lost.
const LEASE: Duration = Duration::from_secs(3);
/// Share of the lease after which it is renewed.
const RENEW_SHARE: f64 = 0.35;
/// Share of the lease after which its holder gives no more orders unless it was renewed.
const ACT_SHARE: f64 = 0.75;
/// Time between two looks at what is placed.
const TICK: Duration = Duration::from_millis(200);
/// Time without a new target after which the list counts as whole at the start.
/// Longer than the time between two readings of the list.
const SETTLED: Duration = Duration::from_millis(1100);
/// Steps of the search for a layout, times cards: the time of a step grows with the cards, and loads
/// must begin some seconds after the start.
const CLIMB_STEP_CARDS: usize = 8000;
/// Longest time of that search on a slow host.
const CLIMB_TIME: Duration = Duration::from_millis(2500);
/// Wait after the start until a host may join the group: by then hosts that start together have
/// heard of one another, and most of them stay out.
const PEERS_WAIT: Duration = Duration::from_millis(1200);
/// Time for which an order without a certain answer keeps others for that target back.
const UNCERTAIN_PAUSE: Duration = Duration::from_millis(1500);
/// Time after which an order that has begun may be given again, as a share of the time that the
/// load takes alone.
const LOAD_PATIENCE: f64 = 6.0;

/// Shortage after a move, as a share of that before, at which the move is worth the time for which
/// its card serves nobody.
const REBALANCE_PRICE_SHARE: f64 = 0.7;
/// Time for which a shortage must last before a card is moved: one that crashed may be back.
const REBALANCE_WAIT: Duration = Duration::from_millis(1500);

/// An order that was given.
#[derive(Clone, Copy, Debug)]
struct Given {
    layers: LayerRange,
    /// The run of the target that it was given to.
    started_unix_ms: u64,
    /// Until when no other order is given.
    until: Instant,
}

/// The duty of placing models.
pub struct Placer {
    gateway: Rc<Gateway>,
    /// Generation of the group, as last told.
    generation: Cell<u64>,
    /// The lease holds until this time, with this fencing token.
    lease: Cell<Option<(BootTime, u64)>>,
    /// Highest token that was refused: orders need a higher one.
    refused_token: Cell<u64>,
    given: RefCell<HashMap<TargetId, Given>>,
    /// When a shortage that a move would mend was first seen in a data centre, or last mended.
    shortage_since: RefCell<HashMap<DataCentreId, Instant>>,
    /// Orders that each run of a target has accepted, as far as this host knows.
    order_counts: RefCell<HashMap<(TargetId, u64), u64>>,
}

impl Placer {
    /// The duty, not held yet.
    pub fn new(gateway: Rc<Gateway>) -> Self {
        Self {
            gateway,
            generation: Cell::new(0),
            lease: Cell::new(None),
            refused_token: Cell::new(0),
            given: RefCell::new(HashMap::new()),
            shortage_since: RefCell::new(HashMap::new()),
            order_counts: RefCell::new(HashMap::new()),
        }
    }

    /// Keeps this host in the group while it reads the store for its peers: whoever places must
    /// know the list of targets early.
    pub async fn maintain_lease(self: Rc<Self>) {
        let lease = LEASE.max(self.gateway.settings.lease_min);
        sleep(PEERS_WAIT).await;
        loop {
            if self.lease.get().is_none() && !peers::is_reader(&self.gateway) {
                sleep(TICK).await;
                continue;
            }
            let asked = BootTime::now();
            let joined = self
                .gateway
                .platform
                .store
                .join_group(&self.gateway.settings.host_id, lease, self.generation.get())
                .await;
            match joined {
                Ok(standing) => {
                    self.generation.set(standing.generation);
                    self.take_standing(standing.is_placer, asked, standing.generation);
                }
                Err(error) => {
                    spdlog::warn!("placer.lease_not_renewed", kv: { error: });
                    self.drop_expired_lease(lease);
                }
            }
            let pause = lease.mul_f64(RENEW_SHARE);
            sleep(self.gateway.random_duration(pause.mul_f64(0.8), pause)).await;
        }
    }

    fn take_standing(&self, is_placer: bool, asked: BootTime, generation: u64) {
        let held = self.lease.get().is_some();
        if is_placer && !held {
            spdlog::info!("placer.began", kv: { generation });
            self.given.borrow_mut().clear();
            self.order_counts.borrow_mut().clear();
        }
        if !is_placer && held {
            spdlog::info!("placer.ended", kv: { generation, reason = "another host places" });
        }
        self.lease.set(is_placer.then_some((asked, generation)));
    }

    fn drop_expired_lease(&self, lease: Duration) {
        if let Some((since, generation)) = self.lease.get()
            && since.elapsed() > lease
        {
            spdlog::info!("placer.ended", kv: { generation, reason = "lease ran out" });
            self.lease.set(None);
        }
    }

    /// Fencing token, while orders may be given.
    fn token(&self) -> Option<u64> {
        let (since, generation) = self.lease.get()?;
        let lease = LEASE.max(self.gateway.settings.lease_min);
        let is_fresh = since.elapsed() < lease.mul_f64(ACT_SHARE);
        (is_fresh && generation > self.refused_token.get()).then_some(generation)
    }

    /// Leaves the group at a planned stop.
    pub async fn close(&self) {
        self.lease.set(None);
        let host_id = &self.gateway.settings.host_id;
        if let Err(error) = self.gateway.platform.store.leave_group(host_id).await {
            spdlog::warn!("placer.leave_failed", kv: { error: });
        }
    }

    /// Looks at what is placed again and again, and orders what is missing.
    pub async fn place(self: Rc<Self>) {
        let mut known = 0;
        let mut settled_since = Instant::now();
        loop {
            sleep(TICK).await;
            let count = self.gateway.targets.all().len();
            if count != known {
                known = count;
                settled_since = Instant::now();
            }
            let Some(table) = self.gateway.table_cache.table() else {
                continue;
            };
            self.gateway.awaits_targets.set(false);
            if self.token().is_none() {
                continue;
            }
            for (service_id, service) in table.services() {
                let Some(engine) = &service.engine else {
                    continue;
                };
                let targets = self.gateway.targets.of_service(service_id);
                let is_new = targets
                    .iter()
                    .all(|target| target.entry.borrow().layers.is_none());
                if !is_new {
                    self.place_service(service_id, engine, &targets);
                } else if settled_since.elapsed() >= SETTLED {
                    self.place_all(service_id, engine, &targets).await;
                } else {
                    self.gateway.awaits_targets.set(true);
                }
            }
        }
    }

    /// Places a model on engines that are all empty.
    async fn place_all(
        self: &Rc<Self>,
        service_id: &ServiceId,
        engine: &EngineProfile,
        targets: &[Rc<Target>],
    ) {
        let now = Instant::now();
        let accelerators: Vec<Accelerator> = self
            .accelerators(engine, targets, now)
            .into_iter()
            .filter(|accelerator| accelerator.holds.is_none())
            .collect();
        if accelerators.is_empty() {
            return;
        }
        let mut climb = HillClimb::new(engine, &accelerators);
        let mut steps = 0;
        while steps < CLIMB_STEP_CARDS / accelerators.len() && now.elapsed() < CLIMB_TIME {
            steps += 1;
            climb.step(&mut *self.gateway.rng());
            // Requests and leases go on meanwhile.
            tokio::task::yield_now().await;
        }
        spdlog::info!("placer.layout", kv: {
            service = service_id.as_str(),
            cards = accelerators.len(),
            steps,
            rate_per_s = climb.rate_per_s(),
            took_ms = now.elapsed().as_millis() as u64,
        });
        let layout = climb.into_layout();
        for target in targets {
            if let Some(layers) = layout.get(&target.id)
                && target.entry.borrow().layers.is_none()
                && self.pending(target, Instant::now()).is_none()
            {
                self.give(service_id, engine, target, *layers);
            }
        }
    }

    /// The accelerators of the targets that take requests.
    fn accelerators(
        &self,
        engine: &EngineProfile,
        targets: &[Rc<Target>],
        now: Instant,
    ) -> Vec<Accelerator> {
        let mut accelerators = Vec::new();
        for target in targets {
            if !target.is_listed_ready() {
                continue;
            }
            let entry = target.entry.borrow();
            let Some(kind) = entry.kind.as_ref().and_then(|kind| engine.kinds.get(kind)) else {
                continue;
            };
            accelerators.push(Accelerator {
                target: target.id.clone(),
                data_centre: entry.data_centre.clone(),
                kind: *kind,
                holds: entry
                    .layers
                    .map(|(range, _)| range)
                    .or_else(|| self.pending(target, now)),
            });
        }
        accelerators
    }

    /// Fills the engines that are empty, and moves one where layers are short.
    fn place_service(
        self: &Rc<Self>,
        service_id: &ServiceId,
        engine: &EngineProfile,
        targets: &[Rc<Target>],
    ) {
        let now = Instant::now();
        let accelerators = self.accelerators(engine, targets, now);
        let layout = layout::choose(engine, &accelerators, |accelerator| {
            accelerator.holds.is_none()
        });
        self.rebalance(service_id, engine, targets, &accelerators, now);
        for target in targets {
            let Some(layers) = layout.get(&target.id).copied() else {
                continue;
            };
            let is_empty = target.entry.borrow().layers.is_none();
            if !is_empty || self.pending(target, now).is_some() {
                continue;
            }
            self.give(service_id, engine, target, layers);
        }
    }

    /// Moves one card of each data centre where that mends a shortage, while nothing else is under
    /// way there.
    fn rebalance(
        self: &Rc<Self>,
        service_id: &ServiceId,
        engine: &EngineProfile,
        targets: &[Rc<Target>],
        accelerators: &[Accelerator],
        now: Instant,
    ) {
        for step in layout::rebalance(engine, accelerators, REBALANCE_PRICE_SHARE) {
            let is_unsettled = targets.iter().any(|target| {
                let entry = target.entry.borrow();
                entry.data_centre == step.data_centre
                    && target.is_listed_ready()
                    && (entry.layers.is_none() || self.pending(target, now).is_some())
            });
            let changed = self.shortage_since.borrow().get(&step.data_centre).copied();
            let since = match changed {
                Some(since) if !is_unsettled => since,
                _ => {
                    self.shortage_since
                        .borrow_mut()
                        .insert(step.data_centre.clone(), now);
                    continue;
                }
            };
            if now.duration_since(since) < REBALANCE_WAIT {
                continue;
            }
            if let Some(target) = targets.iter().find(|target| target.id == step.target) {
                spdlog::info!("placer.rebalance", kv: {
                    target = target.id.as_str(),
                    data_centre = step.data_centre.as_str(),
                    layers: = step.layers,
                    price_share = step.price_share,
                });
                self.give(service_id, engine, target, step.layers);
                self.shortage_since
                    .borrow_mut()
                    .insert(step.data_centre.clone(), now);
            }
        }
    }

    /// Layers that a target was ordered to hold and may not show yet.
    fn pending(&self, target: &Target, now: Instant) -> Option<LayerRange> {
        let given = *self.given.borrow().get(&target.id)?;
        let same_run = given.started_unix_ms == target.entry.borrow().started_unix_ms;
        (same_run && given.until > now).then_some(given.layers)
    }

    fn give(
        self: &Rc<Self>,
        service_id: &ServiceId,
        engine: &EngineProfile,
        target: &Rc<Target>,
        layers: LayerRange,
    ) {
        let Some(fencing_token) = self.token() else {
            return;
        };
        let entry = target.entry.borrow();
        let share = f64::from(layers.count()) / f64::from(engine.layer_count.max(1));
        let patience = engine.load_time.mul_f64(share * LOAD_PATIENCE) + UNCERTAIN_PAUSE;
        let given = Given {
            layers,
            started_unix_ms: entry.started_unix_ms,
            until: Instant::now() + patience,
        };
        self.given.borrow_mut().insert(target.id.clone(), given);
        let order = PlaceOrder {
            target: target.id.clone(),
            address: entry.address,
            layers,
            fencing_token,
            // An engine that holds nothing has most likely had no order.
            order_count: self.order_count(&target.id, entry.started_unix_ms),
        };
        let started_unix_ms = entry.started_unix_ms;
        spdlog::info!("placer.order", kv: {
            target = order.target.as_str(),
            service = service_id.as_str(),
            layers: = layers,
            token = fencing_token,
            order_count = order.order_count,
            list_age_ms = self.gateway.targets.age().map_or(0, |age| age.as_millis() as u64),
        });
        let placer = Rc::clone(self);
        tokio::task::spawn_local(async move {
            placer.await_answer(order, started_unix_ms).await;
        });
    }

    fn order_count(&self, target: &TargetId, started_unix_ms: u64) -> u64 {
        let key = (target.clone(), started_unix_ms);
        self.order_counts.borrow().get(&key).copied().unwrap_or(0)
    }

    /// Reads an engine's state back after an order that did not fit it.
    async fn read_state(&self, order: &PlaceOrder, started_unix_ms: u64) {
        let orders = &self.gateway.platform.orders;
        match orders.report(&order.target, order.address).await {
            Ok(state) => {
                spdlog::info!("placer.state", kv: {
                    target = order.target.as_str(),
                    order_count = state.order_count,
                    is_busy = state.is_busy,
                    layers = state.layers.map_or_else(String::new, |layers| layers.to_string()).as_str(),
                });
                self.order_counts
                    .borrow_mut()
                    .insert((order.target.clone(), started_unix_ms), state.order_count);
            }
            Err(error) => spdlog::warn!("placer.state_unknown", kv: {
                target = order.target.as_str(),
                error:,
            }),
        }
    }

    async fn await_answer(&self, order: PlaceOrder, started_unix_ms: u64) {
        let answer = self.gateway.platform.orders.place(&order).await;
        if matches!(answer, Ok(OrderResponse::Begun)) {
            self.order_counts.borrow_mut().insert(
                (order.target.clone(), started_unix_ms),
                order.order_count + 1,
            );
        }
        if matches!(answer, Ok(OrderResponse::Conflict)) {
            self.read_state(&order, started_unix_ms).await;
        }
        let retry = match &answer {
            Ok(OrderResponse::Begun | OrderResponse::Holds) => None,
            Ok(OrderResponse::Fenced) => {
                self.refused_token
                    .set(self.refused_token.get().max(order.fencing_token));
                Some(UNCERTAIN_PAUSE)
            }
            // The entry on the list tells the target's state with the next heartbeat.
            Ok(OrderResponse::Conflict | OrderResponse::Misdirected | OrderResponse::Refused) => {
                Some(self.gateway.settings.heartbeat)
            }
            Err(error) => match error.kind {
                PlatformErrorKind::NotExecuted => Some(TICK),
                // It may be carried out later.
                PlatformErrorKind::AnswerLost | PlatformErrorKind::Unreadable => {
                    Some(UNCERTAIN_PAUSE)
                }
            },
        };
        if let Some(pause) = retry
            && let Some(given) = self.given.borrow_mut().get_mut(&order.target)
            && given.layers == order.layers
        {
            given.until = Instant::now() + pause;
        }
        let text = match answer {
            Ok(answer) => answer.to_string(),
            Err(error) => error.to_string(),
        };
        spdlog::info!("placer.answer", kv: {
            target = order.target.as_str(),
            layers: = order.layers,
            token = order.fencing_token,
            answer = text.as_str(),
        });
    }
}
