//! One sequence: the tokens so far, the stages that hold its caches, and what was applied.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use anvil_core::{
    document::Model,
    id::{
        Attempt,
        LayerRange,
        Position,
        TargetId,
        Token, //
    },
    outcome::{
        Reason,
        Refused, //
    },
    prefix,
    recovery::{
        ActivationBuffer,
        Lineage, //
    },
    route::Phase,
    step::{
        Input,
        Output, //
    },
};

use super::{
    Job,
    recover::RecoveryOutcome,
    router::{
        AvoidedTargets,
        Route, //
    },
    stage::Stage,
};
use crate::{
    explain::Decision,
    shared::Shared,
    targets::Target, //
};

/// Whether a step of the sequence left this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DispatchState {
    /// None did, so the request has not run.
    NotSent,
    /// One did.
    Sent,
}

/// A sequence that is being decoded.
pub(super) struct Sequence<'a> {
    pub shared: &'a Arc<Shared>,
    pub job: &'a Job,
    pub model: Arc<Model>,
    /// All layers of the model.
    pub layers: LayerRange,
    /// Hashes of the prompt's blocks.
    pub block_hashes: Vec<u64>,
    /// Invariant: they tile `layers` in order.
    pub stages: Vec<Stage>,
    pub lineage: Lineage,
    pub activations: ActivationBuffer,
    /// The prompt, then the answer tokens given out.
    pub tokens: Vec<Token>,
    /// Attempt of the next range that is built.
    pub next_attempt: Attempt,
    /// Targets that failed since the last token.
    pub avoid: Vec<TargetId>,
    /// Recoveries since the last token.
    pub recoveries: u32,
    /// Times that the present step was asked for again.
    pub same_target_retries: u32,
    /// Before this, no stage is moved that could not be moved last time.
    pub move_not_before: Instant,
    pub dispatch_state: DispatchState,
    /// Targets and attempts whose caches must be freed at the end.
    used: Vec<(Arc<Target>, Attempt)>,
}

/// What became of one pass over all layers.
enum Pass {
    /// It gave the next token.
    Token(Token),
    /// A new attempt began.
    Restarted,
}

impl<'a> Sequence<'a> {
    /// Chooses the first route of a job.
    pub fn open(shared: &'a Arc<Shared>, job: &'a Job) -> Result<Self, Refused> {
        let config = shared.config();
        let Some(model) = config.document.models.get(&job.model).cloned() else {
            return Err(Refused::not_run(
                Reason::NotFound,
                format!("no model {} is configured", job.model),
            ));
        };
        drop(config);
        let layers = LayerRange::new(0, model.layer_count)
            .ok_or_else(|| no_route(job, DispatchState::NotSent))?;
        let prompt_tokens = u32::try_from(job.prompt.len()).unwrap_or(u32::MAX);
        let mut sequence = Self {
            shared,
            job,
            layers,
            block_hashes: prefix::block_hashes(&job.model, &model.version, &job.prompt),
            stages: Vec::new(),
            lineage: Lineage::new(model.layer_count, prompt_tokens),
            activations: ActivationBuffer::new(Arc::clone(&shared.targets.activation_budget)),
            tokens: job.prompt.clone(),
            next_attempt: 0,
            avoid: Vec::new(),
            recoveries: 0,
            same_target_retries: 0,
            move_not_before: Instant::now(),
            dispatch_state: DispatchState::NotSent,
            used: Vec::new(),
            model,
        };
        let route = sequence
            .full_route()
            .ok_or_else(|| no_route(job, DispatchState::NotSent))?;
        sequence.begin_attempt(route, "predicted completion");
        Ok(sequence)
    }

    /// Runs the pass that gives the next token.
    pub async fn next_token(&mut self) -> Result<Token, Refused> {
        loop {
            self.relocate_unfit_stages().await?;
            if let Pass::Token(token) = self.pass().await? {
                self.lineage.emit();
                self.tokens.push(token);
                self.avoid.clear();
                self.recoveries = 0;
                return Ok(token);
            }
        }
    }

    /// Applies every layer to the tokens that were not applied yet.
    async fn pass(&mut self) -> Result<Pass, Refused> {
        let position = self.lineage.covered(self.layers);
        let mut input = Input::Tokens(self.tokens[position as usize..].to_vec());
        let token_count = input.token_count();
        let mut index = 0;
        while index < self.stages.len() {
            let layers = self.stages[index].layers;
            if let Input::Activations { data, .. } = &input {
                self.activations
                    .append(layers.first, position, token_count, data.clone());
            }
            let output = match self.run_step(index, position, input.clone()).await? {
                Ok(output) => output,
                Err(failure) => match self.recover(index, position, failure).await? {
                    RecoveryOutcome::SameInput => continue,
                    RecoveryOutcome::Restarted => return Ok(Pass::Restarted),
                },
            };
            self.lineage.apply(layers, position, token_count);
            self.same_target_retries = 0;
            match output {
                Output::Token(token) => return Ok(Pass::Token(token)),
                Output::Activations(data) => input = Input::Activations { token_count, data },
            }
            index += 1;
        }
        Err(self.refused(Reason::TargetFailed, "the last stage gave no token"))
    }

