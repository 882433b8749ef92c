//! Converts between the interface of the decision module and the records of a trace, without loss in both directions.
//!
//! The core names queries `qN` and parts `qN.SHARD`, so records hold only the numbers; see [`query_id`] and
//! [`part_id`].

use std::sync::Arc;

use ironpaddle_trace::block::{Batch, Block};
use ironpaddle_trace::num::Num;
use ironpaddle_trace::record::{self, Kind, Line, ListKind, Load, Standing};

use crate::api::{
    self, Action, Attempt, AttemptEnded, AttemptReason, Cause, ClassIndex, Event, ListUpdate, LoadReport,
    Millis, NewPart, NewQuery, Outcome, PartId, QueryId, Replica, ReplicaChoice, ReplicaId, ReplicaState,
    Shard, TenantIndex,
};

/// Returns the decision module's id of a query.
pub fn query_id(no: u64) -> QueryId {
    QueryId(Arc::from(format!("q{no}")))
}

/// Returns the decision module's id of a part.
pub fn part_id(no: u64, shard: u32) -> PartId {
    PartId(Arc::from(format!("q{no}.{shard}")))
}

/// Returns the number of a query, given the module's id of it.
fn query_number(id: &QueryId) -> u64 {
    id.0.get(1..).and_then(|no| no.parse().ok()).unwrap_or(0)
}

/// Returns the query and shard of a part, given the module's id of it.
fn part_numbers(id: &PartId) -> (u64, u32) {
    let numbers = id.0.get(1..).and_then(|text| text.split_once('.'));
    numbers.and_then(|(no, shard)| Some((no.parse().ok()?, shard.parse().ok()?))).unwrap_or((0, 0))
}

fn outcome_to_record(outcome: Outcome) -> record::Outcome {
    match outcome {
        Outcome::Completed => record::Outcome::Completed,
        Outcome::Errored => record::Outcome::Errored,
        Outcome::Rejected => record::Outcome::Rejected,
        Outcome::TimedOut => record::Outcome::TimedOut,
        Outcome::ConnectFailed => record::Outcome::ConnectFailed,
        Outcome::Reset => record::Outcome::Reset,
        Outcome::Cancelled => record::Outcome::Cancelled,
        Outcome::NotSent => record::Outcome::NotSent,
    }
}

fn outcome_from_record(outcome: record::Outcome) -> Outcome {
    match outcome {
        record::Outcome::Completed => Outcome::Completed,
        record::Outcome::Errored => Outcome::Errored,
        record::Outcome::Rejected => Outcome::Rejected,
        record::Outcome::TimedOut => Outcome::TimedOut,
        record::Outcome::ConnectFailed => Outcome::ConnectFailed,
        record::Outcome::Reset => Outcome::Reset,
        record::Outcome::Cancelled => Outcome::Cancelled,
        record::Outcome::NotSent => Outcome::NotSent,
    }
}

pub(super) fn reason_to_record(reason: AttemptReason) -> record::Why {
    match reason {
        AttemptReason::First => record::Why::First,
        AttemptReason::After(outcome) => record::Why::After(outcome_to_record(outcome)),
        AttemptReason::Silent => record::Why::Silent,
        AttemptReason::Overtaken => record::Why::Overtaken,
        AttemptReason::Dropped => record::Why::Dropped,
        AttemptReason::Over => record::Why::Over,
    }
}

/// Converts the choice of a replica to a record.
pub(super) fn choice_to_record(choice: ReplicaChoice) -> record::Choice {
    match choice {
        ReplicaChoice::LeastFinish => record::Choice::Least,
        ReplicaChoice::OnlyCandidate => record::Choice::Only,
        ReplicaChoice::BestParked => record::Choice::BestParked,
    }
}

