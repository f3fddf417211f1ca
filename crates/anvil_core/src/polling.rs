//! Decides which target to poll next for its load report or cache events, at a bounded rate.
//!
//! Each poll has an interval at which it would be made if the rate were unbounded. The poll that is
//! overdue by the largest factor is made next. With few targets, each poll is made once per
//! interval; with many, the bound on the rate lengthens all intervals by the same factor. See
//! `docs/design/listing.md`.

use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

use foldhash::fast::FixedState;

use crate::id::TargetId;

#[cfg(test)]
mod tests;

/// Interval between polls for cache events as a multiple of the report interval.
const CACHE_EVENTS_FACTOR: u32 = 4;
/// Interval between polls for load reports as a multiple of the report interval while the target's
/// answers to steps reveal its load.
const RECENT_STEPS_FACTOR: u32 = 4;

/// Settings of a [`Schedule`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time between two load reports of a target, unless the limit on calls lengthens it.
    /// Invariant: above 0.
    pub report_interval: Duration,
    /// Largest number of calls per second to all targets together. Invariant: above 0.
    pub limit_calls_per_s: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_millis(500),
            limit_calls_per_s: 16,
        }
    }
}

/// What a target is polled for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PollKind {
    /// The target's load report.
    Load,
    /// The target's cache events.
    CacheEvents,
}

/// Whether a target's answers to steps reveal its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StepActivity {
    /// The target answered steps recently.
    Recent,
    /// The target answered no steps recently.
    Idle,
}

#[derive(Clone, Copy, Debug, Default)]
struct LastPolls {
    load_at: Option<Instant>,
    cache_events_at: Option<Instant>,
}

impl LastPolls {
    fn at_mut(&mut self, kind: PollKind) -> &mut Option<Instant> {
        match kind {
            PollKind::Load => &mut self.load_at,
            PollKind::CacheEvents => &mut self.cache_events_at,
        }
    }
}

/// When each target was last polled, by kind of poll.
#[derive(Debug)]
pub struct Schedule {
    settings: Settings,
    last_polls: HashMap<TargetId, LastPolls, FixedState>,
}

impl Schedule {
    /// Creates a schedule in which no target has been polled.
    ///
    /// # Panics
    ///
    /// Panics if `settings` violates an invariant.
    pub fn new(settings: Settings) -> Self {
        assert!(
            !settings.report_interval.is_zero(),
            "report_interval is zero"
        );
        assert!(settings.limit_calls_per_s > 0, "limit_calls_per_s is 0");
        Self {
            settings,
            last_polls: HashMap::default(),
        }
    }

    /// Returns the time between two calls at the largest rate.
    pub fn call_interval(&self) -> Duration {
        Duration::from_secs(1) / self.settings.limit_calls_per_s
    }

    /// Returns the most overdue poll and records it as made now, or returns `None` if none is due.
    pub fn next<'a>(
        &mut self,
        targets: impl IntoIterator<Item = (&'a TargetId, StepActivity)>,
        now: Instant,
    ) -> Option<(TargetId, PollKind)> {
        let mut best: Option<(f64, &TargetId, PollKind)> = None;
        for (target, step_activity) in targets {
            let mut last_polls = self.last_polls.get(target).copied().unwrap_or_default();
            for kind in [PollKind::Load, PollKind::CacheEvents] {
                let overdue = match *last_polls.at_mut(kind) {
                    // A target that was never polled comes first, its load report before its cache
                    // events.
                    None if kind == PollKind::Load => f64::INFINITY,
                    None => f64::MAX,
                    Some(polled_at) => {
                        let elapsed = now.saturating_duration_since(polled_at);
                        elapsed.as_secs_f64() / self.interval(kind, step_activity).as_secs_f64()
                    }
                };
                let is_due = overdue >= 1.0;
                if is_due && best.is_none_or(|(max_overdue, _, _)| overdue > max_overdue) {
                    best = Some((overdue, target, kind));
                }
            }
        }
        let (_, target, kind) = best?;
        let last_polls = self.last_polls.entry(target.clone()).or_default();
        *last_polls.at_mut(kind) = Some(now);
        Some((target.clone(), kind))
    }

    /// Removes the targets that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&TargetId) -> bool) {
        self.last_polls.retain(|target, _| is_known(target));
    }

    fn interval(&self, kind: PollKind, step_activity: StepActivity) -> Duration {
        let report_interval = self.settings.report_interval;
        match (kind, step_activity) {
            (PollKind::Load, StepActivity::Idle) => report_interval,
            (PollKind::Load, StepActivity::Recent) => report_interval * RECENT_STEPS_FACTOR,
            (PollKind::CacheEvents, _) => report_interval * CACHE_EVENTS_FACTOR,
        }
    }
}
