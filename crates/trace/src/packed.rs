//! The stored form of steps, which groups a query with its parts, and consecutive sends of the same query.
//!
//! Steps make up most bytes of a trace. Without grouping, most of these would repeat the query number and timeout of
//! each part. Unpacking gives the same events and actions in the same order.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::num::Num;
use crate::record::{Action, Choice, Event, Name, Step, Why};

/// A part in the group of its query: shard, weight, hint, key.
type PackedPart = (u32, Num, Option<Num>, Option<Name>);
/// A send in a group: shard, run store, reason for the choice of run store.
type PackedSend = (u32, Name, Choice);

#[derive(Serialize)]
enum PackedEventRef<'a> {
    #[serde(rename = "Asked")]
    Query(&'a Event, Vec<PackedPart>),
    One(&'a Event),
}

#[derive(Deserialize)]
enum PackedEvent {
    #[serde(rename = "Asked")]
    Query(Event, Vec<PackedPart>),
    One(Event),
}

#[derive(Serialize)]
enum PackedActionRef<'a> {
    Sends(u64, Num, Why, Vec<PackedSend>),
    One(&'a Action),
}

#[derive(Deserialize)]
enum PackedAction {
    Sends(u64, Num, Why, Vec<PackedSend>),
    One(Action),
}

fn pack_events(events: &[Event]) -> Vec<PackedEventRef<'_>> {
    let mut packed: Vec<PackedEventRef> = Vec::with_capacity(events.len());
    for event in events {
        match (event, packed.last_mut()) {
            (Event::Query { .. }, _) => packed.push(PackedEventRef::Query(event, Vec::new())),
            (Event::Part { query, shard, weight, hint, key }, Some(PackedEventRef::Query(of, parts)))
                if of.query() == Some(*query) =>
            {
                parts.push((*shard, *weight, *hint, *key));
            }
            _ => packed.push(PackedEventRef::One(event)),
        }
    }
    packed
}

fn pack_actions(actions: &[Action]) -> Vec<PackedActionRef<'_>> {
    let mut packed: Vec<PackedActionRef> = Vec::with_capacity(actions.len());
    for action in actions {
        let Action::Send { query, shard, run_store, timeout, why, choice } = action else {
            packed.push(PackedActionRef::One(action));
            continue;
        };
        let send = (*shard, *run_store, *choice);
        match packed.last_mut() {
            Some(PackedActionRef::Sends(of, wait, reason, sends))
                if (&*of, &*wait, &*reason) == (query, timeout, why) =>
            {
                sends.push(send);
            }
            _ => packed.push(PackedActionRef::Sends(*query, *timeout, *why, vec![send])),
        }
    }
    packed
}

impl Serialize for Step {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        if out.is_human_readable() {
            #[derive(Serialize)]
            struct Plain<'a> {
                events: &'a [Event],
                actions: &'a [Action],
            }
            return Plain { events: &self.events, actions: &self.actions }.serialize(out);
        }
        (pack_events(&self.events), pack_actions(&self.actions)).serialize(out)
    }
}

impl<'de> Deserialize<'de> for Step {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let (packed_events, packed_actions) = <(Vec<PackedEvent>, Vec<PackedAction>)>::deserialize(from)?;
        let mut events = Vec::with_capacity(packed_events.len());
        for packed in packed_events {
            match packed {
                PackedEvent::One(event) => events.push(event),
                PackedEvent::Query(event, parts) => {
                    let query = event.query().unwrap_or(0);
                    events.push(event);
                    let part = |(shard, weight, hint, key)| Event::Part { query, shard, weight, hint, key };
                    events.extend(parts.into_iter().map(part));
                }
            }
        }
        let mut actions = Vec::with_capacity(packed_actions.len());
        for packed in packed_actions {
            match packed {
                PackedAction::One(action) => actions.push(action),
                PackedAction::Sends(query, timeout, why, sends) => {
                    let send = |(shard, run_store, choice)| Action::Send {
                        query,
                        shard,
                        run_store,
                        timeout,
                        why,
                        choice,
                    };
                    actions.extend(sends.into_iter().map(send));
                }
            }
        }
        Ok(Step { events, actions })
    }
}

#[cfg(test)]
mod tests;
