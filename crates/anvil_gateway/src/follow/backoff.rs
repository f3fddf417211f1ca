//! Delays calls to the store after a failed one.

use std::time::Duration;

use crate::{
    clock::BootTime,
    gateway::Gateway,
    port::PlatformError, //
};

/// Backoff after a failed call. It doubles with each further failure up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(60);
/// Longest backoff of a host that must read for itself.
pub(super) const BACKOFF_MAX: Duration = Duration::from_millis(500);
/// Interval between two calls of all hosts of a data centre taken together while calls fail. The
/// first host whose call succeeds informs the others, and failed calls have a cost too.
const FAILING_CALL_INTERVAL: Duration = Duration::from_millis(250);
/// Longest backoff of one host in a large data centre.
const FAILING_BACKOFF_MAX: Duration = Duration::from_secs(6);
/// Backoff of a host that no longer hears from any peer. It is most likely cut off from the store
/// as well, and hears from its peers again as soon as it is not.
const CUT_OFF_BACKOFF: Duration = Duration::from_millis(1500);

/// Backoff after failed calls. Logs the first failure and the recovery.
///
/// A failure says something about the store only until the store has answered a later call,
/// whichever host made it. From then on the short backoff applies.
#[derive(Debug)]
pub(super) struct Backoff {
    reading: &'static str,
    failures: u32,
    /// The last failed call. `None` if the last call succeeded.
    last_failure: Option<Failure>,
}

#[derive(Debug)]
struct Failure {
    /// When the call was sent.
    requested_at: BootTime,
    /// When it failed.
    failed_at: BootTime,
    /// Backoff while the store has not answered a later call.
    pause: Duration,
    /// Backoff once it has. Invariant: not longer than `pause`.
    short_pause: Duration,
}

impl Backoff {
    pub(super) fn new(reading: &'static str) -> Self {
        Self {
            reading,
            failures: 0,
            last_failure: None,
        }
    }

    /// Returns whether the last call failed.
    pub(super) fn has_failed(&self) -> bool {
        self.last_failure.is_some()
    }

    /// Records a failed call that was sent at `requested_at`.
    pub(super) fn record_failure(
        &mut self,
        gateway: &Gateway,
        error: &PlatformError,
        requested_at: BootTime,
    ) {
        gateway.metrics.record_store_failure(self.reading);
        if self.failures == 0 {
            spdlog::warn!("store.lost", kv: {
                reading = self.reading,
                error:,
                requested_age_ms = requested_at.elapsed().as_millis() as u64,
            });
        }
        self.failures = self.failures.saturating_add(1);
        let short = (BACKOFF_MIN * (1 << self.failures.min(5))).min(BACKOFF_MAX);
        let long = relayed_backoff(gateway).unwrap_or(short);
        let random_unit = gateway.random_unit();
        let randomize = |pause: Duration| pause.mul_f64(0.5 + 0.5 * random_unit);
        self.last_failure = Some(Failure {
            requested_at,
            failed_at: BootTime::now(),
            pause: randomize(long.max(short)),
            short_pause: randomize(short),
        });
    }

    /// Records a call that was sent at `requested_at` and succeeded.
    pub(super) fn record_success(&mut self, requested_at: BootTime) {
        if let Some(failure) = self.last_failure.take() {
            let age_ms = |time: BootTime| time.elapsed().as_millis() as u64;
            spdlog::info!("store.regained", kv: {
                reading = self.reading,
                failures = self.failures,
                requested_age_ms = age_ms(requested_at),
                last_failure_requested_age_ms = age_ms(failure.requested_at),
            });
        }
        self.failures = 0;
    }

    /// Returns the time until the next call may be made. `answered_as_of` is the latest time at
    /// which the store is known to have been asked successfully by any host.
    pub(super) fn remaining(&self, answered_as_of: Option<BootTime>) -> Duration {
        let Some(failure) = &self.last_failure else {
            return Duration::ZERO;
        };
        let is_outdated = answered_as_of.is_some_and(|as_of| as_of > failure.requested_at);
        let pause = match is_outdated {
            true => failure.short_pause,
            false => failure.pause,
        };
        pause.saturating_sub(failure.failed_at.elapsed())
    }
}

/// Returns the backoff after a failed call of a host that its peers will inform. Returns `None` for
/// a host that reads for its peers or has never heard from any.
pub(super) fn relayed_backoff(gateway: &Gateway) -> Option<Duration> {
    let now = BootTime::now();
    let mut peers = gateway.peers.borrow_mut();
    if !peers.hears_any(now) {
        return peers.has_heard_any().then_some(CUT_OFF_BACKOFF);
    }
    let peer_count = peers.data_centre_live_count(&gateway.settings.data_centre, now);
    if peer_count == 0 || peers.is_reader(now) {
        return None;
    }
    let share = FAILING_CALL_INTERVAL * u32::try_from(peer_count).unwrap_or(u32::MAX);
    Some(share.clamp(BACKOFF_MAX, FAILING_BACKOFF_MAX))
}
