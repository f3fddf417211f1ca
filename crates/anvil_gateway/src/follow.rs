//! Keeps the operators' table and the target list up to date from the store.

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
    knowledge::Source,
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

/// Longest time that one call waits at the store for a new table.
const TABLE_WAIT_MAX: Duration = Duration::from_millis(1500);
/// Interval between two reads of the target list by a reader, as a share of the bound on leaving
/// targets.
const LIST_INTERVAL_SHARE: f64 = 0.45;
/// Interval between two reads of the target list by a host that waits for the list to be complete
/// before it places a model.
const LIST_INTERVAL_PLACING: Duration = Duration::from_millis(350);
/// Age of the target list from which a host reads it itself instead of waiting for the readers of
/// its data centre, as a share of the bound on leaving targets.
const LIST_OVERDUE_SHARE: f64 = 0.65;
/// Age of the table from which a host reads it itself instead of waiting for the readers of its
/// data centre, as a share of the bound on revoked keys.
const TABLE_OVERDUE_SHARE: f64 = 0.5;
/// Interval between two checks whether this host must read for itself.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Backoff after a failed call. It doubles with each further failure up to `BACKOFF_MAX`.
const BACKOFF_MIN: Duration = Duration::from_millis(60);
/// Delay after a read that found no table.
const NO_TABLE_DELAY: Duration = Duration::from_millis(300);
/// Longest backoff of a host that must read for itself.
const BACKOFF_MAX: Duration = Duration::from_millis(500);
/// Interval between two calls of all hosts of a data centre taken together while calls fail. The
/// first host whose call succeeds informs the others, and failed calls have a cost too.
const FAILING_CALL_INTERVAL: Duration = Duration::from_millis(250);
/// Longest backoff of one host in a large data centre.
const FAILING_BACKOFF_MAX: Duration = Duration::from_secs(6);
/// Backoff of a host that no longer hears from any peer. It is most likely cut off from the store
/// as well, and hears from its peers again as soon as it is not.
const CUT_OFF_BACKOFF: Duration = Duration::from_millis(1500);
/// Upper bound of the random delay of a host that has not heard from the readers in time. All hosts
/// miss the readers at once, so the delay lets one of them make the first call.
const OVERDUE_DELAY_MAX: Duration = Duration::from_millis(500);

/// Computes the backoff after failed calls, and logs the first failure and the recovery.
struct Backoff {
    reading: &'static str,
    failures: u32,
    /// When the last failed call was sent. `None` before the first failure.
    last_failure_requested_at: Option<BootTime>,
}

impl Backoff {
    fn new(reading: &'static str) -> Self {
        Self {
            reading,
            failures: 0,
            last_failure_requested_at: None,
        }
    }

    /// Records a failed call that was sent at `requested_at`, and returns the time to wait before
    /// the next.
    fn record_failure(
        &mut self,
        gateway: &Gateway,
        error: &PlatformError,
        requested_at: BootTime,
    ) -> Duration {
        gateway.metrics.record_store_failure(self.reading);
        if self.failures == 0 {
            spdlog::warn!("store.lost", kv: {
                reading = self.reading,
                error:,
                requested_age_ms = requested_at.elapsed().as_millis() as u64,
            });
        }
        self.last_failure_requested_at = Some(requested_at);
        self.failures = self.failures.saturating_add(1);
        let pause = relayed_backoff(gateway).unwrap_or_else(|| self.exponential_backoff());
        gateway.random_duration(pause / 2, pause)
    }

    /// Returns the backoff after the last failure of a host that must read for itself.
    fn exponential_backoff(&self) -> Duration {
        (BACKOFF_MIN * (1 << self.failures.min(5))).min(BACKOFF_MAX)
    }

    /// Records a call that was sent at `requested_at` and succeeded.
    fn record_success(&mut self, requested_at: BootTime) {
        if self.failures > 0 {
            let age_ms = |time: BootTime| time.elapsed().as_millis() as u64;
            spdlog::info!("store.regained", kv: {
                reading = self.reading,
                failures = self.failures,
                requested_age_ms = age_ms(requested_at),
                last_failure_requested_age_ms = self.last_failure_requested_at.map_or(0, age_ms),
            });
            self.failures = 0;
        }
    }
}

