use std::sync::mpsc;

use googletest::prelude::*;
use rand::{
    SeedableRng,
    rngs::StdRng, //
};

use super::*;
use crate::{
    concurrency,
    outcome::{
        Outcome,
        Reason, //
    }, //
};

fn gate<W>(limit: u32, settings: Settings, now: Instant) -> Gate<W> {
    let limiter = Limiter::new(
        concurrency::Settings {
            limit_initial: limit,
            limit_min: limit,
            limit_max: limit,
            ..Default::default()
        },
        now,
    );
    Gate::new(settings, Arc::new(limiter), now)
}

fn request(team: &str, now: Instant, time_left: Duration, service_time: Duration) -> Request {
    Request {
        team: team.into(),
        weight: 1,
        priority: 0,
        cost_tokens: 100,
        deadline: now + time_left,
        service_time,
    }
}

const SECOND: Duration = Duration::from_secs(1);

#[gtest]
fn enter_free_slot_admits_without_queue() {
    let now = Instant::now();
    let gate = gate(2, Settings::default(), now);
    let (entry, _) = gate.enter(request("a", now, SECOND, Duration::ZERO), 1, now);
    expect_that!(entry, matches_pattern!(Entry::Admitted(_)));
    expect_that!(gate.waiting(), eq(0));
}

#[gtest]
fn enter_service_longer_than_time_left_refuses_at_once() {
    let now = Instant::now();
    let gate = gate(2, Settings::default(), now);
    let (_running, _) = gate.enter(request("a", now, SECOND, Duration::ZERO), 0, now);
    let (entry, _) = gate.enter(request("a", now, SECOND, SECOND), 1, now);
    let Entry::Refused(refusal) = entry else {
        panic!("a request without enough time left was not refused: {entry:?}");
    };
    let mut rng = StdRng::seed_from_u64(1);
    let answer = refusal.answer(gate.settings(), &mut rng);
    expect_that!(answer.outcome, eq(Outcome::NotRun));
    expect_that!(answer.reason, eq(Reason::Overloaded));
    expect_that!(answer.retry_after, some(ge(SECOND)));
}

#[gtest]
fn enter_nothing_running_admits_to_correct_prediction() {
    let now = Instant::now();
    let gate = gate(2, Settings::default(), now);
    let (entry, _) = gate.enter(request("a", now, SECOND, SECOND), 1, now);
    expect_that!(entry, matches_pattern!(Entry::Admitted(_)));
    drop(entry);
    let (late, _) = gate.enter(request("a", now, SECOND, SECOND), 2, now + SECOND);
    expect_that!(late, matches_pattern!(Entry::Refused(_)));
}

#[gtest]
fn finish_admits_waiting_request() {
    let now = Instant::now();
    let gate = gate(1, Settings::default(), now);
    let (first, _) = gate.enter(request("a", now, SECOND, Duration::ZERO), 1, now);
    let (second, _) = gate.enter(request("b", now, SECOND, Duration::ZERO), 2, now);
    expect_that!(second, matches_pattern!(Entry::Queued(_)));
    drop(first);
    let verdicts = gate.finish(100, now);
    expect_that!(verdicts.len(), eq(1));
    expect_that!(verdicts[0].0, eq(2));
    expect_that!(gate.waiting(), eq(0));
}

#[gtest]
fn enter_predicted_wait_beyond_deadline_refuses() {
    let start = Instant::now();
    let gate = gate(1, Settings::default(), start);
    let (_permit, _) = gate.enter(request("a", start, SECOND, Duration::ZERO), 0, start);
    // The queue drains at 100 tokens per second, so each waiting request of the team takes one
    // second.
    let now = start + SECOND;
    gate.finish(100, now);
    let long = Duration::from_secs(5);
    let queued = (0..20)
        .filter(|number| {
            let (entry, _) = gate.enter(request("a", now, long, Duration::ZERO), *number, now);
            matches!(entry, Entry::Queued(_))
        })
        .count();
    expect_that!(queued, eq(6));
    let (other, _) = gate.enter(request("b", now, long, Duration::ZERO), 99, now);
    expect_that!(other, matches_pattern!(Entry::Queued(_)));
}

