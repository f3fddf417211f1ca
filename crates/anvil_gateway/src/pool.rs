//! Connections to one target that are kept for the next request.

use std::{
    cell::RefCell,
    collections::VecDeque,
    net::SocketAddr,
    time::Duration, //
};

use tokio::time::Instant;

use crate::http1::{
    ConnectError,
    Connection, //
};

/// Idle connections kept to one target; a host has few requests open with each.
const IDLE_LIMIT_CONNECTIONS: usize = 16;
/// Idle time after which a connection is not used again, where the target states no timeout.
const IDLE_DEFAULT: Duration = Duration::from_secs(10);
/// Time before the target's stated timeout from which a connection is not used again: the target
/// may close it while a request is on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// A connection that carried requests.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    usable_until: Instant,
}

/// A connection taken for a request.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// Whether it carried a request before. If so, it may turn out to be closed.
    pub is_reused: bool,
}

/// Idle connections to one target, the latest used first.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<VecDeque<Idle>>,
}

impl ConnectionPool {
    /// Takes a kept connection, or opens one within `limit`.
    ///
    /// # Errors
    ///
    /// A connection that can't be opened.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<PooledConnection, ConnectError> {
        if let Some(connection) = self.take_idle() {
            return Ok(PooledConnection {
                connection,
                is_reused: true,
            });
        }
        let connection = Connection::open(address, limit).await?;
        Ok(PooledConnection {
            connection,
            is_reused: false,
        })
    }

    /// Opens a new connection within `limit`.
    ///
    /// # Errors
    ///
    /// A connection that can't be opened.
    pub async fn open(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<PooledConnection, ConnectError> {
        let connection = Connection::open(address, limit).await?;
        Ok(PooledConnection {
            connection,
            is_reused: false,
        })
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(mut kept) = idle.pop_back() {
            if kept.usable_until > now && kept.connection.is_reusable() {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read whole.
    pub fn release(&self, connection: Connection, idle_timeout: Option<Duration>) {
        if connection.has_buffered_bytes() {
            return;
        }
        let lasts = idle_timeout
            .unwrap_or(IDLE_DEFAULT)
            .saturating_sub(IDLE_MARGIN);
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= IDLE_LIMIT_CONNECTIONS {
            idle.pop_front();
        }
        idle.push_back(Idle {
            connection,
            usable_until: Instant::now() + lasts,
        });
    }

    /// Drops the connections that can't be used again.
    pub fn drop_expired(&self) {
        let now = Instant::now();
        self.idle
            .borrow_mut()
            .retain(|kept| kept.usable_until > now);
    }

    /// Drops every idle connection.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}
