//! Serves a caller's connection: reads its requests one after another and answers each.

use std::{
    cell::{
        Cell,
        OnceCell, //
    },
    pin::{
        Pin,
        pin, //
    },
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    entry::{
        RequestSemantics,
        Route,
        Service,
        Table,
        choose_backend,
        rank, //
    },
    id::ServiceId,
    id::TeamId,
    quarantine::Suspect,
    request_digest::RequestDigest,
    urgency::{
        self,
        Rank, //
    },
};
use tokio::{
    net::TcpStream,
    time::{
        Instant,
        sleep,
        timeout, //
    },
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
        Body,
        BodyDecoder,
        BodySize,
        Connection,
        HeadError,
        ReadError,
        RequestHead, //
    },
    intake::{
        Charge,
        Place,
        Shortage,
        ledger::Stage, //
    },
    plain,
    port::{
        RequestMetadata,
        ResumePoint, //
    },
    stream, //
};

#[cfg(test)]
mod tests;

/// Time before a request's deadline by which the gateway answers it, so that the answer is sent in
/// time even if this host is slow.
const DEADLINE_MARGIN: Duration = Duration::from_millis(40);
/// Longest wait for the caller to close a connection that this host has closed for writing.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Share of the revocation bound (`bounds.revoke_ms`) that the table may age without confirmation
/// from the store before its keys count as stale.
const STALE_AGE_RATIO: f64 = 0.9;
/// Time from the start of the process within which requests wait for the first table. It covers the
/// reads from the store, and the decoding of a large table on a small host.
const START_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two checks whether the first table has come.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// `Retry-After` of a host that stops or has no current configuration: the retry is expected to
/// reach another host.
const OTHER_HOST_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest time for a request to begin on a connection that was opened when this host had begun to
/// close: some round trips, and the time in which a busy caller writes.
const LATE_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which [`BODY_PROGRESS_BYTES`] of a request's body, or its end, must arrive.
const BODY_PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);
/// A sender on the slowest link in use sends this within some milliseconds.
const BODY_PROGRESS_BYTES: usize = 4 << 10;
/// Memory that a request takes while it is served, beside its head and body as they arrived: the state of
/// its task, the list of its headers, and what is rendered for a target.
pub(crate) const REQUEST_STATE_BYTES: usize = 24 << 10;
/// Answer to a connection that is refused. Nothing was read from it.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\
    Retry-After: 0.05\r\nConnection: close\r\n\r\n";

/// A request that was read whole, with its route, service and deadline.
pub struct RequestContext<'a> {
    /// The request line and headers, as received.
    pub head: &'a RequestHead,
    /// The values that the gateway reads from the head.
    pub metadata: &'a RequestMetadata,
    /// The complete body.
    pub body: Body,
    /// The memory that the body takes; `None` if it is empty.
    pub body_charge: Option<Charge>,
    /// The place of the caller's connection.
    pub place: &'a Place,
    /// The route that matches host and path.
    pub route: &'a Route,
    /// The routing table that holds the route and the service.
    pub table: &'a Table,
    /// The service chosen among the backends of the route.
    pub service_id: &'a ServiceId,
    /// The entry of that service in the table.
    pub service: &'a Service,
    /// The caller's team; `None` where the route needs no key.
    pub team: Option<TeamId>,
    /// The rank, by the priorities of team and route; `None` where the service's requests don't compete.
    pub rank: Option<Rank>,
    /// When the head had been read.
    pub arrived: Instant,
    /// When the gateway stops working on the request and answers it.
    pub deadline: Instant,
    /// Whether the connection may stay open after the answer. Decided anew by
    /// [`Self::announce_keep_alive`].
    pub keep_alive: Cell<bool>,
    /// Whether any byte of an answer was written to the caller.
    pub is_answer_begun: Cell<bool>,
    /// Digest of the request; empty until it is needed.
    pub digest: OnceCell<RequestDigest>,
    /// What the request has in common with others; empty until it is needed.
    pub suspects: OnceCell<Vec<Suspect>>,
}

