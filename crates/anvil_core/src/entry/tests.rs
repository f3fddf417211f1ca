use std::time::Duration;

use googletest::prelude::*;

use super::*;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        path_prefix: prefix.into(),
        semantics: RequestSemantics::Safe,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        pause_objective: None,
        priority: 0,
        backends: vec![
            Backend {
                service: "one".into(),
                weight: 90.0,
            },
            Backend {
                service: "two".into(),
                weight: 10.0,
            },
        ],
        attempts_max: 2,
        public: false,
    }
}

fn table() -> Table {
    let team = Team {
        name: "team".into(),
        priority: None,
    };
    Table::new(
        7,
        [route("short", "/a/"), route("long", "/a/b/")],
        [],
        Some(vec![(KeyDigest::of("secret"), team)]),
        CallerLimits::default(),
    )
}

#[gtest]
fn route_takes_longest_prefix() {
    let table = table();
    let route_name = |path| {
        table
            .route("a.example", path)
            .map(|route| route.name.as_str())
    };
    expect_that!(route_name("/a/b/c"), some(eq("long")));
    expect_that!(route_name("/a/bc"), some(eq("short")));
    expect_that!(route_name("/b/"), none());
    expect_that!(table.route("b.example", "/a/").is_none(), eq(true));
}

#[gtest]
fn route_ignores_port_of_host() {
    expect_that!(table().route("a.example:80", "/a/").is_some(), eq(true));
}

#[gtest]
fn team_needs_exact_key() {
    let table = table();
    expect_that!(table.team("secret").is_some(), eq(true));
    expect_that!(table.team("secre").is_none(), eq(true));
    expect_that!(table.needs_key(&route("any", "/")), eq(true));
}

#[gtest]
fn choose_backend_follows_weights() {
    let route = route("any", "/");
    expect_that!(choose_backend(&route, 0.0).unwrap().as_str(), eq("one"));
    expect_that!(choose_backend(&route, 0.89).unwrap().as_str(), eq("one"));
    expect_that!(choose_backend(&route, 0.91).unwrap().as_str(), eq("two"));
}

#[gtest]
fn choose_backend_skips_zero_weight() {
    let mut route = route("any", "/");
    route.backends[0].weight = 0.0;
    expect_that!(choose_backend(&route, 0.0).unwrap().as_str(), eq("two"));
}

/// Returns the ranks that compete for the service `one`, where routes and teams have certain ranks.
fn competing(
    route_ranks: &[(Rank, bool)],
    team_ranks: Option<&[Option<Rank>]>,
    has_engines: bool,
) -> Vec<Rank> {
    let routes = route_ranks.iter().map(|(priority, public)| Route {
        priority: *priority,
        public: *public,
        ..route("any", "/a/")
    });
    let team = |(index, priority): (usize, &Option<Rank>)| {
        let name = format!("team-{index}");
        let team = Team {
            name: name.as_str().into(),
            priority: *priority,
        };
        (KeyDigest::of(&name), team)
    };
    let service = Service {
        health_path: "/".into(),
        connection_limit: 1,
        engine: has_engines.then(crate::engine_model::tests::engine),
    };
    let teams = team_ranks.map(|ranks| ranks.iter().enumerate().map(team).collect());
    let limits = CallerLimits::default();
    let table = Table::new(1, routes, [("one".into(), service)], teams, limits);
    table.competing_ranks("one").to_vec()
}

#[gtest]
fn competing_ranks_needs_engines_and_two_ranks() {
    let two = [(3, false), (0, false), (3, false)];
    expect_that!(competing(&two, None, true), eq(&[0, 3]));
    expect_that!(competing(&two, None, false), is_empty());
    expect_that!(competing(&[(3, false), (3, false)], None, true), is_empty());
}

#[gtest]
fn competing_ranks_takes_rank_of_team_where_keys_are_needed() {
    let teams = [None, Some(1)];
    expect_that!(competing(&[(2, false)], Some(&teams), true), eq(&[1, 2]));
    expect_that!(competing(&[(2, true)], Some(&teams), true), is_empty());
}
