//! Places models on engines. One host of the fleet, the placer, holds the lease and sends the
//! orders.

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
        FencingToken,
        LayerRange,
        ServiceId,
        TargetId, //
    },
    layout::{
        self,
        Accelerator,
        CheckState,
        HillClimb,
        Layout,
        Move,
        RateCheck, //
    },
    reachability::Belief,
};
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    clock::BootTime,
    gateway::{
        Gateway,
        Phase, //
    },
    peers,
    port::{
        GroupMembership,
        OrderResponse,
        PlaceOrder,
        PlatformErrorKind, //
    },
    target::Target,
};

use lease::Lease;

mod lease;

#[cfg(test)]
mod tests;

/// Duration of the lease. It is longer than a slow answer of the store, and short enough that
/// engines that come back empty are filled again soon after the placer is lost.
const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Share of the lease duration after which the lease is renewed.
const LEASE_RENEW_SHARE: f64 = 0.35;
/// Interval between two checks of the placement.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a change in the number of targets after which the target list counts as complete at
/// the start. It is longer than the interval between two reads of the list by a host that holds the
/// lease.
const LIST_SETTLE_TIME: Duration = Duration::from_millis(1100);
/// Largest product of the steps of the layout search and the number of accelerators. The time of a
/// step grows with the accelerators, and loads must begin some seconds after the start.
const SEARCH_LIMIT_STEP_ACCELERATORS: usize = 8000;
/// Largest product of the parts of a computation between two turns of other tasks and the number of
/// accelerators, to which the time of a part is proportional.
const TURN_LIMIT_PART_ACCELERATORS: usize = 1000;
/// Longest duration of the layout search on a slow host.
const SEARCH_TIME_MAX: Duration = Duration::from_millis(2500);
/// Delay after the start before a host may join the group that elects the placer. By then, hosts
/// that start together have heard from one another, and those that are not readers stay out.
const GROUP_JOIN_DELAY: Duration = Duration::from_millis(1200);
/// Time for which a host must have read the store for others before it may join that group.
const READING_TIME_MIN: Duration = Duration::from_secs(1);
/// Time for which an order without a certain answer blocks other orders for its target.
const UNCERTAIN_ORDER_PAUSE: Duration = Duration::from_millis(1500);
/// Time after which an order that has begun may be sent again, as a multiple of the time that the
/// load takes alone.
const LOAD_TIMEOUT_FACTOR: f64 = 6.0;

/// Ratio of the shortage after a move to the shortage before it, up to which the move is worth the
/// time for which its accelerator serves nobody.
const REBALANCE_SHORTAGE_RATIO_MAX: f64 = 0.7;
/// Time for which a shortage must last before an accelerator is moved, because a crashed one may
/// come back.
const REBALANCE_DELAY: Duration = Duration::from_millis(1500);

/// Most moves of a data centre whose rates are computed in one check, those that reduce the shortage
/// most first.
const REBALANCE_CHECKS_MAX: usize = 8;

/// An order that was sent to a target.
#[derive(Clone, Copy, Debug)]
struct SentOrder {
    layers: LayerRange,
    /// Start of the run of the target that the order was sent to.
    started_unix_ms: u64,
    /// Time until which no other order is sent to the target.
    blocked_until: Instant,
}

/// A layout for engines that hold no layers, which is ordered when this host holds the lease.
#[derive(Debug)]
struct PlannedLayout {
    /// Engines that the layout is for.
    accelerators: Vec<Accelerator>,
    layout: Layout,
}

/// Places models on engines while this host holds the lease.
pub struct Placer {
    gateway: Rc<Gateway>,
    lease: RefCell<Lease>,
    /// Since when this host has read the store for others without a break, as checked at intervals.
    reading_since: Cell<Option<Instant>>,
    /// When the store was last asked to make this host a member of the group, or to keep it one. `None`
    /// after this host has left the group.
    joined_at: Cell<Option<BootTime>>,
    sent_orders: RefCell<HashMap<TargetId, SentOrder>>,
    /// Start of the wait before a move, by data centre: when a shortage that a move would reduce
    /// was first seen there, an accelerator was last moved, or a target was last seen empty or with
    /// a pending order.
    shortage_since: RefCell<HashMap<DataCentreId, Instant>>,
    /// Layouts that were found and not ordered yet. They outlive the lease, because a search may
    /// outlast it.
    planned: RefCell<HashMap<ServiceId, PlannedLayout>>,
    /// Orders that each run of a target has accepted, as far as this host knows.
    order_counts: RefCell<HashMap<(TargetId, u64), u64>>,
}

