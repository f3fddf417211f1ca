//! What callers saw.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use anvil_core::id::Token;
use anvil_fleet::client::{
    ClientError,
    CompletionParams, //
};
use hdrhistogram::Histogram;

/// What became of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Whole and correct answers.
    pub whole: u64,
    /// Answers with a token that the reference does not give.
    pub wrong: u64,
    /// Answers with more tokens than asked for.
    pub duplicated: u64,
    /// Answers that began and did not end.
    pub cut_off: u64,
    /// Requests refused before their first token.
    pub refused: u64,
}

/// What callers saw, while it is open for counting.
#[derive(Debug)]
pub struct Tally {
    first_token_us: Mutex<Histogram<u64>>,
    between_tokens_us: Mutex<Histogram<u64>>,
    /// Gaps that hold the moment of a fault: from that moment to the next token.
    fault: Mutex<Option<Fault>>,
    outcomes: Mutex<Outcomes>,
    last_error: Mutex<Option<ClientError>>,
}

#[derive(Debug)]
struct Fault {
    at: Instant,
    next_token_us: Histogram<u64>,
}

/// Longest time that is recorded.
const LONGEST_US: u64 = 120_000_000;

fn histogram() -> Histogram<u64> {
    // The bounds are constants that the histogram takes.
    Histogram::new_with_bounds(1, LONGEST_US, 3).expect("valid bounds")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(LONGEST_US)
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            first_token_us: Mutex::new(histogram()),
            between_tokens_us: Mutex::new(histogram()),
            fault: Mutex::new(None),
            outcomes: Mutex::default(),
            last_error: Mutex::default(),
        }
    }
}

impl Tally {
    /// Counts a first token.
    pub fn first_token(&self, since_asked: Duration) {
        lock(&self.first_token_us).saturating_record(micros(since_asked));
    }

    /// Counts a later token.
    pub fn next_token(&self, last_at: Instant, now: Instant) {
        lock(&self.between_tokens_us).saturating_record(micros(now - last_at));
        if let Some(fault) = &mut *lock(&self.fault)
            && last_at < fault.at
        {
            fault
                .next_token_us
                .saturating_record(micros(now - fault.at));
        }
    }

    /// Counts the end of a request.
    pub fn ended(
        &self,
        completion: &CompletionParams,
        result: Result<Vec<Token>, (ClientError, Vec<Token>)>,
    ) {
        let expected = completion.expected_tokens();
        let mut outcomes = lock(&self.outcomes);
        let tokens = match &result {
            Ok(tokens) | Err((_, tokens)) => tokens,
        };
        if tokens.len() > expected.len() {
            outcomes.duplicated += 1;
        } else if *tokens != expected[..tokens.len()] {
            outcomes.wrong += 1;
        } else if tokens.is_empty() && result.is_err() {
            outcomes.refused += 1;
        } else if tokens.len() < expected.len() {
            outcomes.cut_off += 1;
        } else {
            outcomes.whole += 1;
        }
        if let Err((error, _)) = result {
            *lock(&self.last_error) = Some(error);
        }
    }

    /// Starts to measure the time from a fault to the next token of each running request.
    ///
    /// What became of the requests that ended before is forgotten.
    pub fn fault_begins(&self, at: Instant) {
        *lock(&self.outcomes) = Outcomes::default();
        *lock(&self.last_error) = None;
        *lock(&self.fault) = Some(Fault {
            at,
            next_token_us: histogram(),
        });
    }

    /// Time from the fault to the next token of the requests that it met, at a quantile.
    pub fn next_token_ms(&self, quantile: f64) -> f64 {
        let fault = lock(&self.fault);
        let Some(fault) = &*fault else { return 0.0 };
        fault.next_token_us.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Requests that were running when the fault began.
    pub fn met_by_fault(&self) -> u64 {
        lock(&self.fault)
            .as_ref()
            .map_or(0, |fault| fault.next_token_us.len())
    }

    /// Time to the first token at a quantile.
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        lock(&self.first_token_us).value_at_quantile(quantile) as f64 / 1e3
    }

    /// Time between tokens at a quantile.
    pub fn between_tokens_ms(&self, quantile: f64) -> f64 {
        lock(&self.between_tokens_us).value_at_quantile(quantile) as f64 / 1e3
    }

    /// What became of the requests that ended.
    pub fn outcomes(&self) -> Outcomes {
        *lock(&self.outcomes)
    }

    /// The last refusal or loss.
    pub fn last_error(&self) -> Option<ClientError> {
        lock(&self.last_error).clone()
    }

    /// Forgets the times and counts so far, not the outcomes.
    pub fn reset_times(&self) {
        lock(&self.first_token_us).reset();
        lock(&self.between_tokens_us).reset();
    }
}
