//! Many routers that share nothing, in front of the same replicas: what is harmless in one and hurts when all do
//! it. Time is virtual and chance is seeded.

mod common;
use std::collections::{BTreeMap, HashMap};

use common::*;
use ironpaddle::api::*;
use ironpaddle::Router;

const TICK: Millis = 5.0;
const TICKS_A_SECOND: u64 = 200;

/// How a replica takes parts.
#[derive(Clone, Copy)]
enum Does {
    /// Each is answered after so many ticks.
    Answers(u64),
    /// Each is turned away in the next tick.
    TurnsAway,
}

/// An attempt that is out: of which router, part and replica, and when it was sent.
type Out = (usize, PartId, Attempt, ReplicaId, u64);

/// Routers and replicas, stepped tick by tick.
struct Fleet {
    routers: Vec<Router>,
    does: BTreeMap<&'static str, Does>,
    /// What ends in a tick.
    ends: BTreeMap<u64, Vec<(Out, Outcome)>>,
    attempts: HashMap<(usize, PartId), u32>,
    /// Probes, which replicas answer beside their queues.
    probed: Vec<(usize, ReplicaId)>,
    sent: BTreeMap<String, usize>,
    tick: u64,
    queries: u64,
}

impl Fleet {
    fn new(routers: u32, does: &[(&'static str, Does)]) -> Self {
        let settings = Settings { routers, max_parts_per_call: 1, ..settings(RepeatPolicy::Safe) };
        let names: Vec<&str> = does.iter().map(|(name, _)| *name).collect();
        let router = |seed| {
            let mut router = Router::new(settings.clone(), seed).expect("settings are sound");
            router.step(0.0, vec![fleet(&names)]);
            router
        };
        Fleet {
            routers: (0..u64::from(routers)).map(router).collect(),
            does: does.iter().copied().collect(),
            ends: BTreeMap::new(),
            attempts: HashMap::new(),
            probed: Vec::new(),
            sent: BTreeMap::new(),
            tick: 0,
            queries: 0,
        }
    }

    /// Lets seconds pass in which each router has a query of some parts once a second, each at a time of its own;
    /// says how many parts each replica was sent meanwhile.
    fn run(&mut self, seconds: u64, parts: u32) -> BTreeMap<String, usize> {
        self.sent.clear();
        for _ in 0..seconds * TICKS_A_SECOND {
            self.tick += 1;
            let mut events: Vec<Vec<Event>> = vec![vec![Event::Wake]; self.routers.len()];
            for ((at, part, attempt, replica, sent), outcome) in
                self.ends.remove(&self.tick).unwrap_or_default()
            {
                let latency = (self.tick - sent) as f64 * TICK;
                let end = AttemptEnded { part, attempt, replica, outcome, latency, load: None };
                events[at].push(Event::AttemptEnded(end));
            }
            for (at, replica) in self.probed.drain(..) {
                events[at].push(Event::ProbeEnded { replica, ok: true, load: None });
            }
            for (at, mut events) in events.into_iter().enumerate() {
                let now = self.tick as f64 * TICK;
                if (self.tick + at as u64 * 7).is_multiple_of(TICKS_A_SECOND) {
                    self.queries += 1;
                    events.extend(query(self.queries, parts, now + 3000.0));
                }
                let actions = self.routers[at].step(now, events);
                actions.into_iter().for_each(|action| self.carry(at, action));
            }
        }
        self.sent.clone()
    }

    fn carry(&mut self, at: usize, action: Action) {
        match action {
            Action::Send { part, replica, .. } => {
                *self.sent.entry(replica.0.to_string()).or_default() += 1;
                let count = self.attempts.entry((at, part.clone())).or_default();
                let attempt = Attempt(*count);
                *count += 1;
                let (ticks, outcome) = match self.does[&*replica.0] {
                    Does::Answers(ticks) => (ticks, Outcome::Completed),
                    Does::TurnsAway => (1, Outcome::Rejected),
                };
                let out = (at, part, attempt, replica, self.tick);
                self.ends.entry(self.tick + ticks).or_default().push((out, outcome));
            }
            // The router hears of it in the next tick.
            Action::Cancel { part, attempt, .. } => {
                let named = |(out, _): &(Out, Outcome)| out.0 == at && out.1 == part && out.2 == attempt;
                for ends in self.ends.values_mut() {
                    if let Some(index) = ends.iter().position(named) {
                        let (out, _) = ends.remove(index);
                        self.ends.entry(self.tick + 1).or_default().push((out, Outcome::Cancelled));
                        return;
                    }
                }
            }
            Action::Probe { replica } => self.probed.push((at, replica)),
            _ => {}
        }
    }
}

/// What a slow replica is sent in a second by so many routers, once they know it. Sound ones take two ticks.
fn guesses(routers: u32, does: Does) -> f64 {
    let sound = Does::Answers(2);
    let mut fleet = Fleet::new(routers, &[("a", sound), ("b", sound), ("c", sound), ("slow", does)]);
    fleet.run(6, 8);
    let sent = fleet.run(20, 8);
    sent.get("slow").copied().unwrap_or(0) as f64 / 20.0
}

/// A replica that takes 80 times as long does 2.5 parts a second. A hundred routers that each forget that within
/// seconds send it as many as its fellows get.
#[test]
fn guesses_at_a_slow_replica_do_not_grow_with_the_routers() {
    let lone = guesses(1, Does::Answers(160));
    let many = guesses(100, Does::Answers(160));
    assert!(lone > 0.0, "a healed one would never be found again");
    assert!(many <= 20.0, "{many} parts a second from a hundred routers, {lone} from one");
}

/// A full queue tells of itself by nothing but turning parts away, which each router meets for itself.
#[test]
fn a_replica_that_turns_parts_away_is_remembered_by_many_routers() {
    let many = guesses(100, Does::TurnsAway);
    assert!(many <= 20.0, "{many} parts a second from a hundred routers");
}

/// A part that is called back from a slow replica never completes there: how long it waited is all that tells.
#[test]
fn a_part_called_back_counts_as_a_sample_of_a_slow_replica() {
    let sound = Does::Answers(2);
    let mut fleet = Fleet::new(1, &[("a", sound), ("b", sound), ("c", sound), ("slow", Does::Answers(600))]);
    fleet.run(2, 8);
    let rated = |fleet: &Fleet| {
        let (_, servers): (serde_json::Value, Vec<serde_json::Value>) =
            serde_json::from_str(&fleet.routers[0].export_learned()).expect("it can be read");
        servers.iter().map(|s| s["dr"].as_f64().unwrap_or(f64::INFINITY)).fold(f64::INFINITY, f64::min)
    };
    // Sound ones do a part in 10 ms; one that was silent for the patience of 400 ms does it in no less.
    assert!(rated(&fleet) <= 1.0 / 400.0, "{}", rated(&fleet));
}

/// A router with a fifth of a core runs late by its own work. What it gives at the aim itself comes too late, so it
/// gives what it has a little earlier, by what its wakes are late.
#[test]
fn what_is_in_is_given_before_the_aim_by_as_much_as_the_router_runs_late() {
    let given = |late: Millis| {
        let mut s = settings(RepeatPolicy::Safe);
        s.classes[0].least_share = 0.4;
        let mut router = start(s, &["a", "b", "c", "d"]);
        let sent = sends(&router.step(10.0, query(1, 4, 3000.0)));
        let served = sent.iter().take(3);
        let events = served.map(|(part, to)| ended(part, 0, to, Outcome::Completed, 20.0)).collect();
        let (mut now, mut due) = (30.0, None);
        let mut actions = router.step(now, events);
        while finals(&actions).is_empty() {
            let wake = |action: &Action| match action {
                Action::WakeAt(at) => Some(*at),
                _ => None,
            };
            due = actions.iter().filter_map(wake).next_back().or(due);
            now = due.expect("a wake is due while a query is held") + late;
            actions = router.step(now, vec![Event::Wake]);
        }
        assert_eq!(finals(&actions), ["partial q1"]);
        now
    };
    let aim = 1010.0;
    assert!((aim - 40.0..aim).contains(&given(0.0)), "{}", given(0.0));
    assert!(given(10.0) + 20.0 < aim, "{}", given(10.0));
}

/// Clients that give up early, each at one of many routers, would have all of them send what nobody waits for.
#[test]
fn what_its_client_will_not_wait_for_is_refused_unsent() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b"]);
    // Ten queries tell that one takes 300 ms.
    for number in 1..=10 {
        let now = number as f64 * 1000.0;
        let sent = sends(&router.step(now, query(number, 2, now + 3000.0)));
        run(&mut router, now + 5.0, now + 295.0);
        let ends = sent.iter().map(|(part, to)| ended(part, 0, to, Outcome::Completed, 300.0)).collect();
        assert_eq!(finals(&router.step(now + 300.0, ends)), [format!("whole q{number}")]);
    }
    let short = router.step(11_000.0, query(11, 2, 11_100.0));
    assert_eq!((finals(&short), sends(&short).len()), (vec!["refuse q11".to_string()], 0));
    let long = router.step(11_005.0, query(12, 2, 12_005.0));
    assert_eq!((finals(&long).len(), sends(&long).len()), (0, 2));
}

/// What such clients did not wait for must not look like a slow fleet to those who do.
#[test]
fn a_query_cut_short_by_its_client_tells_nothing_of_the_fleet() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b"]);
    let mut busy = |number: u64, wait: Millis| {
        let now = number as f64 * 1000.0;
        let actions = router.step(now, query(number, 2, now + wait));
        let sent = sends(&actions);
        // Parts of those that are cut short take longer than usual.
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
        assert_eq!(busy(number, 3000.0), 2);
    }
    for number in 6..=13 {
        assert_eq!(busy(number, 250.0), 2);
    }
    assert_eq!(busy(14, 3000.0), 2, "not refused as predicted late");
}

