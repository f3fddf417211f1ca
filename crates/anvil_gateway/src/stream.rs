//! Streams of model engines: sent once along a path, relayed event by event, and resumed on
//! another path where one fails.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    engine_model::EngineProfile,
    entry::RequestSemantics, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use repair::{
    Repaired,
    Silence, //
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
        Connection,
        ResponseHead, //
    },
    paths::{
        self,
        ChosenPath,
        PriorAttempts, //
    },
    plain::{
        READ_AHEAD_LIMIT_BYTES,
        is_response_to, //
    },
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

mod repair;

/// Longest time that a new connection to an engine may take: a few round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before a path is looked for again while a stream waits to be resumed.
const PATH_RETRY: Duration = Duration::from_millis(60);
/// Longest time for which a path is looked for while a stream waits to be resumed.
const RESUME_WAIT: Duration = Duration::from_millis(1500);
/// Sends of one request that may be refused without having run before it is given up.
const REFUSALS_MAX: u32 = 4;

/// How one send ended.
enum Sent {
    /// The stream came to its end.
    Complete,
    /// An engine refused it; it did not run. The engine at fault, where it was named.
    NotRun(&'static str, Option<SocketAddr>),
    /// It was not sent: the caller's key may have been taken away meanwhile.
    KeysOutdated,
    /// It failed; it may have run.
    Lost(&'static str),
    /// Nothing came for too long.
    Stalled,
    /// The engine answered with a status that is no success, for the caller.
    Failed(ResponseHead, Vec<u8>),
    /// The caller left.
    CallerDisconnected,
    /// The time of the request is up.
    TimeUp,
}

/// A stream on its way to the caller.
struct Relay<'a> {
    gateway: &'a Gateway,
    request: &'a RequestContext<'a>,
    engine: &'a EngineProfile,
    /// Whether the head went out.
    is_begun: bool,
    /// Last event that went out, or the one after which the caller wants the stream to go on.
    last_event: Option<EventId>,
    /// When the caller last got something.
    last_out: Instant,
    /// First engines that this request was sent to.
    used: Vec<Rc<Target>>,
    /// Engines that failed this request.
    failed: Vec<Rc<Target>>,
}

/// Serves a stream.
pub async fn serve(
    gateway: &Gateway,
    caller: &mut Connection,
    request: &RequestContext<'_>,
    engine: &EngineProfile,
    trace: &mut RequestTrace,
) -> RequestOutcome {
    let mut relay = Relay {
        gateway,
        request,
        engine,
        is_begun: false,
        last_event: request.metadata.resume_after,
        last_out: Instant::now(),
        used: Vec::new(),
        failed: Vec::new(),
    };
    relay.run(caller, trace).await
}

impl Relay<'_> {
    async fn run(&mut self, caller: &mut Connection, trace: &mut RequestTrace) -> RequestOutcome {
        let resumable = self.request.route.semantics == RequestSemantics::ResumableStream;
        let mut refusals = 0;
        let mut may_have_run = false;
        let mut without_path_since: Option<Instant> = None;
        loop {
            if Instant::now() >= self.request.deadline {
                return self.give_up(ErrorReason::Timeout, may_have_run, "timeout");
            }
            let chosen = paths::choose(
                self.gateway,
                self.request,
                self.engine,
                &PriorAttempts {
                    used: &self.used,
                    failed: &self.failed,
                },
            );
            let chosen = match chosen {
                Ok(chosen) => chosen,
                Err(blocked) => {
                    trace.record_failure(blocked.to_string());
                    let since = *without_path_since.get_or_insert_with(Instant::now);
                    if !may_have_run || since.elapsed() > RESUME_WAIT {
                        return self.give_up(ErrorReason::Overloaded, may_have_run, "no path");
                    }
                    tokio::select! {
                        biased;
                        () = caller.closed_by_peer(READ_AHEAD_LIMIT_BYTES) => return RequestOutcome::CallerDisconnected,
                        () = tokio::time::sleep(PATH_RETRY) => {}
                    }
                    continue;
                }
            };
            without_path_since = None;
            if trace.sends == 0 {
                trace.predicted_first_ms = chosen.path.first_event_ms;
                trace.predicted_pause_ms = chosen.path.pause_ms;
            }
            let mut chosen = chosen;
            let sent = self.send(caller, &mut chosen, trace).await;
            let what = match sent {
                Sent::Complete => return self.finish(caller).await,
                Sent::CallerDisconnected => return RequestOutcome::CallerDisconnected,
                Sent::TimeUp => return self.give_up(ErrorReason::Timeout, true, "timeout"),
                Sent::KeysOutdated => {
                    return self.give_up(ErrorReason::Stale, may_have_run, "keys may be outdated");
                }
                Sent::Failed(head, body) => {
                    return self.pass_failure(caller, &head, &body).await;
                }
                Sent::NotRun(what, at_fault) => {
                    let fault =
                        faults::record_refusal(self.gateway, self.engine, &chosen, at_fault);
                    trace.record_failure(format!("{what}, by {}", fault.id));
                    self.failed.push(fault);
                    refusals += 1;
                    if refusals >= REFUSALS_MAX {
                        return self.give_up(ErrorReason::Overloaded, may_have_run, what);
                    }
                    what
                }
                Sent::Lost(what) => {
                    may_have_run = true;
                    // A part of the path failed; which one, the next sends tell.
                    self.failed.push(Rc::clone(chosen.first()));
                    what
                }
                Sent::Stalled => {
                    may_have_run = true;
                    faults::record_stall(&chosen);
                    "stalled"
                }
            };
            trace.record_failure(format!("{}: {what}", chosen.first().id));
            if may_have_run && !resumable {
                return self.give_up(ErrorReason::AnswerLost, true, what);
            }
            if trace.sends > 0 && !self.gateway.try_retry(self.request.service_id) {
                trace.record_failure("no retry left");
                return self.give_up(ErrorReason::Overloaded, may_have_run, what);
            }
        }
    }

