//! The core's own guards, without any wire: one answer to each query, one end to each send, honest answers.

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

fn finals(commands: &[Command]) -> Vec<(QueryNo, FinalAnswer)> {
    let last = |command: &Command| match command {
        Command::Answer { query, answer } => Some((*query, answer.clone())),
        _ => None,
    };
    commands.iter().filter_map(last).collect()
}

fn served(value: &[u8]) -> CallEnd {
    CallEnd { outcome: Outcome::Completed, value: Some(value.into()), load: None }
}

#[test]
fn a_second_end_of_an_attempt_changes_nothing() {
    let mut core = core(100);
    let query = core.take_in(1.0, ask("search", 1)).unwrap();
    core.step(5.0);
    let sent = calls(&commands(&mut core));
    assert_eq!((sent.len(), sent[0].part.as_str()), (1, "r1.0"));
    core.call_ended(20.0, sent[0].no, served(b"first"));
    core.call_ended(20.0, sent[0].no, served(b"second"));
    core.call_timed_out(20.0, sent[0].no);
    core.step(25.0);
    let finals = finals(&commands(&mut core));
    let [(no, FinalAnswer::Served { whole: true, answers, parts: 1 })] = &finals[..] else {
        panic!("{finals:?}")
    };
    assert_eq!((*no, &answers[0].value[..]), (query, &b"first"[..]));
    assert_eq!(core.counters.ends[0], 1);
    assert_eq!(core.counters.ends[3], 0);
}

#[test]
fn what_the_router_still_holds_at_the_deadline_fails_once() {
    let mut core = core(100);
    core.take_in(0.0, ask("entry", 1)).unwrap();
    core.step(5.0);
    assert_eq!(calls(&commands(&mut core)).len(), 1);
    // No step came in time, as on a machine that stood still.
    core.step(2500.0);
    let last = finals(&commands(&mut core));
    assert!(matches!(last[..], [(_, FinalAnswer::Failed { .. })]), "{last:?}");
    core.step(2510.0);
    assert!(finals(&commands(&mut core)).is_empty());
    assert_eq!(core.gauges().active, 0);
}

#[test]
fn a_client_that_left_gets_nothing_and_its_parts_are_called_back() {
    let mut core = core(100);
    let query = core.take_in(0.0, ask("search", 2)).unwrap();
    core.step(5.0);
    let sent = calls(&commands(&mut core));
    core.client_gone(10.0, query);
    core.step(10.0);
    let commands = commands(&mut core);
    assert!(finals(&commands).is_empty());
    for call in sent {
        assert!(commands
            .iter()
            .any(|command| matches!(command, Command::Abandon { no, .. } if *no == call.no)));
    }
}

#[test]
fn at_the_limit_a_query_is_refused_before_the_router_hears_of_it() {
    let mut core = core(3);
    core.take_in(0.0, ask("search", 2)).unwrap();
    let second = core.take_in(0.0, ask("search", 1)).unwrap();
    let refused = finals(&commands(&mut core));
    let [(no, FinalAnswer::Refused { retry_after, cause: Cause::MaxOpen })] = refused[..] else {
        panic!("{refused:?}")
    };
    assert_eq!(no, second);
    assert!(retry_after > 0.0);
    core.step(5.0);
    assert_eq!(calls(&commands(&mut core)).len(), 2);
}

#[test]
fn parts_that_are_in_make_room_at_the_limit() {
    let mut core = core(4);
    core.take_in(0.0, ask("search", 3)).unwrap();
    core.step(5.0);
    let sent = calls(&commands(&mut core));
    core.call_ended(10.0, sent[0].no, served(b"v"));
    core.take_in(10.0, ask("search", 1)).unwrap();
    assert!(finals(&commands(&mut core)).is_empty());
}

#[test]
fn a_drain_takes_back_what_is_queued_and_nothing_new_is_sent() {
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
    // A whole list without it says that it is gone, and one that names it again locates it anew.
    core.apply_directory_update(DirectoryUpdate::Full(vec![listed("a", ReplicaState::Active)]));
    let commands = commands(&mut core);
    assert!(commands.contains(&Command::Retire("b".into())), "{commands:?}");
    assert!(
        matches!(&commands[..], [.., Command::Locate { run_store, .. }] if *run_store == "a".into()),
        "{commands:?}"
    );
}

