//! The state of one connection to a run store, without I/O.
//!
//! A call is queued, then being written, then written, and ends exactly once. Whether it may have run depends on the
//! last byte of its frame: before that byte is written the call cannot have run, afterwards it may have.
//!
//! A caller may need proof that a call it gave up is over. The run store reads frames in order: once it has answered
//! a probe that was written after the cancel frame, it has read the cancel frame.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::codec::{self, End, Frame, Part};
use crate::api::{LoadReport, Millis, Outcome};
use crate::core::{Call, CallEnd, CallNo};

/// Number of finished parts whose ids are remembered, to tell a late or repeated answer from a malformed one.
const MOST_PAST: usize = 512;
/// After this long without input, giving up a call makes its connection suspect: the machine may have disappeared.
const SILENCE: Duration = Duration::from_millis(1500);

/// A connection with outstanding calls is treated as silent after this many average response times without input. If
/// it is merely slow, this costs one more connection, as its outstanding calls are still awaited.
const SILENT_OF_USUAL: u32 = 3;
/// The moving average of response times gives a new one a weight of one part in this many.
const USUAL_OF: u32 = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Queued,
    Writing,
    Written(Instant),
    /// Given up, and awaited until the run store provably knows. The cancel frame is queued or written, but no probe
    /// after it is being written yet.
    Told,
    /// Same, and the probe after the cancel frame is being written or was written.
    Asked,
}

impl Stage {
    /// Returns whether the call was written completely, so that the run store may answer it.
    fn is_out(self) -> bool {
        !matches!(self, Stage::Queued | Stage::Writing)
    }

    /// Returns whether the call was given up and is only awaited until it is provably over.
    fn is_told(self) -> bool {
        matches!(self, Stage::Told | Stage::Asked)
    }
}

#[derive(Debug)]
struct Held {
    call: Call,
    stage: Stage,
    /// Set if the call was given up while being written: whether it needs proof that it is over.
    given_up: Option<bool>,
    /// Whether the call was queued before on a connection that ended.
    moved: bool,
}

#[derive(Debug, Clone, PartialEq)]
enum Item {
    Call(CallNo),
    GiveUp(String),
    Probe(CallNo),
    /// A probe whose answer proves calls to be over. The calls are listed when writing begins.
    Proof(Vec<CallNo>),
}

/// Something that ended on a connection.
#[derive(Debug, Clone, PartialEq)]
pub enum EndEvent {
    /// An attempt.
    Call(CallNo, CallEnd),
    /// A probe: whether it succeeded, and the load report.
    Probe(CallNo, bool, Option<LoadReport>),
}

/// What was read from a connection: what ended, in order, and the error if a frame was malformed. Frames before the
/// malformed one are valid.
pub type ReceiveResult = (Vec<EndEvent>, Result<(), String>);

/// The state of a connection.
#[derive(Debug)]
pub struct ConnectionState {
    /// Maximum number of parts in one frame.
    bundle: usize,
    queue: VecDeque<Item>,
    calls: BTreeMap<CallNo, Held>,
    /// Written probes, oldest first, with the time of writing; `None` for one that was given up.
    probes: VecDeque<(Option<CallNo>, Instant)>,
    /// Written probes that prove calls to be over, oldest first, each with its calls and the time of writing.
    proofs: VecDeque<(Vec<CallNo>, Instant)>,
    /// Whether such probes may be sent.
    may_prove: bool,
    writing: Vec<Item>,
    /// Parts that were answered or given up, oldest first, and whether an answer has arrived.
    past: VecDeque<(String, bool)>,
    buffer: Vec<u8>,
    /// When the incomplete frame at the start of the buffer began to arrive.
    inside: Option<Instant>,
    heard: Instant,
    suspect: bool,
    /// Moving average of response times.
    usual: Duration,
}

