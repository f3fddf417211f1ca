use googletest::prelude::*;

use super::*;
use crate::request_digest::RequestDigest;

/// Hash of a target's id.
const TARGET: u32 = 7;
const STEP: Duration = Duration::from_millis(100);

fn part(name: &str) -> Suspect {
    Suspect::Part(name.into())
}

fn parts(names: &[&str]) -> Vec<Suspect> {
    names.iter().map(|name| part(name)).collect()
}

/// Sends a request and records that its engine ended.
fn end(quarantine: &mut Quarantine, names: &[&str], progress: Progress, now: Instant) {
    let parts = parts(names);
    if let Ok(admission) = quarantine.admit(&parts, now, |_, _| true) {
        quarantine.record_end(&parts, &admission, TARGET, progress, now);
    }
}

fn is_refused(quarantine: &mut Quarantine, name: &str, now: Instant) -> bool {
    quarantine
        .admit(&parts(&[name]), now, |_, _| false)
        .is_err()
}

/// Returns a state in which `name` has just been quarantined.
fn quarantined(name: &str, now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for _ in 0..3 {
        end(&mut quarantine, &[name], Progress::Begun, now);
    }
    assert!(is_refused(&mut quarantine, name, now));
    quarantine
}

#[gtest]
fn record_end_quarantines_after_ends_in_sequence() {
    for (progress, ends_needed) in [(Progress::Begun, 3), (Progress::Unanswered, 6)] {
        let mut quarantine = Quarantine::default();
        let now = Instant::now();
        for _ in 1..ends_needed {
            end(&mut quarantine, &["lethal"], progress, now);
            expect_that!(is_refused(&mut quarantine, "lethal", now), eq(false));
        }
        end(&mut quarantine, &["lethal"], progress, now);
        expect_that!(is_refused(&mut quarantine, "lethal", now), eq(true));
    }
}

#[gtest]
fn is_under_suspicion_after_one_end_of_request_or_two_of_part() {
    let mut quarantine = Quarantine::default();
    let now = Instant::now();
    let request = Suspect::Request(RequestDigest::of("GET", "host", "/", None, b""));
    let suspects = [part("lethal"), request.clone()];
    for (target_hash, part_is_suspect) in [(1, false), (2, true)] {
        let admission = quarantine.admit(&suspects, now, |_, _| false).unwrap();
        quarantine.record_end(&suspects, &admission, target_hash, Progress::Begun, now);
        expect_that!(
            quarantine.is_under_suspicion(std::slice::from_ref(&request)),
            eq(true)
        );
        expect_that!(
            quarantine.is_under_suspicion(&parts(&["lethal"])),
            eq(part_is_suspect)
        );
        expect_that!(quarantine.has_ended(target_hash), eq(true));
    }
    quarantine.record_answer(&suspects, now);
    expect_that!(quarantine.is_under_suspicion(&suspects), eq(false));
    expect_that!(quarantine.has_ended(1), eq(false));
}

/// Guards against evidence that a relay keeps from the hosts that report to it.
#[gtest]
fn relay_shares_evidence_of_another_host() {
    let now = Instant::now();
    let mut sender = Quarantine::default();
    end(&mut sender, &["lethal"], Progress::Begun, now);
    let states = sender.shared(8, now);
    let mut relay = Quarantine::default();
    let merged = relay.merge(&states[0], now);
    expect_that!(merged.adds_evidence, eq(true));
    expect_that!(relay.shared(8, now), is_empty());
    relay.relay(&states[0].suspect, now);
    expect_that!(relay.shared(8, now), len(eq(1)));
    expect_that!(relay.merge(&states[0], now).adds_evidence, eq(false));
}

/// Guards against blaming the requests of engines that fail together for another reason.
#[gtest]
fn record_end_counts_engines_that_end_together_once() {
    let mut quarantine = Quarantine::default();
    let now = Instant::now();
    let parts = parts(&["popular"]);
    let admissions: Vec<_> = (0..20)
        .map(|_| quarantine.admit(&parts, now, |_, _| false).unwrap())
        .collect();
    for admission in &admissions {
        quarantine.record_end(&parts, admission, TARGET, Progress::Begun, now);
    }
    expect_that!(is_refused(&mut quarantine, "popular", now), eq(false));
}

