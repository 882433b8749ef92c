//! Collects the records of a trace. It does no input or output: the core reports what happens, and the writer produces
//! jobs for a [`Keeper`](ironpaddle_trace::keep::Keeper).
//!
//! Entries are collected into blocks, which are closed at a size or an age. A segment begins with a checkpoint of the
//! module's whole state. A new segment is begun at the start of the recording, when the open segment reaches its limit
//! of size or age, at an operator's request, and after a loss.

use std::collections::VecDeque;
use std::sync::Arc;

use ironpaddle_trace::block::Batch;
use ironpaddle_trace::file::{Header, Source};
use ironpaddle_trace::keep::Job;
use ironpaddle_trace::num::Num;
use ironpaddle_trace::record::{
    AppliedSettings, Checkpoint, ClassCounts, Closed, Counts, How, Kind, Loss, Progress, Record, Step, Taken,
    Verdict, Wire,
};

use super::convert;
use crate::api::{Action, Cause, Event, Millis, Settings};
use crate::counters::Counters;

/// A block is closed at this size, in bytes before compression, or at this age, in milliseconds. A crash loses at most
/// the open block.
const BLOCK_BYTES: usize = 32 * 1024;
const BLOCK_MS: Millis = 250.0;
/// The interval between two records of the counts, in milliseconds.
const COUNTS_MS: Millis = 1000.0;
/// After a loss, the delay before the next segment is attempted, in milliseconds, so that a full disk is not retried
/// constantly.
const RETRY_MS: Millis = 1000.0;

/// The size and age at which a segment is complete and the next one is begun.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// The maximum size, in bytes as stored.
    pub bytes: u64,
    /// The maximum age, in milliseconds.
    pub age: Millis,
}

/// The settings in force, as they are recorded.
pub struct ActiveSettings<'a> {
    /// The settings of the decision module.
    pub settings: &'a Settings,
    /// The settings object, as JSON text.
    pub text: String,
    /// The names of the classes, in the order of their indexes.
    pub classes: Vec<Arc<str>>,
    /// The names of the groups, in the order of their indexes.
    pub groups: Vec<Arc<str>>,
}

/// The end of a query, as it is recorded.
pub struct QueryEnd<'a> {
    /// The number of the query.
    pub query: u64,
    /// The class of the query.
    pub class: &'a Arc<str>,
    /// The group of the query, if it has one.
    pub group: Option<&'a Arc<str>>,
    /// When the query was accepted.
    pub taken: Millis,
    /// How the query ended.
    pub how: How,
    /// The cause, if the query was refused or failed.
    pub cause: Option<Cause>,
    /// The number of parts that had completed.
    pub parts_in: usize,
    /// The number of parts that were requested.
    pub parts: usize,
}

/// Collects the records of one recording.
pub struct TraceWriter {
    source: Source,
    limits: Limits,
    batch: Batch,
    jobs: VecDeque<Job>,
    /// The number of the next segment.
    segment: u64,
    /// The header of the segment that the next block begins, if that block begins one.
    next_header: Option<Header>,
    /// When the open segment was begun; `None` while no segment is open.
    segment_begun_at: Option<Millis>,
    /// True if the next step begins another segment, regardless of the age of the open one.
    rotate_requested: bool,
    /// When the counts were recorded last in this segment; 0 if they have not been.
    counts_recorded_at: Millis,
    /// The time of the last entry.
    last_entry_at: Millis,
    /// The loss that no segment on the disk records yet.
    lost: Option<Loss>,
    /// True if the open segment records the loss, but its first block is not confirmed to be on the disk.
    loss_unconfirmed: bool,
    /// The earliest time at which the next segment may begin.
    next_segment_from: Millis,
    /// True if the module routes by keys; only then are keys recorded.
    record_keys: bool,
}

impl TraceWriter {
    /// Creates the writer of a process; `segment` is the number of its first segment.
    pub fn new(source: Source, limits: Limits, segment: u64) -> Self {
        TraceWriter {
            source,
            limits,
            batch: Batch::default(),
            jobs: VecDeque::new(),
            segment,
            next_header: None,
            segment_begun_at: None,
            rotate_requested: false,
            counts_recorded_at: 0.0,
            last_entry_at: 0.0,
            lost: None,
            loss_unconfirmed: false,
            next_segment_from: 0.0,
            record_keys: false,
        }
    }

    /// Returns true if a segment has to be begun before the next step.
    pub fn wants_segment(&self, now: Millis) -> bool {
        let expired = self.segment_begun_at.is_none_or(|at| now - at >= self.limits.age);
        (expired || self.rotate_requested) && now >= self.next_segment_from
    }

