//! Quarantine of prompt parts under which engines end.
//!
//! An engine that ends doesn't say why, and its end is an event of the engine as often as one of a
//! request. A part of a prompt is blamed only for ends that follow one another: a request with the
//! part was sent when earlier ends were known, and its engine ended too before it had written for
//! long. Engines that end together count once. One answer refutes all earlier evidence, because a
//! part that ends engines ends each of them. A part that was answered before needs more evidence: it
//! may have been on the engines that another one ended.
//!
//! Hosts merge their states. A state is replaced only by a later one, in the order of
//! their ranks, so that messages may be lost, repeated or reordered.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
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
const QUARANTINE_POINTS: u32 = 6;
/// The same for a part that was answered before.
const QUARANTINE_POINTS_ANSWERED: u32 = 12;
/// Time for which a part is quarantined before the first trial. It is short because a part may only
/// have been on the engines that another one ended.
const QUARANTINE_TIME_FIRST: Duration = Duration::from_secs(1);
/// Time for which a part is quarantined after the first failed trial. It doubles with each further
/// one.
const QUARANTINE_TIME_MIN: Duration = Duration::from_secs(30);
/// Longest time for which a part is quarantined before the next trial.
const QUARANTINE_TIME_MAX: Duration = Duration::from_secs(3600);
/// Time without a result after which another request may be the trial.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which evidence that did not suffice, or a refutation, is forgotten. Evidence that
/// suffices lasts for at least this time.
const RETENTION_TIME: Duration = Duration::from_secs(120);
/// Most parts with a state. An attacker can name as many parts as it likes.
const PARTS_MAX: usize = 512;
/// Number of parts after which a generation of answered parts ends. Two generations are remembered.
const ANSWERED_GENERATION_PARTS: usize = 512;
/// Time after which a generation of answered parts ends.
const ANSWERED_GENERATION_TIME: Duration = Duration::from_secs(60);

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
    /// Evidence that the part ends engines.
    pub points: u32,
    /// Whether a host knows of an answer to a request with the part.
    pub was_answered: bool,
    /// Number of trials that ended an engine.
    pub failed_trials: u32,
    /// Time since the state last changed.
    pub age: Duration,
}

impl PartState {
    /// Returns whether requests with the part are refused.
    pub fn is_quarantined(&self) -> bool {
        self.points >= required_points(self.was_answered)
    }
}

/// Returns the evidence from which on a part is quarantined.
fn required_points(was_answered: bool) -> u32 {
    match was_answered {
        true => QUARANTINE_POINTS_ANSWERED,
        false => QUARANTINE_POINTS,
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    round: u32,
    points: u32,
    was_answered: bool,
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
        self.points >= required_points(self.was_answered)
    }

    /// Returns how long requests are refused before a trial.
    fn quarantine_time(&self) -> Duration {
        let Some(doublings) = self.failed_trials.checked_sub(1) else {
            return QUARANTINE_TIME_FIRST;
        };
        let factor = 1u32.checked_shl(doublings).unwrap_or(u32::MAX);
        QUARANTINE_TIME_MIN
            .saturating_mul(factor)
            .min(QUARANTINE_TIME_MAX)
    }

    fn state(&self, part: &PartId, now: Instant) -> PartState {
        PartState {
            part: part.clone(),
            round: self.round,
            points: self.points,
            was_answered: self.was_answered,
            failed_trials: self.failed_trials,
            age: now.saturating_duration_since(self.changed_at),
        }
    }
}

/// What was known about the parts of a request when it was admitted to be sent.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    /// The parts that had a state.
    known: Vec<KnownPart>,
}

#[derive(Clone, Debug)]
struct KnownPart {
    part: PartId,
    round: u32,
    points: u32,
    /// Whether the part was quarantined, so that the request is its trial.
    is_trial: bool,
}

impl Admission {
    /// Returns whether the request is the trial of a quarantined part.
    pub fn is_trial(&self) -> bool {
        self.known.iter().any(|known| known.is_trial)
    }

    /// Returns what was known about a part in `round`.
    fn known(&self, part: &PartId, round: u32) -> Option<&KnownPart> {
        self.known
            .iter()
            .find(|known| known.part == *part && known.round == round)
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

/// What a merged state changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// Whether the part has become quarantined.
    pub is_newly_quarantined: bool,
    /// Whether this host knows of an answer, and the host that sent the state doesn't.
    pub adds_answer: bool,
}

/// The states of prompt parts, as one host knows them.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// States by part. Invariant: at most [`PARTS_MAX`].
    entries: HashMap<PartId, Entry>,
    answered: AnsweredParts,
}

/// The parts that this host saw answered lately.
#[derive(Debug, Default)]
struct AnsweredParts {
    /// Invariant: at most [`ANSWERED_GENERATION_PARTS`].
    current: HashSet<PartId>,
    previous: HashSet<PartId>,
    /// When the current generation began; `None` before the first answer.
    began_at: Option<Instant>,
}

