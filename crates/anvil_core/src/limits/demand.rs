//! A host's side of shares: what it reports about a team, and when.

use std::time::{
    Duration,
    Instant, //
};

use crate::limits::{
    Amounts,
    Grant,
    Report,
    Settings,
    share::{
        Basis,
        Share, //
    }, //
};

mod rate;
#[cfg(test)]
mod tests;

use rate::Rate;

/// Fraction of a share in use above which a report is sent every interval.
const BUSY_FRACTION: f64 = 0.9;
/// Relative change of the demand since the last report that is reported before the interval is
/// over.
const CHANGE_FRACTION: f64 = 0.2;
/// Fraction of a share's lifetime: the share is renewed once less than this is left.
const RENEW_FRACTION: f64 = 0.875;
/// Fraction by which an answer must lower a share for the host to confirm the decrease at once.
const LOWERED_FRACTION: f64 = 0.05;
/// Shortest time between two reports of a changed demand or a lowered share, in report intervals.
const CHANGE_REPORT_INTERVALS: f64 = 0.125;
/// Amounts that a host keeps until it has the home's answer, as a multiple of its demand.
const HELD_PER_DEMAND: f64 = 1.1;
/// Fraction of its share that a host keeps in addition, whatever its demand.
const HELD_SHARE_FRACTION: f64 = 0.02;
/// Open requests beyond the current ones that a host asks for, as a fraction of these.
const OPEN_HEADROOM_FRACTION: f64 = 0.1;
/// Time between two attempts to reach a home that doesn't answer, in report intervals.
const RETRY_INTERVALS: u32 = 5;

/// Why a report is sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// A request waits for the answer.
    RequestWaits,
    /// The report interval has passed.
    Interval,
}

/// What is known about a report that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// It never left this host.
    NotSent,
    /// The home may have received it.
    MaybeReceived,
}

/// State of one team's reports at a host.
#[derive(Debug)]
pub struct Reporter {
    /// Number of the newest report. Invariant: rises with each report.
    number: u64,
    sent: Option<Instant>,
    requests: Rate,
    tokens: Rate,
    /// Requests refused since the last report because too many were open.
    open_refused: u32,
    demand: Amounts,
    /// Demand in the newest report.
    reported_demand: Amounts,
    /// Amounts that the newest report states as held.
    held: Amounts,
    /// What a home may count as in use at this host.
    counted: Amounts,
    /// Time since which reports have got no answer; `None` while none is unanswered.
    unanswered_since: Option<Instant>,
    /// Whether the newest answer lowered the share. The home learns from the next report that the
    /// host has applied it.
    lowered: bool,
}

impl Reporter {
    /// Starts to measure a team's demand.
    ///
    /// `first_number` must exceed the numbers of earlier reports on the team in this run of the
    /// host. A host that drops its state of idle teams takes it from a counter of its own.
    pub fn new(first_number: u64, now: Instant) -> Self {
        Self {
            number: first_number,
            sent: None,
            requests: Rate::new(now),
            tokens: Rate::new(now),
            open_refused: 0,
            demand: Amounts::default(),
            reported_demand: Amounts::default(),
            held: Amounts::default(),
            counted: Amounts::default(),
            unanswered_since: None,
            lowered: false,
        }
    }

    /// Returns the report that is due now, or `None`. Lowers the share to the amounts that the
    /// report states as held.
    pub fn report(
        &mut self,
        share: &Share,
        settings: &Settings,
        urgency: Urgency,
        now: Instant,
    ) -> Option<Report> {
        share.expire_if_due(now);
        self.measure(share, now);
        if !self.is_due(share, settings, urgency, now) {
            return None;
        }
        let held = self.amounts_to_hold(share);
        share.lower_to(held, now);
        self.number += 1;
        self.sent = Some(now);
        self.reported_demand = self.demand;
        self.held = held;
        let held_for = share.grant_time_left(now).unwrap_or(Duration::ZERO);
        if held_for.is_zero() {
            self.counted = held;
        }
        self.lowered = false;
        self.open_refused = 0;
        Some(Report {
            number: self.number,
            demand: self.demand,
            held,
            held_for,
            counted: self.counted,
        })
    }

