use std::time::{
    Duration,
    Instant, //
};

use googletest::prelude::*;

use super::*;
use crate::route::Availability;

const MS: Duration = Duration::from_millis(1);

#[gtest]
fn breaker_ejects_after_consecutive_failures() {
    let settings = Settings::default();
    let now = Instant::now();
    let breaker = Breaker::new(now);
    expect_that!(
        breaker.record_failure(Severity::Suspected, now, &settings),
        none()
    );
    breaker.record_success();
    expect_that!(
        breaker.record_failure(Severity::Suspected, now, &settings),
        none()
    );
    expect_that!(breaker.permit(now, &settings), eq(Permit::Use));
    expect_that!(
        breaker.record_failure(Severity::Suspected, now, &settings),
        some(eq(settings.ejection_min))
    );
    expect_that!(breaker.permit(now, &settings), eq(Permit::Avoid));
}

#[gtest]
fn breaker_limits_probes_and_doubles_ejection() {
    let settings = Settings::default();
    let now = Instant::now();
    let breaker = Breaker::new(now);
    breaker.record_failure(Severity::Suspected, now, &settings);
    breaker.record_failure(Severity::Suspected, now, &settings);
    let later = now + settings.ejection_min;
    expect_that!(breaker.permit(later, &settings), eq(Permit::Probe));
    expect_true!(breaker.try_probe(&settings));
    expect_false!(breaker.try_probe(&settings));
    expect_that!(breaker.permit(later, &settings), eq(Permit::Avoid));
    expect_that!(
        breaker.record_failure(Severity::Suspected, later, &settings),
        some(eq(settings.ejection_min * 2))
    );
    breaker.end_probe();
    expect_that!(breaker.permit(later, &settings), eq(Permit::Avoid));
    expect_true!(breaker.record_success());
    expect_that!(breaker.permit(later, &settings), eq(Permit::Use));
}

#[gtest]
fn breaker_ejects_unreachable_target_at_once() {
    let settings = Settings::default();
    let now = Instant::now();
    let breaker = Breaker::new(now);
    breaker.record_failure(Severity::Confirmed, now, &settings);
    expect_that!(breaker.permit(now, &settings), eq(Permit::Avoid));
}

#[gtest]
fn breaker_probes_target_that_is_reachable_again() {
    let settings = Settings::default();
    let now = Instant::now();
    let breaker = Breaker::new(now);
    breaker.record_failure(Severity::Confirmed, now, &settings);
    let later = now + settings.ejection_min / 2;
    expect_that!(breaker.permit(later, &settings), eq(Permit::Avoid));
    expect_true!(breaker.record_reachable(later));
    expect_that!(breaker.permit(later, &settings), eq(Permit::Probe));
    expect_false!(breaker.record_reachable(later));
}

#[gtest]
fn breaker_keeps_reachable_target_ejected_for_failed_steps() {
    let settings = Settings::default();
    let now = Instant::now();
    let breaker = Breaker::new(now);
    breaker.record_failure(Severity::Suspected, now, &settings);
    breaker.record_failure(Severity::Suspected, now, &settings);
    expect_false!(breaker.record_reachable(now));
    expect_that!(breaker.permit(now, &settings), eq(Permit::Avoid));
}

#[gtest]
fn breaker_starts_no_ejection_during_another() {
    let settings = Settings::default();
    let now = Instant::now();
    let breaker = Breaker::new(now);
    let ejections = (0..50)
        .filter_map(|_| breaker.record_failure(Severity::Suspected, now, &settings))
        .count();
    expect_that!(ejections, eq(1));
}

#[gtest]
fn availabilities_ignore_ejections_of_most_targets() {
    let settings = Settings::default();
    let few = [Permit::Avoid, Permit::Use, Permit::Use, Permit::Probe];
    expect_that!(
        availabilities(&few, &settings),
        elements_are![
            eq(&Availability::LastResort),
            eq(&Availability::Open),
            eq(&Availability::Open),
            eq(&Availability::Open),
        ]
    );
    let most = [Permit::Avoid, Permit::Avoid, Permit::Avoid, Permit::Use];
    expect_that!(
        availabilities(&most, &settings),
        each(eq(&Availability::Open))
    );
}

fn pending_step(now: Instant) -> PendingStep {
    PendingStep {
        sent_at: now,
        heard_at: None,
        answered_sent_at: None,
        deadline: 100 * MS,
        limit: 1000 * MS,
    }
}

#[gtest]
fn check_pending_step_reports_silent_connection() {
    let now = Instant::now();
    let pending_step = pending_step(now);
    let until = now + 100 * MS;
    expect_that!(
        check_pending_step(&pending_step, now + 50 * MS),
        eq(StepStatus::Wait { until })
    );
    expect_that!(
        check_pending_step(&pending_step, until),
        eq(StepStatus::Silent)
    );
}

#[gtest]
fn check_pending_step_waits_while_target_answers_other_steps() {
    let now = Instant::now();
    let answering = PendingStep {
        heard_at: Some(now + 80 * MS),
        answered_sent_at: Some(now + 20 * MS),
        ..pending_step(now)
    };
    let until = now + 180 * MS;
    expect_that!(
        check_pending_step(&answering, now + 100 * MS),
        eq(StepStatus::Wait { until })
    );
    let at_limit = PendingStep {
        heard_at: Some(now + 990 * MS),
        ..answering
    };
    expect_that!(
        check_pending_step(&at_limit, now + 1000 * MS),
        eq(StepStatus::AnswerLost)
    );
}

#[gtest]
fn check_pending_step_reports_overtaken_answer_as_lost() {
    let now = Instant::now();
    let overtaken = PendingStep {
        heard_at: Some(now + 140 * MS),
        answered_sent_at: Some(now + 110 * MS),
        ..pending_step(now)
    };
    expect_that!(
        check_pending_step(&overtaken, now + 150 * MS),
        eq(StepStatus::AnswerLost)
    );
}

#[gtest]
fn step_time_deadline_follows_observations() {
    let settings = Settings::default();
    let now = Instant::now();
    let step_time = StepTime::new(now);
    expect_that!(step_time.slowdown(now), eq(1.0));
    for _ in 0..100 {
        step_time.record(400 * MS, 100 * MS, now);
    }
    expect_that!(step_time.slowdown(now), near(4.0, 0.2));
    expect_that!(step_time.slowdown(now + 60_000 * MS), near(1.0, 0.1));
    let deadline = step_time.deadline(100 * MS, &settings);
    expect_that!(deadline, all![ge(400 * MS), le(500 * MS)]);
}

#[gtest]
fn step_time_limits_effect_of_one_stall() {
    let now = Instant::now();
    let step_time = StepTime::new(now);
    step_time.record(10_000 * MS, MS, now);
    expect_that!(step_time.slowdown(now), le(3.0));
    step_time.record(10_000 * MS, MS, now);
    step_time.record(10_000 * MS, MS, now);
    expect_that!(step_time.slowdown(now), ge(4.0));
}

#[gtest]
fn step_time_deadline_is_bounded() {
    let settings = Settings::default();
    let now = Instant::now();
    let step_time = StepTime::new(now);
    expect_that!(
        step_time.deadline(MS, &settings),
        eq(settings.step_deadline_min)
    );
    for _ in 0..100 {
        step_time.record(Duration::from_secs(100), MS, now);
    }
    expect_that!(
        step_time.deadline(100 * MS, &settings),
        eq(settings.step_deadline_max + 100 * MS)
    );
}
