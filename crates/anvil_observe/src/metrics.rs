//! Metrics of a host: plain atomics on the path of a request, exported through `opentelemetry`.
//!
//! The names follow OpenTelemetry's semantic conventions where these have one, and begin with
//! `anvil.` otherwise. [`catalog::METRICS`] describes each.

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

/// Every reason of a refusal. Invariant: in the order of the enum, so that a reason is its index.
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

/// Instruments of a host.
#[derive(Debug)]
pub struct Metrics {
    /// Time from a request's arrival to its first token.
    pub first_token: Histogram,
    /// Time between two tokens of an answer.
    pub between_tokens: Histogram,
    /// Time from a request's arrival to its end.
    pub request_duration: Histogram,
    /// Time in the queue of admission.
    pub queue_wait: Histogram,
    /// Time from a step's sending to its answer.
    pub step_duration: Histogram,
    /// Attempts that a request took.
    pub attempts: Histogram,
    /// Requests answered whole.
    pub requests_answered: Counter,
    /// Requests refused, by reason and outcome.
    refusals: [[Counter; 2]; REASONS.len()],
    /// Requests open now.
    pub requests_open: Gauge,
    /// Prompt tokens taken.
    pub tokens_prompt: Counter,
    /// Answer tokens given.
    pub tokens_answer: Counter,
    /// Late or crossed answers of targets, dropped.
    pub answers_dropped: Counter,
    /// Recoveries, by the way taken, in the order of [`RECOVERY_WAYS`].
    pub recoveries: [Counter; RECOVERY_WAYS.len()],
    /// Where the bytes of control work are counted.
    control_bytes: OnceLock<ControlBytesSource>,
    /// Processor time of control work, in nanoseconds.
    pub control_cpu: Counter,
    /// Configuration version in force.
    pub config_version: Gauge,
    /// Log lines lost because the output was too slow.
    pub log_lines_dropped: Gauge,
}

/// Bytes of control work, on the connections that this host opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlBytes {
    /// Sent.
    pub sent_bytes: u64,
    /// Received.
    pub received_bytes: u64,
}

#[derive(Debug)]
#[debug("ControlBytesSource")]
struct ControlBytesSource(Box<dyn Fn() -> ControlBytes + Send + Sync>);

/// Ways to go on after a stage was lost, cheapest first.
pub const RECOVERY_WAYS: [RecoveryAction; 7] = [
    RecoveryAction::Resume,
    RecoveryAction::Pause,
    RecoveryAction::Import,
    RecoveryAction::Rebuild,
    RecoveryAction::PrefillAgain,
    RecoveryAction::Wait,
    RecoveryAction::GiveUp,
];

/// Bounds of histograms of seconds.
const SECONDS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.041, 0.06, 0.1, 0.2, 0.37, 0.5, 1.0, 2.5, 5.0, 10.0,
    30.0, 60.0,
];
/// Bounds of the histogram of attempts.
const ATTEMPTS: &[f64] = &[1.0, 2.0, 3.0, 4.0, 6.0, 8.0];

impl Default for Metrics {
    fn default() -> Self {
        Self {
            first_token: Histogram::new(SECONDS),
            between_tokens: Histogram::new(SECONDS),
            request_duration: Histogram::new(SECONDS),
            queue_wait: Histogram::new(SECONDS),
            step_duration: Histogram::new(SECONDS),
            attempts: Histogram::new(ATTEMPTS),
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
    /// Names where the bytes of control work are counted. The first source holds.
    pub fn set_control_bytes_source(
        &self,
        source: impl Fn() -> ControlBytes + Send + Sync + 'static,
    ) {
        self.control_bytes
            .get_or_init(|| ControlBytesSource(Box::new(source)));
    }

    /// Bytes of control work so far.
    pub fn control_bytes(&self) -> ControlBytes {
        self.control_bytes
            .get()
            .map_or_else(ControlBytes::default, |source| (source.0)())
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, refused: &Refused) {
        self.refusals(refused.reason, refused.outcome).add(1);
    }

    /// Refusals of a reason and outcome.
    pub fn refusals(&self, reason: Reason, outcome: Outcome) -> &Counter {
        &self.refusals[reason as usize][outcome as usize]
    }
}

#[cfg(test)]
mod tests;