    /// Returns true if entries are accepted. They are not before the first segment, nor between a loss and the next
    /// segment.
    fn is_open(&self) -> bool {
        self.segment_begun_at.is_some()
    }

    /// Begins a segment with a checkpoint: the decision module's serialized state and the settings in force.
    pub fn begin(&mut self, now: Millis, module: u64, state: Vec<u8>, in_force: ActiveSettings) {
        self.close_block();
        self.record_keys = in_force.settings.warm_keys;
        let source = Source { settings: in_force.text.clone(), ..self.source.clone() };
        self.next_header = Some(Header { sources: vec![source], segment: self.segment });
        self.segment += 1;
        (self.segment_begun_at, self.rotate_requested, self.counts_recorded_at) = (Some(now), false, 0.0);
        let settings = self.settings_record(in_force);
        self.push(now, &Record::Checkpoint(Box::new(Checkpoint { module, state, settings })));
        if let Some(loss) = self.lost {
            self.push(now, &Record::Loss(loss));
            self.loss_unconfirmed = true;
        }
    }

    /// Notes that the beginning of the last segment is on the disk, including the loss that it records, if any.
    pub fn segment_written(&mut self) {
        if std::mem::take(&mut self.loss_unconfirmed) {
            self.lost = None;
        }
    }

    fn settings_record(&mut self, in_force: ActiveSettings) -> AppliedSettings {
        let batch = &mut self.batch;
        AppliedSettings {
            module: convert::settings_to_record(in_force.settings),
            text: in_force.text,
            classes: in_force.classes.iter().map(|name| batch.name(Kind::Class, name)).collect(),
            groups: in_force.groups.iter().map(|name| batch.name(Kind::Group, name)).collect(),
        }
    }

    fn push(&mut self, at: Millis, record: &Record) {
        self.last_entry_at = at;
        // This fails only for lack of memory, and that cannot be reported.
        let _ = self.batch.push(at, record);
        if self.batch.size() >= BLOCK_BYTES {
            self.close_block();
        }
    }

    fn close_block(&mut self) {
        if self.batch.records() == 0 {
            return;
        }
        let batch = std::mem::take(&mut self.batch);
        self.jobs.push_back(match self.next_header.take() {
            Some(header) => Job::Open(Box::new(header), batch),
            None => Job::Add(batch),
        });
    }

    /// Closes the open block if it is old enough. Returns true if jobs are queued.
    pub fn tick(&mut self, now: Millis) -> bool {
        if self.batch.records() > 0 && now - self.batch.first() >= BLOCK_MS {
            self.close_block();
        }
        !self.jobs.is_empty()
    }

    /// Returns the next job, oldest first.
    pub fn next_job(&mut self) -> Option<Job> {
        self.jobs.pop_front()
    }

    /// Notes the size of the open segment, in bytes; requests a new segment at the limit.
    pub fn set_segment_size(&mut self, bytes: u64) {
        if bytes >= self.limits.bytes {
            self.rotate();
        }
    }

    /// Returns the number of the next segment.
    pub fn next_segment(&self) -> u64 {
        self.segment
    }

    /// Makes the next step begin another segment.
    pub fn rotate(&mut self) {
        self.rotate_requested = true;
    }

    /// Notes the loss of entries from time `from` on. Recording resumes with the next segment, at its checkpoint.
    pub fn lost(&mut self, now: Millis, from: Millis, records: u64) {
        let open = u64::from(self.batch.records());
        self.batch = Batch::default();
        let queued: u64 = self.jobs.drain(..).map(|job| records_of(&job)).sum();
        let loss = self.lost.unwrap_or(Loss { records: 0, from: Num::of(from) });
        self.lost = Some(Loss { records: loss.records + records + open + queued, ..loss });
        (self.segment_begun_at, self.next_header, self.next_segment_from) = (None, None, now + RETRY_MS);
        self.loss_unconfirmed = false;
    }

    /// Returns the number of lost records that no segment on the disk records yet.
    pub fn unrecorded_losses(&self) -> u64 {
        self.lost.map_or(0, |loss| loss.records)
    }

    /// Ends the recording cleanly.
    pub fn end(&mut self, now: Millis) {
        if self.is_open() {
            self.push(now, &Record::End);
            self.close_block();
            self.jobs.push_back(Job::Close);
            self.segment_begun_at = None;
        }
    }

    /// Converts the events of a step, before the decision module consumes them.
    pub fn events(&mut self, now: Millis, events: &[Event]) -> Step {
        let keys = self.record_keys;
        let mut step = Step { events: Vec::with_capacity(events.len()), actions: Vec::new() };
        if self.is_open() {
            step.events.extend(
                events.iter().map(|event| convert::event_to_record(&mut self.batch, now, event, keys)),
            );
        }
        step
    }

