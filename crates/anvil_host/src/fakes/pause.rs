//! Holds a host at a chosen await, as a paused or killed process is held.

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

/// Holds a host at every call to the systems around it, from a chosen one on.
pub struct Pauser {
    checkpoint_count: AtomicU64,
    /// Crossing from which on the host is held.
    hold_from: u64,
    resumed: watch::Sender<bool>,
}

impl Pauser {
    /// Makes a pauser that holds from a crossing on, counted from 0.
    pub fn new(hold_from: u64) -> Arc<Self> {
        Arc::new(Self {
            checkpoint_count: AtomicU64::new(0),
            hold_from,
            resumed: watch::Sender::new(false),
        })
    }

    /// Lets the host go on.
    pub fn resume(&self) {
        self.resumed.send_replace(true);
    }

    /// Number of crossings so far.
    pub fn checkpoint_count(&self) -> u64 {
        self.checkpoint_count.load(Ordering::Relaxed)
    }

    /// Goes on at once, or once the host is resumed.
    pub async fn checkpoint(&self) {
        if self.checkpoint_count.fetch_add(1, Ordering::Relaxed) >= self.hold_from {
            let mut resumed = self.resumed.subscribe();
            resumed.wait_for(|resumed| *resumed).await.unwrap();
        }
    }

    /// Wraps a host's ports: each call crosses before it is made and after it is answered.
    pub fn wrap(self: &Arc<Self>, ports: Ports) -> Ports {
        let wrap = || Arc::clone(self);
        Ports {
            log: Arc::new(Paused(wrap(), Arc::clone(&ports.log))),
            peers: Arc::new(Paused(wrap(), Arc::clone(&ports.peers))),
            service: Arc::new(Paused(wrap(), Arc::clone(&ports.service))),
            ..ports
        }
    }
}

struct Paused<P: ?Sized>(Arc<Pauser>, Arc<P>);

impl Log for Paused<dyn Log> {
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

impl Peers for Paused<dyn Peers> {
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

impl PlainService for Paused<dyn PlainService> {
    fn call<'a>(
        &'a self,
        target: &'a TargetAddress,
        call: ServiceCall,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<ServiceAnswer, CallError>> {
        async move {
            // No crossing before: once the call is handed to the transport it may run any time.
            let result = self.1.call(target, call, timeout).await;
            self.0.checkpoint().await;
            result
        }
        .boxed()
    }
}
