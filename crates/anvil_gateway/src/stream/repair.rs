//! Repairs a stalled stream: finds the engine that it waits for, and moves the stream to a path
//! without that engine.

use std::{
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    engine_model::EngineProfile,
    entry::RequestSemantics,
    quarantine::Progress,
    retry::window::Need,
    stall, //
};
use tokio::time::Instant;

use crate::{
    exchange::RequestTrace,
    faults::{
        self,
        ProcessState, //
    },
    liveness,
    paths::{
        self,
        ChosenPath, //
    },
    port::{
        RepathOrder,
        RepathResponse, //
    },
    target::Target, //
};

use super::{
    PATH_RETRY_DELAY, Relay,
    attempt::{
        Attempt,
        Upstream, //
    },
};

#[cfg(test)]
mod tests;

/// Time without events after which the first engine is asked what the stream waits for, unless all
/// engines of its path make progress with some request. Its report tells of a stall after 300 ms.
const STALL_CHECK_DELAY: Duration = Duration::from_millis(320);
/// Time without events after which a target that is no engine is examined, and between two such checks.
/// Resuming takes a few hundred ms, and callers disconnect after two seconds without events.
const TARGET_CHECK_INTERVAL: Duration = Duration::from_millis(1100);
/// Time between two such queries. A report of an engine is a few hundred ms old, so that asking
/// more often tells little.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without events after which the request is sent again beside the first attempt. Callers disconnect after two
/// seconds without events, and resuming takes a few hundred ms.
const STALL_RESEND_DELAY: Duration = Duration::from_millis(1300);
/// Time from a repair until the request is sent again if no event arrives. The new engines first
/// have to run the prefill of its tokens.
const REPAIR_RESEND_DELAY: Duration = Duration::from_millis(600);
/// Longest time that the query and the orders of one repair may take. A disconnect of the caller
/// goes unnoticed meanwhile.
const REPAIR_TIMEOUT: Duration = Duration::from_millis(400);
/// Most paths that are ordered in one repair.
const REPAIR_ORDERS_MAX: u32 = 3;

/// Outcome of a silence, for the log, if there is no path for another send.
const NO_OTHER_PATH: &str = "kept: no other path";

/// A period without events, with the last check for its cause and the last repair.
#[derive(Clone, Copy, Debug)]
pub(super) struct StallTimer {
    /// When the period began: the last event, or the send.
    pub(super) started_at: Instant,
    /// Sum of the gaps in which this host had not run until then, or until the last postponement.
    lost_before: Duration,
    /// Time by which the period was postponed.
    postponed: Duration,
    /// When to probe the engines of the path; `None` if they are not to be probed, or were.
    probe_at: Option<Instant>,
    /// When the first engine was last asked for the cause; `None` before the first query.
    checked_at: Option<Instant>,
    /// When the stream was last repaired; `None` without a repair in this period.
    repaired_at: Option<Instant>,
    /// When it may be sent again after the request was, or could not be; `None` before that.
    resend_after: Option<Instant>,
    /// Why it was last not sent again; `None` if it never was due.
    denied: Option<&'static str>,
}

impl StallTimer {
    /// Starts a timer without checks and repairs. `lost_before` is the lost time of the host's
    /// [`RunClock`](crate::run_clock::RunClock).
    pub(super) fn start(started_at: Instant, lost_before: Duration) -> Self {
        Self {
            started_at,
            lost_before,
            postponed: Duration::ZERO,
            probe_at: None,
            checked_at: None,
            repaired_at: None,
            resend_after: None,
            denied: None,
        }
    }

    /// Starts a timer at an event of a stream. `longest_pause` is that of the stream so far.
    pub(super) fn start_at_event(
        event_at: Instant,
        lost_before: Duration,
        chosen: &ChosenPath,
        longest_pause: Duration,
    ) -> Self {
        let predicted_pause = Duration::from_secs_f64(chosen.path.pause_ms.max(0.0) / 1e3);
        let delay = stall::probe_delay(predicted_pause, longest_pause);
        Self {
            probe_at: delay.map(|delay| event_at + delay),
            ..Self::start(event_at, lost_before)
        }
    }