impl RequestContext<'_> {
    /// Returns the digest by which equal requests are recognised. It is computed once, and only for
    /// requests that failed or meet a quarantine.
    pub fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let host = self.head.headers.text("host").unwrap_or_default();
            let team = self.team.as_ref();
            let body = self.body.segments();
            RequestDigest::of_segments(&self.head.method, host, &self.head.target, team, body)
        })
    }

    /// Returns the urgency that targets are told; `None` where the service's requests don't compete.
    pub fn urgency(&self) -> Option<u8> {
        urgency::urgency(self.table.competing_ranks(self.service_id), self.rank?)
    }

    /// Returns whether the head of the answer, which is written now, announces that the connection stays
    /// open. A host that began to stop since the request arrived, or has many connections, announces that it
    /// closes it.
    pub fn announce_keep_alive(&self, gateway: &Gateway) -> bool {
        let keep_alive = self.keep_alive.get() && may_keep_connections(gateway);
        self.keep_alive.set(keep_alive);
        keep_alive
    }

    /// Returns what the request has in common with others under which targets may end: the shared parts
    /// of its prompt, and the request itself.
    pub fn suspects(&self) -> &[Suspect] {
        self.suspects.get_or_init(|| {
            let parts = self.metadata.shared_parts.iter().cloned();
            let parts = parts.map(Suspect::Part);
            parts.chain([Suspect::Request(self.digest())]).collect()
        })
    }
}

/// How a request ended.
#[derive(Debug)]
pub enum RequestOutcome {
    /// The complete answer was written to the caller.
    Answered {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The request was refused or failed before any byte of an answer was written.
    Error(ErrorResponse),
    /// The answer failed after part of it was written, so that the connection must be closed.
    Aborted {
        /// The cause, for the log and the label `reason` of the metrics.
        reason: &'static str,
    },
    /// The caller closed the connection before the answer was complete.
    CallerDisconnected,
}

impl RequestOutcome {
    /// Returns outcome and reason as they stand in logs and metrics.
    pub fn labels(&self) -> (&'static str, &'static str) {
        match self {
            Self::Answered { .. } => ("answered", ""),
            Self::Error(error_response) => (
                error_response.execution.as_str(),
                error_response.reason.as_str(),
            ),
            Self::Aborted { reason } => ("broken_off", reason),
            Self::CallerDisconnected => ("caller_gone", ""),
        }
    }
}

/// Measurements and failures of a request, for its log line `request.ended`.
#[derive(Debug, Default)]
pub struct RequestTrace {
    /// Number of times that the request was sent to a target.
    pub sends: u32,
    /// When it was first sent to a target; `None` before that.
    pub first_send_at: Option<Instant>,
    /// Number of sends that a target refused without running the request. Invariant: at most `sends`.
    pub refused_sends: u32,
    /// Whether the answer announced that the connection is closed after it.
    pub closes_connection: bool,
    /// The target or path of each send, in order.
    pub via: Vec<String>,
    /// Descriptions of failures, oldest first; limited by `record_failure`.
    pub failures: Vec<String>,
    /// Number of events sent to the caller.
    pub events: u32,
    /// Time from arrival to the first event or the answer.
    pub first_ms: u64,
    /// Longest pause between two events, as sent to the caller.
    pub longest_pause_ms: u64,
    /// Predicted time to the first event, for the first path chosen.
    pub predicted_first_ms: f64,
    /// Predicted pause between events, for the first path chosen.
    pub predicted_pause_ms: f64,
    /// Time for which this host did not run while the request was open.
    pub host_late_ms: u64,
    /// The request's rank; `None` where the service's requests don't compete.
    pub rank: Option<Rank>,
    /// Time for which the request waited for capacity before its first send.
    pub waited: Duration,
    /// Whether the request counts as one that found no capacity.
    pub found_no_capacity: bool,
}

impl RequestTrace {
    /// Counts a send to a target or along a path.
    pub fn record_send(&mut self, via: String) {
        self.sends += 1;
        self.first_send_at.get_or_insert_with(Instant::now);
        self.via.push(via);
    }

