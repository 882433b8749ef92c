//! The operators' interface, which has an address of its own.

use std::io::{Read, Write};
use std::net::TcpStream;

use serde_json::json;

use crate::aggregator::{answer, line, Aggregator};
use crate::stand_in::{Act, Wire, WIRES};

/// Returns the status of `GET /healthz` as a client sees it.
pub fn asks_health(aggregator: &Aggregator) -> u16 {
    let mut stream = aggregator.connect();
    stream.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
    answer(&mut stream).status
}

#[test]
fn calls_that_are_not_known_get_a_4xx() {
    let aggregator = Aggregator::start(Wire::Frames, 1);
    assert_eq!(aggregator.call("GET", "/healthcheck").status, 200);
    for (method, path, status) in [
        ("GET", "/", 404),
        ("GET", "/healthz", 404),
        ("POST", "/run-lookup", 404),
        ("PUT", "/healthcheck", 405),
        ("GET", "/healthcheck/fail", 405),
        ("PUT", "/healthcheck/fail/now", 404),
    ] {
        assert_eq!(aggregator.call(method, path).status, status, "{method} {path}");
    }
    assert_eq!(asks_health(&aggregator), 200, "none of these calls has an effect");
}

#[test]
fn without_the_key_nobody_listens_for_operators() {
    let aggregator = Aggregator::changed(Wire::Frames, 1, |config, _| config["operator"] = json!(null));
    assert!(aggregator.operator.is_none());
    assert!(!aggregator.said("operators call"));
}

#[test]
fn callers_that_say_nothing_or_half_a_call_delay_no_other() {
    let aggregator = Aggregator::start(Wire::Frames, 1);
    // More connections than the interface has room for.
    let slow: Vec<_> = (0..60)
        .map(|n| {
            let mut stream = TcpStream::connect(aggregator.operator.unwrap()).unwrap();
            if n % 2 == 0 {
                stream.write_all(b"GET /healthch").unwrap();
            }
            stream
        })
        .collect();
    assert_eq!(aggregator.call("GET", "/healthcheck").status, 200);
    drop(slow);
}

#[test]
fn clients_that_take_all_their_room_leave_operators_theirs() {
    let aggregator =
        Aggregator::changed(Wire::Frames, 1, |config, _| config["limits"]["sockets"] = json!(128));
    aggregator.board.act(0, Act::Silent);
    // There is room for 42 queries, and for six connections that are refused.
    let held: Vec<_> = (0..48).map(|n| aggregator.begin("run-lookup", &[n % 4], 9000)).collect();
    aggregator.board.wait("the queries", |state| state.parts.len() >= 42);
    assert_eq!(aggregator.call("GET", "/healthcheck").status, 200);
    drop(held);
}

#[test]
fn a_drain_by_hand_ends_every_connection_and_is_undone() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        let mut idle = aggregator.connect();
        idle.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(answer(&mut idle).status, 200, "{wire:?}");
        aggregator.board.act(0, Act::Silent);
        let mut held = aggregator.begin("run-lookup", &[0], 900);
        aggregator.board.wait("the part", |state| state.parts.len() == 1);
        for _ in 0..2 {
            assert_eq!(aggregator.call("PUT", "/healthcheck/fail").status, 200, "{wire:?}");
            assert_eq!(asks_health(&aggregator), 503, "{wire:?}");
        }
        // The process still accepts connections, and closes each after one answer.
        aggregator.board.act(0, Act::Serve);
        let late = aggregator.ask("run-lookup", &[1], 8000);
        assert!(late.whole() && late.head.contains("\r\nconnection: close"), "{wire:?}: {late:?}");
        assert_eq!(idle.read(&mut [0]).unwrap(), 0, "{wire:?}: an idle connection is closed");
        let mut silent = aggregator.connect();
        assert_eq!(
            silent.read(&mut [0]).unwrap(),
            0,
            "{wire:?}: a new connection without a request is closed"
        );
        assert!(
            answer(&mut held).head.contains("\r\nconnection: close"),
            "{wire:?}: the query in flight is answered"
        );
        assert_eq!(aggregator.call("GET", "/healthcheck").status, 200, "{wire:?}: the process keeps running");
        for _ in 0..2 {
            assert_eq!(aggregator.call("PUT", "/healthcheck/ok").status, 200, "{wire:?}");
            assert_eq!(asks_health(&aggregator), 200, "{wire:?}");
        }
        let again = aggregator.ask("run-lookup", &[2], 8000);
        assert!(again.whole() && !again.head.contains("connection: close"), "{wire:?}: {again:?}");
    }
}

