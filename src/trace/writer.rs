//! What is recorded, without input or output: the core tells it what happens, and it hands out jobs for a
//! [`Keeper`](ironpaddle_trace::keep::Keeper).
//!
//! Entries are collected into blocks of some size or age. A segment begins with a checkpoint of the module's whole
//! state; one is begun at the start, when a segment has its size or age, when an operator asks, and after a loss.

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

/// A block is closed at this size, in bytes before compression, or at this age, in milliseconds: what a crash takes.
const BLOCK_BYTES: usize = 32 * 1024;
const BLOCK_MS: Millis = 250.0;
/// Between two records of the counts, in milliseconds.
const COUNTS_MS: Millis = 1000.0;
/// After a loss, the time before another segment is tried, in milliseconds: a full disk is not asked all the time.
const AGAIN_MS: Millis = 1000.0;

/// When a segment is long enough.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Its length, in bytes as stored.
    pub bytes: u64,
    /// Its age, in milliseconds.
    pub age: Millis,
}

/// The settings as a tape writes them down.
pub struct ActiveSettings<'a> {
    /// For the module.
    pub settings: &'a Settings,
    /// The settings object.
    pub text: String,
    /// The classes by their places.
    pub classes: Vec<Arc<str>>,
    /// The groups by their places.
    pub groups: Vec<Arc<str>>,
}

/// A query, as its end is written down.
pub struct QueryEnd<'a> {
    /// Its number.
    pub query: u64,
    /// Its class.
    pub class: &'a Arc<str>,
    /// Its group.
    pub group: Option<&'a Arc<str>>,
    /// When it was taken.
    pub taken: Millis,
    /// How it ended.
    pub how: How,
    /// Why it was refused or failed, if it was.
    pub cause: Option<Cause>,
    /// Parts that were in.
    pub parts_in: usize,
    /// Parts that were asked for.
    pub parts: usize,
}

/// A recording that is on.
pub struct TraceWriter {
    source: Source,
    limits: Limits,
    batch: Batch,
    jobs: VecDeque<Job>,
    /// The number of the next segment.
    segment: u64,
    /// The next block begins a segment, which this heads.
    opening: Option<Header>,
    /// When the segment was begun, if one is open; and whether another is due all the same.
    opened: Option<Millis>,
    due: bool,
    counted: Millis,
    /// The time of the last entry.
    clock: Millis,
    lost: Option<Loss>,
    /// The open segment tells of the loss, and is not on the disk yet.
    telling: bool,
    /// No segment before this time.
    not_before: Millis,
    /// Whether the module's routing goes by keys.
    keys: bool,
}

impl TraceWriter {
    /// A recording of a process, whose next segment has some number.
    pub fn new(source: Source, limits: Limits, segment: u64) -> Self {
        TraceWriter {
            source,
            limits,
            batch: Batch::default(),
            jobs: VecDeque::new(),
            segment,
            opening: None,
            opened: None,
            due: false,
            counted: 0.0,
            clock: 0.0,
            lost: None,
            telling: false,
            not_before: 0.0,
            keys: false,
        }
    }

    /// Whether a segment is to be begun before the next step.
    pub fn wants_segment(&self, now: Millis) -> bool {
        let old = self.opened.is_none_or(|at| now - at >= self.limits.age);
        (old || self.due) && now >= self.not_before
    }

    /// Whether entries are being taken: not before the first segment, nor after a loss.
    fn is_open(&self) -> bool {
        self.opened.is_some()
    }

    /// Begins a segment by the module's state, as itself has written it, and the settings in force.
    pub fn begin(&mut self, now: Millis, module: u64, state: Vec<u8>, in_force: ActiveSettings) {
        self.close_block();
        self.keys = in_force.settings.warm_keys;
        let source = Source { settings: in_force.text.clone(), ..self.source.clone() };
        self.opening = Some(Header { sources: vec![source], segment: self.segment });
        self.segment += 1;
        (self.opened, self.due, self.counted) = (Some(now), false, 0.0);
        let told = self.told(in_force);
        self.push(now, &Record::Checkpoint(Box::new(Checkpoint { module, state, settings: told })));
        if let Some(loss) = self.lost {
            self.push(now, &Record::Loss(loss));
            self.telling = true;
        }
    }

    /// The segment that was begun last is on the disk, with what it tells of a loss.
    pub fn begun(&mut self) {
        if std::mem::take(&mut self.telling) {
            self.lost = None;
        }
    }

    fn told(&mut self, in_force: ActiveSettings) -> AppliedSettings {
        let batch = &mut self.batch;
        AppliedSettings {
            module: convert::settings_out(in_force.settings),
            text: in_force.text,
            classes: in_force.classes.iter().map(|name| batch.name(Kind::Class, name)).collect(),
            groups: in_force.groups.iter().map(|name| batch.name(Kind::Group, name)).collect(),
        }
    }

    fn push(&mut self, at: Millis, record: &Record) {
        self.clock = at;
        // Only a lack of memory makes this fail, and then there is nobody to tell.
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
        self.jobs.push_back(match self.opening.take() {
            Some(header) => Job::Open(Box::new(header), batch),
            None => Job::Add(batch),
        });
    }

    /// Closes a block that is old enough; says whether there are jobs to fetch.
    pub fn tick(&mut self, now: Millis) -> bool {
        if self.batch.records() > 0 && now - self.batch.first() >= BLOCK_MS {
            self.close_block();
        }
        !self.jobs.is_empty()
    }

    /// The next job, in the order of their making.
    pub fn next_job(&mut self) -> Option<Job> {
        self.jobs.pop_front()
    }

