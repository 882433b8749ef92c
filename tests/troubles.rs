//! Tests how the router handles faults, and a few other rules that it keeps.

mod common;
use common::*;
use ironpaddle::api::*;

fn parked(actions: &[Action]) -> Vec<String> {
    let log = |action: &Action| match action {
        Action::Log(text) => text.strip_suffix(" parked").map(str::to_string),
        _ => None,
    };
    actions.iter().filter_map(log).collect()
}

#[test]
fn a_silent_replica_is_parked_probed_and_restored_and_its_part_goes_elsewhere() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b", "c"]);
    let sent = sends(&router.step(10.0, query(1, 1, 3000.0)));
    let after = run(&mut router, 15.0, 600.0);
    assert_eq!(parked(&after), [sent[0].1.clone()]);
    assert!(sends(&after).is_empty());
    assert!(after.contains(&Action::Cancel {
        part: "q1.0".into(),
        attempt: Attempt(0),
        reason: AttemptReason::Silent
    }));
    let again = sends(&router.step(605.0, vec![ended("q1.0", 0, &sent[0].1, Outcome::Cancelled, 595.0)]));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1, sent[0].1);

    let probe = |action: &Action| matches!(action, Action::Probe { replica } if *replica.0 == *sent[0].1);
    assert!(run(&mut router, 610.0, 1600.0).iter().any(probe));
    let back = Event::ProbeEnded { replica: sent[0].1.as_str().into(), ok: true, load: None };
    let restored = router.step(1700.0, vec![back]);
    assert!(restored.contains(&Action::Log(format!("{} restored by probe", sent[0].1))));
}

#[test]
fn a_shared_cause_does_not_park_the_fleet() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b", "c", "d"]);
    let events = (1..=8).flat_map(|n| query(n, 1, 3000.0)).collect();
    assert_eq!(sends(&router.step(10.0, events)).len(), 8);
    assert!(parked(&run(&mut router, 15.0, 900.0)).len() <= 2);
}

#[test]
fn a_replica_that_fails_quickly_does_not_attract_parts() {
    let mut router = start(settings(RepeatPolicy::Safe), &["bad", "good"]);
    let mut to_bad = 0;
    for n in 0..60u32 {
        let now = 10.0 + 100.0 * f64::from(n);
        let mut sent = sends(&router.step(now, query(u64::from(n), 1, now + 3000.0)));
        let mut attempt = 0;
        while let Some((part, to)) = sent.pop() {
            let (outcome, latency) =
                if to == "bad" { (Outcome::Errored, 1.0) } else { (Outcome::Completed, 40.0) };
            to_bad += u32::from(to == "bad");
            let event = ended(&part, attempt, &to, outcome, latency);
            sent = sends(&router.step(now + latency, vec![event]));
            attempt += 1;
        }
    }
    assert!(to_bad <= 12, "{to_bad} parts of 60 queries went to the failing replica");
}

#[test]
fn a_retry_does_not_go_to_a_replica_that_fails_most_parts() {
    let mut router = start(settings(RepeatPolicy::Safe), &["bad", "g1", "g2"]);
    let mut now = 10.0;
    // Each replica gets several parts at once, and the bad one fails all of its own in turn.
    let sent = sends(&router.step(now, query(1, 12, now + 3000.0)));
    assert!(sent.iter().filter(|(_, to)| to == "bad").count() >= 3, "{sent:?}");
    for (part, to) in &sent {
        now += 2.0;
        let outcome = if to == "bad" { Outcome::Errored } else { Outcome::Completed };
        router.step(now, vec![ended(part, 0, to, outcome, 20.0)]);
    }
    // Both good replicas reject a part, while the bad one is idle and could take it at once.
    let mut sent = sends(&router.step(now, query(1000, 1, now + 3000.0)));
    for attempt in 0..2 {
        assert_ne!(sent[0].1, "bad");
        now += 5.0;
        let event = ended("q1000.0", attempt, &sent[0].1, Outcome::Rejected, 5.0);
        sent = sends(&router.step(now, vec![event]));
        sent.extend(sends(&run(&mut router, now, now + 450.0)));
        now += 450.0;
    }
    assert_ne!(sent[0].1, "bad", "the third attempt");
}

