//! State that this host keeps of one engine.

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

/// A load report, with this host's load on the engine when the report arrived.
#[derive(Debug)]
pub struct ReceivedReport {
    /// The report as the engine sent it.
    pub report: LoadReport,
    /// Time at which the engine took the figures.
    pub taken_at: Instant,
    /// Number of this host's sequences on the engine when the report arrived.
    pub own_sequences: u32,
}

/// Whether a target answered while a step waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TargetActivity {
    /// The target answered no step.
    Silent,
    /// The target answered other steps.
    AnsweredOthers,
}

/// Whether a target is about to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Leaving {
    /// It keeps serving.
    No,
    /// It takes no new sequences, and its current ones move to other targets.
    Yes,
}

/// State that this host keeps of one engine. Every field that changes is an atomic or a snapshot.
#[derive(Debug)]
pub struct Target {
    /// Name and address of the engine.
    pub address: TargetAddress,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Observed step times in relation to the predicted ones.
    pub step_time: StepTime,
    /// Circuit breaker that ejects the engine after failures.
    pub breaker: Breaker,
    /// Prompt prefixes that the engine probably has in its cache.
    pub cache: affinity::Table,
    /// Adaptive limit on the number of this host's sequences on the engine.
    pub limiter: Arc<concurrency::Limiter>,
    /// Budget of the extra attempts that this host may send to the engine.
    pub retry_budget: retry::Budget,
    /// Number of this host's sequences on the engine. Invariant: the number of open residencies.
    own_sequences: AtomicU32,
    /// Engine time, in nanoseconds, that these sequences need per token. Invariant: the sum over
    /// the open residencies.
    own_resident_ns: AtomicU64,
    /// Number of this host's steps that wait for an answer.
    in_flight_steps: AtomicU32,
    /// Engine time, in nanoseconds, of these steps. Invariant: the sum over the steps in flight.
    in_flight_ns: AtomicU64,
    /// Time from which the two times below are measured.
    origin: Instant,
    /// Microseconds after `origin` at which the engine last answered a step; 0 before the first
    /// answer.
    last_answer_at_us: AtomicU64,
    /// Microseconds after `origin` at which the answered step with the latest send time was sent; 0
    /// before the first answer.
    answered_sent_at_us: AtomicU64,
    /// Number of the connection that steps are sent over.
    connection: AtomicU64,
    report: ArcSwapOption<ReceivedReport>,
    listed_leaving: AtomicBool,
}

