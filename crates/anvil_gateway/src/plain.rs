//! Serves requests whose answers are no streams: the answer of a target is read completely before it is
//! passed on.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    fmt::Display,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    id::RequestId,
    quarantine::{
        Admission,
        Progress,
        Refusal, //
    },
    retry::window::Need,
};
use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use tokio::{
    sync::Notify,
    time::{
        Instant,
        sleep,
        timeout_at, //
    }, //
};

use crate::{
    answer::{
        ErrorReason,
        ErrorResponse,
        RelayedBody,
        render_head, //
    },
    exchange::{
        RequestContext,
        RequestOutcome,
        RequestTrace,
        are_keys_stale, //
    },
    faults,
    gateway::Gateway,
    http1::{
        Body,
        BodyDecoder,
        BodySize,
        ConnectError,
        Connection,
        ResponseHead, //
    },
    intake::{
        AnswerMemory,
        NoMemory, //
    },
    link,
    liveness::{
        self,
        Failure,
        QUICK_ANSWER_TIMEOUT, //
    },
    pool::PooledConnection,
    port::{
        Forwarding,
        ResponseMetadata, //
    },
    target::{
        InFlightGuard,
        Target, //
    }, //
};

#[cfg(test)]
mod tests;

/// Longest time that opening a connection to a target may take: a few round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time that a connection through another host may take, with the search for a host.
pub const THROUGH_PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Largest body of an answer. A larger one fails the attempt.
const RESPONSE_LIMIT_BYTES: usize = 8 << 20;
/// Shortest `Retry-After` where no target could take the request.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Largest random addition to [`RETRY_AFTER_MIN`], so that callers don't retry at the same time.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(150);
/// Most bytes of a caller's next request that are buffered while this one is served. Reading ahead only
/// serves to notice that the caller leaves; callers that don't pipeline send nothing.
pub const READ_AHEAD_LIMIT_BYTES: usize = 4 << 10;
/// Cost of choosing a target in another data centre, in requests in flight.
const REMOTE_COST_REQUESTS: f64 = 0.5;
/// Shortest time that a repeatable request waits for a target before it is sent to another one as well,
/// unless half of the time left is shorter.
const ATTEMPT_TIMEOUT_MIN: Duration = Duration::from_millis(150);

/// Most silent targets of one request that are waited for before it is sent again.
const UNREAD_MAX: usize = 3;

/// Most answers to other requests that are skipped before the one that is awaited.
pub const CROSSED_ANSWERS_MAX: u32 = 8;

