//! Invariants of the core without a transport: one answer per query, one end per attempt, and a refusal of an unsafe
//! query only if it has not run.

#[path = "common/core.rs"]
mod fixture;

use fixture::{calls, commands};
use ironpaddle::api::{Cause, Outcome, ReplicaState};
use ironpaddle::core::{
    CallEnd, Command, Core, DirectoryUpdate, FinalAnswer, InvalidQuery, ListedRunStore, QueryNo, QueryRequest,
};
use ironpaddle::settings::SiteSettings;
use serde_json::json;

fn core(max_open: u32) -> Core {
    let class = |name: &str, repeat: &str| json!({"name": name, "aim_ms": 1000.0, "deadline_ms": 4000.0, "repeat": repeat});
    let site: SiteSettings = serde_json::from_value(json!({
        "caps": {"max_attempts": 3, "max_open": max_open, "max_retry_after_ms": 2000.0, "may_cancel": true},
        "domain": {"cells": 1, "width": 1, "shards": 9, "least_share": [0.4, 1.0], "complete_from": [1.0, 1.0]},
        "request_classes": [class("search", "read_like"), class("entry", "non_idempotent")],
        "tick_ms": 5.0,
    }))
    .unwrap();
    let mut core = Core::new(&site, 7).unwrap();
    core.apply_directory_update(DirectoryUpdate::Cached(vec![
        listed("a", ReplicaState::Active),
        listed("b", ReplicaState::Active),
    ]));
    core.step(0.0);
    commands(&mut core);
    core
}

fn listed(name: &str, state: ReplicaState) -> ListedRunStore {
    fixture::listed(name, state, 0.0)
}

fn ask(class: &str, parts: u32) -> QueryRequest {
    fixture::ask("r1", class, parts, 2000.0)
}

fn answer(command: Command) -> Option<FinalAnswer> {
    match command {
        Command::Answer { answer, .. } => Some(answer),
        _ => None,
    }
}

fn final_answers(commands: &[Command]) -> Vec<(QueryNo, FinalAnswer)> {
    let last = |command: &Command| match command {
        Command::Answer { query, answer } => Some((*query, answer.clone())),
        _ => None,
    };
    commands.iter().filter_map(last).collect()
}

fn completed(value: &[u8]) -> CallEnd {
    CallEnd { outcome: Outcome::Completed, value: Some(value.into()), load: None }
}

#[test]
fn a_second_end_of_an_attempt_changes_nothing() {
    let mut core = core(100);
    let query = core.take_in(1.0, ask("search", 1)).unwrap();
    core.step(5.0);
    let sent = calls(&commands(&mut core));
    assert_eq!((sent.len(), sent[0].part.as_str()), (1, "r1.0"));
    core.call_ended(20.0, sent[0].no, completed(b"first"));
    core.call_ended(20.0, sent[0].no, completed(b"second"));
    core.call_timed_out(20.0, sent[0].no);
    core.step(25.0);
    let final_answers = final_answers(&commands(&mut core));
    let [(no, FinalAnswer::Served { whole: true, answers, parts: 1 })] = &final_answers[..] else {
        panic!("{final_answers:?}")
    };
    assert_eq!((*no, &answers[0].value[..]), (query, &b"first"[..]));
    assert_eq!(core.counters.ends[0], 1);
    assert_eq!(core.counters.ends[3], 0);
}

#[test]
fn a_query_still_open_at_the_deadline_fails_once() {
    let mut core = core(100);
    core.take_in(0.0, ask("entry", 1)).unwrap();
    core.step(5.0);
    assert_eq!(calls(&commands(&mut core)).len(), 1);
    // No step ran before the deadline, as after a stall of the machine.
    core.step(2500.0);
    let last = final_answers(&commands(&mut core));
    assert!(matches!(last[..], [(_, FinalAnswer::Failed { .. })]), "{last:?}");
    core.step(2510.0);
    assert!(final_answers(&commands(&mut core)).is_empty());
    assert_eq!(core.gauges().active, 0);
}

#[test]
fn a_client_that_left_gets_no_answer_and_its_calls_are_abandoned() {
    let mut core = core(100);
    let query = core.take_in(0.0, ask("search", 2)).unwrap();
    core.step(5.0);
    let sent = calls(&commands(&mut core));
    core.client_gone(10.0, query);
    core.step(10.0);
    let commands = commands(&mut core);
    assert!(final_answers(&commands).is_empty());
    for call in sent {
        assert!(commands
            .iter()
            .any(|command| matches!(command, Command::Abandon { no, .. } if *no == call.no)));
    }
}

