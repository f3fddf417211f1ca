//! The shards that this host follows, for itself and for others.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use anvil_core::{
    claims::{
        SHARD_COUNT,
        Settings,
        Shard, //
    },
    id::LogStreamId, //
};
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use smol_str::{
    SmolStr,
    format_smolstr, //
};
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::Instant, //
};
use tokio_util::{
    sync::CancellationToken,
    task::TaskTracker, //
};

use super::{
    messages::{
        self,
        AppendState,
        ShardRequest,
        ShardResponse,
        ShardUnavailable, //
    },
    shard::{
        QueuedRequest,
        ShardTask, //
    }, //
};
use crate::port::Log;

/// Path of claim messages at a peer's listener.
pub const PEER_PATH: &str = "claims";

/// Questions that may wait for a shard's task.
const QUEUE_LIMIT: usize = 1024;
/// Longest wait that a peer may ask for.
const PEER_WAIT_LIMIT: Duration = Duration::from_secs(30);

/// The shards that this host follows. A shard is followed from the first question on.
pub struct Shards {
    settings: Settings,
    log: Arc<dyn Log>,
    stream_prefix: SmolStr,
    asks: Vec<ArcSwapOption<mpsc::Sender<QueuedRequest>>>,
    /// Held while a shard is started, which is rare.
    starting: Mutex<()>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl Shards {
    /// Makes a host's shards; none is followed yet.
    pub fn new(settings: Settings, log: Arc<dyn Log>, stream_prefix: impl Into<SmolStr>) -> Self {
        Self {
            settings,
            log,
            stream_prefix: stream_prefix.into(),
            asks: (0..SHARD_COUNT).map(|_| ArcSwapOption::empty()).collect(),
            starting: Mutex::new(()),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        }
    }

    /// Stream of a shard's records.
    pub fn stream(&self, shard: Shard) -> LogStreamId {
        format_smolstr!("{}-{shard}", self.stream_prefix)
    }

    /// Shards that are followed now.
    pub fn followed_shards(&self) -> Vec<Shard> {
        (0..SHARD_COUNT)
            .filter(|shard| self.running(*shard).is_some())
            .collect()
    }

    /// Asks a shard, and waits for its reply until `until` and little longer.
    ///
    /// # Errors
    ///
    /// The shard could not answer.
    pub async fn send_request(
        &self,
        shard: Shard,
        request: ShardRequest,
        until: Instant,
    ) -> Result<ShardResponse, ShardUnavailable> {
        let unavailable = |append_state, message: &str| ShardUnavailable {
            shard,
            append_state,
            message: message.to_owned(),
        };
        if shard >= SHARD_COUNT {
            return Err(unavailable(AppendState::NotAppended, "no such shard"));
        }
        let (reply, answer) = oneshot::channel();
        let ask = QueuedRequest {
            request,
            until,
            reply,
        };
        if self.sender(shard).try_send(ask).is_err() {
            return Err(unavailable(
                AppendState::NotAppended,
                "too many questions wait",
            ));
        }
        answer
            .await
            .unwrap_or_else(|_| Err(unavailable(AppendState::Unknown, "the shard was stopped")))
    }

    /// Answers a peer's question.
    pub async fn handle_peer_message(&self, body: &[u8]) -> Bytes {
        let reply = match messages::decode_request(body) {
            Ok((shard, request, wait)) => {
                let until = Instant::now() + wait.min(PEER_WAIT_LIMIT);
                self.send_request(shard, request, until).await
            }
            Err(message) => Err(ShardUnavailable {
                shard: SHARD_COUNT,
                append_state: AppendState::NotAppended,
                message,
            }),
        };
        messages::encode_response(&reply)
    }

    /// Stops following. Records that others still wait for may be lost or not; they ask elsewhere.
    pub async fn close(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn running(&self, shard: Shard) -> Option<Arc<mpsc::Sender<QueuedRequest>>> {
        self.asks[usize::from(shard)]
            .load_full()
            .filter(|sender| !sender.is_closed())
    }

    fn sender(&self, shard: Shard) -> Arc<mpsc::Sender<QueuedRequest>> {
        if let Some(sender) = self.running(shard) {
            return sender;
        }
        let _starting = self.starting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = self.running(shard) {
            return sender;
        }
        let (sender, asks) = mpsc::channel(QUEUE_LIMIT);
        let task = ShardTask::new(
            shard,
            self.settings.clone(),
            Arc::clone(&self.log),
            self.stream(shard),
        );
        spdlog::info!("claims.shard_started", kv: { shard });
        self.tasks.spawn(task.run(asks, self.stop.clone()));
        let sender = Arc::new(sender);
        self.asks[usize::from(shard)].store(Some(Arc::clone(&sender)));
        sender
    }
}
