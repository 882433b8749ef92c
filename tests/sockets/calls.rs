//! The operators' interface, which has an address of its own.

use std::io::{Read, Write};
use std::net::TcpStream;

use serde_json::json;

use crate::aggregator::{endpoint, read_answer, Aggregator};
use crate::stand_in::{Behavior, Wire, WIRES};

/// Returns the status of `GET /healthz` as a client sees it.
pub fn health_status(aggregator: &Aggregator) -> u16 {
    let mut stream = aggregator.connect();
    stream.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
    read_answer(&mut stream).status
}

#[test]
fn unknown_operator_calls_get_a_4xx() {
    let aggregator = Aggregator::start(Wire::Frames, 1);
    assert_eq!(aggregator.call_operator("GET", "/healthcheck").status, 200);
    for (method, path, status) in [
        ("GET", "/", 404),
        ("GET", "/healthz", 404),
        ("POST", "/run-lookup", 404),
        ("PUT", "/healthcheck", 405),
        ("GET", "/healthcheck/fail", 405),
        ("PUT", "/healthcheck/fail/now", 404),
    ] {
        assert_eq!(aggregator.call_operator(method, path).status, status, "{method} {path}");
    }
    assert_eq!(health_status(&aggregator), 200, "none of these calls has an effect");
}

#[test]
fn no_operators_interface_without_its_configuration_key() {
    let aggregator =
        Aggregator::start_with_config(Wire::Frames, 1, |config, _| config["operator"] = json!(null));
    assert!(aggregator.operator.is_none());
    assert!(!aggregator.logged_at_start("operators call"));
}

#[test]
fn silent_and_incomplete_operator_calls_do_not_delay_others() {
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
    assert_eq!(aggregator.call_operator("GET", "/healthcheck").status, 200);
    drop(slow);
}

#[test]
fn clients_cannot_use_up_the_connections_of_operators() {
    let aggregator =
        Aggregator::start_with_config(Wire::Frames, 1, |config, _| config["limits"]["sockets"] = json!(128));
    aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
    // There is room for 42 queries, and for six connections that are refused.
    let held: Vec<_> = (0..48).map(|n| aggregator.send_query("run-lookup", &[n % 4], 9000)).collect();
    aggregator.backends.wait("the queries", |state| state.parts.len() >= 42);
    assert_eq!(aggregator.call_operator("GET", "/healthcheck").status, 200);
    drop(held);
}

#[test]
fn an_operators_drain_closes_every_connection_and_can_be_undone() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        let mut idle = aggregator.connect();
        idle.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(read_answer(&mut idle).status, 200, "{wire:?}");
        aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
        let mut held = aggregator.send_query("run-lookup", &[0], 900);
        aggregator.backends.wait("the part", |state| state.parts.len() == 1);
        for _ in 0..2 {
            assert_eq!(aggregator.call_operator("PUT", "/healthcheck/fail").status, 200, "{wire:?}");
            assert_eq!(health_status(&aggregator), 503, "{wire:?}");
        }
        // The process still accepts connections, and closes each after one answer.
        aggregator.backends.set_behavior(0, Behavior::Serve);
        let late = aggregator.ask("run-lookup", &[1], 8000);
        assert!(late.is_whole() && late.head.contains("\r\nconnection: close"), "{wire:?}: {late:?}");
        assert_eq!(idle.read(&mut [0]).unwrap(), 0, "{wire:?}: an idle connection is closed");
        let mut silent = aggregator.connect();
        assert_eq!(
            silent.read(&mut [0]).unwrap(),
            0,
            "{wire:?}: a new connection without a request is closed"
        );
        assert!(
            read_answer(&mut held).head.contains("\r\nconnection: close"),
            "{wire:?}: the query in flight is answered"
        );
        assert_eq!(
            aggregator.call_operator("GET", "/healthcheck").status,
            200,
            "{wire:?}: the process keeps running"
        );
        for _ in 0..2 {
            assert_eq!(aggregator.call_operator("PUT", "/healthcheck/ok").status, 200, "{wire:?}");
            assert_eq!(health_status(&aggregator), 200, "{wire:?}");
        }
        let again = aggregator.ask("run-lookup", &[2], 8000);
        assert!(again.is_whole() && !again.head.contains("connection: close"), "{wire:?}: {again:?}");
    }
}

/// Returns value and type of a metric in the body of `GET /stats`.
fn metric(stats: &str, name: &str) -> String {
    let line = stats.lines().find_map(|line| line.strip_prefix(&format!("aggregator.{name}:")));
    line.unwrap_or_else(|| panic!("no {name} in {stats}")).to_string()
}

