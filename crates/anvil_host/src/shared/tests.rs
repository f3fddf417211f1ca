use googletest::prelude::*;

use super::*;

fn team(keys: &[&str]) -> Arc<Team> {
    Arc::new(Team {
        key_sha256: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        priority: 0,
        weight: 1,
        limit_requests_per_s: 1,
        limit_tokens_per_s: 1,
        limit_open_requests: 1,
    })
}

fn document(teams: &[(&str, &[&str])]) -> Arc<Document> {
    let mut document = Document::default();
    for (id, keys) in teams {
        document.teams.insert((*id).into(), team(keys));
    }
    Arc::new(document)
}

fn owner(view: &ConfigView, key: &str) -> Option<TeamId> {
    view.team_of_key(key).map(|(id, _)| id)
}

#[gtest]
fn next_moves_key_between_teams() {
    for (from, to) in [("a", "b"), ("b", "a")] {
        let first = ConfigView::new(1, document(&[(from, &["k"]), (to, &["l"])]));
        let second = first.next(2, document(&[(from, &[]), (to, &["k"])]));

        expect_that!(owner(&first, "k"), some(eq(from)));
        expect_that!(owner(&second, "k"), some(eq(to)));
        expect_that!(owner(&second, "l"), none());
    }
}

#[gtest]
fn next_drops_keys_of_removed_team() {
    let first = ConfigView::new(1, document(&[("a", &["k"]), ("b", &["l"])]));

    let second = first.next(2, document(&[("b", &["l"])]));

    expect_that!(owner(&second, "k"), none());
    expect_that!(owner(&second, "l"), some(eq("b")));
}
