use super::*;

fn answer(query: &str) -> Answer {
    Answer {
        query: query.into(),
        aggregator: 0,
        asked: 0.0,
        at: 10.0,
        wait: 100.0,
        safe: false,
        refused: false,
        whole: true,
        served: true,
        unread: false,
        asked_for: vec![(1, 0.5), (2, 0.5)],
        values: vec![(1, "v".into()), (2, "v".into())],
        least_share: 0.4,
    }
}

fn part(query: &str, at: f64, ran: bool) -> Arrival {
    Arrival { at, store: 3, part: format!("{query}.1"), shard: 1, ran, from: None, told_ms: 0.0 }
}

#[test]
fn each_rule_is_found_broken_and_a_sound_run_breaks_none() {
    let v = |_: &str| "v".to_string();
    let checker = Checker::default();
    checker.arrived(part("a", 5.0, true));
    checker.answered(&answer("a"), v);
    checker.asked("a".into(), [1].into_iter(), false);
    assert!(checker.broken().is_empty());
    checker.drains(3, Some(100.0));
    checker.arrived(part("b", 2000.0, true));
    assert!(checker.broken().is_empty(), "new parts are allowed for 2 s");
    checker.arrived(part("b", 2200.0, true));
    checker.answered(&Answer { refused: true, served: false, ..answer("b") }, v);
    checker.asked("b".into(), [1].into_iter(), false);
    checker.drains(3, None);
    for at in 0..4 {
        checker.arrived(part("c", 5000.0 + f64::from(at), false));
    }
    checker.answered(&Answer { at: 1000.0, ..answer("c") }, v);
    checker.answered(&Answer { values: vec![(1, "v".into())], ..answer("d") }, v);
    checker.answered(&Answer { values: vec![], whole: false, ..answer("e") }, v);
    checker.answered(&answer("f"), |_| "another".into());
    let broken: Vec<_> = checker.broken().into_iter().map(|(rule, (count, _))| (rule, count)).collect();
    let expected = [
        ("attempts", 1),
        ("drain", 1),
        ("duplicate", 1),
        ("honest", 3),
        ("in time", 1),
        ("least share", 1),
        ("refusals", 1),
    ];
    assert_eq!(broken, expected.map(|(rule, count)| (rule.to_string(), count)));
}

#[test]
fn what_an_aggregator_was_kept_from_knowing_or_answering_is_not_held_against_it() {
    let checker = Checker::default();
    let from = |at, no| Arrival { from: Some(no), ..part("a", at, true) };
    checker.drains(3, Some(100.0));
    checker.untold(1, None);
    checker.arrived(from(5000.0, 1));
    checker.untold(1, Some(6000.0));
    checker.arrived(from(8000.0, 1));
    assert!(checker.broken().is_empty());
    checker.arrived(from(9500.0, 1));
    checker.arrived(Arrival { from: Some(0), ..part("b", 2500.0, true) });
    assert_eq!(checker.broken()["drain"].0, 2, "n-1 must know of the drain at 7000, and n-0 at once");
    checker.away(0, 50.0, f64::INFINITY);
    checker.lost(&answer("c"));
    checker.lost(&Answer { at: 60.0, ..answer("d") });
    assert_eq!(checker.broken()["lost"].0, 1, "c ended before n-0 was away");
    assert_eq!(checker.sent()[&2], [1, 0]);
}

#[test]
fn attempts_for_clients_that_left_or_have_less_time_and_falls_of_cold_run_stores_are_found() {
    let checker = Checker::default();
    checker.wrote("a", 1000.0, 500.0);
    let told = |query: &str, at, told_ms| Arrival { told_ms, ..part(query, at, false) };
    checker.arrived(told("a", 1200.0, 450.0));
    assert!(checker.broken().is_empty(), "300 ms left, and 150 ms are tolerated");
    checker.arrived(told("a", 1200.0, 451.0));
    checker.left("b", 2000.0);
    checker.arrived(told("b", 2100.0, 0.0));
    checker.arrived(told("b", 2101.0, 0.0));
    // At its start the tolerated rate is 2 x 0.5 x 10, and the limit is 10 + 3 x sqrt(10) + 3.
    checker.started(3, Cold { since: 5000.0, capacity: 10.0, from: 0.5, warm_ms: 10_000.0, multiple: 2.0 });
    for no in 0..22 {
        checker.arrived(told(&format!("c{no}"), 5000.0 + f64::from(no), 0.0));
    }
    checker.breaks("crash", "n-0 ended with 1");
    checker.closed(0, 0.0, 10.0);
    checker.lost(&answer("d"));
    checker.lost(&Answer { asked: 11.0, ..answer("e") });
    let broken: Vec<_> = checker.broken().into_iter().map(|(rule, (count, _))| (rule, count)).collect();
    let expected = [("crash", 1), ("deadline", 1), ("failback", 0), ("left", 1), ("lost", 1)];
    for (rule, count) in expected {
        let found = broken.iter().find(|(known, _)| known == rule).map_or(0, |(_, count)| *count);
        assert!(found == count || (rule == "failback" && found > 0), "{rule}: {found}");
    }
}

#[test]
fn an_answer_is_lost_half_a_second_late_where_that_is_judged() {
    let checker = Checker::default();
    checker.lost_after(500.0);
    checker.answered(&Answer { at: 600.0, ..answer("a") }, |_| "v".to_string());
    assert!(checker.broken().is_empty());
    checker.answered(&Answer { at: 601.0, ..answer("b") }, |_| "v".to_string());
    assert_eq!(checker.broken()["in time"].0, 1);
}
