//! Estimates an engine's resident load from its last report, which lags, and this host's own
//! sequences.

/// Number of sequences in an engine's last report, and how many of them belonged to this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Open sequences of all hosts together.
    pub open_sequences: u32,
    /// Open sequences of this host when the report was made.
    pub own_sequences: u32,
}

/// Current sequences of this host on an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnLoad {
    /// Number of the host's open sequences.
    pub sequences: u32,
    /// Engine time that the sequences need, in total, for one token each.
    pub resident_ns: f64,
}

/// Estimates the engine time that the sequences of all hosts need, in total, for one token each.
///
/// Hosts that share an engine follow the same policy, so the sequences of the other hosts are
/// assumed to have changed since the report by the same factor as those of this host. Otherwise,
/// each host would see only its own part of the load that all hosts add between two reports.
/// `sequence_ns` is the time assumed per sequence if this host has none of its own.
pub fn estimate_resident_ns(own: OwnLoad, reported: Option<ReportedLoad>, sequence_ns: f64) -> f64 {
    let Some(reported) = reported else {
        return own.resident_ns;
    };
    let others_at_report = f64::from(
        reported
            .open_sequences
            .saturating_sub(reported.own_sequences),
    );
    let own_at_report = f64::from(reported.own_sequences);
    let own_now = f64::from(own.sequences);
    let others_now = if own_at_report > 0.0 {
        others_at_report * (own_now / own_at_report).clamp(PEER_CHANGE_MIN, PEER_CHANGE_MAX)
    } else {
        others_at_report
    };
    let mean_sequence_ns = if own_now > 0.0 {
        own.resident_ns / own_now
    } else {
        sequence_ns
    };
    own.resident_ns + others_now * mean_sequence_ns
}

/// Smallest factor by which other hosts' sequences are assumed to have changed since the report.
const PEER_CHANGE_MIN: f64 = 0.5;
/// Largest factor by which other hosts' sequences are assumed to have changed since the report.
const PEER_CHANGE_MAX: f64 = 2.0;
