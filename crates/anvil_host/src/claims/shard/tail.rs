//! Reads a shard's stream: a long poll for new records, and short reads for fresh look-ups.

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

/// Records that one read returned, with the end and horizon of the stream.
pub type Batch = LogBatch;

/// Maximum number of records of one read.
const READ_LIMIT_RECORDS: usize = 5000;
/// Longest time for which the log holds a read back until a record arrives.
const LONG_POLL_WAIT: Duration = Duration::from_secs(2);
/// Time for which a read's answer is awaited beyond the wait that the read asks for.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Pause after a failed long poll.
const ERROR_BACKOFF: Duration = Duration::from_millis(50);

type PendingRead = BoxFuture<'static, Result<Batch, CallError>>;

/// Result of a read that ended.
pub enum TailRead {
    /// The read that waits for new records.
    LongPoll(Result<Batch, CallError>),
    /// A read that was started for fresh look-ups and does not wait for new records.
    Fresh(Result<Batch, CallError>),
}

/// Reads a shard's stream, with at most one long poll and one fresh read in flight.
pub struct Tail {
    log: Arc<dyn Log>,
    stream: LogStreamId,
    long_poll: Option<PendingRead>,
    fresh_read: Option<PendingRead>,
    delay: Duration,
}

impl Tail {
    /// Creates a reader with no read in flight.
    pub fn new(log: Arc<dyn Log>, stream: LogStreamId) -> Self {
        Self {
            log,
            stream,
            long_poll: None,
            fresh_read: None,
            delay: Duration::ZERO,
        }
    }

    /// Starts the next long poll, unless one is in flight. It waits for new records only if
    /// `caught_up` says that every earlier record was read.
    pub fn start(&mut self, from: Offset, caught_up: bool) {
        if self.long_poll.is_none() {
            let delay = std::mem::take(&mut self.delay);
            let wait = if caught_up {
                LONG_POLL_WAIT
            } else {
                Duration::ZERO
            };
            self.long_poll = Some(self.read(from, wait, delay));
        }
    }

    /// Returns whether a fresh read is in flight.
    pub fn has_fresh_read(&self) -> bool {
        self.fresh_read.is_some()
    }

    /// Starts a fresh read from the given offset, in place of any earlier one.
    pub fn start_fresh(&mut self, from: Offset) {
        self.fresh_read = Some(self.read(from, Duration::ZERO, Duration::ZERO));
    }

    /// Waits until a read ends, and returns its result.
    pub async fn next(&mut self) -> TailRead {
        tokio::select! {
            result = wait_for_read(&mut self.long_poll) => {
                self.long_poll = None;
                if result.is_err() {
                    self.delay = ERROR_BACKOFF;
                }
                TailRead::LongPoll(result)
            }
            result = wait_for_read(&mut self.fresh_read) => {
                self.fresh_read = None;
                TailRead::Fresh(result)
            }
        }
    }

    fn read(&self, from: Offset, wait: Duration, delay: Duration) -> PendingRead {
        let log = Arc::clone(&self.log);
        let stream = self.stream.clone();
        async move {
            tokio::time::sleep(delay).await;
            let read = log.read(&stream, from, READ_LIMIT_RECORDS, wait);
            match tokio::time::timeout(wait + READ_TIMEOUT_MARGIN, read).await {
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

async fn wait_for_read(read: &mut Option<PendingRead>) -> Result<Batch, CallError> {
    match read {
        Some(read) => read.await,
        None => futures::future::pending().await,
    }
}
