//! Independent routers in front of the same replicas: behaviour that is harmless in one router and harmful when many
//! routers do it at once. Time is virtual and random numbers are seeded.

mod common;
use std::collections::{BTreeMap, HashMap};

use common::*;
use ironpaddle::api::*;
use ironpaddle::Router;

/// Milliseconds per tick.
const TICK: Millis = 5.0;
const TICKS_PER_SECOND: u64 = 200;

/// How a replica handles parts.
#[derive(Clone, Copy)]
enum Behaviour {
    /// Answers each part after this number of ticks.
    Answers(u64),
    /// Rejects each part in the next tick.
    Rejects,
}

/// An attempt in flight: index of the router, part, attempt, replica, and the tick in which it was sent.
type InFlight = (usize, PartId, Attempt, ReplicaId, u64);

/// A simulation of routers and replicas that advances tick by tick.
struct Fleet {
    routers: Vec<Router>,
    behaviours: BTreeMap<&'static str, Behaviour>,
    /// The attempts that end in each tick.
    ends: BTreeMap<u64, Vec<(InFlight, Outcome)>>,
    attempts: HashMap<(usize, PartId), u32>,
    /// Pending probes, which replicas answer without queueing.
    pending_probes: Vec<(usize, ReplicaId)>,
    sent: BTreeMap<String, usize>,
    tick: u64,
    queries: u64,
}