/// Converts a cause to a record.
pub fn cause_to_record(cause: Cause) -> record::Cause {
    match cause {
        Cause::NoList => record::Cause::NoList,
        Cause::NoHolder(shard) => record::Cause::NoHolder(shard.0),
        Cause::Drained(shard) => record::Cause::Drained(shard.0),
        Cause::AllParked(shard) => record::Cause::AllParked(shard.0),
        Cause::BeyondShare => record::Cause::BeyondShare,
        Cause::PredictedLate => record::Cause::PredictedLate,
        Cause::TimeUp => record::Cause::TimeUp,
        Cause::MayHaveRun(shard) => record::Cause::MayHaveRun(shard.0),
        Cause::AttemptsSpent(shard) => record::Cause::AttemptsSpent(shard.0),
        Cause::Poison => record::Cause::Poison,
        Cause::MaxOpen => record::Cause::MaxOpen,
        Cause::Overdue => record::Cause::Overdue,
        Cause::TooLittle => record::Cause::TooLittle,
    }
}

fn load_to_record(load: &LoadReport) -> Load {
    Load {
        queue: load.queue.map(Num::of),
        in_flight: load.in_flight.map(Num::of),
        utilization: load.utilization.map(Num::of),
        throughput: load.throughput.map(Num::of),
    }
}

fn load_from_record(load: &Load) -> LoadReport {
    LoadReport {
        queue: load.queue.map(Num::value),
        in_flight: load.in_flight.map(Num::value),
        utilization: load.utilization.map(Num::value),
        throughput: load.throughput.map(Num::value),
    }
}

fn line_to_record(batch: &mut Batch, line: &Replica) -> Line {
    Line {
        run_store: batch.name(Kind::RunStore, &line.id.0),
        zone: line.zone.to_string(),
        cell: line.cell,
        standing: match line.state {
            ReplicaState::Active => Standing::Active,
            ReplicaState::Draining => Standing::Draining,
            ReplicaState::Gone => Standing::Gone,
        },
        weight: Num::of(line.weight),
        started: line.started.map(Num::of),
    }
}

fn line_from_record(block: &Block, line: &Line) -> Replica {
    Replica {
        id: ReplicaId::from(block.text(line.run_store)),
        zone: line.zone.as_str().into(),
        cell: line.cell,
        state: match line.standing {
            Standing::Active => ReplicaState::Active,
            Standing::Draining => ReplicaState::Draining,
            Standing::Gone => ReplicaState::Gone,
        },
        weight: line.weight.value(),
        started: line.started.map(Num::value),
    }
}

/// Converts an event to a record. Keys are recorded only if `keys` is true, that is, if the module routes by them.
pub fn event_to_record(batch: &mut Batch, now: Millis, event: &Event, keys: bool) -> record::Event {
    let key = |batch: &mut Batch, key: &Option<Arc<str>>| {
        key.as_ref().filter(|_| keys).map(|key| batch.name(Kind::Key, key))
    };
    match event {
        Event::List(update) => {
            let (kind, lines) = match update {
                ListUpdate::Cached(lines) => (ListKind::Cached, lines.as_slice()),
                ListUpdate::Full(lines) => (ListKind::Full, lines.as_slice()),
                ListUpdate::Changes(lines) => (ListKind::Changes, lines.as_slice()),
                ListUpdate::Failed => (ListKind::Broken, &[][..]),
            };
            record::Event::List(kind, lines.iter().map(|line| line_to_record(batch, line)).collect())
        }
        Event::Query(new) => record::Event::Query {
            query: new.number,
            class: new.class.0 as u32,
            group: new.tenant.map(|TenantIndex(at)| at as u32),
            key: key(batch, &new.key),
            arrived: Num::since(now, new.arrived),
            deadline: Num::since(now, new.deadline),
            parts: new.parts,
            retry: new.client_retry,
        },
        Event::Part(new) => record::Event::Part {
            query: new.query,
            shard: new.shard.0,
            weight: Num::of(new.weight),
            hint: new.cost_hint.map(Num::of),
            key: key(batch, &new.key),
        },
        Event::AttemptEnded(end) => {
            let (query, shard) = part_numbers(&end.part);
            record::Event::Ended {
                query,
                shard,
                attempt: end.attempt.0,
                run_store: batch.name(Kind::RunStore, &end.replica.0),
                outcome: outcome_to_record(end.outcome),
                latency: Num::of(end.latency),
                load: end.load.as_ref().map(load_to_record),
            }
        }
        Event::ProbeEnded { replica, ok, load } => record::Event::Probe {
            run_store: batch.name(Kind::RunStore, &replica.0),
            ok: *ok,
            load: load.as_ref().map(load_to_record),
        },
        Event::ClientGone(id) => record::Event::Gone(query_number(id)),
        Event::Wake => record::Event::Wake,
    }
}

