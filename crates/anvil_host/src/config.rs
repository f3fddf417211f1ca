//! Follows the configuration: from the platform's log by few hosts of each data centre, from
//! peers by the others.

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

/// Follows the configuration until the host stops.
pub async fn follow(shared: Arc<Shared>, stop: CancellationToken) {
    let in_force = Arc::clone(&shared);
    let parts = FollowerContext {
        host: shared.settings.host_id.clone(),
        data_centre: shared.settings.data_centre.clone(),
        peers: Arc::clone(&shared.ports.peers),
        roster: Arc::new(shared.roster()),
        apply_state: Box::new(move |state| {
            let document = Arc::clone(state.document());
            let view = in_force.config().next(state.version(), document);
            in_force.set_config(view);
        }),
    };
    let follower = Follower::new(&shared.configuration, parts);
    drop(shared);
    follower.run(stop).await;
}

/// Answers peers' messages of one path.
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
