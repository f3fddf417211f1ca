//! Places models on engines: for each model, one host at a time sends orders, under a lease.

mod codec;
mod engines;
mod lease;
mod pool;

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use anvil_core::{
    id::{
        ModelId,
        TargetId, //
    },
    lease::Holder, //
};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use self::pool::{
    Pool,
    Rank, //
};
use crate::{
    port::{
        ListRole,
        ListState, //
    },
    roster,
    roster::Roster,
    shared::Shared, //
};

pub use pool::PoolContext;

/// Time between two cycles of a pool.
const CYCLE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of hosts that are candidates for a model's lease.
const CANDIDATE_COUNT: usize = 2;

/// Places models until the host stops, and then releases its leases.
pub async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    let context = Arc::new(PoolContext {
        holder: Holder {
            host: shared.settings.host_id.clone(),
            incarnation: shared.incarnation,
        },
        ports: shared.ports.clone(),
        lease_stream_prefix: shared.settings.platform.lease_stream_prefix.clone(),
        lease: shared.settings.lease.clone(),
        placement: shared.settings.placement.clone(),
    });
    let mut pools: HashMap<ModelId, Pool> = HashMap::new();
    let mut ticks = tokio::time::interval(CYCLE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            _ = ticks.tick() => run_cycles(&shared, &context, &mut pools).await,
        }
    }
    futures::future::join_all(pools.into_values().map(Pool::close)).await;
}

async fn run_cycles(
    shared: &Shared,
    context: &Arc<PoolContext>,
    pools: &mut HashMap<ModelId, Pool>,
) {
    let document = Arc::clone(&shared.config().document);
    let members = shared.roster().members();
    let list = shared.listing.latest();
    let is_leaving = |name: &TargetId| {
        list.snapshot.state_of(ListRole::Target, name) == Some(ListState::Leaving)
    };
    for model_id in document.placements.keys() {
        let candidates = roster::choose(&members, &format!("placer/{model_id}"), CANDIDATE_COUNT);
        let position = candidates
            .iter()
            .position(|member| member.address.id == context.holder.host);
        let rank = match position {
            Some(0) => Rank::First,
            Some(_) => Rank::Second,
            None => Rank::Other,
        };
        if rank == Rank::Other && !pools.contains_key(model_id) {
            continue;
        }
        let pool = pools
            .entry(model_id.clone())
            .or_insert_with(|| Pool::new(Arc::clone(context), model_id.clone()));
        pool.run_cycle(&document, &is_leaving, rank, Instant::now())
            .await;
        if rank == Rank::Other && !pool.holds_lease() {
            pools.remove(model_id);
        }
    }
}

#[cfg(test)]
mod tests;
