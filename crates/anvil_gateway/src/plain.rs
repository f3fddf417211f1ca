//! Requests to services that are no model engines: one answer, read whole before it is passed on.

use std::{
    rc::Rc,
    time::Duration, //
};

use anvil_core::id::RequestId;
use bytes::Bytes;
use tokio::time::{
    Instant,
    timeout_at, //
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
    gateway::Gateway,
    http1::{
        BodyDecoder,
        Connection,
        ResponseHead, //
    },
    port::{
        Forwarding,
        ResponseMetadata, //
    },
    target::{
        InFlightGuard,
        Target, //
    }, //
};

/// Longest time that a new connection to a target may take: a few round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest answer that is read whole. Larger ones are not passed on.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;
/// Time after which a caller may return where no target could take its request.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Most of the spread on it, so that callers don't return together.
const RETRY_SPREAD: Duration = Duration::from_millis(150);
/// Bytes of a caller's next request that are kept while this one is served.
pub const READ_AHEAD_LIMIT_BYTES: usize = 64 << 10;
/// Price of a target in another data centre, in requests in flight.
const FAR_REQUESTS: f64 = 0.5;
/// Shortest time that a repeatable request waits for its first target.
const PATIENCE_MIN: Duration = Duration::from_millis(150);

/// What came of one send.
enum Sent {
    /// A target's answer, whole.
    Whole(ResponseHead, ResponseMetadata, Bytes),
    /// It provably did not run.
    NotRun(&'static str),
    /// It may have run.
    Lost(&'static str),
}

/// Serves a request.
pub async fn serve(
    gateway: &Gateway,
    connection: &mut Connection,
    request: &RequestContext<'_>,
    trace: &mut RequestTrace,
) -> RequestOutcome {
    let answered = tokio::select! {
        biased;
        answered = answer(gateway, request, trace) => answered,
        () = connection.closed_by_peer(READ_AHEAD_LIMIT_BYTES) => return RequestOutcome::CallerDisconnected,
    };
    match answered {
        Err(refusal) => RequestOutcome::Error(refusal),
        Ok((head, body)) => {
            let mut out = render_head(&head, RelayedBody::Length(body.len()), request.keep_alive);
            if request.head.method != "HEAD" {
                out.extend_from_slice(&body);
            }
            match connection.write_all(&out).await {
                Ok(()) => RequestOutcome::Answered {
                    status: head.status,
                },
                Err(_) => RequestOutcome::CallerDisconnected,
            }
        }
    }
}

async fn answer(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    trace: &mut RequestTrace,
) -> Result<(ResponseHead, Bytes), ErrorResponse> {
    let repeatable = request.route.semantics.is_repeatable();
    let mut tried: Vec<Rc<Target>> = Vec::new();
    let mut last_answer: Option<(ResponseHead, Bytes)> = None;
    let mut may_have_run = false;
    while trace.sends < request.route.attempts_max {
        let Some(target) = choose(gateway, request, &tried) else {
            break;
        };
        tried.push(Rc::clone(&target));
        let is_last = trace.sends + 1 >= request.route.attempts_max;
        let patience = match repeatable && !is_last {
            true => patience(request),
            false => request.deadline,
        };
        let _flight = InFlightGuard::begin(&target, 0.0, true);
        match send(gateway, request, &target, patience, trace).await {
            Sent::Whole(head, metadata, body) => {
                let is_failure = head.status >= 500;
                let is_success = (200..300).contains(&head.status);
                if metadata.is_sealed && !(is_failure && repeatable) {
                    target.record_progress(Instant::now());
                    trace.first_ms = request.arrived.elapsed().as_millis() as u64;
                    return Ok((head, body));
                }
                may_have_run = true;
                if metadata.is_sealed {
                    trace.record_failure(format!("{}: status {}", target.id, head.status));
                    last_answer = Some((head, body));
                } else {
                    // An answer that the target doesn't vouch for is not passed on.
                    trace.record_failure(format!("{}: unsealed status {}", target.id, head.status));
                    if is_success {
                        target.record_failure(Instant::now());
                    }
                }
            }
            Sent::NotRun(what) => trace.record_failure(format!("{}: {what}, not run", target.id)),
            Sent::Lost(what) => {
                trace.record_failure(format!("{}: {what}", target.id));
                may_have_run = true;
            }
        }
        if may_have_run && !repeatable {
            break;
        }
        if Instant::now() >= request.deadline || trace.sends >= request.route.attempts_max {
            break;
        }
        if trace.sends > 0 && !gateway.try_retry(request.service_id) {
            trace.record_failure("no retry left");
            break;
        }
    }
    if let Some(answer) = last_answer {
        return Ok(answer);
    }
    let is_late = Instant::now() >= request.deadline;
    if may_have_run {
        return Err(ErrorResponse::unknown(match is_late {
            true => ErrorReason::Timeout,
            false => ErrorReason::AnswerLost,
        }));
    }
    let retry_after = gateway.random_duration(RETRY_MIN, RETRY_MIN + RETRY_SPREAD);
    Err(ErrorResponse::not_run(
        ErrorReason::NoTarget,
        Some(retry_after),
    ))
}

/// When a repeatable request goes to another target: early enough for that one to answer in time.
fn patience(request: &RequestContext<'_>) -> Instant {
    let left = request.deadline.saturating_duration_since(Instant::now());
    let patience = request.route.latency_objective.max(PATIENCE_MIN);
    Instant::now() + patience.min(left / 2)
}

/// Chooses the target with the fewest requests of this host, near ones first.
fn choose(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    tried: &[Rc<Target>],
) -> Option<Rc<Target>> {
    let now = Instant::now();
    let candidates = gateway.targets.of_service(request.service_id);
    let price = |target: &Rc<Target>| {
        let far = target.entry.borrow().data_centre != gateway.settings.data_centre;
        let avoided = f64::from(u8::from(target.is_avoided(now)));
        // Avoided targets come last, but come: all may be avoided.
        avoided * 1e6
            + target.sequences.get()
            + if far { FAR_REQUESTS } else { 0.0 }
            + gateway.random_unit() * FAR_REQUESTS
    };
    candidates
        .into_iter()
        .filter(|target| target.is_listed_ready())
        .filter(|target| !tried.iter().any(|other| Rc::ptr_eq(other, target)))
        .map(|target| (price(&target), target))
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, target)| target)
}

