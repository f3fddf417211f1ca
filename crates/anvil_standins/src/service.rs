//! Stand-in for a plain service, with or without idempotency keys, that counts the calls it ran.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode,
    header::CONTENT_TYPE, //
};
use hyper::body::Incoming;

use crate::{
    fault::{
        FaultInjector,
        Rate,
        lock, //
    },
    reply::{
        self,
        Body,
        Reply, //
    },
    server::{
        ConnectionDropped,
        Server, //
    },
};

/// Whether the service deduplicates calls by idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyHandling {
    /// A call with a key seen before gets the stored answer and doesn't run.
    Honoured,
    /// Every call runs.
    #[default]
    Ignored,
}

/// Behaviour of the service without faults.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Treatment of idempotency keys.
    pub key_handling: KeyHandling,
    /// Time between running a call and answering it.
    pub service_time: Duration,
}

/// Faults that can be injected into the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Runs the call and drops the connection without an answer.
    LoseAnswer,
    /// Refuses the call with status 503 and doesn't run it.
    Refuse,
    /// Drops the connection and doesn't run the call.
    LoseCall,
    /// Runs the call and never answers.
    Hang,
}

/// Handle of a running service.
pub struct Standin {
    server: Server,
    core: Arc<Core>,
}

struct Core {
    key_handling: KeyHandling,
    service_time: Mutex<Duration>,
    runs: Mutex<Runs>,
    lose_answer: FaultInjector,
    refuse: FaultInjector,
    lose_call: FaultInjector,
    hang: FaultInjector,
}

#[derive(Default)]
struct Runs {
    by_body: HashMap<Bytes, u64>,
    by_key: HashMap<String, u64>,
    answers_by_key: HashMap<String, Bytes>,
    total: u64,
}

impl Standin {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Returns an error if no port on loopback can be bound.
    pub async fn start(config: Config) -> io::Result<Self> {
        let core = Arc::new(Core {
            key_handling: config.key_handling,
            service_time: Mutex::new(config.service_time),
            runs: Mutex::default(),
            lose_answer: FaultInjector::new(1),
            refuse: FaultInjector::new(2),
            lose_call: FaultInjector::new(3),
            hang: FaultInjector::new(4),
        });
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
        let injector = match fault {
            Fault::LoseAnswer => &self.core.lose_answer,
            Fault::Refuse => &self.core.refuse,
            Fault::LoseCall => &self.core.lose_call,
            Fault::Hang => &self.core.hang,
        };
        injector.set(rate);
    }

    /// Sets the time between running a call and answering it.
    pub fn set_service_time(&self, service_time: Duration) {
        *lock(&self.core.service_time) = service_time;
    }

    /// Returns how often a call with this body ran.
    pub fn runs_of_body(&self, body: &[u8]) -> u64 {
        let runs = lock(&self.core.runs);
        runs.by_body.get(body).copied().unwrap_or(0)
    }

    /// Returns how often a call with this idempotency key ran.
    pub fn runs_of_key(&self, key: &str) -> u64 {
        let runs = lock(&self.core.runs);
        runs.by_key.get(key).copied().unwrap_or(0)
    }

    /// Returns the largest number of runs among all bodies.
    pub fn max_runs_of_any_body(&self) -> u64 {
        let runs = lock(&self.core.runs);
        runs.by_body.values().copied().max().unwrap_or(0)
    }

    /// Returns the number of calls that ran.
    pub fn runs(&self) -> u64 {
        lock(&self.core.runs).total
    }

    /// Drops all connections and refuses new ones until [`Standin::restart`].
    pub async fn kill(&self) {
        self.server.kill().await;
    }

    /// Accepts connections again after [`Standin::kill`].
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

    /// Stops the service.
    pub async fn close(self) {
        self.server.close().await;
    }
}

impl Core {
    async fn handle(&self, request: Request<Incoming>) -> Reply {
        let key = request
            .headers()
            .get("idempotency-key")
            .and_then(|key| key.to_str().ok())
            .map(str::to_owned);
        let body = reply::read_body(request.into_body()).await?;
        if self.refuse.should_inject() {
            return Ok(reply::status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if self.lose_call.should_inject() {
            return Err(ConnectionDropped);
        }
        let answer = self.run(key, body);
        let service_time = *lock(&self.service_time);
        if !service_time.is_zero() {
            tokio::time::sleep(service_time).await;
        }
        if self.lose_answer.should_inject() {
            return Err(ConnectionDropped);
        }
        if self.hang.should_inject() {
            return std::future::pending().await;
        }
        Ok(json_response(answer))
    }

    fn run(&self, key: Option<String>, body: Bytes) -> Bytes {
        let mut runs = lock(&self.runs);
        if self.key_handling == KeyHandling::Honoured
            && let Some(stored_answer) = key.as_ref().and_then(|key| runs.answers_by_key.get(key))
        {
            return stored_answer.clone();
        }
        runs.total += 1;
        let answer = Bytes::from(format!(
            r#"{{"run":{},"body_bytes":{}}}"#,
            runs.total,
            body.len()
        ));
        *runs.by_body.entry(body).or_default() += 1;
        if let Some(key) = key {
            *runs.by_key.entry(key.clone()).or_default() += 1;
            runs.answers_by_key.insert(key, answer.clone());
        }
        answer
    }
}

fn json_response(body: Bytes) -> Response<Body> {
    let mut response = reply::bytes(StatusCode::OK, body);
    let content_type = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
