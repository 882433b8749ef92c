//! Counters and gauges of the core stay consistent over random sequences of events.

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
    /// A query: class, number of parts and client timeout in milliseconds.
    Query(usize, u32, f64),
    /// An attempt in flight ends.
    EndAttempt(usize, Outcome),
    /// A client disconnects.
    Disconnect(usize),
    /// This many milliseconds pass.
    Wait(f64),
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
        3 => (0..2usize, 1..4u32, -5.0..900.0).prop_map(|(class, parts, wait)| Step::Query(class, parts, wait)),
        5 => (0..9usize, outcome).prop_map(|(index, outcome)| Step::EndAttempt(index, outcome)),
        1 => (0..9usize).prop_map(Step::Disconnect),
        3 => (1.0..400.0).prop_map(Step::Wait),
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

/// The state that an outside observer of the core sees.
#[derive(Default)]
struct Observer {
    open: BTreeMap<QueryNo, usize>,
    in_flight: Vec<Call>,
    /// Number of abandoned attempts for which proof of their end was requested.
    awaiting_proof: u64,
    /// Counts by class: served, refused, failed.
    ends: [[u64; 3]; 2],
}

impl Observer {
    fn time_out(&mut self, core: &mut Core, now: f64) {
        for call in self.in_flight.iter().filter(|call| call.until <= now) {
            core.call_timed_out(now, call.no);
        }
    }

    fn take_commands(&mut self, core: &mut Core) {
        while let Some(command) = core.next_command() {
            match command {
                Command::Send(call) => {
                    assert!(
                        self.in_flight.iter().all(|known| known.part != call.part),
                        "a second copy of {}",
                        call.part
                    );
                    self.in_flight.push(call);
                }
                // An attempt that awaits proof may still end with any outcome.
                Command::Abandon { no, await_proof, .. } => {
                    self.awaiting_proof += u64::from(await_proof);
                    self.in_flight.retain(|call| await_proof || call.no != no);
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

fn run_steps(steps: &[Step], awaiting_proof: &Cell<u64>) -> Result<(), TestCaseError> {
    let (mut core, mut observer, mut now) = (core(), Observer::default(), 0.0);
    for (at, step) in steps.iter().enumerate() {
        match step {
            Step::Query(class, parts, wait) => {
                let ask = fixture::ask(&format!("r{at}"), CLASSES[*class], *parts, *wait);
                observer.open.insert(core.take_in(now, ask).unwrap(), *class);
            }
            Step::EndAttempt(index, outcome) if !observer.in_flight.is_empty() => {
                let call = observer.in_flight.remove(index % observer.in_flight.len());
                let value = (*outcome == Outcome::Completed).then(|| b"v"[..].into());
                core.call_ended(now, call.no, CallEnd { outcome: *outcome, value, load: None });
            }
            Step::Disconnect(index) if !observer.open.is_empty() => {
                let no = *observer.open.keys().nth(index % observer.open.len()).unwrap();
                observer.open.remove(&no);
                core.client_gone(now, no);
            }
            // Step on time: the router ignores silence while its own steps are late.
            Step::Wait(time) => {
                let until = now + time;
                while now + 5.0 < until {
                    now += 5.0;
                    observer.time_out(&mut core, now);
                    core.step(now);
                    observer.take_commands(&mut core);
                }
            }
            Step::EndAttempt(..) | Step::Disconnect(_) => {}
        }
        observer.take_commands(&mut core);
        now += 5.0;
        core.step(now);
        observer.take_commands(&mut core);
        prop_assert_eq!(core.gauges().active, observer.open.len());
        for (class, ends) in CLASSES.iter().zip(observer.ends) {
            let counted = core.counters.classes[*class];
            prop_assert_eq!([counted.ok, counted.shed, counted.errors], ends, "{}", class);
        }
    }
    // Each remaining query ends by its deadline.
    core.step(now + 1000.0);
    observer.take_commands(&mut core);
    prop_assert_eq!((core.gauges().active, observer.open.len()), (0, 0));
    // Each remaining attempt is counted once, by its own end or when its query is removed.
    core.step(now + 1005.0);
    observer.take_commands(&mut core);
    for call in &observer.in_flight {
        core.call_timed_out(now + 2000.0, call.no);
    }
    prop_assert_eq!(core.counters.ends.iter().sum::<u64>(), core.counters.sent);
    awaiting_proof.set(awaiting_proof.get() + observer.awaiting_proof);
    Ok(())
}

#[test]
fn every_end_is_counted_once_and_no_query_stays_active() {
    // A fixed seed keeps the result reproducible.
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let awaiting_proof = Cell::new(0);
    TestRunner::new_with_rng(config, rng).run(&steps(), |steps| run_steps(&steps, &awaiting_proof)).unwrap();
    assert!(awaiting_proof.get() > 100, "too few attempts awaited proof: {}", awaiting_proof.get());
}
