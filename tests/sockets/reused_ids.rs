//! Clients that use the id of another client's request.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::json;

use crate::aggregator::{read_answer, Aggregator};
use crate::stand_in::{Behavior, Wire, WIRES};

/// How long run stores work on a part, also after its client has left.
const SERVICE_TIME: Duration = Duration::from_millis(300);

/// Maximum number of connections to one run store with frames.
const MAX_CONNECTIONS: usize = 4;

/// Returns a request for all shards with an id, whose parts carry `text`.
fn request(wire: Wire, class: &str, id: &str, text: &str) -> Vec<u8> {
    let (target, body) = match wire {
        Wire::Frames => {
            let slices: Vec<_> = (0..4).map(|shard| json!({"slice": shard, "mass": 0.25})).collect();
            (format!("/{class}"), json!({"slices": slices, "filter": text}))
        }
        Wire::OpenSearch => (format!("/{class}/_search"), json!({"query": {"match": {"run": text}}})),
    };
    let body = body.to_string();
    format!(
        "POST {target} HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Opaque-Id: {id}\r\nX-Timeout: 8000m\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Guards against serving a client with another client's data: with the id of a request whose client had left, it got the
/// late answers to that request's parts.
#[test]
fn a_request_with_the_id_of_one_whose_client_left_gets_its_own_values() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        aggregator.backends.change(|state| {
            state.return_query_text = true;
            state.service_time = SERVICE_TIME;
        });
        let mut first = aggregator.connect();
        first.write_all(&request(wire, "run-search", "same", "text-of-the-first")).unwrap();
        aggregator.backends.wait("its parts", |state| state.parts.len() == 4);
        drop(first);
        aggregator.wait_for_log("code=client_gone");
        let mut second = aggregator.connect();
        second.write_all(&request(wire, "run-search", "same", "text-of-the-second")).unwrap();
        let answer = read_answer(&mut second);
        assert!(answer.is_whole(), "{wire:?}: {answer:?}");
        assert_eq!(answer.body.matches("text-of-the-second").count(), 4, "{wire:?}: {answer:?}");
        assert!(!answer.body.contains("text-of-the-first"), "{wire:?}: {answer:?}");
    }
}

/// Guards against a client that takes all connections to run stores by using its id again while late answers may come.
#[test]
fn an_id_used_again_and_again_takes_few_connections() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        aggregator.backends.change(|state| state.service_time = 5 * SERVICE_TIME);
        for _ in 0..20 {
            let mut stream = aggregator.connect();
            stream.write_all(&request(wire, "run-search", "same", "text")).unwrap();
            std::thread::sleep(Duration::from_millis(30));
            drop(stream);
            aggregator.wait_for_log("code=client_gone");
        }
        if wire == Wire::Frames {
            let connections = aggregator.backends.read(|state| state.connections[&0]);
            assert!(connections <= MAX_CONNECTIONS, "{connections} connections to a run store");
        }
        aggregator.backends.change(|state| state.service_time = Duration::ZERO);
        let answer = aggregator.ask("run-lookup", &[0], 8000);
        assert!(answer.is_whole(), "{wire:?}: {answer:?}");
    }
}

/// Asserts that a request of the class that may not run twice is rejected because of its id.
fn assert_id_is_rejected(aggregator: &Aggregator, mut stream: TcpStream, id: &str) {
    stream.write_all(&request(aggregator.wire, "shift-entry", id, "text")).unwrap();
    let answer = read_answer(&mut stream);
    assert_eq!(answer.status, 409, "{id}: {answer:?}");
}

/// Guards against a part that runs twice: the id of a request whose client had left, or that was answered, was taken again.
#[test]
fn an_id_whose_parts_may_have_run_is_not_taken_again_where_they_must_not_repeat() {
    let aggregator = Aggregator::start(Wire::Frames, 1);
    aggregator.backends.change(|state| state.service_time = SERVICE_TIME);
    let mut first = aggregator.connect();
    first.write_all(&request(Wire::Frames, "shift-entry", "left", "text")).unwrap();
    aggregator.backends.wait("its parts", |state| state.parts.len() == 4);
    drop(first);
    aggregator.wait_for_log("code=client_gone");
    assert_id_is_rejected(&aggregator, aggregator.connect(), "left");
    let mut second = aggregator.connect();
    second.write_all(&request(Wire::Frames, "shift-entry", "answered", "text")).unwrap();
    assert!(read_answer(&mut second).is_whole());
    assert_id_is_rejected(&aggregator, second, "answered");
    assert_eq!(aggregator.backends.read(|state| state.parts.len()), 8, "each part is sent once");
}

/// A request that was refused before any of its parts was sent may come again with its id.
#[test]
fn an_id_of_which_nothing_was_sent_may_be_used_again() {
    let aggregator = Aggregator::start_with_max_open(Wire::Frames, 1, 5);
    aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
    let mut open = aggregator.connect();
    open.write_all(&request(Wire::Frames, "shift-entry", "open", "text")).unwrap();
    aggregator.backends.wait("its parts", |state| state.parts.len() == 4);
    let mut other = aggregator.connect();
    let bytes = request(Wire::Frames, "shift-entry", "refused", "text");
    other.write_all(&bytes).unwrap();
    assert!(read_answer(&mut other).is_refused());
    aggregator.backends.set_behavior(0, Behavior::Serve);
    drop(open);
    aggregator.wait_for_log("code=client_gone");
    other.write_all(&bytes).unwrap();
    let answer = read_answer(&mut other);
    assert!(answer.is_whole(), "{answer:?}");
}
/// Guards against a part that runs twice because the two processes of an upgrade each take its id.
#[test]
fn an_id_is_taken_by_one_process_of_an_upgrade_alone() {
    let old = Aggregator::start(Wire::Frames, 1);
    old.backends.change(|state| state.service_time = SERVICE_TIME);
    let mut kept: Vec<_> = (0..3).map(|_| old.connect()).collect();
    for stream in &mut kept {
        stream.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(read_answer(stream).status, 200);
    }
    let mut left = old.connect();
    left.write_all(&request(Wire::Frames, "shift-entry", "before", "text")).unwrap();
    old.backends.wait("its parts", |state| state.parts.len() == 4);
    let new = old.start_successor();
    old.wait_for_log("handover: the new process serves");
    assert_id_is_rejected(&new, new.connect(), "before");
    drop(left);
    old.wait_for_log("code=client_gone");
    assert_id_is_rejected(&new, new.connect(), "before");
    // A request on a connection that the old process has kept.
    let mut at_old = kept.pop().unwrap();
    at_old.write_all(&request(Wire::Frames, "shift-entry", "at-old", "text")).unwrap();
    old.backends.wait("its parts", |state| state.parts.len() == 8);
    assert_id_is_rejected(&new, new.connect(), "at-old");
    // A request at the new process.
    let mut at_new = new.connect();
    at_new.write_all(&request(Wire::Frames, "shift-entry", "at-new", "text")).unwrap();
    old.backends.wait("its parts", |state| state.parts.len() == 12);
    assert_id_is_rejected(&old, kept.pop().unwrap(), "at-new");
    assert!(read_answer(&mut at_new).is_whole());
    assert_eq!(old.backends.read(|state| state.parts.len()), 12, "each part is sent once");
}
