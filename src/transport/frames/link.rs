//! The state of one connection to a run store, without input or output.
//!
//! A call is queued, then being written, then written, and ends once. Whether it may have run turns on the
//! last byte of its frame: up to there it never ran, from there on it may have.
//!
//! A call that is given up may have to be proved over. The run store reads frames in their order: once it has answered
//! a probe that was written behind the frame which gives the call up, it has read that frame.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::codec::{self, End, Frame, Part};
use crate::api::{LoadReport, Millis, Outcome};
use crate::core::{Call, CallEnd, CallNo};

/// Ids of parts that are over which are remembered, so that a late or second answer is known from a spoilt one.
const MOST_PAST: usize = 512;
/// Silence after which a call that is given up makes its connection suspect: the machine may have vanished.
const SILENCE: Duration = Duration::from_millis(1500);

/// Silence of so many usual answers, with something out, looks like a connection that has fallen silent. One that
/// is only slow costs a further connection by that, as what is out on it is still waited for.
const SILENT_OF_USUAL: u32 = 3;
/// The weight of an answer in the usual time of answers is one in so many.
const USUAL_OF: u32 = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Queued,
    Writing,
    Written(Instant),
    /// It is given up and waited for until that is proved to be known; the run store is being told.
    Told,
    /// The same, and the probe behind is being written, or is.
    Asked,
}

impl Stage {
    /// Whether the run store has it whole, and may answer it.
    fn is_out(self) -> bool {
        !matches!(self, Stage::Queued | Stage::Writing)
    }

    /// Whether it is only waited for until it is proved to be over.
    fn is_told(self) -> bool {
        matches!(self, Stage::Told | Stage::Asked)
    }
}

#[derive(Debug)]
struct Held {
    call: Call,
    stage: Stage,
    /// Given up while it was being written, and whether that is to be proved.
    given_up: Option<bool>,
    /// Whether it was queued on an earlier connection, which ended.
    moved: bool,
}

#[derive(Debug, Clone, PartialEq)]
enum Item {
    Call(CallNo),
    GiveUp(String),
    Probe(CallNo),
    /// A probe that proves calls to be over; they are named once it is being written.
    Proof(Vec<CallNo>),
}

/// Something that ended on a connection.
#[derive(Debug, Clone, PartialEq)]
pub enum Ended {
    /// An attempt.
    Call(CallNo, CallEnd),
    /// A probe: whether it succeeded, and the load report.
    Probe(CallNo, bool, Option<LoadReport>),
}

/// What came on a connection: what ended by it, in order, and what spoilt it, if anything did. What stands before
/// the spoilt frame holds.
pub type Came = (Vec<Ended>, Result<(), String>);

/// The state of a connection.
#[derive(Debug)]
pub struct Link {
    /// Parts that share a frame at most.
    bundle: usize,
    queue: VecDeque<Item>,
    calls: BTreeMap<CallNo, Held>,
    /// Probes that are written, oldest first; `None` for one that is given up.
    probes: VecDeque<(Option<CallNo>, Instant)>,
    /// Probes that are written and prove calls to be over, oldest first, each with its calls.
    proofs: VecDeque<(Vec<CallNo>, Instant)>,
    /// Whether such probes may be sent.
    may_prove: bool,
    writing: Vec<Item>,
    /// Parts that were answered or given up here, oldest first, and whether an answer has come.
    past: VecDeque<(String, bool)>,
    buffer: Vec<u8>,
    /// Since when the buffer holds the beginning of a frame.
    inside: Option<Instant>,
    heard: Instant,
    suspect: bool,
    /// How long answers take, smoothed.
    usual: Duration,
}

