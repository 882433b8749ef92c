//! Queries for a core, and what it orders, for tests of the core by itself.
#![allow(dead_code)] // Each test file takes what it needs.

use ironpaddle::api::{Replica, ReplicaState};
use ironpaddle::core::{Ask, AskPart, Call, Core, Listed, Order};

/// A query of some parts of equal weight, with the first shards.
pub fn ask(id: &str, class: &str, parts: u32, timeout: f64) -> Ask {
    let part = |shard| AskPart { shard, weight: 1.0 / f64::from(parts), hint: None, key: None };
    Ask {
        id: id.into(),
        class: class.into(),
        tenant: None,
        timeout: Some(timeout),
        waited: 0.0,
        retried: false,
        partial: true,
        key: None,
        parts: (0..parts).map(part).collect(),
        text: b"text"[..].into(),
    }
}

/// A line of the list; 0 stands for a start long ago.
pub fn listed(name: &str, state: ReplicaState, started: f64) -> Listed {
    let started = Some(started).filter(|at| *at > 0.0);
    let replica = Replica { id: name.into(), state, weight: 1.0, started, ..Replica::default() };
    Listed { replica, address: Some(([127, 0, 0, 1], 9).into()) }
}

/// All that it orders by now.
pub fn orders(core: &mut Core) -> Vec<Order> {
    std::iter::from_fn(|| core.next_order()).collect()
}

/// The attempts among orders.
pub fn calls(orders: &[Order]) -> Vec<Call> {
    let call = |order: &Order| match order {
        Order::Send(call) => Some(call.clone()),
        _ => None,
    };
    orders.iter().filter_map(call).collect()
}
