//! Accepts connections for one listener, within bounds, until the host stops.

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

/// Bounds on a listener's connections.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Most connections at once.
    pub connection_limit: usize,
    /// Longest time for a request's headers to arrive.
    pub header_timeout: Duration,
    /// Largest sum of a request's headers.
    pub header_limit_bytes: usize,
}

/// An address that could not be listened on.
#[derive(Debug, Display, Error)]
#[display("listen for {role} on {address}: {source}")]
pub struct ListenError {
    /// What the listener is for.
    pub role: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// The cause.
    pub source: std::io::Error,
}

/// A running listener.
pub struct Listener {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Listener {
    /// Listens and serves a router.
    ///
    /// # Errors
    ///
    /// An address that can't be bound.
    pub async fn start(
        role: &'static str,
        address: SocketAddr,
        router: Router,
        bounds: ListenerLimits,
    ) -> Result<Self, ListenError> {
        let error = |source| ListenError {
            role,
            address,
            source,
        };
        let listener = TcpListener::bind(address).await.map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        let stop = CancellationToken::new();
        let task = tokio::spawn(serve(listener, router, bounds, stop.clone()));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no more connections, lets open requests end, and waits for it.
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
    bounds: ListenerLimits,
    stop: CancellationToken,
) {
    let tree = Arc::new(Tree::from(router));
    let slots = Arc::new(Semaphore::new(bounds.connection_limit));
    let open = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            // Out of descriptors, most likely: give connections time to close.
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
        let connection = builder(bounds)
            .serve_connection(
                TokioIo::new(stream),
                Responder::<Arc<SocketAddr>>::new(Arc::clone(&tree), Some(Arc::new(peer))),
            )
            .into_owned();
        let connection = open.watch(connection);
        tokio::spawn(async move {
            // A connection that ends badly concerns its caller alone.
            let _ended = connection.await;
            drop(slot);
        });
    }
    drop(listener);
    open.shutdown().await;
}

fn builder(bounds: ListenerLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.header_timeout)
        .max_buf_size(bounds.header_limit_bytes.max(8192));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(bounds.header_limit_bytes).unwrap_or(u32::MAX));
    builder
}