#[test]
fn a_query_that_contradicts_itself_is_not_taken() {
    let mut core = core(100);
    let mut twice = ask("search", 2);
    twice.parts[1].shard = 0;
    let mut heavy = ask("search", 2);
    heavy.parts[1].weight = 9.0;
    let mut broken = ask("search", 2);
    broken.parts[1].weight = f64::NAN;
    let mut beyond = ask("search", 2);
    beyond.parts[1].shard = 9;
    for ask in [ask("search", 0), twice, heavy, broken, beyond] {
        assert!(matches!(core.take_in(0.0, ask), Err(InvalidQuery::Malformed(_))));
    }
    assert_eq!(core.take_in(0.0, ask("none", 1)), Err(InvalidQuery::UnknownClass));
    assert_eq!(core.counters.taken, 0);
}

#[test]
fn an_unsafe_part_that_may_have_run_is_failed_and_one_that_has_not_is_refused() {
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
            last = finals(&commands);
            for call in calls(&commands) {
                core.call_ended(now, call.no, CallEnd::bare(outcome));
            }
        }
        let [(_, verdict)] = &last[..] else { panic!("{outcome:?}: {last:?}") };
        assert_eq!(matches!(verdict, FinalAnswer::Refused { .. }), refused, "{outcome:?}: {verdict:?}");
    }
}

/// A service that fails has too much to do, and is left alone for a while; one that is silent hides what it knows.
#[test]
fn a_watch_that_fell_silent_begins_anew_within_half_a_second_and_one_that_failed_as_the_router_says() {
    let mut core = core(100);
    let watches =
        |core: &mut Core| commands(core).iter().filter(|command| **command == Command::Watch).count();
    core.apply_directory_update(DirectoryUpdate::Silent);
    assert!(core.has_pending_events(), "it says when");
    let mut begun = 0;
    for now in (10..=510).step_by(5) {
        core.step(f64::from(now));
        begun += watches(&mut core);
    }
    assert_eq!((begun, core.has_pending_events()), (1, false));
    core.apply_directory_update(DirectoryUpdate::Failed);
    core.step(520.0);
    assert_eq!(watches(&mut core), 0);
}

#[test]
fn a_repeat_of_a_keyed_class_carries_the_end_of_its_window_and_no_other_call_has_one() {
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
        assert_eq!(first[0].allowed_until, f64::INFINITY, "{name}: nothing has run yet");
        core.call_ended(50.0, first[0].no, CallEnd::bare(Outcome::Rejected));
        core.step(55.0);
        let second = calls(&commands(&mut core));
        assert_eq!(second[0].allowed_until, f64::INFINITY, "{name}: what was turned away has not run");
        core.call_ended(60.0, second[0].no, CallEnd::bare(Outcome::Errored));
        // The window is counted from the first attempt that may have run.
        core.step(65.0);
        let third = calls(&commands(&mut core));
        assert_eq!(third[0].allowed_until, if name == "keyed" { 355.0 } else { f64::INFINITY }, "{name}");
    }
}

#[test]
fn no_query_outlives_the_process_and_what_is_in_is_answered() {
    let mut core = core(100);
    let both = core.take_in(1.0, ask("search", 2)).unwrap();
    let none = core.take_in(1.0, ask("search", 1)).unwrap();
    let entry = core.take_in(1.0, ask("entry", 1)).unwrap();
    core.step(5.0);
    let sent = calls(&commands(&mut core));
    let of = |no| sent.iter().find(|call| call.query_attempt.0 == no).unwrap().no;
    core.set_exit_time(300.0);
    core.call_ended(20.0, of(both), served(b"in"));
    core.step(25.0);
    let late = core.take_in(100.0, ask("search", 1)).unwrap();
    core.step(105.0);
    assert!(finals(&commands(&mut core)).is_empty());
    core.step(300.0);
    let verdicts = finals(&commands(&mut core));
    let of = |no| &verdicts.iter().find(|(query, _)| *query == no).unwrap().1;
    assert!(matches!(of(both), FinalAnswer::Served { whole: false, parts: 2, .. }), "{verdicts:?}");
    assert!(
        matches!(of(none), FinalAnswer::Refused { retry_after, .. } if *retry_after > 0.0),
        "{verdicts:?}"
    );
    assert!(matches!(of(late), FinalAnswer::Refused { .. }), "{verdicts:?}");
    assert!(matches!(of(entry), FinalAnswer::Failed { .. }), "{verdicts:?}: it may have run");
    // What comes even later is turned away at once.
    core.take_in(301.0, ask("search", 1)).unwrap();
    assert!(matches!(finals(&commands(&mut core))[..], [(_, FinalAnswer::Refused { .. })]));
}