impl Placer {
    /// Creates a placer that doesn't hold the lease yet.
    pub fn new(gateway: Rc<Gateway>) -> Self {
        Self {
            gateway,
            lease: RefCell::new(Lease::default()),
            reading_since: Cell::new(Some(Instant::now())),
            joined_at: Cell::new(None),
            sent_orders: RefCell::new(HashMap::new()),
            shortage_since: RefCell::new(HashMap::new()),
            planned: RefCell::new(HashMap::new()),
            order_counts: RefCell::new(HashMap::new()),
        }
    }

    /// Keeps this host in the group that elects the placer while it reads the store for its peers,
    /// because the placer must know the target list early. A host that holds the lease stays in the
    /// group. Any other host leaves it: the store may grant the lease to each member, also to one that
    /// would not ask again. Never returns.
    pub async fn maintain_lease(self: Rc<Self>) {
        let duration = self.lease_duration();
        sleep(GROUP_JOIN_DELAY).await;
        loop {
            let mut pause = PLACEMENT_INTERVAL;
            if self.stands_for_election() {
                self.join_group(duration).await;
                // A host that was told to stop meanwhile leaves the group without a pause.
                if self.stands_for_election() {
                    pause = self.renewal_pause();
                }
            } else if self.is_member() && !self.leave_group().await {
                pause = self.renewal_pause();
            }
            sleep(pause).await;
        }
    }

    /// Returns whether this host is to be a member of the group. One that is cut off from engines is
    /// not: its orders would reach none. Nor is one that has only begun to read, because many hosts
    /// read for a moment when they miss a relay.
    fn stands_for_election(&self) -> bool {
        if !peers::is_reader(&self.gateway) {
            self.reading_since.set(None);
        } else if self.reading_since.get().is_none() {
            self.reading_since.set(Some(Instant::now()));
        }
        let has_read = self
            .reading_since
            .get()
            .is_some_and(|since| since.elapsed() >= READING_TIME_MIN);
        self.gateway.phase() == Phase::Serving
            && !self.is_cut_off_from_engines()
            && (self.lease.borrow().is_held() || has_read)
    }

    fn is_cut_off_from_engines(&self) -> bool {
        let table = self.gateway.table_cache.table();
        table.is_some_and(|table| {
            table.services().any(|(id, service)| {
                service.engine.is_some() && self.gateway.link.belief(id) == Belief::CutOff
            })
        })
    }

    /// Returns whether the store may count this host as a member of the group.
    fn is_member(&self) -> bool {
        let duration = self.lease_duration();
        self.joined_at
            .get()
            .is_some_and(|joined_at| joined_at.elapsed() <= duration)
    }

    fn renewal_pause(&self) -> Duration {
        let pause = self.lease_duration().mul_f64(LEASE_RENEW_SHARE);
        self.gateway.random_duration(pause.mul_f64(0.8), pause)
    }

    async fn join_group(&self, duration: Duration) {
        let requested_at = BootTime::now();
        let store = &self.gateway.platform.store;
        let generation = self.lease.borrow().generation(store.era());
        let joined = store
            .join_group(&self.gateway.settings.host_id, duration, generation)
            .await;
        // An answer that was lost may still have made this host a member.
        self.joined_at.set(Some(BootTime::now()));
        match joined {
            Ok(membership) if self.gateway.phase() == Phase::Serving => {
                self.apply_membership(membership, requested_at);
            }
            Ok(_) => {}
            Err(error) => {
                spdlog::warn!("placer.lease_not_renewed", kv: { error: });
                self.drop_expired_lease();
            }
        }
    }

