//! One HTTP call to a peer, with what is known of it when it fails.

use std::{
    fmt::Display,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use anvil_host::port::{
    CallError,
    CallErrorKind, //
};
use anvil_wire::codec;
use bytes::Bytes;
use http::{
    HeaderValue,
    Request,
    Response,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper_util::{
    client::legacy::{
        self,
        connect::HttpConnector, //
    },
    rt::{
        TokioExecutor,
        TokioTimer, //
    },
};
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::traffic::{
    CountingConnector,
    TrafficCounters, //
};

/// Longest time to open a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Most idle connections kept to one peer.
const IDLE_LIMIT_CONNECTIONS: usize = 4;

/// Largest body of an answer.
pub(crate) const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// A pool of connections for calls that are not on the path of a step.
#[derive(Clone)]
pub(crate) struct Client {
    pool: legacy::Client<CountingConnector, Full<Bytes>>,
}

/// A call's step and peer, for errors.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Context<'a> {
    /// What is being done.
    pub(crate) operation: &'static str,
    /// Whom it is asked of.
    pub(crate) peer: &'a SmolStr,
    /// Longest time to wait for the whole answer.
    pub(crate) timeout: Duration,
}

impl Context<'_> {
    /// An error of this call.
    pub(crate) fn error(self, kind: CallErrorKind, message: impl Display) -> CallError {
        CallError {
            operation: self.operation,
            peer: self.peer.clone(),
            kind,
            message: message.to_string(),
        }
    }
}

impl Client {
    /// Makes a client that counts what its connections carry.
    pub(crate) fn new(traffic: Arc<TrafficCounters>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pool = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(IDLE_LIMIT_CONNECTIONS)
            .build(CountingConnector::new(connector, traffic));
        Self { pool }
    }

    /// Fetches a message.
    pub(crate) async fn get<M: DeserializeOwned>(
        &self,
        context: Context<'_>,
        address: SocketAddr,
        path: &str,
    ) -> Result<M, CallError> {
        let request = Request::get(format!("http://{address}{path}")).body(Full::default());
        let body = self.send(context, request).await?;
        decode(context, &body)
    }

    /// Fetches a message, unless it is still the one with this entity tag.
    pub(crate) async fn get_if_changed<M: DeserializeOwned>(
        &self,
        context: Context<'_>,
        address: SocketAddr,
        path: &str,
        known: Option<&HeaderValue>,
    ) -> Result<ConditionalResponse<M>, CallError> {
        let mut request = Request::get(format!("http://{address}{path}"));
        if let Some(tag) = known {
            request = request.header(header::IF_NONE_MATCH, tag);
        }
        let response = self
            .send_raw(context, request.body(Full::default()))
            .await?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(ConditionalResponse::Unchanged);
        }
        let tag = response.headers().get(header::ETAG).cloned();
        let message = decode(context, &successful(context, response)?)?;
        Ok(ConditionalResponse::Changed { message, tag })
    }

    /// Posts a body and gives the answer's body.
    pub(crate) async fn post(
        &self,
        context: Context<'_>,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, CallError> {
        let request = Request::post(format!("http://{address}{path}")).body(Full::new(body));
        self.send(context, request).await
    }

    /// Sends a request once and gives the answer's body.
    pub(crate) async fn send(
        &self,
        context: Context<'_>,
        request: http::Result<Request<Full<Bytes>>>,
    ) -> Result<Bytes, CallError> {
        successful(context, self.send_raw(context, request).await?)
    }

    /// Sends a request once and gives the whole response, whatever its status.
    async fn send_raw(
        &self,
        context: Context<'_>,
        request: http::Result<Request<Full<Bytes>>>,
    ) -> Result<Response<Bytes>, CallError> {
        let request = request.map_err(|error| context.error(CallErrorKind::NotSent, error))?;
        match tokio::time::timeout(context.timeout, self.exchange(context, request)).await {
            Ok(result) => result,
            Err(elapsed) => Err(context.error(CallErrorKind::AnswerLost, elapsed)),
        }
    }

    async fn exchange(
        &self,
        context: Context<'_>,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, CallError> {
        let response = self.pool.request(request).await.map_err(|error| {
            let kind = if error.is_connect() {
                CallErrorKind::NotSent
            } else {
                CallErrorKind::AnswerLost
            };
            context.error(kind, error_chain(&error))
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_LIMIT_BYTES)
            .collect()
            .await
            .map_err(|error| context.error(CallErrorKind::AnswerLost, error))?
            .to_bytes();
        Ok(Response::from_parts(parts, body))
    }
}

/// What a conditional fetch gave.
pub(crate) enum ConditionalResponse<M> {
    /// The message is the one that is known.
    Unchanged,
    /// A message, with its entity tag where the peer gave one.
    Changed {
        message: M,
        tag: Option<HeaderValue>,
    },
}

/// The body of a successful response.
fn successful(context: Context<'_>, response: Response<Bytes>) -> Result<Bytes, CallError> {
    let status = response.status();
    let body = response.into_body();
    if status.is_success() {
        return Ok(body);
    }
    let message = format!("{status}: {}", String::from_utf8_lossy(&body));
    Err(context.error(kind_of(status), message))
}

/// What a status says of a call that failed.
fn kind_of(status: StatusCode) -> CallErrorKind {
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        CallErrorKind::Refused
    } else {
        CallErrorKind::AnswerLost
    }
}

/// Decodes the answer to a call.
pub(crate) fn decode<M: DeserializeOwned>(
    context: Context<'_>,
    body: &[u8],
) -> Result<M, CallError> {
    codec::decode(body).map_err(|error| context.error(CallErrorKind::AnswerLost, error))
}

/// Encodes a message of a call.
pub(crate) fn encode(
    context: Context<'_>,
    message: &impl serde::Serialize,
) -> Result<Bytes, CallError> {
    codec::encode(message).map_err(|error| context.error(CallErrorKind::NotSent, error))
}

/// An error's message followed by those of its sources.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut message = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        message = format!("{message}: {error}");
        source = error.source();
    }
    message
}
