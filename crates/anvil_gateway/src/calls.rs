//! Calls to a server over kept connections, any of which may have gone silent without a sign.
//!
//! A kept connection proves nothing about itself until its next answer. A call on one is therefore
//! given up soon; the other kept connections are then doubted too, and a call that may be repeated is
//! sent once more over a new one.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    time::Duration, //
};

use anvil_core::freshness::Limits;
use bytes::{
    Bytes,
    BytesMut, //
};
use smol_str::{
    SmolStr,
    ToSmolStr, //
};
use tokio::time::{
    Instant,
    timeout, //
};

use crate::{
    http1::{
        BodyDecoder,
        Connection,
        ResponseHead, //
    },
    port::{
        PlatformError,
        PlatformErrorKind, //
    },
};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for an answer on a new connection, in addition to the wait that the call itself asks
/// for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time since its last answer for which a kept connection carries calls that can't be repeated.
const PROVEN_TIME: Duration = Duration::from_millis(300);
/// Ratio of the time after which an answer is doubted to the time that the last one took.
const DOUBT_FACTOR: u32 = 3;
/// Largest body of an answer.
const ANSWER_LIMIT_BYTES: usize = 2 << 20;
/// Largest number of idle connections that are kept.
const IDLE_LIMIT_CONNECTIONS: usize = 3;

/// What may be done with a call that is not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// It may be sent again: it changes nothing.
    Read,
    /// It changes nothing, and the server answers it after this time at the latest, or earlier.
    Wait(Duration),
    /// It may have been carried out, so that only the caller can decide to repeat it.
    Write,
}

/// Connections to one server.
#[derive(Debug)]
pub struct CallPool {
    address: SocketAddr,
    /// Role of the server, for the log.
    role: &'static str,
    limits: Limits,
    idle: RefCell<Vec<IdleConnection>>,
    /// Time that the last answer took, beyond the wait that its call asked for.
    last_answer_time: Cell<Duration>,
    given_up_count: Cell<u64>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    /// When the last answer on it was complete.
    answered_at: Instant,
}

impl CallPool {
    /// Creates a pool without connections; they are opened on demand.
    pub fn new(address: SocketAddr, role: &'static str, limits: Limits) -> Self {
        Self {
            address,
            role,
            limits,
            idle: RefCell::new(Vec::new()),
            last_answer_time: Cell::new(Duration::ZERO),
            given_up_count: Cell::new(0),
        }
    }

    /// Returns the number of connections that were given up because they were silent.
    pub fn given_up_count(&self) -> u64 {
        self.given_up_count.get()
    }

    /// Sends a request and returns its answer. `call` names it in errors and in the log.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformErrorKind::NotExecuted`] if no connection could be opened, and
    /// [`PlatformErrorKind::AnswerLost`] if the request was sent and no answer arrived.
    pub async fn call(
        &self,
        call: &'static str,
        request: &[u8],
        kind: CallKind,
    ) -> Result<(ResponseHead, Bytes), PlatformError> {
        let (wait, max_idle) = match kind {
            CallKind::Read => (Duration::ZERO, Duration::MAX),
            CallKind::Wait(wait) => (wait, Duration::MAX),
            CallKind::Write => (Duration::ZERO, PROVEN_TIME),
        };
        if let Some(kept) = self.take_idle(max_idle) {
            let limit = match kind {
                CallKind::Write => ANSWER_TIMEOUT,
                CallKind::Read | CallKind::Wait(_) => wait + self.doubt_time(),
            };
            let idle_time = kept.answered_at.elapsed();
            let result = self.exchange(kept.connection, call, request, wait, limit);
            match result.await {
                Ok(answer) => return Ok(answer),
                // The server closes idle connections, perhaps while a request is on its way.
                Err(Failure::Closed(_)) if kind == CallKind::Read => {}
                Err(Failure::Closed(message)) => return Err(answer_lost(call, message)),
                Err(Failure::Silent(progress)) => {
                    self.give_up(call, limit, Some(idle_time), progress);
                    if kind != CallKind::Read {
                        return Err(answer_lost(call, SILENT));
                    }
                }
            }
        }
        let connection = Connection::open(self.address, CONNECT_TIMEOUT)
            .await
            .map_err(|error| PlatformError {
                call,
                kind: PlatformErrorKind::NotExecuted,
                message: error.to_smolstr(),
            })?;
        let limit = wait + ANSWER_TIMEOUT;
        match self.exchange(connection, call, request, wait, limit).await {
            Ok(answer) => Ok(answer),
            Err(Failure::Closed(message)) => Err(answer_lost(call, message)),
            Err(Failure::Silent(progress)) => {
                self.give_up(call, limit, None, progress);
                Err(answer_lost(call, SILENT))
            }
        }
    }

