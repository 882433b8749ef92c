//! Queries for a `Core` and readers of its commands, for tests of the core without a transport.
#![allow(dead_code)] // No test file uses every helper.

use ironpaddle::api::{Replica, ReplicaState};
use ironpaddle::core::{Call, Command, Core, ListedRunStore, PartRequest, QueryRequest};

/// Returns a query with parts of equal weight for shards 0 to `parts` - 1.
pub fn ask(id: &str, class: &str, parts: u32, timeout: f64) -> QueryRequest {
    let part = |shard| PartRequest { shard, weight: 1.0 / f64::from(parts), work_hint: None, key: None };
    QueryRequest {
        id: id.into(),
        unique_id: false,
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

/// Returns an entry of the run store list; `started` 0 means that the start time is unknown.
pub fn listed(name: &str, state: ReplicaState, started: f64) -> ListedRunStore {
    let started = Some(started).filter(|at| *at > 0.0);
    let replica = Replica { id: name.into(), state, weight: 1.0, started, ..Replica::default() };
    ListedRunStore { replica, address: Some(([127, 0, 0, 1], 9).into()) }
}

/// Takes all pending commands of the core.
pub fn commands(core: &mut Core) -> Vec<Command> {
    std::iter::from_fn(|| core.next_command()).collect()
}

/// Returns the calls of the `Send` commands.
pub fn calls(commands: &[Command]) -> Vec<Call> {
    let call = |command: &Command| match command {
        Command::Send(call) => Some(call.clone()),
        _ => None,
    };
    commands.iter().filter_map(call).collect()
}
