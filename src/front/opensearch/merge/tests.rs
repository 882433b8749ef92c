use super::*;
use serde_json::json;

fn answer(total: u64, relation: &str, hits: Value) -> Vec<u8> {
    json!({"timed_out": false, "_shards": {"successful": 1, "failed": 0},
        "hits": {"total": {"value": total, "relation": relation}, "max_score": null, "hits": hits}})
    .to_string()
    .into_bytes()
}

#[test]
fn hits_are_merged_by_score_and_cut_to_the_page() {
    let a = answer(3, "eq", json!([{"_id": "a", "_score": 3.0}, {"_id": "b", "_score": 1.0}]));
    let b = answer(4, "gte", json!([{"_id": "c", "_score": 2.0}]));
    let merged = merge([&a[..], &b[..]].into_iter(), &SortOrder::default(), 1, 1).unwrap();
    assert_eq!(merged.total, Some(Total { value: 7, relation: "gte".into() }));
    let ids: Vec<&str> = merged.hits.iter().map(|raw| raw.get()).collect();
    assert_eq!(ids, [r#"{"_id":"c","_score":2.0}"#]);
}

#[test]
fn sort_keys_decide_with_missing_values_last() {
    let order = SortOrder::parse(&json!([{"run": {"order": "desc"}}, "name"])).unwrap();
    let a = answer(2, "eq", json!([{"_id": "a", "sort": [1, "x"]}, {"_id": "n", "sort": [null, "x"]}]));
    let b = answer(2, "eq", json!([{"_id": "b", "sort": [2, "y"]}, {"_id": "c", "sort": [2, "x"]}]));
    let merged = merge([&a[..], &b[..]].into_iter(), &order, 0, 10).unwrap();
    let ids: Vec<String> = merged
        .hits
        .iter()
        .map(|raw| serde_json::from_str::<Value>(raw.get()).unwrap()["_id"].as_str().unwrap().into())
        .collect();
    assert_eq!(ids, ["c", "b", "a", "n"]);
    assert_eq!(SortOrder::parse(&json!([{"run": "sideways"}])), None);
}
