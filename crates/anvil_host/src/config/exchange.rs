//! Calls to peers about the configuration.

use std::{
    sync::Arc,
    time::Duration, //
};

use anvil_core::id::Offset;
use bytes::Bytes;

use super::messages::{
    self,
    Position,
    PullResponse, //
};
use crate::{
    port::Peers,
    roster::Member, //
};

/// Longest wait for a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Pushes records to a peer, and compares what it then has with this host's version.
pub async fn push(peers: Arc<dyn Peers>, member: Member, body: Bytes, own: Position) {
    let peer = &member.address;
    let called = peers
        .call(peer, messages::PUSH_PATH, body, CALL_TIMEOUT)
        .await;
    let answer = match called {
        Ok(answer) => messages::decode_push_response(&answer),
        Err(error) => Err(error.to_string()),
    };
    match answer {
        Ok(theirs) if theirs.version == own.version && theirs.digest != own.digest => {
            spdlog::error!("config.diverged", kv: {
                peer = peer.id.as_str(),
                version = own.version,
            });
        }
        Ok(_) => {}
        // The peer pulls what it missed.
        Err(error) => {
            spdlog::debug!("config.push_failed", kv: {
                peer = peer.id.as_str(),
                error = error.as_str(),
            });
        }
    }
}

/// Asks a peer for what follows an offset.
pub async fn pull(
    peers: Arc<dyn Peers>,
    member: Member,
    next_offset: Offset,
) -> Result<PullResponse, String> {
    let body = messages::encode_pull(next_offset);
    let called = peers
        .call(&member.address, messages::PULL_PATH, body, CALL_TIMEOUT)
        .await;
    match called {
        Ok(answer) => messages::decode_pull_response(&answer),
        Err(error) => Err(error.to_string()),
    }
}
