//! One small test for each rule, the unhappy sides included.

mod common;
use common::*;
use ironpaddle::api::*;

#[test]
fn a_query_gets_one_final_answer_and_nothing_is_sent_after_it() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b"]);
    let sent = sends(&router.step(10.0, query(1, 1, 3000.0)));
    assert_eq!(sent.len(), 1);
    let done = router.step(60.0, vec![ended("q1.0", 0, &sent[0].1, Outcome::Completed, 50.0)]);
    assert_eq!(finals(&done), ["whole q1"]);
    let later = run(&mut router, 65.0, 3100.0);
    assert!(finals(&later).is_empty() && sends(&later).is_empty());
}

#[test]
fn an_unanswered_query_ends_before_its_client_leaves() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a"]);
    router.step(10.0, query(1, 1, 2000.0));
    assert_eq!(finals(&run(&mut router, 15.0, 2000.0)).len(), 1);
}

#[test]
fn a_query_without_any_replica_is_refused_in_time() {
    let mut router = start(settings(RepeatPolicy::Unsafe), &[]);
    router.step(10.0, query(1, 1, 2000.0));
    assert_eq!(finals(&run(&mut router, 15.0, 2000.0)), ["refuse q1"]);
}

#[test]
fn an_unsafe_part_that_may_have_run_is_not_resent_nor_refused() {
    for outcome in [Outcome::TimedOut, Outcome::Errored, Outcome::Reset, Outcome::Cancelled] {
        let mut router = start(settings(RepeatPolicy::Unsafe), &["a", "b"]);
        let sent = sends(&router.step(10.0, query(1, 1, 2000.0)));
        let mut after = router.step(60.0, vec![ended("q1.0", 0, &sent[0].1, outcome, 50.0)]);
        after.extend(run(&mut router, 65.0, 2100.0));
        assert!(sends(&after).is_empty(), "{outcome:?}");
        assert_eq!(finals(&after), ["fail q1"], "{outcome:?}");
    }
}

#[test]
fn a_silent_unsafe_part_is_left_to_run() {
    let mut router = start(settings(RepeatPolicy::Unsafe), &["a", "b"]);
    assert_eq!(sends(&router.step(10.0, query(1, 1, 2500.0))).len(), 1);
    let after = run(&mut router, 15.0, 2400.0);
    assert!(sends(&after).is_empty() && finals(&after).is_empty());
    assert_eq!(finals(&run(&mut router, 2405.0, 2500.0)), ["fail q1"]);
}

#[test]
fn an_unsafe_part_is_resent_on_proof_that_it_never_ran() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut router = start(settings(RepeatPolicy::Unsafe), &["a", "b"]);
        let sent = sends(&router.step(10.0, query(1, 1, 2000.0)));
        let after = router.step(60.0, vec![ended("q1.0", 0, &sent[0].1, outcome, 50.0)]);
        let again = sends(&after);
        assert_eq!(again.len(), 1, "{outcome:?}");
        assert_ne!(again[0].1, sent[0].1, "{outcome:?}");
    }
}

#[test]
fn a_keyed_part_is_resent_inside_its_window_only() {
    let keyed = settings(RepeatPolicy::Keyed { window: 300.0 });
    let mut router = start(keyed.clone(), &["a", "b"]);
    let sent = sends(&router.step(10.0, query(1, 1, 2000.0)));
    let error = |at: f64| ended("q1.0", 0, &sent[0].1, Outcome::Errored, at);
    assert_eq!(sends(&router.step(300.0, vec![error(290.0)])).len(), 1);

    let mut router = start(keyed, &["a", "b"]);
    assert_eq!(sends(&router.step(10.0, query(1, 1, 2000.0))), sent);
    let late = router.step(311.0, vec![error(301.0)]);
    assert!(sends(&late).is_empty());
    assert_eq!(finals(&late), ["fail q1"]);
}

#[test]
fn the_window_of_a_keyed_part_runs_from_its_first_send_though_a_later_one_never_ran() {
    let keyed = settings(RepeatPolicy::Keyed { window: 900.0 });
    let mut router = start(Settings { max_attempts: 4, ..keyed }, &["a", "b", "c"]);
    let sent = sends(&router.step(10.0, query(1, 1, 3000.0)));
    let again = sends(&router.step(400.0, vec![ended("q1.0", 0, &sent[0].1, Outcome::Cancelled, 390.0)]));
    assert_eq!(again.len(), 1);
    let late = router.step(915.0, vec![ended("q1.0", 1, &again[0].1, Outcome::Rejected, 515.0)]);
    assert!(sends(&late).is_empty(), "{late:?}");
}

#[test]
fn a_drain_told_mid_query_gets_nothing_new() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b"]);
    let sent = sends(&router.step(10.0, query(1, 1, 2000.0)));
    let other = if sent[0].1 == "a" { "b" } else { "a" };
    let mut line = replica(other);
    line.state = ReplicaState::Draining;
    let events = vec![
        Event::List(ListUpdate::Changes(vec![line])),
        ended("q1.0", 0, &sent[0].1, Outcome::Rejected, 50.0),
    ];
    let mut after = router.step(60.0, events);
    after.extend(router.step(65.0, query(2, 6, 2000.0)));
    assert!(!sends(&after).is_empty());
    assert!(sends(&after).iter().all(|(_, to)| to != other));
}

