//! Stage 5, relay: reports ends of attempts to the router and keeps their values in the ledger for the
//! answer.

use super::{CallEnd, CallNo, Core};
use crate::api::{AttemptEnded, Event, LoadReport, Millis, Outcome};

impl Core {
    /// Records the end of an attempt. Only the first end of each attempt counts.
    pub fn call_ended(&mut self, now: Millis, no: CallNo, end: CallEnd) {
        let Some(outstanding) = self.ledger.outstanding.remove(&no) else { return };
        // An answer that arrives after the attempt was abandoned is still used, and so is proof that the
        // attempt never ran. Any other end only proves that the attempt is over.
        let is_conclusive =
            end.outcome == Outcome::Completed || end.outcome == Outcome::Errored || end.outcome.never_ran();
        let end = match outstanding.abandoned.filter(|_| !is_conclusive) {
            Some(outcome) => CallEnd { outcome, ..end },
            None => end,
        };
        self.ledger.call_numbers.remove(&(outstanding.part.clone(), outstanding.attempt));
        self.counters.count_attempt_end(end.outcome);
        if let Some(part) = self.ledger.parts.get_mut(&outstanding.part) {
            part.outstanding -= 1;
            if !end.outcome.never_ran() {
                part.may_have_run =
                    Some(part.may_have_run.map_or(outstanding.sent, |at| at.min(outstanding.sent)));
            }
            if end.outcome == Outcome::Completed && part.value.is_none() {
                part.value = end.value;
                self.ledger.open_parts -= usize::from(part.value.is_some());
            }
        }
        let load = end.load.filter(|_| self.start_times.is_warmth_known(&outstanding.run_store, now));
        self.pending_events.push(Event::AttemptEnded(AttemptEnded {
            part: outstanding.part,
            attempt: outstanding.attempt,
            replica: outstanding.run_store,
            outcome: end.outcome,
            latency: now - outstanding.sent,
            load,
        }));
    }

    /// Records the end of a probe, by its response or by its timeout. Only the first end counts.
    pub fn probe_ended(&mut self, no: CallNo, ok: bool, load: Option<LoadReport>) {
        if let Some(run_store) = self.ledger.probes.remove(&no) {
            let load = load
                .filter(|_| self.clock.is_none_or(|now| self.start_times.is_warmth_known(&run_store, now)));
            self.pending_events.push(Event::ProbeEnded { replica: run_store, ok, load });
        }
    }
}
