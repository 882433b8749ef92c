//! Each refusal, failure and retry carries its cause for the operators.

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

/// Returns a list in which every replica has this state and a cell of its own.
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
fn without_a_list_the_cause_is_no_list_and_not_overload() {
    let mut router = Router::new(settings(RepeatPolicy::Safe), 7).unwrap();
    router.step(0.0, query(1, 1, 900.0));
    assert_eq!(causes(&run(&mut router, 5.0, 1000.0)), [Cause::NoList]);
}

#[test]
fn a_shard_without_a_holder_is_named_in_the_cause() {
    let mut s = settings(RepeatPolicy::Safe);
    (s.cells, s.cells_per_shard) = (4, 1);
    let mut router = Router::new(s, 7).unwrap();
    // Shards 0 and 1 are held; the query's third part is of shard 2.
    router.step(0.0, vec![in_state(&["a", "b"], ReplicaState::Active)]);
    // The query is refused at once, and its other parts are not sent.
    let actions = router.step(5.0, query(1, 3, 900.0));
    assert_eq!((causes(&actions), sends(&actions).len()), (vec![Cause::NoHolder(Shard(2))], 0));
    assert_eq!(causes(&run(&mut router, 10.0, 1000.0)), []);
}

#[test]
fn draining_holders_are_distinguished_from_no_holders() {
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
    assert!(
        actions.iter().any(|action| matches!(action, Action::Fail { .. })),
        "the query fails and is not refused"
    );
}

#[test]
fn retries_carry_the_previous_outcome_and_the_final_cause_is_attempts_spent() {
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
fn the_choice_of_a_single_holder_is_only_candidate() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a"]);
    assert_eq!(choices(&router.step(5.0, query(1, 1, 3000.0))), [ReplicaChoice::OnlyCandidate]);
}

#[test]
fn unanswered_parts_end_at_the_deadline_with_time_up_or_all_parked() {
    let mut router = start(settings(RepeatPolicy::Unsafe), &["a", "b"]);
    router.step(5.0, query(1, 1, 600.0));
    let causes_found = causes(&run(&mut router, 10.0, 700.0));
    assert!(
        causes_found == [Cause::TimeUp] || causes_found == [Cause::AllParked(Shard(0))],
        "{causes_found:?}"
    );
}

#[test]
fn every_cause_has_a_unique_code_and_text() {
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
    let texts: std::collections::BTreeSet<_> = all.iter().map(ToString::to_string).collect();
    assert_eq!((codes.len(), texts.len()), (all.len(), all.len()));
    // The trace format uses the same codes.
    for cause in all {
        assert_eq!(ironpaddle::trace::convert::cause_to_record(cause).code(), cause.code());
    }
}
