//! Fault injection: decides for each call whether a fault is injected.

use std::sync::Mutex;

use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

/// How often a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rate {
    /// Into no call.
    Never,
    /// Into this many of the next calls, and into none after them.
    Next(u32),
    /// Into each call with this probability. Invariant: within `0.0..=1.0`.
    Probability(f64),
    /// Into every call.
    Always,
}

/// Decides for each call whether one kind of fault is injected.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    state: Mutex<(Rate, SmallRng)>,
}

impl FaultInjector {
    /// Returns an injector that injects nothing until a rate is set.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            state: Mutex::new((Rate::Never, SmallRng::seed_from_u64(seed))),
        }
    }

    /// Sets how often the fault is injected from now on.
    ///
    /// # Panics
    ///
    /// Panics if a probability is outside `0.0..=1.0`.
    pub(crate) fn set(&self, rate: Rate) {
        if let Rate::Probability(probability) = rate {
            assert!(
                (0.0..=1.0).contains(&probability),
                "fault probability {probability} is not within 0.0..=1.0"
            );
        }
        lock(&self.state).0 = rate;
    }

    /// Returns whether the fault is injected into this call; uses up one call of [`Rate::Next`].
    pub(crate) fn should_inject(&self) -> bool {
        let mut state = lock(&self.state);
        let (rate, rng) = &mut *state;
        match rate {
            Rate::Never | Rate::Next(0) => false,
            Rate::Next(remaining) => {
                *remaining -= 1;
                true
            }
            Rate::Probability(probability) => rng.random_bool(*probability),
            Rate::Always => true,
        }
    }
}

/// Locks a mutex and ignores poisoning: the guarded data stays valid when another holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