#[test]
fn at_the_limit_a_query_is_refused_before_it_reaches_the_router() {
    let mut core = core(3);
    core.take_in(0.0, ask("search", 2)).unwrap();
    let second = core.take_in(0.0, ask("search", 1)).unwrap();
    let refused = final_answers(&commands(&mut core));
    let [(no, FinalAnswer::Refused { retry_after, cause: Cause::MaxOpen })] = refused[..] else {
        panic!("{refused:?}")
    };
    assert_eq!(no, second);
    assert!(retry_after > 0.0);
    core.step(5.0);
    assert_eq!(calls(&commands(&mut core)).len(), 2);
}

#[test]
fn completed_parts_free_capacity_at_the_limit() {
    let mut core = core(4);
    core.take_in(0.0, ask("search", 3)).unwrap();
    core.step(5.0);
    let sent = calls(&commands(&mut core));
    core.call_ended(10.0, sent[0].no, completed(b"v"));
    core.take_in(10.0, ask("search", 1)).unwrap();
    assert!(final_answers(&commands(&mut core)).is_empty());
}

#[test]
fn a_draining_run_store_is_retired_and_gets_no_new_calls() {
    let mut core = core(100);
    core.apply_directory_update(DirectoryUpdate::Changes(vec![listed("a", ReplicaState::Draining)]));
    assert_eq!(commands(&mut core), [Command::Retire("a".into())]);
    for _ in 0..5 {
        core.take_in(0.0, ask("search", 2)).unwrap();
    }
    core.step(5.0);
    let sent = calls(&commands(&mut core));
    assert_eq!(sent.len(), 10);
    assert!(sent.iter().all(|call| call.run_store == "b".into()));
    // A full list without `b` means that it is gone; `a` is active again and is located again.
    core.apply_directory_update(DirectoryUpdate::Full(vec![listed("a", ReplicaState::Active)]));
    let commands = commands(&mut core);
    assert!(commands.contains(&Command::Retire("b".into())), "{commands:?}");
    assert!(
        matches!(&commands[..], [.., Command::Locate { run_store, .. }] if *run_store == "a".into()),
        "{commands:?}"
    );
}

#[test]
fn an_inconsistent_query_is_rejected() {
    let mut core = core(100);
    let mut duplicate_shard = ask("search", 2);
    duplicate_shard.parts[1].shard = 0;
    let mut overweight = ask("search", 2);
    overweight.parts[1].weight = 9.0;
    let mut nan_weight = ask("search", 2);
    nan_weight.parts[1].weight = f64::NAN;
    let mut unknown_shard = ask("search", 2);
    unknown_shard.parts[1].shard = 9;
    for ask in [ask("search", 0), duplicate_shard, overweight, nan_weight, unknown_shard] {
        assert!(matches!(core.take_in(0.0, ask), Err(InvalidQuery::Malformed(_))));
    }
    assert_eq!(core.take_in(0.0, ask("none", 1)), Err(InvalidQuery::UnknownClass));
    assert_eq!(core.counters.taken, 0);
}

#[test]
fn an_unsafe_part_that_may_have_run_fails_and_one_that_has_not_run_is_refused() {
    for (outcome, refused) in [(Outcome::Reset, false), (Outcome::Errored, false), (Outcome::Rejected, true)]
    {
        let mut core = core(100);
        core.take_in(0.0, ask("entry", 1)).unwrap();
        let mut now = 0.0;
        let mut last = Vec::new();
        while last.is_empty() && now < 3000.0 {
            now += 5.0;
            core.step(now);
            let commands = commands(&mut core);
            last = final_answers(&commands);
            for call in calls(&commands) {
                core.call_ended(now, call.no, CallEnd::bare(outcome));
            }
        }
        let [(_, verdict)] = &last[..] else { panic!("{outcome:?}: {last:?}") };
        assert_eq!(matches!(verdict, FinalAnswer::Refused { .. }), refused, "{outcome:?}: {verdict:?}");
    }
}

