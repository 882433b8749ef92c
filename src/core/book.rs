//! Stage 6, book: gives a query its final answer, enforces the rules on answers, and removes the query.

use super::ledger::{Ledger, Query};
use super::{Command, Core, FinalAnswer, QueryNo};
use crate::api::{Cause, Event, Millis, QueryId, RepeatPolicy};
use crate::hash::draw;
use ironpaddle_trace::record::How;

/// Tolerance for rounding when a sum of weights is compared with a limit.
const SHARE_TOLERANCE: f64 = 0.0001;
/// Half-life of the refusals that the retry advice is based on, as a multiple of the class's aim.
const ADVICE_HALF_LIFE_AIMS: f64 = 4.0;

/// Minimum interval in milliseconds between two log lines for the same cause; the counters count every query.
const CAUSE_LOG_INTERVAL: Millis = 10_000.0;

impl Core {
    /// Answers a query from the received parts, or fails it if they are not enough.
    pub(super) fn answer_query(&mut self, now: Millis, id: &QueryId, whole: bool) {
        let Some(no) = self.ledger.query_numbers.get(id).copied() else { return };
        let Some(query) = self.ledger.queries.get(&no) else { return };
        let class = &self.classes.get(query.class).class;
        let (answers, share) = self.ledger.answers(query);
        // Enforces the rule on honest answers, independently of the router's request: an answer never has
        // less than the least share, and is marked whole only if it is.
        let whole = whole && share + SHARE_TOLERANCE >= class.whole_from;
        let enough = !answers.is_empty() && share + SHARE_TOLERANCE >= class.least_share;
        let parts = query.parts.len();
        if enough && (whole || query.accepts_partial) {
            self.close_query(now, no, FinalAnswer::Served { whole, answers, parts });
        } else {
            let class = query.class;
            let final_answer = self.failure(now, class, Cause::TooLittle);
            self.close_query(now, no, final_answer);
        }
    }

    /// Returns the retry advice for a query that this core itself ends.
    pub(super) fn retry_advice(&mut self, now: Millis, class: usize) -> Millis {
        let aim = self.classes.get(class).class.aim;
        let half_life = aim * ADVICE_HALF_LIFE_AIMS;
        self.advice.record(true, now, half_life);
        self.advice.retry_after(
            aim,
            self.settings.max_retry_after,
            (now, half_life),
            draw(&mut self.random_state),
        )
    }

    /// Records that a query was admitted, for the retry advice.
    pub(super) fn note_admitted(&mut self, now: Millis, class: usize) {
        let half_life = self.classes.get(class).class.aim * ADVICE_HALF_LIFE_AIMS;
        self.advice.record(false, now, half_life);
    }

    /// Returns a failure. Retry advice is given only for classes that are safe to repeat.
    fn failure(&mut self, now: Millis, class: usize, cause: Cause) -> FinalAnswer {
        let is_safe = self.classes.get(class).class.repeat == RepeatPolicy::Safe;
        FinalAnswer::Failed { retry_after: if is_safe { self.retry_advice(now, class) } else { 0.0 }, cause }
    }

    /// Ends a query by the id that the router knows it by.
    pub(super) fn end_query(&mut self, now: Millis, id: &QueryId, final_answer: FinalAnswer) {
        if let Some(no) = self.ledger.query_numbers.get(id).copied() {
            self.close_query(now, no, final_answer);
        }
    }

    /// Gives a query its final answer, counts and records it, and removes the query.
    fn close_query(&mut self, now: Millis, no: QueryNo, final_answer: FinalAnswer) {
        let Some(query) = self.ledger.queries.get(&no) else { return };
        let class = query.class;
        let is_unsafe = self.classes.get(class).class.repeat == RepeatPolicy::Unsafe;
        // A refusal means that a retry is safe, which it is not if a part of an unsafe class may have run.
        let final_answer = match final_answer {
            FinalAnswer::Refused { cause, .. } if is_unsafe && self.ledger.may_have_run(query) => {
                self.failure(now, class, cause)
            }
            final_answer => final_answer,
        };
        self.counters.count_answer(&self.classes.get(class).name, &final_answer);
        self.trace_query_end(now, no, super::trace_events::how_ended(&final_answer), final_answer.cause());
        if let Some(cause) = final_answer.cause() {
            self.log_cause(now, class, cause);
        }
        self.remove_query(now, no);
        self.commands.push_back(Command::Answer { query: no, answer: final_answer });
    }

