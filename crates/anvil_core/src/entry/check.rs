//! Checks a configuration before it is deployed: entries that can never match, limits that contradict
//! each other, and differences from the version in force.
//!
//! Errors are what a host's decoder refuses, so this module reports none; a host accepts everything
//! that is only warned about.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    fmt::Debug,
    hash::Hash,
    time::Duration, //
};

use super::{
    CallerLimits,
    Configuration,
    Route,
    Service, //
};

mod difference;
#[cfg(test)]
mod tests;

/// Largest number of findings in a [`Report`].
pub const FINDINGS_MAX: usize = 200;

/// How serious a finding is. The order is the order of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Hosts refuse the configuration.
    Error,
    /// Hosts accept the configuration, but an entry has no effect or limits contradict each other.
    Warning,
    /// Difference from the version in force, which is no fault.
    Difference,
}

/// Part of a configuration that a finding is about. Entries are numbered from 0, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// Position in the text, counted from 1.
    Text {
        /// Line of the text.
        line: usize,
        /// Column of the line.
        column: usize,
    },
    /// Number of the version.
    Version,
    /// A route, or a field of it.
    Route(usize, Option<RouteField>),
    /// A service, or a field of it.
    Service(usize, Option<ServiceField>),
    /// The list of teams.
    Teams,
    /// A team, or a field of it.
    Team(usize, Option<TeamField>),
    /// A limit on what callers send.
    Limit(LimitField),
}

/// Field of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[expect(missing_docs, reason = "the fields are those of `Route`")]
pub enum RouteField {
    Host,
    PathPrefix,
    Semantics,
    Timeout,
    LatencyObjective,
    PauseObjective,
    Priority,
    Backends,
    /// One of the backends, by its number.
    Backend(usize),
    AttemptsMax,
    Public,
}

/// Field of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[expect(missing_docs, reason = "the fields are those of `Service`")]
pub enum ServiceField {
    HealthPath,
    ConnectionLimit,
    Engine,
}

/// Field of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TeamField {
    /// Priority of the team.
    Priority,
    /// All keys of the team.
    Keys,
    /// One key of the team, by its number.
    Key(usize),
}

/// Field of the limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[expect(missing_docs, reason = "the fields are those of `CallerLimits`")]
pub enum LimitField {
    HeaderBytes,
    BodyBytes,
    HeaderTimeout,
    IdleTimeout,
}

/// One result of a check.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// Where it is.
    pub place: Place,
    /// What is wrong and what to do. It never contains a key.
    pub message: String,
}

/// What hosts can do, which limits of the configuration are compared with.
#[derive(Clone, Copy, Debug)]
pub struct HostBounds {
    /// Memory for request bodies of the smallest host.
    pub body_memory_bytes: usize,
    /// Repeats that all hosts may send together in a window without regard to the load.
    pub retry_slack_sends: f64,
}

/// All results of a check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Findings by severity, place and message. Invariant: at most [`FINDINGS_MAX`].
    pub findings: Vec<Finding>,
    /// Number of errors, listed or not.
    pub error_count: usize,
    /// Number of warnings, listed or not.
    pub warning_count: usize,
    /// Number of findings that are not listed.
    pub omitted_count: usize,
}

impl Report {
    /// Sorts findings, counts them and keeps the first [`FINDINGS_MAX`].
    pub fn new(mut findings: Vec<Finding>) -> Self {
        findings.sort();
        let count = |severity| {
            let is_counted = |finding: &&Finding| finding.severity == severity;
            findings.iter().filter(is_counted).count()
        };
        let (error_count, warning_count) = (count(Severity::Error), count(Severity::Warning));
        let omitted_count = findings.len().saturating_sub(FINDINGS_MAX);
        findings.truncate(FINDINGS_MAX);
        Self {
            findings,
            error_count,
            warning_count,
            omitted_count,
        }
    }
}

/// Checks a configuration, and compares it with the version in force if there is one.
pub fn check(
    configuration: &Configuration,
    in_force: Option<&Configuration>,
    bounds: HostBounds,
) -> Report {
    let mut checker = Checker::default();
    checker.routes(configuration, bounds);
    checker.services(configuration);
    checker.teams(configuration);
    checker.limits(configuration.limits, bounds);
    if let Some(in_force) = in_force {
        checker.differences(in_force, configuration);
    }
    Report::new(checker.findings)
}

#[derive(Default)]
struct Checker {
    findings: Vec<Finding>,
}

impl Checker {
    fn add(&mut self, severity: Severity, place: Place, message: impl Into<String>) {
        self.findings.push(Finding {
            severity,
            place,
            message: message.into(),
        });
    }

    fn warn(&mut self, place: Place, message: impl Into<String>) {
        self.add(Severity::Warning, place, message);
    }