    /// Records a step of the decision module: its events, as [`TraceWriter::events`] converted them, and its actions.
    pub fn step(&mut self, now: Millis, mut step: Step, actions: &[Action]) {
        if self.is_open() {
            step.actions
                .extend(actions.iter().map(|action| convert::action_to_record(&mut self.batch, now, action)));
            self.push(now, &Record::Step(step));
        } else {
            self.count_missed();
        }
    }

    /// Counts a record that is lost because no segment is open after a loss.
    fn count_missed(&mut self) {
        if let Some(loss) = &mut self.lost {
            loss.records += 1;
        }
    }

    fn record(&mut self, at: Millis, record: impl FnOnce(&mut Batch) -> Record) {
        if self.is_open() {
            let record = record(&mut self.batch);
            self.push(at, &record);
        } else {
            self.count_missed();
        }
    }

    /// Records new settings.
    pub fn settings(&mut self, in_force: ActiveSettings) {
        self.record_keys = in_force.settings.warm_keys;
        if self.is_open() {
            let (at, settings) = (self.last_entry_at, self.settings_record(in_force));
            self.push(at, &Record::Settings(Box::new(settings)));
        }
    }

    /// Records that a query was accepted; `client_id` is the id that the client gave it.
    pub fn taken(
        &mut self,
        at: Millis,
        (query, client_id): (u64, &str),
        class: &Arc<str>,
        group: Option<&Arc<str>>,
        (parts, timeout, retry): (usize, Millis, bool),
    ) {
        self.record(at, |batch| {
            Record::Taken(Taken {
                query,
                name: batch.name(Kind::Query, &Arc::from(client_id)),
                class: batch.name(Kind::Class, class),
                group: group.map(|group| batch.name(Kind::Group, group)),
                parts: parts as u32,
                timeout: Num::of(timeout),
                retry,
            })
        });
    }

    /// Records the end of a query.
    pub fn verdict(&mut self, at: Millis, ended: &QueryEnd) {
        self.record(at, |batch| {
            Record::Verdict(Verdict {
                query: ended.query,
                class: batch.name(Kind::Class, ended.class),
                group: ended.group.map(|group| batch.name(Kind::Group, group)),
                took: Num::of(at - ended.taken),
                how: ended.how,
                cause: ended.cause.map(convert::cause_to_record),
                parts_in: ended.parts_in as u32,
                parts: ended.parts as u32,
            })
        });
    }

    /// Records a request that was answered with an error before it became a query.
    pub fn not_taken(&mut self, at: Millis, class: Option<&Arc<str>>) {
        self.record(at, |batch| Record::NotTaken(class.map(|class| batch.name(Kind::Class, class))));
    }

    /// Records the progress of an attempt on its connection.
    pub fn wire(&mut self, at: Millis, query: u64, shard: u32, attempt: u32, progress: Progress) {
        self.record(at, |_| Record::Wire(Wire { query, shard, attempt, progress }));
    }

    /// Records the end of a connection.
    pub fn closed(&mut self, at: Millis, kind: &str, peer: &str, code: &str, note: &str) {
        let [kind, peer, code, note] = [kind, peer, code, note].map(str::to_string);
        self.record(at, |_| Record::Closed(Closed { kind, peer, code, note }));
    }

    /// Records an operator's request.
    pub fn call(&mut self, at: Millis, call: &str) {
        self.record(at, |_| Record::Call(call.to_string()));
    }

    /// Records the counts if the interval has passed, or if this is the `last` time.
    pub fn counts(&mut self, at: Millis, counters: &Counters, active: usize, last: bool) {
        if !self.is_open() || (at - self.counts_recorded_at < COUNTS_MS && !last) {
            return;
        }
        self.counts_recorded_at = at;
        self.record(at, |batch| {
            let class = |(name, ends): (&Arc<str>, &crate::counters::ClassOutcomes)| ClassCounts {
                class: batch.name(Kind::Class, name),
                ok: ends.ok,
                shed: ends.shed,
                errors: ends.errors,
            };
            Record::Counts(Counts {
                classes: counters.classes.iter().map(class).collect(),
                taken: counters.taken,
                left: counters.clients_gone,
                tries: counters.tries,
                active: active as u64,
            })
        });
    }
}

/// Returns the number of records in a job.
pub fn records_of(job: &Job) -> u64 {
    match job {
        Job::Open(_, batch) | Job::Add(batch) => u64::from(batch.records()),
        Job::Close => 0,
    }
}