impl AnsweredParts {
    fn insert(&mut self, part: &PartId, now: Instant) {
        let began_at = *self.began_at.get_or_insert(now);
        if self.current.len() >= ANSWERED_GENERATION_PARTS
            || now.saturating_duration_since(began_at) > ANSWERED_GENERATION_TIME
        {
            self.previous = std::mem::take(&mut self.current);
            self.began_at = Some(now);
        }
        if !self.current.contains(part) {
            self.current.insert(part.clone());
        }
    }

    fn contains(&self, part: &PartId) -> bool {
        self.current.contains(part) || self.previous.contains(part)
    }
}

impl Quarantine {
    /// Returns the number of quarantined parts.
    pub fn quarantined_count(&self) -> usize {
        let quarantined = self.entries.values().filter(|entry| entry.is_quarantined());
        quarantined.count()
    }

    /// Admits a request with `parts`, or refuses it. `may_try` tells, by the time since the state of a
    /// part changed, whether this host is the one to try a part whose quarantine time is over; it
    /// admits one request at a time.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if a part is quarantined.
    pub fn admit(
        &mut self,
        parts: &[PartId],
        now: Instant,
        may_try: impl Fn(&PartId, Duration) -> bool,
    ) -> Result<Admission, Refusal> {
        let mut admission = Admission::default();
        if self.entries.is_empty() {
            return Ok(admission);
        }
        let is_suspect = |part: &&PartId| {
            let entry = self.entries.get(*part);
            entry.is_some_and(|entry| entry.points > 0)
        };
        // The end of an engine in a trial would confirm the evidence against one part for what another
        // may have done.
        let may_be_trial = parts.iter().filter(is_suspect).count() <= 1;
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
                if !may_be_trial || !trial_time_left.is_zero() || !may_try(part, age) {
                    return Err(refusal(trial_time_left.max(TRIAL_TIMEOUT / 2)));
                }
            }
            admission.known.push(KnownPart {
                part: part.clone(),
                round: entry.round,
                points: entry.points,
                is_trial: entry.is_quarantined(),
            });
        }
        for known in admission.known.iter().filter(|known| known.is_trial) {
            if let Some(entry) = self.entries.get_mut(&known.part) {
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
                let known = admission.known(part, entry.round);
                entry.is_quarantined() && !known.is_some_and(|known| known.is_trial)
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
            let known = admission.known(part, round);
            let is_trial = known.is_some_and(|known| known.is_trial);
            let points = known.map_or(0, |known| known.points) + progress.points();
            let points = points.min(QUARANTINE_POINTS_ANSWERED);
            let entry = match self.entries.get_mut(part) {
                Some(entry) => entry,
                None if is_explained => continue,
                None => {
                    self.make_room();
                    self.entries.entry(part.clone()).or_insert(Entry {
                        round,
                        points: 0,
                        was_answered: self.answered.contains(part),
                        failed_trials: 0,
                        changed_at: now,
                        tried_at: None,
                    })
                }
            };
            if is_trial {
                entry.failed_trials = entry.failed_trials.saturating_add(1);
            } else if points <= entry.points || (is_explained && !entry.is_quarantined()) {
                continue;
            }
            entry.points = entry.points.max(points);
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
            self.answered.insert(part, now);
            if let Some(entry) = self.entries.get_mut(part)
                && entry.points > 0
            {
                refuted.push(entry.state(part, now));
                *entry = Entry {
                    round: entry.round.saturating_add(1),
                    points: 0,
                    was_answered: true,
                    failed_trials: 0,
                    changed_at: now,
                    tried_at: None,
                };
            }
        }
        refuted
    }

    /// Returns the evidence of a part that was quarantined by a host whose memory is lost.
    pub fn restored_points() -> u32 {
        QUARANTINE_POINTS_ANSWERED
    }

    /// Merges the state of a part that another host knows.
    pub fn merge(&mut self, state: &PartState, now: Instant) -> Merged {
        let changed_at = now.checked_sub(state.age).unwrap_or(now);
        let merged = Entry {
            round: state.round,
            points: state.points.min(QUARANTINE_POINTS_ANSWERED),
            was_answered: state.was_answered,
            failed_trials: state.failed_trials,
            changed_at,
            tried_at: None,
        };
        if is_expired(&merged, now) {
            return Merged::default();
        }
        let knows_answer = self.answered.contains(&state.part);
        let entry = match self.entries.get_mut(&state.part) {
            Some(entry) => entry,
            None => {
                self.make_room();
                self.entries.entry(state.part.clone()).or_insert(Entry {
                    points: 0,
                    ..merged
                })
            }
        };
        let was_quarantined = entry.is_quarantined();
        let was_answered = entry.was_answered || state.was_answered || knows_answer;
        if merged.rank() > entry.rank() {
            *entry = merged;
        }
        entry.was_answered = was_answered;
        Merged {
            is_newly_quarantined: entry.is_quarantined() && !was_quarantined,
            adds_answer: knows_answer && !state.was_answered,
        }
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
                entry.points = required_points(entry.was_answered) - Progress::Begun.points();
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
    let lifetime = match entry.is_quarantined() {
        true => RETENTION_TIME.max(2 * entry.quarantine_time()),
        false => RETENTION_TIME,
    };
    age > lifetime
}
