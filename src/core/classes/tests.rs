use super::*;
use serde_json::json;

fn site(classes: &[(&str, f64)]) -> SiteSettings {
    let class = |(name, aim): &(&str, f64)| json!({"name": name, "aim_ms": aim, "repeat": "read_like"});
    let classes: Vec<_> = classes.iter().map(class).collect();
    serde_json::from_value(json!({"request_classes": classes, "domain": {"cells": 1, "width": 1}})).unwrap()
}

#[test]
fn a_place_that_is_held_stays_and_one_that_is_not_is_used_anew() {
    let mut classes = Classes::default();
    classes.take(&site(&[("a", 1.0), ("b", 2.0)]), |_| false);
    // Index 0 is in use by open queries of a removed class; `b` keeps its index.
    classes.take(&site(&[("b", 2.0), ("a", 3.0)]), |place| place == 0);
    assert_eq!((classes.named("b"), classes.named("a")), (Some(1), Some(2)));
    assert_eq!((classes.at(0).class.aim, classes.at(2).class.aim), (1.0, 3.0));
    for aim in 4..20 {
        classes.take(&site(&[("b", 2.0), ("a", f64::from(aim))]), |_| false);
    }
    assert_eq!(classes.for_router().len(), 3, "indexes are reused over reloads");
    classes.take(&site(&[("c", 5.0)]), |_| false);
    assert!(classes.named("a").is_none());
    assert!(
        classes.for_router().iter().all(|class| class.aim == 5.0),
        "no setting of a removed class remains"
    );
}
