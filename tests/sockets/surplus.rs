//! Run stores that send more than the answer to a part: none of it may count as the answer to another part.

use std::io::Write;
use std::time::Duration;

use serde_json::json;

use crate::aggregator::{read_answer, Aggregator, Answer};
use crate::stand_in::{Behavior, Wire, WIRES};

/// Starts an aggregator whose run stores repeat their last answer when the next part arrives on its connection.
fn start_with_copies(wire: Wire, stores: usize) -> Aggregator {
    let aggregator = Aggregator::start(wire, stores);
    aggregator.backends.change(|state| state.repeat_last_answer = true);
    aggregator
}

/// Asks for one shard with an `X-Opaque-Id`.
fn ask_with_id(aggregator: &Aggregator, id: &str, shard: u32) -> Answer {
    let header = format!("X-Opaque-Id: {id}\r\n");
    read_answer(&mut aggregator.send_query_with_headers(&header, "run-lookup", &[shard], 9000))
}

fn has_value_of(answer: &Answer, shard: u32) -> bool {
    answer.is_whole() && answer.body.contains(&format!("\"v{shard}\""))
}

fn arrivals(aggregator: &Aggregator, shard: u32) -> usize {
    aggregator.backends.read(|state| state.parts.iter().filter(|part| part.1 == shard).count())
}

fn connections(aggregator: &Aggregator) -> usize {
    aggregator.backends.read(|state| state.connections[&0])
}

/// Guards against a second copy of an answer that is served to the client of the next search on its connection.
#[test]
fn a_copy_of_an_answer_is_not_served_for_the_next_query() {
    for wire in WIRES {
        let aggregator = start_with_copies(wire, 1);
        for shard in [0, 1, 2, 3, 0, 1] {
            let answer = aggregator.ask("run-lookup", &[shard], 9000);
            assert!(has_value_of(&answer, shard), "{wire:?} {shard}: {answer:?}");
        }
        assert_eq!(connections(&aggregator), 1, "{wire:?}: a copy does not cost the connection");
    }
}

/// Guards against a second copy of a rejection that counts as proof that the next part never ran: that part would be
/// sent again while it runs.
#[test]
fn a_copy_of_a_rejection_is_no_proof_that_the_next_part_has_not_run() {
    for wire in WIRES {
        let aggregator = start_with_copies(wire, 1);
        aggregator.backends.set_behavior(0, Behavior::Reject);
        assert!(aggregator.ask("shift-entry", &[0], 9000).is_refused(), "{wire:?}");
        aggregator.backends.set_behavior(0, Behavior::Serve);
        let answer = aggregator.ask("shift-entry", &[1], 9000);
        assert!(has_value_of(&answer, 1), "{wire:?}: {answer:?}");
        assert_eq!(arrivals(&aggregator, 1), 1, "{wire:?}: the part runs once");
    }
}

/// Guards against the same between queries whose clients gave them the same id, as many clients do.
#[test]
fn a_copy_of_an_answer_is_not_served_for_a_query_with_the_same_id() {
    let aggregator = start_with_copies(Wire::OpenSearch, 1);
    for shard in [0, 1, 2, 3] {
        let answer = ask_with_id(&aggregator, "desk", shard);
        assert!(has_value_of(&answer, shard), "{shard}: {answer:?}");
    }
}

/// Guards against an answer that names no query or another one and counts as the answer to the query that waits.
#[test]
fn an_answer_that_does_not_name_its_query_proves_nothing() {
    for head in ["HTTP/1.1 429 Too Many Requests", "HTTP/1.1 429 Too Many Requests\r\nX-Opaque-Id: other"] {
        let aggregator = Aggregator::start(Wire::OpenSearch, 1);
        assert!(has_value_of(&ask_with_id(&aggregator, "first", 0), 0), "{head}");
        let rejection = format!("{head}\r\nContent-Length: 2\r\n\r\n{{}}");
        aggregator.backends.set_behavior(0, Behavior::Raw(rejection.leak()));
        assert_eq!(aggregator.ask("shift-entry", &[1], 9000).status, 500, "{head}: it may have run");
        assert_eq!(arrivals(&aggregator, 1), 1, "{head}: it is not sent again");
    }
}

/// Run stores that return no id are used with a connection for each search, on which a copy cannot be taken for
/// anything else.
#[test]
fn a_run_store_that_returns_no_id_gets_each_search_on_a_new_connection() {
    let aggregator = start_with_copies(Wire::OpenSearch, 1);
    aggregator.backends.change(|state| state.omit_opaque_ids = true);
    for shard in [0, 1, 2] {
        let answer = aggregator.ask("run-lookup", &[shard], 9000);
        assert!(has_value_of(&answer, shard), "{shard}: {answer:?}");
        aggregator.wait_for_log("code=renewed");
    }
    assert_eq!(connections(&aggregator), 3);
}

/// A connection carries an id once, so each of these queries needs another connection. Guards against queries that wait
/// until their time is over because only connections that may not carry them are left.
#[test]
fn queries_with_the_same_id_are_served_at_the_connection_limit() {
    const QUERIES: u32 = 60;
    let aggregator = Aggregator::start_with_config(Wire::OpenSearch, 1, |config, _| {
        config["limits"]["sockets"] = json!(128);
    });
    let mut client = aggregator.connect();
    for number in 0..QUERIES {
        let request = aggregator.query_bytes("X-Opaque-Id: desk\r\n", "run-lookup", &[number % 4], 2000);
        client.write_all(request.as_bytes()).unwrap();
        let answer = read_answer(&mut client);
        assert!(has_value_of(&answer, number % 4), "{number}: {answer:?}");
    }
    assert_eq!(connections(&aggregator), QUERIES as usize);
}

/// Guards against a second copy of a rejection that counts as the answer to the next attempt of the same part at the
/// same run store: a third attempt would run beside that one.
#[test]
fn a_copy_of_a_rejection_is_no_proof_that_the_next_attempt_has_not_run() {
    for wire in WIRES {
        let aggregator = start_with_copies(wire, 1);
        aggregator.backends.set_behavior(0, Behavior::Reject);
        let mut client = aggregator.send_query("shift-entry", &[0], 9000);
        aggregator.backends.wait("the first attempt", |state| state.parts.len() == 1);
        aggregator.backends.change(|state| state.service_time = Duration::from_millis(300));
        aggregator.backends.set_behavior(0, Behavior::Serve);
        let answer = read_answer(&mut client);
        assert!(has_value_of(&answer, 0), "{wire:?}: {answer:?}");
        assert_eq!(arrivals(&aggregator, 0), 2, "{wire:?}: the first is rejected, the second runs");
    }
}
