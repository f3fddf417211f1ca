//! Recovers a sequence after a failed step.

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

/// How the pass over the layers continues after a recovery.
pub(super) enum RecoveryOutcome {
    /// The pass repeats the step with the same input at the same layer boundary.
    SameInput,
    /// The pass starts again from the first token, under a new attempt.
    Restarted,
}

/// Longest pause before a retry or before the next search for a route.
const PAUSE_MAX: Duration = Duration::from_secs(1);

/// Routes that a recovery chooses between. `None` means that there is no such route.
struct RecoveryRoutes {
    /// Route for the layers of the failed stage.
    range_route: Option<Route>,
    /// Route for all layers, for a new attempt.
    full_route: Option<Route>,
    costs: Costs,
}

impl Sequence<'_> {
    /// Recovers after the stage at `index` failed a step at `position`, and returns how the pass
    /// continues.
    pub(super) async fn recover(
        &mut self,
        index: usize,
        position: Position,
        failed: StepFailure,
    ) -> Result<RecoveryOutcome, Refused> {
        let mut kind = failed.kind();
        let is_first_request = self.same_target_retries == 0;
        let target = Arc::clone(self.stages[index].target());
        if !is_first_request || kind == FailureKind::Unreachable {
            self.record_failure(&target, kind);
        }
        loop {
            self.time_left()?;
            self.avoid_if_faulty(index, kind);
            let routes = self.recovery_routes(index, position, kind);
            let action = self.next_action(kind, routes.costs);
            self.record_decision(index, action, &routes, &failed, kind);
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
                    let method = match action {
                        RecoveryAction::Import => RelocationMethod::Import,
                        _ => RelocationMethod::Rebuild,
                    };
                    let Some(route) = routes.range_route else {
                        continue;
                    };
                    self.pause_if_avoided(&route).await;
                    if self.relocate(index, position, route, method).await? {
                        return Ok(RecoveryOutcome::SameInput);
                    }
                    if method == RelocationMethod::Import {
                        // Treats the caches at the source as lost, so that no further import is
                        // tried.
                        kind = FailureKind::NotHeld;
                    }
                }
                RecoveryAction::PrefillAgain => {
                    let Some(route) = routes.full_route else {
                        continue;
                    };
                    self.pause_if_avoided(&route).await;
                    self.begin_attempt(route, "recovery");
                    return Ok(RecoveryOutcome::Restarted);
                }
                RecoveryAction::Wait => self.pause(self.recoveries).await,
                RecoveryAction::GiveUp => {
                    let message = format!("{}; no recovery left", failed.failure);
                    return Err(match routes.full_route {
                        Some(_) => self.refused(Reason::TargetFailed, message),
                        None => no_route(self.job, self.dispatch_state),
                    });
                }
            }
        }
    }

    fn next_action(&self, failure: FailureKind, costs: Costs) -> RecoveryAction {
        let recoveries_max = self.shared.targets.settings.recovery.recoveries_max;
        choose_action(&RecoveryContext {
            failure,
            same_target_retries: self.same_target_retries,
            costs,
            recoveries_left: recoveries_max.saturating_sub(self.recoveries),
        })
    }

    /// Adds the stage's target to the avoided targets if the target is at fault, so that later
    /// choices avoid it.
    fn avoid_if_faulty(&mut self, index: usize, kind: FailureKind) {
        let id = &self.stages[index].target().address.id;
        let is_new = !self.avoided_targets.contains(id);
        let is_at_fault = match kind {
            FailureKind::CacheMismatch { .. } => false,
            FailureKind::Silent | FailureKind::ConnectionLost => self.same_target_retries > 0,
            FailureKind::Unreachable
            | FailureKind::NotHeld
            | FailureKind::Overloaded
            | FailureKind::Leaving
            | FailureKind::Rejected => true,
        };
        if is_new && is_at_fault {
            self.avoided_targets.push(id.clone());
        }
    }

    fn recovery_routes(
        &self,
        index: usize,
        position: Position,
        kind: FailureKind,
    ) -> RecoveryRoutes {
        if matches!(kind, FailureKind::Silent | FailureKind::ConnectionLost)
            && self.same_target_retries == 0
        {
            return RecoveryRoutes {
                range_route: None,
                full_route: None,
                costs: Costs::default(),
            };
        }
        let layers = self.stages[index].layers;
        let phase = match position {
            0 => Phase::Prompt,
            _ => Phase::Answer,
        };
        let avoid = AvoidedTargets {
            last_resort: &self.avoided_targets,
            excluded: None,
        };
        let range_route = self.route(layers, phase, position, avoid);
        let full_route = self.full_route();
        let costs = Costs {
            import_ns: range_route
                .as_ref()
                .filter(|_| position > 0 && kind.source() == CacheSource::Reachable)
                .map(|route| self.import_ns(index, position, route)),
            rebuild_ns: range_route
                .as_ref()
                .filter(|_| self.replay_input(layers.first, position).is_some())
                .map(|route| route.unloaded_ns(position)),
            prefill_ns: full_route
                .as_ref()
                .map(|route| route.unloaded_ns(self.next_position())),
        };
        RecoveryRoutes {
            range_route,
            full_route,
            costs,
        }
    }

    /// Returns the predicted time, in nanoseconds, of moving the caches of the stage at `index` to
    /// `route`.
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

    /// Prepares to send the step to the same target again under the same name. Opens a new
    /// connection if the current one is silent.
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

    /// Pauses if the route leads back to a target that failed, so that the target has time to
    /// recover.
    async fn pause_if_avoided(&self, route: &Route) {
        if route
            .targets()
            .any(|target| self.avoided_targets.contains(target))
        {
            self.pause(self.recoveries).await;
        }
    }

    async fn pause(&self, retries: u32) {
        let first_pause = self.shared.targets.settings.recovery.overloaded_pause;
        let pause = first_pause
            .saturating_mul(1 << retries.min(10))
            .min(PAUSE_MAX);
        tokio::time::sleep(pause).await;
    }

    fn record_decision(
        &self,
        index: usize,
        action: RecoveryAction,
        routes: &RecoveryRoutes,
        failed: &StepFailure,
        kind: FailureKind,
    ) {
        self.shared.targets.counters.record_recovery(action);
        let stage = &self.stages[index];
        let chosen = match action {
            RecoveryAction::Import | RecoveryAction::Rebuild => {
                routes.range_route.as_ref().map(Route::label)
            }
            RecoveryAction::PrefillAgain => routes.full_route.as_ref().map(Route::label),
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
