//! Appends records that must reach the log even if no caller waits for them: outcomes, lost answers
//! and releases.

use std::{
    sync::Arc,
    time::Duration, //
};

use anvil_core::claims::{
    Record,
    shard_of, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};
use tokio_util::{
    sync::CancellationToken,
    task::TaskTracker, //
};

use super::{
    client::Client,
    messages::ShardRequest, //
};

/// Time limit of one attempt to append a record.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest and longest pause between attempts.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Appends each record repeatedly until it is read back, the lifetime of keys has passed, or the
/// host stops.
pub struct Outbox {
    client: Arc<Client>,
    key_life: Duration,
    tasks: TaskTracker,
    stop: CancellationToken,
}

/// Whether a record is known to be on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The record has not been read back from the log.
    Pending,
    /// The record was read back from the log.
    ReadBack,
}

impl Outbox {
    /// Creates an empty outbox whose records are given up after `key_life`.
    pub fn new(client: Arc<Client>, key_life: Duration) -> Self {
        Self {
            client,
            key_life,
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        }
    }

    /// Starts to append a record. The receiver changes when the record is known to be on the log.
    pub fn enqueue(&self, record: Record) -> watch::Receiver<Delivery> {
        let (delivery, receiver) = watch::channel(Delivery::Pending);
        let client = Arc::clone(&self.client);
        let stop = self.stop.clone();
        let deadline = Instant::now() + self.key_life;
        self.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {
                    spdlog::error!("claims.record_not_kept", kv: { claim: = record.claim() });
                }
                new_delivery = deliver(&client, &record, deadline) => {
                    delivery.send_replace(new_delivery);
                }
            }
        });
        receiver
    }

    /// Waits until the records are on the log, and gives up the remaining ones after `timeout`.
    pub async fn close(&self, timeout: Duration) {
        self.tasks.close();
        if tokio::time::timeout(timeout, self.tasks.wait())
            .await
            .is_err()
        {
            self.stop.cancel();
            self.tasks.wait().await;
        }
    }
}

async fn deliver(client: &Client, record: &Record, deadline: Instant) -> Delivery {
    let shard = shard_of(&record.hash());
    let request = ShardRequest::Append(record.clone());
    let mut backoff = BACKOFF_MIN;
    while Instant::now() < deadline {
        let result = client
            .send_request(shard, &request, Instant::now() + ATTEMPT_TIMEOUT)
            .await;
        if result.is_ok() {
            return Delivery::ReadBack;
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
    spdlog::error!("claims.record_not_kept", kv: { claim: = record.claim() });
    Delivery::Pending
}
