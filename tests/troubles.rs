//! One small test for each trouble that the module has an answer to.

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
fn quick_errors_draw_no_parts() {
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
    assert!(to_bad <= 12, "{to_bad} of 60 went to the failing replica");
}

#[test]
fn a_repeat_does_not_go_to_a_replica_that_fails_most_parts() {
    let mut router = start(settings(RepeatPolicy::Safe), &["bad", "g1", "g2"]);
    let mut now = 10.0;
    // Each of them has some parts at once, and the bad one fails its own, one after the other.
    let sent = sends(&router.step(now, query(1, 12, now + 3000.0)));
    assert!(sent.iter().filter(|(_, to)| to == "bad").count() >= 3, "{sent:?}");
    for (part, to) in &sent {
        now += 2.0;
        let outcome = if to == "bad" { Outcome::Errored } else { Outcome::Completed };
        router.step(now, vec![ended(part, 0, to, outcome, 20.0)]);
    }
    // Both good ones turn a part away: the bad one is free, and would have it at once.
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
fn under_pressure_light_parts_are_left_out_where_that_pays() {
    let mut s = settings(RepeatPolicy::Safe);
    s.classes[0].least_share = 0.5;
    s.worth_by_work = true;
    let parts = |pressed: bool| {
        let mut router = start(s.clone(), &["a", "b", "c", "d"]);
        let mut now = 10.0;
        for n in 1..30 {
            let sent = sends(&router.step(now, query(n, 1, now + 3000.0)));
            let (part, to) = sent.first().cloned().unwrap_or_default();
            let took = if pressed { 700.0 } else { 100.0 };
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
fn a_list_that_must_be_asked_for_is_asked_again_with_growing_waits() {
    let mut router = start(Settings { discovery: Discovery::Asked, ..settings(RepeatPolicy::Safe) }, &["a"]);
    let mut asked = Vec::new();
    let mut now = 5.0;
    while now < 20_000.0 {
        let broken = asked.last().is_some_and(|at| now - at < 5.5);
        let event = if broken { Event::List(ListUpdate::Failed) } else { Event::Wake };
        if router.step(now, vec![event]).contains(&Action::Subscribe) {
            asked.push(now);
        }
        now += 5.0;
    }
    assert!(asked.len() >= 3, "{asked:?}");
    assert!(asked.len() <= 12, "{asked:?}");
    let gaps: Vec<f64> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.last() > gaps.first(), "{gaps:?}");
}

#[test]
fn a_second_step_is_answered_from_its_own_parts() {
    let mut s = settings(RepeatPolicy::Safe);
    s.classes[0].second_step_parts = 1;
    let mut router = start(s, &["a", "b"]);
    let sent = sends(&router.step(10.0, query(1, 1, 3000.0)));
    let first = router.step(60.0, vec![ended("q1.0", 0, &sent[0].1, Outcome::Completed, 50.0)]);
    assert_eq!(finals(&first), ["whole q1"]);
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
    assert_eq!(finals(&second), ["whole q1"]);
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
fn contradicting_settings_are_told() {
    let broken = [
        Settings { classes: Vec::new(), ..settings(RepeatPolicy::Safe) },
        Settings { cells: 0, ..settings(RepeatPolicy::Safe) },
        Settings { tick: 0.0, ..settings(RepeatPolicy::Safe) },
    ];
    for settings in broken {
        assert!(ironpaddle::Router::new(settings, 1).is_err());
    }
}

/// A settled router: each of `names` has served some queries.
fn settled(s: Settings, names: &[&str]) -> (ironpaddle::Router, f64) {
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

fn closed(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::CloseIdle { .. })).count()
}

#[test]
fn connections_are_closed_early_where_sends_on_idle_ones_are_lost_and_their_parts_go_again() {
    let names = ["a", "b", "c", "d"];
    let (mut router, now) =
        settled(Settings { keep_alive: Some(15_000.0), ..settings(RepeatPolicy::Safe) }, &names);
    assert_eq!(closed(&run(&mut router, now, now + 1500.0)), 0);
    let now = now + 1500.0;
    let sent = sends(&router.step(now, query(1, 4, now + 3000.0)));
    let events = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::Reset, 1.0)).collect();
    let after = router.step(now + 5.0, events);
    assert!(parked(&after).is_empty() && !sends(&after).is_empty(), "{after:?}");
    // One part first: it might be the query that kills. Once it is in, the others follow.
    let (part, to) = sends(&after)[0].clone();
    let after = router.step(now + 55.0, vec![ended(&part, 1, &to, Outcome::Completed, 50.0)]);
    assert_eq!(sends(&after).len(), 3);
    assert!(closed(&run(&mut router, now + 60.0, now + 1500.0)) > 0);
}

/// Of many routers each finds its connections idle, and replicas stand still now and then: if that counted as
/// connections that something drops, all would close theirs and open them again.
#[test]
fn silence_on_idle_connections_closes_none() {
    let names = ["a", "b", "c", "d"];
    let (mut router, mut now) =
        settled(Settings { keep_alive: Some(15_000.0), ..settings(RepeatPolicy::Safe) }, &names);
    let mut actions = Vec::new();
    for n in 1..=4 {
        // Idle for longer than the aim, then silent for longer than patience, then all is answered.
        actions.extend(run(&mut router, now, now + 1500.0));
        now += 1505.0;
        let sent = sends(&router.step(now, query(n, 4, now + 3000.0)));
        actions.extend(run(&mut router, now + 5.0, now + 700.0));
        let events = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::Completed, 700.0)).collect();
        actions.extend(router.step(now + 705.0, events));
        now += 710.0;
    }
    assert_eq!(closed(&actions), 0);
}