impl Fleet {
    fn new(routers: u32, behaviours: &[(&'static str, Behaviour)]) -> Self {
        let settings = Settings { routers, max_parts_per_call: 1, ..settings(RepeatPolicy::Safe) };
        let names: Vec<&str> = behaviours.iter().map(|(name, _)| *name).collect();
        let router = |seed| {
            let mut router = Router::new(settings.clone(), seed).expect("settings are sound");
            router.step(0.0, vec![list_event(&names)]);
            router
        };
        Fleet {
            routers: (0..u64::from(routers)).map(router).collect(),
            behaviours: behaviours.iter().copied().collect(),
            ends: BTreeMap::new(),
            attempts: HashMap::new(),
            pending_probes: Vec::new(),
            sent: BTreeMap::new(),
            tick: 0,
            queries: 0,
        }
    }

    /// Runs the simulation for `seconds`. Each router gets one query of `parts` parts per second, at its own offset.
    /// Returns the number of parts that each replica was sent.
    fn run(&mut self, seconds: u64, parts: u32) -> BTreeMap<String, usize> {
        self.sent.clear();
        for _ in 0..seconds * TICKS_PER_SECOND {
            self.tick += 1;
            let mut events: Vec<Vec<Event>> = vec![vec![Event::Wake]; self.routers.len()];
            for ((router_index, part, attempt, replica, sent), outcome) in
                self.ends.remove(&self.tick).unwrap_or_default()
            {
                let latency = (self.tick - sent) as f64 * TICK;
                let end = AttemptEnded { part, attempt, replica, outcome, latency, load: None };
                events[router_index].push(Event::AttemptEnded(end));
            }
            for (router_index, replica) in self.pending_probes.drain(..) {
                events[router_index].push(Event::ProbeEnded { replica, ok: true, load: None });
            }
            for (router_index, mut events) in events.into_iter().enumerate() {
                let now = self.tick as f64 * TICK;
                if (self.tick + router_index as u64 * 7).is_multiple_of(TICKS_PER_SECOND) {
                    self.queries += 1;
                    events.extend(query(self.queries, parts, now + 3000.0));
                }
                let actions = self.routers[router_index].step(now, events);
                actions.into_iter().for_each(|action| self.apply(router_index, action));
            }
        }
        self.sent.clone()
    }

    fn apply(&mut self, router_index: usize, action: Action) {
        match action {
            Action::Send { part, replica, .. } => {
                *self.sent.entry(replica.0.to_string()).or_default() += 1;
                let count = self.attempts.entry((router_index, part.clone())).or_default();
                let attempt = Attempt(*count);
                *count += 1;
                let (ticks, outcome) = match self.behaviours[&*replica.0] {
                    Behaviour::Answers(ticks) => (ticks, Outcome::Completed),
                    Behaviour::Rejects => (1, Outcome::Rejected),
                };
                let in_flight = (router_index, part, attempt, replica, self.tick);
                self.ends.entry(self.tick + ticks).or_default().push((in_flight, outcome));
            }
            // The router receives the end of the attempt in the next tick.
            Action::Cancel { part, attempt, .. } => {
                let is_cancelled = |(in_flight, _): &(InFlight, Outcome)| {
                    in_flight.0 == router_index && in_flight.1 == part && in_flight.2 == attempt
                };
                for ends in self.ends.values_mut() {
                    if let Some(index) = ends.iter().position(is_cancelled) {
                        let (in_flight, _) = ends.remove(index);
                        self.ends.entry(self.tick + 1).or_default().push((in_flight, Outcome::Cancelled));
                        return;
                    }
                }
            }
            Action::Probe { replica } => self.pending_probes.push((router_index, replica)),
            _ => {}
        }
    }
}

/// Returns how many parts per second the slow replica gets from all routers, after they have had time to learn its
/// rate. Healthy replicas answer after two ticks.
fn parts_per_second_to_slow(routers: u32, behaviour: Behaviour) -> f64 {
    let healthy = Behaviour::Answers(2);
    let mut fleet =
        Fleet::new(routers, &[("a", healthy), ("b", healthy), ("c", healthy), ("slow", behaviour)]);
    fleet.run(6, 8);
    let sent = fleet.run(20, 8);
    sent.get("slow").copied().unwrap_or(0) as f64 / 20.0
}

/// A replica that takes 80 times as long completes 2.5 parts a second. If each of 100 routers forgot that within
/// seconds, together they would send it as many parts as the healthy replicas get.
#[test]
fn parts_sent_to_a_slow_replica_do_not_grow_with_the_number_of_routers() {
    let single = parts_per_second_to_slow(1, Behaviour::Answers(160));
    let many = parts_per_second_to_slow(100, Behaviour::Answers(160));
    assert!(single > 0.0, "a recovered replica would never be detected");
    assert!(many <= 20.0, "{many} parts a second from a hundred routers, {single} from one");
}

/// A replica with a full queue only shows it by rejections, which each router has to observe for itself.
#[test]
fn many_routers_remember_a_replica_that_rejects_parts() {
    let many = parts_per_second_to_slow(100, Behaviour::Rejects);
    assert!(many <= 20.0, "{many} parts a second from a hundred routers");
}

/// A cancelled part never completes on the slow replica, so its waiting time is the only latency sample.
#[test]
fn a_cancelled_part_counts_as_a_latency_sample_of_a_slow_replica() {
    let healthy = Behaviour::Answers(2);
    let mut fleet =
        Fleet::new(1, &[("a", healthy), ("b", healthy), ("c", healthy), ("slow", Behaviour::Answers(600))]);
    fleet.run(2, 8);
    let lowest_rate = |fleet: &Fleet| {
        let (_, servers): (serde_json::Value, Vec<serde_json::Value>) =
            serde_json::from_str(&fleet.routers[0].export_learned()).expect("the learned state parses");
        servers.iter().map(|s| s["dr"].as_f64().unwrap_or(f64::INFINITY)).fold(f64::INFINITY, f64::min)
    };
    // Healthy replicas take 10 ms per part; one that was silent for the timeout of 400 ms counts as at least that slow.
    assert!(lowest_rate(&fleet) <= 1.0 / 400.0, "{}", lowest_rate(&fleet));
}

/// A router that gets a fifth of a CPU core is woken late. A partial answer sent at the aim itself would miss it, so
/// the router sends it earlier by the delay of its wakes.
#[test]
fn a_partial_answer_leaves_before_the_aim_by_the_delay_of_the_routers_wakes() {
    let answer_time = |late: Millis| {
        let mut s = settings(RepeatPolicy::Safe);
        s.classes[0].least_share = 0.4;
        let mut router = start(s, &["a", "b", "c", "d"]);
        let sent = sends(&router.step(10.0, query(1, 4, 3000.0)));
        let served = sent.iter().take(3);
        let events = served.map(|(part, to)| ended(part, 0, to, Outcome::Completed, 20.0)).collect();
        let (mut now, mut wake_at) = (30.0, None);
        let mut actions = router.step(now, events);
        while final_answers(&actions).is_empty() {
            let wake = |action: &Action| match action {
                Action::WakeAt(time) => Some(*time),
                _ => None,
            };
            wake_at = actions.iter().filter_map(wake).next_back().or(wake_at);
            now = wake_at.expect("a wake is scheduled while a query is open") + late;
            actions = router.step(now, vec![Event::Wake]);
        }
        assert_eq!(final_answers(&actions), ["partial q1"]);
        now
    };
    let aim = 1010.0;
    assert!((aim - 40.0..aim).contains(&answer_time(0.0)), "{}", answer_time(0.0));
    assert!(answer_time(10.0) + 20.0 < aim, "{}", answer_time(10.0));
}

/// Clients with short timeouts, spread over many routers, would otherwise make every router send parts in vain.
#[test]
fn a_query_that_cannot_finish_within_its_client_timeout_is_refused_unsent() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b"]);
    // Ten queries teach the router that a query takes 300 ms.
    for number in 1..=10 {
        let now = number as f64 * 1000.0;
        let sent = sends(&router.step(now, query(number, 2, now + 3000.0)));
        run(&mut router, now + 5.0, now + 295.0);
        let ends = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::Completed, 300.0)).collect();
        assert_eq!(final_answers(&router.step(now + 300.0, ends)), [format!("whole q{number}")]);
    }
    let short = router.step(11_000.0, query(11, 2, 11_100.0));
    assert_eq!((final_answers(&short), sends(&short).len()), (vec!["refuse q11".to_string()], 0));
    let long = router.step(11_005.0, query(12, 2, 12_005.0));
    assert_eq!((final_answers(&long).len(), sends(&long).len()), (0, 2));
}