    fn give_up(
        &self,
        reason: ErrorReason,
        may_have_run: bool,
        what: &'static str,
    ) -> RequestOutcome {
        if self.is_begun {
            return RequestOutcome::Aborted { reason: what };
        }
        if may_have_run {
            return RequestOutcome::Error(ErrorResponse::unknown(reason));
        }
        let retry_after = paths::retry_after(self.gateway);
        RequestOutcome::Error(ErrorResponse::not_run(reason, Some(retry_after)))
    }

    async fn finish(&mut self, caller: &mut Connection) -> RequestOutcome {
        match caller.write_all(b"0\r\n\r\n").await {
            Ok(()) => RequestOutcome::Answered { status: 200 },
            Err(_) => RequestOutcome::CallerDisconnected,
        }
    }

    async fn pass_failure(
        &mut self,
        caller: &mut Connection,
        head: &ResponseHead,
        body: &[u8],
    ) -> RequestOutcome {
        if self.is_begun {
            return RequestOutcome::Aborted {
                reason: "engine refused to resume",
            };
        }
        let mut out = render_head(
            head,
            RelayedBody::Length(body.len()),
            self.request.keep_alive,
        );
        out.extend_from_slice(body);
        match caller.write_all(&out).await {
            Ok(()) => RequestOutcome::Answered {
                status: head.status,
            },
            Err(_) => RequestOutcome::CallerDisconnected,
        }
    }