#[test]
fn where_aims_are_short_a_parked_replica_is_probed_sooner() {
    let mut s = settings(RepeatPolicy::Safe);
    s.classes[0].aim = 300.0;
    let mut router = start(s, &["a", "b", "c"]);
    let sent = sends(&router.step(10.0, query(1, 1, 900.0)));
    let after = run(&mut router, 15.0, 150.0);
    assert_eq!(parked(&after), [sent[0].1.clone()]);
    let probe = |action: &Action| matches!(action, Action::Probe { replica } if *replica.0 == *sent[0].1);
    assert!(run(&mut router, 155.0, 360.0).iter().any(probe), "two thirds of the aim later");
}

#[test]
fn parts_of_one_step_prefer_to_share_a_call() {
    let s = Settings { call_overhead: 500.0, ..settings(RepeatPolicy::Safe) };
    let mut router = start(s, &["a", "b"]);
    let sent = sends(&router.step(10.0, query(1, 2, 3000.0)));
    assert_eq!(sent[0].1, sent[1].1);
}

#[test]
fn reported_queues_are_avoided() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b"]);
    let sent = sends(&router.step(10.0, query(1, 2, 3000.0)));
    let busy = sent[0].1.clone();
    let events = sent.iter().map(|(part, to)| {
        Event::AttemptEnded(AttemptEnded {
            part: part.as_str().into(),
            attempt: Attempt(0),
            replica: to.as_str().into(),
            outcome: Outcome::Completed,
            latency: 50.0,
            load: Some(LoadReport { queue: Some(if *to == busy { 9.0 } else { 0.0 }), ..Default::default() }),
        })
    });
    router.step(60.0, events.collect());
    let next = sends(&router.step(400.0, query(2, 3, 3000.0)));
    assert!(next.iter().all(|(_, to)| *to != busy), "{next:?}");
}

#[test]
fn an_old_report_of_a_long_queue_does_not_keep_parts_away_for_good() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b"]);
    let sent = sends(&router.step(10.0, query(1, 2, 3000.0)));
    let busy = sent[0].1.clone();
    let events = sent.iter().map(|(part, to)| {
        Event::AttemptEnded(AttemptEnded {
            part: part.as_str().into(),
            attempt: Attempt(0),
            replica: to.as_str().into(),
            outcome: Outcome::Completed,
            latency: 50.0,
            load: Some(LoadReport {
                queue: Some(if *to == busy { 9.0 } else { 0.0 }),
                ..LoadReport::default()
            }),
        })
    });
    router.step(60.0, events.collect());
    let next = sends(&router.step(1060.0, query(2, 4, 3000.0)));
    assert!(next.iter().any(|(_, to)| *to == busy), "{next:?}");
}

#[test]
fn under_load_light_parts_are_left_out() {
    let mut s = settings(RepeatPolicy::Safe);
    s.classes[0].least_share = 0.5;
    s.worth_by_work = true;
    let parts = |loaded: bool| {
        let mut router = start(s.clone(), &["a", "b", "c", "d"]);
        let mut now = 10.0;
        for n in 1..30 {
            let sent = sends(&router.step(now, query(n, 1, now + 3000.0)));
            let (part, to) = sent.first().cloned().unwrap_or_default();
            let took = if loaded { 700.0 } else { 100.0 };
            run(&mut router, now + 5.0, now + took - 5.0);
            router.step(now + took, vec![ended(&part, 0, &to, Outcome::Completed, took)]);
            run(&mut router, now + took + 5.0, now + 995.0);
            now += 1000.0;
        }
        let mut events = query(99, 10, now + 3000.0);
        for (n, event) in events.iter_mut().skip(1).enumerate() {
            if let Event::Part(part) = event {
                part.weight = if n < 2 { 0.4 } else { 0.025 };
            }
        }
        sends(&router.step(now, events)).len()
    };
    assert_eq!(parts(false), 10);
    assert_eq!(parts(true), 2);
}

