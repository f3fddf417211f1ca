//! Waits for the answer to a step as long as its target shows signs of life.

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

/// How long to wait for a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepTimeouts {
    /// Time after which a target that answers nothing is silent.
    pub deadline: Duration,
    /// Time after which the step is given up in any case.
    pub limit: Duration,
}

impl Sequence<'_> {
    /// Sends a step and waits for its answer.
    pub(super) async fn send_and_wait(
        &self,
        target: &Target,
        step: Step,
        patience: StepTimeouts,
    ) -> Result<Answer, (Failure, TargetActivity)> {
        let name = step.name.clone();
        let engine = &self.shared.ports.engine;
        let sent_at = Instant::now();
        let mut answer = pin!(engine.step(&target.address, step, patience.limit));
        let mut until = sent_at + patience.deadline.min(patience.limit);
        loop {
            tokio::select! {
                biased;
                result = &mut answer => return result.map_err(|failure| {
                    let activity = target.activity_since(sent_at);
                    (failure, activity)
                }),
                () = tokio::time::sleep_until(until.into()) => {}
            }
            let waiting = target.pending_step(sent_at, patience.deadline, patience.limit);
            let activity = match check_pending_step(&waiting, Instant::now()) {
                StepStatus::Wait { until: later } => {
                    until = later;
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
