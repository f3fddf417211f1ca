//! Moves a range of layers to other targets while the rest of the sequence keeps its caches.

use std::time::{
    Duration,
    Instant, //
};

use anvil_core::{
    document::Role,
    id::{
        Layer,
        Position, //
    },
    outcome::Refused,
    route::Phase,
    step::{
        Input,
        Output, //
    },
};

use super::{
    router::{
        AvoidedTargets,
        Route, //
    },
    sequence::Sequence,
    stage::Stage,
};
use crate::{
    explain::Decision,
    port::KvName,
    targets::{
        Leaving,
        Target, //
    },
};

/// How the new targets get the caches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RelocationMethod {
    /// The old target exports them, and the new targets import them.
    Import,
    /// The new targets rebuild them from the tokens or from kept activations.
    Rebuild,
}

/// Why a stage should move although its target still answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelocationCause {
    /// Its target is leaving.
    Leaving,
    /// Its target serves prefill only.
    Prefill,
    /// Its steps take far longer than predicted.
    Slow,
}

/// Ratio of observed to predicted step time above which a stage counts as slow.
const RELOCATION_SLOWDOWN_MIN: f64 = 4.0;
/// Ratio of the cost with a move to the cost without it, below which a slow stage moves: a move
/// must save more than half.
const RELOCATION_COST_RATIO_MAX: f64 = 0.5;
/// Time until the next move is tried after one that was not possible.
const RELOCATION_RETRY_INTERVAL: Duration = Duration::from_millis(250);

