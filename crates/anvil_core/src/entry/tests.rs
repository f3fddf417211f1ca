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

/// Returns the ranks that compete for the service `one`, where one team has a key.
fn competing(route_ranks: &[u32], team_rank: Option<u32>, public: bool) -> Vec<Rank> {
    let routes = route_ranks.iter().map(|priority| Route {
        priority: *priority,
        public,
        ..route("any", "/a/")
    });
    let team = |key: &str, priority| {
        let name = key.into();
        (KeyDigest::of(key), Team { name, priority })
    };
    let service = Service {
        health_path: "/".into(),
        connection_limit: 1,
        engine: Some(crate::engine_model::tests::engine()),
    };
    let teams = Some(vec![team("a", None), team("b", team_rank)]);
    let limits = CallerLimits::default();
    let table = Table::new(1, routes, [("one".into(), service)], teams, limits);
    expect_that!(table.competing_ranks("two"), is_empty());
    table.competing_ranks("one").to_vec()
}

#[gtest]
fn competing_ranks_needs_routes_of_two_priorities() {
    expect_that!(competing(&[3, 0, 3], None, false), eq(&[0, 3003]));
    expect_that!(competing(&[3, 3], None, false), is_empty());
    expect_that!(competing(&[2], Some(1), false), is_empty());
    expect_that!(competing(&[0, 2], Some(1), true), eq(&[0, 2002]));
}

#[gtest]
fn competing_ranks_puts_team_before_route() {
    // Where all teams have one priority, the routes' must still decide.
    expect_that!(
        competing(&[0, 2], Some(1), false),
        eq(&[0, 1000, 1002, 2002])
    );
    expect_that!(rank(Some(1), 2), lt(rank(None, 2)));
    expect_that!(rank(Some(5000), 1), eq(rank(Some(999), 1)));
}
