//! Targets that this host stopped watching while a request may have been running there: the caller left,
//! or the time for the attempt was over. A request that ends targets ends them all the same.

use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        VecDeque, //
    },
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    id::RequestId,
    quarantine::{
        Admission,
        Suspect, //
    },
};
use futures::future;
use tokio::{
    sync::Notify,
    time::{
        Instant,
        sleep_until, //
    },
};

use crate::{
    exchange::RequestContext,
    faults::{
        self,
        ProcessState, //
    },
    gateway::Gateway,
    target::Target,
};

/// Times after a request was abandoned at which its target is examined.
const CHECK_DELAYS: [Duration; 2] = [Duration::from_millis(250), Duration::from_millis(1200)];
/// Most abandoned requests that are watched. Further ones are not: a fault that ends targets shows at
/// others too.
const WATCHED_MAX: usize = 256;

/// A request that was sent to a target and abandoned.
#[derive(Debug)]
pub struct Abandoned {
    request_id: RequestId,
    /// The whole request. Parts of its prompt are shared by too many others.
    suspect: Suspect,
    admission: Admission,
    target: Rc<Target>,
    /// The process that the request was sent to.
    process_hash: u32,
    abandoned_at: Instant,
}

/// Abandoned requests whose targets are to be examined.
#[derive(Debug, Default)]
pub struct AbandonedQueue {
    /// When each is due, with the number of the check. Invariant: at most [`WATCHED_MAX`].
    due: RefCell<VecDeque<(Instant, usize, Abandoned)>>,
    added: Notify,
}

impl AbandonedQueue {
    fn push(&self, check: usize, abandoned: Abandoned) {
        let Some(delay) = CHECK_DELAYS.get(check) else {
            return;
        };
        let mut due = self.due.borrow_mut();
        if due.len() >= WATCHED_MAX {
            return;
        }
        let at = abandoned.abandoned_at + *delay;
        let index = due.partition_point(|(other, ..)| *other <= at);
        due.insert(index, (at, check, abandoned));
        self.added.notify_one();
    }

    fn next_at(&self) -> Option<Instant> {
        self.due.borrow().front().map(|(at, ..)| *at)
    }

    /// Takes what is due, by the process that is to be examined.
    fn take_due(&self, now: Instant) -> BTreeMap<u32, Vec<(usize, Abandoned)>> {
        let mut due = self.due.borrow_mut();
        let count = due.partition_point(|(at, ..)| *at <= now);
        let mut by_process: BTreeMap<u32, Vec<_>> = BTreeMap::new();
        for (_, check, abandoned) in due.drain(..count) {
            let same_process = by_process.entry(abandoned.process_hash).or_default();
            same_process.push((check, abandoned));
        }
        by_process
    }
}

impl Gateway {
    /// Records that a request was sent to a target and is no longer waited for. Whether the target ends
    /// is found out later.
    pub fn record_abandoned(
        &self,
        request: &RequestContext<'_>,
        admission: &Admission,
        target: &Rc<Target>,
    ) {
        self.record_inconclusive_trial(request, admission);
        let abandoned = Abandoned {
            request_id: request.metadata.id.clone(),
            suspect: Suspect::Request(request.digest()),
            admission: admission.clone(),
            target: Rc::clone(target),
            process_hash: target.process_hash(),
            abandoned_at: Instant::now(),
        };
        self.abandoned.push(0, abandoned);
    }
}

/// Examines the targets of abandoned requests. Never returns.
pub async fn watch(gateway: Rc<Gateway>) {
    let queue = &gateway.abandoned;
    loop {
        let added = queue.added.notified();
        match queue.next_at() {
            None => added.await,
            Some(at) => tokio::select! {
                () = sleep_until(at) => {}
                () = added => {}
            },
        }
        let examined = queue.take_due(Instant::now());
        let examined = examined.into_values();
        future::join_all(examined.map(|abandoned| examine(&gateway, abandoned))).await;
    }
}

/// Examines the target of requests that were sent to the same process.
async fn examine(gateway: &Gateway, requests: Vec<(usize, Abandoned)>) {
    let Some((_, first)) = requests.first() else {
        return;
    };
    let target = Rc::clone(&first.target);
    let state = match target.pool.has_open() {
        true => ProcessState::Alive,
        false => faults::check_state(gateway, &target).await,
    };
    for (check, abandoned) in requests {
        match state {
            ProcessState::Ended => {
                spdlog::info!("request.abandoned_target_ended", kv: {
                    request = abandoned.request_id.as_str(),
                    target = target.id.as_str(),
                    suspect: = abandoned.suspect,
                    age_ms = abandoned.abandoned_at.elapsed().as_millis() as u64,
                });
                gateway.record_end_under(
                    &abandoned.request_id,
                    &[abandoned.suspect],
                    &abandoned.admission,
                    (&target, abandoned.process_hash),
                );
            }
            ProcessState::Alive => gateway.abandoned.push(check + 1, abandoned),
            ProcessState::Unreachable => {}
        }
    }
}