    /// Sends the request along one path and relays what comes.
    async fn send(
        &mut self,
        caller: &mut Connection,
        chosen: &mut ChosenPath,
        trace: &mut RequestTrace,
    ) -> Sent {
        let gateway = self.gateway;
        let first = &Rc::clone(chosen.first());
        let mut flights = chosen.begin(self.engine, self.request);
        let limit = CONNECT_TIMEOUT.min(self.left());
        let mut taken = match first.pool.acquire(first.address(), limit).await {
            Ok(taken) => taken,
            Err(error) => {
                first.record_unresponsive(Instant::now());
                trace.record_failure(error.to_string());
                return Sent::NotRun("no connection", Some(first.address()));
            }
        };
        if !first.is_listed_ready() {
            return Sent::NotRun("engine is leaving", None);
        }
        // A request that was accepted and has run goes on under the key that it came with.
        if trace.sends == 0 && self.request.team.is_some() && are_keys_stale(gateway) {
            return Sent::KeysOutdated;
        }
        let stages: Vec<Stage> = chosen.stages();
        let forwarding = Forwarding {
            budget: self.left(),
            target: &first.id,
            team: self.request.team.as_ref(),
            path: &stages,
            resume_after: self.last_event,
        };
        let mut out = Vec::with_capacity(1024 + self.request.body.len());
        gateway.platform.header_codec.write_forwarded(
            self.request.head,
            self.request.body.len(),
            &forwarding,
            &mut out,
        );
        out.extend_from_slice(&self.request.body);
        trace.sends += 1;
        trace.via.push(chosen.to_log_string());
        if !self.used.iter().any(|used| Rc::ptr_eq(used, first)) {
            self.used.push(Rc::clone(first));
        }
        let sent_at = Instant::now();
        if taken.connection.write_all(&out).await.is_err() {
            first.record_failure(Instant::now());
            return Sent::Lost("connection failed while sending");
        }
        let upstream = &mut taken.connection;
        let mut silence = Silence::since(sent_at);
        let (head, metadata) = loop {
            let head = tokio::select! {
                biased;
                head = timeout_at(self.request.deadline, upstream.read_response()) => head,
                () = caller.closed_by_peer(READ_AHEAD_LIMIT_BYTES) => return Sent::CallerDisconnected,
                () = self.silent(chosen, &silence) => {
                    match self.repair(chosen, &mut flights, &mut silence, trace).await {
                        Repaired::Waiting => continue,
                        Repaired::GivenUp => return Sent::Stalled,
                    }
                }
            };
            let head = match head {
                Err(_) => return Sent::TimeUp,
                Ok(Err(_)) => {
                    first.record_failure(Instant::now());
                    return Sent::Lost("connection ended before the answer");
                }
                Ok(Ok(head)) => head,
            };
            let metadata = gateway.platform.header_codec.parse_response(&head);
            if is_response_to(&metadata, &self.request.metadata.id) {
                break (head, metadata);
            }
            spdlog::warn!("answer.crossed", kv: {
                request = self.request.metadata.id.as_str(),
                answers = metadata.id.as_deref().unwrap_or_default(),
            });
            let mut decoder = BodyDecoder::new(head.framing);
            // A crossed answer is short, or it is not worth the wait.
            const CROSSED_LIMIT_BYTES: usize = 64 << 10;
            const CROSSED_WAIT: Duration = Duration::from_millis(300);
            let skipped = tokio::time::timeout(
                CROSSED_WAIT,
                upstream.read_whole_body(&mut decoder, CROSSED_LIMIT_BYTES),
            )
            .await;
            if !matches!(skipped, Ok(Ok(Some(_)))) {
                return Sent::Lost("crossed answer");
            }
        };
        if !(200..300).contains(&head.status) {
            return self
                .refused(taken.connection, first, &head, &metadata)
                .await;
        }
        if !metadata.is_sealed {
            return Sent::Lost("unsealed answer");
        }
        if !self.is_begun {
            let out = render_head(&head, RelayedBody::Chunked, self.request.keep_alive);
            if caller.write_all(&out).await.is_err() {
                return Sent::CallerDisconnected;
            }
            self.is_begun = true;
        }
        let mut decoder = BodyDecoder::new(head.framing);
        let sent = self
            .relay(
                caller,
                upstream,
                &mut decoder,
                (chosen, &mut flights),
                silence,
                trace,
            )
            .await;
        if matches!(sent, Sent::Complete) && head.keep_alive {
            first.pool.release(taken.connection, metadata.idle_timeout);
        }
        sent
    }

