//! Quarantine of requests, and of prompt parts, under which targets end: admits requests, shares the
//! evidence with peers, and keeps what is quarantined in the store.

use std::{
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    id::RequestId,
    quarantine::{
        Admission,
        Progress,
        Quarantine,
        Refusal,
        Suspect,
        SuspectState, //
    },
};
use tokio::{
    task::spawn_local,
    time::{
        Instant,
        sleep, //
    },
};

use crate::{
    clock::BootTime,
    exchange::RequestContext,
    faults::ProcessState,
    gateway::Gateway,
    peers,
    port::{
        QuarantineEntry,
        Store, //
    },
    target::Target,
};

/// Most parts, and most requests, whose state is shared with peers in one digest.
const SHARED_STATES_MAX: usize = 16;
/// Most requests that a host quarantines on its own evidence while it hears no peer.
const ISOLATED_REQUESTS_MAX: usize = 8;
/// Time for which one host may try a suspect before another one may: not every host gets requests with
/// it.
const TRIAL_SLOT: Duration = Duration::from_secs(4);
/// Lowest status of an answer that is an error.
const ERROR_STATUS_MIN: u16 = 400;
/// Name of the store as the source of a state.
const STORE_SOURCE: &str = "store";
/// Pause before a failed write to the store is tried again.
const REGISTER_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Most tries to write to the store. They outlast an outage of the store.
const REGISTER_TRIES_MAX: u32 = 30;

impl Gateway {
    /// Admits a request to be sent, unless it or a part of its prompt is quarantined.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with what is quarantined and the time until it is tried again.
    pub fn admit(&self, request: &RequestContext<'_>) -> Result<Admission, Refusal> {
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.is_empty() {
            return Ok(Admission::default());
        }
        let now = Instant::now().into_std();
        quarantine.admit(request.suspects(), now, |suspect, age| {
            let slot = age.as_millis() / TRIAL_SLOT.as_millis();
            self.is_chosen(&format!("{suspect} {slot}"))
        })
    }

