//! Records that must reach the log although nobody waits for them: outcomes, losses, releases.

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

/// Longest time of one try.
const TRY_TIME: Duration = Duration::from_secs(3);
/// Pauses between tries.
const PAUSE_MIN: Duration = Duration::from_millis(100);
const PAUSE_MAX: Duration = Duration::from_secs(5);

/// Appends records until they are read back, the life of keys is over, or the host stops.
pub struct Outbox {
    client: Arc<Client>,
    key_life: Duration,
    tasks: TaskTracker,
    stop: CancellationToken,
}

/// Whether a record is on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Not as far as is known.
    Waiting,
    /// It was read back.
    ReadBack,
}

impl Outbox {
    /// Makes an empty outbox.
    pub fn new(client: Arc<Client>, key_life: Duration) -> Self {
        Self {
            client,
            key_life,
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        }
    }

    /// Takes a record; the receiver tells when it is on the log.
    pub fn put(&self, record: Record) -> watch::Receiver<Delivery> {
        let (delivery, watch) = watch::channel(Delivery::Waiting);
        let client = Arc::clone(&self.client);
        let stop = self.stop.clone();
        let until = Instant::now() + self.key_life;
        self.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {
                    spdlog::error!("claims.record_not_kept", kv: { claim: = record.claim() });
                }
                delivered = deliver(&client, &record, until) => {
                    delivery.send_replace(delivered);
                }
            }
        });
        watch
    }

    /// Waits for the records to reach the log, and gives up on the rest after `timeout`.
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

async fn deliver(client: &Client, record: &Record, until: Instant) -> Delivery {
    let shard = shard_of(&record.hash());
    let request = ShardRequest::Append(record.clone());
    let mut pause = PAUSE_MIN;
    while Instant::now() < until {
        let answer = client
            .send_request(shard, &request, Instant::now() + TRY_TIME)
            .await;
        if answer.is_ok() {
            return Delivery::ReadBack;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(PAUSE_MAX);
    }
    spdlog::error!("claims.record_not_kept", kv: { claim: = record.claim() });
    Delivery::Waiting
}
