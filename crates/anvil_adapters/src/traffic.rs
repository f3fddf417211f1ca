//! Counts the bytes sent and received on connections.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    task::{
        Context,
        Poll,
        ready, //
    }, //
};

use futures::{
    FutureExt,
    future::BoxFuture, //
};
use http::Uri;
use hyper::rt::{
    Read,
    ReadBufCursor,
    Write, //
};
use hyper_util::{
    client::legacy::connect::{
        Connected,
        Connection,
        HttpConnector, //
    },
    rt::TokioIo, //
};
use tokio::net::TcpStream;
use tower_service::Service;

#[cfg(test)]
mod tests;

/// Counters of the bytes on the connections of one client, including HTTP headers.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

impl TrafficCounters {
    /// Returns the number of bytes sent on all connections so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received on all connections so far.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }
}

/// Connector that opens connections whose bytes are counted.
#[derive(Clone, Debug)]
pub(crate) struct CountingConnector {
    connector: HttpConnector,
    traffic: Arc<TrafficCounters>,
}

impl CountingConnector {
    pub(crate) fn new(connector: HttpConnector, traffic: Arc<TrafficCounters>) -> Self {
        Self { connector, traffic }
    }
}

impl Service<Uri> for CountingConnector {
    type Response = CountingStream<TokioIo<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let traffic = Arc::clone(&self.traffic);
        let connecting = self.connector.call(uri);
        async move {
            Ok(CountingStream {
                stream: connecting.await?,
                traffic,
            })
        }
        .boxed()
    }
}

/// Stream that counts the bytes it reads and writes.
#[derive(Debug)]
pub(crate) struct CountingStream<S> {
    stream: S,
    traffic: Arc<TrafficCounters>,
}

impl<S: Connection> Connection for CountingStream<S> {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl<S: Read + Unpin> Read for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // The cursor reports its remaining capacity, not the number of bytes added to it. The bytes
        // are therefore read into a local buffer first, which reports how many it received.
        let mut chunk = [0; 8192];
        let length = chunk.len().min(buffer.remaining());
        let mut filled = hyper::rt::ReadBuf::new(&mut chunk[..length]);
        ready!(Pin::new(&mut self.stream).poll_read(context, filled.unfilled()))?;
        let received = filled.filled();
        self.traffic
            .received_bytes
            .fetch_add(received.len() as u64, Ordering::Relaxed);
        buffer.put_slice(received);
        Poll::Ready(Ok(()))
    }
}

impl<S: Write + Unpin> Write for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, data))?;
        self.traffic
            .sent_bytes
            .fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