/// Queries that end early because of short client timeouts must not make the fleet look slow for other clients.
#[test]
fn a_query_cut_short_by_its_client_does_not_count_as_a_slow_fleet() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b"]);
    let mut serve = |number: u64, wait: Millis| {
        let now = number as f64 * 1000.0;
        let actions = router.step(now, query(number, 2, now + wait));
        let sent = sends(&actions);
        // Parts of queries with a short timeout take longer than that timeout.
        let took = if wait < 1000.0 { wait + 100.0 } else { 200.0 };
        run(&mut router, now + 5.0, now + took - 5.0);
        let load = LoadReport { utilization: Some(0.95), ..LoadReport::default() };
        let ends = sent.iter().map(|(part, to)| match ended(part, 0, to, Outcome::Completed, took) {
            Event::AttemptEnded(end) => Event::AttemptEnded(AttemptEnded { load: Some(load), ..end }),
            other => other,
        });
        router.step(now + took, ends.collect());
        sent.len()
    };
    for number in 1..=5 {
        assert_eq!(serve(number, 3000.0), 2);
    }
    for number in 6..=13 {
        assert_eq!(serve(number, 250.0), 2);
    }
    assert_eq!(serve(14, 3000.0), 2, "the query is not refused as predicted late");
}

/// The last replica left has just rejected the part: an immediate retry there would waste the remaining attempts.
#[test]
fn a_part_rejected_by_the_last_replica_left_waits_before_its_retry_there() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b", "c"]);
    let sent = sends(&router.step(10.0, query(1, 1, 5000.0)));
    let first = sent[0].1.clone();
    // Connections to the two other replicas fail, and both are parked.
    let mut number = 2;
    let mut parked = std::collections::BTreeSet::new();
    let mut now = 20.0;
    while parked.len() < 2 {
        for (part, to) in sends(&router.step(now, query(number, 1, now + 5000.0))) {
            let end = if to == first { Outcome::Completed } else { Outcome::ConnectFailed };
            if to != first {
                parked.insert(to.clone());
            }
            router.step(now + 1.0, vec![ended(&part, 0, &to, end, 1.0)]);
        }
        number += 1;
        now += 5.0;
    }
    let again = sends(&router.step(now, vec![ended("q1.0", 0, &first, Outcome::Rejected, 3.0)]));
    assert!(again.iter().all(|(part, _)| part != "q1.0"), "{again:?}");
    let later = sends(&run(&mut router, now + 5.0, 1000.0));
    assert!(later.contains(&("q1.0".to_string(), first)), "{later:?}");
}

/// One of many routers gets few queries and cannot measure their rate. When load reports show a busy fleet, it leaves
/// out the lightest parts, which leaves capacity for queries that need all of theirs.
#[test]
fn the_lightest_parts_of_queries_that_may_be_partial_are_not_sent_to_a_busy_fleet() {
    let sent = |routers: u32, utilization: Option<f64>| {
        let mut s = settings(RepeatPolicy::Safe);
        (s.routers, s.classes[0].least_share) = (routers, 0.4);
        let mut router = start(s, &["a", "b"]);
        let first = sends(&router.step(10.0, query(1, 2, 3000.0)));
        let load = utilization.map(|value| LoadReport { utilization: Some(value), ..LoadReport::default() });
        let with_load = |(part, to): &(String, String)| match ended(part, 0, to, Outcome::Completed, 10.0) {
            Event::AttemptEnded(end) => Event::AttemptEnded(AttemptEnded { load, ..end }),
            other => other,
        };
        router.step(20.0, first.iter().map(with_load).collect());
        let mut skewed = query(2, 10, 4000.0);
        let weights = [0.3, 0.25, 0.15, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02];
        let parts = skewed.iter_mut().filter_map(|event| match event {
            Event::Part(part) => Some(part),
            _ => None,
        });
        parts.zip(weights).for_each(|(part, weight)| part.weight = weight);
        sends(&router.step(25.0, skewed)).len()
    };
    assert_eq!(sent(300, Some(0.5)), 10);
    assert_eq!(sent(300, Some(0.9)), 3, "the parts with a weight above a tenth");
    assert_eq!(sent(300, None), 3, "one of many routers, without load reports");
    assert_eq!(sent(1, None), 10, "a single router sees the whole load itself");
}
