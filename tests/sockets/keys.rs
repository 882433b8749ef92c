//! Classes whose retries run stores recognize by an idempotency key, and pushed lists.

use serde_json::json;

use crate::aggregator::{endpoint, read_answer, Aggregator};
use crate::stand_in::{Behavior, Wire, WIRES};

/// Starts an aggregator whose class `shift-entry` requires an idempotency key.
fn start_with_keyed_class(wire: Wire) -> Aggregator {
    Aggregator::start_with_config(wire, 2, |config, _| {
        config["settings"]["request_classes"][2]["repeat"] = json!("idempotency_key");
    })
}

/// Returns the header line of an idempotency key.
fn key_header(value: &str) -> String {
    format!("Idempotency-Key: {value}\r\n")
}

#[test]
fn only_attempts_of_a_keyed_class_carry_the_clients_key() {
    for wire in WIRES {
        let aggregator = start_with_keyed_class(wire);
        aggregator.backends.set_behavior(0, Behavior::Error);
        aggregator.backends.set_behavior(1, Behavior::Error);
        let lines = key_header("5c0f=6e1a");
        assert_eq!(
            read_answer(&mut aggregator.send_query_with_headers(&lines, "shift-entry", &[1], 9000)).status,
            500
        );
        let keys = aggregator.backends.read(|state| state.idempotency_keys.clone());
        assert_eq!(keys, vec![Some("5c0f=6e1a".to_string()); 3], "{wire:?}");
        aggregator.backends.set_behavior(0, Behavior::Serve);
        aggregator.backends.set_behavior(1, Behavior::Serve);
        // Other classes ignore the header, valid or not.
        for lines in [key_header("5c0f"), key_header("a,b c"), key_header("")] {
            assert!(
                read_answer(&mut aggregator.send_query_with_headers(&lines, "run-lookup", &[1], 9000))
                    .is_whole(),
                "{wire:?}"
            );
        }
        assert!(
            aggregator.backends.read(|state| state.idempotency_keys[3..].iter().all(Option::is_none)),
            "{wire:?}"
        );
    }
}

#[test]
fn a_keyed_query_without_exactly_one_valid_key_is_rejected_and_sends_no_part() {
    for wire in WIRES {
        let aggregator = start_with_keyed_class(wire);
        let twice = key_header("a") + &key_header("a");
        let long = key_header(&"a".repeat(129));
        for lines in [
            String::new(),
            key_header(""),
            twice,
            long,
            key_header("a,b"),
            key_header("a b"),
            key_header("a\u{e9}"),
        ] {
            let answer =
                read_answer(&mut aggregator.send_query_with_headers(&lines, "shift-entry", &[1], 9000));
            assert_eq!(answer.status, 400, "{wire:?} {lines:?}: {answer:?}");
            assert!(answer.body.contains("Idempotency-Key"), "{wire:?} {lines:?}: {answer:?}");
        }
        assert_eq!(aggregator.backends.read(|state| state.parts.len()), 0, "{wire:?}");
    }
}

#[test]
fn a_class_that_a_reload_makes_keyed_requires_a_key_afterwards() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 2);
        assert!(aggregator.ask("run-lookup", &[0], 9000).is_whole(), "{wire:?}");
        aggregator.reload(&aggregator.configuration(|config| {
            config["settings"]["request_classes"][1]["repeat"] = json!("idempotency_key");
        }));
        aggregator.wait_for_log("reload: done");
        assert_eq!(aggregator.ask("run-lookup", &[0], 9000).status, 400, "{wire:?}");
        assert!(
            read_answer(&mut aggregator.send_query_with_headers(&key_header("k1"), "run-lookup", &[0], 9000))
                .is_whole(),
            "{wire:?}"
        );
        let keys = aggregator.backends.read(|state| state.idempotency_keys.clone());
        assert_eq!(keys, [None, Some("k1".to_string())], "{wire:?}");
    }
}

/// With pushed lists, a change that the local agent holds must be in effect at once, so the watch must be reopened
/// after its calls have failed.
#[test]
fn the_watch_of_pushed_lists_is_reopened_after_the_agent_fails() {
    for wire in WIRES {
        let aggregator = Aggregator::start_with_config(wire, 2, |config, _| {
            config["settings"]["discovery"] = json!("automatic");
        });
        aggregator.backends.change(|state| state.discovery_failures = 3);
        // The call in flight is answered first; the next ones fail.
        aggregator.backends.publish_and_wait(json!([endpoint(0, aggregator.stores[0], "draining", 0)]));
        aggregator.backends.wait("the failures", |state| state.discovery_failures == 0);
        aggregator.backends.publish_and_wait(json!([
            endpoint(0, aggregator.stores[0], "ready", 0),
            endpoint(1, aggregator.stores[1], "draining", 0)
        ]));
        assert!(aggregator.ask("run-lookup", &[0], 9000).is_whole(), "{wire:?}");
        assert_eq!(aggregator.backends.read(|state| state.parts.clone()), [(0, 0)], "{wire:?}");
    }
}
