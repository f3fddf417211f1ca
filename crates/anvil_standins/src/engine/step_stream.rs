//! Long-lived stream that carries steps to the engine and answers back.

use std::sync::Arc;

use anvil_wire::{
    frame::{
        self,
        Decoder, //
    },
    generated::engine::{
        AnswerFrame,
        Step,
        StepAnswer,
        StepFrame, //
    },
};
use futures::stream;
use http::Response;
use http_body_util::{
    BodyExt,
    StreamBody, //
};
use hyper::body::{
    Frame,
    Incoming, //
};
use tokio::sync::mpsc::{
    UnboundedReceiver,
    UnboundedSender,
    unbounded_channel, //
};

use super::{
    core::Core,
    link::{
        DelayLine,
        Direction, //
    },
};
use crate::{
    arithmetic::ACTIVATION_BYTES,
    reply::Body,
    server::ConnectionDropped, //
};

/// Most answers in a frame.
const FRAME_LIMIT_ANSWERS: usize = 256;

/// Size of a token on the modelled link, and of an answer apart from its activations.
const TOKEN_BYTES: u64 = 4;

/// Opens a stream. Steps are read in the background, and answers are written as they arrive.
pub(super) fn open(core: Arc<Core>, body: Incoming) -> Response<Body> {
    let (reply, answers) = unbounded_channel();
    tokio::spawn(read_steps(Arc::clone(&core), body, reply));
    let writer = AnswerWriter {
        core,
        answers,
        delay_line: DelayLine::default(),
    };
    let frames = stream::unfold(writer, |mut writer| async move {
        let frame = writer.next().await?;
        Some((frame, writer))
    });
    Response::new(StreamBody::new(frames).boxed_unsync())
}

/// Reads frames until the stream ends, and queues their steps when the modelled link has
/// delivered them.
async fn read_steps(core: Arc<Core>, mut body: Incoming, reply: UnboundedSender<StepAnswer>) {
    let mut decoder = Decoder::default();
    let mut delay_line: DelayLine<StepFrame> = DelayLine::default();
    let mut is_open = true;
    while is_open || !delay_line.is_empty() {
        tokio::select! {
            body_frame = body.frame(), if is_open => match body_frame {
                Some(Ok(body_frame)) => {
                    if let Ok(data) = body_frame.into_data() {
                        decoder.push(data);
                    }
                }
                Some(Err(_)) => return,
                None => is_open = false,
            },
            () = delay_line.wait_for_arrival() => {}
        }
        loop {
            match decoder.next_message::<StepFrame>() {
                Ok(Some(frame)) => delay_line.push(core.transmit_steps(&frame), frame),
                Ok(None) => break,
                Err(_) => return,
            }
        }
        while let Some(frame) = delay_line.pop_arrived() {
            for cancel in &frame.cancels {
                core.cancel(cancel);
            }
            core.enqueue(frame.steps, &reply);
        }
    }
}

struct AnswerWriter {
    core: Arc<Core>,
    answers: UnboundedReceiver<StepAnswer>,
    delay_line: DelayLine<Vec<StepAnswer>>,
}

impl AnswerWriter {
    async fn next(&mut self) -> Option<Result<Frame<bytes::Bytes>, ConnectionDropped>> {
        let mut is_open = true;
        loop {
            if let Some(answers) = self.delay_line.pop_arrived() {
                let frame = frame::encode(&AnswerFrame { answers });
                return Some(frame.map(Frame::data).map_err(|_| ConnectionDropped));
            }
            if !is_open && self.delay_line.is_empty() {
                return None;
            }
            let mut received = Vec::new();
            tokio::select! {
                count = self.answers.recv_many(&mut received, FRAME_LIMIT_ANSWERS), if is_open => {
                    is_open = count > 0;
                }
                () = self.delay_line.wait_for_arrival() => {}
            }
            if !received.is_empty() {
                self.delay_line
                    .push(self.core.transmit_answers(&received), received);
            }
        }
    }
}

impl Core {
    /// Sends the steps of a frame over the modelled link and returns when they arrive.
    fn transmit_steps(&self, frame: &StepFrame) -> tokio::time::Instant {
        let size_bytes = frame.steps.iter().map(|step| self.step_bytes(step)).sum();
        self.link.send(Direction::ToEngine, size_bytes)
    }

    /// Sends answers over the modelled link and returns when they arrive.
    fn transmit_answers(&self, answers: &[StepAnswer]) -> tokio::time::Instant {
        let activations: usize = answers.iter().map(|answer| answer.activations.len()).sum();
        let tokens = (activations / ACTIVATION_BYTES) as u64;
        let size_bytes = tokens * u64::from(self.config.activation_bytes_per_token)
            + answers.len() as u64 * TOKEN_BYTES;
        self.link.send(Direction::FromEngine, size_bytes)
    }

    fn step_bytes(&self, step: &Step) -> u64 {
        let bytes_per_token = if step.tokens.is_empty() {
            u64::from(self.config.activation_bytes_per_token)
        } else {
            TOKEN_BYTES
        };
        u64::from(step.token_count) * bytes_per_token
    }
}
