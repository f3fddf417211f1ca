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
    Heard,
    Target, //
};

/// How long to wait for a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Patience {
    /// Time after which a target that answers nothing is silent.
    pub deadline: Duration,
    /// Time after which the step is given up in any case.
    pub limit: Duration,
}

impl Sequence<'_> {
    /// Sends a step and waits for its answer.
    pub(super) async fn wait(
        &self,
        target: &Target,
        step: Step,
        patience: Patience,
    ) -> Result<Answer, (Failure, Heard)> {
        let name = step.name.clone();
        let engine = &self.shared.ports.engine;
        let sent_at = Instant::now();
        let mut answer = pin!(engine.step(&target.address, step, patience.limit));
        let mut until = sent_at + patience.deadline.min(patience.limit);
        loop {
            tokio::select! {
                biased;
                result = &mut answer => return result.map_err(|failure| {
                    let heard = target.heard_since(sent_at);
                    (failure, heard)
                }),
                () = tokio::time::sleep_until(until.into()) => {}
            }
            let waiting = target.waiting(sent_at, patience.deadline, patience.limit);
            let heard = match check_pending_step(&waiting, Instant::now()) {
                StepStatus::Wait { until: later } => {
                    until = later;
                    continue;
                }
                StepStatus::Silent => Heard::Nothing,
                StepStatus::AnswerLost => Heard::Others,
            };
            let failure = Failure::Timeout {
                name,
                target: target.address.id.clone(),
            };
            return Err((failure, heard));
        }
    }
}
