//! Keeps the id of the request that the current task serves, so that its log lines can carry it.

use std::future::Future;

use anvil_core::id::RequestId;

tokio::task_local! {
    static REQUEST: RequestId;
}

/// Runs a future on behalf of a request, so that log lines within it carry the request's id.
///
/// Tasks that the future spawns do not inherit the id; wrap their futures too.
pub fn scope<F: Future>(request: RequestId, future: F) -> impl Future<Output = F::Output> {
    REQUEST.scope(request, future)
}

/// Returns the id of the request that the current task serves, or `None` outside of [`scope`].
pub fn current() -> Option<RequestId> {
    REQUEST.try_with(Clone::clone).ok()
}
