//! Calls to a server over kept connections, any of which may have gone silent without a sign.
//!
//! A kept connection proves nothing about itself until its next answer. A call on one is therefore
//! given up soon; the other kept connections are then doubted too, and a call that may be repeated is
//! sent once more over a new one.
//!
//! Only silence counts: an answer that is arriving is read to its end, however large it is. To ask for
//! it again would add to the load that made it slow.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    pin::pin,
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
/// Longest wait for the head of an answer on a new connection, in addition to the wait that the call
/// itself asks for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time since its last answer for which a kept connection carries calls that can't be repeated.
const PROVEN_TIME: Duration = Duration::from_millis(300);
/// Bytes of a body that must arrive, or its end, for an answer to count as arriving.
const PROGRESS_MIN_BYTES: usize = 4 << 10;
/// Ratio of the time after which an answer is doubted to the time that the last one took.
const DOUBT_FACTOR: u32 = 3;
/// Largest body of an answer.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;
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
    /// Longest wait for the head of an answer on a new connection.
    answer_timeout: Duration,
    /// Time within which an answer must be complete at the pace at which it arrives. `None` if there is
    /// no other server to ask.
    completion_limit: Option<Duration>,
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
            answer_timeout: ANSWER_TIMEOUT,
            completion_limit: None,
            idle: RefCell::new(Vec::new()),
            last_answer_time: Cell::new(Duration::ZERO),
            given_up_count: Cell::new(0),
        }
    }

    /// Creates a pool for a server beside which there are others to ask: an answer must begin within
    /// `answer_timeout` on a new connection, and is given up if it arrives so slowly that it would take
    /// longer than `completion_limit`.
    pub fn with_alternatives(
        address: SocketAddr,
        role: &'static str,
        limits: Limits,
        answer_timeout: Duration,
        completion_limit: Duration,
    ) -> Self {
        Self {
            answer_timeout,
            completion_limit: Some(completion_limit),
            ..Self::new(address, role, limits)
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
                CallKind::Write => self.answer_timeout,
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
        let connect_timeout = CONNECT_TIMEOUT.min(self.answer_timeout);
        let connection = Connection::open(self.address, connect_timeout)
            .await
            .map_err(|error| PlatformError {
                call,
                kind: PlatformErrorKind::NotExecuted,
                message: error.to_smolstr(),
            })?;
        let limit = wait + self.answer_timeout;
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

    /// Sends a request on a connection, reads the answer if it begins within `limit` and goes on
    /// arriving, and keeps the connection.
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
        let read = read_answer(&mut connection, request, &progress);
        let (head, body) = self.await_answer(read, call, limit, &progress).await?;
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

    /// Waits for an answer that begins within `limit` and goes on arriving.
    async fn await_answer(
        &self,
        read: impl Future<Output = Result<(ResponseHead, Bytes), SmolStr>>,
        call: &'static str,
        limit: Duration,
        progress: &Cell<Progress>,
    ) -> Result<(ResponseHead, Bytes), Failure> {
        let mut read = pin!(read);
        let mut step = limit;
        loop {
            let before = progress.get();
            match timeout(step, read.as_mut()).await {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(message)) => {
                    spdlog::debug!("connection.closed", kv: { role = self.role, call, error = message.as_str() });
                    return Err(Failure::Closed(message));
                }
                Err(_) => {}
            }
            let now = progress.get();
            let is_too_slow = self
                .completion_limit
                .is_some_and(|limit| now.is_slower_than(limit));
            if !now.is_arriving(&before) || is_too_slow {
                return Err(Failure::Silent(now));
            }
            step = self.limits.answer_doubt_max;
        }
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

/// Sends a request, and reads its answer.
async fn read_answer(
    connection: &mut Connection,
    request: &[u8],
    progress: &Cell<Progress>,
) -> Result<(ResponseHead, Bytes), SmolStr> {
    connection
        .write_all(request)
        .await
        .map_err(|error| error.to_smolstr())?;
    let head = connection
        .read_response()
        .await
        .map_err(|error| error.to_smolstr())?;
    let mut decoder = BodyDecoder::new(head.framing);
    let begun_at = Some(Instant::now());
    let mut arrived = Progress {
        received_bytes: 0,
        length_bytes: decoder.length_left(),
        begun_at,
        received_at: begun_at,
    };
    progress.set(arrived);
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
        arrived.received_bytes = body.len();
        arrived.received_at = Some(Instant::now());
        progress.set(arrived);
    }
    Ok((head, body.freeze()))
}

/// Message of a call that was not answered in time.
const SILENT: SmolStr = SmolStr::new_static("no answer within the timeout");

/// Why a call on one connection has no answer.
enum Failure {
    /// The connection ended, or what came was no answer.
    Closed(SmolStr),
    /// No answer began in time, or it stopped arriving, or arrived too slowly.
    Silent(Progress),
}

/// How much of an answer has arrived.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    received_bytes: usize,
    /// Length of the body. `None` before the head arrived, or if it states none.
    length_bytes: Option<u64>,
    /// When the head arrived.
    begun_at: Option<Instant>,
    /// When a part last arrived. `None` before the head.
    received_at: Option<Instant>,
}

impl Progress {
    /// Returns whether the answer has gone on arriving since an earlier moment.
    fn is_arriving(&self, before: &Self) -> bool {
        let has_begun = self.begun_at.is_some() && before.begun_at.is_none();
        has_begun || self.received_bytes >= before.received_bytes + PROGRESS_MIN_BYTES
    }

    /// Returns whether the whole answer would take longer than `limit` at the pace so far.
    fn is_slower_than(&self, limit: Duration) -> bool {
        let (Some(begun_at), Some(length_bytes)) = (self.begun_at, self.length_bytes) else {
            return false;
        };
        let received_share = self.received_bytes as f64 / length_bytes.max(1) as f64;
        begun_at.elapsed() > limit.mul_f64(received_share.min(1.0))
    }

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
