//! Client of a host, used like an OpenAI client: it takes an address and a key, and requests
//! complete or streamed answers.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use anvil_core::id::Token;
use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use eventsource_stream::Eventsource;
use futures::{
    Stream,
    StreamExt,
    TryStreamExt,
    stream::BoxStream, //
};
use http::{
    HeaderValue, Method, Request, Response,
    header::{
        AUTHORIZATION,
        CONTENT_TYPE, //
    },
};
use http_body_util::{
    BodyDataStream,
    BodyExt,
    Full, //
};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        self,
        connect::HttpConnector, //
    },
    rt::TokioExecutor,
};
use serde::Deserialize;
use serde_json::{
    Value,
    json, //
};
use smol_str::{
    SmolStr,
    format_smolstr, //
};

use crate::builder;

/// Client of one host, with a team's key.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    authorization: SmolStr,
}

/// Parameters of a completion request.
#[derive(Clone, Debug)]
pub struct CompletionParams {
    /// Name of the model.
    pub model: SmolStr,
    /// Tokens of the prompt.
    pub prompt: Vec<Token>,
    /// Maximum number of tokens in the answer.
    pub limit_tokens: u32,
    /// Time after which the answer is no longer useful. `None` leaves the default to the host.
    pub deadline: Option<Duration>,
}

impl CompletionParams {
    /// Creates parameters for the default model.
    pub fn new(prompt: impl Into<Vec<Token>>, limit_tokens: u32) -> Self {
        Self {
            model: builder::MODEL.into(),
            prompt: prompt.into(),
            limit_tokens,
            deadline: None,
        }
    }

    /// Creates parameters for the default model, with one token for each byte of the prompt.
    pub fn from_text(prompt: &str, limit_tokens: u32) -> Self {
        let tokens: Vec<Token> = prompt.bytes().map(Token::from).collect();
        Self::new(tokens, limit_tokens)
    }

    /// Returns the answer that the default model must give.
    pub fn expected_tokens(&self) -> Vec<Token> {
        anvil_standins::reference::expected_answer(
            &self.model,
            builder::MODEL_VERSION,
            builder::LAYER_COUNT,
            &self.prompt,
            usize::try_from(self.limit_tokens).unwrap_or(usize::MAX),
        )
    }
}

/// Error of a call that got no complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ClientError {
    /// The host refused the request.
    #[display("refused with {status}: {reason}, {outcome}: {message}")]
    Refused {
        /// HTTP status. It is 200 if the refusal arrived within a stream that had already started.
        status: u16,
        /// Whether the request ran: `not_run` or `unknown`.
        outcome: SmolStr,
        /// Reason code.
        reason: SmolStr,
        /// Explanation for people, which may be empty.
        message: String,
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// No connection could be opened. Nothing was sent.
    #[display("cannot connect to the host: {message}")]
    Connect {
        /// Error message of the transport.
        message: String,
    },
    /// The answer was lost, truncated or malformed. The request may have run.
    #[display("no usable answer: {message}")]
    Lost {
        /// Description of the error.
        message: String,
    },
}

impl ClientError {
    fn lost(message: impl std::fmt::Display) -> Self {
        Self::Lost {
            message: message.to_string(),
        }
    }
}

/// Answer of a plain service, as forwarded by a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status of the service's answer.
    pub status: u16,
    /// Body of the service's answer.
    pub body: Bytes,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    tokens: Vec<Token>,
}

