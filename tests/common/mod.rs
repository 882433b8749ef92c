//! A hand-driven fleet for tests of the module by its public interface.
#![allow(dead_code)] // Each test file takes what it needs.

use ironpaddle::api::*;
use ironpaddle::Router;

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

/// One cell of shards held by every replica, so that all choices are open.
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

pub fn fleet(names: &[&str]) -> Event {
    Event::List(ListUpdate::Cached(names.iter().map(|name| replica(name)).collect()))
}

/// A query `q<number>` with parts `q<number>.<n>` of equal weight.
pub fn query(number: u64, parts: u32, deadline: Millis) -> Vec<Event> {
    let mut events = vec![Event::Query(NewQuery {
        id: format!("q{number}").as_str().into(),
        number,
        class: ClassIndex(0),
        tenant: None,
        key: None,
        // It came in with the step that takes it, which is before its deadline.
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

/// The sends among actions, as part and replica.
pub fn sends(actions: &[Action]) -> Vec<(String, String)> {
    let send = |action: &Action| match action {
        Action::Send { part, replica, .. } => Some((part.0.to_string(), replica.0.to_string())),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// The final answers among actions, as text.
pub fn finals(actions: &[Action]) -> Vec<String> {
    let last = |action: &Action| match action {
        Action::Answer { query, whole: true } => Some(format!("whole {}", query.0)),
        Action::Answer { query, whole: false } => Some(format!("partial {}", query.0)),
        Action::Refuse { query, .. } => Some(format!("refuse {}", query.0)),
        Action::Fail { query, .. } => Some(format!("fail {}", query.0)),
        _ => None,
    };
    actions.iter().filter_map(last).collect()
}

/// Steps with nothing but wake-ups from `from` to `to`.
pub fn run(router: &mut Router, from: Millis, to: Millis) -> Vec<Action> {
    let mut actions = Vec::new();
    let mut now = from;
    while now <= to {
        actions.extend(router.step(now, vec![Event::Wake]));
        now += 5.0;
    }
    actions
}

pub fn start(settings: Settings, names: &[&str]) -> Router {
    let mut router = Router::new(settings, 7).expect("settings are sound");
    router.step(0.0, vec![fleet(names)]);
    router
}
