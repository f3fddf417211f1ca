//! Closed-loop load: callers that send the next request as soon as the last one has ended.

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

/// Ranges from which the lengths of requests are drawn.
#[derive(Clone, Debug)]
pub struct RequestLengths {
    /// Number of tokens in a prompt.
    pub prompt_tokens: RangeInclusive<usize>,
    /// Number of tokens in an answer.
    pub answer_tokens: RangeInclusive<u32>,
}

/// Running callers, one task each.
pub struct Callers {
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl Callers {
    /// Starts one caller for each of `clients`.
    pub fn start(
        clients: Vec<Client>,
        lengths: &RequestLengths,
        tally: &Arc<Tally>,
        seed: u64,
    ) -> Self {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        for (number, client) in (0..).zip(clients) {
            let rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003) ^ number);
            let caller = Caller {
                client,
                lengths: lengths.clone(),
                tally: Arc::clone(tally),
                rng,
            };
            tasks.spawn(caller.run(stop.clone()));
        }
        Self { tasks, stop }
    }

    /// Stops sending requests and waits until the open ones have ended.
    pub async fn close(mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }

    /// Aborts the callers without waiting for their open requests.
    pub fn abort(mut self) {
        self.tasks.abort_all();
    }
}

/// Period over which the first requests of the callers are spread.
const START_SPREAD: Duration = Duration::from_secs(1);
/// Longest pause of a caller after a refusal.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(100);

/// Returns the pause after a refusal, or `None` if the error is not a refusal.
fn retry_pause(error: &ClientError) -> Option<Duration> {
    let ClientError::Refused { retry_after_ms, .. } = error else {
        return None;
    };
    let pause = retry_after_ms.map_or(RETRY_PAUSE_MAX, Duration::from_millis);
    Some(pause.min(RETRY_PAUSE_MAX))
}

struct Caller {
    client: Client,
    lengths: RequestLengths,
    tally: Arc<Tally>,
    rng: StdRng,
}

impl Caller {
    async fn run(mut self, stop: CancellationToken) {
        let start_delay = self.rng.random_range(Duration::ZERO..START_SPREAD);
        tokio::time::sleep(start_delay).await;
        while !stop.is_cancelled() {
            let completion = self.completion();
            let result = self.stream_tokens(&completion).await;
            let pause = result
                .as_ref()
                .err()
                .and_then(|(error, _)| retry_pause(error));
            self.tally.record_end(&completion, result);
            if let Some(pause) = pause {
                tokio::time::sleep(pause).await;
            }
        }
    }

    fn completion(&mut self) -> CompletionParams {
        let length = self.rng.random_range(self.lengths.prompt_tokens.clone());
        let prompt: Vec<Token> = (0..length)
            .map(|_| self.rng.random_range(0..50_000))
            .collect();
        let limit_tokens = self.rng.random_range(self.lengths.answer_tokens.clone());
        CompletionParams::new(prompt, limit_tokens)
    }

    async fn stream_tokens(
        &self,
        completion: &CompletionParams,
    ) -> Result<Vec<Token>, (ClientError, Vec<Token>)> {
        let sent_at = Instant::now();
        let mut tokens = Vec::new();
        let mut stream = match self.client.stream(completion).await {
            Ok(stream) => stream,
            Err(error) => return Err((error, tokens)),
        };
        let mut last_at = sent_at;
        while let Some(token) = stream.next().await {
            match token {
                Ok(token) => {
                    let now = Instant::now();
                    match tokens.is_empty() {
                        true => self.tally.record_first_token(now - sent_at),
                        false => self.tally.record_next_token(last_at, now),
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
