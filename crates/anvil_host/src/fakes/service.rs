//! A plain service that counts what it runs.

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

/// What happens to the next call.
#[derive(Clone, Copy, Debug)]
pub enum ServiceFault {
    /// It runs and is answered.
    Pass,
    /// It isn't sent.
    NotSent,
    /// It runs; its answer is lost.
    LoseAnswer,
    /// It runs and is answered after a while.
    Slow(Duration),
}

/// One run of a call.
#[derive(Clone, Debug)]
pub struct Run {
    /// The call's idempotency key.
    pub key: Option<SmolStr>,
    /// The instance that ran it.
    pub target: SmolStr,
    /// When it ran.
    pub at: Instant,
}

/// A plain service that counts what it runs.
#[derive(Default)]
pub struct FakeService {
    runs: Mutex<Vec<Run>>,
    faults: Mutex<VecDeque<ServiceFault>>,
}

impl FakeService {
    /// Plans the fate of coming calls, one each.
    pub fn inject_faults(&self, faults: impl IntoIterator<Item = ServiceFault>) {
        self.faults.lock().unwrap().extend(faults);
    }

    /// Everything that ran.
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
                ServiceFault::NotSent => Err(error(CallErrorKind::NotSent, "planned")),
                ServiceFault::LoseAnswer => {
                    self.run(target, &call);
                    Err(error(CallErrorKind::AnswerLost, "planned"))
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
