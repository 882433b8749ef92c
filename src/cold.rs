//! What one router of a fleet may send to a replica that has just started.
//!
//! A cold replica bears so much from all routers together, and they share nothing. An even share each leaves most of
//! it unused: a router that seldom has a part for the replica saves up no more than one, and a busy one has used up its
//! share. So each takes the share that it has of the fleet's traffic, as far as replicas report what they serve: then
//! all shares still add up to one, and each router can use its own.

use serde::{Deserialize, Serialize};

use crate::api::{ColdRule, LoadReport, Millis};

/// Utilization under which a report tells too little of what its replica could do.
const TELLING: f64 = 0.2;
/// Standard deviations by which a count may lie above what is to be expected.
const CHANCE: f64 = 2.0;
/// Share of the most that a cold replica bears which is aimed at: the rest is for chance.
const AIMED: f64 = 0.5;

/// A router's own part in what the fleet serves, counted over about the time in which a replica gets warm.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Traffic {
    /// Parts of this router and of the whole fleet that were worked on, both faded alike, and until when.
    own: f64,
    fleet: f64,
    at: Millis,
    /// What all replicas together serve by their reports, in parts a millisecond; 0 where they don't tell.
    rate: f64,
    /// What a warm replica can serve, in parts a millisecond, where reports tell.
    capacity: Option<f64>,
    /// How many times sooner than at the latest replicas get warm, as those that are cold now report.
    pace: f64,
    /// Parts of a query, smoothed.
    clump: Option<f64>,
}

impl Traffic {
    /// Takes in what replicas reported last, each with how much of the time in which it gets warm at the latest had
    /// passed then, if it ever started. Counts fade over that time.
    pub fn told(
        &mut self,
        now: Millis,
        rule: Option<ColdRule>,
        reports: impl Iterator<Item = (LoadReport, Option<f64>)>,
    ) {
        let Some(rule) = rule else { return };
        if self.rate > 0.0 {
            let span = rule.warm_within.max(1.0);
            let keep = (-(now - self.at) / span).exp();
            self.own *= keep;
            self.fleet = self.fleet * keep + self.rate * span * (1.0 - keep);
        }
        self.at = now;
        let (mut all, mut told, mut warm, mut cold) = (0.0, Sum::default(), Sum::default(), Sum::default());
        for (load, age) in reports {
            all += 1.0;
            let Some(served) = load.throughput else { continue };
            told.add(served, 0.0, 0.0);
            match (load.utilization, age) {
                (Some(busy), Some(age)) if age < 1.0 => cold.add(served, busy, age),
                (Some(busy), _) if busy >= TELLING => warm.add(served, busy, 1.0),
                _ => {}
            }
        }
        self.rate = if told.reports > 0.0 { told.served * all / told.reports } else { 0.0 };
        self.capacity = if warm.busy > 0.0 { Some(warm.served / warm.busy) } else { self.capacity };
        self.pace = self.capacity.map_or(1.0, |capacity| cold.pace(rule.from, capacity)).max(1.0);
    }

    /// A query of so many parts came in; each new one counts for one in so many of the mean.
    pub fn asked(&mut self, parts: usize, smooth: f64) {
        let clump = self.clump.unwrap_or(parts as f64);
        self.clump = Some(clump + smooth * (parts as f64 - clump));
    }

    /// An attempt of this router has ended, and may have been worked on.
    pub fn worked(&mut self, may_have: bool) {
        if may_have && self.rate > 0.0 {
            self.own += 1.0;
        }
    }

    /// The share of this router, of so many, in the fleet's traffic. That each has an even one counts for as much
    /// as a query of each: one query tells little.
    fn share(&self, routers: f64) -> f64 {
        let guess = self.clump.unwrap_or(1.0).max(1.0);
        ((self.own + guess) / (self.fleet + guess * routers)).min(1.0)
    }
}

/// Sums over reports of some replicas.
#[derive(Default)]
struct Sum {
    reports: f64,
    /// Parts a millisecond, busy shares, and busy shares times the way to be warm that was behind.
    served: f64,
    busy: f64,
    grown: f64,
}

impl Sum {
    fn add(&mut self, per_second: f64, busy: f64, age: f64) {
        self.reports += 1.0;
        self.served += per_second / 1000.0;
        self.busy += busy;
        self.grown += busy * age;
    }

    /// How many times sooner than at the latest these get warm, at least. A busy share of one that is cold serves that
    /// share of its capacity, which begins at `from`, so that together they serve as much as their shares times
    /// `from + (1 - from) * pace * age`. What they serve in a second is a count, of which chance may have made some.
    fn pace(&self, from: f64, capacity: f64) -> f64 {
        let count = (self.served * 1000.0).max(1.0);
        let sure = self.served * (1.0 - CHANCE / count.sqrt());
        (sure / capacity - from * self.busy) / ((1.0 - from) * self.grown).max(f64::MIN_POSITIVE)
    }
}

