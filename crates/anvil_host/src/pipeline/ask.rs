//! Sends one step to a target, and updates what is known of the target from the result.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use anvil_core::{
    concurrency::Outcome,
    health::Severity,
    id::Position,
    outcome::Refused,
    recovery::FailureKind,
    step::{
        Answer,
        Failure,
        Input,
        Name,
        Output,
        Step, //
    },
};

use super::{
    sequence::{
        DispatchState,
        Sequence, //
    },
    stage::Stage,
    wait::StepTimeouts, //
};
use crate::targets::TargetActivity;

/// A failed step, with what the recovery needs to know about it.
#[derive(Debug)]
pub(super) struct StepFailure {
    /// Cause, as reported by the adapter or by the wait for the answer.
    pub failure: Failure,
    /// Number of the connection that the step was sent over.
    pub connection: u64,
    /// Whether the target answered other steps while this one waited.
    pub activity: TargetActivity,
}

impl StepFailure {
    /// Returns the kind of the failure, which decides how to recover.
    pub fn kind(&self) -> FailureKind {
        FailureKind::from(&self.failure)
    }
}

impl Sequence<'_> {
    /// Runs a step on the stage at `index`. The inner result is that of the step. The outer result
    /// is a refusal if the deadline has passed.
    pub(super) async fn run_step(
        &mut self,
        index: usize,
        position: Position,
        input: Input,
    ) -> Result<Result<Output, StepFailure>, Refused> {
        let time_left = self.time_left()?;
        self.dispatch_state = DispatchState::Sent;
        let timeout_min = match self.same_target_retries {
            0 => Duration::ZERO,
            _ => self.shared.targets.settings.recovery.resume_timeout,
        };
        let result = {
            let stage = &self.stages[index];
            self.run_step_on(stage, position, input, time_left, timeout_min)
                .await
        };
        self.stages[index].end_probe();
        Ok(result)
    }

    /// Runs a step on a stage that need not be part of the sequence yet.
    pub(super) async fn run_step_on(
        &self,
        stage: &Stage,
        position: Position,
        input: Input,
        time_left: Duration,
        timeout_min: Duration,
    ) -> Result<Output, StepFailure> {
        let target = stage.target();
        let layer_count = stage.layers.count();
        let token_count = input.token_count();
        let predicted = target.predicted_step(&stage.node, layer_count, token_count);
        let step = self.step(stage, position, input, time_left);
        let name = step.name.clone();
        let connection = target.connection();
        let work_ns = f64::from(token_count) * f64::from(layer_count) * stage.node.layer_ns;
        let in_flight = target.begin_step(work_ns as u64);
        let sent_at = Instant::now();
        let timeouts = self.step_timeouts(stage, predicted, time_left, timeout_min);
        let result = self.send_and_wait(target, step, timeouts).await;
        in_flight.close();
        let result = result.and_then(|answer| self.check_name(stage, &name, answer));
        let outcome = result.as_ref().map_err(|(failure, _)| failure);
        self.record_result(stage, token_count, predicted, sent_at, outcome);
        match result {
            Ok(answer) => Ok(answer.output),
            Err((failure, activity)) => Err(StepFailure {
                failure,
                connection,
                activity,
            }),
        }
    }

    fn step(&self, stage: &Stage, position: Position, input: Input, time_left: Duration) -> Step {
        Step {
            name: Name {
                request: self.job.request.clone(),
                attempt: stage.attempt,
                position,
                layers: stage.layers,
            },
            model: self.job.model.clone(),
            version: self.model.version.clone(),
            priority: self.job.priority,
            time_left,
            input,
        }
    }

    fn step_timeouts(
        &self,
        stage: &Stage,
        predicted: Duration,
        time_left: Duration,
        timeout_min: Duration,
    ) -> StepTimeouts {
        let health = &self.shared.targets.settings.health;
        let deadline = stage.target().step_time.deadline(predicted, health);
        let deadline = deadline.max(timeout_min);
        StepTimeouts {
            deadline,
            limit: (deadline + health.step_deadline_max).min(time_left),
        }
    }

    /// Returns the answer if it has the expected name. Otherwise counts it as dropped and returns a
    /// timeout.
    fn check_name(
        &self,
        stage: &Stage,
        name: &Name,
        answer: Answer,
    ) -> Result<Answer, (Failure, TargetActivity)> {
        if answer.name == *name {
            return Ok(answer);
        }
        self.shared.targets.counters.record_dropped_answer();
        let failure = Failure::Timeout {
            name: name.clone(),
            target: stage.target().address.id.clone(),
        };
        Err((failure, TargetActivity::AnsweredOthers))
    }

    fn record_result(
        &self,
        stage: &Stage,
        token_count: u32,
        predicted: Duration,
        sent_at: Instant,
        result: Result<&Answer, &Failure>,
    ) {
        let target = stage.target();
        let now = Instant::now();
        let elapsed = now - sent_at;
        let outcome = match result {
            Ok(_) => {
                target.record_answer(sent_at, now);
                target.step_time.record(elapsed, predicted, now);
                self.shared.metrics.step_duration.record_duration(elapsed);
                target.retry_budget.deposit();
                if target.breaker.record_success() {
                    log_health(target, "answers again", Duration::ZERO);
                }
                let idle_ns = stage
                    .node
                    .unloaded_step_ns(stage.layers.count(), token_count);
                Outcome::Answered {
                    service_time: elapsed,
                    idle_time: Duration::from_nanos(idle_ns as u64),
                }
            }
            Err(failure) => match FailureKind::from(failure) {
                FailureKind::Silent | FailureKind::Overloaded => Outcome::Overloaded,
                FailureKind::Unreachable
                | FailureKind::ConnectionLost
                | FailureKind::CacheMismatch { .. }
                | FailureKind::NotHeld
                | FailureKind::Leaving
                | FailureKind::Rejected => Outcome::Ignored,
            },
        };
        target.limiter.observe(outcome, now);
    }

    /// Records a failure that points to a fault of the target. Ejects the target after several in a
    /// row, or at once if it is unreachable.
    pub(super) fn record_failure(&self, target: &Arc<crate::targets::Target>, kind: FailureKind) {
        let health = &self.shared.targets.settings.health;
        if !kind.is_target_fault() {
            return;
        }
        let severity = match kind {
            FailureKind::Unreachable => Severity::Confirmed,
            _ => Severity::Suspected,
        };
        if let Some(ejection_time) = target
            .breaker
            .record_failure(severity, Instant::now(), health)
        {
            target.cache.clear();
            log_health(target, "ejected", ejection_time);
        }
    }
}

fn log_health(target: &crate::targets::Target, state: &str, ejection_time: Duration) {
    spdlog::warn!("target.health", kv: {
        target = target.address.id.as_str(),
        state,
        ejection_ms = ejection_time.as_millis() as u64,
    });
}