impl Target {
    /// Creates a target of which only the address and the data centre are known.
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
            last_answer_at_us: AtomicU64::new(0),
            answered_sent_at_us: AtomicU64::new(0),
            connection: AtomicU64::new(0),
            report: ArcSwapOption::empty(),
            listed_leaving: AtomicBool::new(false),
        }
    }

    /// Returns `Leaving::Yes` if the platform's list or the engine's last report shows the target
    /// as leaving.
    pub fn leaving(&self) -> Leaving {
        let reported = || {
            let report = self.report.load();
            report
                .as_ref()
                .is_some_and(|received| received.report.leaving)
        };
        if self.listed_leaving.load(Ordering::Acquire) || reported() {
            return Leaving::Yes;
        }
        Leaving::No
    }

    /// Records whether the platform's list shows the target as leaving. Returns true if that is a
    /// change.
    pub fn set_listed_leaving(&self, leaving: Leaving) -> bool {
        let is_leaving = leaving == Leaving::Yes;
        self.listed_leaving.swap(is_leaving, Ordering::AcqRel) != is_leaving
    }

    /// Records a load report. Returns true if it changes what the engine holds.
    pub fn record_report(&self, report: LoadReport, now: Instant) -> bool {
        let previous = self.report.load();
        let before = previous.as_ref().map(|received| &received.report.holds);
        let is_change = before != Some(&report.holds);
        let taken_at = now.checked_sub(report.age).unwrap_or(now);
        self.report.store(Some(Arc::new(ReceivedReport {
            report,
            taken_at,
            own_sequences: self.own_sequences(),
        })));
        is_change
    }

    /// Returns the last load report, or `None` before the first one.
    pub fn report(&self) -> Option<Arc<ReceivedReport>> {
        self.report.load_full()
    }

    /// Returns the number of steps in the engine's queue at its last report, or 0 before the first
    /// one.
    pub fn reported_queue_steps(&self) -> u32 {
        let report = self.report.load();
        report
            .as_ref()
            .map_or(0, |received| received.report.queue_depth_steps)
    }

    /// Returns what the engine holds by its last report, or `None` before the first one.
    pub fn reported_holdings(&self) -> Option<Vec<Holding>> {
        let report = self.report.load();
        report
            .as_ref()
            .map(|received| received.report.holds.clone())
    }

    /// Returns the number of this host's sequences on the engine.
    pub fn own_sequences(&self) -> u32 {
        self.own_sequences.load(Ordering::Acquire)
    }

    /// Returns whether this host has sequences on the engine, so that the answers to its steps show
    /// the engine's load.
    pub fn step_activity(&self) -> StepActivity {
        if self.own_sequences() > 0 {
            StepActivity::Recent
        } else {
            StepActivity::Idle
        }
    }

    /// Returns the engine time that this host's sequences need per token.
    pub fn own_resident(&self) -> Duration {
        Duration::from_nanos(self.own_resident_ns.load(Ordering::Acquire))
    }

    /// Returns the number of this host's steps that wait for an answer.
    pub fn in_flight_steps(&self) -> u32 {
        self.in_flight_steps.load(Ordering::Acquire)
    }

    /// Returns the estimated engine time, in nanoseconds, that the sequences of all hosts need per
    /// token.
    pub fn resident_ns(&self, node: &Node) -> f64 {
        let own = OwnLoad {
            sequences: self.own_sequences(),
            resident_ns: self.own_resident_ns.load(Ordering::Acquire) as f64,
        };
        let report = self.report.load();
        let reported = report.as_ref().map(|received| ReportedLoad {
            open_sequences: received.report.open_sequences,
            own_sequences: received.own_sequences,
        });
        let sequence_ns = f64::from(node.layers.count()) * node.layer_ns;
        estimate_resident_ns(own, reported, sequence_ns)
    }

    /// Returns the estimated engine time, in nanoseconds, of the steps of all hosts that wait for
    /// an answer.
    ///
    /// Assumes that the steps of all hosts are to this host's steps as their sequences are to this
    /// host's sequences. Without a sequence of this host, uses the reported queue.
    pub fn backlog_ns(&self, node: &Node) -> f64 {
        let own_resident_ns = self.own_resident_ns.load(Ordering::Acquire) as f64;
        let in_flight_ns = self.in_flight_ns.load(Ordering::Acquire) as f64;
        if own_resident_ns > 0.0 {
            return in_flight_ns * (self.resident_ns(node) / own_resident_ns).max(1.0);
        }
        let step_ns = f64::from(node.layers.count()) * node.layer_ns;
        f64::from(self.reported_queue_steps()) * step_ns
    }

    /// Returns the predicted time of a step, including the wait for the steps before it.
    pub fn predicted_step(&self, node: &Node, layer_count: u16, token_count: u32) -> Duration {
        let step_ns = node.unloaded_step_ns(layer_count, token_count);
        Duration::from_nanos((step_ns + self.backlog_ns(node)) as u64)
    }

    /// Records that a step sent at `sent_at` was answered at `now`.
    pub fn record_answer(&self, sent_at: Instant, now: Instant) {
        self.last_answer_at_us
            .fetch_max(self.micros(now), Ordering::AcqRel);
        self.answered_sent_at_us
            .fetch_max(self.micros(sent_at), Ordering::AcqRel);
    }

    /// Returns whether the target answered any step since `sent_at`.
    pub fn activity_since(&self, sent_at: Instant) -> TargetActivity {
        match self.last_answer_at_us.load(Ordering::Acquire) > self.micros(sent_at) {
            true => TargetActivity::AnsweredOthers,
            false => TargetActivity::Silent,
        }
    }

    /// Returns what is known of a step that was sent at `sent_at` and waits for an answer.
    pub fn pending_step(
        &self,
        sent_at: Instant,
        deadline: Duration,
        limit: Duration,
    ) -> PendingStep {
        let to_instant = |micros: &AtomicU64| {
            let micros = micros.load(Ordering::Acquire);
            (micros > 0).then(|| self.origin + Duration::from_micros(micros))
        };
        PendingStep {
            sent_at,
            heard_at: to_instant(&self.last_answer_at_us),
            answered_sent_at: to_instant(&self.answered_sent_at_us),
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
        assert!(sequences > 0, "a residency was closed twice");
        assert!(
            resident >= resident_ns,
            "closed residencies exceed the opened ones"
        );
    }

    /// Counts a step that takes `work_ns` of engine time as in flight until the guard is dropped.
    pub fn begin_step(self: &Arc<Self>, work_ns: u64) -> InFlightGuard {
        self.in_flight_steps.fetch_add(1, Ordering::AcqRel);
        self.in_flight_ns.fetch_add(work_ns, Ordering::AcqRel);
        InFlightGuard {
            target: Arc::clone(self),
            work_ns,
        }
    }

    /// Returns the number of the connection that steps are sent over now.
    pub fn connection(&self) -> u64 {
        self.connection.load(Ordering::Acquire)
    }

    /// Retires a connection that was found silent. Returns true to only one of the callers that
    /// found it silent, which then opens the next one. The others get false, because the connection
    /// was already replaced.
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

/// Guard that counts a step as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    target: Arc<Target>,
    work_ns: u64,
}

impl InFlightGuard {
    /// Ends the step.
    pub fn close(self) {}
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let steps_before = self.target.in_flight_steps.fetch_sub(1, Ordering::AcqRel);
        let work_before_ns = self
            .target
            .in_flight_ns
            .fetch_sub(self.work_ns, Ordering::AcqRel);
        assert!(steps_before > 0, "a step ended that had not begun");
        assert!(
            work_before_ns >= self.work_ns,
            "the engine time of ended steps exceeds that of begun steps"
        );
    }
}
