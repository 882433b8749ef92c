use super::*;
use crate::hash::draw;

const RULE: ColdStartRule = ColdStartRule {
    initial_share: 0.4,
    warm_within: 10_000.0,
    overload_multiple: 2.0,
    overload_window: 1000.0,
};
const ROUTERS: u32 = 100;
/// Load that all routers together have for the cold replica, in parts per millisecond.
const COLD_LOAD: f64 = 0.15;
/// Capacity of a warm replica, in parts per millisecond.
const CAPACITY: f64 = 0.1;

fn reports(all: impl IntoIterator<Item = (LoadReport, Option<f64>)>) -> LoadReports {
    let mut reports = LoadReports::default();
    all.into_iter().for_each(|(load, age)| reports.add(load, age));
    reports
}

fn report(throughput: f64, utilization: f64) -> LoadReport {
    LoadReport { throughput: Some(throughput), utilization: Some(utilization), ..LoadReport::default() }
}

/// Returns the parts sent to a replica that started at 10 s, per tenth of a second of the ten seconds in
/// which it gets warm. Every tenth router has more than half of the traffic. A hundred warm replicas report
/// their load, or none does.
fn parts_sent(with_reports: bool) -> Vec<f64> {
    let traffic = |router: u32| if router.is_multiple_of(10) { 5.5 } else { 0.5 } / f64::from(ROUTERS);
    let mut chance = 7;
    let mut routers = vec![(FleetTraffic::default(), (0.0, 10_000.0)); ROUTERS as usize];
    routers.iter_mut().for_each(|(_, previous)| previous.0 = draw(&mut chance));
    let mut sent = vec![0.0; 100];
    for now in 0..20_000 {
        for (router, (known, previous)) in (0..).zip(&mut routers) {
            if now % 100 == 0 {
                let warm = if with_reports { report(50.0, 0.5) } else { LoadReport::default() };
                known.update(f64::from(now), Some(RULE), &reports((0..100).map(|_| (warm, None))));
            }
            // All warm replicas together process five parts per millisecond.
            if draw(&mut chance) < 5.0 * traffic(router) {
                known.record_attempt_end(true);
                known.record_query(1, 0.2);
            }
            if now < 10_000 || draw(&mut chance) >= COLD_LOAD * traffic(router) {
                continue;
            }
            let at = f64::from(now);
            let (allowance, max) =
                allowance(&RULE, (10_000.0, at), *previous, CAPACITY / 2.0, (known, ROUTERS))
                    .expect("it is cold");
            if allowance >= max.min(1.0) {
                *previous = (allowance - 1.0, at);
                sent[(now as usize - 10_000) / 100] += 1.0;
            }
        }
    }
    sent
}

#[test]
fn unequal_routers_use_a_cold_replica_without_overloading_it() {
    let by_traffic = parts_sent(true);
    let all: f64 = by_traffic.iter().sum();
    // The capacity grows from 0.4 of the full capacity to all of it.
    let full_load = CAPACITY * 10_000.0 * 0.7;
    // Allowance that quiet routers do not use in time is lost. If it were kept, all together could overload
    // the replica.
    assert!((full_load * 0.7..full_load * 1.1).contains(&all), "{all} of {full_load}");
    assert!(all > 1.2 * parts_sent(false).iter().sum::<f64>(), "even shares are used equally well");
    for (at, second) in by_traffic.windows(10).enumerate() {
        let capacity = CAPACITY * 1000.0 * (0.4 + 0.6 * at as f64 / 100.0);
        assert!(
            second.iter().sum::<f64>() < RULE.overload_multiple * capacity,
            "second from {at}: {second:?}"
        );
    }
}

/// Returns the warm-up speed estimated from the reports of replicas halfway through the longest warm-up
/// time, which are as warm as replicas that warm up twice as fast.
fn warm_up_speed(replicas: usize, capacity: f64) -> f64 {
    let warm = (0..50).map(|_| (report(capacity * 0.8, 0.8), None));
    let cold = (0..replicas).map(|_| (report(capacity * 0.3, 0.3), Some(0.5)));
    let mut known = FleetTraffic::default();
    known.update(0.0, Some(RULE), &reports(warm.chain(cold)));
    known.warm_up_speed
}

#[test]
fn the_warm_up_speed_is_estimated_from_many_reports_and_not_from_a_few() {
    let many = warm_up_speed(40, 100.0);
    assert!((1.7..2.0).contains(&many), "{many}");
    assert_eq!(warm_up_speed(1, 10.0), 1.0, "three parts per second may be random variation");
    assert_eq!(warm_up_speed(0, 100.0), 1.0);
}

#[test]
fn reports_of_replicas_that_have_just_started_give_a_warm_up_speed_that_can_be_serialized() {
    let warm = (0..50).map(|_| (report(80.0, 0.8), None));
    let cold = (0..40).map(|_| (report(80.0, 0.8), Some(0.0)));
    let mut known = FleetTraffic::default();
    known.update(0.0, Some(RULE), &reports(warm.chain(cold)));
    assert!(known.warm_up_speed.is_finite(), "{}", known.warm_up_speed);
    let read: FleetTraffic = serde_json::from_str(&serde_json::to_string(&known).unwrap()).unwrap();
    assert_eq!(read.warm_up_speed, known.warm_up_speed);
}

#[test]
fn reports_of_replicas_that_serve_nothing_give_no_warm_up_speed() {
    let warm = (0..50).map(|_| (report(0.0, 0.8), None));
    let cold = (0..40).map(|_| (report(0.0, 0.0), Some(0.5)));
    let mut known = FleetTraffic::default();
    known.update(0.0, Some(RULE), &reports(warm.chain(cold)));
    assert_eq!(known.warm_up_speed, 1.0);
}