impl Link {
    /// A connection's state at its start; answers are taken to need some usual time until some have come.
    pub fn new(bundle: usize, now: Instant, usual: Duration) -> Self {
        Link {
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

    /// Says whether probes may be sent that prove calls to be over.
    pub fn set_may_prove(&mut self, may_prove: bool) {
        self.may_prove = may_prove;
        if !may_prove {
            self.queue.retain(|item| !matches!(item, Item::Proof(_)));
        }
    }

    /// When this side is to be shut, as nothing is out but what is given up: the run store's end proves that to be over.
    /// It is tried once no probe will prove it, or none has in the usual time of answers.
    pub fn shuts_at(&self) -> Option<Instant> {
        let only = !self.calls.is_empty()
            && self.calls.values().all(|held| held.stage.is_told())
            && self.queue.is_empty()
            && self.writing.is_empty()
            && self.probes.iter().all(|(no, _)| no.is_none());
        let asked = self.calls.values().all(|held| held.stage == Stage::Asked);
        let since = self.proofs.front().filter(|_| asked).map(|(_, at)| self.heard.max(*at) + self.usual);
        only.then(|| since.unwrap_or(self.heard))
    }

    /// Calls on it that have not ended.
    pub fn load(&self) -> usize {
        self.calls.len()
    }

    /// Whether nothing is out or to be written.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.queue.is_empty() && self.writing.is_empty() && self.probes.is_empty()
    }

    /// Whether it fell silent with something out, for good as far as can be told.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Whether nothing new should go on it, as something has long been out and nothing comes, or as what has begun
    /// to come may be noise that would swallow an answer.
    pub fn is_silent(&self, now: Instant) -> bool {
        let written = self.calls.values().filter_map(|held| match held.stage {
            Stage::Written(at) => Some(at),
            _ => None,
        });
        let since = written.min().map(|at| at.max(self.heard));
        let unasked = self.inside.is_some() && !self.is_awaited();
        self.suspect || unasked || since.is_some_and(|since| now - since >= self.usual * SILENT_OF_USUAL)
    }

    /// When something was last heard on it.
    pub fn heard(&self) -> Instant {
        self.heard
    }

    /// How long answers usually take on it.
    pub fn usual(&self) -> Duration {
        self.usual
    }

    /// Since when a frame has been coming in that is not whole. One that never ends swallows all that follows.
    pub fn inside_since(&self) -> Option<Instant> {
        self.inside
    }

    /// Queues a call.
    pub fn push(&mut self, call: Call) {
        self.hold(call, false);
    }

    /// Queues a call that an earlier connection had not begun to write.
    pub fn push_again(&mut self, call: Call) {
        self.hold(call, true);
    }

    fn hold(&mut self, call: Call, moved: bool) {
        self.queue.push_back(Item::Call(call.no));
        self.calls.insert(call.no, Held { call, stage: Stage::Queued, given_up: None, moved });
    }

    /// Takes the calls that no byte was written of, to go on another connection; each goes but once.
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

    /// Whether an answer is waited for: of a call, or of a probe.
    fn is_awaited(&self) -> bool {
        !self.proofs.is_empty()
            || !self.probes.is_empty()
            || self.calls.values().any(|held| held.stage.is_out())
    }

    /// Queues a probe.
    pub fn push_probe(&mut self, no: CallNo) {
        self.queue.push_back(Item::Probe(no));
    }

    /// Takes back the calls that have not begun to be written and may not begin any more: they waited for too long.
    pub fn expire(&mut self, now: Millis) -> Vec<Ended> {
        let late = |held: &Held| held.stage == Stage::Queued && held.call.is_late(now);
        let nos: Vec<CallNo> = self.calls.iter().filter(|(_, held)| late(held)).map(|(no, _)| *no).collect();
        self.queue.retain(|item| !matches!(item, Item::Call(no) if nos.contains(no)));
        nos.into_iter().map(|no| self.end(no, Outcome::NotSent)).collect()
    }

    /// The next frame to write. It counts as being written until [`Link::written`].
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
                    // All that it was for may have ended meanwhile.
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
                    text: &call.payload,
                })))
            }
        }
    }

    /// The calls of the frame that is being written.
    pub fn writing(&self) -> impl Iterator<Item = &Call> {
        self.writing.iter().filter_map(|item| match item {
            Item::Call(no) => self.calls.get(no).map(|held| &held.call),
            _ => None,
        })
    }

    /// The last byte of the frame is written; says how many attempts that makes.
    pub fn written(&mut self, now: Instant) -> usize {
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
                    // Given up while it was being written: the run store is told now that it has it.
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

    /// Takes bytes in; says what ended, and what cannot be read: the connection has to close then.
    pub fn read(&mut self, bytes: &[u8], now: Instant) -> Came {
        self.heard = now;
        self.buffer.extend_from_slice(bytes);
        let mut ended = Vec::new();
        let came = self.frames(&mut ended);
        self.inside = (!self.buffer.is_empty()).then(|| self.inside.unwrap_or(now));
        (ended, came)
    }

    fn frames(&mut self, ended: &mut Vec<Ended>) -> Result<(), String> {
        while let Some(frame) = codec::next(&mut self.buffer)? {
            self.inside = None;
            match frame {
                Frame::End { part, end, load, value } => {
                    let out = |held: &&Held| held.call.part == part && held.stage.is_out();
                    let Some(no) = self.calls.values().find(out).map(|held| held.call.no) else {
                        // An answer to what was given up, or a second one, concerns nobody. An answer to what
                        // was never asked here stands for one that was: that one never comes.
                        if let Some(past) = self.past.iter_mut().find(|past| past.0 == part) {
                            past.1 = true;
                            continue;
                        }
                        return Err(format!("an end of the part {part:?}, which is not out here"));
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
                    ended.push(Ended::Call(no, CallEnd { outcome, value, load }));
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
                        ended.push(Ended::Probe(no, ok, load));
                    }
                }
                Frame::Unusable(why) => return Err(format!("the run store could not use a frame: {why}")),
            }
        }
        // With nothing out, these bytes belong to nothing, and the next answer would be read as their rest. But the
        // answer to what was given up may come yet, and in pieces.
        let late = self.past.iter().any(|(_, answered)| !answered);
        if !self.buffer.is_empty() && !late && !self.is_awaited() {
            return Err("bytes that nobody waits for".into());
        }
        Ok(())
    }

    /// Stops waiting for a call; says whether it was here.
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
            // The run store is being told already.
            Stage::Told | Stage::Asked => {
                let part = held.call.part.clone();
                self.calls.remove(&no);
                self.pass(part, false);
            }
        }
        true
    }

    /// Gives up a call that ends once it is proved to be over: at once if it has not begun to be written, and by its
    /// answer, by that to a probe, or with the connection if it has.
    pub fn call_back(&mut self, no: CallNo, now: Instant) -> Option<Ended> {
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

    /// The run store is told that a written call is given up, and the call is forgotten.
    fn drop_written(&mut self, no: CallNo) {
        if let Some(Held { call: Call { part, .. }, .. }) = self.calls.remove(&no) {
            self.queue.push_back(Item::GiveUp(part.clone()));
            self.pass(part, false);
        }
    }

    /// The same, but the call stays until that is proved to have been read. One probe serves all that stands before it.
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

    /// Stops waiting for a probe; says whether it was here.
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

    /// Takes back what has not begun to be written. Nothing new is sent, also no probe.
    pub fn retire(&mut self) -> Vec<Ended> {
        self.set_may_prove(false);
        self.queue.retain(|item| matches!(item, Item::GiveUp(_)));
        let queued = |held: &Held| held.stage == Stage::Queued;
        let nos: Vec<CallNo> =
            self.calls.iter().filter(|(_, held)| queued(held)).map(|(no, _)| *no).collect();
        nos.into_iter().map(|no| self.end(no, Outcome::NotSent)).collect()
    }

    /// Nothing more is written: the ends of all that was not written whole.
    pub fn sever(&mut self) -> Vec<Ended> {
        let mut ended = Vec::new();
        for item in self.queue.drain(..).chain(std::mem::take(&mut self.writing)) {
            if let Item::Probe(no) = item {
                ended.push(Ended::Probe(no, false, None));
            }
        }
        for (no, _) in self.probes.drain(..) {
            ended.extend(no.map(|no| Ended::Probe(no, false, None)));
        }
        let unsent = self.calls.iter().filter(|(_, held)| !held.stage.is_out()).map(|(no, _)| *no);
        for no in unsent.collect::<Vec<_>>() {
            ended.push(self.end(no, Outcome::ConnectFailed));
        }
        ended
    }

    /// The connection is no more: the ends of all that was on it. If an answer was spoilt, what is out has been
    /// taken by a run store that lives, and failed there.
    pub fn broken(&mut self, spoilt: bool) -> Vec<Ended> {
        let mut ended = self.sever();
        for (no, held) in std::mem::take(&mut self.calls) {
            let outcome = match held.stage {
                Stage::Told | Stage::Asked => Outcome::Cancelled,
                _ if spoilt => Outcome::Errored,
                _ => Outcome::Reset,
            };
            ended.push(Ended::Call(no, CallEnd::bare(outcome)));
        }
        ended
    }

    fn end(&mut self, no: CallNo, outcome: Outcome) -> Ended {
        self.calls.remove(&no);
        Ended::Call(no, CallEnd::bare(outcome))
    }
}
