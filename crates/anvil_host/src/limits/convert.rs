//! Converts reports and grants to and from the types of peer messages.

use std::time::Duration;

use anvil_core::{
    id::TeamId,
    limits::{
        Amounts,
        Grant,
        Report, //
    }, //
};
use anvil_wire::generated::peer_shares::{
    ShareAmounts,
    ShareGrant,
    ShareReport, //
};

fn amounts_to_wire(amounts: Amounts) -> ShareAmounts {
    ShareAmounts([
        amounts.requests_per_s,
        amounts.tokens_per_s,
        amounts.open_requests,
    ])
}

/// Converts amounts from a peer message. A value that is not a positive, finite number becomes 0.
fn amounts_from_wire(amounts: &ShareAmounts) -> Amounts {
    let sanitize = |value: f64| {
        if value.is_finite() {
            value.max(0.0)
        } else {
            0.0
        }
    };
    let [requests_per_s, tokens_per_s, open_requests] = amounts.0;
    Amounts {
        requests_per_s: sanitize(requests_per_s),
        tokens_per_s: sanitize(tokens_per_s),
        open_requests: sanitize(open_requests),
    }
}

/// Converts a duration to milliseconds, rounded up. A home must never assume that a share expires
/// earlier than the host that holds it does.
fn ceil_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}

pub(super) fn report_to_wire(team: &TeamId, report: &Report) -> ShareReport {
    ShareReport {
        team: team.clone(),
        number: report.number,
        demand: amounts_to_wire(report.demand),
        held: amounts_to_wire(report.held),
        held_for_ms: ceil_ms(report.held_for),
        counted: amounts_to_wire(report.counted),
    }
}

pub(super) fn report_from_wire(report: &ShareReport) -> Report {
    Report {
        number: report.number,
        demand: amounts_from_wire(&report.demand),
        held: amounts_from_wire(&report.held),
        held_for: Duration::from_millis(report.held_for_ms),
        counted: amounts_from_wire(&report.counted),
    }
}

pub(super) fn grant_to_wire(team: &TeamId, grant: &Grant) -> ShareGrant {
    ShareGrant {
        team: team.clone(),
        number: grant.number,
        share: amounts_to_wire(grant.share),
        // Rounded down, so that the host's share never expires after the home's entry for it.
        lifetime_ms: u64::try_from(grant.lifetime.as_millis()).unwrap_or(u64::MAX),
    }
}

pub(super) fn grant_from_wire(grant: &ShareGrant) -> Grant {
    Grant {
        number: grant.number,
        share: amounts_from_wire(&grant.share),
        lifetime: Duration::from_millis(grant.lifetime_ms),
    }
}
