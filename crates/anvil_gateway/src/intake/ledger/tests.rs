use googletest::prelude::*;

use super::*;

const LIMITS: Limits = Limits {
    bytes: 4 << 20,
    connections: 8,
};

/// A connection that is closed; only the sum of what answers hold counts then.
const ANSWERED: ConnectionId = ConnectionId(u64::MAX);

struct Play {
    ledger: Ledger,
    now: Instant,
}

impl Play {
    fn new(limits: Limits) -> Self {
        Self {
            ledger: Ledger::new(limits),
            now: Instant::now(),
        }
    }

    fn wait_ms(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    fn open(&mut self, stage: Stage) -> ConnectionId {
        match self.ledger.open(self.now) {
            Opening::Admitted(id) | Opening::Replacing { admitted: id, .. } => {
                self.ledger.set_stage(id, stage, self.now);
                id
            }
            Opening::Refused => panic!("no place"),
        }
    }

    /// Lets a request receive bytes, which it holds from then on.
    fn receive(&mut self, id: ConnectionId, bytes: usize) -> Reserving {
        let reserving = self.ledger.reserve(id, bytes, self.now);
        if reserving == Reserving::Granted {
            self.ledger.record_progress(id, bytes, self.now);
        }
        reserving
    }

    fn end(&mut self, id: ConnectionId) {
        let Entry {
            held_bytes,
            answer_bytes,
            ..
        } = self.ledger.entries[&id];
        self.ledger.release(id, held_bytes);
        self.ledger.resize_answer(id, answer_bytes, 0);
        self.ledger.close(id);
    }
}

/// Guards against an honest sender on a slow link that is ended for those who have stopped (LOST).
#[gtest]
fn reserve_ends_sender_that_stopped_before_slow_one() {
    let mut play = Play::new(LIMITS);
    let stopped = play.open(Stage::Unfinished);
    let slow = play.open(Stage::Unfinished);
    expect_that!(play.receive(stopped, 1 << 20), eq(&Reserving::Granted));
    for _ in 0..40 {
        play.wait_ms(250);
        expect_that!(play.receive(slow, 16 << 10), eq(&Reserving::Granted));
    }
    let eager = play.open(Stage::Unfinished);
    let needed_bytes = LIMITS.request_bytes() - (1 << 20);
    let reserving = play.receive(eager, needed_bytes);
    expect_that!(reserving, eq(&Reserving::Awaited(vec![stopped])));
    // The bytes of the one that is ending are waited for; no other is ended meanwhile.
    let again = play.ledger.reserve(eager, needed_bytes, play.now);
    expect_that!(again, eq(&Reserving::Awaited(vec![])));
    play.end(stopped);
    expect_that!(
        play.receive(eager, needed_bytes - (1 << 20)),
        eq(&Reserving::Granted)
    );
    expect_that!(play.ledger.stage(slow), some(eq(Stage::Unfinished)));
}

/// Guards against requests that are complete and lost for others that may never be (LOST).
#[gtest]
fn reserve_never_ends_complete_request() {
    let mut play = Play::new(LIMITS);
    let complete = play.open(Stage::Unfinished);
    let all_bytes = LIMITS.request_bytes();
    expect_that!(play.receive(complete, all_bytes), eq(&Reserving::Granted));
    play.ledger.set_stage(complete, Stage::Complete, play.now);
    play.wait_ms(60_000);
    let other = play.open(Stage::Unfinished);
    expect_that!(play.receive(other, 1), eq(&Reserving::Refused));
    expect_that!(play.ledger.stage(complete), some(eq(Stage::Complete)));
    // A connection that was chosen to end is kept if the rest of its request came before that.
    play.end(complete);
    let late = play.open(Stage::Unfinished);
    expect_that!(play.receive(late, all_bytes), eq(&Reserving::Granted));
    play.wait_ms(5000);
    let other = play.open(Stage::Unfinished);
    expect_that!(play.receive(other, 1), eq(&Reserving::Awaited(vec![late])));
    play.ledger.set_stage(late, Stage::Complete, play.now);
    expect_that!(play.receive(other, 1), eq(&Reserving::Refused));
}

#[gtest]
fn reserve_ends_the_one_that_asks_if_it_proceeds_least() {
    let mut play = Play::new(LIMITS);
    let large = play.open(Stage::Unfinished);
    expect_that!(
        play.receive(large, LIMITS.request_bytes() - 4096),
        eq(&Reserving::Granted)
    );
    play.wait_ms(3000);
    let small = play.open(Stage::Unfinished);
    expect_that!(play.receive(small, 4096), eq(&Reserving::Granted));
    expect_that!(play.receive(large, 4096), eq(&Reserving::Ended));
    expect_that!(play.ledger.stage(small), some(eq(Stage::Unfinished)));
    expect_that!(play.receive(large, 1), eq(&Reserving::Ended));
}

/// Guards against requests that leave no memory for the answers of those that are served (LOST).
#[gtest]
fn reserve_leaves_memory_for_answers() {
    let mut play = Play::new(LIMITS);
    let large = play.open(Stage::Unfinished);
    expect_that!(
        play.receive(large, LIMITS.request_bytes()),
        eq(&Reserving::Granted)
    );
    let free_bytes = LIMITS.bytes - LIMITS.request_bytes();
    expect_that!(
        play.ledger.resize_answer(ANSWERED, 0, free_bytes / 2),
        eq(true)
    );
    expect_that!(
        play.ledger.resize_answer(large, free_bytes / 2, free_bytes),
        eq(false)
    );
}

/// Guards against answers without end that take all memory of a host (LOST).
#[gtest]
fn resize_answer_bounds_sum_of_answers_without_end() {
    let limits = Limits {
        bytes: 30 << 20,
        ..LIMITS
    };
    for count in [1, 2, 30, 300, 2000] {
        let mut ledger = Ledger::new(limits);
        let mut answers = vec![0; count];
        let mut has_grown = true;
        while has_grown {
            has_grown = false;
            for held_bytes in &mut answers {
                if ledger.resize_answer(ANSWERED, *held_bytes, *held_bytes + 4096) {
                    *held_bytes += 4096;
                    has_grown = true;
                }
            }
        }
        expect_that!(ledger.used_bytes(), le(limits.bytes), "{count} answers");
        // A small answer still finds room beside them.
        expect_that!(
            ledger.resize_answer(ANSWERED, 0, 4096),
            eq(true),
            "{count} answers"
        );
    }
}

#[gtest]
fn resize_answer_accepts_two_of_4_mb() {
    let mut ledger = Ledger::new(Limits {
        bytes: 30 << 20,
        ..LIMITS
    });
    expect_that!(ledger.resize_answer(ANSWERED, 0, 4 << 20), eq(true));
    expect_that!(ledger.resize_answer(ANSWERED, 0, 4 << 20), eq(true));
    expect_that!(ledger.used_bytes(), eq(8 << 20));
    expect_that!(ledger.resize_answer(ANSWERED, 4 << 20, 0), eq(true));
    expect_that!(ledger.used_bytes(), eq(4 << 20));
}

/// Guards against connections that are left open and keep others out (LOST).
#[gtest]
fn open_replaces_the_one_that_is_idle_or_unfinished_for_longest() {
    let mut play = Play::new(LIMITS);
    let complete = play.open(Stage::Complete);
    let mut others = Vec::new();
    for index in 0..LIMITS.connections - 1 {
        play.wait_ms(10);
        let stage = match index % 2 {
            0 => Stage::Unfinished,
            _ => Stage::Idle,
        };
        others.push(play.open(stage));
    }
    play.wait_ms(10);
    play.ledger.set_stage(others[0], Stage::Idle, play.now);
    for expected in [others[1], others[2]] {
        match play.ledger.open(play.now) {
            Opening::Replacing { ended, admitted } => {
                expect_that!(ended, eq(expected));
                play.ledger.set_stage(admitted, Stage::Complete, play.now);
            }
            other => panic!("{other:?}"),
        }
    }
    // Too many are ending.
    expect_that!(play.ledger.open(play.now), eq(Opening::Refused));
    expect_that!(play.ledger.stage(complete), some(eq(Stage::Complete)));
}

#[gtest]
fn open_refuses_if_all_requests_are_complete() {
    let mut play = Play::new(LIMITS);
    for _ in 0..LIMITS.connections {
        play.open(Stage::Complete);
    }
    expect_that!(play.ledger.open(play.now), eq(Opening::Refused));
}

/// Guards against an account that doesn't add up, whatever happens in which order.
#[gtest]
fn ledger_never_exceeds_its_limits() {
    let mut play = Play::new(LIMITS);
    let mut seed = 1_u64;
    let mut draw = |below: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (seed >> 33) % below
    };
    let mut open: Vec<ConnectionId> = Vec::new();
    for _ in 0..20_000 {
        play.wait_ms(draw(50));
        let chosen = (!open.is_empty()).then(|| open[draw(open.len() as u64) as usize]);
        match (draw(4), chosen) {
            (0, _) => match play.ledger.open(play.now) {
                Opening::Admitted(id) | Opening::Replacing { admitted: id, .. } => {
                    play.ledger.set_stage(id, Stage::Unfinished, play.now);
                    open.push(id);
                }
                Opening::Refused => {}
            },
            (1, Some(id)) if draw(4) == 0 => {
                play.ledger.set_stage(id, Stage::Complete, play.now);
            }
            (2, Some(id)) if draw(8) == 0 => {
                play.end(id);
                open.retain(|other| *other != id);
            }
            (_, Some(id)) => {
                let _reserving = play.receive(id, 4096 << draw(6));
            }
            (_, None) => {}
        }
        let ending: Vec<_> = open
            .iter()
            .copied()
            .filter(|id| play.ledger.stage(*id) == Some(Stage::Ending))
            .collect();
        if draw(3) == 0 {
            for id in ending {
                play.end(id);
                open.retain(|other| *other != id);
            }
        }
        let held: usize = play
            .ledger
            .entries
            .values()
            .map(|entry| entry.held_bytes)
            .sum();
        assert_eq!(held, play.ledger.used_bytes());
        assert!(held <= LIMITS.request_bytes());
        let slack = LIMITS.connections / REPLACED_SHARE + 1;
        assert!(play.ledger.connections() <= LIMITS.connections + slack);
    }
}