    /// Leaves the group. Returns whether the store confirmed it.
    async fn leave_group(&self) -> bool {
        self.lease.borrow_mut().give_up();
        let host_id = &self.gateway.settings.host_id;
        match self.gateway.platform.store.leave_group(host_id).await {
            Ok(()) => {
                self.joined_at.set(None);
                spdlog::info!("placer.left", kv: {
                    is_reader = peers::is_reader(&self.gateway),
                    is_stopping = self.gateway.phase() != Phase::Serving,
                });
                true
            }
            Err(error) => {
                spdlog::warn!("placer.leave_failed", kv: { error: });
                false
            }
        }
    }

    fn lease_duration(&self) -> Duration {
        LEASE_DURATION.max(self.gateway.settings.lease_min)
    }

    fn apply_membership(&self, membership: GroupMembership, requested_at: BootTime) {
        self.drop_expired_lease();
        let mut lease = self.lease.borrow_mut();
        let was_placer = lease.is_held();
        let GroupMembership {
            era,
            generation,
            is_placer,
        } = membership;
        if !lease.is_same(membership) {
            spdlog::info!("placer.membership", kv: {
                era,
                generation,
                is_placer,
                is_reader = peers::is_reader(&self.gateway),
                is_stopping = self.gateway.phase() != Phase::Serving,
                answered_after_ms = requested_at.elapsed().as_millis() as u64,
            });
        }
        if is_placer && !was_placer {
            spdlog::info!("placer.began", kv: { era, generation });
            self.sent_orders.borrow_mut().clear();
            self.order_counts.borrow_mut().clear();
        }
        if !is_placer && was_placer {
            spdlog::info!("placer.ended", kv: {
                era,
                generation,
                reason = "another host is the placer",
            });
        }
        lease.renew(membership, requested_at);
    }

    fn drop_expired_lease(&self) {
        let era = self.gateway.platform.store.era();
        let mut lease = self.lease.borrow_mut();
        if let Some(reason) = lease.expire(self.lease_duration(), era) {
            spdlog::info!("placer.ended", kv: { era, reason });
        }
    }

    /// Returns the fencing token, or `None` while this host must not send orders.
    fn token(&self) -> Option<FencingToken> {
        let era = self.gateway.platform.store.era();
        self.lease.borrow().token(self.lease_duration(), era)
    }

    /// Gives up the lease and leaves the group that elects the placer, at a planned stop. A failure to
    /// leave is logged, and tried again by [`Self::maintain_lease`].
    pub async fn close(&self) {
        if self.is_member() {
            self.leave_group().await;
        }
    }

    /// Checks the placement at intervals and sends the orders that are missing. Never returns.
    pub async fn place(self: Rc<Self>) {
        let mut known_count = 0;
        let mut settled_since = Instant::now();
        let mut had_token = false;
        loop {
            sleep(PLACEMENT_INTERVAL).await;
            let count = self.gateway.targets.all().len();
            if count != known_count {
                known_count = count;
                settled_since = Instant::now();
            }
            let Some(table) = self.gateway.table_cache.table() else {
                continue;
            };
            self.gateway.awaits_targets.set(false);
            if self.token().is_none() {
                had_token = false;
                continue;
            }
            if !had_token {
                // Only now the list is read often enough.
                settled_since = Instant::now();
                had_token = true;
            }
            for (service_id, service) in table.services() {
                let Some(engine) = &service.engine else {
                    continue;
                };
                let targets = self.gateway.targets.of_service(service_id);
                let is_unplaced = targets
                    .iter()
                    .all(|target| target.entry.borrow().layers.is_none());
                if !is_unplaced {
                    self.place_service(service_id, engine, &targets).await;
                } else if settled_since.elapsed() >= LIST_SETTLE_TIME {
                    self.place_all(service_id, engine, &targets).await;
                } else {
                    self.gateway.awaits_targets.set(true);
                }
            }
        }
    }

