use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use anvil_core::outcome::{
    Reason,
    Refused, //
};
use googletest::prelude::*;

use super::{
    Exporter,
    Metrics,
    TokenTimes,
    catalog::{
        InstrumentKind,
        METRICS, //
    },
    histogram::{
        BucketSummary,
        Histogram, //
    }, //
};

fn exporter(metrics: &Arc<Metrics>) -> Exporter {
    Exporter::new(
        Arc::clone(metrics),
        &anvil_settings::settings::Metrics::default(),
        &"entry-1".into(),
        &"muc-a".into(),
    )
    .expect("the exporter can be built")
}

/// Returns the Prometheus text without the label that names the instrumentation scope.
fn text_of(exporter: &Exporter) -> String {
    const SCOPE: &str = "otel_scope_name=\"anvilproxyd\"";
    exporter
        .prometheus_text()
        .expect("the text can be encoded")
        .replace(&format!("{{{SCOPE}}}"), "")
        .replace(&format!("{{{SCOPE},"), "{")
        .replace(&format!(",{SCOPE}"), "")
}

#[gtest]
fn prometheus_text_contains_counts_and_labels() {
    let metrics = Arc::new(Metrics::default());
    let exporter = exporter(&metrics);
    let start = Instant::now();
    let mut times = TokenTimes::new(start);
    for millis in [300, 320, 345] {
        times.token(&metrics, start + Duration::from_millis(millis));
    }
    times.close(&metrics, start + Duration::from_millis(345));
    metrics.count_refusal(&Refused::unknown(Reason::AnswerLost, "lost"));
    let text = text_of(&exporter);
    for line in [
        "gen_ai_server_time_to_first_token_seconds_bucket{le=\"0.37\"} 1",
        "gen_ai_server_time_to_first_token_seconds_bucket{le=\"0.2\"} 0",
        "gen_ai_server_time_per_output_token_seconds_count 2",
        "anvil_tokens_total{gen_ai_token_type=\"output\"} 3",
        "anvil_requests_answered_total 1",
        "anvil_requests_refused_total{anvil_outcome=\"unknown\",anvil_reason=\"answer_lost\"} 1",
    ] {
        expect_that!(text, contains_substring(line));
    }
}

#[gtest]
fn prometheus_text_accumulates_over_scrapes() {
    let metrics = Arc::new(Metrics::default());
    let exporter = exporter(&metrics);
    for _ in 0..2 {
        metrics.queue_wait.record(0.5);
        text_of(&exporter);
    }
    expect_that!(
        text_of(&exporter),
        all!(
            contains_substring("anvil_queue_duration_seconds_sum 1\n"),
            contains_substring("anvil_queue_duration_seconds_count 2\n")
        )
    );
}

#[gtest]
fn prometheus_text_contains_every_metric_of_catalog() {
    let metrics = Arc::new(Metrics::default());
    let exporter = exporter(&metrics);
    metrics.count_refusal(&Refused::not_run(Reason::NoRoute, "none"));
    for histogram in [
        &metrics.time_to_first_token,
        &metrics.time_per_output_token,
        &metrics.request_duration,
        &metrics.queue_wait,
        &metrics.step_duration,
        &metrics.attempts,
    ] {
        histogram.record(1.0);
    }
    let text = text_of(&exporter);
    for metric in METRICS {
        let suffix = match metric.kind {
            InstrumentKind::Histogram => "_count",
            InstrumentKind::Counter | InstrumentKind::Gauge => "",
        };
        let line_start = format!("\n{}{suffix}", metric.prometheus_name());
        expect_that!(text, contains_substring(line_start));
    }
}

#[gtest]
fn drain_returns_counts_and_means_once() {
    let histogram = Histogram::new(&[1.0, 2.0]);
    for value in [0.25, 0.75, 1.0, 1.5, 7.0] {
        histogram.record(value);
    }
    let summaries: Vec<_> = histogram.drain().collect();
    let summary = |count, mean| BucketSummary { count, mean };
    expect_that!(
        summaries,
        elements_are![
            eq(&summary(3, 2.0 / 3.0)),
            eq(&summary(1, 1.5)),
            eq(&summary(1, 7.0))
        ]
    );
    expect_that!(histogram.drain().count(), eq(0));
}
