//! Callers that ask again as soon as they are answered, and what they saw.

mod mixed;
mod tally;

pub use mixed::MixedFleet;
pub use tally::Tally;

use std::{
    ops::RangeInclusive,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use anvil_core::id::Token;
use anvil_fleet::client::{
    Client,
    ClientError,
    CompletionParams, //
};
use futures::StreamExt;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// What callers ask for.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Tokens of a prompt.
    pub prompt_tokens: RangeInclusive<usize>,
    /// Tokens of an answer.
    pub answer_tokens: RangeInclusive<u32>,
}

/// Callers at work.
pub struct Callers {
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl Callers {
    /// Starts a caller for each of `clients`.
    pub fn start(clients: Vec<Client>, shape: &Shape, tally: &Arc<Tally>, seed: u64) -> Self {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        for (number, client) in (0..).zip(clients) {
            let rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003) ^ number);
            let caller = Caller {
                client,
                shape: shape.clone(),
                tally: Arc::clone(tally),
                rng,
            };
            tasks.spawn(caller.run(stop.clone()));
        }
        Self { tasks, stop }
    }

    /// Lets every request end and asks for no more.
    pub async fn close(mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }

    /// Ends every request in its midst.
    pub fn abort(mut self) {
        self.tasks.abort_all();
    }
}

/// Time over which callers begin.
const START_SPREAD: Duration = Duration::from_secs(1);
/// Longest time that a caller stays away after a refusal.
const PAUSE_MAX: Duration = Duration::from_millis(100);

/// Time that a refused caller stays away.
fn pause(error: &ClientError) -> Option<Duration> {
    let ClientError::Refused { retry_after_ms, .. } = error else {
        return None;
    };
    let pause = retry_after_ms.map_or(PAUSE_MAX, Duration::from_millis);
    Some(pause.min(PAUSE_MAX))
}

struct Caller {
    client: Client,
    shape: Shape,
    tally: Arc<Tally>,
    rng: StdRng,
}

impl Caller {
    async fn run(mut self, stop: CancellationToken) {
        let start = self.rng.random_range(Duration::ZERO..START_SPREAD);
        tokio::time::sleep(start).await;
        while !stop.is_cancelled() {
            let completion = self.completion();
            let result = self.ask(&completion).await;
            let pause = result.as_ref().err().and_then(|(error, _)| pause(error));
            self.tally.ended(&completion, result);
            if let Some(pause) = pause {
                tokio::time::sleep(pause).await;
            }
        }
    }

    fn completion(&mut self) -> CompletionParams {
        let length = self.rng.random_range(self.shape.prompt_tokens.clone());
        let prompt: Vec<Token> = (0..length)
            .map(|_| self.rng.random_range(0..50_000))
            .collect();
        let limit_tokens = self.rng.random_range(self.shape.answer_tokens.clone());
        CompletionParams::new(prompt, limit_tokens)
    }

    async fn ask(
        &self,
        completion: &CompletionParams,
    ) -> Result<Vec<Token>, (ClientError, Vec<Token>)> {
        let asked_at = Instant::now();
        let mut tokens = Vec::new();
        let mut stream = match self.client.stream(completion).await {
            Ok(stream) => stream,
            Err(error) => return Err((error, tokens)),
        };
        let mut last_at = asked_at;
        while let Some(token) = stream.next().await {
            match token {
                Ok(token) => {
                    let now = Instant::now();
                    match tokens.is_empty() {
                        true => self.tally.first_token(now - asked_at),
                        false => self.tally.next_token(last_at, now),
                    }
                    tokens.push(token);
                    last_at = now;
                }
                Err(error) => return Err((error, tokens)),
            }
        }
        Ok(tokens)
    }
}
