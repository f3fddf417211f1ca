//! Admission gate of one model: atomics while no request waits, a fair queue otherwise.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicU32,
            AtomicU64,
            Ordering::{
                Relaxed,
                SeqCst, //
            },
            fence, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    admission::{
        Cause,
        Refusal,
        Request,
        Settings,
        prediction::{
            DrainRate,
            Prediction, //
        },
        queue::{
            Queue,
            Ticket,
            Waiting, //
        }, //
    },
    concurrency::{
        Limiter,
        Permit, //
    },
};

#[cfg(test)]
mod tests;

/// What [`Gate::enter`] decides on a request.
#[derive(Debug)]
pub enum Entry {
    /// It runs now.
    Admitted(Permit),
    /// It waits.
    Queued(Ticket),
    /// It is refused.
    Refused(Refusal),
}

/// Decision on a request that waited.
#[derive(Debug)]
pub enum Verdict {
    /// It runs now.
    Admitted(Permit),
    /// It is refused.
    Refused(Refusal),
}

/// Verdicts on requests that waited, each with the waiter to notify at once.
pub type Verdicts<W> = Vec<(W, Verdict)>;

/// Admission gate of one model at one host. `W` is kept with each waiting request and returned with
/// its verdict, to notify whoever waits for it.
///
/// The limiter counts open requests and adapts to the stretch of their steps. A request passes
/// without a lock if no other waits and there is room under the limit.
#[derive(Debug)]
pub struct Gate<W> {
    settings: Settings,
    limiter: Arc<Limiter>,
    /// Predicted latencies of the model's requests.
    pub prediction: Prediction,
    /// Number of waiting requests. Invariant: equals the queue's length while `state` is unlocked.
    waiting: AtomicU32,
    completed_tokens: AtomicU64,
    state: Mutex<State<W>>,
}

#[derive(Debug)]
struct State<W> {
    queue: Queue<W>,
    drain_rate: DrainRate,
}

impl<W> Gate<W> {
    /// Returns a gate with an empty queue.
    ///
    /// # Panics
    ///
    /// Panics if a setting breaks its invariant.
    pub fn new(settings: Settings, limiter: Arc<Limiter>, now: Instant) -> Self {
        settings.check();
        Self {
            settings,
            limiter,
            prediction: Prediction::default(),
            waiting: AtomicU32::new(0),
            completed_tokens: AtomicU64::new(0),
            state: Mutex::new(State {
                queue: Queue::default(),
                drain_rate: DrainRate::new(now),
            }),
        }
    }

