//! The gate before a request's first send: whether it is sent now, waits or is refused.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    engine_model::EngineProfile,
    urgency::{
        self, Rank,
        level::UPDATE_INTERVAL,
        waiting::{
            Entry,
            Ticket, //
        },
    },
};
use tokio::time::{
    Instant,
    sleep_until, //
};

use crate::{
    answer::{
        ErrorReason,
        ErrorResponse, //
    },
    exchange::{
        RequestContext,
        RequestTrace, //
    },
    gateway::Gateway,
    http1::Connection,
    paths::{
        self,
        ChosenPath,
        PriorAttempts, //
    },
    plain::READ_AHEAD_LIMIT_BYTES,
    trial_place,
};

use super::{
    Admission,
    idle_first_event_ms,
    record_no_capacity,
    retry_after, //
};

/// Interval at which a waiting request looks for capacity, besides when something has changed.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time between two searches for a path that failed. A relay hears hundreds of digests a
/// second, and a search takes much of a small host's processor time.
const SEARCH_INTERVAL_MIN: Duration = Duration::from_millis(10);
/// Shortest wait that is worth it: one look for capacity.
const WAIT_MIN: Duration = Duration::from_millis(20);

/// What becomes of a request before its first send.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// It is sent along a path that was found.
    Admitted(ChosenPath),
    /// The gate doesn't decide.
    Passed,
    /// It is refused.
    Refused(ErrorResponse),
    /// The caller closed the connection.
    CallerDisconnected,
}

/// Decides whether a request is sent now, waits or is refused, before its first send. Requests that
/// resume a running stream are counted, and pass.
pub(crate) async fn pass(
    gateway: &Gateway,
    caller: &mut Connection,
    request: &RequestContext<'_>,
    engine: &EngineProfile,
    trace: &mut RequestTrace,
) -> Verdict {
    let Some(rank) = request.rank else {
        return Verdict::Passed;
    };
    let admission = gateway.urgency.of_service(gateway, request.service_id);
    let tokens = paths::demand(request, engine).memory_tokens();
    (admission.demand.borrow_mut()).record(rank, tokens, gateway.uptime());
    if request.metadata.resume_point.event_id().is_some() {
        return Verdict::Passed;
    }
    let gate = Gate {
        gateway,
        request,
        engine,
        admission,
        rank,
        tokens,
        draw: match request.metadata.id.is_empty() {
            true => gateway.random_unit(),
            false => urgency::draw(&request.metadata.id),
        },
    };
    if let Some(chosen) = gate.search_first(trace) {
        return gate.admit(chosen, "admitted");
    }
    if trial_place::is_under_suspicion(gateway, request) {
        return Verdict::Passed;
    }
    record_no_capacity(gateway, request, trace);
    let started = Instant::now();
    let verdict = gate.wait(caller).await;
    trace.waited = started.elapsed();
    match verdict {
        WaitResult::Found(chosen) => gate.admit(chosen, "waited"),
        WaitResult::CallerDisconnected => Verdict::CallerDisconnected,
        WaitResult::GaveUp(reason) => {
            trace.record_failure(reason);
            let outcome = "refused";
            (gateway.metrics).record_admission(request.service_id, rank, outcome);
            Verdict::Refused(ErrorResponse::not_run(
                ErrorReason::Overloaded,
                Some(retry_after(gateway, request)),
            ))
        }
    }
}

/// How a wait for capacity ended.
enum WaitResult {
    Found(ChosenPath),
    CallerDisconnected,
    /// Holds the reason, for the log.
    GaveUp(&'static str),
}

/// A request at the gate.
struct Gate<'a> {
    gateway: &'a Gateway,
    request: &'a RequestContext<'a>,
    engine: &'a EngineProfile,
    admission: Rc<Admission>,
    rank: Rank,
    /// Memory that the request needs.
    tokens: f64,
    draw: f64,
}

