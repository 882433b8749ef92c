//! Format version 2, which stored steps without grouping and the progress of each attempt in two records: its record
//! types and their conversion to the current ones.
//!
//! These types are frozen.

use serde::Deserialize;

use crate::record::{
    self, Action, AppliedSettings, Checkpoint, Closed, Counts, Event, Loss, Name, Taken, Verdict,
};

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
enum Progress {
    Begun,
    Written,
}

#[derive(Deserialize)]
pub(crate) struct Wire {
    query: u64,
    shard: u32,
    attempt: u32,
    progress: Progress,
}

impl From<Wire> for record::Wire {
    fn from(wire: Wire) -> Self {
        let Wire { query, shard, attempt, progress } = wire;
        let progress = match progress {
            Progress::Begun => record::Progress::Begun,
            Progress::Written => record::Progress::Written(None),
        };
        record::Wire { query, shard, attempt, progress }
    }
}

impl From<Record> for record::Record {
    fn from(old: Record) -> Self {
        use record::Record as Now;
        match old {
            Record::Checkpoint(checkpoint) => Now::Checkpoint(checkpoint),
            Record::Settings(settings) => Now::Settings(settings),
            Record::Step(Step { events, actions }) => Now::Step(record::Step { events, actions }),
            Record::Taken(taken) => Now::Taken(taken),
            Record::Verdict(verdict) => Now::Verdict(verdict),
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
