//! One sequence: the tokens so far, the stages that hold its caches, and the layers applied to each
//! token.

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

/// Whether this host sent a step of the sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DispatchState {
    /// No step was sent, so the request has not run.
    NotSent,
    /// At least one step was sent, so the request may have run.
    Sent,
}

/// A sequence whose answer is being generated.
pub(super) struct Sequence<'a> {
    pub shared: &'a Arc<Shared>,
    pub job: &'a Job,
    pub model: Arc<Model>,
    /// All layers of the model.
    pub layers: LayerRange,
    /// Hashes of the prompt's blocks, by which cached prefixes are found.
    pub block_hashes: Vec<u64>,
    /// Stages in layer order. Invariant: they cover `layers` without a gap or an overlap.
    pub stages: Vec<Stage>,
    pub lineage: Lineage,
    pub activations: ActivationBuffer,
    /// The prompt, then the answer tokens sent so far.
    pub tokens: Vec<Token>,
    /// Attempt number of the next stages that are opened.
    pub next_attempt: Attempt,
    /// Targets that failed since the last token.
    pub avoided_targets: Vec<TargetId>,
    /// Number of recoveries since the last token.
    pub recoveries: u32,
    /// Number of times that the current step was requested again from the same target, or
    /// `u32::MAX` if the target's retry budget is used up.
    pub same_target_retries: u32,
    /// Time before which no stage is moved, set when a stage could not be moved.
    pub next_relocation_at: Instant,
    pub dispatch_state: DispatchState,
    /// Targets and attempts whose caches must be freed when the sequence ends.
    open_caches: Vec<(Arc<Target>, Attempt)>,
}

/// Result of one pass over all layers.
enum PassResult {
    /// The pass returned the next token.
    Token(Token),
    /// A recovery began a new attempt.
    Restarted,
}

impl<'a> Sequence<'a> {
    /// Opens the sequence of a job on its first route. Returns a refusal if the model is not
    /// configured or no route holds all layers.
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
            avoided_targets: Vec::new(),
            recoveries: 0,
            same_target_retries: 0,
            next_relocation_at: Instant::now(),
            dispatch_state: DispatchState::NotSent,
            open_caches: Vec::new(),
            model,
        };
        let route = sequence
            .full_route()
            .ok_or_else(|| no_route(job, DispatchState::NotSent))?;
        sequence.begin_attempt(route, "predicted completion");
        Ok(sequence)
    }

    /// Runs passes until one returns the next token.
    pub async fn next_token(&mut self) -> Result<Token, Refused> {
        loop {
            self.relocate_unsuitable_stages().await?;
            if let PassResult::Token(token) = self.run_pass().await? {
                self.lineage.emit();
                self.tokens.push(token);
                self.avoided_targets.clear();
                self.recoveries = 0;
                return Ok(token);
            }
        }
    }

    /// Applies every layer to the tokens that it was not applied to yet.
    async fn run_pass(&mut self) -> Result<PassResult, Refused> {
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
                    RecoveryOutcome::Restarted => return Ok(PassResult::Restarted),
                },
            };
            self.lineage.apply(layers, position, token_count);
            self.same_target_retries = 0;
            match output {
                Output::Token(token) => return Ok(PassResult::Token(token)),
                Output::Activations(data) => input = Input::Activations { token_count, data },
            }
            index += 1;
        }
        Err(self.refused(Reason::TargetFailed, "the last stage gave no token"))
    }

    /// Returns a route for all layers that starts with the prompt, or `None` if there is none.
    pub fn full_route(&self) -> Option<Route> {
        let avoid = AvoidedTargets {
            last_resort: &self.avoided_targets,
            excluded: None,
        };
        self.route(self.layers, Phase::Prompt, self.next_position(), avoid)
    }

    /// Begins an attempt over `route`, and frees the caches of the previous one.
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

    /// Opens the stages of a route. Their caches are freed at the latest when the sequence ends.
    pub fn open_stages(&mut self, route: Route, attempt: Attempt) -> Vec<Stage> {
        let stages = route.open(attempt);
        for stage in &stages {
            self.open_caches.push((Arc::clone(stage.target()), attempt));
        }
        stages
    }

    /// Replaces the stages at `replaced` by `stages`, and frees the caches of the old ones.
    pub fn replace_stages(&mut self, replaced: std::ops::Range<usize>, stages: Vec<Stage>) {
        let old_stages: Vec<Stage> = self.stages.splice(replaced, stages).collect();
        for stage in old_stages {
            self.free_caches(stage.target(), stage.attempt);
            stage.close();
        }
        self.assert_tiled();
    }

    /// Frees the caches of an attempt on a target, unless a stage still uses them.
    fn free_caches(&mut self, target: &Arc<Target>, attempt: Attempt) {
        let is_same = |other: &Arc<Target>| other.address.id == target.address.id;
        let in_use = |stage: &Stage| stage.attempt == attempt && is_same(stage.target());
        if self.stages.iter().any(in_use) {
            return;
        }
        self.cancel(target, attempt);
        self.open_caches
            .retain(|(holder, number)| *number != attempt || !is_same(holder));
    }

    /// Closes stages that did not become part of the sequence, and frees their caches.
    pub fn discard_stages(&mut self, stages: Vec<Stage>) {
        for stage in stages {
            self.free_caches(stage.target(), stage.attempt);
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

    /// Returns a new attempt number.
    pub fn allocate_attempt(&mut self) -> Attempt {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        attempt
    }

    /// Returns the position of the next answer token.
    pub fn next_position(&self) -> Position {
        self.lineage.next_position()
    }

    /// Returns the maximum number of answer tokens still to send.
    pub fn tokens_left(&self) -> u32 {
        self.job
            .limit_tokens
            .saturating_sub(self.lineage.emitted_tokens())
    }

    /// Returns the time left until the deadline, or a refusal if the deadline has passed.
    pub fn time_left(&self) -> Result<Duration, Refused> {
        let time_left = self.job.deadline.saturating_duration_since(Instant::now());
        if time_left.is_zero() {
            return Err(self.refused(Reason::Deadline, "the deadline passed"));
        }
        Ok(time_left)
    }

    /// Returns a refusal that states whether the request may have run.
    pub fn refused(&self, reason: Reason, message: impl Into<String>) -> Refused {
        match self.dispatch_state {
            DispatchState::NotSent => Refused::not_run(reason, message),
            DispatchState::Sent => Refused::unknown(reason, message),
        }
    }

    fn assert_tiled(&self) {
        let mut next_layer = self.layers.first;
        for stage in &self.stages {
            assert_eq!(
                stage.layers.first, next_layer,
                "stages must cover the layers without a gap or an overlap"
            );
            next_layer = stage.layers.end;
        }
        assert_eq!(
            next_layer, self.layers.end,
            "stages must cover the layers without a gap or an overlap"
        );
    }

    /// Frees every cache of the sequence on the targets.
    pub fn close(self) {}
}

impl Drop for Sequence<'_> {
    fn drop(&mut self) {
        for (target, attempt) in std::mem::take(&mut self.open_caches) {
            self.cancel(&target, attempt);
        }
    }
}

/// Returns the refusal of a job for which there is no route.
pub(super) fn no_route(job: &Job, dispatch_state: DispatchState) -> Refused {
    let message = format!("no targets hold all layers of {}", job.model);
    match dispatch_state {
        DispatchState::NotSent => Refused::not_run(Reason::NoRoute, message),
        DispatchState::Sent => Refused::unknown(Reason::NoRoute, message),
    }
}
