//! A TCP connection with a buffer of bytes that were received but not consumed yet.

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::{
    BufMut,
    Bytes,
    BytesMut, //
};
use derive_more::{
    Display,
    Error, //
};
use socket2::{
    SockRef,
    TcpKeepalive, //
};
use tokio::{
    net::TcpStream,
    time::{
        sleep,
        timeout, //
    }, //
};

use crate::{
    intake::{
        Charge,
        Place,
        Shortage,
        ledger::Stage, //
    },
    run_clock::RunClock, //
};

use super::{
    body::{
        BodyDecoder,
        BodyError,
        Piece, //
    },
    head::{
        HeadError,
        RequestHead,
        ResponseHead, //
    },
    segments::{
        Body,
        BodyBuilder, //
    }, //
};

/// Space reserved in the buffer for each read. Most requests and events fit.
const READ_RESERVE_BYTES: usize = 4096;
/// Space in the buffer of a caller's connection below which it is made larger, or cleared, before a read.
const SPARE_MIN_BYTES: usize = 512;
/// Time after which reading ahead is tried again where no memory was left for it.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Largest body that is copied so that it can be written together with its head.
const JOINED_BODY_MAX_BYTES: usize = 16 << 10;
/// Largest head of an answer. Engines and services send far smaller ones.
const RESPONSE_HEAD_LIMIT_BYTES: usize = 32 << 10;
/// Most interim answers before an answer. A peer that sends them without end would otherwise keep
/// the only thread busy, so that no timeout fires.
const INTERIM_ANSWERS_MAX: u32 = 8;
/// Time without acknowledgement of sent bytes after which a connection counts as dead. It is
/// shorter than the two seconds without events after which callers disconnect.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1800);
/// The same while more bytes are sent than a peer must take without reading. The system also applies it
/// to a peer that acknowledges everything but has no room, because its process is late.
const CLOSED_WINDOW_TIMEOUT: Duration = Duration::from_secs(15);
/// Bytes that a peer takes without reading.
const WINDOW_MIN_BYTES: usize = 32 << 10;
/// Idle time after which TCP keepalive probes begin. A connection may break without a reset.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between two keepalive probes. With a `TCP_USER_TIMEOUT`, the system gives a connection up when
/// the second probe is due and the first one was not answered. It is longer than a sound target may
/// be silent.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// The error for a connection that could not be opened. Nothing was sent on it.
#[derive(Debug, Display, Error)]
pub enum ConnectError {
    /// The operating system reported an error.
    #[display("connect to {address}: {source}")]
    Failed {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// This host is cut off from all targets, and no other host opened a connection for it.
    #[display("cut off from all targets; {asked_hosts} hosts were asked for a tunnel")]
    CutOff {
        /// Number of other hosts that were asked.
        asked_hosts: usize,
    },
    /// The connection was not established in time.
    #[display("connect to {address}: no answer within {timeout:?}")]
    Timeout {
        /// Address of the peer.
        address: SocketAddr,
        /// Time limit that passed.
        timeout: Duration,
    },
}

/// The error for a failed read.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// The operating system reported an error.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The peer closed the connection, or sent no complete head or body in time.
    #[display("connection closed by the peer")]
    Closed,
    /// The head breaks the protocol.
    #[display("{_0}")]
    Head(HeadError),
    /// The body breaks the protocol.
    #[display("{_0}")]
    Body(BodyError),
    /// No memory is left for what arrives, or the connection was ended for others.
    #[display("{_0}")]
    Shortage(Shortage),
}

impl ReadError {
    /// Returns whether what arrived breaks the protocol.
    pub fn is_malformed(&self) -> bool {
        match self {
            Self::Head(_) | Self::Body(BodyError::MalformedChunk) => true,
            Self::Io(_) | Self::Closed | Self::Body(BodyError::Truncated) | Self::Shortage(_) => {
                false
            }
        }
    }

    /// Returns why an answer is lost, for the log: it breaks the protocol, or `ended` if nothing tells that.
    pub fn loss(&self, ended: &'static str) -> &'static str {
        match self.is_malformed() {
            true => "answer breaks the protocol",
            false => ended,
        }
    }
}

/// The size of a body that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodySize {
    /// Bytes of the body that arrived so far. A last part may lack.
    pub arrived_bytes: usize,
    /// Bytes of the memory that the body takes, or is about to take.
    pub held_bytes: usize,
}

