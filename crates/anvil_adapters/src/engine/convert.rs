//! Conversions between the types of `anvil_core` and `anvil_host` and those of the wire.

use std::time::Duration;

use anvil_core::{
    document::{
        Holding,
        Role, //
    },
    id::LayerRange,
    step::{
        Answer,
        Failure,
        Input,
        Name,
        Output,
        Refusal,
        Step, //
    },
};
use anvil_host::port::{
    CacheChange,
    CacheEvent,
    KvName,
    LoadReport,
    Order,
    OrderAction,
    TargetAddress, //
};
use anvil_wire::generated::engine as wire;
use bytes::Bytes;

/// Converts a step, with tag 0. The connection sets the tag when it registers the step.
pub(super) fn step(step: Step) -> wire::Step {
    let token_count = step.input.token_count();
    let (tokens, activations) = match step.input {
        Input::Tokens(tokens) => (tokens, Bytes::new()),
        Input::Activations { data, .. } => (Vec::new(), data),
    };
    wire::Step {
        activations,
        model: step.model,
        name: step_name(step.name),
        priority: step.priority,
        tag: 0,
        time_left_ms: u64::try_from(step.time_left.as_millis()).unwrap_or(u64::MAX),
        token_count,
        tokens,
        version: step.version,
    }
}

fn step_name(name: Name) -> wire::StepName {
    wire::StepName {
        attempt: name.attempt,
        layers: layers(name.layers),
        position: name.position,
        request: name.request,
    }
}

fn layers(layers: LayerRange) -> wire::LayerRange {
    wire::LayerRange {
        end: layers.end,
        first: layers.first,
    }
}

/// Converts the answer to the step `name`.
///
/// # Errors
///
/// Returns [`Failure::Refused`] if the engine refused the step.
pub(super) fn answer(
    answer: wire::StepAnswer,
    name: Name,
    target: &TargetAddress,
) -> Result<Answer, Failure> {
    let refusal = match answer.result {
        wire::StepResult::Activations => {
            return Ok(accepted_answer(
                &answer,
                name,
                Output::Activations(answer.activations.clone()),
            ));
        }
        wire::StepResult::Token => {
            return Ok(accepted_answer(&answer, name, Output::Token(answer.value)));
        }
        wire::StepResult::NotHeld => Refusal::NotHeld,
        wire::StepResult::CacheMismatch => Refusal::CacheMismatch {
            held_position: answer.value,
        },
        wire::StepResult::Overloaded => Refusal::Overloaded,
        wire::StepResult::Leaving => Refusal::Leaving,
        wire::StepResult::Cancelled => Refusal::Cancelled,
        wire::StepResult::Malformed => Refusal::Malformed("the engine can't read it".into()),
    };
    Err(Failure::Refused {
        name,
        target: target.id.clone(),
        refusal,
    })
}

fn accepted_answer(answer: &wire::StepAnswer, name: Name, output: Output) -> Answer {
    Answer {
        name,
        output,
        cached_tokens: answer.cached_tokens,
        queue_depth_steps: answer.queue_depth_steps,
    }
}

/// Converts the name of a sequence's cache.
pub(super) fn kv_name(name: KvName) -> wire::KvName {
    wire::KvName {
        attempt: name.attempt,
        layers: layers(name.layers),
        request: name.request,
    }
}

/// Converts a load report. Holdings with an empty layer range are left out.
pub(super) fn load_report(report: wire::LoadReport) -> LoadReport {
    LoadReport {
        age: Duration::from_millis(report.age_ms),
        queue_depth_steps: report.queue_depth_steps,
        open_sequences: report.open_sequences,
        rate_token_layers_per_s: report.rate_token_layers_per_s,
        holds: report.holds.into_iter().filter_map(holding).collect(),
        leaving: report.leaving,
        fencing_token: report.fencing_token,
    }
}

fn holding(holding: wire::Holding) -> Option<Holding> {
    Some(Holding {
        layers: LayerRange::new(holding.layers.first, holding.layers.end)?,
        model: holding.model,
        version: holding.version,
        role: match holding.role {
            wire::Role::Both => Role::Both,
            wire::Role::Prefill => Role::Prefill,
            wire::Role::Decode => Role::Decode,
        },
    })
}

/// Converts a cache event.
pub(super) fn cache_event(event: wire::CacheEvent) -> CacheEvent {
    CacheEvent {
        sequence_number: event.sequence_number,
        block_hash: event.block_hash,
        change: if event.stored {
            CacheChange::Stored
        } else {
            CacheChange::Evicted
        },
    }
}

/// Converts an order. An unload order applies to both roles and carries no weights.
pub(super) fn order(order: Order) -> wire::Order {
    let (kind, holding, weight_bytes) = match order.action {
        OrderAction::Load {
            model,
            version,
            layers: range,
            role,
            weight_bytes,
        } => {
            let holding = wire::Holding {
                layers: layers(range),
                model,
                role: wire_role(role),
                version,
            };
            (wire::OrderKind::Load, holding, weight_bytes)
        }
        OrderAction::Unload {
            model,
            version,
            layers: range,
        } => {
            let holding = wire::Holding {
                layers: layers(range),
                model,
                role: wire::Role::Both,
                version,
            };
            (wire::OrderKind::Unload, holding, 0)
        }
    };
    wire::Order {
        fencing_token: order.fencing_token,
        holding,
        kind,
        weight_bytes,
    }
}

fn wire_role(role: Role) -> wire::Role {
    match role {
        Role::Both => wire::Role::Both,
        Role::Prefill => wire::Role::Prefill,
        Role::Decode => wire::Role::Decode,
    }
}
