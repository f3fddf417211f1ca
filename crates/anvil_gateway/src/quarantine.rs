//! Quarantine of prompt parts under which engines end: admits requests, shares the evidence with
//! peers, and keeps quarantined parts in the store.

use std::{
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    id::{
        PartId,
        RequestId, //
    },
    quarantine::{
        Admission,
        PartState,
        Progress,
        Quarantine,
        Refusal, //
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
    gateway::Gateway,
    port::{
        QuarantineEntry,
        Store, //
    },
    target::Target,
};

/// Most parts whose state is shared with peers in one digest.
const SHARED_STATES_MAX: usize = 16;
/// Time for which one host may try a part before another one may: not every host gets requests with
/// the part.
const TRIAL_SLOT: Duration = Duration::from_secs(4);
/// Pause before a failed write of a part to the store is tried again.
const REGISTER_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Most tries to write a part to the store. They outlast an outage of the store.
const REGISTER_TRIES_MAX: u32 = 30;

impl Gateway {
    /// Admits a request to be sent, unless a part of its prompt is quarantined.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with the part and the time until it is tried again.
    pub fn admit_parts(&self, parts: &[PartId]) -> Result<Admission, Refusal> {
        let now = Instant::now().into_std();
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.admit(parts, now, |part, age| {
            let slot = age.as_millis() / TRIAL_SLOT.as_millis();
            self.is_chosen(&format!("{part} {slot}"))
        })
    }

    /// Returns whether a part has been quarantined since the request was admitted.
    pub fn is_admission_void(&self, admission: &Admission, parts: &[PartId]) -> bool {
        let quarantine = self.quarantine.borrow();
        quarantine.quarantined_since(admission, parts).is_some()
    }

    /// Returns whether this host is the one among the live hosts that does the work for a key.
    fn is_chosen(&self, key: &str) -> bool {
        let peers = self.peers.borrow();
        peers.is_chosen(key, &self.settings.host_id, Instant::now())
    }

    /// Records that an engine ended at the start of its answer to a request, or before.
    pub fn record_engine_end(
        &self,
        request: &RequestId,
        parts: &[PartId],
        admission: &Admission,
        engine: &Target,
        progress: Progress,
    ) {
        let now = Instant::now().into_std();
        let changed = self
            .quarantine
            .borrow_mut()
            .record_end(parts, admission, progress, now);
        for state in &changed {
            spdlog::info!("quarantine.evidence", kv: {
                part = state.part.as_str(),
                round = state.round,
                points = state.points,
                was_answered = state.was_answered,
                failed_trials = state.failed_trials,
                request = request.as_str(),
                target = engine.id.as_str(),
                progress:? = progress,
            });
            if state.is_quarantined() {
                log_quarantined(state, "own");
                self.keep_in_store(state);
            }
        }
        if !changed.is_empty() {
            self.quarantine_changed.notify_one();
        }
    }

    /// Records that an engine answered a request and kept running.
    pub fn record_engine_answer(&self, parts: &[PartId]) {
        let now = Instant::now().into_std();
        let refuted = self.quarantine.borrow_mut().record_answer(parts, now);
        for state in &refuted {
            spdlog::info!("quarantine.refuted", kv: {
                part = state.part.as_str(),
                round = state.round,
                points = state.points,
            });
            if state.is_quarantined() {
                self.remove_from_store(&state.part);
            }
        }
        if !refuted.is_empty() {
            self.quarantine_changed.notify_one();
        }
    }

    /// Returns the states to share with peers.
    pub(crate) fn shared_part_states(&self) -> Vec<PartState> {
        let now = Instant::now().into_std();
        self.quarantine.borrow().shared(SHARED_STATES_MAX, now)
    }

    /// Merges states that a peer or the store knows. `source` names it in the log.
    pub(crate) fn merge_part_states(&self, states: &[PartState], source: &str) {
        let now = Instant::now().into_std();
        for state in states {
            let merged = self.quarantine.borrow_mut().merge(state, now);
            if merged.is_newly_quarantined {
                log_quarantined(state, source);
            }
            if merged.adds_answer {
                self.quarantine_changed.notify_one();
            }
        }
    }

    /// Merges the quarantined parts that hosts have written to the store. The store keeps no ages, so
    /// that each quarantine begins anew.
    pub(crate) fn merge_quarantine_entries(&self, entries: Vec<QuarantineEntry>) {
        let states: Vec<PartState> = entries
            .into_iter()
            .map(|entry| PartState {
                part: entry.part,
                round: entry.round,
                points: Quarantine::restored_points(),
                was_answered: false,
                failed_trials: entry.failed_trials,
                age: Duration::ZERO,
            })
            .collect();
        self.merge_part_states(&states, "store");
    }

    /// Writes the quarantined parts for which this host is responsible to the store.
    pub(crate) fn keep_quarantine_in_store(&self) {
        let now = Instant::now().into_std();
        let states: Vec<PartState> = self.quarantine.borrow().quarantined(now).collect();
        for state in states {
            if self.is_chosen(&state.part) {
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
                part = state.part.as_str(),
                round = state.round,
                points = state.points,
            });
            if self.is_chosen(&state.part) {
                self.remove_from_store(&state.part);
            }
        }
    }

    fn keep_in_store(&self, state: &PartState) {
        let entry = QuarantineEntry {
            part: state.part.clone(),
            round: state.round,
            failed_trials: state.failed_trials,
        };
        let store = Rc::clone(&self.platform.store);
        spawn_local(write_until_done(store, entry.part.clone(), Some(entry)));
    }

    fn remove_from_store(&self, part: &PartId) {
        let store = Rc::clone(&self.platform.store);
        spawn_local(write_until_done(store, part.clone(), None));
    }
}

/// Writes the entry of a part to the store, or removes it.
async fn write_until_done(store: Rc<dyn Store>, part: PartId, entry: Option<QuarantineEntry>) {
    for _ in 0..REGISTER_TRIES_MAX {
        let written = match &entry {
            Some(entry) => store.register_quarantine(entry).await,
            None => store.deregister_quarantine(&part).await,
        };
        let Err(error) = written else {
            return;
        };
        spdlog::warn!("quarantine.write_failed", kv: { part = part.as_str(), error: });
        sleep(REGISTER_RETRY_DELAY).await;
    }
}

fn log_quarantined(state: &PartState, source: &str) {
    spdlog::info!("quarantine.begun", kv: {
        part = state.part.as_str(),
        source,
        round = state.round,
        failed_trials = state.failed_trials,
        age_ms = state.age.as_millis() as u64,
    });
}