#[test]
fn a_failing_list_request_is_retried_with_growing_backoff() {
    let mut router = start(Settings { discovery: Discovery::Asked, ..settings(RepeatPolicy::Safe) }, &["a"]);
    let mut requests = Vec::new();
    let mut now = 5.0;
    while now < 20_000.0 {
        let broken = requests.last().is_some_and(|at| now - at < 5.5);
        let event = if broken { Event::List(ListUpdate::Failed) } else { Event::Wake };
        if router.step(now, vec![event]).contains(&Action::Subscribe) {
            requests.push(now);
        }
        now += 5.0;
    }
    assert!(requests.len() >= 3, "{requests:?}");
    assert!(requests.len() <= 12, "{requests:?}");
    let gaps: Vec<f64> = requests.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.last() > gaps.first(), "{gaps:?}");
}

#[test]
fn a_second_step_is_answered_from_its_own_parts() {
    let mut s = settings(RepeatPolicy::Safe);
    s.classes[0].second_step_parts = 1;
    let mut router = start(s, &["a", "b"]);
    let sent = sends(&router.step(10.0, query(1, 1, 3000.0)));
    let first = router.step(60.0, vec![ended("q1.0", 0, &sent[0].1, Outcome::Completed, 50.0)]);
    assert_eq!(final_answers(&first), ["whole q1"]);
    let part = Event::Part(NewPart {
        id: "q1.f".into(),
        query: 1,
        shard: Shard(0),
        weight: 1.0,
        cost_hint: None,
        key: None,
    });
    let sent = sends(&router.step(65.0, vec![part]));
    assert_eq!(sent.len(), 1);
    let second = router.step(99.0, vec![ended("q1.f", 0, &sent[0].1, Outcome::Completed, 30.0)]);
    assert_eq!(final_answers(&second), ["whole q1"]);
}

#[test]
fn identical_events_give_identical_actions() {
    let play = || {
        let mut router = start(settings(RepeatPolicy::Safe), &["a", "b", "c"]);
        let mut all = router.step(10.0, (1..9).flat_map(|n| query(n, 3, 3000.0)).collect());
        all.extend(run(&mut router, 15.0, 3000.0));
        all
    };
    assert_eq!(play(), play());
}

#[test]
fn invalid_settings_are_rejected() {
    let broken = [
        Settings { classes: Vec::new(), ..settings(RepeatPolicy::Safe) },
        Settings { cells: 0, ..settings(RepeatPolicy::Safe) },
        Settings { tick: 0.0, ..settings(RepeatPolicy::Safe) },
    ];
    for settings in broken {
        assert!(ironpaddle::Router::new(settings, 1).is_err());
    }
}

/// Returns a router for which each of `names` has served some queries, and the current time.
fn warmed_up(s: Settings, names: &[&str]) -> (ironpaddle::Router, f64) {
    let mut router = start(Settings { max_parts_per_call: 1, ..s }, names);
    let mut now = 10.0;
    for n in 1000..1010 {
        let sent = sends(&router.step(now, query(n, names.len() as u32, now + 3000.0)));
        run(&mut router, now + 5.0, now + 45.0);
        let events = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::Completed, 50.0)).collect();
        router.step(now + 50.0, events);
        run(&mut router, now + 55.0, now + 195.0);
        now += 200.0;
    }
    (router, now)
}

fn count_closes(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::CloseIdle { .. })).count()
}

#[test]
fn idle_connections_are_closed_early_after_losses_on_them_and_the_lost_parts_are_resent() {
    let names = ["a", "b", "c", "d"];
    let (mut router, now) =
        warmed_up(Settings { keep_alive: Some(15_000.0), ..settings(RepeatPolicy::Safe) }, &names);
    assert_eq!(count_closes(&run(&mut router, now, now + 1500.0)), 0);
    let now = now + 1500.0;
    let sent = sends(&router.step(now, query(1, 4, now + 3000.0)));
    let events = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::Reset, 1.0)).collect();
    let after = router.step(now + 5.0, events);
    assert!(parked(&after).is_empty() && !sends(&after).is_empty(), "{after:?}");
    // One part first, as the query itself may be what crashes replicas. Once it has completed, the others follow.
    let (part, to) = sends(&after)[0].clone();
    let after = router.step(now + 55.0, vec![ended(&part, 1, &to, Outcome::Completed, 50.0)]);
    assert_eq!(sends(&after).len(), 3);
    assert!(count_closes(&run(&mut router, now + 60.0, now + 1500.0)) > 0);
}