    fn routes(&mut self, configuration: &Configuration, bounds: HostBounds) {
        let services = configuration.services.iter().map(|(name, _)| name);
        let services: HashSet<_> = services.collect();
        let mut first_routes = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let first = *first_routes
                .entry((&route.host, &route.path_prefix))
                .or_insert(index);
            if first != index {
                let hidden_by = &configuration.routes[first].name;
                let message = format!(
                    "never matches: route `{hidden_by}` before it has the same host and prefix; \
                     remove one of the two or change its prefix"
                );
                self.warn(Place::Route(index, Some(RouteField::PathPrefix)), message);
            }
            self.route(index, route, bounds);
            for (number, backend) in route.backends.iter().enumerate() {
                // A route with one service may have been written without a list of backends.
                let field = (route.backends.len() > 1).then_some(RouteField::Backend(number));
                let name = &backend.service;
                if !services.contains(name) {
                    let message = format!(
                        "service `{name}` is not listed, so its requests can't be served; add the \
                         service or remove it from the route"
                    );
                    self.warn(Place::Route(index, field), message);
                }
                if backend.weight <= 0.0 {
                    let message = format!(
                        "service `{name}` never receives requests, since its weight is not above \
                         0; remove it or set a weight"
                    );
                    let field = Some(RouteField::Backend(number));
                    self.warn(Place::Route(index, field), message);
                }
            }
        }
    }

    fn route(&mut self, index: usize, route: &Route, bounds: HostBounds) {
        let place = |field| Place::Route(index, Some(field));
        if route.host.contains(':') {
            self.warn(
                place(RouteField::Host),
                "never matches: requests are compared without their port; remove the port",
            );
        }
        if !(route.path_prefix.is_empty() || route.path_prefix.starts_with('/')) {
            self.warn(
                place(RouteField::PathPrefix),
                "never matches: paths begin with a slash; add one at the start of the prefix",
            );
        }
        if !route.backends.iter().any(|backend| backend.weight > 0.0) {
            self.warn(
                place(RouteField::Backends),
                "no request can be served, since no service has a weight above 0; add one",
            );
        }
        self.require_positive(place(RouteField::Timeout), route.timeout);
        let objectives = [
            (RouteField::LatencyObjective, Some(route.latency_objective)),
            (RouteField::PauseObjective, route.pause_objective),
        ];
        for (field, objective) in objectives {
            let Some(objective) = objective else {
                continue;
            };
            self.require_positive(place(field), objective);
            if objective > route.timeout {
                let message = format!(
                    "{objective:?} is over the time-out of {:?}, so the objective never counts; \
                     lower it or raise the time-out",
                    route.timeout
                );
                self.warn(place(field), message);
            }
        }
        let repeats = f64::from(route.attempts_max) - 1.0;
        if repeats > bounds.retry_slack_sends {
            let message = format!(
                "one request may be repeated {repeats} times, which is over the {} repeats that \
                 hosts may send whatever the load; lower it to at most {}",
                bounds.retry_slack_sends,
                bounds.retry_slack_sends.floor() + 1.0
            );
            self.warn(place(RouteField::AttemptsMax), message);
        }
    }

    fn services(&mut self, configuration: &Configuration) {
        let used: HashSet<_> = configuration
            .routes
            .iter()
            .flat_map(|route| &route.backends)
            .filter(|backend| backend.weight > 0.0)
            .map(|backend| &backend.service)
            .collect();
        let last_entries: HashMap<_, _> = configuration
            .services
            .iter()
            .enumerate()
            .map(|(index, (name, _))| (name, index))
            .collect();
        for (index, (name, service)) in configuration.services.iter().enumerate() {
            let place = Place::Service(index, None);
            if last_entries[name] != index {
                let message = format!(
                    "has no effect: service `{name}` is listed again, and the last entry counts; \
                     remove one of the two"
                );
                self.warn(place, message);
            } else if !used.contains(name) {
                let message =
                    format!("no route uses service `{name}`; remove it or add it to a route");
                self.warn(place, message);
            }
            if service.connection_limit == 0 {
                self.warn(
                    Place::Service(index, Some(ServiceField::ConnectionLimit)),
                    "no attempt can reach a target that accepts 0 connections; set at least 1, or \
                     omit the limit",
                );
            }
        }
    }

    fn teams(&mut self, configuration: &Configuration) {
        let teams = configuration.teams.as_deref().unwrap_or_default();
        let mut last_holders = HashMap::new();
        for (index, entry) in teams.iter().enumerate() {
            for key in &entry.keys {
                last_holders.insert(key, index);
            }
        }
        for (index, entry) in teams.iter().enumerate() {
            if entry.keys.is_empty() {
                let name = &entry.team.name;
                let message = format!(
                    "team `{name}` has no key, so no request can be its own; add a key or remove \
                     the team"
                );
                self.warn(Place::Team(index, Some(TeamField::Keys)), message);
            }
            for (number, key) in entry.keys.iter().enumerate() {
                let holder = last_holders[key];
                if holder != index {
                    let message = format!(
                        "never matches: team `{}` has the same key and comes later; replace the \
                         key of one of the two",
                        teams[holder].team.name
                    );
                    self.warn(Place::Team(index, Some(TeamField::Key(number))), message);
                }
            }
        }
    }

    fn limits(&mut self, limits: CallerLimits, bounds: HostBounds) {
        if limits.body_limit_bytes > bounds.body_memory_bytes {
            let message = format!(
                "a body of {} bytes is accepted, but the smallest host has {} bytes for bodies and \
                 refuses it; lower the limit",
                limits.body_limit_bytes, bounds.body_memory_bytes
            );
            self.warn(Place::Limit(LimitField::BodyBytes), message);
        }
        let header_timeout = Place::Limit(LimitField::HeaderTimeout);
        self.require_positive(header_timeout, limits.header_timeout);
        self.require_positive(Place::Limit(LimitField::IdleTimeout), limits.idle_timeout);
        if limits.header_timeout > limits.idle_timeout {
            let message = format!(
                "a head may take {:?}, longer than the {:?} that a connection may be idle; lower \
                 it or raise the idle time",
                limits.header_timeout, limits.idle_timeout
            );
            self.warn(header_timeout, message);
        }
    }

    fn require_positive(&mut self, place: Place, value: Duration) {
        if value.is_zero() {
            self.warn(
                place,
                "hosts read this time as 0; set one above 0 that a duration can hold",
            );
        }
    }
}
