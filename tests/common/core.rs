//! Queries for a core, and what it orders, for tests of the core by itself.
#![allow(dead_code)] // Each test file takes what it needs.

use ironpaddle::api::{Replica, ReplicaState};
use ironpaddle::core::{Call, Command, Core, ListedRunStore, PartRequest, QueryRequest};

/// A query of some parts of equal weight, with the first shards.
pub fn ask(id: &str, class: &str, parts: u32, timeout: f64) -> QueryRequest {
    let part = |shard| PartRequest { shard, weight: 1.0 / f64::from(parts), work_hint: None, key: None };
    QueryRequest {
        id: id.into(),
        class: class.into(),
        tenant: None,
        timeout: Some(timeout),
        queued: 0.0,
        is_retry: false,
        accepts_partial: true,
        key: None,
        parts: (0..parts).map(part).collect(),
        payload: b"text"[..].into(),
    }
}

/// A line of the list; 0 stands for a start long ago.
pub fn listed(name: &str, state: ReplicaState, started: f64) -> ListedRunStore {
    let started = Some(started).filter(|at| *at > 0.0);
    let replica = Replica { id: name.into(), state, weight: 1.0, started, ..Replica::default() };
    ListedRunStore { replica, address: Some(([127, 0, 0, 1], 9).into()) }
}

/// All that it orders by now.
pub fn commands(core: &mut Core) -> Vec<Command> {
    std::iter::from_fn(|| core.next_command()).collect()
}

/// The attempts among orders.
pub fn calls(commands: &[Command]) -> Vec<Call> {
    let call = |command: &Command| match command {
        Command::Send(call) => Some(call.clone()),
        _ => None,
    };
    commands.iter().filter_map(call).collect()
}
