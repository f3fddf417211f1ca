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

/// How the caches come to the new targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RelocationMethod {
    /// The old target exports them.
    Import,
    /// They are built again from kept activations.
    Rebuild,
}

/// Why a stage should move although it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unfit {
    /// Its target is leaving.
    Leaving,
    /// Its target takes prompts alone.
    Prefill,
    /// Its steps take far longer than predicted.
    Slow,
}

/// Ratio of observed to predicted step time above which a stage is slow.
const SLOWDOWN_TO_MOVE: f64 = 4.0;
/// Part of the present cost that a move must save.
const SAVING_TO_MOVE: f64 = 0.5;
/// Pause after a move that was not possible.
const MOVE_PAUSE: Duration = Duration::from_millis(250);

impl Sequence<'_> {
    /// Moves the stages whose targets leave, take no answers, or have become slow.
    ///
    /// A stage that can't be moved goes on where it is.
    pub(super) async fn relocate_unfit_stages(&mut self) -> Result<(), Refused> {
        let position = self.lineage.covered(self.layers);
        if position == 0 || Instant::now() < self.move_not_before {
            return Ok(());
        }
        let mut index = 0;
        while index < self.stages.len() {
            if let Some(unfit) = unfit(&self.stages[index])
                && !self.move_stage(index, position, unfit).await?
            {
                self.move_not_before = Instant::now() + MOVE_PAUSE;
            }
            index += 1;
        }
        Ok(())
    }

    async fn move_stage(
        &mut self,
        index: usize,
        position: Position,
        unfit: Unfit,
    ) -> Result<bool, Refused> {
        let stage = &self.stages[index];
        let id = stage.target().address.id.clone();
        let avoid = AvoidedTargets {
            last_resort: &self.avoid,
            excluded: Some(&id),
        };
        let Some(route) = self.route(stage.layers, Phase::Answer, 0, avoid) else {
            return Ok(false);
        };
        let import_ns = self.import_ns(index, position, &route);
        let rebuild_ns = self
            .replay_input(stage.layers.first, position)
            .map_or(f64::INFINITY, |_| route.unloaded_ns(position));
        if unfit == Unfit::Slow && !self.saves(index, &route, import_ns.min(rebuild_ns)) {
            return Ok(false);
        }
        let means = match import_ns <= rebuild_ns {
            true => RelocationMethod::Import,
            false => RelocationMethod::Rebuild,
        };
        let reason = match unfit {
            Unfit::Leaving => "target is leaving",
            Unfit::Prefill => "target takes prompts alone",
            Unfit::Slow => "target has become slow",
        };
        let decision = Decision::new("recovery.moved", route.label(), reason)
            .runner_up(id)
            .attempt(stage.attempt);
        self.shared.explain.record(&self.job.request, decision);
        if self.relocate(index, position, route, means).await? {
            self.shared.targets.counters.record_recovery(means.action());
            return Ok(true);
        }
        Ok(false)
    }

    /// Tells whether the rest of the answer gets cheaper by a move.
    fn saves(&self, index: usize, route: &Route, move_ns: f64) -> bool {
        let stage = &self.stages[index];
        let step = stage
            .target()
            .predicted_step(&stage.node, stage.layers.count(), 1);
        let present_ns = step.as_nanos() as f64
            * stage.target().step_time.slowdown(Instant::now())
            * f64::from(self.tokens_left());
        route.cost_ns() + move_ns < present_ns * SAVING_TO_MOVE
    }

    /// Moves the range of the stage at `index` to `route`; false where that failed, and then the
    /// sequence is as it was.
    pub(super) async fn relocate(
        &mut self,
        index: usize,
        position: Position,
        route: Route,
        means: RelocationMethod,
    ) -> Result<bool, Refused> {
        let attempt = self.allocate_attempt();
        let stages = self.open_stages(route, attempt);
        let moved = match means {
            RelocationMethod::Import => self.import(index, position, &stages).await,
            RelocationMethod::Rebuild => self.rebuild(index, position, &stages).await?,
        };
        let Ok(inner) = moved else {
            self.abandon(stages);
            return Ok(false);
        };
        let layers = self.stages[index].layers;
        self.activations.discard_within(layers);
        if means == RelocationMethod::Rebuild && position > 0 {
            self.lineage.invalidate(layers, 0);
            for stage in &stages {
                self.lineage.apply(stage.layers, 0, position);
            }
        }
        for (layer, data) in inner {
            self.activations.append(layer, 0, position, data);
        }
        assert_eq!(
            self.lineage.covered(layers),
            position,
            "a moved range must hold the tokens before the present step"
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
        let old = &self.stages[index];
        for stage in stages {
            let name = |attempt| KvName {
                request: self.job.request.clone(),
                attempt,
                layers: stage.layers,
            };
            let source = &old.target().address;
            let exported = engine.export_kv(source, name(old.attempt));
            let Ok(Ok(export)) = tokio::time::timeout(KV_TIMEOUT, exported).await else {
                return Err(());
            };
            if export.position != position {
                return Err(());
            }
            let sink = &stage.target().address;
            let imported = engine.import_kv(sink, name(stage.attempt), export);
            if !matches!(tokio::time::timeout(KV_TIMEOUT, imported).await, Ok(Ok(()))) {
                self.note_bad(stage.target());
                return Err(());
            }
        }
        Ok(Vec::new())
    }

    /// Replays the inputs of the range to `stages`, and gives the activations at the boundaries
    /// between them.
    async fn rebuild(
        &mut self,
        index: usize,
        position: Position,
        stages: &[Stage],
    ) -> Result<Result<Vec<(Layer, bytes::Bytes)>, ()>, Refused> {
        let mut inner = Vec::new();
        if position == 0 {
            return Ok(Ok(inner));
        }
        let first = self.stages[index].layers.first;
        let Some(mut input) = self.replay_input(first, position) else {
            return Ok(Err(()));
        };
        for stage in stages {
            if stage.layers.first != first
                && let Input::Activations { data, .. } = &input
            {
                inner.push((stage.layers.first, data.clone()));
            }
            let time_left = self.time_left()?;
            let asked = self.run_step_on(stage, 0, input, time_left, Duration::ZERO);
            match asked.await {
                Ok(Output::Activations(data)) => {
                    input = Input::Activations {
                        token_count: position,
                        data,
                    };
                }
                // The last range gives the token that followed, which the caller has.
                Ok(Output::Token(token)) => {
                    let known = self.tokens.get(position as usize);
                    if known != Some(&token) {
                        self.note_divergence(stage.target());
                        return Ok(Err(()));
                    }
                    input = Input::Tokens(vec![token]);
                }
                Err(failed) => {
                    self.record_failure(stage.target(), failed.kind());
                    self.note_bad(stage.target());
                    return Ok(Err(()));
                }
            }
        }
        Ok(Ok(inner))
    }

    /// Input of the first `position` tokens at the boundary before `layer`, where it is kept.
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

    fn note_bad(&mut self, target: &Target) {
        let id = &target.address.id;
        if !self.avoid.contains(id) {
            self.avoid.push(id.clone());
        }
    }

    /// A rebuilt range gave another token than the one given out: the range can't be trusted.
    fn note_divergence(&mut self, target: &Target) {
        spdlog::error!("recovery.diverged", kv: {
            target = target.address.id.as_str(),
            request = self.job.request.as_str(),
        });
        self.activations.clear();
        self.note_bad(target);
    }
}

/// Longest wait for an export or import.
const KV_TIMEOUT: Duration = Duration::from_secs(2);

impl RelocationMethod {
    fn action(self) -> anvil_core::recovery::RecoveryAction {
        match self {
            Self::Import => anvil_core::recovery::RecoveryAction::Import,
            Self::Rebuild => anvil_core::recovery::RecoveryAction::Rebuild,
        }
    }
}

fn unfit(stage: &Stage) -> Option<Unfit> {
    if stage.target().leaving() == Leaving::Yes {
        return Some(Unfit::Leaving);
    }
    if stage.node.role == Role::Prefill {
        return Some(Unfit::Prefill);
    }
    (stage.target().step_time.slowdown(Instant::now()) > SLOWDOWN_TO_MOVE).then_some(Unfit::Slow)
}
