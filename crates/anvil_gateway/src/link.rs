//! Opens connections to targets, and watches whether this host reaches targets at all.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    id::{
        RequestId,
        ServiceId, //
    },
    reachability::{
        Belief,
        Reachability, //
    },
};
use futures::future;
use tokio::{
    sync::{
        Notify,
        watch, //
    },
    time::timeout,
};

use crate::{
    gateway::Gateway,
    http1::{
        ConnectError,
        Connection, //
    },
    peers::tunnel,
    pool::PooledConnection,
    target::Target, //
};

#[cfg(test)]
mod tests;

/// Targets that are probed at once when this host may be cut off.
const PROBED_TARGETS: usize = 3;
/// Longest time of a probe: a few round trips and the time to accept.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait for the end of the probes.
const SETTLE_TIMEOUT: Duration = PROBE_TIMEOUT.saturating_add(Duration::from_millis(50));
/// Time between two probes of a host that is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// This host's links to the targets of each service.
#[derive(Debug)]
pub struct Link {
    reachability: RefCell<HashMap<ServiceId, Reachability>>,
    /// Notified when this host begins to suspect that it is cut off.
    suspected: Notify,
    /// Incremented when a suspicion ends.
    settled: watch::Sender<u64>,
}

impl Default for Link {
    fn default() -> Self {
        Self {
            reachability: RefCell::default(),
            suspected: Notify::new(),
            settled: watch::Sender::new(0),
        }
    }
}

impl Link {
    /// Returns what this host believes of its links to the targets of a service.
    pub fn belief(&self, service: &ServiceId) -> Belief {
        let reachability = self.reachability.borrow();
        reachability
            .get(service)
            .map_or(Belief::Connected, Reachability::belief)
    }

    /// Returns whether this host is cut off from the targets of any service.
    fn is_cut_off(&self) -> bool {
        let reachability = self.reachability.borrow();
        reachability
            .values()
            .any(|reachability| reachability.belief() == Belief::CutOff)
    }

    /// Returns the services from which this host is cut off.
    pub fn cut_off_services(&self) -> Vec<ServiceId> {
        let doubtful = self.doubtful().into_iter();
        let cut_off = doubtful.filter(|(_, belief)| *belief == Belief::CutOff);
        cut_off.map(|(service, _)| service).collect()
    }

    /// Returns the services to which this host may have no links, with its beliefs.
    fn doubtful(&self) -> Vec<(ServiceId, Belief)> {
        let reachability = self.reachability.borrow();
        reachability
            .iter()
            .map(|(service, reachability)| (service.clone(), reachability.belief()))
            .filter(|(_, belief)| *belief != Belief::Connected)
            .collect()
    }

    fn has_failed(&self, target: &Target) -> bool {
        let reachability = self.reachability.borrow();
        reachability
            .get(&target.entry.borrow().service)
            .is_some_and(|reachability| reachability.has_failed(&target.id))
    }

    fn record_success(&self, gateway: &Gateway, target: &Target) {
        let service = &target.entry.borrow().service;
        let mut reachability = self.reachability.borrow_mut();
        let Some(before) = reachability
            .get_mut(service)
            .map(Reachability::record_success)
        else {
            return;
        };
        if before == Belief::CutOff {
            spdlog::info!("link.restored", kv: {
                service = service.as_str(),
                target = target.id.as_str(),
            });
            gateway.tunnels.end();
        }
        if before != Belief::Connected {
            self.settled.send_modify(|count| *count += 1);
        }
    }

    fn record_failure(&self, gateway: &Gateway, target: &Target) {
        let service = target.entry.borrow().service.clone();
        let mut reachability = self.reachability.borrow_mut();
        let reachability = reachability.entry(service).or_default();
        let before = reachability.belief();
        let after = reachability.record_failure(&target.id, gateway.uptime());
        if before == Belief::Connected && after == Belief::Suspect {
            self.suspected.notify_one();
        }
    }

    /// Suspects that this host is cut off from a service, so that targets are probed.
    pub(crate) fn suspect(&self, service: &ServiceId) {
        let mut reachability = self.reachability.borrow_mut();
        if reachability.entry(service.clone()).or_default().suspect() {
            self.suspected.notify_one();
        }
    }

    /// Records that the probes failed too.
    fn record_failed_probes(&self, gateway: &Gateway, service: &ServiceId) {
        let now = gateway.uptime();
        let begun = {
            let mut reachability = self.reachability.borrow_mut();
            let Some(reachability) = reachability.get_mut(service) else {
                return;
            };
            let before = reachability.belief();
            reachability.record_failed_probes();
            let is_begun = before != Belief::CutOff && reachability.belief() == Belief::CutOff;
            is_begun.then(|| {
                (
                    reachability.unreached_count(),
                    reachability.unreached_time(now),
                )
            })
        };
        if let Some((unreached_targets, since)) = begun {
            spdlog::warn!("link.cut_off", kv: {
                service = service.as_str(),
                unreached_targets,
                since_ms = since.as_millis() as u64,
            });
            self.begin_cut(gateway, service);
        }
        self.settled.send_modify(|count| *count += 1);
    }

    /// Takes the consequences of a cut: nothing that this host saw of the targets counts against them,
    /// and other services may be cut off as well.
    fn begin_cut(&self, gateway: &Gateway, service: &ServiceId) {
        gateway.tunnels.begin(service);
        for target in gateway.targets.of_service(service) {
            target.end_avoidance();
            target.pool.clear();
        }
        for other in gateway.targets.services() {
            if other != *service {
                self.suspect(&other);
            }
        }
    }

