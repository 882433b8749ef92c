//! The figures add up, whatever happens in whatever order: checked on the core over random steps.

#[path = "common/core.rs"]
mod fixture;

use std::cell::Cell;
use std::collections::BTreeMap;

use ironpaddle::api::{Outcome, ReplicaState};
use ironpaddle::core::{Call, CallEnd, Command, Core, DirectoryUpdate, FinalAnswer, QueryNo};
use ironpaddle::settings::SiteSettings;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::json;

const CLASSES: [&str; 2] = ["search", "entry"];

#[derive(Debug, Clone)]
enum Step {
    /// A query of a class and so many parts, of which the client waits this long.
    Ask(usize, u32, f64),
    /// An attempt that is out ends.
    End(usize, Outcome),
    /// A client leaves.
    Leave(usize),
    Pass(f64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        4 => Just(Outcome::Completed),
        1 => Just(Outcome::Errored),
        1 => Just(Outcome::Rejected),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::ConnectFailed)
    ];
    let step = prop_oneof![
        3 => (0..2usize, 1..4u32, -5.0..900.0).prop_map(|(class, parts, wait)| Step::Ask(class, parts, wait)),
        5 => (0..9usize, outcome).prop_map(|(which, outcome)| Step::End(which, outcome)),
        1 => (0..9usize).prop_map(Step::Leave),
        3 => (1.0..400.0).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..60)
}

fn core() -> Core {
    let class = |name: &str, repeat: &str| json!({"name": name, "aim_ms": 300.0, "deadline_ms": 900.0, "repeat": repeat});
    let site: SiteSettings = serde_json::from_value(json!({
        "caps": {"max_attempts": 2, "max_open": 12, "may_cancel": true},
        "domain": {"cells": 1, "width": 1, "shards": 9, "least_share": [0.4, 1.0], "complete_from": [1.0, 1.0]},
        "request_classes": [class(CLASSES[0], "read_like"), class(CLASSES[1], "non_idempotent")],
        "tick_ms": 5.0,
    }))
    .unwrap();
    let mut core = Core::new(&site, 7).unwrap();
    let line = |name: &str| fixture::listed(name, ReplicaState::Active, 0.0);
    core.apply_directory_update(DirectoryUpdate::Cached(vec![line("a"), line("b")]));
    core
}

/// What the world outside saw.
#[derive(Default)]
struct Seen {
    open: BTreeMap<QueryNo, usize>,
    out: Vec<Call>,
    /// Attempts that were to be proved over.
    proved: u64,
    /// By class: served, refused, failed.
    ends: [[u64; 3]; 2],
}

impl Seen {
    fn time_out(&mut self, core: &mut Core, now: f64) {
        for call in self.out.iter().filter(|call| call.until <= now) {
            core.call_timed_out(now, call.no);
        }
    }

    fn look(&mut self, core: &mut Core) {
        while let Some(command) = core.next_command() {
            match command {
                Command::Send(call) => {
                    assert!(
                        self.out.iter().all(|known| known.part != call.part),
                        "a second copy of {}",
                        call.part
                    );
                    self.out.push(call);
                }
                // What is to be proved over may still end in any way.
                Command::Abandon { no, await_proof, .. } => {
                    self.proved += u64::from(await_proof);
                    self.out.retain(|call| await_proof || call.no != no);
                }
                Command::Answer { query, answer } => {
                    let class = self.open.remove(&query).expect("one final answer to each query");
                    let end = match answer {
                        FinalAnswer::Served { .. } => 0,
                        FinalAnswer::Refused { .. } => 1,
                        FinalAnswer::Failed { .. } => 2,
                    };
                    self.ends[class][end] += 1;
                }
                _ => {}
            }
        }
    }
}

fn walk(steps: &[Step], proved: &Cell<u64>) -> Result<(), TestCaseError> {
    let (mut core, mut seen, mut now) = (core(), Seen::default(), 0.0);
    for (at, step) in steps.iter().enumerate() {
        match step {
            Step::Ask(class, parts, wait) => {
                let ask = fixture::ask(&format!("r{at}"), CLASSES[*class], *parts, *wait);
                seen.open.insert(core.take_in(now, ask).unwrap(), *class);
            }
            Step::End(which, outcome) if !seen.out.is_empty() => {
                let call = seen.out.remove(which % seen.out.len());
                let value = (*outcome == Outcome::Completed).then(|| b"v"[..].into());
                core.call_ended(now, call.no, CallEnd { outcome: *outcome, value, load: None });
            }
            Step::Leave(which) if !seen.open.is_empty() => {
                let no = *seen.open.keys().nth(which % seen.open.len()).unwrap();
                seen.open.remove(&no);
                core.client_gone(now, no);
            }
            // Silence tells only while nothing is late here.
            Step::Pass(time) => {
                let until = now + time;
                while now + 5.0 < until {
                    now += 5.0;
                    seen.time_out(&mut core, now);
                    core.step(now);
                    seen.look(&mut core);
                }
            }
            Step::End(..) | Step::Leave(_) => {}
        }
        seen.look(&mut core);
        now += 5.0;
        core.step(now);
        seen.look(&mut core);
        prop_assert_eq!(core.gauges().active, seen.open.len());
        for (class, ends) in CLASSES.iter().zip(seen.ends) {
            let counted = core.counters.classes[*class];
            prop_assert_eq!([counted.ok, counted.shed, counted.errors], ends, "{}", class);
        }
    }
    // Whatever is left ends by its deadline.
    core.step(now + 1000.0);
    seen.look(&mut core);
    prop_assert_eq!((core.gauges().active, seen.open.len()), (0, 0));
    // And so does whatever is out: each attempt has one end, by its own or as its query is held no more.
    core.step(now + 1005.0);
    seen.look(&mut core);
    for call in &seen.out {
        core.call_timed_out(now + 2000.0, call.no);
    }
    prop_assert_eq!(core.counters.ends.iter().sum::<u64>(), core.counters.sent);
    proved.set(proved.get() + seen.proved);
    Ok(())
}

#[test]
fn every_end_is_counted_once_and_nothing_stays_active() {
    // One seed for all runs: the verdict is the same every time.
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let proved = Cell::new(0);
    TestRunner::new_with_rng(config, rng).run(&steps(), |steps| walk(&steps, &proved)).unwrap();
    assert!(proved.get() > 100, "silence was there: {}", proved.get());
}
