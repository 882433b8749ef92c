//! Stage 5, relay: ends of attempts reach the router, and values wait in the ledger for the answer.

use super::{CallEnd, CallNo, Core};
use crate::api::{AttemptEnded, Event, LoadReport, Millis, Outcome};

impl Core {
    /// An attempt has ended. Only the first end of each counts.
    pub fn call_ended(&mut self, now: Millis, no: CallNo, end: CallEnd) {
        let Some(out) = self.ledger.out.remove(&no) else { return };
        // An answer that crossed its being given up holds, and so does the proof that it never ran. The rest only says
        // that it is over.
        let told =
            end.outcome == Outcome::Completed || end.outcome == Outcome::Errored || end.outcome.never_ran();
        let end = match out.given_up.filter(|_| !told) {
            Some(outcome) => CallEnd { outcome, ..end },
            None => end,
        };
        self.ledger.calls.remove(&(out.part.clone(), out.attempt));
        self.counters.ended(end.outcome);
        if let Some(part) = self.ledger.parts.get_mut(&out.part) {
            part.out -= 1;
            if !end.outcome.never_ran() {
                part.may_have_run = Some(part.may_have_run.map_or(out.sent, |at| at.min(out.sent)));
            }
            if end.outcome == Outcome::Completed && part.value.is_none() {
                part.value = end.value;
                self.ledger.open_parts -= usize::from(part.value.is_some());
            }
        }
        let load = end.load.filter(|_| self.starts.is_warmth_known(&out.replica, now));
        self.inbox.push(Event::AttemptEnded(AttemptEnded {
            part: out.part,
            attempt: out.attempt,
            replica: out.replica,
            outcome: end.outcome,
            latency: now - out.sent,
            load,
        }));
    }

    /// A probe has ended, by its answer or by its time. Only the first end counts.
    pub fn probe_ended(&mut self, no: CallNo, ok: bool, load: Option<LoadReport>) {
        if let Some(replica) = self.ledger.probes.remove(&no) {
            let load =
                load.filter(|_| self.clock.is_none_or(|now| self.starts.is_warmth_known(&replica, now)));
            self.inbox.push(Event::ProbeEnded { replica, ok, load });
        }
    }
}
