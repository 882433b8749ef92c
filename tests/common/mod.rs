//! Settings, events and helpers for tests that drive a `Router` through its public interface.
#![allow(dead_code)] // No test file uses every helper.

use ironpaddle::api::*;
use ironpaddle::Router;

/// Returns a class with an aim of 1 s that answers only with all parts.
pub fn class(repeat: RepeatPolicy) -> Class {
    Class {
        aim: 1000.0,
        repeat,
        worth: 1.0,
        late_worth: 0.1,
        least_share: 1.0,
        whole_from: 1.0,
        partial_worth: 0.9,
        second_step_parts: 0,
    }
}

/// Returns settings with one cell, so that every replica holds every shard and can take any part.
pub fn settings(repeat: RepeatPolicy) -> Settings {
    Settings {
        classes: vec![class(repeat)],
        tenants: Vec::new(),
        over_share_worth: 0.1,
        routers: 1,
        cells: 1,
        cells_per_shard: 1,
        max_parts_per_call: 4,
        call_overhead: 0.0,
        warm_keys: false,
        worth_by_work: false,
        max_attempts: 3,
        may_cancel: true,
        parallel_attempts: true,
        keep_alive: None,
        probes: true,
        max_retry_after: 500.0,
        discovery: Discovery::Pushed,
        list_refresh_within: 10_000.0,
        cold: None,
        budget: None,
        tick: 5.0,
        zone: "here".into(),
    }
}

/// Returns an active replica in the only cell and in the router's zone.
pub fn replica(name: &str) -> Replica {
    Replica {
        id: name.into(),
        zone: "here".into(),
        cell: 0,
        state: ReplicaState::Active,
        weight: 1.0,
        started: None,
    }
}

/// Returns the event that gives the router a cached list of these replicas.
pub fn list_event(names: &[&str]) -> Event {
    Event::List(ListUpdate::Cached(names.iter().map(|name| replica(name)).collect()))
}

/// Returns the events of a query `q<number>` with parts `q<number>.<n>` of equal weight.
pub fn query(number: u64, parts: u32, deadline: Millis) -> Vec<Event> {
    let mut events = vec![Event::Query(NewQuery {
        id: format!("q{number}").as_str().into(),
        number,
        class: ClassIndex(0),
        tenant: None,
        key: None,
        // An arrival time after the step counts as the time of the step.
        arrived: deadline,
        deadline,
        parts,
        client_retry: false,
    })];
    events.extend((0..parts).map(|n| {
        Event::Part(NewPart {
            id: format!("q{number}.{n}").as_str().into(),
            query: number,
            shard: Shard(n),
            weight: 1.0 / f64::from(parts),
            cost_hint: None,
            key: None,
        })
    }));
    events
}

/// Returns the event that an attempt ended, without a load report.
pub fn ended(part: &str, attempt: u32, replica: &str, outcome: Outcome, latency: Millis) -> Event {
    Event::AttemptEnded(AttemptEnded {
        part: part.into(),
        attempt: Attempt(attempt),
        replica: replica.into(),
        outcome,
        latency,
        load: None,
    })
}

/// Returns the part and the replica of each `Send` action.
pub fn sends(actions: &[Action]) -> Vec<(String, String)> {
    let send = |action: &Action| match action {
        Action::Send { part, replica, .. } => Some((part.0.to_string(), replica.0.to_string())),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Returns the final answers among the actions as text, such as `whole q1`.
pub fn final_answers(actions: &[Action]) -> Vec<String> {
    let answer = |action: &Action| match action {
        Action::Answer { query, whole: true } => Some(format!("whole {}", query.0)),
        Action::Answer { query, whole: false } => Some(format!("partial {}", query.0)),
        Action::Refuse { query, .. } => Some(format!("refuse {}", query.0)),
        Action::Fail { query, .. } => Some(format!("fail {}", query.0)),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}

/// Steps the router every 5 ms from `from` to `to` with wake events only, and returns all actions.
pub fn run(router: &mut Router, from: Millis, to: Millis) -> Vec<Action> {
    let mut actions = Vec::new();
    let mut now = from;
    while now <= to {
        actions.extend(router.step(now, vec![Event::Wake]));
        now += 5.0;
    }
    actions
}

/// Returns a router that has the list of these replicas.
pub fn start(settings: Settings, names: &[&str]) -> Router {
    let mut router = Router::new(settings, 7).expect("valid settings");
    router.step(0.0, vec![list_event(names)]);
    router
}