/// With many routers, each has idle connections, and replicas stall now and then. If such silence counted as dropped
/// connections, all routers would close and reopen theirs.
#[test]
fn silence_on_idle_connections_closes_none() {
    let names = ["a", "b", "c", "d"];
    let (mut router, mut now) =
        warmed_up(Settings { keep_alive: Some(15_000.0), ..settings(RepeatPolicy::Safe) }, &names);
    let mut actions = Vec::new();
    for n in 1..=4 {
        // Idle for longer than the aim, then silent for longer than the silence timeout, then all parts are answered.
        actions.extend(run(&mut router, now, now + 1500.0));
        now += 1505.0;
        let sent = sends(&router.step(now, query(n, 4, now + 3000.0)));
        actions.extend(run(&mut router, now + 5.0, now + 700.0));
        let events = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::Completed, 700.0)).collect();
        actions.extend(router.step(now + 705.0, events));
        now += 710.0;
    }
    assert_eq!(count_closes(&actions), 0);
}

#[test]
fn without_a_configured_keep_alive_no_connection_is_closed() {
    let (mut router, now) = warmed_up(settings(RepeatPolicy::Safe), &["a", "b", "c", "d"]);
    let sent = sends(&router.step(now, query(1, 4, now + 3000.0)));
    let events = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::Reset, 1.0)).collect();
    let mut after = router.step(now + 5.0, events);
    after.extend(run(&mut router, now + 10.0, now + 3000.0));
    assert_eq!(count_closes(&after), 0);
}

#[test]
fn a_query_whose_parts_crash_replicas_fails_and_later_queries_are_served() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let (mut router, now) = warmed_up(settings(RepeatPolicy::Safe), &names);
    let sent = sends(&router.step(now, query(1, 8, now + 3000.0)));
    let events = sent.iter().take(4).map(|(part, to)| ended(part, 0, to, Outcome::Reset, 5.0)).collect();
    let after = router.step(now + 5.0, events);
    assert_eq!(final_answers(&after), ["fail q1"]);
    assert!(sends(&after).is_empty());
    // Half of the fleet failed at once: the next query uses one replica until a part has completed.
    let now = now + 100.0;
    let first = sends(&router.step(now, query(2, 4, now + 3000.0)));
    assert_eq!(first.len(), 1);
    let (part, to) = first[0].clone();
    let rest = sends(&router.step(now + 50.0, vec![ended(&part, 0, &to, Outcome::Completed, 50.0)]));
    assert_eq!(rest.len(), 3);
    // The restriction ends after a fixed time.
    run(&mut router, now + 55.0, now + 30_000.0);
    assert_eq!(sends(&router.step(now + 30_005.0, query(3, 4, now + 33_000.0))).len(), 4);
}

#[test]
fn failed_connections_may_park_all_replicas() {
    let (mut router, now) = warmed_up(settings(RepeatPolicy::Safe), &["a", "b", "c", "d"]);
    let sent = sends(&router.step(now, query(1, 4, now + 3000.0)));
    let events = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::ConnectFailed, 1.0)).collect();
    let after = router.step(now + 5.0, events);
    // Suspicion for silence parks at most a quarter of the replicas; a failed connection has no such limit.
    assert_eq!(parked(&after).len(), 4);
    // All are parked: the parts wait for the silence timeout before the next attempt, and the query stays open.
    assert!(sends(&after).is_empty() && final_answers(&after).is_empty());
    assert!(!sends(&run(&mut router, now + 10.0, now + 600.0)).is_empty());
}