/// Sends a request to one target and reads its answer whole.
async fn send(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    target: &Rc<Target>,
    until: Instant,
    trace: &mut RequestTrace,
) -> Sent {
    let limit = CONNECT_TIMEOUT.min(until.saturating_duration_since(Instant::now()));
    let taken = target.pool.acquire(target.address(), limit).await;
    let mut taken = match taken {
        Ok(taken) => taken,
        Err(error) => {
            target.record_failure(Instant::now());
            trace.record_failure(error.to_string());
            return Sent::NotRun("no connection");
        }
    };
    if !target.is_listed_ready() {
        return Sent::NotRun("target is leaving");
    }
    if request.team.is_some() && are_keys_stale(gateway) {
        return Sent::NotRun("keys may be outdated");
    }
    let forwarding = Forwarding {
        budget: request.deadline.saturating_duration_since(Instant::now()),
        target: &target.id,
        team: request.team.as_ref(),
        path: &[],
        resume_after: None,
    };
    let mut out = Vec::with_capacity(1024 + request.body.len());
    gateway.platform.header_codec.write_forwarded(
        request.head,
        request.body.len(),
        &forwarding,
        &mut out,
    );
    out.extend_from_slice(&request.body);
    trace.sends += 1;
    trace.via.push(target.id.to_string());
    match timeout_at(
        until,
        exchange(gateway, request, &mut taken.connection, &out),
    )
    .await
    {
        Err(_) => Sent::Lost("no answer in time"),
        Ok(Err(what)) => {
            if !taken.is_reused {
                target.record_failure(Instant::now());
            }
            Sent::Lost(what)
        }
        Ok(Ok((head, metadata, body))) => {
            if head.keep_alive {
                target.pool.release(taken.connection, metadata.idle_timeout);
            }
            if metadata.did_not_run {
                return Sent::NotRun("refused");
            }
            Sent::Whole(head, metadata, body)
        }
    }
}

/// Whether an answer belongs to a request. Refusals need not name the request.
pub fn is_response_to(metadata: &ResponseMetadata, id: &RequestId) -> bool {
    match &metadata.id {
        Some(named) => named == id,
        None => !metadata.is_sealed,
    }
}

async fn exchange(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    connection: &mut Connection,
    out: &[u8],
) -> Result<(ResponseHead, ResponseMetadata, Bytes), &'static str> {
    connection
        .write_all(out)
        .await
        .map_err(|_| "connection failed while sending")?;
    loop {
        let head = connection
            .read_response()
            .await
            .map_err(|_| "connection ended before the answer")?;
        let metadata = gateway.platform.header_codec.parse_response(&head);
        let mut decoder = match request.head.method.as_str() {
            "HEAD" => BodyDecoder::new(crate::http1::Framing::Length(0)),
            _ => BodyDecoder::new(head.framing),
        };
        let body = connection
            .read_whole_body(&mut decoder, ANSWER_LIMIT_BYTES)
            .await
            .map_err(|_| "answer broke off")?
            .ok_or("answer is too large")?;
        if is_response_to(&metadata, &request.metadata.id) {
            return Ok((head, metadata, body));
        }
        // A second answer to an earlier request; the one awaited follows it.
        spdlog::warn!("answer.crossed", kv: {
            request = request.metadata.id.as_str(),
            answers = metadata.id.as_deref().unwrap_or_default(),
        });
    }
}
