//! State and batch loop of an engine.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use anvil_core::{
    document::Holding,
    id::LayerRange, //
};
use anvil_wire::generated::engine::{
    CacheEvent,
    Cancel,
    KvExport,
    KvImport,
    KvName,
    LoadReport,
    Step,
    StepAnswer,
    StepResult, //
};
use bytes::Bytes;
use tokio::{
    sync::{
        Notify,
        mpsc::UnboundedSender, //
    },
    time::Instant,
};

use super::{
    Config,
    answers::AnswerFaults,
    holdings::{
        self,
        Holdings,
        StaleToken, //
    },
    link::Link,
    pace::Pacer,
    prefix_cache::{
        self,
        PrefixCache, //
    },
    queue::{
        Queue,
        QueuedStep, //
    },
    sequence::{
        Origin,
        SequenceError,
        SequenceKey,
        Sequences,
        StepOutput, //
    },
};
use crate::fault::{
    FaultInjector,
    lock, //
};

/// State that the HTTP interface and the background tasks of an engine share.
pub(super) struct Core {
    pub(super) config: Config,
    pub(super) link: Link,
    pub(super) answer_faults: AnswerFaults,
    pub(super) refuse_steps: FaultInjector,
    pub(super) counts: Counters,
    state: Mutex<State>,
    work_available: Notify,
}

/// Counters of an engine since its start.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) applied_steps: AtomicU64,
    pub(super) applied_token_layers: AtomicU64,
    pub(super) kept_answers: AtomicU64,
    pub(super) refused_steps: AtomicU64,
    pub(super) batches: AtomicU64,
    pub(super) cached_tokens: AtomicU64,
}

struct State {
    queue: Queue,
    /// Number of steps in the running batch.
    running_steps: usize,
    sequences: Sequences,
    prefix_cache: PrefixCache,
    holdings: Holdings,
    leaving: bool,
    time_scale: f64,
    /// Number of kills; a batch taken before a kill is never applied.
    kill_count: u64,
    /// The last two reports, the older first. The older one is served.
    reports: [(Instant, LoadReport); 2],
    /// Value of `Counters::applied_token_layers` when the last report was made.
    reported_token_layers: u64,
}

/// Steps taken from the queue, with the modelled time that they take.
struct Batch {
    steps: Vec<QueuedStep>,
    cached_tokens: Vec<u32>,
    busy_time: Duration,
    kill_count: u64,
}

impl Core {
    pub(super) fn new(config: Config) -> Self {
        let engine = &config.engine;
        let holdings = Holdings::new(engine.holds.clone(), engine.fencing);
        let prefix_cache = PrefixCache::new(
            config.cache_blocks,
            config.cache_event_delay,
            config.lose_every_nth_cache_event,
        );
        let state = State {
            queue: Queue::default(),
            running_steps: 0,
            sequences: Sequences::default(),
            prefix_cache,
            leaving: false,
            time_scale: config.time_scale,
            kill_count: 0,
            reports: std::array::from_fn(|_| (Instant::now(), empty_report(&holdings))),
            reported_token_layers: 0,
            holdings,
        };
        Self {
            link: Link::new(engine.link_delay(), engine.link_bandwidth_bytes_per_s),
            answer_faults: AnswerFaults::new(config.seed),
            refuse_steps: FaultInjector::new(config.seed ^ 5),
            counts: Counters::default(),
            state: Mutex::new(state),
            work_available: Notify::new(),
            config,
        }
    }

    /// Queues steps, or answers them with the reason of their refusal.
    pub(super) fn enqueue(&self, steps: Vec<Step>, reply: &UnboundedSender<StepAnswer>) {
        let mut state = lock(&self.state);
        for step in steps {
            match self.refusal_reason(&state, &step) {
                None => state.queue.push(step, reply.clone()),
                Some(result) => {
                    self.counts.refused_steps.fetch_add(1, Ordering::Relaxed);
                    let queue_depth = state.queue.len();
                    // A caller that closed its stream needs no answer.
                    let _receiver_closed = reply.send(empty_answer(&step, result, 0, queue_depth));
                }
            }
        }
        drop(state);
        self.work_available.notify_one();
    }

    /// Returns why a step is refused, or `None` if it may be queued.
    fn refusal_reason(&self, state: &State, step: &Step) -> Option<StepResult> {
        let key = SequenceKey::from_step_name(&step.name);
        let is_new = !state.sequences.contains(&key);
        let is_full = state.queue.len() >= self.config.queue_limit_steps
            || (is_new && state.sequences.count() >= self.config.sequence_limit);
        if is_full || self.refuse_steps.should_inject() {
            return Some(StepResult::Overloaded);
        }
        if is_new && state.leaving {
            return Some(StepResult::Leaving);
        }
        None
    }

