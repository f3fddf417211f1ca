//! The claim shards that this host follows, for itself and for its peers.

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

/// Path of claim messages on the peers' listener.
pub const PEER_PATH: &str = "claims";

/// Maximum number of requests that wait in the queue of a shard's task.
const QUEUE_LIMIT: usize = 1024;
/// Maximum wait that a peer's request may ask for.
const PEER_WAIT_LIMIT: Duration = Duration::from_secs(30);

/// The shards that this host follows. A shard is followed from its first request on.
pub struct Shards {
    settings: Settings,
    log: Arc<dyn Log>,
    stream_prefix: SmolStr,
    senders: Vec<ArcSwapOption<mpsc::Sender<QueuedRequest>>>,
    /// Held while a shard's task is started, which is rare.
    start_lock: Mutex<()>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl Shards {
    /// Creates the table of shards without following any.
    pub fn new(settings: Settings, log: Arc<dyn Log>, stream_prefix: impl Into<SmolStr>) -> Self {
        Self {
            settings,
            log,
            stream_prefix: stream_prefix.into(),
            senders: (0..SHARD_COUNT).map(|_| ArcSwapOption::empty()).collect(),
            start_lock: Mutex::new(()),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        }
    }

    /// Returns the log stream that holds a shard's records.
    pub fn stream(&self, shard: Shard) -> LogStreamId {
        format_smolstr!("{}-{shard}", self.stream_prefix)
    }

    /// Returns the shards that this host currently follows.
    pub fn followed_shards(&self) -> Vec<Shard> {
        (0..SHARD_COUNT)
            .filter(|shard| self.running_sender(*shard).is_some())
            .collect()
    }

    /// Sends a request to a shard's task on this host, and waits for its response until shortly
    /// after `deadline`.
    ///
    /// # Errors
    ///
    /// Returns an error if the shard could not answer.
    pub async fn send_request(
        &self,
        shard: Shard,
        request: ShardRequest,
        deadline: Instant,
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
        let queued = QueuedRequest {
            request,
            deadline,
            reply,
        };
        if self.get_or_start(shard).try_send(queued).is_err() {
            return Err(unavailable(
                AppendState::NotAppended,
                "too many questions wait",
            ));
        }
        answer
            .await
            .unwrap_or_else(|_| Err(unavailable(AppendState::Unknown, "the shard was stopped")))
    }

    /// Answers a peer's request. Bytes that can't be decoded are answered with an error.
    pub async fn handle_peer_message(&self, body: &[u8]) -> Bytes {
        let reply = match messages::decode_request(body) {
            Ok((shard, request, wait)) => {
                let deadline = Instant::now() + wait.min(PEER_WAIT_LIMIT);
                self.send_request(shard, request, deadline).await
            }
            Err(message) => Err(ShardUnavailable {
                shard: SHARD_COUNT,
                append_state: AppendState::NotAppended,
                message,
            }),
        };
        messages::encode_response(&reply)
    }

    /// Stops following all shards. Records that peers still wait for may or may not reach the log.
    /// The peers retry at another host.
    pub async fn close(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn running_sender(&self, shard: Shard) -> Option<Arc<mpsc::Sender<QueuedRequest>>> {
        self.senders[usize::from(shard)]
            .load_full()
            .filter(|sender| !sender.is_closed())
    }

    fn get_or_start(&self, shard: Shard) -> Arc<mpsc::Sender<QueuedRequest>> {
        if let Some(sender) = self.running_sender(shard) {
            return sender;
        }
        let _start_guard = self
            .start_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = self.running_sender(shard) {
            return sender;
        }
        let (sender, requests) = mpsc::channel(QUEUE_LIMIT);
        let task = ShardTask::new(
            shard,
            self.settings.clone(),
            Arc::clone(&self.log),
            self.stream(shard),
        );
        spdlog::info!("claims.shard_started", kv: { shard });
        self.tasks.spawn(task.run(requests, self.stop.clone()));
        let sender = Arc::new(sender);
        self.senders[usize::from(shard)].store(Some(Arc::clone(&sender)));
        sender
    }
}
