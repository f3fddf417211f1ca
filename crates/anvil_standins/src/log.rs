//! Stand-in for the platform's append-only log, with streams, offsets, retention, a limited append
//! rate and injected faults.

mod stream;

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use anvil_wire::generated::platform::{
    AppendAnswer,
    AppendRequest, //
};
use bytes::Bytes;
use http::{
    Method,
    Request,
    StatusCode, //
};
use hyper::body::Incoming;
use tokio::{
    sync::Notify,
    time::Instant, //
};

use crate::{
    fault::{
        FaultInjector,
        Rate,
        lock, //
    },
    reply::{
        self,
        Reply, //
    },
    server::{
        ConnectionDropped,
        Server, //
    },
};
use stream::Stream;

/// Limits of the log, and the seed of its faults.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Most appends per second. Further ones wait, and are refused if the wait exceeds a second.
    pub appends_per_s: u32,
    /// Most records kept in a stream; the oldest are dropped first.
    pub retention_records: usize,
    /// Largest age of a kept record.
    pub retention: Duration,
    /// Seed of the random choices in fault injection.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            appends_per_s: 500,
            retention_records: 1 << 20,
            retention: Duration::from_secs(7 * 24 * 3600),
            seed: 0,
        }
    }
}

/// Faults that can be injected into the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Calls are refused with status 503.
    Outage,
    /// Calls are accepted and never answered.
    Hang,
    /// An append takes effect, but the connection drops before its answer.
    LoseAnswer,
    /// An append takes effect twice.
    AppendTwice,
    /// An append is lost in transit: the connection drops and nothing takes effect.
    LoseAppend,
}

/// Handle of a running log. The records are kept as long as the handle lives.
pub struct Standin {
    server: Server,
    core: Arc<Core>,
}

struct Core {
    config: Config,
    streams: Mutex<HashMap<String, Stream>>,
    appended: Notify,
    /// Earliest time at which the append rate allows the next append.
    next_append_at: Mutex<Instant>,
    /// Delay before every call is handled.
    delay: Mutex<Duration>,
    /// Number of appends over the network that took effect.
    appends: AtomicU64,
    /// Number of answered reads.
    reads: AtomicU64,
    outage: FaultInjector,
    hang: FaultInjector,
    lose_answer: FaultInjector,
    append_twice: FaultInjector,
    lose_append: FaultInjector,
}

impl Standin {
    /// Starts an empty log.
    ///
    /// # Errors
    ///
    /// Returns an error if no port on loopback can be bound.
    ///
    /// # Panics
    ///
    /// Panics if `appends_per_s` is 0.
    pub async fn start(config: Config) -> io::Result<Self> {
        assert!(config.appends_per_s > 0, "appends_per_s must be above 0");
        let core = Arc::new(Core::new(config));
        let handler_core = Arc::clone(&core);
        let server = Server::start(move |request| {
            let core = Arc::clone(&handler_core);
            async move { core.handle(request).await }
        })
        .await?;
        Ok(Self { server, core })
    }

    /// Returns the address, which stays the same after [`Standin::restart`].
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how often a fault is injected from now on.
    pub fn set_fault(&self, fault: Fault, rate: Rate) {
        self.core.injector(fault).set(rate);
    }

    /// Sets a delay before every later call is handled.
    pub fn set_delay(&self, delay: Duration) {
        *lock(&self.core.delay) = delay;
    }

    /// Drops all connections and refuses new ones until [`Standin::restart`].
    pub async fn kill(&self) {
        self.server.kill().await;
    }

    /// Accepts connections again after [`Standin::kill`]; the records are kept.
    ///
    /// # Errors
    ///
    /// Returns an error if the port was taken in the meantime.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }

    /// Stops reading and writing on the open connections without closing them; new ones work.
    pub fn silence_connections(&self) {
        self.server.silence_connections();
    }

    /// Appends records without network, rate limit and faults, and returns the first offset.
    pub fn append(&self, stream: &str, payloads: Vec<Bytes>) -> u64 {
        self.core.append_records(stream, &payloads)
    }

    /// Returns all kept records of a stream with their offsets.
    pub fn records(&self, stream: &str) -> Vec<(u64, Bytes)> {
        let streams = lock(&self.core.streams);
        streams
            .get(stream)
            .map(Stream::all_records)
            .unwrap_or_default()
    }

    /// Drops the records of a stream below an offset, as its retention would.
    pub fn truncate(&self, stream: &str, horizon_offset: u64) {
        let mut streams = lock(&self.core.streams);
        if let Some(stream) = streams.get_mut(stream) {
            stream.truncate(horizon_offset);
        }
    }

    /// Returns the number of appends over the network that took effect.
    ///
    /// An append that [`Fault::AppendTwice`] stored twice counts once.
    pub fn appends(&self) -> u64 {
        self.core.appends.load(Ordering::Relaxed)
    }