#[test]
fn metrics_count_every_outcome_by_class_and_every_written_attempt() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 2);
        let stats = aggregator.call_operator("GET", "/stats").body;
        for class in ["run-search", "run-lookup", "shift-entry"] {
            for end in ["ok", "shed", "errors"] {
                assert_eq!(metric(&stats, &format!("responses.{class}.{end}")), "0|c", "{wire:?}");
            }
        }
        assert!(aggregator.ask("run-lookup", &[0, 1], 8000).is_whole(), "{wire:?}");
        assert_eq!(aggregator.ask("no-such-class", &[0], 8000).status, 404, "{wire:?}");
        // An invalid query counts as an error of its class.
        assert_eq!(aggregator.ask("run-search", &[9], 8000).status, 400, "{wire:?}");
        let both = [Behavior::Error, Behavior::NeverAnswer].map(|behavior| {
            aggregator.backends.set_behavior(0, behavior);
            aggregator.backends.set_behavior(1, behavior);
            // The queries before have sent two parts.
            let parts = aggregator.backends.read(|state| state.parts.len());
            let held = aggregator.send_query("shift-entry", &[2], 9000);
            aggregator.backends.wait("the part", |state| state.parts.len() > parts);
            held
        });
        let [mut failed, held] = both;
        assert_eq!(read_answer(&mut failed).status, 500, "{wire:?}");
        let stats = aggregator.call_operator("GET", "/stats").body;
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
            assert_eq!(metric(&stats, name), value, "{wire:?} {name}: {stats}");
        }
        drop(held);
        aggregator.wait_for_log("code=client_gone");
        assert_eq!(metric(&aggregator.call_operator("GET", "/stats").body, "active"), "0|g", "{wire:?}");
        aggregator.backends.publish_and_wait(json!([endpoint(0, aggregator.stores[0], "draining", 0)]));
        let sound = aggregator.configuration(|_| {});
        aggregator.reload("{");
        aggregator.wait_for_log("reload: the old configuration stays");
        aggregator.reload(&sound);
        aggregator.wait_for_log("reload: done");
        let stats = aggregator.call_operator("GET", "/stats").body;
        for (name, value) in [("pool_ejected", "1|g"), ("config_rejected", "1|c"), ("config_applied", "1|c")]
        {
            assert_eq!(metric(&stats, name), value, "{wire:?} {name}: {stats}");
        }
    }
}

#[test]
fn an_operator_cannot_undo_a_shutdown() {
    let aggregator = Aggregator::start(Wire::Frames, 1);
    aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
    let held = aggregator.send_query("run-lookup", &[0], 8000);
    aggregator.backends.wait("the part", |state| state.parts.len() == 1);
    aggregator.signal("TERM");
    aggregator.wait_for_log("draining");
    assert_eq!(aggregator.call_operator("PUT", "/healthcheck/ok").status, 409);
    assert_eq!(health_status(&aggregator), 503);
    drop(held);
}

#[test]
fn a_run_store_in_maintenance_gets_no_parts_until_it_is_returned_to_service() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 2);
        for id in ["s-9", "s-0%", "", "s-0/x"] {
            let path = format!("/run-stores/{id}/maint");
            let status = aggregator.call_operator("PUT", &path).status;
            assert!((400..500).contains(&status), "{wire:?} {path}: {status}");
        }
        assert_eq!(aggregator.call_operator("GET", "/run-stores/s-0/maint").status, 405, "{wire:?}");
        let at = |since: usize| {
            aggregator.backends.read(|state| state.parts[since..].iter().filter(|part| part.0 == 0).count())
        };
        for _ in 0..2 {
            assert_eq!(aggregator.call_operator("PUT", "/run-stores/s-0/maint").status, 200, "{wire:?}");
        }
        assert_eq!(
            metric(&aggregator.call_operator("GET", "/stats").body, "pool_ejected"),
            "1|g",
            "{wire:?}"
        );
        // Neither a list that contains it, nor a reload, nor a new start time returns it to service.
        let endpoints =
            [endpoint(0, aggregator.stores[0], "ready", 5), endpoint(1, aggregator.stores[1], "ready", 0)];
        aggregator.backends.publish_and_wait(json!(endpoints));
        aggregator.reload(&aggregator.configuration(|_| {}));
        aggregator.wait_for_log("reload: done");
        for shard in 0..4 {
            assert!(aggregator.ask("run-lookup", &[shard], 8000).is_whole(), "{wire:?}");
        }
        assert_eq!(at(0), 0, "{wire:?}: no part is sent there");
        let since = aggregator.backends.read(|state| state.parts.len());
        for _ in 0..2 {
            assert_eq!(aggregator.call_operator("PUT", "/run-stores/s-0/ready").status, 200, "{wire:?}");
        }
        aggregator.backends.publish_and_wait(json!([endpoint(1, aggregator.stores[1], "draining", 0)]));
        assert!(aggregator.ask("run-lookup", &[0], 8000).is_whole(), "{wire:?}");
        assert_eq!(at(since), 1, "{wire:?}: it is used again");
    }
}

#[test]
fn parts_queued_for_a_run_store_are_rerouted_when_it_enters_maintenance() {
    for wire in WIRES {
        // One call at a time on each frames connection, so that further calls are queued.
        let aggregator = Aggregator::start_with_config(wire, 2, |config, _| {
            config["settings"]["caps"]["streams_per_conn"] = json!(1);
        });
        aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
        aggregator.backends.set_behavior(1, Behavior::NeverAnswer);
        let held: Vec<_> = (0..4).map(|shard| aggregator.send_query("shift-entry", &[shard], 9000)).collect();
        aggregator
            .backends
            .wait("a part at each run store", |state| (0..2).all(|at| state.parts.iter().any(|p| p.0 == at)));
        assert_eq!(aggregator.call_operator("PUT", "/run-stores/s-0/maint").status, 200, "{wire:?}");
        // Parts written before the operator's answer may arrive after it.
        let tries = metric(&aggregator.call_operator("GET", "/stats").body, "tries");
        let tries: usize = tries.trim_end_matches("|c").parse().unwrap();
        aggregator.backends.wait("all parts that were written", |state| state.parts.len() >= tries);
        let before = aggregator.backends.read(|state| state.parts.iter().filter(|part| part.0 == 0).count());
        aggregator.backends.set_behavior(1, Behavior::Serve);
        for shard in 0..4 {
            assert!(aggregator.ask("run-lookup", &[shard], 9000).is_whole(), "{wire:?}");
        }
        let after = aggregator.backends.read(|state| state.parts.iter().filter(|part| part.0 == 0).count());
        assert_eq!(after, before, "{wire:?}: no further part is sent there");
        drop(held);
    }
}
