//! Decides which target to ask next for its load report or cache events, at a bounded rate.
//!
//! Each question has a period at which it would be asked if calls were free; the one that is
//! overdue by the largest factor goes next. With few targets each is asked once a period; with
//! many the bound on calls stretches all periods alike. See `docs/design/listing.md`.

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

/// Periods between cache events as a multiple of those between load reports.
const CACHE_EVENTS_FACTOR: u32 = 4;
/// Stretch of a period where the target's answers to steps tell of its load.
const HEARD_FACTOR: u32 = 4;

/// Settings of a [`Schedule`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time between two load reports of a target, calls permitting. Invariant: above 0.
    pub report_interval: Duration,
    /// Most calls a second, over all targets. Invariant: above 0.
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

/// What to ask a target for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PollKind {
    /// Its load report.
    Load,
    /// Its cache events.
    CacheEvents,
}

/// Whether a target's answers to steps tell of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StepActivity {
    /// Steps were answered lately.
    Recent,
    /// None was.
    Idle,
}

#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    load_at: Option<Instant>,
    cache_events_at: Option<Instant>,
}

impl Asked {
    fn at(&mut self, question: PollKind) -> &mut Option<Instant> {
        match question {
            PollKind::Load => &mut self.load_at,
            PollKind::CacheEvents => &mut self.cache_events_at,
        }
    }
}

/// When each target was last asked.
#[derive(Debug)]
pub struct Schedule {
    settings: Settings,
    asked: HashMap<TargetId, Asked, FixedState>,
}

impl Schedule {
    /// Starts with no target asked.
    ///
    /// # Panics
    ///
    /// Settings that break their invariants.
    pub fn new(settings: Settings) -> Self {
        assert!(
            !settings.report_interval.is_zero(),
            "report_interval is zero"
        );
        assert!(settings.limit_calls_per_s > 0, "limit_calls_per_s is 0");
        Self {
            settings,
            asked: HashMap::default(),
        }
    }

    /// Time between two calls.
    pub fn call_interval(&self) -> Duration {
        Duration::from_secs(1) / self.settings.limit_calls_per_s
    }

    /// The most overdue question, noted as asked; nothing where none is due.
    pub fn next<'a>(
        &mut self,
        targets: impl IntoIterator<Item = (&'a TargetId, StepActivity)>,
        now: Instant,
    ) -> Option<(TargetId, PollKind)> {
        let mut best: Option<(f64, &TargetId, PollKind)> = None;
        for (target, step_activity) in targets {
            let mut asked = self.asked.get(target).copied().unwrap_or_default();
            for question in [PollKind::Load, PollKind::CacheEvents] {
                let overdue = match *asked.at(question) {
                    // A target never asked goes first, its load before its cache.
                    None if question == PollKind::Load => f64::INFINITY,
                    None => f64::MAX,
                    Some(at) => {
                        let elapsed = now.saturating_duration_since(at);
                        elapsed.as_secs_f64() / self.period(question, step_activity).as_secs_f64()
                    }
                };
                let is_due = overdue >= 1.0;
                if is_due && best.is_none_or(|(most, _, _)| overdue > most) {
                    best = Some((overdue, target, question));
                }
            }
        }
        let (_, target, question) = best?;
        let asked = self.asked.entry(target.clone()).or_default();
        *asked.at(question) = Some(now);
        Some((target.clone(), question))
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&TargetId) -> bool) {
        self.asked.retain(|target, _| is_known(target));
    }

    fn period(&self, question: PollKind, step_activity: StepActivity) -> Duration {
        let report_interval = self.settings.report_interval;
        match (question, step_activity) {
            (PollKind::Load, StepActivity::Idle) => report_interval,
            (PollKind::Load, StepActivity::Recent) => report_interval * HEARD_FACTOR,
            (PollKind::CacheEvents, _) => report_interval * CACHE_EVENTS_FACTOR,
        }
    }
}