/// The result of sending a request to one target.
enum AttemptResult {
    /// The complete answer of the target.
    Response(ResponseHead, ResponseMetadata, HeldBody),
    /// The request was not sent, since it has been quarantined meanwhile.
    Quarantined,
    /// The request was not sent, since neither this host nor another one reaches a target.
    CutOff,
    /// The request was not sent, since its limits or the retry budget allow no other send now.
    Denied(&'static str),
    /// The request is known not to have run.
    NotRun(&'static str),
    /// The connection failed after the request may have run.
    Lost(&'static str),
    /// No answer arrived before the deadline of the request.
    TimedOut,
}

/// The body of an answer, with the memory that it takes.
struct HeldBody {
    body: Body,
    _memory: AnswerMemory,
}

/// Serves a request, and writes the answer of a target to the caller.
pub async fn serve(
    gateway: &Gateway,
    connection: &mut Connection,
    request: &RequestContext<'_>,
    trace: &mut RequestTrace,
) -> RequestOutcome {
    let attempts = Attempts {
        gateway,
        request,
        trace: RefCell::new(trace),
        sent: RefCell::default(),
        unread: Cell::new(0),
        silent: Notify::new(),
    };
    let result = tokio::select! {
        biased;
        result = attempts.try_targets() => Some(result),
        () = connection.closed_by_peer(READ_AHEAD_LIMIT_BYTES) => None,
    };
    attempts.close(matches!(result, Some(Ok(_))));
    match result {
        None => RequestOutcome::CallerDisconnected,
        Some(Err(error_response)) => RequestOutcome::Error(error_response),
        Some(Ok((head, body))) => {
            request.is_answer_begun.set(true);
            let out = render_head(
                &head,
                RelayedBody::Length(body.body.len()),
                request.announce_keep_alive(gateway),
            );
            let written = match request.head.method.as_str() {
                "HEAD" => connection.write_all(&out).await,
                _ => connection.write_both(out, &body.body).await,
            };
            match written {
                Ok(()) => RequestOutcome::Answered {
                    status: head.status,
                },
                Err(_) => RequestOutcome::CallerDisconnected,
            }
        }
    }
}

/// A request that is on its way to a target, or runs there.
struct Sent {
    target: Rc<Target>,
    admission: Admission,
    /// Whether the connection had carried requests before.
    is_reused: bool,
    has_begun: Rc<Cell<bool>>,
    sent_at: Instant,
}

/// The end of one attempt.
struct EndedAttempt {
    target: Rc<Target>,
    admission: Admission,
    result: AttemptResult,
}

/// The attempts of one request. Several run at once where a target is silent and the request may be
/// repeated.
struct Attempts<'a> {
    gateway: &'a Gateway,
    request: &'a RequestContext<'a>,
    trace: RefCell<&'a mut RequestTrace>,
    /// Invariant: the attempts that were sent and have not ended.
    sent: RefCell<Vec<Sent>>,
    /// Number of attempts whose target did not answer a health check at once, and which wait for that
    /// answer.
    unread: Cell<usize>,
    /// Notified when no answer to an attempt, or to its health check, began in the time after which
    /// another one may begin.
    silent: Notify,
}

impl<'a> Attempts<'a> {
    /// Sends the request to targets until one answers. Returns the first whole answer, or the error
    /// response for the caller.
    async fn try_targets(&self) -> Result<(ResponseHead, HeldBody), ErrorResponse> {
        let (gateway, request) = (self.gateway, self.request);
        let is_repeatable = request.route.semantics.is_repeatable();
        let mut tried: Vec<Rc<Target>> = Vec::new();
        let mut running = FuturesUnordered::new();
        let mut last_response: Option<(ResponseHead, HeldBody)> = None;
        let mut may_have_run = false;
        let mut refusal = None;
        let mut is_cut_off = false;
        // Until another attempt has ended.
        let mut is_denied = false;
        loop {
            let sent_count = self.sent.borrow().len();
            // At most one attempt is neither sent nor waits for a silent target.
            let may_begin = running.len() == sent_count + self.unread.get()
                && (is_repeatable || sent_count == 0);
            if may_begin && !is_cut_off && !is_denied {
                match self.admit_attempt(&tried) {
                    Ok(Some((target, admission))) => {
                        tried.push(Rc::clone(&target));
                        running.push(self.attempt(target, admission));
                    }
                    Ok(None) => {}
                    Err(refused) => refusal = Some(refused),
                }
            }
            let ended = tokio::select! {
                biased;
                ended = running.next() => ended,
                () = self.silent.notified() => continue,
            };
            let Some(EndedAttempt {
                target,
                admission,
                result,
            }) = ended
            else {
                break;
            };
            is_denied = matches!(result, AttemptResult::Denied(_));
            match result {
                AttemptResult::Response(head, metadata, body) => {
                    if metadata.is_sealed {
                        gateway.record_target_answer(request, &admission, &target, head.status);
                    }
                    let is_failure = head.status >= 500;
                    let is_success = (200..300).contains(&head.status);
                    if metadata.is_sealed && !(is_failure && is_repeatable) {
                        target.record_progress(Instant::now());
                        self.trace.borrow_mut().first_ms =
                            request.arrived.elapsed().as_millis() as u64;
                        return Ok((head, body));
                    }
                    may_have_run = true;
                    if metadata.is_sealed {
                        self.record_failure(&target, format_args!("status {}", head.status));
                        last_response = Some((head, body));
                    } else {
                        // An answer without a seal is not passed on, since no target vouches for it.
                        let failure = format_args!("unsealed status {}", head.status);
                        self.record_failure(&target, failure);
                        if is_success {
                            target.record_failure(Instant::now());
                        }
                    }
                }
                AttemptResult::Quarantined => gateway.release_trial(&admission),
                AttemptResult::CutOff => {
                    gateway.release_trial(&admission);
                    is_cut_off = true;
                }
                AttemptResult::Denied(reason) => {
                    gateway.release_trial(&admission);
                    self.trace.borrow_mut().record_failure(reason);
                    tried.retain(|other| !Rc::ptr_eq(other, &target));
                }
                AttemptResult::NotRun(failure) => {
                    gateway.release_trial(&admission);
                    self.record_failure(&target, format_args!("{failure}, not run"));
                }
                AttemptResult::Lost(failure) => {
                    self.record_failure(&target, format_args!("{failure}"));
                    may_have_run = true;
                }
                AttemptResult::TimedOut => {
                    gateway.record_abandoned(request, &admission, &target);
                    let failure = format_args!("no answer within the time for this attempt");
                    self.record_failure(&target, failure);
                    may_have_run = true;
                }
            }
            if may_have_run && !is_repeatable {
                break;
            }
        }
        if let Some(response) = last_response {
            return Ok(response);
        }
        let is_late = Instant::now() >= request.deadline;
        if may_have_run {
            return Err(ErrorResponse::unknown(match is_late {
                true => ErrorReason::Timeout,
                false => ErrorReason::AnswerLost,
            }));
        }
        if let Some(refusal) = refusal {
            let reason = ErrorReason::from(&refusal.suspect);
            return Err(ErrorResponse::not_run(reason, Some(refusal.retry_after)));
        }
        Err(ErrorResponse::not_run(
            ErrorReason::NoTarget,
            Some(retry_after(gateway, request)),
        ))
    }

    /// Chooses a target that is not among `tried` for another attempt. Returns `None` if there is none, or
    /// if the limits of the request allow no other send.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the request is quarantined.
    fn admit_attempt(
        &self,
        tried: &[Rc<Target>],
    ) -> Result<Option<(Rc<Target>, Admission)>, Refusal> {
        let (gateway, request) = (self.gateway, self.request);
        let sends = self.trace.borrow().sends;
        if sends >= request.route.attempts_max
            || self.unread.get() >= UNREAD_MAX
            || Instant::now() >= request.deadline
        {
            return Ok(None);
        }
        let admission = gateway.admit(request).inspect_err(|refused| {
            self.trace.borrow_mut().record_failure(refused.to_string());
        })?;
        let Some(target) = choose(gateway, request, tried) else {
            gateway.release_trial(&admission);
            return Ok(None);
        };
        Ok(Some((target, admission)))
    }

    /// Sends the request to one target and waits for the end of that.
    async fn attempt(&self, target: Rc<Target>, admission: Admission) -> EndedAttempt {
        let _in_flight = InFlightGuard::begin(&target, 0.0, true);
        let result = self.send(&target, &admission).await;
        if let AttemptResult::Lost(failure) = result {
            let (gateway, request) = (self.gateway, self.request);
            handle_lost_connection(gateway, request, &admission, &target, failure).await;
        }
        let mut sent = self.sent.borrow_mut();
        sent.retain(|other| !Rc::ptr_eq(&other.target, &target));
        drop(sent);
        EndedAttempt {
            target,
            admission,
            result,
        }
    }

    /// Sends the request to one target and reads its complete answer. If no answer has begun in the time
    /// for the attempt, another one may be sent beside it: the target may be at work.
    async fn send(&self, target: &Rc<Target>, admission: &Admission) -> AttemptResult {
        let (gateway, request) = (self.gateway, self.request);
        let now = Instant::now();
        let time_left = request.deadline.saturating_duration_since(now);
        let limits = link::Limits {
            direct: CONNECT_TIMEOUT.min(time_left),
            through_peer: THROUGH_PEER_TIMEOUT.min(time_left),
        };
        let must_check = self.trace.borrow().sends > 0 || !liveness::is_heard(target);
        let acquired = match must_check {
            true => self.acquire_read(target, limits).await,
            false => link::acquire(gateway, target, &request.metadata.id, limits)
                .await
                .map_err(Failure::NoConnection),
        };
        let mut acquired = match acquired {
            Ok(acquired) => acquired,
            Err(Failure::NoConnection(error @ ConnectError::CutOff { .. })) => {
                self.trace.borrow_mut().record_failure(error.to_string());
                return AttemptResult::CutOff;
            }
            Err(Failure::NoConnection(error)) => {
                target.record_failure(Instant::now());
                self.trace.borrow_mut().record_failure(error.to_string());
                return AttemptResult::NotRun("no connection");
            }
            Err(failure) => {
                self.trace.borrow_mut().record_failure(failure.to_string());
                return AttemptResult::NotRun("not sent");
            }
        };
        if !target.accepts(Instant::now()) {
            return AttemptResult::NotRun("target takes no requests");
        }
        if gateway.is_admission_void(admission, request) {
            return AttemptResult::Quarantined;
        }
        if request.team.is_some() && are_keys_stale(gateway) {
            return AttemptResult::NotRun("keys may be outdated");
        }
        if self.trace.borrow().sends > 0 {
            // Another attempt may have been sent since this one began.
            let may_send = self.trace.borrow().sends < request.route.attempts_max
                && (request.route.semantics.is_repeatable() || self.sent.borrow().is_empty());
            if !may_send {
                target.pool.release(acquired, None);
                return AttemptResult::Denied("another attempt was sent");
            }
            let need = match self.sent.borrow().is_empty() {
                true => Need::Replace,
                false => Need::Hedge,
            };
            if !gateway.try_retry(request, &self.trace.borrow(), Some(target), need) {
                target.pool.release(acquired, None);
                return AttemptResult::Denied("retry budget exhausted");
            }
        }
        let forwarding = Forwarding {
            budget: request.deadline.saturating_duration_since(Instant::now()),
            target: &target.id,
            team: request.team.as_ref(),
            path: &[],
            resume_after: None,
            urgency: request.urgency(),
        };
        let mut out = Vec::with_capacity(1024);
        gateway.platform.header_codec.write_forwarded(
            request.head,
            request.body.len(),
            &forwarding,
            &mut out,
        );
        target.charge_limit(Instant::now());
        let has_begun = Rc::new(Cell::new(false));
        let is_reused = acquired.is_reused;
        self.record_send(target, admission, is_reused, &has_begun);
        let received = {
            let mut receive = pin!(send_and_receive(
                gateway,
                request,
                target,
                &mut acquired,
                out,
                &has_begun
            ));
            let answered = gateway
                .run_clock
                .timeout(attempt_timeout(request), receive.as_mut());
            match answered.await {
                Ok(received) => Ok(received),
                Err(_) => {
                    if !has_begun.get() {
                        self.silent.notify_one();
                    }
                    timeout_at(request.deadline, receive).await
                }
            }
        };
        match received {
            Err(_) => {
                if is_reused {
                    target.pool.doubt(&target.id);
                }
                AttemptResult::TimedOut
            }
            Ok(Err(failure)) => {
                if !is_reused {
                    target.record_failure(Instant::now());
                }
                AttemptResult::Lost(failure)
            }
            Ok(Ok((head, metadata, body))) => {
                if metadata.did_not_run || head.status >= 500 {
                    acquired.record_unanswered(&request.metadata.id);
                }
                if head.keep_alive {
                    target.pool.release(acquired, metadata.idle_timeout);
                }
                if metadata.did_not_run {
                    self.trace.borrow_mut().refused_sends += 1;
                    gateway.record_inconclusive_trial(request, admission);
                    return AttemptResult::NotRun("refused");
                }
                AttemptResult::Response(head, metadata, body)
            }
        }
    }

    /// Takes a connection to a target once the target answers a health check at once. If the request was sent
    /// elsewhere meanwhile, or the answer is late and that target may have gone on as well, the check is
    /// repeated after the time for an attempt.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the target can't be reached or refuses the check, and at the deadline.
    async fn acquire_read(
        &self,
        target: &Target,
        limits: link::Limits,
    ) -> Result<PooledConnection, Failure> {
        let (gateway, request) = (self.gateway, self.request);
        loop {
            let asked_at = Instant::now();
            let mut check = pin!(liveness::check(gateway, request, target, limits));
            let quick = (gateway.run_clock)
                .timeout(QUICK_ANSWER_TIMEOUT, check.as_mut())
                .await;
            match quick {
                Ok(Ok(connection)) if asked_at.elapsed() <= QUICK_ANSWER_TIMEOUT => {
                    if self.is_send_due() {
                        return Ok(connection);
                    }
                    target.pool.release(connection, None);
                    sleep(attempt_timeout(request)).await;
                }
                // This host did not run meanwhile, so that the answer is old.
                Ok(Ok(connection)) => target.pool.release(connection, None),
                Ok(Err(failure)) => return Err(failure),
                Err(_) => {
                    target.record_slower(Instant::now());
                    liveness::log_check(request, target, asked_at, "silent");
                    self.unread.set(self.unread.get() + 1);
                    self.silent.notify_one();
                    let answered = timeout_at(request.deadline, check).await;
                    self.unread.set(self.unread.get() - 1);
                    let connection = answered.map_err(|_| Failure::Silent)??;
                    if self.sent.borrow().is_empty() {
                        return Ok(connection);
                    }
                    target.pool.release(connection, None);
                    sleep(attempt_timeout(request)).await;
                }
            }
        }
    }

    /// Returns whether each attempt that was sent has had the time for its answer to begin.
    fn is_send_due(&self) -> bool {
        let attempt_timeout = attempt_timeout(self.request);
        let sent = self.sent.borrow();
        sent.iter()
            .all(|sent| sent.sent_at.elapsed() >= attempt_timeout)
    }

    fn record_send(
        &self,
        target: &Rc<Target>,
        admission: &Admission,
        is_reused: bool,
        has_begun: &Rc<Cell<bool>>,
    ) {
        self.trace.borrow_mut().record_send(target.id.to_string());
        self.sent.borrow_mut().push(Sent {
            target: Rc::clone(target),
            admission: admission.clone(),
            is_reused,
            has_begun: Rc::clone(has_begun),
            sent_at: Instant::now(),
        });
    }

    fn record_failure(&self, target: &Target, failure: impl Display) {
        let failure = format!("{}: {failure}", target.id);
        self.trace.borrow_mut().record_failure(failure);
    }

    /// Ends the attempts that still run: the request was answered, or its caller is gone.
    fn close(self, is_answered: bool) {
        for sent in self.sent.into_inner() {
            if is_answered && !sent.has_begun.get() {
                sent.target.record_slower(Instant::now());
                if sent.is_reused {
                    sent.target.pool.doubt(&sent.target.id);
                }
            }
            self.gateway
                .record_abandoned(self.request, &sent.admission, &sent.target);
        }
    }
}

/// Returns a random `Retry-After` for requests that no target could take.
pub fn retry_after(gateway: &Gateway, request: &RequestContext<'_>) -> Duration {
    shortest_closed_time(gateway, request)
        + gateway.random_duration(RETRY_AFTER_MIN, RETRY_AFTER_MIN + RETRY_AFTER_JITTER)
}

/// Finds out whether a target still runs to which the connection was lost with a request on it, logs
/// that, and records an end of the target as evidence against the request.
async fn handle_lost_connection(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    admission: &Admission,
    target: &Target,
    failure: &'static str,
) {
    let state = faults::check_state(gateway, target).await;
    gateway.metrics.record_lost_request(state.as_str());
    spdlog::info!("request.connection_lost", kv: {
        request = request.metadata.id.as_str(),
        target = target.id.as_str(),
        failure,
        digest: = request.digest(),
        team = request.team.as_deref().unwrap_or_default(),
        path = request.head.path(),
        target_state = state.as_str(),
        belief:? = gateway.link.belief(request.service_id),
    });
    // Nothing tells whether a plain target had begun.
    gateway.record_lost_target(request, admission, target, Progress::Begun, state);
}

/// Returns the time after which the request may be sent to another target if no answer has begun: early
/// enough that the other one can answer before the deadline.
fn attempt_timeout(request: &RequestContext<'_>) -> Duration {
    let time_left = request.deadline.saturating_duration_since(Instant::now());
    let attempt_timeout = request.route.latency_objective.max(ATTEMPT_TIMEOUT_MIN);
    attempt_timeout.min(time_left / 2)
}

/// Returns the time until the first target of the service wants requests again and takes one of this
/// host within its limit. Returns zero if one does now or none is listed.
fn shortest_closed_time(gateway: &Gateway, request: &RequestContext<'_>) -> Duration {
    let now = Instant::now();
    let targets = gateway.targets.of_service(request.service_id);
    let demand = gateway.fleet_demand();
    targets
        .iter()
        .filter(|target| target.is_listed_ready())
        .map(|target| {
            let limit_time = target.limit_per_s(now).map(|limit_per_s| {
                let data_centre = &target.entry.borrow().data_centre;
                target.limit_time_left(demand.share_per_s(limit_per_s, data_centre))
            });
            target.closed_for(now).max(limit_time.unwrap_or_default())
        })
        .min()
        .unwrap_or_default()
}

/// Chooses the target with the fewest requests in flight from this host, and prefers this host's
/// data centre. Returns `None` if every listed target was tried.
pub fn choose(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    tried: &[Rc<Target>],
) -> Option<Rc<Target>> {
    let now = Instant::now();
    let candidates = gateway.targets.of_service(request.service_id);
    let peers_view = gateway.peers_view();
    let cost = |target: &Rc<Target>| {
        let is_remote = target.entry.borrow().data_centre != gateway.settings.data_centre;
        let avoided = f64::from(u8::from(target.is_avoided(now)));
        // Avoided targets come last but stay candidates, since all targets may be avoided.
        let slower = f64::from(u8::from(target.is_slower(now)));
        avoided * 1e6
            + slower * 1e3
            + target.sequences.get()
            + if is_remote { REMOTE_COST_REQUESTS } else { 0.0 }
            + gateway.random_unit() * REMOTE_COST_REQUESTS
    };
    let mut demand = None;
    candidates
        .into_iter()
        .filter(|target| target.accepts(now) && !peers_view.leaving.contains_key(&target.id_hash))
        .filter(|target| !tried.iter().any(|other| Rc::ptr_eq(other, target)))
        .filter(|target| gateway.is_within_limit(target, &mut demand, now))
        .map(|target| (cost(&target), target))
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, target)| target)
}

