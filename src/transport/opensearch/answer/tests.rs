use super::*;

fn answer(timed_out: &str, failed: u64, hits: &str) -> String {
    format!(
        r#"{{"took":3,"timed_out":{timed_out},"_shards":{{"total":1,"successful":1,"failed":{failed}}},
        "hits":{{"total":{{"value":1,"relation":"eq"}},"max_score":1.0,"hits":{hits}}}}}"#
    )
}

#[test]
fn only_sound_answers_are_read() {
    let sound = answer("false", 0, r#"[{"_id":"a","_score":1.0}]"#);
    assert_eq!(SearchResponse::read(sound.as_bytes()).unwrap().hits.len(), 1);
    let cut = &sound[..sound.len() - 4];
    for bad in [
        "<html><body>502 Bad Gateway</body></html>".to_string(),
        cut.to_string(),
        answer("true", 0, "[]"),
        answer("false", 1, "[]"),
        answer("\"no\"", 0, "[]"),
        answer("false", 0, r#"{"_id":"a"}"#),
        answer("false", 0, r#"[{"_id":"a","_score":"high"}]"#),
        "{}".to_string(),
    ] {
        assert!(SearchResponse::read(bad.as_bytes()).is_err(), "{bad}");
    }
}