    /// Returns whether the request, or a part of its prompt, has been quarantined since it was admitted.
    pub fn is_admission_void(&self, admission: &Admission, request: &RequestContext<'_>) -> bool {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() {
            return false;
        }
        let suspect = quarantine.quarantined_since(admission, request.suspects());
        suspect.is_some()
    }

    /// Records that an admitted request did not run.
    pub fn release_trial(&self, admission: &Admission) {
        if admission.is_trial() {
            self.quarantine.borrow_mut().release_trial(admission);
        }
    }

    /// Returns whether this host is the one among the relays that does the work for a key.
    fn is_chosen(&self, key: &str) -> bool {
        self.peers.borrow().is_chosen(key, BootTime::now())
    }

    /// Records in which state a target was found whose connection was lost at the start of its answer
    /// to a request, or before.
    pub fn record_lost_target(
        &self,
        request: &RequestContext<'_>,
        admission: &Admission,
        target: &Target,
        progress: Progress,
        state: ProcessState,
    ) {
        let has_ended = match state {
            ProcessState::Ended => true,
            // Without a result the trial would be repeated.
            ProcessState::Unreachable => admission.is_trial(),
            ProcessState::Alive => false,
        };
        if !has_ended {
            self.record_inconclusive_trial(request, admission);
            return;
        }
        let now = Instant::now().into_std();
        let changed = self.quarantine.borrow_mut().record_end(
            request.suspects(),
            admission,
            target.process_hash(),
            progress,
            now,
        );
        self.handle_evidence(&changed, &request.metadata.id, target, progress);
    }

    /// Records that a process of a target ended under a request that was abandoned there.
    pub(crate) fn record_end_under(
        &self,
        request_id: &RequestId,
        suspects: &[Suspect],
        admission: &Admission,
        (target, process_hash): (&Target, u32),
    ) {
        let now = Instant::now().into_std();
        // Nothing tells whether the target had begun.
        let progress = Progress::Begun;
        let changed = self.quarantine.borrow_mut().record_end(
            suspects,
            admission,
            process_hash,
            progress,
            now,
        );
        self.handle_evidence(&changed, request_id, target, progress);
    }

    /// Logs evidence, keeps what is quarantined in the store, and tells peers.
    fn handle_evidence(
        &self,
        changed: &[SuspectState],
        request_id: &RequestId,
        target: &Target,
        progress: Progress,
    ) {
        for state in changed {
            spdlog::info!("quarantine.evidence", kv: {
                suspect: = state.suspect,
                round = state.round,
                points = state.points,
                was_answered = state.was_answered,
                failed_trials = state.failed_trials,
                request = request_id.as_str(),
                target = target.id.as_str(),
                progress:? = progress,
            });
            let quarantined = match state.is_quarantined() {
                true => Some(state.clone()),
                false => self.quarantine_alone(&state.suspect),
            };
            if let Some(state) = quarantined {
                log_quarantined(&state, "own");
                self.keep_in_store(&state);
            }
        }
        if !changed.is_empty() {
            self.urgent_change.notify_one();
        }
    }

    /// Quarantines a request after one end if this host hears no peer: each isolated host would need as
    /// many ends as all others together.
    fn quarantine_alone(&self, suspect: &Suspect) -> Option<SuspectState> {
        if !self.peers.borrow().is_isolated(BootTime::now()) {
            return None;
        }
        let now = Instant::now().into_std();
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.quarantine_request(suspect, ISOLATED_REQUESTS_MAX, now)
    }

    /// Records that a target answered a request with `status` and kept running. An error tells nothing of
    /// the request: it may not have run.
    pub fn record_target_answer(
        &self,
        request: &RequestContext<'_>,
        admission: &Admission,
        target: &Target,
        status: u16,
    ) {
        if status >= ERROR_STATUS_MIN {
            self.record_inconclusive_trial(request, admission);
            return;
        }
        let now = Instant::now().into_std();
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.is_empty() {
            quarantine.record_answered_parts(&request.metadata.shared_parts, now);
            return;
        }
        let refuted = quarantine.record_answer(request.suspects(), now);
        for state in &refuted {
            spdlog::info!("quarantine.refuted", kv: {
                suspect: = state.suspect,
                round = state.round,
                points = state.points,
                request = request.metadata.id.as_str(),
                target = target.id.as_str(),
                status,
            });
            if state.is_quarantined() {
                self.remove_from_store(&state.suspect);
            }
        }
        if !refuted.is_empty() {
            self.urgent_change.notify_one();
        }
    }

    /// Records that an admitted request ended without showing whether it ends targets.
    pub fn record_inconclusive_trial(&self, request: &RequestContext<'_>, admission: &Admission) {
        if !admission.is_trial() {
            return;
        }
        let now = Instant::now().into_std();
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.record_inconclusive_trial(admission, now);
        spdlog::info!("quarantine.trial_inconclusive", kv: {
            request = request.metadata.id.as_str(),
        });
        self.urgent_change.notify_one();
    }

    /// Returns the states to share with peers.
    pub(crate) fn shared_suspect_states(&self) -> Vec<SuspectState> {
        let now = Instant::now().into_std();
        self.quarantine.borrow().shared(SHARED_STATES_MAX, now)
    }

    /// Merges states that a peer or the store knows. `source` names it in the log.
    pub(crate) fn merge_suspect_states(&self, states: &[SuspectState], source: &str) {
        let now = Instant::now().into_std();
        for state in states {
            let merged = self.quarantine.borrow_mut().merge(state, now);
            if merged.is_newly_quarantined {
                log_quarantined(state, source);
                // The evidence of several hosts may suffice where that of none does. Each reader
                // writes it, because hosts may disagree for a while about which of them is chosen.
                if source != STORE_SOURCE && peers::is_reader(self) {
                    self.keep_in_store(state);
                }
            }
            // The hosts that report to a relay hear of it only through the relay.
            let is_relayed =
                (merged.is_newly_quarantined || merged.adds_evidence) && peers::is_relay(self);
            if is_relayed {
                self.quarantine.borrow_mut().relay(&state.suspect, now);
            }
            if merged.adds_answer || merged.is_outdated || is_relayed {
                self.urgent_change.notify_one();
            }
        }
    }

    /// Merges what hosts have written to the store as quarantined. The store keeps no ages, so that each
    /// quarantine begins anew.
    pub(crate) fn merge_quarantine_entries(&self, entries: Vec<QuarantineEntry>) {
        let states: Vec<SuspectState> = entries
            .into_iter()
            .map(|entry| SuspectState {
                suspect: entry.suspect,
                round: entry.round,
                points: Quarantine::restored_points(),
                was_answered: false,
                failed_trials: entry.failed_trials,
                ended_targets: Vec::new(),
                age: Duration::ZERO,
            })
            .collect();
        self.merge_suspect_states(&states, STORE_SOURCE);
    }

    /// Writes the quarantine to the store, if this host reads the store for others.
    pub(crate) fn keep_quarantine_in_store(&self) {
        let now = Instant::now().into_std();
        let states: Vec<SuspectState> = self.quarantine.borrow().quarantined(now).collect();
        for state in states {
            if peers::is_reader(self) {
                self.keep_in_store(&state);
            }
        }
    }

    /// Forgets what is too old.
    pub(crate) fn expire_quarantine(&self) {
        let now = Instant::now().into_std();
        let lowered = self.quarantine.borrow_mut().expire(now);
        for state in lowered {
            spdlog::info!("quarantine.lowered", kv: {
                suspect: = state.suspect,
                round = state.round,
                points = state.points,
            });
            if peers::is_reader(self) {
                self.remove_from_store(&state.suspect);
            }
        }
    }

    fn keep_in_store(&self, state: &SuspectState) {
        let entry = QuarantineEntry {
            suspect: state.suspect.clone(),
            round: state.round,
            failed_trials: state.failed_trials,
        };
        let store = Rc::clone(&self.platform.store);
        spawn_local(write_until_done(store, entry.suspect.clone(), Some(entry)));
    }

    fn remove_from_store(&self, suspect: &Suspect) {
        let store = Rc::clone(&self.platform.store);
        spawn_local(write_until_done(store, suspect.clone(), None));
    }
}

/// Writes the entry of a suspect to the store, or removes it.
async fn write_until_done(store: Rc<dyn Store>, suspect: Suspect, entry: Option<QuarantineEntry>) {
    for _ in 0..REGISTER_TRIES_MAX {
        let written = match &entry {
            Some(entry) => store.register_quarantine(entry).await,
            None => store.deregister_quarantine(&suspect).await,
        };
        let Err(error) = written else {
            return;
        };
        spdlog::warn!("quarantine.write_failed", kv: { suspect:, error: });
        sleep(REGISTER_RETRY_DELAY).await;
    }
}

fn log_quarantined(state: &SuspectState, source: &str) {
    spdlog::info!("quarantine.begun", kv: {
        suspect: = state.suspect,
        source,
        round = state.round,
        failed_trials = state.failed_trials,
        age_ms = state.age.as_millis() as u64,
    });
}