#[gtest]
fn record_end_blames_no_other_part_of_quarantined_request() {
    let now = Instant::now();
    let mut quarantine = quarantined("lethal", now);
    // Requests that were sent before the quarantine end their engines too.
    let early = Admission::default();
    for _ in 0..10 {
        let parts = parts(&["sound", "lethal"]);
        quarantine.record_end(&parts, &early, TARGET, Progress::Begun, now);
    }
    expect_that!(is_refused(&mut quarantine, "sound", now), eq(false));
    expect_that!(quarantine.entries.contains_key(&part("sound")), eq(false));
}

#[gtest]
fn record_answer_refutes_evidence() {
    let mut quarantine = Quarantine::default();
    let now = Instant::now();
    for _ in 0..50 {
        end(&mut quarantine, &["sound"], Progress::Begun, now);
        end(&mut quarantine, &["sound"], Progress::Begun, now);
        quarantine.record_answer(&parts(&["sound"]), now);
    }
    expect_that!(is_refused(&mut quarantine, "sound", now), eq(false));
}

#[gtest]
fn record_end_of_request_from_before_refutation_counts_as_first() {
    let mut quarantine = Quarantine::default();
    let now = Instant::now();
    end(&mut quarantine, &["sound"], Progress::Begun, now);
    end(&mut quarantine, &["sound"], Progress::Begun, now);
    let parts = parts(&["sound"]);
    let admission = quarantine.admit(&parts, now, |_, _| false).unwrap();
    quarantine.record_answer(&parts, now);
    quarantine.record_end(&parts, &admission, TARGET, Progress::Begun, now);
    expect_that!(quarantine.entries[&part("sound")].points, eq(2));
}

#[gtest]
fn merge_is_independent_of_order_and_repetition() {
    let now = Instant::now();
    let state = |round, points, failed_trials| SuspectState {
        suspect: part("part"),
        round,
        points,
        was_answered: false,
        failed_trials,
        ended_targets: Vec::new(),
        age: STEP,
    };
    let states = [
        state(0, 2, 0),
        state(0, 6, 0),
        state(1, 0, 0),
        state(1, 4, 0),
        state(1, 6, 1),
    ];
    let mut orders: Vec<Vec<usize>> = vec![Vec::new()];
    for index in 0..states.len() {
        orders = orders
            .into_iter()
            .flat_map(|order| {
                (0..=order.len()).map(move |position| {
                    let mut order = order.clone();
                    order.insert(position, index);
                    order
                })
            })
            .collect();
    }
    for order in orders {
        let mut quarantine = Quarantine::default();
        for index in order.iter().chain(&order) {
            quarantine.merge(&states[*index], now);
        }
        expect_that!(quarantine.shared(9, now), eq(&vec![state(1, 6, 1)]));
    }
}

#[gtest]
fn merge_of_two_hosts_counts_ends_in_sequence() {
    let now = Instant::now();
    let mut hosts = [Quarantine::default(), Quarantine::default()];
    for index in [0, 1, 0] {
        end(&mut hosts[index], &["lethal"], Progress::Begun, now);
        let states = hosts[index].shared(9, now);
        for state in &states {
            hosts[1 - index].merge(state, now);
        }
    }
    for host in &mut hosts {
        expect_that!(is_refused(host, "lethal", now), eq(true));
    }
}

