//! Keeps the table of targets current from the configuration, load reports, cache events and the
//! platform's list.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use anvil_core::{
    id::TargetId,
    polling::{
        PollKind,
        Schedule, //
    },
};
use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use super::{
    Leaving,
    Target, //
};
use crate::{
    port::{
        CacheChange,
        ListRole,
        ListState, //
    },
    shared::Shared,
};

/// Maximum number of concurrent calls to targets.
const CONCURRENT_CALLS_MAX: usize = 32;
/// Longest wait for one load report or one set of cache events.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps the table of targets current until the host stops.
pub async fn follow(shared: Arc<Shared>, stop: CancellationToken) {
    tokio::select! {
        () = stop.cancelled() => {}
        () = follow_config(&shared) => {}
        () = follow_reports(&shared) => {}
        () = follow_list(&shared) => {}
    }
}

async fn follow_config(shared: &Shared) {
    let mut config_changes = shared.config_changes();
    let mut host_changes = shared.membership.changes();
    loop {
        rebuild(shared);
        // Both senders live as long as `shared`, so neither call returns an error.
        tokio::select! {
            _ = config_changes.changed() => {}
            _ = host_changes.changed() => {}
        }
    }
}

fn rebuild(shared: &Shared) {
    let config = shared.config();
    let settings = &shared.settings;
    let own_location = (settings.host_id.clone(), settings.data_centre.clone());
    let other_hosts = shared
        .membership
        .view()
        .peers
        .iter()
        .map(|peer| (peer.address.id.clone(), peer.data_centre.clone()))
        .collect();
    let now = Instant::now();
    shared
        .targets
        .rebuild(&config.document, &own_location, other_hosts, now);
    // A target that the configuration adds may already be on the list as leaving.
    update_leaving(shared);
}

async fn follow_reports(shared: &Shared) {
    let mut schedule = Schedule::new(shared.targets.settings.polling);
    let mut ticks = tokio::time::interval(schedule.call_interval());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut calls = FuturesUnordered::new();
    loop {
        tokio::select! {
            _ = ticks.tick(), if calls.len() < CONCURRENT_CALLS_MAX => {
                calls.extend(next_call(shared, &mut schedule));
            }
            Some(change) = calls.next() => match change {
                HoldingChange::Changed => rebuild(shared),
                HoldingChange::None => {}
            },
        }
    }
}

/// Whether a call showed that an engine holds something else than before.
enum HoldingChange {
    None,
    Changed,
}

fn next_call<'a>(
    shared: &'a Shared,
    schedule: &mut Schedule,
) -> Option<impl Future<Output = HoldingChange> + use<'a>> {
    let view = shared.targets.view();
    schedule.retain(|id| view.targets.contains_key(id));
    let now = Instant::now();
    let targets = view.targets.iter();
    let targets = targets.map(|(id, target)| (id, target.step_activity()));
    let (id, poll_kind) = schedule.next(targets, now)?;
    let target = Arc::clone(view.targets.get(&id)?);
    Some(async move {
        match poll_kind {
            PollKind::Load => fetch_load_report(shared, &target).await,
            PollKind::CacheEvents => {
                fetch_cache_events(shared, &target).await;
                HoldingChange::None
            }
        }
    })
}

/// Fetches and records a load report. Returns whether the engine's holdings changed.
async fn fetch_load_report(shared: &Shared, target: &Target) -> HoldingChange {
    let call = shared.ports.engine.load_report(&target.address);
    let Ok(Ok(report)) = tokio::time::timeout(CALL_TIMEOUT, call).await else {
        return HoldingChange::None;
    };
    let now = Instant::now();
    if target.breaker.record_reachable(now) {
        spdlog::info!("target.reached", kv: { target = target.address.id.as_str() });
    }
    let was_leaving = target.leaving();
    let changed = target.record_report(report, now);
    log_leaving(target, was_leaving, "load report");
    if changed {
        HoldingChange::Changed
    } else {
        HoldingChange::None
    }
}

async fn fetch_cache_events(shared: &Shared, target: &Target) {
    let after = target.cache.last_event();
    let call = shared.ports.engine.cache_events(&target.address, after);
    let Ok(Ok(events)) = tokio::time::timeout(CALL_TIMEOUT, call).await else {
        return;
    };
    for event in events {
        if !target.cache.advance(event.sequence_number) {
            spdlog::info!("target.cache_events_missed", kv: {
                target = target.address.id.as_str(),
                sequence_number = event.sequence_number,
            });
        }
        match event.change {
            CacheChange::Stored => target.cache.store(event.block_hash),
            CacheChange::Evicted => target.cache.evict(event.block_hash),
        }
    }
}

async fn follow_list(shared: &Shared) {
    let mut changes = shared.listing.changes();
    loop {
        update_leaving(shared);
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Records which targets the platform's list shows as leaving. A target that the list does not show
/// counts as not leaving, because the list lags behind the configuration.
fn update_leaving(shared: &Shared) {
    let list = shared.listing.latest();
    let leaving: HashSet<&TargetId> = list
        .snapshot
        .entries()
        .filter(|entry| entry.role == ListRole::Target && entry.state == ListState::Leaving)
        .map(|entry| &entry.name)
        .collect();
    for (id, target) in &shared.targets.view().targets {
        let was_leaving = target.leaving();
        let listed = match leaving.contains(id) {
            true => Leaving::Yes,
            false => Leaving::No,
        };
        if target.set_listed_leaving(listed) {
            log_leaving(target, was_leaving, "host list");
        }
    }
}

fn log_leaving(target: &Target, was_leaving: Leaving, source: &str) {
    let leaving = target.leaving();
    if leaving == was_leaving {
        return;
    }
    let state = match leaving {
        Leaving::Yes => "leaving",
        Leaving::No => "staying",
    };
    spdlog::info!("target.state", kv: {
        target = target.address.id.as_str(),
        state,
        source,
    });
}
