//! Serves streams: sends a request once along a path of engines, or to one target of a service without
//! engines, relays the events, and resumes the stream elsewhere if that fails.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    engine_model::EngineProfile,
    entry::RequestSemantics,
    id::LayerRange,
    quarantine::{
        Admission,
        Progress,
        Refusal, //
    },
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use progress::SendProgress;
use repair::{
    StallAction,
    StallTimer, //
};

use crate::{
    answer::{
        ErrorReason,
        ErrorResponse,
        RelayedBody,
        render_head, //
    },
    events::EventDecoder,
    exchange::{
        RequestContext,
        RequestOutcome,
        RequestTrace,
        are_keys_stale, //
    },
    faults,
    gateway::Gateway,
    http1::{
        BodyDecoder,
        ConnectError,
        Connection,
        Framing,
        ResponseHead, //
    },
    link,
    paths::{
        self,
        ChosenPath,
        PriorAttempts, //
    },
    plain::{
        self,
        CROSSED_ANSWERS_MAX,
        READ_AHEAD_LIMIT_BYTES,
        THROUGH_PEER_TIMEOUT,
        UNNAMED_ANSWER,
        is_response_to, //
    },
    pool::PooledConnection,
    port::{
        EventId,
        Forwarding,
        Stage, //
    },
    target::{
        InFlightGuard,
        Target, //
    },
};

mod progress;
mod repair;

#[cfg(test)]
mod tests;

/// Longest time that opening a connection to an engine may take: a few round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between two attempts to choose a path while a stream waits to be resumed.
const PATH_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Longest time without a path before a stream that waits to be resumed is given up.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1500);
/// Status with which an engine answers a request that failed there.
const INTERNAL_ERROR_STATUS: u16 = 500;
/// Status of an answer whose events are relayed.
const OK_STATUS: u16 = 200;
/// Refusals without execution after which a request is given up.
const REFUSALS_MAX: u32 = 4;

