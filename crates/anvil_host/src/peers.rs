//! The listener for other hosts: `POST /peer/v1/{path}` with MessagePack bodies.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use anvil_wire::codec::{
    self,
    CodecError, //
};
use bytes::Bytes;
use derive_more::{
    Display,
    Error,
    From, //
};
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use http::{
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use sha2::{
    Digest,
    Sha256, //
};
use viz::{
    Body,
    Request,
    RequestExt,
    Response,
    Router, //
};

use crate::shared::Shared;

/// Largest body of a peer's message.
const BODY_LIMIT_BYTES: usize = 16 << 20;
/// Longest time for the body of a peer's message to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a peer's message was not answered.
#[derive(Debug, Display, Error, From)]
pub enum Rejected {
    /// The message can't be decoded, or the answer can't be encoded.
    Codec(CodecError),
    /// This host can't serve the request now and has done nothing. The text is sent to the peer.
    #[from(ignore)]
    #[display("{_0}")]
    Refused(#[error(not(source))] &'static str),
}

/// Handler of one path; takes and returns encoded messages.
type Handler = Arc<dyn Fn(Bytes) -> BoxFuture<'static, Result<Bytes, Rejected>> + Send + Sync>;

/// The paths that peers may call, each with its handler.
#[derive(Clone, Default)]
pub struct Routes {
    handlers: HashMap<&'static str, Handler>,
}

impl Routes {
    /// Adds a handler for `/peer/v1/{path}` that decodes and encodes messages itself.
    #[must_use]
    pub fn on_bytes<F>(
        mut self,
        path: &'static str,
        handler: impl Fn(Bytes) -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = Result<Bytes, Rejected>> + Send + 'static,
    {
        let handler: Handler = Arc::new(move |body| handler(body).boxed());
        self.handlers.insert(path, handler);
        self
    }

    /// Adds a handler for `/peer/v1/{path}` whose messages are decoded and encoded as MessagePack.
    #[must_use]
    pub fn on<Q, A, F>(
        mut self,
        path: &'static str,
        handler: impl Fn(Q) -> F + Send + Sync + 'static,
    ) -> Self
    where
        Q: DeserializeOwned + Send + 'static,
        A: Serialize + 'static,
        F: Future<Output = Result<A, Rejected>> + Send + 'static,
    {
        let handler: Handler = Arc::new(move |body: Bytes| match codec::decode(&body) {
            Ok(message) => {
                let answer = handler(message);
                async move { Ok(codec::encode(&answer.await?)?) }.boxed()
            }
            Err(error) => futures::future::ready(Err(error.into())).boxed(),
        });
        self.handlers.insert(path, handler);
        self
    }
}

/// Returns the router of the peers' listener, which checks the peer key before it calls a handler.
pub fn router(shared: &Arc<Shared>, routes: Routes) -> Router {
    let peer_key = Sha256::digest(shared.settings.credentials.peer_key.as_bytes());
    let routes = Arc::new(routes);
    Router::new().post("/peer/v1/:path", move |request: Request| {
        let routes = Arc::clone(&routes);
        async move { Ok::<Response, viz::Error>(serve(&routes, peer_key.as_slice(), request).await) }
    })
}

async fn serve(routes: &Routes, peer_key_sha256: &[u8], request: Request) -> Response {
    if !has_peer_key(peer_key_sha256, &request) {
        return answer(StatusCode::UNAUTHORIZED, Bytes::new());
    }
    let Ok(path) = request.param::<String>("path") else {
        return answer(StatusCode::NOT_FOUND, Bytes::new());
    };
    let Some(handler) = routes.handlers.get(path.as_str()) else {
        return answer(StatusCode::NOT_FOUND, Bytes::new());
    };
    let body = Limited::new(request.into_body(), BODY_LIMIT_BYTES).collect();
    let Ok(Ok(body)) = tokio::time::timeout(BODY_TIMEOUT, body).await else {
        return answer(StatusCode::BAD_REQUEST, Bytes::new());
    };
    match handler(body.to_bytes()).await {
        Ok(bytes) => answer(StatusCode::OK, bytes),
        Err(error @ Rejected::Refused(_)) => {
            answer(StatusCode::SERVICE_UNAVAILABLE, error.to_string().into())
        }
        Err(error @ Rejected::Codec(_)) => {
            spdlog::warn!("peer.malformed", kv: { path: = path, error: });
            answer(StatusCode::BAD_REQUEST, error.to_string().into())
        }
    }
}

/// Returns whether the request carries the peer key. Digests are compared, so that the time taken
/// reveals nothing about the key.
fn has_peer_key(peer_key_sha256: &[u8], request: &Request) -> bool {
    let presented = request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    presented.is_some_and(|key| Sha256::digest(key).as_slice() == peer_key_sha256)
}

fn answer(status: StatusCode, body: Bytes) -> Response {
    let mut response = Response::new(Body::from(Full::from(body)));
    *response.status_mut() = status;
    response
}
