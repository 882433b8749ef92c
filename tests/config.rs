//! An invalid configuration is rejected with the key and the line of the error.

use std::path::PathBuf;

use ironpaddle::config::Config;

const VALID: &str = r#"{
  "name": "n0",
  "listen": "127.0.0.1:0",
  "discovery": "127.0.0.1:1",
  "limits": {
    "sockets": 1024, "memory_mb": 192
  },
  "settings": {
    "balancers": 3,
    "tick_ms": 5.0,
    "domain": {
      "cells": 4,
      "width": 2,
      "least_share": [0.5, 1.0]
    },
    "caps": {
      "max_open": 10,
      "max_attempts": 3
    },
    "rules": {
      "warm_within_ms": 1000.0
    },
    "request_classes": [
      {"name": "a", "aim_ms": 100.0, "repeat": "read_like"},
      {"name": "b", "aim_ms": 100.0,
       "deadline_ms": 200.0,
       "window_ms": 50.0,
       "repeat": "idempotency_key"}
    ]
  }
}"#;

fn load(name: &str, text: &str) -> Result<Config, String> {
    let path: PathBuf = std::env::temp_dir().join(format!("ironpaddle-config-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let read = Config::load(&path);
    std::fs::remove_file(&path).unwrap();
    read
}

#[test]
fn each_invalid_value_is_rejected_with_its_key_and_line() {
    assert!(load("sound", VALID).is_ok());
    for (case, (from, to, key)) in [
        ("\"sockets\": 1024", "\"sockets\": 10", "limits.sockets"),
        ("\"memory_mb\": 192", "\"memory_mb\": 8", "limits.memory_mb"),
        ("\"memory_mb\": 192", "\"memory_mb\": -1", "limits.memory_mb"),
        ("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"nowhere\"", "listen"),
        ("\"balancers\": 3", "\"balancers\": 0", "settings.balancers"),
        ("\"tick_ms\": 5.0", "\"tick_ms\": 0", "settings.tick_ms"),
        ("\"cells\": 4", "\"cells\": 0", "settings.domain.cells"),
        ("\"width\": 2", "\"width\": 9", "settings.domain.width"),
        ("[0.5, 1.0]", "[0.5, 7.0]", "settings.domain.least_share"),
        ("\"max_open\": 10", "\"max_open\": 0", "settings.caps.max_open"),
        ("\"max_attempts\": 3", "\"max_attempts\": -1", "settings.caps.max_attempts"),
        ("\"warm_within_ms\": 1000.0", "\"warm_within_ms\": -5", "settings.rules.warm_within_ms"),
        ("\"deadline_ms\": 200.0", "\"deadline_ms\": -2", "settings.request_classes[1].deadline_ms"),
        ("\"window_ms\": 50.0", "\"window_ms\": -1", "settings.request_classes[1].window_ms"),
        ("\"repeat\": \"read_like\"", "\"repeat\": \"some\"", "settings.request_classes[0].repeat"),
        (
            "\"aim_ms\": 100.0, \"repeat\"",
            "\"aim_ms\": \"x\", \"repeat\"",
            "settings.request_classes[0].aim_ms",
        ),
        ("\"aim_ms\": 100.0, \"repeat\"", "\"aim_ms\": 1e999, \"repeat\"", "settings"),
    ]
    .into_iter()
    .enumerate()
    {
        assert_eq!(VALID.matches(from).count(), 1, "{from}");
        let line = VALID[..VALID.find(from).unwrap()].matches('\n').count() + 1;
        let error = load(&case.to_string(), &VALID.replace(from, to)).expect_err(key);
        assert!(error.contains(&format!("key {key}")), "{error}");
        assert!(error.contains(&format!("line {line}")), "line {line}: {error}");
    }
}

#[test]
fn zero_and_large_values_are_accepted_where_they_are_valid() {
    for (from, to) in [
        ("\"warm_within_ms\": 1000.0", "\"warm_within_ms\": 0, \"ask_every_ms\": 0, \"fall_multiple\": 0"),
        ("\"window_ms\": 50.0", "\"window_ms\": 0"),
        ("[0.5, 1.0]", "[0, 1]"),
        ("\"max_open\": 10", "\"max_open\": 4000000000"),
    ] {
        load("zero", &VALID.replace(from, to)).expect(to);
    }
}

#[test]
fn missing_fields_and_malformed_json_are_rejected_with_a_line() {
    for text in ["", "{", "[]", "{\"name\": 3}", &VALID.replace("\"name\": \"n0\",", "")] {
        let error = load("cut", text).expect_err("invalid configuration");
        assert!(error.contains("line "), "{text:?}: {error}");
    }
}
