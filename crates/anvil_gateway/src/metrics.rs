//! Counters, gauges and latency histograms, served in the Prometheus text format on the metrics
//! address.

use std::{
    rc::Rc,
    time::Duration, //
};

use prometheus::{
    Encoder,
    GaugeVec,
    Histogram,
    HistogramOpts,
    IntCounter,
    IntCounterVec,
    IntGauge,
    IntGaugeVec,
    Opts,
    Registry,
    TextEncoder, //
};
use tokio::net::TcpListener;

use crate::{
    exchange::{
        RequestOutcome,
        RequestTrace, //
    },
    gateway::Gateway,
    held_prompts::HeldPrompts,
    intake::{
        Cause,
        Intake, //
    },
    peers,
    run, //
};

/// Upper bounds of the latency buckets in seconds, from a plain answer to the longest stream.
const BUCKETS_S: [f64; 13] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0,
];

/// The metrics of one gateway, with their registry.
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    sends: IntCounter,
    retries_denied: IntCounter,
    store_failures: IntCounterVec,
    repairs: IntCounterVec,
    lost_streams: IntCounterVec,
    lost_requests: IntCounterVec,
    events: IntCounter,
    duration: Histogram,
    first_event: Histogram,
    longest_pause: Histogram,
    timer_delay: Histogram,
    connections: IntCounterVec,
    tunnel_searches: IntCounterVec,
    open_requests: IntGauge,
    table_version: IntGauge,
    table_age_ms: IntGauge,
    targets_age_ms: IntGauge,
    peers_heard: IntGauge,
    is_relay: IntGauge,
    digests: IntCounterVec,
    digest_bytes: IntCounterVec,
    digest_loads_cut: IntCounter,
    store_era: IntGauge,
    quarantined: IntGauge,
    store_connections_given_up: IntGauge,
    admissions: IntCounterVec,
    admission_level: GaugeVec,
    used_share: GaugeVec,
    waiting: IntGaugeVec,
    holder_choices: IntCounterVec,
    saved_tokens: IntCounter,
    held_prompts: IntGauge,
    caller_connections: IntGauge,
    caller_bytes: IntGauge,
    shortages: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics, with values of zero.
    ///
    /// # Panics
    ///
    /// Never, since the names are valid and distinct.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("the name is valid");
            let registered = registry.register(Box::new(counter.clone()));
            registered.expect("the name is registered once");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is valid");
            let registered = registry.register(Box::new(gauge.clone()));
            registered.expect("the name is registered once");
            gauge
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec());
            let histogram = Histogram::with_opts(options).expect("the buckets are ascending");
            let registered = registry.register(Box::new(histogram.clone()));
            registered.expect("the name is registered once");
            histogram
        };
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels);
            let counters = counters.expect("the name is valid");
            let registered = registry.register(Box::new(counters.clone()));
            registered.expect("the name is registered once");
            counters
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let gauges = GaugeVec::new(Opts::new(name, help), labels).expect("the name is valid");
            let registered = registry.register(Box::new(gauges.clone()));
            registered.expect("the name is registered once");
            gauges
        };
        let waiting = IntGaugeVec::new(
            Opts::new(
                "anvil_admission_waiting_requests",
                "Requests that wait for capacity before their first send",
            ),
            &["service"],
        );
        let waiting = waiting.expect("the name is valid");
        let registered = registry.register(Box::new(waiting.clone()));
        registered.expect("the name is registered once");
        let requests = counters(
            "anvil_requests_total",
            "Requests that ended",
            &["outcome", "reason"],
        );
        Self {
            requests,
            sends: counter("anvil_sends_total", "Sends to targets"),
            retries_denied: counter(
                "anvil_retries_denied_total",
                "Extra sends that the fleet's budget did not allow",
            ),
            store_failures: counters(
                "anvil_store_failures_total",
                "Reads from the store that failed",
                &["reading"],
            ),
            repairs: counters(
                "anvil_stream_repairs_total",
                "Looks for the cause of a silent stream",
                &["outcome"],
            ),
            lost_streams: counters(
                "anvil_streams_lost_total",
                "Streams that ended with their connection to the engine",
                &["progress", "target_state"],
            ),
            lost_requests: counters(
                "anvil_requests_connection_lost_total",
                "Requests to plain services whose connection to the target was lost",
                &["target_state"],
            ),
            events: counter("anvil_events_total", "Events passed on to callers"),
            duration: histogram(
                "anvil_request_duration_seconds",
                "Time from a request's arrival to its end",
            ),
            first_event: histogram(
                "anvil_first_event_seconds",
                "Time from a request's arrival to its first event or answer",
            ),
            longest_pause: histogram(
                "anvil_longest_pause_seconds",
                "Longest pause between two events of a stream",
            ),
            timer_delay: histogram(
                "anvil_timer_delay_seconds",
                "Time by which a periodic timer fired late, because other tasks occupied the host",
            ),
            connections: counters(
                "anvil_target_connections_total",
                "New connections to targets, opened or not",
                &["outcome"],
            ),
            tunnel_searches: counters(
                "anvil_tunnel_searches_total",
                "Searches for hosts that reach a service from which this one is cut off",
                &["outcome"],
            ),
            open_requests: gauge("anvil_open_requests", "Requests open now"),
            table_version: gauge("anvil_table_version", "Version of the table in force"),
            table_age_ms: gauge(
                "anvil_table_age_milliseconds",
                "Time since which the table may have been replaced; -1 before the first",
            ),
            targets_age_ms: gauge(
                "anvil_targets_age_milliseconds",
                "Time since which the list of targets may have changed; -1 before the first",
            ),
            peers_heard: gauge("anvil_peers_heard", "Other hosts that are heard of"),
            is_relay: gauge(
                "anvil_is_relay",
                "1 if this host is a relay of its data centre",
            ),
            digests: counters(
                "anvil_peer_digests_total",
                "Digests that were exchanged with other hosts",
                &["direction", "kind"],
            ),
            digest_bytes: counters(
                "anvil_peer_digest_bytes_total",
                "Bytes of these digests",
                &["direction", "kind"],
            ),
            digest_loads_cut: counter(
                "anvil_peer_digest_loads_cut_total",
                "Loads of targets that were left out of digests for lack of room",
            ),
            store_era: gauge(
                "anvil_store_era",
                "Newest known era of the store; 0 while it names none",
            ),
            quarantined: gauge(
                "anvil_quarantined",
                "Parts of prompts, and requests, that are quarantined because targets ended under them",
            ),
            store_connections_given_up: gauge(
                "anvil_store_connections_given_up",
                "Connections to the store that were given up because they were silent, since the start",
            ),
            admissions: counters(
                "anvil_admissions_total",
                "Requests to services with competing ranks, by what became of them before their first send",
                &["service", "rank", "outcome"],
            ),
            admission_level: gauges(
                "anvil_admission_level",
                "Fraction of a rank's requests that this host admits",
                &["service", "rank"],
            ),
            used_share: gauges(
                "anvil_service_used_share",
                "Share of the engines' memory for requests in use at the fullest layer, for services with competing ranks",
                &["service"],
            ),
            waiting,
            holder_choices: counters(
                "anvil_holder_choices_total",
                "Chosen paths where engines held a prefix of the prompt, by whether the path uses one",
                &["choice"],
            ),
            saved_tokens: counter(
                "anvil_prompt_tokens_saved_total",
                "Prompt tokens that are expected to have needed no prefill",
            ),
            held_prompts: gauge(
                "anvil_held_prompts",
                "Prompts recorded as held by engines, each once for every engine of its path",
            ),
            caller_connections: gauge(
                "anvil_caller_connections",
                "Connections of callers that are open now",
            ),
            caller_bytes: gauge(
                "anvil_caller_memory_bytes",
                "Memory that unfinished and complete requests of callers, and answers to them, hold now",
            ),
            shortages: counters(
                "anvil_caller_shortages_total",
                "Connections of callers that were ended or refused for lack of memory or connections",
                &["cause"],
            ),
            registry,
        }
    }

    /// Counts a request to a service with competing ranks, by what became of it before its first send.
    pub fn record_admission(&self, service: &str, rank: u32, outcome: &str) {
        let rank = itoa::Buffer::new().format(rank).to_owned();
        let labels = [service, rank.as_str(), outcome];
        self.admissions.with_label_values(&labels).inc();
    }

    /// Sets the fraction of a rank's requests that this host admits.
    pub fn set_level(&self, service: &str, rank: u32, fraction: f64) {
        let rank = itoa::Buffer::new().format(rank).to_owned();
        let labels = [service, rank.as_str()];
        self.admission_level
            .with_label_values(&labels)
            .set(fraction);
    }

    /// Sets the share of a service's memory for requests that is in use.
    pub fn set_used_share(&self, service: &str, used_share: f64) {
        self.used_share
            .with_label_values(&[service])
            .set(used_share);
    }

    /// Sets the number of a service's requests that wait for capacity.
    pub fn set_waiting(&self, service: &str, requests: usize) {
        let requests = i64::try_from(requests).unwrap_or(i64::MAX);
        self.waiting.with_label_values(&[service]).set(requests);
    }

    /// Counts a path that was chosen while engines held a prefix of the prompt, and the prompt tokens
    /// that it is expected to save.
    pub fn record_holder_choice(&self, choice: &str, saved_tokens: u64) {
        self.holder_choices.with_label_values(&[choice]).inc();
        self.saved_tokens.inc_by(saved_tokens);
    }

    /// Counts an extra send that the retry budget did not allow.
    pub fn record_retry_denied(&self) {
        self.retries_denied.inc();
    }

    /// Counts a digest that was sent to a peer, and the loads that were left out of it.
    pub fn record_digest_sent(&self, kind: &str, bytes: usize, cut_loads: usize) {
        let labels = ["sent", kind];
        self.digests.with_label_values(&labels).inc();
        self.digest_bytes
            .with_label_values(&labels)
            .inc_by(bytes as u64);
        self.digest_loads_cut.inc_by(cut_loads as u64);
    }

    /// Counts a digest that a peer sent.
    pub fn record_digest_received(&self, kind: &str, bytes: usize) {
        let labels = ["received", kind];
        self.digests.with_label_values(&labels).inc();
        self.digest_bytes
            .with_label_values(&labels)
            .inc_by(bytes as u64);
    }

    /// Counts a failed read from the store, by what was read.
    pub fn record_store_failure(&self, reading: &str) {
        self.store_failures.with_label_values(&[reading]).inc();
    }

    /// Counts a check for the cause of a stalled stream, by its outcome.
    pub fn record_repair(&self, outcome: &str) {
        self.repairs.with_label_values(&[outcome]).inc();
    }

    /// Counts a stream whose connection to the engine ended, by how far the engine had come and by
    /// the state that the engine was found in.
    pub fn record_lost_stream(&self, progress: &str, target_state: &str) {
        self.lost_streams
            .with_label_values(&[progress, target_state])
            .inc();
    }

    /// Counts a request to a plain service whose connection to the target was lost, by the state that
    /// the target was found in.
    pub fn record_lost_request(&self, target_state: &str) {
        self.lost_requests.with_label_values(&[target_state]).inc();
    }

    /// Records the time by which a periodic timer of this host fired late.
    pub fn record_timer_delay(&self, delay: Duration) {
        self.timer_delay.observe(delay.as_secs_f64());
    }

    /// Counts a connection to a target that was opened or could not be, by its outcome.
    pub fn record_connection(&self, outcome: &str) {
        self.connections.with_label_values(&[outcome]).inc();
    }

    /// Counts a search for hosts that reach a service, by whether it found one.
    pub fn record_tunnel_search(&self, has_found: bool) {
        let outcome = match has_found {
            true => "found",
            false => "none",
        };
        self.tunnel_searches.with_label_values(&[outcome]).inc();
    }

    /// Counts a request that ended, and records its times.
    pub fn record_outcome(
        &self,
        request_outcome: &RequestOutcome,
        trace: &RequestTrace,
        duration_s: f64,
    ) {
        let (outcome, reason) = request_outcome.labels();
        self.requests.with_label_values(&[outcome, reason]).inc();
        self.sends.inc_by(u64::from(trace.sends));
        self.events.inc_by(u64::from(trace.events));
        self.duration.observe(duration_s);
        if matches!(request_outcome, RequestOutcome::Answered { .. }) {
            self.first_event.observe(trace.first_ms as f64 / 1e3);
        }
        if trace.events > 1 {
            self.longest_pause
                .observe(trace.longest_pause_ms as f64 / 1e3);
        }
    }

    fn render(&self, gateway: &Gateway) -> Vec<u8> {
        let age_ms = |age: Option<Duration>| {
            age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
        };
        let version = gateway.table_cache.version();
        self.open_requests
            .set(i64::from(gateway.open_requests.get()));
        self.table_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        self.table_age_ms.set(age_ms(gateway.table_cache.age()));
        self.targets_age_ms.set(age_ms(gateway.targets.age()));
        let quarantined_count = gateway.quarantine.borrow().quarantined_count();
        self.quarantined
            .set(i64::try_from(quarantined_count).unwrap_or(i64::MAX));
        let given_up = gateway.platform.store.given_up_connections();
        self.store_connections_given_up
            .set(i64::try_from(given_up).unwrap_or(i64::MAX));
        let era = gateway.platform.store.era();
        self.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
        let live_peer_count = gateway
            .peers
            .borrow_mut()
            .live_count(crate::clock::BootTime::now());
        let held_count = (gateway.held_prompts.as_ref()).map_or(0, HeldPrompts::len);
        self.held_prompts
            .set(i64::try_from(held_count).unwrap_or(i64::MAX));
        self.is_relay.set(i64::from(peers::is_relay(gateway)));
        self.peers_heard
            .set(i64::try_from(live_peer_count).unwrap_or(i64::MAX));
        let intake = &gateway.intake;
        self.caller_connections
            .set(i64::try_from(intake.connections()).unwrap_or(i64::MAX));
        self.caller_bytes
            .set(i64::try_from(intake.used_bytes()).unwrap_or(i64::MAX));
        for cause in Cause::ALL {
            let counter = self.shortages.with_label_values(&[cause.as_str()]);
            counter.inc_by(intake.occurrences(cause).saturating_sub(counter.get()));
        }
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            spdlog::warn!("metrics.encode_failed", kv: { error: });
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Accepts connections on the metrics address and answers each request on them with the metrics, whatever
/// its path. Never returns.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    let intake = Intake::new("metrics", gateway.budget.metrics);
    run::accept_all(listener, intake, |connection, place| {
        run::answer_all(Rc::clone(&gateway), connection, place, |gateway| {
            let text = gateway.metrics.render(gateway);
            let mut out = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\nContent-Length: {}\r\n\r\n",
                text.len()
            )
            .into_bytes();
            out.extend_from_slice(&text);
            out
        })
    })
    .await;
}
