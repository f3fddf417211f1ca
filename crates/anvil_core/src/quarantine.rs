//! Quarantine of whole requests, and of prompt parts, under which targets end.
//!
//! A target that ends doesn't say why, and its end is an event of the target as often as one of a
//! request. What a request has in common with others, a suspect, is blamed only for ends that follow
//! one another: a request with the suspect was sent when earlier ends were known, and its target ended
//! too before it had answered for long. Targets that end together count once under a part, which many
//! requests share; under equal requests, which are seldom on several targets at once, each target
//! counts. One answer refutes all earlier evidence, because a suspect that ends targets ends each of
//! them. An error of the target is no such answer: the request may not have run. A part that was
//! answered before needs more evidence: it may have been on the engines that another one ended.
//!
//! Hosts merge their states. A state is replaced only by a later one, in the order of
//! their ranks, so that messages may be lost, repeated or reordered.

use std::{
    cmp::Reverse,
    collections::{
        HashMap,
        HashSet, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use derive_more::Display;

use crate::id::PartId;

pub use suspect::Suspect;

mod suspect;
pub mod trial_place;

#[cfg(test)]
mod tests;

/// Evidence from which on a suspect is quarantined: three ends in sequence that each took a target
/// which had begun to answer.
const QUARANTINE_POINTS: u32 = 6;
/// The same for a suspect that was answered before.
const QUARANTINE_POINTS_ANSWERED: u32 = 12;
/// Time for which a suspect is quarantined before the first trial. It is short because a suspect may
/// only have been on the targets that another one ended.
const QUARANTINE_TIME_FIRST: Duration = Duration::from_secs(1);
/// Time for which a suspect is quarantined after the first failed trial. It doubles with each further
/// one.
const QUARANTINE_TIME_MIN: Duration = Duration::from_secs(30);
/// Longest time for which a suspect is quarantined before the next trial.
const QUARANTINE_TIME_MAX: Duration = Duration::from_secs(3600);
/// Time without a result after which another request may be the trial.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which evidence that did not suffice, or a refutation, is forgotten. Evidence that
/// suffices lasts for at least this time.
const RETENTION_TIME: Duration = Duration::from_secs(120);
/// Evidence that the end of a further target under equal requests adds.
const REQUEST_END_POINTS: u32 = 2;
/// Most targets that ended under equal requests and are remembered: as many as quarantine a request
/// that was answered before.
const ENDED_TARGETS_MAX: usize = (QUARANTINE_POINTS_ANSWERED / REQUEST_END_POINTS) as usize;
/// Time for which a host tells its peers of a change that quarantines nothing. Several digests reach
/// each of them in this time.
const SHARING_TIME: Duration = Duration::from_secs(8);
/// Most suspects with a state. An attacker can name as many parts as it likes.
const SUSPECTS_MAX: usize = 512;
/// Number of parts after which a generation of answered parts ends. Two generations are remembered.
const ANSWERED_GENERATION_PARTS: usize = 512;
/// Time after which a generation of answered parts ends.
const ANSWERED_GENERATION_TIME: Duration = Duration::from_secs(60);

/// Evidence from which on requests with a part are under suspicion: two ends in sequence. Most requests
/// on an engine that ends have parts which others share.
const PART_SUSPICION_POINTS: u32 = 4;

/// How far a target had come with a request when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It had not answered yet, so that other requests are more likely to be the cause.
    Unanswered,
    /// It had begun to answer, or nothing tells whether it had.
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

/// State of a suspect, as hosts share it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectState {
    /// The suspect.
    pub suspect: Suspect,
    /// Number of times that the evidence was refuted or lowered. Evidence counts within one round.
    pub round: u32,
    /// Evidence that the suspect ends targets.
    pub points: u32,
    /// Whether a host knows of an answer to a request with the suspect.
    pub was_answered: bool,
    /// Number of trials that ended a target.
    pub failed_trials: u32,
    /// Hashes of targets that ended under the suspect, sorted. Invariant: empty for a part, and at most
    /// six for a request.
    pub ended_targets: Vec<u32>,
    /// Time since the state last changed.
    pub age: Duration,
}

impl SuspectState {
    /// Returns whether requests with the suspect are refused.
    pub fn is_quarantined(&self) -> bool {
        self.points >= required_points(self.was_answered)
    }
}

/// Returns the evidence from which on a suspect is quarantined.
fn required_points(was_answered: bool) -> u32 {
    match was_answered {
        true => QUARANTINE_POINTS_ANSWERED,
        false => QUARANTINE_POINTS,
    }
}

#[derive(Clone, Debug)]
struct Entry {
    round: u32,
    points: u32,
    was_answered: bool,
    failed_trials: u32,
    ended_targets: Vec<u32>,
    changed_at: Instant,
    /// When this host last admitted a request as a trial; `None` before the first in this state.
    tried_at: Option<Instant>,
    /// When this host last knew more of the suspect than a peer; `None` if it never did.
    news_at: Option<Instant>,
}

impl Entry {
    /// Returns the position in the order in which states replace one another.
    fn rank(&self) -> (u32, u32, u32) {
        (self.round, self.points, self.failed_trials)
    }

    fn is_quarantined(&self) -> bool {
        self.points >= required_points(self.was_answered)
    }

    /// Adds targets that ended under equal requests. Returns whether one of them was not known.
    fn add_ended_targets(&mut self, targets: &[u32]) -> bool {
        let count_before = self.ended_targets.len();
        for target in targets {
            if let Err(index) = self.ended_targets.binary_search(target)
                && self.ended_targets.len() < ENDED_TARGETS_MAX
            {
                self.ended_targets.insert(index, *target);
            }
        }
        self.ended_targets.len() > count_before
    }

    /// Returns whether peers are to be told of the state.
    fn is_shared(&self, now: Instant) -> bool {
        let is_news = |news_at| now.saturating_duration_since(news_at) < SHARING_TIME;
        self.is_quarantined() || self.news_at.is_some_and(is_news)
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

    fn state(&self, suspect: &Suspect, now: Instant) -> SuspectState {
        SuspectState {
            suspect: suspect.clone(),
            round: self.round,
            points: self.points,
            was_answered: self.was_answered,
            failed_trials: self.failed_trials,
            ended_targets: self.ended_targets.clone(),
            age: now.saturating_duration_since(self.changed_at),
        }
    }
}

/// What was known about the suspects of a request when it was admitted to be sent.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    /// The suspects that had a state.
    known: Vec<KnownSuspect>,
}

#[derive(Clone, Debug)]
struct KnownSuspect {
    suspect: Suspect,
    round: u32,
    points: u32,
    /// Whether the suspect was quarantined, so that the request is its trial.
    is_trial: bool,
}

impl Admission {
    /// Returns whether the request is the trial of a quarantined suspect.
    pub fn is_trial(&self) -> bool {
        self.known.iter().any(|known| known.is_trial)
    }

    /// Returns what was known about a suspect in `round`.
    fn known(&self, suspect: &Suspect, round: u32) -> Option<&KnownSuspect> {
        self.known
            .iter()
            .find(|known| known.suspect == *suspect && known.round == round)
    }
}

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{suspect} is quarantined")]
pub struct Refusal {
    /// What is quarantined.
    pub suspect: Suspect,
    /// Time until a request with the suspect may be tried.
    pub retry_after: Duration,
}

/// What a merged state changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// Whether the suspect has become quarantined.
    pub is_newly_quarantined: bool,
    /// Whether this host knows of an answer, and the host that sent the state doesn't.
    pub adds_answer: bool,
    /// Whether the host that sent the state refuses for evidence that was refuted or lowered since.
    pub is_outdated: bool,
    /// Whether this host knew less evidence against the suspect.
    pub adds_evidence: bool,
}