#[test]
fn a_new_router_has_an_even_share_and_the_last_one_left_has_nearly_all() {
    let mut known = FleetTraffic::default();
    known.record_query(20, 0.2);
    assert_eq!(known.share(100.0), 0.01);
    for now in 0..20 {
        known.update(f64::from(now) * 1000.0, Some(RULE), &reports([(report(50.0, 0.5), None)]));
        (0..50).for_each(|_| known.record_attempt_end(true));
    }
    assert!(known.share(2.0) > 0.9, "{known:?}");
    // Once reports stop, attempts no longer change the share.
    known.update(30_000.0, Some(RULE), &reports([(LoadReport::default(), None)]));
    let before = known.share(2.0);
    known.record_attempt_end(true);
    assert_eq!(known.share(2.0), before);
}

/// Capacity of a small warm replica, in parts per millisecond.
const SMALL_CAPACITY: f64 = 0.015;

/// Returns the largest excess, over all windows, of what the routers send over what the cold replica can
/// take, as a multiple of the allowed random variation. The replica started `idle` ms before. No router has
/// anything to send to it until then, and afterwards each has more than it may send. All routers have the
/// same traffic, `traffic` parts per millisecond together. Warm replicas have the given capacity, and
/// report it if `with_reports` is set.
fn largest_excess(routers: u32, idle: u32, with_reports: bool, (traffic, capacity): (f64, f64)) -> f64 {
    let mut chance = 7;
    let mut all: Vec<_> =
        (0..routers).map(|_| (FleetTraffic::default(), (draw(&mut chance), 10_000.0))).collect();
    let from = 10_000 + idle;
    let mut sent = vec![0.0; 3000];
    for now in 0..from + 3000 {
        let at = f64::from(now);
        for (known, previous) in &mut all {
            if with_reports && now % 100 == 0 {
                known.update(
                    at,
                    Some(RULE),
                    &reports((0..100).map(|_| (report(capacity * 500.0, 0.5), None))),
                );
            }
            if draw(&mut chance) < traffic / f64::from(routers) {
                known.record_attempt_end(true);
                known.record_query(1, 0.2);
            }
            if now < from {
                continue;
            }
            loop {
                let (allowance, max) =
                    allowance(&RULE, (10_000.0, at), *previous, capacity / 2.0, (known, routers))
                        .expect("it is cold");
                if allowance < max.min(1.0) {
                    break;
                }
                *previous = (allowance - 1.0, at);
                sent[(now - from) as usize] += 1.0;
            }
        }
    }
    let excess = |(at, window): (usize, &[f64])| {
        let warmth = RULE.initial_share
            + (1.0 - RULE.initial_share) * (f64::from(idle) + at as f64) / RULE.warm_within;
        let limit = RULE.overload_multiple * capacity * RULE.overload_window * warmth;
        (window.iter().sum::<f64>() - limit) / (2.0 * limit.sqrt() + 2.0)
    };
    sent.windows(RULE.overload_window as usize).enumerate().map(excess).fold(f64::MIN, f64::max)
}

/// The parts sent in a window may exceed what the replica can take by the random variation only, for any
/// number of routers.
#[test]
fn saved_allowances_of_all_routers_do_not_overload_a_cold_replica() {
    for idle in [500, 3000, 6000] {
        for routers in [2, 20, 30, 100, 300] {
            for reports in [false, true] {
                let excess = largest_excess(routers, idle, reports, (SMALL_CAPACITY * 50.0, SMALL_CAPACITY));
                assert!(excess <= 1.0, "{routers} routers, idle for {idle} ms, reports {reports}: {excess}");
            }
        }
    }
}

/// The same with routers that each have a query only every `every` milliseconds: calls that are kept until
/// two queries have arrived must not add up to an overload.
#[test]
fn saved_allowances_of_routers_with_rare_queries_do_not_overload_a_cold_replica() {
    for capacity in [SMALL_CAPACITY, CAPACITY] {
        for every in [1600.0, 20_000.0] {
            for idle in [500, 6000] {
                for routers in [30, 300] {
                    let traffic = (f64::from(routers) / every, capacity);
                    let excess = largest_excess(routers, idle, true, traffic);
                    let case = format!(
                        "{routers} routers, capacity {capacity}, every {every} ms, idle for {idle} ms"
                    );
                    assert!(excess <= 1.0, "{case}: {excess}");
                }
            }
        }
    }
}

/// Thirty routers with twice the work that the replica can take use most of its capacity.
#[test]
fn thirty_routers_use_most_of_a_cold_replica() {
    let mut chance = 7;
    let mut all: Vec<_> = (0..30).map(|_| (FleetTraffic::default(), (draw(&mut chance), 10_000.0))).collect();
    let mut sent = 0.0;
    for now in 0..20_000 {
        let at = f64::from(now);
        for (known, previous) in &mut all {
            if now % 100 == 0 {
                known.update(at, Some(RULE), &reports((0..100).map(|_| (report(50.0, 0.5), None))));
            }
            if draw(&mut chance) < 5.0 / 30.0 {
                known.record_attempt_end(true);
                known.record_query(1, 0.2);
            }
            if now < 10_000 || draw(&mut chance) >= COLD_LOAD / 30.0 {
                continue;
            }
            let (allowance, max) =
                allowance(&RULE, (10_000.0, at), *previous, CAPACITY / 2.0, (known, 30)).expect("it is cold");
            if allowance >= max.min(1.0) {
                *previous = (allowance - 1.0, at);
                sent += 1.0;
            }
        }
    }
    let full_load = CAPACITY * 10_000.0 * 0.7;
    assert!(sent >= 0.75 * full_load, "{sent} of {full_load}");
}
