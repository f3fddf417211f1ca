//! Admission of requests at a host: which run now, which wait and which are refused at once.
//!
//! A [`gate::Gate`] controls the admission for one model. While no request waits, a request passes
//! it with a few atomics. Only a request that has to wait takes the gate's lock, to join a fair
//! queue over teams. See `docs/design/admission.md`.

use std::time::{
    Duration,
    Instant, //
};

use rand::{
    Rng,
    RngExt, //
};

use crate::{
    id::TeamId,
    outcome::{
        Reason,
        Refused, //
    }, //
};

pub mod gate;
pub mod prediction;
pub mod queue;

/// Settings of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Most requests that wait for one model. Invariant: above 0.
    pub queue_limit_requests: u32,
    /// Limit on the requests of one model that run at once on a new host. It adapts from there.
    pub open_limit_initial: u32,
    /// Smallest limit on the requests of one model that run at once. Invariant: above 0.
    pub open_limit_min: u32,
    /// Mean time between two tokens up to which more requests of a model are admitted. Invariant:
    /// above 0.
    pub between_tokens_goal: Duration,
    /// Factor on the predicted service time, so that a request starts only with time to spare.
    /// Invariant: at least 1.
    pub service_margin: f64,
    /// Shortest retry delay that a refused caller is given. Invariant: above 0.
    pub retry_after_min: Duration,
    /// Longest retry delay that a refused caller is given. Invariant: at least `retry_after_min`.
    pub retry_after_max: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            queue_limit_requests: 4096,
            open_limit_initial: 64,
            open_limit_min: 4,
            between_tokens_goal: Duration::from_millis(30),
            service_margin: 1.2,
            retry_after_min: Duration::from_secs(1),
            retry_after_max: Duration::from_secs(30),
        }
    }
}

impl Settings {
    fn check(&self) {
        assert!(self.queue_limit_requests > 0, "queue_limit_requests is 0");
        assert!(
            !self.between_tokens_goal.is_zero(),
            "between_tokens_goal is 0"
        );
        assert!(self.service_margin >= 1.0, "service_margin below 1");
        assert!(
            !self.retry_after_min.is_zero() && self.retry_after_min <= self.retry_after_max,
            "retry_after_min is 0 or above retry_after_max"
        );
    }
}

/// What admission needs to know about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The team that it belongs to.
    pub team: TeamId,
    /// Weight of the team. Invariant: above 0.
    pub weight: u32,
    /// Priority among the team's own requests. A request with a larger one goes first.
    pub priority: u8,
    /// Number of prompt tokens plus the largest number of answer tokens.
    pub cost_tokens: u64,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Predicted time to serve the request, by [`prediction::Prediction`].
    pub service_time: Duration,
}

impl Request {
    /// Returns the last moment at which the request can start and meet its deadline.
    pub fn latest_start(&self, settings: &Settings) -> Instant {
        let service_time = self.service_time.mul_f64(settings.service_margin);
        self.deadline
            .checked_sub(service_time)
            .unwrap_or(self.deadline)
    }
}

/// Returns the weight of a team in fair queueing: each step of priority doubles it.
///
/// With a strict order of priorities, one team could starve another. A larger weight can't do that.
pub fn team_weight(weight: u32, priority: u8) -> u32 {
    const DOUBLINGS_MAX: u8 = 7;
    weight
        .max(1)
        .saturating_mul(1 << priority.min(DOUBLINGS_MAX))
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The queue is full, and the team's own backlog is the longest for its weight.
    QueueFull,
    /// The predicted wait and service time exceed the time left.
    PredictedLate,
    /// The request waited until it could no longer be served in time.
    WaitedTooLong,
}

impl Cause {
    /// Returns the stable name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::PredictedLate => "predicted_late",
            Self::WaitedTooLong => "waited_too_long",
        }
    }

    fn reason(self) -> Reason {
        match self {
            Self::QueueFull | Self::PredictedLate => Reason::Overloaded,
            Self::WaitedTooLong => Reason::Deadline,
        }
    }
}

/// The refusal of a request that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub cause: Cause,
    /// Predicted wait of the request.
    pub predicted_wait: Duration,
}

impl Refusal {
    /// Returns the answer to the caller.
    ///
    /// The retry delay is the time in which the current backlog drains, multiplied by a random
    /// factor between 1 and 2 so that callers that are refused together don't retry together.
    pub fn answer(&self, settings: &Settings, rng: &mut impl Rng) -> Refused {
        let base = self
            .predicted_wait
            .clamp(settings.retry_after_min, settings.retry_after_max);
        let jitter = rng.random_range(1.0..2.0);
        let message = format!(
            "not admitted ({}): predicted wait {} ms",
            self.cause.name(),
            self.predicted_wait.as_millis()
        );
        Refused::not_run(self.cause.reason(), message).retry_after(base.mul_f64(jitter))
    }
}
