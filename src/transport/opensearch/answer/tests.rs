use super::*;

fn response(timed_out: &str, failed: u64, hits: &str) -> String {
    format!(
        r#"{{"took":3,"timed_out":{timed_out},"_shards":{{"total":1,"successful":1,"failed":{failed}}},
        "hits":{{"total":{{"value":1,"relation":"eq"}},"max_score":1.0,"hits":{hits}}}}}"#
    )
}

#[test]
fn only_valid_responses_are_accepted() {
    let valid = response("false", 0, r#"[{"_id":"a","_score":1.0}]"#);
    assert_eq!(SearchResponse::read(valid.as_bytes()).unwrap().hits.len(), 1);
    let truncated = &valid[..valid.len() - 4];
    for invalid in [
        "<html><body>502 Bad Gateway</body></html>".to_string(),
        truncated.to_string(),
        response("true", 0, "[]"),
        response("false", 1, "[]"),
        response("\"no\"", 0, "[]"),
        response("false", 0, r#"{"_id":"a"}"#),
        response("false", 0, r#"[{"_id":"a","_score":"high"}]"#),
        "{}".to_string(),
    ] {
        assert!(SearchResponse::read(invalid.as_bytes()).is_err(), "{invalid}");
    }
}
