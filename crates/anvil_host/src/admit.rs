//! Admits requests: first by their team's limits, then through the gate of their model, which
//! limits the number of open requests and queues the others.

mod observed;
mod waiting;

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use anvil_core::{
    admission::{
        Refusal,
        Request,
        gate::{
            Entry,
            Gate,
            Verdict,
            Verdicts, //
        },
        team_weight, //
    },
    concurrency::{
        self,
        Limiter,
        Permit, //
    },
    document,
    id::{
        ModelId,
        RequestId,
        TeamId, //
    },
    limits::share::Charge,
    outcome::Refused, //
};
use arc_swap::ArcSwap;
use foldhash::HashMap;
use tokio::sync::oneshot;

pub use observed::ObservedSink;
use waiting::QueuedRequest;

use crate::{
    limits,
    pipeline::Job,
    shared::Shared, //
};

/// Channel on which a waiting request receives its verdict.
type VerdictSender = oneshot::Sender<Verdict>;
/// Gate of one model.
type ModelGate = Gate<VerdictSender>;

/// Ratio of the observed to the idle time that a gate's limiter accepts. The idle time is set so
/// that the product of the two is `between_tokens_goal`.
const STRETCH_TOLERANCE: f64 = 2.5;

/// Gates of the models.
#[derive(Default)]
pub struct Admission {
    gates: ArcSwap<HashMap<ModelId, Arc<ModelGate>>>,
}

impl Admission {
    /// Returns the gate of a model, which is created on first use.
    fn gate(&self, shared: &Shared, model: &ModelId) -> Arc<ModelGate> {
        if let Some(gate) = self.gates.load().get(model) {
            return Arc::clone(gate);
        }
        let created = Arc::new(new_gate(shared));
        self.gates.rcu(|gates| {
            let mut gates = HashMap::clone(gates);
            gates
                .entry(model.clone())
                .or_insert_with(|| Arc::clone(&created));
            gates
        });
        // Another task may have inserted its gate first. Gates are never removed.
        self.gates.load().get(model).map_or(created, Arc::clone)
    }

    /// Returns the number of requests that wait for a model.
    pub fn waiting(&self, model: &ModelId) -> u32 {
        self.gates
            .load()
            .get(model)
            .map_or(0, |gate| gate.waiting())
    }

    /// Admits the waiting requests that fit now, after limits have risen.
    pub fn admit_waiting(&self) {
        for gate in self.gates.load().values() {
            admit_next(gate);
        }
    }
}

fn new_gate(shared: &Shared) -> ModelGate {
    let settings = shared.settings.admission;
    let limiter = concurrency::Settings {
        limit_initial: settings.open_limit_initial,
        limit_min: settings.open_limit_min,
        limit_max: u32::try_from(shared.settings.callers.connection_limit).unwrap_or(u32::MAX),
        stretch_tolerance: STRETCH_TOLERANCE,
        stretch_floor_min: 1.0,
        ..concurrency::Settings::default()
    };
    let now = Instant::now();
    Gate::new(settings, Arc::new(Limiter::new(limiter, now)), now)
}

/// Admits a request, or waits until it can be admitted.
///
/// # Errors
///
/// Returns a refusal: at once if the limits or the predicted wait require it, otherwise at the
/// latest when the request could no longer be served in time.
pub async fn enter(
    shared: &Arc<Shared>,
    job: &Job,
    team: &document::Team,
) -> Result<Admitted, Refused> {
    let cost_tokens = job.prompt.len() as u64 + u64::from(job.limit_tokens);
    let charge = limits::charge(shared, &job.team, team, cost_tokens).await?;
    let gate = shared.admission.gate(shared, &job.model);
    let request = Request {
        team: job.team.clone(),
        weight: team_weight(team.weight, team.priority),
        priority: job.priority,
        cost_tokens,
        deadline: job.deadline,
        service_time: gate.prediction.service_time(job.limit_tokens),
    };
    match enter_gate(&gate, request).await {
        Ok(permit) => Ok(Admitted {
            charge: Some(charge),
            permit: Some(permit),
            gate,
            cost_tokens,
            admitted_at: Instant::now(),
        }),
        Err(refusal) => {
            charge.cancel();
            Err(refuse(&gate, &job.request, &job.team, &job.model, refusal))
        }
    }
}

async fn enter_gate(gate: &Arc<ModelGate>, request: Request) -> Result<Permit, Refusal> {
    let (sender, verdict) = oneshot::channel();
    let latest_start = gate.latest_start(&request);
    let (entry, verdicts) = gate.enter(request, sender, Instant::now());
    send_verdicts(gate, verdicts);
    match entry {
        Entry::Admitted(permit) => Ok(permit),
        Entry::Refused(refusal) => Err(refusal),
        Entry::Queued(ticket) => {
            QueuedRequest::new(gate, ticket, verdict)
                .outcome(latest_start)
                .await
        }
    }
}

fn refuse(
    gate: &ModelGate,
    request: &RequestId,
    team: &TeamId,
    model: &ModelId,
    refusal: Refusal,
) -> Refused {
    spdlog::info!("admission.refused", kv: {
        request = request.as_str(),
        team = team.as_str(),
        model = model.as_str(),
        reason = refusal.cause.name(),
        predicted_wait_ms = refusal.predicted_wait.as_millis(),
        waiting = gate.waiting(),
        open = gate.limiter().in_flight(),
        open_limit = gate.limiter().limit(),
    });
    refusal.answer(gate.settings(), &mut rand::rng())
}

/// Sends the verdicts to the waiting requests. If the receiver of a verdict was dropped, its slot
/// goes to the next waiting request.
fn send_verdicts(gate: &ModelGate, verdicts: Verdicts<VerdictSender>) {
    let mut has_lost_receiver = false;
    for (sender, verdict) in verdicts {
        has_lost_receiver |= sender.send(verdict).is_err();
    }
    if has_lost_receiver {
        admit_next(gate);
    }
}

fn admit_next(gate: &ModelGate) {
    send_verdicts(gate, gate.admit_waiting(Instant::now()));
}

/// An admitted request. Dropping it, as when the caller disconnects, frees its slot and keeps the
/// full charge.
#[must_use = "a dropped admission frees its slot"]
pub struct Admitted {
    /// Invariant: `charge` and `permit` are `Some` until the admission is closed, cancelled or
    /// dropped.
    charge: Option<Charge>,
    permit: Option<Permit>,
    gate: Arc<ModelGate>,
    cost_tokens: u64,
    admitted_at: Instant,
}

impl Admitted {
    /// Returns the time since the request was admitted.
    pub fn elapsed(&self) -> Duration {
        self.admitted_at.elapsed()
    }

    /// Frees the slot and corrects the charge to the tokens that were used, including the prompt.
    pub fn close(mut self, used_tokens: u64) {
        if let Some(charge) = self.charge.take() {
            charge.close(used_tokens);
        }
        self.cost_tokens = used_tokens;
    }

    /// Frees the slot and cancels the charge, for a request that did not run after all.
    pub fn cancel(mut self) {
        if let Some(charge) = self.charge.take() {
            charge.cancel();
        }
        self.cost_tokens = 0;
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        drop(self.charge.take());
        drop(self.permit.take());
        let verdicts = self.gate.finish(self.cost_tokens, Instant::now());
        send_verdicts(&self.gate, verdicts);
    }
}
