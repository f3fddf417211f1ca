//! What this host knows of one engine.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU32,
            AtomicU64,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use anvil_core::{
    affinity, concurrency,
    document::Holding,
    health::{
        Breaker,
        PendingStep,
        StepTime, //
    },
    id::DataCentreId,
    polling::StepActivity,
    retry,
    route::{
        Node,
        OwnLoad,
        ReportedLoad,
        estimate_resident_ns, //
    },
};
use anvil_settings::targets::Targets as Settings;
use arc_swap::ArcSwapOption;

use crate::port::{
    LoadReport,
    TargetAddress, //
};

/// A load report with what this host had there when it came.
#[derive(Debug)]
pub struct ReceivedReport {
    /// The report.
    pub report: LoadReport,
    /// When its figures were taken.
    pub taken_at: Instant,
    /// Sequences of this host at the engine then.
    pub own_sequences: u32,
}

/// Whether a target answered while a step waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TargetActivity {
    /// Nothing came.
    Silent,
    /// Other steps were answered.
    AnsweredOthers,
}

/// Whether a target is about to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Leaving {
    /// It stays.
    No,
    /// It takes no new sequence, and the present ones move.
    Yes,
}

/// What this host knows of one engine. Every field is an atomic or a snapshot.
#[derive(Debug)]
pub struct Target {
    /// Its name and address.
    pub address: TargetAddress,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Observed step times.
    pub step_time: StepTime,
    /// Ejection after failures.
    pub breaker: Breaker,
    /// Prefixes that it likely has cached.
    pub cache: affinity::Table,
    /// Adaptive limit on the sequences that this host has there.
    pub limiter: Arc<concurrency::Limiter>,
    /// Extra attempts that this host may send it.
    pub retry_budget: retry::Budget,
    /// Sequences of this host. Invariant: the number of open residencies.
    own_sequences: AtomicU32,
    /// Engine time that they need per token. Invariant: the sum over open residencies.
    own_resident_ns: AtomicU64,
    /// Steps of this host that wait for an answer.
    in_flight_steps: AtomicU32,
    /// Engine time of those steps. Invariant: the sum over the steps in flight.
    in_flight_ns: AtomicU64,
    /// Zero of the times below.
    origin: Instant,
    /// Microseconds after `origin` at which the target last answered; 0 before the first answer.
    heard_at_us: AtomicU64,
    /// Microseconds after `origin` at which the latest-sent answered step was sent.
    answered_sent_at_us: AtomicU64,
    /// Number of the connection that steps are sent over.
    connection: AtomicU64,
    report: ArcSwapOption<ReceivedReport>,
    listed_leaving: AtomicBool,
}

impl Target {
    /// Makes a target of which nothing is known but its place.
    pub fn new(
        address: TargetAddress,
        data_centre: DataCentreId,
        settings: &Settings,
        now: Instant,
    ) -> Self {
        Self {
            address,
            data_centre,
            step_time: StepTime::new(now),
            breaker: Breaker::new(now),
            cache: affinity::Table::new(settings.cache_blocks),
            limiter: Arc::new(concurrency::Limiter::new(settings.concurrency, now)),
            retry_budget: retry::Budget::new(&settings.retry),
            own_sequences: AtomicU32::new(0),
            own_resident_ns: AtomicU64::new(0),
            in_flight_steps: AtomicU32::new(0),
            in_flight_ns: AtomicU64::new(0),
            origin: now,
            heard_at_us: AtomicU64::new(0),
            answered_sent_at_us: AtomicU64::new(0),
            connection: AtomicU64::new(0),
            report: ArcSwapOption::empty(),
            listed_leaving: AtomicBool::new(false),
        }
    }

    /// Whether the list or the engine's own report shows it as leaving.
    pub fn leaving(&self) -> Leaving {
        let reported = || {
            let report = self.report.load();
            report.as_ref().is_some_and(|seen| seen.report.leaving)
        };
        if self.listed_leaving.load(Ordering::Acquire) || reported() {
            return Leaving::Yes;
        }
        Leaving::No
    }

    /// Notes what the platform's list shows. Returns true where that is a change.
    pub fn set_listed(&self, leaving: Leaving) -> bool {
        let is_leaving = leaving == Leaving::Yes;
        self.listed_leaving.swap(is_leaving, Ordering::AcqRel) != is_leaving
    }

    /// Notes a load report. Returns true where it changes what the engine holds.
    pub fn record_report(&self, report: LoadReport, now: Instant) -> bool {
        let previous = self.report.load();
        let before = previous.as_ref().map(|seen| &seen.report.holds);
        let is_change = before != Some(&report.holds);
        let taken_at = now.checked_sub(report.age).unwrap_or(now);
        self.report.store(Some(Arc::new(ReceivedReport {
            report,
            taken_at,
            own_sequences: self.own_sequences(),
        })));
        is_change
    }

    /// The last load report.
    pub fn report(&self) -> Option<Arc<ReceivedReport>> {
        self.report.load_full()
    }

    /// Steps that waited when the engine last reported.
    pub fn reported_queue_steps(&self) -> u32 {
        let report = self.report.load();
        report
            .as_ref()
            .map_or(0, |seen| seen.report.queue_depth_steps)
    }

    /// What the engine said that it holds; nothing before its first report.
    pub fn reported_holdings(&self) -> Option<Vec<Holding>> {
        let report = self.report.load();
        report.as_ref().map(|seen| seen.report.holds.clone())
    }

    /// Sequences of this host.
    pub fn own_sequences(&self) -> u32 {
        self.own_sequences.load(Ordering::Acquire)
    }

