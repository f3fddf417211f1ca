//! What an entry host is told by its operators: routes, services, and the teams that may call.
//!
//! A [`Table`] is one version, indexed for look-ups on a request's path.

use std::{
    collections::HashMap,
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
    key_digest::KeyDigest, //
};

#[cfg(test)]
mod tests;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestSemantics {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    AtMostOnce,
    /// The answer is a stream of events that runs at most once.
    Stream,
    /// The answer is a stream that may go on at another target after the last event delivered.
    ResumableStream,
}

impl RequestSemantics {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }
}

/// A service with its part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// The service.
    pub service: ServiceId,
    /// Its share against the other services of the route.
    pub weight: f64,
}

/// A route, chosen by host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: SmolStr,
    /// Host name of the requests.
    pub host: SmolStr,
    /// Prefix of the path. Invariant: begins and ends with a slash.
    pub path_prefix: SmolStr,
    /// What may be repeated.
    pub semantics: RequestSemantics,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub latency_objective: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub pause_objective: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services that serve it.
    pub backends: Vec<Backend>,
    /// Most targets to which one request may be sent. Invariant: at least 1.
    pub attempts_max: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of the health check.
    pub health_path: SmolStr,
    /// Connections that one target accepts from all callers together.
    pub connection_limit: u32,
    /// Figures of the model engine, where it is one.
    pub engine: Option<EngineProfile>,
}

/// A team that may call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: TeamId,
    /// Rank that goes before a route's.
    pub priority: Option<u32>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub header_limit_bytes: usize,
    /// Largest body.
    pub body_limit_bytes: usize,
    /// Longest time for a head to arrive.
    pub header_timeout: Duration,
    /// Longest time that a kept connection stays idle.
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

/// One version of what operators say.
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: Version,
    /// Routes by host name. Invariant: longest prefix first.
    routes: HashMap<SmolStr, Vec<Route>>,
    services: HashMap<ServiceId, Service>,
    /// Teams by key. A look-up hashes the key, so its time tells nothing about the keys held.
    teams: HashMap<KeyDigest, Team>,
    has_teams: bool,
    limits: CallerLimits,
}

impl Table {
    /// Indexes a version.
    pub fn new(
        version: Version,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = (ServiceId, Service)>,
        teams: Option<Vec<(KeyDigest, Team)>>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<SmolStr, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            services: services.into_iter().collect(),
            has_teams: teams.is_some(),
            teams: teams.unwrap_or_default().into_iter().collect(),
            limits,
        }
    }

    /// The version's number.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Limits on what callers send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route of a request: the longest prefix among the routes of its host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host);
        self.routes
            .get(name)?
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Every service.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceId, &Service)> {
        self.services.iter()
    }

    /// Whether requests on routes that are not public need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.has_teams && !route.public
    }

    /// The team that holds a key.
    pub fn team(&self, key: &str) -> Option<&Team> {
        self.teams.get(&KeyDigest::of(key))
    }
}

/// Chooses a route's service by weight; `draw` is uniform in `0.0..1.0`.
pub fn choose_backend(route: &Route, draw: f64) -> Option<&ServiceId> {
    let total: f64 = route.backends.iter().map(|backend| backend.weight).sum();
    let mut left = draw * total;
    for backend in &route.backends {
        if backend.weight <= 0.0 {
            continue;
        }
        if left < backend.weight {
            return Some(&backend.service);
        }
        left -= backend.weight;
    }
    route
        .backends
        .iter()
        .rfind(|backend| backend.weight > 0.0)
        .map(|backend| &backend.service)
}
