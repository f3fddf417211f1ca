//! Pool of idle connections to one target.

use std::{
    cell::RefCell,
    collections::VecDeque,
    time::Duration, //
};

use anvil_core::id::{
    RequestId,
    TargetId, //
};
use tokio::time::Instant;

use crate::http1::Connection;

#[cfg(test)]
mod tests;

/// Largest number of idle connections kept to one target. A host has few requests open with each.
const IDLE_LIMIT_CONNECTIONS: usize = 16;
/// Most requests that were refused or failed on a connection which is kept.
const UNANSWERED_MAX: usize = 8;
/// Idle time after which a connection is not used again if the target states no timeout, or one that
/// exceeds the range of the clock.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(10);
/// Time before the end of the target's stated timeout from which a connection is not used again,
/// because the target may close it while a request is on its way.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// An idle connection that has carried a request.
#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    usable_until: Instant,
}

/// A connection taken for a request.
#[derive(Debug)]
pub struct PooledConnection {
    /// Connection, ready for the next request.
    pub connection: Connection,
    /// Whether it carried a request before. If so, the target may have closed it meanwhile.
    pub is_reused: bool,
    /// Whether it carries one request alone, since the answers to that request name none.
    is_single_use: bool,
    /// Requests that were refused or failed on it. Invariant: none of them is sent on it again, because a
    /// late copy of that answer would be taken for the answer to the second send.
    unanswered: Vec<RequestId>,
}

impl PooledConnection {
    /// Takes over a connection that has carried no request.
    pub fn new(connection: Connection) -> Self {
        Self {
            connection,
            is_reused: false,
            is_single_use: false,
            unanswered: Vec::new(),
        }
    }

    /// Returns the connection as one that is not kept after its request.
    pub(crate) fn into_single_use(self) -> Self {
        Self {
            is_single_use: true,
            ..self
        }
    }

    /// Records that a request was refused or failed, and may be sent again.
    pub fn record_unanswered(&mut self, request: &RequestId) {
        self.unanswered.push(request.clone());
    }
}

/// Idle connections to one target. The one used last is taken first.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<VecDeque<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes an idle connection for a request, if there is one.
    pub(crate) fn take_idle(&self, request: &RequestId) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(candidate) = idle.pop_back() {
            let mut kept = candidate.connection;
            if candidate.usable_until > now
                && kept.connection.is_reusable()
                && !kept.unanswered.contains(request)
            {
                kept.is_reused = true;
                return Some(kept);
            }
        }
        None
    }

    /// Returns whether an idle connection is open, which shows that the target's process runs.
    pub fn has_open(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let open = |candidate: &mut IdleConnection| candidate.connection.connection.is_reusable();
        idle.iter_mut().any(open)
    }

    /// Returns a connection whose last answer was read completely to the pool. Drops it if bytes
    /// are left in its buffer, if it carries one request alone, or if many requests were refused on it.
    pub fn release(&self, pooled: PooledConnection, idle_timeout: Option<Duration>) {
        let connection = &pooled.connection;
        if connection.has_buffered_bytes()
            || connection.is_tunnel()
            || pooled.is_single_use
            || pooled.unanswered.len() > UNANSWERED_MAX
        {
            return;
        }
        let usable_for = idle_timeout
            .unwrap_or(IDLE_TIMEOUT_DEFAULT)
            .saturating_sub(IDLE_TIMEOUT_MARGIN);
        let now = Instant::now();
        // A target may state a time that ends beyond the range of the clock.
        let usable_until = now
            .checked_add(usable_for)
            .unwrap_or(now + IDLE_TIMEOUT_DEFAULT);
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= IDLE_LIMIT_CONNECTIONS {
            idle.pop_front();
        }
        idle.push_back(IdleConnection {
            connection: pooled,
            usable_until,
        });
    }

    /// Drops the connections that have been idle for too long.
    pub fn drop_expired(&self) {
        let now = Instant::now();
        self.idle
            .borrow_mut()
            .retain(|candidate| candidate.usable_until > now);
    }

    /// Drops every idle connection after one to the same target was silent: whatever silenced it may
    /// have silenced them.
    pub fn doubt(&self, target: &TargetId) {
        let doubted = std::mem::take(&mut *self.idle.borrow_mut()).len();
        if doubted > 0 {
            spdlog::info!("target.connections_doubted", kv: { target = target.as_str(), doubted });
        }
    }

    /// Drops every idle connection.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}