    /// Returns the belief, once the probes that a suspicion began have ended.
    pub(crate) async fn settled_belief(&self, service: &ServiceId) -> Belief {
        let mut settled = self.settled.subscribe();
        let wait = settled.wait_for(|_| self.belief(service) != Belief::Suspect);
        // A wait that is not over by then leaves the suspicion as it is.
        let _in_time = timeout(SETTLE_TIMEOUT, wait).await.is_ok();
        self.belief(service)
    }
}

/// Longest times for a connection to a target.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time over this host's own links.
    pub direct: Duration,
    /// Time through another host if this one is cut off, with the search for one.
    pub through_peer: Duration,
}

/// Takes an idle connection to a target for a request, or opens one within `limits`. A request without
/// an id gets a new one that carries no other.
///
/// # Errors
///
/// Returns a [`ConnectError`] if no connection can be opened within `limits`.
pub async fn acquire(
    gateway: &Gateway,
    target: &Target,
    request: &RequestId,
    limits: Limits,
) -> Result<PooledConnection, ConnectError> {
    if request.is_empty() {
        let connection = open(gateway, target, limits).await?;
        return Ok(connection.into_single_use());
    }
    match target.pool.take_idle(request) {
        Some(connection) => Ok(connection),
        None => open(gateway, target, limits).await,
    }
}

/// Opens a new connection to a target within `limits`.
///
/// # Errors
///
/// Returns a [`ConnectError`] if no connection can be opened within `limits`.
pub async fn open(
    gateway: &Gateway,
    target: &Target,
    limits: Limits,
) -> Result<PooledConnection, ConnectError> {
    let service = target.entry.borrow().service.clone();
    let mut belief = gateway.link.belief(&service);
    let mut opened = None;
    if belief != Belief::CutOff {
        opened = Some(open_directly(gateway, target, limits.direct).await);
        if matches!(opened, Some(Err(_))) {
            belief = gateway.link.settled_belief(&service).await;
        }
    }
    let connection = match opened {
        Some(Ok(connection)) => connection,
        Some(Err(error)) if belief != Belief::CutOff => return Err(error),
        Some(Err(_)) | None => {
            match tunnel::open(gateway, target, limits.through_peer).await {
                Ok(connection) => connection,
                // The cut ended meanwhile.
                Err(_) if gateway.link.belief(&service) == Belief::Connected => {
                    open_directly(gateway, target, limits.direct).await?
                }
                Err(error) => return Err(error),
            }
        }
    };
    Ok(PooledConnection::new(connection))
}

/// Opens a connection to a target over this host's own links.
///
/// # Errors
///
/// Returns a [`ConnectError`] if the connection can't be opened within `limit`.
pub(crate) async fn open_directly(
    gateway: &Gateway,
    target: &Target,
    limit: Duration,
) -> Result<Connection, ConnectError> {
    let address = target.address();
    let opened = Connection::connect(address);
    let opened = gateway.run_clock.timeout(limit, opened).await;
    let opened = opened.unwrap_or(Err(ConnectError::Timeout {
        address,
        timeout: limit,
    }));
    let outcome = match &opened {
        Ok(_) => "opened",
        Err(ConnectError::Failed { .. }) => "failed",
        Err(ConnectError::Timeout { .. } | ConnectError::CutOff { .. }) => "timeout",
    };
    gateway.metrics.record_connection(outcome);
    match &opened {
        Ok(_) => gateway.link.record_success(gateway, target),
        Err(_) => gateway.link.record_failure(gateway, target),
    }
    opened
}

/// Probes targets while this host may be cut off from them. Never returns.
pub async fn watch(gateway: Rc<Gateway>) {
    loop {
        let suspected = gateway.link.suspected.notified();
        match gateway.link.is_cut_off() {
            // A time-out is the end of the interval.
            true => drop(timeout(PROBE_INTERVAL, suspected).await),
            false => suspected.await,
        }
        let checks = gateway.link.doubtful().into_iter();
        let checks = checks.map(|(service, belief)| check(&gateway, service, belief));
        future::join_all(checks).await;
    }
}

async fn check(gateway: &Gateway, service: ServiceId, belief: Belief) {
    let count = match belief {
        Belief::Connected | Belief::Suspect => PROBED_TARGETS,
        Belief::CutOff => 1,
    };
    if !probe(gateway, &service, count).await {
        let link = &gateway.link;
        if belief == Belief::Suspect {
            link.record_failed_probes(gateway, &service);
        }
    }
}

/// Opens a connection to each of some random targets of a service. Targets that could be reached until
/// now come first. Returns whether one was opened.
async fn probe(gateway: &Gateway, service: &ServiceId, count: usize) -> bool {
    let mut targets = gateway.targets.of_service(service);
    targets.retain(|target| target.is_listed_ready());
    targets.sort_by_cached_key(|target| (gateway.link.has_failed(target), gateway.random_u64()));
    targets.truncate(count);
    let probes = targets.iter().map(|target| async {
        let opened = open_directly(gateway, target, PROBE_TIMEOUT).await;
        opened.map(|connection| {
            let connection = PooledConnection::new(connection);
            target.pool.release(connection, None);
        })
    });
    future::join_all(probes).await.iter().any(Result::is_ok)
}