    /// Returns whether a target may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.sends > self.refused_sends
    }

    /// Records a failure, up to a fixed number per request; later ones are dropped.
    pub fn record_failure(&mut self, failure: impl Into<String>) {
        const FAILURES_MAX: usize = 6;
        if self.failures.len() < FAILURES_MAX {
            self.failures.push(failure.into());
        }
    }
}

/// Serves a caller's connection until either side closes it, or refuses it where no place is left.
pub async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    match gateway.intake.open() {
        Some(place) => serve_admitted(gateway, stream, place).await,
        None => refuse(&stream),
    }
}

/// Refuses a connection without a place. Nothing is read from it, so that no request on it has run.
pub fn refuse(stream: &TcpStream) {
    // A caller whose bytes have arrived may see a reset instead.
    let _written = stream.try_write(REFUSAL);
}

/// Serves the connection of a caller that has a place, until either side closes it.
pub async fn serve_admitted(gateway: Rc<Gateway>, stream: TcpStream, place: Rc<Place>) {
    let _count_guard = CountGuard::begin(&gateway.open_connections);
    let mut connection = Connection::of_caller(stream, Rc::clone(&place));
    let mut is_kept = false;
    loop {
        let head = tokio::select! {
            biased;
            head = read_head(&gateway, &mut connection, is_kept) => head,
            () = place.ended() => Err(ReadError::Shortage(Shortage::Ended)),
        };
        let head = match head {
            Ok(Some(head)) => head,
            Ok(None) => return Box::pin(connection.close(CLOSE_TIMEOUT)).await,
            Err(ReadError::Head(error)) => {
                return Box::pin(reject_head(&gateway, connection, error)).await;
            }
            Err(ReadError::Shortage(shortage)) => {
                return Box::pin(reject_short(&gateway, connection, shortage)).await;
            }
            Err(ReadError::Io(_) | ReadError::Closed | ReadError::Body(_)) => return,
        };
        is_kept = true;
        let request_charge = match place.reserve(REQUEST_STATE_BYTES).await {
            Ok(charge) => charge,
            Err(_) => {
                // The head was read, so that there is a request to refuse.
                return Box::pin(reject_short(&gateway, connection, Shortage::Refused)).await;
            }
        };
        let count_guard = CountGuard::begin(&gateway.open_requests);
        let action = box_request(&gateway, &mut connection, &place, &head).await;
        drop((count_guard, head, request_charge));
        connection.end_request();
        match action {
            ConnectionAction::ReadNext => {}
            ConnectionAction::Close => return Box::pin(connection.close(CLOSE_TIMEOUT)).await,
            ConnectionAction::Drop => return,
        }
    }
}

/// Reads the head of the next request; returns `None` if the connection is to be closed. Once this host
/// is closing, a kept connection on which no request has begun is closed, and a new one has
/// [`LATE_REQUEST_TIMEOUT`] to send a request, so that its caller is refused with an answer.
async fn read_head(
    gateway: &Gateway,
    connection: &mut Connection,
    is_kept: bool,
) -> Result<Option<RequestHead>, ReadError> {
    let limits = gateway
        .table_cache
        .table()
        .map(|table| table.limits())
        .unwrap_or_default();
    tokio::select! {
        biased;
        head = connection.read_request(
            &gateway.run_clock,
            limits.header_limit_bytes,
            limits.idle_timeout,
            limits.header_timeout,
        ) => return head,
        () = gateway.reached(Phase::Closing) => {}
    }
    if is_kept && !connection.has_buffered_bytes() {
        return Ok(None);
    }
    let idle_timeout = LATE_REQUEST_TIMEOUT.min(limits.idle_timeout);
    connection
        .read_request(
            &gateway.run_clock,
            limits.header_limit_bytes,
            idle_timeout,
            limits.header_timeout,
        )
        .await
}