impl ConnectionState {
    /// Creates the state of a new connection. `usual` is the assumed response time until answers arrive.
    pub fn new(bundle: usize, now: Instant, usual: Duration) -> Self {
        ConnectionState {
            bundle: bundle.max(1),
            queue: VecDeque::new(),
            calls: BTreeMap::new(),
            probes: VecDeque::new(),
            proofs: VecDeque::new(),
            may_prove: true,
            writing: Vec::new(),
            past: VecDeque::new(),
            buffer: Vec::new(),
            inside: None,
            heard: now,
            suspect: false,
            usual,
        }
    }

    /// Sets whether probes that prove calls to be over may be sent.
    pub fn allow_proof_probes(&mut self, may_prove: bool) {
        self.may_prove = may_prove;
        if !may_prove {
            self.queue.retain(|item| !matches!(item, Item::Proof(_)));
        }
    }

    /// Returns when to shut down the write side because only calls that were given up are outstanding: the run store
    /// closing its side proves them over. This is tried if no probe can prove it, or if none was answered within the
    /// average response time.
    pub fn write_shutdown_at(&self) -> Option<Instant> {
        let only = !self.calls.is_empty()
            && self.calls.values().all(|held| held.stage.is_told())
            && self.queue.is_empty()
            && self.writing.is_empty()
            && self.probes.iter().all(|(no, _)| no.is_none());
        let asked = self.calls.values().all(|held| held.stage == Stage::Asked);
        let since = self.proofs.front().filter(|_| asked).map(|(_, at)| self.heard.max(*at) + self.usual);
        only.then(|| since.unwrap_or(self.heard))
    }

