//! Steps of one connection whose answers are still pending.

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

/// Number of shards of the table, each with its own lock to reduce contention.
const SHARD_COUNT: u64 = 16;

/// Why a step gets no answer on its connection. The text states why the connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum NoAnswerCause {
    /// The step was never written to the connection.
    NotSent(SmolStr),
    /// The step was or may have been written to the connection.
    Sent(SmolStr),
}

/// Counters of dropped answers, which no pending step matched.
#[derive(Debug, Default)]
pub struct DroppedAnswers {
    late: AtomicU64,
    mismatched: AtomicU64,
}

impl DroppedAnswers {
    /// Returns the number of answers whose step had already been answered or abandoned.
    pub fn late_count(&self) -> u64 {
        self.late.load(Ordering::Relaxed)
    }

    /// Returns the number of answers with the tag of one step and the name of another.
    pub fn mismatched_count(&self) -> u64 {
        self.mismatched.load(Ordering::Relaxed)
    }
}

/// Pending steps of one connection, by tag.
#[derive(Debug)]
pub(super) struct PendingSteps {
    shards: [Mutex<HashMap<u64, Waiter>>; SHARD_COUNT as usize],
    next_tag: AtomicU64,
    dropped: Arc<DroppedAnswers>,
}

/// Name of a pending step, and the channel to the caller that waits for its answer.
#[derive(Debug)]
struct Waiter {
    name: StepName,
    reply: oneshot::Sender<Result<StepAnswer, NoAnswerCause>>,
}

/// Future answer to a step. Dropping it abandons the step: a later answer is counted as dropped.
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

    /// Registers a step under a new tag. The engine copies the tag into its answer.
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

    /// Sends an answer to the caller that waits for it, or counts it as dropped.
    pub(super) fn complete(&self, answer: StepAnswer) {
        let mut shard = self.shard(answer.tag);
        let Some(waiter) = shard.get(&answer.tag) else {
            self.dropped.late.fetch_add(1, Ordering::Relaxed);
            return;
        };
        if waiter.name != answer.name {
            self.dropped.mismatched.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let waiter = shard.remove(&answer.tag);
        drop(shard);
        if let Some(waiter) = waiter {
            // If the caller no longer waits, nobody needs the answer.
            let _not_waiting = waiter.reply.send(Ok(answer));
        }
    }

    /// Fails a step that gets no answer on this connection.
    pub(super) fn fail(&self, tag: u64, cause: NoAnswerCause) {
        let waiter = self.shard(tag).remove(&tag);
        if let Some(waiter) = waiter {
            let _not_waiting = waiter.reply.send(Err(cause));
        }
    }

    /// Fails all pending steps, which get no answer on this connection.
    pub(super) fn fail_all(&self, cause: &NoAnswerCause) {
        for shard in &self.shards {
            let waiters = std::mem::take(&mut *lock(shard));
            for waiter in waiters.into_values() {
                let _not_waiting = waiter.reply.send(Err(cause.clone()));
            }
        }
    }

    fn shard(&self, tag: u64) -> MutexGuard<'_, HashMap<u64, Waiter>> {
        let index = usize::try_from(tag % SHARD_COUNT).unwrap_or_default();
        lock(&self.shards[index])
    }
}

impl PendingAnswer {
    /// Returns the tag that the step and its answer carry.
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

/// Locks a shard. A poisoned lock is safe to use: every change to the map is a single call, so a
/// panic cannot leave it half done.
fn lock(shard: &Mutex<HashMap<u64, Waiter>>) -> MutexGuard<'_, HashMap<u64, Waiter>> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
