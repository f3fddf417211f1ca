//! The platform's log in memory.

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

/// What happens to the next append.
#[derive(Clone, Copy, Debug)]
pub enum AppendFault {
    /// Nothing is appended.
    Refuse,
    /// It is appended; its answer is lost.
    LoseAnswer,
    /// It is appended twice.
    Twice,
    /// It is appended after a while.
    Late(Duration),
    /// It is appended after a while; its answer is lost at once.
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

/// The platform's log in memory.
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
    /// Plans the fate of coming appends, one each.
    pub fn inject_faults(&self, faults: impl IntoIterator<Item = AppendFault>) {
        self.state.lock().unwrap().faults.extend(faults);
    }

    /// Makes every call fail, or work again.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// Time that each append and each read takes.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().unwrap().delay = delay;
    }

    /// Drops the records before an offset.
    pub fn truncate_before(&self, stream: &str, offset: Offset) {
        let mut state = self.state.lock().unwrap();
        let stream = state.streams.entry(stream.into()).or_default();
        while stream.horizon < offset {
            stream.records.pop_front();
            stream.horizon += 1;
        }
    }

    /// Reads that were asked for.
    pub fn reads(&self) -> u64 {
        self.state.lock().unwrap().reads
    }

    /// Appends that were asked for.
    pub fn appends(&self) -> u64 {
        self.state.lock().unwrap().appends
    }

    fn push(&self, stream: &LogStreamId, payloads: &[Bytes]) -> Offset {
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

    fn get(&self, stream: &LogStreamId, from: Offset, limit: usize) -> LogBatch {
        let mut state = self.state.lock().unwrap();
        let stream = state.streams.entry(stream.clone()).or_default();
        let skip = usize::try_from(from.saturating_sub(stream.horizon)).unwrap_or(usize::MAX);
        let now = Instant::now();
        let records = (stream.horizon..)
            .zip(&stream.records)
            .skip(skip)
            .take(limit)
            .map(|(offset, (payload, born_at))| LogRecord {
                offset,
                age: now - *born_at,
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

    async fn append_now(
        &self,
        stream: &LogStreamId,
        payloads: Vec<Bytes>,
    ) -> Result<Offset, CallError> {
        let lost = || error(CallErrorKind::AnswerLost, "answer lost");
        let (fault, delay) = {
            let mut state = self.state.lock().unwrap();
            state.appends += 1;
            (state.faults.pop_front(), state.delay)
        };
        tokio::time::sleep(delay).await;
        self.check_up()?;
        match fault {
            None => Ok(self.push(stream, &payloads)),
            Some(AppendFault::Refuse) => Err(error(CallErrorKind::Refused, "planned")),
            Some(AppendFault::LoseAnswer) => {
                self.push(stream, &payloads);
                Err(lost())
            }
            Some(AppendFault::Twice) => {
                let first = self.push(stream, &payloads);
                self.push(stream, &payloads);
                Ok(first)
            }
            Some(AppendFault::Late(delay)) => {
                tokio::time::sleep(delay).await;
                Ok(self.push(stream, &payloads))
            }
            Some(AppendFault::LoseAnswerThenLate(delay)) => {
                self.push_later(stream.clone(), payloads, delay);
                Err(lost())
            }
        }
    }

    fn push_later(&self, stream: LogStreamId, payloads: Vec<Bytes>, delay: Duration) {
        let later = Self {
            state: std::sync::Arc::clone(&self.state),
            changed: self.changed.clone(),
            down: self.down.clone(),
        };
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            later.push(&stream, &payloads);
        });
    }

    async fn read_now(
        &self,
        stream: &LogStreamId,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<LogBatch, CallError> {
        let until = Instant::now() + wait;
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
            let batch = self.get(stream, from, limit);
            if !batch.records.is_empty() || Instant::now() >= until {
                return Ok(batch);
            }
            tokio::select! {
                _ = changed.changed() => {}
                _ = down.changed() => {}
                () = tokio::time::sleep_until(until) => {}
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
        self.append_now(stream, payloads).boxed()
    }

    fn read<'a>(
        &'a self,
        stream: &'a LogStreamId,
        from: Offset,
        limit_records: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<LogBatch, CallError>> {
        self.read_now(stream, from, limit_records, wait).boxed()
    }
}