    /// Returns when to look for the cause next.
    fn next_check_at(&self) -> Instant {
        let report_at = match self.checked_at {
            None => self.started_at + STALL_CHECK_DELAY,
            Some(checked_at) => checked_at + STALL_CHECK_INTERVAL,
        };
        self.probe_at.map_or(report_at, |at| at.min(report_at))
    }

    /// Returns when to send the request again beside this attempt.
    fn resend_at(&self) -> Instant {
        let after_repair = self.repaired_at.map(|at| at + REPAIR_RESEND_DELAY);
        let after_stall = self.started_at + STALL_RESEND_DELAY;
        [after_repair, self.resend_after]
            .into_iter()
            .flatten()
            .fold(after_stall, Instant::max)
    }

    /// Allows to send the request again as soon as there is a path.
    pub(super) fn allow_resend(&mut self) {
        self.resend_after = Some(Instant::now() + PATH_RETRY_DELAY);
    }

    /// Postpones all that is due by the time in which this host did not run since the period began.
    /// `lost` is the lost time of the host's clock now. Returns whether there was such a time.
    fn postpone(&mut self, lost: Duration) -> bool {
        let by = lost.saturating_sub(self.lost_before);
        self.lost_before = lost;
        self.postponed += by;
        self.started_at += by;
        let later = |at: &mut Option<Instant>| *at = at.map(|at| at + by);
        later(&mut self.probe_at);
        later(&mut self.checked_at);
        later(&mut self.repaired_at);
        later(&mut self.resend_after);
        !by.is_zero()
    }
}

/// What to do after a stall check.
pub(super) enum StallAction {
    /// Keep waiting for events on the current path.
    KeepWaiting,
    /// Send the request again on the path that was reserved, beside the current attempt.
    Resend,
}