#[gtest]
fn admit_after_quarantine_tries_one_request_on_one_host() {
    let start = Instant::now();
    let mut quarantine = quarantined("lethal", start);
    let lethal = parts(&["lethal"]);
    let retry_after = |quarantine: &mut Quarantine, now| {
        let refusal = quarantine.admit(&lethal, now, |_, _| true).unwrap_err();
        refusal.retry_after
    };
    expect_that!(
        retry_after(&mut quarantine, start + STEP),
        eq(QUARANTINE_TIME_FIRST - STEP)
    );
    let over = start + QUARANTINE_TIME_FIRST;
    expect_that!(
        quarantine.admit(&lethal, over, |_, _| false),
        err(anything())
    );
    let trial = quarantine.admit(&lethal, over, |_, _| true).unwrap();
    expect_that!(quarantine.quarantined_since(&trial, &lethal), none());
    expect_that!(retry_after(&mut quarantine, over), eq(TRIAL_TIMEOUT));
    quarantine.record_end(&lethal, &trial, TARGET, Progress::Begun, over);
    expect_that!(retry_after(&mut quarantine, over), eq(QUARANTINE_TIME_MIN));
    let over = over + QUARANTINE_TIME_MIN;
    let trial = quarantine.admit(&lethal, over, |_, _| true).unwrap();
    quarantine.record_end(&lethal, &trial, TARGET, Progress::Unanswered, over);
    expect_that!(
        retry_after(&mut quarantine, over),
        eq(2 * QUARANTINE_TIME_MIN)
    );
}

#[gtest]
fn quarantine_request_needs_evidence_and_is_bounded() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let request =
        |body: &str| Suspect::Request(RequestDigest::of("POST", "", "/", None, body.as_bytes()));
    expect_that!(quarantine.quarantine_request(&request("a"), 2, now), none());
    for (body, is_quarantined) in [("a", true), ("b", true), ("c", false)] {
        let suspects = [request(body)];
        let admission = Admission::default();
        quarantine.record_end(&suspects, &admission, TARGET, Progress::Begun, now);
        let state = quarantine.quarantine_request(&suspects[0], 2, now);
        expect_that!(state.is_some(), eq(is_quarantined), "{body}");
        let admitted = quarantine.admit(&suspects, now, |_, _| true);
        expect_that!(admitted.is_err(), eq(is_quarantined), "{body}");
    }
    expect_that!(quarantine.quarantine_request(&request("a"), 9, now), none());
    end(&mut quarantine, &["part"], Progress::Begun, now);
    let part = &parts(&["part"])[0];
    expect_that!(quarantine.quarantine_request(part, 9, now), none());
}

/// Guards against trials without a result that follow one another at once.
#[gtest]
fn record_inconclusive_trial_delays_next_one() {
    let start = Instant::now();
    let mut quarantine = quarantined("lethal", start);
    let lethal = parts(&["lethal"]);
    let mut over = start + QUARANTINE_TIME_FIRST;
    for delay in [QUARANTINE_TIME_MIN, 2 * QUARANTINE_TIME_MIN] {
        let trial = quarantine.admit(&lethal, over, |_, _| true).unwrap();
        quarantine.record_inconclusive_trial(&trial, over);
        // What is released afterwards doesn't bring the trial forward.
        quarantine.release_trial(&trial);
        let refusal = quarantine.admit(&lethal, over, |_, _| true).unwrap_err();
        expect_that!(refusal.retry_after, eq(delay));
        over += delay;
    }
}

#[gtest]
fn admit_tries_no_two_parts_with_one_request() {
    let start = Instant::now();
    let mut quarantine = quarantined("lethal", start);
    for _ in 0..3 {
        end(&mut quarantine, &["sound"], Progress::Begun, start);
    }
    let over = start + QUARANTINE_TIME_FIRST;
    let both = parts(&["sound", "lethal"]);
    expect_that!(quarantine.admit(&both, over, |_, _| true), err(anything()));
    let trial = quarantine.admit(&both[..1], over, |_, _| true);
    expect_that!(trial, ok(anything()));
}

/// Guards against the trial of a sound part with a request that has the lethal one.
#[gtest]
fn admit_tries_no_part_with_request_that_has_evidence_against_another() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, &["sound"], Progress::Begun, start);
    for _ in 0..2 {
        end(
            &mut quarantine,
            &["sound", "lethal"],
            Progress::Begun,
            start,
        );
    }
    let over = start + QUARANTINE_TIME_FIRST;
    let both = parts(&["sound", "lethal"]);
    expect_that!(quarantine.admit(&both, over, |_, _| true), err(anything()));
    let trial = quarantine.admit(&both[..1], over, |_, _| true);
    expect_that!(trial, ok(anything()));
}

fn request(body: &str) -> Suspect {
    Suspect::Request(RequestDigest::of(
        "POST",
        "host",
        "/",
        None,
        body.as_bytes(),
    ))
}

