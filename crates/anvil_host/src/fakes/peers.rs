//! Fake of the calls between hosts, which run in the same process.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use anvil_core::id::HostId;
use bytes::Bytes;
use futures::{
    FutureExt,
    future::BoxFuture, //
};

use super::error;
use crate::port::{
    CallError,
    CallErrorKind,
    PeerAddress,
    Peers, //
};

/// Fault of the next call to a peer.
#[derive(Clone, Copy, Debug)]
pub enum PeerFault {
    /// The call works.
    Pass,
    /// The call is not sent.
    NotSent,
    /// The call is carried out; the answer is lost.
    LoseAnswer,
    /// The answer is lost at once; the call is carried out after a delay.
    LoseAnswerThenLate(Duration),
}

type Handler = Arc<dyn Fn(&'static str, Bytes) -> BoxFuture<'static, Bytes> + Send + Sync>;

#[derive(Default)]
struct State {
    handlers: HashMap<HostId, Handler>,
    faults: VecDeque<PeerFault>,
}

/// Fake of the calls between hosts, which run in the same process.
#[derive(Default)]
pub struct FakePeers {
    state: Mutex<State>,
}

impl FakePeers {
    /// Adds a host, whose calls the handler answers, or replaces its handler.
    pub fn add(
        &self,
        host: impl Into<HostId>,
        handler: impl Fn(&'static str, Bytes) -> BoxFuture<'static, Bytes> + Send + Sync + 'static,
    ) {
        let mut state = self.state.lock().unwrap();
        state.handlers.insert(host.into(), Arc::new(handler));
    }

    /// Makes a host unreachable.
    pub fn remove(&self, host: &str) {
        self.state.lock().unwrap().handlers.remove(host);
    }

    /// Adds faults for the next calls to any host, one for each call.
    pub fn inject_faults(&self, faults: impl IntoIterator<Item = PeerFault>) {
        self.state.lock().unwrap().faults.extend(faults);
    }
}

impl Peers for FakePeers {
    fn call<'a>(
        &'a self,
        peer: &'a PeerAddress,
        path: &'static str,
        body: Bytes,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Bytes, CallError>> {
        let (handler, fault) = {
            let mut state = self.state.lock().unwrap();
            let fault = state.faults.pop_front().unwrap_or(PeerFault::Pass);
            (state.handlers.get(&peer.id).cloned(), fault)
        };
        async move {
            let Some(handler) = handler else {
                return Err(error(CallErrorKind::NotSent, "no such peer"));
            };
            let answer_lost = error(CallErrorKind::AnswerLost, "answer lost");
            match fault {
                PeerFault::Pass => tokio::time::timeout(timeout, handler(path, body))
                    .await
                    .map_err(|_| answer_lost),
                PeerFault::NotSent => Err(error(CallErrorKind::NotSent, "injected fault")),
                PeerFault::LoseAnswer => {
                    handler(path, body).await;
                    Err(answer_lost)
                }
                PeerFault::LoseAnswerThenLate(delay) => {
                    tokio::spawn(async move {
                        tokio::time::sleep(delay).await;
                        handler(path, body).await;
                    });
                    Err(answer_lost)
                }
            }
        }
        .boxed()
    }
}
