//! Keeps the operators' table and the target list up to date from the store.

use std::{
    rc::Rc,
    time::Duration, //
};

use anvil_core::{entry::Table, freshness::Limits};
use tokio::time::sleep;

use crate::{
    clock::BootTime,
    gateway::Gateway,
    knowledge::Source,
    peers::{
        self,
        Peers,
        table, //
    },
    port::{
        Changes,
        PlatformError,
        Position, //
    }, //
};

use backoff::{
    Backoff,
    relayed_backoff, //
};

mod backoff;

#[cfg(test)]
mod tests;

/// Interval between two reads of the target list by a reader, as a share of the bound on leaving
/// targets.
const LIST_INTERVAL_SHARE: f64 = 0.45;
/// Interval between two reads of the target list by a host that waits for the list to be complete
/// before it places a model.
const LIST_INTERVAL_PLACING: Duration = Duration::from_millis(350);
/// Interval between two checks whether this host must read for itself.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Why a wait at the store is abandoned where a peer had the change first.
const PEER_IS_AHEAD: &str = "a peer has a newer table";
/// Why a wait at the store is abandoned where its answer is overdue.
const NOT_CONFIRMED: &str = "the table in force is not confirmed";
/// Delay after a read that found no table.
const NO_TABLE_DELAY: Duration = Duration::from_millis(300);

/// Waits for a random delay, in which another host may make the overdue read, and returns whether
/// the read is still overdue. A host that no peer will inform doesn't wait.
async fn is_overdue_after_delay(
    gateway: &Gateway,
    limits: &Limits,
    is_overdue: impl Fn() -> bool,
) -> bool {
    if relayed_backoff(gateway).is_some() {
        let delay = gateway.random_duration(Duration::ZERO, limits.overdue_delay_max);
        sleep(delay).await;
    }
    is_overdue()
}

/// Follows the operators' table in the store.
struct TableFollower {
    gateway: Rc<Gateway>,
    limits: Limits,
    backoff: Backoff,
    /// Whether the last call waited its full time without a change.
    is_unchanged: bool,
}

impl TableFollower {
    fn new(gateway: Rc<Gateway>) -> Self {
        let bounds = &gateway.settings.bounds;
        Self {
            limits: Limits::for_bound(bounds.config_apply.min(bounds.revoke)),
            gateway,
            backoff: Backoff::new("table"),
            is_unchanged: false,
        }
    }

    /// Returns whether the store was restored since the table was read from it.
    fn is_of_older_era(&self) -> bool {
        let era = self.gateway.platform.store.era();
        let next = self.gateway.table_cache.next();
        next.is_some_and(|next| next.offset_in(era).is_none())
    }

    /// Returns whether a peer has a newer table that the store may have as well.
    fn is_behind_peer(&self) -> bool {
        self.gateway.is_behind_peer() && !self.gateway.is_table_superseded()
    }

    fn is_overdue(&self) -> bool {
        let age = self.gateway.table_cache.age();
        age.is_none_or(|age| age > self.limits.overdue_age)
    }

    /// Waits until this host must call the store: it reads for its peers, a peer has a newer table,
    /// or the table in force has not been confirmed in time.
    async fn wait_until_due(&self) {
        loop {
            let backoff = match self.is_behind_peer() {
                // The peer's table shows that the store answers at least some hosts.
                true => self.backoff.remaining(Some(BootTime::now())),
                false => self.backoff.remaining(self.gateway.store_answered_as_of()),
            };
            if backoff.is_zero() {
                if peers::is_reader(&self.gateway) || self.is_behind_peer() {
                    return;
                }
                if self.is_overdue()
                    && is_overdue_after_delay(&self.gateway, &self.limits, || self.is_overdue())
                        .await
                {
                    return;
                }
            }
            let pause = match backoff.is_zero() {
                true => DUE_CHECK_INTERVAL,
                false => backoff.min(DUE_CHECK_INTERVAL),
            };
            tokio::select! {
                () = self.gateway.newer_table_notify.notified() => {}
                () = sleep(pause) => {}
            }
        }
    }

