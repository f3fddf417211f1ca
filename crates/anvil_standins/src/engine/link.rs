//! Model of a link with a delay and a bandwidth in each direction.

use std::{
    collections::VecDeque,
    sync::Mutex,
    time::Duration, //
};

use tokio::time::Instant;

use crate::fault::lock;

/// The modelled link between the hosts and one engine.
#[derive(Debug)]
pub(super) struct Link {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    delay: Duration,
    /// Bandwidth of each direction; 0 is unlimited.
    bandwidth_bytes_per_s: u64,
    /// Time until which each direction is occupied by messages sent so far.
    busy_until: [Instant; 2],
}

/// Direction of a message; also the index in `State::busy_until`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    ToEngine,
    FromEngine,
}

impl Link {
    pub(super) fn new(delay: Duration, bandwidth_bytes_per_s: u64) -> Self {
        Self {
            state: Mutex::new(State {
                delay,
                bandwidth_bytes_per_s,
                busy_until: [Instant::now(); 2],
            }),
        }
    }

    /// Changes delay and bandwidth for messages sent from now on.
    pub(super) fn set(&self, delay: Duration, bandwidth_bytes_per_s: u64) {
        let mut state = lock(&self.state);
        state.delay = delay;
        state.bandwidth_bytes_per_s = bandwidth_bytes_per_s;
    }

    /// Sends a message and returns the time at which it arrives.
    pub(super) fn send(&self, direction: Direction, size_bytes: u64) -> Instant {
        let now = Instant::now();
        let mut state = lock(&self.state);
        if state.bandwidth_bytes_per_s == 0 {
            return now + state.delay;
        }
        let seconds = size_bytes as f64 / state.bandwidth_bytes_per_s as f64;
        let busy_until = &mut state.busy_until[direction as usize];
        *busy_until = (*busy_until).max(now) + Duration::from_secs_f64(seconds);
        *busy_until + state.delay
    }
}

/// Messages in transit, with the time of their arrival, in the order of sending.
#[derive(Debug)]
pub(super) struct DelayLine<T> {
    messages: VecDeque<(Instant, T)>,
}

impl<T> Default for DelayLine<T> {
    fn default() -> Self {
        Self {
            messages: VecDeque::new(),
        }
    }
}

impl<T> DelayLine<T> {
    pub(super) fn push(&mut self, arrives_at: Instant, message: T) {
        self.messages.push_back((arrives_at, message));
    }

    /// Removes and returns the next message, or returns `None` if it hasn't arrived yet.
    pub(super) fn pop_arrived(&mut self) -> Option<T> {
        let arrives_at = self.messages.front()?.0;
        if arrives_at > Instant::now() {
            return None;
        }
        self.messages.pop_front().map(|(_, message)| message)
    }

    /// Waits until the next message has arrived; never returns if none is in transit.
    pub(super) async fn wait_for_arrival(&self) {
        match self.messages.front() {
            Some((arrives_at, _)) => tokio::time::sleep_until(*arrives_at).await,
            None => std::future::pending().await,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }
}
