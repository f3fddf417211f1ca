//! Starts an entry host and stops it after its open requests have ended.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use anvil_observe::metrics::ExportError;
use anvil_settings::Settings;
use derive_more::{
    Display,
    Error,
    From, //
};
use tokio_util::{
    sync::CancellationToken,
    task::TaskTracker, //
};

use crate::{
    callers,
    claims,
    config,
    limits,
    listener::{
        ListenError,
        Listener, //
        ListenerLimits,
    },
    listing,
    membership,
    operators,
    peers::{
        self,
        Routes, //
    },
    placement,
    port::Ports,
    shared::{
        LifecycleStage, //
        Shared,
    },
    targets, //
};

/// Longest wait at a planned stop until the outcomes of service calls are on the log.
const CLAIMS_CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a host could not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// A listener could not be started on its address.
    Listen(ListenError),
    /// The metrics exporter could not be started.
    #[display("metrics: {_0}")]
    Metrics(ExportError),
}

/// Result of stopping a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// Every open request ended before the drain timeout.
    Drained,
    /// The drain timeout passed with this many requests open.
    CutOff {
        /// Number of requests that had not ended.
        open_requests: usize,
    },
}

/// A running entry host. Dropping it does not stop its tasks; [`Host::close`] does.
pub struct Host {
    shared: Arc<Shared>,
    callers: Listener,
    operators: Listener,
    peers: Listener,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl Host {
    /// Starts a host. It accepts requests once a configuration is in force.
    ///
    /// # Errors
    ///
    /// A listener's address can't be bound, or the metrics exporter can't be started.
    pub async fn start(settings: Settings, ports: Ports) -> Result<Self, StartError> {
        let shared = Arc::new(Shared::new(settings, ports));
        let tasks = TaskTracker::new();
        let stop = CancellationToken::new();
        let peers = Listener::start(
            "peers",
            shared.settings.listen.peers,
            peers::router(&shared, peer_routes(&shared)),
            ListenerLimits {
                connection_limit: shared.settings.callers.connection_limit,
                header_timeout: shared.settings.callers.header_timeout,
                header_limit_bytes: shared.settings.callers.header_limit_bytes,
            },
        )
        .await?;
        shared.membership.set_peer_address(peers.address());
        let callers = Listener::start(
            "callers",
            shared.settings.listen.callers,
            callers::router(&shared),
            ListenerLimits {
                connection_limit: shared.settings.callers.connection_limit,
                header_timeout: shared.settings.callers.header_timeout,
                header_limit_bytes: shared.settings.callers.header_limit_bytes,
            },
        )
        .await?;
        let operators = operators::start(&shared, &tasks, &stop).await?;
        spawn_control_task(
            &tasks,
            &shared,
            config::follow(Arc::clone(&shared), stop.clone()),
        );
        spawn_control_task(
            &tasks,
            &shared,
            targets::follow(Arc::clone(&shared), stop.clone()),
        );
        spawn_control_task(
            &tasks,
            &shared,
            placement::run(Arc::clone(&shared), stop.clone()),
        );
        spawn_control_task(
            &tasks,
            &shared,
            membership::run(Arc::clone(&shared), stop.clone()),
        );
        spawn_control_task(
            &tasks,
            &shared,
            listing::run(Arc::clone(&shared), stop.clone()),
        );
        spawn_control_task(
            &tasks,
            &shared,
            limits::run(Arc::clone(&shared), stop.clone()),
        );
        Ok(Self {
            shared,
            callers,
            operators,
            peers,
            tasks,
            stop,
        })
    }

    /// Returns the address of the listener for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address of the listener for operators.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Waits until an operator requests a planned stop.
    pub async fn stop_requested(&self) {
        self.shared.stop_requested.cancelled().await;
    }

    /// Returns the address of the listener for other hosts.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the state that the host's parts share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops the host: accepts no new requests and waits until the open ones have ended, at most
    /// for the drain timeout.
    pub async fn close(self) -> ShutdownOutcome {
        self.shared.advance(LifecycleStage::Draining);
        membership::announce_leave(&self.shared).await;
        let mut open_requests = self.shared.open_requests();
        let drained = tokio::time::timeout(
            self.shared.settings.drain_timeout,
            open_requests.wait_for(|count| *count == 0),
        )
        .await
        .is_ok();
        let remaining = *self.shared.open_requests().borrow();
        if drained {
            self.callers.close().await;
        }
        self.shared
            .service_dispatcher
            .close(CLAIMS_CLOSE_TIMEOUT)
            .await;
        self.stop.cancel();
        self.operators.close().await;
        self.tasks.close();
        self.tasks.wait().await;
        if drained {
            self.peers.close().await;
        }
        if drained {
            return ShutdownOutcome::Drained;
        }
        ShutdownOutcome::CutOff {
            open_requests: remaining,
        }
    }
}

/// Spawns a background task whose processor time is counted as control work.
fn spawn_control_task(
    tasks: &TaskTracker,
    shared: &Shared,
    task: impl Future<Output = ()> + Send + 'static,
) {
    let metrics = Arc::clone(&shared.metrics);
    tasks.spawn(anvil_observe::control::metered(metrics, task));
}

/// Returns the paths that other hosts may call on this one.
fn peer_routes(shared: &Arc<Shared>) -> Routes {
    let gossip_shared = Arc::clone(shared);
    let limits_shared = Arc::clone(shared);
    let listing_shared = Arc::clone(shared);
    let shards = Arc::clone(shared.service_dispatcher.shards());
    Routes::default()
        .on(membership::PATH, move |message| {
            membership::handle_gossip(Arc::clone(&gossip_shared), message)
        })
        .on(listing::PATH, move |message| {
            listing::handle_list_request(Arc::clone(&listing_shared), message)
        })
        .on(limits::PATH, move |message| {
            limits::handle_reports(Arc::clone(&limits_shared), message)
        })
        .on_bytes(claims::PEER_PATH, move |body| {
            let shards = Arc::clone(&shards);
            async move { Ok(shards.handle_peer_message(&body).await) }
        })
        .on_bytes(
            config::PUSH_PATH,
            config::peer_handler(shared, config::PUSH_PATH),
        )
        .on_bytes(
            config::PULL_PATH,
            config::peer_handler(shared, config::PULL_PATH),
        )
}
