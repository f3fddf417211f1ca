//! Quarantine of prompt parts under which engines end.
//!
//! An engine that ends doesn't say why, and its end is an event of the engine as often as one of a
//! request. A part of a prompt is blamed only for ends that follow one another: a request with the
//! part was sent when earlier ends were known, and its engine ended too before it had written for
//! long. Engines that end together count once. One answer refutes all earlier evidence, because a
//! part that ends engines ends each of them.
//!
//! Hosts merge their states. A state is replaced only by a later one, in the order of
//! their ranks, so that messages may be lost, repeated or reordered.

use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

use crate::id::PartId;

#[cfg(test)]
mod tests;

/// Evidence from which on a part is quarantined: three ends in sequence that each took an engine
/// which had begun to answer.
pub const QUARANTINE_POINTS: u32 = 6;
/// Time for which a part is quarantined at first. It doubles with each failed trial.
const QUARANTINE_TIME_MIN: Duration = Duration::from_secs(15);
/// Longest time for which a part is quarantined before the next trial.
const QUARANTINE_TIME_MAX: Duration = Duration::from_secs(3600);
/// Time without a result after which another request may be the trial.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which evidence that did not suffice, or a refutation, is forgotten.
const RETENTION_TIME: Duration = Duration::from_secs(120);
/// Most parts with a state. An attacker can name as many parts as it likes.
const PARTS_MAX: usize = 512;

/// How far an engine had come with a request when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It had not answered yet, so that other requests are more likely to be the cause.
    Unanswered,
    /// It had begun to answer.
    Begun,
}

impl Progress {
    fn points(self) -> u32 {
        match self {
            Self::Unanswered => 1,
            Self::Begun => 2,
        }
    }
}

/// State of a part, as hosts share it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartState {
    /// The part.
    pub part: PartId,
    /// Number of times that the evidence was refuted or lowered. Evidence counts within one round.
    pub round: u32,
    /// Evidence that the part ends engines, at most [`QUARANTINE_POINTS`].
    pub points: u32,
    /// Number of trials that ended an engine.
    pub failed_trials: u32,
    /// Time since the state last changed.
    pub age: Duration,
}

impl PartState {
    /// Returns whether requests with the part are refused.
    pub fn is_quarantined(&self) -> bool {
        self.points >= QUARANTINE_POINTS
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    round: u32,
    points: u32,
    failed_trials: u32,
    changed_at: Instant,
    /// When this host last admitted a request as a trial; `None` before the first in this state.
    tried_at: Option<Instant>,
}

impl Entry {
    /// Returns the position in the order in which states replace one another.
    fn rank(&self) -> (u32, u32, u32) {
        (self.round, self.points, self.failed_trials)
    }

    fn is_quarantined(&self) -> bool {
        self.points >= QUARANTINE_POINTS
    }

    /// Returns how long requests are refused before a trial.
    fn quarantine_time(&self) -> Duration {
        let factor = 1u32.checked_shl(self.failed_trials).unwrap_or(u32::MAX);
        QUARANTINE_TIME_MIN
            .saturating_mul(factor)
            .min(QUARANTINE_TIME_MAX)
    }

    fn state(&self, part: &PartId, now: Instant) -> PartState {
        PartState {
            part: part.clone(),
            round: self.round,
            points: self.points,
            failed_trials: self.failed_trials,
            age: now.saturating_duration_since(self.changed_at),
        }
    }
}

/// What was known about the parts of a request when it was admitted to be sent.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    /// Round and points of the parts that had a state.
    known: Vec<(PartId, u32, u32)>,
}

impl Admission {
    /// Returns the points that a part had in `round`.
    fn points(&self, part: &PartId, round: u32) -> u32 {
        self.known
            .iter()
            .find(|(known, known_round, _)| known == part && *known_round == round)
            .map_or(0, |(_, _, points)| *points)
    }
}

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The quarantined part.
    pub part: PartId,
    /// Time until a request with the part may be tried.
    pub retry_after: Duration,
}

/// The states of prompt parts, as one host knows them.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// States by part. Invariant: at most [`PARTS_MAX`].
    entries: HashMap<PartId, Entry>,
}

impl Quarantine {
    /// Returns whether no part has a state.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of quarantined parts.
    pub fn quarantined_count(&self) -> usize {
        let quarantined = self.entries.values().filter(|entry| entry.is_quarantined());
        quarantined.count()
    }

    /// Admits a request with `parts`, or refuses it. `may_try` tells whether this host is the one
    /// that tries a part whose quarantine time is over; it admits one request at a time.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if a part is quarantined.
    pub fn admit(
        &mut self,
        parts: &[PartId],
        now: Instant,
        may_try: impl Fn(&PartId) -> bool,
    ) -> Result<Admission, Refusal> {
        let mut admission = Admission::default();
        if self.entries.is_empty() {
            return Ok(admission);
        }
        for part in parts {
            let Some(entry) = self.entries.get(part) else {
                continue;
            };
            if entry.is_quarantined() {
                let age = now.saturating_duration_since(entry.changed_at);
                let time_left = entry.quarantine_time().saturating_sub(age);
                let trial_time_left = entry.tried_at.map_or(Duration::ZERO, |tried_at| {
                    TRIAL_TIMEOUT.saturating_sub(now.saturating_duration_since(tried_at))
                });
                let refusal = |retry_after| Refusal {
                    part: part.clone(),
                    retry_after,
                };
                if !time_left.is_zero() {
                    return Err(refusal(time_left));
                }
                if !trial_time_left.is_zero() || !may_try(part) {
                    return Err(refusal(trial_time_left.max(TRIAL_TIMEOUT / 2)));
                }
            }
            admission
                .known
                .push((part.clone(), entry.round, entry.points));
        }
        for (part, ..) in &admission.known {
            if let Some(entry) = self.entries.get_mut(part)
                && entry.is_quarantined()
            {
                entry.tried_at = Some(now);
            }
        }
        Ok(admission)
    }

