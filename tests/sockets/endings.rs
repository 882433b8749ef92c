//! Ends of clients' connections that still have requests: every request that has been read is answered in time.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::aggregator::{read_answer, Aggregator, Answer};
use crate::stand_in::{Behavior, WIRES};

/// Reads answers until the aggregator closes the connection.
fn read_answers(stream: &mut TcpStream) -> Vec<Answer> {
    let mut all = Vec::new();
    while stream.peek(&mut [0]).is_ok_and(|count| count > 0) {
        all.push(read_answer(stream));
    }
    all
}

fn statuses(answers: &[Answer]) -> Vec<u16> {
    answers.iter().map(|answer| answer.status).collect()
}

/// A request that has been read is lost if its connection is closed without an answer. This could happen to the later
/// of several requests that arrive together during a drain.
#[test]
fn pipelined_requests_during_a_drain_are_all_answered() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        let mut kept = aggregator.connect();
        kept.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(read_answer(&mut kept).status, 200, "{wire:?}");
        aggregator.signal("TERM");
        aggregator.wait_for_log("draining");
        let requests: String =
            (0..3).map(|shard| aggregator.query_bytes("", "run-lookup", &[shard], 2000)).collect();
        kept.write_all(requests.as_bytes()).unwrap();
        let answers = read_answers(&mut kept);
        assert_eq!(statuses(&answers), [200; 3], "{wire:?}: {answers:?}");
        let closes: Vec<_> = answers.iter().map(|answer| answer.head.contains("connection: close")).collect();
        assert_eq!(closes, [false, false, true], "{wire:?}: only the last answer announces the close");
    }
}

/// The same if a request is followed by more bytes than the longest request may have.
#[test]
fn complete_requests_before_a_flood_are_all_answered() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
        let mut client = aggregator.send_query("run-lookup", &[0], 9000);
        aggregator.backends.wait("the part", |state| state.parts.len() == 1);
        let mut flood: String =
            (0..3).map(|shard| aggregator.query_bytes("", "run-lookup", &[shard], 9000)).collect();
        flood.push_str(&"x".repeat(200_000));
        let _ = client.write_all(flood.as_bytes());
        let answers = read_answers(&mut client);
        assert!(answers.len() >= 4, "{wire:?}: {:?}", statuses(&answers));
        assert!(answers.iter().all(|answer| answer.status >= 400), "{wire:?}: {:?}", statuses(&answers));
        assert_eq!(
            aggregator.backends.read(|state| state.parts.len()),
            1,
            "{wire:?}: no part of the later requests is sent"
        );
    }
}

/// The time-out of a request runs from its last byte, also while an earlier request on its connection is being
/// answered, and the time-out that a run store gets is at most the client's remaining time plus 0.15 s.
#[test]
fn a_pipelined_request_passes_on_at_most_its_clients_remaining_time() {
    const TIMEOUT_MS: u32 = 3000;
    const SLACK_MS: u64 = 150;
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
        let mut client = aggregator.connect();
        let requests = aggregator.query_bytes("", "shift-entry", &[0], 1500)
            + &aggregator.query_bytes("", "run-lookup", &[1], TIMEOUT_MS);
        let written = Instant::now();
        client.write_all(requests.as_bytes()).unwrap();
        aggregator.backends.wait("the first part", |state| state.parts.len() == 1);
        assert_eq!(read_answer(&mut client).status, 500, "{wire:?}");
        aggregator.backends.set_behavior(0, Behavior::Serve);
        assert!(read_answer(&mut client).is_whole(), "{wire:?}");
        let waited = written.elapsed();
        assert!(
            waited > Duration::from_millis(500),
            "{wire:?}: the first request must delay the second, but took {waited:?}"
        );
        let timeouts_ms = aggregator.backends.read(|state| state.timeouts_ms.clone());
        let left = u64::from(TIMEOUT_MS).saturating_sub(waited.as_millis() as u64);
        // The second answer follows its part closely.
        assert!(
            timeouts_ms[1] <= left + SLACK_MS,
            "{wire:?}: the part carries {} ms and the client has {left} ms left",
            timeouts_ms[1]
        );
    }
}

/// The time-out of a request runs from its last byte, and an answer more than half a second after it is too late, also
/// if an earlier request on the connection has a longer time-out.
#[test]
fn a_request_with_a_short_timeout_behind_a_long_one_is_answered_in_time() {
    const LATEST: Duration = Duration::from_millis(800 + 500);
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
        let mut client = aggregator.connect();
        let requests = aggregator.query_bytes("", "run-lookup", &[0], 9000)
            + &aggregator.query_bytes("", "run-lookup", &[1], 800);
        let written = Instant::now();
        client.write_all(requests.as_bytes()).unwrap();
        let first = read_answer(&mut client);
        let second = read_answer(&mut client);
        assert!(written.elapsed() < LATEST, "{wire:?}: {:?}, {first:?}, {second:?}", written.elapsed());
    }
}

/// A request that is read and not answered is lost. Requests after the last answer of a connection must therefore stay
/// unread, so that the client gets a reset and can retry.
#[test]
fn requests_after_the_last_answer_stay_unread() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        let mut client =
            aggregator.send_query_with_headers("Connection: close\r\n", "run-lookup", &[0], 9000);
        assert!(read_answer(&mut client).is_whole(), "{wire:?}");
        assert_eq!(client.read(&mut [0]).unwrap(), 0, "{wire:?}: the aggregator has shut down its side");
        client.write_all(aggregator.query_bytes("", "run-lookup", &[1], 9000).as_bytes()).unwrap();
        aggregator.wait_for_log("end client");
        let reset = (0..100).any(|_| {
            std::thread::sleep(Duration::from_millis(10));
            client.take_error().unwrap().is_some()
        });
        assert!(
            reset,
            "{wire:?}: no reset: the request was read, and its client does not know that it has no answer"
        );
        assert_eq!(aggregator.backends.read(|state| state.parts.len()), 1, "{wire:?}");
    }
}