    /// Frees a sequence and answers its waiting steps as cancelled.
    pub(super) fn cancel(&self, cancel: &Cancel) {
        let key = SequenceKey {
            request: cancel.request.clone(),
            attempt: cancel.attempt,
        };
        let mut state = lock(&self.state);
        state.sequences.free(&key);
        let removed = state.queue.remove(&key);
        drop(state);
        self.config.ledger.forget(&key);
        for queued in removed {
            let answer = empty_answer(&queued.step, StepResult::Cancelled, 0, 0);
            // A caller that closed its stream needs no answer.
            let _receiver_closed = queued.reply.send(answer);
        }
    }

    /// Runs one batch after another, and waits while the queue is empty.
    pub(super) async fn run_batches(self: Arc<Self>) {
        let mut pacer = Pacer::new();
        loop {
            let Some(batch) = self.take_batch() else {
                self.work_available.notified().await;
                pacer.skip_idle_time();
                continue;
            };
            pacer.charge(batch.busy_time).await;
            self.finish_batch(batch);
        }
    }

    fn take_batch(&self) -> Option<Batch> {
        let mut state = lock(&self.state);
        let steps = state.queue.take_batch(self.config.batch_limit_steps);
        if steps.is_empty() {
            return None;
        }
        state.running_steps = steps.len();
        let engine = &self.config.engine;
        let mut busy_time = Duration::from_micros(engine.batch_time_us);
        let mut cached_tokens = Vec::with_capacity(steps.len());
        for queued in &steps {
            let step = &queued.step;
            let blocks = prefix_cache::blocks(step);
            let cached = state.prefix_cache.cached_tokens(&blocks, step.token_count);
            state.prefix_cache.store(&blocks);
            let tokens = u64::from(step.token_count.saturating_sub(cached));
            let layers = u64::from(step.name.layers.end.saturating_sub(step.name.layers.first));
            busy_time += Duration::from_nanos(engine.layer_time_ns * tokens * layers);
            cached_tokens.push(cached);
        }
        Some(Batch {
            steps,
            cached_tokens,
            busy_time: busy_time.mul_f64(state.time_scale),
            kill_count: state.kill_count,
        })
    }

    fn finish_batch(&self, batch: Batch) {
        let mut state = lock(&self.state);
        state.running_steps = 0;
        if state.kill_count != batch.kill_count {
            return;
        }
        let mut answers = Vec::with_capacity(batch.steps.len());
        for (queued, cached) in batch.steps.into_iter().zip(batch.cached_tokens) {
            let answer = self.apply_step(&mut state, &queued.step, cached);
            answers.push((answer, queued.reply));
        }
        drop(state);
        self.counts.batches.fetch_add(1, Ordering::Relaxed);
        self.answer_faults.send(answers);
    }

    fn apply_step(&self, state: &mut State, step: &Step, cached_tokens: u32) -> StepAnswer {
        let queue_depth = state.queue.len();
        let range = LayerRange::new(step.name.layers.first, step.name.layers.end);
        let is_held =
            range.is_some_and(|range| state.holdings.covers(&step.model, &step.version, range));
        if !is_held {
            self.counts.refused_steps.fetch_add(1, Ordering::Relaxed);
            return empty_answer(step, StepResult::NotHeld, 0, queue_depth);
        }
        match state.sequences.apply(step, self.config.layer_count) {
            Ok((output, origin)) => {
                self.count_applied_step(step, origin, cached_tokens);
                answer(step, output, cached_tokens, queue_depth)
            }
            Err(error) => {
                self.counts.refused_steps.fetch_add(1, Ordering::Relaxed);
                match error {
                    SequenceError::Malformed => {
                        empty_answer(step, StepResult::Malformed, 0, queue_depth)
                    }
                    SequenceError::CacheMismatch { held_position } => {
                        empty_answer(step, StepResult::CacheMismatch, held_position, queue_depth)
                    }
                }
            }
        }
    }