/// A TCP connection with its receive buffer.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Whether another host passes the bytes on. Its end can't be told from the end of the peer.
    is_tunnel: bool,
    /// Bytes that were sent since the peer last sent some. It may not have read them.
    unread_bytes: Cell<usize>,
    /// What the connection of a caller holds; `None` for other connections.
    account: Option<Account>,
}

/// The memory that the buffer of a caller's connection takes.
#[derive(Debug)]
struct Account {
    place: Rc<Place>,
    /// The buffer's own memory.
    buffer: Option<Charge>,
    /// Earlier memory of the buffer to which the head of the current request refers.
    head: Option<Charge>,
    /// Whether the head of the current request refers to the buffer's own memory.
    is_head_in_buffer: bool,
}

impl Connection {
    /// Takes over a stream and sets its socket options.
    pub fn new(stream: TcpStream) -> Self {
        // Without these options a connection works, but is slower and does not notice dead peers.
        if let Err(error) = set_options(&stream) {
            spdlog::debug!("connection.options_failed", kv: { error: });
        }
        Self {
            stream,
            buffer: BytesMut::new(),
            is_tunnel: false,
            unread_bytes: Cell::new(0),
            account: None,
        }
    }

    /// Takes over the stream of a caller. What is read is reserved at its place first.
    pub fn of_caller(stream: TcpStream, place: Rc<Place>) -> Self {
        Self {
            account: Some(Account {
                place,
                buffer: None,
                head: None,
                is_head_in_buffer: false,
            }),
            ..Self::new(stream)
        }
    }

    fn set_stage(&self, stage: Stage) {
        if let Some(account) = &self.account {
            account.place.set_stage(stage);
        }
    }

    /// Records that the last request has ended and nothing refers to its head any more. Frees the buffer
    /// if it is empty.
    pub fn end_request(&mut self) {
        let is_empty = self.buffer.is_empty();
        if is_empty {
            self.buffer = BytesMut::new();
        }
        if let Some(account) = &mut self.account {
            account.head = None;
            account.is_head_in_buffer = false;
            if is_empty {
                account.buffer = None;
            }
        }
    }

    /// Keeps the connection without its place. Nothing that it holds counts any more.
    pub fn leave_place(&mut self) {
        self.account = None;
    }

    /// Drops what was received but not consumed, with its memory. The connection is only written to and
    /// closed after this.
    pub fn drop_received(&mut self) {
        self.buffer = BytesMut::new();
        self.end_request();
    }

    /// Returns the connection as one whose bytes another host passes on. It carries one request, and
    /// its end completes no body.
    pub fn into_tunnel(self) -> Self {
        Self {
            is_tunnel: true,
            ..self
        }
    }

    /// Returns the stream. Bytes that were received but not consumed are dropped.
    pub fn into_stream(self) -> TcpStream {
        self.set_unacknowledged_timeout(CLOSED_WINDOW_TIMEOUT);
        self.stream
    }

    /// Returns whether another host passes the bytes on.
    pub fn is_tunnel(&self) -> bool {
        self.is_tunnel
    }