/// Returns the backoff after a failed call of a host that its peers will inform. Returns `None` for
/// a host that reads for its peers or has never heard from any.
fn relayed_backoff(gateway: &Gateway) -> Option<Duration> {
    let now = Instant::now();
    let peers = gateway.peers.borrow();
    if peers.live_count(now) == 0 {
        let is_cut_off = peers
            .never_heard_count()
            .is_some_and(|count| count < peers.len());
        return is_cut_off.then_some(CUT_OFF_BACKOFF);
    }
    let peer_count = peers.same_data_centre_count(&gateway.settings.data_centre, now);
    if peer_count == 0 || peers::is_reader(gateway) {
        return None;
    }
    let share = FAILING_CALL_INTERVAL * u32::try_from(peer_count).unwrap_or(u32::MAX);
    Some(share.clamp(BACKOFF_MAX, FAILING_BACKOFF_MAX))
}

/// Waits for a random delay, in which another host may make the overdue read, and returns whether
/// the read is still overdue. A host that no peer will inform doesn't wait.
async fn is_overdue_after_delay(gateway: &Gateway, is_overdue: impl Fn() -> bool) -> bool {
    if relayed_backoff(gateway).is_some() {
        sleep(gateway.random_duration(Duration::ZERO, OVERDUE_DELAY_MAX)).await;
    }
    is_overdue()
}

/// Waits until this host must read the table: it reads for its peers, a peer has a newer table, or
/// an update from the readers is overdue.
async fn wait_until_table_due(gateway: &Gateway) {
    let limit = gateway.settings.bounds.revoke.mul_f64(TABLE_OVERDUE_SHARE);
    let is_overdue = || gateway.table_cache.age().is_none_or(|age| age > limit);
    loop {
        if peers::is_reader(gateway) {
            return;
        }
        let overdue_check = async {
            if is_overdue() {
                is_overdue_after_delay(gateway, is_overdue).await
            } else {
                sleep(DUE_CHECK_INTERVAL).await;
                false
            }
        };
        tokio::select! {
            biased;
            () = gateway.newer_table_notify.notified() => return,
            is_due = overdue_check => if is_due {
                return;
            }
        }
    }
}

/// Keeps the operators' table up to date. Never returns.
pub async fn follow_table(gateway: Rc<Gateway>) {
    let mut backoff = Backoff::new("table");
    let mut next_offset: Option<Offset> = None;
    loop {
        wait_until_table_due(&gateway).await;
        let requested_at = BootTime::now();
        let result = match next_offset {
            None => read_table(&gateway, requested_at).await,
            // The changes since this host last asked may be many, or the log may no longer keep
            // them.
            Some(_) if !peers::is_reader(&gateway) => read_table(&gateway, requested_at).await,
            Some(from) => read_table_changes(&gateway, from, requested_at).await,
        };
        match result {
            Ok(offset) => {
                backoff.record_success(requested_at);
                next_offset = offset;
                if gateway.table_cache.table().is_none() {
                    // The operators have not written a table yet.
                    sleep(NO_TABLE_DELAY).await;
                }
            }
            Err(error) => {
                let pause = backoff.record_failure(&gateway, &error, requested_at);
                // A peer has a newer table, so the store answers at least some hosts: only the
                // short backoff applies then.
                tokio::select! {
                    () = sleep(pause) => {}
                    () = gateway.newer_table_notify.notified() => {
                        sleep(backoff.exponential_backoff()).await;
                        gateway.newer_table_notify.notify_one();
                    }
                }
            }
        }
    }
}

async fn read_table(
    gateway: &Gateway,
    requested_at: BootTime,
) -> Result<Option<Offset>, PlatformError> {
    let read = gateway.platform.store.newest_table().await?;
    gateway
        .table_cache
        .update(read.items, requested_at, Source::Read);
    Ok(Some(read.next_offset))
}