    /// Returns the time after which a call on a kept connection is given up.
    fn doubt_time(&self) -> Duration {
        let usual = self.last_answer_time.get() * DOUBT_FACTOR;
        usual.clamp(self.limits.answer_doubt, self.limits.answer_doubt_max)
    }

    /// Sends a request on a connection, reads the answer within `limit`, and keeps the connection.
    async fn exchange(
        &self,
        mut connection: Connection,
        call: &'static str,
        request: &[u8],
        wait: Duration,
        limit: Duration,
    ) -> Result<(ResponseHead, Bytes), Failure> {
        let sent_at = Instant::now();
        let progress = Cell::new(Progress::default());
        let exchange = async {
            connection
                .write_all(request)
                .await
                .map_err(|error| error.to_smolstr())?;
            let head = connection
                .read_response()
                .await
                .map_err(|error| error.to_smolstr())?;
            let mut decoder = BodyDecoder::new(head.framing);
            let length_bytes = decoder.length_left();
            progress.set(Progress {
                received_bytes: 0,
                length_bytes,
                received_at: Some(Instant::now()),
            });
            let mut body = BytesMut::new();
            while let Some(piece) = connection
                .read_body(&mut decoder)
                .await
                .map_err(|error| error.to_smolstr())?
            {
                body.extend_from_slice(&piece);
                if body.len() > ANSWER_LIMIT_BYTES {
                    return Err(SmolStr::new_static("answer exceeds the size limit"));
                }
                progress.set(Progress {
                    received_bytes: body.len(),
                    length_bytes,
                    received_at: Some(Instant::now()),
                });
            }
            Ok::<_, SmolStr>((head, body.freeze()))
        };
        let (head, body) = match timeout(limit, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(message)) => {
                spdlog::debug!("connection.closed", kv: { role = self.role, call, error = message.as_str() });
                return Err(Failure::Closed(message));
            }
            Err(_) => return Err(Failure::Silent(progress.get())),
        };
        let answer_time = sent_at.elapsed().saturating_sub(wait);
        if answer_time >= self.limits.answer_doubt {
            spdlog::info!("connection.slow", kv: {
                role = self.role,
                call,
                received_bytes = body.len(),
                took_ms = answer_time.as_millis() as u64,
            });
        }
        self.last_answer_time.set(answer_time);
        if head.keep_alive {
            self.release(connection);
        }
        Ok((head, body))
    }

    /// Drops all kept connections after one was silent: whatever silenced it may have silenced them.
    fn give_up(
        &self,
        call: &'static str,
        waited: Duration,
        idle_time: Option<Duration>,
        progress: Progress,
    ) {
        self.given_up_count.set(self.given_up_count.get() + 1);
        let doubted = std::mem::take(&mut *self.idle.borrow_mut()).len();
        spdlog::warn!("connection.given_up", kv: {
            role = self.role,
            call,
            waited_ms = waited.as_millis() as u64,
            is_new = idle_time.is_none(),
            last_answer_age_ms = (idle_time.unwrap_or_default() + waited).as_millis() as u64,
            doubted,
            received_bytes = progress.received_bytes,
            length_bytes = progress.length_bytes.unwrap_or(0),
            received_age_ms = progress.age_ms(),
        });
    }

    fn take_idle(&self, max_idle: Duration) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut kept) = idle.pop() {
            if kept.answered_at.elapsed() > max_idle {
                // It was used last, so that the others are older.
                idle.push(kept);
                return None;
            }
            if kept.connection.is_reusable() {
                return Some(kept);
            }
        }
        None
    }

    fn release(&self, connection: Connection) {
        if connection.has_buffered_bytes() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= IDLE_LIMIT_CONNECTIONS {
            idle.remove(0);
        }
        idle.push(IdleConnection {
            connection,
            answered_at: Instant::now(),
        });
    }
}

/// Message of a call that was not answered in time.
const SILENT: SmolStr = SmolStr::new_static("no answer within the timeout");

/// Why a call on one connection has no answer.
enum Failure {
    /// The connection ended, or what came was no answer.
    Closed(SmolStr),
    /// The answer was not complete in time.
    Silent(Progress),
}

/// How much of an answer has arrived.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    received_bytes: usize,
    /// Length of the body. `None` before the head arrived, or if it states none.
    length_bytes: Option<u64>,
    /// When a part last arrived. `None` before the head.
    received_at: Option<Instant>,
}

impl Progress {
    /// Returns the time since a part last arrived, in milliseconds, or -1 if none did.
    fn age_ms(&self) -> i64 {
        self.received_at.map_or(-1, |at| {
            i64::try_from(at.elapsed().as_millis()).unwrap_or(i64::MAX)
        })
    }
}

fn answer_lost(call: &'static str, message: SmolStr) -> PlatformError {
    PlatformError {
        call,
        kind: PlatformErrorKind::AnswerLost,
        message,
    }
}