    /// Places a model on engines that all hold no layers. If this host loses the lease during the
    /// search, the layout is kept until it holds the lease again.
    async fn place_all(
        self: &Rc<Self>,
        service_id: &ServiceId,
        engine: &EngineProfile,
        targets: &[Rc<Target>],
    ) {
        let mut accelerators = self.accelerators(engine, targets, Instant::now());
        accelerators.retain(|accelerator| accelerator.holds.is_none());
        if accelerators.is_empty() {
            return;
        }
        let planned = self.planned.borrow_mut().remove(service_id);
        let planned = match planned {
            Some(planned) if planned.accelerators == accelerators => planned,
            _ => self.search_layout(service_id, engine, accelerators).await,
        };
        if self.token().is_none() {
            spdlog::warn!("placer.orders_withheld", kv: {
                service = service_id.as_str(),
                orders = planned.layout.len(),
                reason = "this host lost the lease during the search",
            });
            self.planned
                .borrow_mut()
                .insert(service_id.clone(), planned);
            return;
        }
        for target in targets {
            if let Some(layers) = planned.layout.get(&target.id)
                && target.entry.borrow().layers.is_none()
                && self.pending_layers(target, Instant::now()).is_none()
            {
                self.send_order(service_id, engine, target, *layers);
            }
        }
    }

    async fn search_layout(
        &self,
        service_id: &ServiceId,
        engine: &EngineProfile,
        accelerators: Vec<Accelerator>,
    ) -> PlannedLayout {
        let now = Instant::now();
        let mut search = HillClimb::new(engine, &accelerators);
        let mut longest_turn = Duration::ZERO;
        let steps_max = SEARCH_LIMIT_STEP_ACCELERATORS / accelerators.len();
        let parts_per_turn = parts_per_turn(&accelerators);
        while search.step_count() < steps_max && now.elapsed() < SEARCH_TIME_MAX {
            let began_at = Instant::now();
            for _ in 0..parts_per_turn {
                search.advance(&mut *self.gateway.rng());
            }
            longest_turn = longest_turn.max(began_at.elapsed());
            // Lets requests, reports to peers and lease renewals run.
            tokio::task::yield_now().await;
        }
        spdlog::info!("placer.layout", kv: {
            service = service_id.as_str(),
            cards = accelerators.len(),
            steps = search.step_count(),
            rate_per_s = search.rate_per_s(),
            took_ms = now.elapsed().as_millis() as u64,
            longest_turn_ms = longest_turn.as_millis() as u64,
        });
        let layout = search.into_layout();
        PlannedLayout {
            accelerators,
            layout,
        }
    }

