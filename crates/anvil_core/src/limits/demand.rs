//! A host's side of the shares: what it reports of a team, and when.

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

/// Part of a share above which every interval is reported.
const BUSY_PART: f64 = 0.9;
/// Part of the demand last reported by which a change is reported before the interval is over.
const CHANGE_PART: f64 = 0.2;
/// Part of a share's life that is left when it is renewed.
const RENEW_PART: f64 = 0.875;
/// Part by which an answer must lower a share for the home to be told at once.
const LOWERED_PART: f64 = 0.05;
/// Report intervals between which such a change is reported.
const CHANGE_INTERVALS: f64 = 0.125;
/// Head room over the demand that a host keeps until it has the home's answer.
const HELD_OVER_DEMAND: f64 = 1.1;
/// Part of its share that a host keeps whatever its demand.
const HELD_PART: f64 = 0.02;
/// Open requests beyond the present ones that a host asks for, as a part of these.
const OPEN_HEAD_ROOM: f64 = 0.1;
/// Report intervals between two tries to reach a home that doesn't answer.
const LOST_INTERVALS: u32 = 5;

/// Why a report is sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// A request waits for the answer.
    RequestWaits,
    /// The interval has passed.
    Interval,
}

/// What is known of a report that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// It never left this host.
    NotSent,
    /// The home may have taken it in.
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
    /// Requests refused for too many open ones since the last report.
    open_refused: u32,
    demand: Amounts,
    /// Demand in the newest report.
    reported: Amounts,
    /// What is held by the newest report.
    held: Amounts,
    /// What a home may count for this host.
    counted: Amounts,
    /// Since when reports have got no answer; nothing while the newest was answered.
    lost_since: Option<Instant>,
    /// Whether the newest answer lowered the share, of which the home learns by the next report.
    lowered: bool,
}

impl Reporter {
    /// Starts to measure a team's demand.
    ///
    /// `first_number` must exceed the numbers of earlier reports of this run of the host on the
    /// team, which a host that forgets idle teams gets from a counter of its own.
    pub fn new(first_number: u64, now: Instant) -> Self {
        Self {
            number: first_number,
            sent: None,
            requests: Rate::new(now),
            tokens: Rate::new(now),
            open_refused: 0,
            demand: Amounts::default(),
            reported: Amounts::default(),
            held: Amounts::default(),
            counted: Amounts::default(),
            lost_since: None,
            lowered: false,
        }
    }

    /// Makes the report that is due now, if any, and lowers the share to what it says is held.
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
        let held = self.held(share);
        share.hold(held, now);
        self.number += 1;
        self.sent = Some(now);
        self.reported = self.demand;
        self.held = held;
        let held_for = share.granted_for(now).unwrap_or(Duration::ZERO);
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

    /// Puts the answer to the newest report in force; an older one is dropped.
    pub fn answer(&mut self, share: &Share, grant: &Grant, now: Instant) -> bool {
        let Some(sent) = self.sent else { return false };
        let expires = sent + grant.lifetime;
        if grant.number != self.number || expires <= now {
            return false;
        }
        self.lost_since = None;
        self.counted = grant.share;
        let before = share.amounts().requests_per_s;
        self.lowered = grant.share.requests_per_s < before * (1.0 - LOWERED_PART);
        share.grant(grant.share, expires, now);
        true
    }

    /// Counts the newest report as unanswered. A granted share stays until it ends. A host without
    /// one falls to its floor once homes have been silent for long.
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
        let lost_since = *self.lost_since.get_or_insert(now);
        let lost_for = now.saturating_duration_since(lost_since);
        if share.basis() == Basis::Silent && lost_for >= settings.floor_delay {
            share.apply_floor(floor, now);
        }
    }

    /// Number of the newest report.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Smoothed demand.
    pub fn demand(&self) -> Amounts {
        self.demand
    }

    fn measure(&mut self, share: &Share, now: Instant) {
        self.open_refused = self.open_refused.saturating_add(share.take_open_refused());
        let open = f64::from(share.open());
        self.demand.open_requests = match self.open_refused {
            0 => open + (open * OPEN_HEAD_ROOM).ceil(),
            refused => open + f64::from(refused),
        };
        let (requests, tokens) = share.offered();
        let change = self.requests.measure(requests, now);
        self.tokens.measure_with(tokens, change, now);
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
            Basis::Floor => since_sent >= interval * LOST_INTERVALS,
            Basis::Granted if since_sent < interval.mul_f64(CHANGE_INTERVALS) => false,
            Basis::Granted if self.lowered || self.has_changed() => true,
            Basis::Granted => {
                since_sent >= interval
                    && (self.lost_since.is_some()
                        || self.is_busy(share)
                        || self.must_renew(share, settings, now))
            }
        }
    }

    fn is_busy(&self, share: &Share) -> bool {
        let amounts = share.amounts();
        self.demand.requests_per_s > amounts.requests_per_s * BUSY_PART
            || self.demand.tokens_per_s > amounts.tokens_per_s * BUSY_PART
            || self.open_refused > 0
    }

    /// Tells whether demand differs from what was reported by more than its noise: requests come at
    /// random, and the deviation of their smoothed rate is known.
    fn has_changed(&self) -> bool {
        let old = self.reported.requests_per_s;
        let new = self.demand.requests_per_s;
        (new - old).abs() > old * CHANGE_PART + self.requests.noise_per_s()
    }

    fn must_renew(&self, share: &Share, settings: &Settings, now: Instant) -> bool {
        let in_use = share.idle_for(now) < settings.share_lifetime || share.open() > 0;
        let due = share
            .granted_for(now)
            .is_none_or(|left| left < settings.share_lifetime.mul_f64(RENEW_PART));
        in_use && due
    }

    /// What the host keeps until the answer: enough for its demand, so that the home can hand the
    /// rest to others at once.
    fn held(&self, share: &Share) -> Amounts {
        if share.basis() != Basis::Granted {
            return Amounts {
                open_requests: f64::from(share.open()),
                ..Amounts::default()
            };
        }
        let amounts = share.amounts();
        let wanted = self
            .demand
            .scaled(HELD_OVER_DEMAND)
            .plus(amounts.scaled(HELD_PART));
        let open_requests = (self.demand.open_requests)
            .min(amounts.open_requests)
            .max(f64::from(share.open()));
        Amounts {
            open_requests,
            ..wanted.min(amounts)
        }
    }
}
