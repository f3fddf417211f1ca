//! Disconnects one host from the log.

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

/// A host's connection to the log, which a test can interrupt.
pub struct DisconnectableLog {
    log: Arc<dyn Log>,
    disconnected: watch::Sender<bool>,
}

impl DisconnectableLog {
    /// Creates a connection that works.
    pub fn new(log: Arc<dyn Log>) -> Self {
        Self {
            log,
            disconnected: watch::Sender::new(false),
        }
    }

    /// Interrupts the connection, which also fails calls under way, or restores it.
    pub fn set_disconnected(&self, disconnected: bool) {
        self.disconnected.send_replace(disconnected);
    }

    async fn or_disconnected<T>(
        &self,
        call: impl Future<Output = Result<T, CallError>>,
    ) -> Result<T, CallError> {
        let mut disconnected = self.disconnected.subscribe();
        tokio::select! {
            biased;
            _ = disconnected.wait_for(|is_set| *is_set) => Err(error(
                CallErrorKind::AnswerLost,
                "disconnected",
            )),
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
        self.or_disconnected(self.log.append(stream, payloads))
            .boxed()
    }

    fn read<'a>(
        &'a self,
        stream: &'a LogStreamId,
        from: Offset,
        limit_records: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<LogBatch, CallError>> {
        self.or_disconnected(self.log.read(stream, from, limit_records, wait))
            .boxed()
    }
}