    /// Whether the answers to this host's steps tell of the engine's load.
    pub fn step_activity(&self) -> StepActivity {
        if self.own_sequences() > 0 {
            StepActivity::Recent
        } else {
            StepActivity::Idle
        }
    }

    /// Engine time that this host's sequences need per token.
    pub fn own_resident(&self) -> Duration {
        Duration::from_nanos(self.own_resident_ns.load(Ordering::Acquire))
    }

    /// Steps of this host that wait for an answer.
    pub fn in_flight_steps(&self) -> u32 {
        self.in_flight_steps.load(Ordering::Acquire)
    }

    /// Estimated engine time that the sequences of all hosts need per token.
    pub fn resident_ns(&self, node: &Node) -> f64 {
        let own = OwnLoad {
            sequences: self.own_sequences(),
            resident_ns: self.own_resident_ns.load(Ordering::Acquire) as f64,
        };
        let report = self.report.load();
        let reported = report.as_ref().map(|seen| ReportedLoad {
            open_sequences: seen.report.open_sequences,
            own_sequences: seen.own_sequences,
        });
        let sequence_ns = f64::from(node.layers.count()) * node.layer_ns;
        estimate_resident_ns(own, reported, sequence_ns)
    }

    /// Estimated engine time of the steps of all hosts that wait for an answer.
    ///
    /// Other hosts' steps are taken to stand to this host's as their sequences do.
    pub fn backlog_ns(&self, node: &Node) -> f64 {
        let own_resident_ns = self.own_resident_ns.load(Ordering::Acquire) as f64;
        let in_flight_ns = self.in_flight_ns.load(Ordering::Acquire) as f64;
        if own_resident_ns > 0.0 {
            return in_flight_ns * (self.resident_ns(node) / own_resident_ns).max(1.0);
        }
        let step_ns = f64::from(node.layers.count()) * node.layer_ns;
        f64::from(self.reported_queue_steps()) * step_ns
    }

    /// Predicted time of a step, waiting for the steps before it included.
    pub fn predicted_step(&self, node: &Node, layer_count: u16, token_count: u32) -> Duration {
        let step_ns = node.unloaded_step_ns(layer_count, token_count);
        Duration::from_nanos((step_ns + self.backlog_ns(node)) as u64)
    }

    /// Notes that a step sent at `sent_at` was answered.
    pub fn record_answer(&self, sent_at: Instant, now: Instant) {
        self.heard_at_us
            .fetch_max(self.micros(now), Ordering::AcqRel);
        self.answered_sent_at_us
            .fetch_max(self.micros(sent_at), Ordering::AcqRel);
    }

    /// Whether the target answered anything since `sent_at`.
    pub fn activity_since(&self, sent_at: Instant) -> TargetActivity {
        match self.heard_at_us.load(Ordering::Acquire) > self.micros(sent_at) {
            true => TargetActivity::AnsweredOthers,
            false => TargetActivity::Silent,
        }
    }

    /// What is known while a step sent at `sent_at` waits.
    pub fn pending_step(
        &self,
        sent_at: Instant,
        deadline: Duration,
        limit: Duration,
    ) -> PendingStep {
        let at = |micros: &AtomicU64| {
            let micros = micros.load(Ordering::Acquire);
            (micros > 0).then(|| self.origin + Duration::from_micros(micros))
        };
        PendingStep {
            sent_at,
            heard_at: at(&self.heard_at_us),
            answered_sent_at: at(&self.answered_sent_at_us),
            deadline,
            limit,
        }
    }

    fn micros(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.origin);
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    }

    pub(super) fn add_resident(&self, resident_ns: u64) {
        self.own_sequences.fetch_add(1, Ordering::AcqRel);
        self.own_resident_ns
            .fetch_add(resident_ns, Ordering::AcqRel);
    }

    pub(super) fn remove_resident(&self, resident_ns: u64) {
        let sequences = self.own_sequences.fetch_sub(1, Ordering::AcqRel);
        let resident = self
            .own_resident_ns
            .fetch_sub(resident_ns, Ordering::AcqRel);
        assert!(sequences > 0, "a residency is closed twice");
        assert!(resident >= resident_ns, "more residency closed than opened");
    }

    /// Counts a step that takes `work_ns` of engine time as in flight until the guard is closed.
    pub fn begin_step(self: &Arc<Self>, work_ns: u64) -> InFlightGuard {
        self.in_flight_steps.fetch_add(1, Ordering::AcqRel);
        self.in_flight_ns.fetch_add(work_ns, Ordering::AcqRel);
        InFlightGuard {
            target: Arc::clone(self),
            work_ns,
        }
    }

    /// Number of the connection that steps are sent over now.
    pub fn connection(&self) -> u64 {
        self.connection.load(Ordering::Acquire)
    }

    /// Retires a connection. Returns true to one of those who found it silent, who then opens
    /// the next one; the others find it replaced.
    pub fn retire_connection(&self, connection: u64) -> bool {
        self.connection
            .compare_exchange(
                connection,
                connection + 1,
                Ordering::AcqRel,
                Ordering::Acquire,
            )
            .is_ok()
    }
}

/// Counts a step as in flight.
#[derive(Debug)]
pub struct InFlightGuard {
    target: Arc<Target>,
    work_ns: u64,
}

impl InFlightGuard {
    /// Counts the step as ended.
    pub fn close(self) {}
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let before = self.target.in_flight_steps.fetch_sub(1, Ordering::AcqRel);
        let before_ns = self
            .target
            .in_flight_ns
            .fetch_sub(self.work_ns, Ordering::AcqRel);
        assert!(before > 0, "a step ends that did not begin");
        assert!(before_ns >= self.work_ns, "more work ends than began");
    }
}
