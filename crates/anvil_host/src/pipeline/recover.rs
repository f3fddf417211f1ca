//! Goes on after a failed step.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use anvil_core::{
    id::Position,
    outcome::{
        Reason,
        Refused, //
    },
    recovery::{
        CacheSource,
        Costs,
        FailureKind,
        RecoveryAction,
        RecoveryContext,
        choose_action, //
    },
    route::Phase,
};
use smol_str::format_smolstr;

use super::{
    ask::StepFailure,
    relocate::RelocationMethod,
    router::{
        AvoidedTargets,
        Route, //
    },
    sequence::{
        Sequence,
        no_route, //
    },
};
use crate::{
    explain::Decision,
    targets::TargetActivity, //
};

/// How the pass goes on.
pub(super) enum RecoveryOutcome {
    /// With the same input at the same boundary.
    SameInput,
    /// From the first token, under a new attempt.
    Restarted,
}

/// Longest pause between two looks for a route.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// The routes that a recovery chooses between.
struct Ways {
    /// For the lost range.
    range: Option<Route>,
    /// For all layers.
    whole: Option<Route>,
    costs: Costs,
}

impl Sequence<'_> {
    /// Goes on after the stage at `index` failed a step at `position`.
    pub(super) async fn recover(
        &mut self,
        index: usize,
        position: Position,
        failed: StepFailure,
    ) -> Result<RecoveryOutcome, Refused> {
        let mut kind = failed.kind();
        let first_ask = self.same_target_retries == 0;
        let target = Arc::clone(self.stages[index].target());
        if !first_ask || kind == FailureKind::Unreachable {
            self.record_failure(&target, kind);
        }
        loop {
            self.time_left()?;
            self.note_failing(index, kind);
            let ways = self.ways(index, position, kind);
            let action = self.action(kind, ways.costs);
            self.explain(index, action, &ways, &failed, kind);
            self.recoveries += 1;
            match action {
                RecoveryAction::Resume => {
                    self.resume(index, &failed);
                    return Ok(RecoveryOutcome::SameInput);
                }
                RecoveryAction::Pause => {
                    if target.retry_budget.try_withdraw() {
                        self.pause(self.same_target_retries).await;
                        self.same_target_retries += 1;
                        return Ok(RecoveryOutcome::SameInput);
                    }
                    self.same_target_retries = u32::MAX;
                }
                RecoveryAction::Import | RecoveryAction::Rebuild => {
                    let means = match action {
                        RecoveryAction::Import => RelocationMethod::Import,
                        _ => RelocationMethod::Rebuild,
                    };
                    let Some(route) = ways.range else {
                        continue;
                    };
                    self.pause_before(&route).await;
                    if self.relocate(index, position, route, means).await? {
                        return Ok(RecoveryOutcome::SameInput);
                    }
                    if means == RelocationMethod::Import {
                        // The source is no longer good for an export.
                        kind = FailureKind::NotHeld;
                    }
                }
                RecoveryAction::PrefillAgain => {
                    let Some(route) = ways.whole else {
                        continue;
                    };
                    self.pause_before(&route).await;
                    self.begin_attempt(route, "recovery");
                    return Ok(RecoveryOutcome::Restarted);
                }
                RecoveryAction::Wait => self.pause(self.recoveries).await,
                RecoveryAction::GiveUp => {
                    let message = format!("{}; no recovery left", failed.failure);
                    return Err(match ways.whole {
                        Some(_) => self.refused(Reason::TargetFailed, message),
                        None => no_route(self.job, self.dispatch_state),
                    });
                }
            }
        }
    }

    fn action(&self, failure: FailureKind, costs: Costs) -> RecoveryAction {
        let recoveries_max = self.shared.targets.settings.recovery.recoveries_max;
        choose_action(&RecoveryContext {
            failure,
            same_target_retries: self.same_target_retries,
            costs,
            recoveries_left: recoveries_max.saturating_sub(self.recoveries),
        })
    }

    /// Keeps later choices away from a target that is at fault.
    fn note_failing(&mut self, index: usize, kind: FailureKind) {
        let id = &self.stages[index].target().address.id;
        let is_fresh = !self.avoid.contains(id);
        let is_at_fault = match kind {
            FailureKind::CacheMismatch { .. } => false,
            FailureKind::Silent | FailureKind::ConnectionLost => self.same_target_retries > 0,
            FailureKind::Unreachable
            | FailureKind::NotHeld
            | FailureKind::Overloaded
            | FailureKind::Leaving
            | FailureKind::Rejected => true,
        };
        if is_fresh && is_at_fault {
            self.avoid.push(id.clone());
        }
    }

    fn ways(&self, index: usize, position: Position, kind: FailureKind) -> Ways {
        if matches!(kind, FailureKind::Silent | FailureKind::ConnectionLost)
            && self.same_target_retries == 0
        {
            return Ways {
                range: None,
                whole: None,
                costs: Costs::default(),
            };
        }
        let layers = self.stages[index].layers;
        let phase = match position {
            0 => Phase::Prompt,
            _ => Phase::Answer,
        };
        let avoid = AvoidedTargets {
            last_resort: &self.avoid,
            excluded: None,
        };
        let range = self.route(layers, phase, position, avoid);
        let whole = self.full_route();
        let costs = Costs {
            import_ns: range
                .as_ref()
                .filter(|_| position > 0 && kind.source() == CacheSource::Reachable)
                .map(|route| self.import_ns(index, position, route)),
            rebuild_ns: range
                .as_ref()
                .filter(|_| self.replay_input(layers.first, position).is_some())
                .map(|route| route.unloaded_ns(position)),
            prefill_ns: whole
                .as_ref()
                .map(|route| route.unloaded_ns(self.next_position())),
        };
        Ways {
            range,
            whole,
            costs,
        }
    }

    /// Predicted time of moving the caches of the stage at `index` to `route`.
    pub(super) fn import_ns(&self, index: usize, position: Position, route: &Route) -> f64 {
        let stage = &self.stages[index];
        let kv_bytes = f64::from(position)
            * f64::from(stage.layers.count())
            * f64::from(self.model.kv_bytes_per_token_layer);
        let activation_bytes = 2.0 * f64::from(self.model.activation_bytes_per_token).max(1.0);
        let export_ns = stage.node.round_trip_ns
            + kv_bytes / activation_bytes * stage.node.transfer_ns_per_token;
        export_ns * stage.target().step_time.slowdown(Instant::now()) + route.transfer_ns(kv_bytes)
    }

    /// Asks again by the same name, over a new connection where the present one is silent.
    fn resume(&mut self, index: usize, failed: &StepFailure) {
        let target = self.stages[index].target();
        let is_silent =
            failed.kind() == FailureKind::Silent && failed.activity == TargetActivity::Silent;
        if is_silent && target.retire_connection(failed.connection) {
            spdlog::warn!("target.connection_silent", kv: {
                target = target.address.id.as_str(),
                request = self.job.request.as_str(),
            });
            self.shared.ports.engine.reconnect(&target.address);
        }
        self.same_target_retries += 1;
    }

    /// Pauses before a route that leads back to a target that failed, so that it has time to
    /// come back.
    async fn pause_before(&self, route: &Route) {
        if route.targets().any(|target| self.avoid.contains(target)) {
            self.pause(self.recoveries).await;
        }
    }

    async fn pause(&self, times: u32) {
        let first = self.shared.targets.settings.recovery.overloaded_pause;
        let pause = first.saturating_mul(1 << times.min(10)).min(WAIT_MAX);
        tokio::time::sleep(pause).await;
    }

    fn explain(
        &self,
        index: usize,
        action: RecoveryAction,
        ways: &Ways,
        failed: &StepFailure,
        kind: FailureKind,
    ) {
        self.shared.targets.counters.record_recovery(action);
        let stage = &self.stages[index];
        let chosen = match action {
            RecoveryAction::Import | RecoveryAction::Rebuild => {
                ways.range.as_ref().map(Route::label)
            }
            RecoveryAction::PrefillAgain => ways.whole.as_ref().map(Route::label),
            RecoveryAction::Resume
            | RecoveryAction::Pause
            | RecoveryAction::Wait
            | RecoveryAction::GiveUp => None,
        };
        let target = &stage.target().address.id;
        let chosen = chosen.unwrap_or_else(|| target.clone());
        let reason = format_smolstr!("{action} after {kind}: {}", failed.failure);
        let decision = Decision::new("recovery.chosen", chosen, reason).attempt(stage.attempt);
        self.shared.explain.record(&self.job.request, decision);
    }
}