    /// Opens a connection within `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectError`] if the connection can't be established in time.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, ConnectError> {
        let opened = timeout(limit, Self::connect(address)).await;
        opened.unwrap_or(Err(ConnectError::Timeout {
            address,
            timeout: limit,
        }))
    }

    /// Opens a connection, for as long as the operating system tries.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectError`] if the connection can't be established.
    pub async fn connect(address: SocketAddr) -> Result<Self, ConnectError> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|source| ConnectError::Failed { address, source })?;
        Ok(Self::new(stream))
    }

    /// Reads a request's head. Returns `None` if the peer closed the connection or sent nothing
    /// within `idle_timeout` before a request began.
    ///
    /// `head_timeout` limits the time from the first byte to the end of the head. Time in which this
    /// host does not run, by `clock`, counts for neither.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, ends or times out within a head, or if the head is
    /// malformed or exceeds `limit_bytes`.
    pub async fn read_request(
        &mut self,
        clock: &RunClock,
        limit_bytes: usize,
        idle_timeout: Duration,
        head_timeout: Duration,
    ) -> Result<Option<RequestHead>, ReadError> {
        if self.buffer.is_empty() {
            self.set_stage(Stage::Idle);
            match clock.timeout(idle_timeout, self.fill()).await {
                Ok(Ok(0)) | Err(_) => return Ok(None),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(error),
            }
        }
        self.set_stage(Stage::Unfinished);
        let read = clock.timeout(head_timeout, self.read_head(limit_bytes));
        let head = read.await.unwrap_or(Err(ReadError::Closed))?;
        if let Some(account) = &mut self.account {
            account.is_head_in_buffer = true;
        }
        Ok(Some(head))
    }

    async fn read_head(&mut self, limit_bytes: usize) -> Result<RequestHead, ReadError> {
        loop {
            let head = RequestHead::take(&mut self.buffer, limit_bytes);
            if let Some(head) = head.map_err(ReadError::Head)? {
                return Ok(head);
            }
            // A head is only parsed again once a line of it has ended. Otherwise a sender of single bytes
            // would have all of it parsed for each.
            loop {
                let count = self.fill().await?;
                if count == 0 {
                    return Err(ReadError::Closed);
                }
                self.record_progress(count);
                let arrived = &self.buffer[self.buffer.len() - count..];
                if memchr::memchr(b'\n', arrived).is_some() || self.buffer.len() > limit_bytes {
                    break;
                }
            }
        }
    }

    /// Reads an answer's head; skips a few interim answers with a status of 1xx.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or ends, if the head is malformed or too large, or if
    /// more interim answers come.
    pub async fn read_response(&mut self) -> Result<ResponseHead, ReadError> {
        let mut interim_answers = 0;
        loop {
            if let Some(head) = ResponseHead::take(&mut self.buffer, RESPONSE_HEAD_LIMIT_BYTES)
                .map_err(ReadError::Head)?
            {
                if (100..200).contains(&head.status) {
                    interim_answers += 1;
                    if interim_answers > INTERIM_ANSWERS_MAX {
                        return Err(ReadError::Head(HeadError::Malformed));
                    }
                    continue;
                }
                return Ok(head);
            }
            if self.fill().await? == 0 {
                return Err(ReadError::Closed);
            }
        }
    }

    /// Reads the next piece of a body; returns `None` if the body is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or ends too soon, or if the body breaks the
    /// protocol.
    pub async fn read_body(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, ReadError> {
        loop {
            match decoder.next(&mut self.buffer).map_err(ReadError::Body)? {
                Piece::Data(data) => return Ok(Some(data)),
                Piece::End => return Ok(None),
                Piece::NeedMore => {}
            }
            if self.fill().await? == 0 {
                self.end_body(decoder)?;
            }
        }
    }

    /// Handles the end of the connection within a body, or as its end.
    fn end_body(&self, decoder: &mut BodyDecoder) -> Result<(), ReadError> {
        match self.is_tunnel {
            true => Err(ReadError::Closed),
            false => decoder.end_of_connection().map_err(ReadError::Body),
        }
    }

    /// Reads a complete body of at most `limit_bytes`; returns `None` if it is larger.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::read_body`].
    pub async fn read_whole_body(
        &mut self,
        decoder: &mut BodyDecoder,
        limit_bytes: usize,
    ) -> Result<Option<Bytes>, ReadError> {
        let mut body = BytesMut::new();
        while let Some(piece) = self.read_body(decoder).await? {
            if body.len() + piece.len() > limit_bytes {
                return Ok(None);
            }
            if body.is_empty() {
                body = BytesMut::from(piece);
            } else {
                body.extend_from_slice(&piece);
            }
        }
        Ok(Some(body.freeze()))
    }

    /// Reads a complete body in segments, for as long as `admit` accepts its size. It is asked before
    /// memory is taken, and after bytes have arrived. Returns the error of `admit` if it doesn't accept.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::read_body`].
    pub async fn read_body_while<E>(
        &mut self,
        decoder: &mut BodyDecoder,
        mut admit: impl AsyncFnMut(BodySize) -> Result<(), E>,
    ) -> Result<Result<Body, E>, ReadError> {
        let mut body = BodyBuilder::default();
        loop {
            // Bytes of the body are read into its own memory, unless the buffer holds some of them.
            if let Some(unframed_bytes) = decoder.unframed_bytes()
                && self.buffer.is_empty()
            {
                self.stream.readable().await.map_err(ReadError::Io)?;
                let length_left = decoder.length_left().unwrap_or(u64::MAX);
                if let Err(error) = make_spare(&mut body, length_left, &mut admit).await {
                    return Ok(Err(error));
                }
                let limit_bytes = usize::try_from(unframed_bytes).unwrap_or(usize::MAX);
                match self.stream.try_read_buf(&mut body.spare(limit_bytes)) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                    Err(error) => return Err(ReadError::Io(error)),
                    Ok(0) => self.end_body(decoder)?,
                    Ok(count) => {
                        self.record_read();
                        body.record_read(count);
                        decoder.record_unframed(count);
                        self.record_progress(count);
                    }
                }
            } else {
                let piece = match decoder.next(&mut self.buffer).map_err(ReadError::Body)? {
                    Piece::Data(data) => data,
                    Piece::End => return Ok(Ok(body.finish())),
                    Piece::NeedMore => {
                        if !(self.buffer.is_empty() && decoder.unframed_bytes().is_some())
                            && self.fill().await? == 0
                        {
                            self.end_body(decoder)?;
                        }
                        continue;
                    }
                };
                let mut rest = piece.as_ref();
                while !rest.is_empty() {
                    let length_left = decoder.length_left().unwrap_or(u64::MAX);
                    let length_left = length_left.saturating_add(rest.len() as u64);
                    if let Err(error) = make_spare(&mut body, length_left, &mut admit).await {
                        return Ok(Err(error));
                    }
                    rest = &rest[body.append(rest)..];
                }
                self.record_progress(piece.len());
            }
            let size = BodySize {
                arrived_bytes: body.len(),
                held_bytes: body.capacity(),
            };
            if let Err(error) = admit(size).await {
                return Ok(Err(error));
            }
        }
    }

    /// Writes all of `data`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn write_all(&self, data: &[u8]) -> io::Result<()> {
        self.record_written(data.len());
        let mut remaining = data;
        let mut is_waiting = false;
        while !remaining.is_empty() {
            match self.stream.try_write(remaining) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => {
                    remaining = &remaining[count..];
                    if std::mem::take(&mut is_waiting) {
                        self.set_read();
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    is_waiting = true;
                    self.wait_for_reader().await?;
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Waits until the peer takes more bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or is ended because its reader takes nothing while memory
    /// or connections are short.
    async fn wait_for_reader(&self) -> io::Result<()> {
        let Some(account) = &self.account else {
            return self.stream.writable().await;
        };
        account.place.set_unread();
        tokio::select! {
            biased;
            ready = self.stream.writable() => ready,
            () = account.place.ended() => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    fn set_read(&self) {
        if let Some(account) = &self.account {
            account.place.set_read();
        }
    }

    /// Writes a head and a body. A small body is written together with the head, a larger one is not copied.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn write_both(&self, mut head: Vec<u8>, body: &Body) -> io::Result<()> {
        if body.len() <= JOINED_BODY_MAX_BYTES {
            head.reserve_exact(body.len());
            for segment in body.segments() {
                head.extend_from_slice(segment);
            }
            return self.write_all(&head).await;
        }
        self.write_all(&head).await?;
        drop(head);
        for segment in body.segments() {
            self.write_all(segment).await?;
        }
        Ok(())
    }

    /// Waits until the peer closes the connection or it fails. Bytes that arrive meanwhile are
    /// buffered. Once the buffer holds `limit_bytes`, nothing more is read, and the call waits
    /// forever.
    pub async fn closed_by_peer(&mut self, limit_bytes: usize) {
        loop {
            if self.buffer.len() >= limit_bytes {
                return std::future::pending().await;
            }
            match self.fill().await {
                // Its close is noticed later, when memory is free or the answer is written.
                Err(ReadError::Shortage(_)) => sleep(SHORTAGE_RETRY_DELAY).await,
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Returns whether an idle connection can carry another request: it is open, and no bytes wait
    /// to be read.
    pub fn is_reusable(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut probe = [0; 1];
        match self.stream.try_read(&mut probe) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Returns whether bytes of the peer, its close or a failure wait to be handled.
    pub fn has_arrived(&mut self) -> bool {
        let read = self.stream.try_read_buf(&mut self.buffer);
        !self.buffer.is_empty() || read.is_ok()
    }

    /// Returns whether the buffer holds bytes that were not consumed yet.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads available bytes into the buffer, or waits for some. Returns their number, which is 0
    /// at the end of the connection.
    async fn fill(&mut self) -> Result<usize, ReadError> {
        if self.account.is_some() {
            return self.fill_within_account().await;
        }
        loop {
            self.buffer.reserve(READ_RESERVE_BYTES);
            match self.stream.try_read_buf(&mut self.buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if self.buffer.is_empty() {
                        // The buffer of an idle connection is freed.
                        self.buffer = BytesMut::new();
                    }
                    self.stream.readable().await.map_err(ReadError::Io)?;
                }
                result => {
                    self.record_read();
                    return result.map_err(ReadError::Io);
                }
            }
        }
    }

    /// Does the same on a caller's connection: memory is reserved before it is allocated, and only once
    /// bytes have arrived.
    async fn fill_within_account(&mut self) -> Result<usize, ReadError> {
        loop {
            self.stream.readable().await.map_err(ReadError::Io)?;
            self.make_spare().await?;
            let spare_bytes = self.buffer.capacity() - self.buffer.len();
            match (self.stream).try_read_buf(&mut (&mut self.buffer).limit(spare_bytes)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.record_read();
                    return result.map_err(ReadError::Io);
                }
            }
        }
    }

    /// Makes the buffer of a caller's connection larger unless it has room.
    async fn make_spare(&mut self) -> Result<(), ReadError> {
        let Some(account) = &mut self.account else {
            return Ok(());
        };
        let has_spare = self.buffer.capacity() - self.buffer.len() >= SPARE_MIN_BYTES;
        if has_spare || account.buffer.is_some() && self.buffer.try_reclaim(SPARE_MIN_BYTES) {
            return Ok(());
        }
        let size = (2 * self.buffer.len()).max(READ_RESERVE_BYTES);
        let charge = account.place.reserve(size).await;
        let charge = charge.map_err(ReadError::Shortage)?;
        let mut buffer = BytesMut::with_capacity(size);
        buffer.extend_from_slice(&self.buffer);
        self.buffer = buffer;
        let before = account.buffer.replace(charge);
        if std::mem::take(&mut account.is_head_in_buffer) {
            account.head = before;
        }
        Ok(())
    }

    fn record_progress(&self, bytes: usize) {
        if let Some(account) = &self.account {
            account.place.record_progress(bytes);
        }
    }

    fn record_written(&self, bytes: usize) {
        let before = self.unread_bytes.get();
        let after = before.saturating_add(bytes);
        self.unread_bytes.set(after);
        if before <= WINDOW_MIN_BYTES && after > WINDOW_MIN_BYTES {
            self.set_unacknowledged_timeout(CLOSED_WINDOW_TIMEOUT);
        }
    }

    fn record_read(&self) {
        if self.unread_bytes.replace(0) > WINDOW_MIN_BYTES {
            self.set_unacknowledged_timeout(UNACKNOWLEDGED_TIMEOUT);
        }
    }

    fn set_unacknowledged_timeout(&self, timeout: Duration) {
        let socket = SockRef::from(&self.stream);
        if let Err(error) = socket.set_tcp_user_timeout(Some(timeout)) {
            spdlog::debug!("connection.options_failed", kv: { error: });
        }
    }

    /// Shuts the connection down for writing, and waits up to `limit` until the peer closes it.
    /// Bytes that arrive meanwhile are read and discarded, since unread ones could cause a reset
    /// that destroys the last answer.
    pub async fn close(mut self, limit: Duration) {
        self.drop_received();
        self.set_stage(Stage::Closing);
        if SockRef::from(&self.stream)
            .shutdown(std::net::Shutdown::Write)
            .is_err()
        {
            // The peer has already closed the connection.
            return;
        }
        let discard = async {
            loop {
                if self.stream.readable().await.is_err() {
                    return;
                }
                // It is not held while nothing arrives.
                let mut discarded = [0; READ_RESERVE_BYTES];
                match self.stream.try_read(&mut discarded) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                }
            }
        };
        // The limit bounds the time for which a peer that stays connected holds a descriptor.
        let _timed_out = timeout(limit, discard).await;
    }
}

/// Adds a segment to a body that has no room, if `admit` accepts it. The body has `bytes_left` at most.
async fn make_spare<E>(
    body: &mut BodyBuilder,
    bytes_left: u64,
    admit: &mut impl AsyncFnMut(BodySize) -> Result<(), E>,
) -> Result<(), E> {
    if body.spare_bytes() > 0 {
        return Ok(());
    }
    let next = body.next_segment(bytes_left);
    let size = BodySize {
        arrived_bytes: body.len(),
        held_bytes: next.capacity_after,
    };
    admit(size).await?;
    body.push_segment(next);
    Ok(())
}

pub(super) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL),
    )
}
