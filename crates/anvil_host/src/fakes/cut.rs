//! Cuts one host off from the log.

use std::{
    sync::Arc,
    time::Duration, //
};

use anvil_core::id::{
    LogStreamId,
    Offset, //
};
use bytes::Bytes;
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use tokio::sync::watch;

use super::error;
use crate::port::{
    CallError,
    CallErrorKind,
    Log,
    LogBatch, //
};

/// A host's way to the log, which can be cut.
pub struct DisconnectableLog {
    log: Arc<dyn Log>,
    cut: watch::Sender<bool>,
}

impl DisconnectableLog {
    /// Makes a way that is open.
    pub fn new(log: Arc<dyn Log>) -> Self {
        Self {
            log,
            cut: watch::Sender::new(false),
        }
    }

    /// Cuts the way, or opens it again.
    pub fn set_disconnected(&self, cut: bool) {
        self.cut.send_replace(cut);
    }

    async fn or_cut<T>(
        &self,
        call: impl Future<Output = Result<T, CallError>>,
    ) -> Result<T, CallError> {
        let mut cut = self.cut.subscribe();
        tokio::select! {
            biased;
            _ = cut.wait_for(|cut| *cut) => Err(error(CallErrorKind::AnswerLost, "cut off")),
            result = call => result,
        }
    }
}

impl Log for DisconnectableLog {
    fn append<'a>(
        &'a self,
        stream: &'a LogStreamId,
        payloads: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<Offset, CallError>> {
        self.or_cut(self.log.append(stream, payloads)).boxed()
    }

    fn read<'a>(
        &'a self,
        stream: &'a LogStreamId,
        from: Offset,
        limit_records: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<LogBatch, CallError>> {
        self.or_cut(self.log.read(stream, from, limit_records, wait))
            .boxed()
    }
}
