//! Answers of targets that the protocol does not allow. None of them reaches a caller.

use googletest::prelude::*;
use tokio::time::Instant;

use super::fleet::{
    Behaviour,
    CallerResult,
    EVENTS_ONCE_PATH,
    EVENTS_PATH,
    Fleet,
    Host,
    MODEL_PATH,
    SAFE_PATH,
    SOUND_KEY,
    UNSAFE_PATH,
    run, //
};

/// Writes an answer in which all is sound but what is given for the status line, the headers or the
/// chunks.
macro_rules! answer {
    (status $status_line:literal) => {
        concat!(
            $status_line,
            "\r\nid: {id}\r\nsealed: 1\r\nContent-Length: 5\r\n\r\nwhole"
        )
    };
    (header $line:literal) => {
        concat!(
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsealed: 1\r\nContent-Length: 5\r\n",
            $line,
            "\r\n\r\nwhole"
        )
    };
    (chunks $chunks:literal) => {
        concat!(
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsealed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            $chunks
        )
    };
}

/// Returns the result of a request, for which the target is used although it failed before.
async fn call(host: &Host, path: &str) -> CallerResult {
    for target in host.gateway.targets.all() {
        target.end_avoidance();
    }
    match path {
        MODEL_PATH => host.call(&["part"]).await,
        path => host.call_plain(path, SOUND_KEY, "").await,
    }
}

