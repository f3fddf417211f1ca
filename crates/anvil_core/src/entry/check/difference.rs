//! Differences between two versions of a configuration.

use super::{
    Checker,
    Configuration,
    Debug,
    Hash,
    HashMap,
    LimitField,
    Place,
    Route,
    RouteField,
    Service,
    ServiceField,
    Severity,
    TeamField, //
};
use crate::entry::TeamKeys;

impl Checker {
    pub(super) fn differences(&mut self, old: &Configuration, new: &Configuration) {
        if new.version <= old.version {
            let message = format!(
                "version {} is not above version {} in force, so hosts may ignore the file; raise it",
                new.version, old.version
            );
            self.warn(Place::Version, message);
        }
        self.changed(Place::Version, &old.version, &new.version);
        self.entries(
            ("route", |index| Place::Route(index, None)),
            numbered(&old.routes, |route| &route.name),
            numbered(&new.routes, |route| &route.name),
            Self::route_difference,
        );
        self.entries(
            ("service", |index| Place::Service(index, None)),
            numbered(&old.services, |(name, _)| name),
            numbered(&new.services, |(name, _)| name),
            |checker, index, (_, old), (_, new)| checker.service_difference(index, old, new),
        );
        let listed = |teams: &Option<Vec<TeamKeys>>| match teams {
            Some(_) => "listed",
            None => "absent, so no request needs a key",
        };
        if listed(&old.teams) != listed(&new.teams) {
            let message = format!(
                "changed: {} before, {} now",
                listed(&old.teams),
                listed(&new.teams)
            );
            self.add(Severity::Difference, Place::Teams, message);
        }
        self.entries(
            ("team", |index| Place::Team(index, None)),
            numbered(old.teams.as_deref().unwrap_or_default(), |entry| {
                &entry.team.name
            }),
            numbered(new.teams.as_deref().unwrap_or_default(), |entry| {
                &entry.team.name
            }),
            Self::team_difference,
        );
        let limit = Place::Limit;
        let (old, new) = (&old.limits, &new.limits);
        self.changed(
            limit(LimitField::HeaderBytes),
            &old.header_limit_bytes,
            &new.header_limit_bytes,
        );
        self.changed(
            limit(LimitField::BodyBytes),
            &old.body_limit_bytes,
            &new.body_limit_bytes,
        );
        self.changed(
            limit(LimitField::HeaderTimeout),
            &old.header_timeout,
            &new.header_timeout,
        );
        self.changed(
            limit(LimitField::IdleTimeout),
            &old.idle_timeout,
            &new.idle_timeout,
        );
    }

    /// Reports entries that were added or removed, and compares the others with `compare`.
    fn entries<'a, K: Debug + Eq + Hash + AsRef<str>, T>(
        &mut self,
        (kind, place): (&str, fn(usize) -> Place),
        old: Vec<((&'a K, usize), &'a T)>,
        new: Vec<((&'a K, usize), &'a T)>,
        compare: impl Fn(&mut Self, usize, &T, &T),
    ) {
        let old_by_key: HashMap<_, _> = old.iter().copied().collect();
        let new_by_key: HashMap<_, _> = new.iter().copied().collect();
        for (index, (key, entry)) in new.iter().enumerate() {
            match old_by_key.get(key) {
                Some(old) => compare(self, index, old, entry),
                None => {
                    let message = format!("{kind} `{}` is added", key.0.as_ref());
                    self.add(Severity::Difference, place(index), message);
                }
            }
        }
        for (index, (key, _)) in old.iter().enumerate() {
            if !new_by_key.contains_key(key) {
                let message = format!(
                    "{kind} `{}` is removed; the place is that in the version in force",
                    key.0.as_ref()
                );
                self.add(Severity::Difference, place(index), message);
            }
        }
    }

    fn changed<T: Debug + PartialEq>(&mut self, place: Place, old: &T, new: &T) {
        if old != new {
            let message = format!("changed from {old:?} to {new:?}");
            self.add(Severity::Difference, place, message);
        }
    }

    fn route_difference(&mut self, index: usize, old: &Route, new: &Route) {
        use RouteField as Field;
        let place = |field| Place::Route(index, Some(field));
        self.changed(place(Field::Host), &old.host, &new.host);
        self.changed(place(Field::PathPrefix), &old.path_prefix, &new.path_prefix);
        self.changed(place(Field::Semantics), &old.semantics, &new.semantics);
        self.changed(place(Field::Timeout), &old.timeout, &new.timeout);
        self.changed(
            place(Field::LatencyObjective),
            &old.latency_objective,
            &new.latency_objective,
        );
        self.changed(
            place(Field::PauseObjective),
            &old.pause_objective,
            &new.pause_objective,
        );
        self.changed(place(Field::Priority), &old.priority, &new.priority);
        let weights = |route: &Route| -> Vec<_> {
            let backends = route.backends.iter();
            backends
                .map(|backend| (backend.service.clone(), backend.weight))
                .collect()
        };
        self.changed(place(Field::Backends), &weights(old), &weights(new));
        self.changed(
            place(Field::AttemptsMax),
            &old.attempts_max,
            &new.attempts_max,
        );
        self.changed(place(Field::Public), &old.public, &new.public);
    }

    fn service_difference(&mut self, index: usize, old: &Service, new: &Service) {
        let place = |field| Place::Service(index, Some(field));
        self.changed(
            place(ServiceField::HealthPath),
            &old.health_path,
            &new.health_path,
        );
        self.changed(
            place(ServiceField::ConnectionLimit),
            &old.connection_limit,
            &new.connection_limit,
        );
        if old.engine != new.engine {
            self.add(
                Severity::Difference,
                place(ServiceField::Engine),
                "the engine's figures are changed",
            );
        }
    }

    fn team_difference(&mut self, index: usize, old: &TeamKeys, new: &TeamKeys) {
        let place = |field| Place::Team(index, Some(field));
        self.changed(
            place(TeamField::Priority),
            &old.team.priority,
            &new.team.priority,
        );
        let missing = |from: &TeamKeys, other: &TeamKeys| {
            let keys = from.keys.iter();
            keys.filter(|key| !other.keys.contains(key)).count()
        };
        let (added, removed) = (missing(new, old), missing(old, new));
        if added + removed > 0 {
            let message = format!("keys added: {added}, removed: {removed}");
            self.add(Severity::Difference, place(TeamField::Keys), message);
        }
    }
}

/// Returns entries by name and number among those of the same name, since names may repeat.
fn numbered<'a, K: Eq + Hash, T>(
    entries: &'a [T],
    name: impl Fn(&'a T) -> &'a K,
) -> Vec<((&'a K, usize), &'a T)> {
    let mut counts = HashMap::new();
    entries
        .iter()
        .map(|entry| {
            let name = name(entry);
            let count = counts.entry(name).or_insert(0);
            *count += 1;
            ((name, *count), entry)
        })
        .collect()
}
