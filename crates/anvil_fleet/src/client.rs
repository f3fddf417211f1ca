//! A caller in the manner of an OpenAI client: base address and key, whole answers or streams.

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

/// A caller.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    authorization: SmolStr,
}

/// A completion to ask for.
#[derive(Clone, Debug)]
pub struct CompletionParams {
    /// The model.
    pub model: SmolStr,
    /// The prompt.
    pub prompt: Vec<Token>,
    /// Tokens to answer with.
    pub limit_tokens: u32,
    /// Time in which an answer is useful.
    pub deadline: Option<Duration>,
}

impl CompletionParams {
    /// A completion by the default model.
    pub fn new(prompt: impl Into<Vec<Token>>, limit_tokens: u32) -> Self {
        Self {
            model: builder::MODEL.into(),
            prompt: prompt.into(),
            limit_tokens,
            deadline: None,
        }
    }

    /// A completion by the default model of a text, a token for each byte.
    pub fn from_text(prompt: &str, limit_tokens: u32) -> Self {
        let tokens: Vec<Token> = prompt.bytes().map(Token::from).collect();
        Self::new(tokens, limit_tokens)
    }

    /// The answer that it must get from the default model.
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

/// A call that got no answer.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ClientError {
    /// The host refused.
    #[display("refused with {status}: {reason}, {outcome}: {message}")]
    Refused {
        /// HTTP status; that of a stream whose refusal came late is 200.
        status: u16,
        /// `not_run` or `unknown`.
        outcome: SmolStr,
        /// The reason.
        reason: SmolStr,
        /// For a person.
        message: String,
        /// When a retry may help, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// No connection: nothing was sent.
    #[display("connect: {message}")]
    Connect {
        /// What the transport said.
        message: String,
    },
    /// The answer was cut off or makes no sense.
    #[display("lost: {message}")]
    Lost {
        /// What went wrong.
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

/// Answer of a plain service, as it came through a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
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
    /// A caller at a host with a team's key.
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

    /// Asks for a whole answer.
    ///
    /// # Errors
    ///
    /// A refusal or a lost answer.
    pub async fn complete(&self, completion: &CompletionParams) -> Result<Vec<Token>, ClientError> {
        let response = self.ask(completion, false).await?;
        let body = read(response).await?;
        let chunk: Chunk = serde_json::from_slice(&body).map_err(ClientError::lost)?;
        let choice = chunk.choices.into_iter().next();
        let choice = choice.ok_or_else(|| ClientError::lost("an answer without a choice"))?;
        Ok(choice.tokens)
    }

    /// Asks for a stream of tokens. An answer that is cut off ends with an error.
    ///
    /// # Errors
    ///
    /// A refusal or a lost answer.
    pub async fn stream(
        &self,
        completion: &CompletionParams,
    ) -> Result<BoxStream<'static, Result<Token, ClientError>>, ClientError> {
        let response = self.ask(completion, true).await?;
        let events = BodyDataStream::new(response.into_body()).eventsource();
        Ok(tokens(events.map_err(ClientError::lost)).boxed())
    }

    /// Asks for a stream and collects it.
    ///
    /// # Errors
    ///
    /// A refusal or a lost answer.
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
    /// A refusal by the host or a lost answer. An answer of the service itself is no error.
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
        let body = read(response).await?;
        match refusal(status, &body) {
            Some(refused) if status >= 400 => Err(refused),
            _ => Ok(ServiceAnswer { status, body }),
        }
    }

    async fn ask(
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
        let body = read(response).await?;
        let refused = refusal(status.as_u16(), &body);
        Err(refused.unwrap_or_else(|| ClientError::lost(format!("status {status}"))))
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

async fn read(response: Response<Incoming>) -> Result<Bytes, ClientError> {
    let body = response.into_body().collect().await;
    body.map(http_body_util::Collected::to_bytes)
        .map_err(ClientError::lost)
}

/// Reads a refusal of a host; nothing where the body is none.
fn refusal(status: u16, body: &[u8]) -> Option<ClientError> {
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

/// Tokens of a stream of events, which ends in order only with its end marker.
fn tokens(
    events: impl Stream<Item = Result<eventsource_stream::Event, ClientError>>,
) -> impl Stream<Item = Result<Token, ClientError>> {
    let ended = events
        .map(Some)
        .chain(futures::stream::iter([None]))
        .map(|event| match event {
            Some(event) => parse(&event?.data),
            None => Err(ClientError::lost("the stream was cut off")),
        });
    ended
        .scan(false, |is_over, step| {
            if *is_over {
                return futures::future::ready(None);
            }
            let items = match step {
                Ok(Some(tokens)) => tokens.into_iter().map(Ok).collect(),
                Ok(None) => {
                    *is_over = true;
                    Vec::new()
                }
                Err(error) => {
                    *is_over = true;
                    vec![Err(error)]
                }
            };
            futures::future::ready(Some(futures::stream::iter(items)))
        })
        .flatten()
}

/// Tokens of one event; nothing at the end marker.
fn parse(data: &str) -> Result<Option<Vec<Token>>, ClientError> {
    if data == "[DONE]" {
        return Ok(None);
    }
    if let Some(refused) = refusal(200, data.as_bytes()) {
        return Err(refused);
    }
    let chunk: Chunk = serde_json::from_str(data).map_err(ClientError::lost)?;
    let tokens = chunk.choices.into_iter().flat_map(|choice| choice.tokens);
    Ok(Some(tokens.collect()))
}
