//! Counters of recoveries and of dropped answers.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

use anvil_core::recovery::RecoveryAction;

/// Counters of recoveries by action, and of answers dropped because they belong to another step.
#[derive(Debug, Default)]
pub struct Counters {
    resume: AtomicU64,
    pause: AtomicU64,
    import: AtomicU64,
    rebuild: AtomicU64,
    prefill_again: AtomicU64,
    wait: AtomicU64,
    give_up: AtomicU64,
    answers_dropped: AtomicU64,
}

impl Counters {
    /// Records a recovery by `action`.
    pub fn record_recovery(&self, action: RecoveryAction) {
        self.counter(action).fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of recoveries by `action` so far.
    pub fn recoveries(&self, action: RecoveryAction) -> u64 {
        self.counter(action).load(Ordering::Relaxed)
    }

    /// Records an answer to another step than the one awaited.
    pub fn record_dropped_answer(&self) {
        self.answers_dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of answers to other steps than the one awaited.
    pub fn dropped_answers(&self) -> u64 {
        self.answers_dropped.load(Ordering::Relaxed)
    }

    fn counter(&self, action: RecoveryAction) -> &AtomicU64 {
        match action {
            RecoveryAction::Resume => &self.resume,
            RecoveryAction::Pause => &self.pause,
            RecoveryAction::Import => &self.import,
            RecoveryAction::Rebuild => &self.rebuild,
            RecoveryAction::PrefillAgain => &self.prefill_again,
            RecoveryAction::Wait => &self.wait,
            RecoveryAction::GiveUp => &self.give_up,
        }
    }
}