/// The result of sending a request along one path.
enum AttemptResult {
    /// The engine's stream ended normally.
    Complete,
    /// The request did not run on this path. Holds the reason, and the address of the engine at
    /// fault where it is known.
    NotRun(&'static str, Option<SocketAddr>),
    /// The request was not sent, since neither this host nor another one reaches a target.
    CutOff,
    /// The request was not sent, since it or a part of its prompt has been quarantined meanwhile.
    Quarantined,
    /// The request was not sent, since the caller's key may have been revoked meanwhile.
    KeysStale,
    /// The attempt failed after the request may have run.
    Lost(&'static str),
    /// No event arrived for too long.
    Stalled,
    /// The engine answered with an error status, which is passed on to the caller.
    ErrorStatus(ResponseHead, Vec<u8>),
    /// The caller closed the connection.
    CallerDisconnected,
    /// The deadline of the request passed.
    DeadlineExceeded,
}

/// The state of relaying one stream, over all its attempts.
struct Relay<'a> {
    gateway: &'a Gateway,
    request: &'a RequestContext<'a>,
    /// The profile of the service's engines; `None` if its targets are no engines.
    engine: Option<&'a EngineProfile>,
    /// Whether the head of the answer was sent to the caller.
    is_head_sent: bool,
    /// Id of the last event sent to the caller. Before the first: the id after which the caller
    /// asked to resume, or `None`.
    last_event_id: Option<EventId>,
    /// Whether bytes were passed on that belong to no event, so that the stream can't be resumed.
    has_unnumbered_bytes: bool,
    /// Whether a retry was taken from the budget for the next send.
    has_reserved_retry: bool,
    /// When the last event was sent to the caller.
    last_sent_at: Instant,
    /// First engines that this request was sent to, each once.
    first_engines: Vec<Rc<Target>>,
    /// Engines blamed for a failure of this request.
    failed: Vec<Rc<Target>>,
    /// What was known about the request and the parts of its prompt before the current send.
    admission: Admission,
    /// How far the engine of the current send has come.
    progress: SendProgress,
}

/// Serves a request for a stream until the stream ends or is given up.
pub async fn serve(
    gateway: &Gateway,
    caller: &mut Connection,
    request: &RequestContext<'_>,
    trace: &mut RequestTrace,
) -> RequestOutcome {
    let mut relay = Relay {
        gateway,
        request,
        engine: request.service.engine.as_ref(),
        is_head_sent: false,
        has_unnumbered_bytes: false,
        has_reserved_retry: false,
        last_event_id: match request.route.semantics {
            RequestSemantics::ResumableStream => request.metadata.resume_point.event_id(),
            RequestSemantics::Safe | RequestSemantics::AtMostOnce | RequestSemantics::Stream => {
                None
            }
        },
        last_sent_at: Instant::now(),
        first_engines: Vec::new(),
        failed: Vec::new(),
        admission: Admission::default(),
        progress: SendProgress::default(),
    };
    relay.run(caller, trace).await
}

impl Relay<'_> {
    async fn run(&mut self, caller: &mut Connection, trace: &mut RequestTrace) -> RequestOutcome {
        let is_resumable = self.request.route.semantics == RequestSemantics::ResumableStream;
        let mut refusals = 0;
        let mut may_have_run = false;
        let mut no_path_since: Option<Instant> = None;
        loop {
            if Instant::now() >= self.request.deadline {
                return self.give_up(ErrorReason::Timeout, may_have_run, "timeout");
            }
            self.admission = match self.gateway.admit(self.request) {
                Ok(admission) => admission,
                Err(refusal) => {
                    trace.record_failure(refusal.to_string());
                    return self.refuse_quarantined(may_have_run, &refusal);
                }
            };
            let chosen = match self.choose() {
                Ok(chosen) => chosen,
                Err(error) => {
                    self.gateway.release_trial(&self.admission);
                    trace.record_failure(error);
                    if self.engine.is_none() {
                        return self.give_up(ErrorReason::NoTarget, may_have_run, "no target");
                    }
                    let since = *no_path_since.get_or_insert_with(Instant::now);
                    if !may_have_run || since.elapsed() > RESUME_TIMEOUT {
                        return self.give_up(ErrorReason::Overloaded, may_have_run, "no path");
                    }
                    tokio::select! {
                        biased;
                        () = caller.closed_by_peer(READ_AHEAD_LIMIT_BYTES) => return RequestOutcome::CallerDisconnected,
                        () = tokio::time::sleep(PATH_RETRY_DELAY) => {}
                    }
                    continue;
                }
            };
            no_path_since = None;
            if trace.sends == 0 {
                trace.predicted_first_ms = chosen.path.first_event_ms;
                trace.predicted_pause_ms = chosen.path.pause_ms;
            }
            let mut chosen = chosen;
            let result = self.send(caller, &mut chosen, trace).await;
            let failure = match result {
                AttemptResult::Complete => return self.finish(caller).await,
                AttemptResult::CallerDisconnected => {
                    if self.progress.early().is_some() {
                        let (request, admission) = (self.request, &self.admission);
                        self.gateway
                            .record_abandoned(request, admission, chosen.first());
                    }
                    return RequestOutcome::CallerDisconnected;
                }
                AttemptResult::DeadlineExceeded => {
                    return self.give_up(ErrorReason::Timeout, true, "timeout");
                }
                AttemptResult::Quarantined => {
                    self.gateway.release_trial(&self.admission);
                    continue;
                }
                AttemptResult::CutOff => {
                    self.gateway.release_trial(&self.admission);
                    return self.give_up(ErrorReason::NoTarget, may_have_run, "cut off");
                }
                AttemptResult::KeysStale => {
                    self.gateway.release_trial(&self.admission);
                    return self.give_up(ErrorReason::Stale, may_have_run, "keys may be outdated");
                }
                AttemptResult::ErrorStatus(head, body) => {
                    self.gateway
                        .record_inconclusive_trial(self.request, &self.admission);
                    if chosen.first().record_error(Instant::now()) {
                        // Each other host would find out by requests of its own.
                        self.gateway.urgent_change.notify_one();
                    }
                    let may_retry = is_resumable
                        && !self.is_head_sent
                        && head.status == INTERNAL_ERROR_STATUS
                        && self.first_engines.len() < self.request.route.attempts_max as usize;
                    if !may_retry || !self.gateway.try_retry(self.request.service_id) {
                        return self.relay_error_status(caller, &head, &body).await;
                    }
                    may_have_run = true;
                    trace.record_failure(format!("{}: error status", chosen.first().id));
                    self.failed.push(Rc::clone(chosen.first()));
                    continue;
                }
                AttemptResult::NotRun(failure, at_fault) => {
                    self.gateway.release_trial(&self.admission);
                    let engine_at_fault = match self.engine {
                        Some(engine) => {
                            faults::record_refusal(self.gateway, engine, &chosen, at_fault)
                        }
                        None => Rc::clone(chosen.first()),
                    };
                    trace
                        .record_failure(format!("{failure}, attributed to {}", engine_at_fault.id));
                    self.failed.push(engine_at_fault);
                    refusals += 1;
                    if refusals >= REFUSALS_MAX {
                        return self.give_up(ErrorReason::Overloaded, may_have_run, failure);
                    }
                    failure
                }
                AttemptResult::Lost(failure) => {
                    may_have_run = true;
                    self.handle_lost_stream(chosen.first(), failure).await;
                    // Some engine of the path failed, and it is unknown which. The first one is
                    // blamed; further attempts show whether another one is at fault.
                    self.failed.push(Rc::clone(chosen.first()));
                    failure
                }
                AttemptResult::Stalled => {
                    may_have_run = true;
                    if self.progress.early() == Some(Progress::Unanswered) {
                        chosen.first().pool.doubt(&chosen.first().id);
                    }
                    match self.engine {
                        Some(_) => faults::record_stall(&chosen),
                        // It may be at work, and slow with this request alone.
                        None => self.failed.push(Rc::clone(chosen.first())),
                    }
                    "stalled"
                }
            };
            trace.record_failure(format!("{}: {failure}", chosen.first().id));
            if self.has_unnumbered_bytes || may_have_run && !is_resumable {
                return self.give_up(ErrorReason::AnswerLost, true, failure);
            }
            let is_retry = trace.sends > 0 && !std::mem::take(&mut self.has_reserved_retry);
            if is_retry && !self.gateway.try_retry(self.request.service_id) {
                trace.record_failure("retry budget exhausted");
                return self.give_up(ErrorReason::Overloaded, may_have_run, failure);
            }
        }
    }

