//! Reloads of the settings by SIGHUP.

use serde_json::{json, Value};

use crate::aggregator::{read_answer, Aggregator};
use crate::stand_in::{Behavior, WIRES};

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
