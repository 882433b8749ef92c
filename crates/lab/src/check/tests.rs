use super::*;

fn answer(query: &str) -> Answer {
    Answer {
        query: query.into(),
        aggregator: 0,
        asked_at: 0.0,
        answered_at: 10.0,
        timeout_ms: 100.0,
        safe: false,
        refused: false,
        whole: true,
        served: true,
        unread: false,
        requested: vec![(1, 0.5), (2, 0.5)],
        values: vec![(1, "v".into()), (2, "v".into())],
        least_share: 0.4,
    }
}

fn part(query: &str, at: f64, ran: bool) -> Arrival {
    Arrival { at, store: 3, part: format!("{query}.1"), shard: 1, ran, from: None, timeout_ms: 0.0 }
}

#[test]
fn each_violation_is_reported_and_a_correct_run_has_none() {
    let v = |_: &str| "v".to_string();
    let checker = Checker::default();
    checker.check_arrival(part("a", 5.0, true));
    checker.check_answer(&answer("a"), v);
    checker.register_query("a".into(), [1].into_iter(), false);
    assert!(checker.violations().is_empty());
    checker.set_draining(3, Some(100.0));
    checker.check_arrival(part("b", 2000.0, true));
    assert!(checker.violations().is_empty(), "new parts are allowed for 2 s");
    checker.check_arrival(part("b", 2200.0, true));
    checker.check_answer(&Answer { refused: true, served: false, ..answer("b") }, v);
    checker.register_query("b".into(), [1].into_iter(), false);
    checker.set_draining(3, None);
    for at in 0..4 {
        checker.check_arrival(part("c", 5000.0 + f64::from(at), false));
    }
    checker.check_answer(&Answer { answered_at: 1000.0, ..answer("c") }, v);
    checker.check_answer(&Answer { values: vec![(1, "v".into())], ..answer("d") }, v);
    checker.check_answer(&Answer { values: vec![], whole: false, ..answer("e") }, v);
    checker.check_answer(&answer("f"), |_| "another".into());
    let broken: Vec<_> = checker.violations().into_iter().map(|(rule, (count, _))| (rule, count)).collect();
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
fn drains_during_a_partition_and_queries_lost_while_unavailable_are_no_violations() {
    let checker = Checker::default();
    let from = |at, no| Arrival { from: Some(no), ..part("a", at, true) };
    checker.set_draining(3, Some(100.0));
    checker.set_partitioned(1, None);
    checker.check_arrival(from(5000.0, 1));
    checker.set_partitioned(1, Some(6000.0));
    checker.check_arrival(from(8000.0, 1));
    assert!(checker.violations().is_empty());
    checker.check_arrival(from(9500.0, 1));
    checker.check_arrival(Arrival { from: Some(0), ..part("b", 2500.0, true) });
    assert_eq!(checker.violations()["drain"].0, 2, "n-1 must know of the drain at 7000, and n-0 at once");
    checker.begin_unavailable(0, 50.0);
    checker.check_unanswered(&answer("c"));
    checker.check_unanswered(&Answer { answered_at: 60.0, ..answer("d") });
    assert_eq!(checker.violations()["lost"].0, 1, "c ended before n-0 was away");
    checker.end_unavailable(0, 50.0, 200.0);
    checker.check_unanswered(&Answer { asked_at: 200.0, answered_at: 210.0, ..answer("e") });
    checker.check_unanswered(&Answer { asked_at: 201.0, answered_at: 210.0, ..answer("f") });
    assert_eq!(checker.violations()["lost"].0, 2, "f was asked when n-0 served again");
    assert_eq!(checker.attempts_by_second()[&2], [1, 0]);
}

#[test]
fn attempts_after_the_client_left_or_with_too_long_timeouts_and_cold_overload_are_reported() {
    let checker = Checker::default();
    checker.record_client_deadline("a", 1000.0, 500.0);
    let arrival = |query: &str, at, timeout_ms| Arrival { timeout_ms, ..part(query, at, false) };
    checker.check_arrival(arrival("a", 1200.0, 450.0));
    assert!(checker.violations().is_empty(), "300 ms left, and 150 ms are tolerated");
    checker.check_arrival(arrival("a", 1200.0, 451.0));
    checker.record_client_left("b", 2000.0);
    checker.check_arrival(arrival("b", 2100.0, 0.0));
    checker.check_arrival(arrival("b", 2101.0, 0.0));
    // At its start the tolerated rate is 2 x 0.5 x 10, and the limit is 10 + 3 x sqrt(10) + 3.
    checker.record_cold_start(
        3,
        ColdStart {
            since: 5000.0,
            capacity: 10.0,
            initial_share: 0.5,
            warm_ms: 10_000.0,
            tolerated_multiple: 2.0,
        },
    );
    for no in 0..22 {
        checker.check_arrival(arrival(&format!("c{no}"), 5000.0 + f64::from(no), 0.0));
    }
    checker.report_violation("crash", "n-0 ended with 1");
    checker.set_not_accepting(0, 0.0, 10.0);
    checker.check_unanswered(&answer("d"));
    checker.check_unanswered(&Answer { asked_at: 11.0, ..answer("e") });
    let broken: Vec<_> = checker.violations().into_iter().map(|(rule, (count, _))| (rule, count)).collect();
    let expected = [("crash", 1), ("deadline", 1), ("failback", 0), ("left", 1), ("lost", 1)];
    for (rule, count) in expected {
        let found = broken.iter().find(|(known, _)| known == rule).map_or(0, |(_, count)| *count);
        assert!(found == count || (rule == "failback" && found > 0), "{rule}: {found}");
    }
}

#[test]
fn the_late_limit_replaces_the_usual_tolerance() {
    let checker = Checker::default();
    checker.set_late_limit(500.0);
    checker.check_answer(&Answer { answered_at: 600.0, ..answer("a") }, |_| "v".to_string());
    assert!(checker.violations().is_empty());
    checker.check_answer(&Answer { answered_at: 601.0, ..answer("b") }, |_| "v".to_string());
    assert_eq!(checker.violations()["in time"].0, 1);
}