#[test]
fn without_a_told_keep_alive_no_connection_is_closed() {
    let (mut router, now) = settled(settings(RepeatPolicy::Safe), &["a", "b", "c", "d"]);
    let sent = sends(&router.step(now, query(1, 4, now + 3000.0)));
    let events = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::Reset, 1.0)).collect();
    let mut after = router.step(now + 5.0, events);
    after.extend(run(&mut router, now + 10.0, now + 3000.0));
    assert_eq!(closed(&after), 0);
}

#[test]
fn a_query_whose_parts_only_kill_is_ended_and_its_kind_is_served_again_later() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let (mut router, now) = settled(settings(RepeatPolicy::Safe), &names);
    let sent = sends(&router.step(now, query(1, 8, now + 3000.0)));
    let events = sent.iter().take(4).map(|(part, to)| ended(part, 0, to, Outcome::Reset, 5.0)).collect();
    let after = router.step(now + 5.0, events);
    assert_eq!(finals(&after), ["fail q1"]);
    assert!(sends(&after).is_empty());
    // Half of the fleet died at once: the next query risks one replica until a part has completed.
    let now = now + 100.0;
    let first = sends(&router.step(now, query(2, 4, now + 3000.0)));
    assert_eq!(first.len(), 1);
    let (part, to) = first[0].clone();
    let rest = sends(&router.step(now + 50.0, vec![ended(&part, 0, &to, Outcome::Completed, 50.0)]));
    assert_eq!(rest.len(), 3);
    // It forgives after a stated time.
    run(&mut router, now + 55.0, now + 30_000.0);
    assert_eq!(sends(&router.step(now + 30_005.0, query(3, 4, now + 33_000.0))).len(), 4);
}

#[test]
fn a_failed_connection_parks_past_the_quarter_that_bounds_silence() {
    let (mut router, now) = settled(settings(RepeatPolicy::Safe), &["a", "b", "c", "d"]);
    let sent = sends(&router.step(now, query(1, 4, now + 3000.0)));
    let events = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::ConnectFailed, 1.0)).collect();
    let after = router.step(now + 5.0, events);
    assert_eq!(parked(&after).len(), 4);
    // All are parked: the parts wait a patience for the next try, and the query is not given up.
    assert!(sends(&after).is_empty() && finals(&after).is_empty());
    assert!(!sends(&run(&mut router, now + 10.0, now + 600.0)).is_empty());
}

#[test]
fn an_own_stall_parks_nobody_and_calls_nothing_back() {
    let (mut router, now) = settled(settings(RepeatPolicy::Safe), &["a", "b", "c", "d"]);
    assert_eq!(sends(&router.step(now, query(1, 1, now + 3000.0))).len(), 1);
    // The wake asked for within some ticks comes after 900 ms: the silence was this router's.
    let after = router.step(now + 900.0, vec![Event::Wake]);
    assert!(parked(&after).is_empty());
    assert!(!after.iter().any(|action| matches!(action, Action::Cancel { .. })));
    // The replica is suspected when it stays silent from there on.
    assert_eq!(parked(&run(&mut router, now + 905.0, now + 1400.0)).len(), 1);
}