/// Plays answers of the only target on some paths, each followed by a sound one.
async fn expect_withheld(network: u8, paths: &[&str], answers: &[&'static str]) {
    let fleet = Fleet::start_both(network, 1).await;
    let target = &fleet.engines[0];
    let host = fleet.start_host(0).await;
    for path in paths {
        for answer in answers {
            target.behaviour.set(Behaviour::Raw(answer));
            let result = call(&host, path).await;
            expect_that!(result, eq(CallerResult::Status(502)), "{path}, {answer:?}");
            if [UNSAFE_PATH, EVENTS_ONCE_PATH].contains(path) {
                let run_count = fleet.run_count(&host.last_id());
                expect_that!(run_count, eq(1), "{path}, {answer:?}");
            }
            target.behaviour.set(Behaviour::Sound);
            let result = call(&host, path).await;
            expect_that!(result, eq(CallerResult::Complete), "{path}, {answer:?}");
        }
    }
}

/// Guards against a status outside of the protocol that is passed on as an answer (MIXED).
#[gtest]
fn serve_withholds_answer_with_invalid_status() {
    const ANSWERS: [&str; 7] = [
        answer!(status "HTTP/1.1 000 OK"),
        answer!(status "HTTP/1.1 099 OK"),
        answer!(status "HTTP/1.1 600 OK"),
        answer!(status "HTTP/1.1 999 OK"),
        answer!(status "HTTP/1.1 20 OK"),
        answer!(status "HTTP/1.1 2000 OK"),
        concat!("HTTP/1.1 000 OK\r\n\r\n", answer!(status "HTTP/1.1 200 OK")),
    ];
    let paths = [SAFE_PATH, UNSAFE_PATH, EVENTS_PATH, EVENTS_ONCE_PATH];
    run(expect_withheld(101, &paths, &ANSWERS));
    run(expect_withheld(102, &[MODEL_PATH], &ANSWERS[..1]));
}

/// Guards against a header that is passed on, or whose line hides another one, because its name is none
/// (MIXED).
#[gtest]
fn serve_withholds_answer_with_invalid_header_name() {
    const ANSWERS: [&str; 13] = [
        answer!(header "A Name: 1"),
        answer!(header "A\tName: 1"),
        answer!(header "Name : 1"),
        answer!(header "Na\u{1}me: 1"),
        answer!(header "Na\0me: 1"),
        answer!(header "Na\u{7f}me: 1"),
        answer!(header "Na\rme: 1"),
        answer!(header ": 1"),
        answer!(header "Name"),
        answer!(header " Name: 1"),
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsealed : 1\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsealed: 1\r\nContent-Length : 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsealed: 1\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    ];
    let paths = [SAFE_PATH, UNSAFE_PATH, EVENTS_PATH, EVENTS_ONCE_PATH];
    run(expect_withheld(103, &paths, &ANSWERS));
    run(expect_withheld(104, &[MODEL_PATH], &ANSWERS[..4]));
}

/// Guards against a line feed that ends the head early for this host, so that the rest of the head is
/// passed on as the body (MIXED).
#[gtest]
fn serve_withholds_answer_with_line_feed_in_head() {
    const ANSWERS: [&str; 4] = [
        answer!(header "\nName: 1"),
        answer!(header "Name: 1\n"),
        answer!(header "Name: 1\nOther: 2"),
        answer!(status "HTTP/1.1 200 OK\nName: 1"),
    ];
    let paths = [SAFE_PATH, UNSAFE_PATH, EVENTS_PATH, EVENTS_ONCE_PATH];
    run(expect_withheld(107, &paths, &ANSWERS));
    run(expect_withheld(108, &[MODEL_PATH], &ANSWERS[..1]));
}

/// Guards against an answer without its body, whose chunk was taken for a trailer because its size is lost
/// (MIXED).
#[gtest]
fn serve_withholds_answer_with_lost_chunk_size() {
    const ANSWER: &str = answer!(chunks "0\r\nwhole\r\n0\r\n\r\n");
    run(async {
        let fleet = Fleet::start_both(110, 1).await;
        let host = fleet.start_host(0).await;
        fleet.engines[0].behaviour.set(Behaviour::Raw(ANSWER));
        for path in [SAFE_PATH, UNSAFE_PATH] {
            let result = call(&host, path).await;
            expect_that!(result, eq(CallerResult::Status(502)), "{path}");
        }
        // The head of a stream is passed on before its body has come.
        for path in [EVENTS_PATH, EVENTS_ONCE_PATH, MODEL_PATH] {
            let result = call(&host, path).await;
            expect_that!(result, eq(CallerResult::Broken), "{path}");
        }
    });
}

/// Guards against sound answers that are withheld with the broken ones.
#[gtest]
fn serve_passes_on_every_answer_of_protocol() {
    const ANSWERS: [(&str, u16); 10] = [
        (answer!(status "HTTP/1.1 200 OK"), 200),
        (answer!(status "HTTP/1.1 200 "), 200),
        (answer!(status "HTTP/1.1 200"), 200),
        (answer!(status "HTTP/1.0 200 OK"), 200),
        (
            "HTTP/1.1 200 OK\nid: {id}\nsealed: 1\nContent-Length: 5\n\nwhole",
            200,
        ),
        (answer!(status "HTTP/1.1 299 Größe"), 299),
        (answer!(status "HTTP/1.1 399 Unknown"), 399),
        (answer!(status "HTTP/1.1 499 Unknown"), 499),
        (answer!(status "HTTP/1.1 599 Unknown"), 599),
        (
            concat!(
                "HTTP/1.1 100 \r\n\r\nHTTP/1.1 199 \r\nA: b\r\n\r\n",
                answer!(status "HTTP/1.1 201 ")
            ),
            201,
        ),
    ];
    run(async {
        let fleet = Fleet::start_plain(105, 1, None).await;
        let host = fleet.start_host(0).await;
        for (answer, status) in ANSWERS {
            fleet.engines[0].behaviour.set(Behaviour::Raw(answer));
            let result = call(&host, UNSAFE_PATH).await;
            let expected = match status {
                200 => CallerResult::Complete,
                status => CallerResult::Status(status),
            };
            expect_that!(result, eq(expected), "{answer:?}");
        }
    });
}

/// Guards against a request that may be repeated, and fails although another target can answer it.
#[gtest]
fn serve_repeats_safe_request_after_broken_answer() {
    run(async {
        let fleet = Fleet::start_plain(106, 2, None).await;
        let host = fleet.start_host(0).await;
        // The budget of retries is a share of the requests.
        for _ in 0..100 {
            host.answer_of(SAFE_PATH).await;
        }
        let broken = Behaviour::Raw(answer!(status "HTTP/1.1 000 OK"));
        fleet.engines[0].behaviour.set(broken);
        let targets = host.gateway.targets.all();
        let sound = targets
            .iter()
            .find(|target| target.id.ends_with("engine-1"));
        for _ in 0..12 {
            // The other target is chosen first.
            sound.unwrap().record_slower(Instant::now());
            expect_that!(call(&host, SAFE_PATH).await, eq(CallerResult::Complete));
            expect_that!(fleet.run_count(&host.last_id()), eq(2));
        }
    });
}

/// Guards against a panic at an idle timeout that no clock holds, which closes the caller's connection
/// without the answer (LOST).
#[gtest]
fn serve_passes_on_answer_with_endless_idle_timeout() {
    const ANSWERS: [&str; 2] = [
        answer!(header "idle-s: 9223372036854775807"),
        answer!(header "idle-s: 18446744073709551615"),
    ];
    run(async {
        let fleet = Fleet::start_both(109, 1).await;
        let host = fleet.start_host(0).await;
        for path in [SAFE_PATH, UNSAFE_PATH, EVENTS_PATH, EVENTS_ONCE_PATH] {
            for answer in ANSWERS {
                fleet.engines[0].behaviour.set(Behaviour::Raw(answer));
                let result = call(&host, path).await;
                expect_that!(result, eq(CallerResult::Complete), "{path}, {answer:?}");
            }
        }
    });
}

/// Guards against the end of a body behind an answer that has none. On a kept connection, its bytes come
/// before the next answer (MIXED).
#[gtest]
fn serve_writes_no_body_behind_answer_without_one() {
    const NO_CONTENT: &str = "HTTP/1.1 204 \r\nid: {id}\r\nsealed: 1\r\n\r\n";
    const OK: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nsealed: 1\r\nContent-Length: 5\r\n\r\n";
    const COUNT: usize = 3;
    run(async {
        let fleet = Fleet::start_both(111, 1).await;
        let host = fleet.start_host(0).await;
        for path in [SAFE_PATH, EVENTS_PATH, EVENTS_ONCE_PATH, MODEL_PATH] {
            fleet.engines[0].behaviour.set(Behaviour::Raw(NO_CONTENT));
            let answers = host.call_kept(path, COUNT).await;
            let statuses: Vec<_> = answers.iter().map(|(status, _)| *status).collect();
            expect_that!(statuses, eq(&vec![204; COUNT]), "{path}");

            fleet.engines[0].behaviour.set(Behaviour::Raw(OK));
            let mut connection = host.open_silent_connection(b"").await;
            for index in 0..COUNT {
                let request = format!(
                    "HEAD {path} HTTP/1.1\r\nHost: test\r\nid: head-{index}\r\nkey: {SOUND_KEY}\r\n\r\n"
                );
                connection.write_all(request.as_bytes()).await.unwrap();
                let status = connection.read_response().await.map(|head| head.status);
                expect_that!(status, ok(eq(&200)), "{path}, {index}");
            }
        }
    });
}

/// Guards against a health check that counts as answered by bytes that are no answer.
#[gtest]
fn serve_sends_nothing_after_broken_answer_to_health_check() {
    run(async {
        let fleet = Fleet::start_plain(112, 1, None).await;
        let target = &fleet.engines[0];
        let host = fleet.start_host(0).await;
        for answer in [
            "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nA Name: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\nName: 1\r\n\r\n",
        ] {
            target.health_answer.set(answer);
            for path in [SAFE_PATH, UNSAFE_PATH] {
                let result = call(&host, path).await;
                expect_that!(result, eq(CallerResult::Status(503)), "{path}, {answer:?}");
                expect_that!(
                    fleet.run_count(&host.last_id()),
                    eq(0),
                    "{path}, {answer:?}"
                );
            }
        }
        for listed in host.gateway.targets.all() {
            expect_that!(listed.last_heard_at(), none());
        }
    });
}

/// Guards against a stream that ends as whole, or holds another head, because the target that was to
/// resume it sends no answer.
#[gtest]
fn serve_cuts_stream_that_is_resumed_with_broken_answer() {
    const ANSWERS: [&str; 3] = [
        answer!(status "HTTP/1.1 000 OK"),
        answer!(header "A Name: 1"),
        answer!(header "\nName: 1"),
    ];
    run(async {
        let fleet = Fleet::start_plain(113, 2, None).await;
        let host = fleet.start_host(0).await;
        // The budget of retries is a share of the requests.
        for _ in 0..200 {
            host.answer_of(SAFE_PATH).await;
        }
        fleet.engines[0].behaviour.set(Behaviour::BreaksOff);
        let mut resumed = 0;
        for answer in ANSWERS {
            fleet.engines[1].behaviour.set(Behaviour::Raw(answer));
            for _ in 0..6 {
                for target in host.gateway.targets.all() {
                    target.end_avoidance();
                }
                let answer = host.call_raw(EVENTS_PATH).await;
                expect_that!(answer, not(ends_with("0\r\n\r\n")));
                expect_that!(answer, not(contains_substring("whole")));
                let heads = answer.matches("HTTP/1.1 ").count();
                let events = answer.matches("id: 1\n").count();
                expect_that!((heads, events), any![eq((1, 0)), eq((1, 1))], "{answer}");
                resumed += fleet.run_count(&host.last_id()) - 1;
            }
        }
        expect_that!(resumed, gt(0));
    });
}

/// Guards against a request that counts as not run by a refusal that breaks the protocol (TWICE).
#[gtest]
fn serve_promises_nothing_after_refusal_with_broken_body() {
    const ANSWER: &str = concat!(
        "HTTP/1.1 503 Full\r\nid: {id}\r\nrefused: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "0\r\nwhole\r\n0\r\n\r\n"
    );
    run(async {
        let fleet = Fleet::start_plain(114, 1, None).await;
        let host = fleet.start_host(0).await;
        fleet.engines[0].behaviour.set(Behaviour::Raw(ANSWER));
        for path in [UNSAFE_PATH, EVENTS_ONCE_PATH] {
            let result = call(&host, path).await;
            expect_that!(result, eq(CallerResult::Status(502)), "{path}");
            expect_that!(fleet.run_count(&host.last_id()), eq(1), "{path}");
        }
    });
}
