//! Stand-in for a model engine that holds ranges of layers, batches continuously and injects
//! faults.

mod answers;
mod core;
mod holdings;
mod ledger;
mod link;
mod pace;
mod prefix_cache;
mod queue;
mod routes;
mod sequence;
mod step_stream;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration,
};

use anvil_core::{
    document::{
        Engine,
        Fencing,
        Holding, //
    },
    id::Layer,
};
use tokio::task::JoinHandle;

use self::core::Core;
use crate::{
    fault::Rate,
    server::Server, //
};
pub use ledger::Ledger;

/// Properties, limits and modelled timing of an engine.
#[derive(Clone, Debug)]
pub struct Config {
    /// Properties that the hosts' configuration states as well.
    pub engine: Engine,
    /// Number of layers of the whole model. A range that ends here produces tokens.
    pub layer_count: Layer,
    /// Size of one token's activation on the modelled link.
    pub activation_bytes_per_token: u32,
    /// Most steps in a batch.
    pub batch_limit_steps: usize,
    /// Most waiting steps; further ones are refused as overloaded.
    pub queue_limit_steps: usize,
    /// Most sequences with a KV cache; a step of a further one is refused as overloaded.
    pub sequence_limit: usize,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Age at which a cache event becomes visible.
    pub cache_event_delay: Duration,
    /// Every cache event whose number is a multiple of this is lost; 0 loses none.
    pub lose_every_nth_cache_event: u64,
    /// Largest age of the load report. A lag below 20 ms acts as 20 ms.
    pub report_lag: Duration,
    /// Address of the weight store; with `None`, weights load at once.
    pub weight_store: Option<SocketAddr>,
    /// Factor on the modelled accelerator time; with 0, batches take no time.
    pub time_scale: f64,
    /// Counts layers that were applied twice to a token, over all engines that share it.
    pub ledger: Arc<Ledger>,
    /// Seed of the random choices in fault injection.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            engine: Engine {
                accelerator: "standard".into(),
                layer_time_ns: 2_000,
                batch_time_us: 500,
                link_delay_us: 0,
                link_bandwidth_bytes_per_s: 0,
                weight_memory_bytes: u64::MAX,
                fencing: Fencing::Checked,
                holds: Vec::new(),
            },
            layer_count: 1,
            activation_bytes_per_token: 8192,
            batch_limit_steps: 64,
            queue_limit_steps: 4096,
            sequence_limit: 1 << 16,
            cache_blocks: 4096,
            cache_event_delay: Duration::from_millis(200),
            lose_every_nth_cache_event: 0,
            report_lag: Duration::from_millis(500),
            weight_store: None,
            time_scale: 1.0,
            ledger: Arc::default(),
            seed: 0,
        }
    }
}

/// What an engine still has after it was killed and restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetainedState {
    /// Its weights, but no KV or prefix cache.
    Lost,
    /// Its weights and caches.
    Kept,
}

/// Faults that can be injected into the answers to steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// The answer is lost.
    Lost,
    /// The answer is delayed by the time set with [`Standin::set_late_delay`].
    Late,
    /// The answer carries the tag of another step in its batch.
    Crossed,
    /// The answer is sent twice.
    Duplicated,
}

/// Counters of an engine since its start; a kill doesn't reset them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Steps applied.
    pub applied_steps: u64,
    /// Layers applied, summed over the tokens of all steps.
    pub applied_token_layers: u64,
    /// Repeated steps that were answered with a kept answer and not applied again.
    pub kept_answers: u64,
    /// Steps refused.
    pub refused_steps: u64,
    /// Batches run.
    pub batches: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
}

/// Handle of a running engine.
pub struct Standin {
    server: Server,
    core: Arc<Core>,
    batch_loop: JoinHandle<()>,
    report_loop: JoinHandle<()>,
}

