//! A request that waits in a gate's queue for its verdict.

use std::{
    sync::Arc,
    time::Instant, //
};

use anvil_core::{
    admission::{
        Refusal,
        gate::Verdict,
        queue::Ticket, //
    },
    concurrency::Permit, //
};
use tokio::sync::oneshot;

use super::{
    ModelGate,
    admit_next, //
};

/// A request's place in a gate's queue. Dropping it gives up the place.
pub(super) struct QueuedRequest<'a> {
    gate: &'a Arc<ModelGate>,
    /// Ticket of the place, or `None` once the verdict is known.
    ticket: Option<Ticket>,
    verdict: oneshot::Receiver<Verdict>,
}

impl<'a> QueuedRequest<'a> {
    pub(super) fn new(
        gate: &'a Arc<ModelGate>,
        ticket: Ticket,
        verdict: oneshot::Receiver<Verdict>,
    ) -> Self {
        Self {
            gate,
            ticket: Some(ticket),
            verdict,
        }
    }

    /// Waits for the verdict, at most until `latest_start`, after which the request could not be
    /// served in time any more.
    pub(super) async fn outcome(mut self, latest_start: Instant) -> Result<Permit, Refusal> {
        let received = tokio::time::timeout_at(latest_start.into(), &mut self.verdict).await;
        if let Ok(Ok(verdict)) = received {
            self.ticket = None;
            return into_result(verdict);
        }
        let ticket = self
            .ticket
            .take()
            .expect("a queued request must have a ticket until its verdict is known");
        if let Some((_, refusal)) = self.gate.cancel(&ticket, Instant::now()) {
            return Err(refusal);
        }
        // The gate decided before the request could be cancelled, so the verdict will arrive.
        match (&mut self.verdict).await {
            Ok(verdict) => into_result(verdict),
            Err(_) => unreachable!("the gate dropped a queued request without a verdict"),
        }
    }
}

fn into_result(verdict: Verdict) -> Result<Permit, Refusal> {
    match verdict {
        Verdict::Admitted(permit) => Ok(permit),
        Verdict::Refused(refusal) => Err(refusal),
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        if self.gate.cancel(&ticket, Instant::now()).is_some() {
            return;
        }
        // A permit that was sent in the meantime is dropped with the receiver, so its slot must go
        // to the next request.
        self.verdict.close();
        if let Ok(verdict) = self.verdict.try_recv() {
            drop(verdict);
            admit_next(self.gate);
        }
    }
}
