//! Accepts the connections of one listener, within limits, until the host stops.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use derive_more::{
    Display,
    Error, //
};
use hyper_util::{
    rt::{
        TokioExecutor,
        TokioIo,
        TokioTimer, //
    },
    server::{
        conn::auto,
        graceful::GracefulShutdown, //
    }, //
};
use tokio::{
    net::TcpListener,
    sync::Semaphore,
    task::JoinHandle, //
};
use tokio_util::sync::CancellationToken;
use viz::{
    Responder,
    Router,
    Tree, //
};

/// Limits on a listener's connections.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Largest number of connections at once; further ones are closed at once.
    pub connection_limit: usize,
    /// Longest time for a request's headers to arrive.
    pub header_timeout: Duration,
    /// Largest size of a request's headers together. For HTTP/1 at least 8192 bytes are allowed.
    pub header_limit_bytes: usize,
}

/// A listener could not be started on its address.
#[derive(Debug, Display, Error)]
#[display("listen for {role} on {address}: {source}")]
pub struct ListenError {
    /// Purpose of the listener, such as `peers`.
    pub role: &'static str,
    /// Address that the listener should have been bound to.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub source: std::io::Error,
}

/// A running listener. It runs until [`Listener::close`] is called.
pub struct Listener {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Listener {
    /// Binds an address and starts to serve a router on it.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(
        role: &'static str,
        address: SocketAddr,
        router: Router,
        limits: ListenerLimits,
    ) -> Result<Self, ListenError> {
        let error = |source| ListenError {
            role,
            address,
            source,
        };
        let listener = TcpListener::bind(address).await.map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        let stop = CancellationToken::new();
        let task = tokio::spawn(serve(listener, router, limits, stop.clone()));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Returns the address that the listener is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits until the open requests have ended.
    pub async fn close(self) {
        self.stop.cancel();
        if let Err(error) = self.task.await {
            spdlog::error!("listener.failed", kv: { address:? = self.address, error: = error });
        }
    }
}

async fn serve(
    listener: TcpListener,
    router: Router,
    limits: ListenerLimits,
    stop: CancellationToken,
) {
    let tree = Arc::new(Tree::from(router));
    let slots = Arc::new(Semaphore::new(limits.connection_limit));
    let graceful_shutdown = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            // Most likely the process is out of file descriptors, so connections get time to close.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            drop(stream);
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let connection = builder(limits)
            .serve_connection(
                TokioIo::new(stream),
                Responder::<Arc<SocketAddr>>::new(Arc::clone(&tree), Some(Arc::new(peer))),
            )
            .into_owned();
        let connection = graceful_shutdown.watch(connection);
        tokio::spawn(async move {
            // A connection that ends with an error affects only its own caller.
            let _result = connection.await;
            drop(slot);
        });
    }
    drop(listener);
    graceful_shutdown.shutdown().await;
}

fn builder(limits: ListenerLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_limit_bytes.max(8192));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.header_limit_bytes).unwrap_or(u32::MAX));
    builder
}
