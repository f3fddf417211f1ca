//! Stand-in for the platform's weight store, with one rate limit that all loads share.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use anvil_wire::generated::platform::WeightStoreState;
use http::{
    StatusCode,
    Uri, //
};
use tokio::time::Instant;

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
    server::Server,
};

/// Rate limit of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Rate that all loads share. Invariant: above 0.
    pub rate_bytes_per_s: u64,
}

/// Handle of a running weight store, which serves `GET /v1/state`, and `GET /v1/weights?bytes=N`
/// for engines.
pub struct Standin {
    server: Server,
    state: Arc<State>,
}

struct State {
    rate_bytes_per_s: u64,
    /// Time at which all requested loads are delivered.
    busy_until: Mutex<Instant>,
    refuse_calls: FaultInjector,
}

impl Standin {
    /// Starts the weight store.
    ///
    /// # Errors
    ///
    /// Returns an error if no port on loopback can be bound.
    ///
    /// # Panics
    ///
    /// Panics if `rate_bytes_per_s` is 0.
    pub async fn start(config: Config) -> io::Result<Self> {
        assert!(
            config.rate_bytes_per_s > 0,
            "rate_bytes_per_s must be above 0"
        );
        let state = Arc::new(State {
            rate_bytes_per_s: config.rate_bytes_per_s,
            busy_until: Mutex::new(Instant::now()),
            refuse_calls: FaultInjector::new(0),
        });
        let handler_state = Arc::clone(&state);
        let server = Server::start(move |request| {
            let state = Arc::clone(&handler_state);
            async move { state.answer(request.uri()).await }
        })
        .await?;
        Ok(Self { server, state })
    }

    /// Returns the address on loopback.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how often calls are refused with status 503 from now on.
    pub fn set_refusal_rate(&self, rate: Rate) {
        self.state.refuse_calls.set(rate);
    }

    /// Stops the weight store.
    pub async fn close(self) {
        self.server.close().await;
    }
}

impl State {
    async fn answer(&self, uri: &Uri) -> Reply {
        if self.refuse_calls.should_inject() {
            return Ok(reply::status(StatusCode::SERVICE_UNAVAILABLE));
        }
        match uri.path() {
            "/v1/state" => Ok(reply::message(&self.current_state())),
            "/v1/weights" => {
                let size_bytes = reply::query_number(uri, "bytes").unwrap_or(0);
                tokio::time::sleep_until(self.reserve(size_bytes)).await;
                Ok(reply::status(StatusCode::OK))
            }
            _ => Ok(reply::status(StatusCode::NOT_FOUND)),
        }
    }

    /// Queues a load behind the others and returns the time at which it is delivered.
    fn reserve(&self, size_bytes: u64) -> Instant {
        let seconds = size_bytes as f64 / self.rate_bytes_per_s as f64;
        let mut busy_until = lock(&self.busy_until);
        *busy_until = (*busy_until).max(Instant::now()) + Duration::from_secs_f64(seconds);
        *busy_until
    }

    fn current_state(&self) -> WeightStoreState {
        let remaining = lock(&self.busy_until).saturating_duration_since(Instant::now());
        WeightStoreState {
            rate_bytes_per_s: self.rate_bytes_per_s,
            pending_bytes: (remaining.as_secs_f64() * self.rate_bytes_per_s as f64) as u64,
        }
    }
}