impl Sequence<'_> {
    /// Moves the stages whose targets are leaving, serve prefill only, or have become slow.
    ///
    /// A stage that can't be moved stays on its target.
    pub(super) async fn relocate_unsuitable_stages(&mut self) -> Result<(), Refused> {
        let position = self.lineage.covered(self.layers);
        if position == 0 || Instant::now() < self.next_relocation_at {
            return Ok(());
        }
        let mut index = 0;
        while index < self.stages.len() {
            if let Some(cause) = relocation_cause(&self.stages[index])
                && !self.relocate_stage(index, position, cause).await?
            {
                self.next_relocation_at = Instant::now() + RELOCATION_RETRY_INTERVAL;
            }
            index += 1;
        }
        Ok(())
    }

    async fn relocate_stage(
        &mut self,
        index: usize,
        position: Position,
        cause: RelocationCause,
    ) -> Result<bool, Refused> {
        let stage = &self.stages[index];
        let id = stage.target().address.id.clone();
        let avoid = AvoidedTargets {
            last_resort: &self.avoided_targets,
            excluded: Some(&id),
        };
        let Some(route) = self.route(stage.layers, Phase::Answer, 0, avoid) else {
            return Ok(false);
        };
        let import_ns = self.import_ns(index, position, &route);
        let rebuild_ns = self
            .replay_input(stage.layers.first, position)
            .map_or(f64::INFINITY, |_| route.unloaded_ns(position));
        if cause == RelocationCause::Slow
            && !self.saves_enough(index, &route, import_ns.min(rebuild_ns))
        {
            return Ok(false);
        }
        let method = match import_ns <= rebuild_ns {
            true => RelocationMethod::Import,
            false => RelocationMethod::Rebuild,
        };
        let reason = match cause {
            RelocationCause::Leaving => "target is leaving",
            RelocationCause::Prefill => "target takes prompts alone",
            RelocationCause::Slow => "target has become slow",
        };
        let decision = Decision::new("recovery.moved", route.label(), reason)
            .runner_up(id)
            .attempt(stage.attempt);
        self.shared.explain.record(&self.job.request, decision);
        if self.relocate(index, position, route, method).await? {
            self.shared
                .targets
                .counters
                .record_recovery(method.action());
            return Ok(true);
        }
        Ok(false)
    }

    /// Returns whether a move makes the rest of the answer cheaper by enough.
    fn saves_enough(&self, index: usize, route: &Route, relocation_ns: f64) -> bool {
        let stage = &self.stages[index];
        let step = stage
            .target()
            .predicted_step(&stage.node, stage.layers.count(), 1);
        let current_ns = step.as_nanos() as f64
            * stage.target().step_time.slowdown(Instant::now())
            * f64::from(self.tokens_left());
        route.cost_ns() + relocation_ns < current_ns * RELOCATION_COST_RATIO_MAX
    }

    /// Moves the layer range of the stage at `index` to `route`. Returns false if that failed; the
    /// sequence then keeps its stages.
    pub(super) async fn relocate(
        &mut self,
        index: usize,
        position: Position,
        route: Route,
        method: RelocationMethod,
    ) -> Result<bool, Refused> {
        let attempt = self.allocate_attempt();
        let stages = self.open_stages(route, attempt);
        let relocated = match method {
            RelocationMethod::Import => self.import(index, position, &stages).await,
            RelocationMethod::Rebuild => self.rebuild(index, position, &stages).await?,
        };
        let Ok(boundary_activations) = relocated else {
            self.discard_stages(stages);
            return Ok(false);
        };
        let layers = self.stages[index].layers;
        self.activations.discard_within(layers);
        if method == RelocationMethod::Rebuild && position > 0 {
            self.lineage.invalidate(layers, 0);
            for stage in &stages {
                self.lineage.apply(stage.layers, 0, position);
            }
        }
        for (layer, data) in boundary_activations {
            self.activations.append(layer, 0, position, data);
        }
        assert_eq!(
            self.lineage.covered(layers),
            position,
            "a moved layer range must hold all tokens before the current step"
        );
        self.replace_stages(index..index + 1, stages);
        self.same_target_retries = 0;
        Ok(true)
    }

    async fn import(
        &mut self,
        index: usize,
        position: Position,
        stages: &[Stage],
    ) -> Result<Vec<(Layer, bytes::Bytes)>, ()> {
        let engine = &self.shared.ports.engine;
        let old_stage = &self.stages[index];
        for stage in stages {
            let name = |attempt| KvName {
                request: self.job.request.clone(),
                attempt,
                layers: stage.layers,
            };
            let source = &old_stage.target().address;
            let exported = engine.export_kv(source, name(old_stage.attempt));
            let Ok(Ok(export)) = tokio::time::timeout(KV_TRANSFER_TIMEOUT, exported).await else {
                return Err(());
            };
            if export.position != position {
                return Err(());
            }
            let destination = &stage.target().address;
            let imported = engine.import_kv(destination, name(stage.attempt), export);
            if !matches!(
                tokio::time::timeout(KV_TRANSFER_TIMEOUT, imported).await,
                Ok(Ok(()))
            ) {
                self.avoid_target(stage.target());
                return Err(());
            }
        }
        Ok(Vec::new())
    }

    /// Replays the inputs of the layer range to `stages`. Returns the activations at the boundaries
    /// between them, each with the layer that follows the boundary. The inner result is an error if
    /// the range could not be rebuilt.
    async fn rebuild(
        &mut self,
        index: usize,
        position: Position,
        stages: &[Stage],
    ) -> Result<Result<Vec<(Layer, bytes::Bytes)>, ()>, Refused> {
        let mut boundary_activations = Vec::new();
        if position == 0 {
            return Ok(Ok(boundary_activations));
        }
        let first = self.stages[index].layers.first;
        let Some(mut input) = self.replay_input(first, position) else {
            return Ok(Err(()));
        };
        for stage in stages {
            if stage.layers.first != first
                && let Input::Activations { data, .. } = &input
            {
                boundary_activations.push((stage.layers.first, data.clone()));
            }
            let time_left = self.time_left()?;
            let pending = self.run_step_on(stage, 0, input, time_left, Duration::ZERO);
            match pending.await {
                Ok(Output::Activations(data)) => {
                    input = Input::Activations {
                        token_count: position,
                        data,
                    };
                }
                // The last range returns the token that followed, which was already sent to the
                // caller.
                Ok(Output::Token(token)) => {
                    let sent_token = self.tokens.get(position as usize);
                    if sent_token != Some(&token) {
                        self.record_divergence(stage.target());
                        return Ok(Err(()));
                    }
                    input = Input::Tokens(vec![token]);
                }
                Err(failed) => {
                    self.record_failure(stage.target(), failed.kind());
                    self.avoid_target(stage.target());
                    return Ok(Err(()));
                }
            }
        }
        Ok(Ok(boundary_activations))
    }

    /// Returns the input of the first `position` tokens at the boundary before `layer`, or `None`
    /// if it is not kept.
    pub(super) fn replay_input(&self, layer: Layer, position: Position) -> Option<Input> {
        if layer == 0 || position == 0 {
            return Some(Input::Tokens(self.tokens[..position as usize].to_vec()));
        }
        let data = self.activations.replay(layer, 0, position)?;
        Some(Input::Activations {
            token_count: position,
            data,
        })
    }

    fn avoid_target(&mut self, target: &Target) {
        let id = &target.address.id;
        if !self.avoided_targets.contains(id) {
            self.avoided_targets.push(id.clone());
        }
    }

    /// Records that a rebuilt range returned another token than the one that was sent. The range
    /// can't be trusted, so the kept activations are discarded and the target is avoided.
    fn record_divergence(&mut self, target: &Target) {
        spdlog::error!("recovery.diverged", kv: {
            target = target.address.id.as_str(),
            request = self.job.request.as_str(),
        });
        self.activations.clear();
        self.avoid_target(target);
    }
}

/// Longest wait for one export or import of caches.
const KV_TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

impl RelocationMethod {
    fn action(self) -> anvil_core::recovery::RecoveryAction {
        match self {
            Self::Import => anvil_core::recovery::RecoveryAction::Import,
            Self::Rebuild => anvil_core::recovery::RecoveryAction::Rebuild,
        }
    }
}

fn relocation_cause(stage: &Stage) -> Option<RelocationCause> {
    if stage.target().leaving() == Leaving::Yes {
        return Some(RelocationCause::Leaving);
    }
    if stage.node.role == Role::Prefill {
        return Some(RelocationCause::Prefill);
    }
    (stage.target().step_time.slowdown(Instant::now()) > RELOCATION_SLOWDOWN_MIN)
        .then_some(RelocationCause::Slow)
}
