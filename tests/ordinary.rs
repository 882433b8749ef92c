//! The ordinary path by figures worked out by hand: intervals of 250 ms (a quarter of the 1 s aim).

mod common;
use common::*;
use ironpaddle::api::*;

/// Two replicas, each heard once: `a` did one cost unit in 50 ms, `b` in 200 ms. The time is 230 ms.
fn heard() -> ironpaddle::Router {
    let mut router = start(Settings { max_parts_per_call: 1, ..settings(RepeatPolicy::Safe) }, &["a", "b"]);
    // Unheard, both do a unit in a tenth of the aim: 100 ms, so the second part finishes first on the other.
    let sent = sends(&router.step(10.0, query(1, 2, 3000.0)));
    assert_ne!(sent[0].1, sent[1].1);
    for (replica, took) in [("a", 50.0), ("b", 200.0)] {
        let part =
            sent.iter().find(|(_, to)| to == replica).map(|(part, _)| part.clone()).expect("both got one");
        run(&mut router, if took > 100.0 { 65.0 } else { 15.0 }, took + 5.0);
        router.step(10.0 + took, vec![ended(&part, 0, replica, Outcome::Completed, took)]);
    }
    run(&mut router, 215.0, 230.0);
    router
}

fn to_a(sent: &[(String, String)]) -> usize {
    sent.iter().filter(|(_, to)| to == "a").count()
}

#[test]
fn parts_go_to_the_least_finish_counting_what_was_sent_in_the_interval() {
    // At the turn of an interval: a finishes in 50, 100, 150 ms where b would in 200; then they tie at 200, and
    // whoever takes the fourth, the other takes the fifth.
    let sent = sends(&heard().step(250.0, query(2, 5, 3250.0)));
    assert_eq!((sent.len(), to_a(&sent[..3]), to_a(&sent)), (5, 3, 4));
}

#[test]
fn a_replica_past_dr_times_the_time_left_is_skipped_while_another_has_room() {
    // 60 ms are left: a has room for 1.2 units, b for 0.3; past that the least finish takes them all.
    let mut router = heard();
    run(&mut router, 235.0, 435.0);
    let sent = sends(&router.step(440.0, query(2, 3, 3440.0)));
    assert_eq!((sent.len(), to_a(&sent)), (3, 3));
    // 220 ms are left: a has room for 4.4 units, b for 1.1. Of six parts b gets one, however they tie.
    let mut router = heard();
    run(&mut router, 235.0, 275.0);
    let sent = sends(&router.step(280.0, query(2, 6, 3280.0)));
    assert_eq!((sent.len(), to_a(&sent)), (6, 5));
}

#[test]
fn the_last_sample_alone_sets_the_rate() {
    let mut router = heard();
    let sent = sends(&router.step(250.0, query(2, 1, 3250.0)));
    assert_eq!(sent[0].1, "a");
    run(&mut router, 255.0, 545.0);
    // The next part on a takes 300 ms: its rate falls below b's at once.
    router.step(550.0, vec![ended("q2.0", 0, "a", Outcome::Completed, 300.0)]);
    run(&mut router, 555.0, 745.0);
    assert_eq!(sends(&router.step(750.0, query(3, 1, 3750.0)))[0].1, "b");
}

#[test]
fn a_partial_answer_leaves_at_its_moment_counted_from_when_the_query_came_in() {
    let mut s = settings(RepeatPolicy::Safe);
    s.classes[0].least_share = 0.4;
    let mut router = start(s, &["a"]);
    let mut events = query(1, 2, 4000.0);
    if let Event::Query(query) = &mut events[0] {
        query.arrived = 100.0;
    }
    router.step(104.0, events);
    // Each wake comes in time: a router that runs late gives it earlier.
    run(&mut router, 105.0, 295.0);
    router.step(300.0, vec![ended("q1.0", 0, "a", Outcome::Completed, 196.0)]);
    // Two sweeps of 10 ms before the aim of 1000 ms.
    assert!(finals(&run(&mut router, 305.0, 1075.0)).is_empty());
    assert!(finals(&router.step(1079.0, vec![Event::Wake])).is_empty());
    assert_eq!(finals(&router.step(1080.0, vec![Event::Wake])), ["partial q1"]);
}
