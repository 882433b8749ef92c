//! Stage 4, send: records an attempt and passes it to the transport, or ends it at once if it may not be
//! sent.

use super::ledger::OutstandingAttempt;
use super::{Call, CallEnd, CallNo, Command, Core};
use crate::api::{Attempt, Millis, Outcome, PartId, RepeatPolicy, ReplicaId, ReplicaState};

impl Core {
    /// Records an attempt of a part and sends it, unless it may not be sent.
    pub(super) fn send(&mut self, now: Millis, part: PartId, run_store: ReplicaId, timeout: Millis) {
        // The router numbers the attempts of a part in the order of its sends; the ledger counts the same
        // way.
        let Some(record) = self.ledger.parts.get_mut(&part) else { return };
        let attempt = Attempt(record.attempts);
        record.attempts += 1;
        // Enforces the rule against parallel attempts, independently of the router's request.
        let is_parallel =
            (record.outstanding > 0 || record.maybe_outstanding) && !self.settings.parallel_attempts;
        record.outstanding += 1;
        let (query_no, shard, may_have_run) = (record.query, record.shard, record.may_have_run);
        let no = CallNo(self.ledger.next_number());
        let outstanding = OutstandingAttempt {
            part: part.clone(),
            attempt,
            run_store: run_store.clone(),
            sent: now,
            abandoned: None,
        };
        self.ledger.outstanding.insert(no, outstanding);
        self.ledger.call_numbers.insert((part, attempt), no);
        let active = |id| {
            self.ledger.run_stores.get(id).is_some_and(|entry| entry.effective.state == ReplicaState::Active)
        };
        let Some(query) = self.ledger.queries.get(&query_no).filter(|_| !is_parallel && active(&run_store))
        else {
            self.call_ended(now, no, CallEnd::bare(Outcome::NotSent));
            return;
        };
        self.counters.sent += 1;
        let until = (now + timeout).min(query.deadline);
        let repeat = self.classes.get(query.class).class.repeat;
        self.commands.push_back(Command::Send(Call {
            no,
            run_store,
            part: format!("{}.{shard}", query.client_id),
            query: query.client_id.clone(),
            class: self.classes.get(query.class).name.clone(),
            query_attempt: (query_no, attempt.0),
            key: query.key.clone(),
            shard,
            until,
            allowed_until: repeat.allowed_until(may_have_run),
            repeats_restricted: repeat != RepeatPolicy::Safe || !self.settings.parallel_attempts,
            payload: query.payload.clone(),
        }));
    }

    /// Cancels an attempt, as the router requests.
    pub(super) fn cancel(&mut self, now: Millis, part: &PartId, attempt: Attempt) {
        if let Some(&no) = self.ledger.call_numbers.get(&(part.clone(), attempt)) {
            self.abandon(now, no, Outcome::Cancelled);
        }
    }

    /// Stops waiting for an attempt. Its end is normally recorded at once, so that a later report from the
    /// transport is ignored. But where the part may be sent again and parallel attempts are forbidden, the
    /// attempt stays outstanding until the transport has proof that it has ended; only then does the router
    /// get its end.
    fn abandon(&mut self, now: Millis, no: CallNo, outcome: Outcome) {
        let Some(outstanding) = self.ledger.outstanding.get(&no) else { return };
        if !self.may_be_resent(now, outstanding) {
            return self.abandon_now(now, no, outcome);
        }
        if let Some(outstanding) =
            self.ledger.outstanding.get_mut(&no).filter(|outstanding| outstanding.abandoned.is_none())
        {
            outstanding.abandoned = Some(outcome);
            self.commands.push_back(Command::Abandon {
                run_store: outstanding.run_store.clone(),
                no,
                await_proof: true,
            });
        }
    }

    /// Returns whether another attempt of the part could follow; it would run in parallel with this one while
    /// this one is outstanding.
    fn may_be_resent(&self, now: Millis, outstanding: &OutstandingAttempt) -> bool {
        let Some(part) = self.ledger.parts.get(&outstanding.part).filter(|part| part.value.is_none()) else {
            return false;
        };
        let Some(query) = self.ledger.queries.get(&part.query) else { return false };
        let first_may_have_run = part.may_have_run.map_or(outstanding.sent, |at| at.min(outstanding.sent));
        let repeat = self.classes.get(query.class).class.repeat;
        !self.settings.parallel_attempts
            && now < query.deadline
            && repeat.allows(Some(first_may_have_run), now)
    }

    /// Ends an attempt for the router at once and tells the transport to drop it.
    fn abandon_now(&mut self, now: Millis, no: CallNo, outcome: Outcome) {
        if let Some(outstanding) = self.ledger.outstanding.get(&no) {
            self.commands.push_back(Command::Abandon {
                run_store: outstanding.run_store.clone(),
                no,
                await_proof: false,
            });
            self.call_ended(now, no, CallEnd::bare(outcome));
        }
    }

    /// Ends the abandoned attempts of a part that is no longer held. As the part cannot be sent again, no
    /// proof of their end is needed.
    pub(super) fn end_abandoned_attempts(&mut self, now: Millis, part: &PartId, attempts: u32) {
        for attempt in (0..attempts).map(Attempt) {
            let no = self.ledger.call_numbers.get(&(part.clone(), attempt)).copied();
            let abandoned = |no: &CallNo| self.ledger.outstanding.get(no)?.abandoned;
            if let Some((no, outcome)) = no.and_then(|no| Some((no, abandoned(&no)?))) {
                self.abandon_now(now, no, outcome);
            }
        }
    }

    /// Abandons an attempt that has timed out.
    pub fn call_timed_out(&mut self, now: Millis, no: CallNo) {
        self.abandon(now, no, Outcome::TimedOut);
    }
}