#[test]
fn a_cold_replica_gets_an_own_share_that_shrinks_with_more_routers() {
    let cold = ColdStartRule {
        initial_share: 0.2,
        warm_within: 10_000.0,
        overload_multiple: 2.0,
        overload_window: 1000.0,
    };
    let count = |routers: u32, after: f64| {
        let mut router =
            start(Settings { cold: Some(cold), routers, ..settings(RepeatPolicy::Safe) }, &["old"]);
        let mut new = replica("new");
        new.started = Some(100.0);
        router.step(100.0, vec![Event::List(ListUpdate::Changes(vec![new]))]);
        let sent = sends(&router.step(100.0 + after, query(1, 60, 3000.0)));
        assert_eq!(sent.len(), 60);
        sent.iter().filter(|(_, to)| to == "new").count()
    };
    // One unit per tenth of the 1 s aim: 10 units a second, a little over a fifth of it, twice over, come in within a
    // window. Of what came in before, a little over their root and two more may still be used: both together
    // are what it bears.
    assert_eq!(count(1, 1000.0), 4);
    assert_eq!(count(4, 1000.0), 1);
    assert!(count(1, 5.0) <= 1);
}

#[test]
fn shares_under_a_part_still_feed_a_cold_replica_and_add_up_to_no_more_than_it_bears() {
    let cold = ColdStartRule {
        initial_share: 0.2,
        warm_within: 100_000.0,
        overload_multiple: 2.0,
        overload_window: 1000.0,
    };
    let mut sent = [0; 3];
    for seed in 0..60 {
        let s = Settings { cold: Some(cold), routers: 60, ..settings(RepeatPolicy::Safe) };
        let mut router = ironpaddle::Router::new(s, seed).expect("settings are sound");
        let mut new = replica("new");
        new.started = Some(100.0);
        router.step(100.0, vec![fleet(&["old"])]);
        router.step(100.0, vec![Event::List(ListUpdate::Changes(vec![new]))]);
        for (second, sent) in (0u32..).zip(&mut sent) {
            let now = 1100.0 + 1000.0 * f64::from(second);
            let to = sends(&router.step(now, query(u64::from(second), 40, now + 3000.0)));
            *sent += to.iter().filter(|(_, to)| to == "new").count();
        }
    }
    // All routers together: 10 units a second, a fifth of it, twice over.
    assert!(sent.iter().all(|n| *n <= 8) && (1..=14).contains(&sent.iter().sum::<usize>()), "{sent:?}");
}

#[test]
fn a_partial_answer_waits_for_the_aim_and_is_not_called_whole() {
    let mut s = settings(RepeatPolicy::Safe);
    s.classes[0].least_share = 0.5;
    let mut router = start(s, &["a", "b"]);
    let sent = sends(&router.step(10.0, query(1, 2, 3000.0)));
    // Each wake comes in time, as a late one would have the answer leave earlier.
    run(&mut router, 15.0, 55.0);
    let first = router.step(60.0, vec![ended("q1.0", 0, &sent[0].1, Outcome::Completed, 50.0)]);
    assert!(finals(&first).is_empty());
    let mut all = run(&mut router, 65.0, 900.0);
    assert!(finals(&all).is_empty());
    all.extend(run(&mut router, 905.0, 1010.0));
    assert_eq!(finals(&all), ["partial q1"]);
}

#[test]
fn an_answer_never_rests_on_less_than_the_least_share() {
    let mut s = settings(RepeatPolicy::Safe);
    s.classes[0].least_share = 0.6;
    let mut router = start(s, &["a", "b"]);
    let sent = sends(&router.step(10.0, query(1, 2, 3000.0)));
    router.step(60.0, vec![ended("q1.0", 0, &sent[0].1, Outcome::Completed, 50.0)]);
    assert_eq!(finals(&run(&mut router, 65.0, 3000.0)), ["fail q1"]);
}

#[test]
fn a_late_outcome_of_an_ended_query_and_unknown_ids_are_passed_over() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a"]);
    router.step(10.0, query(1, 1, 3000.0));
    router.step(20.0, vec![Event::ClientGone("q1".into())]);
    let events = vec![
        ended("q1.0", 0, "a", Outcome::Completed, 50.0),
        ended("q9.0", 0, "nobody", Outcome::Completed, 50.0),
        Event::ClientGone("q1".into()),
    ];
    let after = router.step(60.0, events);
    assert!(finals(&after).is_empty() && sends(&after).is_empty());
}

#[test]
fn a_stated_budget_caps_further_attempts_in_its_window() {
    let budget = AttemptBudget { base_attempts: 1.0, ratio: 0.0, window: 10_000.0 };
    let mut router =
        start(Settings { budget: Some(budget), ..settings(RepeatPolicy::Safe) }, &["a", "b", "c"]);
    let sent = sends(&router.step(10.0, query(1, 2, 3000.0)));
    let events = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::Rejected, 5.0));
    let again = router.step(20.0, events.collect());
    assert_eq!(sends(&again).len(), 1);
}

#[test]
fn attempts_end_at_the_stated_most() {
    let mut router = start(Settings { max_attempts: 2, ..settings(RepeatPolicy::Safe) }, &["a", "b", "c"]);
    let sent = sends(&router.step(10.0, query(1, 1, 3000.0)));
    let again = sends(&router.step(20.0, vec![ended("q1.0", 0, &sent[0].1, Outcome::ConnectFailed, 5.0)]));
    assert_eq!(again.len(), 1);
    let last = router.step(30.0, vec![ended("q1.0", 1, &again[0].1, Outcome::Rejected, 5.0)]);
    assert!(sends(&last).is_empty());
    assert_eq!(finals(&last).len(), 1);
}