/// Guards against equal requests that end several targets before any host knows of the first end.
#[gtest]
fn record_end_counts_each_target_that_ends_under_equal_requests() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let suspects = [part("sound"), request("lethal")];
    let early = Admission::default();
    for target in [1, 1, 2, 3] {
        expect_that!(quarantine.quarantined_count(), eq(0));
        quarantine.record_end(&suspects, &early, target, Progress::Unanswered, now);
    }
    let refusal = quarantine.admit(&suspects, now, |_, _| true).unwrap_err();
    expect_that!(refusal.suspect, eq(&suspects[1]));
    let other = [part("sound"), request("other")];
    expect_that!(quarantine.admit(&other, now, |_, _| true), ok(anything()));
}

/// Guards against evidence that a request gets for what a quarantined part did.
#[gtest]
fn record_end_blames_no_request_with_quarantined_part() {
    let now = Instant::now();
    let mut quarantine = quarantined("lethal", now);
    let suspects = [part("lethal"), request("sound")];
    quarantine.record_end(
        &suspects[1..],
        &Admission::default(),
        1,
        Progress::Begun,
        now,
    );
    for target in 2..9 {
        quarantine.record_end(
            &suspects,
            &Admission::default(),
            target,
            Progress::Begun,
            now,
        );
    }
    let entry = &quarantine.entries[&suspects[1]];
    expect_that!(entry.points, eq(2));
    expect_that!(entry.ended_targets, eq(&vec![1]));
}

#[gtest]
fn merge_unites_targets_that_ended_under_equal_requests_in_any_order() {
    let now = Instant::now();
    let suspects = [request("lethal")];
    let early = Admission::default();
    let hosts: Vec<Quarantine> = [1, 2, 3]
        .into_iter()
        .map(|target| {
            let mut host = Quarantine::default();
            host.record_end(&suspects, &early, target, Progress::Begun, now);
            host
        })
        .collect();
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0]] {
        let mut quarantine = Quarantine::default();
        for index in order {
            let state = &hosts[index].shared(1, now)[0];
            quarantine.merge(state, now);
            quarantine.merge(state, now);
        }
        expect_that!(quarantine.quarantined_count(), eq(1));
    }
}

/// Guards against a trial that no target takes and that keeps others from being tried.
#[gtest]
fn release_trial_admits_next_request_as_trial() {
    let start = Instant::now();
    let mut quarantine = quarantined("part", start);
    let over = start + QUARANTINE_TIME_FIRST;
    let suspects = parts(&["part"]);
    let trial = quarantine.admit(&suspects, over, |_, _| true).unwrap();
    expect_that!(
        quarantine.admit(&suspects, over, |_, _| true),
        err(anything())
    );
    quarantine.release_trial(&trial);
    expect_that!(
        quarantine.admit(&suspects, over, |_, _| true),
        ok(anything())
    );
}

/// Guards against a host that goes on refusing for evidence which others have seen refuted.
#[gtest]
fn merge_of_refuted_quarantine_is_answered_with_refutation() {
    let now = Instant::now();
    let mut outdated = quarantined("sound", now);
    let mut quarantine = quarantined("sound", now);
    quarantine.record_answer(&parts(&["sound"]), now);
    let later = now + 2 * SHARING_TIME;
    expect_that!(quarantine.shared(1, later), is_empty());
    let merged = quarantine.merge(&outdated.shared(1, later)[0], later);
    expect_that!(merged.is_outdated, eq(true));
    outdated.merge(&quarantine.shared(1, later)[0], later);
    expect_that!(outdated.quarantined_count(), eq(0));
}

#[gtest]
fn from_str_reverses_display_of_suspect() {
    for suspect in [part("5c1e07a2"), request("body")] {
        expect_that!(suspect.to_string().parse::<Suspect>(), ok(eq(&suspect)));
    }
    expect_that!("request:5c1e".parse::<Suspect>(), err(anything()));
}