/// Guards against answers that nobody reads and that keep others out (LOST).
#[gtest]
fn unread_answers_make_room_after_a_while() {
    let mut play = Play::new(LIMITS);
    let mut unread = Vec::new();
    for _ in 0..LIMITS.connections {
        let id = play.open(Stage::Complete);
        expect_that!(play.receive(id, 16 << 10), eq(&Reserving::Granted));
        expect_that!(play.ledger.resize_answer(id, 0, 300 << 10), eq(true));
        play.ledger.set_stage(id, Stage::Unread, play.now);
        unread.push(id);
    }
    // Their readers may be late.
    expect_that!(play.ledger.open(play.now), eq(Opening::Refused));
    let wanted_bytes = 1 << 20;
    let refused = play.ledger.make_room_for_answer(0, wanted_bytes, play.now);
    expect_that!(refused, eq(&Reserving::Refused));
    play.wait_ms(READER_STALL_MIN.as_millis() as u64);
    // This one has taken some meanwhile.
    play.ledger.set_stage(unread[0], Stage::Complete, play.now);
    play.ledger.set_stage(unread[0], Stage::Unread, play.now);
    let room = play.ledger.make_room_for_answer(0, wanted_bytes, play.now);
    let longest = vec![unread[1], unread[2]];
    expect_that!(room, eq(&Reserving::Awaited(longest.clone())));
    for ended in longest {
        play.end(ended);
        play.open(Stage::Complete);
    }
    match play.ledger.open(play.now) {
        Opening::Replacing { ended, .. } => expect_that!(ended, eq(unread[3])),
        other => panic!("{other:?}"),
    }
}