/// What to do with a connection after a request.
enum ConnectionAction {
    /// Keep it open and read the next request.
    ReadNext,
    /// Close it after the caller has received the answer.
    Close,
    /// Drop it at once: the caller is gone, or must see that the answer is incomplete.
    Drop,
}

async fn reject_head(gateway: &Gateway, connection: Connection, error: HeadError) {
    let reason = match error {
        HeadError::TooLarge => ErrorReason::HeadTooLarge,
        HeadError::Malformed | HeadError::AmbiguousLength | HeadError::UnknownEncoding => {
            ErrorReason::BadRequest
        }
    };
    spdlog::info!("request.malformed", kv: { error: });
    reject(gateway, connection, ErrorResponse::not_run(reason, None)).await;
}

/// Ends a connection for lack of memory or connections. A request that has begun on it is refused.
async fn reject_short(gateway: &Gateway, connection: Connection, shortage: Shortage) {
    if shortage == Shortage::Ended && !connection.has_buffered_bytes() {
        return;
    }
    let retry_after = Some(OTHER_HOST_RETRY_AFTER);
    let error_response = ErrorResponse::not_run(ErrorReason::Overloaded, retry_after);
    reject(gateway, connection, error_response).await;
}

/// Refuses a request of which no head was read, and closes its connection.
async fn reject(gateway: &Gateway, mut connection: Connection, error_response: ErrorResponse) {
    connection.drop_received();
    let id_header = gateway.platform.header_codec.request_id_header();
    let answer = error_response.render(id_header, &"".into(), false);
    let written = timeout(CLOSE_TIMEOUT, connection.write_all(&answer)).await;
    if matches!(written, Ok(Ok(()))) {
        connection.close(CLOSE_TIMEOUT).await;
    }
}

/// Serves a request in memory of its own, so that the task of an idle connection stays small.
fn box_request<'a>(
    gateway: &'a Gateway,
    connection: &'a mut Connection,
    place: &'a Place,
    head: &'a RequestHead,
) -> Pin<Box<impl Future<Output = ConnectionAction> + 'a>> {
    let serving = serve_request(gateway, connection, place, head);
    debug_assert!(size_of_val(&serving) <= REQUEST_STATE_BYTES);
    Box::pin(serving)
}

async fn serve_request(
    gateway: &Gateway,
    connection: &mut Connection,
    place: &Place,
    head: &RequestHead,
) -> ConnectionAction {
    let arrived = Instant::now();
    let keep_alive = head.keep_alive && may_keep_connections(gateway);
    let lost_before = gateway.run_clock.lost_time();
    let mut trace = RequestTrace::default();
    let (metadata, request_outcome, is_body_read) = process_request(
        gateway, connection, place, head, arrived, keep_alive, &mut trace,
    )
    .await;
    trace.host_late_ms = (gateway.run_clock.lost_time() - lost_before).as_millis() as u64;
    log_outcome(gateway, head, &metadata, arrived, &request_outcome, &trace);
    match request_outcome {
        RequestOutcome::Answered { .. } if trace.closes_connection => ConnectionAction::Close,
        RequestOutcome::Answered { .. } => ConnectionAction::ReadNext,
        RequestOutcome::Aborted { .. } | RequestOutcome::CallerDisconnected => {
            ConnectionAction::Drop
        }
        RequestOutcome::Error(error_response) => {
            // A host without current configuration closes the connection, so that the caller can
            // reach another host.
            let lacks_current_config = matches!(
                error_response.reason,
                ErrorReason::Stale | ErrorReason::Unconfigured
            );
            let keep_alive = keep_alive
                && is_body_read
                && !lacks_current_config
                && may_keep_connections(gateway);
            let id_header = gateway.platform.header_codec.request_id_header();
            let answer = error_response.render(id_header, &metadata.id, keep_alive);
            if !is_body_read {
                // What was read of the body, or behind it, is not used.
                connection.drop_received();
                let written = timeout(CLOSE_TIMEOUT, connection.write_all(&answer)).await;
                return match written {
                    Ok(Ok(())) => ConnectionAction::Close,
                    Ok(Err(_)) | Err(_) => ConnectionAction::Drop,
                };
            }
            match connection.write_all(&answer).await {
                Err(_) => ConnectionAction::Drop,
                Ok(()) if keep_alive => ConnectionAction::ReadNext,
                Ok(()) => ConnectionAction::Close,
            }
        }
    }
}