    /// A route for all layers, from the prompt on.
    pub fn full_route(&self) -> Option<Route> {
        let avoid = AvoidedTargets {
            last_resort: &self.avoid,
            excluded: None,
        };
        self.route(self.layers, Phase::Prompt, self.next_position(), avoid)
    }

    /// Begins an attempt over `route`.
    pub fn begin_attempt(&mut self, route: Route, reason: &str) {
        let attempt = self.allocate_attempt();
        let decision = Decision::new("route.chosen", route.label(), reason).attempt(attempt);
        let decision = match route.runner_up() {
            Some(runner_up) => decision.runner_up(runner_up),
            None => decision,
        };
        self.shared.explain.record(&self.job.request, decision);
        self.lineage.restart();
        self.activations.clear();
        let stages = self.open_stages(route, attempt);
        self.replace_stages(0..self.stages.len(), stages);
        self.same_target_retries = 0;
    }

    /// Opens the stages of a route; their caches are freed at the end at the latest.
    pub fn open_stages(&mut self, route: Route, attempt: Attempt) -> Vec<Stage> {
        let stages = route.open(attempt);
        for stage in &stages {
            self.used.push((Arc::clone(stage.target()), attempt));
        }
        stages
    }

    /// Puts `stages` in the place of those at `replaced`, and frees what those held.
    pub fn replace_stages(&mut self, replaced: std::ops::Range<usize>, stages: Vec<Stage>) {
        let old: Vec<Stage> = self.stages.splice(replaced, stages).collect();
        for stage in old {
            self.free(stage.target(), stage.attempt);
            stage.close();
        }
        self.assert_tiled();
    }

    /// Frees a sequence's caches on a target, unless a stage still uses them.
    fn free(&mut self, target: &Arc<Target>, attempt: Attempt) {
        let is_same = |other: &Arc<Target>| other.address.id == target.address.id;
        let in_use = |stage: &Stage| stage.attempt == attempt && is_same(stage.target());
        if self.stages.iter().any(in_use) {
            return;
        }
        self.cancel(target, attempt);
        self.used
            .retain(|(used, number)| *number != attempt || !is_same(used));
    }

    /// Frees what a range held on targets that did not become stages.
    pub fn abandon(&mut self, stages: Vec<Stage>) {
        for stage in stages {
            self.free(stage.target(), stage.attempt);
            stage.close();
        }
    }

    fn cancel(&self, target: &Target, attempt: Attempt) {
        let request = self.job.request.clone();
        self.shared
            .ports
            .engine
            .cancel(&target.address, request, attempt);
    }

    /// Takes the next number of an attempt.
    pub fn allocate_attempt(&mut self) -> Attempt {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        attempt
    }

    /// Position of the next answer token.
    pub fn next_position(&self) -> Position {
        self.lineage.next_position()
    }

    /// Answer tokens still to give.
    pub fn tokens_left(&self) -> u32 {
        self.job
            .limit_tokens
            .saturating_sub(self.lineage.emitted_tokens())
    }

    /// Time left until the deadline, or a refusal.
    pub fn time_left(&self) -> Result<Duration, Refused> {
        let time_left = self.job.deadline.saturating_duration_since(Instant::now());
        if time_left.is_zero() {
            return Err(self.refused(Reason::Deadline, "the deadline passed"));
        }
        Ok(time_left)
    }

    /// A refusal that says whether the request could have run.
    pub fn refused(&self, reason: Reason, message: impl Into<String>) -> Refused {
        match self.dispatch_state {
            DispatchState::NotSent => Refused::not_run(reason, message),
            DispatchState::Sent => Refused::unknown(reason, message),
        }
    }

    fn assert_tiled(&self) {
        let mut reached = self.layers.first;
        for stage in &self.stages {
            assert_eq!(stage.layers.first, reached, "stages must tile the layers");
            reached = stage.layers.end;
        }
        assert_eq!(reached, self.layers.end, "stages must tile the layers");
    }

    /// Frees every cache of the sequence.
    pub fn close(self) {}
}

impl Drop for Sequence<'_> {
    fn drop(&mut self) {
        for (target, attempt) in std::mem::take(&mut self.used) {
            self.cancel(&target, attempt);
        }
    }
}

/// A refusal for want of a route.
pub(super) fn no_route(job: &Job, sent: DispatchState) -> Refused {
    let message = format!("no targets hold all layers of {}", job.model);
    match sent {
        DispatchState::NotSent => Refused::not_run(Reason::NoRoute, message),
        DispatchState::Sent => Refused::unknown(Reason::NoRoute, message),
    }
}