/// Guards against queries that wait until their deadlines although the list is known to be empty.
#[test]
fn queries_are_refused_at_once_while_the_list_is_empty_and_wait_while_none_has_arrived() {
    let final_answers = |core: &mut Core, id: &str| {
        core.take_in(10.0, QueryRequest { id: id.into(), ..ask("search", 1) }).unwrap();
        commands(core).into_iter().filter_map(answer).collect::<Vec<_>>()
    };
    let mut core = core(100);
    core.apply_directory_update(DirectoryUpdate::Cached(Vec::new()));
    assert_eq!(final_answers(&mut core, "r1"), [], "a list may still arrive");
    core.apply_directory_update(DirectoryUpdate::Full(Vec::new()));
    let [FinalAnswer::Refused { cause, .. }] = final_answers(&mut core, "r2")[..] else {
        panic!("not refused")
    };
    assert_eq!(cause, Cause::NoList);
    core.apply_directory_update(DirectoryUpdate::Failed);
    assert_eq!(final_answers(&mut core, "r3").len(), 1, "the empty list stays in force");
    core.apply_directory_update(DirectoryUpdate::Changes(vec![listed("a", ReplicaState::Active)]));
    assert_eq!(final_answers(&mut core, "r4"), [], "the query is passed to the router");
}

/// Guards against queries that were waiting when the list became empty and are held until their deadlines.
#[test]
fn queries_with_nothing_at_a_run_store_end_when_the_list_becomes_empty() {
    let mut core = core(100);
    for (class, id) in [("search", "waits"), ("search", "sent"), ("entry", "ran")] {
        core.take_in(10.0, QueryRequest { id: id.into(), ..ask(class, 1) }).unwrap();
        if id != "waits" {
            continue;
        }
        // It arrives in the same step as the empty list.
        core.apply_directory_update(DirectoryUpdate::Full(Vec::new()));
        core.step(15.0);
        let answers: Vec<_> = commands(&mut core).into_iter().filter_map(answer).collect();
        let [FinalAnswer::Refused { cause: Cause::NoList, .. }] = answers[..] else { panic!("{answers:?}") };
        core.apply_directory_update(DirectoryUpdate::Full(vec![listed("a", ReplicaState::Active)]));
        core.step(20.0);
    }
    core.step(25.0);
    let sent = calls(&commands(&mut core));
    assert_eq!(sent.len(), 2);
    core.apply_directory_update(DirectoryUpdate::Full(Vec::new()));
    core.step(30.0);
    assert_eq!(commands(&mut core).into_iter().filter_map(answer).count(), 0, "attempts may be answered");
    for call in &sent {
        core.call_ended(40.0, call.no, CallEnd::bare(Outcome::Reset));
    }
    core.step(45.0);
    core.step(50.0);
    let mut answers: Vec<_> = commands(&mut core).into_iter().filter_map(answer).collect();
    answers.sort_by_key(|answer| matches!(answer, FinalAnswer::Failed { .. }));
    // A retry of the entry would not be safe, as it may have run.
    assert!(matches!(answers[..], [FinalAnswer::Refused { .. }, FinalAnswer::Failed { .. }]), "{answers:?}");
}

/// Guards against an answer in the same step as the end of the last attempt that calls the query incomplete.
#[test]
fn parts_that_are_answered_after_the_list_became_empty_count() {
    let mut core = core(100);
    core.take_in(10.0, ask("search", 2)).unwrap();
    core.step(15.0);
    let sent = calls(&commands(&mut core));
    core.apply_directory_update(DirectoryUpdate::Full(Vec::new()));
    core.step(20.0);
    for call in &sent {
        let end = CallEnd { value: Some(b"v"[..].into()), ..CallEnd::bare(Outcome::Completed) };
        core.call_ended(30.0, call.no, end);
    }
    core.step(35.0);
    let answers: Vec<_> = commands(&mut core).into_iter().filter_map(answer).collect();
    assert!(matches!(answers[..], [FinalAnswer::Served { whole: true, .. }]), "{answers:?}");
}

