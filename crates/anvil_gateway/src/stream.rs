//! Serves streams: sends a request once along a path of engines, or to one target of a service without
//! engines, relays the events, and resumes the stream elsewhere if that fails.

use std::{
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    engine_model::EngineProfile,
    entry::RequestSemantics,
    id::LayerRange,
    quarantine::{
        Progress,
        Refusal, //
    },
};
use tokio::time::{
    Instant,
    error::Elapsed,
    timeout_at, //
};

use attempt::{
    Answer,
    Attempt,
    Begun,
    Kept,
    KeptResult,
    Upstream, //
};
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
        ReadError,
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
    trial_place,
};

mod attempt;
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
/// Lost sends after which a request is given up.
const LOSSES_MAX: u32 = 4;

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
    /// No event arrived for too long, and another send is due. Holds the connection, on which the
    /// answer may still come.
    Stalled(Box<Upstream>),
    /// An attempt that had been silent has an event first. Holds its index among those that are kept.
    Overtaken(usize),
    /// The engine answered with an error status, which is passed on to the caller.
    ErrorStatus(ResponseHead, Vec<u8>),
    /// The caller closed the connection.
    CallerDisconnected,
    /// The deadline of the request passed.
    DeadlineExceeded,
}

/// What ended a wait for an answer.
enum Step<T> {
    /// The answer was read from, or the deadline passed.
    Read(Result<Result<T, ReadError>, Elapsed>),
    /// The caller closed the connection.
    CallerDisconnected,
    /// A kept attempt, by its index, has an event or failed.
    Kept(usize, KeptResult),
    /// The cause of the silence must be looked for.
    Silent,
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
    /// The path of the next send, if a retry was taken from the budget for it.
    reserved: Option<ChosenPath>,
    /// When the last event was sent to the caller.
    last_sent_at: Instant,
    /// First engines that this request was sent to, each once.
    first_engines: Vec<Rc<Target>>,
    /// Engines blamed for a failure of this request.
    failed: Vec<Rc<Target>>,
    /// Silent attempts whose answers may still come before that of the current one.
    kept: Vec<Kept>,
    /// Whether an engine may have run the request.
    may_have_run: bool,
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
        reserved: None,
        last_event_id: match request.route.semantics {
            RequestSemantics::ResumableStream => request.metadata.resume_point.event_id(),
            RequestSemantics::Safe | RequestSemantics::AtMostOnce | RequestSemantics::Stream => {
                None
            }
        },
        last_sent_at: Instant::now(),
        first_engines: Vec::new(),
        failed: Vec::new(),
        kept: Vec::new(),
        may_have_run: false,
    };
    relay.run(caller, trace).await
}