#[test]
fn a_stall_of_the_router_parks_no_replica_and_cancels_nothing() {
    let (mut router, now) = warmed_up(settings(RepeatPolicy::Safe), &["a", "b", "c", "d"]);
    assert_eq!(sends(&router.step(now, query(1, 1, now + 3000.0))).len(), 1);
    // A wake was due within a few ticks but arrives after 900 ms: the router itself stalled.
    let after = router.step(now + 900.0, vec![Event::Wake]);
    assert!(parked(&after).is_empty());
    assert!(!after.iter().any(|action| matches!(action, Action::Cancel { .. })));
    // The replica is parked if it stays silent from then on.
    assert_eq!(parked(&run(&mut router, now + 905.0, now + 1400.0)).len(), 1);
}

#[test]
fn the_last_attempt_of_a_rejected_part_waits_for_the_silence_timeout() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b", "c"]);
    let mut to = sends(&router.step(10.0, query(1, 1, 3000.0)))[0].1.clone();
    let second = sends(&router.step(15.0, vec![ended("q1.0", 0, &to, Outcome::Rejected, 1.0)]));
    to.clone_from(&second[0].1);
    let third = router.step(20.0, vec![ended("q1.0", 1, &to, Outcome::Rejected, 1.0)]);
    assert!(sends(&third).is_empty() && final_answers(&third).is_empty(), "{third:?}");
    assert!(sends(&run(&mut router, 25.0, 400.0)).is_empty());
    assert_eq!(sends(&run(&mut router, 405.0, 500.0)).len(), 1);
}

#[test]
fn a_class_refused_after_a_slow_period_is_admitted_again() {
    let (mut router, mut now) = warmed_up(settings(RepeatPolicy::Safe), &["a", "b", "c", "d"]);
    // Replicas stay silent until queries of the class are refused at once.
    let refused = (1..200u64).any(|n| {
        now += 250.0;
        let actions = router.step(now, query(n, 1, now + 3000.0));
        run(&mut router, now + 5.0, now + 245.0);
        final_answers(&actions).contains(&format!("refuse q{n}"))
    });
    assert!(refused);
    // While all queries of the class are refused, its query time is not measured, so the learned one has to decay with
    // time. At `end`, nothing is in flight any more.
    let end = now + 12_000.0;
    run(&mut router, now + 250.0, end);
    let actions = router.step(end + 5.0, query(999, 1, end + 3000.0));
    assert_eq!((sends(&actions).len(), final_answers(&actions)), (1, Vec::new()));
}

/// Sends single parts until `victim` has lost one and answered four that were sent after it. Returns the lost part, the
/// actions of the last step and the time.
fn lose_one(router: &mut ironpaddle::Router, mut now: f64, victim: &str) -> (String, Vec<Action>, f64) {
    let (mut lost, mut answered_after, mut actions) = (None, 0, Vec::new());
    for n in 1..100 {
        let sent = sends(&router.step(now, query(n, 1, now + 30_000.0)));
        let (part, to) = sent[0].clone();
        now += 50.0;
        if to == victim && lost.is_none() {
            lost = Some(part);
            continue;
        }
        answered_after += u32::from(to == victim && lost.is_some());
        actions = router.step(now, vec![ended(&part, 0, &to, Outcome::Completed, 50.0)]);
        if answered_after == 4 {
            break;
        }
    }
    assert_eq!(answered_after, 4);
    (lost.expect("one was sent there"), actions, now)
}

#[test]
fn an_overtaken_part_is_sent_elsewhere_at_once() {
    // With this long aim, the silence timeout alone would take 20 s.
    let mut s = settings(RepeatPolicy::Safe);
    s.classes[0].aim = 50_000.0;
    let (mut router, now) = warmed_up(s, &["a", "b"]);
    let (lost, actions, now) = lose_one(&mut router, now, "a");
    let (part, attempt, reason) = (lost.as_str().into(), Attempt(0), AttemptReason::Overtaken);
    assert!(actions.contains(&Action::Cancel { part, attempt, reason }), "{actions:?}");
    assert!(parked(&actions).is_empty(), "the replica still answers other parts");
    let again = sends(&router.step(now + 5.0, vec![ended(&lost, 0, "a", Outcome::Cancelled, 1.0)]));
    assert_eq!(again, [(lost, "b".to_string())]);
}

