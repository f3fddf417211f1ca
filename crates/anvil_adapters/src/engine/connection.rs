//! One long-lived connection to an engine: steps go up in frames, answers come down.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use anvil_host::port::TargetAddress;
use anvil_wire::{
    frame::{
        self,
        Decoder,
        FrameError, //
    },
    generated::engine as wire,
};
use bytes::Bytes;
use derive_more::{
    Display,
    Error,
    From, //
};
use futures::{
    Stream,
    stream, //
};
use http::{
    Request,
    StatusCode,
    header::HOST, //
};
use http_body_util::{
    BodyExt,
    StreamBody, //
};
use hyper::{
    body::Frame,
    client::conn::http1, //
};
use hyper_util::rt::TokioIo;
use smol_str::{
    SmolStr,
    ToSmolStr, //
};
use tokio::{
    net::TcpStream,
    sync::mpsc::{
        UnboundedReceiver,
        UnboundedSender,
        error::SendError,
        unbounded_channel, //
    },
    time::error::Elapsed,
};
use tokio_util::sync::{
    CancellationToken,
    DropGuard, //
};

use super::pending::{
    DroppedAnswers,
    NoAnswerCause,
    PendingAnswer,
    PendingSteps, //
};
use crate::call::CONNECT_TIMEOUT;

/// Most steps and cancels of one frame.
const FRAME_LIMIT_STEPS: usize = 256;

/// Time that a retired connection has to deliver the answers under way.
const RETIRE_TIMEOUT: Duration = Duration::from_secs(30);

/// What goes up a connection.
#[derive(Debug)]
enum Outgoing {
    Step(wire::Step),
    Cancel(wire::Cancel),
}

/// A step that a closed connection gave back.
#[derive(Debug)]
pub(super) struct UnsentStep {
    pub(super) step: wire::Step,
}

/// The connection has closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Closed;

/// A connection to an engine. Dropping it retires it: no new step, answers under way still come.
#[derive(Debug)]
pub(super) struct Connection {
    outbox: UnboundedSender<Outgoing>,
    pending: Arc<PendingSteps>,
    opened_at: Instant,
    _retire: DropGuard,
}

/// Why a connection ended.
#[derive(Debug, Display, Error, From)]
enum Ended {
    #[display("connect: {_0}")]
    Connect(std::io::Error),
    #[display("connect: {_0}")]
    ConnectTimeout(Elapsed),
    #[display("http: {_0}")]
    Http(hyper::Error),
    #[display("request: {_0}")]
    Request(http::Error),
    #[display("status {_0}")]
    #[from(ignore)]
    Status(#[error(not(source))] StatusCode),
    #[display("{_0}")]
    Frame(FrameError),
    #[display("the engine closed the stream")]
    #[from(ignore)]
    Closed,
    #[display("retired")]
    #[from(ignore)]
    Retired,
}

impl Connection {
    /// Opens a connection in the background; steps may be sent at once.
    pub(super) fn open(target: TargetAddress, dropped: Arc<DroppedAnswers>) -> Self {
        let (outbox, inbox) = unbounded_channel();
        let pending = PendingSteps::new(dropped);
        let retire = CancellationToken::new();
        let unwritten = Unwritten {
            inbox,
            pending: Arc::clone(&pending),
        };
        tokio::spawn(drive(
            target,
            unwritten,
            Arc::clone(&pending),
            retire.clone(),
        ));
        Self {
            outbox,
            pending,
            opened_at: Instant::now(),
            _retire: retire.drop_guard(),
        }
    }

    /// Time since it was opened.
    pub(super) fn age(&self) -> Duration {
        self.opened_at.elapsed()
    }

    /// Sends a step.
    pub(super) fn start(&self, mut step: wire::Step) -> Result<PendingAnswer, Box<UnsentStep>> {
        let awaited = self.pending.register(step.name.clone());
        step.tag = awaited.tag();
        match self.outbox.send(Outgoing::Step(step)) {
            Ok(()) => Ok(awaited),
            Err(SendError(Outgoing::Step(step))) => Err(Box::new(UnsentStep { step })),
            Err(SendError(Outgoing::Cancel(_))) => unreachable!("a step was sent"),
        }
    }