/// The states of suspects, as one host knows them.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// States by suspect. Invariant: at most [`SUSPECTS_MAX`].
    entries: HashMap<Suspect, Entry>,
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

    /// Returns whether a suspect is such a part. Whole requests aren't remembered: few come again.
    fn contains(&self, suspect: &Suspect) -> bool {
        match suspect {
            Suspect::Part(part) => self.current.contains(part) || self.previous.contains(part),
            Suspect::Request(_) => false,
        }
    }
}

impl Quarantine {
    /// Returns whether no suspect has a state.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of quarantined suspects.
    pub fn quarantined_count(&self) -> usize {
        let quarantined = self.entries.values().filter(|entry| entry.is_quarantined());
        quarantined.count()
    }

    /// Returns whether targets ended under requests equal to one with `suspects`, or several under a part of
    /// its prompt, without an answer since.
    pub fn is_under_suspicion(&self, suspects: &[Suspect]) -> bool {
        suspects.iter().any(|suspect| {
            let points = self.entries.get(suspect).map_or(0, |entry| entry.points);
            match suspect {
                Suspect::Part(_) => points >= PART_SUSPICION_POINTS,
                Suspect::Request(_) => points > 0,
            }
        })
    }

    /// Returns whether a process of a target, given by its hash, ended under a request with a state.
    pub fn has_ended(&self, process_hash: u32) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| entry.ended_targets.contains(&process_hash))
    }

    /// Admits a request with `suspects`, or refuses it. `may_try` tells, by the time since the state of
    /// a suspect changed, whether this host is the one to try a suspect whose quarantine time is over;
    /// it admits one request at a time.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if a suspect is quarantined.
    pub fn admit(
        &mut self,
        suspects: &[Suspect],
        now: Instant,
        may_try: impl Fn(&Suspect, Duration) -> bool,
    ) -> Result<Admission, Refusal> {
        let mut admission = Admission::default();
        if self.entries.is_empty() {
            return Ok(admission);
        }
        for suspect in suspects {
            let Some(entry) = self.entries.get(suspect) else {
                continue;
            };
            if entry.is_quarantined() {
                let age = now.saturating_duration_since(entry.changed_at);
                let time_left = entry.quarantine_time().saturating_sub(age);
                let refusal = |retry_after| Refusal {
                    suspect: suspect.clone(),
                    retry_after,
                };
                if !time_left.is_zero() {
                    return Err(refusal(time_left));
                }
                let trial_time_left = entry.tried_at.map_or(Duration::ZERO, |tried_at| {
                    TRIAL_TIMEOUT.saturating_sub(now.saturating_duration_since(tried_at))
                });
                if !self.may_be_trial(suspects, suspect)
                    || !trial_time_left.is_zero()
                    || !may_try(suspect, age)
                {
                    return Err(refusal(trial_time_left.max(TRIAL_TIMEOUT / 2)));
                }
            }
            admission.known.push(KnownSuspect {
                suspect: suspect.clone(),
                round: entry.round,
                points: entry.points,
                is_trial: entry.is_quarantined(),
            });
        }
        for known in admission.known.iter().filter(|known| known.is_trial) {
            if let Some(entry) = self.entries.get_mut(&known.suspect) {
                entry.tried_at = Some(now);
            }
        }
        Ok(admission)
    }

    /// Returns whether a request with `suspects` may be the trial of one of them. The end of a target in
    /// the trial would confirm the evidence against that one for what another may have done.
    fn may_be_trial(&self, suspects: &[Suspect], tried: &Suspect) -> bool {
        let others = suspects.iter().filter(|suspect| *suspect != tried);
        let mut others = others.filter_map(|suspect| self.entries.get(suspect));
        match tried {
            Suspect::Part(_) => others.all(|entry| entry.points == 0),
            // The parts of equal requests are always the same.
            Suspect::Request(_) => !others.any(Entry::is_quarantined),
        }
    }

    /// Records that an admitted request did not run, so that another one may be the trial.
    pub fn release_trial(&mut self, admission: &Admission) {
        for known in admission.known.iter().filter(|known| known.is_trial) {
            if let Some(entry) = self.entries.get_mut(&known.suspect)
                && entry.round == known.round
            {
                entry.tried_at = None;
            }
        }
    }

    /// Returns the suspect for which an admitted request must not be sent any more, because it has been
    /// quarantined since.
    pub fn quarantined_since<'a>(
        &self,
        admission: &Admission,
        suspects: &'a [Suspect],
    ) -> Option<&'a Suspect> {
        suspects.iter().find(|suspect| {
            self.entries.get(*suspect).is_some_and(|entry| {
                let known = admission.known(suspect, entry.round);
                entry.is_quarantined() && !known.is_some_and(|known| known.is_trial)
            })
        })
    }

    /// Records that a trial ended without showing whether the suspect ends targets. The next one comes as
    /// late as after one that ended a target, because each trial may end one.
    pub fn record_inconclusive_trial(&mut self, admission: &Admission, now: Instant) {
        for known in admission.known.iter().filter(|known| known.is_trial) {
            if let Some(entry) = self.entries.get_mut(&known.suspect)
                && entry.round == known.round
            {
                entry.failed_trials = entry.failed_trials.saturating_add(1);
                entry.changed_at = now;
                entry.tried_at = None;
                entry.news_at = Some(now);
            }
        }
    }

    /// Records that a target, given by the hash of its id, ended before it had answered a request with
    /// `suspects` for long. Returns the states that changed.
    pub fn record_end(
        &mut self,
        suspects: &[Suspect],
        admission: &Admission,
        target_hash: u32,
        progress: Progress,
        now: Instant,
    ) -> Vec<SuspectState> {
        // A suspect that is known to end targets explains the end; the others aren't blamed.
        let is_explained = suspects.iter().any(|suspect| {
            let entry = self.entries.get(suspect);
            entry.is_some_and(Entry::is_quarantined)
        });
        let mut changed = Vec::new();
        for suspect in suspects {
            let round = self.entries.get(suspect).map_or(0, |entry| entry.round);
            let known = admission.known(suspect, round);
            let is_trial = known.is_some_and(|known| known.is_trial);
            let points_in_sequence = known.map_or(0, |known| known.points) + progress.points();
            let entry = match self.entries.get_mut(suspect) {
                Some(entry) => entry,
                None if is_explained => continue,
                None => {
                    self.make_room();
                    self.entries.entry(suspect.clone()).or_insert(Entry {
                        round,
                        points: 0,
                        was_answered: self.answered.contains(suspect),
                        failed_trials: 0,
                        ended_targets: Vec::new(),
                        changed_at: now,
                        tried_at: None,
                        news_at: None,
                    })
                }
            };
            if is_explained && !is_trial && !entry.is_quarantined() {
                continue;
            }
            let points = match suspect {
                Suspect::Part(_) => points_in_sequence,
                Suspect::Request(_) if entry.add_ended_targets(&[target_hash]) => {
                    entry.points + REQUEST_END_POINTS
                }
                Suspect::Request(_) => entry.points,
            };
            let points = points.min(QUARANTINE_POINTS_ANSWERED);
            if is_trial {
                entry.failed_trials = entry.failed_trials.saturating_add(1);
            } else if points <= entry.points {
                continue;
            }
            entry.points = entry.points.max(points);
            entry.changed_at = now;
            entry.tried_at = None;
            entry.news_at = Some(now);
            changed.push(entry.state(suspect, now));
        }
        changed
    }

    /// Quarantines a whole request on evidence that would not suffice by itself, unless `count_max`
    /// requests are quarantined already. Returns its state if it was not quarantined before.
    pub fn quarantine_request(
        &mut self,
        suspect: &Suspect,
        count_max: usize,
        now: Instant,
    ) -> Option<SuspectState> {
        let is_request = |suspect: &Suspect| matches!(suspect, Suspect::Request(_));
        let quarantined = self
            .entries
            .iter()
            .filter(|(suspect, entry)| is_request(suspect) && entry.is_quarantined());
        if !is_request(suspect) || quarantined.count() >= count_max {
            return None;
        }
        let entry = self.entries.get_mut(suspect)?;
        if entry.is_quarantined() || entry.points == 0 {
            return None;
        }
        entry.points = required_points(entry.was_answered);
        entry.news_at = Some(now);
        Some(entry.state(suspect, now))
    }

    /// Records that requests with the parts of a prompt were answered. It does without the other
    /// suspects of the request, and suffices while no suspect has a state.
    pub fn record_answered_parts(&mut self, parts: &[PartId], now: Instant) {
        for part in parts {
            self.answered.insert(part, now);
        }
    }

    /// Records that a target answered a request with `suspects` and kept running. Returns the states
    /// that this refuted, as they were.
    pub fn record_answer(&mut self, suspects: &[Suspect], now: Instant) -> Vec<SuspectState> {
        let mut refuted = Vec::new();
        for suspect in suspects {
            if let Suspect::Part(part) = suspect {
                self.answered.insert(part, now);
            }
            if let Some(entry) = self.entries.get_mut(suspect)
                && entry.points > 0
            {
                refuted.push(entry.state(suspect, now));
                *entry = Entry {
                    round: entry.round.saturating_add(1),
                    points: 0,
                    was_answered: true,
                    failed_trials: 0,
                    ended_targets: Vec::new(),
                    changed_at: now,
                    tried_at: None,
                    news_at: Some(now),
                };
            }
        }
        refuted
    }

    /// Returns the evidence of a suspect that was quarantined by a host whose memory is lost.
    pub fn restored_points() -> u32 {
        QUARANTINE_POINTS_ANSWERED
    }

    /// Merges the state of a suspect that another host knows.
    pub fn merge(&mut self, state: &SuspectState, now: Instant) -> Merged {
        let changed_at = now.checked_sub(state.age).unwrap_or(now);
        let merged = Entry {
            round: state.round,
            points: state.points.min(QUARANTINE_POINTS_ANSWERED),
            was_answered: state.was_answered,
            failed_trials: state.failed_trials,
            ended_targets: state.ended_targets.clone(),
            changed_at,
            tried_at: None,
            news_at: None,
        };
        if is_expired(&merged, now) {
            return Merged::default();
        }
        let knows_answer = self.answered.contains(&state.suspect);
        let entry = match self.entries.get_mut(&state.suspect) {
            Some(entry) => entry,
            None => {
                self.make_room();
                self.entries.entry(state.suspect.clone()).or_insert(Entry {
                    points: 0,
                    ended_targets: Vec::new(),
                    ..merged.clone()
                })
            }
        };
        let was_quarantined = entry.is_quarantined();
        let (round_before, points_before) = (entry.round, entry.points);
        let was_answered = entry.was_answered || state.was_answered || knows_answer;
        let is_same_round = merged.round == entry.round;
        let ended_targets = std::mem::take(&mut entry.ended_targets);
        // The peer refuses for evidence that this host knows to be refuted.
        let is_outdated = state.is_quarantined() && merged.round < entry.round;
        let adds_answer = knows_answer && !state.was_answered;
        let news_at = match is_outdated || adds_answer {
            true => Some(now),
            false => entry.news_at,
        };
        match merged.rank() > entry.rank() {
            true => {
                *entry = merged;
                if is_same_round {
                    entry.add_ended_targets(&ended_targets);
                }
            }
            false => {
                entry.ended_targets = ended_targets;
                if is_same_round && entry.add_ended_targets(&merged.ended_targets) {
                    entry.changed_at = entry.changed_at.max(merged.changed_at);
                }
            }
        }
        let ends = u32::try_from(entry.ended_targets.len()).unwrap_or(u32::MAX);
        entry.points = entry.points.max(ends.saturating_mul(REQUEST_END_POINTS));
        entry.was_answered = was_answered;
        entry.news_at = news_at;
        Merged {
            is_newly_quarantined: entry.is_quarantined() && !was_quarantined,
            adds_answer,
            is_outdated,
            adds_evidence: entry.points > 0
                && (entry.round, entry.points) > (round_before, points_before),
        }
    }

    /// Makes this host tell peers of a state that it has from another one.
    pub fn relay(&mut self, suspect: &Suspect, now: Instant) {
        if let Some(entry) = self.entries.get_mut(suspect) {
            entry.news_at = Some(now);
        }
    }

    /// Returns the states to share, at most `count` of parts and `count` of requests: what is
    /// quarantined, then the news of this host, with most evidence and the latest first.
    pub fn shared(&self, count: usize, now: Instant) -> Vec<SuspectState> {
        let (mut parts, mut requests): (Vec<_>, Vec<_>) = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_shared(now))
            .map(|(suspect, entry)| entry.state(suspect, now))
            .partition(|state| matches!(state.suspect, Suspect::Part(_)));
        for states in [&mut parts, &mut requests] {
            states.sort_by(|left, right| {
                let key = |state: &SuspectState| {
                    (!state.is_quarantined(), Reverse(state.points), state.age)
                };
                key(left)
                    .cmp(&key(right))
                    .then_with(|| left.suspect.cmp(&right.suspect))
            });
            states.truncate(count);
        }
        parts.append(&mut requests);
        parts
    }

    /// Returns the states of all quarantined suspects.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = SuspectState> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.is_quarantined())
            .map(move |(suspect, entry)| entry.state(suspect, now))
    }

    /// Forgets old evidence, and lowers that of quarantined suspects which nobody has tried for long,
    /// so that the next end under them suffices. Returns the states of the suspects that are no longer
    /// quarantined.
    pub fn expire(&mut self, now: Instant) -> Vec<SuspectState> {
        let mut lowered = Vec::new();
        for (suspect, entry) in &mut self.entries {
            if entry.is_quarantined() && is_expired(entry, now) {
                entry.round = entry.round.saturating_add(1);
                let points = required_points(entry.was_answered) - REQUEST_END_POINTS;
                entry.points = points;
                entry
                    .ended_targets
                    .truncate((points / REQUEST_END_POINTS) as usize);
                entry.changed_at = now;
                entry.tried_at = None;
                lowered.push(entry.state(suspect, now));
            }
        }
        self.entries.retain(|_, entry| !is_expired(entry, now));
        lowered
    }

    /// Forgets the suspect with the least evidence, the oldest among equals, if there is no room for
    /// another one.
    fn make_room(&mut self) {
        if self.entries.len() < SUSPECTS_MAX {
            return;
        }
        let least = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| (entry.points, entry.changed_at))
            .map(|(suspect, _)| suspect.clone());
        if let Some(suspect) = least {
            self.entries.remove(&suspect);
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
