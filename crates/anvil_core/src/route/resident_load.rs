//! Estimates an engine's resident load from a lagging report and this host's own work.

/// What an engine reported, beside what this host had there at the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Sequences of all hosts together.
    pub open_sequences: u32,
    /// Sequences of this host when the report was made.
    pub own_sequences: u32,
}

/// What this host has on an engine now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnLoad {
    /// Sequences.
    pub sequences: u32,
    /// Engine time that they need per token.
    pub resident_ns: f64,
}

/// Estimates the engine time that the sequences of all hosts need per token.
///
/// Hosts that share an engine follow the same policy, so what this host changed since the report
/// stands for what the others changed: without that, each would see only its own part of the
/// load that all add between two reports.
pub fn estimate_resident_ns(own: OwnLoad, reported: Option<ReportedLoad>, sequence_ns: f64) -> f64 {
    let Some(reported) = reported else {
        return own.resident_ns;
    };
    let others_then = f64::from(
        reported
            .open_sequences
            .saturating_sub(reported.own_sequences),
    );
    let own_then = f64::from(reported.own_sequences);
    let own_now = f64::from(own.sequences);
    let others_now = if own_then > 0.0 {
        others_then * (own_now / own_then).clamp(MIRROR_LOW, MIRROR_HIGH)
    } else {
        others_then
    };
    let mean_ns = if own_now > 0.0 {
        own.resident_ns / own_now
    } else {
        sequence_ns
    };
    own.resident_ns + others_now * mean_ns
}

/// Bounds of the change since the report that is attributed to other hosts.
const MIRROR_LOW: f64 = 0.5;
const MIRROR_HIGH: f64 = 2.0;
