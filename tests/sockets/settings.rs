//! Reloads of the settings by SIGHUP.

use std::io::Write;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::aggregator::{read_answer, Aggregator};
use crate::stand_in::{on_both_wires, Behavior, Wire, WIRES};

/// The longest deadline of the classes that a reload leaves.
const DEADLINE_MS: u32 = 1000;
/// The time from SIGTERM to SIGKILL by the platform with this deadline.
const KILL_DELAY: Duration = Duration::from_millis(DEADLINE_MS as u64 + 700);

/// Renames the class `run-lookup` and makes its parts unsafe to repeat.
fn rename_class(config: &mut Value) {
    config["settings"]["request_classes"][1]["name"] = json!("run-lookup-next");
    config["settings"]["request_classes"][1]["repeat"] = json!("non_idempotent");
}

#[test]
fn a_reload_replaces_classes_and_queries_in_flight_keep_theirs() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 2);
        for store in 0..2 {
            aggregator.backends.set_behavior(store, Behavior::NeverAnswer);
        }
        let mut held = aggregator.send_query("run-lookup", &[0], 9000);
        aggregator.backends.wait("the part", |state| state.parts.len() == 1);
        assert_eq!(aggregator.ask("run-lookup-next", &[0], 9000).status, 404, "{wire:?}");
        aggregator.reload(&aggregator.configuration(rename_class));
        aggregator.wait_for_log("reload: done");
        assert_eq!(
            aggregator.ask("run-lookup", &[0], 9000).status,
            404,
            "{wire:?}: the class no longer exists"
        );
        let mut new = aggregator.send_query("run-lookup-next", &[1], 700);
        aggregator.backends.wait("its part", |state| state.parts.iter().any(|part| part.1 == 1));
        assert_eq!(read_answer(&mut new).status, 500, "{wire:?}: the new class must not be repeated");
        let of_new = aggregator.backends.read(|state| state.parts.iter().filter(|part| part.1 == 1).count());
        assert_eq!(of_new, 1, "{wire:?}");
        // The part of the old class may be repeated, and is, as its run store does not answer.
        for store in 0..2 {
            aggregator.backends.set_behavior(store, Behavior::Serve);
        }
        assert!(read_answer(&mut held).is_whole(), "{wire:?}: served by another attempt");
        let stats = aggregator.call_operator("GET", "/stats").body;
        for line in ["responses.run-lookup.ok:1|c", "responses.run-lookup-next.errors:1|c"] {
            assert!(stats.contains(line), "{wire:?} {line}: {stats}");
        }
    }
}

#[test]
fn new_limits_apply_from_the_reload_on() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 2);
        for store in 0..2 {
            aggregator.backends.set_behavior(store, Behavior::Error);
        }
        assert_eq!(aggregator.ask("run-lookup", &[0], 9000).status, 500, "{wire:?}");
        assert_eq!(aggregator.backends.read(|state| state.parts.len()), 3, "{wire:?}");
        aggregator.reload(&aggregator.configuration(|config| {
            config["settings"]["caps"]["max_attempts"] = json!(1);
            config["settings"]["caps"]["max_open"] = json!(2);
        }));
        aggregator.wait_for_log("reload: done");
        assert_eq!(aggregator.ask("run-lookup", &[0], 9000).status, 500, "{wire:?}");
        assert_eq!(aggregator.backends.read(|state| state.parts.len()), 4, "{wire:?}: only one attempt");
        aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
        aggregator.backends.set_behavior(1, Behavior::NeverAnswer);
        let held = aggregator.send_query("run-lookup", &[1, 2], 9000);
        aggregator.backends.wait("both parts", |state| state.parts.len() == 6);
        assert!(aggregator.ask("run-lookup", &[0], 9000).is_refused(), "{wire:?}");
        drop(held);
    }
}

#[test]
fn no_setting_of_an_invalid_file_takes_effect() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        let whole = aggregator.configuration(|_| {});
        let broken = |change: fn(&mut Value)| {
            let mut config = serde_json::from_str(&whole).unwrap();
            rename_class(&mut config);
            change(&mut config);
            config.to_string()
        };
        let files = [
            (String::new(), "EOF"),
            (whole[..whole.len() / 2].to_string(), "EOF"),
            (broken(|config| config["settings"] = Value::Null), "key settings:"),
            (
                broken(|config| config["settings"]["request_classes"][1]["deadline_ms"] = json!(0)),
                "deadline_ms:",
            ),
            (
                broken(|config| config["settings"]["request_classes"][1]["deadline_ms"] = json!(null)),
                "deadline_ms:",
            ),
            (broken(|config| config["settings"]["caps"]["max_attempts"] = json!(-1)), "max_attempts:"),
            (broken(|config| config["settings"]["caps"]["max_attempts"] = json!(0)), "attempts"),
            (
                broken(|config| {
                    config["settings"]["caps"].as_object_mut().unwrap().remove("max_attempts");
                }),
                "max_attempts: is missing",
            ),
        ];
        for (file, fault) in &files {
            aggregator.reload(file);
            let line = aggregator.wait_for_log("reload: the old configuration stays");
            assert!(line.contains(fault), "{wire:?}: {line}");
            assert!(aggregator.ask("run-lookup", &[0], 9000).is_whole(), "{wire:?}: {line}");
            assert_eq!(aggregator.ask("run-lookup-next", &[0], 9000).status, 404, "{wire:?}: {line}");
        }
        let stats = aggregator.call_operator("GET", "/stats").body;
        let counted = format!("aggregator.config_rejected:{}|c", files.len());
        assert!(stats.contains(&counted) && stats.contains("aggregator.config_applied:0|c"), "{stats}");
    }
}