impl Relay<'_> {
    async fn run(&mut self, caller: &mut Connection, trace: &mut RequestTrace) -> RequestOutcome {
        let is_resumable = self.request.route.semantics == RequestSemantics::ResumableStream;
        let mut refusals = 0;
        let mut losses = 0;
        let mut no_path_since: Option<Instant> = None;
        let mut next: Option<Kept> = None;
        loop {
            if Instant::now() >= self.request.deadline {
                self.end_kept();
                return self.give_up(ErrorReason::Timeout, "timeout");
            }
            let sends_before = trace.sends;
            let is_continued = next.is_some();
            let (attempt, result) = match next.take() {
                Some(Kept {
                    mut attempt,
                    upstream,
                }) => {
                    let result = self.receive(caller, &mut attempt, upstream, trace).await;
                    (attempt, result)
                }
                None => {
                    let admission = match self.gateway.admit(self.request) {
                        Ok(admission) => admission,
                        Err(refusal) => {
                            trace.record_failure(refusal.to_string());
                            self.reserved = None;
                            next = self.take_kept();
                            if next.is_some() {
                                continue;
                            }
                            return self.refuse_quarantined(&refusal);
                        }
                    };
                    let chosen = match self.reserved.take().map_or_else(|| self.choose(), Ok) {
                        Ok(chosen) => chosen,
                        Err(error) => {
                            self.gateway.release_trial(&admission);
                            trace.record_failure(error);
                            next = self.take_kept();
                            if next.is_some() {
                                continue;
                            }
                            if self.engine.is_none() {
                                return self.give_up(ErrorReason::NoTarget, "no target");
                            }
                            if !self.may_have_run
                                && trial_place::is_under_suspicion(self.gateway, self.request)
                            {
                                return self.refuse_suspect();
                            }
                            let since = *no_path_since.get_or_insert_with(Instant::now);
                            if !self.may_have_run || since.elapsed() > RESUME_TIMEOUT {
                                return self.give_up(ErrorReason::Overloaded, "no path");
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
                    let suspect_guard =
                        trial_place::begin(self.gateway, self.request, chosen.first());
                    let mut attempt = Attempt::new(chosen, admission, suspect_guard);
                    let result = self.send(caller, &mut attempt, trace).await;
                    (attempt, result)
                }
            };
            let first = Rc::clone(attempt.chosen.first());
            let failure = match result {
                AttemptResult::Complete => {
                    self.end_kept();
                    return self.finish(caller).await;
                }
                AttemptResult::CallerDisconnected => {
                    self.abandon(&attempt);
                    self.end_kept();
                    return RequestOutcome::CallerDisconnected;
                }
                AttemptResult::DeadlineExceeded => {
                    self.end_kept();
                    self.may_have_run = true;
                    return self.give_up(ErrorReason::Timeout, "timeout");
                }
                AttemptResult::Overtaken(index) => {
                    match is_continued || trace.sends > sends_before {
                        true => self.abandon(&attempt),
                        false => self.gateway.release_trial(&attempt.admission),
                    }
                    trace.record_failure(format!("{}: overtaken", first.id));
                    next = Some(self.kept.swap_remove(index));
                    self.end_kept();
                    continue;
                }
                AttemptResult::Quarantined => {
                    self.gateway.release_trial(&attempt.admission);
                    next = self.take_kept();
                    continue;
                }
                AttemptResult::CutOff => {
                    self.gateway.release_trial(&attempt.admission);
                    next = self.take_kept();
                    if next.is_some() {
                        continue;
                    }
                    return self.give_up(ErrorReason::NoTarget, "cut off");
                }
                AttemptResult::KeysStale => {
                    self.gateway.release_trial(&attempt.admission);
                    return self.give_up(ErrorReason::Stale, "keys may be outdated");
                }
                AttemptResult::ErrorStatus(head, body) => {
                    self.gateway
                        .record_inconclusive_trial(self.request, &attempt.admission);
                    if first.record_error(Instant::now()) {
                        // Each other host would find out by requests of its own.
                        self.gateway.urgent_change.notify_one();
                    }
                    next = self.take_kept();
                    let may_retry = is_resumable
                        && !self.is_head_sent
                        && head.status == INTERNAL_ERROR_STATUS
                        && self.first_engines.len() < self.request.route.attempts_max as usize;
                    let may_continue = next.is_some()
                        || may_retry && self.gateway.try_retry(self.request.service_id);
                    if !may_continue {
                        return self.relay_error_status(caller, &head, &body).await;
                    }
                    self.may_have_run = true;
                    trace.record_failure(format!("{}: error status", first.id));
                    self.failed.push(first);
                    continue;
                }
                AttemptResult::NotRun(failure, at_fault) => {
                    self.gateway.release_trial(&attempt.admission);
                    let engine_at_fault = match self.engine {
                        Some(engine) => {
                            faults::record_refusal(self.gateway, engine, &attempt.chosen, at_fault)
                        }
                        None => Rc::clone(&first),
                    };
                    trace
                        .record_failure(format!("{failure}, attributed to {}", engine_at_fault.id));
                    self.failed.push(engine_at_fault);
                    refusals += 1;
                    if refusals >= REFUSALS_MAX && self.kept.is_empty() {
                        return self.give_up(ErrorReason::Overloaded, failure);
                    }
                    failure
                }
                AttemptResult::Lost(failure) => {
                    self.may_have_run = true;
                    self.handle_lost_stream(&attempt, failure).await;
                    // Some engine of the path failed, and it is unknown which. The first one is
                    // blamed; further attempts show whether another one is at fault.
                    self.failed.push(Rc::clone(&first));
                    failure
                }
                AttemptResult::Stalled(upstream) => {
                    self.may_have_run = true;
                    if attempt.progress.early() == Some(Progress::Unanswered) {
                        first.pool.doubt(&first.id);
                    }
                    trace.record_failure(format!("{}: stalled", first.id));
                    self.kept.push(Kept {
                        attempt,
                        upstream: *upstream,
                    });
                    continue;
                }
            };
            trace.record_failure(format!("{}: {failure}", first.id));
            if !self.kept.is_empty() {
                // The silent attempt is no better than before, so that another one is made at once.
                match self.reserve_path(None, trace) {
                    Ok(reserved) => self.reserved = Some(reserved),
                    Err(_) => next = self.take_kept(),
                }
                continue;
            }
            if self.has_unnumbered_bytes || self.may_have_run && !is_resumable {
                self.may_have_run = true;
                return self.give_up(ErrorReason::AnswerLost, failure);
            }
            losses += u32::from(self.may_have_run);
            if losses > LOSSES_MAX {
                return self.give_up(ErrorReason::AnswerLost, failure);
            }
            if trace.sends > 0 && !self.gateway.try_retry(self.request.service_id) {
                trace.record_failure("retry budget exhausted");
                return self.give_up(ErrorReason::Overloaded, failure);
            }
        }
    }

    /// Returns the attempt that was kept last, which is waited for again.
    fn take_kept(&mut self) -> Option<Kept> {
        let mut kept = self.kept.pop()?;
        kept.upstream.stall_timer.allow_resend();
        Some(kept)
    }

    /// Records that an attempt is no longer waited for.
    fn abandon(&self, attempt: &Attempt) {
        if attempt.progress.early().is_some() {
            self.gateway
                .record_abandoned(self.request, &attempt.admission, attempt.chosen.first());
        }
    }

    /// Ends the attempts that are kept beside the current one.
    fn end_kept(&mut self) {
        for kept in std::mem::take(&mut self.kept) {
            self.abandon(&kept.attempt);
        }
    }

    /// Ends the kept attempts because the current one has an event before them. Their engines are less
    /// likely to answer soon than others.
    fn end_overtaken(&mut self, trace: &mut RequestTrace) {
        for kept in &self.kept {
            trace.record_failure(format!("{}: overtaken", kept.attempt.chosen.first().id));
            faults::record_overtaken(&kept.attempt.chosen, kept.silent_since());
        }
        self.end_kept();
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
            standing: trial_place::standing(
                self.gateway,
                self.request,
                !self.first_engines.is_empty(),
            ),
        };
        paths::choose(self.gateway, self.request, engine, &attempts)
            .map_err(|error| error.to_string())
    }

    /// Logs a lost stream. If it was lost at the start of its answer or before, finds out whether the
    /// engine ended, and records that as evidence against the request and the parts of its prompt.
    async fn handle_lost_stream(&self, attempt: &Attempt, failure: &'static str) {
        let engine = attempt.chosen.first();
        let progress = attempt.progress.name();
        let mut state = "not checked";
        if let Some(early) = attempt.progress.early() {
            let process_state = faults::check_state(self.gateway, engine).await;
            state = process_state.as_str();
            let (request, admission) = (self.request, &attempt.admission);
            self.gateway
                .record_lost_target(request, admission, engine, early, process_state);
        }
        self.gateway.metrics.record_lost_stream(progress, state);
        spdlog::info!("stream.lost", kv: {
            request = self.request.metadata.id.as_str(),
            target = engine.id.as_str(),
            failure,
            progress,
            events = attempt.progress.events,
            writing_ms = attempt.progress.writing_time().as_millis() as u64,
            parts = self.request.metadata.shared_parts.join(",").as_str(),
            digest: = self.request.digest(),
            target_state = state,
        });
    }

    fn give_up(&self, reason: ErrorReason, failure: &'static str) -> RequestOutcome {
        if self.is_head_sent {
            return RequestOutcome::Aborted { reason: failure };
        }
        if self.may_have_run {
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
    fn refuse_quarantined(&self, refusal: &Refusal) -> RequestOutcome {
        let reason = ErrorReason::from(&refusal.suspect);
        if self.may_have_run || self.is_head_sent {
            return self.give_up(reason, "request ends engines");
        }
        RequestOutcome::Error(ErrorResponse::not_run(reason, Some(refusal.retry_after)))
    }

    /// Refuses a request that is under suspicion and that no engine may take.
    fn refuse_suspect(&self) -> RequestOutcome {
        let retry_after = match self.engine {
            Some(engine) => trial_place::retry_after(self.gateway, engine),
            None => plain::retry_after(self.gateway, self.request),
        };
        let reason = ErrorReason::QuarantinedRequest;
        RequestOutcome::Error(ErrorResponse::not_run(reason, Some(retry_after)))
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

    /// Sends the request along the path of an attempt and relays its answer.
    async fn send(
        &mut self,
        caller: &mut Connection,
        attempt: &mut Attempt,
        trace: &mut RequestTrace,
    ) -> AttemptResult {
        let (gateway, request) = (self.gateway, self.request);
        let mut kept = std::mem::take(&mut self.kept);
        let mut failed = Vec::new();
        let opened = {
            let mut opened = pin!(self.open_upstream(attempt, trace));
            loop {
                tokio::select! {
                    biased;
                    opened = &mut opened => break opened,
                    () = caller.closed_by_peer(READ_AHEAD_LIMIT_BYTES) => break Err(AttemptResult::CallerDisconnected),
                    (index, result) = attempt::wait_for_kept(&mut kept, gateway, request) => match result {
                        KeptResult::Progressed => break Err(AttemptResult::Overtaken(index)),
                        KeptResult::Failed => failed.push(kept.swap_remove(index)),
                    }
                }
            }
        };
        self.kept = kept;
        for failed in &failed {
            self.abandon(&failed.attempt);
        }
        match opened {
            Ok(upstream) => self.receive(caller, attempt, upstream, trace).await,
            Err(result) => result,
        }
    }

    /// Takes a connection to the first engine of an attempt's path and writes the request on it.
    ///
    /// # Errors
    ///
    /// Returns the result of the attempt if it was not written.
    async fn open_upstream(
        &mut self,
        attempt: &Attempt,
        trace: &mut RequestTrace,
    ) -> Result<Upstream, AttemptResult> {
        let gateway = self.gateway;
        let chosen = &attempt.chosen;
        let first = chosen.first();
        let in_flight = chosen.begin_requests(self.engine, self.request);
        let limits = link::Limits {
            direct: CONNECT_TIMEOUT.min(self.time_left()),
            through_peer: THROUGH_PEER_TIMEOUT.min(self.time_left()),
        };
        let acquired = match link::acquire(gateway, first, &self.request.metadata.id, limits).await
        {
            Ok(acquired) => acquired,
            Err(error @ ConnectError::CutOff { .. }) => {
                trace.record_failure(error.to_string());
                return Err(AttemptResult::CutOff);
            }
            Err(error) => {
                match self.engine {
                    Some(_) => first.record_unresponsive(Instant::now()),
                    None => first.record_failure(Instant::now()),
                }
                trace.record_failure(error.to_string());
                return Err(AttemptResult::NotRun(
                    "no connection",
                    Some(first.address()),
                ));
            }
        };
        if !first.accepts(Instant::now()) {
            return Err(AttemptResult::NotRun("engine takes no requests", None));
        }
        if gateway.is_admission_void(&attempt.admission, self.request) {
            return Err(AttemptResult::Quarantined);
        }
        // Keys are checked only before the first send: a request that was accepted continues under
        // the key that it came with.
        if trace.sends == 0 && self.request.team.is_some() && are_keys_stale(gateway) {
            return Err(AttemptResult::KeysStale);
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
        if acquired.connection.write_all(&out).await.is_err() {
            first.record_failure(Instant::now());
            return Err(AttemptResult::Lost("connection failed while sending"));
        }
        Ok(Upstream {
            acquired,
            in_flight,
            stall_timer: StallTimer::start(sent_at, gateway.run_clock.lost_time()),
            answer: Answer::none(),
        })
    }

    /// Reads the answer of an attempt and relays it, until it ends, fails or is silent for so long that
    /// the request must be sent again.
    async fn receive(
        &mut self,
        caller: &mut Connection,
        attempt: &mut Attempt,
        mut upstream: Upstream,
        trace: &mut RequestTrace,
    ) -> AttemptResult {
        let gateway = self.gateway;
        let first = &Rc::clone(attempt.chosen.first());
        while let Answer::Awaited { crossed_answers } = &mut upstream.answer {
            let mut kept = std::mem::take(&mut self.kept);
            let step = tokio::select! {
                biased;
                head = timeout_at(self.request.deadline, upstream.acquired.connection.read_response()) => Step::Read(head),
                () = caller.closed_by_peer(READ_AHEAD_LIMIT_BYTES) => Step::CallerDisconnected,
                (index, result) = attempt::wait_for_kept(&mut kept, gateway, self.request) => Step::Kept(index, result),
                () = self.wait_for_stall(&attempt.chosen, &mut upstream.stall_timer) => Step::Silent,
            };
            self.kept = kept;
            let head = match step {
                Step::Read(Err(_)) => return AttemptResult::DeadlineExceeded,
                Step::Read(Ok(Err(_))) => {
                    first.record_failure(Instant::now());
                    return AttemptResult::Lost("connection ended before the answer");
                }
                Step::Read(Ok(Ok(head))) => head,
                Step::CallerDisconnected => return AttemptResult::CallerDisconnected,
                Step::Kept(index, KeptResult::Progressed) => {
                    return AttemptResult::Overtaken(index);
                }
                Step::Kept(index, KeptResult::Failed) => {
                    self.drop_failed(index);
                    continue;
                }
                Step::Silent => match self.repair(attempt, &mut upstream, trace).await {
                    StallAction::KeepWaiting => continue,
                    StallAction::Resend => return AttemptResult::Stalled(Box::new(upstream)),
                },
            };
            let metadata = gateway.parse_answer(first, &head);
            if metadata.id.is_none() && upstream.acquired.is_reused {
                return AttemptResult::Lost(UNNAMED_ANSWER);
            }
            if !is_response_to(&metadata, &self.request.metadata.id) {
                spdlog::warn!("answer.crossed", kv: {
                    request = self.request.metadata.id.as_str(),
                    answers = metadata.id.as_deref().unwrap_or_default(),
                });
                *crossed_answers += 1;
                if *crossed_answers > CROSSED_ANSWERS_MAX {
                    return AttemptResult::Lost("too many answers to other requests");
                }
                let mut decoder = BodyDecoder::new(head.framing);
                // The answer belongs to another request. It is skipped if it is short; otherwise the
                // connection is given up rather than waited for.
                const MISMATCH_LIMIT_BYTES: usize = 64 << 10;
                const MISMATCH_TIMEOUT: Duration = Duration::from_millis(300);
                let connection = &mut upstream.acquired.connection;
                let skipped = gateway.run_clock.timeout(
                    MISMATCH_TIMEOUT,
                    connection.read_whole_body(&mut decoder, MISMATCH_LIMIT_BYTES),
                );
                if !matches!(skipped.await, Ok(Ok(Some(_)))) {
                    return AttemptResult::Lost("crossed answer");
                }
                continue;
            }
            if !(200..300).contains(&head.status) {
                let acquired = upstream.acquired;
                let result = self
                    .handle_error_status(acquired, first, &head, &metadata)
                    .await;
                trace.refused_sends += u32::from(matches!(result, AttemptResult::NotRun(..)));
                return result;
            }
            if !metadata.is_sealed {
                return AttemptResult::Lost("unsealed answer");
            }
            attempt.progress.record_head();
            let method = self.request.head.method.as_str();
            upstream.answer = Answer::Begun(Begun::new(head, metadata, method));
        }
        if let Answer::Begun(begun) = &upstream.answer
            && !self.is_head_sent
        {
            self.request.is_answer_begun.set(true);
            let out = render_head(
                &begun.head,
                RelayedBody::Chunked,
                self.request.announce_keep_alive(gateway),
            );
            if caller.write_all(&out).await.is_err() {
                return AttemptResult::CallerDisconnected;
            }
            self.is_head_sent = true;
        }
        self.relay(caller, attempt, upstream, trace).await
    }

    /// Drops a kept attempt that failed.
    fn drop_failed(&mut self, index: usize) {
        let failed = self.kept.swap_remove(index);
        self.abandon(&failed.attempt);
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
        attempt: &mut Attempt,
        mut upstream: Upstream,
        trace: &mut RequestTrace,
    ) -> AttemptResult {
        let mut out = Vec::new();
        loop {
            // While bytes are always available, the timeout below never fires, and no other task runs.
            if Instant::now() >= self.request.deadline {
                return AttemptResult::DeadlineExceeded;
            }
            tokio::task::consume_budget().await;
            let Answer::Begun(begun) = &mut upstream.answer else {
                return AttemptResult::Lost("answer without a head");
            };
            // A kept attempt may have read events already.
            if !begun.event_decoder.has_event() {
                let mut kept = std::mem::take(&mut self.kept);
                let connection = &mut upstream.acquired.connection;
                let step = tokio::select! {
                    biased;
                    piece = timeout_at(self.request.deadline, connection.read_body(&mut begun.decoder)) => Step::Read(piece),
                    () = caller.closed_by_peer(READ_AHEAD_LIMIT_BYTES) => Step::CallerDisconnected,
                    (index, result) = attempt::wait_for_kept(&mut kept, self.gateway, self.request) => Step::Kept(index, result),
                    () = self.wait_for_stall(&attempt.chosen, &mut upstream.stall_timer) => Step::Silent,
                };
                self.kept = kept;
                let piece = match step {
                    Step::Read(Err(_)) => return AttemptResult::DeadlineExceeded,
                    Step::Read(Ok(Err(_))) => return AttemptResult::Lost("stream broke off"),
                    Step::Read(Ok(Ok(piece))) => piece,
                    Step::CallerDisconnected => return AttemptResult::CallerDisconnected,
                    Step::Kept(index, KeptResult::Progressed) => {
                        return AttemptResult::Overtaken(index);
                    }
                    Step::Kept(index, KeptResult::Failed) => {
                        self.drop_failed(index);
                        continue;
                    }
                    Step::Silent => match self.repair(attempt, &mut upstream, trace).await {
                        StallAction::KeepWaiting => continue,
                        StallAction::Resend => return AttemptResult::Stalled(Box::new(upstream)),
                    },
                };
                let Some(piece) = piece else {
                    return self.end(caller, attempt, upstream).await;
                };
                out.clear();
                if self.has_unnumbered_bytes || begun.event_decoder.push(&piece).is_err() {
                    if self.engine.is_some() {
                        return AttemptResult::Lost("event is too large");
                    }
                    // No event is that large: the answer is passed on as it is, without being held.
                    if !self.has_unnumbered_bytes {
                        spdlog::info!("stream.without_events", kv: {
                            request = self.request.metadata.id.as_str(),
                            target = attempt.chosen.first().id.as_str(),
                        });
                    }
                    self.has_unnumbered_bytes = true;
                    push_chunk(&mut out, &begun.event_decoder.take_rest());
                    push_chunk(&mut out, &piece);
                }
            }
            let now = Instant::now();
            let mut events = 0;
            if !out.is_empty() {
                events = 1;
                attempt.progress.record_event(now);
            }
            while let Some(event) = begun.event_decoder.take_event() {
                attempt.progress.record_event(now);
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
            if !begun.is_recorded && attempt.progress.early().is_none() {
                begun.is_recorded = true;
                self.record_answer(attempt);
                attempt.suspect_guard = None;
            }
            if events == 0 {
                continue;
            }
            self.end_overtaken(trace);
            let chosen = &attempt.chosen;
            let silent_since = upstream.stall_timer.started_at;
            chosen.record_progress(now, silent_since, begun.is_first);
            if begun.is_first {
                chosen.first().record_begun();
            }
            if !begun.is_first && self.engine.is_some() {
                let pause = now.saturating_duration_since(silent_since);
                faults::query_slow_engine(self.gateway, chosen, pause);
            }
            if trace.events == 0 {
                trace.first_ms = self.request.arrived.elapsed().as_millis() as u64;
            } else {
                let pause = now.duration_since(self.last_sent_at).as_millis() as u64;
                trace.longest_pause_ms = trace.longest_pause_ms.max(pause);
            }
            trace.events += events;
            begun.is_first = false;
            let longest_pause = Duration::from_millis(trace.longest_pause_ms);
            let lost = self.gateway.run_clock.lost_time();
            upstream.stall_timer = match self.engine {
                Some(_) => StallTimer::start_at_event(now, lost, chosen, longest_pause),
                None => StallTimer::start(now, lost),
            };
            self.last_sent_at = now;
            let written = caller.write_all(&out).await;
            out.clear();
            if written.is_err() {
                return AttemptResult::CallerDisconnected;
            }
        }
    }

    /// Passes on the end of an answer, or returns why it can't be the end of the stream.
    async fn end(
        &mut self,
        caller: &mut Connection,
        attempt: &Attempt,
        upstream: Upstream,
    ) -> AttemptResult {
        let Answer::Begun(mut begun) = upstream.answer else {
            return AttemptResult::Lost("answer without a head");
        };
        let is_framed = begun.is_framed();
        if begun.event_decoder.has_partial_event() {
            if !is_framed || self.engine.is_some() {
                return AttemptResult::Lost("torn event");
            }
            // A target that is no engine may answer with something else than events. Its framing tells
            // that the answer is whole.
            let mut out = Vec::new();
            push_chunk(&mut out, &begun.event_decoder.take_rest());
            if caller.write_all(&out).await.is_err() {
                return AttemptResult::CallerDisconnected;
            }
        } else if !is_framed && attempt.progress.events == 0 {
            // An engine that ends closes its connections too.
            return AttemptResult::Lost("stream ended without events");
        }
        if is_framed && !begun.is_recorded {
            self.record_answer(attempt);
        }
        if begun.head.keep_alive {
            let first = attempt.chosen.first();
            first
                .pool
                .release(upstream.acquired, begun.metadata.idle_timeout);
        }
        AttemptResult::Complete
    }

    fn record_answer(&self, attempt: &Attempt) {
        let first = attempt.chosen.first();
        self.gateway
            .record_target_answer(self.request, &attempt.admission, first, OK_STATUS);
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
