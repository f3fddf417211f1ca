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

/// Fraction of `slack_sends` that is kept for [`Need::Resume`], also in a host's first window. Invariant:
/// an earlier run of the host that used [`USED_FRACTION`] and this one, and the first window of the next
/// run together use at most `slack_sends`.
const KEPT_FRACTION: f64 = 0.1;
/// Share of the budget up to which hedges are sent.
const HEDGE_SHARE: f64 = 0.5;

/// What an extra send is needed for. Requests with more to lose may use more of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Another attempt goes on, and may still be answered first.
    Hedge,
    /// No attempt goes on, and the caller has nothing of the answer but its head.
    Replace,
    /// No attempt goes on, and the caller has part of an answer, which would be cut.
    Resume,
}

impl Need {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Hedge => "hedge",
            Self::Replace => "replace",
            Self::Resume => "resume",
        }
    }
}

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
    /// Extra sends that this host may take in the window for the need in question.
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
    /// did. `slack_sends` is not used while the count is unknown, and hardly in a host's first window,
    /// because an earlier run of the host may have used its part.
    pub fn try_take(
        &mut self,
        limits: &WindowLimits,
        host_count: Option<usize>,
        now: Duration,
        need: Need,
    ) -> bool {
        let usage = self.usage(limits, host_count, now, need);
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
        need: Need,
    ) -> Usage {
        self.current_sub_window(limits, now);
        let sum = |value: fn(&SubWindow) -> f64| self.sub_windows.iter().map(value).sum();
        let requests: f64 = sum(|sub_window| sub_window.requests);
        let slack_sends = host_count.map_or(0.0, |count| limits.slack_sends / count.max(1) as f64);
        // An earlier run of this host may have used its part of the same window.
        let used_slack_sends = match now >= limits.window {
            true => slack_sends,
            false => 0.0,
        };
        let shared_sends = USED_FRACTION * (limits.ratio * requests + used_slack_sends);
        let allowed_sends = match need {
            Need::Hedge => HEDGE_SHARE * shared_sends,
            Need::Replace => shared_sends,
            Need::Resume => shared_sends + KEPT_FRACTION * slack_sends,
        };
        Usage {
            requests,
            extra_sends: sum(|sub_window| sub_window.extra_sends),
            allowed_sends,
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
