//! Stage 6, book: a query gets its one final answer, under the guards that the rules need, and is closed.

use super::ledger::{Ledger, Query};
use super::{Command, Core, FinalAnswer, QueryNo};
use crate::api::{Cause, Event, Millis, QueryId, RepeatPolicy};
use crate::hash::draw;
use ironpaddle_trace::record::How;

/// Sums of weights may fall short by this much.
const SHARE_SLACK: f64 = 0.0001;
/// Aims in which half of what this core turned away by itself is forgotten.
const FORGET_AIMS: f64 = 4.0;

/// The log tells of each cause once in so many milliseconds; the figures count all.
const SAY_CAUSE: Millis = 10_000.0;

impl Core {
    pub(super) fn answer(&mut self, now: Millis, id: &QueryId, whole: bool) {
        let Some(no) = self.ledger.numbers.get(id).copied() else { return };
        let Some(query) = self.ledger.queries.get(&no) else { return };
        let class = &self.classes.at(query.class).class;
        let (answers, share) = self.ledger.answers(query);
        // Guards the rule on honest answers, whatever was asked for: never under the least share, never
        // marked whole unless it is.
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

    /// How long a client should stay away whose query this core ends by itself.
    pub(super) fn advice(&mut self, now: Millis, class: usize) -> Millis {
        let aim = self.classes.at(class).class.aim;
        let half = aim * FORGET_AIMS;
        self.advice.record(true, now, half);
        self.advice.retry_after(aim, self.settings.max_retry_after, (now, half), draw(&mut self.chance))
    }

    /// A query went on to the router.
    pub(super) fn taken_up(&mut self, now: Millis, class: usize) {
        let half = self.classes.at(class).class.aim * FORGET_AIMS;
        self.advice.record(false, now, half);
    }

    /// A failure; only clients of what is safe to repeat are asked back.
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
        // A refusal says that trying again is harmless: never where an unsafe part may have run.
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

    /// Tells people of a cause, once in a while for each.
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

    /// The client has left: the router is told, and nothing is owed any more.
    pub fn client_gone(&mut self, now: Millis, no: QueryNo) {
        self.trace_verdict(now, no, How::Left, None);
        if self.forget(now, no).is_some() {
            self.counters.clients_gone += 1;
            self.inbox.push(Event::ClientGone(Ledger::query_id(no)));
        }
    }

    /// Guards the rule on lost queries: what the router still holds when the client's time is up, or the process's, is
    /// answered from what is in, or else fails. Whoever could wait longer is asked back where that is harmless.
    pub(super) fn end_overdue(&mut self, now: Millis) {
        let overdue = self.ledger.deadlines.overdue(now);
        // The router is late itself, and cannot say why any more.
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
