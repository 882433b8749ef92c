//! When the list of run stores is asked for, in virtual time.

use std::collections::VecDeque;

use ironpaddle::asking::{
    ListRequests, WatchSchedule, CALL_TIMEOUT, MAX_BACKOFF, MAX_LIST_DELAY, WATCH_GRACE, WATCH_WAIT,
};
use ironpaddle::hash::draw;

/// A service that answers in turn, each call in so many milliseconds, and fails what has waited for 2 s: calls
/// that wait in vain take up none of its time. Returns when each of `routers` was told, if it was within a minute.
fn told(routers: u32, aim: f64, each: u32) -> Vec<Option<u32>> {
    let mut asking = vec![ListRequests::default(); routers as usize];
    let mut told = vec![None; routers as usize];
    let (mut queue, mut chance, mut free) = (VecDeque::new(), 7, 0);
    for now in 0..60_000 {
        for (at, asking) in asking.iter_mut().enumerate() {
            if asking.start_if_due(f64::from(now), 1e9) {
                queue.push_back((at, now));
            }
        }
        while queue.front().is_some_and(|(_, since)| now - since >= 2000) {
            let Some((at, _)) = queue.pop_front() else { break };
            let chance = draw(&mut chance);
            asking[at].record_failure(f64::from(now), aim, (10_000.0, routers), chance);
        }
        if now >= free {
            if let Some((at, _)) = queue.pop_front() {
                asking[at].record_list(true);
                told[at] = Some(now);
                free = now + each;
            }
        }
    }
    told
}

#[test]
fn a_hundred_routers_that_start_at_once_are_all_told_by_a_service_with_little_room() {
    // 20 calls a second: 2 s of the start's calls are answered, and the rest must not keep it full.
    let told = told(100, 380.0, 50);
    assert!(told.iter().all(Option::is_some), "{told:?}");
    assert!(told.iter().flatten().max() < Some(&20_000), "{told:?}");
}

#[test]
fn few_routers_ask_again_as_soon_as_a_lone_one() {
    let wait = |routers| {
        let mut asking = ListRequests::default();
        asking.record_failure(0.0, 400.0, (10_000.0, routers), 0.5);
        (0..10_000).map(f64::from).find(|now| asking.start_if_due(*now, 400.0))
    };
    assert_eq!(wait(1), Some(200.0));
    assert_eq!(wait(4), Some(200.0));
    // Three quarters of the longest pause, as chance has it: a longer one would tell too late.
    assert_eq!(wait(100), Some(0.75 * MAX_BACKOFF));
}

#[test]
fn an_agent_is_watched_at_once_and_again_soon_after_each_break() {
    let mut agent = WatchSchedule::for_agent();
    assert_eq!(agent.due_at(), Some(0.0));
    assert!(agent.open_if_due(5.0) && !agent.open_if_due(6.0));
    assert_eq!(agent.due_at(), None);
    agent.mark_broken();
    assert!(!agent.open_if_due(1000.0));
    // The watch goes on if its next call comes within 200 ms.
    let again = agent.due_at().unwrap();
    assert!(again < 1200.0 && !agent.open_if_due(again - 1.0) && agent.open_if_due(again));
}

#[test]
fn silent_watches_are_opened_anew_before_what_they_missed_counts_as_told_and_not_all_at_once() {
    let mut chance = 7;
    let mut watches = vec![WatchSchedule::for_service(); 300];
    assert!(watches.iter_mut().all(|watch| !watch.open_if_due(0.0) && watch.due_at().is_none()));
    watches.iter_mut().for_each(|watch| watch.mark_silent(draw(&mut chance)));
    // Each is silent so long after its wait, and the call that opens it anew takes its own time before all is told.
    let left = MAX_LIST_DELAY - WATCH_WAIT - WATCH_GRACE - CALL_TIMEOUT;
    let mut begun = vec![0; 5];
    for now in 0..left as u32 {
        let count =
            watches.iter_mut().filter_map(|watch| watch.open_if_due(f64::from(now)).then_some(())).count();
        begun[now as usize * 5 / left as usize] += count;
    }
    let last = watches.iter_mut().filter_map(|watch| watch.open_if_due(left).then_some(())).count();
    assert_eq!(begun.iter().sum::<usize>() + last, 300);
    assert!(begun.iter().all(|count| (30..=90).contains(count)), "{begun:?}");
}

#[test]
fn no_pause_after_a_failure_is_too_long_for_a_change_to_be_told_in_time() {
    for routers in [1, 30, 300] {
        for chance in [0.0, 0.5, 1.0] {
            let mut asking = ListRequests::default();
            for failure in 1..12 {
                let now = f64::from(failure) * 1e6;
                assert!(asking.start_if_due(now, 5000.0));
                asking.record_failure(now, 5000.0, (600_000.0, routers), chance);
                // A call that began just before the service was back fails after its time, and one is made after
                // the pause.
                let told = CALL_TIMEOUT + MAX_BACKOFF + CALL_TIMEOUT;
                assert!(
                    told <= MAX_LIST_DELAY && asking.start_if_due(now + MAX_BACKOFF, 5000.0),
                    "{routers} {failure}"
                );
            }
        }
    }
}