impl Client {
    /// Creates a client of the host at `address` that authenticates with `key`.
    pub fn new(address: SocketAddr, key: impl Into<SmolStr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            http: legacy::Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
            address,
            authorization: format_smolstr!("Bearer {}", key.into()),
        }
    }

    /// Requests a complete answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the host refuses, cannot be reached or sends no usable answer.
    pub async fn complete(&self, completion: &CompletionParams) -> Result<Vec<Token>, ClientError> {
        let response = self.request_completion(completion, false).await?;
        let body = read_body(response).await?;
        let chunk: Chunk = serde_json::from_slice(&body).map_err(ClientError::lost)?;
        let choice = chunk.choices.into_iter().next();
        let choice = choice.ok_or_else(|| ClientError::lost("the answer contains no choice"))?;
        Ok(choice.tokens)
    }

    /// Requests a stream of tokens. If the answer is truncated, the last item is an error.
    ///
    /// # Errors
    ///
    /// Returns an error if the host refuses, cannot be reached or sends no usable response.
    pub async fn stream(
        &self,
        completion: &CompletionParams,
    ) -> Result<BoxStream<'static, Result<Token, ClientError>>, ClientError> {
        let response = self.request_completion(completion, true).await?;
        let events = BodyDataStream::new(response.into_body()).eventsource();
        Ok(token_stream(events.map_err(ClientError::lost)).boxed())
    }

    /// Requests a stream of tokens and collects it.
    ///
    /// # Errors
    ///
    /// Returns an error if the host refuses, cannot be reached or does not complete the answer.
    pub async fn stream_to_end(
        &self,
        completion: &CompletionParams,
    ) -> Result<Vec<Token>, ClientError> {
        self.stream(completion).await?.try_collect().await
    }

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Returns an error if the host refuses, cannot be reached or sends no complete answer. An
    /// answer of the service itself is not an error, whatever its status.
    pub async fn call_service(
        &self,
        service: &str,
        path: &str,
        key: Option<&str>,
        body: impl Into<Bytes>,
    ) -> Result<ServiceAnswer, ClientError> {
        let uri = format!("http://{}/v1/services/{service}/{path}", self.address);
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header(AUTHORIZATION, self.authorization.as_str())
            .header(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new(body.into()));
        let response = self.send(request.map_err(ClientError::lost)?).await?;
        let status = response.status().as_u16();
        let body = read_body(response).await?;
        match parse_refusal(status, &body) {
            Some(refusal) if status >= 400 => Err(refusal),
            _ => Ok(ServiceAnswer { status, body }),
        }
    }

    async fn request_completion(
        &self,
        completion: &CompletionParams,
        stream: bool,
    ) -> Result<Response<Incoming>, ClientError> {
        let body = json!({
            "model": completion.model,
            "prompt": completion.prompt,
            "max_tokens": completion.limit_tokens,
            "stream": stream,
        });
        let mut request = Request::post(format!("http://{}/v1/completions", self.address))
            .header(AUTHORIZATION, self.authorization.as_str())
            .header(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(deadline) = completion.deadline {
            let header = anvil_host::callers::DEADLINE_HEADER;
            request = request.header(header, deadline.as_millis().to_string());
        }
        let request = request.body(Full::from(body.to_string()));
        let response = self.send(request.map_err(ClientError::lost)?).await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let body = read_body(response).await?;
        let refusal = parse_refusal(status.as_u16(), &body);
        Err(refusal.unwrap_or_else(|| ClientError::lost(format!("status {status} and no reason"))))
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, ClientError> {
        self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                return ClientError::Connect {
                    message: error.to_string(),
                };
            }
            ClientError::lost(error)
        })
    }
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, ClientError> {
    let body = response.into_body().collect().await;
    body.map(http_body_util::Collected::to_bytes)
        .map_err(ClientError::lost)
}

/// Parses a refusal of a host. Returns `None` if the body is not a refusal.
fn parse_refusal(status: u16, body: &[u8]) -> Option<ClientError> {
    #[derive(Deserialize)]
    struct Refusal {
        outcome: SmolStr,
        reason: SmolStr,
        error: Option<Value>,
        retry_after_ms: Option<u64>,
    }
    let refusal: Refusal = serde_json::from_slice(body).ok()?;
    let message = refusal
        .error
        .and_then(|error| error["message"].as_str().map(str::to_owned));
    Some(ClientError::Refused {
        status,
        outcome: refusal.outcome,
        reason: refusal.reason,
        message: message.unwrap_or_default(),
        retry_after_ms: refusal.retry_after_ms,
    })
}

/// Returns the tokens of a stream of events. A stream without its end marker is truncated and ends
/// with an error.
fn token_stream(
    events: impl Stream<Item = Result<eventsource_stream::Event, ClientError>>,
) -> impl Stream<Item = Result<Token, ClientError>> {
    let batches = events
        .map(Some)
        .chain(futures::stream::iter([None]))
        .map(|event| match event {
            Some(event) => parse_event(&event?.data),
            None => Err(ClientError::lost("the stream ended without its end marker")),
        });
    batches
        .scan(false, |is_finished, batch| {
            if *is_finished {
                return futures::future::ready(None);
            }
            let items = match batch {
                Ok(Some(tokens)) => tokens.into_iter().map(Ok).collect(),
                Ok(None) => {
                    *is_finished = true;
                    Vec::new()
                }
                Err(error) => {
                    *is_finished = true;
                    vec![Err(error)]
                }
            };
            futures::future::ready(Some(futures::stream::iter(items)))
        })
        .flatten()
}

/// Returns the tokens of one event, or `None` if it is the end marker.
fn parse_event(data: &str) -> Result<Option<Vec<Token>>, ClientError> {
    if data == "[DONE]" {
        return Ok(None);
    }
    if let Some(refusal) = parse_refusal(200, data.as_bytes()) {
        return Err(refusal);
    }
    let chunk: Chunk = serde_json::from_str(data).map_err(ClientError::lost)?;
    let tokens = chunk.choices.into_iter().flat_map(|choice| choice.tokens);
    Ok(Some(tokens.collect()))
}
