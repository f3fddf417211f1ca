//! Answers of the gateway's own.

use std::time::Duration;

use anvil_core::id::RequestId;

use crate::http1::ResponseHead;

/// What is promised of a request that gets no answer from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionState {
    /// It did not run and won't.
    NotRun,
    /// It may have run.
    Unknown,
}

impl ExecutionState {
    /// Its name in answers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request gets no answer from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorReason {
    /// It breaks the protocol.
    BadRequest,
    /// Its head is too large.
    HeadTooLarge,
    /// Its body is too large.
    BodyTooLarge,
    /// Its key is unknown.
    UnknownKey,
    /// No route takes it.
    NoRoute,
    /// The host doesn't know the routes and keys in force.
    Unconfigured,
    /// The routes and keys known may be outdated.
    Stale,
    /// The host is about to stop.
    Stopping,
    /// No target could take it.
    NoTarget,
    /// There is no room for it now.
    Overloaded,
    /// Its time is up.
    Timeout,
    /// The target failed, or its answer was lost.
    AnswerLost,
}

impl ErrorReason {
    /// Its name in answers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::UnknownKey => "unknown_key",
            Self::NoRoute => "no_route",
            Self::Unconfigured => "unconfigured",
            Self::Stale => "stale_configuration",
            Self::Stopping => "stopping",
            Self::NoTarget => "no_target",
            Self::Overloaded => "overloaded",
            Self::Timeout => "timeout",
            Self::AnswerLost => "answer_lost",
        }
    }

    fn status(self, execution: ExecutionState) -> (u16, &'static str) {
        match (self, execution) {
            (Self::BadRequest, _) => (400, "Bad Request"),
            (Self::UnknownKey, _) => (401, "Unauthorized"),
            (Self::NoRoute, _) => (404, "Not Found"),
            (Self::BodyTooLarge, _) => (413, "Content Too Large"),
            (Self::HeadTooLarge, _) => (431, "Request Header Fields Too Large"),
            (_, ExecutionState::NotRun) => (503, "Service Unavailable"),
            (Self::Timeout, ExecutionState::Unknown) => (504, "Gateway Timeout"),
            (_, ExecutionState::Unknown) => (502, "Bad Gateway"),
        }
    }
}

/// A refusal or failure that the gateway answers with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Why.
    pub reason: ErrorReason,
    /// What is promised.
    pub execution: ExecutionState,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// A request that did not run.
    pub fn not_run(reason: ErrorReason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            execution: ExecutionState::NotRun,
            retry_after,
        }
    }

    /// A request that may have run.
    pub fn unknown(reason: ErrorReason) -> Self {
        Self {
            reason,
            execution: ExecutionState::Unknown,
            retry_after: None,
        }
    }

    /// HTTP status.
    pub fn status(&self) -> u16 {
        self.reason.status(self.execution).0
    }

    /// Renders the answer.
    pub fn render(&self, id_header: &str, id: &RequestId, keep_alive: bool) -> Vec<u8> {
        let (status, phrase) = self.reason.status(self.execution);
        let body = format!(
            "{{\"outcome\":\"{}\",\"reason\":\"{}\"}}\n",
            self.execution.as_str(),
            self.reason.as_str()
        );
        let mut answer = format!(
            "HTTP/1.1 {status} {phrase}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        );
        if !id.is_empty() {
            answer.push_str(&format!("{id_header}: {id}\r\n"));
        }
        if let Some(after) = self.retry_after {
            answer.push_str(&format!("Retry-After: {:.3}\r\n", after.as_secs_f64()));
        }
        if !keep_alive {
            answer.push_str("Connection: close\r\n");
        }
        answer.push_str("\r\n");
        answer.push_str(&body);
        answer.into_bytes()
    }
}

/// Headers that concern one connection alone.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header concerns one connection alone.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP
        .iter()
        .any(|known| known.eq_ignore_ascii_case(name))
}

/// How the body of a relayed answer is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayedBody {
    /// By its length.
    Length(usize),
    /// In chunks.
    Chunked,
}

/// Renders the head of a target's answer for the caller.
pub fn render_head(head: &ResponseHead, body: RelayedBody, keep_alive: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(itoa::Buffer::new().format(head.status).as_bytes());
    out.extend_from_slice(b" \r\n");
    for header in head.headers.iter() {
        if is_hop_by_hop(&header.name) || header.name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        out.extend_from_slice(header.name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(&header.value);
        out.extend_from_slice(b"\r\n");
    }
    match body {
        RelayedBody::Length(length) => {
            out.extend_from_slice(b"Content-Length: ");
            out.extend_from_slice(itoa::Buffer::new().format(length).as_bytes());
            out.extend_from_slice(b"\r\n");
        }
        RelayedBody::Chunked => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
    }
    if !keep_alive {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}
