//! Latencies and outcomes that callers observe.

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

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Complete and correct answers.
    pub whole: u64,
    /// Answers with a token that differs from the expected one.
    pub wrong: u64,
    /// Answers with more tokens than expected.
    pub duplicated: u64,
    /// Answers that ended after at least one token but before the last.
    pub cut_off: u64,
    /// Requests that failed before their first token.
    pub refused: u64,
}

/// Latencies and outcomes, recorded by all callers at once.
#[derive(Debug)]
pub struct Tally {
    first_token_us: Mutex<Histogram<u64>>,
    between_tokens_us: Mutex<Histogram<u64>>,
    /// Fault under test; `None` until one is recorded.
    fault: Mutex<Option<Fault>>,
    outcomes: Mutex<Outcomes>,
    last_error: Mutex<Option<ClientError>>,
}

#[derive(Debug)]
struct Fault {
    at: Instant,
    /// For each gap between two tokens that spans the fault: time from the fault to the later
    /// token.
    next_token_us: Histogram<u64>,
}

/// Longest latency that is recorded; longer ones count as this.
const LATENCY_MAX_US: u64 = 120_000_000;

fn histogram() -> Histogram<u64> {
    // The bounds are constants that `Histogram` accepts.
    Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).expect("the bounds of the histogram are valid")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(LATENCY_MAX_US)
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
    /// Records the time from a request to its first token.
    pub fn record_first_token(&self, latency: Duration) {
        lock(&self.first_token_us).saturating_record(micros(latency));
    }

    /// Records the time between two tokens, and that since the fault if it lies between them.
    pub fn record_next_token(&self, last_at: Instant, now: Instant) {
        lock(&self.between_tokens_us).saturating_record(micros(now - last_at));
        if let Some(fault) = &mut *lock(&self.fault)
            && last_at < fault.at
        {
            fault
                .next_token_us
                .saturating_record(micros(now - fault.at));
        }
    }

    /// Records the outcome of a request. An error comes with the tokens received before it.
    pub fn record_end(
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

    /// Records a fault, from which the time to the next token of each running request is measured.
    ///
    /// Clears the outcomes and the last error of the requests that ended before.
    pub fn record_fault(&self, at: Instant) {
        *lock(&self.outcomes) = Outcomes::default();
        *lock(&self.last_error) = None;
        *lock(&self.fault) = Some(Fault {
            at,
            next_token_us: histogram(),
        });
    }

    /// Returns a quantile of the time in milliseconds from the fault to the next token of the
    /// requests that were running then, or 0 without a fault.
    pub fn next_token_ms(&self, quantile: f64) -> f64 {
        let fault = lock(&self.fault);
        let Some(fault) = &*fault else { return 0.0 };
        fault.next_token_us.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the number of requests that got one token before the fault and another one after it.
    pub fn requests_affected_by_fault(&self) -> u64 {
        lock(&self.fault)
            .as_ref()
            .map_or(0, |fault| fault.next_token_us.len())
    }

    /// Returns a quantile of the time to the first token, in milliseconds.
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        lock(&self.first_token_us).value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns a quantile of the time between tokens, in milliseconds.
    pub fn between_tokens_ms(&self, quantile: f64) -> f64 {
        lock(&self.between_tokens_us).value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the outcomes of the requests that have ended.
    pub fn outcomes(&self) -> Outcomes {
        *lock(&self.outcomes)
    }

    /// Returns the last error of a request, or `None` if none has failed.
    pub fn last_error(&self) -> Option<ClientError> {
        lock(&self.last_error).clone()
    }

    /// Clears the latencies recorded so far and keeps the outcomes.
    pub fn reset_latencies(&self) {
        lock(&self.first_token_us).reset();
        lock(&self.between_tokens_us).reset();
    }
}
