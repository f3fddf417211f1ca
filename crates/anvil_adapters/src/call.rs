//! HTTP calls to a peer. A failed call states whether the peer may have received the request.

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

/// Time limit for opening a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of idle connections kept to one peer.
const IDLE_LIMIT_CONNECTIONS: usize = 4;

/// Maximum size of an answer's body.
pub(crate) const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// HTTP client with pooled connections, for all calls except steps and calls to plain services.
#[derive(Clone)]
pub(crate) struct Client {
    pool: legacy::Client<CountingConnector, Full<Bytes>>,
}

/// Operation, peer and timeout of a call. The first two are named in its errors.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Context<'a> {
    /// Operation that the call performs.
    pub(crate) operation: &'static str,
    /// Name of the peer that is called.
    pub(crate) peer: &'a SmolStr,
    /// Time limit for receiving the complete answer.
    pub(crate) timeout: Duration,
}

impl Context<'_> {
    /// Creates an error of this call.
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
    /// Creates a client that adds the bytes of its connections to `traffic`.
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

    /// Fetches and decodes a message.
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

    /// Fetches and decodes a message, unless its entity tag still equals `known_tag`.
    pub(crate) async fn get_if_changed<M: DeserializeOwned>(
        &self,
        context: Context<'_>,
        address: SocketAddr,
        path: &str,
        known_tag: Option<&HeaderValue>,
    ) -> Result<ConditionalResponse<M>, CallError> {
        let mut request = Request::get(format!("http://{address}{path}"));
        if let Some(tag) = known_tag {
            request = request.header(header::IF_NONE_MATCH, tag);
        }
        let response = self
            .send_raw(context, request.body(Full::default()))
            .await?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(ConditionalResponse::Unchanged);
        }
        let tag = response.headers().get(header::ETAG).cloned();
        let message = decode(context, &success_body(context, response)?)?;
        Ok(ConditionalResponse::Changed { message, tag })
    }

    /// Posts a body and returns the answer's body.
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

    /// Sends a request once and returns the body of a successful answer.
    pub(crate) async fn send(
        &self,
        context: Context<'_>,
        request: http::Result<Request<Full<Bytes>>>,
    ) -> Result<Bytes, CallError> {
        success_body(context, self.send_raw(context, request).await?)
    }

    /// Sends a request once and returns the complete response, whatever its status.
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

/// Result of a conditional fetch.
pub(crate) enum ConditionalResponse<M> {
    /// The peer's message still has the known entity tag.
    Unchanged,
    /// The message, and its entity tag if the peer sent one.
    Changed {
        message: M,
        tag: Option<HeaderValue>,
    },
}

/// Returns the body of a response with a success status, or an error for any other status.
fn success_body(context: Context<'_>, response: Response<Bytes>) -> Result<Bytes, CallError> {
    let status = response.status();
    let body = response.into_body();
    if status.is_success() {
        return Ok(body);
    }
    let message = format!("{status}: {}", String::from_utf8_lossy(&body));
    Err(context.error(error_kind(status), message))
}

/// Returns the kind of error for a status that is not a success.
///
/// Client errors and 503 mean that the peer did not act on the call. After any other status it may
/// have acted.
fn error_kind(status: StatusCode) -> CallErrorKind {
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        CallErrorKind::Refused
    } else {
        CallErrorKind::AnswerLost
    }
}

/// Decodes the answer to a call. A malformed answer counts as lost, since the call was sent.
pub(crate) fn decode<M: DeserializeOwned>(
    context: Context<'_>,
    body: &[u8],
) -> Result<M, CallError> {
    codec::decode(body).map_err(|error| context.error(CallErrorKind::AnswerLost, error))
}

/// Encodes the message of a call that has not been sent yet.
pub(crate) fn encode(
    context: Context<'_>,
    message: &impl serde::Serialize,
) -> Result<Bytes, CallError> {
    codec::encode(message).map_err(|error| context.error(CallErrorKind::NotSent, error))
}

/// Joins an error's message and those of its sources with colons.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut message = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        message = format!("{message}: {error}");
        source = error.source();
    }
    message
}
