use std::sync::Arc;

use googletest::prelude::*;

use super::*;
use crate::limits::share::floor;

const LIMITS: Amounts = Amounts {
    requests_per_s: 100.0,
    tokens_per_s: 10_000.0,
    open_requests: 40.0,
};

struct Host {
    share: Arc<Share>,
    reporter: Reporter,
    settings: Settings,
}

impl Host {
    fn new(now: Instant) -> Self {
        let settings = Settings::default();
        Self {
            share: Arc::new(Share::new(&settings, LIMITS, 20, now)),
            reporter: Reporter::new(0, now),
            settings,
        }
    }

    fn report(&mut self, urgency: Urgency, now: Instant) -> Option<Report> {
        self.reporter
            .report(&self.share, &self.settings, urgency, now)
    }

    /// Returns a host that has reported and was granted all of the limits.
    fn granted(now: Instant) -> Self {
        let mut host = Self::new(now);
        let report = host.report(Urgency::RequestWaits, now).unwrap();
        let grant = host.grant(report.number, 1.0);
        assert!(host.reporter.answer(&host.share, &grant, now));
        host
    }

    fn grant(&self, number: u64, fraction: f64) -> Grant {
        Grant {
            number,
            share: LIMITS.scaled(fraction),
            lifetime: self.settings.share_lifetime,
        }
    }
}

#[gtest]
fn report_silent_team_sends_nothing() {
    let start = Instant::now();
    let mut host = Host::new(start);
    let mut reports = 0;
    for tick in 1..500 {
        let now = start + Duration::from_millis(200) * tick;
        reports += u32::from(host.report(Urgency::Interval, now).is_some());
    }
    expect_that!(reports, eq(0));
}

#[gtest]
fn report_idle_share_expires_without_renewal() {
    let start = Instant::now();
    let mut host = Host::granted(start);
    let mut reports = 0;
    for tick in 1..60 {
        let now = start + Duration::from_millis(200) * tick;
        if let Some(report) = host.report(Urgency::Interval, now) {
            reports += 1;
            let grant = host.grant(report.number, 0.02);
            host.reporter.answer(&host.share, &grant, now);
        }
    }
    expect_that!(host.share.basis(), eq(Basis::Silent));
    // One report returns the share, one confirms the decrease, and one per second renews the share
    // while it was used recently.
    expect_that!(reports, le(6));
}

#[gtest]
fn report_busy_share_is_reported_each_interval() {
    let start = Instant::now();
    let mut host = Host::granted(start);
    let mut reports = 0;
    let mut demand = Amounts::default();
    for tick in 1..=50 {
        let now = start + Duration::from_millis(200) * tick;
        for _ in 0..40 {
            drop(host.share.try_charge(1, now));
        }
        if let Some(report) = host.report(Urgency::Interval, now) {
            reports += 1;
            demand = report.demand;
            let grant = host.grant(report.number, 0.5);
            host.reporter.answer(&host.share, &grant, now);
        }
    }
    expect_that!(reports, ge(48));
    // Refused requests count: the home must know what the host would use.
    expect_that!(demand.requests_per_s, near(200.0, 1.0));
}

#[gtest]
fn report_lowers_share_before_answer() {
    let start = Instant::now();
    let mut host = Host::granted(start);
    let now = start + Duration::from_millis(1600);
    drop(host.share.try_charge(1, now));
    let report = host.report(Urgency::RequestWaits, now).unwrap();
    expect_that!(report.held.requests_per_s, le(20.0));
    expect_that!(
        host.share.amounts().requests_per_s,
        le(report.held.requests_per_s)
    );
}

#[gtest]
fn answer_to_older_report_is_ignored() {
    let start = Instant::now();
    let mut host = Host::new(start);
    let first = host.report(Urgency::RequestWaits, start).unwrap();
    host.report(Urgency::RequestWaits, start).unwrap();
    let grant = host.grant(first.number, 1.0);
    expect_that!(host.reporter.answer(&host.share, &grant, start), eq(false));
    expect_that!(host.share.basis(), eq(Basis::Silent));
}

#[gtest]
fn answer_counts_lifetime_from_sending() {
    let start = Instant::now();
    let mut host = Host::new(start);
    let report = host.report(Urgency::RequestWaits, start).unwrap();
    let grant = host.grant(report.number, 1.0);
    let late = start + host.settings.share_lifetime;
    expect_that!(host.reporter.answer(&host.share, &grant, late), eq(false));
}

#[gtest]
fn fail_keeps_share_until_it_ends_then_floor() {
    let start = Instant::now();
    let mut host = Host::granted(start);
    let before = host.share.amounts().requests_per_s;
    let mut fail = |at: Duration| {
        let reporter = &mut host.reporter;
        let floor = floor(LIMITS, 20);
        let unanswered = Unanswered::NotSent;
        reporter.fail(&host.share, unanswered, floor, &host.settings, start + at);
        (host.share.basis(), host.share.amounts().requests_per_s)
    };
    expect_that!(fail(Duration::ZERO), eq((Basis::Granted, before)));
    let ended = host.settings.share_lifetime;
    expect_that!(fail(ended), eq((Basis::Floor, 5.0)));
}

#[gtest]
fn fail_without_share_waits_before_floor() {
    let start = Instant::now();
    let mut host = Host::new(start);
    let mut fail = |at: Duration| {
        let reporter = &mut host.reporter;
        let floor = floor(LIMITS, 20);
        let unanswered = Unanswered::NotSent;
        reporter.fail(&host.share, unanswered, floor, &host.settings, start + at);
        host.share.basis()
    };
    expect_that!(fail(Duration::ZERO), eq(Basis::Silent));
    expect_that!(fail(host.settings.floor_delay), eq(Basis::Floor));
}