impl Standin {
    /// Starts an engine with the holdings of its configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if no port on loopback can be bound.
    pub async fn start(config: Config) -> io::Result<Self> {
        let core = Arc::new(Core::new(config));
        let handler_core = Arc::clone(&core);
        let server = Server::start(move |request| {
            let core = Arc::clone(&handler_core);
            async move { routes::handle(core, request).await }
        })
        .await?;
        let batch_loop = tokio::spawn(Arc::clone(&core).run_batches());
        let report_loop = tokio::spawn(Arc::clone(&core).run_reporter());
        Ok(Self {
            server,
            core,
            batch_loop,
            report_loop,
        })
    }

    /// Returns the address, which stays the same after [`Standin::restart`].
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Drops all connections, discards waiting and running steps, and refuses new connections.
    pub async fn kill(&self) {
        self.core.abort_work();
        self.server.kill().await;
    }

    /// Accepts connections again after [`Standin::kill`].
    ///
    /// # Errors
    ///
    /// Returns an error if the port was taken in the meantime.
    pub async fn restart(&self, retained_state: RetainedState) -> io::Result<()> {
        if retained_state == RetainedState::Lost {
            self.core.clear_caches();
        }
        self.server.restart().await
    }

    /// Stops reading and writing on the open connections without closing them; new ones work.
    pub fn silence_connections(&self) {
        self.server.silence_connections();
    }

    /// Changes delay and bandwidth of the link. A bandwidth of 0 is unlimited.
    pub fn set_link(&self, delay: Duration, bandwidth_bytes_per_s: u64) {
        self.core.link.set(delay, bandwidth_bytes_per_s);
    }

    /// Changes the factor on the modelled accelerator time.
    ///
    /// # Panics
    ///
    /// Panics if the factor is negative.
    pub fn set_time_scale(&self, time_scale: f64) {
        self.core.set_time_scale(time_scale);
    }

    /// Sets whether the engine reports that it is leaving and refuses new sequences.
    pub fn set_leaving(&self, leaving: bool) {
        self.core.set_leaving(leaving);
    }

    /// Sets how often a fault is injected into answers from now on.
    pub fn set_answer_fault(&self, fault: AnswerFault, rate: Rate) {
        self.core.answer_faults.injector(fault).set(rate);
    }

    /// Sets the delay of answers with [`AnswerFault::Late`].
    pub fn set_late_delay(&self, delay: Duration) {
        self.core.answer_faults.set_late_delay(delay);
    }

    /// Sets how often steps are refused as overloaded from now on.
    pub fn set_step_refusal_rate(&self, rate: Rate) {
        self.core.refuse_steps.set(rate);
    }

    /// Returns the current holdings. A load appears in them once it is finished.
    pub fn holdings(&self) -> Vec<Holding> {
        self.core.holdings()
    }

    /// Returns the counters since the start of the engine.
    pub fn counts(&self) -> Counts {
        let counts = &self.core.counts;
        Counts {
            applied_steps: counts.applied_steps.load(Ordering::Relaxed),
            applied_token_layers: counts.applied_token_layers.load(Ordering::Relaxed),
            kept_answers: counts.kept_answers.load(Ordering::Relaxed),
            refused_steps: counts.refused_steps.load(Ordering::Relaxed),
            batches: counts.batches.load(Ordering::Relaxed),
            cached_tokens: counts.cached_tokens.load(Ordering::Relaxed),
        }
    }

    /// Returns the number of sequences with a KV cache.
    pub fn open_sequences(&self) -> usize {
        self.core.open_sequences()
    }

    /// Returns the number of steps that wait or run.
    pub fn queue_depth_steps(&self) -> usize {
        self.core.queue_depth_steps()
    }

    /// Returns the ledger given in the configuration.
    pub fn ledger(&self) -> &Arc<Ledger> {
        &self.core.config.ledger
    }

    /// Stops the engine with its background tasks.
    pub async fn close(self) {
        self.batch_loop.abort();
        self.report_loop.abort();
        self.server.close().await;
    }
}
