//! State of the limits of one team at this host.

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

/// State of the limits of one team at this host. Shared by the table of teams and by requests.
pub struct Team {
    /// ID of the team.
    pub id: TeamId,
    /// Part of the team's limits that this host may use.
    pub share: Arc<Share>,
    /// Budget of extra attempts, which the team's successful requests refill.
    pub retry_budget: retry::Budget,
    reporter: Mutex<Reporter>,
    share_request_in_flight: AtomicBool,
    answer_count: watch::Sender<u64>,
}

impl Team {
    pub(super) fn new(
        shared: &Shared,
        id: &TeamId,
        team: &document::Team,
        first_report_number: u64,
        now: Instant,
    ) -> Self {
        let limits = Amounts::limits_of(team);
        let host_count = fleet(shared).host_count();
        let share = Share::new(&shared.settings.team_limits, limits, host_count, now);
        Self {
            id: id.clone(),
            share: Arc::new(share),
            retry_budget: retry::Budget::new(&retry::Settings::default()),
            reporter: Mutex::new(Reporter::new(first_report_number, now)),
            share_request_in_flight: AtomicBool::new(false),
            answer_count: watch::Sender::new(0),
        }
    }

    pub(super) fn reporter(&self) -> MutexGuard<'_, Reporter> {
        // A reporter is consistent between calls of its methods, so a poisoned lock is usable.
        self.reporter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn report_number(&self) -> u64 {
        self.reporter().number()
    }

    /// Waits until the next request to the home ends, with or without an answer.
    pub(super) fn wait_for_answer(&self) -> impl Future<Output = ()> + use<> {
        let mut answer_count = self.answer_count.subscribe();
        async move {
            // The channel stays open as long as the team, which the caller holds.
            let _closed = answer_count.changed().await;
        }
    }

    pub(super) fn notify_answered(&self) {
        self.answer_count.send_modify(|count| *count += 1);
    }

    /// Marks a request to the home as in flight. Returns false if one already was.
    pub(super) fn try_begin_share_request(&self) -> bool {
        !self.share_request_in_flight.swap(true, AcqRel)
    }

    pub(super) fn end_share_request(&self) {
        self.share_request_in_flight.store(false, Release);
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
