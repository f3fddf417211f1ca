//! Budget of extra sends to a service over a sliding window, shared by all hosts without a message.
//!
//! Answers a storm of repeats, as after a crash of engines under load. Operators allow extra sends
//! as a share of a service's requests and a number beyond it, over all hosts; each host uses the
//! share of its own requests and its part of the number.

use std::{
    collections::VecDeque,
    time::Duration, //
};

#[cfg(test)]
mod tests;

/// Parts into which the window is divided. What is older than the window by less than a part still
/// counts, so that no window of the operators' sees more than is allowed.
const PARTS: u32 = 10;
/// Share of what is allowed that is used: hosts count their fleet a little differently, and a
/// window of the operators' may hold fewer requests than this one.
const USED_SHARE: f64 = 0.8;

/// What operators allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLimits {
    /// Extra sends for each request.
    pub ratio: f64,
    /// Extra sends beyond that, over all hosts.
    pub slack_sends: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    requests: f64,
    extra_sends: f64,
}

/// Extra sends of one host to one service.
#[derive(Debug, Default)]
pub struct Budget {
    /// Parts with a request or an extra send. Invariant: numbers ascend.
    parts: VecDeque<Part>,
}

impl Budget {
    /// Counts a request.
    pub fn record_request(&mut self, limits: &WindowLimits, now: Duration) {
        self.part(limits, now).requests += 1.0;
    }

    /// Takes an extra send, where one is left for this host among `host_count`. The part beyond the
    /// share of requests is left alone while the count is unknown, and in a host's first window:
    /// an earlier run of the host may have used it.
    pub fn try_take(
        &mut self,
        limits: &WindowLimits,
        host_count: Option<usize>,
        now: Duration,
    ) -> bool {
        self.part(limits, now);
        let requests: f64 = self.parts.iter().map(|part| part.requests).sum();
        let taken: f64 = self.parts.iter().map(|part| part.extra_sends).sum();
        let slack_sends = match host_count {
            Some(host_count) if now >= limits.window => {
                limits.slack_sends / host_count.max(1) as f64
            }
            Some(_) | None => 0.0,
        };
        if taken + 1.0 > USED_SHARE * (limits.ratio * requests + slack_sends) {
            return false;
        }
        self.part(limits, now).extra_sends += 1.0;
        true
    }

    /// The present part, after the parts before the window are dropped.
    fn part(&mut self, limits: &WindowLimits, now: Duration) -> &mut Part {
        let length = (limits.window / PARTS).max(Duration::from_millis(1));
        let number = (now.as_nanos() / length.as_nanos()) as u64;
        while self
            .parts
            .front()
            .is_some_and(|part| part.number + u64::from(PARTS) < number)
        {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.parts.push_back(Part {
                number,
                ..Part::default()
            });
        }
        self.parts.back_mut().expect("a part was pushed")
    }
}
