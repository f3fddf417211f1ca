//! Waits for the answer to a step as long as its target answers other steps.

use std::{
    pin::pin,
    time::{
        Duration,
        Instant, //
    },
};

use anvil_core::{
    health::{
        StepStatus,
        check_pending_step, //
    },
    step::{
        Answer,
        Failure,
        Step, //
    },
};

use super::sequence::Sequence;
use crate::targets::{
    Target, //
    TargetActivity,
};

/// Time limits of the wait for a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepTimeouts {
    /// Time after which a target that answers nothing counts as silent.
    pub deadline: Duration,
    /// Time after which the step fails in any case.
    pub limit: Duration,
}

impl Sequence<'_> {
    /// Sends a step and waits for its answer. The error states whether the target answered other
    /// steps meanwhile.
    pub(super) async fn send_and_wait(
        &self,
        target: &Target,
        step: Step,
        timeouts: StepTimeouts,
    ) -> Result<Answer, (Failure, TargetActivity)> {
        let name = step.name.clone();
        let engine = &self.shared.ports.engine;
        let sent_at = Instant::now();
        let mut answer = pin!(engine.step(&target.address, step, timeouts.limit));
        let mut check_at = sent_at + timeouts.deadline.min(timeouts.limit);
        loop {
            tokio::select! {
                biased;
                result = &mut answer => return result.map_err(|failure| {
                    let activity = target.activity_since(sent_at);
                    (failure, activity)
                }),
                () = tokio::time::sleep_until(check_at.into()) => {}
            }
            let pending = target.pending_step(sent_at, timeouts.deadline, timeouts.limit);
            let activity = match check_pending_step(&pending, Instant::now()) {
                StepStatus::Wait { until: next_check } => {
                    check_at = next_check;
                    continue;
                }
                StepStatus::Silent => TargetActivity::Silent,
                StepStatus::AnswerLost => TargetActivity::AnsweredOthers,
            };
            let failure = Failure::Timeout {
                name,
                target: target.address.id.clone(),
            };
            return Err((failure, activity));
        }
    }
}