impl Relay<'_> {
    /// Waits until the cause of a stall must be checked, or the request must be sent again.
    pub(super) async fn wait_for_stall(&self, chosen: &ChosenPath, stall_timer: &mut StallTimer) {
        loop {
            self.wait_for_check(chosen, stall_timer).await;
            // What came while this host did not run has to be read first.
            if !stall_timer.postpone(self.gateway.run_clock.lost_time()) {
                return;
            }
        }
    }

    async fn wait_for_check(&self, chosen: &ChosenPath, stall_timer: &StallTimer) {
        if self.engine.is_none() {
            let since = stall_timer.checked_at.unwrap_or(stall_timer.started_at);
            return tokio::time::sleep_until(since + TARGET_CHECK_INTERVAL).await;
        }
        let mut check_at = stall_timer.next_check_at();
        loop {
            tokio::time::sleep_until(check_at.min(stall_timer.resend_at())).await;
            if stall_timer.probe_at.is_some() {
                return;
            }
            // If all engines make progress, they are slow and none is lost.
            if !chosen.are_all_live() || Instant::now() >= stall_timer.resend_at() {
                return;
            }
            check_at = Instant::now() + STALL_CHECK_INTERVAL;
        }
    }

    /// Finds the engine that a stalled stream waits for, by a probe of its path first and by the first
    /// engine's report later, and moves the stream to a path without it.
    /// The engines that still work keep the memory of the stream, and the request isn't sent again.
    /// Returns [`StallAction::Resend`] if a resumable stream has stalled so long that its request is to
    /// be sent again, and it may be.
    pub(super) async fn repair(
        &mut self,
        attempt: &mut Attempt,
        upstream: &mut Upstream,
        trace: &mut RequestTrace,
    ) -> StallAction {
        let is_resumable = self.request.route.semantics == RequestSemantics::ResumableStream;
        let Some(engine) = self.engine else {
            return self
                .check_target(attempt, upstream, is_resumable, trace)
                .await;
        };
        // An engine of the path may be lost, or may have preempted the request and freed its memory.
        upstream.holding = None;
        let stall_timer = &mut upstream.stall_timer;
        if is_resumable && Instant::now() >= stall_timer.resend_at() {
            return self.resend(attempt, upstream, "silence", trace).await;
        }
        let chosen = &mut attempt.chosen;
        let is_probe = stall_timer.probe_at.take().is_some();
        let clock = &self.gateway.run_clock;
        let result = match is_probe {
            true => match self.probe(chosen, stall_timer.started_at).await {
                Some(lost)
                    if is_resumable && lost.iter().any(|lost| Rc::ptr_eq(lost, chosen.first())) =>
                {
                    return self.resend(attempt, upstream, "probe", trace).await;
                }
                Some(lost) => {
                    let order = self.order_path(engine, chosen, lost);
                    clock.timeout(REPAIR_TIMEOUT, order).await
                }
                None => return StallAction::KeepWaiting,
            },
            false => {
                stall_timer.checked_at = Some(Instant::now());
                let order = self.order_repair(engine, chosen);
                clock.timeout(REPAIR_TIMEOUT, order).await
            }
        };
        let outcome = match result {
            Ok(Ok(Some(repaired))) => {
                trace
                    .via
                    .push(format!("repaired {}", repaired.to_log_string()));
                upstream.in_flight = repaired.begin_requests(self.engine, self.request);
                *chosen = repaired;
                stall_timer.repaired_at = Some(Instant::now());
                "repaired"
            }
            Ok(Ok(None)) => "nothing lost",
            Ok(Err(failure)) => failure,
            Err(_) => {
                // The first engine itself did not answer in time. It may be late as the stream is.
                let first = chosen.first();
                match faults::check_state(self.gateway, first).await {
                    ProcessState::Alive => first.record_slower(Instant::now()),
                    ProcessState::Ended | ProcessState::Unreachable => {
                        first.record_unresponsive(Instant::now());
                    }
                }
                "first engine is silent"
            }
        };
        let evidence = if is_probe { "probe" } else { "report" };
        self.log_silence(chosen.first(), stall_timer, evidence, outcome);
        self.gateway.metrics.record_repair(outcome);
        StallAction::KeepWaiting
    }

    /// Decides whether the request of a silent attempt is sent again beside it, and reserves the path and
    /// the retry if so. The attempt goes on in either case. A decision against it is only logged when its
    /// reason is new.
    async fn resend(
        &mut self,
        attempt: &Attempt,
        upstream: &mut Upstream,
        evidence: &str,
        trace: &RequestTrace,
    ) -> StallAction {
        let silent_since = upstream.stall_timer.started_at;
        if upstream.acquired.is_reused && attempt.progress.early() == Some(Progress::Unanswered) {
            // The connection may be silent instead of the engine, and the kept ones with it.
            let first = attempt.chosen.first();
            first.pool.doubt(&first.id);
        }
        for silent in faults::silent_engines(&attempt.chosen, silent_since) {
            if !self.failed.iter().any(|other| Rc::ptr_eq(other, silent)) {
                self.failed.push(Rc::clone(silent));
            }
        }
        let first = attempt.chosen.first();
        let chosen = self.choose_beside(Some(attempt), trace).await;
        let reserved = match chosen {
            Ok(_) if upstream.acquired.connection.has_arrived() => Err("kept: goes on"),
            Ok(chosen) => self.reserve(chosen, trace),
            Err(reason) => Err(reason),
        };
        let stall_timer = &mut upstream.stall_timer;
        match reserved {
            Ok(reserved) => {
                self.reserved = Some(reserved);
                stall_timer.resend_after = Some(Instant::now() + STALL_RESEND_DELAY);
                self.log_silence(first, stall_timer, evidence, "sent again");
                StallAction::Resend
            }
            Err(reason) => {
                let delay = match reason {
                    NO_OTHER_PATH => PATH_RETRY_DELAY,
                    _ => STALL_CHECK_INTERVAL,
                };
                stall_timer.resend_after = Some(Instant::now() + delay);
                if stall_timer.denied.replace(reason) != Some(reason) {
                    self.log_silence(first, stall_timer, evidence, reason);
                }
                StallAction::KeepWaiting
            }
        }
    }

    /// Chooses a path for another send beside the silent attempts that are kept and the current one. All
    /// its targets read what is sent to them.
    ///
    /// # Errors
    ///
    /// Returns a text for the log if no other send may be made, or none has a better chance.
    async fn choose_beside(
        &self,
        current: Option<&Attempt>,
        trace: &RequestTrace,
    ) -> Result<ChosenPath, &'static str> {
        if self.has_unnumbered_bytes {
            return Err("kept: not resumable");
        }
        if trace.sends - trace.refused_sends >= self.request.route.attempts_max {
            return Err("kept: as many sends as the route allows");
        }
        let chosen = self.choose().map_err(|_| NO_OTHER_PATH)?;
        // A second run of a request beside the first one at the same engine gains nothing, unless the
        // connection is silent.
        let is_at_work = |attempt: &Attempt| {
            Rc::ptr_eq(attempt.chosen.first(), chosen.first())
                && attempt.progress.early() != Some(Progress::Unanswered)
        };
        let kept = self.kept.iter().map(|kept| &kept.attempt);
        if kept.chain(current).any(is_at_work) {
            return Err(NO_OTHER_PATH);
        }
        match liveness::is_path_read(self.gateway, self.request, &chosen).await {
            true => Ok(chosen),
            false => Err("kept: the other path is silent as well"),
        }
    }

    /// Takes a retry from the budget for a chosen path.
    ///
    /// # Errors
    ///
    /// Returns a text for the log if the budget allows none.
    fn reserve(
        &self,
        chosen: ChosenPath,
        trace: &RequestTrace,
    ) -> Result<ChosenPath, &'static str> {
        let first = chosen.first();
        match (self.gateway).try_retry(self.request, trace, Some(first), Need::Hedge) {
            true => Ok(chosen),
            false => Err("kept: retry budget exhausted"),
        }
    }

    /// Chooses a path for another send after the latest one failed beside silent attempts, and takes a
    /// retry from the budget.
    ///
    /// # Errors
    ///
    /// Returns a text for the log if no other send may be made, or none has a better chance.
    pub(super) async fn reserve_path(
        &self,
        trace: &RequestTrace,
    ) -> Result<ChosenPath, &'static str> {
        let chosen = self.choose_beside(None, trace).await?;
        self.reserve(chosen, trace)
    }

    /// Logs what was found about a silent stream, with what else is silent.
    fn log_silence(&self, first: &Target, stall_timer: &StallTimer, evidence: &str, outcome: &str) {
        let gateway = self.gateway;
        let extent =
            faults::silence_extent(gateway, self.request.service_id, stall_timer.started_at);
        spdlog::info!("stream.silent", kv: {
            request = self.request.metadata.id.as_str(),
            first = first.id.as_str(),
            silent_ms = stall_timer.started_at.elapsed().as_millis() as u64,
            host_late_ms = stall_timer.postponed.as_millis() as u64,
            engines_in_use = extent.in_use,
            engines_silent = extent.silent,
            evidence,
            outcome,
        });
    }

    /// Examines a target that is no engine and whose stream is silent. The stream is sent again only where
    /// another target has a better chance: this one has ended, or it has not even begun its answer on a
    /// connection that may have gone silent. A pause alone says nothing.
    async fn check_target(
        &mut self,
        attempt: &Attempt,
        upstream: &mut Upstream,
        is_resumable: bool,
        trace: &RequestTrace,
    ) -> StallAction {
        let target = attempt.chosen.first();
        let check = faults::check_state(self.gateway, target);
        let state = (self.gateway.run_clock)
            .timeout(REPAIR_TIMEOUT, check)
            .await
            .unwrap_or(ProcessState::Unreachable);
        let stall_timer = &mut upstream.stall_timer;
        stall_timer.checked_at = Some(Instant::now());
        let is_unanswered = attempt.progress.early() == Some(Progress::Unanswered);
        let is_lost = state != ProcessState::Alive;
        if is_lost {
            target.record_failure(Instant::now());
        }
        if is_resumable && (is_lost || is_unanswered) {
            return self.resend(attempt, upstream, state.as_str(), trace).await;
        }
        self.log_silence(target, stall_timer, state.as_str(), "kept");
        StallAction::KeepWaiting
    }

    /// Probes the engines of a path whose stream is silent. Returns those that are lost, or `None` if
    /// none is.
    async fn probe(&self, chosen: &ChosenPath, silent_since: Instant) -> Option<Vec<Rc<Target>>> {
        let evidence = faults::probe_path(self.gateway, chosen, silent_since).await;
        let lost: Vec<Rc<Target>> = stall::lost_engines(&evidence)
            .into_iter()
            .map(|index| Rc::clone(&chosen.hops[index].target))
            .collect();
        let now = Instant::now();
        let is_new = |target: &&Rc<Target>| !target.is_avoided(now);
        if lost.iter().any(|target| is_new(&target)) {
            // The streams of the other hosts wait for the same engines.
            self.gateway.urgent_change.notify_one();
        }
        for target in lost.iter().filter(is_new) {
            spdlog::info!("target.lost", kv: {
                target = target.id.as_str(),
                request = self.request.metadata.id.as_str(),
                silent_ms = now.duration_since(silent_since).as_millis() as u64,
            });
            target.record_unresponsive(now);
        }
        (!lost.is_empty()).then_some(lost)
    }

    /// Asks the first engine what the stream waits for, and orders a path without that engine.
    /// Returns the new path, or `None` if the stream waits for no engine of its path.
    ///
    /// # Errors
    ///
    /// Returns a text for the log and the metrics if no path could be ordered.
    async fn order_repair(
        &self,
        engine: &EngineProfile,
        chosen: &ChosenPath,
    ) -> Result<Option<ChosenPath>, &'static str> {
        let orders = &self.gateway.platform.orders;
        let first = chosen.first();
        let report = orders
            .report(&first.id, first.address())
            .await
            .map_err(|error| {
                spdlog::warn!("stream.state_unknown", kv: {
                    request = self.request.metadata.id.as_str(),
                    first = first.id.as_str(),
                    error:,
                });
                "state of the first engine is unknown"
            })?;
        let mut lost: Vec<Rc<Target>> = Vec::new();
        for stalled in &report.stalled {
            if stalled.request == self.request.metadata.id
                && let Some(target) = chosen.target_at(stalled.waits_for)
            {
                lost.push(target);
            }
        }
        match lost.is_empty() {
            true => Ok(None),
            false => self.order_path(engine, chosen, lost).await,
        }
    }

    /// Orders a path without the lost engines.
    ///
    /// # Errors
    ///
    /// Returns a text for the log and the metrics if no path could be ordered.
    async fn order_path(
        &self,
        engine: &EngineProfile,
        chosen: &ChosenPath,
        mut lost: Vec<Rc<Target>>,
    ) -> Result<Option<ChosenPath>, &'static str> {
        let orders = &self.gateway.platform.orders;
        let first = chosen.first();
        for _ in 0..REPAIR_ORDERS_MAX {
            for target in &lost {
                target.record_unresponsive(Instant::now());
            }
            let repaired = paths::choose_repair(self.gateway, self.request, engine, chosen, &lost)
                .map_err(|_| "no path without the lost engine")?;
            let order = RepathOrder {
                target: &first.id,
                address: first.address(),
                request: &self.request.metadata.id,
                path: &repaired.stages(),
            };
            let response = orders.repath(&order).await.map_err(|error| {
                spdlog::warn!("stream.repair_unknown", kv: {
                    request = self.request.metadata.id.as_str(),
                    first = first.id.as_str(),
                    error:,
                });
                "order was not answered"
            })?;
            match response {
                RepathResponse::Begun => return Ok(Some(repaired)),
                RepathResponse::NoSuchRequest => return Err("first engine does not know it"),
                RepathResponse::Refused => return Err("order was refused"),
                RepathResponse::Conflict(at_fault) => {
                    match at_fault.and_then(|address| repaired.target_at(address)) {
                        Some(target) => lost.push(target),
                        None => return Err("an unknown engine does not fit"),
                    }
                }
            }
        }
        Err("no order was accepted")
    }
}
