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
        Progress,
        Refusal, //
    },
    retry::window::Need,
};
use tokio::time::Instant;

use attempt::{
    Attempt,
    Kept,
    Upstream, //
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
        RequestTrace, //
    },
    faults::{
        self,
        ProcessState, //
    },
    gateway::Gateway,
    held_prompts,
    http1::{
        Connection,
        LAST_CHUNK,
        ResponseHead, //
    },
    paths::{
        self,
        ChosenPath,
        PriorAttempts, //
    },
    plain::{
        self,
        READ_AHEAD_LIMIT_BYTES, //
    },
    port::EventId,
    target::{
        InFlightGuard,
        Target, //
    },
    trial_place,
    urgency::{
        self,
        Verdict, //
    },
};

mod attempt;
mod progress;
mod repair;
mod send;

#[cfg(test)]
mod tests;

/// Pause between two attempts to choose a path while a stream waits to be resumed.
const PATH_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Longest time without a path before a stream that waits to be resumed is given up.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1500);
/// Status with which an engine answers a request that failed there.
const INTERNAL_ERROR_STATUS: u16 = 500;
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

/// The state of relaying one stream, over all its attempts.
struct Relay<'a> {
    gateway: &'a Gateway,
    request: &'a RequestContext<'a>,
    /// The profile of the service's engines; `None` if its targets are no engines.
    engine: Option<&'a EngineProfile>,
    /// Whether the head of the answer was sent to the caller.
    is_head_sent: bool,
    /// Whether a body follows that head, in chunks.
    has_body: bool,
    /// Id of the last event sent to the caller. Before the first: the id after which the caller
    /// asked to resume, or `None`.
    last_event_id: Option<EventId>,
    /// Whether bytes were passed on that belong to no event, so that the stream can't be resumed.
    has_unnumbered_bytes: bool,
    /// The path of the next send, if a retry was taken from the budget for it, or the request was
    /// admitted with it.
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
        has_body: true,
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
    if let Some(engine) = relay.engine {
        match urgency::pass(gateway, caller, request, engine, trace).await {
            Verdict::Admitted(chosen) => relay.reserved = Some(chosen),
            Verdict::Passed => {}
            Verdict::Refused(error_response) => return RequestOutcome::Error(error_response),
            Verdict::CallerDisconnected => return RequestOutcome::CallerDisconnected,
        }
    }
    let request_outcome = relay.run(caller, trace).await;
    urgency::record_end(gateway, request, trace);
    request_outcome
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
                    held_prompts::record_choice(
                        self.gateway,
                        self.request.metadata,
                        chosen.holder_choice,
                        &chosen.path,
                    );
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
                        || may_retry
                            && self
                                .gateway
                                .try_retry(self.request, trace, None, Need::Replace);
                    if !may_continue {
                        return self.relay_error_status(caller, &head, &body).await;
                    }
                    self.may_have_run = true;
                    trace.record_failure(format!("{}: error status", first.id));
                    self.failed.push(first);
                    continue;
                }
                AttemptResult::NotRun(failure, at_fault) => {
                    if trace.refused_sends > 0 {
                        urgency::record_no_capacity(self.gateway, self.request, trace);
                    }
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
                    losses += 1;
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
                match self.reserve_path(trace).await {
                    Ok(reserved) => self.reserved = Some(reserved),
                    Err(_) => next = self.take_kept(),
                }
                continue;
            }
            if self.has_unnumbered_bytes || self.may_have_run && !is_resumable {
                self.may_have_run = true;
                return self.give_up(ErrorReason::AnswerLost, failure);
            }
            if losses > LOSSES_MAX {
                return self.give_up(ErrorReason::AnswerLost, failure);
            }
            // A request that ends its engines at the start has no events.
            let need = match trace.events > 0 {
                true => Need::Resume,
                false => Need::Replace,
            };
            if trace.sends > 0 && !self.gateway.try_retry(self.request, trace, None, need) {
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
            if let (ProcessState::Ended, Some(held_prompts)) =
                (process_state, &self.gateway.held_prompts)
            {
                held_prompts.end_engine(engine);
            }
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
            Some(_) if self.request.rank.is_some() => {
                urgency::retry_after(self.gateway, self.request)
            }
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
        let end: &[u8] = match self.has_body {
            true => LAST_CHUNK,
            false => &[],
        };
        match caller.write_all(end).await {
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
