//! The core with second copies of a part disallowed: an abandoned attempt counts as in flight until its end is proved
//! or its query ends.

#[path = "common/core.rs"]
mod fixture;

use fixture::{calls, commands};
use ironpaddle::api::{Outcome, ReplicaState};
use ironpaddle::core::{Call, CallEnd, CallNo, Command, Core, DirectoryUpdate, FinalAnswer, QueryNo};
use ironpaddle::settings::SiteSettings;
use serde_json::json;

/// Milliseconds between two steps of the core.
const STEP: f64 = 5.0;

/// A core with two run stores and one query, whose only part is in flight.
struct Scenario {
    core: Core,
    now: f64,
    query: QueryNo,
    first: Call,
    /// All attempts sent so far.
    sent: Vec<CallNo>,
    /// The abandoned attempts, and whether the core awaits proof of their end.
    abandoned: Vec<(CallNo, bool)>,
    final_answers: Vec<FinalAnswer>,
}

/// Returns settings that allow second copies if `copies` is true.
fn site(copies: bool) -> SiteSettings {
    let class = |name: &str, repeat: &str| json!({"name": name, "aim_ms": 1000.0, "deadline_ms": 4000.0, "repeat": repeat, "window_ms": 5000.0});
    serde_json::from_value(json!({
        "caps": {"max_attempts": 3, "max_retry_after_ms": 2000.0, "may_cancel": true, "parallel_tries": copies},
        "domain": {"cells": 1, "width": 1, "shards": 9},
        "request_classes": [class("search", "read_like"), class("entry", "non_idempotent")],
        "tick_ms": 5.0,
    }))
    .unwrap()
}

impl Scenario {
    fn start(copies: bool, class: &str, timeout: f64) -> Self {
        let mut core = Core::new(&site(copies), 7).unwrap();
        let line = |name: &str| fixture::listed(name, ReplicaState::Active, 0.0);
        core.apply_directory_update(DirectoryUpdate::Cached(vec![line("a"), line("b")]));
        core.step(0.0);
        let query = core.take_in(1.0, fixture::ask("r1", class, 1, timeout)).unwrap();
        core.step(STEP);
        let first = calls(&commands(&mut core)).remove(0);
        let sent = vec![first.no];
        Scenario { core, now: STEP, query, first, sent, abandoned: Vec::new(), final_answers: Vec::new() }
    }

    /// Steps the core for `time` ms, times out the first attempt when its time is up, and returns the new calls.
    fn advance(&mut self, time: f64) -> Vec<Call> {
        let (until, mut new) = (self.now + time, Vec::new());
        while self.now < until {
            self.now += STEP;
            if self.now >= self.first.until {
                self.core.call_timed_out(self.now, self.first.no);
            }
            self.core.step(self.now);
            for command in commands(&mut self.core) {
                match command {
                    Command::Send(call) => {
                        self.sent.push(call.no);
                        new.push(call);
                    }
                    Command::Abandon { no, await_proof, .. } => self.abandoned.push((no, await_proof)),
                    Command::Answer { answer, .. } => self.final_answers.push(answer),
                    _ => {}
                }
            }
        }
        new
    }

    fn end(&mut self, no: CallNo, outcome: Outcome) {
        let value = (outcome == Outcome::Completed).then(|| b"v"[..].into());
        self.core.call_ended(self.now, no, CallEnd { outcome, value, load: None });
    }

    fn ends(&self) -> u64 {
        self.core.counters.ends.iter().sum()
    }

    /// Starts a query whose first attempt was silent and has been abandoned, without proof of its end.
    fn with_silent_attempt(copies: bool) -> Self {
        let mut scenario = Scenario::start(copies, "search", 3000.0);
        assert!(scenario.advance(390.0).is_empty() && scenario.abandoned.is_empty());
        let retries = scenario.advance(400.0);
        assert_eq!(retries.len(), usize::from(copies));
        assert_eq!(scenario.abandoned, [(scenario.first.no, !copies)]);
        assert_eq!(scenario.ends(), u64::from(copies));
        scenario
    }
}

#[test]
fn a_retry_follows_at_once_when_the_end_of_the_attempt_is_proved() {
    for proof in
        [Outcome::Cancelled, Outcome::Reset, Outcome::Errored, Outcome::ConnectFailed, Outcome::NotSent]
    {
        let mut scenario = Scenario::with_silent_attempt(false);
        scenario.end(scenario.first.no, proof);
        let retries = scenario.advance(2.0 * STEP);
        assert!(
            retries.len() == 1 && retries[0].run_store != scenario.first.run_store,
            "{proof:?}: {retries:?}"
        );
        // A reset of the connection proves only that the abandoned attempt has ended.
        let counted = if proof == Outcome::Reset { Outcome::Cancelled } else { proof };
        assert_eq!(scenario.core.counters.ends[outcome_index(counted)], 1, "{proof:?}");
        scenario.end(retries[0].no, Outcome::Completed);
        scenario.advance(STEP);
        assert!(matches!(scenario.final_answers[..], [FinalAnswer::Served { whole: true, .. }]), "{proof:?}");
        assert_eq!(scenario.ends(), 2, "{proof:?}");
    }
}

