//! A host on threads of its own.

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

/// A running host.
pub struct RunningHost {
    id: HostId,
    host: Option<Host>,
    adapters: Adapters,
    /// The host's threads. Invariant: present until the host is closed or killed.
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
    /// Threads or listeners that can't be had.
    pub async fn start(settings: Settings, thread_count: usize) -> Result<Self, FleetError> {
        let id = settings.host_id.clone();
        let runtime = Builder::new_multi_thread()
            .worker_threads(thread_count)
            .thread_name(id.as_str())
            .enable_all()
            .build()
            .map_err(|error| FleetError::new("start threads", &id, error))?;
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

    /// Its name, which its threads carry too.
    pub fn id(&self) -> &HostId {
        &self.id
    }

    /// Address for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Address for operators.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators_address
    }

    /// Address for other hosts.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers_address
    }

    /// What the host's parts share.
    pub fn shared(&self) -> &Arc<Shared> {
        // Only `close` takes the host out, and it consumes `self`.
        self.host.as_ref().expect("the host runs").shared()
    }

    /// The host's adapters.
    pub fn adapters(&self) -> &Adapters {
        &self.adapters
    }

    /// Stops as planned.
    ///
    /// # Errors
    ///
    /// A panic in the host.
    pub async fn close(mut self) -> Result<ShutdownOutcome, FleetError> {
        let (Some(host), Some(runtime)) = (self.host.take(), self.runtime.take()) else {
            return Err(FleetError::new("stop", &self.id, "it doesn't run"));
        };
        let stopped = runtime.spawn(host.close()).await;
        runtime.shutdown_background();
        stopped.map_err(|error| FleetError::new("stop", &self.id, error))
    }

    /// Ends its threads in the midst of their work.
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

/// Name of the host of an index.
pub(crate) fn host_id(index: usize) -> HostId {
    format_smolstr!("host-{index}")
}
