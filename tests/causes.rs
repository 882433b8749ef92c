//! Each refusal, failure and repeat says why, in the terms that on-call staff need.

mod common;

use common::*;
use ironpaddle::api::*;
use ironpaddle::Router;

fn causes(actions: &[Action]) -> Vec<Cause> {
    let cause = |action: &Action| match action {
        Action::Refuse { cause, .. } | Action::Fail { cause, .. } => Some(*cause),
        _ => None,
    };
    actions.iter().filter_map(cause).collect()
}

fn reasons(actions: &[Action]) -> Vec<AttemptReason> {
    let reason = |action: &Action| match action {
        Action::Send { reason, .. } => Some(*reason),
        _ => None,
    };
    actions.iter().filter_map(reason).collect()
}

fn choices(actions: &[Action]) -> Vec<ReplicaChoice> {
    let choice = |action: &Action| match action {
        Action::Send { choice, .. } => Some(*choice),
        _ => None,
    };
    actions.iter().filter_map(choice).collect()
}

/// A list in which every replica has some state, in a cell of its own.
fn in_state(names: &[&str], state: ReplicaState) -> Event {
    let line = |(cell, name): (usize, &&str)| Replica {
        id: (*name).into(),
        cell: cell as u32,
        state,
        weight: 1.0,
        ..Replica::default()
    };
    Event::List(ListUpdate::Full(names.iter().enumerate().map(line).collect()))
}

#[test]
fn without_a_list_no_list_is_the_cause_and_not_overload() {
    let mut router = Router::new(settings(RepeatPolicy::Safe), 7).unwrap();
    router.step(0.0, query(1, 1, 900.0));
    assert_eq!(causes(&run(&mut router, 5.0, 1000.0)), [Cause::NoList]);
}

#[test]
fn the_shard_that_nobody_holds_is_named() {
    let mut s = settings(RepeatPolicy::Safe);
    (s.cells, s.cells_per_shard) = (4, 1);
    let mut router = Router::new(s, 7).unwrap();
    // Shards 0 and 1 are held; the query's third part is of shard 2.
    router.step(0.0, vec![in_state(&["a", "b"], ReplicaState::Active)]);
    // It is told at once, and the other parts are work for nobody.
    let actions = router.step(5.0, query(1, 3, 900.0));
    assert_eq!((causes(&actions), sends(&actions).len()), (vec![Cause::NoHolder(Shard(2))], 0));
    assert_eq!(causes(&run(&mut router, 10.0, 1000.0)), []);
}

#[test]
fn holders_that_drain_are_told_from_none() {
    let mut router = Router::new(settings(RepeatPolicy::Safe), 7).unwrap();
    router.step(0.0, vec![in_state(&["a"], ReplicaState::Draining)]);
    assert_eq!(causes(&router.step(5.0, query(1, 1, 900.0))), [Cause::Drained(Shard(0))]);
}

#[test]
fn an_unsafe_part_that_may_have_run_ends_its_query_for_that_cause() {
    let mut router = start(settings(RepeatPolicy::Unsafe), &["a", "b"]);
    let sent = sends(&router.step(5.0, query(1, 1, 3000.0)));
    let (part, replica) = &sent[0];
    let actions = router.step(20.0, vec![ended(part, 0, replica, Outcome::Errored, 15.0)]);
    assert_eq!(causes(&actions), [Cause::MayHaveRun(Shard(0))]);
    assert!(actions.iter().any(|action| matches!(action, Action::Fail { .. })), "it failed, not refused");
}

#[test]
fn repeats_say_how_the_last_attempt_ended_and_then_that_all_are_spent() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b", "c"]);
    let mut actions = router.step(5.0, query(1, 1, 3000.0));
    assert_eq!(
        (reasons(&actions), choices(&actions)),
        (vec![AttemptReason::First], vec![ReplicaChoice::LeastFinish])
    );
    let (mut now, mut attempt, mut all) = (5.0, 0, Vec::new());
    while let Some((part, replica)) = sends(&actions).first().cloned() {
        now += 10.0;
        actions = router.step(now, vec![ended(&part, attempt, &replica, Outcome::Errored, 10.0)]);
        actions.extend(run(&mut router, now + 5.0, now + 15.0));
        now += 20.0;
        attempt += 1;
        all.extend(reasons(&actions));
    }
    assert!(
        !all.is_empty() && all.iter().all(|reason| *reason == AttemptReason::After(Outcome::Errored)),
        "{all:?}"
    );
    assert_eq!(causes(&actions), [Cause::AttemptsSpent(Shard(0))]);
}

#[test]
fn a_single_holder_is_named_as_the_only_one() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a"]);
    assert_eq!(choices(&router.step(5.0, query(1, 1, 3000.0))), [ReplicaChoice::OnlyCandidate]);
}

#[test]
fn parts_that_drag_on_end_at_the_deadline_for_want_of_time() {
    let mut router = start(settings(RepeatPolicy::Unsafe), &["a", "b"]);
    router.step(5.0, query(1, 1, 600.0));
    let found = causes(&run(&mut router, 10.0, 700.0));
    assert!(found == [Cause::TimeUp] || found == [Cause::AllParked(Shard(0))], "{found:?}");
}

#[test]
fn every_code_is_one_of_its_own() {
    let all = [
        Cause::NoList,
        Cause::NoHolder(Shard(1)),
        Cause::Drained(Shard(1)),
        Cause::AllParked(Shard(1)),
        Cause::BeyondShare,
        Cause::PredictedLate,
        Cause::TimeUp,
        Cause::MayHaveRun(Shard(1)),
        Cause::AttemptsSpent(Shard(1)),
        Cause::Poison,
        Cause::MaxOpen,
        Cause::Overdue,
        Cause::TooLittle,
    ];
    let codes: std::collections::BTreeSet<_> = all.iter().map(|cause| cause.code()).collect();
    let words: std::collections::BTreeSet<_> = all.iter().map(ToString::to_string).collect();
    assert_eq!((codes.len(), words.len()), (all.len(), all.len()));
    // A trace knows them by the same codes.
    for cause in all {
        assert_eq!(ironpaddle::trace::convert::cause_to_record(cause).code(), cause.code());
    }
}