/// Guards against callers that keep all connections or memory by one request after the other (LOST).
#[gtest]
fn is_crowded_before_limits_are_reached() {
    let mut play = Play::new(LIMITS);
    for _ in 0..LIMITS.connections - 2 {
        play.open(Stage::Complete);
    }
    expect_that!(play.ledger.is_crowded(), eq(false));
    play.open(Stage::Complete);
    expect_that!(play.ledger.is_crowded(), eq(true));
    let mut play = Play::new(LIMITS);
    let large = play.open(Stage::Unfinished);
    let bytes = LIMITS.request_bytes() / 8;
    expect_that!(play.receive(large, 6 * bytes), eq(&Reserving::Granted));
    expect_that!(play.ledger.is_crowded(), eq(false));
    expect_that!(play.receive(large, bytes), eq(&Reserving::Granted));
    expect_that!(play.ledger.is_crowded(), eq(true));
}

/// Guards against ordinary requests that are ended as soon as they begin, since they have brought less than
/// those that hold the memory (LOST).
#[gtest]
fn reserve_ends_new_request_last() {
    let mut play = Play::new(LIMITS);
    let mut older = Vec::new();
    for _ in 0..4 {
        let id = play.open(Stage::Unfinished);
        let bytes = LIMITS.request_bytes() / 4 - 2048;
        expect_that!(play.receive(id, bytes), eq(&Reserving::Granted));
        older.push(id);
    }
    play.wait_ms(NEW_REQUEST_TIME.as_millis() as u64);
    for id in &older {
        play.ledger.record_progress(*id, 64 << 20, play.now);
    }
    let new = play.open(Stage::Unfinished);
    expect_that!(play.receive(new, 4096), eq(&Reserving::Granted));
    let reserving = play.receive(new, 24 << 10);
    expect_that!(reserving, eq(&Reserving::Awaited(vec![older[0]])));
    expect_that!(play.ledger.stage(new), some(eq(Stage::Unfinished)));
}
