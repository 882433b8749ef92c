//! What a core leaves to the core of a process that takes over.

#[path = "common/core.rs"]
mod fixture;

use ironpaddle::api::{Outcome, ReplicaState};
use ironpaddle::core::takeover::TakeoverState;
use ironpaddle::core::{CallEnd, Core, DirectoryUpdate};
use ironpaddle::settings::SiteSettings;
use serde_json::json;

fn site(classes: &[&str]) -> SiteSettings {
    let class =
        |name: &&str| json!({"name": name, "aim_ms": 300.0, "deadline_ms": 900.0, "repeat": "read_like"});
    let classes: Vec<_> = classes.iter().map(class).collect();
    serde_json::from_value(json!({
        "caps": {"max_attempts": 3, "max_open": 500, "may_cancel": true, "probes": true},
        "domain": {"cells": 1, "width": 1, "shards": 9},
        "request_classes": classes,
        "tick_ms": 5.0,
    }))
    .unwrap()
}

fn list() -> DirectoryUpdate {
    let line = |name: &str| fixture::listed(name, ReplicaState::Active, 5.0);
    DirectoryUpdate::Cached(["a", "b", "c"].map(line).into())
}

/// Asks for some queries of a class; says where their parts went. At `a` nothing gets through.
fn load(core: &mut Core, now: &mut f64, class: &str, queries: usize) -> Vec<String> {
    let mut went = Vec::new();
    for number in 0..queries {
        let ask = fixture::ask(&format!("r{number}"), class, 1, 900.0);
        core.take_in(*now, ask).unwrap();
        *now += 5.0;
        core.step(*now);
        let commands = fixture::commands(core);
        for call in fixture::calls(&commands) {
            let lost = call.run_store == "a".into();
            let outcome = if lost { Outcome::ConnectFailed } else { Outcome::Completed };
            core.call_ended(*now, call.no, CallEnd { outcome, value: Some(b"v"[..].into()), load: None });
            went.push(call.run_store.0.to_string());
        }
    }
    went
}

#[test]
fn who_is_parked_or_out_by_hand_stays_so_in_the_process_that_takes_over() {
    let mut now = 1e6;
    let mut old = Core::new(&site(&["search", "lookup"]), 7).unwrap();
    old.apply_directory_update(list());
    assert!(load(&mut old, &mut now, "search", 30).contains(&"a".to_string()));
    assert!(old.set_manual_drain(now, &"b".into(), true));
    assert_eq!(old.gauges().pool_ejected, 2);
    let state = serde_json::to_string(&old.takeover_state()).unwrap();
    // The new one has the classes in another order, one more, and one less.
    for classes in [&["lookup", "entry", "search"][..], &["search"]] {
        let new_site = site(classes);
        let mut new = Core::new(&new_site, 8).unwrap();
        let state: TakeoverState = serde_json::from_str(&state).unwrap();
        assert_eq!(new.restore_takeover_state(&new_site, state), Ok(true));
        new.apply_directory_update(list());
        new.step(now);
        assert_eq!((new.gauges().pool_size, new.gauges().pool_ejected), (3, 2));
        for class in classes {
            let went = load(&mut new, &mut now, class, 5);
            assert_eq!(went, ["c"; 5], "{class}");
        }
    }
}

#[test]
fn what_cannot_be_read_of_it_leaves_a_core_that_serves() {
    let mut now = 1e6;
    let mut old = Core::new(&site(&["search"]), 7).unwrap();
    old.apply_directory_update(list());
    old.step(now);
    assert!(old.set_manual_drain(now, &"b".into(), true));
    let mut state = serde_json::to_value(old.takeover_state()).unwrap();
    state["learned"] = json!("[");
    let mut new = Core::new(&site(&["search"]), 8).unwrap();
    assert_eq!(
        new.restore_takeover_state(&site(&["search"]), serde_json::from_value(state).unwrap()),
        Ok(false)
    );
    new.apply_directory_update(list());
    let went = load(&mut new, &mut now, "search", 9);
    assert!(went.contains(&"c".to_string()) && !went.contains(&"b".to_string()), "{went:?}");
}
