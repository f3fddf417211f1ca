//! A TCP connection with the bytes read and not used yet.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use bytes::{
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
        Instant,
        timeout, //
    }, //
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
    }, //
};

/// Room that a read makes in the buffer. Most requests and events fit.
const READ_BYTES: usize = 4096;
/// Largest head of an answer. Engines and services send far less.
const RESPONSE_HEAD_LIMIT_BYTES: usize = 32 << 10;
/// Time without acknowledgement of sent bytes after which a connection counts as dead: below the
/// pause after which callers leave.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1800);
/// Idle time after which the peer of a connection is probed. A connection may go silent without a
/// reset.
const PROBE_IDLE: Duration = Duration::from_secs(5);
/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A connection that could not be opened. Nothing was sent on it.
#[derive(Debug, Display, Error)]
pub enum ConnectError {
    /// The operating system refused it.
    #[display("connect to {address}: {source}")]
    Failed {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// It took too long.
    #[display("connect to {address}: no answer within {timeout:?}")]
    Timeout {
        /// The address.
        address: SocketAddr,
        /// The time allowed.
        timeout: Duration,
    },
}

/// Why nothing more can be read.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The peer closed the connection.
    #[display("connection closed by the peer")]
    Closed,
    /// A head that breaks the protocol.
    #[display("{_0}")]
    Head(HeadError),
    /// A body that breaks the protocol.
    #[display("{_0}")]
    Body(BodyError),
}

/// A TCP connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
}

impl Connection {
    /// Takes over a stream.
    pub fn new(stream: TcpStream) -> Self {
        // A connection without these options works, but slower and with dead peers unnoticed.
        if let Err(error) = set_options(&stream) {
            spdlog::debug!("connection.options_failed", kv: { error: });
        }
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// See [`ConnectError`].
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, ConnectError> {
        match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => Ok(Self::new(stream)),
            Ok(Err(source)) => Err(ConnectError::Failed { address, source }),
            Err(_) => Err(ConnectError::Timeout {
                address,
                timeout: limit,
            }),
        }
    }

    /// Reads a request's head; nothing where the peer closed the connection before one began.
    ///
    /// `idle` bounds the wait for the first byte and `head` the time from there on.
    ///
    /// # Errors
    ///
    /// A connection that failed, ended or stayed silent, or a head that can't be read.
    pub async fn read_request(
        &mut self,
        limit_bytes: usize,
        idle: Duration,
        head: Duration,
    ) -> Result<Option<RequestHead>, ReadError> {
        if self.buffer.is_empty() {
            match timeout(idle, self.fill()).await {
                Ok(Ok(0)) | Err(_) => return Ok(None),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(ReadError::Io(error)),
            }
        }
        let deadline = Instant::now() + head;
        loop {
            if let Some(head) =
                RequestHead::take(&mut self.buffer, limit_bytes).map_err(ReadError::Head)?
            {
                return Ok(Some(head));
            }
            match tokio::time::timeout_at(deadline, self.fill()).await {
                Ok(Ok(0)) | Err(_) => return Err(ReadError::Closed),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(ReadError::Io(error)),
            }
        }
    }

    /// Reads an answer's head.
    ///
    /// # Errors
    ///
    /// A connection that failed or ended, or a head that can't be read.
    pub async fn read_response(&mut self) -> Result<ResponseHead, ReadError> {
        loop {
            if let Some(head) = ResponseHead::take(&mut self.buffer, RESPONSE_HEAD_LIMIT_BYTES)
                .map_err(ReadError::Head)?
            {
                if (100..200).contains(&head.status) {
                    continue;
                }
                return Ok(head);
            }
            if self.fill().await.map_err(ReadError::Io)? == 0 {
                return Err(ReadError::Closed);
            }
        }
    }

    /// Reads the next piece of a body; nothing where it is whole.
    ///
    /// # Errors
    ///
    /// A connection that failed or ended too soon, or a body that breaks the protocol.
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
            if self.fill().await.map_err(ReadError::Io)? == 0 {
                decoder.end_of_connection().map_err(ReadError::Body)?;
            }
        }
    }

    /// Reads a whole body of at most `limit_bytes`; nothing where it is larger.
    ///
    /// # Errors
    ///
    /// As [`Self::read_body`].
    pub async fn read_whole_body(
        &mut self,
        decoder: &mut BodyDecoder,
        limit_bytes: usize,
    ) -> Result<Option<Bytes>, ReadError> {
        let Some(first) = self.read_body(decoder).await? else {
            return Ok(Some(Bytes::new()));
        };
        let mut whole = BytesMut::from(first);
        while let Some(piece) = self.read_body(decoder).await? {
            if whole.len() + piece.len() > limit_bytes {
                return Ok(None);
            }
            whole.extend_from_slice(&piece);
        }
        Ok((whole.len() <= limit_bytes).then(|| whole.freeze()))
    }

    /// Writes all of `data`.
    ///
    /// # Errors
    ///
    /// A connection that failed.
    pub async fn write_all(&self, data: &[u8]) -> io::Result<()> {
        let mut left = data;
        while !left.is_empty() {
            match self.stream.try_write(left) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => left = &left[count..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.writable().await?;
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Waits until the peer closes the connection. Bytes that come meanwhile are kept, up to
    /// `limit_bytes`; more stay with the operating system.
    pub async fn closed_by_peer(&mut self, limit_bytes: usize) {
        loop {
            if self.buffer.len() >= limit_bytes {
                return std::future::pending().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Whether an idle connection can carry another request: open, with no bytes waiting.
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

    /// Whether bytes were read that nothing used yet.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads what is there, or waits for it; 0 at the end of the connection.
    async fn fill(&mut self) -> io::Result<usize> {
        loop {
            self.buffer.reserve(READ_BYTES);
            match self.stream.try_read_buf(&mut self.buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if self.buffer.is_empty() {
                        // An idle connection holds no memory.
                        self.buffer = BytesMut::new();
                    }
                    self.stream.readable().await?;
                }
                result => return result,
            }
        }
    }

    /// Tells the peer that nothing more is sent, and waits until it closes or the time is up, so
    /// that unread bytes from it don't turn the last answer into a reset.
    pub async fn close(mut self, limit: Duration) {
        if SockRef::from(&self.stream)
            .shutdown(std::net::Shutdown::Write)
            .is_err()
        {
            // The peer was faster.
            return;
        }
        let discard = async {
            loop {
                self.buffer.clear();
                match self.fill().await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                }
            }
        };
        // A peer that stays costs a descriptor no longer than this.
        let _time_is_up = timeout(limit, discard).await;
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(PROBE_IDLE)
            .with_interval(PROBE_INTERVAL),
    )
}
