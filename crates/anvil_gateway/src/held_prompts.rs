//! Records which prompts this host's running requests keep in the memory of engines, so that requests
//! with the same prefix can be sent there.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use anvil_core::{
    engine_model::EngineProfile,
    residency::{
        EngineState,
        HeldPrefix,
        Limits,
        Prefix,
        RecordId,
        Residency,
        Term, //
    },
    route::engine_driven::{
        Demand,
        Path,
        Worker, //
    },
};
use tokio::time::Instant;

use crate::{
    gateway::Gateway,
    paths::Hop,
    port::RequestMetadata,
    target::Target, //
};

/// Whether a chosen path goes through an engine that holds a prefix of the request's prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HolderChoice {
    /// No available engine is known to hold a prefix, or the feature is switched off.
    #[default]
    NoHolder,
    /// The path goes through a holder, and its price was lowered for that.
    Followed,
    /// An available engine holds a prefix, and the path has no saving from it.
    Against,
}

impl HolderChoice {
    /// Returns how a path stands to the holders among the workers that it was chosen from.
    pub(crate) fn of(path: &Path, workers: &[Worker]) -> Self {
        let is_held = workers
            .iter()
            .any(|worker| worker.open && !worker.held.is_empty());
        match is_held {
            false => Self::NoHolder,
            true if path.saved_tokens > 0.0 => Self::Followed,
            true => Self::Against,
        }
    }

    /// Returns the name used in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::NoHolder => "no holder",
            Self::Followed => "followed",
            Self::Against => "against",
        }
    }
}

/// What this host knows of held prompts, from the requests that it sent itself.
#[derive(Debug, Default)]
pub struct HeldPrompts {
    residency: Rc<RefCell<Residency>>,
}

impl HeldPrompts {
    /// Creates an empty record with the default bounds.
    pub fn new() -> Self {
        Self {
            residency: Rc::new(RefCell::new(Residency::new(Limits::default()))),
        }
    }

    /// Returns the number of requests that are recorded, each once for every engine of its path.
    pub fn len(&self) -> usize {
        self.residency.borrow().len()
    }

    /// Returns whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.residency.borrow().is_empty()
    }

    /// Returns the part of a prompt that other requests may share. Returns `None` if it has none, or if
    /// nothing is recorded that could be compared with it.
    pub(crate) fn comparable_prefix(&self, metadata: &RequestMetadata) -> Option<Prefix> {
        if self.is_empty() {
            return None;
        }
        prefix_of(metadata)
    }

    /// Returns the prefixes of a prompt that a target is expected to hold when it prefills the request,
    /// after `delay`.
    pub(crate) fn held_at(
        &self,
        target: &Target,
        prefix: &Prefix,
        now: Instant,
        delay: Duration,
    ) -> Vec<HeldPrefix> {
        let Some(state) = engine_state(target) else {
            return Vec::new();
        };
        let mut residency = self.residency.borrow_mut();
        residency.held(&target.id, state, prefix, now.into_std(), delay)
    }

    /// Records that the engines of a path have prefilled a request, until the guard is dropped.
    /// `expected` is the time for which the request is expected to run from now on. Returns `None` if its
    /// prompt has no parts that others may share.
    pub(crate) fn begin(
        &self,
        metadata: &RequestMetadata,
        hops: &[Hop],
        expected: Duration,
        now: Instant,
    ) -> Option<HoldingGuard> {
        let prefix = Arc::new(prefix_of(metadata)?);
        let term = Term {
            since: now.into_std(),
            expected,
        };
        let mut residency = self.residency.borrow_mut();
        let records = hops.iter().filter_map(|hop| {
            let state = engine_state(&hop.target)?;
            let layers = hop.layers?;
            Some(residency.begin(&hop.target.id, state, layers, &prefix, term))
        });
        Some(HoldingGuard {
            records: records.collect(),
            residency: Rc::clone(&self.residency),
        })
    }

    /// Records that the process of a target has ended.
    pub(crate) fn end_engine(&self, target: &Target) {
        self.residency.borrow_mut().end_engine(&target.id);
    }
}

/// Keeps the records of a request until it is dropped.
#[derive(Debug)]
pub struct HoldingGuard {
    residency: Rc<RefCell<Residency>>,
    records: Vec<RecordId>,
}

impl HoldingGuard {
    /// Records that the request made progress.
    pub(crate) fn confirm(&self, now: Instant) {
        let mut residency = self.residency.borrow_mut();
        for record in &self.records {
            residency.confirm(record, now.into_std());
        }
    }
}

impl Drop for HoldingGuard {
    fn drop(&mut self) {
        let mut residency = self.residency.borrow_mut();
        for record in &self.records {
            residency.end(record);
        }
    }
}

/// Returns the time that a request is expected to run along a path after `events` events.
pub(crate) fn expected_rest(
    engine: &EngineProfile,
    demand: &Demand,
    path: &Path,
    events: u32,
) -> Duration {
    let tokens_per_event = f64::from(engine.steps_per_event.max(1));
    let events_left = (demand.answer_tokens / tokens_per_event - f64::from(events)).max(1.0);
    Duration::try_from_secs_f64(events_left * path.pause_ms / 1e3).unwrap_or_default()
}

/// Counts and logs how a chosen path stands to the engines that hold a prefix of the prompt.
pub(crate) fn record_choice(
    gateway: &Gateway,
    metadata: &RequestMetadata,
    choice: HolderChoice,
    path: &Path,
) {
    if choice == HolderChoice::NoHolder {
        return;
    }
    let saved_tokens = path.saved_tokens.round() as u64;
    gateway
        .metrics
        .record_holder_choice(choice.as_str(), saved_tokens);
    spdlog::info!("stream.prefix_held", kv: {
        request = metadata.id.as_str(),
        choice = choice.as_str(),
        saved_tokens,
        prompt_tokens = metadata.prompt_tokens,
    });
}

fn prefix_of(metadata: &RequestMetadata) -> Option<Prefix> {
    let ids = metadata.shared_parts.iter().map(|id| id.as_str());
    let prefix = Prefix::new(ids.zip(metadata.shared_part_tokens.iter().copied()));
    (!prefix.is_empty()).then_some(prefix)
}

/// Returns what decides whether a target still holds a prompt. Returns `None` if it is no longer listed or
/// has no layers.
fn engine_state(target: &Target) -> Option<EngineState> {
    if target.is_removed.get() {
        return None;
    }
    let entry = target.entry.borrow();
    let (layers, version) = entry.layers?;
    Some(EngineState {
        started_unix_ms: entry.started_unix_ms,
        version,
        layers,
        unresponsive_at: target.unresponsive_at().map(Instant::into_std),
    })
}