    /// Applies the answer to the newest report and returns `true`. Returns `false` if the answer is
    /// to an older report or its share has expired.
    pub fn answer(&mut self, share: &Share, grant: &Grant, now: Instant) -> bool {
        let Some(sent) = self.sent else { return false };
        let expires = sent + grant.lifetime;
        if grant.number != self.number || expires <= now {
            return false;
        }
        self.unanswered_since = None;
        self.counted = grant.share;
        let before = share.amounts().requests_per_s;
        self.lowered = grant.share.requests_per_s < before * (1.0 - LOWERED_FRACTION);
        share.grant(grant.share, expires, now);
        true
    }

    /// Records that the newest report got no answer. A granted share stays in force until it ends.
    /// A host without one falls to `floor` once no report has been answered for `floor_delay`.
    pub fn fail(
        &mut self,
        share: &Share,
        unanswered: Unanswered,
        floor: Amounts,
        settings: &Settings,
        now: Instant,
    ) {
        share.expire_if_due(now);
        if unanswered == Unanswered::MaybeReceived {
            self.counted = self.held;
        }
        let unanswered_since = *self.unanswered_since.get_or_insert(now);
        let unanswered_for = now.saturating_duration_since(unanswered_since);
        if share.basis() == Basis::Silent && unanswered_for >= settings.floor_delay {
            share.apply_floor(floor, now);
        }
    }

    /// Returns the number of the newest report.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the smoothed demand.
    pub fn demand(&self) -> Amounts {
        self.demand
    }

    fn measure(&mut self, share: &Share, now: Instant) {
        self.open_refused = self.open_refused.saturating_add(share.take_open_refused());
        let open = f64::from(share.open());
        self.demand.open_requests = match self.open_refused {
            0 => open + (open * OPEN_HEADROOM_FRACTION).ceil(),
            refused => open + f64::from(refused),
        };
        let (requests, tokens) = share.offered();
        let change = self.requests.measure(requests, now);
        self.tokens.measure_with_change(tokens, change, now);
        self.demand.requests_per_s = self.requests.per_s();
        self.demand.tokens_per_s = self.tokens.per_s();
    }

    fn is_due(&self, share: &Share, settings: &Settings, urgency: Urgency, now: Instant) -> bool {
        if urgency == Urgency::RequestWaits {
            return true;
        }
        let since_sent = self
            .sent
            .map_or(Duration::MAX, |sent| now.saturating_duration_since(sent));
        let interval = settings.report_interval;
        match share.basis() {
            Basis::Silent => false,
            Basis::Floor => since_sent >= interval * RETRY_INTERVALS,
            Basis::Granted if since_sent < interval.mul_f64(CHANGE_REPORT_INTERVALS) => false,
            Basis::Granted if self.lowered || self.has_changed() => true,
            Basis::Granted => {
                since_sent >= interval
                    && (self.unanswered_since.is_some()
                        || self.is_busy(share)
                        || self.needs_renewal(share, settings, now))
            }
        }
    }

    fn is_busy(&self, share: &Share) -> bool {
        let amounts = share.amounts();
        self.demand.requests_per_s > amounts.requests_per_s * BUSY_FRACTION
            || self.demand.tokens_per_s > amounts.tokens_per_s * BUSY_FRACTION
            || self.open_refused > 0
    }

    /// Returns whether the demand differs from the reported one by more than its noise. Requests
    /// arrive at random, and the deviation of their smoothed rate is known.
    fn has_changed(&self) -> bool {
        let old = self.reported_demand.requests_per_s;
        let new = self.demand.requests_per_s;
        (new - old).abs() > old * CHANGE_FRACTION + self.requests.noise_per_s()
    }

    fn needs_renewal(&self, share: &Share, settings: &Settings, now: Instant) -> bool {
        let in_use = share.idle_for(now) < settings.share_lifetime || share.open() > 0;
        let due = share
            .grant_time_left(now)
            .is_none_or(|left| left < settings.share_lifetime.mul_f64(RENEW_FRACTION));
        in_use && due
    }

    /// Returns what the host keeps until the answer: enough for its demand, so that the home can
    /// grant the rest to others at once.
    fn amounts_to_hold(&self, share: &Share) -> Amounts {
        if share.basis() != Basis::Granted {
            return Amounts {
                open_requests: f64::from(share.open()),
                ..Amounts::default()
            };
        }
        let amounts = share.amounts();
        let wanted = self
            .demand
            .scaled(HELD_PER_DEMAND)
            .plus(amounts.scaled(HELD_SHARE_FRACTION));
        let open_requests = (self.demand.open_requests)
            .min(amounts.open_requests)
            .max(f64::from(share.open()));
        Amounts {
            open_requests,
            ..wanted.min(amounts)
        }
    }
}
