//! Limits that targets state, as this host and its peers were told, and this host's share of them.

use std::time::Duration;

use anvil_core::{
    id::HostId,
    target_limit::{
        FleetDemand,
        Statement, //
    },
};
use tokio::time::Instant;

use crate::{
    gateway::Gateway,
    target::Target, //
};

/// Number of hosts that are assumed not to be heard from before the host list was read.
const UNKNOWN_HOSTS: usize = 40;
/// Time for which hosts tell one another that a target states no limit any more.
const NO_LIMIT_SHARED_TIME: Duration = Duration::from_secs(5);
/// Most limits that are shared with peers in one digest.
const SHARED_LIMITS_MAX: usize = 24;

/// What a target stated about its limit, as hosts share it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedLimit {
    /// Hash of the target's name.
    pub target_hash: u32,
    /// Requests a second that it takes; `None` if its answer named no limit.
    pub limit_per_s: Option<f64>,
    /// Time since that answer.
    pub age: Duration,
}

impl Gateway {
    /// Returns the requests of this host and its peers.
    pub fn fleet_demand(&self) -> FleetDemand {
        let view = self.peers_view();
        let unheard_count = match self.peers.borrow().listed_host_count() {
            Some(host_count) => host_count.saturating_sub(1 + view.live_hosts() as usize),
            None => UNKNOWN_HOSTS,
        };
        FleetDemand {
            data_centre: self.settings.data_centre.clone(),
            own_per_s: self.own_requests_per_s(),
            peers_per_s: view
                .hosts
                .iter()
                .map(|(data_centre, presence)| (data_centre.clone(), presence.requests_per_s))
                .collect(),
            unheard_count,
        }
    }

    /// Returns whether the limit of a target, if it states one, lets this host send it a request now.
    /// `demand` is computed at the first target with a limit.
    pub fn is_within_limit(
        &self,
        target: &Target,
        demand: &mut Option<FleetDemand>,
        now: Instant,
    ) -> bool {
        let Some(limit_per_s) = target.limit_per_s(now) else {
            return true;
        };
        let demand = demand.get_or_insert_with(|| self.fleet_demand());
        let share_per_s = demand.share_per_s(limit_per_s, &target.entry.borrow().data_centre);
        target.admits_within(share_per_s, now, self.random_unit())
    }

    /// Returns the limits to share with peers, the latest first.
    pub(crate) fn shared_limits(&self, now: Instant) -> Vec<SharedLimit> {
        let mut limits: Vec<SharedLimit> = self
            .targets
            .all()
            .iter()
            .filter_map(|target| {
                let statement = target.limit_statement(now)?;
                let age = now
                    .into_std()
                    .saturating_duration_since(statement.stated_at);
                let is_shared = statement.limit_per_s.is_some() || age <= NO_LIMIT_SHARED_TIME;
                is_shared.then_some(SharedLimit {
                    target_hash: target.id_hash,
                    limit_per_s: statement.limit_per_s,
                    age,
                })
            })
            .collect();
        limits.sort_by_key(|limit| (limit.age, limit.target_hash));
        limits.truncate(SHARED_LIMITS_MAX);
        limits
    }

    /// Merges the limits that a peer was told.
    pub(crate) fn merge_limits(&self, limits: &[SharedLimit], peer: &HostId, now: Instant) {
        if limits.is_empty() {
            return;
        }
        for target in self.targets.all() {
            let shared = limits
                .iter()
                .find(|limit| limit.target_hash == target.id_hash);
            if let Some(shared) = shared
                && let Some(stated_at) = now.into_std().checked_sub(shared.age)
            {
                let statement = Statement {
                    limit_per_s: shared.limit_per_s,
                    stated_at,
                };
                if target.record_limit(statement) {
                    log_limit(target.as_ref(), statement, peer);
                }
            }
        }
    }
}

/// Logs a changed limit. `source` is the peer that was told, or `own`.
pub(crate) fn log_limit(target: &Target, statement: Statement, source: &str) {
    spdlog::info!("target.limit_stated", kv: {
        target = target.id.as_str(),
        limit_per_s:? = statement.limit_per_s,
        source,
        age_ms = statement.stated_at.elapsed().as_millis() as u64,
    });
}
