//! Finds out whether a target reads requests now, before one is sent to it.
//!
//! The system of a target accepts connections and bytes also while its process does not run. A request
//! that is sent there waits unread while its time runs and can't be taken back. If it may be repeated, it
//! is charged to the retry budget; if not, it is lost to its caller. A target that answers its health
//! check at once reads what is sent to it.

use std::{
    pin::pin,
    time::Duration, //
};

use derive_more::Display;
use futures::future;
use tokio::time::Instant;

use crate::{
    exchange::RequestContext,
    gateway::Gateway,
    http1::{
        BodyDecoder,
        ConnectError, //
    },
    link,
    paths::{
        ChosenPath,
        LIVENESS_WINDOW, //
    },
    plain::CROSSED_ANSWERS_MAX,
    pool::PooledConnection,
    target::Target, //
};

/// Longest time for the answer to a health check of a target that reads: a few round trips, and the
/// wait for a slot.
pub const QUICK_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which a kept connection without an answer is doubted, and a new one is opened for the
/// check.
const KEPT_CONNECTION_TIMEOUT: Duration = Duration::from_millis(60);
/// Time since a target was heard from within which no check is needed.
const HEARD_TIME: Duration = Duration::from_millis(5);
/// Status with which a target that is full or leaving answers its health check.
const UNAVAILABLE_STATUS: u16 = 503;
/// Largest body of an answer to a health check.
const BODY_LIMIT_BYTES: usize = 16 << 10;

/// Why a target can't be sent a request now.
#[derive(Debug, Display)]
pub enum Failure {
    /// No connection could be opened.
    #[display("{_0}")]
    NoConnection(ConnectError),
    /// The connection ended before the answer to the health check.
    #[display("connection ended before the answer to the health check")]
    Ended,
    /// Nothing came before the deadline of the request.
    #[display("health check was not answered")]
    Silent,
    /// The target is full or leaving.
    #[display("health check was refused")]
    Refused,
}

/// Returns whether something came from a target so lately that it reads requests.
pub fn is_heard(target: &Target) -> bool {
    target
        .last_heard_at()
        .is_some_and(|at| at.elapsed() <= HEARD_TIME)
}

/// Sends a health check to a target and waits for the answer, without a limit of its own beside those
/// of the connection. Returns the connection, on which the request can be sent.
///
/// # Errors
///
/// Returns a [`Failure`] if the target can't be reached or refuses the check.
pub async fn check(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    target: &Target,
    limits: link::Limits,
) -> Result<PooledConnection, Failure> {
    let id = &request.metadata.id;
    let acquire = async || {
        let acquired = link::acquire(gateway, target, id, limits).await;
        acquired.map_err(Failure::NoConnection)
    };
    let path = &request.service.health_path;
    let mut acquired = acquire().await?;
    if path.is_empty() {
        return Ok(acquired);
    }
    let mut is_clean = None;
    if acquired.is_reused {
        let answered = ask(gateway, target, path, &mut acquired);
        let answered = gateway.run_clock.timeout(KEPT_CONNECTION_TIMEOUT, answered);
        match answered.await {
            Ok(Err(Failure::Refused)) => return Err(Failure::Refused),
            Ok(answered) => is_clean = answered.ok(),
            Err(_) => target.pool.doubt(&target.id),
        }
        if is_clean.is_none() {
            let opened = link::open(gateway, target, limits).await;
            acquired = opened.map_err(Failure::NoConnection)?;
        }
    }
    let is_clean = match is_clean {
        Some(is_clean) => is_clean,
        None => ask(gateway, target, path, &mut acquired).await?,
    };
    // The answers to a request without an id can't be told from a second copy of this one.
    if is_clean && !id.is_empty() {
        acquired.is_reused = true;
        return Ok(acquired);
    }
    acquire().await
}

/// Sends a health check on a connection and reads the answer. Returns whether the connection can carry
/// another request.
async fn ask(
    gateway: &Gateway,
    target: &Target,
    path: &str,
    acquired: &mut PooledConnection,
) -> Result<bool, Failure> {
    let connection = &mut acquired.connection;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", target.address());
    let written = connection.write_all(request.as_bytes()).await;
    written.map_err(|_| Failure::Ended)?;
    for _ in 0..=CROSSED_ANSWERS_MAX {
        let head = connection.read_response().await;
        let head = head.map_err(|_| Failure::Ended)?;
        let mut decoder = BodyDecoder::new(head.framing);
        let body = connection
            .read_whole_body(&mut decoder, BODY_LIMIT_BYTES)
            .await;
        let is_whole = matches!(body, Ok(Some(_)));
        target.record_answer(Instant::now());
        if !is_whole {
            return Err(Failure::Ended);
        }
        let metadata = gateway.platform.header_codec.parse_response(&head);
        if metadata.id.is_some() || metadata.is_sealed {
            // A late copy of the answer to an earlier request.
            continue;
        }
        return match head.status {
            UNAVAILABLE_STATUS => Err(Failure::Refused),
            _ => Ok(head.keep_alive && !connection.has_buffered_bytes()),
        };
    }
    Err(Failure::Ended)
}

/// Returns whether all targets of a path read what is sent to them: they have made progress with requests
/// of this host lately, or answer a health check at once. Those that don't are used only where there is
/// no path without them for a while.
pub async fn is_path_read(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    chosen: &ChosenPath,
) -> bool {
    let since = Instant::now() - LIVENESS_WINDOW;
    let checks = chosen.hops.iter().map(|hop| async move {
        let target = &hop.target;
        if hop.layers.is_some() && target.progressed_since(since) {
            return true;
        }
        let limits = link::Limits {
            direct: QUICK_ANSWER_TIMEOUT,
            through_peer: QUICK_ANSWER_TIMEOUT,
        };
        let asked_at = Instant::now();
        let answered = pin!(check(gateway, request, target, limits));
        let answered = gateway.run_clock.timeout(QUICK_ANSWER_TIMEOUT, answered);
        let outcome = match answered.await {
            Ok(Ok(connection)) if asked_at.elapsed() <= QUICK_ANSWER_TIMEOUT => {
                target.pool.release(connection, None);
                return true;
            }
            Ok(Ok(_)) => "late".to_owned(),
            Ok(Err(failure)) => failure.to_string(),
            Err(_) => "silent".to_owned(),
        };
        target.record_slower(Instant::now());
        log_check(request, target, asked_at, &outcome);
        false
    });
    future::join_all(checks)
        .await
        .into_iter()
        .all(|is_read| is_read)
}

/// Logs a health check that was not answered at once.
pub(crate) fn log_check(
    request: &RequestContext<'_>,
    target: &Target,
    asked_at: Instant,
    outcome: &str,
) {
    spdlog::info!("target.check_failed", kv: {
        request = request.metadata.id.as_str(),
        target = target.id.as_str(),
        waited_ms = asked_at.elapsed().as_millis() as u64,
        outcome,
    });
}