    async fn refused(
        &self,
        mut upstream: Connection,
        first: &Rc<Target>,
        head: &ResponseHead,
        metadata: &crate::port::ResponseMetadata,
    ) -> Sent {
        const REFUSAL_LIMIT_BYTES: usize = 64 << 10;
        let mut decoder = BodyDecoder::new(head.framing);
        let body = timeout_at(
            self.request.deadline,
            upstream.read_whole_body(&mut decoder, REFUSAL_LIMIT_BYTES),
        )
        .await;
        let whole = match body {
            Ok(Ok(Some(body))) => Some(body),
            _ => None,
        };
        if whole.is_some() && head.keep_alive {
            first.pool.release(upstream, metadata.idle_timeout);
        }
        if metadata.did_not_run {
            return Sent::NotRun("refused", metadata.at_fault);
        }
        match whole {
            Some(body) if metadata.is_sealed => Sent::Failed(head.clone(), body.to_vec()),
            _ => Sent::Lost("failure without a seal"),
        }
    }

    async fn relay(
        &mut self,
        caller: &mut Connection,
        upstream: &mut Connection,
        decoder: &mut BodyDecoder,
        (chosen, flights): (&mut ChosenPath, &mut Vec<InFlightGuard>),
        mut silence: Silence,
        trace: &mut RequestTrace,
    ) -> Sent {
        let mut splitter = EventDecoder::default();
        let mut is_first = true;
        let mut out = Vec::new();
        loop {
            let piece = tokio::select! {
                biased;
                piece = timeout_at(self.request.deadline, upstream.read_body(decoder)) => piece,
                () = caller.closed_by_peer(READ_AHEAD_LIMIT_BYTES) => return Sent::CallerDisconnected,
                () = self.silent(chosen, &silence) => {
                    match self.repair(chosen, flights, &mut silence, trace).await {
                        Repaired::Waiting => continue,
                        Repaired::GivenUp => return Sent::Stalled,
                    }
                }
            };
            let piece = match piece {
                Err(_) => return Sent::TimeUp,
                Ok(Err(_)) => return Sent::Lost("stream broke off"),
                Ok(Ok(None)) if splitter.has_partial_event() => return Sent::Lost("torn event"),
                Ok(Ok(None)) => return Sent::Complete,
                Ok(Ok(Some(piece))) => piece,
            };
            if splitter.push(&piece).is_err() {
                return Sent::Lost("event is too large");
            }
            let now = Instant::now();
            out.clear();
            let mut events = 0;
            while let Some(event) = splitter.take_event() {
                // A resumed stream must go on after the last event that went out.
                if let (Some(id), Some(last)) = (event.id, self.last_event)
                    && id <= last
                {
                    continue;
                }
                if let Some(id) = event.id {
                    self.last_event = Some(id);
                }
                events += 1;
                push_chunk(&mut out, &event.bytes);
            }
            if events == 0 {
                continue;
            }
            chosen.record_progress(now, silence.since, is_first);
            if !is_first {
                let pause = now.duration_since(silence.since);
                faults::query_slow_engine(self.gateway, chosen, pause);
            }
            if trace.events == 0 {
                trace.first_ms = self.request.arrived.elapsed().as_millis() as u64;
            } else {
                let pause = now.duration_since(self.last_out).as_millis() as u64;
                trace.longest_pause_ms = trace.longest_pause_ms.max(pause);
            }
            trace.events += events;
            is_first = false;
            silence = Silence::since(now);
            self.last_out = now;
            if caller.write_all(&out).await.is_err() {
                return Sent::CallerDisconnected;
            }
        }
    }

    fn left(&self) -> Duration {
        self.request
            .deadline
            .saturating_duration_since(Instant::now())
    }
}

fn push_chunk(out: &mut Vec<u8>, data: &[u8]) {
    use std::io::Write;
    write!(out, "{:x}\r\n", data.len()).expect("a Vec takes all that is written");
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Counts a request on every engine of its path until they are dropped.
impl ChosenPath {
    fn begin(&self, engine: &EngineProfile, request: &RequestContext<'_>) -> Vec<InFlightGuard> {
        let tokens = paths::demand(request, engine).memory_tokens();
        self.hops
            .iter()
            .enumerate()
            .map(|(index, hop)| {
                let token_layers = tokens * f64::from(hop.layers.count());
                InFlightGuard::begin(&hop.target, token_layers, index == 0)
            })
            .collect()
    }
}
