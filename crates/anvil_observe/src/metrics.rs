//! Metrics of a host. Requests record into plain atomics, which are exported by `opentelemetry`.
//!
//! A metric has the name that OpenTelemetry's semantic conventions give it. Where they have none,
//! its name begins with `anvil.`. [`catalog::METRICS`] describes each metric.

pub mod catalog;
pub mod counter;
mod export;
pub mod histogram;
pub mod process;
mod tokens;

use std::sync::OnceLock;

use anvil_core::{
    outcome::{
        Outcome,
        Reason,
        Refused, //
    },
    recovery::RecoveryAction, //
};
use derive_more::Debug;

use counter::{
    Counter,
    Gauge, //
};
use histogram::Histogram;

pub use export::{
    ExportError,
    Exporter, //
};
pub use tokens::TokenTimes;

/// Every reason of a refusal. Invariant: in the order of the enum, so that a reason can be used as
/// an index.
pub const REASONS: [Reason; 15] = [
    Reason::BadRequest,
    Reason::Unauthenticated,
    Reason::NotFound,
    Reason::KeyReused,
    Reason::KeyInProgress,
    Reason::KeyExpired,
    Reason::TooLarge,
    Reason::TeamLimit,
    Reason::Overloaded,
    Reason::Deadline,
    Reason::NoRoute,
    Reason::TargetFailed,
    Reason::LogUnavailable,
    Reason::NotReady,
    Reason::AnswerLost,
];

const _: () = {
    let mut index = 0;
    while index < REASONS.len() {
        assert!(REASONS[index] as usize == index);
        index += 1;
    }
};

/// Values of all metrics of a host, which tasks update concurrently.
#[derive(Debug)]
pub struct Metrics {
    /// Time from a request's arrival to its first token.
    pub time_to_first_token: Histogram,
    /// Time between two successive tokens of an answer.
    pub time_per_output_token: Histogram,
    /// Time from a request's arrival to its end, of requests that were answered completely.
    pub request_duration: Histogram,
    /// Time that a request waited for admission.
    pub queue_wait: Histogram,
    /// Time from the sending of a step to its answer.
    pub step_duration: Histogram,
    /// Number of attempts that a request took.
    pub attempts: Histogram,
    /// Requests that were answered completely.
    pub requests_answered: Counter,
    /// Refused requests, indexed by reason and outcome.
    refusals: [[Counter; 2]; REASONS.len()],
    /// Requests that are currently open.
    pub requests_open: Gauge,
    /// Prompt tokens of admitted requests.
    pub tokens_prompt: Counter,
    /// Answer tokens sent to callers.
    pub tokens_answer: Counter,
    /// Answers of targets that were dropped because they came late or belong to another request.
    pub answers_dropped: Counter,
    /// Recoveries by method, in the order of [`RECOVERY_WAYS`].
    pub recoveries: [Counter; RECOVERY_WAYS.len()],
    /// Returns the bytes of control work, which are counted outside of this crate.
    control_bytes: OnceLock<ControlBytesSource>,
    /// Time for which control work was polled, in nanoseconds. Approximates its processor time.
    pub control_cpu: Counter,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Log lines that were dropped because the output was too slow.
    pub log_lines_dropped: Gauge,
}

/// Bytes that control work sent and received on the connections that this host opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlBytes {
    /// Bytes sent since the start of the process.
    pub sent_bytes: u64,
    /// Bytes received since the start of the process.
    pub received_bytes: u64,
}

#[derive(Debug)]
#[debug("ControlBytesSource")]
struct ControlBytesSource(Box<dyn Fn() -> ControlBytes + Send + Sync>);

/// Methods to continue a request after it lost a stage, cheapest first.
pub const RECOVERY_WAYS: [RecoveryAction; 7] = [
    RecoveryAction::Resume,
    RecoveryAction::Pause,
    RecoveryAction::Import,
    RecoveryAction::Rebuild,
    RecoveryAction::PrefillAgain,
    RecoveryAction::Wait,
    RecoveryAction::GiveUp,
];

/// Upper bucket bounds of the histograms of durations, in seconds.
const DURATION_BOUNDS_S: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.041, 0.06, 0.1, 0.2, 0.37, 0.5, 1.0, 2.5, 5.0, 10.0,
    30.0, 60.0,
];
/// Upper bucket bounds of the histogram of attempts per request.
const ATTEMPT_BOUNDS: &[f64] = &[1.0, 2.0, 3.0, 4.0, 6.0, 8.0];

impl Default for Metrics {
    fn default() -> Self {
        Self {
            time_to_first_token: Histogram::new(DURATION_BOUNDS_S),
            time_per_output_token: Histogram::new(DURATION_BOUNDS_S),
            request_duration: Histogram::new(DURATION_BOUNDS_S),
            queue_wait: Histogram::new(DURATION_BOUNDS_S),
            step_duration: Histogram::new(DURATION_BOUNDS_S),
            attempts: Histogram::new(ATTEMPT_BOUNDS),
            requests_answered: Counter::default(),
            refusals: Default::default(),
            requests_open: Gauge::default(),
            tokens_prompt: Counter::default(),
            tokens_answer: Counter::default(),
            answers_dropped: Counter::default(),
            recoveries: Default::default(),
            control_bytes: OnceLock::new(),
            control_cpu: Counter::default(),
            config_version: Gauge::default(),
            log_lines_dropped: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Sets the function that returns the bytes of control work. Only the first call has an effect.
    pub fn set_control_bytes_source(
        &self,
        source: impl Fn() -> ControlBytes + Send + Sync + 'static,
    ) {
        self.control_bytes
            .get_or_init(|| ControlBytesSource(Box::new(source)));
    }

    /// Returns the bytes of control work so far. They are zero while no source is set.
    pub fn control_bytes(&self) -> ControlBytes {
        self.control_bytes
            .get()
            .map_or_else(ControlBytes::default, |source| (source.0)())
    }

    /// Adds a refused request to the counter of its reason and outcome.
    pub fn count_refusal(&self, refused: &Refused) {
        self.refusals(refused.reason, refused.outcome).add(1);
    }

    /// Returns the counter of requests refused with this reason and outcome.
    pub fn refusals(&self, reason: Reason, outcome: Outcome) -> &Counter {
        &self.refusals[reason as usize][outcome as usize]
    }
}

#[cfg(test)]
mod tests;