/// Returns whether a connection may stay open after an answer that is written now.
fn may_keep_connections(gateway: &Gateway) -> bool {
    gateway.phase() == Phase::Serving && !gateway.intake.is_crowded()
}

/// Returns the table in force. A host that has just started waits for its first table and target list
/// until [`START_TIMEOUT`].
///
/// Load that it answers: after a restart of all hosts, callers find no host that is ready, and one
/// that was refused would be refused again elsewhere.
async fn wait_for_first_table(gateway: &Gateway) -> Option<Rc<Table>> {
    loop {
        let table = gateway.table_cache.table();
        let is_complete = table.is_some() && gateway.targets.age().is_some();
        if is_complete || gateway.uptime() >= START_TIMEOUT {
            return table;
        }
        sleep(START_POLL_INTERVAL).await;
    }
}

/// Checks a request and serves it. Returns the metadata of its head, its outcome, and whether its
/// body was read.
async fn process_request(
    gateway: &Gateway,
    connection: &mut Connection,
    place: &Place,
    head: &RequestHead,
    arrived: Instant,
    keep_alive: bool,
    trace: &mut RequestTrace,
) -> (RequestMetadata, RequestOutcome, bool) {
    let rejected = |reason| RequestOutcome::Error(ErrorResponse::not_run(reason, None));
    let metadata = match gateway.platform.header_codec.parse_request(head) {
        Ok(metadata) => metadata,
        Err(error) => {
            trace.record_failure(error.as_str());
            return (
                RequestMetadata::default(),
                rejected(ErrorReason::BadRequest),
                false,
            );
        }
    };
    let limits = gateway
        .table_cache
        .table()
        .map(|table| table.limits())
        .unwrap_or_default();
    let stopping = || {
        let retry_after = Some(OTHER_HOST_RETRY_AFTER);
        RequestOutcome::Error(ErrorResponse::not_run(ErrorReason::Stopping, retry_after))
    };
    let body = tokio::select! {
        biased;
        body = read_body(gateway, connection, place, head, limits.body_limit_bytes) => body,
        () = gateway.reached(Phase::Ending) => return (metadata, stopping(), false),
        () = place.ended() => Ok(Err(ErrorReason::Overloaded)),
        () = budget_spent(metadata.budget) => Ok(Err(ErrorReason::Timeout)),
    };
    let (body, body_charge) = match body {
        Ok(Ok(body)) => {
            place.set_stage(Stage::Complete);
            body
        }
        Ok(Err(reason @ ErrorReason::Overloaded)) => {
            let retry_after = Some(OTHER_HOST_RETRY_AFTER);
            let error_response = ErrorResponse::not_run(reason, retry_after);
            return (metadata, RequestOutcome::Error(error_response), false);
        }
        Ok(Err(reason)) => return (metadata, rejected(reason), false),
        Err(ReadError::Body(_)) => return (metadata, rejected(ErrorReason::BadRequest), false),
        Err(ReadError::Shortage(_)) => {
            let retry_after = Some(OTHER_HOST_RETRY_AFTER);
            let error_response = ErrorResponse::not_run(ErrorReason::Overloaded, retry_after);
            return (metadata, RequestOutcome::Error(error_response), false);
        }
        Err(ReadError::Io(_) | ReadError::Closed | ReadError::Head(_)) => {
            return (metadata, RequestOutcome::CallerDisconnected, false);
        }
    };
    if gateway.phase() >= Phase::Closing {
        // Too little time is left to serve it before this host stops; another host can.
        return (metadata, stopping(), true);
    }
    // The table is fetched after the body was read, so that the newest one decides.
    let Some(table) = wait_for_first_table(gateway).await else {
        let error_response =
            ErrorResponse::not_run(ErrorReason::Unconfigured, Some(OTHER_HOST_RETRY_AFTER));
        return (metadata, RequestOutcome::Error(error_response), true);
    };
    // A newer table may allow what this one refuses, so another host must decide.
    let rejected_by_table = |reason| match gateway.is_behind_peer() {
        true => RequestOutcome::Error(ErrorResponse::not_run(
            ErrorReason::Stale,
            Some(OTHER_HOST_RETRY_AFTER),
        )),
        false => rejected(reason),
    };
    let host = head.headers.text("host").unwrap_or_default();
    let Some(route) = table.route(host, head.path()) else {
        return (metadata, rejected_by_table(ErrorReason::NoRoute), true);
    };
    if route.semantics == RequestSemantics::ResumableStream
        && metadata.resume_point == ResumePoint::Unreadable
    {
        // From the first event on, the caller would get some events twice.
        trace.record_failure("the last event is no event id");
        return (metadata, rejected(ErrorReason::BadRequest), true);
    }
    let mut team_priority = None;
    let team = if table.needs_key(route) {
        if are_keys_stale(gateway) {
            let error_response =
                ErrorResponse::not_run(ErrorReason::Stale, Some(OTHER_HOST_RETRY_AFTER));
            return (metadata, RequestOutcome::Error(error_response), true);
        }
        match metadata.key.as_deref().and_then(|key| table.team(key)) {
            Some(team) => {
                team_priority = team.priority;
                Some(team.name.clone())
            }
            None => return (metadata, rejected_by_table(ErrorReason::UnknownKey), true),
        }
    } else {
        None
    };
    let backend = choose_backend(route, gateway.random_unit());
    let Some((service_id, service)) = backend.and_then(|id| Some((id, table.service(id)?))) else {
        return (metadata, rejected(ErrorReason::NoTarget), true);
    };
    gateway.record_request(service_id);
    let competes = !table.competing_ranks(service_id).is_empty();
    let rank = competes.then(|| rank(team_priority, route.priority));
    trace.rank = rank;
    let time_limit = metadata
        .budget
        .map_or(route.timeout, |budget| budget.min(route.timeout));
    let request = RequestContext {
        head,
        metadata: &metadata,
        body,
        body_charge,
        place,
        route,
        table: &table,
        service_id,
        service,
        team,
        rank,
        arrived,
        deadline: arrived + time_limit.saturating_sub(DEADLINE_MARGIN),
        keep_alive: Cell::new(keep_alive),
        is_answer_begun: Cell::new(false),
        digest: OnceCell::new(),
        suspects: OnceCell::new(),
    };
    let serve = async {
        match route.semantics {
            RequestSemantics::Stream | RequestSemantics::ResumableStream => {
                stream::serve(gateway, connection, &request, trace).await
            }
            RequestSemantics::Safe | RequestSemantics::AtMostOnce => {
                plain::serve(gateway, connection, &request, trace).await
            }
        }
    };
    let served = tokio::select! {
        biased;
        request_outcome = serve => Some(request_outcome),
        () = end_unanswered(gateway, &request) => None,
    };
    trace.closes_connection = !request.keep_alive.get();
    let request_outcome = served.unwrap_or_else(|| {
        trace.record_failure("the host stopped before the answer");
        match trace.may_have_run() {
            true => RequestOutcome::Error(ErrorResponse::unknown(ErrorReason::Stopping)),
            false => stopping(),
        }
    });
    (metadata, request_outcome, true)
}