    /// Logs the cause of a query without an answer, at most once per [`CAUSE_LOG_INTERVAL`] for each cause.
    pub(super) fn log_cause(&mut self, now: Millis, class: usize, cause: Cause) {
        let last_logged = self.cause_logged_at.get(cause.code()).copied();
        if last_logged.is_none_or(|at| now - at >= CAUSE_LOG_INTERVAL) {
            self.cause_logged_at.insert(cause.code(), now);
            let class = &self.classes.get(class).name;
            let text = format!("not answered: class={class} cause={} ({cause})", cause.code());
            self.commands.push_back(Command::Log(text));
        }
    }

    /// Removes a query and its parts from the ledger.
    fn remove_query(&mut self, now: Millis, no: QueryNo) -> Option<Query> {
        let query = self.ledger.queries.remove(&no)?;
        self.ledger.deadlines.remove(no, query.deadline);
        self.ledger.query_numbers.remove(&Ledger::query_id(no));
        if let Some(id) = query.unique_id {
            let is_safe = self.classes.get(query.class).class.repeat == RepeatPolicy::Safe;
            let remember = !is_safe && self.ledger.may_have_run(&query);
            self.query_ids.close(now, id, remember);
        }
        for id in &query.parts {
            let Some(part) = self.ledger.parts.remove(id) else { continue };
            self.ledger.open_parts -= usize::from(part.value.is_none());
            if part.outstanding > 0 {
                self.end_abandoned_attempts(now, id, part.attempts);
            }
        }
        Some(query)
    }

    /// Removes a query whose client has left, and informs the router.
    pub fn client_gone(&mut self, now: Millis, no: QueryNo) {
        self.trace_query_end(now, no, How::Left, None);
        if self.remove_query(now, no).is_some() {
            self.counters.clients_gone += 1;
            self.pending_events.push(Event::ClientGone(Ledger::query_id(no)));
        }
    }

    /// Enforces the rule on lost queries: a query that is still open when its client's or the process's time
    /// is up gets a partial answer from the received parts if that is allowed, and fails otherwise. If only
    /// the process's time is up and a retry is safe, it is refused with retry advice, as its client could
    /// wait longer.
    pub(super) fn end_overdue_queries(&mut self, now: Millis) {
        let overdue = self.ledger.deadlines.overdue(now);
        // The router itself is late and cannot give a cause any more.
        let cause = if self.ledger.run_stores.is_empty() { Cause::NoList } else { Cause::Overdue };
        for no in overdue {
            let may_refuse = now >= self.exit_time;
            self.end_unfinished_query(now, no, cause, may_refuse);
        }
    }

    /// Ends the queries that wait although no run store is listed and none of their attempts is outstanding: no more
    /// parts can be answered, and their clients can retry elsewhere in time.
    pub(super) fn end_queries_without_run_stores(&mut self, now: Millis) {
        if !self.is_list_empty() {
            return;
        }
        let is_outstanding = |id| self.ledger.parts.get(id).is_some_and(|part| part.outstanding > 0);
        let queries = self.ledger.queries.iter();
        let waiting = queries.filter(|(_, query)| !query.parts.iter().any(is_outstanding));
        let waiting: Vec<QueryNo> = waiting.map(|(no, _)| *no).collect();
        for no in waiting {
            self.end_unfinished_query(now, no, Cause::NoList, true);
        }
    }

    /// Ends a query with a partial answer from the received parts if that is allowed. Otherwise refuses it if that is
    /// wanted (`may_refuse`) and a retry is safe, or else fails it.
    fn end_unfinished_query(&mut self, now: Millis, no: QueryNo, cause: Cause, may_refuse: bool) {
        let Some(query) = self.ledger.queries.get(&no) else { return };
        let class = query.class;
        let class_settings = &self.classes.get(class).class;
        let (answers, share) = self.ledger.answers(query);
        let enough = !answers.is_empty() && share + SHARE_TOLERANCE >= class_settings.least_share;
        let is_safe = class_settings.repeat == RepeatPolicy::Safe || !self.ledger.may_have_run(query);
        let final_answer = if enough && query.accepts_partial {
            FinalAnswer::Served { whole: false, answers, parts: query.parts.len() }
        } else if may_refuse && is_safe {
            FinalAnswer::Refused { retry_after: self.retry_advice(now, class), cause }
        } else {
            FinalAnswer::Failed { retry_after: 0.0, cause }
        };
        self.close_query(now, no, final_answer);
        self.pending_events.push(Event::ClientGone(Ledger::query_id(no)));
    }
}
