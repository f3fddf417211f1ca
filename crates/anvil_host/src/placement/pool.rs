//! One model's pool, as seen by its placer or by a candidate for its lease.

use std::{
    collections::HashSet,
    sync::Arc,
    time::Duration, //
};

use anvil_core::{
    document::{
        Document,
        Fencing, //
    },
    id::{
        ModelId,
        TargetId, //
    },
    lease::{
        self,
        Holder, //
    },
    placement::{
        Action,
        Availability,
        Decision,
        Planner,
        Settings,
        View, //
    }, //
};
use smol_str::{
    SmolStr,
    format_smolstr, //
};
use tokio::time::Instant;

use super::{
    engines::{
        self,
        PendingOrders,
        PoolSnapshot, //
    },
    lease::Lease, //
};
use crate::port::{
    Order,
    OrderAction,
    Ports,
    TargetAddress, //
};

/// Longest wait for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum time for which a load order counts as carried out, whatever the reports say.
const ORDER_PENDING_MIN: Duration = Duration::from_secs(10);

/// What all pools of this host share.
pub struct PoolContext {
    /// Name and incarnation of this host, under which it holds leases.
    pub holder: Holder,
    /// Connections to the log, the engines and the weight store.
    pub ports: Ports,
    /// Prefix of the names of the lease streams.
    pub lease_stream_prefix: SmolStr,
    /// Settings of the leases.
    pub lease: lease::Settings,
    /// Settings of the planner.
    pub placement: Settings,
}

/// Rank of this host among the candidates for a model's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// The first candidate, which takes the lease as soon as it is free.
    First,
    /// The second candidate, which takes the lease if the first candidate does not.
    Second,
    /// Not a candidate. The host does not take the lease, but renews one that it already holds.
    Other,
}

/// The engines that one model may be placed on, and the model's lease.
pub struct Pool {
    context: Arc<PoolContext>,
    model_id: ModelId,
    lease: Lease,
    planner: Planner,
    pending_orders: PendingOrders,
    /// Engines that have seen a token of this host's current lease. Invariant: empty while this
    /// host does not hold the lease.
    fenced: HashSet<TargetId>,
    /// Time at which this host took the lease, or `None` while it does not hold the lease.
    leader_since: Option<Instant>,
    /// Time of the first cycle, from which the second candidate waits for the first one.
    waiting_since: Option<Instant>,
}

impl Pool {
    /// Creates a pool that this host does not place yet.
    pub fn new(context: Arc<PoolContext>, model_id: ModelId) -> Self {
        let lease = Lease::new(
            Arc::clone(&context.ports.log),
            format_smolstr!("{}-{model_id}", context.lease_stream_prefix),
            context.holder.clone(),
            context.lease.clone(),
        );
        Self {
            planner: Planner::new(context.placement.clone()),
            context,
            model_id,
            lease,
            pending_orders: PendingOrders::new(),
            fenced: HashSet::new(),
            leader_since: None,
            waiting_since: None,
        }
    }

    /// Returns whether this host held the lease in the last cycle, and so places the pool.
    pub fn holds_lease(&self) -> bool {
        self.leader_since.is_some()
    }

    /// Maintains the lease. While this host holds it, also reads the pool back and sends orders.
    pub async fn run_cycle(
        &mut self,
        document: &Document,
        is_leaving: &(dyn Fn(&TargetId) -> bool + Send + Sync),
        rank: Rank,
        now: Instant,
    ) {
        let wants_lease = self.wants_lease(rank, now);
        if let Err(error) = self.lease.maintain(wants_lease).await {
            spdlog::warn!("placement.lease_failed", kv: {
                model = self.model_id.as_str(),
                error: = error,
            });
        }
        if self.lease.fencing_token(Instant::now()).is_none() {
            self.leader_since = None;
            self.fenced.clear();
            return;
        }
        let leader_since = *self.leader_since.get_or_insert_with(Instant::now);
        self.pending_orders.retain(|_, orders| {
            orders.retain(|(_, until)| *until > now);
            !orders.is_empty()
        });
        let engine = Arc::clone(&self.context.ports.engine);
        let snapshot = engines::read_back(
            engine.as_ref(),
            document,
            &self.model_id,
            is_leaving,
            &self.pending_orders,
        )
        .await;
        self.send_fencing_token(&snapshot).await;
        for decision in self.plan(document, &snapshot, leader_since).await {
            self.execute(decision, &snapshot).await;
        }
    }

    /// Returns whether this host should take the lease. The second candidate leaves the first one
    /// the duration of a lease to take it.
    fn wants_lease(&mut self, rank: Rank, now: Instant) -> bool {
        let since = *self.waiting_since.get_or_insert(now);
        match rank {
            Rank::First => true,
            Rank::Second => now.duration_since(since) > self.context.lease.duration,
            Rank::Other => false,
        }
    }

