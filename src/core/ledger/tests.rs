use proptest::prelude::*;
use serde_json::json;

use super::*;
use crate::api::{Outcome, ReplicaState};
use crate::core::{CallEnd, Command, Core, DirectoryUpdate, ListedRunStore, PartRequest, QueryRequest};
use crate::settings::SiteSettings;

/// Something that may happen to a core. A `usize` selects one of the open attempts, probes or queries.
#[derive(Debug, Clone)]
enum Step {
    Ask { parts: u32, timeout: f64, partial: bool },
    AttemptEnds { which: usize, outcome: Outcome, value: bool },
    AttemptTimesOut(usize),
    ProbeEnds(usize),
    ClientLeaves(usize),
    TimePasses(f64),
    ListChanges(Vec<ReplicaState>),
    ProcessEndsBy(f64),
}

fn any_step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        3 => Just(Outcome::Completed),
        1 => Just(Outcome::Errored),
        1 => Just(Outcome::Rejected),
        2 => Just(Outcome::TimedOut),
    ];
    let state = prop_oneof![4 => Just(ReplicaState::Active), 1 => Just(ReplicaState::Gone)];
    prop_oneof![
        8 => (1u32..5, 1.0..1500.0, any::<bool>())
            .prop_map(|(parts, timeout, partial)| Step::Ask { parts, timeout, partial }),
        8 => (any::<usize>(), outcome, prop::bool::weighted(0.9))
            .prop_map(|(which, outcome, value)| Step::AttemptEnds { which, outcome, value }),
        3 => any::<usize>().prop_map(Step::AttemptTimesOut),
        2 => any::<usize>().prop_map(Step::ProbeEnds),
        2 => any::<usize>().prop_map(Step::ClientLeaves),
        8 => (0.0..400.0).prop_map(Step::TimePasses),
        1 => prop::collection::vec(state, 3).prop_map(Step::ListChanges),
        1 => (0.0..3000.0).prop_map(Step::ProcessEndsBy),
    ]
}

fn core() -> Core {
    let class = json!({"name": "search", "aim_ms": 300.0, "deadline_ms": 1000.0, "repeat": "read_like"});
    let site: SiteSettings = serde_json::from_value(json!({
        "caps": {"max_attempts": 3, "max_open": 60, "may_cancel": true, "probes": true},
        "domain": {"cells": 1, "width": 1, "shards": 9, "least_share": [0.4], "complete_from": [1.0]},
        "request_classes": [class],
        "tick_ms": 5.0,
    }))
    .unwrap();
    Core::new(&site, 7).unwrap()
}

fn list(states: &[ReplicaState]) -> DirectoryUpdate {
    let line = |(no, state): (usize, &ReplicaState)| {
        let id = format!("s-{no}").as_str().into();
        let replica = Replica { id, state: *state, weight: 1.0, ..Replica::default() };
        ListedRunStore { replica, address: Some(([127, 0, 0, 1], 9).into()) }
    };
    DirectoryUpdate::Changes(states.iter().enumerate().map(line).collect())
}

fn ask(parts: u32, timeout: f64, partial: bool) -> QueryRequest {
    let part = |shard| PartRequest { shard, weight: 1.0 / f64::from(parts), work_hint: None, key: None };
    QueryRequest {
        id: "r".into(),
        unique_id: false,
        class: "search".into(),
        tenant: None,
        timeout: Some(timeout),
        queued: 0.0,
        is_retry: false,
        accepts_partial: partial,
        key: None,
        parts: (0..parts).map(part).collect(),
        payload: b"text"[..].into(),
    }
}

/// Returns the element that `which` selects, modulo the number of elements, or `None` if there are none.
fn select<T: Copy + Ord>(mut all: Vec<T>, which: usize) -> Option<T> {
    all.sort_unstable();
    (!all.is_empty()).then(|| all[which % all.len()])
}

fn apply(core: &mut Core, now: &mut Millis, step: &Step) {
    let ledger = &core.ledger;
    match *step {
        Step::Ask { parts, timeout, partial } => {
            core.take_in(*now, ask(parts, timeout, partial)).unwrap();
        }
        Step::AttemptEnds { which, outcome, value } => {
            if let Some(no) = select(ledger.outstanding.keys().copied().collect(), which) {
                let value = Some(b"v"[..].into()).filter(|_| value);
                core.call_ended(*now, no, CallEnd { outcome, value, load: None });
            }
        }
        Step::AttemptTimesOut(which) => {
            if let Some(no) = select(ledger.outstanding.keys().copied().collect(), which) {
                core.call_timed_out(*now, no);
            }
        }
        Step::ProbeEnds(which) => {
            if let Some(no) = select(ledger.probes.outstanding.keys().copied().collect(), which) {
                core.probe_ended(no, which.is_multiple_of(2), None);
            }
        }
        Step::ClientLeaves(which) => {
            if let Some(no) = select(ledger.queries.keys().copied().collect(), which) {
                core.client_gone(*now, no);
            }
        }
        Step::TimePasses(time) => {
            *now += time;
            core.step(*now);
        }
        Step::ListChanges(ref states) => core.apply_directory_update(list(states)),
        Step::ProcessEndsBy(at) => core.set_exit_time(*now + at),
    }
}

/// Checks that the counts and indexes that are updated incrementally equal those recomputed from all records.
fn check_indexes(ledger: &Ledger, now: Millis) {
    let open = ledger.parts.values().filter(|part| part.value.is_none()).count();
    assert_eq!(ledger.open_work(), ledger.queries.len() + open);
    assert_eq!(ledger.deadlines.0.len(), ledger.queries.len());
    for at in [now, now + 250.0, now + 5000.0] {
        let overdue = ledger.queries.iter().filter(|(_, query)| query.deadline <= at);
        assert_eq!(ledger.deadlines.overdue(at), overdue.map(|(no, _)| *no).collect::<Vec<_>>());
    }
    let mut probed: Vec<_> = ledger.probes.outstanding.values().cloned().collect();
    probed.sort();
    let mut known: Vec<_> = ledger.probes.run_stores.iter().cloned().collect();
    known.sort();
    assert_eq!(probed, known, "at most one probe of each run store is outstanding");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn indexes_match_the_records_after_any_history(history in prop::collection::vec(any_step(), 1..150)) {
        let mut core = core();
        let mut now = 0.0;
        core.apply_directory_update(list(&[ReplicaState::Active; 3]));
        core.step(now);
        for step in &history {
            apply(&mut core, &mut now, step);
            check_indexes(&core.ledger, now);
            while let Some(command) = core.next_command() {
                if let Command::Answer { query, .. } = command {
                    assert!(!core.ledger.queries.contains_key(&query), "an answered query is removed");
                }
            }
        }
        // Everything left ends by its deadline, and no record of it remains.
        core.step(now + 1000.0);
        check_indexes(&core.ledger, now + 1000.0);
        assert_eq!(core.ledger.open_work(), 0);
    }
}
