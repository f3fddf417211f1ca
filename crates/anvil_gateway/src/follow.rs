//! Follows the operators' table and the list of targets at the store.

use std::{
    rc::Rc,
    time::Duration, //
};

use anvil_core::id::Offset;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    clock::BootTime,
    gateway::Gateway,
    peers::{
        self,
        Peers, //
    },
    port::{
        Changes,
        PlatformError, //
    }, //
};

#[cfg(test)]
mod tests;

/// Longest wait of one question for a new table.
const TABLE_WAIT: Duration = Duration::from_millis(1500);
/// Share of the bound on leaving targets that passes between two readings of the list.
const LIST_SHARE: f64 = 0.45;
/// Time between two readings of the list by a host that waits for it to be whole.
const LIST_PLACING_PERIOD: Duration = Duration::from_millis(350);
/// Share of the bound on leaving targets that a host lets pass without word from those that read
/// the list for it.
const LIST_RELAY_SHARE: f64 = 0.65;
/// Share of the bound on revoked keys that a host lets pass without word from those that read the
/// table for it.
const TABLE_RELAY_SHARE: f64 = 0.5;
/// Time between two looks at whether this host must read for itself.
const RELAY_TICK: Duration = Duration::from_millis(100);
/// Pause after a failed call, doubled up to the longest.
const BACKOFF_MIN: Duration = Duration::from_millis(60);
/// Pause after a reading that found no table.
const UNCONFIGURED_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause after failed calls.
const BACKOFF_MAX: Duration = Duration::from_millis(500);
/// Time between two calls of all hosts of a data centre together while calls fail: the first that
/// succeeds tells the others, and a call that fails is paid for too.
const FAILING_PERIOD: Duration = Duration::from_millis(250);
/// Longest pause of one host of a large data centre.
const FAILING_PAUSE_MAX: Duration = Duration::from_secs(6);
/// Pause of a host that no longer hears of any other: it is most likely cut off from the store as
/// well, and hears from them as soon as it is not.
const CUT_OFF_PAUSE: Duration = Duration::from_millis(1500);
/// Longest time for which a host without word from the readers leaves the first call to others: they
/// all miss it at once.
const RELAY_STAGGER: Duration = Duration::from_millis(500);

/// Pauses after failed calls, and log lines for the first failure and for the recovery.
struct Backoff {
    what: &'static str,
    failures: u32,
}

impl Backoff {
    fn new(what: &'static str) -> Self {
        Self { what, failures: 0 }
    }

    /// Notes a failed call. Gives the pause until the next.
    fn failed(&mut self, gateway: &Gateway, error: &PlatformError) -> Duration {
        if self.failures == 0 {
            spdlog::warn!("store.lost", kv: { reading = self.what, error: });
        }
        self.failures = self.failures.saturating_add(1);
        let pause = relay_pause(gateway).unwrap_or_else(|| self.shortest());
        gateway.random_duration(pause / 2, pause)
    }

    /// Pause after the last failure of a host that must ask itself.
    fn shortest(&self) -> Duration {
        (BACKOFF_MIN * (1 << self.failures.min(5))).min(BACKOFF_MAX)
    }

    fn succeeded(&mut self) {
        if self.failures > 0 {
            spdlog::info!("store.regained", kv: { reading = self.what, failures = self.failures });
            self.failures = 0;
        }
    }
}

/// Pause after a failed call of a host that others will tell; nothing for a host that reads for
/// others, or that never heard of any.
fn relay_pause(gateway: &Gateway) -> Option<Duration> {
    let now = Instant::now();
    let peers = gateway.peers.borrow();
    if peers.live_count(now) == 0 {
        let is_cut_off = peers
            .never_heard_count()
            .is_some_and(|count| count < peers.len());
        return is_cut_off.then_some(CUT_OFF_PAUSE);
    }
    let near = peers.same_data_centre_count(&gateway.settings.data_centre, now);
    if near == 0 || peers::is_reader(gateway) {
        return None;
    }
    let share = FAILING_PERIOD * u32::try_from(near).unwrap_or(u32::MAX);
    Some(share.clamp(BACKOFF_MAX, FAILING_PAUSE_MAX))
}

/// Waits until word from the readers is overdue for longer than this host leaves to others.
async fn stagger(gateway: &Gateway, is_overdue: impl Fn() -> bool) -> bool {
    if relay_pause(gateway).is_some() {
        sleep(gateway.random_duration(Duration::ZERO, RELAY_STAGGER)).await;
    }
    is_overdue()
}

/// Waits until this host must ask for the table: it reads for its peers, a peer has a newer one, or
/// word from the readers is overdue.
async fn table_is_due(gateway: &Gateway) {
    let limit = gateway.settings.bounds.revoke.mul_f64(TABLE_RELAY_SHARE);
    let is_overdue = || gateway.table_cache.age().is_none_or(|age| age > limit);
    loop {
        if peers::is_reader(gateway) {
            return;
        }
        let overdue = async {
            if is_overdue() {
                stagger(gateway, is_overdue).await
            } else {
                sleep(RELAY_TICK).await;
                false
            }
        };
        tokio::select! {
            biased;
            () = gateway.newer_table_notify.notified() => return,
            is_due = overdue => if is_due {
                return;
            }
        }
    }
}

