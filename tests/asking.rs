//! When the run store list is requested, in virtual time.

use std::collections::VecDeque;

use ironpaddle::asking::{
    ListRequests, WatchSchedule, CALL_TIMEOUT, MAX_BACKOFF, MAX_LIST_DELAY, WATCH_GRACE, WATCH_WAIT,
};
use ironpaddle::hash::draw;

/// Simulates a discovery service that answers one call at a time in `call_ms` ms. Calls that have waited for 2 s fail
/// without using service time. Returns when each router received the list, or `None` if that took over a minute.
fn delivery_times(routers: u32, aim: f64, call_ms: u32) -> Vec<Option<u32>> {
    let mut requests = vec![ListRequests::default(); routers as usize];
    let mut delivered = vec![None; routers as usize];
    let (mut queue, mut random, mut free) = (VecDeque::new(), 7, 0);
    for now in 0..60_000 {
        for (index, requests) in requests.iter_mut().enumerate() {
            if requests.start_if_due(f64::from(now), 1e9) {
                queue.push_back((index, now));
            }
        }
        while queue.front().is_some_and(|(_, since)| now - since >= 2000) {
            let Some((index, _)) = queue.pop_front() else { break };
            let random = draw(&mut random);
            requests[index].record_failure(f64::from(now), aim, (10_000.0, routers), random);
        }
        if now >= free {
            if let Some((index, _)) = queue.pop_front() {
                requests[index].record_list(true);
                delivered[index] = Some(now);
                free = now + call_ms;
            }
        }
    }
    delivered
}

#[test]
fn a_hundred_routers_that_start_at_once_all_receive_the_list_from_a_slow_service() {
    // At 20 calls a second, the service answers 2 s of the initial burst; the retries of the rest must not saturate it.
    let delivered = delivery_times(100, 380.0, 50);
    assert!(delivered.iter().all(Option::is_some), "{delivered:?}");
    assert!(delivered.iter().flatten().max() < Some(&20_000), "{delivered:?}");
}

#[test]
fn a_few_routers_retry_as_soon_as_a_single_one() {
    let first_wait = |routers| {
        let mut requests = ListRequests::default();
        requests.record_failure(0.0, 400.0, (10_000.0, routers), 0.5);
        (0..10_000).map(f64::from).find(|now| requests.start_if_due(*now, 400.0))
    };
    assert_eq!(first_wait(1), Some(200.0));
    assert_eq!(first_wait(4), Some(200.0));
    // With jitter 0.5 that is three quarters of the maximum; a longer backoff would deliver changes too late.
    assert_eq!(first_wait(100), Some(0.75 * MAX_BACKOFF));
}

#[test]
fn an_agent_is_watched_at_once_and_again_soon_after_each_failure() {
    let mut agent = WatchSchedule::for_agent();
    assert_eq!(agent.due_at(), Some(0.0));
    assert!(agent.open_if_due(5.0) && !agent.open_if_due(6.0));
    assert_eq!(agent.due_at(), None);
    agent.mark_broken();
    assert!(!agent.open_if_due(1000.0));
    // The service continues the watch if the next call arrives within 200 ms.
    let reopen_at = agent.due_at().unwrap();
    assert!(reopen_at < 1200.0 && !agent.open_if_due(reopen_at - 1.0) && agent.open_if_due(reopen_at));
}

#[test]
fn silent_watches_are_reopened_spread_out_and_before_missed_changes_count_as_received() {
    let mut random = 7;
    let mut watches = vec![WatchSchedule::for_service(); 300];
    assert!(watches.iter_mut().all(|watch| !watch.open_if_due(0.0) && watch.due_at().is_none()));
    watches.iter_mut().for_each(|watch| watch.mark_silent(draw(&mut random)));
    // The delay limit also covers the wait and the grace period before a watch counts as silent, and the time of the
    // call that reopens it.
    let reopen_window = MAX_LIST_DELAY - WATCH_WAIT - WATCH_GRACE - CALL_TIMEOUT;
    let mut reopened = vec![0; 5];
    for now in 0..reopen_window as u32 {
        let count =
            watches.iter_mut().filter_map(|watch| watch.open_if_due(f64::from(now)).then_some(())).count();
        reopened[now as usize * 5 / reopen_window as usize] += count;
    }
    let last = watches.iter_mut().filter_map(|watch| watch.open_if_due(reopen_window).then_some(())).count();
    assert_eq!(reopened.iter().sum::<usize>() + last, 300);
    assert!(reopened.iter().all(|count| (30..=90).contains(count)), "{reopened:?}");
}

#[test]
fn no_backoff_delays_a_change_beyond_the_delay_limit() {
    for routers in [1, 30, 300] {
        for random in [0.0, 0.5, 1.0] {
            let mut requests = ListRequests::default();
            for failure in 1..12 {
                let now = f64::from(failure) * 1e6;
                assert!(requests.start_if_due(now, 5000.0));
                requests.record_failure(now, 5000.0, (600_000.0, routers), random);
                // Worst case: a call started just before the service recovers times out, and the next one follows after
                // the backoff.
                let worst_delay = CALL_TIMEOUT + MAX_BACKOFF + CALL_TIMEOUT;
                assert!(
                    worst_delay <= MAX_LIST_DELAY && requests.start_if_due(now + MAX_BACKOFF, 5000.0),
                    "{routers} {failure}"
                );
            }
        }
    }
}
