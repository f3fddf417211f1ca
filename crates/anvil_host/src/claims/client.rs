//! Asks shards, through their combiner where it can be reached.

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

/// Other hosts to try before this host asks the log itself.
const REMOTE_TRIES: usize = 2;
/// Longest wait for a peer beyond the time that it was given.
const PEER_SLACK: Duration = Duration::from_millis(200);

/// Asks shards.
pub struct Client {
    host: HostId,
    shards: Arc<Shards>,
    peers: Arc<dyn Peers>,
    roster: Arc<dyn Roster>,
}

impl Client {
    /// Makes a client for a host.
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

    /// Live hosts in the order in which they combine a shard's appends.
    pub fn combiners(&self, shard: Shard) -> Vec<PeerAddress> {
        let members = self.roster.members();
        roster::choose(&members, &format!("claims/{shard}"), members.len())
            .into_iter()
            .map(|member| member.address)
            .collect()
    }

    /// Asks a shard until it answers, the tries are used up, or the time is over.
    ///
    /// # Errors
    ///
    /// Nobody could answer. Whether a record may have reached the log is told for all tries
    /// together.
    pub async fn send_request(
        &self,
        shard: Shard,
        request: &ShardRequest,
        until: Instant,
    ) -> Result<ShardResponse, ShardUnavailable> {
        let mut append_state = AppendState::NotAppended;
        let mut tries_left = REMOTE_TRIES + 1;
        for host in self.combiners(shard).iter().take(REMOTE_TRIES) {
            if host.id == self.host {
                break;
            }
            let wait = share_of_time(until, tries_left);
            tries_left -= 1;
            match self.ask_peer(host, shard, request, wait).await {
                Ok(reply) => return Ok(reply),
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
        let answer = self
            .shards
            .send_request(shard, request.clone(), until)
            .await;
        answer.map_err(|error| ShardUnavailable {
            append_state: append_state.max(error.append_state),
            ..error
        })
    }

    async fn ask_peer(
        &self,
        host: &PeerAddress,
        shard: Shard,
        request: &ShardRequest,
        wait: Duration,
    ) -> Result<ShardResponse, ShardUnavailable> {
        let body = messages::encode_request(shard, request, wait);
        let called = self
            .peers
            .call(host, PEER_PATH, body, wait + PEER_SLACK)
            .await;
        match called {
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

    /// Tells the next combiner of each shard that is followed here to follow it too.
    pub async fn hand_over(&self, wait: Duration) {
        let moves = self
            .shards
            .followed_shards()
            .into_iter()
            .map(|shard| async move {
                let next = self.combiners(shard);
                let Some(next) = next.iter().find(|host| host.id != self.host) else {
                    return;
                };
                let warmed = self.ask_peer(next, shard, &ShardRequest::Warm, wait).await;
                spdlog::info!("claims.handed_over", kv: {
                    shard,
                    peer = next.id.as_str(),
                    warmed = warmed.is_ok(),
                });
            });
        futures::future::join_all(moves).await;
    }
}

fn share_of_time(until: Instant, tries_left: usize) -> Duration {
    let left = until.saturating_duration_since(Instant::now());
    left / u32::try_from(tries_left).unwrap_or(1).max(1)
}
