//! Long-lived connection to an engine. The body of one HTTP request carries frames of steps, and
//! the body of its response carries frames of answers.

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

/// Maximum number of steps and cancellations in one frame.
const FRAME_LIMIT_STEPS: usize = 256;

/// Maximum time that a retired connection stays open for the answers to steps already sent.
const RETIRE_TIMEOUT: Duration = Duration::from_secs(30);

/// Message to the engine.
#[derive(Debug)]
enum Outgoing {
    Step(wire::Step),
    Cancel(wire::Cancel),
}

/// Step returned to the caller because the connection had closed.
#[derive(Debug)]
pub(super) struct UnsentStep {
    pub(super) step: wire::Step,
}

/// Error: the connection has closed, and nothing was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Closed;

/// Connection to an engine. Dropping it retires it: it accepts no new steps, but still receives the
/// answers to steps already sent.
#[derive(Debug)]
pub(super) struct Connection {
    queue_sender: UnboundedSender<Outgoing>,
    pending: Arc<PendingSteps>,
    opened_at: Instant,
    _retire_on_drop: DropGuard,
}

/// Why a connection ended. Its Display text is part of step failures.
#[derive(Debug, Display, Error, From)]
enum EndCause {
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
    ClosedByEngine,
    #[display("retired")]
    #[from(ignore)]
    Retired,
}

impl Connection {
    /// Opens a connection in the background. Steps can be queued before it is open.
    pub(super) fn open(target: TargetAddress, dropped: Arc<DroppedAnswers>) -> Self {
        let (queue_sender, queue_receiver) = unbounded_channel();
        let pending = PendingSteps::new(dropped);
        let retire = CancellationToken::new();
        let queue = OutgoingQueue {
            queue_receiver,
            pending: Arc::clone(&pending),
        };
        tokio::spawn(run(target, queue, Arc::clone(&pending), retire.clone()));
        Self {
            queue_sender,
            pending,
            opened_at: Instant::now(),
            _retire_on_drop: retire.drop_guard(),
        }
    }

    /// Returns the time since the connection was created.
    pub(super) fn age(&self) -> Duration {
        self.opened_at.elapsed()
    }

    /// Queues a step for sending and sets its tag.
    ///
    /// # Errors
    ///
    /// Returns the step if the connection has closed.
    pub(super) fn start(&self, mut step: wire::Step) -> Result<PendingAnswer, Box<UnsentStep>> {
        let pending_answer = self.pending.register(step.name.clone());
        step.tag = pending_answer.tag();
        match self.queue_sender.send(Outgoing::Step(step)) {
            Ok(()) => Ok(pending_answer),
            Err(SendError(Outgoing::Step(step))) => Err(Box::new(UnsentStep { step })),
            Err(SendError(Outgoing::Cancel(_))) => unreachable!("a step was sent"),
        }
    }

    /// Queues a cancellation for sending.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] if the connection has closed.
    pub(super) fn cancel(&self, cancel: wire::Cancel) -> Result<(), Closed> {
        let sent = self.queue_sender.send(Outgoing::Cancel(cancel));
        sent.map_err(|_unsent_cancel| Closed)
    }
}

/// Messages that are not yet written. The steps that remain when the connection ends were never
/// sent and fail with [`NoAnswerCause::NotSent`].
struct OutgoingQueue {
    queue_receiver: UnboundedReceiver<Outgoing>,
    pending: Arc<PendingSteps>,
}

impl OutgoingQueue {
    /// Returns a stream of frames, each with all messages then queued up to the limit. The stream
    /// ends when the [`Connection`] is dropped.
    fn into_frames(self) -> impl Stream<Item = Result<Frame<Bytes>, FrameError>> {
        stream::unfold(self, |mut queue| async move {
            let mut batch = Vec::new();
            let count = queue
                .queue_receiver
                .recv_many(&mut batch, FRAME_LIMIT_STEPS)
                .await;
            if count == 0 {
                return None;
            }
            Some((encode(batch), queue))
        })
    }
}

impl Drop for OutgoingQueue {
    fn drop(&mut self) {
        self.queue_receiver.close();
        while let Ok(outgoing) = self.queue_receiver.try_recv() {
            if let Outgoing::Step(step) = outgoing {
                let cause =
                    NoAnswerCause::NotSent("the connection ended before the step was sent".into());
                self.pending.fail(step.tag, cause);
            }
        }
    }
}

fn encode(batch: Vec<Outgoing>) -> Result<Frame<Bytes>, FrameError> {
    let mut message = wire::StepFrame {
        steps: Vec::with_capacity(batch.len()),
        cancels: Vec::new(),
    };
    for outgoing in batch {
        match outgoing {
            Outgoing::Step(step) => message.steps.push(step),
            Outgoing::Cancel(cancel) => message.cancels.push(cancel),
        }
    }
    frame::encode(&message).map(Frame::data)
}

/// Runs a connection until it ends, then fails the steps that are still pending.
async fn run(
    target: TargetAddress,
    queue: OutgoingQueue,
    pending: Arc<PendingSteps>,
    retire: CancellationToken,
) {
    let retired = async {
        retire.cancelled().await;
        tokio::time::sleep(RETIRE_TIMEOUT).await;
    };
    let end_cause = tokio::select! {
        end_cause = run_stream(&target, queue, &pending) => end_cause,
        () = retired => EndCause::Retired,
    };
    let message: SmolStr = end_cause.to_smolstr();
    pending.fail_all(&NoAnswerCause::Sent(message));
}

/// Connects, opens the step stream and reads answers until the stream ends.
async fn run_stream(
    target: &TargetAddress,
    queue: OutgoingQueue,
    pending: &PendingSteps,
) -> EndCause {
    let stream = match connect(target).await {
        Ok(stream) => stream,
        Err(end_cause) => return end_cause,
    };
    let (mut sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
        Ok(pair) => pair,
        Err(error) => return error.into(),
    };
    let request = Request::post("/v1/steps")
        .header(HOST, target.address.to_string())
        .body(StreamBody::new(queue.into_frames()));
    let request = match request {
        Ok(request) => request,
        Err(error) => return error.into(),
    };
    let answers = async {
        match sender.send_request(request).await {
            Ok(response) if response.status() == StatusCode::OK => {
                read_answers(response.into_body(), pending).await
            }
            Ok(response) => EndCause::Status(response.status()),
            Err(error) => error.into(),
        }
    };
    let mut answers = std::pin::pin!(answers);
    tokio::select! {
        end_cause = &mut answers => end_cause,
        _closed = connection => answers.await,
    }
}

async fn connect(target: &TargetAddress) -> Result<TcpStream, EndCause> {
    let connecting = TcpStream::connect(target.address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
    // Nagle's algorithm only delays frames. A socket that cannot disable it still works.
    let _unsupported = stream.set_nodelay(true);
    Ok(stream)
}

async fn read_answers(mut body: hyper::body::Incoming, pending: &PendingSteps) -> EndCause {
    let mut decoder = Decoder::default();
    loop {
        let chunk = match body.frame().await {
            Some(Ok(chunk)) => chunk,
            Some(Err(error)) => return error.into(),
            None => return EndCause::ClosedByEngine,
        };
        let Ok(data) = chunk.into_data() else {
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
