//! What every part of a running host shares.

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

/// What every part of a running host shares.
pub struct Shared {
    /// Checked settings.
    pub settings: Settings,
    /// The systems around the host.
    pub ports: Ports,
    /// Number of this run of the host.
    pub incarnation: Incarnation,
    /// When the host started.
    pub started: Instant,
    /// Decisions about recent requests.
    pub explain: explain::Ring,
    /// Instruments.
    pub metrics: Arc<Metrics>,
    /// Cancelled when an operator asks for a planned stop.
    pub stop_requested: CancellationToken,
    /// The engines that requests are routed to.
    pub targets: targets::Table,
    /// The other hosts.
    pub membership: Arc<Membership>,
    /// The platform's list.
    pub listing: Arc<listing::Store>,
    /// The configuration as it is judged, for operators and peers.
    pub configuration: config::Handle,
    /// Runs calls to plain services.
    pub service_dispatcher: claims::ServiceDispatcher,
    /// Limits of teams over all hosts.
    pub team_limits: TeamLimits,
    /// Admission of requests.
    pub admission: Admission,
    /// The configuration in force. Invariant: its version never falls.
    config: Arc<ArcSwap<ConfigView>>,
    config_changed: watch::Sender<Version>,
    stage: AtomicU8,
    open_requests: watch::Sender<usize>,
    next_request: AtomicU64,
}

/// A configuration version with the look-ups that requests need.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// Its number; 0 before any is in force.
    pub version: Version,
    /// What it states.
    pub document: Arc<Document>,
    /// Team of each key hash. Invariant: names just the teams of `document`.
    team_by_key: imbl::OrdMap<KeyDigest, TeamId>,
    /// Trusted instances of each service. Invariant: names just the targets of `document`.
    instances: Arc<HashMap<ServiceId, Vec<TargetAddress>>>,
}

impl ConfigView {
    /// Makes the view of a version.
    pub fn new(version: Version, document: Arc<Document>) -> Self {
        Self::default().next(version, document)
    }

    /// Makes the view of a later version, at the cost of the teams that changed.
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
        // After every removal, so that a key may move from one team to another.
        for (id, team) in added {
            for key in &team.key_sha256 {
                team_by_key.insert(*key, id.clone());
            }
        }
        let instances = if self.document.targets.ptr_eq(&document.targets) {
            Arc::clone(&self.instances)
        } else {
            Arc::new(instances_of(&document))
        };
        Self {
            version,
            document,
            team_by_key,
            instances,
        }
    }

    /// Trusted instances of a service.
    pub fn instances(&self, service: &ServiceId) -> &[TargetAddress] {
        self.instances.get(service).map_or(&[], Vec::as_slice)
    }

    /// Finds the team to which a bearer key belongs.
    pub fn team_of_key(&self, bearer_key: &str) -> Option<(TeamId, Arc<Team>)> {
        let id = self.team_by_key.get(&KeyDigest::of(bearer_key))?;
        let team = self.document.teams.get(id)?;
        Some((id.clone(), Arc::clone(team)))
    }
}

fn members(settings: &Settings, membership: &Arc<Membership>) -> MembershipRoster {
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

fn instances_of(document: &Document) -> HashMap<ServiceId, Vec<TargetAddress>> {
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

/// Stage of a host's life, as its listeners see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifecycleStage {
    /// No configuration is in force yet.
    Starting,
    /// Requests are taken.
    Serving,
    /// Open requests end; no new ones are taken.
    Draining,
}

impl Shared {
    /// Makes the context of a host that starts now.
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
            roster: Arc::new(members(&settings, &membership)),
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

    /// The hosts that are believed to live, for those who share work among them.
    pub fn roster(&self) -> MembershipRoster {
        members(&self.settings, &self.membership)
    }

    /// The configuration in force.
    pub fn config(&self) -> arc_swap::Guard<Arc<ConfigView>> {
        self.config.load()
    }

    /// Puts a newer configuration in force and opens the host for requests.
    ///
    /// # Panics
    ///
    /// Panics if the version is not above the one in force: a host never goes down a version.
    pub fn set_config(&self, view: ConfigView) {
        let version = view.version;
        let previous = self.config.swap(Arc::new(view));
        assert!(
            version > previous.version,
            "configuration went from version {} to {version}",
            previous.version
        );
        self.metrics.config_version.set(version);
        self.config_changed.send_replace(version);
        self.advance(LifecycleStage::Serving);
    }

    /// Tells of each change of the configuration's version.
    pub fn config_changes(&self) -> watch::Receiver<Version> {
        self.config_changed.subscribe()
    }

    /// Stage of the host's life.
    pub fn stage(&self) -> LifecycleStage {
        match self.stage.load(Ordering::Acquire) {
            0 => LifecycleStage::Starting,
            1 => LifecycleStage::Serving,
            _ => LifecycleStage::Draining,
        }
    }

    /// Moves on to a later stage; an earlier one is left alone.
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

    /// Counts a refusal, and keeps it for operators unless anyone at all could have caused it.
    pub fn record_refusal(&self, request: &RequestId, refused: &Refused) {
        self.metrics.count_refusal(refused);
        let is_anyones = matches!(
            refused.reason,
            Reason::Unauthenticated | Reason::BadRequest | Reason::NotFound | Reason::TooLarge
        );
        if !is_anyones {
            let reason = format_smolstr!("{}: {}", refused.reason, refused.message);
            let decision = Decision::new("request.refused", refused.outcome.to_smolstr(), reason);
            self.explain.record(request, decision);
        }
    }

    /// Number of open requests, for those who wait for it to fall to 0.
    pub fn open_requests(&self) -> watch::Receiver<usize> {
        self.open_requests.subscribe()
    }

    /// A request id that no other request of any host has.
    pub fn new_request_id(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format_smolstr!(
            "{}-{:x}-{number:x}",
            self.settings.host_id,
            self.incarnation
        )
    }
}

/// Keeps a request counted as open.
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
