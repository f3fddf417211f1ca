//! HTTP client for the operators' interface of a host.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use anvil_wire::generated::operators::ErrorAnswer;
use bytes::Bytes;
use http::{
    Method,
    Request,
    header, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::{
    client::legacy::{
        Client as HyperClient,
        connect::HttpConnector, //
    },
    rt::TokioExecutor, //
};
use percent_encoding::{
    AsciiSet,
    NON_ALPHANUMERIC,
    utf8_percent_encode, //
};
use serde::Serialize;
use serde_json::Value;

use crate::failure::Failure;

/// A client for the operators' interface of one host.
pub struct Client {
    address: SocketAddr,
    token: String,
    timeout: Duration,
    http: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client that sends each request at most once: the connection pool's own retries are
    /// off.
    pub fn new(address: SocketAddr, token: impl Into<String>, timeout: Duration) -> Self {
        let http = HyperClient::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self {
            address,
            token: token.into(),
            timeout,
            http,
        }
    }

    /// Sends a GET request and returns the JSON answer.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Call`] if the host can't be reached, fails or doesn't answer in time, and
    /// [`Failure::Refused`] if it refuses the request.
    pub async fn get(&self, operation: &'static str, path: &str) -> Result<Value, Failure> {
        self.call(operation, Method::GET, path, Bytes::new()).await
    }

    /// Sends `message` as JSON and returns the JSON answer.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Call`] if the host can't be reached, fails or doesn't answer in time, and
    /// [`Failure::Refused`] if it refuses the request.
    pub async fn send(
        &self,
        operation: &'static str,
        method: Method,
        path: &str,
        message: &impl Serialize,
    ) -> Result<Value, Failure> {
        let body =
            serde_json::to_vec(message).map_err(|error| self.call_failure(operation, error))?;
        self.call(operation, method, path, body.into()).await
    }

    async fn call(
        &self,
        operation: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Value, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| self.call_failure(operation, error))?;
        let exchange = async {
            let response = self.http.request(request).await;
            let response = response
                .map_err(|error| self.call_failure(operation, error_with_causes(&error)))?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body
                .map_err(|error| self.call_failure(operation, error))?
                .to_bytes();
            Ok::<_, Failure>((status, body))
        };
        let (status, body) = tokio::time::timeout(self.timeout, exchange)
            .await
            .map_err(|_| self.call_failure(operation, "the call timed out"))??;
        if status.is_success() {
            return serde_json::from_slice(&body)
                .map_err(|error| self.call_failure(operation, error));
        }
        let message = match serde_json::from_slice::<ErrorAnswer>(&body) {
            Ok(answer) => answer.message,
            Err(_) => format!("{status}: {}", String::from_utf8_lossy(&body).trim()).into(),
        };
        if !status.is_client_error() {
            return Err(self.call_failure(operation, message));
        }
        Err(Failure::Refused {
            operation,
            host: self.address.to_string(),
            message,
        })
    }

    fn call_failure(&self, operation: &'static str, message: impl ToString) -> Failure {
        Failure::Call {
            operation,
            host: self.address.to_string(),
            message: message.to_string(),
        }
    }
}

/// Formats an error with all of its causes, which the HTTP client's own text leaves out.
fn error_with_causes(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {}", error_with_causes(source)),
        None => error.to_string(),
    }
}

/// Characters that must be percent-encoded in a path segment or a query value.
const ENCODED_CHARACTERS: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// Percent-encodes a path segment or a query value.
pub fn percent_encode(text: &str) -> String {
    utf8_percent_encode(text, ENCODED_CHARACTERS).to_string()
}

#[cfg(test)]
mod tests;
