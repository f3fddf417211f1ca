//! Configuration of an entry host by its operators: routes, services and the teams that may call.
//!
//! A [`Table`] is one version of the configuration, indexed for the look-ups of a request.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

use smol_str::SmolStr;

use crate::{
    engine_model::EngineProfile,
    id::{
        ServiceId,
        TeamId,
        Version, //
    },
    key_digest::KeyDigest,
    urgency::Rank, //
};

pub mod check;
#[cfg(test)]
mod tests;

/// Weight of the first priority in a rank.
const RANK_FACTOR: u32 = 1000;

/// Whether a route's requests may run more than once, and what kind of answer they have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestSemantics {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    AtMostOnce,
    /// The answer is a stream of events that runs at most once.
    Stream,
    /// The answer is a stream of events that another target may continue after the last delivered
    /// event.
    ResumableStream,
}

impl RequestSemantics {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request that may already have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight of the service relative to the other services of the route.
    pub weight: f64,
}

/// A route, which is selected by host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name that the operators gave the route.
    pub name: SmolStr,
    /// Host name of the requests, without a port.
    pub host: SmolStr,
    /// Prefix of the requests' path. Invariant: begins and ends with a slash.
    pub path_prefix: SmolStr,
    /// Whether requests may run more than once, and what kind of answer they have.
    pub semantics: RequestSemantics,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub latency_objective: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub pause_objective: Option<Duration>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Services that serve the route, with their weights.
    pub backends: Vec<Backend>,
    /// Largest number of targets to which one request may be sent. Invariant: at least 1.
    pub attempts_max: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
}

/// A service to which routes send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of the health check on the service's targets.
    pub health_path: SmolStr,
    /// Largest number of connections that one target accepts from all callers together.
    pub connection_limit: u32,
    /// Performance figures of the model engine; `None` if the service isn't one.
    pub engine: Option<EngineProfile>,
}

/// A team that may call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name that the operators gave the team.
    pub name: TeamId,
    /// Priority that comes before the route's; `None` for the route's alone.
    pub priority: Option<u32>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of a request's head.
    pub header_limit_bytes: usize,
    /// Largest size of a request's body.
    pub body_limit_bytes: usize,
    /// Longest time for a request's head to arrive.
    pub header_timeout: Duration,
    /// Longest time that a connection is kept open without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_limit_bytes: 16 << 10,
            body_limit_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A team with the digests of its keys.
#[derive(Clone, Debug)]
pub struct TeamKeys {
    /// The team.
    pub team: Team,
    /// Digests of the keys that belong to the team.
    pub keys: Vec<KeyDigest>,
}

/// One version of the operators' configuration, with all entries in the order in which they were
/// written.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Number of the version.
    pub version: Version,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services, by name.
    pub services: Vec<(ServiceId, Service)>,
    /// The teams; if it is `None`, no request needs a key.
    pub teams: Option<Vec<TeamKeys>>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

impl From<Configuration> for Table {
    fn from(configuration: Configuration) -> Self {
        let teams = configuration.teams.map(|teams| {
            let keys = |entry: TeamKeys| {
                let team = entry.team;
                let keys = entry.keys.into_iter();
                keys.map(move |key| (key, team.clone()))
            };
            teams.into_iter().flat_map(keys).collect()
        });
        Self::new(
            configuration.version,
            configuration.routes,
            configuration.services,
            teams,
            configuration.limits,
        )
    }
}

/// One version of the operators' configuration, indexed for the look-ups of a request.
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: Version,
    /// Routes by host name. Invariant: longest prefix first.
    routes: HashMap<SmolStr, Vec<Route>>,
    services: HashMap<ServiceId, Service>,
    /// Ranks of the services whose requests compete, most urgent first. Invariant: at least two each.
    ranks: HashMap<ServiceId, Vec<Rank>>,
    /// Teams by the digest of their key. A look-up hashes the key that it is given, so its duration
    /// reveals nothing about the stored keys.
    teams: HashMap<KeyDigest, Team>,
    /// Whether the configuration lists teams at all, even if the list is empty.
    has_teams: bool,
    limits: CallerLimits,
}

