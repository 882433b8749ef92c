//! The rules under random but legal orders of events, from a fixed seed.

mod common;
use std::collections::BTreeMap;

use common::*;
use ironpaddle::api::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Debug, Clone)]
struct Day {
    seed: u64,
    repeat: RepeatPolicy,
    settings: (u32, u32, bool, bool),
    /// By query: when it comes after the one before, its parts, and how long its client waits.
    queries: Vec<(u32, u32, u32)>,
    /// How the attempts end, in turn: the outcome's place, and after how long.
    ends: Vec<(usize, u32)>,
    /// When a replica is told to drain.
    drain: u32,
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Completed,
    Outcome::Completed,
    Outcome::Errored,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::NotSent,
];

fn days() -> impl Strategy<Value = Day> {
    let repeat = prop_oneof![
        Just(RepeatPolicy::Safe),
        Just(RepeatPolicy::Unsafe),
        (50.0..1500.0).prop_map(|window| RepeatPolicy::Keyed { window })
    ];
    let settings = (1u32..80, 1u32..5, any::<bool>(), any::<bool>());
    let queries = prop::collection::vec((0u32..400, 1u32..9, 300u32..4000), 1..25);
    let ends = prop::collection::vec((0usize..OUTCOMES.len(), 1u32..1500), 1..40);
    (any::<u64>(), repeat, settings, queries, ends, 0u32..5000).prop_map(
        |(seed, repeat, settings, queries, ends, drain)| Day { seed, repeat, settings, queries, ends, drain },
    )
}

/// An attempt out: when it ends, how, and when it was sent.
struct Out {
    at: f64,
    outcome: Outcome,
    sent: f64,
    replica: String,
}

#[derive(Default)]
struct Sent {
    attempts: u32,
    first_risk: Option<f64>,
    out: bool,
}

fn play(day: &Day) -> Result<(), TestCaseError> {
    let (routers, max_attempts, may_cancel, probes) = day.settings;
    let cold = ColdStartRule {
        initial_share: 0.2,
        warm_within: 10_000.0,
        overload_multiple: 2.0,
        overload_window: 1000.0,
    };
    let base = settings(day.repeat);
    let keep_alive = Some(15_000.0);
    let s = Settings { routers, max_attempts, may_cancel, probes, cold: Some(cold), keep_alive, ..base };
    let mut router = ironpaddle::Router::new(s, day.seed).map_err(TestCaseError::fail)?;
    router.step(0.0, vec![fleet(&["a", "b", "c"])]);
    let mut open: BTreeMap<String, f64> = BTreeMap::new();
    let mut parts: BTreeMap<String, Sent> = BTreeMap::new();
    let mut out: BTreeMap<(String, u32), Out> = BTreeMap::new();
    let mut ends = day.ends.iter().cycle();
    let mut due: Vec<(f64, u64, u32, f64)> = Vec::new();
    let mut at = 10.0;
    for (n, (gap, count, wait)) in (0u64..).zip(&day.queries) {
        at += f64::from(*gap);
        due.push((at, n, *count, at + f64::from(*wait)));
    }
    let last = due.iter().map(|(.., deadline)| *deadline).fold(at, f64::max);
    let mut now = 5.0;
    while now < last + 100.0 {
        now += 5.0;
        let mut events = vec![Event::Wake];
        if now - 5.0 < f64::from(day.drain) && now >= f64::from(day.drain) {
            let line = Replica { state: ReplicaState::Draining, ..replica("b") };
            events.push(Event::List(ListUpdate::Changes(vec![line])));
        }
        for (_, n, count, deadline) in due.iter().filter(|(at, ..)| *at <= now && *at > now - 5.0) {
            events.extend(query(*n, *count, *deadline));
            open.insert(format!("q{n}"), *deadline);
        }
        let ended_now: Vec<_> = out.iter().filter(|(_, o)| o.at <= now).map(|(id, _)| id.clone()).collect();
        for id in ended_now {
            let Some(o) = out.remove(&id) else { continue };
            if let Some(part) = parts.get_mut(&id.0) {
                part.out = false;
                if !o.outcome.never_ran() {
                    part.first_risk = Some(part.first_risk.map_or(o.sent, |first| first.min(o.sent)));
                }
            }
            events.push(ended(&id.0, id.1, &o.replica, o.outcome, now - o.sent));
        }
        for action in router.step(now, events) {
            match action {
                Action::Send { part, replica, timeout, .. } => {
                    let name = part.0.to_string();
                    let owner = name.split('.').next().unwrap_or_default().to_string();
                    prop_assert!(open.contains_key(&owner), "sent {name} after its query ended");
                    let drained = now >= f64::from(day.drain) && &*replica.0 == "b";
                    prop_assert!(!drained, "sent to a draining replica at {now}");
                    let known = parts.entry(name.clone()).or_default();
                    prop_assert!(!known.out, "two attempts of {name} at once");
                    let allowed = match (day.repeat, known.first_risk) {
                        (RepeatPolicy::Safe, _) | (_, None) => true,
                        (RepeatPolicy::Keyed { window }, Some(first)) => now <= first + window,
                        (RepeatPolicy::Unsafe, Some(_)) => false,
                    };
                    prop_assert!(
                        allowed && known.attempts < max_attempts,
                        "{name} repeated against the rules"
                    );
                    let (outcome, after) = ends.next().copied().unwrap_or_default();
                    let (mut outcome, mut after) = (OUTCOMES[outcome], f64::from(after));
                    if after >= timeout {
                        (outcome, after) = (Outcome::TimedOut, timeout);
                    }
                    let replica = replica.0.to_string();
                    out.insert((name, known.attempts), Out { at: now + after, outcome, sent: now, replica });
                    known.out = true;
                    known.attempts += 1;
                }
                Action::Cancel { part, attempt, .. } => {
                    prop_assert!(may_cancel);
                    if let Some(o) = out.get_mut(&(part.0.to_string(), attempt.0)) {
                        (o.at, o.outcome) = (now, Outcome::Cancelled);
                    }
                }
                Action::Answer { query, .. } | Action::Fail { query, .. } => {
                    let deadline = open.remove(&*query.0);
                    prop_assert!(deadline.is_some_and(|at| now <= at), "{} ended twice or late", query.0);
                }
                Action::Refuse { query, .. } => {
                    let deadline = open.remove(&*query.0);
                    prop_assert!(deadline.is_some_and(|at| now <= at), "{} ended twice or late", query.0);
                    let risky = |(id, part): (&String, &Sent)| {
                        id.starts_with(&format!("{}.", query.0)) && (part.out || part.first_risk.is_some())
                    };
                    prop_assert!(
                        day.repeat == RepeatPolicy::Safe || !parts.iter().any(risky),
                        "refused what may have run"
                    );
                }
                Action::Probe { .. } => prop_assert!(probes),
                Action::CloseIdle { .. } | Action::Subscribe | Action::WakeAt(_) | Action::Log(_) => {}
            }
        }
    }
    prop_assert!(open.is_empty(), "never ended: {open:?}");
    Ok(())
}

#[test]
fn no_legal_order_of_events_breaks_a_rule() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: 120, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    if let Err(error) = runner.run(&days(), |day| play(&day)) {
        panic!("{error}");
    }
}