    /// Waits until the call that waits for a change can't be relied on any more, and returns the
    /// reason. A connection may break without a sign, or the store may have been away.
    async fn wait_until_doubtful(&self) -> &'static str {
        loop {
            sleep(DUE_CHECK_INTERVAL).await;
            if self.is_behind_peer() {
                return PEER_IS_AHEAD;
            }
            if self.is_of_older_era() {
                return "the store was restored";
            }
            if self.gateway.table_cache.table().is_some() && self.is_overdue() {
                return NOT_CONFIRMED;
            }
        }
    }

    async fn call(&mut self, requested_at: BootTime) -> Result<(), PlatformError> {
        let is_reader = peers::is_reader(&self.gateway);
        let from = match self.gateway.table_cache.next() {
            Some(from) if !self.is_of_older_era() && (is_reader || !self.is_behind_peer()) => from,
            // The changes may be many, or the log may no longer keep them.
            Some(_) | None => return self.read(requested_at).await,
        };
        if !is_reader || self.backoff.has_failed() {
            // The answer is small while the table in force is the newest.
            return self.read_changes(from, Duration::ZERO, requested_at).await;
        }
        let wait = match self.is_unchanged {
            true => self.limits.wait,
            false => self.limits.first_wait(self.gateway.random_unit()),
        };
        let gateway = Rc::clone(&self.gateway);
        let doubt = {
            let call = gateway.platform.store.tables_after(from, wait);
            tokio::select! {
                result = call => {
                    return self.apply_changes(result?, from, wait, requested_at);
                }
                doubt = self.wait_until_doubtful() => doubt,
            }
        };
        spdlog::info!("store.wait_abandoned", kv: {
            reading = "table",
            reason = doubt,
            requested_age_ms = requested_at.elapsed().as_millis() as u64,
        });
        if doubt == PEER_IS_AHEAD && table::fetch_from_relays(&self.gateway).await {
            return Ok(());
        }
        let requested_at = BootTime::now();
        match doubt == NOT_CONFIRMED {
            true => self.read_changes(from, Duration::ZERO, requested_at).await,
            false => self.read(requested_at).await,
        }
    }

    async fn read(&mut self, requested_at: BootTime) -> Result<(), PlatformError> {
        let read = self.gateway.platform.store.newest_table().await?;
        let table_cache = &self.gateway.table_cache;
        table_cache.update(read.items, requested_at, Source::Read);
        self.gateway.targets.record_store_answer(requested_at);
        table_cache.set_next(Some(read.next));
        self.is_unchanged = false;
        Ok(())
    }

    async fn read_changes(
        &mut self,
        from: Position,
        wait: Duration,
        requested_at: BootTime,
    ) -> Result<(), PlatformError> {
        let changes = self.gateway.platform.store.tables_after(from, wait).await?;
        self.apply_changes(changes, from, wait, requested_at)
    }

    fn apply_changes(
        &mut self,
        changes: Changes<Option<Table>>,
        from: Position,
        wait: Duration,
        requested_at: BootTime,
    ) -> Result<(), PlatformError> {
        match changes {
            Changes::PositionOutOfRange => {
                spdlog::warn!("store.forgot", kv: { reading = "table", from: });
                self.gateway.table_cache.set_next(None);
            }
            Changes::Listed(read) => {
                // The store answers as soon as there is a record. An answer without one after the
                // whole wait therefore shows that the table was unchanged until then.
                self.is_unchanged = read.next == from;
                let waited = match self.is_unchanged && requested_at.elapsed() >= wait {
                    true => wait,
                    false => Duration::ZERO,
                };
                let as_of = requested_at.later(waited);
                let table_cache = &self.gateway.table_cache;
                table_cache.update(read.items, as_of, Source::Poll);
                table_cache.set_next(Some(read.next));
                self.gateway.targets.record_store_answer(as_of);
            }
        }
        Ok(())
    }
}

