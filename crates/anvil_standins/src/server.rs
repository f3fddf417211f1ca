//! HTTP/1 server on loopback that can be killed and restarted, and that can stop reading and
//! writing on its open connections.

use std::{
    future::Future,
    io,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
    },
};

use derive_more::{
    Display,
    Error, //
};
use futures::future::BoxFuture;
use http::Request;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

use crate::{
    fault::lock,
    reply::Reply, //
};

/// Error that makes the server drop the connection without an answer.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("connection dropped without an answer")]
pub(crate) struct ConnectionDropped;

type Handler = Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Reply> + Send + Sync>;

/// An HTTP/1 server on loopback.
pub(crate) struct Server {
    address: SocketAddr,
    handler: Handler,
    /// The accept loop; `None` while the server is killed.
    accept_loop: Mutex<Option<AcceptLoop>>,
    /// Flag shared by the connections opened since the last call of `silence_connections`; once
    /// set, they neither read nor write.
    silence_flag: Arc<Mutex<Arc<AtomicBool>>>,
}

struct AcceptLoop {
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server on a free port of loopback.
    pub(crate) async fn start<F>(
        handler: impl Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = Reply> + Send + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let server = Self {
            address: listener.local_addr()?,
            handler: Arc::new(move |request| Box::pin(handler(request))),
            accept_loop: Mutex::new(None),
            silence_flag: Arc::default(),
        };
        server.spawn_accept_loop(listener);
        Ok(server)
    }

    /// Returns the address, which stays the same after `restart`.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all connections and refuses new ones until `restart`.
    pub(crate) async fn kill(&self) {
        let accept_loop = lock(&self.accept_loop).take();
        let Some(accept_loop) = accept_loop else {
            return;
        };
        accept_loop.stop.cancel();
        // The cancellation ends the loop. A panic in it is ignored, because it ends the loop too.
        let _ended = accept_loop.task.await;
    }

    /// Listens again after `kill`; does nothing while the server runs.
    pub(crate) async fn restart(&self) -> io::Result<()> {
        if lock(&self.accept_loop).is_some() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.address).await?;
        self.spawn_accept_loop(listener);
        Ok(())
    }

    /// Stops reading and writing on the open connections without closing them; new ones work.
    pub(crate) fn silence_connections(&self) {
        let old_flag = std::mem::take(&mut *lock(&self.silence_flag));
        old_flag.store(true, Ordering::Release);
    }

    /// Drops all connections and stops listening.
    pub(crate) async fn close(self) {
        self.kill().await;
    }

    fn spawn_accept_loop(&self, listener: TcpListener) {
        let stop = CancellationToken::new();
        let task = tokio::spawn(accept_connections(
            listener,
            Arc::clone(&self.handler),
            Arc::clone(&self.silence_flag),
            stop.clone(),
        ));
        *lock(&self.accept_loop) = Some(AcceptLoop { stop, task });
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(accept_loop) = lock(&self.accept_loop).take() {
            accept_loop.stop.cancel();
        }
    }
}

async fn accept_connections(
    listener: TcpListener,
    handler: Handler,
    silence_flag: Arc<Mutex<Arc<AtomicBool>>>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let silence_flag = Arc::clone(&lock(&silence_flag));
        let handler = Arc::clone(&handler);
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = serve(stream, handler, silence_flag) => {}
            }
        });
    }
}

async fn serve(stream: TcpStream, handler: Handler, silence_flag: Arc<AtomicBool>) {
    // Nagle's algorithm would delay frames. A socket that can't disable it still works.
    let _unsupported = stream.set_nodelay(true);
    let stream = SilenceableStream {
        stream,
        silence_flag,
    };
    // The connection ends when the peer closes it or an answer is dropped. Both are expected.
    let _ended = http1::Builder::new()
        .serve_connection(
            TokioIo::new(stream),
            service_fn(move |request| handler(request)),
        )
        .await;
}

/// A stream that stays open but neither reads nor writes once its flag is set.
struct SilenceableStream {
    stream: TcpStream,
    silence_flag: Arc<AtomicBool>,
}

impl SilenceableStream {
    fn is_silenced(&self) -> bool {
        self.silence_flag.load(Ordering::Acquire)
    }
}

impl AsyncRead for SilenceableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silenced() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for SilenceableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silenced() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silenced() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