    /// Chooses where to send the request next.
    ///
    /// # Errors
    ///
    /// Returns a text for the log if there is no path or target.
    fn choose(&self) -> Result<ChosenPath, String> {
        let Some(engine) = self.engine else {
            let tried = [self.first_engines.as_slice(), self.failed.as_slice()].concat();
            let is_allowed = self.first_engines.len() < self.request.route.attempts_max as usize;
            return is_allowed
                .then(|| plain::choose(self.gateway, self.request, &tried))
                .flatten()
                .map(ChosenPath::to_plain_target)
                .ok_or_else(|| format!("no target beside {} that were tried", tried.len()));
        };
        let attempts = PriorAttempts {
            first_engines: &self.first_engines,
            failed: &self.failed,
        };
        paths::choose(self.gateway, self.request, engine, &attempts)
            .map_err(|error| error.to_string())
    }

    /// Logs a lost stream. If it was lost at the start of its answer or before, finds out whether the
    /// engine ended, and records that as evidence against the request and the parts of its prompt.
    async fn handle_lost_stream(&self, engine: &Target, failure: &'static str) {
        let progress = self.progress.name();
        let mut state = "not checked";
        if let Some(early) = self.progress.early() {
            let process_state = faults::check_state(self.gateway, engine).await;
            state = process_state.as_str();
            let (request, admission) = (self.request, &self.admission);
            self.gateway
                .record_lost_target(request, admission, engine, early, process_state);
        }
        self.gateway.metrics.record_lost_stream(progress, state);
        spdlog::info!("stream.lost", kv: {
            request = self.request.metadata.id.as_str(),
            target = engine.id.as_str(),
            failure,
            progress,
            events = self.progress.events,
            writing_ms = self.progress.writing_time().as_millis() as u64,
            parts = self.request.metadata.shared_parts.join(",").as_str(),
            digest: = self.request.digest(),
            target_state = state,
        });
    }