    async fn plan(
        &mut self,
        document: &Document,
        snapshot: &PoolSnapshot,
        leader_since: Instant,
    ) -> Vec<Decision> {
        let (Some(model), Some(bounds)) = (
            document.models.get(&self.model_id),
            document.placements.get(&self.model_id),
        ) else {
            return Vec::new();
        };
        let Ok(store) = self.context.ports.weight_store.state().await else {
            spdlog::warn!("placement.weight_store_unavailable");
            return Vec::new();
        };
        let now = Instant::now().into_std();
        self.planner.demand_mut().observe(
            snapshot.used_token_layers_per_s,
            snapshot.capacity_token_layers_per_s,
            snapshot.mean_queue_depth_steps,
            now,
        );
        let view = View {
            model_id: &self.model_id,
            model,
            bounds,
            engines: &snapshot.engines,
            store_rate_bytes_per_s: store.rate_bytes_per_s,
            store_pending_bytes: store.pending_bytes,
            leader_since: leader_since.into_std(),
        };
        self.planner.plan(&view, now)
    }

    /// Sends this host's fencing token to the engines that check tokens, by ordering what they hold
    /// already. Until an engine has seen the token, it still accepts a late order of the previous
    /// placer.
    async fn send_fencing_token(&mut self, snapshot: &PoolSnapshot) {
        for engine in &snapshot.engines {
            let Some(holding) = engine.holds.first() else {
                continue;
            };
            let is_due = engine.fencing == Fencing::Checked
                && engine.availability == Availability::InService
                && !self.fenced.contains(&engine.target);
            let (true, Some(address)) = (is_due, snapshot.addresses.get(&engine.target)) else {
                continue;
            };
            let Some(fencing_token) = self.lease.fencing_token(Instant::now()) else {
                return;
            };
            let order = Order {
                fencing_token,
                action: order_action(&Action::Load {
                    holding: holding.clone(),
                    weight_bytes: 0,
                }),
            };
            if self.send(address, order).await {
                self.fenced.insert(engine.target.clone());
            }
        }
    }

    async fn execute(&mut self, decision: Decision, snapshot: &PoolSnapshot) {
        let Some(address) = snapshot.addresses.get(&decision.target) else {
            return;
        };
        // The token is requested for each order, because the lease may have expired since the last
        // one.
        let Some(fencing_token) = self.lease.fencing_token(Instant::now()) else {
            return;
        };
        spdlog::info!("placement.ordered", kv: {
            model = self.model_id.as_str(),
            target = decision.target.as_str(),
            action:? = decision.action,
            reason: = decision.reason,
            fencing_token,
        });
        let order = Order {
            fencing_token,
            action: order_action(&decision.action),
        };
        let sent = self.send(address, order).await;
        match (&decision.action, sent) {
            (Action::Load { holding, .. }, true) => {
                let until =
                    Instant::now() + ORDER_PENDING_MIN + self.context.placement.load_backlog;
                let orders = self.pending_orders.entry(decision.target).or_default();
                orders.push((holding.clone(), until));
            }
            (Action::Unload { .. }, true) => {
                let now = Instant::now().into_std();
                self.planner.demand_mut().restart_cool_down(now);
                self.pending_orders.remove(&decision.target);
            }
            (Action::Load { .. } | Action::Unload { .. }, false) => {}
        }
    }

    async fn send(&self, address: &TargetAddress, order: Order) -> bool {
        let call = self.context.ports.engine.order(address, order);
        match tokio::time::timeout(ORDER_TIMEOUT, call).await {
            Ok(Ok(())) => true,
            Ok(Err(error)) => {
                spdlog::warn!("placement.order_failed", kv: {
                    target = address.id.as_str(),
                    error: = error,
                });
                false
            }
            Err(_) => {
                spdlog::warn!("placement.order_lost", kv: { target = address.id.as_str() });
                false
            }
        }
    }

    /// Releases the lease, so that the next placer can start at once.
    pub async fn close(self) {
        if let Err(error) = self.lease.close().await {
            spdlog::warn!("placement.lease_not_yielded", kv: {
                model = self.model_id.as_str(),
                error: = error,
            });
        }
    }
}

fn order_action(action: &Action) -> OrderAction {
    match action {
        Action::Load {
            holding,
            weight_bytes,
        } => OrderAction::Load {
            model: holding.model.clone(),
            version: holding.version.clone(),
            layers: holding.layers,
            role: holding.role,
            weight_bytes: *weight_bytes,
        },
        Action::Unload { holding } => OrderAction::Unload {
            model: holding.model.clone(),
            version: holding.version.clone(),
            layers: holding.layers,
        },
    }
}
