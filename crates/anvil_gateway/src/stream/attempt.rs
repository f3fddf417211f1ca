//! One send of a request for a stream, and what has been read of its answer.

use anvil_core::quarantine::Admission;
use futures::future;
use tokio::time::Instant;

use crate::{
    events::{
        EventDecoder,
        EventTooLarge, //
    },
    gateway::Gateway,
    held_prompts::HoldingGuard,
    http1::{
        BodyDecoder,
        Framing,
        ResponseHead, //
    },
    intake::{
        AnswerMemory,
        NoMemory,
        Place, //
    },
    paths::ChosenPath,
    plain::is_response_to,
    pool::PooledConnection,
    port::ResponseMetadata,
    target::InFlightGuard,
    trial_place::SuspectGuard, //
};

use super::{
    progress::SendProgress,
    repair::StallTimer, //
};
use crate::exchange::RequestContext;

/// A send along a path, from the choice of the path on.
pub(super) struct Attempt {
    /// The path that the request is sent along.
    pub(super) chosen: ChosenPath,
    /// What was known about the request and the parts of its prompt before the send.
    pub(super) admission: Admission,
    /// How far the first engine has come.
    pub(super) progress: SendProgress,
    /// Counts the request at its first engine until it is answered, if it is under suspicion.
    pub(super) suspect_guard: Option<SuspectGuard>,
}

impl Attempt {
    pub(super) fn new(
        chosen: ChosenPath,
        admission: Admission,
        suspect_guard: Option<SuspectGuard>,
    ) -> Self {
        Self {
            chosen,
            admission,
            progress: SendProgress::default(),
            suspect_guard,
        }
    }
}

/// The connection on which an attempt's answer comes, and what has been read of it.
pub(super) struct Upstream {
    /// The connection to the first engine.
    pub(super) acquired: PooledConnection,
    /// Count the request at the engines of the path.
    pub(super) in_flight: Vec<InFlightGuard>,
    /// Records that the engines of the path hold the prompt, from the first event to the next silence;
    /// `None` outside of that.
    pub(super) holding: Option<HoldingGuard>,
    /// The present period without events.
    pub(super) stall_timer: StallTimer,
    /// The part of the answer that has been read.
    pub(super) answer: Answer,
}

/// How much of an answer has been read.
pub(super) enum Answer {
    /// No head that belongs to the request was handled yet.
    Awaited {
        /// Answers to other requests that were skipped.
        crossed_answers: u32,
    },
    /// The head was read, and belongs to a success.
    Begun(Box<Begun>),
}

impl Answer {
    /// Nothing was read.
    pub(super) fn none() -> Self {
        Self::Awaited { crossed_answers: 0 }
    }
}

/// An answer whose head has been read.
pub(super) struct Begun {
    /// The head.
    pub(super) head: ResponseHead,
    /// What the head says.
    pub(super) metadata: ResponseMetadata,
    /// Decodes the body.
    pub(super) decoder: BodyDecoder,
    /// Splits the body into events.
    pub(super) event_decoder: EventDecoder,
    /// The memory that the incomplete event takes.
    event_memory: AnswerMemory,
    /// Whether the answer was recorded for the quarantine.
    pub(super) is_recorded: bool,
    /// Whether no event was passed on yet.
    pub(super) is_first: bool,
}

impl Begun {
    pub(super) fn new(
        place: &Place,
        head: ResponseHead,
        metadata: ResponseMetadata,
        method: &str,
    ) -> Box<Self> {
        let framing = match method {
            "HEAD" => Framing::Length(0),
            _ => head.framing,
        };
        Box::new(Self {
            head,
            metadata,
            decoder: BodyDecoder::new(framing),
            event_decoder: EventDecoder::default(),
            event_memory: place.begin_answer(),
            is_recorded: false,
            is_first: true,
        })
    }

    /// Appends bytes of the body to the incomplete event.
    ///
    /// # Errors
    ///
    /// Returns a text for the log if the event is too large, or finds no memory.
    pub(super) fn push(&mut self, piece: &[u8]) -> Result<(), &'static str> {
        let buffered_bytes = self.event_decoder.buffered_bytes();
        self.event_memory
            .resize(buffered_bytes + piece.len())
            .map_err(|NoMemory| "no memory for the event")?;
        self.event_decoder
            .push(piece)
            .map_err(|EventTooLarge| "event is too large")
    }

    /// Returns whether the body's end is not told by the end of the connection.
    pub(super) fn is_framed(&self) -> bool {
        self.head.framing != Framing::UntilClose
    }
}

/// A silent attempt that is kept while another one is made.
pub(super) struct Kept {
    pub(super) attempt: Attempt,
    pub(super) upstream: Upstream,
}

/// What became of a kept attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeptResult {
    /// It has an event or the end of the stream.
    Progressed,
    /// Its connection ended, or its answer can't be used.
    Failed,
}

impl Kept {
    /// Reads until there is an event to pass on, the end of the answer, or a failure. May be cancelled
    /// and called again.
    async fn wait(&mut self, gateway: &Gateway, request: &RequestContext<'_>) -> KeptResult {
        let connection = &mut self.upstream.acquired.connection;
        if let Answer::Awaited { .. } = self.upstream.answer {
            let Ok(head) = connection.read_response().await else {
                return KeptResult::Failed;
            };
            let metadata = gateway.parse_answer(self.attempt.chosen.first(), &head);
            let is_success = (200..300).contains(&head.status) && metadata.is_sealed;
            if !is_success || !is_response_to(&metadata, &request.metadata.id) {
                // The attempt in progress has the better chance; the error would only replace it.
                return KeptResult::Failed;
            }
            self.attempt.progress.record_head();
            self.upstream.answer = Answer::Begun(Begun::new(
                request.place,
                head,
                metadata,
                &request.head.method,
            ));
        }
        let Answer::Begun(begun) = &mut self.upstream.answer else {
            return KeptResult::Failed;
        };
        while !begun.event_decoder.has_event() {
            match connection.read_body(&mut begun.decoder).await {
                Ok(Some(piece)) if begun.push(&piece).is_ok() => {}
                Ok(None) if !begun.event_decoder.has_partial_event() && begun.is_framed() => break,
                Ok(Some(_) | None) | Err(_) => return KeptResult::Failed,
            }
        }
        KeptResult::Progressed
    }

    /// Returns since when the attempt has been silent.
    pub(super) fn silent_since(&self) -> Instant {
        self.upstream.stall_timer.started_at
    }
}

/// Waits until a kept attempt has an event or fails. Returns its index. Waits forever without any. May be
/// cancelled and called again.
pub(super) async fn wait_for_kept(
    kept: &mut [Kept],
    gateway: &Gateway,
    request: &RequestContext<'_>,
) -> (usize, KeptResult) {
    if kept.is_empty() {
        return future::pending().await;
    }
    let waits = kept
        .iter_mut()
        .map(|kept| Box::pin(kept.wait(gateway, request)));
    let (result, index, _) = future::select_all(waits).await;
    (index, result)
}
