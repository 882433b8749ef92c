//! Format version 1, which had no causes: its record types and their conversion to the current ones.
//!
//! These types are frozen. Information that version 1 did not record is converted to `Unknown`, not to "none".

use serde::Deserialize;

use crate::num::Num;
use crate::record::{
    self, AppliedSettings, Cause, Checkpoint, Choice, Closed, Counts, Event, How, Loss, Name, Taken, Why,
};
use crate::v2::Wire;

#[derive(Deserialize)]
pub(crate) enum Record {
    Checkpoint(Box<Checkpoint>),
    Settings(Box<AppliedSettings>),
    Step(Step),
    Taken(Taken),
    Verdict(Verdict),
    NotTaken(Option<Name>),
    Wire(Wire),
    Closed(Closed),
    Call(String),
    Counts(Counts),
    Loss(Loss),
    End,
}

#[derive(Deserialize)]
pub(crate) struct Step {
    events: Vec<Event>,
    actions: Vec<Action>,
}

#[derive(Deserialize)]
enum Action {
    Send { query: u64, shard: u32, run_store: Name, timeout: Num },
    Cancel { query: u64, shard: u32, attempt: u32 },
    Answer { query: u64, whole: bool },
    Refuse { query: u64, retry_after: Num },
    Fail { query: u64, retry_after: Num },
    Probe(Name),
    CloseIdle(Name),
    Subscribe,
    WakeAt(Num),
    Log(String),
}

#[derive(Deserialize)]
pub(crate) struct Verdict {
    query: u64,
    class: Name,
    group: Option<Name>,
    took: Num,
    how: How,
    parts_in: u32,
    parts: u32,
}

impl From<Action> for record::Action {
    fn from(action: Action) -> Self {
        use record::Action as Now;
        let (why, choice, cause) = (Why::Unknown, Choice::Unknown, Cause::Unknown);
        match action {
            Action::Send { query, shard, run_store, timeout } => {
                Now::Send { query, shard, run_store, timeout, why, choice }
            }
            Action::Cancel { query, shard, attempt } => Now::Cancel { query, shard, attempt, why },
            Action::Answer { query, whole } => Now::Answer { query, whole },
            Action::Refuse { query, retry_after } => Now::Refuse { query, retry_after, cause },
            Action::Fail { query, retry_after } => Now::Fail { query, retry_after, cause },
            Action::Probe(name) => Now::Probe(name),
            Action::CloseIdle(name) => Now::CloseIdle(name),
            Action::Subscribe => Now::Subscribe,
            Action::WakeAt(at) => Now::WakeAt(at),
            Action::Log(text) => Now::Log(text),
        }
    }
}

impl From<Verdict> for record::Verdict {
    fn from(verdict: Verdict) -> Self {
        let Verdict { query, class, group, took, how, parts_in, parts } = verdict;
        let cause = matches!(how, How::Refused | How::Failed).then_some(Cause::Unknown);
        record::Verdict { query, class, group, took, how, cause, parts_in, parts }
    }
}

impl From<Record> for record::Record {
    fn from(old: Record) -> Self {
        use record::Record as Now;
        match old {
            Record::Checkpoint(checkpoint) => Now::Checkpoint(checkpoint),
            Record::Settings(settings) => Now::Settings(settings),
            Record::Step(Step { events, actions }) => {
                Now::Step(record::Step { events, actions: actions.into_iter().map(Into::into).collect() })
            }
            Record::Taken(taken) => Now::Taken(taken),
            Record::Verdict(verdict) => Now::Verdict(verdict.into()),
            Record::NotTaken(class) => Now::NotTaken(class),
            Record::Wire(wire) => Now::Wire(wire.into()),
            Record::Closed(closed) => Now::Closed(closed),
            Record::Call(call) => Now::Call(call),
            Record::Counts(counts) => Now::Counts(counts),
            Record::Loss(loss) => Now::Loss(loss),
            Record::End => Now::End,
        }
    }
}
