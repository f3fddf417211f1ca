//! Follows the configuration. A few hosts of each data centre read it from the platform's log; the
//! others get it from peers.

mod exchange;
mod follower;
mod messages;
mod recent;
mod snapshot;
mod submit;

use std::sync::Arc;

use bytes::Bytes;
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use tokio_util::sync::CancellationToken;

use crate::{
    peers::Rejected,
    shared::Shared, //
};

pub use follower::{
    ApplyState,
    Follower,
    FollowerContext, //
    Handle,
};
pub use messages::{
    PULL_PATH,
    PUSH_PATH, //
};
pub use submit::PatchOutcome;

/// Follows the configuration until the host stops, and puts each newer version in force.
pub async fn follow(shared: Arc<Shared>, stop: CancellationToken) {
    let shared_for_apply = Arc::clone(&shared);
    let context = FollowerContext {
        host: shared.settings.host_id.clone(),
        data_centre: shared.settings.data_centre.clone(),
        peers: Arc::clone(&shared.ports.peers),
        roster: Arc::new(shared.roster()),
        apply_state: Box::new(move |state| {
            let document = Arc::clone(state.document());
            let view = shared_for_apply.config().next(state.version(), document);
            shared_for_apply.set_config(view);
        }),
    };
    let follower = Follower::new(&shared.configuration, context);
    drop(shared);
    follower.run(stop).await;
}

/// Returns a handler that answers peers' messages on one path.
pub fn peer_handler(
    shared: &Arc<Shared>,
    path: &'static str,
) -> impl Fn(Bytes) -> BoxFuture<'static, Result<Bytes, Rejected>> + Send + Sync + 'static {
    let handle = shared.configuration.clone();
    move |body| {
        let handle = handle.clone();
        async move {
            handle.handle_peer_message(path, &body).await.map_err(|error| {
                spdlog::warn!("config.peer_message_refused", kv: { path, error = error.as_str() });
                Rejected::Refused("the message was not taken")
            })
        }
        .boxed()
    }
}

#[cfg(test)]
mod tests;