/// Returns value and type of a metric in the body of `GET /stats`.
fn figure(stats: &str, name: &str) -> String {
    let line = stats.lines().find_map(|line| line.strip_prefix(&format!("aggregator.{name}:")));
    line.unwrap_or_else(|| panic!("no {name} in {stats}")).to_string()
}

#[test]
fn the_figures_tell_of_every_end_by_class_and_of_attempts_written_whole() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 2);
        let stats = aggregator.call("GET", "/stats").body;
        for class in ["run-search", "run-lookup", "shift-entry"] {
            for end in ["ok", "shed", "errors"] {
                assert_eq!(figure(&stats, &format!("responses.{class}.{end}")), "0|c", "{wire:?}");
            }
        }
        assert!(aggregator.ask("run-lookup", &[0, 1], 8000).whole(), "{wire:?}");
        assert_eq!(aggregator.ask("no-such-class", &[0], 8000).status, 404, "{wire:?}");
        // An invalid query counts as an error of its class.
        assert_eq!(aggregator.ask("run-search", &[9], 8000).status, 400, "{wire:?}");
        let both = [Act::Error, Act::Silent].map(|act| {
            aggregator.board.act(0, act);
            aggregator.board.act(1, act);
            // The queries before have sent two parts.
            let parts = aggregator.board.read(|state| state.parts.len());
            let held = aggregator.begin("shift-entry", &[2], 9000);
            aggregator.board.wait("the part", |state| state.parts.len() > parts);
            held
        });
        let [mut failed, held] = both;
        assert_eq!(answer(&mut failed).status, 500, "{wire:?}");
        let stats = aggregator.call("GET", "/stats").body;
        assert!(!stats.contains("no-such-class"), "{wire:?}: there are no metrics for unknown class names");
        for (name, value) in [
            ("responses.run-lookup.ok", "1|c"),
            ("responses.shift-entry.errors", "1|c"),
            ("responses.shift-entry.ok", "0|c"),
            ("responses.run-search.errors", "1|c"),
            ("tries", "4|c"),
            ("active", "1|g"),
            ("pool_size", "2|g"),
            ("pool_ejected", "0|g"),
        ] {
            assert_eq!(figure(&stats, name), value, "{wire:?} {name}: {stats}");
        }
        drop(held);
        aggregator.logged("code=client_gone");
        assert_eq!(figure(&aggregator.call("GET", "/stats").body, "active"), "0|g", "{wire:?}");
        aggregator.board.tell(json!([line(0, aggregator.stores[0], "draining", 0)]));
        let sound = aggregator.configuration(|_| {});
        aggregator.reload("{");
        aggregator.logged("reload: the old configuration stays");
        aggregator.reload(&sound);
        aggregator.logged("reload: done");
        let stats = aggregator.call("GET", "/stats").body;
        for (name, value) in [("pool_ejected", "1|g"), ("config_rejected", "1|c"), ("config_applied", "1|c")]
        {
            assert_eq!(figure(&stats, name), value, "{wire:?} {name}: {stats}");
        }
    }
}