#[test]
fn an_overtaken_unsafe_part_stays_in_flight_and_others_avoid_its_replica() {
    let mut s = settings(RepeatPolicy::Unsafe);
    s.classes[0].aim = 50_000.0;
    let (mut router, now) = warmed_up(s, &["a", "b"]);
    let (_, actions, now) = lose_one(&mut router, now, "a");
    assert!(!actions.iter().any(|action| matches!(action, Action::Cancel { .. })), "{actions:?}");
    let sent = sends(&router.step(now + 5.0, (200..204).flat_map(|n| query(n, 1, now + 3000.0)).collect()));
    assert!(sent.len() == 4 && sent.iter().all(|(_, to)| to == "b"), "{sent:?}");
}

#[test]
fn a_broken_connection_is_one_failure_and_not_a_crash() {
    let (mut router, now) = warmed_up(settings(RepeatPolicy::Safe), &["a", "b", "c", "d"]);
    let reset = |sent: &[(String, String)], at: &[&str]| -> Vec<Event> {
        let lost = sent.iter().filter(|(_, to)| at.contains(&to.as_str()));
        lost.map(|(part, to)| ended(part, 0, to, Outcome::Reset, 30.0)).collect()
    };
    // All parts on one broken connection count as one failure, so the query is not considered the cause.
    let sent = sends(&router.step(now, query(1, 16, now + 3000.0)));
    let events = reset(&sent, &["c"]);
    let lost = events.len();
    let after = router.step(now + 30.0, events);
    let again = sends(&after);
    assert!(lost >= 2, "{sent:?}");
    assert_eq!((final_answers(&after).len(), again.len()), (0, lost), "all are sent again");
    let others = sent.iter().filter(|(_, to)| to != "c").map(|(part, to)| (part, 0, to));
    let again = again.iter().map(|(part, to)| (part, 1, to));
    let events =
        others.chain(again).map(|(part, n, to)| ended(part, n, to, Outcome::Completed, 50.0)).collect();
    assert_eq!(final_answers(&router.step(now + 80.0, events)), ["whole q1"]);
    // Lost parts on one broken connection do not each count as a failure of the replica either: it still gets parts.
    let now = now + 500.0;
    run(&mut router, now - 415.0, now - 5.0);
    let sent = sends(&router.step(now, query(2, 16, now + 3500.0)));
    assert!(sent.iter().any(|(_, to)| to == "c"), "{sent:?}");
    // If three replicas reset parts of a query of which no part has completed, the query may be the cause.
    let events = reset(&sent, &["a", "b"]);
    assert!(final_answers(&router.step(now + 25.0, events)).is_empty());
    let events = reset(&sent, &["d"]);
    assert_eq!(final_answers(&router.step(now + 30.0, events)), ["fail q2"]);
}

#[test]
fn nothing_is_refused_while_replicas_report_spare_capacity() {
    let refused = |utilization: Option<f64>| {
        let names = ["a", "b", "c", "d"];
        let (mut router, mut now) = warmed_up(settings(RepeatPolicy::Safe), &names);
        // Three of four queries get no answer before their deadline.
        (1..60u64).any(|n| {
            now += 250.0;
            let actions = router.step(now, query(n, 1, now + 3000.0));
            if let Some((part, to)) = sends(&actions).first().filter(|_| n % 4 == 0) {
                let load = utilization.map(|u| LoadReport { utilization: Some(u), ..LoadReport::default() });
                let mut end = ended(part, 0, to, Outcome::Completed, 5.0);
                if let Event::AttemptEnded(end) = &mut end {
                    end.load = load;
                }
                router.step(now + 5.0, vec![end]);
            }
            run(&mut router, now + 10.0, now + 245.0);
            final_answers(&actions).contains(&format!("refuse q{n}"))
        })
    };
    assert!(refused(None), "without load reports, slow queries are the only signal");
    assert!(refused(Some(0.95)));
    assert!(!refused(Some(0.4)), "queries are slow for a reason other than load");
}