impl Table {
    /// Indexes a version of the configuration. If `teams` is `None`, no request needs a key.
    pub fn new(
        version: Version,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = (ServiceId, Service)>,
        teams: Option<Vec<(KeyDigest, Team)>>,
        limits: CallerLimits,
    ) -> Self {
        let mut routes_by_host: HashMap<SmolStr, Vec<Route>> = HashMap::new();
        for route in routes {
            routes_by_host
                .entry(route.host.clone())
                .or_default()
                .push(route);
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services: HashMap<ServiceId, Service> = services.into_iter().collect();
        let ranks = competing_ranks(&routes_by_host, &services, teams.as_deref());
        Self {
            version,
            routes: routes_by_host,
            services,
            ranks,
            has_teams: teams.is_some(),
            teams: teams.unwrap_or_default().into_iter().collect(),
            limits,
        }
    }

    /// Returns the number of this version of the configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on what callers send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route with the longest matching prefix among the routes of the host name, or
    /// `None` if there is none. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host);
        self.routes
            .get(name)?
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns the number of routes of all host names.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns a service by name, or `None` if it is unknown.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services by name, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceId, &Service)> {
        self.services.iter()
    }

    /// Returns the distinct ranks of a service's requests, most urgent first, if they compete: the
    /// service has engines, and routes of at least two priorities send to it. Otherwise returns an empty slice.
    pub fn competing_ranks(&self, service: &str) -> &[Rank] {
        self.ranks.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns whether requests on `route` need a key: the configuration lists teams, and the route
    /// isn't public.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.has_teams && !route.public
    }

    /// Returns the team that a key belongs to, or `None` if the key is unknown.
    pub fn team(&self, key: &str) -> Option<&Team> {
        self.teams.get(&KeyDigest::of(key))
    }
}

/// Returns the ranks of each service with engines to which routes of at least two priorities send.
fn competing_ranks(
    routes: &HashMap<SmolStr, Vec<Route>>,
    services: &HashMap<ServiceId, Service>,
    teams: Option<&[(KeyDigest, Team)]>,
) -> HashMap<ServiceId, Vec<Rank>> {
    let team_priorities: BTreeSet<Option<u32>> = teams.map_or_else(BTreeSet::new, |teams| {
        teams.iter().map(|(_, team)| team.priority).collect()
    });
    let mut priorities: HashMap<ServiceId, BTreeSet<u32>> = HashMap::new();
    let mut ranks: HashMap<ServiceId, BTreeSet<Rank>> = HashMap::new();
    for route in routes.values().flatten() {
        let of_route: BTreeSet<Rank> = match teams.is_some() && !route.public {
            true => (team_priorities.iter().copied())
                .map(|team_priority| rank(team_priority, route.priority))
                .collect(),
            false => BTreeSet::from([rank(None, route.priority)]),
        };
        for backend in route.backends.iter().filter(|backend| backend.weight > 0.0) {
            let service = services.get(&backend.service);
            if service.is_some_and(|service| service.engine.is_some()) {
                let of_service = priorities.entry(backend.service.clone()).or_default();
                of_service.insert(route.priority);
                let of_service = ranks.entry(backend.service.clone()).or_default();
                of_service.extend(&of_route);
            }
        }
    }
    let competes = |service: &ServiceId| priorities[service].len() > 1;
    ranks
        .into_iter()
        .filter(|(service, ranks)| competes(service) && ranks.len() > 1)
        .map(|(service, ranks)| (service, ranks.into_iter().collect()))
        .collect()
}

/// Returns the rank of a request: the priority of its team, or of its route where the team has none,
/// comes first, and the route's decides among equals. The first weighs 1,000 times as much; a priority
/// above 999 counts as 999.
pub fn rank(team_priority: Option<u32>, route_priority: u32) -> Rank {
    let first = team_priority.unwrap_or(route_priority).min(RANK_FACTOR - 1);
    RANK_FACTOR * first + route_priority.min(RANK_FACTOR - 1)
}

/// Chooses a route's service with a probability proportional to its weight, where `draw` is uniform
/// in `0.0..1.0`. Returns `None` if no service has a weight above 0.
pub fn choose_backend(route: &Route, draw: f64) -> Option<&ServiceId> {
    let total_weight: f64 = route.backends.iter().map(|backend| backend.weight).sum();
    let mut remaining = draw * total_weight;
    for backend in &route.backends {
        if backend.weight <= 0.0 {
            continue;
        }
        if remaining < backend.weight {
            return Some(&backend.service);
        }
        remaining -= backend.weight;
    }
    route
        .backends
        .iter()
        .rfind(|backend| backend.weight > 0.0)
        .map(|backend| &backend.service)
}
