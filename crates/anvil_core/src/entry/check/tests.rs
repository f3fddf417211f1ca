use googletest::prelude::*;

use super::*;
use crate::{
    entry::{
        Backend,
        RequestSemantics,
        Team,
        TeamKeys, //
    },
    key_digest::KeyDigest,
};

const BOUNDS: HostBounds = HostBounds {
    body_memory_bytes: 16 << 20,
    retry_slack_sends: 20.0,
};

fn backend(service: &str, weight: f64) -> Backend {
    Backend {
        service: service.into(),
        weight,
    }
}

fn route(name: &str, path_prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        path_prefix: path_prefix.into(),
        semantics: RequestSemantics::Safe,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        pause_objective: None,
        priority: 0,
        backends: vec![backend("one", 1.0)],
        attempts_max: 2,
        public: false,
    }
}

fn service(name: &str) -> (crate::id::ServiceId, Service) {
    let service = Service {
        health_path: "/health".into(),
        connection_limit: 9,
        engine: None,
    };
    (name.into(), service)
}

fn team(name: &str, keys: &[&str]) -> TeamKeys {
    TeamKeys {
        team: Team {
            name: name.into(),
            priority: None,
        },
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
    }
}

/// Returns a configuration without findings.
fn clean() -> Configuration {
    Configuration {
        version: 7,
        routes: vec![route("r", "/r/"), route("s", "/s/")],
        services: vec![service("one")],
        teams: Some(vec![team("t", &["k1", "k2"]), team("u", &["k3"])]),
        limits: CallerLimits::default(),
    }
}

fn findings(
    change: impl FnOnce(&mut Configuration),
    in_force: Option<&Configuration>,
) -> Vec<(Severity, Place, String)> {
    let mut configuration = clean();
    change(&mut configuration);
    let report = check(&configuration, in_force, BOUNDS);
    let findings = report.findings.into_iter();
    findings
        .map(|finding| (finding.severity, finding.place, finding.message))
        .collect()
}

/// Guards against a fault that is not reported, is reported at another place, or brings findings
/// that are none.
#[gtest]
fn check_reports_each_fault_once_at_its_place() {
    type Change = fn(&mut Configuration);
    let route = |field| Place::Route(1, Some(field));
    let limit = Place::Limit;
    let cases: [(Change, Place, &str); 20] = [
        (
            |c| c.routes[1].path_prefix = "/r/".into(),
            route(RouteField::PathPrefix),
            "route `r` before it",
        ),
        (
            |c| c.routes[1].path_prefix = "s/".into(),
            route(RouteField::PathPrefix),
            "begin with a slash",
        ),
        (
            |c| c.routes[1].host = "a.example:80".into(),
            route(RouteField::Host),
            "without their port",
        ),
        (
            |c| c.routes[1].backends.push(backend("one", 0.0)),
            route(RouteField::Backend(1)),
            "weight",
        ),
        (
            |c| c.routes[1].backends.push(backend("two", 1.0)),
            route(RouteField::Backend(1)),
            "`two` is not listed",
        ),
        (
            |c| c.routes[1].backends[0].service = "two".into(),
            Place::Route(1, None),
            "`two` is not listed",
        ),
        (
            |c| c.routes[1].backends.clear(),
            route(RouteField::Backends),
            "no request can be served",
        ),
        (
            |c| c.services.push(service("two")),
            Place::Service(1, None),
            "no route uses",
        ),
        (
            |c| c.services.push(service("one")),
            Place::Service(0, None),
            "the last entry counts",
        ),
        (
            |c| c.services[0].1.connection_limit = 0,
            Place::Service(0, Some(ServiceField::ConnectionLimit)),
            "0 connections",
        ),
        (
            |c| c.teams = Some(vec![team("t", &["k"]), team("u", &[])]),
            Place::Team(1, Some(TeamField::Keys)),
            "`u` has no key",
        ),
        (
            |c| c.teams = Some(vec![team("t", &["j", "k"]), team("u", &["k"])]),
            Place::Team(0, Some(TeamField::Key(1))),
            "team `u` has the same key",
        ),
        (
            |c| c.routes[1].latency_objective = Duration::from_millis(1001),
            route(RouteField::LatencyObjective),
            "over the time-out of 1s",
        ),
        (
            |c| c.routes[1].pause_objective = Some(Duration::from_millis(1001)),
            route(RouteField::PauseObjective),
            "over the time-out of 1s",
        ),
        (
            |c| c.routes[1].latency_objective = Duration::ZERO,
            route(RouteField::LatencyObjective),
            "as 0",
        ),
        (
            |c| c.routes[1].pause_objective = Some(Duration::ZERO),
            route(RouteField::PauseObjective),
            "as 0",
        ),
        (
            |c| c.routes[1].attempts_max = 22,
            route(RouteField::AttemptsMax),
            "at most 21",
        ),
        (
            |c| c.limits.body_limit_bytes = (16 << 20) + 1,
            limit(LimitField::BodyBytes),
            "smallest host has 16777216 bytes",
        ),
        (
            |c| c.limits.header_timeout = Duration::from_secs(16),
            limit(LimitField::HeaderTimeout),
            "longer than the 15s",
        ),
        (
            |c| c.limits.header_timeout = Duration::ZERO,
            limit(LimitField::HeaderTimeout),
            "as 0",
        ),
    ];
    expect_that!(findings(|_| (), None), len(eq(0)));
    for (index, (change, place, message)) in cases.into_iter().enumerate() {
        expect_that!(
            findings(change, None),
            elements_are![(
                eq(&Severity::Warning),
                eq(&place),
                contains_substring(message)
            )],
            "case {index}"
        );
    }
}

