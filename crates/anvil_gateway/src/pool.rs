//! Pool of idle connections to one target.

use std::{
    cell::RefCell,
    collections::VecDeque,
    time::Duration, //
};

use anvil_core::id::TargetId;
use tokio::time::Instant;

use crate::http1::Connection;

/// Largest number of idle connections kept to one target. A host has few requests open with each.
const IDLE_LIMIT_CONNECTIONS: usize = 16;
/// Idle time after which a connection is not used again if the target states no timeout.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(10);
/// Time before the end of the target's stated timeout from which a connection is not used again,
/// because the target may close it while a request is on its way.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// An idle connection that has carried a request.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    usable_until: Instant,
}

/// A connection taken for a request.
#[derive(Debug)]
pub struct PooledConnection {
    /// Connection, ready for the next request.
    pub connection: Connection,
    /// Whether it carried a request before. If so, the target may have closed it meanwhile.
    pub is_reused: bool,
}

/// Idle connections to one target. The one used last is taken first.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<VecDeque<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes an idle connection, if there is one.
    pub(crate) fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(mut candidate) = idle.pop_back() {
            if candidate.usable_until > now && candidate.connection.is_reusable() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Returns whether an idle connection is open, which shows that the target's process runs.
    pub fn has_open(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let open = |candidate: &mut IdleConnection| candidate.connection.is_reusable();
        idle.iter_mut().any(open)
    }

    /// Returns a connection whose last answer was read completely to the pool. Drops it if bytes
    /// are left in its buffer, or if it is a tunnel.
    pub fn release(&self, connection: Connection, idle_timeout: Option<Duration>) {
        if connection.has_buffered_bytes() || connection.is_tunnel() {
            return;
        }
        let usable_for = idle_timeout
            .unwrap_or(IDLE_TIMEOUT_DEFAULT)
            .saturating_sub(IDLE_TIMEOUT_MARGIN);
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= IDLE_LIMIT_CONNECTIONS {
            idle.pop_front();
        }
        idle.push_back(IdleConnection {
            connection,
            usable_until: Instant::now() + usable_for,
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