#[test]
fn an_end_that_has_begun_is_not_undone_by_hand() {
    let aggregator = Aggregator::start(Wire::Frames, 1);
    aggregator.board.act(0, Act::Silent);
    let held = aggregator.begin("run-lookup", &[0], 8000);
    aggregator.board.wait("the part", |state| state.parts.len() == 1);
    aggregator.signal("TERM");
    aggregator.logged("draining");
    assert_eq!(aggregator.call("PUT", "/healthcheck/ok").status, 409);
    assert_eq!(asks_health(&aggregator), 503);
    drop(held);
}

#[test]
fn a_run_store_that_is_out_by_hand_gets_nothing_until_it_is_called_back() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 2);
        for id in ["s-9", "s-0%", "", "s-0/x"] {
            let path = format!("/run-stores/{id}/maint");
            let status = aggregator.call("PUT", &path).status;
            assert!((400..500).contains(&status), "{wire:?} {path}: {status}");
        }
        assert_eq!(aggregator.call("GET", "/run-stores/s-0/maint").status, 405, "{wire:?}");
        let at = |since: usize| {
            aggregator.board.read(|state| state.parts[since..].iter().filter(|part| part.0 == 0).count())
        };
        for _ in 0..2 {
            assert_eq!(aggregator.call("PUT", "/run-stores/s-0/maint").status, 200, "{wire:?}");
        }
        assert_eq!(figure(&aggregator.call("GET", "/stats").body, "pool_ejected"), "1|g", "{wire:?}");
        // Neither a list that contains it, nor a reload, nor a new start time returns it to service.
        let told = [line(0, aggregator.stores[0], "ready", 5), line(1, aggregator.stores[1], "ready", 0)];
        aggregator.board.tell(json!(told));
        aggregator.reload(&aggregator.configuration(|_| {}));
        aggregator.logged("reload: done");
        for shard in 0..4 {
            assert!(aggregator.ask("run-lookup", &[shard], 8000).whole(), "{wire:?}");
        }
        assert_eq!(at(0), 0, "{wire:?}: no part is sent there");
        let since = aggregator.board.read(|state| state.parts.len());
        for _ in 0..2 {
            assert_eq!(aggregator.call("PUT", "/run-stores/s-0/ready").status, 200, "{wire:?}");
        }
        aggregator.board.tell(json!([line(1, aggregator.stores[1], "draining", 0)]));
        assert!(aggregator.ask("run-lookup", &[0], 8000).whole(), "{wire:?}");
        assert_eq!(at(since), 1, "{wire:?}: it is used again");
    }
}

#[test]
fn what_is_queued_for_a_run_store_goes_elsewhere_once_it_is_out() {
    for wire in WIRES {
        // One call at a time on each frames connection, so that further calls are queued.
        let aggregator = Aggregator::changed(wire, 2, |config, _| {
            config["settings"]["caps"]["streams_per_conn"] = json!(1);
        });
        aggregator.board.act(0, Act::Silent);
        aggregator.board.act(1, Act::Silent);
        let held: Vec<_> = (0..4).map(|shard| aggregator.begin("shift-entry", &[shard], 9000)).collect();
        aggregator
            .board
            .wait("a part at each run store", |state| (0..2).all(|at| state.parts.iter().any(|p| p.0 == at)));
        assert_eq!(aggregator.call("PUT", "/run-stores/s-0/maint").status, 200, "{wire:?}");
        // Parts written before the operator's answer may arrive after it.
        let tries = figure(&aggregator.call("GET", "/stats").body, "tries");
        let tries: usize = tries.trim_end_matches("|c").parse().unwrap();
        aggregator.board.wait("all parts that were written", |state| state.parts.len() >= tries);
        let before = aggregator.board.read(|state| state.parts.iter().filter(|part| part.0 == 0).count());
        aggregator.board.act(1, Act::Serve);
        for shard in 0..4 {
            assert!(aggregator.ask("run-lookup", &[shard], 9000).whole(), "{wire:?}");
        }
        let after = aggregator.board.read(|state| state.parts.iter().filter(|part| part.0 == 0).count());
        assert_eq!(after, before, "{wire:?}: no further part is sent there");
        drop(held);
    }
}
