//! Stand-in for the platform's host list, which shows changes after a lag.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration,
};

use anvil_wire::generated::platform::{
    ListAnswer,
    ListEntry, //
};
use http::{
    HeaderMap,
    HeaderValue,
    StatusCode,
    header, //
};
use tokio::time::Instant;

use crate::{
    fault::{
        FaultInjector,
        Rate,
        lock, //
    },
    reply,
    server::Server,
};

/// Timing of the host list.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Age at which a change becomes visible.
    pub lag: Duration,
}

/// Handle of a running host list, which serves `GET /v1/hosts`.
pub struct Standin {
    server: Server,
    state: Arc<State>,
}

struct ListVersion {
    version: u64,
    /// Time at which this version was set. It becomes visible after the lag.
    set_at: Instant,
    entries: Vec<ListEntry>,
}

struct State {
    lag: Duration,
    /// Versions of the list, oldest first. Invariant: never empty.
    versions: Mutex<VecDeque<ListVersion>>,
    /// Number of the next version, which is sent as its entity tag.
    next_version: AtomicU64,
    refuse_calls: FaultInjector,
    read_count: AtomicU64,
}

impl Standin {
    /// Starts the host list with entries that are visible at once.
    ///
    /// # Errors
    ///
    /// Returns an error if no port on loopback can be bound.
    pub async fn start(config: Config, entries: Vec<ListEntry>) -> io::Result<Self> {
        let state = Arc::new(State {
            lag: config.lag,
            versions: Mutex::new(VecDeque::from([ListVersion {
                version: 0,
                set_at: Instant::now(),
                entries,
            }])),
            next_version: AtomicU64::new(1),
            refuse_calls: FaultInjector::new(0),
            read_count: AtomicU64::new(0),
        });
        let handler_state = Arc::clone(&state);
        let server = Server::start(move |request| {
            let state = Arc::clone(&handler_state);
            async move { Ok(state.answer(request.headers())) }
        })
        .await?;
        Ok(Self { server, state })
    }

    /// Returns the address on loopback.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the entries; the change becomes visible after the lag.
    pub fn set(&self, entries: Vec<ListEntry>) {
        let mut versions = lock(&self.state.versions);
        versions.push_back(ListVersion {
            version: self.state.next_version.fetch_add(1, Ordering::Relaxed),
            set_at: Instant::now(),
            entries,
        });
    }

    /// Returns the entries that were set last, whether they are visible yet or not.
    pub fn entries(&self) -> Vec<ListEntry> {
        let versions = lock(&self.state.versions);
        versions
            .back()
            .map(|version| version.entries.clone())
            .unwrap_or_default()
    }

    /// Returns the number of reads so far, including refused ones.
    pub fn read_count(&self) -> u64 {
        self.state.read_count.load(Ordering::Relaxed)
    }

    /// Sets how often calls are refused with status 503 from now on.
    pub fn set_refusal_rate(&self, rate: Rate) {
        self.state.refuse_calls.set(rate);
    }

    /// Stops the host list.
    pub async fn close(self) {
        self.server.close().await;
    }
}

impl State {
    fn answer(&self, headers: &HeaderMap) -> http::Response<reply::Body> {
        self.read_count.fetch_add(1, Ordering::Relaxed);
        if self.refuse_calls.should_inject() {
            return reply::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let now = Instant::now();
        let mut versions = lock(&self.versions);
        while versions.len() > 1 && versions[1].set_at + self.lag <= now {
            versions.pop_front();
        }
        let entity_tag = HeaderValue::from(versions[0].version);
        if headers.get(header::IF_NONE_MATCH) == Some(&entity_tag) {
            return reply::status(StatusCode::NOT_MODIFIED);
        }
        let entries = versions[0].entries.clone();
        drop(versions);
        let mut response = reply::message(&ListAnswer { entries });
        response.headers_mut().insert(header::ETAG, entity_tag);
        response
    }
}