    fn give_up(
        &self,
        reason: ErrorReason,
        may_have_run: bool,
        failure: &'static str,
    ) -> RequestOutcome {
        if self.is_head_sent {
            return RequestOutcome::Aborted { reason: failure };
        }
        if may_have_run {
            return RequestOutcome::Error(ErrorResponse::unknown(reason));
        }
        let retry_after = match self.engine {
            Some(_) => paths::retry_after(self.gateway),
            None => plain::retry_after(self.gateway, self.request),
        };
        RequestOutcome::Error(ErrorResponse::not_run(reason, Some(retry_after)))
    }

    /// Refuses a request, or gives it up after it was sent, because it or a part of its prompt is
    /// quarantined.
    fn refuse_quarantined(&self, may_have_run: bool, refusal: &Refusal) -> RequestOutcome {
        let reason = ErrorReason::from(&refusal.suspect);
        if may_have_run || self.is_head_sent {
            return self.give_up(reason, may_have_run, "request ends engines");
        }
        RequestOutcome::Error(ErrorResponse::not_run(reason, Some(refusal.retry_after)))
    }

    async fn finish(&mut self, caller: &mut Connection) -> RequestOutcome {
        match caller.write_all(b"0\r\n\r\n").await {
            Ok(()) => RequestOutcome::Answered { status: 200 },
            Err(_) => RequestOutcome::CallerDisconnected,
        }
    }

    async fn relay_error_status(
        &mut self,
        caller: &mut Connection,
        head: &ResponseHead,
        body: &[u8],
    ) -> RequestOutcome {
        if self.is_head_sent {
            return RequestOutcome::Aborted {
                reason: "engine refused to resume",
            };
        }
        self.request.is_answer_begun.set(true);
        let mut out = render_head(
            head,
            RelayedBody::Length(body.len()),
            self.request.announce_keep_alive(self.gateway),
        );
        out.extend_from_slice(body);
        match caller.write_all(&out).await {
            Ok(()) => RequestOutcome::Answered {
                status: head.status,
            },
            Err(_) => RequestOutcome::CallerDisconnected,
        }
    }

