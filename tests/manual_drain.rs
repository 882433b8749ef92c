//! Run stores out by hand, on the core: whatever a directory tells, in whatever order.

#[path = "common/core.rs"]
mod fixture;

use fixture::{calls, commands, listed as line};
use ironpaddle::api::{Outcome, ReplicaState};
use ironpaddle::core::{Call, CallEnd, Command, Core, DirectoryUpdate, QueryRequest};
use ironpaddle::settings::SiteSettings;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::json;

const WARM: f64 = 10_000.0;

fn core() -> Core {
    let site: SiteSettings = serde_json::from_value(json!({
        "caps": {"max_attempts": 3, "max_open": 500, "may_cancel": true, "probes": true, "connect_timeout_ms": 50.0},
        "domain": {"cells": 1, "width": 1, "shards": 9, "least_share": [1.0], "complete_from": [1.0]},
        "request_classes": [{"name": "search", "aim_ms": 300.0, "deadline_ms": 900.0, "repeat": "read_like"}],
        "rules": {"cold_from": 0.3, "fall_multiple": 2.0, "overload_for_ms": 1000.0, "warm_within_ms": WARM},
        "tick_ms": 5.0,
    }))
    .unwrap();
    let mut core = Core::new(&site, 7).unwrap();
    core.apply_directory_update(DirectoryUpdate::Full(vec![
        line("a", ReplicaState::Active, 0.0),
        line("b", ReplicaState::Active, 0.0),
    ]));
    core
}

fn ask(number: usize) -> QueryRequest {
    fixture::ask(&format!("r{number}"), "search", 1, 900.0)
}

#[derive(Debug, Clone)]
enum Step {
    Out,
    Back,
    /// A whole list, or a change, with the run store in some state and started some time ago, or never.
    Full(ReplicaState, Option<f64>),
    Change(ReplicaState, Option<f64>),
    /// A whole list without it.
    Unlisted,
    Broken,
    Retune,
    Ask,
    End(Outcome),
    Pass(f64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let state = prop_oneof![
        3 => Just(ReplicaState::Active),
        1 => Just(ReplicaState::Draining),
        1 => Just(ReplicaState::Gone)
    ];
    let told = (state, prop::option::of(0.0..3000.0));
    let step = prop_oneof![
        2 => Just(Step::Out),
        2 => Just(Step::Back),
        2 => told.clone().prop_map(|(state, since)| Step::Full(state, since)),
        2 => told.prop_map(|(state, since)| Step::Change(state, since)),
        1 => Just(Step::Unlisted),
        1 => Just(Step::Broken),
        1 => Just(Step::Retune),
        8 => Just(Step::Ask),
        4 => prop_oneof![Just(Outcome::Completed), Just(Outcome::ConnectFailed)].prop_map(Step::End),
        3 => (1.0..1500.0).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..80)
}

fn walk(steps: &[Step]) -> Result<(), TestCaseError> {
    let (mut core, mut now, mut out) = (core(), 1e6, false);
    let mut queue = Vec::new();
    core.step(now);
    commands(&mut core);
    for (at, step) in steps.iter().enumerate() {
        let told = |state, since: Option<f64>| line("a", state, since.map_or(0.0, |since| now - since));
        match step {
            Step::Out | Step::Back => {
                out = matches!(step, Step::Out);
                prop_assert!(core.set_manual_drain(now, &"a".into(), out), "it was listed once");
                prop_assert!(!core.set_manual_drain(now, &"c".into(), out), "it never was");
            }
            Step::Full(state, since) => {
                core.apply_directory_update(DirectoryUpdate::Full(vec![
                    told(*state, *since),
                    line("b", ReplicaState::Active, 0.0),
                ]));
            }
            Step::Change(state, since) => {
                core.apply_directory_update(DirectoryUpdate::Changes(vec![told(*state, *since)]))
            }
            Step::Unlisted => {
                core.apply_directory_update(DirectoryUpdate::Full(vec![line("b", ReplicaState::Active, 0.0)]))
            }
            Step::Broken => core.apply_directory_update(DirectoryUpdate::Failed),
            Step::Retune => core.apply_settings(&site()).unwrap(),
            Step::Ask => {
                core.take_in(now, ask(at)).unwrap();
            }
            Step::End(outcome) if !queue.is_empty() => {
                let call: Call = queue.remove(0);
                let value = (*outcome == Outcome::Completed).then(|| b"v"[..].into());
                core.call_ended(now, call.no, CallEnd { outcome: *outcome, value, load: None });
            }
            Step::Pass(time) => now += time,
            Step::End(_) => {}
        }
        now += 5.0;
        core.step(now);
        for command in commands(&mut core) {
            match command {
                Command::Send(call) => {
                    prop_assert!(
                        !out || call.run_store == "b".into(),
                        "an attempt at {} while it is out",
                        at
                    );
                    queue.push(call);
                }
                Command::Probe { run_store, no } => {
                    prop_assert!(!out || run_store == "b".into(), "a probe at {} while it is out", at);
                    core.probe_ended(no, false, None);
                }
                Command::Locate { run_store, .. } => {
                    prop_assert!(!out || run_store == "b".into(), "located at {} while it is out", at);
                }
                _ => {}
            }
        }
    }
    Ok(())
}

fn site() -> SiteSettings {
    serde_json::from_value(json!({
        "caps": {"max_attempts": 2, "max_open": 500, "may_cancel": true, "probes": true},
        "domain": {"cells": 1, "width": 1, "shards": 9, "least_share": [1.0], "complete_from": [1.0]},
        "request_classes": [{"name": "search", "aim_ms": 400.0, "deadline_ms": 900.0, "repeat": "read_like"}],
        "rules": {"cold_from": 0.3, "fall_multiple": 2.0, "overload_for_ms": 1000.0, "warm_within_ms": WARM},
    }))
    .unwrap()
}

#[test]
fn nothing_goes_to_a_run_store_that_is_out_whatever_is_told_of_it() {
    // One seed for all runs: the verdict is the same every time.
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng).run(&steps(), |steps| walk(&steps)).unwrap();
}

