//! Fake of a plain service that records the calls that it runs.

use std::{
    collections::VecDeque,
    sync::Mutex,
    time::Duration, //
};

use futures::{
    FutureExt,
    future::BoxFuture, //
};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::error;
use crate::port::{
    CallError,
    CallErrorKind,
    PlainService,
    ServiceAnswer,
    ServiceCall,
    TargetAddress, //
};

/// Fault of the next call.
#[derive(Clone, Copy, Debug)]
pub enum ServiceFault {
    /// The call runs and is answered.
    Pass,
    /// The call is not sent.
    NotSent,
    /// The call runs; the answer is lost.
    LoseAnswer,
    /// The call runs at once and is answered after a delay.
    Slow(Duration),
}

/// One run of a call.
#[derive(Clone, Debug)]
pub struct Run {
    /// Idempotency key of the call; `None` if it had none.
    pub key: Option<SmolStr>,
    /// Name of the instance that ran the call.
    pub target: SmolStr,
    /// When the call ran.
    pub at: Instant,
}

/// Fake of a plain service that records the calls that it runs.
#[derive(Default)]
pub struct FakeService {
    runs: Mutex<Vec<Run>>,
    faults: Mutex<VecDeque<ServiceFault>>,
}

impl FakeService {
    /// Adds faults for the next calls, one for each call.
    pub fn inject_faults(&self, faults: impl IntoIterator<Item = ServiceFault>) {
        self.faults.lock().unwrap().extend(faults);
    }

    /// Returns all runs so far, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn run(&self, target: &TargetAddress, call: &ServiceCall) -> ServiceAnswer {
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            key: call.idempotency_key.clone(),
            target: target.id.clone(),
            at: Instant::now(),
        });
        ServiceAnswer {
            status: 200,
            content_type: Some("text/plain".into()),
            body: format!("run {}", runs.len()).into(),
        }
    }
}

impl PlainService for FakeService {
    fn call<'a>(
        &'a self,
        target: &'a TargetAddress,
        call: ServiceCall,
        _timeout: Duration,
    ) -> BoxFuture<'a, Result<ServiceAnswer, CallError>> {
        let fault = self.faults.lock().unwrap().pop_front();
        async move {
            match fault.unwrap_or(ServiceFault::Pass) {
                ServiceFault::Pass => Ok(self.run(target, &call)),
                ServiceFault::NotSent => Err(error(CallErrorKind::NotSent, "injected fault")),
                ServiceFault::LoseAnswer => {
                    self.run(target, &call);
                    Err(error(CallErrorKind::AnswerLost, "injected fault"))
                }
                ServiceFault::Slow(delay) => {
                    let answer = self.run(target, &call);
                    tokio::time::sleep(delay).await;
                    Ok(answer)
                }
            }
        }
        .boxed()
    }
}