    /// Returns the limiter of open requests. Steps pass their samples to [`Limiter::observe`].
    pub fn limiter(&self) -> &Arc<Limiter> {
        &self.limiter
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Relaxed)
    }

    /// Admits, queues or refuses a request. `waiter` is kept if the request has to wait.
    ///
    /// The verdicts beside the entry are for waiting requests that were admitted or refused
    /// meanwhile. They may include a request that was dropped from a full queue, and the new
    /// request itself.
    pub fn enter(&self, request: Request, waiter: W, now: Instant) -> (Entry, Verdicts<W>) {
        // While no request runs, no sample can correct a prediction that is too long. A request is
        // therefore tried even if it is predicted to end after its deadline.
        let is_probe = self.limiter.in_flight() == 0 && now < request.deadline;
        if !is_probe && request.latest_start(&self.settings) < now {
            return (self.refuse_late(), Vec::new());
        }
        if self.waiting.load(Relaxed) == 0
            && let Some(permit) = self.limiter.try_acquire()
        {
            return (Entry::Admitted(permit), Vec::new());
        }
        self.enqueue(request, waiter, now)
    }

    /// Counts a request that ran, after its permit was closed, and admits waiting requests.
    pub fn finish(&self, cost_tokens: u64, now: Instant) -> Verdicts<W> {
        self.completed_tokens.fetch_add(cost_tokens, Relaxed);
        self.admit_waiting(now)
    }

    /// Admits waiting requests while there is room. Called after each request's end, and also from
    /// time to time because the limit may have risen meanwhile.
    pub fn admit_waiting(&self, now: Instant) -> Verdicts<W> {
        // Pairs with the fence in `enqueue`: either this load sees the new waiter, or the waiter's
        // own attempt sees the slot that was freed before this call.
        fence(SeqCst);
        if self.waiting.load(Relaxed) == 0 {
            return Vec::new();
        }
        let mut state = self.lock();
        self.admit(&mut state, now)
    }

    /// Removes a waiting request, or returns `None` if it already has its verdict.
    pub fn cancel(&self, ticket: &Ticket, now: Instant) -> Option<(W, Refusal)> {
        let mut state = self.lock();
        let waiting = state.queue.cancel(ticket)?;
        self.update_waiting(&state);
        let refusal = self.refusal(&mut state, Cause::WaitedTooLong, &waiting.request, now);
        Some((waiting.waiter, refusal))
    }

    /// Returns the last moment at which a waiting request may still start.
    pub fn latest_start(&self, request: &Request) -> Instant {
        request.latest_start(&self.settings)
    }

    /// Returns the settings of the gate.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    fn enqueue(&self, request: Request, waiter: W, now: Instant) -> (Entry, Verdicts<W>) {
        let mut state = self.lock();
        let refusal = self.refusal(&mut state, Cause::PredictedLate, &request, now);
        if now + refusal.predicted_wait > request.latest_start(&self.settings) {
            return (Entry::Refused(refusal), Vec::new());
        }
        let ticket = state.queue.push(request, waiter);
        self.update_waiting(&state);
        fence(SeqCst);
        let mut verdicts = self.admit(&mut state, now);
        if state.queue.len() > self.settings.queue_limit_requests as usize
            && let Some(shed) = state.queue.shed()
        {
            let refusal = self.refusal(&mut state, Cause::QueueFull, &shed.request, now);
            verdicts.push((shed.waiter, Verdict::Refused(refusal)));
            self.update_waiting(&state);
        }
        (Entry::Queued(ticket), verdicts)
    }

    fn admit(&self, state: &mut State<W>, now: Instant) -> Verdicts<W> {
        let mut verdicts = Vec::new();
        while !state.queue.is_empty() {
            let Some(permit) = self.limiter.try_acquire() else {
                break;
            };
            let Some(next) = self.pop_startable(state, &mut verdicts, now) else {
                break;
            };
            verdicts.push((next.waiter, Verdict::Admitted(permit)));
        }
        self.update_waiting(state);
        verdicts
    }

    fn pop_startable(
        &self,
        state: &mut State<W>,
        verdicts: &mut Verdicts<W>,
        now: Instant,
    ) -> Option<Waiting<W>> {
        loop {
            let next = state.queue.pop()?;
            if next.request.latest_start(&self.settings) >= now {
                return Some(next);
            }
            let refusal = self.refusal(state, Cause::WaitedTooLong, &next.request, now);
            verdicts.push((next.waiter, Verdict::Refused(refusal)));
        }
    }

    fn refusal(
        &self,
        state: &mut State<W>,
        cause: Cause,
        request: &Request,
        now: Instant,
    ) -> Refusal {
        let completed_tokens = self.completed_tokens.load(Relaxed);
        state.drain_rate.update(completed_tokens, now);
        let ahead_tokens = state.queue.work_ahead_tokens(&request.team, request.weight);
        Refusal {
            cause,
            predicted_wait: state
                .drain_rate
                .time_for(ahead_tokens)
                .unwrap_or(Duration::ZERO),
        }
    }

    fn refuse_late(&self) -> Entry {
        Entry::Refused(Refusal {
            cause: Cause::PredictedLate,
            predicted_wait: Duration::ZERO,
        })
    }

    fn update_waiting(&self, state: &State<W>) {
        let length = u32::try_from(state.queue.len()).unwrap_or(u32::MAX);
        self.waiting.store(length, Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, State<W>> {
        // Every method leaves the queue consistent before it can panic, so a poisoned lock is
        // usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