/// Converts a record back to the event.
pub fn event_from_record(block: &Block, now: Millis, event: &record::Event) -> Event {
    let text = |name: &record::Name| Arc::from(block.text(*name));
    match event {
        record::Event::List(kind, lines) => {
            let lines = lines.iter().map(|line| line_from_record(block, line)).collect();
            Event::List(match kind {
                ListKind::Cached => ListUpdate::Cached(lines),
                ListKind::Full => ListUpdate::Full(lines),
                ListKind::Changes => ListUpdate::Changes(lines),
                ListKind::Broken => ListUpdate::Failed,
            })
        }
        record::Event::Query { query, class, group, key, arrived, deadline, parts, retry } => {
            Event::Query(NewQuery {
                id: query_id(*query),
                number: *query,
                class: ClassIndex(*class as usize),
                tenant: group.map(|at| TenantIndex(at as usize)),
                key: key.as_ref().map(text),
                arrived: arrived.after(now),
                deadline: deadline.after(now),
                parts: *parts,
                client_retry: *retry,
            })
        }
        record::Event::Part { query, shard, weight, hint, key } => Event::Part(NewPart {
            id: part_id(*query, *shard),
            query: *query,
            shard: Shard(*shard),
            weight: weight.value(),
            cost_hint: hint.map(Num::value),
            key: key.as_ref().map(text),
        }),
        record::Event::Ended { query, shard, attempt, run_store, outcome, latency, load } => {
            Event::AttemptEnded(AttemptEnded {
                part: part_id(*query, *shard),
                attempt: Attempt(*attempt),
                replica: ReplicaId::from(block.text(*run_store)),
                outcome: outcome_from_record(*outcome),
                latency: latency.value(),
                load: load.as_ref().map(load_from_record),
            })
        }
        record::Event::Probe { run_store, ok, load } => Event::ProbeEnded {
            replica: ReplicaId::from(block.text(*run_store)),
            ok: *ok,
            load: load.as_ref().map(load_from_record),
        },
        record::Event::Gone(query) => Event::ClientGone(query_id(*query)),
        record::Event::Wake => Event::Wake,
    }
}

/// Converts an action to a record.
pub fn action_to_record(batch: &mut Batch, now: Millis, action: &Action) -> record::Action {
    match action {
        Action::Send { part, replica, timeout, reason, choice } => {
            let (query, shard) = part_numbers(part);
            let run_store = batch.name(Kind::RunStore, &replica.0);
            let (timeout, why, choice) =
                (Num::of(*timeout), reason_to_record(*reason), choice_to_record(*choice));
            record::Action::Send { query, shard, run_store, timeout, why, choice }
        }
        Action::Cancel { part, attempt, reason } => {
            let (query, shard) = part_numbers(part);
            record::Action::Cancel { query, shard, attempt: attempt.0, why: reason_to_record(*reason) }
        }
        Action::Answer { query, whole } => {
            record::Action::Answer { query: query_number(query), whole: *whole }
        }
        Action::Refuse { query, retry_after, cause } => {
            let (query, retry_after, cause) =
                (query_number(query), Num::of(*retry_after), cause_to_record(*cause));
            record::Action::Refuse { query, retry_after, cause }
        }
        Action::Fail { query, retry_after, cause } => {
            let (query, retry_after, cause) =
                (query_number(query), Num::of(*retry_after), cause_to_record(*cause));
            record::Action::Fail { query, retry_after, cause }
        }
        Action::Probe { replica } => record::Action::Probe(batch.name(Kind::RunStore, &replica.0)),
        Action::CloseIdle { replica } => record::Action::CloseIdle(batch.name(Kind::RunStore, &replica.0)),
        Action::Subscribe => record::Action::Subscribe,
        Action::WakeAt(at) => record::Action::WakeAt(Num::since(now, *at)),
        Action::Log(text) => record::Action::Log(text.clone()),
    }
}

/// Serializes the module's settings for a record.
pub fn settings_to_record(settings: &api::Settings) -> Vec<u8> {
    postcard::to_stdvec(settings).unwrap_or_default()
}