#[test]
fn unsafe_parts_avoid_a_replica_that_loses_one_part_in_ten() {
    let mut s = settings(RepeatPolicy::Unsafe);
    s.classes.push(class(RepeatPolicy::Safe));
    let (mut router, mut now) = warmed_up(s, &["a", "b"]);
    // Safe parts are still sent to `a`, and every tenth there is lost; the last eight parts there were all answered.
    let mut at_a = 0;
    for n in 1..200u64 {
        let mut events = query(n, 1, now + 3000.0);
        if let Event::Query(query) = &mut events[0] {
            query.class = ClassIndex(1);
        }
        let sent = sends(&router.step(now, events));
        let (part, to) = sent[0].clone();
        at_a += u32::from(to == "a");
        let lost = to == "a" && at_a % 10 == 1;
        let outcome = if lost { Outcome::Reset } else { Outcome::Completed };
        let again = sends(&router.step(now + 10.0, vec![ended(&part, 0, &to, outcome, 10.0)]));
        if let Some((part, to)) = again.first() {
            router.step(now + 20.0, vec![ended(part, 1, to, Outcome::Completed, 10.0)]);
        }
        now += 25.0;
        if at_a == 29 && to == "a" {
            break;
        }
    }
    assert_eq!(at_a, 29);
    let events = (900..906).flat_map(|n| query(n, 1, now + 3000.0)).collect();
    let sent = sends(&router.step(now, events));
    assert!(sent.len() == 6 && sent.iter().all(|(_, to)| to == "b"), "{sent:?}");
}

#[test]
fn resets_at_replicas_that_keep_answering_do_not_limit_new_queries() {
    let names = ["a", "b", "c", "d"];
    let (mut router, now) = warmed_up(settings(RepeatPolicy::Safe), &names);
    let sent = sends(&router.step(now, query(1, 16, now + 3000.0)));
    // Half of the fleet breaks a connection; other parts on these replicas are answered soon after.
    let broken: Vec<_> = sent.iter().filter(|(_, to)| to == "a" || to == "b").collect();
    let (first, rest) = broken.split_at(broken.len() / 2);
    let events = first.iter().map(|(part, to)| ended(part, 0, to, Outcome::Reset, 30.0)).collect();
    router.step(now + 30.0, events);
    let events = rest.iter().map(|(part, to)| ended(part, 0, to, Outcome::Completed, 50.0)).collect();
    router.step(now + 50.0, events);
    assert_eq!(sends(&router.step(now + 200.0, query(2, 4, now + 3000.0))).len(), 4);
}

/// A hanging replica may read a cancellation late, so the attempt stays in flight until its end is reported, and the
/// part is not resent on a guess. After that it goes to any replica that is not parked, even if none has answered yet.
#[test]
fn a_part_cancelled_for_silence_is_resent_only_once_its_attempt_has_ended() {
    let all = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
    for (queries, parallel_attempts) in [(1, false), (1, true), (3, false), (3, true)] {
        let s = Settings { parallel_attempts, ..settings(RepeatPolicy::Safe) };
        let mut router = start(s, &all);
        let sent = sends(&router.step(10.0, (1..=queries).flat_map(|n| query(n, 1, 3000.0)).collect()));
        let given_up = parked(&run(&mut router, 15.0, 600.0));
        assert!(sent.iter().all(|(_, to)| given_up.contains(to)) && (given_up.len() > 1) == (queries > 1));
        assert!(sends(&run(&mut router, 605.0, 900.0)).is_empty(), "{queries} {parallel_attempts}");
        let cancelled = |(part, to): &(String, String)| ended(part, 0, to, Outcome::Cancelled, 895.0);
        let again = sends(&router.step(905.0, sent.iter().map(cancelled).collect()));
        let parts = |sent: &[(String, String)]| sent.iter().map(|(part, _)| part.clone()).collect::<Vec<_>>();
        assert_eq!(parts(&again), parts(&sent), "{queries} {parallel_attempts}");
        assert!(again.iter().all(|(_, to)| !given_up.contains(to)), "{again:?}");
    }
}
