//! A recording switched on and off: what ties the tape in the core to the thread that writes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use ironpaddle_trace::file::Source;
use ironpaddle_trace::keep::Job;

use super::recorder::{Keep, Recorder, Standing};
use super::writer::TraceWriter;
use crate::api::Millis;
use crate::core::Core;
use crate::log;

/// Ends of connections that wait for being recorded; more are not kept.
const MOST_CLOSED: usize = 4096;

/// The end of a connection: when, to what, whose address, the reason's code, and what else is said of it.
type Closed = (Millis, String, String, String, String);

/// The switch.
pub struct Control {
    keep: Keep,
    source: Source,
    recorder: RefCell<Option<Recorder>>,
    closed: Rc<RefCell<Vec<Closed>>>,
    /// The number of the next segment.
    segment: Cell<u64>,
    /// Records that were lost, and those of them that no segment tells of yet.
    lost: Cell<u64>,
    untold: Cell<u64>,
}

impl Control {
    /// A switch that is off, for one process.
    pub fn new(keep: Keep, source: Source) -> Self {
        let (recorder, closed) = (RefCell::default(), Rc::default());
        let (segment, lost, untold) = (Cell::new(0), Cell::new(0), Cell::new(0));
        Control { keep, source, recorder, closed, segment, lost, untold }
    }

    /// Whether it is on.
    pub fn is_on(&self) -> bool {
        self.recorder.borrow().as_ref().is_some_and(|recorder| recorder.standing().recording)
    }

    /// Switches it on; nothing changes if it is.
    ///
    /// # Errors
    /// If the folder cannot be made.
    pub fn start(&self, core: &mut Core, clock: impl Fn() -> Millis + 'static) -> Result<(), String> {
        if self.is_on() {
            return Ok(());
        }
        let recorder =
            Recorder::start(&self.keep).map_err(|why| format!("{}: {why}", self.keep.dir.display()))?;
        self.begin(recorder, core, clock);
        Ok(())
    }

    /// Has a recorder write what the core does from now on.
    pub fn begin(&self, recorder: Recorder, core: &mut Core, clock: impl Fn() -> Millis + 'static) {
        *self.recorder.borrow_mut() = Some(recorder);
        let trace_writer = TraceWriter::new(self.source.clone(), self.keep.limits, self.segment.get());
        core.set_trace_writer(clock(), Some(trace_writer));
        let closed = self.closed.clone();
        log::set_connection_observer(Some(Box::new(move |kind, peer, code, note| {
            let mut closed = closed.borrow_mut();
            if closed.len() < MOST_CLOSED {
                closed.push((clock(), kind.into(), peer.into(), code.into(), note.into()));
            }
        })));
    }

    /// Switches it off, in good order.
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

    /// Has a new segment begun.
    pub fn rotate(&self, core: &mut Core) {
        if let Some(trace_writer) = core.trace_writer() {
            trace_writer.rotate();
        }
    }

    /// Hands over what is to be written.
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
        if recorder.is_begun() {
            trace_writer.begun();
            self.untold.set(trace_writer.untold());
        }
        if let Some(records) = recorder.failed() {
            trace_writer.lost(now, now, records);
        }
        while let Some(job) = trace_writer.next_job() {
            let from = first(&job).unwrap_or(now);
            let records = recorder.take(job);
            if records > 0 {
                trace_writer.lost(now, from, records);
            }
        }
        self.count_lost(trace_writer);
        trace_writer.grown(recorder.size());
    }

    /// Adds up what was lost since this was called last.
    fn count_lost(&self, trace_writer: &TraceWriter) {
        let before = self.untold.replace(trace_writer.untold());
        self.lost.set(self.lost.get() + trace_writer.untold().saturating_sub(before));
    }

    /// How it stands.
    pub fn standing(&self) -> Standing {
        let standing = self.recorder.borrow().as_ref().map(Recorder::standing).unwrap_or_default();
        Standing { lost: self.lost.get(), ..standing }
    }

    /// Whether all is written, after [`Control::stop`].
    pub fn is_done(&self) -> bool {
        self.recorder.borrow().as_ref().is_none_or(Recorder::is_done)
    }
}

/// When the first entry of a job was made.
fn first(job: &Job) -> Option<Millis> {
    match job {
        Job::Open(_, batch) | Job::Add(batch) => Some(batch.first()),
        Job::Close => None,
    }
}
