use super::*;
use serde_json::json;

/// Returns a line with the longest DNS labels, the longest address and the longest numbers.
fn longest() -> serde_json::Value {
    let label = "x".repeat(63);
    let address = "[ffff:ffff:ffff:ffff:ffff:ffff:255.255.255.255]:65535";
    json!({"name": label, "address": address, "zone": label, "type": label, "group": u32::MAX, "status": "draining",
        "weight": f64::MIN_POSITIVE, "since_ms": f64::MIN_POSITIVE})
}

#[test]
fn the_longest_list_fits_in_its_bytes_however_it_is_indented() {
    let size_of = |lines: usize| {
        let list = json!({"index": u64::MAX, "snapshot": true, "endpoints": vec![longest(); lines]});
        serde_json::to_string_pretty(&list).unwrap().len()
    };
    let first_line = size_of(1);
    let further_line = size_of(2) - first_line;
    assert!(first_line + further_line * (MAX_LINES - 1) <= MAX_LIST_BYTES, "{further_line} bytes a line");
    assert!(
        further_line * 4 > MAX_LINE_BYTES * 3,
        "{further_line} bytes a line: the bound is no longer derived from the longest line"
    );
}

#[test]
fn a_list_of_the_most_lines_is_read_and_one_more_is_refused() {
    let read = |lines: usize| {
        let line = r#"{"name":"s","zone":"z","group":1,"status":"ready"}"#;
        let text = format!(r#"{{"endpoints":[{}]}}"#, vec![line; lines].join(","));
        serde_json::from_str::<List>(&text)
    };
    let most = read(MAX_LINES).unwrap();
    assert_eq!(most.endpoints.len(), MAX_LINES);
    let zones = most.endpoints.iter().map(|line| Arc::as_ptr(&line.replica.zone));
    assert_eq!(zones.collect::<std::collections::HashSet<_>>().len(), 1, "zones are shared");
    let error = read(MAX_LINES + 1).unwrap_err().to_string();
    assert!(error.contains("at most 65536 lines"), "{error}");
}

#[test]
fn a_list_is_written_as_it_was_read() {
    let text = concat!(
        r#"{"index":3,"snapshot":true,"endpoints":["#,
        r#"{"name":"s-\u00e9","address":"[::1]:80","zone":"a","group":7,"status":"ready","weight":0.5,"since_ms":9.0},"#,
        r#"{"name":"t","address":"","zone":"","group":0,"status":"draining","weight":1.0,"since_ms":0.0},"#,
        r#"{"name":"u","address":"","zone":"","group":0,"status":"gone","weight":1.0,"since_ms":0.0}]}"#
    );
    let list: List = serde_json::from_str(text).unwrap();
    let states: Vec<_> = list.endpoints.iter().map(|line| line.replica.state).collect();
    assert_eq!(states, [ReplicaState::Active, ReplicaState::Draining, ReplicaState::Gone]);
    assert_eq!(serde_json::to_string(&list).unwrap(), text.replace(r"\u00e9", "é"));
}
