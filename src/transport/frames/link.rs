//! The state of one connection to a run store, without I/O.
//!
//! A call is queued, then being written, then written, and ends exactly once. Whether it may have run depends on the
//! last byte of its frame: before that byte is written the call cannot have run, afterwards it may have.
//!
//! A caller may need proof that a call it gave up is over. The run store reads frames in order: once it has answered
//! a probe that was written after the cancel frame, it has read the cancel frame.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::codec::{self, Frame, Part, PartStatus};
use crate::api::{LoadReport, Millis, Outcome};
use crate::core::{Call, CallEnd, CallNo, QueryNo};

/// Number of finished parts whose ids are remembered, to tell a late or repeated answer from a malformed one.
const MAX_PAST_PARTS: usize = 512;
/// A connection without input for this long is presumed dead when a call on it is given up: the machine may have
/// disappeared.
const DEAD_AFTER: Duration = Duration::from_millis(1500);

/// A connection with outstanding calls is treated as unresponsive after this many average response times without
/// input. If it is merely slow, this costs one more connection, as its outstanding calls are still awaited.
const UNRESPONSIVE_RESPONSE_TIMES: u32 = 3;
/// The moving average of response times gives a new one a weight of one part in this many.
const RESPONSE_TIME_WEIGHT_DIVISOR: u32 = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Queued,
    Writing,
    Written(Instant),
    /// Given up, and awaited until the run store has provably read the cancel frame. That frame is queued or written;
    /// writing of the probe that follows it has not begun.
    Cancelling,
    /// Like `Cancelling`, but the probe after the cancel frame is being written or was written.
    ProofRequested,
}

impl Stage {
    /// Returns whether the call was written completely, so that the run store may answer it.
    fn is_fully_written(self) -> bool {
        !matches!(self, Stage::Queued | Stage::Writing)
    }

    /// Returns whether the call was given up and is only awaited until it is provably over.
    fn is_cancelling(self) -> bool {
        matches!(self, Stage::Cancelling | Stage::ProofRequested)
    }
}

#[derive(Debug)]
struct TrackedCall {
    call: Call,
    stage: Stage,
    /// Set if the call was given up while being written: whether it needs proof that it is over.
    cancel_after_write: Option<bool>,
    /// Whether the call was queued before on a connection that ended.
    requeued: bool,
}

/// A part of a query. Run stores know only its id, which a later query has too if a client uses its id again.
#[derive(Debug, Clone, PartialEq, Eq)]
struct QueryPart {
    id: String,
    query: QueryNo,
}

impl QueryPart {
    fn of(call: &Call) -> Self {
        QueryPart { id: call.part.clone(), query: call.query_attempt.0 }
    }

    /// Returns whether an answer to this part could be taken for the answer to a call of another query.
    fn is_mistaken_for(&self, call: &Call) -> bool {
        self.id == call.part && self.query != call.query_attempt.0
    }
}

/// A part that was answered or given up.
#[derive(Debug)]
struct PastPart {
    part: QueryPart,
    /// Whether an answer has arrived.
    answered: bool,
}

#[derive(Debug, Clone, PartialEq)]
enum QueueItem {
    Call(CallNo),
    Cancel(String),
    LoadProbe(CallNo),
    /// A probe whose answer proves calls to be over. The calls are listed when writing begins.
    ProofProbe(Vec<CallNo>),
}

/// Something that ended on a connection.
#[derive(Debug, Clone, PartialEq)]
pub enum EndEvent {
    /// An attempt.
    Call(CallNo, CallEnd),
    /// A load probe: whether it succeeded, and the load report.
    LoadProbe(CallNo, bool, Option<LoadReport>),
}

/// Holds the ends that were read from a connection, in order, and the error if a frame was malformed. Frames before the
/// malformed one are valid.
pub type ReceiveResult = (Vec<EndEvent>, Result<(), String>);

