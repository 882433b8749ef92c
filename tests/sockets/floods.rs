//! Clients that send at full speed what is no request.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::aggregator::Aggregator;
use crate::stand_in::{Wire, WIRES};

/// How long such a client sends, unless its connection is closed.
const FLOOD: Duration = Duration::from_millis(4000);
/// The time after its connection in which a bad client gets an error or a close.
const BAD_CLIENT_LIMIT: Duration = Duration::from_secs(3);
/// The time in which others get their answers, which run stores give at once.
const ANSWER_LIMIT: Duration = Duration::from_millis(1500);

/// Sends `first`, and then empty lines at full speed until the connection is closed. Returns how long that took, or `None`
/// if it was open to the end.
fn send_empty_lines(mut stream: TcpStream, first: &[u8]) -> Option<Duration> {
    let lines = b"\r\n".repeat(32 * 1024);
    let begun = Instant::now();
    stream.write_all(first).unwrap();
    while begun.elapsed() < FLOOD {
        if stream.write_all(&lines).is_err() {
            return Some(begun.elapsed());
        }
    }
    None
}

/// Asserts that other clients get their answers in time while `floods` clients send empty lines after `first`. Returns how
/// long it took until each of these was closed.
fn assert_others_are_served(wire: Wire, floods: usize, first: &[u8]) -> Vec<Option<Duration>> {
    let aggregator = Aggregator::start(wire, 2);
    assert!(aggregator.ask("run-lookup", &[0, 1, 2, 3], 8000).is_whole(), "{wire:?}");
    thread::scope(|scope| {
        let floods: Vec<_> = (0..floods)
            .map(|_| {
                let stream = aggregator.connect();
                scope.spawn(|| send_empty_lines(stream, first))
            })
            .collect();
        let begun = Instant::now();
        while begun.elapsed() < FLOOD / 2 {
            let asked = Instant::now();
            let answer = aggregator.ask("run-lookup", &[0, 1, 2, 3], 8000);
            assert!(answer.is_whole() && asked.elapsed() < ANSWER_LIMIT, "{wire:?}: {:?}", asked.elapsed());
            thread::sleep(Duration::from_millis(50));
        }
        floods.into_iter().map(|flood| flood.join().unwrap()).collect()
    })
}

/// Guards against a client that alone keeps the serving thread busy: while it sent empty lines, others got their answers
/// seconds late or not at all, and its connection was never closed.
#[test]
fn empty_lines_at_full_speed_do_not_delay_others() {
    for wire in WIRES {
        for closed_after in assert_others_are_served(wire, 3, b"") {
            assert!(closed_after.is_some_and(|after| after < BAD_CLIENT_LIMIT), "{wire:?}: {closed_after:?}");
        }
    }
}

/// Guards against the same where the lines follow a request that is being answered.
#[test]
fn empty_lines_behind_an_open_request_do_not_delay_others() {
    for wire in WIRES {
        let target = if wire == Wire::Frames { "/run-lookup" } else { "/run-lookup/_search" };
        let body = r#"{"slices":[{"slice":0,"mass":1.0}]}"#;
        let body = if wire == Wire::Frames { body } else { "{}" };
        let request = format!(
            "POST {target} HTTP/1.1\r\nX-Request-ID: open\r\nX-Timeout: 3000m\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        assert_others_are_served(wire, 1, request.as_bytes());
    }
}
