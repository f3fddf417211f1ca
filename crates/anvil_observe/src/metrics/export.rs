//! Exports metrics as Prometheus text on request, and by OTLP if the settings enable it.

use std::{
    sync::Arc,
    time::Duration, //
};

use anvil_core::{
    id::{
        DataCentreId,
        HostId, //
    },
    outcome::Outcome, //
};
use derive_more::{
    Display,
    Error,
    From, //
};
use opentelemetry::{
    KeyValue,
    metrics::{
        Meter,
        MeterProvider, //
    }, //
};
use opentelemetry_otlp::{
    MetricExporter,
    WithExportConfig, //
};
use opentelemetry_sdk::{
    Resource,
    error::OTelSdkError,
    metrics::{
        PeriodicReader,
        SdkMeterProvider, //
    }, //
};
use prometheus::{
    Registry,
    TextEncoder, //
};

use super::{
    Metrics,
    REASONS,
    RECOVERY_WAYS,
    catalog::{
        self,
        Metric, //
    },
    counter::Gauge,
    histogram::Histogram,
    process, //
};

const NANOS_PER_S: f64 = 1e9;

/// Error in setting up the export of metrics or in encoding them.
#[derive(Debug, Display, Error, From)]
pub enum ExportError {
    /// The Prometheus reader could not be built.
    #[display("cannot build the Prometheus reader: {_0}")]
    Prometheus(OTelSdkError),
    /// The OTLP exporter could not be built.
    #[display("cannot build the OTLP exporter: {_0}")]
    Otlp(opentelemetry_otlp::ExporterBuildError),
    /// The metrics could not be encoded as Prometheus text.
    #[display("prometheus text: {_0}")]
    Text(prometheus::Error),
}

/// Exports the metrics of a host to Prometheus scrapes and, if enabled, to an OTLP collector.
pub struct Exporter {
    metrics: Arc<Metrics>,
    provider: SdkMeterProvider,
    registry: Registry,
    histograms: Vec<HistogramForwarder>,
}

/// A metric, and the function that selects its value from the host's metrics.
type MetricSource<T> = (Metric, fn(&Metrics) -> &T);

/// Moves the values recorded in a histogram into the instrument of the OpenTelemetry SDK.
struct HistogramForwarder {
    select: fn(&Metrics) -> &Histogram,
    instrument: opentelemetry::metrics::Histogram<f64>,
}

impl Exporter {
    /// Registers the metrics of a host with the exporters that the settings enable.
    ///
    /// # Errors
    ///
    /// Returns an error if the Prometheus reader or the OTLP exporter can't be built.
    pub fn new(
        metrics: Arc<Metrics>,
        settings: &anvil_settings::settings::Metrics,
        host_id: &HostId,
        data_centre: &DataCentreId,
    ) -> Result<Self, ExportError> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let resource = Resource::builder()
            .with_service_name("anvilproxyd")
            .with_attribute(KeyValue::new("host.name", host_id.to_string()))
            .with_attribute(KeyValue::new("anvil.data_centre", data_centre.to_string()))
            .build();
        let mut builder = SdkMeterProvider::builder()
            .with_resource(resource)
            .with_reader(reader);
        if let Some(url) = &settings.otlp_url {
            let exporter = MetricExporter::builder()
                .with_http()
                .with_endpoint(url.as_str())
                .build()?;
            let reader = PeriodicReader::builder(exporter)
                .with_interval(settings.otlp_interval)
                .build();
            builder = builder.with_reader(reader);
        }
        let provider = builder.build();
        let meter = provider.meter("anvilproxyd");
        register_counters(&meter, &metrics);
        register_labelled_counters(&meter, &metrics);
        register_gauges(&meter, &metrics);
        Ok(Self {
            histograms: register_histograms(&meter, &metrics),
            metrics,
            provider,
            registry,
        })
    }

    /// Moves recorded histogram values into the SDK.
    ///
    /// Must be called about once a second, so that OTLP pushes contain current values.
    pub fn forward(&self) {
        for histogram in &self.histograms {
            for bucket in (histogram.select)(&self.metrics).drain() {
                for _ in 0..bucket.count {
                    histogram.instrument.record(bucket.mean, &[]);
                }
            }
        }
    }

    /// Returns the current values as Prometheus text.
    ///
    /// # Errors
    ///
    /// Returns an error if the values can't be encoded.
    pub fn prometheus_text(&self) -> Result<String, ExportError> {
        self.forward();
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }

    /// Pushes the remaining values to the OTLP collector and stops the export.
    ///
    /// # Errors
    ///
    /// Returns an error if the last push fails or takes longer than `timeout`.
    pub fn close(self, timeout: Duration) -> Result<(), OTelSdkError> {
        self.forward();
        self.provider.shutdown_with_timeout(timeout)
    }
}

fn register_histograms(meter: &Meter, metrics: &Metrics) -> Vec<HistogramForwarder> {
    let sources: [MetricSource<Histogram>; 6] = [
        (catalog::TIME_TO_FIRST_TOKEN, |metrics| {
            &metrics.time_to_first_token
        }),
        (catalog::TIME_PER_OUTPUT_TOKEN, |metrics| {
            &metrics.time_per_output_token
        }),
        (catalog::REQUEST_DURATION, |metrics| {
            &metrics.request_duration
        }),
        (catalog::QUEUE_WAIT, |metrics| &metrics.queue_wait),
        (catalog::STEP_DURATION, |metrics| &metrics.step_duration),
        (catalog::ATTEMPTS, |metrics| &metrics.attempts),
    ];
    sources
        .into_iter()
        .map(|(metric, select)| HistogramForwarder {
            select,
            instrument: meter
                .f64_histogram(metric.name)
                .with_unit(metric.unit)
                .with_description(metric.description)
                .with_boundaries(select(metrics).bounds().to_vec())
                .build(),
        })
        .collect()
}

