//! Lets requests in: first against their team's limits, then through their model's gate.

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
use waiting::Waiting;

use crate::{
    limits,
    pipeline::Job,
    shared::Shared, //
};

/// What a waiting request listens to.
type Waiter = oneshot::Sender<Verdict>;
/// Gate before one model.
type ModelGate = Gate<Waiter>;

/// Stretch over the idle time that a gate's limiter accepts; the idle time is set so that the two
/// multiply to `between_tokens_goal`.
const STRETCH_TOLERANCE: f64 = 2.5;

/// The gates before the models.
#[derive(Default)]
pub struct Admission {
    gates: ArcSwap<HashMap<ModelId, Arc<ModelGate>>>,
}

impl Admission {
    /// The gate before a model.
    fn gate(&self, shared: &Shared, model: &ModelId) -> Arc<ModelGate> {
        if let Some(gate) = self.gates.load().get(model) {
            return Arc::clone(gate);
        }
        let made = Arc::new(new_gate(shared));
        self.gates.rcu(|gates| {
            let mut gates = HashMap::clone(gates);
            gates
                .entry(model.clone())
                .or_insert_with(|| Arc::clone(&made));
            gates
        });
        // Another task may have won, and models are never taken out.
        self.gates.load().get(model).map_or(made, Arc::clone)
    }

    /// Requests that wait before a model.
    pub fn waiting(&self, model: &ModelId) -> u32 {
        self.gates
            .load()
            .get(model)
            .map_or(0, |gate| gate.waiting())
    }

    /// Lets in whoever fits now, for limits that rose meanwhile.
    pub fn admit_waiting(&self) {
        for gate in self.gates.load().values() {
            settle(gate);
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

/// Lets a request in.
///
/// # Errors
///
/// A refusal, at once where the limits or the predicted wait say so, or at the latest when the
/// request could no longer be served in time.
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
    match pass(&gate, request).await {
        Ok(permit) => Ok(Admitted {
            charge: Some(charge),
            permit: Some(permit),
            gate,
            cost_tokens,
            since: Instant::now(),
        }),
        Err(refusal) => {
            charge.cancel();
            Err(refuse(&gate, &job.request, &job.team, &job.model, refusal))
        }
    }
}

async fn pass(gate: &Arc<ModelGate>, request: Request) -> Result<Permit, Refusal> {
    let (waiter, verdict) = oneshot::channel();
    let latest_start = gate.latest_start(&request);
    let (entry, verdicts) = gate.enter(request, waiter, Instant::now());
    tell(gate, verdicts);
    match entry {
        Entry::Admitted(permit) => Ok(permit),
        Entry::Refused(refusal) => Err(refusal),
        Entry::Queued(ticket) => {
            Waiting::new(gate, ticket, verdict)
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

/// Tells waiters their verdicts. A slot whose waiter is gone goes to the next one.
fn tell(gate: &ModelGate, verdicts: Verdicts<Waiter>) {
    let mut lost = false;
    for (waiter, verdict) in verdicts {
        lost |= waiter.send(verdict).is_err();
    }
    if lost {
        settle(gate);
    }
}

fn settle(gate: &ModelGate) {
    tell(gate, gate.admit_waiting(Instant::now()));
}

/// A request that was let in. Dropping it, as for a caller that is gone, frees its slot and keeps
/// the full charge.
#[must_use = "a dropped admission frees its slot"]
pub struct Admitted {
    /// Invariant: both are present until the admission is closed or dropped.
    charge: Option<Charge>,
    permit: Option<Permit>,
    gate: Arc<ModelGate>,
    cost_tokens: u64,
    since: Instant,
}

impl Admitted {
    /// Time since the request was let in.
    pub fn elapsed(&self) -> Duration {
        self.since.elapsed()
    }

    /// Frees the slot and corrects the charge to the tokens that were used, prompt included.
    pub fn close(mut self, used_tokens: u64) {
        if let Some(charge) = self.charge.take() {
            charge.close(used_tokens);
        }
        self.cost_tokens = used_tokens;
    }

    /// Frees the slot and takes the charge back, for a request that did not run after all.
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
        tell(&self.gate, verdicts);
    }
}
