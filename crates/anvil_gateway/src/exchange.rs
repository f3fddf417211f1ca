//! One caller's connection: reads requests one after another and answers each.

use std::{
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    entry::{
        Route,
        Service,
        Table,
        choose_backend, //
    },
    id::ServiceId,
    id::TeamId, //
};
use bytes::Bytes;
use tokio::{
    net::TcpStream,
    time::Instant, //
};

use crate::{
    answer::{
        ErrorReason,
        ErrorResponse, //
    },
    gateway::{
        CountGuard,
        Gateway,
        Phase, //
    },
    http1::{
        BodyDecoder,
        Connection,
        HeadError,
        ReadError,
        RequestHead, //
    },
    plain,
    port::RequestMetadata,
    stream, //
};

/// Time before the end of a request's time at which it is answered: the answer must be on its way
/// in time even if this host is slow.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// Longest time that a closed connection waits for the caller to close it too.
const LINGER: Duration = Duration::from_millis(500);
/// Share of the bound on revoked keys that may pass without word from the store.
const STALE_SHARE: f64 = 0.9;
/// Time after which a caller may return to a host that lacks knowledge; another one has it.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(50);
/// Longest time that a request's body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request with all that decides about it.
pub struct RequestContext<'a> {
    /// Its head.
    pub head: &'a RequestHead,
    /// What the head says.
    pub metadata: &'a RequestMetadata,
    /// Its body.
    pub body: Bytes,
    /// Its route.
    pub route: &'a Route,
    /// The table that holds the route.
    pub table: &'a Table,
    /// The service chosen for it.
    pub service_id: &'a ServiceId,
    /// That service.
    pub service: &'a Service,
    /// The caller's team, where callers have keys.
    pub team: Option<TeamId>,
    /// When it had arrived.
    pub arrived: Instant,
    /// When it must be answered.
    pub deadline: Instant,
    /// Whether the connection may stay open after the answer.
    pub keep_alive: bool,
}

/// What became of a request.
#[derive(Debug)]
pub enum RequestOutcome {
    /// The answer went out whole, with this status.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// It was refused or failed; nothing of an answer went out yet.
    Error(ErrorResponse),
    /// The answer broke off after its beginning, so that the connection must be closed.
    Aborted {
        /// Why.
        reason: &'static str,
    },
    /// The caller left.
    CallerDisconnected,
}

impl RequestOutcome {
    /// Outcome and reason, for logs and metrics.
    pub fn labels(&self) -> (&'static str, &'static str) {
        match self {
            Self::Answered { .. } => ("answered", ""),
            Self::Error(refusal) => (refusal.execution.as_str(), refusal.reason.as_str()),
            Self::Aborted { reason } => ("broken_off", reason),
            Self::CallerDisconnected => ("caller_gone", ""),
        }
    }
}

/// What a request met on its way, for its line in the log.
#[derive(Debug, Default)]
pub struct RequestTrace {
    /// Sends to targets.
    pub sends: u32,
    /// Targets or paths, in the order of the sends.
    pub via: Vec<String>,
    /// What failed.
    pub failures: Vec<String>,
    /// Events delivered.
    pub events: u32,
    /// Time to the first event or answer.
    pub first_ms: u64,
    /// Longest pause between events.
    pub longest_pause_ms: u64,
    /// Predicted time to the first event.
    pub predicted_first_ms: f64,
    /// Predicted pause between events.
    pub predicted_pause_ms: f64,
}

impl RequestTrace {
    /// Notes a failure, within a bound.
    pub fn record_failure(&mut self, what: impl Into<String>) {
        const FAILURES_MAX: usize = 6;
        if self.failures.len() < FAILURES_MAX {
            self.failures.push(what.into());
        }
    }
}

/// Serves a caller's connection until it ends.
pub async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    let _counted = CountGuard::begin(&gateway.open_connections);
    let mut connection = Connection::new(stream);
    loop {
        let limits = gateway
            .table_cache
            .table()
            .map(|table| table.limits())
            .unwrap_or_default();
        let head = tokio::select! {
            biased;
            head = connection.read_request(
                limits.header_limit_bytes,
                limits.idle_timeout,
                limits.header_timeout,
            ) => head,
            () = gateway.closing() => return connection.close(LINGER).await,
        };
        let head = match head {
            Ok(Some(head)) => head,
            Ok(None) => return connection.close(LINGER).await,
            Err(ReadError::Head(error)) => {
                return refuse_head(&gateway, connection, error).await;
            }
            Err(ReadError::Io(_) | ReadError::Closed | ReadError::Body(_)) => return,
        };
        let _counted = CountGuard::begin(&gateway.open_requests);
        match serve_request(&gateway, &mut connection, &head).await {
            Next::Request => {}
            Next::Close => return connection.close(LINGER).await,
            Next::Drop => return,
        }
    }
}