#[gtest]
fn admit_after_trial_was_answered_refuses_nothing() {
    let start = Instant::now();
    let mut quarantine = quarantined("part", start);
    let over = start + QUARANTINE_TIME_FIRST;
    quarantine
        .admit(&parts(&["part"]), over, |_, _| true)
        .unwrap();
    quarantine.record_answer(&parts(&["part"]), over);
    expect_that!(is_refused(&mut quarantine, "part", over), eq(false));
}

#[gtest]
fn quarantined_since_names_part_that_was_quarantined_after_admission() {
    let now = Instant::now();
    let mut quarantine = quarantined("lethal", now);
    let early = Admission::default();
    let lethal = parts(&["lethal"]);
    expect_that!(
        quarantine.quarantined_since(&early, &lethal),
        some(eq(&lethal[0]))
    );
    quarantine.record_answer(&lethal, now);
    expect_that!(quarantine.quarantined_since(&early, &lethal), none());
}

#[gtest]
fn expire_lowers_evidence_of_part_that_was_not_tried() {
    let start = Instant::now();
    let mut quarantine = quarantined("part", start);
    let later = start + RETENTION_TIME + STEP;
    expect_that!(quarantine.expire(later).len(), eq(1));
    expect_that!(is_refused(&mut quarantine, "part", later), eq(false));
    end(&mut quarantine, &["part"], Progress::Begun, later);
    expect_that!(is_refused(&mut quarantine, "part", later), eq(true));
}

#[gtest]
fn expire_forgets_evidence_and_merge_does_not_revive_it() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, &["part"], Progress::Begun, start);
    let later = start + RETENTION_TIME + STEP;
    let suspect = part("part");
    let old = quarantine.entries[&suspect].state(&suspect, later);
    quarantine.expire(later);
    expect_that!(quarantine.entries.len(), eq(0));
    quarantine.merge(&old, later);
    expect_that!(quarantine.entries.len(), eq(0));
}

#[gtest]
fn record_end_keeps_quarantined_parts_within_bounded_memory() {
    let now = Instant::now();
    let mut quarantine = quarantined("lethal", now);
    for index in 0..3 * SUSPECTS_MAX {
        let name = format!("part-{index}");
        end(&mut quarantine, &[&name], Progress::Begun, now);
    }
    expect_that!(quarantine.entries.len(), eq(SUSPECTS_MAX));
    expect_that!(is_refused(&mut quarantine, "lethal", now), eq(true));
}

/// Guards against the refusal of popular parts that were on engines which another part ended.
#[gtest]
fn record_end_needs_more_evidence_against_answered_part() {
    let mut quarantine = Quarantine::default();
    let now = Instant::now();
    quarantine.record_answer(&parts(&["sound"]), now);
    for _ in 1..6 {
        end(&mut quarantine, &["sound"], Progress::Begun, now);
        expect_that!(is_refused(&mut quarantine, "sound", now), eq(false));
    }
    end(&mut quarantine, &["sound"], Progress::Begun, now);
    expect_that!(is_refused(&mut quarantine, "sound", now), eq(true));
}

#[gtest]
fn merge_of_known_answer_ends_quarantine_for_lack_of_evidence() {
    let now = Instant::now();
    let mut quarantine = quarantined("sound", now);
    let mut peer = Quarantine::default();
    peer.record_answer(&parts(&["sound"]), now);
    let merged = peer.merge(&quarantine.shared(1, now)[0], now);
    expect_that!(merged.adds_answer, eq(true));
    quarantine.merge(&peer.shared(1, now)[0], now);
    expect_that!(is_refused(&mut quarantine, "sound", now), eq(false));
}

#[gtest]
fn record_answer_remembers_parts_within_bounded_memory() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for index in 0..5 * ANSWERED_GENERATION_PARTS {
        quarantine.record_answer(&parts(&[&format!("part-{index}")]), now);
    }
    let answered = &quarantine.answered;
    expect_that!(
        answered.current.len() + answered.previous.len(),
        le(2 * ANSWERED_GENERATION_PARTS)
    );
    let later = now + 2 * ANSWERED_GENERATION_TIME + STEP;
    quarantine.record_answer(&parts(&["later"]), later);
    expect_that!(quarantine.answered.contains(&part("later")), eq(true));
}
