//! Fake of the platform's log that keeps records in memory.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    sync::Mutex,
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
use tokio::{
    sync::watch,
    time::Instant, //
};

use super::error;
use crate::port::{
    CallError,
    CallErrorKind,
    Log,
    LogBatch,
    LogRecord, //
};

/// Fault of the next append.
#[derive(Clone, Copy, Debug)]
pub enum AppendFault {
    /// Nothing is appended, and the call is refused.
    Refuse,
    /// The records are appended; the answer is lost.
    LoseAnswer,
    /// The records are appended twice.
    Twice,
    /// The records are appended after a delay, and then the append is answered.
    Late(Duration),
    /// The answer is lost at once; the records are appended after a delay.
    LoseAnswerThenLate(Duration),
}

#[derive(Default)]
struct Stream {
    horizon: Offset,
    records: VecDeque<(Bytes, Instant)>,
}

#[derive(Default)]
struct State {
    streams: HashMap<LogStreamId, Stream>,
    faults: VecDeque<AppendFault>,
    appends: u64,
    reads: u64,
    delay: Duration,
}

/// Fake of the platform's log that keeps records in memory.
pub struct FakeLog {
    state: std::sync::Arc<Mutex<State>>,
    changed: watch::Sender<()>,
    down: watch::Sender<bool>,
}

impl Default for FakeLog {
    fn default() -> Self {
        Self {
            state: std::sync::Arc::default(),
            changed: watch::Sender::new(()),
            down: watch::Sender::new(false),
        }
    }
}

impl FakeLog {
    /// Adds faults for the next appends, one for each append.
    pub fn inject_faults(&self, faults: impl IntoIterator<Item = AppendFault>) {
        self.state.lock().unwrap().faults.extend(faults);
    }

    /// Makes every call fail, or succeed again.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// Sets the time that each append and each read takes.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().unwrap().delay = delay;
    }

    /// Drops the records of a stream before an offset.
    pub fn truncate_before(&self, stream: &str, offset: Offset) {
        let mut state = self.state.lock().unwrap();
        let stream = state.streams.entry(stream.into()).or_default();
        while stream.horizon < offset {
            stream.records.pop_front();
            stream.horizon += 1;
        }
    }

    /// Returns the number of reads so far, failed ones included.
    pub fn reads(&self) -> u64 {
        self.state.lock().unwrap().reads
    }

    /// Returns the number of appends so far, failed ones included.
    pub fn appends(&self) -> u64 {
        self.state.lock().unwrap().appends
    }

    fn push_records(&self, stream: &LogStreamId, payloads: &[Bytes]) -> Offset {
        let mut state = self.state.lock().unwrap();
        let stream = state.streams.entry(stream.clone()).or_default();
        let first = stream.horizon + stream.records.len() as u64;
        let now = Instant::now();
        stream
            .records
            .extend(payloads.iter().map(|payload| (payload.clone(), now)));
        drop(state);
        self.changed.send_replace(());
        first
    }

    fn batch_from(&self, stream: &LogStreamId, from: Offset, limit: usize) -> LogBatch {
        let mut state = self.state.lock().unwrap();
        let stream = state.streams.entry(stream.clone()).or_default();
        let skip = usize::try_from(from.saturating_sub(stream.horizon)).unwrap_or(usize::MAX);
        let now = Instant::now();
        let records = (stream.horizon..)
            .zip(&stream.records)
            .skip(skip)
            .take(limit)
            .map(|(offset, (payload, appended_at))| LogRecord {
                offset,
                age: now - *appended_at,
                payload: payload.clone(),
            })
            .collect();
        LogBatch {
            horizon_offset: stream.horizon,
            end_offset: stream.horizon + stream.records.len() as u64,
            records,
        }
    }

    fn check_up(&self) -> Result<(), CallError> {
        if *self.down.borrow() {
            return Err(error(CallErrorKind::NotSent, "the log is down"));
        }
        Ok(())
    }

    async fn append_with_faults(
        &self,
        stream: &LogStreamId,
        payloads: Vec<Bytes>,
    ) -> Result<Offset, CallError> {
        let answer_lost = || error(CallErrorKind::AnswerLost, "answer lost");
        let (fault, delay) = {
            let mut state = self.state.lock().unwrap();
            state.appends += 1;
            (state.faults.pop_front(), state.delay)
        };
        tokio::time::sleep(delay).await;
        self.check_up()?;
        match fault {
            None => Ok(self.push_records(stream, &payloads)),
            Some(AppendFault::Refuse) => Err(error(CallErrorKind::Refused, "injected fault")),
            Some(AppendFault::LoseAnswer) => {
                self.push_records(stream, &payloads);
                Err(answer_lost())
            }
            Some(AppendFault::Twice) => {
                let first = self.push_records(stream, &payloads);
                self.push_records(stream, &payloads);
                Ok(first)
            }
            Some(AppendFault::Late(delay)) => {
                tokio::time::sleep(delay).await;
                Ok(self.push_records(stream, &payloads))
            }
            Some(AppendFault::LoseAnswerThenLate(delay)) => {
                self.push_later(stream.clone(), payloads, delay);
                Err(answer_lost())
            }
        }
    }

    fn push_later(&self, stream: LogStreamId, payloads: Vec<Bytes>, delay: Duration) {
        let log = Self {
            state: std::sync::Arc::clone(&self.state),
            changed: self.changed.clone(),
            down: self.down.clone(),
        };
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            log.push_records(&stream, &payloads);
        });
    }

    async fn read_with_delay(
        &self,
        stream: &LogStreamId,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<LogBatch, CallError> {
        let deadline = Instant::now() + wait;
        let delay = {
            let mut state = self.state.lock().unwrap();
            state.reads += 1;
            state.delay
        };
        tokio::time::sleep(delay).await;
        let mut changed = self.changed.subscribe();
        let mut down = self.down.subscribe();
        loop {
            self.check_up()?;
            let batch = self.batch_from(stream, from, limit);
            if !batch.records.is_empty() || Instant::now() >= deadline {
                return Ok(batch);
            }
            tokio::select! {
                _ = changed.changed() => {}
                _ = down.changed() => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
    }
}

impl Log for FakeLog {
    fn append<'a>(
        &'a self,
        stream: &'a LogStreamId,
        payloads: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<Offset, CallError>> {
        self.append_with_faults(stream, payloads).boxed()
    }

    fn read<'a>(
        &'a self,
        stream: &'a LogStreamId,
        from: Offset,
        limit_records: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<LogBatch, CallError>> {
        self.read_with_delay(stream, from, limit_records, wait)
            .boxed()
    }
}
