//! Life of an entry host: it starts, serves, and stops without cutting off a request.

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

/// Longest time for outcomes of calls to reach the log at a planned stop.
const CLAIMS_CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a host could not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// An address could not be listened on.
    Listen(ListenError),
    /// Metrics can't be exported.
    #[display("metrics: {_0}")]
    Metrics(ExportError),
}

/// How a stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// Every open request reached its end.
    Drained,
    /// The drain timeout passed with this many requests open.
    CutOff {
        /// Requests that did not end.
        open_requests: usize,
    },
}

/// A running entry host.
pub struct Host {
    shared: Arc<Shared>,
    callers: Listener,
    operators: Listener,
    peers: Listener,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl Host {
    /// Starts a host. It takes requests once a configuration is in force.
    ///
    /// # Errors
    ///
    /// A listener's address that can't be bound.
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
        spawn_control(
            &tasks,
            &shared,
            config::follow(Arc::clone(&shared), stop.clone()),
        );
        spawn_control(
            &tasks,
            &shared,
            targets::follow(Arc::clone(&shared), stop.clone()),
        );
        spawn_control(
            &tasks,
            &shared,
            placement::run(Arc::clone(&shared), stop.clone()),
        );
        spawn_control(
            &tasks,
            &shared,
            membership::run(Arc::clone(&shared), stop.clone()),
        );
        spawn_control(
            &tasks,
            &shared,
            listing::run(Arc::clone(&shared), stop.clone()),
        );
        spawn_control(
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

    /// Address for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address for operators.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Waits until an operator asks for a planned stop.
    pub async fn stop_requested(&self) {
        self.shared.stop_requested.cancelled().await;
    }

    /// Address for other hosts.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// What the host's parts share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops as planned: takes no new request, and lets every open one reach its end.
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
        let left = *self.shared.open_requests().borrow();
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
            open_requests: left,
        }
    }
}

/// Spawns control work and counts its processor time.
fn spawn_control(
    tasks: &TaskTracker,
    shared: &Shared,
    work: impl Future<Output = ()> + Send + 'static,
) {
    let metrics = Arc::clone(&shared.metrics);
    tasks.spawn(anvil_observe::control::metered(metrics, work));
}

/// What other hosts may ask of this one.
fn peer_routes(shared: &Arc<Shared>) -> Routes {
    let for_gossip = Arc::clone(shared);
    let for_shares = Arc::clone(shared);
    let for_list = Arc::clone(shared);
    let shards = Arc::clone(shared.service_dispatcher.shards());
    Routes::default()
        .on(membership::PATH, move |message| {
            membership::handle_gossip(Arc::clone(&for_gossip), message)
        })
        .on(listing::PATH, move |message| {
            listing::handle_list_request(Arc::clone(&for_list), message)
        })
        .on(limits::PATH, move |message| {
            limits::handle_reports(Arc::clone(&for_shares), message)
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
