//! A run store that is slow and, while others are out, alone in holding some shards.

mod common;
use common::*;
use ironpaddle::api::*;
use ironpaddle::Router;

/// Shard 0 is held by a sound replica and shard 1 by a slow one, which has been seen to take 300 ms for a part. Classes
/// are worth what is given. The time after that.
fn known(worths: &[f64]) -> (Router, Millis) {
    let mut s = settings(RepeatPolicy::Safe);
    (s.cells, s.cells_per_shard, s.worth_by_work) = (2, 1, true);
    s.classes = worths.iter().map(|worth| Class { worth: *worth, ..class(RepeatPolicy::Safe) }).collect();
    let mut router = Router::new(s, 7).expect("settings are sound");
    let at = |name: &str, cell| Replica { cell, ..replica(name) };
    router.step(0.0, vec![Event::List(ListUpdate::Full(vec![at("sound", 0), at("slow", 1)]))]);
    let mut now = 0.0;
    for number in 1..=40 {
        let (shard, took) = if number <= 38 { (0, 10.0) } else { (1, 300.0) };
        let sent = sends(&router.step(now, part_of(number, 0, shard, now + 3000.0)));
        run(&mut router, now + 5.0, now + took - 5.0);
        let ends = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::Completed, took)).collect();
        assert_eq!(finals(&router.step(now + took, ends)), [format!("whole q{number}")]);
        now += took + 5.0;
    }
    (router, now)
}

/// A query of one part.
fn part_of(number: u64, class: usize, shard: u32, deadline: Millis) -> Vec<Event> {
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

/// Called back, the part would go to the same replica, which works on at the first one all the same.
#[test]
fn a_part_that_no_other_could_take_is_waited_for_as_long_as_its_replicas_pace_explains() {
    let (mut router, now) = known(&[1.0]);
    let sent = sends(&router.step(now, part_of(50, 0, 1, now + 3000.0)));
    assert_eq!(sent, [("q50.0".to_string(), "slow".to_string())]);
    let called_back = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    // The patience for a silent replica is 400 ms here, and twice its usual 300 ms is nothing strange.
    assert!(!called_back(&run(&mut router, now + 5.0, now + 600.0)));
    assert!(called_back(&run(&mut router, now + 605.0, now + 1000.0)), "one that hangs is still told");
}

/// Parked or not, it works off a part in 300 ms, and an aim of 1 s leaves time for two or three.
#[test]
fn a_parked_replica_that_is_alone_is_sent_no_more_than_it_works_off_in_time() {
    for parked in [false, true] {
        let (mut router, now) = known(&[1.0]);
        if parked {
            let sent = sends(&router.step(now, part_of(50, 0, 1, now + 200.0)));
            let actions =
                router.step(now + 1.0, vec![ended(&sent[0].0, 0, "slow", Outcome::ConnectFailed, 1.0)]);
            assert!(actions.contains(&Action::Log("slow parked".into())), "{actions:?}");
            run(&mut router, now + 5.0, now + 300.0);
        }
        let (mut sent, mut refused) = (0, 0);
        for number in 51..=70 {
            let actions = router.step(now + 305.0, part_of(number, 0, 1, now + 3000.0));
            sent += sends(&actions).len();
            refused += finals(&actions).iter().filter(|end| end.starts_with("refuse")).count();
        }
        assert!(
            (1..=3).contains(&sent) && sent + refused == 20,
            "parked {parked}: {sent} sent, {refused} refused"
        );
    }
}

#[test]
fn what_a_laden_replica_can_still_do_goes_to_the_dear() {
    let (mut router, now) = known(&[1.0, 5.0]);
    // Both kinds come in turn, so that what is usual lies between them; those of shard 0 end at once.
    for number in 50..80 {
        let at = now + (number - 50) as f64 * 10.0;
        let sent = sends(&router.step(at, part_of(number, number as usize % 2, 0, at + 3000.0)));
        let ends = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::Completed, 5.0)).collect();
        router.step(at + 5.0, ends);
    }
    let mut number = 100;
    let mut taken = |class: usize| {
        let mut taken = 0;
        while taken < 10 {
            number += 1;
            if sends(&router.step(now + 300.0, part_of(number, class, 1, now + 3300.0))).is_empty() {
                break;
            }
            taken += 1;
        }
        taken
    };
    let (cheap, dear) = (taken(0), taken(1));
    assert!((1..10).contains(&cheap), "{cheap}");
    assert!((1..10).contains(&dear), "{dear} after {cheap} cheap ones");
}

/// Parking is bounded to a quarter of the fleet, and where more fall silent at once the rest of them would be sent on.
#[test]
fn parts_avoid_replicas_that_owe_answers_while_one_answers() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b", "c", "d"]);
    let mut asked = std::collections::BTreeMap::new();
    for number in 1..=80 {
        let now = number as f64 * 50.0;
        let events = query(number, 1, now + 3000.0);
        for (part, to) in sends(&router.step(now, events)) {
            // From the middle on all but one say no more.
            if number <= 40 || to == "a" {
                router.step(now + 10.0, vec![ended(&part, 0, &to, Outcome::Completed, 10.0)]);
            }
            if number > 60 {
                *asked.entry(to).or_insert(0) += 1;
            }
        }
        run(&mut router, now + 15.0, now + 45.0);
    }
    let of_a = asked.get("a").copied().unwrap_or(0);
    assert_eq!(of_a, asked.values().sum::<i32>(), "{asked:?}");
}
