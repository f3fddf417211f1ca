//! Host that runs on its own threads.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use anvil_adapters::Adapters;
use anvil_core::id::HostId;
use anvil_host::{
    Host,
    host::ShutdownOutcome,
    shared::Shared, //
};
use anvil_settings::Settings;
use smol_str::format_smolstr;
use tokio::runtime::{
    Builder,
    Runtime, //
};

use crate::fleet::FleetError;

/// Running host. Dropping it kills the host.
pub struct RunningHost {
    id: HostId,
    host: Option<Host>,
    adapters: Adapters,
    /// Runtime with the host's threads. Invariant: present until the host is closed or killed.
    runtime: Option<Runtime>,
    callers_address: SocketAddr,
    operators_address: SocketAddr,
    peers_address: SocketAddr,
}

impl RunningHost {
    /// Starts a host on `thread_count` threads.
    ///
    /// # Errors
    ///
    /// Returns an error if the threads or the listeners cannot be started.
    pub async fn start(settings: Settings, thread_count: usize) -> Result<Self, FleetError> {
        let id = settings.host_id.clone();
        let runtime = Builder::new_multi_thread()
            .worker_threads(thread_count)
            .thread_name(id.as_str())
            .enable_all()
            .build()
            .map_err(|error| FleetError::new("start the threads of", &id, error))?;
        let (adapters, host) = runtime
            .spawn(async move {
                let adapters = Adapters::new(&settings);
                let host = Host::start(settings, adapters.ports()).await;
                (adapters, host)
            })
            .await
            .map_err(|error| FleetError::new("start", &id, error))?;
        let host = host.map_err(|error| FleetError::new("start", &id, error))?;
        Ok(Self {
            id,
            callers_address: host.callers_address(),
            operators_address: host.operators_address(),
            peers_address: host.peers_address(),
            host: Some(host),
            adapters,
            runtime: Some(runtime),
        })
    }

    /// Returns the name of the host, which is also the name of its threads.
    pub fn id(&self) -> &HostId {
        &self.id
    }

    /// Returns the address of the callers' listener.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Returns the address of the operators' listener.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators_address
    }

    /// Returns the address of the listener for other hosts.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers_address
    }

    /// Returns the state that the host's components share.
    pub fn shared(&self) -> &Arc<Shared> {
        // Only `close` removes the host, and it consumes `self`.
        self.host
            .as_ref()
            .expect("the host should be running")
            .shared()
    }

    /// Returns the adapters of the host.
    pub fn adapters(&self) -> &Adapters {
        &self.adapters
    }

    /// Drains and stops the host.
    ///
    /// # Errors
    ///
    /// Returns an error if the host panics.
    pub async fn close(mut self) -> Result<ShutdownOutcome, FleetError> {
        let (Some(host), Some(runtime)) = (self.host.take(), self.runtime.take()) else {
            return Err(FleetError::new("stop", &self.id, "it is not running"));
        };
        let outcome = runtime.spawn(host.close()).await;
        runtime.shutdown_background();
        outcome.map_err(|error| FleetError::new("stop", &self.id, error))
    }

    /// Stops the host's threads without draining its requests.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for RunningHost {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Returns the name of the host with this index.
pub(crate) fn host_id(index: usize) -> HostId {
    format_smolstr!("host-{index}")
}
