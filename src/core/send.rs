//! Stage 4, send: records an attempt and passes it to the transport, or ends it at once if it may not be
//! sent.

use super::ledger::Out;
use super::{Call, CallEnd, CallNo, Command, Core};
use crate::api::{Attempt, Millis, Outcome, PartId, ReplicaId, ReplicaState};

impl Core {
    pub(super) fn send(&mut self, now: Millis, part: PartId, replica: ReplicaId, timeout: Millis) {
        // The router numbers the attempts of a part in the order of its sends; the ledger counts the same
        // way.
        let Some(record) = self.ledger.parts.get_mut(&part) else { return };
        let attempt = Attempt(record.attempts);
        record.attempts += 1;
        // Enforces the rule against parallel attempts, independently of the router's request.
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

    /// Stops waiting for an attempt. Its end is normally recorded at once, so that a later report from the
    /// transport is ignored. But where the part may be sent again and parallel attempts are forbidden, the
    /// attempt stays outstanding until the transport has proof that it has ended; only then does the router
    /// get its end.
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

    /// Returns whether another attempt of the part could follow; it would run in parallel with this one while
    /// this one is outstanding.
    fn may_go_again(&self, now: Millis, out: &Out) -> bool {
        let Some(part) = self.ledger.parts.get(&out.part).filter(|part| part.value.is_none()) else {
            return false;
        };
        let Some(query) = self.ledger.queries.get(&part.query) else { return false };
        let ran = part.may_have_run.map_or(out.sent, |at| at.min(out.sent));
        let repeat = self.classes.at(query.class).class.repeat;
        !self.settings.parallel_attempts && now < query.deadline && repeat.allows(Some(ran), now)
    }

    /// Ends an attempt for the router at once and tells the transport to drop it.
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

    /// Ends the abandoned attempts of a part that is no longer held. As the part cannot be sent again, no
    /// proof of their end is needed.
    pub(super) fn release(&mut self, now: Millis, part: &PartId, attempts: u32) {
        for attempt in (0..attempts).map(Attempt) {
            let no = self.ledger.calls.get(&(part.clone(), attempt)).copied();
            let marked = |no: &CallNo| self.ledger.out.get(no)?.given_up;
            if let Some((no, outcome)) = no.and_then(|no| Some((no, marked(&no)?))) {
                self.let_go(now, no, outcome);
            }
        }
    }

    /// Abandons an attempt that has timed out.
    pub fn call_timed_out(&mut self, now: Millis, no: CallNo) {
        self.give_up(now, no, Outcome::TimedOut);
    }
}