    /// Sends a cancel.
    pub(super) fn cancel(&self, cancel: wire::Cancel) -> Result<(), Closed> {
        let sent = self.outbox.send(Outgoing::Cancel(cancel));
        sent.map_err(|_returned| Closed)
    }
}

/// What was not yet written. What is left when the connection ends was never sent.
struct Unwritten {
    inbox: UnboundedReceiver<Outgoing>,
    pending: Arc<PendingSteps>,
}

impl Unwritten {
    /// Frames of whatever waits, up to the end of the connection's use.
    fn into_frames(self) -> impl Stream<Item = Result<Frame<Bytes>, FrameError>> {
        stream::unfold(self, |mut unwritten| async move {
            let mut taken = Vec::new();
            let count = unwritten
                .inbox
                .recv_many(&mut taken, FRAME_LIMIT_STEPS)
                .await;
            if count == 0 {
                return None;
            }
            Some((encode(taken), unwritten))
        })
    }
}

impl Drop for Unwritten {
    fn drop(&mut self) {
        self.inbox.close();
        while let Ok(outgoing) = self.inbox.try_recv() {
            if let Outgoing::Step(step) = outgoing {
                let lost =
                    NoAnswerCause::NotSent("the connection ended before the step was sent".into());
                self.pending.fail(step.tag, lost);
            }
        }
    }
}

fn encode(taken: Vec<Outgoing>) -> Result<Frame<Bytes>, FrameError> {
    let mut message = wire::StepFrame {
        steps: Vec::with_capacity(taken.len()),
        cancels: Vec::new(),
    };
    for outgoing in taken {
        match outgoing {
            Outgoing::Step(step) => message.steps.push(step),
            Outgoing::Cancel(cancel) => message.cancels.push(cancel),
        }
    }
    frame::encode(&message).map(Frame::data)
}

/// Runs a connection to its end, then tells those who still wait.
async fn drive(
    target: TargetAddress,
    unwritten: Unwritten,
    pending: Arc<PendingSteps>,
    retire: CancellationToken,
) {
    let retired = async {
        retire.cancelled().await;
        tokio::time::sleep(RETIRE_TIMEOUT).await;
    };
    let ended = tokio::select! {
        ended = converse(&target, unwritten, &pending) => ended,
        () = retired => Ended::Retired,
    };
    let message: SmolStr = ended.to_smolstr();
    pending.fail_all(&NoAnswerCause::Sent(message));
}

/// Opens the stream and reads answers to its end.
async fn converse(target: &TargetAddress, unwritten: Unwritten, pending: &PendingSteps) -> Ended {
    let stream = match connect(target).await {
        Ok(stream) => stream,
        Err(ended) => return ended,
    };
    let (mut sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
        Ok(pair) => pair,
        Err(error) => return error.into(),
    };
    let request = Request::post("/v1/steps")
        .header(HOST, target.address.to_string())
        .body(StreamBody::new(unwritten.into_frames()));
    let request = match request {
        Ok(request) => request,
        Err(error) => return error.into(),
    };
    let answers = async {
        match sender.send_request(request).await {
            Ok(response) if response.status() == StatusCode::OK => {
                read(response.into_body(), pending).await
            }
            Ok(response) => Ended::Status(response.status()),
            Err(error) => error.into(),
        }
    };
    let mut answers = std::pin::pin!(answers);
    tokio::select! {
        ended = &mut answers => ended,
        _ended = connection => answers.await,
    }
}

async fn connect(target: &TargetAddress) -> Result<TcpStream, Ended> {
    let connected = TcpStream::connect(target.address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connected).await??;
    // Nagle's algorithm only delays frames; a socket that can't switch it off still works.
    let _unsupported = stream.set_nodelay(true);
    Ok(stream)
}

async fn read(mut body: hyper::body::Incoming, pending: &PendingSteps) -> Ended {
    let mut decoder = Decoder::default();
    loop {
        let piece = match body.frame().await {
            Some(Ok(piece)) => piece,
            Some(Err(error)) => return error.into(),
            None => return Ended::Closed,
        };
        let Ok(data) = piece.into_data() else {
            continue;
        };
        decoder.push(data);
        loop {
            match decoder.next_message::<wire::AnswerFrame>() {
                Ok(Some(frame)) => frame
                    .answers
                    .into_iter()
                    .for_each(|answer| pending.complete(answer)),
                Ok(None) => break,
                Err(error) => return error.into(),
            }
        }
    }
}
