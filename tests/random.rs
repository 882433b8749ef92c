//! Checks the rules of the router under random but legal orders of events, from a fixed seed.

mod common;
use std::collections::BTreeMap;

use common::*;
use ironpaddle::api::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// A generated sequence of events with its settings.
#[derive(Debug, Clone)]
struct Scenario {
    seed: u64,
    repeat: RepeatPolicy,
    settings: (u32, u32, bool, bool),
    /// Per query: milliseconds since the previous one, number of parts, and client timeout in milliseconds.
    queries: Vec<(u32, u32, u32)>,
    /// Ends of the attempts, in order: index into `OUTCOMES`, and duration in milliseconds.
    ends: Vec<(usize, u32)>,
    /// When replica `b` starts to drain, in milliseconds.
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

fn scenarios() -> impl Strategy<Value = Scenario> {
    let repeat = prop_oneof![
        Just(RepeatPolicy::Safe),
        Just(RepeatPolicy::Unsafe),
        (50.0..1500.0).prop_map(|window| RepeatPolicy::Keyed { window })
    ];
    let settings = (1u32..80, 1u32..5, any::<bool>(), any::<bool>());
    let queries = prop::collection::vec((0u32..400, 1u32..9, 300u32..4000), 1..25);
    let ends = prop::collection::vec((0usize..OUTCOMES.len(), 1u32..1500), 1..40);
    (any::<u64>(), repeat, settings, queries, ends, 0u32..5000).prop_map(
        |(seed, repeat, settings, queries, ends, drain)| Scenario {
            seed,
            repeat,
            settings,
            queries,
            ends,
            drain,
        },
    )
}

/// An attempt in flight: when and how it ends, when it was sent and to which replica.
struct InFlight {
    at: f64,
    outcome: Outcome,
    sent: f64,
    replica: String,
}

/// What is known of the attempts of one part.
#[derive(Default)]
struct PartState {
    attempts: u32,
    first_risk: Option<f64>,
    in_flight: bool,
}

fn play(scenario: &Scenario) -> Result<(), TestCaseError> {
    let (routers, max_attempts, may_cancel, probes) = scenario.settings;
    let cold = ColdStartRule {
        initial_share: 0.2,
        warm_within: 10_000.0,
        overload_multiple: 2.0,
        overload_window: 1000.0,
    };
    let base = settings(scenario.repeat);
    let keep_alive = Some(15_000.0);
    let s = Settings { routers, max_attempts, may_cancel, probes, cold: Some(cold), keep_alive, ..base };
    let mut router = ironpaddle::Router::new(s, scenario.seed).map_err(TestCaseError::fail)?;
    router.step(0.0, vec![list_event(&["a", "b", "c"])]);
    let mut open: BTreeMap<String, f64> = BTreeMap::new();
    let mut parts: BTreeMap<String, PartState> = BTreeMap::new();
    let mut in_flight: BTreeMap<(String, u32), InFlight> = BTreeMap::new();
    let mut ends = scenario.ends.iter().cycle();
    let mut arrivals: Vec<(f64, u64, u32, f64)> = Vec::new();
    let mut at = 10.0;
    for (n, (gap, count, wait)) in (0u64..).zip(&scenario.queries) {
        at += f64::from(*gap);
        arrivals.push((at, n, *count, at + f64::from(*wait)));
    }
    let last = arrivals.iter().map(|(.., deadline)| *deadline).fold(at, f64::max);
    let mut now = 5.0;
    while now < last + 100.0 {
        now += 5.0;
        let mut events = vec![Event::Wake];
        if now - 5.0 < f64::from(scenario.drain) && now >= f64::from(scenario.drain) {
            let line = Replica { state: ReplicaState::Draining, ..replica("b") };
            events.push(Event::List(ListUpdate::Changes(vec![line])));
        }
        for (_, n, count, deadline) in arrivals.iter().filter(|(at, ..)| *at <= now && *at > now - 5.0) {
            events.extend(query(*n, *count, *deadline));
            open.insert(format!("q{n}"), *deadline);
        }
        let ended_now: Vec<_> = in_flight
            .iter()
            .filter(|(_, sent_attempt)| sent_attempt.at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended_now {
            let Some(sent_attempt) = in_flight.remove(&id) else { continue };
            if let Some(part) = parts.get_mut(&id.0) {
                part.in_flight = false;
                if !sent_attempt.outcome.never_ran() {
                    part.first_risk =
                        Some(part.first_risk.map_or(sent_attempt.sent, |first| first.min(sent_attempt.sent)));
                }
            }
            events.push(ended(
                &id.0,
                id.1,
                &sent_attempt.replica,
                sent_attempt.outcome,
                now - sent_attempt.sent,
            ));
        }
        for action in router.step(now, events) {
            match action {
                Action::Send { part, replica, timeout, .. } => {
                    let name = part.0.to_string();
                    let owner = name.split('.').next().unwrap_or_default().to_string();
                    prop_assert!(open.contains_key(&owner), "sent {name} after its query ended");
                    let drained = now >= f64::from(scenario.drain) && &*replica.0 == "b";
                    prop_assert!(!drained, "sent to a draining replica at {now}");
                    let state = parts.entry(name.clone()).or_default();
                    prop_assert!(!state.in_flight, "two attempts of {name} at once");
                    let allowed = match (scenario.repeat, state.first_risk) {
                        (RepeatPolicy::Safe, _) | (_, None) => true,
                        (RepeatPolicy::Keyed { window }, Some(first)) => now <= first + window,
                        (RepeatPolicy::Unsafe, Some(_)) => false,
                    };
                    prop_assert!(
                        allowed && state.attempts < max_attempts,
                        "{name} retried against the rules"
                    );
                    let (outcome, after) = ends.next().copied().unwrap_or_default();
                    let (mut outcome, mut after) = (OUTCOMES[outcome], f64::from(after));
                    if after >= timeout {
                        (outcome, after) = (Outcome::TimedOut, timeout);
                    }
                    let replica = replica.0.to_string();
                    in_flight.insert(
                        (name, state.attempts),
                        InFlight { at: now + after, outcome, sent: now, replica },
                    );
                    state.in_flight = true;
                    state.attempts += 1;
                }
                Action::Cancel { part, attempt, .. } => {
                    prop_assert!(may_cancel);
                    if let Some(sent_attempt) = in_flight.get_mut(&(part.0.to_string(), attempt.0)) {
                        (sent_attempt.at, sent_attempt.outcome) = (now, Outcome::Cancelled);
                    }
                }
                Action::Answer { query, .. } | Action::Fail { query, .. } => {
                    let deadline = open.remove(&*query.0);
                    prop_assert!(deadline.is_some_and(|at| now <= at), "{} ended twice or late", query.0);
                }
                Action::Refuse { query, .. } => {
                    let deadline = open.remove(&*query.0);
                    prop_assert!(deadline.is_some_and(|at| now <= at), "{} ended twice or late", query.0);
                    let may_have_run = |(id, part): (&String, &PartState)| {
                        id.starts_with(&format!("{}.", query.0))
                            && (part.in_flight || part.first_risk.is_some())
                    };
                    prop_assert!(
                        scenario.repeat == RepeatPolicy::Safe || !parts.iter().any(may_have_run),
                        "refused a query whose parts may have run"
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
    if let Err(error) = runner.run(&scenarios(), |scenario| play(&scenario)) {
        panic!("{error}");
    }
}