/// Room for work at a replica that started at some time, and the most there can be; `None` if it is warm. `left` is
/// what there was at some time, and `best` what a sound replica does with one part, in cost units a millisecond.
///
/// The share comes in evenly, from a start drawn by chance: few of many routers send at once, and none waits long.
pub fn room(
    rule: &ColdRule,
    (started, now): (Millis, Millis),
    left: (f64, Millis),
    best: f64,
    (traffic, routers): (&Traffic, u32),
) -> Option<(f64, f64)> {
    let age = (now - started) / rule.warm_within.max(1.0);
    if age >= 1.0 {
        return None;
    }
    let warmth = rule.from + (1.0 - rule.from) * (age.max(0.0) * traffic.pace.max(1.0)).min(1.0);
    // Where reports tell what a replica can do, more than that would only wait there. Else the best one-part rate
    // stands for it: it holds call overhead and one core only, which leaves room for chance and for others.
    let told = traffic.capacity.map(|capacity| capacity * (rule.multiple * AIMED).min(1.0));
    let bears = told.unwrap_or(rule.multiple * best);
    let share = bears * warmth * traffic.share(f64::from(routers));
    let most = (share * rule.window).max(1.0);
    Some(((left.0 + share * (now - left.1)).min(most), most))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::hash::draw;

    const RULE: ColdRule = ColdRule { from: 0.4, warm_within: 10_000.0, multiple: 2.0, window: 1000.0 };
    const ROUTERS: u32 = 100;
    /// Parts that all routers together would have for the cold replica, a millisecond.
    const MEETS: f64 = 0.15;
    /// What a warm replica does, in parts a millisecond.
    const CAPACITY: f64 = 0.1;

    fn report(throughput: f64, utilization: f64) -> LoadReport {
        LoadReport { throughput: Some(throughput), utilization: Some(utilization), ..LoadReport::default() }
    }

    /// What is sent to a replica that started at 10 s, in each tenth of the ten seconds in which it gets warm, by
    /// routers of which every tenth has more than half of the traffic. A hundred warm replicas report, or none does.
    fn sent(reports: bool) -> Vec<f64> {
        let traffic = |router: u32| if router.is_multiple_of(10) { 5.5 } else { 0.5 } / f64::from(ROUTERS);
        let mut chance = 7;
        let mut routers = vec![(Traffic::default(), (0.0, 10_000.0)); ROUTERS as usize];
        routers.iter_mut().for_each(|(_, left)| left.0 = draw(&mut chance));
        let mut sent = vec![0.0; 100];
        for now in 0..20_000 {
            for (router, (known, left)) in (0..).zip(&mut routers) {
                if now % 100 == 0 {
                    let warm = if reports { report(50.0, 0.5) } else { LoadReport::default() };
                    known.told(f64::from(now), Some(RULE), (0..100).map(|_| (warm, None)));
                }
                // All warm replicas together do five parts a millisecond.
                if draw(&mut chance) < 5.0 * traffic(router) {
                    known.worked(true);
                }
                if now < 10_000 || draw(&mut chance) >= MEETS * traffic(router) {
                    continue;
                }
                let at = f64::from(now);
                let (room, most) =
                    room(&RULE, (10_000.0, at), *left, CAPACITY / 2.0, (known, ROUTERS)).expect("it is cold");
                if room >= most.min(1.0) {
                    *left = (room - 1.0, at);
                    sent[(now as usize - 10_000) / 100] += 1.0;
                }
            }
        }
        sent
    }

    #[test]
    fn unequal_routers_use_what_a_cold_replica_bears_and_never_push_it_over() {
        let by_traffic = sent(true);
        let all: f64 = by_traffic.iter().sum();
        // It does 0.4 of its capacity at first and all of it in the end.
        let bears = CAPACITY * 10_000.0 * 0.7;
        assert!((bears * 0.8..bears * 1.1).contains(&all), "{all} of {bears}");
        assert!(all > 1.2 * sent(false).iter().sum::<f64>(), "even shares are used as well");
        for (at, second) in by_traffic.windows(10).enumerate() {
            let capacity = CAPACITY * 1000.0 * (0.4 + 0.6 * at as f64 / 100.0);
            assert!(second.iter().sum::<f64>() < RULE.multiple * capacity, "second from {at}: {second:?}");
        }
    }

    /// Some replicas that are half on their way by the time at the latest, and as warm as twice that long makes them.
    fn pace(replicas: usize, capacity: f64) -> f64 {
        let warm = (0..50).map(|_| (report(capacity * 0.8, 0.8), None));
        let cold = (0..replicas).map(|_| (report(capacity * 0.3, 0.3), Some(0.5)));
        let mut known = Traffic::default();
        known.told(0.0, Some(RULE), warm.chain(cold));
        known.pace
    }

    #[test]
    fn replicas_that_report_more_are_sent_more_and_a_few_reports_prove_nothing() {
        let many = pace(40, 100.0);
        assert!((1.7..2.0).contains(&many), "{many}");
        assert_eq!(pace(1, 10.0), 1.0, "three parts a second may be chance");
        assert_eq!(pace(0, 100.0), 1.0);
    }

    #[test]
    fn a_router_that_has_just_started_takes_an_even_share_and_the_last_one_left_takes_all() {
        let mut known = Traffic::default();
        known.asked(20, 0.2);
        assert_eq!(known.share(100.0), 0.01);
        for now in 0..20 {
            known.told(f64::from(now) * 1000.0, Some(RULE), [(report(50.0, 0.5), None)].into_iter());
            (0..50).for_each(|_| known.worked(true));
        }
        assert!(known.share(2.0) > 0.9, "{known:?}");
        // Reports that come to an end leave nothing to reckon with.
        known.told(30_000.0, Some(RULE), [(LoadReport::default(), None)].into_iter());
        let before = known.share(2.0);
        known.worked(true);
        assert_eq!(known.share(2.0), before);
    }
}
