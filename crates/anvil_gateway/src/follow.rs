//! Follows the operators' table and the list of targets at the store.

use std::{
    rc::Rc,
    time::Duration, //
};

use anvil_core::id::Offset;
use tokio::time::sleep;

use crate::{
    clock::BootTime,
    gateway::Gateway,
    port::{
        Changes,
        StoreError, //
    }, //
};

/// Longest wait of one question for a new table. The answer also confirms the table held, whose
/// age must stay well below the bound on revoked keys.
const TABLE_WAIT: Duration = Duration::from_millis(1800);
/// Share of the bound on leaving targets that passes between two readings of the list.
const LIST_SHARE: f64 = 0.45;
/// Pause after a failed call, doubled up to the longest.
const BACKOFF_MIN: Duration = Duration::from_millis(60);
/// Longest pause after failed calls.
const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// Pauses after failed calls, and log lines for the first failure and for the recovery.
struct Backoff {
    what: &'static str,
    failures: u32,
}

impl Backoff {
    fn new(what: &'static str) -> Self {
        Self { what, failures: 0 }
    }

    async fn failed(&mut self, gateway: &Gateway, error: &StoreError) {
        if self.failures == 0 {
            spdlog::warn!("store.lost", kv: { reading = self.what, error: });
        }
        self.failures = self.failures.saturating_add(1);
        let pause = BACKOFF_MIN * (1 << self.failures.min(5));
        let pause = pause.min(BACKOFF_MAX);
        sleep(gateway.draw_between(pause / 2, pause)).await;
    }

    fn succeeded(&mut self) {
        if self.failures > 0 {
            spdlog::info!("store.regained", kv: { reading = self.what, failures = self.failures });
            self.failures = 0;
        }
    }
}

/// Follows the operators' table for ever.
pub async fn follow_table(gateway: Rc<Gateway>) {
    let mut backoff = Backoff::new("table");
    let mut next: Option<Offset> = None;
    loop {
        let asked = BootTime::now();
        let result = match next {
            None => read_newest(&gateway, asked).await,
            Some(from) => read_after(&gateway, from, asked).await,
        };
        match result {
            Ok(offset) => {
                backoff.succeeded();
                next = offset;
                if gateway.knowledge.table().is_none() {
                    sleep(BACKOFF_MIN).await;
                }
            }
            Err(error) => backoff.failed(&gateway, &error).await,
        }
    }
}

async fn read_newest(gateway: &Gateway, asked: BootTime) -> Result<Option<Offset>, StoreError> {
    let read = gateway.platform.store.newest_table().await?;
    gateway.knowledge.take(read.items, asked);
    Ok(Some(read.next))
}

async fn read_after(
    gateway: &Gateway,
    from: Offset,
    asked: BootTime,
) -> Result<Option<Offset>, StoreError> {
    match gateway
        .platform
        .store
        .tables_after(from, TABLE_WAIT)
        .await?
    {
        Changes::Forgotten => {
            spdlog::warn!("store.forgot", kv: { reading = "table", from });
            Ok(None)
        }
        Changes::Listed(read) => {
            gateway.knowledge.take(read.items, asked);
            Ok(Some(read.next))
        }
    }
}

/// Follows the list of targets for ever.
pub async fn follow_targets(gateway: Rc<Gateway>) {
    let mut backoff = Backoff::new("targets");
    let mut next: Option<Offset> = None;
    let period = gateway.settings.bounds.leaving_target.mul_f64(LIST_SHARE);
    loop {
        let asked = BootTime::now();
        let result = match next {
            None => read_targets(&gateway, asked).await,
            Some(from) => read_target_changes(&gateway, from, asked).await,
        };
        match result {
            Ok(offset) => {
                backoff.succeeded();
                next = offset;
                if next.is_some() {
                    sleep(period.saturating_sub(asked.elapsed())).await;
                }
            }
            Err(error) => backoff.failed(&gateway, &error).await,
        }
    }
}

async fn read_targets(gateway: &Gateway, asked: BootTime) -> Result<Option<Offset>, StoreError> {
    let read = gateway.platform.store.newest_targets().await?;
    gateway.targets.replace(read.items, asked);
    Ok(Some(read.next))
}

async fn read_target_changes(
    gateway: &Gateway,
    from: Offset,
    asked: BootTime,
) -> Result<Option<Offset>, StoreError> {
    match gateway.platform.store.targets_after(from).await? {
        Changes::Forgotten => {
            spdlog::warn!("store.forgot", kv: { reading = "targets", from });
            Ok(None)
        }
        Changes::Listed(read) => {
            gateway.targets.apply(read.items, asked);
            Ok(Some(read.next))
        }
    }
}