    /// Returns the part for which an admitted request must not be sent any more, because it has been
    /// quarantined since.
    pub fn quarantined_since<'a>(
        &self,
        admission: &Admission,
        parts: &'a [PartId],
    ) -> Option<&'a PartId> {
        parts.iter().find(|part| {
            self.entries.get(*part).is_some_and(|entry| {
                entry.is_quarantined() && admission.points(part, entry.round) < QUARANTINE_POINTS
            })
        })
    }

    /// Records that an engine ended before it had written for long on a request with `parts`.
    /// Returns the states that changed.
    pub fn record_end(
        &mut self,
        parts: &[PartId],
        admission: &Admission,
        progress: Progress,
        now: Instant,
    ) -> Vec<PartState> {
        // A part that is known to end engines explains the end; the other parts aren't blamed.
        let is_explained = parts
            .iter()
            .any(|part| self.entries.get(part).is_some_and(Entry::is_quarantined));
        let mut changed = Vec::new();
        for part in parts {
            let round = self.entries.get(part).map_or(0, |entry| entry.round);
            let known_points = admission.points(part, round);
            let points = (known_points + progress.points()).min(QUARANTINE_POINTS);
            let entry = match self.entries.get_mut(part) {
                Some(entry) => entry,
                None if is_explained => continue,
                None => {
                    self.make_room();
                    self.entries.entry(part.clone()).or_insert(Entry {
                        round,
                        points: 0,
                        failed_trials: 0,
                        changed_at: now,
                        tried_at: None,
                    })
                }
            };
            if known_points >= QUARANTINE_POINTS {
                entry.failed_trials = entry.failed_trials.saturating_add(1);
            } else if points <= entry.points || (is_explained && !entry.is_quarantined()) {
                continue;
            }
            entry.points = points;
            entry.changed_at = now;
            entry.tried_at = None;
            changed.push(entry.state(part, now));
        }
        changed
    }

    /// Records that an engine answered a request with `parts` and kept running. Returns the states
    /// that this refuted, as they were.
    pub fn record_answer(&mut self, parts: &[PartId], now: Instant) -> Vec<PartState> {
        let mut refuted = Vec::new();
        for part in parts {
            if let Some(entry) = self.entries.get_mut(part)
                && entry.points > 0
            {
                refuted.push(entry.state(part, now));
                *entry = Entry {
                    round: entry.round.saturating_add(1),
                    points: 0,
                    failed_trials: 0,
                    changed_at: now,
                    tried_at: None,
                };
            }
        }
        refuted
    }

    /// Merges the state of a part that another host knows. Returns whether the known state changed.
    pub fn merge(&mut self, state: &PartState, now: Instant) -> bool {
        let changed_at = now.checked_sub(state.age).unwrap_or(now);
        let merged = Entry {
            round: state.round,
            points: state.points.min(QUARANTINE_POINTS),
            failed_trials: state.failed_trials,
            changed_at,
            tried_at: None,
        };
        if is_expired(&merged, now) {
            return false;
        }
        match self.entries.get_mut(&state.part) {
            Some(entry) if entry.rank() >= merged.rank() => return false,
            Some(entry) => *entry = merged,
            None => {
                self.make_room();
                self.entries.insert(state.part.clone(), merged);
            }
        }
        true
    }

    /// Returns the states to share, at most `count`: those with the most evidence first, then the
    /// latest.
    pub fn shared(&self, count: usize, now: Instant) -> Vec<PartState> {
        let mut states: Vec<PartState> = self
            .entries
            .iter()
            .map(|(part, entry)| entry.state(part, now))
            .collect();
        states.sort_by(|left, right| {
            let key = |state: &PartState| (std::cmp::Reverse(state.points), state.age);
            key(left)
                .cmp(&key(right))
                .then_with(|| left.part.cmp(&right.part))
        });
        states.truncate(count);
        states
    }

    /// Returns the states of all quarantined parts.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = PartState> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.is_quarantined())
            .map(move |(part, entry)| entry.state(part, now))
    }

    /// Forgets old evidence, and lowers that of quarantined parts which nobody has tried for long,
    /// so that the next end under them suffices. Returns the states of the parts that are no longer
    /// quarantined.
    pub fn expire(&mut self, now: Instant) -> Vec<PartState> {
        let mut lowered = Vec::new();
        for (part, entry) in &mut self.entries {
            if entry.is_quarantined() && is_expired(entry, now) {
                entry.round = entry.round.saturating_add(1);
                entry.points = QUARANTINE_POINTS - Progress::Begun.points();
                entry.changed_at = now;
                entry.tried_at = None;
                lowered.push(entry.state(part, now));
            }
        }
        self.entries.retain(|_, entry| !is_expired(entry, now));
        lowered
    }

    /// Forgets the part with the least evidence, the oldest among equals, if there is no room for
    /// another one.
    fn make_room(&mut self) {
        if self.entries.len() < PARTS_MAX {
            return;
        }
        let least = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| (entry.points, entry.changed_at))
            .map(|(part, _)| part.clone());
        if let Some(part) = least {
            self.entries.remove(&part);
        }
    }
}

/// Returns whether a state is too old to count.
fn is_expired(entry: &Entry, now: Instant) -> bool {
    let age = now.saturating_duration_since(entry.changed_at);
    match entry.is_quarantined() {
        true => age > 2 * entry.quarantine_time(),
        false => age > RETENTION_TIME,
    }
}
