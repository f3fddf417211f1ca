//! One step of a pipeline: a range of layers applied to one or more tokens of one sequence.

use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use smol_str::SmolStr;
use std::time::Duration;

use crate::id::{
    Attempt,
    LayerRange,
    ModelId,
    ModelVersion,
    Position,
    RequestId,
    TargetId,
    Token, //
};

/// Name of a step. A step that is sent again under the same name is not applied twice.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Display)]
#[display("{request}/{attempt}@{position}[{layers}]")]
pub struct Name {
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Number of the attempt. Together with the request, it names the engine's key-value cache.
    pub attempt: Attempt,
    /// Position in the sequence of the step's first input token.
    pub position: Position,
    /// Layers to apply.
    pub layers: LayerRange,
}

/// A step to send to a target.
#[derive(Clone, Debug)]
pub struct Step {
    /// Name under which the target applies the step at most once.
    pub name: Name,
    /// Model that the target must hold; otherwise it refuses the step.
    pub model: ModelId,
    /// Version that the target must hold; otherwise it refuses the step.
    pub version: ModelVersion,
    /// Priority in the engine's queue; larger values run first.
    pub priority: u8,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Tokens or activations that the layers are applied to.
    pub input: Input,
}

/// Input of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Tokens, for a range that begins at layer 0.
    Tokens(Vec<Token>),
    /// Activations from the preceding layer range.
    Activations {
        /// Number of tokens that the activations belong to.
        token_count: u32,
        /// The activations, as the preceding engine returned them.
        data: Bytes,
    },
}

impl Input {
    /// Returns the number of tokens in the input, or `u32::MAX` if there are more.
    pub fn token_count(&self) -> u32 {
        match self {
            Self::Tokens(tokens) => u32::try_from(tokens.len()).unwrap_or(u32::MAX),
            Self::Activations { token_count, .. } => *token_count,
        }
    }
}

/// Output of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Activations for the following layer range.
    Activations(Bytes),
    /// The next token, from a range that ends at the last layer.
    Token(Token),
}

/// Answer of a target to a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Name of the answered step.
    pub name: Name,
    /// Activations or the next token, depending on the layer range.
    pub output: Output,
    /// Prompt tokens that the engine found in its prefix cache.
    pub cached_tokens: u32,
    /// Steps in the engine's queue when it accepted this one.
    pub queue_depth_steps: u32,
}

/// Why a target did not answer a step.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Failure {
    /// The connection could not be opened; the step was not sent.
    #[display("step {name} to {target}: cannot connect: {message}")]
    Connect {
        /// Name of the failed step.
        name: Name,
        /// Target that the step was meant for.
        target: TargetId,
        /// Error message of the transport.
        message: SmolStr,
    },
    /// The connection broke after the step was sent; the step may have run.
    #[display("step {name} to {target}: connection lost: {message}")]
    ConnectionLost {
        /// Name of the failed step.
        name: Name,
        /// Target that the step was meant for.
        target: TargetId,
        /// Error message of the transport.
        message: SmolStr,
    },
    /// The target did not answer in time; the step may have run or may still run.
    #[display("step {name} to {target}: no answer in time")]
    Timeout {
        /// Name of the failed step.
        name: Name,
        /// Target that the step was meant for.
        target: TargetId,
    },
    /// The target refused; the step did not run.
    #[display("step {name} to {target}: refused: {refusal}")]
    Refused {
        /// Name of the failed step.
        name: Name,
        /// Target that the step was meant for.
        target: TargetId,
        /// Reason that the target gave.
        #[error(not(source))]
        refusal: Refusal,
    },
}

/// Why a target refused a step without running it.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Refusal {
    /// The target does not hold this model, version or layer range.
    #[display("not held")]
    NotHeld,
    /// The target's key-value cache for the sequence does not end where the step begins.
    #[display("key-value cache ends at {held_position}")]
    CacheMismatch {
        /// Position after the last token in the cache; 0 if the cache is empty.
        held_position: Position,
    },
    /// The target's queue is full.
    #[display("overloaded")]
    Overloaded,
    /// The target is leaving service.
    #[display("leaving")]
    Leaving,
    /// The step was cancelled before it ran.
    #[display("cancelled")]
    Cancelled,
    /// The step is malformed, with the target's explanation.
    #[display("malformed: {_0}")]
    Malformed(SmolStr),
}
