//! Sends an answer token by token, as server-sent events.

use std::{
    sync::Arc,
    time::Instant, //
};

use anvil_core::{
    id::{
        RequestId,
        Token, //
    },
    outcome::{
        Reason,
        Refused, //
    }, //
};
use bytes::Bytes;
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use http::{
    HeaderValue,
    header, //
};
use tokio::sync::{
    mpsc,
    oneshot, //
};
use tokio_stream::wrappers::ReceiverStream;
use viz::{
    Body,
    Response, //
};

use super::{
    super::refusal,
    chunk,
    run, //
};
use crate::{
    admit::Admitted,
    pipeline::{
        CallerDisconnected,
        Job,
        TokenSink, //
    },
    shared::Shared, //
};

/// Number of events that may be queued for a slow caller before the pipeline waits too.
const EVENT_BUFFER: usize = 32;

/// Whether a stream has started, or was refused before its first token.
type StreamStart = Result<(), Refused>;

/// Runs a job and streams its tokens. A job that fails before its first token is refused with the
/// HTTP status of the refusal, as with a whole answer.
pub(super) async fn answer(shared: Arc<Shared>, job: Job, admitted: Admitted) -> Response {
    let id = job.request.clone();
    let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
    let (start_sender, start) = oneshot::channel();
    let mut event_sink = EventSink {
        sender,
        start_sender: Some(start_sender),
        id: job.request.clone(),
        template: chunk::ChunkTemplate::new(&job.request, &job.model),
        deadline: job.deadline,
    };
    let open_request = shared.open_request();
    tokio::spawn(async move {
        let result = run(&shared, &job, admitted, &mut event_sink).await;
        event_sink.finish(result).await;
        drop(open_request);
    });
    match start.await {
        Ok(Ok(())) => response(receiver),
        Ok(Err(refused)) => refusal::response(&id, &refused),
        Err(_) => {
            let refused = Refused::unknown(Reason::TargetFailed, "the request was abandoned");
            refusal::response(&id, &refused)
        }
    }
}

fn response(events: mpsc::Receiver<Result<Bytes, std::io::Error>>) -> Response {
    let mut response = Response::new(Body::from_stream(ReceiverStream::new(events)));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// Sends the events of a stream to the caller.
struct EventSink {
    sender: mpsc::Sender<Result<Bytes, std::io::Error>>,
    /// Signals the first event or a refusal before it. Taken when either is sent.
    start_sender: Option<oneshot::Sender<StreamStart>>,
    id: RequestId,
    template: chunk::ChunkTemplate,
    /// Time after which a caller that does not accept an event counts as disconnected.
    deadline: Instant,
}

impl EventSink {
    /// Sends the final chunk or the refusal, and then the end marker.
    async fn finish(mut self, result: Result<(), Refused>) {
        let last_event = match result {
            Ok(()) => self.template.final_chunk("length"),
            Err(refused) => {
                if let Some(start_sender) = self.start_sender.take() {
                    // A caller that has disconnected needs no refusal.
                    let _disconnected = start_sender.send(Err(refused));
                    return;
                }
                chunk::sse_event(refusal::body(&self.id, &refused))
            }
        };
        if self.send(last_event).await.is_ok() {
            // A caller that disconnects before the end marker has received its whole answer.
            let _disconnected = self.send(chunk::sse_event("[DONE]")).await;
        }
    }

    async fn send(&mut self, event: Bytes) -> Result<(), CallerDisconnected> {
        if let Some(start_sender) = self.start_sender.take() {
            start_sender.send(Ok(())).map_err(|_| CallerDisconnected)?;
        }
        let sent = tokio::time::timeout_at(self.deadline.into(), self.sender.send(Ok(event)));
        match sent.await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerDisconnected),
        }
    }
}

impl TokenSink for EventSink {
    fn emit(&mut self, token: Token) -> BoxFuture<'_, Result<(), CallerDisconnected>> {
        let event = self.template.token_chunk(token);
        async move { self.send(event).await }.boxed()
    }
}
