use super::*;
use crate::core::{Core, PartRequest, QueryRequest};
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

fn site_with_deadlines(classes: &[(&str, f64, f64)]) -> SiteSettings {
    let class = |(name, aim, deadline): &(&str, f64, f64)| json!({"name": name, "aim_ms": aim, "deadline_ms": deadline, "repeat": "read_like"});
    let classes: Vec<_> = classes.iter().map(class).collect();
    serde_json::from_value(json!({
        "request_classes": classes,
        "domain": {"cells": 1, "width": 1},
        "caps": {"max_attempts": 1, "max_open": 9},
        "tick_ms": 5.0,
    }))
    .unwrap()
}

fn query(class: &str) -> QueryRequest {
    QueryRequest {
        id: "r1".into(),
        unique_id: false,
        class: class.into(),
        tenant: None,
        timeout: None,
        queued: 0.0,
        is_retry: false,
        accepts_partial: true,
        key: None,
        parts: vec![PartRequest { shard: 0, weight: 1.0, work_hint: None, key: None }],
        payload: b"text"[..].into(),
    }
}

/// Guards against a removed class that counts until the next reload because a query of it was open at this one.
#[test]
fn a_removed_class_counts_neither_in_the_longest_deadline_nor_after_its_last_query() {
    let mut core = Core::new(&site_with_deadlines(&[("a", 10.0, 3000.0), ("b", 500.0, 1000.0)]), 7).unwrap();
    let open = core.take_in(0.0, query("a")).unwrap();
    core.step(5.0);
    core.apply_settings(&site_with_deadlines(&[("b", 500.0, 1000.0)])).unwrap();
    let aims = |core: &Core| core.settings.classes.iter().map(|class| class.aim).collect::<Vec<_>>();
    core.step(10.0);
    assert_eq!(core.longest_deadline(), 1000.0, "the settings in force have no longer deadline");
    assert_eq!(aims(&core), [10.0, 500.0], "the open query keeps its class");
    core.client_gone(15.0, open);
    core.step(15.0);
    assert_eq!(aims(&core), [500.0, 500.0], "the router no longer knows the removed class");
    assert_eq!((core.longest_deadline(), core.classes.index_of("b")), (1000.0, Some(1)));
}

/// Guards against learned state that is lost because a class moves to an index that was released and holds its copy.
#[test]
fn an_unchanged_class_keeps_its_index_over_reloads_after_another_was_removed() {
    let mut classes = Classes::default();
    classes.apply_settings(&site(&[("a", 1.0), ("b", 2.0)]), |_| false);
    for reload in 0..3 {
        classes.apply_settings(&site(&[("b", 2.0)]), |_| false);
        assert_eq!(classes.index_of("b"), Some(1), "reload {reload}");
    }
}

/// Guards against the same over a handover: the learned state refers to classes by index.
#[test]
fn a_class_keeps_its_index_over_a_handover_after_another_was_removed() {
    let mut old = Classes::default();
    old.apply_settings(&site(&[("a", 1.0), ("b", 2.0)]), |_| false);
    let settings = site(&[("b", 2.0)]);
    old.apply_settings(&settings, |_| false);
    let mut new = Classes::default();
    new.restore_order(&old.names_by_index(), &settings);
    assert_eq!((old.index_of("b"), new.index_of("b")), (Some(1), Some(1)));
    assert_eq!(
        old.router_class_names(),
        ["b".into(), "b".into()],
        "the trace names what the router is given"
    );
}