/// What happens to a connection after a request.
enum Next {
    /// Another request may follow.
    Request,
    /// It is closed in good order.
    Close,
    /// It is dropped: the caller is gone, or must see that the answer is not whole.
    Drop,
}

async fn refuse_head(gateway: &Gateway, connection: Connection, error: HeadError) {
    let reason = match error {
        HeadError::TooLarge => ErrorReason::HeadTooLarge,
        HeadError::Malformed | HeadError::AmbiguousLength | HeadError::UnknownEncoding => {
            ErrorReason::BadRequest
        }
    };
    spdlog::info!("request.malformed", kv: { error: });
    let refusal = ErrorResponse::not_run(reason, None);
    let answer = refusal.render(
        gateway.platform.header_codec.request_id_header(),
        &"".into(),
        false,
    );
    if connection.write_all(&answer).await.is_ok() {
        connection.close(LINGER).await;
    }
}

async fn serve_request(gateway: &Gateway, connection: &mut Connection, head: &RequestHead) -> Next {
    let arrived = Instant::now();
    let keep_alive = head.keep_alive && gateway.phase() == Phase::Serving;
    let mut trace = RequestTrace::default();
    let (metadata, ended, body_is_read) =
        decide(gateway, connection, head, arrived, keep_alive, &mut trace).await;
    log_end(gateway, head, &metadata, arrived, &ended, &trace);
    match ended {
        RequestOutcome::Answered { .. } if keep_alive => Next::Request,
        RequestOutcome::Answered { .. } => Next::Close,
        RequestOutcome::Aborted { .. } | RequestOutcome::CallerDisconnected => Next::Drop,
        RequestOutcome::Error(refusal) => {
            // A host without knowledge in force sends its callers to others.
            let lacks_knowledge = matches!(
                refusal.reason,
                ErrorReason::Stale | ErrorReason::Unconfigured
            );
            let keep_alive = keep_alive && body_is_read && !lacks_knowledge;
            let id_header = gateway.platform.header_codec.request_id_header();
            let answer = refusal.render(id_header, &metadata.id, keep_alive);
            match connection.write_all(&answer).await {
                Err(_) => Next::Drop,
                Ok(()) if keep_alive => Next::Request,
                Ok(()) => Next::Close,
            }
        }
    }
}