    /// Returns the accelerators of the targets that take requests.
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
                    .or_else(|| self.pending_layers(target, now)),
            });
        }
        accelerators
    }

    /// Places layers on empty engines, and moves an accelerator where layers are short.
    async fn place_service(
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
        for target in targets {
            let Some(layers) = layout.get(&target.id).copied() else {
                continue;
            };
            let is_empty = target.entry.borrow().layers.is_none();
            if !is_empty || self.pending_layers(target, now).is_some() {
                continue;
            }
            self.send_order(service_id, engine, target, layers);
        }
        self.rebalance(service_id, engine, targets, &accelerators)
            .await;
    }

    /// Moves one accelerator in each data centre where this reduces a shortage that has lasted, unless
    /// a target there is still empty or has a pending order.
    async fn rebalance(
        self: &Rc<Self>,
        service_id: &ServiceId,
        engine: &EngineProfile,
        targets: &[Rc<Target>],
        accelerators: &[Accelerator],
    ) {
        let moves = layout::moves(engine, accelerators, REBALANCE_SHORTAGE_RATIO_MAX);
        for (data_centre, mut moves) in moves {
            if !self.is_rebalance_due(&data_centre, targets) {
                continue;
            }
            moves.truncate(REBALANCE_CHECKS_MAX);
            let found = check_moves(engine, accelerators, moves).await;
            self.shortage_since
                .borrow_mut()
                .insert(data_centre, Instant::now());
            let Some(found) = found else {
                continue;
            };
            if let Some(target) = targets.iter().find(|target| target.id == found.target) {
                spdlog::info!("placer.rebalance", kv: {
                    target = target.id.as_str(),
                    data_centre = found.data_centre.as_str(),
                    layers: = found.layers,
                    price_share = found.price_share,
                });
                self.send_order(service_id, engine, target, found.layers);
            }
        }
    }

    /// Returns whether a shortage of a data centre has lasted for long enough that an accelerator is
    /// moved. Starts the wait anew while a target there is empty or has a pending order.
    fn is_rebalance_due(&self, data_centre: &DataCentreId, targets: &[Rc<Target>]) -> bool {
        let now = Instant::now();
        let is_unsettled = targets.iter().any(|target| {
            let entry = target.entry.borrow();
            entry.data_centre == *data_centre
                && target.is_listed_ready()
                && (entry.layers.is_none() || self.pending_layers(target, now).is_some())
        });
        let mut shortage_since = self.shortage_since.borrow_mut();
        match shortage_since.get(data_centre) {
            Some(since) if !is_unsettled => now.duration_since(*since) >= REBALANCE_DELAY,
            _ => {
                shortage_since.insert(data_centre.clone(), now);
                false
            }
        }
    }

    /// Returns the layers that a target was ordered to hold and may not list yet.
    fn pending_layers(&self, target: &Target, now: Instant) -> Option<LayerRange> {
        let sent = *self.sent_orders.borrow().get(&target.id)?;
        let same_run = sent.started_unix_ms == target.entry.borrow().started_unix_ms;
        (same_run && sent.blocked_until > now).then_some(sent.layers)
    }

    fn send_order(
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
        let layer_share = f64::from(layers.count()) / f64::from(engine.layer_count.max(1));
        let block_time =
            engine.load_time.mul_f64(layer_share * LOAD_TIMEOUT_FACTOR) + UNCERTAIN_ORDER_PAUSE;
        let sent = SentOrder {
            layers,
            started_unix_ms: entry.started_unix_ms,
            blocked_until: Instant::now() + block_time,
        };
        self.sent_orders
            .borrow_mut()
            .insert(target.id.clone(), sent);
        let order = PlaceOrder {
            target: target.id.clone(),
            address: entry.address,
            layers,
            fencing_token,
            // An engine that holds nothing has most likely accepted no order, so an unknown count
            // is 0.
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

    /// Reads an engine's state back after it refused an order that conflicts with that state.
    async fn read_back_state(&self, order: &PlaceOrder, started_unix_ms: u64) {
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
            self.read_back_state(&order, started_unix_ms).await;
        }
        let retry = match &answer {
            Ok(OrderResponse::Begun | OrderResponse::Holds) => None,
            Ok(OrderResponse::Fenced) => {
                self.lease.borrow_mut().record_refused(order.fencing_token);
                Some(UNCERTAIN_ORDER_PAUSE)
            }
            // The target's entry shows its state after the next heartbeat.
            Ok(OrderResponse::Conflict | OrderResponse::Misdirected | OrderResponse::Refused) => {
                Some(self.gateway.settings.heartbeat)
            }
            Err(error) => match error.kind {
                PlatformErrorKind::NotExecuted => Some(PLACEMENT_INTERVAL),
                // The order may still be executed later.
                PlatformErrorKind::AnswerLost | PlatformErrorKind::Unreadable => {
                    Some(UNCERTAIN_ORDER_PAUSE)
                }
            },
        };
        if let Some(pause) = retry
            && let Some(sent) = self.sent_orders.borrow_mut().get_mut(&order.target)
            && sent.layers == order.layers
        {
            sent.blocked_until = Instant::now() + pause;
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

/// Returns the number of parts of a computation over accelerators between two turns of other tasks.
fn parts_per_turn(accelerators: &[Accelerator]) -> usize {
    (TURN_LIMIT_PART_ACCELERATORS / accelerators.len().max(1)).max(1)
}

/// Returns the first of some moves that raises the rate, if one does.
async fn check_moves(
    engine: &EngineProfile,
    accelerators: &[Accelerator],
    moves: Vec<Move>,
) -> Option<Move> {
    let mut check = RateCheck::new(engine, accelerators, moves);
    loop {
        for _ in 0..parts_per_turn(accelerators) {
            if let CheckState::Done(found) = check.advance() {
                return found;
            }
        }
        tokio::task::yield_now().await;
    }
}