    /// Returns the number of answered reads.
    pub fn reads(&self) -> u64 {
        self.core.reads.load(Ordering::Relaxed)
    }

    /// Stops the log and discards its records.
    pub async fn close(self) {
        self.server.close().await;
    }
}

impl Core {
    fn new(config: Config) -> Self {
        Self {
            config,
            streams: Mutex::default(),
            appended: Notify::new(),
            next_append_at: Mutex::new(Instant::now()),
            delay: Mutex::default(),
            appends: AtomicU64::default(),
            reads: AtomicU64::default(),
            outage: FaultInjector::new(config.seed ^ 1),
            hang: FaultInjector::new(config.seed ^ 2),
            lose_answer: FaultInjector::new(config.seed ^ 3),
            append_twice: FaultInjector::new(config.seed ^ 4),
            lose_append: FaultInjector::new(config.seed ^ 5),
        }
    }

    fn injector(&self, fault: Fault) -> &FaultInjector {
        match fault {
            Fault::Outage => &self.outage,
            Fault::Hang => &self.hang,
            Fault::LoseAnswer => &self.lose_answer,
            Fault::AppendTwice => &self.append_twice,
            Fault::LoseAppend => &self.lose_append,
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Reply {
        let delay = *lock(&self.delay);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if self.outage.should_inject() {
            return Ok(reply::status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if self.hang.should_inject() {
            return std::future::pending().await;
        }
        let path = request.uri().path().to_owned();
        let Some((stream, operation)) = path
            .strip_prefix("/v1/streams/")
            .and_then(|rest| rest.rsplit_once('/'))
        else {
            return Ok(reply::status(StatusCode::NOT_FOUND));
        };
        match (request.method(), operation) {
            (&Method::POST, "append") => self.append(stream, request.into_body()).await,
            (&Method::GET, "records") => Ok(self.read(stream, request.uri()).await),
            _ => Ok(reply::status(StatusCode::NOT_FOUND)),
        }
    }

    async fn append(&self, stream: &str, body: Incoming) -> Reply {
        let request: AppendRequest = match reply::read_message(body).await? {
            Ok(request) => request,
            Err(error_response) => return Ok(error_response),
        };
        if request.payloads.is_empty() {
            return Ok(reply::status(StatusCode::BAD_REQUEST));
        }
        let Some(start) = self.reserve_append_slot() else {
            return Ok(reply::status(StatusCode::TOO_MANY_REQUESTS));
        };
        tokio::time::sleep_until(start).await;
        if self.lose_append.should_inject() {
            return Err(ConnectionDropped);
        }
        let first_offset = self.append_records(stream, &request.payloads);
        self.appends.fetch_add(1, Ordering::Relaxed);
        if self.append_twice.should_inject() {
            self.append_records(stream, &request.payloads);
        }
        if self.lose_answer.should_inject() {
            return Err(ConnectionDropped);
        }
        Ok(reply::message(&AppendAnswer { first_offset }))
    }

    /// Reserves the next slot of the append rate and returns its time.
    ///
    /// Returns `None` if the wait would exceed a second.
    fn reserve_append_slot(&self) -> Option<Instant> {
        let now = Instant::now();
        let mut next_append_at = lock(&self.next_append_at);
        let start = (*next_append_at).max(now);
        if start > now + Duration::from_secs(1) {
            return None;
        }
        *next_append_at = start + Duration::from_secs(1) / self.config.appends_per_s;
        Some(start)
    }

    fn append_records(&self, stream: &str, payloads: &[Bytes]) -> u64 {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.to_owned()).or_default();
        let first_offset = stream.append(payloads, self.config.retention_records);
        drop(streams);
        self.appended.notify_waiters();
        first_offset
    }

    async fn read(&self, stream: &str, uri: &http::Uri) -> http::Response<reply::Body> {
        let from_offset = reply::query_number(uri, "from").unwrap_or(0);
        let limit_records = reply::query_number(uri, "limit").unwrap_or(1000);
        let wait = Duration::from_millis(reply::query_number(uri, "wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let limit_records = usize::try_from(limit_records).unwrap_or(usize::MAX);
        loop {
            let mut appended = std::pin::pin!(self.appended.notified());
            appended.as_mut().enable();
            let answer = lock(&self.streams)
                .entry(stream.to_owned())
                .or_default()
                .read(from_offset, limit_records, self.config.retention);
            let timed_out = Instant::now() >= deadline;
            if !answer.records.is_empty() || timed_out {
                self.reads.fetch_add(1, Ordering::Relaxed);
                return reply::message(&answer);
            }
            // After an append as well as after the time-out, the loop reads the stream again.
            let _timeout = tokio::time::timeout_at(deadline, appended).await;
        }
    }
}

#[cfg(test)]
mod tests;
