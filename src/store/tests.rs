use super::*;

#[test]
fn copies_agree_whatever_the_order_of_entries() {
    let entries = [("a", 1, "one"), ("b", 2, "two"), ("c", 2, "three"), ("a", 2, "four")];
    let entries = entries.map(|(origin, version, value)| Entry {
        key: "k".into(),
        version,
        origin: origin.into(),
        value: value.into(),
    });
    for start in 0..entries.len() {
        let store = Store::new("x");
        for at in 0..entries.len() {
            store.merge(entries[(start + at * 3) % entries.len()].clone());
        }
        assert_eq!(store.get("k").unwrap().value, "three", "from {start}");
        assert!(!store.put("k", 1, "old".into()));
    }
}

#[test]
fn the_memory_that_peers_can_use_is_bounded() {
    let store = Store::new("x");
    for key in 0..MAX_KEYS {
        assert!(store.put(&key.to_string(), 1, String::new()));
    }
    assert!(!store.put("one more", 1, String::new()));
    assert!(store.put("0", 2, String::new()), "known keys can still change");
    assert!(!store.put("0", 3, "v".repeat(MAX_VALUE_BYTES + 1)));
}
