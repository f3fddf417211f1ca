//! Adapter of plain services over HTTP. Each call uses a new connection and is never sent again.
//!
//! A pooled connection may close while a call is being sent, and then it is unknown whether the
//! call ran. On a connection of its own, a call fails with `NotSent` only if none of it was
//! written.

use std::{
    ops::RangeInclusive,
    time::Duration, //
};

use anvil_host::port::{
    CallError,
    CallErrorKind,
    PlainService,
    ServiceAnswer,
    ServiceCall,
    TargetAddress, //
};
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{
    Request, Response,
    header::{
        CONTENT_TYPE,
        HOST, //
    },
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::{
    body::Incoming,
    client::conn::http1, //
};
use hyper_util::rt::TokioIo;
use smol_str::SmolStr;
use tokio::net::TcpStream;

use crate::call::{
    ANSWER_LIMIT_BYTES,
    CONNECT_TIMEOUT,
    Context, //
};

/// Statuses of the protocol with which a call may end.
const STATUSES: RangeInclusive<u16> = 200..=599;

/// Implements the port of the plain services.
pub(crate) struct Services;

impl PlainService for Services {
    fn call<'a>(
        &'a self,
        target: &'a TargetAddress,
        call: ServiceCall,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<ServiceAnswer, CallError>> {
        Box::pin(async move {
            let context = Context {
                operation: "call",
                peer: &target.id,
                timeout,
            };
            let request = request(target, call)
                .map_err(|error| context.error(CallErrorKind::NotSent, error))?;
            let stream = connect(context, target).await?;
            match tokio::time::timeout(timeout, exchange(context, stream, request)).await {
                Ok(result) => result,
                Err(elapsed) => Err(context.error(CallErrorKind::AnswerLost, elapsed)),
            }
        })
    }
}

fn request(target: &TargetAddress, call: ServiceCall) -> http::Result<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(HOST, target.address.to_string());
    if let Some(content_type) = call.content_type {
        request = request.header(CONTENT_TYPE, content_type);
    }
    if let Some(key) = call.idempotency_key {
        request = request.header("idempotency-key", key.as_str());
    }
    request.body(Full::new(call.body))
}

async fn connect(context: Context<'_>, target: &TargetAddress) -> Result<TcpStream, CallError> {
    let timeout = context.timeout.min(CONNECT_TIMEOUT);
    let connected = tokio::time::timeout(timeout, TcpStream::connect(target.address)).await;
    let stream = connected
        .map_err(|elapsed| context.error(CallErrorKind::NotSent, elapsed))?
        .map_err(|error| context.error(CallErrorKind::NotSent, error))?;
    // Nagle's algorithm only delays the call. A socket that cannot disable it still works.
    let _unsupported = stream.set_nodelay(true);
    Ok(stream)
}

async fn exchange(
    context: Context<'_>,
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> Result<ServiceAnswer, CallError> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| context.error(CallErrorKind::NotSent, error))?;
    let answer_future = async {
        let response = sender.try_send_request(request).await.map_err(|error| {
            // The error returns the request exactly if none of it was written.
            let kind = match error.message() {
                Some(_) => CallErrorKind::NotSent,
                None => CallErrorKind::AnswerLost,
            };
            context.error(kind, error.error())
        })?;
        read_answer(context, response).await
    };
    let mut answer_future = std::pin::pin!(answer_future);
    tokio::select! {
        biased;
        result = &mut answer_future => result,
        _closed = connection => answer_future.await,
    }
}

async fn read_answer(
    context: Context<'_>,
    response: Response<Incoming>,
) -> Result<ServiceAnswer, CallError> {
    let status = response.status().as_u16();
    if !STATUSES.contains(&status) {
        let message = format!("invalid status {status}");
        return Err(context.error(CallErrorKind::AnswerLost, message));
    }
    let content_type = response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map(SmolStr::new);
    let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES)
        .collect()
        .await
        .map_err(|error| context.error(CallErrorKind::AnswerLost, error))?
        .to_bytes();
    Ok(ServiceAnswer {
        status,
        content_type,
        body,
    })
}

#[cfg(test)]
mod tests;
