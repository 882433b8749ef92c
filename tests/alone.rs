//! Decisions about a slow replica that is the only holder of a shard.

mod common;
use common::*;
use ironpaddle::api::*;
use ironpaddle::Router;

/// Returns a router and the current time. Shard 0 is held by the healthy replica `sound`, and shard 1 by `slow`, which
/// has taken 300 ms per part so far. There is one class per entry of `worths`.
fn router_with_slow_holder(worths: &[f64]) -> (Router, Millis) {
    let mut s = settings(RepeatPolicy::Safe);
    (s.cells, s.cells_per_shard, s.worth_by_work) = (2, 1, true);
    s.classes = worths.iter().map(|worth| Class { worth: *worth, ..class(RepeatPolicy::Safe) }).collect();
    let mut router = Router::new(s, 7).expect("settings are sound");
    let at = |name: &str, cell| Replica { cell, ..replica(name) };
    router.step(0.0, vec![Event::List(ListUpdate::Full(vec![at("sound", 0), at("slow", 1)]))]);
    let mut now = 0.0;
    for number in 1..=40 {
        let (shard, took) = if number <= 38 { (0, 10.0) } else { (1, 300.0) };
        let sent = sends(&router.step(now, single_part_query(number, 0, shard, now + 3000.0)));
        run(&mut router, now + 5.0, now + took - 5.0);
        let ends = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::Completed, took)).collect();
        assert_eq!(final_answers(&router.step(now + took, ends)), [format!("whole q{number}")]);
        now += took + 5.0;
    }
    (router, now)
}

/// Returns the events of a query with one part.
fn single_part_query(number: u64, class: usize, shard: u32, deadline: Millis) -> Vec<Event> {
    let mut events = query(number, 1, deadline);
    for event in &mut events {
        match event {
            Event::Query(query) => query.class = ClassIndex(class),
            Event::Part(part) => part.shard = Shard(shard),
            _ => {}
        }
    }
    events
}

/// A cancelled part would go back to the only holder, which would still be working on the first attempt.
#[test]
fn a_part_of_the_only_holder_is_not_cancelled_while_its_usual_latency_explains_the_wait() {
    let (mut router, now) = router_with_slow_holder(&[1.0]);
    let sent = sends(&router.step(now, single_part_query(50, 0, 1, now + 3000.0)));
    assert_eq!(sent, [("q50.0".to_string(), "slow".to_string())]);
    let has_cancel = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    // The silence timeout is 400 ms here, but twice the usual 300 ms of this replica is not unusual.
    assert!(!has_cancel(&run(&mut router, now + 5.0, now + 600.0)));
    assert!(has_cancel(&run(&mut router, now + 605.0, now + 1000.0)), "a hanging replica is still detected");
}

/// Parked or not, the replica needs 300 ms per part, so two or three parts fit into the aim of 1 s.
#[test]
fn an_only_holder_gets_no_more_parts_than_it_can_complete_in_time_parked_or_not() {
    for parked in [false, true] {
        let (mut router, now) = router_with_slow_holder(&[1.0]);
        if parked {
            let sent = sends(&router.step(now, single_part_query(50, 0, 1, now + 200.0)));
            let actions =
                router.step(now + 1.0, vec![ended(&sent[0].0, 0, "slow", Outcome::ConnectFailed, 1.0)]);
            assert!(actions.contains(&Action::Log("slow parked".into())), "{actions:?}");
            run(&mut router, now + 5.0, now + 300.0);
        }
        let (mut sent, mut refused) = (0, 0);
        for number in 51..=70 {
            let actions = router.step(now + 305.0, single_part_query(number, 0, 1, now + 3000.0));
            sent += sends(&actions).len();
            refused += final_answers(&actions).iter().filter(|end| end.starts_with("refuse")).count();
        }
        assert!(
            (1..=3).contains(&sent) && sent + refused == 20,
            "parked {parked}: {sent} sent, {refused} refused"
        );
    }
}

#[test]
fn the_remaining_capacity_of_a_loaded_replica_goes_to_queries_of_higher_worth() {
    let (mut router, now) = router_with_slow_holder(&[1.0, 5.0]);
    // Queries of both classes alternate, so that the average worth lies between theirs; parts of shard 0 end at once.
    for number in 50..80 {
        let at = now + (number - 50) as f64 * 10.0;
        let sent = sends(&router.step(at, single_part_query(number, number as usize % 2, 0, at + 3000.0)));
        let ends = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::Completed, 5.0)).collect();
        router.step(at + 5.0, ends);
    }
    let mut number = 100;
    let mut accepted = |class: usize| {
        let mut accepted = 0;
        while accepted < 10 {
            number += 1;
            if sends(&router.step(now + 300.0, single_part_query(number, class, 1, now + 3300.0))).is_empty()
            {
                break;
            }
            accepted += 1;
        }
        accepted
    };
    let (cheap, costly) = (accepted(0), accepted(1));
    assert!((1..10).contains(&cheap), "{cheap}");
    assert!((1..10).contains(&costly), "{costly} after {cheap} cheap ones");
}

/// Only a quarter of the fleet may be parked for silence; without this rule, further silent replicas would get parts.
#[test]
fn parts_avoid_silent_replicas_while_another_answers() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b", "c", "d"]);
    let mut sent_counts = std::collections::BTreeMap::new();
    for number in 1..=80 {
        let now = number as f64 * 50.0;
        let events = query(number, 1, now + 3000.0);
        for (part, to) in sends(&router.step(now, events)) {
            // From query 41 on, only `a` answers.
            if number <= 40 || to == "a" {
                router.step(now + 10.0, vec![ended(&part, 0, &to, Outcome::Completed, 10.0)]);
            }
            if number > 60 {
                *sent_counts.entry(to).or_insert(0) += 1;
            }
        }
        run(&mut router, now + 15.0, now + 45.0);
    }
    let sent_to_a = sent_counts.get("a").copied().unwrap_or(0);
    assert_eq!(sent_to_a, sent_counts.values().sum::<i32>(), "{sent_counts:?}");
}