/// Registers a counter without attributes, whose value is read at each collection.
fn register_u64_counter(
    meter: &Meter,
    metric: Metric,
    metrics: &Arc<Metrics>,
    read: impl Fn(&Metrics) -> u64 + Send + Sync + 'static,
) {
    let metrics = Arc::clone(metrics);
    // The meter keeps the callback, so the returned handle is not needed.
    let _instrument = meter
        .u64_observable_counter(metric.name)
        .with_unit(metric.unit)
        .with_description(metric.description)
        .with_callback(move |observer| observer.observe(read(&metrics), &[]))
        .build();
}

fn register_f64_counter(
    meter: &Meter,
    metric: Metric,
    read: impl Fn() -> Option<f64> + Send + Sync + 'static,
) {
    let _instrument = meter
        .f64_observable_counter(metric.name)
        .with_unit(metric.unit)
        .with_description(metric.description)
        .with_callback(move |observer| {
            if let Some(value) = read() {
                observer.observe(value, &[]);
            }
        })
        .build();
}

fn register_counters(meter: &Meter, metrics: &Arc<Metrics>) {
    register_u64_counter(meter, catalog::REQUESTS_ANSWERED, metrics, |metrics| {
        metrics.requests_answered.get()
    });
    register_u64_counter(meter, catalog::ANSWERS_DROPPED, metrics, |metrics| {
        metrics.answers_dropped.get()
    });
    let metrics = Arc::clone(metrics);
    register_f64_counter(meter, catalog::CONTROL_CPU, move || {
        Some(metrics.control_cpu.get() as f64 / NANOS_PER_S)
    });
    register_f64_counter(meter, catalog::PROCESS_CPU, process::cpu_time_s);
}

/// A counter value with its attributes.
type Measurement = (u64, Vec<KeyValue>);

fn register_labelled_counter(
    meter: &Meter,
    metric: Metric,
    metrics: &Arc<Metrics>,
    read: impl Fn(&Metrics) -> Vec<Measurement> + Send + Sync + 'static,
) {
    let metrics = Arc::clone(metrics);
    let _instrument = meter
        .u64_observable_counter(metric.name)
        .with_unit(metric.unit)
        .with_description(metric.description)
        .with_callback(move |observer| {
            for (value, attributes) in read(&metrics) {
                observer.observe(value, &attributes);
            }
        })
        .build();
}

fn register_labelled_counters(meter: &Meter, metrics: &Arc<Metrics>) {
    register_labelled_counter(meter, catalog::REFUSALS, metrics, refusal_measurements);
    register_labelled_counter(meter, catalog::TOKENS, metrics, |metrics| {
        let measurement =
            |count, token_type| (count, vec![KeyValue::new("gen_ai.token.type", token_type)]);
        vec![
            measurement(metrics.tokens_prompt.get(), "input"),
            measurement(metrics.tokens_answer.get(), "output"),
        ]
    });
    register_labelled_counter(meter, catalog::CONTROL_IO, metrics, |metrics| {
        let measurement = |count, direction| {
            (
                count,
                vec![KeyValue::new("network.io.direction", direction)],
            )
        };
        let bytes = metrics.control_bytes();
        vec![
            measurement(bytes.sent_bytes, "transmit"),
            measurement(bytes.received_bytes, "receive"),
        ]
    });
    register_labelled_counter(meter, catalog::RECOVERIES, metrics, |metrics| {
        RECOVERY_WAYS
            .into_iter()
            .zip(&metrics.recoveries)
            .map(|(action, count)| {
                (
                    count.get(),
                    vec![KeyValue::new("anvil.recovery.way", action.to_string())],
                )
            })
            .collect()
    });
}

/// Returns the counts of refusals by reason and outcome. Leaves out zero counts, which would only
/// lengthen each scrape.
fn refusal_measurements(metrics: &Metrics) -> Vec<Measurement> {
    let mut measurements = Vec::new();
    for reason in REASONS {
        for outcome in [Outcome::NotRun, Outcome::Unknown] {
            let count = metrics.refusals(reason, outcome).get();
            if count == 0 {
                continue;
            }
            let attributes = vec![
                KeyValue::new("anvil.reason", reason.to_string()),
                KeyValue::new("anvil.outcome", outcome.to_string()),
            ];
            measurements.push((count, attributes));
        }
    }
    measurements
}

fn register_gauges(meter: &Meter, metrics: &Arc<Metrics>) {
    let gauges: [MetricSource<Gauge>; 3] = [
        (catalog::REQUESTS_OPEN, |metrics| &metrics.requests_open),
        (catalog::CONFIG_VERSION, |metrics| &metrics.config_version),
        (catalog::LOG_LINES_DROPPED, |metrics| {
            &metrics.log_lines_dropped
        }),
    ];
    for (metric, select) in gauges {
        let metrics = Arc::clone(metrics);
        register_gauge(meter, metric, move || Some(select(&metrics).get()));
    }
    register_gauge(meter, catalog::PROCESS_MEMORY, process::memory_bytes);
}

fn register_gauge(
    meter: &Meter,
    metric: Metric,
    read: impl Fn() -> Option<u64> + Send + Sync + 'static,
) {
    let _instrument = meter
        .u64_observable_gauge(metric.name)
        .with_unit(metric.unit)
        .with_description(metric.description)
        .with_callback(move |observer| {
            if let Some(value) = read() {
                observer.observe(value, &[]);
            }
        })
        .build();
}