#[gtest]
fn enter_full_queue_drops_from_longest_backlog() {
    let now = Instant::now();
    let settings = Settings {
        queue_limit_requests: 5,
        ..Default::default()
    };
    let gate = gate(1, settings, now);
    let (_permit, _) = gate.enter(request("flood", now, SECOND, Duration::ZERO), 0, now);
    for number in 1..=5 {
        gate.enter(request("flood", now, SECOND, Duration::ZERO), number, now);
    }
    let (entry, verdicts) = gate.enter(request("quiet", now, SECOND, Duration::ZERO), 9, now);
    expect_that!(entry, matches_pattern!(Entry::Queued(_)));
    expect_that!(verdicts.len(), eq(1));
    expect_that!(verdicts[0].0, eq(5));
    let Verdict::Refused(refusal) = &verdicts[0].1 else {
        panic!("the shed request was admitted");
    };
    expect_that!(refusal.cause, eq(Cause::QueueFull));
}

#[gtest]
fn admit_waiting_expired_is_refused_not_run() {
    let now = Instant::now();
    let gate = gate(1, Settings::default(), now);
    let (first, _) = gate.enter(request("a", now, SECOND, Duration::ZERO), 1, now);
    gate.enter(request("a", now, SECOND, Duration::ZERO), 2, now);
    gate.enter(request("a", now, SECOND * 9, Duration::ZERO), 3, now);
    drop(first);
    let verdicts = gate.finish(100, now + SECOND * 2);
    expect_that!(verdicts.len(), eq(2));
    let refused = matches!(&verdicts[0], (2, Verdict::Refused(_)));
    let admitted = matches!(&verdicts[1], (3, Verdict::Admitted(_)));
    expect_that!((refused, admitted), eq((true, true)));
}

#[gtest]
fn cancel_waiting_request_returns_waiter_once() {
    let now = Instant::now();
    let gate = gate(1, Settings::default(), now);
    let (_permit, _) = gate.enter(request("a", now, SECOND, Duration::ZERO), 1, now);
    let (entry, _) = gate.enter(request("a", now, SECOND, Duration::ZERO), 2, now);
    let Entry::Queued(ticket) = entry else {
        panic!("a request at the full limit was not queued: {entry:?}");
    };
    expect_that!(gate.cancel(&ticket, now).unwrap().0, eq(2));
    expect_that!(gate.cancel(&ticket, now).is_none(), eq(true));
    expect_that!(gate.waiting(), eq(0));
}

#[gtest]
fn gate_threads_every_request_gets_one_verdict() {
    const THREADS: usize = 4;
    const REQUESTS: usize = 5_000;
    let gate = gate::<mpsc::Sender<Verdict>>(3, Settings::default(), Instant::now());
    let run = |team: &str| {
        let mut admitted = 0;
        for _ in 0..REQUESTS {
            let now = Instant::now();
            let (sender, receiver) = mpsc::channel();
            let (entry, verdicts) =
                gate.enter(request(team, now, SECOND * 60, Duration::ZERO), sender, now);
            send_verdicts(verdicts);
            let permit = match entry {
                Entry::Admitted(permit) => permit,
                Entry::Queued(_) => match receiver.recv_timeout(SECOND * 20) {
                    Ok(Verdict::Admitted(permit)) => permit,
                    Ok(Verdict::Refused(_)) => continue,
                    Err(error) => panic!("a waiting request got no verdict: {error}"),
                },
                Entry::Refused(_) => continue,
            };
            admitted += 1;
            drop(permit);
            send_verdicts(gate.finish(100, now));
        }
        admitted
    };
    let admitted: usize = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|number| scope.spawn(move || run(&format!("team-{number}"))))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .sum()
    });
    expect_that!(admitted, eq(THREADS * REQUESTS));
    expect_that!(gate.limiter().in_flight(), eq(0));
}

fn send_verdicts(verdicts: Verdicts<mpsc::Sender<Verdict>>) {
    for (sender, verdict) in verdicts {
        // If the receiver is gone, dropping the verdict frees its permit.
        let _ = sender.send(verdict);
    }
}
