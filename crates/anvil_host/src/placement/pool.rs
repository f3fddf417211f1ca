//! One model's pool, as its placer or a candidate sees it.

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

/// Longest wait for an order's answer.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an order counts as carried out at the least, whatever reports say.
const ORDERED_TIME_MIN: Duration = Duration::from_secs(10);

/// What pools are made of.
pub struct PoolContext {
    /// This run of this host.
    pub holder: Holder,
    /// The systems around the host.
    pub ports: Ports,
    /// Prefix of the lease streams.
    pub lease_stream_prefix: SmolStr,
    /// How leases are held.
    pub lease: lease::Settings,
    /// How models are placed.
    pub placement: Settings,
}

/// Place of this host among the candidates for a model's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// It should hold the lease.
    First,
    /// It takes over where the first does not.
    Second,
    /// It takes nothing, and keeps what it has.
    Other,
}

/// One model's pool.
pub struct Pool {
    parts: Arc<PoolContext>,
    model_id: ModelId,
    lease: Lease,
    planner: Planner,
    ordered: PendingOrders,
    /// Engines that have seen a token of this host's present lease. Invariant: empty while it holds
    /// none.
    fenced: HashSet<TargetId>,
    /// When this host took the lease over, while it holds it.
    leader_since: Option<Instant>,
    /// When the lease was last seen held by another, or first looked at.
    waited_since: Option<Instant>,
}

impl Pool {
    /// Makes a pool that this host does not place.
    pub fn new(parts: Arc<PoolContext>, model_id: ModelId) -> Self {
        let lease = Lease::new(
            Arc::clone(&parts.ports.log),
            format_smolstr!("{}-{model_id}", parts.lease_stream_prefix),
            parts.holder.clone(),
            parts.lease.clone(),
        );
        Self {
            planner: Planner::new(parts.placement.clone()),
            parts,
            model_id,
            lease,
            ordered: PendingOrders::new(),
            fenced: HashSet::new(),
            leader_since: None,
            waited_since: None,
        }
    }

    /// Tells whether this host places the pool.
    pub fn holds_lease(&self) -> bool {
        self.leader_since.is_some()
    }

    /// Keeps the lease, and where this host holds it, reads the pool back and gives orders.
    pub async fn run_cycle(
        &mut self,
        document: &Document,
        is_leaving: &(dyn Fn(&TargetId) -> bool + Send + Sync),
        rank: Rank,
        now: Instant,
    ) {
        let wants = self.wants(rank, now);
        if let Err(error) = self.lease.maintain(wants).await {
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
        self.ordered.retain(|_, orders| {
            orders.retain(|(_, until)| *until > now);
            !orders.is_empty()
        });
        let engine = Arc::clone(&self.parts.ports.engine);
        let seen = engines::read_back(
            engine.as_ref(),
            document,
            &self.model_id,
            is_leaving,
            &self.ordered,
        )
        .await;
        self.fence(&seen).await;
        for decision in self.plan(document, &seen, leader_since).await {
            self.order(decision, &seen).await;
        }
    }

    /// The second candidate gives the first a lease's time to take it.
    fn wants(&mut self, rank: Rank, now: Instant) -> bool {
        let since = *self.waited_since.get_or_insert(now);
        match rank {
            Rank::First => true,
            Rank::Second => now.duration_since(since) > self.parts.lease.duration,
            Rank::Other => false,
        }
    }

    async fn plan(
        &mut self,
        document: &Document,
        seen: &PoolSnapshot,
        leader_since: Instant,
    ) -> Vec<Decision> {
        let (Some(model), Some(bounds)) = (
            document.models.get(&self.model_id),
            document.placements.get(&self.model_id),
        ) else {
            return Vec::new();
        };
        let Ok(store) = self.parts.ports.weight_store.state().await else {
            spdlog::warn!("placement.weight_store_unavailable");
            return Vec::new();
        };
        let now = Instant::now().into_std();
        self.planner.demand_mut().observe(
            seen.used_token_layers_per_s,
            seen.capacity_token_layers_per_s,
            seen.mean_queue_depth_steps,
            now,
        );
        let view = View {
            model_id: &self.model_id,
            model,
            bounds,
            engines: &seen.engines,
            store_rate_bytes_per_s: store.rate_bytes_per_s,
            store_pending_bytes: store.pending_bytes,
            leader_since: leader_since.into_std(),
        };
        self.planner.plan(&view, now)
    }

    /// Shows this host's token to the engines that compare tokens, by ordering what they hold
    /// already. Until an engine has seen it, an order of the last placer could still reach it.
    async fn fence(&mut self, seen: &PoolSnapshot) {
        for engine in &seen.engines {
            let Some(held) = engine.holds.first() else {
                continue;
            };
            let is_due = engine.fencing == Fencing::Checked
                && engine.availability == Availability::InService
                && !self.fenced.contains(&engine.target);
            let (true, Some(address)) = (is_due, seen.addresses.get(&engine.target)) else {
                continue;
            };
            let Some(fencing_token) = self.lease.fencing_token(Instant::now()) else {
                return;
            };
            let order = Order {
                fencing_token,
                action: action_of(&Action::Load {
                    holding: held.clone(),
                    weight_bytes: 0,
                }),
            };
            if self.send(address, order).await {
                self.fenced.insert(engine.target.clone());
            }
        }
    }

    async fn order(&mut self, decision: Decision, seen: &PoolSnapshot) {
        let Some(address) = seen.addresses.get(&decision.target) else {
            return;
        };
        // Asked anew for each order: the lease may have lapsed since the last.
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
            action: action_of(&decision.action),
        };
        let sent = self.send(address, order).await;
        match (&decision.action, sent) {
            (Action::Load { holding, .. }, true) => {
                let until = Instant::now() + ORDERED_TIME_MIN + self.parts.placement.load_backlog;
                let orders = self.ordered.entry(decision.target).or_default();
                orders.push((holding.clone(), until));
            }
            (Action::Unload { .. }, true) => {
                let now = Instant::now().into_std();
                self.planner.demand_mut().restart_cool_down(now);
                self.ordered.remove(&decision.target);
            }
            (Action::Load { .. } | Action::Unload { .. }, false) => {}
        }
    }

    async fn send(&self, address: &TargetAddress, order: Order) -> bool {
        let sent = self.parts.ports.engine.order(address, order);
        match tokio::time::timeout(ORDER_TIMEOUT, sent).await {
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

    /// Gives the lease up, so that the next placer may start at once.
    pub async fn close(self) {
        if let Err(error) = self.lease.close().await {
            spdlog::warn!("placement.lease_not_yielded", kv: {
                model = self.model_id.as_str(),
                error: = error,
            });
        }
    }
}

fn action_of(action: &Action) -> OrderAction {
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
