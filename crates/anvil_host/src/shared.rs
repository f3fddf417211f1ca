//! State that all parts of a running host share.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{
            AtomicU8,
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use anvil_core::{
    document::{
        Document,
        TargetKind,
        Team, //
    },
    id::{
        Incarnation,
        RequestId,
        ServiceId,
        TeamId,
        Version, //
    },
    key_digest::KeyDigest,
    outcome::{
        Reason,
        Refused, //
    }, //
};
use anvil_observe::metrics::Metrics;
use anvil_settings::Settings;
use arc_swap::ArcSwap;
use imbl::ordmap::DiffItem;
use smol_str::{
    ToSmolStr,
    format_smolstr, //
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    admit::Admission,
    claims,
    config,
    explain::{
        self,
        Decision, //
    },
    instances::ConfiguredInstances,
    limits::TeamLimits,
    listing,
    membership::Membership,
    port::{
        PeerAddress,
        Ports, //
        TargetAddress,
    },
    roster::{
        Member,
        MembershipRoster, //
    },
    targets, //
};

/// State that all parts of a running host share.
pub struct Shared {
    /// Settings of the host; they are validated and don't change while it runs.
    pub settings: Settings,
    /// Connections to the systems around the host.
    pub ports: Ports,
    /// Number of this run of the host: its start time in microseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// When the host started, for its uptime.
    pub started: Instant,
    /// Decisions about recent requests, which operators can query.
    pub explain: explain::Ring,
    /// Metrics that the host's parts record.
    pub metrics: Arc<Metrics>,
    /// Cancelled when an operator requests a planned stop.
    pub stop_requested: CancellationToken,
    /// The engines that requests are routed to.
    pub targets: targets::Table,
    /// Membership table: the other hosts as this one sees them.
    pub membership: Arc<Membership>,
    /// The platform's list of hosts and targets.
    pub listing: Arc<listing::Store>,
    /// State of the configuration after the records evaluated so far, for operators and peers.
    pub configuration: config::Handle,
    /// Dispatches calls to plain services.
    pub service_dispatcher: claims::ServiceDispatcher,
    /// Limits of teams that hold over all hosts together.
    pub team_limits: TeamLimits,
    /// Admits, queues or refuses requests.
    pub admission: Admission,
    /// The configuration in force. Invariant: its version never decreases.
    config: Arc<ArcSwap<ConfigView>>,
    config_changed: watch::Sender<Version>,
    stage: AtomicU8,
    open_requests: watch::Sender<usize>,
    next_request: AtomicU64,
}

/// A configuration version with the look-ups that requests need.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// Number of the version; 0 before any version is in force.
    pub version: Version,
    /// Document of the version.
    pub document: Arc<Document>,
    /// Team of each key digest. Invariant: names only teams of `document`.
    team_by_key: imbl::OrdMap<KeyDigest, TeamId>,
    /// Trusted instances of each service. Invariant: names only targets of `document`.
    instances: Arc<HashMap<ServiceId, Vec<TargetAddress>>>,
}

impl ConfigView {
    /// Creates the view of a version, at a cost proportional to the whole document.
    pub fn new(version: Version, document: Arc<Document>) -> Self {
        Self::default().next(version, document)
    }

    /// Creates the view of a later version. The cost depends on the number of teams that changed,
    /// and on the number of targets if any of these changed.
    pub fn next(&self, version: Version, document: Arc<Document>) -> Self {
        let mut team_by_key = self.team_by_key.clone();
        let mut added = Vec::new();
        for change in self.document.teams.diff(&document.teams) {
            let removed = match change {
                DiffItem::Add(id, team) => {
                    added.push((id, team));
                    continue;
                }
                DiffItem::Remove(_, team) => team,
                DiffItem::Update { old, new } => {
                    added.push(new);
                    old.1
                }
            };
            for key in &removed.key_sha256 {
                team_by_key.remove(key);
            }
        }
        // Keys are added after all removals, so that a key can move from one team to another.
        for (id, team) in added {
            for key in &team.key_sha256 {
                team_by_key.insert(*key, id.clone());
            }
        }
        let instances = if self.document.targets.ptr_eq(&document.targets) {
            Arc::clone(&self.instances)
        } else {
            Arc::new(instances_by_service(&document))
        };
        Self {
            version,
            document,
            team_by_key,
            instances,
        }
    }

    /// Returns the trusted instances of a service; empty for an unknown one.
    pub fn instances(&self, service: &ServiceId) -> &[TargetAddress] {
        self.instances.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the team to which a bearer key belongs, or `None` for an unknown key.
    pub fn team_of_key(&self, bearer_key: &str) -> Option<(TeamId, Arc<Team>)> {
        let id = self.team_by_key.get(&KeyDigest::of(bearer_key))?;
        let team = self.document.teams.get(id)?;
        Some((id.clone(), Arc::clone(team)))
    }
}

fn membership_roster(settings: &Settings, membership: &Arc<Membership>) -> MembershipRoster {
    MembershipRoster {
        membership: Arc::clone(membership),
        own: Member {
            address: PeerAddress {
                id: settings.host_id.clone(),
                address: settings.listen.peers,
            },
            data_centre: settings.data_centre.clone(),
        },
    }
}

fn instances_by_service(document: &Document) -> HashMap<ServiceId, Vec<TargetAddress>> {
    let mut instances: HashMap<ServiceId, Vec<TargetAddress>> = HashMap::new();
    for (id, target) in &document.targets {
        let TargetKind::Service { service } = &target.kind else {
            continue;
        };
        let address = TargetAddress {
            id: id.clone(),
            address: target.address,
        };
        instances.entry(service.clone()).or_default().push(address);
    }
    instances
}

/// Stage of a host's lifecycle. A host goes through the stages in this order and never returns to
/// an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifecycleStage {
    /// No configuration is in force yet.
    Starting,
    /// Requests are accepted.
    Serving,
    /// Open requests are completed; no new ones are accepted.
    Draining,
}

