//! Sends the answers to steps, with injected faults.

use std::{
    sync::Mutex,
    time::Duration, //
};

use anvil_wire::generated::engine::StepAnswer;
use tokio::sync::mpsc::UnboundedSender;

use super::AnswerFault;
use crate::fault::{
    FaultInjector,
    lock, //
};

/// Fault injectors for answers.
pub(super) struct AnswerFaults {
    lost: FaultInjector,
    late: FaultInjector,
    crossed: FaultInjector,
    duplicated: FaultInjector,
    late_delay: Mutex<Duration>,
}

impl AnswerFaults {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            lost: FaultInjector::new(seed ^ 1),
            late: FaultInjector::new(seed ^ 2),
            crossed: FaultInjector::new(seed ^ 3),
            duplicated: FaultInjector::new(seed ^ 4),
            late_delay: Mutex::new(Duration::from_millis(100)),
        }
    }

    pub(super) fn injector(&self, fault: AnswerFault) -> &FaultInjector {
        match fault {
            AnswerFault::Lost => &self.lost,
            AnswerFault::Late => &self.late,
            AnswerFault::Crossed => &self.crossed,
            AnswerFault::Duplicated => &self.duplicated,
        }
    }

    pub(super) fn set_late_delay(&self, delay: Duration) {
        *lock(&self.late_delay) = delay;
    }

    /// Sends the answers of a batch, with the faults that are injected into them.
    pub(super) fn send(&self, mut answers: Vec<(StepAnswer, UnboundedSender<StepAnswer>)>) {
        if answers.len() > 1 && self.crossed.should_inject() {
            let tag = answers[0].0.tag;
            answers[0].0.tag = answers[1].0.tag;
            answers[1].0.tag = tag;
        }
        for (answer, reply) in answers {
            if self.lost.should_inject() {
                continue;
            }
            if self.late.should_inject() {
                let delay = *lock(&self.late_delay);
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    // A caller that closed its stream needs no answer.
                    let _receiver_closed = reply.send(answer);
                });
                continue;
            }
            if self.duplicated.should_inject() {
                let _receiver_closed = reply.send(answer.clone());
            }
            let _receiver_closed = reply.send(answer);
        }
    }
}
