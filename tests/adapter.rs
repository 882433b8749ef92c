//! Tests `ironpaddle-simhost` end to end with hand-written batches.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{json, Value};

fn play(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ironpaddle-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    // The adapter may have stopped at bad input before all of it is written.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

fn replies(output: &Output) -> Vec<Value> {
    let text = String::from_utf8(output.stdout.clone()).expect("UTF-8");
    text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect()
}

fn hello() -> Value {
    json!({"type": "HELLO", "co-ordinator": 3, "entropy": 11, "info": {
        "balancers": 2, "caps": {"max_attempts": 3, "may_cancel": true, "probes": true},
        "domain": {"cells": 1, "width": 1, "shards": 2, "bundle_max": 4, "overhead_ms": 1.0},
        "request_classes": [{"name": "read", "aim_ms": 500.0, "repeat": "read_like", "unknown": 1}],
        "tick_ms": 5.0, "unheard_of": {"x": 1}}})
}

fn list() -> [Value; 2] {
    [
        json!({"type": "REGISTER", "sheet": 0, "members_list": [
            {"replica": "r-1", "campus": "z", "sku": "k", "place": 0, "stage_state": "in_service", "heft": 1}]}),
        json!({"type": "REGISTRY", "co-ordinator": 3, "stamp": 1, "sheet": 0, "kind": "stale_copy"}),
    ]
}

fn accept(id: &str, slab: i64) -> Value {
    json!({"type": "ACCEPT", "co-ordinator": 3, "request_id": id, "grade": "read", "user_group": null,
        "partition_key": null, "valid_until_ms": 2000.0, "work_hint_ms": null, "job_no": 1, "slab": slab,
        "amount": 1.0, "repeat": false, "write": false})
}

fn batch(now: f64, seq: u64, events: &[Value]) -> String {
    format!("{}\n", json!({"now_ms": now, "seq": seq, "events": events}))
}

#[test]
fn a_query_is_sent_and_answered() {
    let [register, registry] = list();
    let closed = json!({"type": "CLOSED_ATTEMPT", "co-ordinator": 3, "request_id": "p", "last": true,
        "delay_seen_ms": 40.0, "replica": "r-1", "status": "completed", "attempt": 0, "report": null});
    let input = batch(0.0, 1, &[])
        + &batch(5.0, 2, &[hello(), register, registry])
        + &batch(10.0, 3, &[accept("q", -1), accept("p", 0)])
        + &batch(50.0, 4, &[closed]);
    let output = play(&input);
    assert!(output.status.success());
    let replies = replies(&output);
    assert_eq!(replies[0], json!({"seq": 1, "cmds": []}));
    let has = |reply: usize, kind: &str| {
        replies[reply]["cmds"].as_array().expect("cmds").iter().find(|c| c["type"] == kind).cloned()
    };
    let send = has(2, "HAND_OFF").expect("a send");
    assert_eq!((&send["request_id"], &send["replica"]), (&json!("p"), &json!("r-1")));
    let answer = has(3, "SETTLE_QUERY").expect("an answer");
    assert_eq!((&answer["request_id"], &answer["entire"]), (&json!("q"), &json!(true)));
}

#[test]
fn a_sheet_reused_within_a_batch_means_what_it_meant_at_each_event() {
    let [register, registry] = list();
    let empty = json!({"type": "REGISTER", "sheet": 0, "members_list": []});
    let events = [hello(), register, registry, empty, accept("q", -1), accept("p", 0)];
    let output = play(&batch(5.0, 1, &events));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("HAND_OFF"), "{text}");
}

#[test]
fn a_restart_forgets_all() {
    let [register, registry] = list();
    let down = json!({"type": "DOWN", "co-ordinator": 3});
    let mut again = hello();
    again["entropy"] = json!(12);
    let input = batch(5.0, 1, &[hello(), register, registry.clone()])
        + &batch(10.0, 2, &[accept("q", -1), accept("p", 0)])
        + &batch(15.0, 3, &[down, again, registry]);
    let output = play(&input);
    assert!(output.status.success());
    let last = replies(&output).pop().expect("a reply").to_string();
    assert!(!last.contains("\"q\""), "{last}");
}

#[test]
fn bad_input_ends_with_a_plain_message_and_no_panic() {
    let zero_cells = {
        let mut hello = hello();
        hello["info"]["domain"]["cells"] = json!(0);
        batch(5.0, 1, &[hello])
    };
    let cases = [
        ("not json\n".to_string(), "batch 1"),
        ("{\"events\":[]}\n".to_string(), "now_ms"),
        (batch(5.0, 1, &[json!({"type": "NOVELTY"})]), "NOVELTY"),
        (batch(5.0, 1, &[json!({"type": "TICK_DUE"})]), "co-ordinator"),
        (batch(5.0, 1, &[json!({"type": "TICK_DUE", "co-ordinator": 9, "cookie": "x"})]), "9"),
        (batch(5.0, 1, &[hello(), list()[1].clone()]), "sheet"),
        (zero_cells, "cells"),
    ];
    for (input, names) in cases {
        let output = play(&input);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{input}");
        assert!(error.contains(names) && error.contains("batch 1"), "{input}: {error}");
        assert!(!error.contains("panicked"), "{error}");
        assert!(output.stdout.is_empty());
    }
}

#[test]
fn idle_connections_are_let_go_in_the_wires_form() {
    let [register, registry] = list();
    let mut hello = hello();
    hello["info"]["caps"]["keepalive_ms"] = json!(15000.0);
    let part = |id: &str, job: u64, slab: i64, now: f64| {
        let mut accept = accept(id, slab);
        accept["job_no"] = json!(job);
        accept["valid_until_ms"] = json!(now + 2000.0);
        accept
    };
    let closed = |id: &str, status: &str| {
        let delay = if status == "severed" { 1.0 } else { 5.0 };
        json!({"type": "CLOSED_ATTEMPT", "co-ordinator": 3, "request_id": id, "last": true, "delay_seen_ms": delay,
            "replica": "r-1", "status": status, "attempt": 0, "report": null})
    };
    let tick = json!({"type": "TICK_DUE", "co-ordinator": 3, "cookie": "wake"});
    let mut input = batch(5.0, 1, &[hello, register, registry]);
    let (mut now, mut seq) = (10.0, 2);
    // The first part is served. Each later one is sent after the connection was idle for longer than the aim, and its
    // connection fails at once.
    for (job, status) in (1u64..).zip(["completed", "severed", "severed", "severed"]) {
        let (query, id) = (format!("q{job}"), format!("p{job}"));
        input += &batch(now, seq, &[part(&query, job, -1, now), part(&id, job, 0, now)]);
        input += &batch(now + 5.0, seq + 1, &[closed(&id, status)]);
        let gone = json!({"type": "LAPSED", "co-ordinator": 3, "request_id": query});
        input += &batch(now + 10.0, seq + 2, &[gone]);
        if job > 1 {
            let mut again = closed(&id, "completed");
            again["attempt"] = json!(1);
            input += &batch(now + 12.0, seq + 3, &[again]);
        }
        // The requested wakes arrive in time, so the module does not conclude that it was stalled itself.
        let wakes = (2..24).map(|n| now + 25.0 * f64::from(n));
        for wake in wakes {
            input += &batch(wake, seq + 4, std::slice::from_ref(&tick));
            seq += 1;
        }
        (now, seq) = (now + 600.0, seq + 4);
    }
    let output = play(&input);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("{\"type\":\"LET_GO\",\"co-ordinator\":3,\"replica\":\"r-1\"}"), "{text}");
}