#[test]
fn a_part_turned_away_as_full_keeps_its_last_try_for_a_patience() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b", "c"]);
    let mut to = sends(&router.step(10.0, query(1, 1, 3000.0)))[0].1.clone();
    let second = sends(&router.step(15.0, vec![ended("q1.0", 0, &to, Outcome::Rejected, 1.0)]));
    to.clone_from(&second[0].1);
    let third = router.step(20.0, vec![ended("q1.0", 1, &to, Outcome::Rejected, 1.0)]);
    assert!(sends(&third).is_empty() && finals(&third).is_empty(), "{third:?}");
    assert!(sends(&run(&mut router, 25.0, 400.0)).is_empty());
    assert_eq!(sends(&run(&mut router, 405.0, 500.0)).len(), 1);
}

#[test]
fn a_class_turned_away_after_a_bad_moment_is_let_in_again() {
    let (mut router, mut now) = settled(settings(RepeatPolicy::Safe), &["a", "b", "c", "d"]);
    // Queries whose replicas stay silent, until the class is refused at once.
    let refused = (1..200u64).any(|n| {
        now += 250.0;
        let actions = router.step(now, query(n, 1, now + 3000.0));
        run(&mut router, now + 5.0, now + 245.0);
        finals(&actions).contains(&format!("refuse q{n}"))
    });
    assert!(refused);
    // While all is refused, nothing is measured: time alone has to forgive. Nothing is out any more then.
    let end = now + 12_000.0;
    run(&mut router, now + 250.0, end);
    let actions = router.step(end + 5.0, query(999, 1, end + 3000.0));
    assert_eq!((sends(&actions).len(), finals(&actions)), (1, Vec::new()));
}

/// Sends single parts until `victim` has lost one and answered four sent after it; the lost part, and what the
/// router did then, and when that was.
fn lose_one(router: &mut ironpaddle::Router, mut now: f64, victim: &str) -> (String, Vec<Action>, f64) {
    let (mut lost, mut passed, mut actions) = (None, 0, Vec::new());
    for n in 1..100 {
        let sent = sends(&router.step(now, query(n, 1, now + 30_000.0)));
        let (part, to) = sent[0].clone();
        now += 50.0;
        if to == victim && lost.is_none() {
            lost = Some(part);
            continue;
        }
        passed += u32::from(to == victim && lost.is_some());
        actions = router.step(now, vec![ended(&part, 0, &to, Outcome::Completed, 50.0)]);
        if passed == 4 {
            break;
        }
    }
    assert_eq!(passed, 4);
    (lost.expect("one was sent there"), actions, now)
}

#[test]
fn a_part_that_its_replica_passed_over_goes_elsewhere_at_once() {
    // The aim is long: patience alone would wait for 20 s.
    let mut s = settings(RepeatPolicy::Safe);
    s.classes[0].aim = 50_000.0;
    let (mut router, now) = settled(s, &["a", "b"]);
    let (lost, actions, now) = lose_one(&mut router, now, "a");
    let (part, attempt, reason) = (lost.as_str().into(), Attempt(0), AttemptReason::Overtaken);
    assert!(actions.contains(&Action::Cancel { part, attempt, reason }), "{actions:?}");
    assert!(parked(&actions).is_empty(), "it answers others");
    let again = sends(&router.step(now + 5.0, vec![ended(&lost, 0, "a", Outcome::Cancelled, 1.0)]));
    assert_eq!(again, [(lost, "b".to_string())]);
}

#[test]
fn an_unsafe_part_that_was_passed_over_stays_out_and_others_avoid_its_replica() {
    let mut s = settings(RepeatPolicy::Unsafe);
    s.classes[0].aim = 50_000.0;
    let (mut router, now) = settled(s, &["a", "b"]);
    let (_, actions, now) = lose_one(&mut router, now, "a");
    assert!(!actions.iter().any(|action| matches!(action, Action::Cancel { .. })), "{actions:?}");
    let sent = sends(&router.step(now + 5.0, (200..204).flat_map(|n| query(n, 1, now + 3000.0)).collect()));
    assert!(sent.len() == 4 && sent.iter().all(|(_, to)| to == "b"), "{sent:?}");
}