impl Shared {
    /// Creates the shared state of a host that starts now.
    pub fn new(settings: Settings, ports: Ports) -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let targets = targets::Table::new(settings.targets.clone());
        let incarnation = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
        let membership = Arc::new(Membership::new(&settings, incarnation));
        let config: Arc<ArcSwap<ConfigView>> = Arc::default();
        let listing: Arc<listing::Store> = Arc::default();
        let service_dispatcher = claims::ServiceDispatcher::new(claims::DispatcherContext {
            host: settings.host_id.clone(),
            incarnation,
            settings: settings.claims.clone(),
            stream_prefix: settings.platform.claim_stream_prefix.clone(),
            ports: ports.clone(),
            roster: Arc::new(membership_roster(&settings, &membership)),
            instances: Arc::new(ConfiguredInstances {
                config: Arc::clone(&config),
                listing: Arc::clone(&listing),
            }),
        });
        let explain = explain::Ring::new(settings.explain);
        Self {
            listing,
            configuration: config::Handle::new(
                settings.configuration.clone(),
                settings.platform.config_stream.clone(),
                Arc::clone(&ports.log),
            ),
            service_dispatcher,
            membership,
            team_limits: TeamLimits::new(settings.host_id.clone(), Instant::now()),
            admission: Admission::default(),
            settings,
            ports,
            started: Instant::now(),
            explain,
            metrics: Arc::new(Metrics::default()),
            stop_requested: CancellationToken::new(),
            incarnation,
            targets,
            config,
            config_changed: watch::Sender::new(0),
            stage: AtomicU8::new(LifecycleStage::Starting as u8),
            open_requests: watch::Sender::new(0),
            next_request: AtomicU64::new(0),
        }
    }

    /// Returns the hosts that are believed to be live, for components that share work among hosts.
    pub fn roster(&self) -> MembershipRoster {
        membership_roster(&self.settings, &self.membership)
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> arc_swap::Guard<Arc<ConfigView>> {
        self.config.load()
    }

    /// Puts a newer configuration in force and lets the host accept requests.
    ///
    /// # Panics
    ///
    /// Panics if the version is not above the one in force, since a host never goes back to an
    /// earlier version.
    pub fn set_config(&self, view: ConfigView) {
        let version = view.version;
        let previous = self.config.swap(Arc::new(view));
        assert!(
            version > previous.version,
            "configuration version must increase, but went from {} to {version}",
            previous.version
        );
        self.metrics.config_version.set(version);
        self.config_changed.send_replace(version);
        self.advance(LifecycleStage::Serving);
    }

    /// Returns a receiver that is notified of each version put in force; its value is the version.
    pub fn config_changes(&self) -> watch::Receiver<Version> {
        self.config_changed.subscribe()
    }

    /// Returns the stage of the host's lifecycle.
    pub fn stage(&self) -> LifecycleStage {
        match self.stage.load(Ordering::Acquire) {
            0 => LifecycleStage::Starting,
            1 => LifecycleStage::Serving,
            _ => LifecycleStage::Draining,
        }
    }

    /// Moves to a later stage. Does nothing if the host is in that stage or past it.
    pub fn advance(&self, stage: LifecycleStage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
    }

    /// Counts a request as open until the guard is dropped.
    pub fn open_request(self: &Arc<Self>) -> OpenRequestGuard {
        self.metrics.requests_open.add(1);
        self.open_requests.send_modify(|count| *count += 1);
        OpenRequestGuard {
            shared: Arc::clone(self),
        }
    }

    /// Counts a refusal, and keeps it for operators unless a caller without a valid key could have
    /// caused it.
    pub fn record_refusal(&self, request: &RequestId, refused: &Refused) {
        self.metrics.count_refusal(refused);
        let needs_no_key = matches!(
            refused.reason,
            Reason::Unauthenticated | Reason::BadRequest | Reason::NotFound | Reason::TooLarge
        );
        if !needs_no_key {
            let reason = format_smolstr!("{}: {}", refused.reason, refused.message);
            let decision = Decision::new("request.refused", refused.outcome.to_smolstr(), reason);
            self.explain.record(request, decision);
        }
    }

    /// Returns a receiver of the number of open requests, for example to wait until it is 0.
    pub fn open_requests(&self) -> watch::Receiver<usize> {
        self.open_requests.subscribe()
    }

    /// Returns a request id that no other request of any host has.
    pub fn new_request_id(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format_smolstr!(
            "{}-{:x}-{number:x}",
            self.settings.host_id,
            self.incarnation
        )
    }
}

/// Counts a request as open until dropped.
pub struct OpenRequestGuard {
    shared: Arc<Shared>,
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.shared.metrics.requests_open.subtract(1);
        self.shared.open_requests.send_modify(|count| *count -= 1);
    }
}

#[cfg(test)]
mod tests;
