//! Opens connections to targets, and watches whether this host reaches targets at all.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use anvil_core::reachability::{
    Belief,
    Reachability, //
};
use futures::future;
use tokio::{
    sync::{
        Notify,
        watch, //
    },
    time::sleep,
};

use crate::{
    gateway::Gateway,
    http1::{
        ConnectError,
        Connection, //
    },
    pool::PooledConnection,
    target::Target, //
};

#[cfg(test)]
mod tests;

/// Targets that are probed at once when this host may be cut off.
const PROBED_TARGETS: usize = 3;
/// Longest time of a probe: a few round trips and the time to accept.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two probes of a host that is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// This host's links to targets.
#[derive(Debug)]
pub struct Link {
    reachability: RefCell<Reachability>,
    /// Notified when this host begins to suspect that it is cut off.
    suspected: Notify,
    belief: watch::Sender<Belief>,
}

impl Default for Link {
    fn default() -> Self {
        Self {
            reachability: RefCell::default(),
            suspected: Notify::new(),
            belief: watch::Sender::new(Belief::default()),
        }
    }
}

impl Link {
    /// Returns what this host believes of its links.
    pub fn belief(&self) -> Belief {
        self.reachability.borrow().belief()
    }

    fn record_success(&self, target: &Target) {
        let before = self.reachability.borrow_mut().record_success();
        if before == Belief::CutOff {
            spdlog::info!("link.restored", kv: { target = target.id.as_str() });
        }
        self.publish();
    }

    fn record_failure(&self, gateway: &Gateway, target: &Target) {
        let mut reachability = self.reachability.borrow_mut();
        let before = reachability.belief();
        let after = reachability.record_failure(&target.id, gateway.uptime());
        drop(reachability);
        if before == Belief::Connected && after == Belief::Suspect {
            self.suspected.notify_one();
        }
        self.publish();
    }

    fn record_failed_probes(&self) {
        let mut reachability = self.reachability.borrow_mut();
        reachability.record_failed_probes();
        if reachability.belief() == Belief::CutOff {
            spdlog::warn!("link.cut_off", kv: { unreached_targets = reachability.unreached_count() });
        }
        drop(reachability);
        self.publish();
    }

    fn publish(&self) {
        let belief = self.belief();
        self.belief
            .send_if_modified(|known| std::mem::replace(known, belief) != belief);
    }
}

/// Takes an idle connection to a target, or opens one within `limit`.
///
/// # Errors
///
/// Returns a [`ConnectError`] if no connection can be opened within `limit`.
pub async fn acquire(
    gateway: &Gateway,
    target: &Target,
    limit: Duration,
) -> Result<PooledConnection, ConnectError> {
    match target.pool.take_idle() {
        Some(connection) => Ok(PooledConnection {
            connection,
            is_reused: true,
        }),
        None => open(gateway, target, limit).await,
    }
}

/// Opens a new connection to a target within `limit`.
///
/// # Errors
///
/// Returns a [`ConnectError`] if no connection can be opened within `limit`.
pub async fn open(
    gateway: &Gateway,
    target: &Target,
    limit: Duration,
) -> Result<PooledConnection, ConnectError> {
    let connection = open_directly(gateway, target, limit).await?;
    Ok(PooledConnection {
        connection,
        is_reused: false,
    })
}

async fn open_directly(
    gateway: &Gateway,
    target: &Target,
    limit: Duration,
) -> Result<Connection, ConnectError> {
    let opened = Connection::open(target.address(), limit).await;
    let outcome = match &opened {
        Ok(_) => "opened",
        Err(ConnectError::Failed { .. }) => "failed",
        Err(ConnectError::Timeout { .. }) => "timeout",
    };
    gateway.metrics.record_connection(outcome);
    match &opened {
        Ok(_) => gateway.link.record_success(target),
        Err(_) => gateway.link.record_failure(gateway, target),
    }
    opened
}

/// Probes targets while this host may be cut off from them. Never returns.
pub async fn watch(gateway: Rc<Gateway>) {
    loop {
        gateway.link.suspected.notified().await;
        if !probe(&gateway, PROBED_TARGETS).await {
            gateway.link.record_failed_probes();
        }
        while gateway.link.belief() == Belief::CutOff {
            sleep(PROBE_INTERVAL).await;
            probe(&gateway, 1).await;
        }
    }
}

/// Opens a connection to each of some random targets. Targets that could be reached until now come
/// first. Returns whether one was opened.
async fn probe(gateway: &Gateway, count: usize) -> bool {
    let mut targets = gateway.targets.all();
    targets.retain(|target| target.is_listed_ready());
    targets.sort_by_cached_key(|target| {
        let has_failed = gateway.link.reachability.borrow().has_failed(&target.id);
        (has_failed, gateway.random_u64())
    });
    targets.truncate(count);
    let probes = targets.iter().map(|target| async {
        let opened = open_directly(gateway, target, PROBE_TIMEOUT).await;
        opened.map(|connection| target.pool.release(connection, None))
    });
    future::join_all(probes).await.iter().any(Result::is_ok)
}
