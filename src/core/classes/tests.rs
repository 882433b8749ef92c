use super::*;
use serde_json::json;

fn site(classes: &[(&str, f64)]) -> SiteSettings {
    let class = |(name, aim): &(&str, f64)| json!({"name": name, "aim_ms": aim, "repeat": "read_like"});
    let classes: Vec<_> = classes.iter().map(class).collect();
    serde_json::from_value(json!({"request_classes": classes, "domain": {"cells": 1, "width": 1}})).unwrap()
}

#[test]
fn an_index_in_use_stays_and_an_unused_one_is_reused() {
    let mut classes = Classes::default();
    classes.apply_settings(&site(&[("a", 1.0), ("b", 2.0)]), |_| false);
    // Index 0 is in use by open queries of a removed class; `b` keeps its index.
    classes.apply_settings(&site(&[("b", 2.0), ("a", 3.0)]), |index| index == 0);
    assert_eq!((classes.index_of("b"), classes.index_of("a")), (Some(1), Some(2)));
    assert_eq!((classes.get(0).class.aim, classes.get(2).class.aim), (1.0, 3.0));
    for aim in 4..20 {
        classes.apply_settings(&site(&[("b", 2.0), ("a", f64::from(aim))]), |_| false);
    }
    assert_eq!(classes.router_classes().len(), 3, "indexes are reused over reloads");
    classes.apply_settings(&site(&[("c", 5.0)]), |_| false);
    assert!(classes.index_of("a").is_none());
    assert!(
        classes.router_classes().iter().all(|class| class.aim == 5.0),
        "no setting of a removed class remains"
    );
}