/// Follows the operators' table for ever.
pub async fn follow_table(gateway: Rc<Gateway>) {
    let mut backoff = Backoff::new("table");
    let mut next_offset: Option<Offset> = None;
    loop {
        table_is_due(&gateway).await;
        let asked = BootTime::now();
        let result = match next_offset {
            None => read_table(&gateway, asked).await,
            // The changes since this host last asked may be many, or forgotten.
            Some(_) if !peers::is_reader(&gateway) => read_table(&gateway, asked).await,
            Some(from) => read_table_changes(&gateway, from, asked).await,
        };
        match result {
            Ok(offset) => {
                backoff.succeeded();
                next_offset = offset;
                if gateway.table_cache.table().is_none() {
                    // The operators have not written one yet.
                    sleep(UNCONFIGURED_PAUSE).await;
                }
            }
            Err(error) => {
                let pause = backoff.failed(&gateway, &error);
                // Where a peer has a newer table, the store answers some.
                tokio::select! {
                    () = sleep(pause) => {}
                    () = gateway.newer_table_notify.notified() => {
                        sleep(backoff.shortest()).await;
                        gateway.newer_table_notify.notify_one();
                    }
                }
            }
        }
    }
}

async fn read_table(gateway: &Gateway, asked: BootTime) -> Result<Option<Offset>, PlatformError> {
    let read = gateway.platform.store.newest_table().await?;
    gateway.table_cache.update(read.items, asked);
    Ok(Some(read.next_offset))
}

async fn read_table_changes(
    gateway: &Gateway,
    from: Offset,
    asked: BootTime,
) -> Result<Option<Offset>, PlatformError> {
    match gateway
        .platform
        .store
        .tables_after(from, TABLE_WAIT)
        .await?
    {
        Changes::OffsetOutOfRange => {
            spdlog::warn!("store.forgot", kv: { reading = "table", from });
            Ok(None)
        }
        Changes::Listed(read) => {
            // The store answers as soon as there is a record: where the wait passed without one,
            // there was none up to its end.
            let is_unchanged = read.next_offset == from;
            let waited = match is_unchanged {
                true => TABLE_WAIT.min(asked.elapsed()),
                false => Duration::ZERO,
            };
            gateway.table_cache.update(read.items, asked.later(waited));
            Ok(Some(read.next_offset))
        }
    }
}

/// Waits until this host must read the list of targets: its turn as a reader for its peers has
/// come, or word from the readers is overdue.
async fn targets_are_due(gateway: &Gateway, last: BootTime) {
    let bound = gateway.settings.bounds.leaving_target;
    loop {
        let is_due = || match gateway.targets.age() {
            None => true,
            Some(_) if gateway.awaits_targets.get() => last.elapsed() >= LIST_PLACING_PERIOD,
            Some(age) if peers::is_reader(gateway) => {
                last.elapsed() >= bound.mul_f64(LIST_SHARE) || age > bound.mul_f64(LIST_RELAY_SHARE)
            }
            Some(age) => age > bound.mul_f64(LIST_RELAY_SHARE),
        };
        if is_due() && (gateway.awaits_targets.get() || stagger(gateway, is_due).await) {
            return;
        }
        sleep(RELAY_TICK).await;
    }
}

/// Follows the list of targets for ever, and tells the peers of this data centre what changed.
pub async fn follow_targets(gateway: Rc<Gateway>, peers: Rc<Peers>) {
    let mut backoff = Backoff::new("targets");
    let mut is_known = false;
    let mut last = BootTime::now();
    loop {
        targets_are_due(&gateway, last).await;
        last = BootTime::now();
        let result = match is_known {
            false => read_targets(&gateway, last).await,
            true => read_target_changes(&gateway, &peers, last).await,
        };
        match result {
            Ok(Reading::Whole) => {
                backoff.succeeded();
                is_known = true;
            }
            Ok(Reading::Forgotten) => is_known = false,
            Err(error) => sleep(backoff.failed(&gateway, &error)).await,
        }
    }
}

/// What a reading of the list of targets gave.
enum Reading {
    /// The list is known.
    Whole,
    /// The store forgot some changes; the list must be read whole.
    Forgotten,
}

async fn read_targets(gateway: &Gateway, asked: BootTime) -> Result<Reading, PlatformError> {
    let read = gateway.platform.store.newest_targets().await?;
    gateway.targets.replace(read.items, read.next_offset, asked);
    Ok(Reading::Whole)
}

async fn read_target_changes(
    gateway: &Gateway,
    peers: &Peers,
    asked: BootTime,
) -> Result<Reading, PlatformError> {
    let from = gateway.targets.next_offset();
    match gateway.platform.store.targets_after(from).await? {
        Changes::OffsetOutOfRange => {
            spdlog::warn!("store.forgot", kv: { reading = "targets", from });
            Ok(Reading::Forgotten)
        }
        Changes::Listed(read) => {
            let news = gateway.targets.effective_changes(&read.items);
            gateway.targets.apply(read.items, read.next_offset, asked);
            if peers::is_reader(gateway) {
                peers.broadcast_changes(from, &news).await;
            }
            Ok(Reading::Whole)
        }
    }
}
