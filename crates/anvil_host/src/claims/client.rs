//! Sends requests to shards, through the shard's combiner if it can be reached.

use std::{
    sync::Arc,
    time::Duration, //
};

use anvil_core::{
    claims::Shard,
    id::HostId, //
};
use tokio::time::Instant;

use super::{
    messages::{
        self,
        AppendState,
        ShardRequest,
        ShardResponse,
        ShardUnavailable, //
    },
    shards::{
        PEER_PATH,
        Shards, //
    }, //
};
use crate::{
    port::{
        CallErrorKind,
        PeerAddress,
        Peers, //
    },
    roster::{
        self,
        Roster, //
    }, //
};

/// Number of other hosts to try before this host reads and appends to the log itself.
const REMOTE_ATTEMPTS_MAX: usize = 2;
/// Time for which a peer's response is awaited beyond the wait stated in the request.
const PEER_TIMEOUT_MARGIN: Duration = Duration::from_millis(200);

/// Sends this host's requests to shards, on peers or on this host.
pub struct Client {
    host: HostId,
    shards: Arc<Shards>,
    peers: Arc<dyn Peers>,
    roster: Arc<dyn Roster>,
}

impl Client {
    /// Creates a client for the host with the given ID.
    pub fn new(
        host: HostId,
        shards: Arc<Shards>,
        peers: Arc<dyn Peers>,
        roster: Arc<dyn Roster>,
    ) -> Self {
        Self {
            host,
            shards,
            peers,
            roster,
        }
    }

    /// Returns the live hosts in the order in which they are preferred as the shard's combiner.
    pub fn combiners(&self, shard: Shard) -> Vec<PeerAddress> {
        let members = self.roster.members();
        roster::choose(&members, &format!("claims/{shard}"), members.len())
            .into_iter()
            .map(|member| member.address)
            .collect()
    }

    /// Sends a request to a shard until it is answered, the attempts are used up, or the deadline
    /// has passed.
    ///
    /// # Errors
    ///
    /// Returns an error if no host could answer. Its `append_state` covers all attempts together.
    pub async fn send_request(
        &self,
        shard: Shard,
        request: &ShardRequest,
        deadline: Instant,
    ) -> Result<ShardResponse, ShardUnavailable> {
        let mut append_state = AppendState::NotAppended;
        let mut attempts_left = REMOTE_ATTEMPTS_MAX + 1;
        for host in self.combiners(shard).iter().take(REMOTE_ATTEMPTS_MAX) {
            if host.id == self.host {
                break;
            }
            let timeout = attempt_timeout(deadline, attempts_left);
            attempts_left -= 1;
            match self.send_to_peer(host, shard, request, timeout).await {
                Ok(response) => return Ok(response),
                Err(error) => {
                    spdlog::warn!("claims.combiner_failed", kv: {
                        shard,
                        peer = host.id.as_str(),
                        error: = error,
                    });
                    append_state = append_state.max(error.append_state);
                }
            }
        }
        let result = self
            .shards
            .send_request(shard, request.clone(), deadline)
            .await;
        result.map_err(|error| ShardUnavailable {
            append_state: append_state.max(error.append_state),
            ..error
        })
    }

    async fn send_to_peer(
        &self,
        host: &PeerAddress,
        shard: Shard,
        request: &ShardRequest,
        timeout: Duration,
    ) -> Result<ShardResponse, ShardUnavailable> {
        let body = messages::encode_request(shard, request, timeout);
        let result = self
            .peers
            .call(host, PEER_PATH, body, timeout + PEER_TIMEOUT_MARGIN)
            .await;
        match result {
            Ok(body) => messages::decode_response(shard, &body),
            Err(error) => Err(ShardUnavailable {
                shard,
                append_state: match error.kind {
                    CallErrorKind::NotSent | CallErrorKind::Refused => AppendState::NotAppended,
                    CallErrorKind::AnswerLost => AppendState::Unknown,
                },
                message: error.to_string(),
            }),
        }
    }

    /// Asks the next combiner of each shard that this host follows to start following it too.
    pub async fn hand_over(&self, timeout: Duration) {
        let warm_ups = self
            .shards
            .followed_shards()
            .into_iter()
            .map(|shard| async move {
                let next = self.combiners(shard);
                let Some(next) = next.iter().find(|host| host.id != self.host) else {
                    return;
                };
                let warmed = self
                    .send_to_peer(next, shard, &ShardRequest::Warm, timeout)
                    .await;
                spdlog::info!("claims.handed_over", kv: {
                    shard,
                    peer = next.id.as_str(),
                    warmed = warmed.is_ok(),
                });
            });
        futures::future::join_all(warm_ups).await;
    }
}

fn attempt_timeout(deadline: Instant, attempts_left: usize) -> Duration {
    let time_left = deadline.saturating_duration_since(Instant::now());
    time_left / u32::try_from(attempts_left).unwrap_or(1).max(1)
}