    /// Sends the request along one path and relays its answer.
    async fn send(
        &mut self,
        caller: &mut Connection,
        chosen: &mut ChosenPath,
        trace: &mut RequestTrace,
    ) -> AttemptResult {
        let gateway = self.gateway;
        let first = &Rc::clone(chosen.first());
        let mut in_flight = chosen.begin_requests(self.engine, self.request);
        let limits = link::Limits {
            direct: CONNECT_TIMEOUT.min(self.time_left()),
            through_peer: THROUGH_PEER_TIMEOUT.min(self.time_left()),
        };
        let mut acquired =
            match link::acquire(gateway, first, &self.request.metadata.id, limits).await {
                Ok(acquired) => acquired,
                Err(error @ ConnectError::CutOff { .. }) => {
                    trace.record_failure(error.to_string());
                    return AttemptResult::CutOff;
                }
                Err(error) => {
                    match self.engine {
                        Some(_) => first.record_unresponsive(Instant::now()),
                        None => first.record_failure(Instant::now()),
                    }
                    trace.record_failure(error.to_string());
                    return AttemptResult::NotRun("no connection", Some(first.address()));
                }
            };
        if !first.accepts(Instant::now()) {
            return AttemptResult::NotRun("engine takes no requests", None);
        }
        if gateway.is_admission_void(&self.admission, self.request) {
            return AttemptResult::Quarantined;
        }
        // Keys are checked only before the first send: a request that was accepted continues under
        // the key that it came with.
        if trace.sends == 0 && self.request.team.is_some() && are_keys_stale(gateway) {
            return AttemptResult::KeysStale;
        }
        let stages: Vec<Stage> = chosen.stages();
        let forwarding = Forwarding {
            budget: self.time_left(),
            target: &first.id,
            team: self.request.team.as_ref(),
            path: &stages,
            resume_after: self.last_event_id,
        };
        let mut out = Vec::with_capacity(1024 + self.request.body.len());
        gateway.platform.header_codec.write_forwarded(
            self.request.head,
            self.request.body.len(),
            &forwarding,
            &mut out,
        );
        out.extend_from_slice(&self.request.body);
        first.charge_limit(Instant::now());
        trace.sends += 1;
        trace.via.push(chosen.to_log_string());
        if !self
            .first_engines
            .iter()
            .any(|engine| Rc::ptr_eq(engine, first))
        {
            self.first_engines.push(Rc::clone(first));
        }
        let sent_at = Instant::now();
        self.progress = SendProgress::default();
        if acquired.connection.write_all(&out).await.is_err() {
            first.record_failure(Instant::now());
            return AttemptResult::Lost("connection failed while sending");
        }
        let upstream = &mut acquired.connection;
        let mut stall_timer = StallTimer::start(sent_at, gateway.run_clock.lost_time());
        let mut crossed_answers = 0;
        let (head, metadata) = loop {
            let head = tokio::select! {
                biased;
                head = timeout_at(self.request.deadline, upstream.read_response()) => head,
                () = caller.closed_by_peer(READ_AHEAD_LIMIT_BYTES) => return AttemptResult::CallerDisconnected,
                () = self.wait_for_stall(chosen, &stall_timer) => {
                    match self.repair(chosen, &mut in_flight, &mut stall_timer, trace).await {
                        StallAction::KeepWaiting => continue,
                        StallAction::Resend => return AttemptResult::Stalled,
                    }
                }
            };
            let head = match head {
                Err(_) => return AttemptResult::DeadlineExceeded,
                Ok(Err(_)) => {
                    first.record_failure(Instant::now());
                    return AttemptResult::Lost("connection ended before the answer");
                }
                Ok(Ok(head)) => head,
            };
            let metadata = gateway.parse_answer(first, &head);
            if metadata.id.is_none() && acquired.is_reused {
                return AttemptResult::Lost(UNNAMED_ANSWER);
            }
            if is_response_to(&metadata, &self.request.metadata.id) {
                break (head, metadata);
            }
            spdlog::warn!("answer.crossed", kv: {
                request = self.request.metadata.id.as_str(),
                answers = metadata.id.as_deref().unwrap_or_default(),
            });
            crossed_answers += 1;
            if crossed_answers > CROSSED_ANSWERS_MAX {
                return AttemptResult::Lost("too many answers to other requests");
            }
            let mut decoder = BodyDecoder::new(head.framing);
            // The answer belongs to another request. It is skipped if it is short; otherwise the
            // connection is given up rather than waited for.
            const MISMATCH_LIMIT_BYTES: usize = 64 << 10;
            const MISMATCH_TIMEOUT: Duration = Duration::from_millis(300);
            let skipped = tokio::time::timeout(
                MISMATCH_TIMEOUT,
                upstream.read_whole_body(&mut decoder, MISMATCH_LIMIT_BYTES),
            )
            .await;
            if !matches!(skipped, Ok(Ok(Some(_)))) {
                return AttemptResult::Lost("crossed answer");
            }
        };
        if !(200..300).contains(&head.status) {
            let result = self
                .handle_error_status(acquired, first, &head, &metadata)
                .await;
            trace.refused_sends += u32::from(matches!(result, AttemptResult::NotRun(..)));
            return result;
        }
        if !metadata.is_sealed {
            return AttemptResult::Lost("unsealed answer");
        }
        self.progress.record_head();
        if !self.is_head_sent {
            self.request.is_answer_begun.set(true);
            let out = render_head(
                &head,
                RelayedBody::Chunked,
                self.request.announce_keep_alive(gateway),
            );
            if caller.write_all(&out).await.is_err() {
                return AttemptResult::CallerDisconnected;
            }
            self.is_head_sent = true;
        }
        let mut decoder = match self.request.head.method.as_str() {
            "HEAD" => BodyDecoder::new(Framing::Length(0)),
            _ => BodyDecoder::new(head.framing),
        };
        let result = self
            .relay(
                caller,
                upstream,
                &mut decoder,
                (chosen, &mut in_flight),
                stall_timer,
                trace,
            )
            .await;
        if matches!(result, AttemptResult::Complete) && head.keep_alive {
            first.pool.release(acquired, metadata.idle_timeout);
        }
        result
    }