    /// Returns the number of calls that have not ended.
    pub fn pending_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether nothing is outstanding, queued or being written.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.queue.is_empty() && self.writing.is_empty() && self.probes.is_empty()
    }

    /// Returns whether the connection stayed silent with something outstanding for so long that it is presumed dead.
    pub fn is_presumed_dead(&self) -> bool {
        self.suspect
    }

    /// Returns whether to put no new call on the connection: a written call has long been outstanding without any
    /// input, or a partial frame that nothing awaits may be garbage that would swallow an answer.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let written = self.calls.values().filter_map(|held| match held.stage {
            Stage::Written(at) => Some(at),
            _ => None,
        });
        let since = written.min().map(|at| at.max(self.heard));
        let unasked = self.inside.is_some() && !self.is_awaited();
        self.suspect || unasked || since.is_some_and(|since| now - since >= self.usual * SILENT_OF_USUAL)
    }

    /// Returns when input last arrived.
    pub fn last_input(&self) -> Instant {
        self.heard
    }

    /// Returns the moving average of response times.
    pub fn average_response_time(&self) -> Duration {
        self.usual
    }

    /// Returns when the incomplete frame began to arrive. A frame that never ends blocks everything after it.
    pub fn partial_frame_since(&self) -> Option<Instant> {
        self.inside
    }

    /// Queues a call.
    pub fn push(&mut self, call: Call) {
        self.hold(call, false);
    }

    /// Queues a call that was still queued when an earlier connection ended.
    pub fn push_moved(&mut self, call: Call) {
        self.hold(call, true);
    }

    fn hold(&mut self, call: Call, moved: bool) {
        self.queue.push_back(Item::Call(call.no));
        self.calls.insert(call.no, Held { call, stage: Stage::Queued, given_up: None, moved });
    }

    /// Takes the calls of which nothing was written, to send them on another connection. Each call is moved only
    /// once.
    pub fn take_queued(&mut self) -> Vec<Call> {
        let queued = |held: &Held| held.stage == Stage::Queued && !held.moved;
        let nos: Vec<CallNo> =
            self.calls.iter().filter(|(_, held)| queued(held)).map(|(no, _)| *no).collect();
        self.queue.retain(|item| !matches!(item, Item::Call(no) if nos.contains(no)));
        nos.iter().filter_map(|no| self.calls.remove(no)).map(|held| held.call).collect()
    }

    fn pass(&mut self, part: String, answered: bool) {
        if self.past.len() == MOST_PAST {
            self.past.pop_front();
        }
        self.past.push_back((part, answered));
    }

    /// Returns whether an answer to a call or a probe is outstanding.
    fn is_awaited(&self) -> bool {
        !self.proofs.is_empty()
            || !self.probes.is_empty()
            || self.calls.values().any(|held| held.stage.is_out())
    }

    /// Queues a load probe.
    pub fn push_probe(&mut self, no: CallNo) {
        self.queue.push_back(Item::Probe(no));
    }

    /// Ends the queued calls that have waited too long and may no longer be sent.
    pub fn expire(&mut self, now: Millis) -> Vec<EndEvent> {
        let late = |held: &Held| held.stage == Stage::Queued && held.call.is_late(now);
        let nos: Vec<CallNo> = self.calls.iter().filter(|(_, held)| late(held)).map(|(no, _)| *no).collect();
        self.queue.retain(|item| !matches!(item, Item::Call(no) if nos.contains(no)));
        nos.into_iter().map(|no| self.end(no, Outcome::NotSent)).collect()
    }

    /// Returns the next frame to write. It counts as being written until [`ConnectionState::mark_written`] is called.
    pub fn next_frame(&mut self, wait: impl Fn(&Call) -> u64) -> Option<Vec<u8>> {
        let first = loop {
            match self.queue.pop_front()? {
                Item::Proof(_) => {
                    let told = self.calls.iter_mut().filter(|(_, held)| held.stage == Stage::Told);
                    let asked = |(no, held): (&CallNo, &mut Held)| {
                        held.stage = Stage::Asked;
                        *no
                    };
                    let calls: Vec<CallNo> = told.map(asked).collect();
                    // All calls that needed this probe may have ended meanwhile.
                    if !calls.is_empty() {
                        break Item::Proof(calls);
                    }
                }
                item => break item,
            }
        };
        self.writing = vec![first];
        let more = |item: Option<&Item>| matches!(item, Some(Item::Call(_)));
        if more(self.writing.first()) {
            while self.writing.len() < self.bundle && more(self.queue.front()) {
                self.writing.extend(self.queue.pop_front());
            }
        }
        match &self.writing[0] {
            Item::GiveUp(part) => Some(codec::give_up(part)),
            Item::Probe(_) => Some(codec::load_probe()),
            Item::Proof(_) => Some(codec::probe()),
            Item::Call(_) => {
                for item in &self.writing {
                    if let Item::Call(no) = item {
                        if let Some(held) = self.calls.get_mut(no) {
                            held.stage = Stage::Writing;
                        }
                    }
                }
                Some(codec::call(self.writing().map(|call| Part {
                    id: &call.part,
                    shard: call.shard,
                    wait: wait(call),
                    key: call.key.as_deref(),
                    text: &call.text,
                })))
            }
        }
    }

    /// Returns the calls of the frame that is being written.
    pub fn writing(&self) -> impl Iterator<Item = &Call> {
        self.writing.iter().filter_map(|item| match item {
            Item::Call(no) => self.calls.get(no).map(|held| &held.call),
            _ => None,
        })
    }

    /// Records that the last byte of the frame was written. Returns the number of attempts in it.
    pub fn mark_written(&mut self, now: Instant) -> usize {
        let mut attempts = 0;
        for item in std::mem::take(&mut self.writing) {
            match item {
                Item::GiveUp(_) => {}
                Item::Probe(no) => self.probes.push_back((Some(no), now)),
                Item::Proof(calls) => self.proofs.push_back((calls, now)),
                Item::Call(no) => {
                    attempts += 1;
                    let Some(held) = self.calls.get_mut(&no) else { continue };
                    held.stage = Stage::Written(now);
                    // It was given up while being written, and can be cancelled only now that the run store has it.
                    match held.given_up {
                        Some(true) => self.tell(no),
                        Some(false) => self.drop_written(no),
                        None => {}
                    }
                }
            }
        }
        attempts
    }

    /// Processes received bytes. Returns what ended, and an error if a frame is malformed, after which the connection
    /// must be closed.
    pub fn receive(&mut self, bytes: &[u8], now: Instant) -> ReceiveResult {
        self.heard = now;
        self.buffer.extend_from_slice(bytes);
        let mut ended = Vec::new();
        let came = self.frames(&mut ended);
        self.inside = (!self.buffer.is_empty()).then(|| self.inside.unwrap_or(now));
        (ended, came)
    }

    fn frames(&mut self, ended: &mut Vec<EndEvent>) -> Result<(), String> {
        while let Some(frame) = codec::next(&mut self.buffer)? {
            self.inside = None;
            match frame {
                Frame::End { part, end, load, value } => {
                    let out = |held: &&Held| held.call.part == part && held.stage.is_out();
                    let Some(no) = self.calls.values().find(out).map(|held| held.call.no) else {
                        // A late answer to a part that was given up, or a second answer, is ignored. An answer to a
                        // part that was never sent here must replace one that was, which will never arrive.
                        if let Some(past) = self.past.iter_mut().find(|past| past.0 == part) {
                            past.1 = true;
                            continue;
                        }
                        return Err(format!(
                            "answer to part {part:?}, which is not outstanding on this connection"
                        ));
                    };
                    if let Some(Held { stage: Stage::Written(at), .. }) = self.calls.remove(&no) {
                        self.usual = (self.usual * (USUAL_OF - 1) + (self.heard - at)) / USUAL_OF;
                    }
                    self.pass(part, true);
                    let (outcome, value) = match end {
                        End::Served => (Outcome::Completed, Some(value)),
                        End::Error => (Outcome::Errored, None),
                        End::TurnedAway => (Outcome::Rejected, None),
                    };
                    ended.push(EndEvent::Call(no, CallEnd { outcome, value, load }));
                }
                Frame::Probed => {
                    for no in self.proofs.pop_front().map(|(calls, _)| calls).unwrap_or_default() {
                        if let Some(held) = self.calls.get(&no) {
                            let part = held.call.part.clone();
                            self.pass(part, false);
                            ended.push(self.end(no, Outcome::Cancelled));
                        }
                    }
                }
                Frame::Load { ok, load } => {
                    if let Some((Some(no), _)) = self.probes.pop_front() {
                        ended.push(EndEvent::Probe(no, ok, load));
                    }
                }
                Frame::Unusable(why) => return Err(format!("the run store rejected a frame: {why}")),
            }
        }
        // With nothing outstanding, these bytes belong to no answer, and the next answer would be read as their
        // continuation. However, a late answer to a part that was given up may still arrive, in several pieces.
        let late = self.past.iter().any(|(_, answered)| !answered);
        if !self.buffer.is_empty() && !late && !self.is_awaited() {
            return Err("unexpected bytes while no answer is outstanding".into());
        }
        Ok(())
    }

    /// Stops waiting for a call. Returns whether it was on this connection.
    pub fn give_up(&mut self, no: CallNo, now: Instant) -> bool {
        let Some(held) = self.calls.get_mut(&no) else { return false };
        match held.stage {
            Stage::Queued => {
                self.queue.retain(|item| *item != Item::Call(no));
                self.calls.remove(&no);
            }
            Stage::Writing => held.given_up = Some(false),
            Stage::Written(at) => {
                self.note_silence(at, now);
                self.drop_written(no);
            }
            // The cancel frame is already queued or written.
            Stage::Told | Stage::Asked => {
                let part = held.call.part.clone();
                self.calls.remove(&no);
                self.pass(part, false);
            }
        }
        true
    }

    /// Gives up a call that ends only once it is provably over: at once if none of it was written; otherwise with its
    /// answer, the answer to a later probe, or the end of the connection.
    pub fn give_up_with_proof(&mut self, no: CallNo, now: Instant) -> Option<EndEvent> {
        let held = self.calls.get_mut(&no)?;
        match held.stage {
            Stage::Queued => {
                self.queue.retain(|item| *item != Item::Call(no));
                return Some(self.end(no, Outcome::NotSent));
            }
            Stage::Writing => held.given_up = Some(true),
            Stage::Written(at) => {
                self.note_silence(at, now);
                self.tell(no);
            }
            Stage::Told | Stage::Asked => {}
        }
        None
    }

    fn note_silence(&mut self, written: Instant, now: Instant) {
        self.suspect |= self.heard < written && now - written >= SILENCE;
    }

    /// Queues the cancel frame of a written call and forgets the call.
    fn drop_written(&mut self, no: CallNo) {
        if let Some(Held { call: Call { part, .. }, .. }) = self.calls.remove(&no) {
            self.queue.push_back(Item::GiveUp(part.clone()));
            self.pass(part, false);
        }
    }

    /// Queues the cancel frame of a written call, but keeps the call until the run store has provably read that
    /// frame. One probe serves all cancel frames before it.
    fn tell(&mut self, no: CallNo) {
        let Some(held) = self.calls.get_mut(&no) else { return };
        held.stage = Stage::Told;
        let told = Item::GiveUp(held.call.part.clone());
        match self.queue.iter().position(|item| matches!(item, Item::Proof(_))) {
            Some(at) => self.queue.insert(at, told),
            None => {
                self.queue.push_back(told);
                self.queue.extend(self.may_prove.then(|| Item::Proof(Vec::new())));
            }
        }
    }

    /// Stops waiting for a probe. Returns whether it was on this connection.
    pub fn give_up_probe(&mut self, no: CallNo) -> bool {
        let queued = self.queue.len();
        self.queue.retain(|item| *item != Item::Probe(no));
        let heard = self.heard;
        let mut found = self.queue.len() < queued;
        for (known, at) in self.probes.iter_mut().filter(|(known, _)| *known == Some(no)) {
            *known = None;
            self.suspect |= heard < *at;
            found = true;
        }
        found
    }

    /// Ends all queued calls. Sends no further calls or probes.
    pub fn retire(&mut self) -> Vec<EndEvent> {
        self.allow_proof_probes(false);
        self.queue.retain(|item| matches!(item, Item::GiveUp(_)));
        let queued = |held: &Held| held.stage == Stage::Queued;
        let nos: Vec<CallNo> =
            self.calls.iter().filter(|(_, held)| queued(held)).map(|(no, _)| *no).collect();
        nos.into_iter().map(|no| self.end(no, Outcome::NotSent)).collect()
    }

    /// Stops writing, and ends every probe and every call that was not written completely.
    pub fn stop_writing(&mut self) -> Vec<EndEvent> {
        let mut ended = Vec::new();
        for item in self.queue.drain(..).chain(std::mem::take(&mut self.writing)) {
            if let Item::Probe(no) = item {
                ended.push(EndEvent::Probe(no, false, None));
            }
        }
        for (no, _) in self.probes.drain(..) {
            ended.extend(no.map(|no| EndEvent::Probe(no, false, None)));
        }
        let unsent = self.calls.iter().filter(|(_, held)| !held.stage.is_out()).map(|(no, _)| *no);
        for no in unsent.collect::<Vec<_>>() {
            ended.push(self.end(no, Outcome::ConnectFailed));
        }
        ended
    }

    /// Ends everything on the connection because the connection has ended. If an answer was malformed, the run store
    /// is alive and received the outstanding calls, which failed there.
    pub fn end_all(&mut self, spoilt: bool) -> Vec<EndEvent> {
        let mut ended = self.stop_writing();
        for (no, held) in std::mem::take(&mut self.calls) {
            let outcome = match held.stage {
                Stage::Told | Stage::Asked => Outcome::Cancelled,
                _ if spoilt => Outcome::Errored,
                _ => Outcome::Reset,
            };
            ended.push(EndEvent::Call(no, CallEnd::bare(outcome)));
        }
        ended
    }

    fn end(&mut self, no: CallNo, outcome: Outcome) -> EndEvent {
        self.calls.remove(&no);
        EndEvent::Call(no, CallEnd::bare(outcome))
    }
}
