//! Sends a request along the path of one attempt, and relays the answer.

use std::{
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use tokio::time::{
    Instant,
    error::Elapsed,
    timeout_at, //
};

use crate::{
    answer::{
        RelayedBody,
        render_head, //
    },
    exchange::{
        RequestTrace,
        are_keys_stale, //
    },
    faults,
    held_prompts::{
        self,
        HoldingGuard, //
    },
    http1::{
        BodyDecoder,
        Chunks,
        ConnectError,
        Connection,
        ReadError,
        ResponseHead, //
    },
    link,
    paths::{
        self,
        ChosenPath, //
    },
    plain::{
        CROSSED_ANSWERS_MAX,
        READ_AHEAD_LIMIT_BYTES,
        THROUGH_PEER_TIMEOUT,
        UNNAMED_ANSWER,
        is_response_to, //
    },
    pool::PooledConnection,
    port::{
        Forwarding,
        ResponseMetadata,
        Stage, //
    },
    target::Target, //
};

use super::{
    AttemptResult, Relay,
    attempt::{
        self,
        Answer,
        Attempt,
        Begun,
        KeptResult,
        Upstream, //
    },
    repair::{
        StallAction,
        StallTimer, //
    },
};

/// Longest time that opening a connection to an engine may take: a few round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Status of an answer whose events are relayed.
const OK_STATUS: u16 = 200;

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

impl Relay<'_> {
    /// Sends the request along the path of an attempt and relays its answer.
    pub(super) async fn send(
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
            urgency: self.request.urgency(),
        };
        let mut out = Vec::with_capacity(1024);
        gateway.platform.header_codec.write_forwarded(
            self.request.head,
            self.request.body.len(),
            &forwarding,
            &mut out,
        );
        first.charge_limit(Instant::now());
        trace.record_send(chosen.to_log_string());
        if !self
            .first_engines
            .iter()
            .any(|engine| Rc::ptr_eq(engine, first))
        {
            self.first_engines.push(Rc::clone(first));
        }
        let sent_at = Instant::now();
        let written = acquired.connection.write_both(out, &self.request.body);
        if written.await.is_err() {
            first.record_failure(Instant::now());
            return Err(AttemptResult::Lost("connection failed while sending"));
        }
        Ok(Upstream {
            acquired,
            in_flight,
            holding: None,
            stall_timer: StallTimer::start(sent_at, gateway.run_clock.lost_time()),
            answer: Answer::none(),
        })
    }

    /// Reads the answer of an attempt and relays it, until it ends, fails or is silent for so long that
    /// the request must be sent again.
    pub(super) async fn receive(
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
                Step::Read(Ok(Err(error))) => {
                    first.record_failure(Instant::now());
                    return AttemptResult::Lost(error.loss("connection ended before the answer"));
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
            upstream.answer = Answer::Begun(Begun::new(self.request.place, head, metadata, method));
        }
        if let Answer::Begun(begun) = &upstream.answer
            && !self.is_head_sent
        {
            self.request.is_answer_begun.set(true);
            self.has_body = begun.head.has_body(&self.request.head.method);
            let body = match self.has_body {
                true => RelayedBody::Chunked,
                false => RelayedBody::None,
            };
            let keep_alive = self.request.announce_keep_alive(gateway);
            let out = render_head(&begun.head, body, keep_alive);
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
        metadata: &ResponseMetadata,
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
            Ok(Ok(body)) => body,
            // Nothing that such an answer states is relied on, also not that the request did not run.
            Ok(Err(error)) if error.is_malformed() => {
                return AttemptResult::Lost(error.loss("connection ended within the answer"));
            }
            Ok(Err(_)) | Err(_) => None,
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
        let mut out = Chunks::default();
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
                    Step::Read(Ok(Err(error))) => {
                        return AttemptResult::Lost(error.loss("stream broke off"));
                    }
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
                let pushed = match self.has_unnumbered_bytes {
                    true => Err("no events"),
                    false => begun.push(&piece),
                };
                if let Err(reason) = pushed {
                    if self.engine.is_some() {
                        return AttemptResult::Lost(reason);
                    }
                    // No event is that large: the answer is passed on as it is, without being held.
                    if !self.has_unnumbered_bytes {
                        spdlog::info!("stream.without_events", kv: {
                            request = self.request.metadata.id.as_str(),
                            target = attempt.chosen.first().id.as_str(),
                        });
                    }
                    self.has_unnumbered_bytes = true;
                    out.push(&begun.event_decoder.take_rest());
                    out.push(&piece);
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
                out.push(&event.bytes);
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
            self.record_held(chosen, &mut upstream.holding, trace.events, now);
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
            let written = caller.write_all(out.as_bytes()).await;
            out.clear();
            if written.is_err() {
                return AttemptResult::CallerDisconnected;
            }
        }
    }

    /// Records that the engines of a path hold the prompt of the request, since an event arrived. `events`
    /// is the number of those before it.
    fn record_held(
        &self,
        chosen: &ChosenPath,
        holding: &mut Option<HoldingGuard>,
        events: u32,
        now: Instant,
    ) {
        let (Some(held_prompts), Some(engine)) = (&self.gateway.held_prompts, self.engine) else {
            return;
        };
        match holding {
            Some(holding) => holding.confirm(now),
            None => {
                let demand = paths::demand(self.request, engine);
                let rest = held_prompts::expected_rest(engine, &demand, &chosen.path, events);
                *holding = held_prompts.begin(self.request.metadata, &chosen.hops, rest, now);
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
            let mut out = Chunks::default();
            out.push(&begun.event_decoder.take_rest());
            if caller.write_all(out.as_bytes()).await.is_err() {
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
