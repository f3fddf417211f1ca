//! One team's state at this host.

use std::{
    future::Future,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        RwLock,
        RwLockReadGuard,
        RwLockWriteGuard,
        atomic::{
            AtomicBool,
            Ordering::{
                AcqRel,
                Release, //
            }, //
        }, //
    },
    time::Instant, //
};

use anvil_core::{
    document,
    id::TeamId,
    limits::{
        Amounts,
        demand::Reporter,
        share::Share, //
    },
    retry, //
};
use foldhash::HashMap;
use tokio::sync::watch;

use crate::{
    limits::fleet,
    shared::Shared, //
};

/// A team at this host.
pub struct Team {
    /// Its name.
    pub id: TeamId,
    /// What the host may use of its limits.
    pub share: Arc<Share>,
    /// Extra attempts that its requests have earned.
    pub retry_budget: retry::Budget,
    reporter: Mutex<Reporter>,
    asking: AtomicBool,
    answers: watch::Sender<u64>,
}

impl Team {
    pub(super) fn new(
        shared: &Shared,
        id: &TeamId,
        team: &document::Team,
        first_number: u64,
        now: Instant,
    ) -> Self {
        let limits = Amounts::limits_of(team);
        let host_count = fleet(shared).host_count();
        let share = Share::new(&shared.settings.team_limits, limits, host_count, now);
        Self {
            id: id.clone(),
            share: Arc::new(share),
            retry_budget: retry::Budget::new(&retry::Settings::default()),
            reporter: Mutex::new(Reporter::new(first_number, now)),
            asking: AtomicBool::new(false),
            answers: watch::Sender::new(0),
        }
    }

    pub(super) fn reporter(&self) -> MutexGuard<'_, Reporter> {
        // A reporter is whole between its methods, so a poisoned lock is usable.
        self.reporter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn report_number(&self) -> u64 {
        self.reporter().number()
    }

    /// Waits for the next answer of the home, or for word that there is none.
    pub(super) fn wait_for_answer(&self) -> impl Future<Output = ()> + use<> {
        let mut answers = self.answers.subscribe();
        async move {
            // The sender lives as long as the team, which the caller holds.
            let _closed = answers.changed().await;
        }
    }

    pub(super) fn notify_answered(&self) {
        self.answers.send_modify(|count| *count += 1);
    }

    /// Claims the right to ask the home now; nothing while another request's question is out.
    pub(super) fn try_begin_share_request(&self) -> bool {
        !self.asking.swap(true, AcqRel)
    }

    pub(super) fn end_share_request(&self) {
        self.asking.store(false, Release);
    }
}

pub(super) fn read(
    shard: &RwLock<HashMap<TeamId, Arc<Team>>>,
) -> RwLockReadGuard<'_, HashMap<TeamId, Arc<Team>>> {
    shard.read().unwrap_or_else(PoisonError::into_inner)
}

pub(super) fn write(
    shard: &RwLock<HashMap<TeamId, Arc<Team>>>,
) -> RwLockWriteGuard<'_, HashMap<TeamId, Arc<Team>>> {
    shard.write().unwrap_or_else(PoisonError::into_inner)
}
