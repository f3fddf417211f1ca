//! Renders the gateway's own error responses, and the heads of answers that it relays.

use std::time::Duration;

use anvil_core::{id::RequestId, quarantine::Suspect};

use crate::http1::ResponseHead;

/// What the gateway states about the execution of a request that gets no answer from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionState {
    /// The request did not run and won't run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl ExecutionState {
    /// Returns the name used in answers, logs and metrics.
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
    /// The request breaks the protocol.
    BadRequest,
    /// Its head exceeds the limit.
    HeadTooLarge,
    /// Its body exceeds the limit.
    BodyTooLarge,
    /// Its body stopped arriving.
    BodyTooSlow,
    /// Its key is missing or unknown.
    UnknownKey,
    /// No route matches it.
    NoRoute,
    /// The host has not read any routes and keys yet.
    Unconfigured,
    /// The routes and keys that the host has may be outdated.
    Stale,
    /// The host is shutting down.
    Stopping,
    /// No target could take the request.
    NoTarget,
    /// A part of its prompt ends engines.
    QuarantinedPart,
    /// Equal requests ended targets.
    QuarantinedRequest,
    /// There is no capacity for the request now, or the retry budget of its service is used up.
    Overloaded,
    /// Its deadline passed.
    Timeout,
    /// The target failed, or its answer was lost.
    AnswerLost,
}

impl ErrorReason {
    /// Returns the name used in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTooSlow => "body_too_slow",
            Self::UnknownKey => "unknown_key",
            Self::NoRoute => "no_route",
            Self::Unconfigured => "unconfigured",
            Self::Stale => "stale_configuration",
            Self::Stopping => "stopping",
            Self::NoTarget => "no_target",
            Self::QuarantinedPart => "quarantined_part",
            Self::QuarantinedRequest => "quarantined_request",
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
            (Self::BodyTooSlow, _) => (408, "Request Timeout"),
            (Self::BodyTooLarge, _) => (413, "Content Too Large"),
            (Self::HeadTooLarge, _) => (431, "Request Header Fields Too Large"),
            (_, ExecutionState::NotRun) => (503, "Service Unavailable"),
            (Self::Timeout, ExecutionState::Unknown) => (504, "Gateway Timeout"),
            (_, ExecutionState::Unknown) => (502, "Bad Gateway"),
        }
    }
}

impl From<&Suspect> for ErrorReason {
    fn from(suspect: &Suspect) -> Self {
        match suspect {
            Suspect::Part(_) => Self::QuarantinedPart,
            Suspect::Request(_) => Self::QuarantinedRequest,
        }
    }
}

/// The gateway's answer to a request that it refuses or that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Why the request gets no answer from a target.
    pub reason: ErrorReason,
    /// Whether the request may have run.
    pub execution: ExecutionState,
    /// Time after which the caller may retry; `None` leaves the header out.
    pub retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// Creates the response to a request that did not run.
    pub fn not_run(reason: ErrorReason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            execution: ExecutionState::NotRun,
            retry_after,
        }
    }

    /// Creates the response to a request that may have run.
    pub fn unknown(reason: ErrorReason) -> Self {
        Self {
            reason,
            execution: ExecutionState::Unknown,
            retry_after: None,
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.reason.status(self.execution).0
    }

    /// Renders head and body. An empty `id` leaves its header out.
    pub fn render(&self, id_header: &str, id: &RequestId, keep_alive: bool) -> Vec<u8> {
        let (status, phrase) = self.reason.status(self.execution);
        let body = format!(
            "{{\"outcome\":\"{}\",\"reason\":\"{}\"}}\n",
            self.execution.as_str(),
            self.reason.as_str()
        );
        let mut response = format!(
            "HTTP/1.1 {status} {phrase}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        );
        if !id.is_empty() {
            response.push_str(&format!("{id_header}: {id}\r\n"));
        }
        if let Some(delay) = self.retry_after {
            response.push_str(&format!("Retry-After: {:.3}\r\n", delay.as_secs_f64()));
        }
        if !keep_alive {
            response.push_str("Connection: close\r\n");
        }
        response.push_str("\r\n");
        response.push_str(&body);
        response.into_bytes()
    }
}

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header applies to a single connection, regardless of case.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_HEADERS
        .iter()
        .any(|known| known.eq_ignore_ascii_case(name))
}

/// How the body of a relayed answer is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayedBody {
    /// There is none.
    None,
    /// By a length in bytes.
    Length(usize),
    /// By chunked transfer encoding.
    Chunked,
}

/// Renders the head of a target's answer for the caller. Hop-by-hop headers and the length are
/// replaced by those of the caller's connection.
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
        RelayedBody::None => {}
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
