//! Repairs a stream that has gone silent: finds the engine that it waits for, and has it go on
//! without that one.

use std::{
    rc::Rc,
    time::Duration, //
};

use anvil_core::entry::RequestSemantics;
use tokio::time::Instant;

use crate::{
    exchange::RequestTrace,
    paths::{
        self,
        ChosenPath, //
    },
    port::{
        RepathOrder,
        RepathResponse, //
    },
    target::{
        InFlightGuard,
        Target, //
    },
};

use super::Relay;

#[cfg(test)]
mod tests;

/// Silence after which the first engine is asked what a stream waits for, if an engine of its path
/// shows no other progress.
const STALL_SUSPECT: Duration = Duration::from_millis(450);
/// Time between two such questions: what an engine says is some hundred ms old.
const SUSPECT_PERIOD: Duration = Duration::from_millis(250);
/// Silence after which a stream is sent again. Callers leave after a gap of two seconds, and
/// resuming takes a few hundred ms.
const STALL_CERTAIN: Duration = Duration::from_millis(1300);
/// Time from a repair until the stream is sent again if it stays silent: the new engines read its
/// tokens first.
const REPAIRED_CERTAIN: Duration = Duration::from_millis(600);
/// Longest time that the question and the orders of one repair take; the caller is not heard
/// meanwhile.
const REPAIR_TIMEOUT: Duration = Duration::from_millis(400);
/// Paths ordered in one repair.
const REPAIR_ORDERS_MAX: u32 = 3;

/// A time without events.
#[derive(Clone, Copy, Debug)]
pub(super) struct Silence {
    /// When it began.
    pub(super) since: Instant,
    /// When its cause was last looked for.
    asked: Option<Instant>,
    /// When the stream was last repaired in it.
    repaired: Option<Instant>,
}

impl Silence {
    pub(super) fn since(since: Instant) -> Self {
        Self {
            since,
            asked: None,
            repaired: None,
        }
    }

    /// When its cause is to be looked for next.
    fn next_look(&self) -> Instant {
        match self.asked {
            None => self.since + STALL_SUSPECT,
            Some(asked) => asked + SUSPECT_PERIOD,
        }
    }

    /// When the stream is to be sent again.
    fn certain(&self) -> Instant {
        let repaired = self.repaired.map(|at| at + REPAIRED_CERTAIN);
        (self.since + STALL_CERTAIN).max(repaired.unwrap_or(self.since))
    }
}

/// What comes of a look for the cause of a silence.
pub(super) enum Repaired {
    /// The stream may go on.
    Waiting,
    /// It must be sent again.
    GivenUp,
}

impl Relay<'_> {
    /// Waits until the cause of a silence is to be looked for.
    pub(super) async fn silent(&self, chosen: &ChosenPath, silence: &Silence) {
        let mut look = silence.next_look();
        loop {
            tokio::time::sleep_until(look.min(silence.certain())).await;
            // Engines that all make progress are slow, not lost.
            if !chosen.are_all_live() || Instant::now() >= silence.certain() {
                return;
            }
            look = Instant::now() + SUSPECT_PERIOD;
        }
    }

    /// Looks for the engine that a silent stream waits for, and has the stream go on without it.
    /// The engines that live keep its memory, and no send is needed.
    pub(super) async fn repair(
        &self,
        chosen: &mut ChosenPath,
        flights: &mut Vec<InFlightGuard>,
        silence: &mut Silence,
        trace: &mut RequestTrace,
    ) -> Repaired {
        let is_resumable = self.request.route.semantics == RequestSemantics::ResumableStream;
        if is_resumable && Instant::now() >= silence.certain() {
            return Repaired::GivenUp;
        }
        silence.asked = Some(Instant::now());
        let repaired = tokio::time::timeout(REPAIR_TIMEOUT, self.find_repair(chosen)).await;
        let outcome = match repaired {
            Ok(Ok(Some(repaired))) => {
                trace
                    .via
                    .push(format!("repaired {}", repaired.to_log_string()));
                *flights = repaired.begin(self.engine, self.request);
                *chosen = repaired;
                silence.repaired = Some(Instant::now());
                "repaired"
            }
            Ok(Ok(None)) => "nothing lost",
            Ok(Err(what)) => what,
            Err(_) => {
                // The first engine itself does not answer.
                chosen.first().record_unresponsive(Instant::now());
                "first engine is silent"
            }
        };
        spdlog::info!("stream.silent", kv: {
            request = self.request.metadata.id.as_str(),
            first = chosen.first().id.as_str(),
            silent_ms = silence.since.elapsed().as_millis() as u64,
            outcome,
        });
        self.gateway.metrics.record_repair(outcome);
        Repaired::Waiting
    }

    /// Asks the first engine what the stream waits for, and orders a path without that. Gives the
    /// path that the stream goes on along, or nothing where it waits for no engine.
    async fn find_repair(&self, chosen: &ChosenPath) -> Result<Option<ChosenPath>, &'static str> {
        let orders = &self.gateway.platform.orders;
        let first = chosen.first();
        let state = orders
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
        for stalled in &state.stalled {
            if stalled.request == self.request.metadata.id
                && let Some(hop) = chosen.target_at(stalled.waits_for)
            {
                lost.push(hop);
            }
        }
        if lost.is_empty() {
            return Ok(None);
        }
        for _ in 0..REPAIR_ORDERS_MAX {
            for target in &lost {
                target.record_unresponsive(Instant::now());
            }
            let repaired =
                paths::choose_repair(self.gateway, self.request, self.engine, chosen, &lost)
                    .map_err(|_| "no path without the lost engine")?;
            let order = RepathOrder {
                target: &first.id,
                address: first.address(),
                request: &self.request.metadata.id,
                path: &repaired.stages(),
            };
            let answer = orders.repath(&order).await.map_err(|error| {
                spdlog::warn!("stream.repair_unknown", kv: {
                    request = self.request.metadata.id.as_str(),
                    first = first.id.as_str(),
                    error:,
                });
                "order was not answered"
            })?;
            match answer {
                RepathResponse::Begun => return Ok(Some(repaired)),
                RepathResponse::NoSuchRequest => return Err("first engine does not know it"),
                RepathResponse::Refused => return Err("order was refused"),
                RepathResponse::Conflict(part) => {
                    match part.and_then(|address| repaired.target_at(address)) {
                        Some(unfit) => lost.push(unfit),
                        None => return Err("an unknown engine does not fit"),
                    }
                }
            }
        }
        Err("no order was accepted")
    }
}