    fn count_applied_step(&self, step: &Step, origin: Origin, cached_tokens: u32) {
        if origin == Origin::Kept {
            self.counts.kept_answers.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.config.ledger.record(&step.name, step.token_count);
        let layers = step.name.layers.end - step.name.layers.first;
        let token_layers = u64::from(step.token_count) * u64::from(layers);
        let counts = &self.counts;
        counts.applied_steps.fetch_add(1, Ordering::Relaxed);
        counts
            .applied_token_layers
            .fetch_add(token_layers, Ordering::Relaxed);
        counts
            .cached_tokens
            .fetch_add(u64::from(cached_tokens), Ordering::Relaxed);
    }

    /// Discards the waiting steps, and keeps the running batch from being applied.
    pub(super) fn abort_work(&self) {
        let mut state = lock(&self.state);
        state.kill_count += 1;
        state.queue.clear();
    }

    /// Clears the KV caches and the prefix cache.
    pub(super) fn clear_caches(&self) {
        let mut state = lock(&self.state);
        state.sequences.clear();
        state.prefix_cache.clear();
    }

    pub(super) fn set_leaving(&self, leaving: bool) {
        lock(&self.state).leaving = leaving;
    }

    pub(super) fn set_time_scale(&self, time_scale: f64) {
        assert!(
            time_scale >= 0.0,
            "time_scale {time_scale} must not be negative"
        );
        lock(&self.state).time_scale = time_scale;
    }

    pub(super) fn open_sequences(&self) -> usize {
        lock(&self.state).sequences.count()
    }

    pub(super) fn queue_depth_steps(&self) -> usize {
        let state = lock(&self.state);
        state.queue.len() + state.running_steps
    }

    pub(super) fn holdings(&self) -> Vec<Holding> {
        lock(&self.state).holdings.all().to_vec()
    }

    pub(super) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        lock(&self.state).prefix_cache.events(after, Instant::now())
    }

    pub(super) fn export(&self, name: &KvName) -> Option<KvExport> {
        lock(&self.state).sequences.export(name)
    }

    pub(super) fn import(&self, import: &KvImport) -> Result<(), SequenceError> {
        lock(&self.state).sequences.import(import)
    }

    pub(super) fn check_token(&self, token: u64) -> Result<(), StaleToken> {
        lock(&self.state).holdings.check_token(token)
    }

    pub(super) fn load(&self, holding: Holding) {
        lock(&self.state).holdings.load(holding);
    }

    pub(super) fn unload(&self, holding: &Holding) {
        lock(&self.state).holdings.unload(holding);
    }

    /// Returns whether the engine has a holding that covers the given one.
    pub(super) fn covers(&self, holding: &Holding) -> bool {
        let state = lock(&self.state);
        state
            .holdings
            .covers(&holding.model, &holding.version, holding.layers)
    }

    /// Returns the older of the last two reports, with its age.
    pub(super) fn report(&self) -> LoadReport {
        let state = lock(&self.state);
        let (made_at, report) = &state.reports[0];
        let age = Instant::now().duration_since(*made_at);
        LoadReport {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            ..report.clone()
        }
    }

    /// Makes a report every half `report_lag`, so that the older of the last two, which is served,
    /// is at most as old as the lag, or as 20 ms if the lag is shorter.
    pub(super) async fn run_reporter(self: Arc<Self>) {
        let period = (self.config.report_lag / 2).max(Duration::from_millis(10));
        let mut ticks = tokio::time::interval(period);
        loop {
            ticks.tick().await;
            self.make_report(period);
        }
    }

    fn make_report(&self, period: Duration) {
        let applied_token_layers = self.counts.applied_token_layers.load(Ordering::Relaxed);
        let mut state = lock(&self.state);
        let recent_token_layers = applied_token_layers - state.reported_token_layers;
        state.reported_token_layers = applied_token_layers;
        let queue_depth = state.queue.len() + state.running_steps;
        let report = LoadReport {
            queue_depth_steps: u32::try_from(queue_depth).unwrap_or(u32::MAX),
            open_sequences: u32::try_from(state.sequences.count()).unwrap_or(u32::MAX),
            rate_token_layers_per_s: (recent_token_layers as f64 / period.as_secs_f64()) as u64,
            leaving: state.leaving,
            ..empty_report(&state.holdings)
        };
        state.reports.rotate_left(1);
        state.reports[1] = (Instant::now(), report);
    }
}

/// Returns a report of the holdings without any load.
fn empty_report(holdings: &Holdings) -> LoadReport {
    LoadReport {
        age_ms: 0,
        queue_depth_steps: 0,
        open_sequences: 0,
        rate_token_layers_per_s: 0,
        holds: holdings.all().iter().map(holdings::to_wire).collect(),
        leaving: false,
        fencing_token: holdings.fencing_token(),
    }
}

/// Returns the answer to a step that was applied.
fn answer(step: &Step, output: StepOutput, cached_tokens: u32, queue_depth: usize) -> StepAnswer {
    let (result, value, activations) = match output {
        StepOutput::Activations(data) => (StepResult::Activations, 0, data),
        StepOutput::Token(token) => (StepResult::Token, token, Bytes::new()),
    };
    StepAnswer {
        activations,
        cached_tokens,
        ..empty_answer(step, result, value, queue_depth)
    }
}

/// Returns an answer without activations, as a refused step gets it.
fn empty_answer(step: &Step, result: StepResult, value: u32, queue_depth: usize) -> StepAnswer {
    StepAnswer {
        tag: step.tag,
        name: step.name.clone(),
        result,
        value,
        activations: Bytes::new(),
        cached_tokens: 0,
        queue_depth_steps: u32::try_from(queue_depth).unwrap_or(u32::MAX),
    }
}
