//! Run stores that an operator has drained, on the core, with any order of directory updates.

#[path = "common/core.rs"]
mod fixture;

use fixture::{calls, commands, listed as line};
use ironpaddle::api::{Outcome, ReplicaState};
use ironpaddle::core::{Call, CallEnd, Command, Core, DirectoryUpdate, QueryRequest};
use ironpaddle::settings::SiteSettings;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::json;

const WARM_WITHIN_MS: f64 = 10_000.0;

fn core() -> Core {
    let site: SiteSettings = serde_json::from_value(json!({
        "caps": {"max_attempts": 3, "max_open": 500, "may_cancel": true, "probes": true, "connect_timeout_ms": 50.0},
        "domain": {"cells": 1, "width": 1, "shards": 9, "least_share": [1.0], "complete_from": [1.0]},
        "request_classes": [{"name": "search", "aim_ms": 300.0, "deadline_ms": 900.0, "repeat": "read_like"}],
        "rules": {
            "cold_from": 0.3, "fall_multiple": 2.0, "overload_for_ms": 1000.0, "warm_within_ms": WARM_WITHIN_MS,
        },
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
    Drain,
    Undrain,
    /// A full list with the run store `a` in this state, started this long ago if that is known.
    Full(ReplicaState, Option<f64>),
    /// The same as a change of one entry.
    Change(ReplicaState, Option<f64>),
    /// A full list without `a`.
    Unlisted,
    ListFailed,
    ApplySettings,
    Query,
    End(Outcome),
    Wait(f64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let state = prop_oneof![
        3 => Just(ReplicaState::Active),
        1 => Just(ReplicaState::Draining),
        1 => Just(ReplicaState::Gone)
    ];
    let entry = (state, prop::option::of(0.0..3000.0));
    let step = prop_oneof![
        2 => Just(Step::Drain),
        2 => Just(Step::Undrain),
        2 => entry.clone().prop_map(|(state, since)| Step::Full(state, since)),
        2 => entry.prop_map(|(state, since)| Step::Change(state, since)),
        1 => Just(Step::Unlisted),
        1 => Just(Step::ListFailed),
        1 => Just(Step::ApplySettings),
        8 => Just(Step::Query),
        4 => prop_oneof![Just(Outcome::Completed), Just(Outcome::ConnectFailed)].prop_map(Step::End),
        3 => (1.0..1500.0).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..80)
}

fn run_steps(steps: &[Step]) -> Result<(), TestCaseError> {
    let (mut core, mut now, mut drained) = (core(), 1e6, false);
    let mut queue = Vec::new();
    core.step(now);
    commands(&mut core);
    for (at, step) in steps.iter().enumerate() {
        let entry = |state, since: Option<f64>| line("a", state, since.map_or(0.0, |since| now - since));
        match step {
            Step::Drain | Step::Undrain => {
                drained = matches!(step, Step::Drain);
                prop_assert!(core.set_manual_drain(now, &"a".into(), drained), "`a` has been listed");
                prop_assert!(!core.set_manual_drain(now, &"c".into(), drained), "`c` has never been listed");
            }
            Step::Full(state, since) => {
                core.apply_directory_update(DirectoryUpdate::Full(vec![
                    entry(*state, *since),
                    line("b", ReplicaState::Active, 0.0),
                ]));
            }
            Step::Change(state, since) => {
                core.apply_directory_update(DirectoryUpdate::Changes(vec![entry(*state, *since)]))
            }
            Step::Unlisted => {
                core.apply_directory_update(DirectoryUpdate::Full(vec![line("b", ReplicaState::Active, 0.0)]))
            }
            Step::ListFailed => core.apply_directory_update(DirectoryUpdate::Failed),
            Step::ApplySettings => core.apply_settings(&site()).unwrap(),
            Step::Query => {
                core.take_in(now, ask(at)).unwrap();
            }
            Step::End(outcome) if !queue.is_empty() => {
                let call: Call = queue.remove(0);
                let value = (*outcome == Outcome::Completed).then(|| b"v"[..].into());
                core.call_ended(now, call.no, CallEnd { outcome: *outcome, value, load: None });
            }
            Step::Wait(time) => now += time,
            Step::End(_) => {}
        }
        now += 5.0;
        core.step(now);
        for command in commands(&mut core) {
            match command {
                Command::Send(call) => {
                    prop_assert!(
                        !drained || call.run_store == "b".into(),
                        "an attempt at step {} while it is drained",
                        at
                    );
                    queue.push(call);
                }
                Command::Probe { run_store, no } => {
                    prop_assert!(
                        !drained || run_store == "b".into(),
                        "a probe at step {} while it is drained",
                        at
                    );
                    core.probe_ended(no, false, None);
                }
                Command::Locate { run_store, .. } => {
                    prop_assert!(
                        !drained || run_store == "b".into(),
                        "located at step {} while it is drained",
                        at
                    );
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
        "rules": {
            "cold_from": 0.3, "fall_multiple": 2.0, "overload_for_ms": 1000.0, "warm_within_ms": WARM_WITHIN_MS,
        },
    }))
    .unwrap()
}

#[test]
fn a_drained_run_store_gets_nothing_whatever_the_directory_reports() {
    // A fixed seed keeps the result reproducible.
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng).run(&steps(), |steps| run_steps(&steps)).unwrap();
}

#[test]
fn a_run_store_put_back_is_used_at_once_as_cold_and_is_no_longer_parked() {
    let mut core = core();
    let mut now = 1e6;
    core.step(now);
    // `a` is parked because connections to it fail.
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
    let undrained_at = now;
    let mut sent = (0, 0);
    let mut located = 0;
    for number in 100..200 {
        // Far more than a cold run store can take.
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
            // Discovery reports the restart late; the core already knows of it.
            core.apply_directory_update(DirectoryUpdate::Changes(vec![line(
                "a",
                ReplicaState::Active,
                undrained_at - 200.0,
            )]));
        }
    }
    assert!(
        sent.0 > 0 && sent.0 * 2 < sent.1,
        "used, but with the limited share of a cold run store: {sent:?}"
    );
    assert_eq!(located, 1, "a late report of the same restart does not count as another process");
    // A later start time does.
    core.apply_directory_update(DirectoryUpdate::Changes(vec![line(
        "a",
        ReplicaState::Active,
        undrained_at + 10.0,
    )]));
    assert!(commands(&mut core).iter().any(|command| matches!(command, Command::Locate { .. })));
}
