use googletest::prelude::*;
use smol_str::SmolStr;

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

const ZERO_WEIGHT: Backend = Backend {
    service: SmolStr::new_static("one"),
    weight: 0.0,
};
const UNLISTED: Backend = Backend {
    service: SmolStr::new_static("two"),
    weight: 1.0,
};

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
        backends: vec![Backend {
            weight: 1.0,
            ..ZERO_WEIGHT
        }],
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

/// Expects a change of the clean configuration to bring exactly one warning.
fn expect_warning(change: impl FnOnce(&mut Configuration), place: Place, message: &str) {
    expect_that!(
        findings(change, None),
        elements_are![(
            eq(&Severity::Warning),
            eq(&place),
            contains_substring(message)
        )]
    );
}

/// Guards against a fault of a route that is not reported, is reported at another place, or brings
/// findings that are none.
#[gtest]
fn check_reports_each_fault_of_route_once_at_its_place() {
    use RouteField as Field;
    const LONG: Duration = Duration::from_millis(1001);
    const ZERO: Duration = Duration::ZERO;
    type Change = fn(&mut Route);
    let cases: [(Change, Field, &str); 11] = [
        (|r| r.path_prefix = "/r/".into(), Field::PathPrefix, "`r`"),
        (|r| r.path_prefix = "s/".into(), Field::PathPrefix, "slash"),
        (|r| r.host = "a.example:80".into(), Field::Host, "port"),
        (|r| r.backends.push(ZERO_WEIGHT), Field::Backend(1), "0;"),
        (|r| r.backends.push(UNLISTED), Field::Backend(1), "`two`"),
        (|r| r.backends.clear(), Field::Backends, "no request"),
        (
            |r| r.latency_objective = LONG,
            Field::LatencyObjective,
            "1s",
        ),
        (
            |r| r.pause_objective = Some(LONG),
            Field::PauseObjective,
            "1s",
        ),
        (|r| r.latency_objective = ZERO, Field::LatencyObjective, "0"),
        (
            |r| r.pause_objective = Some(ZERO),
            Field::PauseObjective,
            "0",
        ),
        (|r| r.attempts_max = 22, Field::AttemptsMax, "at most 21"),
    ];
    expect_that!(findings(|_| (), None), len(eq(0)));
    for (change, field, message) in cases {
        let place = Place::Route(1, Some(field));
        expect_warning(|c| change(&mut c.routes[1]), place, message);
    }
    expect_warning(
        |c| c.routes[1].backends = vec![UNLISTED],
        Place::Route(1, None),
        "`two`",
    );
}

/// Guards against a fault outside of the routes that is not reported once, at its place.
#[gtest]
fn check_reports_each_fault_of_other_entries_once_at_its_place() {
    let service_place = |field| Place::Service(0, field);
    let connections = service_place(Some(ServiceField::ConnectionLimit));
    let header_timeout = Place::Limit(LimitField::HeaderTimeout);
    let unused = Place::Service(1, None);
    expect_warning(|c| c.services.push(service("two")), unused, "no route");
    let hidden = service_place(None);
    expect_warning(|c| c.services.push(service("one")), hidden, "last entry");
    expect_warning(|c| c.services[0].1.connection_limit = 0, connections, "0");
    expect_warning(
        |c| c.teams = Some(vec![team("t", &["k"]), team("u", &[])]),
        Place::Team(1, Some(TeamField::Keys)),
        "`u` has no key",
    );
    expect_warning(
        |c| c.teams = Some(vec![team("t", &["j", "k"]), team("u", &["k"])]),
        Place::Team(0, Some(TeamField::Key(1))),
        "team `u` has the same key",
    );
    expect_warning(
        |c| c.limits.body_limit_bytes = (16 << 20) + 1,
        Place::Limit(LimitField::BodyBytes),
        "smallest host has 16777216 bytes",
    );
    let long = Duration::from_secs(16);
    expect_warning(|c| c.limits.header_timeout = long, header_timeout, "15s");
    let zero = Duration::ZERO;
    expect_warning(|c| c.limits.header_timeout = zero, header_timeout, "as 0");
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
    let timeout = Place::Route(1, Some(RouteField::Timeout));
    let connections = Place::Service(0, Some(ServiceField::ConnectionLimit));
    let keys = Place::Team(1, Some(TeamField::Keys));
    let body = Place::Limit(LimitField::BodyBytes);
    let removed = "route `r` is removed; the place is that in the version in force";
    let expected = [
        (Place::Version, "changed from 7 to 8"),
        (Place::Route(0, None), "route `new` is added"),
        (Place::Route(0, None), removed),
        (timeout, "changed from 1s to 2s"),
        (connections, "changed from 9 to 5"),
        (keys, "keys added: 2, removed: 1"),
        (body, "changed from 4194304 to 1000"),
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
    let mut configuration = clean();
    let names = (0..FINDINGS_MAX + 50).map(|number| service(&format!("unused-{number}")));
    configuration.services.extend(names);
    let report = check(&configuration, None, BOUNDS);
    expect_that!(report.findings.len(), eq(FINDINGS_MAX));
    expect_that!(report.findings[0].place, eq(Place::Service(1, None)));
    expect_that!(report.findings.is_sorted(), eq(true));
    expect_that!(report.warning_count, eq(FINDINGS_MAX + 50));
    expect_that!(report.omitted_count, eq(50));
    expect_that!(check(&configuration, None, BOUNDS), eq(&report));
}