/// The state of a connection.
#[derive(Debug)]
pub struct ConnectionState {
    /// Maximum number of parts in one frame.
    max_parts_per_frame: usize,
    queue: VecDeque<QueueItem>,
    calls: BTreeMap<CallNo, TrackedCall>,
    /// Written load probes, oldest first, with the time of writing; `None` for a probe that was given up.
    load_probes: VecDeque<(Option<CallNo>, Instant)>,
    /// Written probes that prove calls to be over, oldest first, each with its calls and the time of writing.
    proof_probes: VecDeque<(Vec<CallNo>, Instant)>,
    /// Whether probes that prove calls to be over may be sent.
    proof_probes_allowed: bool,
    writing: Vec<QueueItem>,
    /// Parts that were answered or given up, oldest first.
    past_parts: VecDeque<PastPart>,
    /// The part that the last received frame answered, if that frame was an answer to a part.
    last_answered: Option<QueryPart>,
    buffer: Vec<u8>,
    /// When the incomplete frame at the start of the buffer began to arrive.
    partial_since: Option<Instant>,
    last_input: Instant,
    presumed_dead: bool,
    /// Moving average of response times.
    average_response_time: Duration,
}

impl ConnectionState {
    /// Creates the state of a new connection. `average_response_time` is the assumed response time until answers
    /// arrive.
    pub fn new(max_parts_per_frame: usize, now: Instant, average_response_time: Duration) -> Self {
        ConnectionState {
            max_parts_per_frame: max_parts_per_frame.max(1),
            queue: VecDeque::new(),
            calls: BTreeMap::new(),
            load_probes: VecDeque::new(),
            proof_probes: VecDeque::new(),
            proof_probes_allowed: true,
            writing: Vec::new(),
            past_parts: VecDeque::new(),
            last_answered: None,
            buffer: Vec::new(),
            partial_since: None,
            last_input: now,
            presumed_dead: false,
            average_response_time,
        }
    }

    /// Sets whether probes that prove calls to be over may be sent.
    pub fn allow_proof_probes(&mut self, allowed: bool) {
        self.proof_probes_allowed = allowed;
        if !allowed {
            self.queue.retain(|item| !matches!(item, QueueItem::ProofProbe(_)));
        }
    }

    /// Returns when to shut down the write side because only calls that were given up are outstanding: the run store
    /// closing its side proves them over. This is tried if no probe can prove it, or if none was answered within the
    /// average response time.
    pub fn write_shutdown_at(&self) -> Option<Instant> {
        let only_cancelling = !self.calls.is_empty()
            && self.calls.values().all(|tracked| tracked.stage.is_cancelling())
            && self.queue.is_empty()
            && self.writing.is_empty()
            && self.load_probes.iter().all(|(no, _)| no.is_none());
        let all_probed = self.calls.values().all(|tracked| tracked.stage == Stage::ProofRequested);
        let since = self
            .proof_probes
            .front()
            .filter(|_| all_probed)
            .map(|(_, at)| self.last_input.max(*at) + self.average_response_time);
        only_cancelling.then(|| since.unwrap_or(self.last_input))
    }

    /// Returns the number of calls that have not ended.
    pub fn pending_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether an answer to an earlier call could be taken for the answer to a call on this connection. Frames
    /// name the part but neither the query nor the attempt, and a run store may repeat an answer right after it, so that
    /// the copy is the next frame that arrives.
    pub fn confuses(&self, call: &Call) -> bool {
        self.confuses_queries(call) || self.confuses_attempts(call)
    }

    /// Returns whether an answer to an earlier query with the same id may still arrive.
    pub fn confuses_queries(&self, call: &Call) -> bool {
        let carries_part =
            self.calls.values().any(|tracked| QueryPart::of(&tracked.call).is_mistaken_for(call));
        let late_answer_may_follow =
            self.past_parts.iter().any(|past| !past.answered && past.part.is_mistaken_for(call));
        let copy_may_follow = self.last_answered.as_ref().is_some_and(|part| part.is_mistaken_for(call));
        carries_part || late_answer_may_follow || copy_may_follow
    }

