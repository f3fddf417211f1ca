//! Reads request bodies and builds responses for all stand-ins.

use anvil_wire::codec;
use bytes::Bytes;
use http::{
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full,
    combinators::UnsyncBoxBody, //
};
use hyper::body::Incoming;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::server::ConnectionDropped;

/// Body of a response. An error in it makes the server drop the connection.
pub(crate) type Body = UnsyncBoxBody<Bytes, ConnectionDropped>;

/// A response, or the error that makes the server drop the connection without one.
pub(crate) type Reply = Result<Response<Body>, ConnectionDropped>;

/// Returns a response with a status and a body.
pub(crate) fn bytes(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Returns a response with a status and an empty body.
pub(crate) fn status(status: StatusCode) -> Response<Body> {
    bytes(status, Bytes::new())
}

/// Returns a response with an encoded message, or status 500 if the message can't be encoded.
pub(crate) fn message(message: &impl Serialize) -> Response<Body> {
    match codec::encode(message) {
        Ok(body) => bytes(StatusCode::OK, body),
        Err(error) => bytes(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Reads a whole body. Returns [`ConnectionDropped`] if the caller disconnected before its end.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, ConnectionDropped> {
    match body.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(ConnectionDropped),
    }
}

/// Reads a body and decodes it as a message.
///
/// Returns [`ConnectionDropped`] if the caller disconnected. The inner error is a response with
/// status 400 for a body that can't be decoded.
pub(crate) async fn read_message<M: DeserializeOwned>(
    body: Incoming,
) -> Result<Result<M, Response<Body>>, ConnectionDropped> {
    let body = read_body(body).await?;
    Ok(codec::decode(&body).map_err(|error| bytes(StatusCode::BAD_REQUEST, error.to_string())))
}

/// Returns a number from the query of a request, or `None` if it is missing or malformed.
pub(crate) fn query_number(uri: &http::Uri, name: &str) -> Option<u64> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}
