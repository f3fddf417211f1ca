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

/// Longest wait for a peer's response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Pushes records to a peer and logs an error if the peer then has the same version as this host
/// with another digest.
pub async fn push(peers: Arc<dyn Peers>, member: Member, body: Bytes, own_position: Position) {
    let peer = &member.address;
    let result = peers
        .call(peer, messages::PUSH_PATH, body, CALL_TIMEOUT)
        .await;
    let answer = match result {
        Ok(answer) => messages::decode_push_response(&answer),
        Err(error) => Err(error.to_string()),
    };
    match answer {
        Ok(peer_position)
            if peer_position.version == own_position.version
                && peer_position.digest != own_position.digest =>
        {
            spdlog::error!("config.diverged", kv: {
                peer = peer.id.as_str(),
                version = own_position.version,
            });
        }
        Ok(_) => {}
        // A failed push is not retried: the peer pulls the records that it missed.
        Err(error) => {
            spdlog::debug!("config.push_failed", kv: {
                peer = peer.id.as_str(),
                error = error.as_str(),
            });
        }
    }
}

/// Asks a peer for the records from an offset on.
///
/// # Errors
///
/// The call failed, or the response could not be decoded.
pub async fn pull(
    peers: Arc<dyn Peers>,
    member: Member,
    next_offset: Offset,
) -> Result<PullResponse, String> {
    let body = messages::encode_pull(next_offset);
    let result = peers
        .call(&member.address, messages::PULL_PATH, body, CALL_TIMEOUT)
        .await;
    match result {
        Ok(answer) => messages::decode_pull_response(&answer),
        Err(error) => Err(error.to_string()),
    }
}