/// The time-out of a request runs from its last byte, also while its connection waits in the listener's queue because
/// accept fails.
#[test]
fn a_request_that_waited_for_accept_passes_on_at_most_its_clients_remaining_time() {
    const TIMEOUT_MS: u32 = 5000;
    const SLACK_MS: u64 = 150;
    for wire in WIRES {
        // Nearly all calls of accept fail, and each failure delays the next call by 5 ms.
        let aggregator = Aggregator::start_with_faults(wire, 1, Some("seed=6 accept=ENFILE@98"), |_, _| {});
        let mut longest = 0;
        for no in 0..12 {
            let mut client = aggregator.send_query("run-lookup", &[no % 4], TIMEOUT_MS);
            let written = Instant::now();
            assert!(read_answer(&mut client).is_whole(), "{wire:?}");
            let waited = written.elapsed().as_millis() as u64;
            let sent_timeout_ms = aggregator.backends.read(|state| *state.timeouts_ms.last().unwrap());
            // The answer follows its part closely.
            assert!(
                sent_timeout_ms + waited <= u64::from(TIMEOUT_MS) + SLACK_MS,
                "{wire:?}: the part carries {sent_timeout_ms} ms after {waited} ms"
            );
            longest = longest.max(waited);
        }
        assert!(
            longest > 2 * SLACK_MS,
            "{wire:?}: accept must delay a request, but the longest took {longest} ms"
        );
    }
}

/// A client that reads its last answer only after the process has exited must still find it complete.
#[test]
fn an_answer_can_be_read_after_the_process_has_exited() {
    for wire in WIRES {
        let mut aggregator = Aggregator::start(wire, 1);
        let mut client = aggregator.send_query("run-lookup", &[0, 1, 2, 3], 9000);
        aggregator.backends.wait("the parts", |state| state.parts.len() == 4);
        aggregator.signal("TERM");
        assert_eq!(aggregator.wait().code(), Some(0), "{wire:?}");
        assert!(read_answer(&mut client).is_whole(), "{wire:?}");
        assert_eq!(client.read(&mut [0]).unwrap(), 0, "{wire:?}");
    }
}

/// A client that does not read its answers must block only its own connection, which is closed with an error when the
/// time to write is over.
#[test]
fn a_client_that_never_reads_its_answers_does_not_block_others() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        let mut lazy = aggregator.connect();
        lazy.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
        // The client never reads, so its answers fill the system's buffers.
        let request = b"GET /counters HTTP/1.1\r\n\r\n".repeat(2000);
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(20) && lazy.write(&request).is_ok() {}
        assert!(aggregator.ask("run-lookup", &[0], 2000).is_whole(), "{wire:?}");
        let ended = aggregator.wait_for_log("code=too_slow");
        assert!(ended.contains("end client"), "{wire:?}: {ended}");
    }
}

/// A client that stops in the middle of a request gets an error within 3 s, also if a request before it on the
/// connection is still being answered. The time for the second request must not begin only after the first answer.
#[test]
fn an_incomplete_request_behind_another_times_out_on_its_own() {
    const ERROR_LIMIT: Duration = Duration::from_millis(3000);
    const FIRST: Duration = Duration::from_millis(2500);
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
        let mut client = aggregator.connect();
        let whole = aggregator.query_bytes("", "shift-entry", &[0], FIRST.as_millis() as u32);
        let half = aggregator.query_bytes("", "run-lookup", &[1], 9000);
        let stopped = Instant::now();
        client.write_all((whole + &half[..half.len() / 2]).as_bytes()).unwrap();
        assert_eq!(read_answer(&mut client).status, 500, "{wire:?}");
        assert_eq!(read_answer(&mut client).status, 408, "{wire:?}");
        assert!(stopped.elapsed() < ERROR_LIMIT, "{wire:?}: {:?}", stopped.elapsed());
    }
}

/// A request with a very short time-out gets a final answer at most half a second after it. With a time-out of 0 no
/// part is sent.
#[test]
fn a_request_with_a_tiny_timeout_is_answered_and_one_without_time_sends_no_part() {
    const LATEST_MS: u128 = 500;
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
        for timeout_ms in [0, 1, 5, 20, 50] {
            let sent = aggregator.backends.read(|state| state.parts.len());
            let asked = Instant::now();
            let answer = aggregator.ask("run-lookup", &[0], timeout_ms);
            let took = asked.elapsed().as_millis();
            assert!(answer.status >= 429, "{wire:?} {timeout_ms}: {answer:?}");
            assert!(took <= u128::from(timeout_ms) + LATEST_MS, "{wire:?} {timeout_ms}: {took}");
            let sent = aggregator.backends.read(|state| state.parts.len()) - sent;
            assert!(timeout_ms > 0 || (sent == 0 && answer.is_refused()), "{wire:?}: {sent}, {answer:?}");
        }
        let timeouts_ms = aggregator.backends.read(|state| state.timeouts_ms.clone());
        assert!(timeouts_ms.iter().all(|timeout_ms| *timeout_ms <= 50), "{wire:?}: {timeouts_ms:?}");
    }
}