/// Keeps the operators' table up to date. Never returns.
pub async fn follow_table(gateway: Rc<Gateway>) {
    let mut follower = TableFollower::new(Rc::clone(&gateway));
    loop {
        follower.wait_until_due().await;
        let has_newer_peer = follower.is_behind_peer();
        if has_newer_peer && table::fetch_from_relays(&gateway).await {
            continue;
        }
        let peer_version = gateway.newest_peer_version();
        let requested_at = BootTime::now();
        match follower.call(requested_at).await {
            Ok(()) => {
                follower.backoff.record_success(requested_at);
                gateway.table_cache.record_checked(peer_version);
                if gateway.table_cache.table().is_none() {
                    // The operators have not written a table yet.
                    sleep(NO_TABLE_DELAY).await;
                }
            }
            Err(error) => follower
                .backoff
                .record_failure(&gateway, &error, requested_at),
        }
    }
}

/// Waits until this host must read the target list: the next read of a reader is due, an update
/// from the readers is overdue, or the placer waits for a complete list.
async fn wait_until_targets_due(gateway: &Gateway, backoff: &Backoff, last_read: BootTime) {
    let bound = gateway.settings.bounds.leaving_target;
    let limits = Limits::for_bound(bound);
    loop {
        if gateway.peers.borrow().is_isolated(BootTime::now()) {
            gateway.targets.record_isolation();
        }
        let is_due = || match gateway.targets.age() {
            None => true,
            Some(_) if gateway.awaits_targets.get() => last_read.elapsed() >= LIST_INTERVAL_PLACING,
            Some(age) if peers::is_relay(gateway) => {
                last_read.elapsed() >= bound.mul_f64(LIST_INTERVAL_SHARE)
                    || age > limits.overdue_age
            }
            Some(age) => age > limits.overdue_age,
        };
        let remaining = backoff.remaining(gateway.store_answered_as_of());
        if remaining.is_zero()
            && is_due()
            && (gateway.awaits_targets.get()
                || is_overdue_after_delay(gateway, &limits, is_due).await)
        {
            return;
        }
        let pause = match remaining.is_zero() {
            true => DUE_CHECK_INTERVAL,
            false => remaining.min(DUE_CHECK_INTERVAL),
        };
        sleep(pause).await;
    }
}

/// Keeps the target list up to date, and sends changes to the peers of this data centre if this
/// host is a reader. Never returns.
pub async fn follow_targets(gateway: Rc<Gateway>, peers: Rc<Peers>) {
    let mut backoff = Backoff::new("targets");
    let mut is_complete = false;
    let mut last_read = BootTime::now();
    loop {
        wait_until_targets_due(&gateway, &backoff, last_read).await;
        last_read = BootTime::now();
        let result = match is_complete {
            false => read_targets(&gateway, last_read).await,
            true => read_target_changes(&gateway, &peers, last_read).await,
        };
        match result {
            Ok(()) => {
                backoff.record_success(last_read);
                is_complete = true;
            }
            Err(error) => backoff.record_failure(&gateway, &error, last_read),
        }
    }
}

async fn read_targets(gateway: &Gateway, requested_at: BootTime) -> Result<(), PlatformError> {
    let read = gateway.platform.store.newest_targets().await?;
    gateway.targets.replace(read.items, read.next, requested_at);
    Ok(())
}

async fn read_target_changes(
    gateway: &Gateway,
    peers: &Peers,
    requested_at: BootTime,
) -> Result<(), PlatformError> {
    let from = gateway.targets.next();
    match gateway.platform.store.targets_after(from).await? {
        Changes::PositionOutOfRange => {
            spdlog::warn!("store.forgot", kv: { reading = "targets", from: });
            read_targets(gateway, BootTime::now()).await
        }
        Changes::Listed(read) => {
            let changes = gateway.targets.effective_changes(&read.items);
            gateway.targets.keep_changes(from, read.next, &changes);
            gateway.targets.apply(read.items, read.next, requested_at);
            if let Some(from) = from.offset_in(read.next.era())
                && peers::is_relay(gateway)
            {
                peers.send_changes(from, &changes).await;
            }
            Ok(())
        }
    }
}