/// The one replica that is left has just turned a part away: to ask it again at once spends the attempts in vain.
#[test]
fn a_part_turned_away_by_the_last_replica_left_waits_before_it_asks_there_again() {
    let mut router = start(settings(RepeatPolicy::Safe), &["a", "b", "c"]);
    let sent = sends(&router.step(10.0, query(1, 1, 5000.0)));
    let first = sent[0].1.clone();
    // The two others fall silent, as their connections do not come up.
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

/// A router of many has a query now and then, and knows no pace of them. What run stores report tells that all are busy:
/// the parts that weigh least then leave room for queries that need all of theirs.
#[test]
fn a_busy_fleet_is_spared_the_lightest_parts_of_what_may_be_partial() {
    let sent = |routers: u32, utilization: Option<f64>| {
        let mut s = settings(RepeatPolicy::Safe);
        (s.routers, s.classes[0].least_share) = (routers, 0.4);
        let mut router = start(s, &["a", "b"]);
        let first = sends(&router.step(10.0, query(1, 2, 3000.0)));
        let load = utilization.map(|told| LoadReport { utilization: Some(told), ..LoadReport::default() });
        let told = |(part, to): &(String, String)| match ended(part, 0, to, Outcome::Completed, 10.0) {
            Event::AttemptEnded(end) => Event::AttemptEnded(AttemptEnded { load, ..end }),
            other => other,
        };
        router.step(20.0, first.iter().map(told).collect());
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
    assert_eq!(sent(300, Some(0.9)), 3, "those that weigh more than a tenth");
    assert_eq!(sent(300, None), 3, "one of many that was told nothing");
    assert_eq!(sent(1, None), 10, "a lone one, which would know");
}