    /// Returns whether an answer to an earlier attempt of the part may still arrive, where that matters.
    fn confuses_attempts(&self, call: &Call) -> bool {
        let carries_part = || self.calls.values().any(|tracked| tracked.call.part == call.part);
        let copy_may_follow = || self.last_answered.as_ref().is_some_and(|part| part.id == call.part);
        call.repeats_restricted && call.query_attempt.1 > 0 && (carries_part() || copy_may_follow())
    }

    /// Returns whether nothing is outstanding, queued or being written.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
            && self.queue.is_empty()
            && self.writing.is_empty()
            && self.load_probes.is_empty()
    }

    /// Returns whether the connection stayed silent with something outstanding for so long that it is presumed dead.
    pub fn is_presumed_dead(&self) -> bool {
        self.presumed_dead
    }

    /// Returns whether to put no new call on the connection: a written call has long been outstanding without any
    /// input, or a partial frame that nothing awaits may be garbage that would swallow an answer.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let written = self.calls.values().filter_map(|tracked| match tracked.stage {
            Stage::Written(at) => Some(at),
            _ => None,
        });
        let since = written.min().map(|at| at.max(self.last_input));
        let unexpected = self.partial_since.is_some() && !self.awaits_answer();
        self.presumed_dead
            || unexpected
            || since
                .is_some_and(|since| now - since >= self.average_response_time * UNRESPONSIVE_RESPONSE_TIMES)
    }

    /// Returns when input last arrived.
    pub fn last_input(&self) -> Instant {
        self.last_input
    }

    /// Returns the moving average of response times.
    pub fn average_response_time(&self) -> Duration {
        self.average_response_time
    }

    /// Returns when the incomplete frame began to arrive. A frame that never ends blocks everything after it.
    pub fn partial_frame_since(&self) -> Option<Instant> {
        self.partial_since
    }

    /// Queues a call.
    pub fn push(&mut self, call: Call) {
        self.track(call, false);
    }

    /// Queues a call that was still queued when an earlier connection ended.
    pub fn push_moved(&mut self, call: Call) {
        self.track(call, true);
    }

    fn track(&mut self, call: Call, requeued: bool) {
        self.queue.push_back(QueueItem::Call(call.no));
        self.calls
            .insert(call.no, TrackedCall { call, stage: Stage::Queued, cancel_after_write: None, requeued });
    }

    /// Takes the calls of which nothing was written, to send them on another connection. Each call is moved only
    /// once.
    pub fn take_queued(&mut self) -> Vec<Call> {
        let queued = |tracked: &TrackedCall| tracked.stage == Stage::Queued && !tracked.requeued;
        let numbers: Vec<CallNo> =
            self.calls.iter().filter(|(_, tracked)| queued(tracked)).map(|(no, _)| *no).collect();
        self.queue.retain(|item| !matches!(item, QueueItem::Call(no) if numbers.contains(no)));
        numbers.iter().filter_map(|no| self.calls.remove(no)).map(|tracked| tracked.call).collect()
    }

    fn remember_past(&mut self, part: QueryPart, answered: bool) {
        if self.past_parts.len() == MAX_PAST_PARTS {
            self.past_parts.pop_front();
        }
        self.past_parts.push_back(PastPart { part, answered });
    }

    /// Returns whether an answer to a call or a probe is outstanding.
    fn awaits_answer(&self) -> bool {
        !self.proof_probes.is_empty()
            || !self.load_probes.is_empty()
            || self.calls.values().any(|tracked| tracked.stage.is_fully_written())
    }

    /// Queues a load probe.
    pub fn push_load_probe(&mut self, no: CallNo) {
        self.queue.push_back(QueueItem::LoadProbe(no));
    }

    /// Ends the queued calls that have waited too long and may no longer be sent.
    pub fn expire(&mut self, now: Millis) -> Vec<EndEvent> {
        let expired = |tracked: &TrackedCall| tracked.stage == Stage::Queued && tracked.call.is_late(now);
        let numbers: Vec<CallNo> =
            self.calls.iter().filter(|(_, tracked)| expired(tracked)).map(|(no, _)| *no).collect();
        self.queue.retain(|item| !matches!(item, QueueItem::Call(no) if numbers.contains(no)));
        numbers.into_iter().map(|no| self.end(no, Outcome::NotSent)).collect()
    }

    /// Returns the next frame to write. It counts as being written until [`ConnectionState::mark_written`] is called.
    pub fn next_frame(&mut self, timeout_ms: impl Fn(&Call) -> u64) -> Option<Vec<u8>> {
        let first = loop {
            match self.queue.pop_front()? {
                QueueItem::ProofProbe(_) => {
                    let cancelling =
                        self.calls.iter_mut().filter(|(_, tracked)| tracked.stage == Stage::Cancelling);
                    let request_proof = |(no, tracked): (&CallNo, &mut TrackedCall)| {
                        tracked.stage = Stage::ProofRequested;
                        *no
                    };
                    let calls: Vec<CallNo> = cancelling.map(request_proof).collect();
                    // All calls that needed this probe may have ended meanwhile.
                    if !calls.is_empty() {
                        break QueueItem::ProofProbe(calls);
                    }
                }
                item => break item,
            }
        };
        self.writing = vec![first];
        let is_call = |item: Option<&QueueItem>| matches!(item, Some(QueueItem::Call(_)));
        if is_call(self.writing.first()) {
            while self.writing.len() < self.max_parts_per_frame && is_call(self.queue.front()) {
                self.writing.extend(self.queue.pop_front());
            }
        }
        match &self.writing[0] {
            QueueItem::Cancel(part) => Some(codec::encode_cancel(part)),
            QueueItem::LoadProbe(_) => Some(codec::encode_load_probe()),
            QueueItem::ProofProbe(_) => Some(codec::encode_proof_probe()),
            QueueItem::Call(_) => {
                for item in &self.writing {
                    if let QueueItem::Call(no) = item {
                        if let Some(tracked) = self.calls.get_mut(no) {
                            tracked.stage = Stage::Writing;
                        }
                    }
                }
                Some(codec::encode_call(self.writing().map(|call| Part {
                    id: &call.part,
                    shard: call.shard,
                    timeout_ms: timeout_ms(call),
                    key: call.key.as_deref(),
                    text: &call.payload,
                })))
            }
        }
    }

    /// Returns the calls of the frame that is being written.
    pub fn writing(&self) -> impl Iterator<Item = &Call> {
        self.writing.iter().filter_map(|item| match item {
            QueueItem::Call(no) => self.calls.get(no).map(|tracked| &tracked.call),
            _ => None,
        })
    }

    /// Records that the last byte of the frame was written. Returns the number of attempts in it.
    pub fn mark_written(&mut self, now: Instant) -> usize {
        let mut attempts = 0;
        for item in std::mem::take(&mut self.writing) {
            match item {
                QueueItem::Cancel(_) => {}
                QueueItem::LoadProbe(no) => self.load_probes.push_back((Some(no), now)),
                QueueItem::ProofProbe(calls) => self.proof_probes.push_back((calls, now)),
                QueueItem::Call(no) => {
                    attempts += 1;
                    let Some(tracked) = self.calls.get_mut(&no) else { continue };
                    tracked.stage = Stage::Written(now);
                    // It was given up while being written, and can be cancelled only now that the run store has it.
                    match tracked.cancel_after_write {
                        Some(true) => self.cancel_with_proof(no),
                        Some(false) => self.cancel_written(no),
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
        self.last_input = now;
        self.buffer.extend_from_slice(bytes);
        let mut ended = Vec::new();
        let result = self.process_frames(&mut ended);
        self.partial_since = (!self.buffer.is_empty()).then(|| self.partial_since.unwrap_or(now));
        (ended, result)
    }

    fn process_frames(&mut self, ended: &mut Vec<EndEvent>) -> Result<(), String> {
        while let Some(frame) = codec::take_frame(&mut self.buffer)? {
            self.partial_since = None;
            self.last_answered = None;
            match frame {
                Frame::PartEnded { part, status, load, value } => {
                    let outstanding = |tracked: &&TrackedCall| {
                        tracked.call.part == part && tracked.stage.is_fully_written()
                    };
                    let Some(no) = self.calls.values().find(outstanding).map(|tracked| tracked.call.no)
                    else {
                        self.note_surplus_answer(&part)?;
                        continue;
                    };
                    let Some(tracked) = self.calls.remove(&no) else { continue };
                    if let Stage::Written(at) = tracked.stage {
                        self.average_response_time = (self.average_response_time
                            * (RESPONSE_TIME_WEIGHT_DIVISOR - 1)
                            + (self.last_input - at))
                            / RESPONSE_TIME_WEIGHT_DIVISOR;
                    }
                    let part = QueryPart::of(&tracked.call);
                    self.last_answered = Some(part.clone());
                    self.remember_past(part, true);
                    let (outcome, value) = match status {
                        PartStatus::Served => (Outcome::Completed, Some(value)),
                        PartStatus::Failed => (Outcome::Errored, None),
                        PartStatus::Rejected => (Outcome::Rejected, None),
                    };
                    ended.push(EndEvent::Call(no, CallEnd { outcome, value, load }));
                }
                Frame::ProofProbeAnswer => {
                    for no in self.proof_probes.pop_front().map(|(calls, _)| calls).unwrap_or_default() {
                        if let Some(tracked) = self.calls.get(&no) {
                            let part = QueryPart::of(&tracked.call);
                            self.remember_past(part, false);
                            ended.push(self.end(no, Outcome::Cancelled));
                        }
                    }
                }
                Frame::LoadProbeAnswer { ok, load } => {
                    if let Some((Some(no), _)) = self.load_probes.pop_front() {
                        ended.push(EndEvent::LoadProbe(no, ok, load));
                    }
                }
                Frame::Rejected(reason) => return Err(format!("the run store rejected a frame: {reason}")),
            }
        }
        // With nothing outstanding, these bytes belong to no answer, and the next answer would be read as their
        // continuation. However, a late answer to a part that was given up may still arrive, in several pieces.
        let late_answer_possible = self.past_parts.iter().any(|past| !past.answered);
        if !self.buffer.is_empty() && !late_answer_possible && !self.awaits_answer() {
            return Err("unexpected bytes while no answer is outstanding".into());
        }
        Ok(())
    }

    /// Records an answer to a part that no call waits for: a late answer to a part that was given up, or a second answer.
    ///
    /// # Errors
    /// Returns an error if the part was never sent here. The run store has mixed up ids, and the answer to some other
    /// part will never arrive, so the connection must be closed.
    fn note_surplus_answer(&mut self, id: &str) -> Result<(), String> {
        let mut known = self.past_parts.iter_mut().filter(|past| past.part.id == id);
        let Some(first) = known.next() else {
            return Err(format!("answer to part {id:?}, which is not outstanding on this connection"));
        };
        let past = if first.answered { known.find(|past| !past.answered).unwrap_or(first) } else { first };
        past.answered = true;
        self.last_answered = Some(past.part.clone());
        Ok(())
    }

    /// Stops waiting for a call. Returns whether it was on this connection.
    pub fn give_up(&mut self, no: CallNo, now: Instant) -> bool {
        let Some(tracked) = self.calls.get_mut(&no) else { return false };
        match tracked.stage {
            Stage::Queued => {
                self.queue.retain(|item| *item != QueueItem::Call(no));
                self.calls.remove(&no);
            }
            Stage::Writing => tracked.cancel_after_write = Some(false),
            Stage::Written(at) => {
                self.mark_dead_if_silent(at, now);
                self.cancel_written(no);
            }
            // The cancel frame is already queued or written.
            Stage::Cancelling | Stage::ProofRequested => {
                let part = QueryPart::of(&tracked.call);
                self.calls.remove(&no);
                self.remember_past(part, false);
            }
        }
        true
    }

    /// Gives up a call that ends only once it is provably over: at once if none of it was written; otherwise with its
    /// answer, the answer to a later probe, or the end of the connection.
    pub fn give_up_with_proof(&mut self, no: CallNo, now: Instant) -> Option<EndEvent> {
        let tracked = self.calls.get_mut(&no)?;
        match tracked.stage {
            Stage::Queued => {
                self.queue.retain(|item| *item != QueueItem::Call(no));
                return Some(self.end(no, Outcome::NotSent));
            }
            Stage::Writing => tracked.cancel_after_write = Some(true),
            Stage::Written(at) => {
                self.mark_dead_if_silent(at, now);
                self.cancel_with_proof(no);
            }
            Stage::Cancelling | Stage::ProofRequested => {}
        }
        None
    }

    fn mark_dead_if_silent(&mut self, written: Instant, now: Instant) {
        self.presumed_dead |= self.last_input < written && now - written >= DEAD_AFTER;
    }

    /// Queues the cancel frame of a written call and forgets the call.
    fn cancel_written(&mut self, no: CallNo) {
        if let Some(TrackedCall { call, .. }) = self.calls.remove(&no) {
            self.remember_past(QueryPart::of(&call), false);
            self.queue.push_back(QueueItem::Cancel(call.part));
        }
    }

    /// Queues the cancel frame of a written call, but keeps the call until the run store has provably read that
    /// frame. One probe serves all cancel frames before it.
    fn cancel_with_proof(&mut self, no: CallNo) {
        let Some(tracked) = self.calls.get_mut(&no) else { return };
        tracked.stage = Stage::Cancelling;
        let cancel = QueueItem::Cancel(tracked.call.part.clone());
        match self.queue.iter().position(|item| matches!(item, QueueItem::ProofProbe(_))) {
            Some(at) => self.queue.insert(at, cancel),
            None => {
                self.queue.push_back(cancel);
                self.queue.extend(self.proof_probes_allowed.then(|| QueueItem::ProofProbe(Vec::new())));
            }
        }
    }

    /// Stops waiting for a load probe. Returns whether it was on this connection.
    pub fn give_up_load_probe(&mut self, no: CallNo) -> bool {
        let queued = self.queue.len();
        self.queue.retain(|item| *item != QueueItem::LoadProbe(no));
        let last_input = self.last_input;
        let mut found = self.queue.len() < queued;
        for (known, at) in self.load_probes.iter_mut().filter(|(known, _)| *known == Some(no)) {
            *known = None;
            self.presumed_dead |= last_input < *at;
            found = true;
        }
        found
    }

    /// Ends all queued calls. Sends no further calls or probes.
    pub fn retire(&mut self) -> Vec<EndEvent> {
        self.allow_proof_probes(false);
        self.queue.retain(|item| matches!(item, QueueItem::Cancel(_)));
        let queued = |tracked: &TrackedCall| tracked.stage == Stage::Queued;
        let numbers: Vec<CallNo> =
            self.calls.iter().filter(|(_, tracked)| queued(tracked)).map(|(no, _)| *no).collect();
        numbers.into_iter().map(|no| self.end(no, Outcome::NotSent)).collect()
    }

    /// Stops writing, and ends every load probe and every call that was not written completely.
    pub fn stop_writing(&mut self) -> Vec<EndEvent> {
        let mut ended = Vec::new();
        for item in self.queue.drain(..).chain(std::mem::take(&mut self.writing)) {
            if let QueueItem::LoadProbe(no) = item {
                ended.push(EndEvent::LoadProbe(no, false, None));
            }
        }
        for (no, _) in self.load_probes.drain(..) {
            ended.extend(no.map(|no| EndEvent::LoadProbe(no, false, None)));
        }
        let unsent =
            self.calls.iter().filter(|(_, tracked)| !tracked.stage.is_fully_written()).map(|(no, _)| *no);
        for no in unsent.collect::<Vec<_>>() {
            ended.push(self.end(no, Outcome::ConnectFailed));
        }
        ended
    }

    /// Ends everything on the connection because the connection has ended. If an answer was malformed, the run store
    /// is alive and received the outstanding calls, which failed there.
    pub fn end_all(&mut self, answer_malformed: bool) -> Vec<EndEvent> {
        let mut ended = self.stop_writing();
        for (no, tracked) in std::mem::take(&mut self.calls) {
            let outcome = match tracked.stage {
                Stage::Cancelling | Stage::ProofRequested => Outcome::Cancelled,
                _ if answer_malformed => Outcome::Errored,
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