/// Waits until the grace period of a planned stop is nearly over, and forever if the answer to a request
/// has begun by then: such a request keeps the rest of the time.
async fn end_unanswered(gateway: &Gateway, request: &RequestContext<'_>) {
    gateway.reached(Phase::Ending).await;
    if request.is_answer_begun.get() {
        std::future::pending().await
    }
}

/// Returns whether the table is so old that one of its keys may have been revoked for longer than
/// the revocation bound allows, or a newer one is known that this host can't get.
pub fn are_keys_stale(gateway: &Gateway) -> bool {
    if gateway.is_table_superseded() {
        return true;
    }
    let bound = gateway.settings.bounds.revoke.mul_f64(STALE_AGE_RATIO);
    gateway.table_cache.age().is_none_or(|age| age > bound)
}

/// Waits until the time that a caller gives for a request is over, and forever if it states none.
async fn budget_spent(budget: Option<Duration>) {
    match budget {
        Some(budget) => sleep(budget).await,
        None => std::future::pending().await,
    }
}

/// Reads a request's body, with the memory that it takes. Returns the reason to refuse the request if the
/// body is larger than `limit_bytes` or than the memory that is left, or if it stops arriving.
async fn read_body(
    gateway: &Gateway,
    connection: &mut Connection,
    place: &Place,
    head: &RequestHead,
    limit_bytes: usize,
) -> Result<Result<(Body, Option<Charge>), ErrorReason>, ReadError> {
    let mut decoder = BodyDecoder::new(head.framing);
    if decoder
        .length_left()
        .is_some_and(|length| length > limit_bytes as u64)
    {
        return Ok(Err(ErrorReason::BodyTooLarge));
    }
    if head.headers.contains_token("expect", "100-continue") {
        connection
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .map_err(ReadError::Io)?;
    }
    let arrived_bytes = Cell::new(0);
    let mut charge: Option<Charge> = None;
    let body = {
        let read = connection.read_body_while(&mut decoder, async |size: BodySize| {
            arrived_bytes.set(size.arrived_bytes);
            if size.arrived_bytes > limit_bytes {
                return Err(ErrorReason::BodyTooLarge);
            }
            let charged_bytes = charge.as_ref().map_or(0, Charge::bytes);
            if size.held_bytes > charged_bytes {
                let more = place.reserve(size.held_bytes - charged_bytes).await;
                let more = more.map_err(|_| ErrorReason::Overloaded)?;
                match &mut charge {
                    Some(charge) => charge.absorb(more),
                    None => charge = Some(more),
                }
            }
            Ok(())
        });
        let mut read = pin!(read);
        loop {
            let before_bytes = arrived_bytes.get();
            let step = gateway
                .run_clock
                .timeout(BODY_PROGRESS_TIMEOUT, read.as_mut());
            match step.await {
                Ok(body) => break body?,
                Err(_) if arrived_bytes.get() >= before_bytes + BODY_PROGRESS_BYTES => {}
                Err(_) => return Ok(Err(ErrorReason::BodyTooSlow)),
            }
        }
    };
    Ok(body.map(|body| (body, charge)))
}

fn log_outcome(
    gateway: &Gateway,
    head: &RequestHead,
    metadata: &RequestMetadata,
    arrived: Instant,
    request_outcome: &RequestOutcome,
    trace: &RequestTrace,
) {
    gateway
        .metrics
        .record_outcome(request_outcome, trace, arrived.elapsed().as_secs_f64());
    let (outcome, reason) = request_outcome.labels();
    let status = match request_outcome {
        RequestOutcome::Answered { status } => *status,
        RequestOutcome::Error(error_response) => error_response.status(),
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
        host_late_ms = trace.host_late_ms,
        rank = trace.rank.map_or(-1, i64::from),
        waited_ms = trace.waited.as_millis() as u64,
        via = trace.via.join(" then ").as_str(),
        failures = trace.failures.join("; ").as_str(),
        prompt_tokens = metadata.prompt_tokens,
        config_version = gateway.table_cache.version(),
        config_age_ms = age_ms,
    });
}
