//! Stops a host at a chosen await point, as if its process were paused or killed.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use anvil_core::id::{
    LogStreamId,
    Offset, //
};
use bytes::Bytes;
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use tokio::sync::watch;

use crate::port::{
    CallError,
    Log,
    LogBatch,
    PeerAddress,
    Peers,
    PlainService,
    Ports,
    ServiceAnswer,
    ServiceCall,
    TargetAddress, //
};

/// Stops a host at its checkpoints, from a chosen one on. Calls to wrapped ports are checkpoints.
pub struct Pauser {
    checkpoint_count: AtomicU64,
    /// Number of the first checkpoint at which the host is paused, counted from 0.
    pause_from: u64,
    resumed: watch::Sender<bool>,
}

impl Pauser {
    /// Creates a pauser that pauses the host from a checkpoint on, counted from 0.
    pub fn new(pause_from: u64) -> Arc<Self> {
        Arc::new(Self {
            checkpoint_count: AtomicU64::new(0),
            pause_from,
            resumed: watch::Sender::new(false),
        })
    }

    /// Lets the host continue, also at all later checkpoints.
    pub fn resume(&self) {
        self.resumed.send_replace(true);
    }

    /// Returns the number of checkpoints reached so far.
    pub fn checkpoint_count(&self) -> u64 {
        self.checkpoint_count.load(Ordering::Relaxed)
    }

    /// Counts a checkpoint, and waits until the host is resumed if it is to be paused here.
    pub async fn checkpoint(&self) {
        if self.checkpoint_count.fetch_add(1, Ordering::Relaxed) >= self.pause_from {
            let mut resumed = self.resumed.subscribe();
            resumed.wait_for(|resumed| *resumed).await.unwrap();
        }
    }

    /// Wraps a host's ports for the log, peers and services. Each call has a checkpoint before it
    /// is sent and one after it is answered; service calls have only the latter.
    pub fn wrap(self: &Arc<Self>, ports: Ports) -> Ports {
        let wrap = || Arc::clone(self);
        Ports {
            log: Arc::new(PausedPort(wrap(), Arc::clone(&ports.log))),
            peers: Arc::new(PausedPort(wrap(), Arc::clone(&ports.peers))),
            service: Arc::new(PausedPort(wrap(), Arc::clone(&ports.service))),
            ..ports
        }
    }
}

struct PausedPort<P: ?Sized>(Arc<Pauser>, Arc<P>);

impl Log for PausedPort<dyn Log> {
    fn append<'a>(
        &'a self,
        stream: &'a LogStreamId,
        payloads: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<Offset, CallError>> {
        async move {
            self.0.checkpoint().await;
            let result = self.1.append(stream, payloads).await;
            self.0.checkpoint().await;
            result
        }
        .boxed()
    }

    fn read<'a>(
        &'a self,
        stream: &'a LogStreamId,
        from: Offset,
        limit_records: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<LogBatch, CallError>> {
        async move {
            self.0.checkpoint().await;
            let result = self.1.read(stream, from, limit_records, wait).await;
            self.0.checkpoint().await;
            result
        }
        .boxed()
    }
}

impl Peers for PausedPort<dyn Peers> {
    fn call<'a>(
        &'a self,
        peer: &'a PeerAddress,
        path: &'static str,
        body: Bytes,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Bytes, CallError>> {
        async move {
            self.0.checkpoint().await;
            let result = self.1.call(peer, path, body, timeout).await;
            self.0.checkpoint().await;
            result
        }
        .boxed()
    }
}

impl PlainService for PausedPort<dyn PlainService> {
    fn call<'a>(
        &'a self,
        target: &'a TargetAddress,
        call: ServiceCall,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<ServiceAnswer, CallError>> {
        async move {
            // There is no checkpoint before the call: once it is handed to the transport, it may
            // run at any time.
            let result = self.1.call(target, call, timeout).await;
            self.0.checkpoint().await;
            result
        }
        .boxed()
    }
}