/// Sets the deadline of each class: run-search, run-lookup, shift-entry.
fn set_deadlines(config: &mut Value, deadlines_ms: [u32; 3]) {
    for (class, deadline) in deadlines_ms.into_iter().enumerate() {
        let class = &mut config["settings"]["request_classes"][class];
        (class["aim_ms"], class["deadline_ms"]) = (json!(700), json!(deadline));
    }
}

/// Removes the class `run-search`, which has the longest deadline.
fn remove_class(config: &mut Value) {
    for list in ["/request_classes", "/domain/complete_from", "/domain/least_share"] {
        config["settings"].pointer_mut(list).unwrap().as_array_mut().unwrap().remove(0);
    }
}

/// When the query that is open at a reload, whose class the reload changes, ends.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    BeforeShutdown,
    DuringShutdown,
}

/// Reloads the settings while a query is open, later sends SIGTERM, and asserts that all requests are answered and the
/// process exits before the platform may kill it by the settings in force.
fn assert_exits_in_time(wire: Wire, change: fn(&mut Value), end: End) {
    let mut aggregator = Aggregator::start_with_config(wire, 1, |config, _| {
        set_deadlines(config, [3000, DEADLINE_MS, DEADLINE_MS]);
    });
    aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
    let mut open = Some(aggregator.send_query("run-search", &[0], 3000));
    aggregator.backends.wait("the part", |state| state.parts.len() == 1);
    aggregator.reload(&aggregator.configuration(change));
    aggregator.wait_for_log("reload: done");
    if end == End::BeforeShutdown {
        open = None;
        while !aggregator.call_operator("GET", "/stats").body.contains("aggregator.active:0|g") {}
    }
    let request = aggregator.query_bytes("", "shift-entry", &[1], DEADLINE_MS);
    let (begun, rest) = request.split_at(request.len() / 2);
    let mut late = aggregator.connect();
    late.write_all(begun.as_bytes()).unwrap();
    let signalled = Instant::now();
    aggregator.signal("TERM");
    aggregator.wait_for_log("draining");
    // A request that began before SIGTERM becomes complete more than 0.7 s after it.
    std::thread::sleep(Duration::from_millis(900).saturating_sub(signalled.elapsed()));
    late.write_all(rest.as_bytes()).unwrap();
    for client in open.iter_mut().chain([&mut late]) {
        let answer = read_answer(client);
        assert!(answer.status >= 429, "{wire:?} {end:?}: {answer:?}");
        assert!(signalled.elapsed() < KILL_DELAY, "{wire:?} {end:?}: answered {:?}", signalled.elapsed());
    }
    assert_eq!(aggregator.wait().code(), Some(0), "{wire:?} {end:?}");
    assert!(signalled.elapsed() < KILL_DELAY, "{wire:?} {end:?}: exited {:?}", signalled.elapsed());
}

/// Guards against a shutdown that still waits for the deadline of a class that a reload has removed, until the platform
/// kills the process with requests unanswered.
#[test]
fn a_class_removed_while_its_query_was_open_does_not_prolong_a_shutdown() {
    on_both_wires(|wire| assert_exits_in_time(wire, remove_class, End::BeforeShutdown));
}

/// Guards against the same if the class stays and its deadline becomes shorter.
#[test]
fn a_deadline_shortened_while_a_query_was_open_does_not_prolong_a_shutdown() {
    on_both_wires(|wire| {
        assert_exits_in_time(wire, |config| set_deadlines(config, [DEADLINE_MS; 3]), End::BeforeShutdown);
    });
}

/// Guards against the same while the query of the removed class is still open at SIGTERM.
#[test]
fn an_open_query_of_a_removed_class_does_not_prolong_a_shutdown() {
    on_both_wires(|wire| assert_exits_in_time(wire, remove_class, End::DuringShutdown));
}
