//! Reads a shard's stream: one long read for what comes, and short ones for fresh looks.

use std::{
    sync::Arc,
    time::Duration, //
};

use anvil_core::id::{
    LogStreamId,
    Offset, //
};
use futures::{
    FutureExt,
    future::BoxFuture, //
};

use crate::port::{
    CallError,
    CallErrorKind,
    Log,
    LogBatch, //
};

/// What a read gave.
pub type Batch = LogBatch;

/// Most records of one read.
const READ_LIMIT_RECORDS: usize = 5000;
/// Longest wait of a read for the next record.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Longest wait for a read's answer beyond its own wait.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a read that failed.
const ERROR_PAUSE: Duration = Duration::from_millis(50);

type Reading = BoxFuture<'static, Result<Batch, CallError>>;

/// A read that ended.
pub enum TailRead {
    /// The long read.
    Long(Result<Batch, CallError>),
    /// A read begun for a fresh look.
    Fresh(Result<Batch, CallError>),
}

/// Reads a shard's stream.
pub struct Tail {
    log: Arc<dyn Log>,
    stream: LogStreamId,
    long: Option<Reading>,
    fresh: Option<Reading>,
    pause: Duration,
}

impl Tail {
    /// Makes a reader that has not started.
    pub fn new(log: Arc<dyn Log>, stream: LogStreamId) -> Self {
        Self {
            log,
            stream,
            long: None,
            fresh: None,
            pause: Duration::ZERO,
        }
    }

    /// Starts the next read, unless one is on its way. It waits for records only once every
    /// record so far was read.
    pub fn start(&mut self, from: Offset, caught_up: bool) {
        if self.long.is_none() {
            let pause = std::mem::take(&mut self.pause);
            let wait = if caught_up { READ_WAIT } else { Duration::ZERO };
            self.long = Some(self.read(from, wait, pause));
        }
    }

    /// Tells whether a fresh read is on its way.
    pub fn has_fresh_read(&self) -> bool {
        self.fresh.is_some()
    }

    /// Starts a fresh read.
    pub fn start_fresh(&mut self, from: Offset) {
        self.fresh = Some(self.read(from, Duration::ZERO, Duration::ZERO));
    }

    /// Waits for the read that ends first.
    pub async fn next(&mut self) -> TailRead {
        tokio::select! {
            result = ended(&mut self.long) => {
                self.long = None;
                if result.is_err() {
                    self.pause = ERROR_PAUSE;
                }
                TailRead::Long(result)
            }
            result = ended(&mut self.fresh) => {
                self.fresh = None;
                TailRead::Fresh(result)
            }
        }
    }

    fn read(&self, from: Offset, wait: Duration, pause: Duration) -> Reading {
        let log = Arc::clone(&self.log);
        let stream = self.stream.clone();
        async move {
            tokio::time::sleep(pause).await;
            let read = log.read(&stream, from, READ_LIMIT_RECORDS, wait);
            match tokio::time::timeout(wait + READ_TIMEOUT, read).await {
                Ok(result) => result,
                Err(_) => Err(CallError {
                    operation: "read",
                    peer: stream,
                    kind: CallErrorKind::AnswerLost,
                    message: "no answer in time".to_owned(),
                }),
            }
        }
        .boxed()
    }
}

async fn ended(reading: &mut Option<Reading>) -> Result<Batch, CallError> {
    match reading {
        Some(reading) => reading.await,
        None => futures::future::pending().await,
    }
}