/// Failure of an attempt whose answer names no request, on a connection that carried others. It may be a
/// copy of an answer to one of these.
pub const UNNAMED_ANSWER: &str = "answer names no request";

/// Returns whether an answer belongs to a request. An unsealed answer, such as a refusal, need not
/// name the request.
pub fn is_response_to(metadata: &ResponseMetadata, id: &RequestId) -> bool {
    match &metadata.id {
        Some(response_id) => response_id == id,
        None => !metadata.is_sealed,
    }
}

/// Writes a request with the head `out` and reads the answer to it; skips answers to other requests. Sets `has_begun` when
/// the head of the answer has arrived.
///
/// # Errors
///
/// Returns a text for the log if the connection fails or an answer is too large.
async fn send_and_receive(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    target: &Target,
    acquired: &mut PooledConnection,
    out: Vec<u8>,
    has_begun: &Cell<bool>,
) -> Result<(ResponseHead, ResponseMetadata, HeldBody), &'static str> {
    let is_reused = acquired.is_reused;
    let connection = &mut acquired.connection;
    connection
        .write_both(out, &request.body)
        .await
        .map_err(|_| "connection failed while sending")?;
    for _ in 0..=CROSSED_ANSWERS_MAX {
        let head = connection
            .read_response()
            .await
            .map_err(|error| error.loss("connection ended before the answer"))?;
        let metadata = gateway.parse_answer(target, &head);
        has_begun.set(is_response_to(&metadata, &request.metadata.id));
        let mut decoder = match request.head.method.as_str() {
            "HEAD" => BodyDecoder::new(crate::http1::Framing::Length(0)),
            _ => BodyDecoder::new(head.framing),
        };
        let mut memory = request.place.begin_answer();
        let body = connection.read_body_while(&mut decoder, async |size: BodySize| {
            if size.arrived_bytes > RESPONSE_LIMIT_BYTES {
                return Err("answer is larger than the limit");
            }
            let grown = memory.grow(size.held_bytes).await;
            grown.map_err(|NoMemory| "no memory for the answer")
        });
        let body = HeldBody {
            body: body
                .await
                .map_err(|error| error.loss("connection ended within the answer"))??,
            _memory: memory,
        };
        if metadata.id.is_none() && is_reused {
            return Err(UNNAMED_ANSWER);
        }
        if is_response_to(&metadata, &request.metadata.id) {
            return Ok((head, metadata, body));
        }
        // This is a second answer to an earlier request. The expected answer follows it.
        spdlog::warn!("answer.crossed", kv: {
            request = request.metadata.id.as_str(),
            answers = metadata.id.as_deref().unwrap_or_default(),
        });
    }
    Err("too many answers to other requests")
}