#[test]
fn one_that_is_back_is_used_at_once_as_cold_with_nothing_held_against_it() {
    let mut core = core();
    let mut now = 1e6;
    core.step(now);
    // It is parked, as nothing reaches it.
    for number in 0..20 {
        core.take_in(now, ask(number)).unwrap();
        now += 5.0;
        core.step(now);
        for call in calls(&commands(&mut core)) {
            let outcome =
                if call.run_store == "a".into() { Outcome::ConnectFailed } else { Outcome::Completed };
            core.call_ended(now, call.no, CallEnd { outcome, value: Some(b"v"[..].into()), load: None });
        }
    }
    assert_eq!(core.gauges().pool_ejected, 1, "parked");
    assert!(core.set_manual_drain(now, &"a".into(), true));
    assert!(commands(&mut core).contains(&Command::Retire("a".into())));
    now += 500.0;
    assert!(core.set_manual_drain(now, &"a".into(), false));
    core.step(now);
    assert_eq!(core.gauges().pool_ejected, 0);
    let back = now;
    let mut sent = (0, 0);
    let mut located = 0;
    for number in 100..200 {
        // Far more than a cold one bears.
        for copy in 0..10 {
            core.take_in(now, ask(number * 10 + copy)).unwrap();
        }
        now += 5.0;
        core.step(now);
        let commands = commands(&mut core);
        located += commands.iter().filter(|command| matches!(command, Command::Locate { .. })).count();
        for call in calls(&commands) {
            if call.run_store == "a".into() {
                sent.0 += 1
            } else {
                sent.1 += 1
            }
            let value = Some(b"v"[..].into());
            core.call_ended(now + 5.0, call.no, CallEnd { outcome: Outcome::Completed, value, load: None });
        }
        if number == 150 {
            // Discovery tells of the restart at last: it is the one that is known.
            core.apply_directory_update(DirectoryUpdate::Changes(vec![line(
                "a",
                ReplicaState::Active,
                back - 200.0,
            )]));
        }
    }
    assert!(sent.0 > 0 && sent.0 * 2 < sent.1, "used, with care, as it is cold: {sent:?}");
    assert_eq!(located, 1, "what discovery tells late makes no new process of it");
    // A later start is one.
    core.apply_directory_update(DirectoryUpdate::Changes(vec![line("a", ReplicaState::Active, back + 10.0)]));
    assert!(commands(&mut core).iter().any(|command| matches!(command, Command::Locate { .. })));
}