/// A failed watch suggests an overloaded service and waits for the router's backoff; a silent watch hides changes and
/// is reopened soon.
#[test]
fn a_silent_watch_is_reopened_within_half_a_second_and_a_failed_one_waits_for_the_router() {
    let mut core = core(100);
    let watches =
        |core: &mut Core| commands(core).iter().filter(|command| **command == Command::Watch).count();
    core.apply_directory_update(DirectoryUpdate::Silent);
    assert!(core.needs_step(), "the core asks to be stepped");
    let mut reopened = 0;
    for now in (10..=510).step_by(5) {
        core.step(f64::from(now));
        reopened += watches(&mut core);
    }
    assert_eq!((reopened, core.needs_step()), (1, false));
    core.apply_directory_update(DirectoryUpdate::Failed);
    core.step(520.0);
    assert_eq!(watches(&mut core), 0);
}

#[test]
fn a_retry_of_a_keyed_part_carries_the_end_of_its_window_and_no_other_call_does() {
    let class = |name: &str, repeat: &str| json!({"name": name, "aim_ms": 1000.0, "deadline_ms": 4000.0, "repeat": repeat, "window_ms": 300.0});
    let site: SiteSettings = serde_json::from_value(json!({
        "caps": {"max_attempts": 3, "may_cancel": true},
        "domain": {"cells": 1, "width": 1, "shards": 9},
        "request_classes": [class("keyed", "idempotency_key"), class("safe", "read_like")],
        "tick_ms": 5.0,
    }))
    .unwrap();
    for name in ["keyed", "safe"] {
        let mut core = Core::new(&site, 7).unwrap();
        core.apply_directory_update(DirectoryUpdate::Cached(vec![
            listed("a", ReplicaState::Active),
            listed("b", ReplicaState::Active),
        ]));
        core.step(0.0);
        core.take_in(1.0, QueryRequest { key: Some("k".into()), ..ask(name, 1) }).unwrap();
        core.step(5.0);
        let first = calls(&commands(&mut core));
        assert_eq!(first[0].allowed_until, f64::INFINITY, "{name}: no attempt has run yet");
        core.call_ended(50.0, first[0].no, CallEnd::bare(Outcome::Rejected));
        core.step(55.0);
        let second = calls(&commands(&mut core));
        assert_eq!(second[0].allowed_until, f64::INFINITY, "{name}: a rejected attempt has not run");
        core.call_ended(60.0, second[0].no, CallEnd::bare(Outcome::Errored));
        // The window is counted from the first attempt that may have run.
        core.step(65.0);
        let third = calls(&commands(&mut core));
        assert_eq!(third[0].allowed_until, if name == "keyed" { 355.0 } else { f64::INFINITY }, "{name}");
    }
}

#[test]
fn open_queries_end_at_the_exit_time_with_the_parts_received_so_far() {
    let mut core = core(100);
    let half_answered = core.take_in(1.0, ask("search", 2)).unwrap();
    let unanswered = core.take_in(1.0, ask("search", 1)).unwrap();
    let unsafe_query = core.take_in(1.0, ask("entry", 1)).unwrap();
    core.step(5.0);
    let sent = calls(&commands(&mut core));
    let call_of = |no| sent.iter().find(|call| call.query_attempt.0 == no).unwrap().no;
    core.set_exit_time(300.0);
    core.call_ended(20.0, call_of(half_answered), completed(b"in"));
    core.step(25.0);
    let late = core.take_in(100.0, ask("search", 1)).unwrap();
    core.step(105.0);
    assert!(final_answers(&commands(&mut core)).is_empty());
    core.step(300.0);
    let verdicts = final_answers(&commands(&mut core));
    let answer_of = |no| &verdicts.iter().find(|(query, _)| *query == no).unwrap().1;
    assert!(
        matches!(answer_of(half_answered), FinalAnswer::Served { whole: false, parts: 2, .. }),
        "{verdicts:?}"
    );
    assert!(
        matches!(answer_of(unanswered), FinalAnswer::Refused { retry_after, .. } if *retry_after > 0.0),
        "{verdicts:?}"
    );
    assert!(matches!(answer_of(late), FinalAnswer::Refused { .. }), "{verdicts:?}");
    assert!(
        matches!(answer_of(unsafe_query), FinalAnswer::Failed { .. }),
        "{verdicts:?}: the part may have run"
    );
    // A query that arrives after the exit time is refused at once.
    core.take_in(301.0, ask("search", 1)).unwrap();
    assert!(matches!(final_answers(&commands(&mut core))[..], [(_, FinalAnswer::Refused { .. })]));
}
