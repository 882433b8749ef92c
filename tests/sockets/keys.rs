//! Classes whose retries run stores recognize by an idempotency key, and pushed lists.

use serde_json::json;

use crate::aggregator::{answer, line, Aggregator};
use crate::stand_in::{Act, Wire, WIRES};

/// Starts an aggregator whose class `shift-entry` requires an idempotency key.
fn keyed(wire: Wire) -> Aggregator {
    Aggregator::changed(wire, 2, |config, _| {
        config["settings"]["request_classes"][2]["repeat"] = json!("idempotency_key");
    })
}

/// Returns the header line of an idempotency key.
fn key(value: &str) -> String {
    format!("Idempotency-Key: {value}\r\n")
}

#[test]
fn every_attempt_of_a_keyed_class_carries_its_clients_key_and_no_other_class_does() {
    for wire in WIRES {
        let aggregator = keyed(wire);
        aggregator.board.act(0, Act::Error);
        aggregator.board.act(1, Act::Error);
        let lines = key("5c0f=6e1a");
        assert_eq!(answer(&mut aggregator.begin_with(&lines, "shift-entry", &[1], 9000)).status, 500);
        let keys = aggregator.board.read(|state| state.keys.clone());
        assert_eq!(keys, vec![Some("5c0f=6e1a".to_string()); 3], "{wire:?}");
        aggregator.board.act(0, Act::Serve);
        aggregator.board.act(1, Act::Serve);
        // Other classes ignore the header, valid or not.
        for lines in [key("5c0f"), key("a,b c"), key("")] {
            assert!(answer(&mut aggregator.begin_with(&lines, "run-lookup", &[1], 9000)).whole(), "{wire:?}");
        }
        assert!(aggregator.board.read(|state| state.keys[3..].iter().all(Option::is_none)), "{wire:?}");
    }
}

#[test]
fn a_query_of_a_keyed_class_without_one_sound_key_is_a_bad_request_and_reaches_no_run_store() {
    for wire in WIRES {
        let aggregator = keyed(wire);
        let twice = key("a") + &key("a");
        let long = key(&"a".repeat(129));
        for lines in [String::new(), key(""), twice, long, key("a,b"), key("a b"), key("a\u{e9}")] {
            let answer = answer(&mut aggregator.begin_with(&lines, "shift-entry", &[1], 9000));
            assert_eq!(answer.status, 400, "{wire:?} {lines:?}: {answer:?}");
            assert!(answer.body.contains("Idempotency-Key"), "{wire:?} {lines:?}: {answer:?}");
        }
        assert_eq!(aggregator.board.read(|state| state.parts.len()), 0, "{wire:?}");
    }
}

#[test]
fn a_class_that_a_reload_makes_keyed_needs_a_key_from_then_on() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 2);
        assert!(aggregator.ask("run-lookup", &[0], 9000).whole(), "{wire:?}");
        aggregator.reload(&aggregator.configuration(|config| {
            config["settings"]["request_classes"][1]["repeat"] = json!("idempotency_key");
        }));
        aggregator.logged("reload: done");
        assert_eq!(aggregator.ask("run-lookup", &[0], 9000).status, 400, "{wire:?}");
        assert!(answer(&mut aggregator.begin_with(&key("k1"), "run-lookup", &[0], 9000)).whole(), "{wire:?}");
        let keys = aggregator.board.read(|state| state.keys.clone());
        assert_eq!(keys, [None, Some("k1".to_string())], "{wire:?}");
    }
}

/// With pushed lists, a change that the local agent holds must be in effect at once, so the watch must be reopened
/// after its calls have failed.
#[test]
fn pushed_lists_are_watched_again_after_the_agent_broke_off() {
    for wire in WIRES {
        let aggregator = Aggregator::changed(wire, 2, |config, _| {
            config["settings"]["discovery"] = json!("automatic");
        });
        aggregator.board.change(|state| state.failures = 3);
        // The call in flight is answered first; the next ones fail.
        aggregator.board.tell(json!([line(0, aggregator.stores[0], "draining", 0)]));
        aggregator.board.wait("the failures", |state| state.failures == 0);
        aggregator.board.tell(json!([
            line(0, aggregator.stores[0], "ready", 0),
            line(1, aggregator.stores[1], "draining", 0)
        ]));
        assert!(aggregator.ask("run-lookup", &[0], 9000).whole(), "{wire:?}");
        assert_eq!(aggregator.board.read(|state| state.parts.clone()), [(0, 0)], "{wire:?}");
    }
}