/// Returns the index of an outcome in the counters of attempt ends.
fn outcome_index(outcome: Outcome) -> usize {
    use Outcome::*;
    let all = [Completed, Errored, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, NotSent];
    all.iter().position(|known| *known == outcome).unwrap()
}

#[test]
fn an_answer_that_crosses_the_cancellation_is_served() {
    let mut scenario = Scenario::with_silent_attempt(false);
    scenario.end(scenario.first.no, Outcome::Completed);
    assert!(scenario.advance(100.0).is_empty());
    assert!(
        matches!(scenario.final_answers[..], [FinalAnswer::Served { whole: true, .. }]),
        "{:?}",
        scenario.final_answers
    );
    assert_eq!((scenario.ends(), scenario.core.counters.ends[0]), (1, 1));
}

#[test]
fn without_proof_an_attempt_ends_with_its_query_and_is_not_retried() {
    let none = |_: &mut Scenario| {};
    let leaves = |scenario: &mut Scenario| scenario.core.client_gone(scenario.now, scenario.query);
    let overdue = |scenario: &mut Scenario| scenario.core.set_exit_time(scenario.now);
    for (end, final_answers) in [(none as fn(&mut Scenario), 1), (leaves, 0), (overdue, 1)] {
        let mut scenario = Scenario::with_silent_attempt(false);
        end(&mut scenario);
        assert!(scenario.advance(3000.0).is_empty());
        assert_eq!(scenario.final_answers.len(), final_answers);
        assert!(
            !matches!(scenario.final_answers.first(), Some(FinalAnswer::Served { .. })),
            "{:?}",
            scenario.final_answers
        );
        assert_eq!(scenario.abandoned, [(scenario.first.no, true), (scenario.first.no, false)]);
        // A later report of the transport does not count as a second end.
        scenario.end(scenario.first.no, Outcome::Completed);
        scenario.advance(STEP);
        assert_eq!((scenario.ends(), scenario.core.counters.ends[outcome_index(Outcome::Cancelled)]), (1, 1));
    }
}

#[test]
fn a_timed_out_attempt_stays_in_flight_until_its_end_is_proved_while_its_query_is_open() {
    let mut scenario = Scenario::start(false, "search", 3000.0);
    // It times out before it would count as silent.
    scenario.first.until = 200.0;
    assert!(scenario.advance(600.0).is_empty());
    assert_eq!((&scenario.abandoned[..], scenario.ends()), (&[(scenario.first.no, true)][..], 0));
    scenario.end(scenario.first.no, Outcome::Cancelled);
    assert_eq!(scenario.advance(2.0 * STEP).len(), 1);
    assert_eq!(scenario.core.counters.ends[outcome_index(Outcome::TimedOut)], 1, "it counts as timed out");
}

#[test]
fn an_attempt_that_cannot_be_retried_ends_at_once() {
    // An unsafe part, and a part whose query has reached its deadline too.
    for (class, until) in [("entry", 200.0), ("search", 3001.0)] {
        let mut scenario = Scenario::start(false, class, 3000.0);
        scenario.first.until = until;
        scenario.core.call_timed_out(until, scenario.first.no);
        assert_eq!(scenario.core.counters.ends[outcome_index(Outcome::TimedOut)], 1, "{class}");
        let abandoned = |command: &Command| matches!(command, Command::Abandon { await_proof: false, .. });
        assert!(commands(&mut scenario.core).iter().any(abandoned), "{class}");
    }
    assert_eq!(
        Scenario::with_silent_attempt(true).abandoned.len(),
        1,
        "with second copies no proof is awaited"
    );
}

/// New settings disallow second copies. An attempt abandoned before that may still run, and its end is not reported.
#[test]
fn disallowing_second_copies_also_covers_attempts_abandoned_before() {
    let mut scenario = Scenario::with_silent_attempt(true);
    scenario.core.apply_settings(&site(false)).unwrap();
    scenario.end(scenario.sent[1], Outcome::Errored);
    let retries = scenario.advance(800.0);
    assert!(retries.is_empty(), "the first attempt may still run: {retries:?}");
    assert_eq!(
        scenario.core.take_in(scenario.now, fixture::ask("r2", "search", 1, 3000.0)).map(drop),
        Ok(())
    );
    assert_eq!(scenario.advance(2.0 * STEP).len(), 1, "new queries are sent as before");
}