/// Decides about a request and serves it. Tells what the head says, what became of the request,
/// and whether its body was read.
async fn decide(
    gateway: &Gateway,
    connection: &mut Connection,
    head: &RequestHead,
    arrived: Instant,
    keep_alive: bool,
    trace: &mut RequestTrace,
) -> (RequestMetadata, RequestOutcome, bool) {
    let refused = |reason| RequestOutcome::Error(ErrorResponse::not_run(reason, None));
    let metadata = match gateway.platform.header_codec.parse_request(head) {
        Ok(metadata) => metadata,
        Err(problem) => {
            trace.record_failure(problem.as_str());
            return (
                RequestMetadata::default(),
                refused(ErrorReason::BadRequest),
                false,
            );
        }
    };
    let limits = gateway
        .table_cache
        .table()
        .map(|table| table.limits())
        .unwrap_or_default();
    let body = match read_body(connection, head, limits.body_limit_bytes).await {
        Ok(Some(body)) => body,
        Ok(None) => return (metadata, refused(ErrorReason::BodyTooLarge), false),
        Err(ReadError::Body(_)) => return (metadata, refused(ErrorReason::BadRequest), false),
        Err(_) => return (metadata, RequestOutcome::CallerDisconnected, false),
    };
    if gateway.phase() == Phase::Closing {
        // Too little time is left for it; another host takes it.
        let refusal = ErrorResponse::not_run(ErrorReason::Stopping, Some(RETRY_ELSEWHERE));
        return (metadata, RequestOutcome::Error(refusal), true);
    }
    // The table is taken after the body, so that what decides is as new as can be.
    let Some(table) = gateway.table_cache.table() else {
        let refusal = ErrorResponse::not_run(ErrorReason::Unconfigured, Some(RETRY_ELSEWHERE));
        return (metadata, RequestOutcome::Error(refusal), true);
    };
    let host = head.headers.text("host").unwrap_or_default();
    let Some(route) = table.route(host, head.path()) else {
        return (metadata, refused(ErrorReason::NoRoute), true);
    };
    let team = if table.needs_key(route) {
        if are_keys_stale(gateway) {
            let refusal = ErrorResponse::not_run(ErrorReason::Stale, Some(RETRY_ELSEWHERE));
            return (metadata, RequestOutcome::Error(refusal), true);
        }
        match metadata.key.as_deref().and_then(|key| table.team(key)) {
            Some(team) => Some(team.name.clone()),
            None => return (metadata, refused(ErrorReason::UnknownKey), true),
        }
    } else {
        None
    };
    let backend = choose_backend(route, gateway.random_unit());
    let Some((service_id, service)) = backend.and_then(|id| Some((id, table.service(id)?))) else {
        return (metadata, refused(ErrorReason::NoTarget), true);
    };
    gateway.record_request(service_id);
    let time = metadata
        .budget
        .map_or(route.timeout, |budget| budget.min(route.timeout));
    let request = RequestContext {
        head,
        metadata: &metadata,
        body,
        route,
        table: &table,
        service_id,
        service,
        team,
        arrived,
        deadline: arrived + time.saturating_sub(ANSWER_MARGIN),
        keep_alive,
    };
    let ended = match &service.engine {
        Some(engine) if route.semantics.is_stream() => {
            stream::serve(gateway, connection, &request, engine, trace).await
        }
        Some(_) | None => plain::serve(gateway, connection, &request, trace).await,
    };
    (metadata, ended, true)
}

/// Whether a key that is known may have been taken away too long ago.
pub fn are_keys_stale(gateway: &Gateway) -> bool {
    let bound = gateway.settings.bounds.revoke.mul_f64(STALE_SHARE);
    gateway.table_cache.age().is_none_or(|age| age > bound)
}

async fn read_body(
    connection: &mut Connection,
    head: &RequestHead,
    limit_bytes: usize,
) -> Result<Option<Bytes>, ReadError> {
    if head.headers.contains_token("expect", "100-continue") {
        connection
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .map_err(ReadError::Io)?;
    }
    let mut decoder = BodyDecoder::new(head.framing);
    match tokio::time::timeout(
        BODY_TIMEOUT,
        connection.read_whole_body(&mut decoder, limit_bytes),
    )
    .await
    {
        Ok(result) => result,
        Err(_) => Err(ReadError::Closed),
    }
}

fn log_end(
    gateway: &Gateway,
    head: &RequestHead,
    metadata: &RequestMetadata,
    arrived: Instant,
    ended: &RequestOutcome,
    trace: &RequestTrace,
) {
    gateway
        .metrics
        .record_outcome(ended, trace, arrived.elapsed().as_secs_f64());
    let (outcome, reason) = ended.labels();
    let status = match ended {
        RequestOutcome::Answered { status } => *status,
        RequestOutcome::Error(refusal) => refusal.status(),
        RequestOutcome::Aborted { .. } | RequestOutcome::CallerDisconnected => 0,
    };
    let age_ms = gateway
        .table_cache
        .age()
        .map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
    spdlog::info!("request.ended", kv: {
        request = metadata.id.as_str(),
        path = head.path(),
        outcome,
        status,
        reason,
        took_ms = arrived.elapsed().as_millis() as u64,
        first_ms = trace.first_ms,
        longest_pause_ms = trace.longest_pause_ms,
        predicted_first_ms = trace.predicted_first_ms as u64,
        predicted_pause_ms = trace.predicted_pause_ms as u64,
        events = trace.events,
        sends = trace.sends,
        via = trace.via.join(" then ").as_str(),
        failures = trace.failures.join("; ").as_str(),
        prompt_tokens = metadata.prompt_tokens,
        config_version = gateway.table_cache.table().map_or(0, |table| table.version()),
        config_age_ms = age_ms,
    });
}
