//! Switches the recording on and off, and moves jobs from the trace writer in the core to the recorder's thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use ironpaddle_trace::file::Source;
use ironpaddle_trace::keep::Job;

use super::recorder::{Recorder, RecordingStatus, Retention};
use super::writer::TraceWriter;
use crate::api::Millis;
use crate::core::Core;
use crate::log;

/// The maximum number of connection ends that wait to be recorded; further ones are discarded.
const MAX_PENDING_ENDS: usize = 4096;

/// The end of a connection: its time, the kind of connection, the peer's address, the reason code, and a note.
type ConnectionEnd = (Millis, String, String, String, String);

/// Controls the recording of one process.
pub struct Control {
    retention: Retention,
    source: Source,
    recorder: RefCell<Option<Recorder>>,
    /// Ends of connections that are not recorded yet.
    closed: Rc<RefCell<Vec<ConnectionEnd>>>,
    /// The number of the next segment.
    segment: Cell<u64>,
    /// The number of records that were lost.
    lost: Cell<u64>,
    /// The number of lost records that no segment on the disk records yet.
    unrecorded: Cell<u64>,
}

impl Control {
    /// Creates the control of one process, with the recording switched off.
    pub fn new(retention: Retention, source: Source) -> Self {
        let (recorder, closed) = (RefCell::default(), Rc::default());
        let (segment, lost, unrecorded) = (Cell::new(0), Cell::new(0), Cell::new(0));
        Control { retention, source, recorder, closed, segment, lost, unrecorded }
    }

    /// Returns true if the recording is on.
    pub fn is_on(&self) -> bool {
        self.recorder.borrow().as_ref().is_some_and(|recorder| recorder.status().recording)
    }

    /// Switches the recording on. Does nothing if it is on already.
    ///
    /// # Errors
    /// If the folder cannot be created or the thread cannot be started.
    pub fn start(&self, core: &mut Core, clock: impl Fn() -> Millis + 'static) -> Result<(), String> {
        if self.is_on() {
            return Ok(());
        }
        let recorder = Recorder::start(&self.retention)
            .map_err(|why| format!("{}: {why}", self.retention.dir.display()))?;
        self.begin(recorder, core, clock);
        Ok(())
    }

    /// Attaches a recorder to the core, which is recorded from now on.
    pub fn begin(&self, recorder: Recorder, core: &mut Core, clock: impl Fn() -> Millis + 'static) {
        *self.recorder.borrow_mut() = Some(recorder);
        let trace_writer = TraceWriter::new(self.source.clone(), self.retention.limits, self.segment.get());
        core.set_trace_writer(clock(), Some(trace_writer));
        let closed = self.closed.clone();
        log::set_connection_observer(Some(Box::new(move |kind, peer, code, note| {
            let mut closed = closed.borrow_mut();
            if closed.len() < MAX_PENDING_ENDS {
                closed.push((clock(), kind.into(), peer.into(), code.into(), note.into()));
            }
        })));
    }

    /// Switches the recording off, and ends the open segment cleanly.
    pub fn stop(&self, core: &mut Core, now: Millis) {
        self.pump(core, now);
        core.finish_trace(now);
        self.pump(core, now);
        if let Some(trace_writer) = core.set_trace_writer(now, None) {
            self.segment.set(trace_writer.next_segment());
        }
        if let Some(recorder) = &mut *self.recorder.borrow_mut() {
            recorder.finish();
        }
        log::set_connection_observer(None);
    }

    /// Makes the next step begin a new segment.
    pub fn rotate(&self, core: &mut Core) {
        if let Some(trace_writer) = core.trace_writer() {
            trace_writer.rotate();
        }
    }

    /// Hands the collected jobs to the recorder, and takes back what it reports of losses and the segment's size.
    pub fn pump(&self, core: &mut Core, now: Millis) {
        core.trace_counters(now);
        let Some(trace_writer) = core.trace_writer() else { return };
        self.count_lost(trace_writer);
        for (at, kind, peer, code, note) in self.closed.take() {
            trace_writer.closed(at, &kind, &peer, &code, &note);
        }
        if !trace_writer.tick(now) {
            return;
        }
        let mut recorder = self.recorder.borrow_mut();
        let Some(recorder) = &mut *recorder else { return };
        if recorder.is_segment_begun() {
            trace_writer.segment_written();
            self.unrecorded.set(trace_writer.unrecorded_losses());
        }
        if let Some(records) = recorder.take_failure() {
            trace_writer.lost(now, now, records);
        }
        while let Some(job) = trace_writer.next_job() {
            let from = first_entry_at(&job).unwrap_or(now);
            let records = recorder.submit(job);
            if records > 0 {
                trace_writer.lost(now, from, records);
            }
        }
        self.count_lost(trace_writer);
        trace_writer.set_segment_size(recorder.size());
    }

    /// Adds the records lost since the last call to the total.
    fn count_lost(&self, trace_writer: &TraceWriter) {
        let before = self.unrecorded.replace(trace_writer.unrecorded_losses());
        self.lost.set(self.lost.get() + trace_writer.unrecorded_losses().saturating_sub(before));
    }

    /// Returns the status of the recording.
    pub fn status(&self) -> RecordingStatus {
        let status = self.recorder.borrow().as_ref().map(Recorder::status).unwrap_or_default();
        RecordingStatus { lost: self.lost.get(), ..status }
    }

    /// Returns true once everything is written after [`Control::stop`].
    pub fn is_done(&self) -> bool {
        self.recorder.borrow().as_ref().is_none_or(Recorder::is_done)
    }
}

/// Returns the time of the first entry in a job.
fn first_entry_at(job: &Job) -> Option<Millis> {
    match job {
        Job::Open(_, batch) | Job::Add(batch) => Some(batch.first()),
        Job::Close => None,
    }
}
