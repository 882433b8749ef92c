//! Stage 4, send: an attempt gets its record and goes to the transport, or ends at once.

use super::ledger::Out;
use super::{Call, CallEnd, CallNo, Command, Core};
use crate::api::{Attempt, Millis, Outcome, PartId, ReplicaId, ReplicaState};

impl Core {
    pub(super) fn send(&mut self, now: Millis, part: PartId, replica: ReplicaId, timeout: Millis) {
        // The router numbers a part's attempts by its sends; the ledger keeps the same count.
        let Some(record) = self.ledger.parts.get_mut(&part) else { return };
        let attempt = Attempt(record.attempts);
        record.attempts += 1;
        // Guards the rule on second copies, whatever was asked for.
        let copy = (record.out > 0 || record.unproved) && !self.settings.parallel_attempts;
        record.out += 1;
        let (of, shard, ran) = (record.query, record.shard, record.may_have_run);
        let no = CallNo(self.ledger.number());
        let out = Out { part: part.clone(), attempt, replica: replica.clone(), sent: now, given_up: None };
        self.ledger.out.insert(no, out);
        self.ledger.calls.insert((part, attempt), no);
        let active =
            |id| self.ledger.run_stores.get(id).is_some_and(|p| p.replica.state == ReplicaState::Active);
        let Some(query) = self.ledger.queries.get(&of).filter(|_| !copy && active(&replica)) else {
            self.call_ended(now, no, CallEnd::bare(Outcome::NotSent));
            return;
        };
        self.counters.sent += 1;
        let until = (now + timeout).min(query.deadline);
        let repeat = self.classes.at(query.class).class.repeat;
        self.commands.push_back(Command::Send(Call {
            no,
            replica,
            part: format!("{}.{shard}", query.client_id),
            query: query.client_id.clone(),
            class: self.classes.at(query.class).name.clone(),
            of: (of, attempt.0),
            key: query.key.clone(),
            shard,
            until,
            allowed_until: repeat.allowed_until(ran),
            text: query.text.clone(),
        }));
    }

    pub(super) fn cancel(&mut self, now: Millis, part: &PartId, attempt: Attempt) {
        if let Some(&no) = self.ledger.calls.get(&(part.clone(), attempt)) {
            self.give_up(now, no, Outcome::Cancelled);
        }
    }

    /// The core stops waiting for an attempt. Its end is booked first, so that whatever the transport still reports of
    /// it is no second one. But where its part may be sent again and may not be out twice, it is out until the transport
    /// has the proof that it is over, and only then does the router hear of its end.
    fn give_up(&mut self, now: Millis, no: CallNo, outcome: Outcome) {
        let Some(out) = self.ledger.out.get(&no) else { return };
        if !self.may_go_again(now, out) {
            return self.let_go(now, no, outcome);
        }
        if let Some(out) = self.ledger.out.get_mut(&no).filter(|out| out.given_up.is_none()) {
            out.given_up = Some(outcome);
            self.commands.push_back(Command::Abandon { replica: out.replica.clone(), no, await_proof: true });
        }
    }

    /// Whether another attempt of a part could follow this one, which would be its second copy while this one is out.
    fn may_go_again(&self, now: Millis, out: &Out) -> bool {
        let Some(part) = self.ledger.parts.get(&out.part).filter(|part| part.value.is_none()) else {
            return false;
        };
        let Some(query) = self.ledger.queries.get(&part.query) else { return false };
        let ran = part.may_have_run.map_or(out.sent, |at| at.min(out.sent));
        let repeat = self.classes.at(query.class).class.repeat;
        !self.settings.parallel_attempts && now < query.deadline && repeat.allows(Some(ran), now)
    }

    /// An attempt ends for the router at once, and the transport forgets it.
    fn let_go(&mut self, now: Millis, no: CallNo, outcome: Outcome) {
        if let Some(out) = self.ledger.out.get(&no) {
            self.commands.push_back(Command::Abandon {
                replica: out.replica.clone(),
                no,
                await_proof: false,
            });
            self.call_ended(now, no, CallEnd::bare(outcome));
        }
    }

    /// A part is held no more, so that nothing of it can be sent again: what was given up is waited for no longer.
    pub(super) fn release(&mut self, now: Millis, part: &PartId, attempts: u32) {
        for attempt in (0..attempts).map(Attempt) {
            let no = self.ledger.calls.get(&(part.clone(), attempt)).copied();
            let marked = |no: &CallNo| self.ledger.out.get(no)?.given_up;
            if let Some((no, outcome)) = no.and_then(|no| Some((no, marked(&no)?))) {
                self.let_go(now, no, outcome);
            }
        }
    }

    /// The time of an attempt is over.
    pub fn call_timed_out(&mut self, now: Millis, no: CallNo) {
        self.give_up(now, no, Outcome::TimedOut);
    }
}