async fn read_table_changes(
    gateway: &Gateway,
    from: Offset,
    requested_at: BootTime,
) -> Result<Option<Offset>, PlatformError> {
    match gateway
        .platform
        .store
        .tables_after(from, TABLE_WAIT_MAX)
        .await?
    {
        Changes::OffsetOutOfRange => {
            spdlog::warn!("store.forgot", kv: { reading = "table", from });
            Ok(None)
        }
        Changes::Listed(read) => {
            // The store answers as soon as there is a record. An answer without one therefore shows
            // that the table was unchanged until the wait ended.
            let is_unchanged = read.next_offset == from;
            let waited = match is_unchanged {
                true => TABLE_WAIT_MAX.min(requested_at.elapsed()),
                false => Duration::ZERO,
            };
            let as_of = requested_at.later(waited);
            gateway.table_cache.update(read.items, as_of, Source::Poll);
            Ok(Some(read.next_offset))
        }
    }
}

/// Waits until this host must read the target list: the next read of a reader is due, an update
/// from the readers is overdue, or the placer waits for a complete list.
async fn wait_until_targets_due(gateway: &Gateway, last_read: BootTime) {
    let bound = gateway.settings.bounds.leaving_target;
    loop {
        let is_due = || match gateway.targets.age() {
            None => true,
            Some(_) if gateway.awaits_targets.get() => last_read.elapsed() >= LIST_INTERVAL_PLACING,
            Some(age) if peers::is_reader(gateway) => {
                last_read.elapsed() >= bound.mul_f64(LIST_INTERVAL_SHARE)
                    || age > bound.mul_f64(LIST_OVERDUE_SHARE)
            }
            Some(age) => age > bound.mul_f64(LIST_OVERDUE_SHARE),
        };
        if is_due()
            && (gateway.awaits_targets.get() || is_overdue_after_delay(gateway, is_due).await)
        {
            return;
        }
        sleep(DUE_CHECK_INTERVAL).await;
    }
}

/// Keeps the target list up to date, and sends changes to the peers of this data centre if this
/// host is a reader. Never returns.
pub async fn follow_targets(gateway: Rc<Gateway>, peers: Rc<Peers>) {
    let mut backoff = Backoff::new("targets");
    let mut is_complete = false;
    let mut last_read = BootTime::now();
    loop {
        wait_until_targets_due(&gateway, last_read).await;
        last_read = BootTime::now();
        let result = match is_complete {
            false => read_targets(&gateway, last_read).await,
            true => read_target_changes(&gateway, &peers, last_read).await,
        };
        match result {
            Ok(ReadOutcome::Current) => {
                backoff.record_success(last_read);
                is_complete = true;
            }
            Ok(ReadOutcome::OffsetOutOfRange) => is_complete = false,
            Err(error) => {
                sleep(backoff.record_failure(&gateway, &error, last_read)).await;
            }
        }
    }
}

/// Outcome of a read of the target list.
enum ReadOutcome {
    /// The target list is current.
    Current,
    /// The log no longer keeps some of the changes, so the whole list must be read.
    OffsetOutOfRange,
}

async fn read_targets(
    gateway: &Gateway,
    requested_at: BootTime,
) -> Result<ReadOutcome, PlatformError> {
    let read = gateway.platform.store.newest_targets().await?;
    gateway
        .targets
        .replace(read.items, read.next_offset, requested_at);
    Ok(ReadOutcome::Current)
}

async fn read_target_changes(
    gateway: &Gateway,
    peers: &Peers,
    requested_at: BootTime,
) -> Result<ReadOutcome, PlatformError> {
    let from = gateway.targets.next_offset();
    match gateway.platform.store.targets_after(from).await? {
        Changes::OffsetOutOfRange => {
            spdlog::warn!("store.forgot", kv: { reading = "targets", from });
            Ok(ReadOutcome::OffsetOutOfRange)
        }
        Changes::Listed(read) => {
            let changes = gateway.targets.effective_changes(&read.items);
            gateway
                .targets
                .apply(read.items, read.next_offset, requested_at);
            if peers::is_reader(gateway) {
                peers.send_changes(from, &changes).await;
            }
            Ok(ReadOutcome::Current)
        }
    }
}