impl Gate<'_> {
    fn attempts(&self) -> PriorAttempts<'static> {
        PriorAttempts {
            first_engines: &[],
            failed: &[],
            standing: trial_place::standing(self.gateway, self.request, false),
        }
    }

    /// Looks for a path when the request arrives, if it may be sent now. The engines are read once for
    /// the level and the search.
    fn search_first(&self, trace: &mut RequestTrace) -> Option<ChosenPath> {
        let attempts = self.attempts();
        let prepared = paths::prepare(self.gateway, self.request, self.engine, &attempts);
        if !self.admission.may_search(self.rank, self.draw) {
            let fraction = self.admission.level.borrow().fraction(self.rank);
            trace.record_failure(format!("rank {} at level {fraction:.2}", self.rank));
            return None;
        }
        let chosen = prepared.choose();
        if let Err(blocked) = &chosen {
            self.admission.failed_search.set(Some(Instant::now()));
            trace.record_failure(blocked.to_string());
        }
        chosen.ok()
    }

    /// Looks for a path while the request waits.
    fn search_again(&self) -> Option<ChosenPath> {
        let attempts = self.attempts();
        let chosen = paths::choose(self.gateway, self.request, self.engine, &attempts).ok();
        if chosen.is_none() {
            self.admission.failed_search.set(Some(Instant::now()));
        }
        chosen
    }

    fn admit(&self, chosen: ChosenPath, outcome: &'static str) -> Verdict {
        let first_event_ms = chosen.path.first_event_ms;
        (self.admission).record_first_event(self.request, self.engine, first_event_ms);
        (self.gateway.metrics).record_admission(self.request.service_id, self.rank, outcome);
        Verdict::Admitted(chosen)
    }

    /// Returns when the request must be sent at the latest to be on time.
    fn latest_start(&self) -> Instant {
        let idle_ms = idle_first_event_ms(self.request, self.engine);
        let predicted_ms = idle_ms * self.admission.first_event_ratio.get();
        let predicted = Duration::try_from_secs_f64(predicted_ms / 1e3).unwrap_or(Duration::MAX);
        let limit = urgency::wait_limit(self.request.route.latency_objective, predicted);
        (self.request.arrived + limit).min(self.request.deadline)
    }

    /// Waits until the request has a path, or can no longer be on time.
    async fn wait(&self, caller: &mut Connection) -> WaitResult {
        let admission = &self.admission;
        let latest_start = self.latest_start();
        let left = latest_start.saturating_duration_since(Instant::now());
        if left < WAIT_MIN || !admission.expects_capacity(self.rank, self.draw, self.tokens, left) {
            return WaitResult::GaveUp("no capacity expected in time");
        }
        let mut place = Place::new(self);
        if !admission.level.borrow().admits(self.rank, self.draw) && !place.hold() {
            return WaitResult::GaveUp("too many requests wait");
        }
        let mut refresh_at = Instant::now() + UPDATE_INTERVAL;
        loop {
            let changed = admission.changed.notified();
            if place.is_given_up() {
                return WaitResult::GaveUp("too many requests wait");
            }
            let is_due = admission.level.borrow().is_due(self.gateway.uptime());
            if is_due && Instant::now() >= refresh_at {
                // Reads the engines, from which the level follows unless all digests are too old.
                refresh_at = Instant::now() + UPDATE_INTERVAL;
                let attempts = self.attempts();
                paths::prepare(self.gateway, self.request, self.engine, &attempts);
            }
            if !place.is_queued() && admission.level.borrow().admits(self.rank, self.draw) {
                place.queue(latest_start);
            }
            let is_searched = admission
                .failed_search
                .get()
                .is_some_and(|at| at.elapsed() < SEARCH_INTERVAL_MIN);
            if place.is_next()
                && !is_searched
                && let Some(chosen) = self.search_again()
            {
                place.leave_served();
                return WaitResult::Found(chosen);
            }
            let poll_at = (Instant::now() + WAIT_POLL_INTERVAL).min(latest_start);
            tokio::select! {
                biased;
                () = caller.closed_by_peer(READ_AHEAD_LIMIT_BYTES) => return WaitResult::CallerDisconnected,
                () = changed => {}
                () = sleep_until(poll_at) => {}
            }
            if Instant::now() >= latest_start {
                return WaitResult::GaveUp("no capacity in time");
            }
        }
    }
}

/// The place of a waiting request, which it gives up when this is dropped.
struct Place<'a> {
    gate: &'a Gate<'a>,
    /// Whether the request waits for the level to admit it.
    is_held: bool,
    ticket: Option<Ticket>,
    is_given_up: Rc<Cell<bool>>,
}

impl<'a> Place<'a> {
    fn new(gate: &'a Gate<'a>) -> Self {
        Self {
            gate,
            is_held: false,
            ticket: None,
            is_given_up: Rc::default(),
        }
    }

    /// Lets the request wait for the level to admit it. Returns `false` if too many do.
    fn hold(&mut self) -> bool {
        let admission = &self.gate.admission;
        let (requests, bytes) = admission.held.get();
        let held = (requests + 1, bytes + self.gate.request.body.len());
        if held.0 > admission.bounds.requests || held.1 > admission.bounds.bytes {
            return false;
        }
        admission.held.set(held);
        self.is_held = true;
        self.show();
        true
    }

    /// Moves the request into the queue for capacity.
    fn queue(&mut self, latest_start: Instant) {
        self.end_hold();
        let (gate, admission) = (self.gate, &self.gate.admission);
        let entry = Entry {
            rank: gate.rank,
            team: gate.request.team.clone().unwrap_or_default(),
            tokens: gate.tokens as u64,
            bytes: gate.request.body.len(),
            latest_start: latest_start.into_std(),
        };
        let pushed = (admission.queue.borrow_mut()).push(entry, Rc::clone(&self.is_given_up));
        match pushed {
            Some((ticket, given_up)) => {
                self.ticket = Some(ticket);
                self.show();
                if !given_up.is_empty() {
                    for waiter in given_up {
                        waiter.set(true);
                    }
                    admission.changed.notify_waiters();
                }
            }
            None => self.is_given_up.set(true),
        }
    }

    fn is_queued(&self) -> bool {
        self.ticket.is_some()
    }

    fn is_given_up(&self) -> bool {
        self.is_given_up.get()
    }

    fn is_next(&self) -> bool {
        let queue = self.gate.admission.queue.borrow();
        self.ticket
            .as_ref()
            .is_some_and(|ticket| queue.is_next(ticket))
    }

    /// Leaves the queue as its first request, which is sent now.
    fn leave_served(&mut self) {
        self.ticket = None;
        self.gate.admission.queue.borrow_mut().pop();
    }

    fn end_hold(&mut self) {
        if std::mem::take(&mut self.is_held) {
            let held = &self.gate.admission.held;
            let (requests, bytes) = held.get();
            held.set((requests - 1, bytes - self.gate.request.body.len()));
        }
    }

    fn show(&self) {
        let gate = self.gate;
        (gate.gateway.metrics).set_waiting(gate.request.service_id, gate.admission.waiting_count());
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.end_hold();
        if let Some(ticket) = &self.ticket {
            self.gate.admission.queue.borrow_mut().cancel(ticket);
        }
        self.show();
        self.gate.admission.changed.notify_waiters();
    }
}
