//! Steps of one connection that await their answers.

use std::{
    collections::HashMap,
    future::Future,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
    },
};

use anvil_wire::generated::engine::{
    StepAnswer,
    StepName, //
};
use smol_str::SmolStr;
use tokio::sync::oneshot;

/// Number of separately locked parts of the table.
const SHARD_COUNT: u64 = 16;

/// Why a step gets no answer on its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum NoAnswerCause {
    /// It was never written.
    NotSent(SmolStr),
    /// It was written, or may have been.
    Sent(SmolStr),
}

/// Counts of answers that nobody awaited.
#[derive(Debug, Default)]
pub struct DroppedAnswers {
    late: AtomicU64,
    crossed: AtomicU64,
}

impl DroppedAnswers {
    /// Answers whose step had been answered or given up.
    pub fn late_count(&self) -> u64 {
        self.late.load(Ordering::Relaxed)
    }

    /// Answers that carried the tag of one step and the name of another.
    pub fn mismatched_count(&self) -> u64 {
        self.crossed.load(Ordering::Relaxed)
    }
}

/// The awaited steps of one connection.
#[derive(Debug)]
pub(super) struct PendingSteps {
    shards: [Mutex<HashMap<u64, Waiter>>; SHARD_COUNT as usize],
    next_tag: AtomicU64,
    dropped: Arc<DroppedAnswers>,
}

/// The asker of a step.
#[derive(Debug)]
struct Waiter {
    name: StepName,
    reply: oneshot::Sender<Result<StepAnswer, NoAnswerCause>>,
}

/// The answer to a step. Dropping it gives the step up.
pub(super) struct PendingAnswer {
    tag: u64,
    pending: Arc<PendingSteps>,
    answer: oneshot::Receiver<Result<StepAnswer, NoAnswerCause>>,
}

impl PendingSteps {
    pub(super) fn new(dropped: Arc<DroppedAnswers>) -> Arc<Self> {
        Arc::new(Self {
            shards: Default::default(),
            next_tag: AtomicU64::new(1),
            dropped,
        })
    }

    /// Registers a step; its tag is that of the answer.
    pub(super) fn register(self: &Arc<Self>, name: StepName) -> PendingAnswer {
        let tag = self.next_tag.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        self.shard(tag).insert(tag, Waiter { name, reply });
        PendingAnswer {
            tag,
            pending: Arc::clone(self),
            answer,
        }
    }

    /// Gives an answer to its asker, or counts it as dropped.
    pub(super) fn complete(&self, answer: StepAnswer) {
        let mut shard = self.shard(answer.tag);
        let Some(waiter) = shard.get(&answer.tag) else {
            self.dropped.late.fetch_add(1, Ordering::Relaxed);
            return;
        };
        if waiter.name != answer.name {
            self.dropped.crossed.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let waiter = shard.remove(&answer.tag);
        drop(shard);
        if let Some(waiter) = waiter {
            // An asker that has gone needs no answer.
            let _gone = waiter.reply.send(Ok(answer));
        }
    }

    /// Tells an asker that its step gets no answer here.
    pub(super) fn fail(&self, tag: u64, lost: NoAnswerCause) {
        let waiter = self.shard(tag).remove(&tag);
        if let Some(waiter) = waiter {
            let _gone = waiter.reply.send(Err(lost));
        }
    }

    /// Tells every asker that its step gets no answer here.
    pub(super) fn fail_all(&self, lost: &NoAnswerCause) {
        for shard in &self.shards {
            let waiters = std::mem::take(&mut *lock(shard));
            for waiter in waiters.into_values() {
                let _gone = waiter.reply.send(Err(lost.clone()));
            }
        }
    }

    fn shard(&self, tag: u64) -> MutexGuard<'_, HashMap<u64, Waiter>> {
        let index = usize::try_from(tag % SHARD_COUNT).unwrap_or_default();
        lock(&self.shards[index])
    }
}

impl PendingAnswer {
    /// The tag of the answer.
    pub(super) fn tag(&self) -> u64 {
        self.tag
    }
}

impl Future for PendingAnswer {
    type Output = Result<StepAnswer, NoAnswerCause>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.answer).poll(context).map(|answer| {
            answer
                .unwrap_or_else(|_| Err(NoAnswerCause::Sent("the connection was abandoned".into())))
        })
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        self.pending.shard(self.tag).remove(&self.tag);
    }
}

/// Locks a shard; every change to it is one call, so a panic leaves it whole.
fn lock(shard: &Mutex<HashMap<u64, Waiter>>) -> MutexGuard<'_, HashMap<u64, Waiter>> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