    /// Reads an answer with an error status, and returns what it says of the request.
    async fn handle_error_status(
        &self,
        mut acquired: PooledConnection,
        first: &Rc<Target>,
        head: &ResponseHead,
        metadata: &crate::port::ResponseMetadata,
    ) -> AttemptResult {
        const ERROR_BODY_LIMIT_BYTES: usize = 64 << 10;
        let mut decoder = BodyDecoder::new(head.framing);
        let body = timeout_at(
            self.request.deadline,
            acquired
                .connection
                .read_whole_body(&mut decoder, ERROR_BODY_LIMIT_BYTES),
        )
        .await;
        let complete_body = match body {
            Ok(Ok(Some(body))) => Some(body),
            _ => None,
        };
        if complete_body.is_some() && head.keep_alive {
            acquired.record_unanswered(&self.request.metadata.id);
            first.pool.release(acquired, metadata.idle_timeout);
        }
        if metadata.did_not_run {
            return AttemptResult::NotRun("refused", metadata.at_fault);
        }
        match complete_body {
            Some(body) if metadata.is_sealed => {
                AttemptResult::ErrorStatus(head.clone(), body.to_vec())
            }
            _ => AttemptResult::Lost("failure without a seal"),
        }
    }

    async fn relay(
        &mut self,
        caller: &mut Connection,
        upstream: &mut Connection,
        decoder: &mut BodyDecoder,
        (chosen, in_flight): (&mut ChosenPath, &mut Vec<InFlightGuard>),
        mut stall_timer: StallTimer,
        trace: &mut RequestTrace,
    ) -> AttemptResult {
        let mut event_decoder = EventDecoder::default();
        let is_framed = *decoder != BodyDecoder::new(Framing::UntilClose);
        let mut is_answer_recorded = false;
        let mut is_first = true;
        let mut out = Vec::new();
        loop {
            // While bytes are always available, the timeout below never fires, and no other task runs.
            if Instant::now() >= self.request.deadline {
                return AttemptResult::DeadlineExceeded;
            }
            tokio::task::consume_budget().await;
            let piece = tokio::select! {
                biased;
                piece = timeout_at(self.request.deadline, upstream.read_body(decoder)) => piece,
                () = caller.closed_by_peer(READ_AHEAD_LIMIT_BYTES) => return AttemptResult::CallerDisconnected,
                () = self.wait_for_stall(chosen, &stall_timer) => {
                    match self.repair(chosen, in_flight, &mut stall_timer, trace).await {
                        StallAction::KeepWaiting => continue,
                        StallAction::Resend => return AttemptResult::Stalled,
                    }
                }
            };
            let piece = match piece {
                Err(_) => return AttemptResult::DeadlineExceeded,
                Ok(Err(_)) => return AttemptResult::Lost("stream broke off"),
                // A target that is no engine may answer with something else than events. Its framing
                // tells that the answer is whole.
                Ok(Ok(None))
                    if is_framed && self.engine.is_none() && event_decoder.has_partial_event() =>
                {
                    out.clear();
                    push_chunk(&mut out, &event_decoder.take_rest());
                    if caller.write_all(&out).await.is_err() {
                        return AttemptResult::CallerDisconnected;
                    }
                    if !is_answer_recorded {
                        self.record_answer(chosen);
                    }
                    return AttemptResult::Complete;
                }
                Ok(Ok(None)) if event_decoder.has_partial_event() => {
                    return AttemptResult::Lost("torn event");
                }
                // An engine that ends closes its connections too.
                Ok(Ok(None)) if !is_framed && self.progress.events == 0 => {
                    return AttemptResult::Lost("stream ended without events");
                }
                Ok(Ok(None)) => {
                    if is_framed && !is_answer_recorded {
                        self.record_answer(chosen);
                    }
                    return AttemptResult::Complete;
                }
                Ok(Ok(Some(piece))) => piece,
            };
            let now = Instant::now();
            out.clear();
            let mut events = 0;
            if self.has_unnumbered_bytes || event_decoder.push(&piece).is_err() {
                if self.engine.is_some() {
                    return AttemptResult::Lost("event is too large");
                }
                // No event is that large: the answer is passed on as it is, without being held.
                if !self.has_unnumbered_bytes {
                    spdlog::info!("stream.without_events", kv: {
                        request = self.request.metadata.id.as_str(),
                        target = chosen.first().id.as_str(),
                    });
                }
                self.has_unnumbered_bytes = true;
                push_chunk(&mut out, &event_decoder.take_rest());
                push_chunk(&mut out, &piece);
                events = 1;
                self.progress.record_event(now);
            }
            while let Some(event) = event_decoder.take_event() {
                self.progress.record_event(now);
                // A resumed stream may repeat events that were already sent; they are skipped.
                if let (Some(id), Some(last_id)) = (event.id, self.last_event_id)
                    && id <= last_id
                {
                    continue;
                }
                if let Some(id) = event.id {
                    self.last_event_id = Some(id);
                }
                events += 1;
                push_chunk(&mut out, &event.bytes);
            }
            if !is_answer_recorded && self.progress.early().is_none() {
                is_answer_recorded = true;
                self.record_answer(chosen);
            }
            if events == 0 {
                continue;
            }
            chosen.record_progress(now, stall_timer.started_at, is_first);
            if is_first {
                chosen.first().record_begun();
            }
            if !is_first && self.engine.is_some() {
                let pause = now.duration_since(stall_timer.started_at);
                faults::query_slow_engine(self.gateway, chosen, pause);
            }
            if trace.events == 0 {
                trace.first_ms = self.request.arrived.elapsed().as_millis() as u64;
            } else {
                let pause = now.duration_since(self.last_sent_at).as_millis() as u64;
                trace.longest_pause_ms = trace.longest_pause_ms.max(pause);
            }
            trace.events += events;
            is_first = false;
            let longest_pause = Duration::from_millis(trace.longest_pause_ms);
            let lost = self.gateway.run_clock.lost_time();
            stall_timer = match self.engine {
                Some(_) => StallTimer::start_at_event(now, lost, chosen, longest_pause),
                None => StallTimer::start(now, lost),
            };
            self.last_sent_at = now;
            if caller.write_all(&out).await.is_err() {
                return AttemptResult::CallerDisconnected;
            }
        }
    }

    fn record_answer(&self, chosen: &ChosenPath) {
        let (request, admission) = (self.request, &self.admission);
        self.gateway
            .record_target_answer(request, admission, chosen.first(), OK_STATUS);
    }

    fn time_left(&self) -> Duration {
        self.request
            .deadline
            .saturating_duration_since(Instant::now())
    }
}

fn push_chunk(out: &mut Vec<u8>, data: &[u8]) {
    use std::io::Write;
    write!(out, "{:x}\r\n", data.len()).expect("writing to a Vec cannot fail");
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

impl ChosenPath {
    /// Counts a request as in flight on every engine of the path until the guards are dropped.
    fn begin_requests(
        &self,
        engine: Option<&EngineProfile>,
        request: &RequestContext<'_>,
    ) -> Vec<InFlightGuard> {
        let tokens = engine.map_or(0.0, |engine| paths::demand(request, engine).memory_tokens());
        self.hops
            .iter()
            .enumerate()
            .map(|(index, hop)| {
                let layer_count = hop.layers.map_or(0, LayerRange::count);
                let token_layers = tokens * f64::from(layer_count);
                InFlightGuard::begin(&hop.target, token_layers, index == 0)
            })
            .collect()
    }
}
