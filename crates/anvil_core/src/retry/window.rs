//! Budget of extra sends to a service over a sliding window, shared by all hosts without messages
//! between them.
//!
//! It bounds retry storms, such as after a crash of engines under load. Operators allow extra sends
//! as a ratio of a service's requests plus a fixed number, over all hosts. Each host uses the ratio
//! of its own requests and its part of the fixed number.

use std::{
    collections::VecDeque,
    time::Duration, //
};

#[cfg(test)]
mod tests;

/// Number of sub-windows in a window. What is older than the window by less than one sub-window
/// still counts, so that no window that operators look at holds more extra sends than allowed.
const SUB_WINDOWS: u32 = 10;
/// Fraction of the allowed extra sends that is used. The rest is a margin for two reasons: hosts
/// count the fleet slightly differently, and a window that operators look at may hold fewer
/// requests than this one.
const USED_FRACTION: f64 = 0.8;

/// Extra sends that operators allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLimits {
    /// Extra sends per request.
    pub ratio: f64,
    /// Extra sends beyond `ratio`, over all hosts.
    pub slack_sends: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct SubWindow {
    number: u64,
    requests: f64,
    extra_sends: f64,
}

/// How much of a budget is used, as a host counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Requests in the window.
    pub requests: f64,
    /// Extra sends that were taken in the window.
    pub extra_sends: f64,
    /// Extra sends that this host may take in the window.
    pub allowed_sends: f64,
}

/// Budget of one host's extra sends to one service.
#[derive(Debug, Default)]
pub struct Budget {
    /// Sub-windows in which requests were counted or extra sends were tried. Invariant: numbers
    /// ascend.
    sub_windows: VecDeque<SubWindow>,
}

impl Budget {
    /// Counts a request.
    pub fn record_request(&mut self, limits: &WindowLimits, now: Duration) {
        self.current_sub_window(limits, now).requests += 1.0;
    }

    /// Takes one extra send if one is left for this host among `host_count`, and returns whether it
    /// did. `slack_sends` is not used while the count is unknown, nor in a host's first window,
    /// because an earlier run of the host may have used its part.
    pub fn try_take(
        &mut self,
        limits: &WindowLimits,
        host_count: Option<usize>,
        now: Duration,
    ) -> bool {
        let usage = self.usage(limits, host_count, now);
        if usage.extra_sends + 1.0 > usage.allowed_sends {
            return false;
        }
        self.current_sub_window(limits, now).extra_sends += 1.0;
        true
    }

    /// Returns how much of the budget is used at `now`.
    pub fn usage(
        &mut self,
        limits: &WindowLimits,
        host_count: Option<usize>,
        now: Duration,
    ) -> Usage {
        self.current_sub_window(limits, now);
        let sum = |value: fn(&SubWindow) -> f64| self.sub_windows.iter().map(value).sum();
        let requests: f64 = sum(|sub_window| sub_window.requests);
        let slack_sends = match host_count {
            Some(host_count) if now >= limits.window => {
                limits.slack_sends / host_count.max(1) as f64
            }
            Some(_) | None => 0.0,
        };
        Usage {
            requests,
            extra_sends: sum(|sub_window| sub_window.extra_sends),
            allowed_sends: USED_FRACTION * (limits.ratio * requests + slack_sends),
        }
    }

    /// Returns the current sub-window after dropping those before the window.
    fn current_sub_window(&mut self, limits: &WindowLimits, now: Duration) -> &mut SubWindow {
        let length = (limits.window / SUB_WINDOWS).max(Duration::from_millis(1));
        let number = (now.as_nanos() / length.as_nanos()) as u64;
        while self
            .sub_windows
            .front()
            .is_some_and(|sub_window| sub_window.number + u64::from(SUB_WINDOWS) < number)
        {
            self.sub_windows.pop_front();
        }
        if self
            .sub_windows
            .back()
            .is_none_or(|sub_window| sub_window.number < number)
        {
            self.sub_windows.push_back(SubWindow {
                number,
                ..SubWindow::default()
            });
        }
        self.sub_windows
            .back_mut()
            .expect("a sub-window was pushed")
    }
}