#[test]
fn a_connection_that_breaks_is_one_failure_and_no_kill() {
    let (mut router, now) = settled(settings(RepeatPolicy::Safe), &["a", "b", "c", "d"]);
    let reset = |sent: &[(String, String)], at: &[&str]| -> Vec<Event> {
        let lost = sent.iter().filter(|(_, to)| at.contains(&to.as_str()));
        lost.map(|(part, to)| ended(part, 0, to, Outcome::Reset, 30.0)).collect()
    };
    // However many parts of a query were on it, the query is not what killed the replica.
    let sent = sends(&router.step(now, query(1, 16, now + 3000.0)));
    let events = reset(&sent, &["c"]);
    let lost = events.len();
    let after = router.step(now + 30.0, events);
    let again = sends(&after);
    assert!(lost >= 2, "{sent:?}");
    assert_eq!((finals(&after).len(), again.len()), (0, lost), "all go again");
    let others = sent.iter().filter(|(_, to)| to != "c").map(|(part, to)| (part, 0, to));
    let again = again.iter().map(|(part, to)| (part, 1, to));
    let events =
        others.chain(again).map(|(part, n, to)| ended(part, n, to, Outcome::Completed, 50.0)).collect();
    assert_eq!(finals(&router.step(now + 80.0, events)), ["whole q1"]);
    // Nor has the replica earned a record of so many failures: it is still worth some parts.
    let now = now + 500.0;
    run(&mut router, now - 415.0, now - 5.0);
    let sent = sends(&router.step(now, query(2, 16, now + 3500.0)));
    assert!(sent.iter().any(|(_, to)| to == "c"), "{sent:?}");
    // Three replicas that reset parts of a query of which nothing has completed may be its doing.
    let events = reset(&sent, &["a", "b"]);
    assert!(finals(&router.step(now + 25.0, events)).is_empty());
    let events = reset(&sent, &["d"]);
    assert_eq!(finals(&router.step(now + 30.0, events)), ["fail q2"]);
}

#[test]
fn nothing_is_refused_while_replicas_report_that_they_have_room() {
    let refused = |utilization: Option<f64>| {
        let names = ["a", "b", "c", "d"];
        let (mut router, mut now) = settled(settings(RepeatPolicy::Safe), &names);
        // Three of four queries are slow to the end of their time.
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
            finals(&actions).contains(&format!("refuse q{n}"))
        })
    };
    assert!(refused(None), "without reports, slowness is all there is to go by");
    assert!(refused(Some(0.95)));
    assert!(!refused(Some(0.4)), "whatever makes queries slow, it is not too much work");
}

#[test]
fn unsafe_parts_avoid_a_replica_that_loses_one_part_in_ten() {
    let mut s = settings(RepeatPolicy::Unsafe);
    s.classes.push(class(RepeatPolicy::Safe));
    let (mut router, mut now) = settled(s, &["a", "b"]);
    // Safe parts go on, and every tenth at `a` is lost; the last eight of those there were all answered.
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
fn resets_at_replicas_that_go_on_answering_hold_nothing_back() {
    let names = ["a", "b", "c", "d"];
    let (mut router, now) = settled(settings(RepeatPolicy::Safe), &names);
    let sent = sends(&router.step(now, query(1, 16, now + 3000.0)));
    // Half of the fleet breaks a connection; other parts that were there are answered soon after.
    let broken: Vec<_> = sent.iter().filter(|(_, to)| to == "a" || to == "b").collect();
    let (first, rest) = broken.split_at(broken.len() / 2);
    let events = first.iter().map(|(part, to)| ended(part, 0, to, Outcome::Reset, 30.0)).collect();
    router.step(now + 30.0, events);
    let events = rest.iter().map(|(part, to)| ended(part, 0, to, Outcome::Completed, 50.0)).collect();
    router.step(now + 50.0, events);
    assert_eq!(sends(&router.step(now + 200.0, query(2, 4, now + 3000.0))).len(), 4);
}

/// A replica that hangs may read late that a part was given up: until it is told to have ended, it is out, and when it
/// may go again is no matter of guesses. From then on it goes to any replica that is not parked, also if none has answered.
#[test]
fn a_part_given_up_in_silence_goes_again_once_its_attempt_has_ended_and_not_before() {
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
