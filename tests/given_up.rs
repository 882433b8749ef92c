//! The core where a part may not be out twice: what is given up is out until it is proved to be over, and no longer
//! than it matters.

#[path = "common/core.rs"]
mod fixture;

use fixture::{calls, commands};
use ironpaddle::api::{Outcome, ReplicaState};
use ironpaddle::core::{Call, CallEnd, CallNo, Command, Core, DirectoryUpdate, FinalAnswer, QueryNo};
use ironpaddle::settings::SiteSettings;
use serde_json::json;

const STEP: f64 = 5.0;

/// A core with two run stores; a query of it has one part, which is out.
struct Day {
    core: Core,
    now: f64,
    query: QueryNo,
    first: Call,
    /// All attempts, each with the end that was ordered: whether it is to be proved.
    sent: Vec<CallNo>,
    given_up: Vec<(CallNo, bool)>,
    finals: Vec<FinalAnswer>,
}

/// Settings that allow second copies or not.
fn site(copies: bool) -> SiteSettings {
    let kind = |name: &str, repeat: &str| json!({"name": name, "aim_ms": 1000.0, "deadline_ms": 4000.0, "repeat": repeat, "window_ms": 5000.0});
    serde_json::from_value(json!({
        "caps": {"max_attempts": 3, "max_retry_after_ms": 2000.0, "may_cancel": true, "parallel_tries": copies},
        "domain": {"cells": 1, "width": 1, "shards": 9},
        "request_classes": [kind("search", "read_like"), kind("entry", "non_idempotent")],
        "tick_ms": 5.0,
    }))
    .unwrap()
}

impl Day {
    fn begin(copies: bool, class: &str, timeout: f64) -> Self {
        let mut core = Core::new(&site(copies), 7).unwrap();
        let line = |name: &str| fixture::listed(name, ReplicaState::Active, 0.0);
        core.apply_directory_update(DirectoryUpdate::Cached(vec![line("a"), line("b")]));
        core.step(0.0);
        let query = core.take_in(1.0, fixture::ask("r1", class, 1, timeout)).unwrap();
        core.step(STEP);
        let first = calls(&commands(&mut core)).remove(0);
        let sent = vec![first.no];
        Day { core, now: STEP, query, first, sent, given_up: Vec::new(), finals: Vec::new() }
    }

