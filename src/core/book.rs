//! Stage 6, book: gives a query its final answer, enforces the rules on answers, and removes the query.

use super::ledger::{Ledger, Query};
use super::{Command, Core, FinalAnswer, QueryNo};
use crate::api::{Cause, Event, Millis, QueryId, RepeatPolicy};
use crate::hash::draw;
use ironpaddle_trace::record::How;

/// Tolerance for rounding when a sum of weights is compared with a limit.
const SHARE_SLACK: f64 = 0.0001;
/// Half-life of the refusals that the retry advice is based on, as a multiple of the class's aim.
const FORGET_AIMS: f64 = 4.0;

/// Minimum interval in milliseconds between two log lines for the same cause; the counters count every query.
const SAY_CAUSE: Millis = 10_000.0;

impl Core {
    pub(super) fn answer(&mut self, now: Millis, id: &QueryId, whole: bool) {
        let Some(no) = self.ledger.numbers.get(id).copied() else { return };
        let Some(query) = self.ledger.queries.get(&no) else { return };
        let class = &self.classes.at(query.class).class;
        let (answers, share) = self.ledger.answers(query);
        // Enforces the rule on honest answers, independently of the router's request: an answer never has
        // less than the least share, and is marked whole only if it is.
        let whole = whole && share + SHARE_SLACK >= class.whole_from;
        let enough = !answers.is_empty() && share + SHARE_SLACK >= class.least_share;
        let parts = query.parts.len();
        if enough && (whole || query.partial) {
            self.close(now, no, FinalAnswer::Served { whole, answers, parts });
        } else {
            let class = query.class;
            let verdict = self.failed(now, class, Cause::TooLittle);
            self.close(now, no, verdict);
        }
    }

    /// Returns the retry advice for a query that this core itself ends.
    pub(super) fn advice(&mut self, now: Millis, class: usize) -> Millis {
        let aim = self.classes.at(class).class.aim;
        let half = aim * FORGET_AIMS;
        self.advice.note(true, now, half);
        self.advice.wait(aim, self.settings.max_retry_after, (now, half), draw(&mut self.chance))
    }

    /// Records that a query was admitted, for the retry advice.
    pub(super) fn taken_up(&mut self, now: Millis, class: usize) {
        let half = self.classes.at(class).class.aim * FORGET_AIMS;
        self.advice.note(false, now, half);
    }

    /// Returns a failure. Retry advice is given only for classes that are safe to repeat.
    fn failed(&mut self, now: Millis, class: usize, cause: Cause) -> FinalAnswer {
        let safe = self.classes.at(class).class.repeat == RepeatPolicy::Safe;
        FinalAnswer::Failed { retry_after: if safe { self.advice(now, class) } else { 0.0 }, cause }
    }

    pub(super) fn end(&mut self, now: Millis, id: &QueryId, verdict: FinalAnswer) {
        if let Some(no) = self.ledger.numbers.get(id).copied() {
            self.close(now, no, verdict);
        }
    }

    fn close(&mut self, now: Millis, no: QueryNo, verdict: FinalAnswer) {
        let Some(query) = self.ledger.queries.get(&no) else { return };
        let class = query.class;
        let unsafe_class = self.classes.at(class).class.repeat == RepeatPolicy::Unsafe;
        // A refusal means that a retry is safe, which it is not if a part of an unsafe class may have run.
        let verdict = match verdict {
            FinalAnswer::Refused { cause, .. } if unsafe_class && self.ledger.may_have_run(query) => {
                self.failed(now, class, cause)
            }
            verdict => verdict,
        };
        self.counters.answered(&self.classes.at(class).name, &verdict);
        self.trace_verdict(now, no, super::trace_events::how(&verdict), verdict.cause());
        if let Some(cause) = verdict.cause() {
            self.say_cause(now, class, cause);
        }
        self.forget(now, no);
        self.commands.push_back(Command::Answer { query: no, answer: verdict });
    }

    /// Logs the cause of a query without an answer, at most once per [`CAUSE_LOG_INTERVAL`] for each cause.
    pub(super) fn say_cause(&mut self, now: Millis, class: usize, cause: Cause) {
        let said = self.said.get(cause.code()).copied();
        if said.is_none_or(|at| now - at >= SAY_CAUSE) {
            self.said.insert(cause.code(), now);
            let class = &self.classes.at(class).name;
            let text = format!("not answered: class={class} cause={} ({cause})", cause.code());
            self.commands.push_back(Command::Log(text));
        }
    }

    fn forget(&mut self, now: Millis, no: QueryNo) -> Option<Query> {
        let query = self.ledger.queries.remove(&no)?;
        self.ledger.deadlines.remove(no, query.deadline);
        self.ledger.numbers.remove(&Ledger::query_id(no));
        for id in &query.parts {
            let Some(part) = self.ledger.parts.remove(id) else { continue };
            self.ledger.open_parts -= usize::from(part.value.is_none());
            if part.out > 0 {
                self.release(now, id, part.attempts);
            }
        }
        Some(query)
    }

    /// Removes a query whose client has left, and informs the router.
    pub fn client_gone(&mut self, now: Millis, no: QueryNo) {
        self.trace_verdict(now, no, How::Left, None);
        if self.forget(now, no).is_some() {
            self.counters.clients_gone += 1;
            self.inbox.push(Event::ClientGone(Ledger::query_id(no)));
        }
    }

    /// Enforces the rule on lost queries: a query that is still open when its client's or the process's time
    /// is up gets a partial answer from the received parts if that is allowed, and fails otherwise. If only
    /// the process's time is up and a retry is safe, it is refused with retry advice, as its client could
    /// wait longer.
    pub(super) fn end_overdue(&mut self, now: Millis) {
        let overdue = self.ledger.deadlines.overdue(now);
        // The router itself is late and cannot give a cause any more.
        let cause = if self.ledger.run_stores.is_empty() { Cause::NoList } else { Cause::Overdue };
        for no in overdue {
            let query = &self.ledger.queries[&no];
            let class = query.class;
            let kind = &self.classes.at(class).class;
            let (answers, share) = self.ledger.answers(query);
            let enough = !answers.is_empty() && share + SHARE_SLACK >= kind.least_share;
            let safe = kind.repeat == RepeatPolicy::Safe || !self.ledger.may_have_run(query);
            let verdict = if enough && query.partial {
                FinalAnswer::Served { whole: false, answers, parts: query.parts.len() }
            } else if now >= self.ends && safe {
                FinalAnswer::Refused { retry_after: self.advice(now, class), cause }
            } else {
                FinalAnswer::Failed { retry_after: 0.0, cause }
            };
            self.close(now, no, verdict);
            self.inbox.push(Event::ClientGone(Ledger::query_id(no)));
        }
    }
}