/// Guards against limits that are reported although they are just within their bound.
#[gtest]
fn check_accepts_limits_at_their_bound() {
    let at_bound = |configuration: &mut Configuration| {
        let route = &mut configuration.routes[0];
        route.latency_objective = route.timeout;
        route.pause_objective = Some(route.timeout);
        route.attempts_max = 21;
        configuration.limits.body_limit_bytes = 16 << 20;
        configuration.limits.header_timeout = configuration.limits.idle_timeout;
    };
    expect_that!(findings(at_bound, None), len(eq(0)));
}

/// Guards against changes that are missed, and against keys in the output.
#[gtest]
fn check_lists_differences_from_version_in_force() {
    let change = |configuration: &mut Configuration| {
        configuration.version = 8;
        configuration.routes[1].timeout = Duration::from_secs(2);
        configuration.routes[0] = route("new", "/new/");
        configuration.services[0].1.connection_limit = 5;
        configuration.teams = Some(vec![team("u", &["k3"]), team("t", &["k1", "k4", "k5"])]);
        configuration.limits.body_limit_bytes = 1000;
    };
    let differences: Vec<_> = findings(change, Some(&clean()))
        .into_iter()
        .map(|(severity, place, message)| {
            expect_that!(severity, eq(Severity::Difference), "{message}");
            (place, message)
        })
        .collect();
    let expected = [
        (Place::Version, "changed from 7 to 8"),
        (Place::Route(0, None), "route `new` is added"),
        (
            Place::Route(0, None),
            "route `r` is removed; the place is that in the version in force",
        ),
        (
            Place::Route(1, Some(RouteField::Timeout)),
            "changed from 1s to 2s",
        ),
        (
            Place::Service(0, Some(ServiceField::ConnectionLimit)),
            "changed from 9 to 5",
        ),
        (
            Place::Team(1, Some(TeamField::Keys)),
            "keys added: 2, removed: 1",
        ),
        (
            Place::Limit(LimitField::BodyBytes),
            "changed from 4194304 to 1000",
        ),
    ];
    let expected = expected.map(|(place, message)| (place, message.to_owned()));
    expect_that!(differences, eq(&expected.to_vec()));
}

/// Guards against a file that hosts ignore because its number was not raised.
#[gtest]
fn check_warns_of_version_not_above_that_in_force() {
    expect_that!(
        findings(|_| (), Some(&clean())),
        elements_are![(
            eq(&Severity::Warning),
            eq(&Place::Version),
            contains_substring("raise it")
        )]
    );
}

/// Guards against a change of who needs a key that shows no difference.
#[gtest]
fn check_tells_empty_list_of_teams_from_none() {
    let with_teams = |teams| Configuration {
        version: 6,
        teams,
        ..clean()
    };
    let empty_list = with_teams(Some(Vec::new()));
    let places = findings(
        |configuration| configuration.teams = None,
        Some(&empty_list),
    )
    .into_iter()
    .map(|(_, place, _)| place);
    expect_that!(
        places.collect::<Vec<_>>(),
        elements_are![eq(&Place::Version), eq(&Place::Teams)]
    );
}

/// Guards against an output without bound, and one whose order depends on that of a hash map.
#[gtest]
fn report_bounds_findings_in_stable_order() {
    let change = |configuration: &mut Configuration| {
        let names = (0..FINDINGS_MAX + 50).map(|number| service(&format!("unused-{number}")));
        configuration.services.extend(names);
    };
    let first = findings(change, None);
    expect_that!(first.len(), eq(FINDINGS_MAX));
    expect_that!(first[0].1, eq(Place::Service(1, None)));
    expect_that!(first.is_sorted(), eq(true));
    expect_that!(findings(change, None), eq(&first));
    let mut configuration = clean();
    change(&mut configuration);
    let report = check(&configuration, None, BOUNDS);
    expect_that!(report.warning_count, eq(FINDINGS_MAX + 50));
    expect_that!(report.omitted_count, eq(50));
}