    /// Steps for a while, in which attempts are timed out at their time; gives back those that are new.
    fn pass(&mut self, time: f64) -> Vec<Call> {
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
                    Command::Abandon { no, await_proof, .. } => self.given_up.push((no, await_proof)),
                    Command::Answer { answer, .. } => self.finals.push(answer),
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

    /// The first attempt was silent, is given up, and nothing proves that it is over.
    fn in_silence(copies: bool) -> Self {
        let mut day = Day::begin(copies, "search", 3000.0);
        assert!(day.pass(390.0).is_empty() && day.given_up.is_empty());
        let again = day.pass(400.0);
        assert_eq!(again.len(), usize::from(copies));
        assert_eq!(day.given_up, [(day.first.no, !copies)]);
        assert_eq!(day.ends(), u64::from(copies));
        day
    }
}

#[test]
fn a_repeat_follows_at_once_on_the_proof_that_the_attempt_is_over() {
    for proof in
        [Outcome::Cancelled, Outcome::Reset, Outcome::Errored, Outcome::ConnectFailed, Outcome::NotSent]
    {
        let mut day = Day::in_silence(false);
        day.end(day.first.no, proof);
        let again = day.pass(2.0 * STEP);
        assert!(again.len() == 1 && again[0].run_store != day.first.run_store, "{proof:?}: {again:?}");
        // That the connection has ended says no more than that it is over.
        let told = if proof == Outcome::Reset { Outcome::Cancelled } else { proof };
        assert_eq!(day.core.counters.ends[place(told)], 1, "{proof:?}");
        day.end(again[0].no, Outcome::Completed);
        day.pass(STEP);
        assert!(matches!(day.finals[..], [FinalAnswer::Served { whole: true, .. }]), "{proof:?}");
        assert_eq!(day.ends(), 2, "{proof:?}");
    }
}

/// Where outcomes are counted.
fn place(outcome: Outcome) -> usize {
    use Outcome::*;
    let all = [Completed, Errored, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, NotSent];
    all.iter().position(|known| *known == outcome).unwrap()
}

#[test]
fn an_answer_that_crosses_its_being_given_up_is_served() {
    let mut day = Day::in_silence(false);
    day.end(day.first.no, Outcome::Completed);
    assert!(day.pass(100.0).is_empty());
    assert!(matches!(day.finals[..], [FinalAnswer::Served { whole: true, .. }]), "{:?}", day.finals);
    assert_eq!((day.ends(), day.core.counters.ends[0]), (1, 1));
}

#[test]
fn without_proof_it_ends_with_its_query_and_there_is_no_repeat() {
    let none = |_: &mut Day| {};
    let leaves = |day: &mut Day| day.core.client_gone(day.now, day.query);
    let overdue = |day: &mut Day| day.core.set_exit_time(day.now);
    for (end, finals) in [(none as fn(&mut Day), 1), (leaves, 0), (overdue, 1)] {
        let mut day = Day::in_silence(false);
        end(&mut day);
        assert!(day.pass(3000.0).is_empty());
        assert_eq!(day.finals.len(), finals);
        assert!(!matches!(day.finals.first(), Some(FinalAnswer::Served { .. })), "{:?}", day.finals);
        assert_eq!(day.given_up, [(day.first.no, true), (day.first.no, false)]);
        // What the transport still says of it is no second end.
        day.end(day.first.no, Outcome::Completed);
        day.pass(STEP);
        assert_eq!((day.ends(), day.core.counters.ends[place(Outcome::Cancelled)]), (1, 1));
    }
}

#[test]
fn an_attempt_whose_time_is_over_before_its_query_is_out_until_it_is_proved_over() {
    let mut day = Day::begin(false, "search", 3000.0);
    // Before its silence tells.
    day.first.until = 200.0;
    assert!(day.pass(600.0).is_empty());
    assert_eq!((&day.given_up[..], day.ends()), (&[(day.first.no, true)][..], 0));
    day.end(day.first.no, Outcome::Cancelled);
    assert_eq!(day.pass(2.0 * STEP).len(), 1);
    assert_eq!(day.core.counters.ends[place(Outcome::TimedOut)], 1, "it is told as what it was");
}

#[test]
fn what_cannot_be_repeated_ends_at_once() {
    // An unsafe part; and one whose query's time is over as well.
    for (class, until) in [("entry", 200.0), ("search", 3001.0)] {
        let mut day = Day::begin(false, class, 3000.0);
        day.first.until = until;
        day.core.call_timed_out(until, day.first.no);
        assert_eq!(day.core.counters.ends[place(Outcome::TimedOut)], 1, "{class}");
        let given_up = |command: &Command| matches!(command, Command::Abandon { await_proof: false, .. });
        assert!(commands(&mut day.core).iter().any(given_up), "{class}");
    }
    assert_eq!(Day::in_silence(true).given_up.len(), 1, "with second copies nothing is waited for");
}

/// New settings allow no second copies. What was given up before that may still be out, and nothing more is heard of it.
#[test]
fn second_copies_that_are_switched_off_stay_off_for_what_was_given_up_before() {
    let mut day = Day::in_silence(true);
    day.core.apply_settings(&site(false)).unwrap();
    day.end(day.sent[1], Outcome::Errored);
    let again = day.pass(800.0);
    assert!(again.is_empty(), "the first attempt may be out: {again:?}");
    assert_eq!(day.core.take_in(day.now, fixture::ask("r2", "search", 1, 3000.0)).map(drop), Ok(()));
    assert_eq!(day.pass(2.0 * STEP).len(), 1, "new queries are sent as ever");
}
