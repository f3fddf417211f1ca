//! An answer sent token by token, as server-sent events.

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

/// Events that may wait for a slow caller before the pipeline waits too.
const EVENT_BUFFER: usize = 32;

/// Whether a stream begins, or was refused before its first token.
type Beginning = Result<(), Refused>;

/// Runs a job and streams its tokens. A job that fails before its first token is refused with a
/// status of its own, as a whole answer would be.
pub(super) async fn answer(shared: Arc<Shared>, job: Job, admitted: Admitted) -> Response {
    let id = job.request.clone();
    let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
    let (begin, beginning) = oneshot::channel();
    let mut events = Events {
        sender,
        begin: Some(begin),
        id: job.request.clone(),
        template: chunk::ChunkTemplate::new(&job.request, &job.model),
        deadline: job.deadline,
    };
    let open = shared.open_request();
    tokio::spawn(async move {
        let result = run(&shared, &job, admitted, &mut events).await;
        events.end(result).await;
        drop(open);
    });
    match beginning.await {
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

/// Sends events to a caller.
struct Events {
    sender: mpsc::Sender<Result<Bytes, std::io::Error>>,
    /// Tells the first event; taken when it is sent.
    begin: Option<oneshot::Sender<Beginning>>,
    id: RequestId,
    template: chunk::ChunkTemplate,
    /// A caller that takes no event until then counts as gone.
    deadline: Instant,
}

impl Events {
    /// Sends the last chunk or the refusal, then the end marker.
    async fn end(mut self, result: Result<(), Refused>) {
        let last = match result {
            Ok(()) => self.template.final_chunk("length"),
            Err(refused) => {
                if let Some(begin) = self.begin.take() {
                    // A caller that has left needs no refusal.
                    let _gone = begin.send(Err(refused));
                    return;
                }
                chunk::sse_event(refusal::body(&self.id, &refused))
            }
        };
        if self.send(last).await.is_ok() {
            // A caller that left before the end marker has had its whole answer.
            let _gone = self.send(chunk::sse_event("[DONE]")).await;
        }
    }

    async fn send(&mut self, event: Bytes) -> Result<(), CallerDisconnected> {
        if let Some(begin) = self.begin.take() {
            begin.send(Ok(())).map_err(|_| CallerDisconnected)?;
        }
        let sent = tokio::time::timeout_at(self.deadline.into(), self.sender.send(Ok(event)));
        match sent.await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerDisconnected),
        }
    }
}

impl TokenSink for Events {
    fn emit(&mut self, token: Token) -> BoxFuture<'_, Result<(), CallerDisconnected>> {
        let event = self.template.token_chunk(token);
        async move { self.send(event).await }.boxed()
    }
}