    /// The segment has so many bytes by now.
    pub fn grown(&mut self, bytes: u64) {
        if bytes >= self.limits.bytes {
            self.rotate();
        }
    }

    /// The number of the next segment.
    pub fn next_segment(&self) -> u64 {
        self.segment
    }

    /// The next step begins another segment.
    pub fn rotate(&mut self) {
        self.due = true;
    }

    /// Entries from some time on were not kept. What follows is kept from the next checkpoint on.
    pub fn lost(&mut self, now: Millis, from: Millis, records: u64) {
        let waiting = u64::from(self.batch.records());
        self.batch = Batch::default();
        let queued: u64 = self.jobs.drain(..).map(|job| records_of(&job)).sum();
        let known = self.lost.unwrap_or(Loss { records: 0, from: Num::of(from) });
        self.lost = Some(Loss { records: known.records + records + waiting + queued, ..known });
        (self.opened, self.opening, self.not_before) = (None, None, now + AGAIN_MS);
        self.telling = false;
    }

    /// Records that were lost and are not told of in a segment yet.
    pub fn untold(&self) -> u64 {
        self.lost.map_or(0, |loss| loss.records)
    }

    /// The recording ends here in good order.
    pub fn end(&mut self, now: Millis) {
        if self.is_open() {
            self.push(now, &Record::End);
            self.close_block();
            self.jobs.push_back(Job::Close);
            self.opened = None;
        }
    }

    /// The events of a step, before the module takes them.
    pub fn events(&mut self, now: Millis, events: &[Event]) -> Step {
        let keys = self.keys;
        let mut step = Step { events: Vec::with_capacity(events.len()), actions: Vec::new() };
        if self.is_open() {
            step.events
                .extend(events.iter().map(|event| convert::event_out(&mut self.batch, now, event, keys)));
        }
        step
    }

    /// A step of the module: its events as they were noted, and its actions.
    pub fn step(&mut self, now: Millis, mut step: Step, actions: &[Action]) {
        if self.is_open() {
            step.actions
                .extend(actions.iter().map(|action| convert::action_out(&mut self.batch, now, action)));
            self.push(now, &Record::Step(step));
        } else {
            self.miss();
        }
    }

    /// A record is lost, as no segment is open after a loss.
    fn miss(&mut self) {
        if let Some(loss) = &mut self.lost {
            loss.records += 1;
        }
    }

    fn note(&mut self, at: Millis, record: impl FnOnce(&mut Batch) -> Record) {
        if self.is_open() {
            let record = record(&mut self.batch);
            self.push(at, &record);
        } else {
            self.miss();
        }
    }

    /// Other settings.
    pub fn settings(&mut self, in_force: ActiveSettings) {
        self.keys = in_force.settings.warm_keys;
        if self.is_open() {
            let (at, told) = (self.clock, self.told(in_force));
            self.push(at, &Record::Settings(Box::new(told)));
        }
    }

    /// A query was taken: its number and what its client calls it.
    pub fn taken(
        &mut self,
        at: Millis,
        (query, called): (u64, &str),
        class: &Arc<str>,
        group: Option<&Arc<str>>,
        (parts, timeout, retry): (usize, Millis, bool),
    ) {
        self.note(at, |batch| {
            Record::Taken(Taken {
                query,
                name: batch.name(Kind::Query, &Arc::from(called)),
                class: batch.name(Kind::Class, class),
                group: group.map(|group| batch.name(Kind::Group, group)),
                parts: parts as u32,
                timeout: Num::of(timeout),
                retry,
            })
        });
    }

    /// A query has its end.
    pub fn verdict(&mut self, at: Millis, ended: &QueryEnd) {
        self.note(at, |batch| {
            Record::Verdict(Verdict {
                query: ended.query,
                class: batch.name(Kind::Class, ended.class),
                group: ended.group.map(|group| batch.name(Kind::Group, group)),
                took: Num::of(at - ended.taken),
                how: ended.how,
                cause: ended.cause.map(convert::cause_out),
                parts_in: ended.parts_in as u32,
                parts: ended.parts as u32,
            })
        });
    }

    /// A request was answered with an error before it became a query.
    pub fn not_taken(&mut self, at: Millis, class: Option<&Arc<str>>) {
        self.note(at, |batch| Record::NotTaken(class.map(|class| batch.name(Kind::Class, class))));
    }

    /// An attempt has got so far.
    pub fn wire(&mut self, at: Millis, query: u64, shard: u32, attempt: u32, progress: Progress) {
        self.note(at, |_| Record::Wire(Wire { query, shard, attempt, progress }));
    }

    /// A connection has ended.
    pub fn closed(&mut self, at: Millis, kind: &str, peer: &str, code: &str, note: &str) {
        let [kind, peer, code, note] = [kind, peer, code, note].map(str::to_string);
        self.note(at, |_| Record::Closed(Closed { kind, peer, code, note }));
    }

    /// An operator has called.
    pub fn call(&mut self, at: Millis, call: &str) {
        self.note(at, |_| Record::Call(call.to_string()));
    }

    /// The counts, now and then; always if it is the last time.
    pub fn counts(&mut self, at: Millis, counters: &Counters, active: usize, last: bool) {
        if !self.is_open() || (at - self.counted < COUNTS_MS && !last) {
            return;
        }
        self.counted = at;
        self.note(at, |batch| {
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

/// The number of records that a job carries.
pub fn records_of(job: &Job) -> u64 {
    match job {
        Job::Open(_, batch) | Job::Add(batch) => u64::from(batch.records()),
        Job::Close => 0,
    }
}
