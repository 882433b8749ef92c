//! Random event histories of one router: legal orders of events, generated from a seed.
#![allow(dead_code)] // No test file uses every helper.

use std::collections::BTreeMap;

use ironpaddle::api::*;
use ironpaddle::hash::{draw, hash};
use ironpaddle::Router;

mod encoding;

/// A seeded random number generator.
struct Random(u64);

impl Random {
    fn chance(&mut self, odds: f64) -> bool {
        draw(&mut self.0) < odds
    }

    fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * draw(&mut self.0)
    }

    fn below(&mut self, end: usize) -> usize {
        (draw(&mut self.0) * end as f64) as usize
    }

    fn pick<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len())]
    }
}

/// How a replica handles the parts that it receives.
#[derive(Clone, Copy)]
enum Mode {
    Answers,
    Hangs,
    Ends(Outcome),
    /// Answers 70 % of the parts and loses the rest.
    Loses,
}

struct Query {
    id: QueryId,
    class: usize,
    second: bool,
}

struct History {
    random: Random,
    settings: Settings,
    router: Router,
    now: Millis,
    /// Base latency of a part.
    latency: Millis,
    /// Base utilization that replicas report.
    utilization: f64,
    lines: Vec<Replica>,
    modes: Vec<Mode>,
    /// The attempts in flight: when each ends, its outcome, its replica and when it was sent.
    in_flight: BTreeMap<(PartId, Attempt), (Millis, Outcome, ReplicaId, Millis)>,
    attempts: BTreeMap<PartId, u32>,
    open: BTreeMap<u64, Query>,
    last_query: u64,
    probed: Vec<ReplicaId>,
    /// Folded from the seed and the encoded actions of every step.
    digest: u64,
}

fn class(random: &mut Random) -> Class {
    let repeat = match random.below(4) {
        0 => RepeatPolicy::Unsafe,
        1 => RepeatPolicy::Keyed { window: random.between(100.0, 1500.0) },
        _ => RepeatPolicy::Safe,
    };
    let whole_from = random.pick(&[1.0, 1.0, 0.8]);
    Class {
        aim: random.pick(&[150.0, 400.0, 1000.0, 2000.0]),
        repeat,
        worth: random.between(0.2, 4.0),
        late_worth: random.pick(&[0.1, 0.1, 0.7]),
        least_share: random.pick(&[whole_from, 0.5, 0.3]),
        whole_from,
        partial_worth: 0.9,
        second_step_parts: random.pick(&[0, 0, 2]),
    }
}

fn settings(random: &mut Random) -> Settings {
    let cells = 1 + random.below(6) as u32;
    let cold = ColdStartRule {
        initial_share: 0.3,
        warm_within: 4000.0,
        overload_multiple: 2.0,
        overload_window: 500.0,
    };
    let budget = AttemptBudget { base_attempts: 3.0, ratio: 0.2, window: 1000.0 };
    Settings {
        classes: (0..1 + random.below(3)).map(|_| class(random)).collect(),
        tenants: (0..random.below(3)).map(|_| Tenant { quota_per_s: random.between(1.0, 60.0) }).collect(),
        over_share_worth: 0.1,
        routers: random.pick(&[1, 3, 30, 300]),
        cells,
        cells_per_shard: 1 + random.below(cells.min(3) as usize) as u32,
        max_parts_per_call: 1 + random.below(4) as u32,
        call_overhead: random.pick(&[0.0, 4.0]),
        warm_keys: random.chance(0.5),
        worth_by_work: random.chance(0.3),
        max_attempts: 1 + random.below(4) as u32,
        may_cancel: random.chance(0.8),
        parallel_attempts: random.chance(0.5),
        keep_alive: random.chance(0.7).then_some(3000.0),
        probes: random.chance(0.8),
        max_retry_after: 1000.0,
        discovery: random.pick(&[Discovery::Asked, Discovery::Pushed]),
        list_refresh_within: 10_000.0,
        cold: random.chance(0.6).then_some(cold),
        budget: random.chance(0.3).then_some(budget),
        tick: 5.0,
        zone: "z0".into(),
    }
}

impl History {
    fn new(seed: u64) -> Self {
        let mut random = Random(seed);
        let settings = settings(&mut random);
        let stores = 1 + random.below(16);
        let line = |no: usize| Replica {
            id: format!("s-{no}").as_str().into(),
            zone: format!("z{}", no % 2).as_str().into(),
            cell: random.below(settings.cells as usize) as u32,
            weight: 1.0,
            ..Replica::default()
        };
        let lines: Vec<_> = (0..stores).map(line).collect();
        let router = Router::new(settings.clone(), seed).expect("valid settings");
        let (latency, utilization) = (random.between(5.0, 150.0), random.between(0.2, 1.0));
        let modes = vec![Mode::Answers; stores];
        History {
            random,
            settings,
            router,
            now: 0.0,
            latency,
            utilization,
            lines,
            modes,
            in_flight: BTreeMap::new(),
            attempts: BTreeMap::new(),
            open: BTreeMap::new(),
            last_query: 0,
            probed: Vec::new(),
            digest: seed,
        }
    }

    /// Changes the states, start times and cells of some replicas at random and returns an update of the list: full,
    /// cached, partial or failed.
    fn list(&mut self) -> Event {
        let (random, now) = (&mut self.random, self.now);
        // Sometimes all replicas of one cell leave.
        let lost_cell = random.chance(0.2).then(|| random.below(self.settings.cells as usize) as u32);
        for line in &mut self.lines {
            if random.chance(0.2) {
                line.state = random.pick(&[
                    ReplicaState::Active,
                    ReplicaState::Active,
                    ReplicaState::Draining,
                    ReplicaState::Gone,
                ]);
                let restarts = line.state == ReplicaState::Active && random.chance(0.5);
                line.started = if restarts { Some(now - random.between(0.0, 3000.0)) } else { line.started };
            }
            if random.chance(0.03) {
                line.cell = random.below(self.settings.cells as usize) as u32;
            }
            if lost_cell == Some(line.cell) {
                line.state = ReplicaState::Gone;
            }
        }
        let is_listed = |line: &&Replica| line.state != ReplicaState::Gone;
        Event::List(match random.below(8) {
            0 => ListUpdate::Failed,
            1 => ListUpdate::Cached(self.lines.iter().filter(is_listed).cloned().collect()),
            2 | 3 => ListUpdate::Full(self.lines.iter().filter(is_listed).cloned().collect()),
            _ => ListUpdate::Changes(self.lines.iter().filter(|_| random.chance(0.4)).cloned().collect()),
        })
    }

    fn part(&mut self, number: u64, name: String, weight: f64) -> Event {
        Event::Part(NewPart {
            id: name.as_str().into(),
            query: number,
            shard: Shard(self.random.below(12) as u32),
            weight,
            cost_hint: self.random.chance(0.5).then(|| self.random.between(1.0, 20.0)),
            key: self.random.chance(0.5).then(|| format!("k{}", self.random.below(5)).as_str().into()),
        })
    }

    fn query(&mut self) -> Vec<Event> {
        self.last_query += 1;
        let (number, random) = (self.last_query, &mut self.random);
        let id = QueryId::from(format!("q{number}").as_str());
        let class = random.below(self.settings.classes.len());
        let parts = 1 + random.below(6) as u32;
        let tenants = self.settings.tenants.len();
        let query = Event::Query(NewQuery {
            id: id.clone(),
            number,
            class: ClassIndex(class),
            tenant: (tenants > 0).then(|| TenantIndex(random.below(tenants))),
            key: None,
            arrived: self.now - random.between(0.0, 20.0),
            deadline: self.now + random.between(100.0, 4000.0),
            parts,
            client_retry: false,
        });
        self.open.insert(number, Query { id, class, second: false });
        let part = |no| self.part(number, format!("q{number}.{no}"), 1.0 / f64::from(parts));
        std::iter::once(query).chain((0..parts).map(part)).collect()
    }

    fn load(&mut self) -> Option<LoadReport> {
        let utilization = (self.utilization + self.random.between(-0.1, 0.1)).max(0.0);
        self.random.chance(0.6).then(|| LoadReport {
            queue: self.random.chance(0.5).then(|| self.random.between(0.0, 9.0).floor()),
            in_flight: None,
            utilization: self.random.chance(0.9).then_some(utilization),
            throughput: self.random.chance(0.8).then(|| self.random.between(0.0, 90.0).floor()),
        })
    }

    fn attempt_ends(&mut self) -> Vec<Event> {
        let ended = self.in_flight.iter().filter(|(_, (at, ..))| *at <= self.now);
        let ended: Vec<_> = ended.map(|(key, _)| key.clone()).collect();
        let mut events = Vec::new();
        for key in ended {
            let Some((_, outcome, replica, sent)) = self.in_flight.remove(&key) else { continue };
            let load = self.load().filter(|_| outcome == Outcome::Completed);
            let latency = self.now - sent;
            let (part, attempt) = key;
            events.push(Event::AttemptEnded(AttemptEnded { part, attempt, replica, outcome, latency, load }));
        }
        events
    }

    fn events(&mut self) -> Vec<Event> {
        let mut events = self.attempt_ends();
        for replica in std::mem::take(&mut self.probed) {
            let (ok, load) = (self.random.chance(0.6), self.load());
            events.push(Event::ProbeEnded { replica, ok, load });
        }
        if self.random.chance(0.04) {
            events.push(self.list());
        }
        if self.random.chance(0.03) {
            let gone = self.random.below(self.open.len().max(1));
            let gone = self.open.iter().nth(gone).map(|(number, query)| (*number, query.id.clone()));
            if let Some((number, id)) = gone {
                self.open.remove(&number);
                events.push(Event::ClientGone(id));
            }
        }
        let awaits_second_step = |(number, query): (&u64, &Query)| query.second.then_some(*number);
        for number in self.open.iter().filter_map(awaits_second_step).collect::<Vec<_>>() {
            let class = self.open.get(&number).map_or(0, |query| query.class);
            let parts = self.settings.classes[class].second_step_parts;
            if !self.attempts.contains_key(&PartId::from(format!("q{number}.f").as_str())) {
                self.attempts.insert(format!("q{number}.f").as_str().into(), 0);
                for no in 0..parts {
                    events.push(self.part(number, format!("q{number}.f{no}"), 1.0 / f64::from(parts)));
                }
            }
        }
        if self.random.chance(0.3) {
            events.extend(self.query());
        }
        if self.random.chance(0.7) {
            events.push(Event::Wake);
        }
        events
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { part, replica, timeout, .. } => {
                let count = self.attempts.entry(part.clone()).or_default();
                let attempt = Attempt(*count);
                *count += 1;
                let no = self.lines.iter().position(|line| line.id == replica).unwrap_or_default();
                let took = self.latency * self.random.between(0.5, 2.0);
                let (after, outcome) = match self.modes[no] {
                    Mode::Answers => (took, Outcome::Completed),
                    Mode::Loses if self.random.chance(0.7) => (took, Outcome::Completed),
                    Mode::Hangs | Mode::Loses => (f64::INFINITY, Outcome::TimedOut),
                    Mode::Ends(outcome) => (took * self.random.between(0.01, 1.0), outcome),
                };
                let outcome = if after < timeout { outcome } else { Outcome::TimedOut };
                let end = (self.now + after.min(timeout), outcome, replica, self.now);
                self.in_flight.insert((part, attempt), end);
            }
            Action::Cancel { part, attempt, .. } => {
                let late = self.random.chance(0.1);
                if let Some(end) = self.in_flight.get_mut(&(part, attempt)).filter(|_| !late) {
                    (end.0, end.1) = (self.now, Outcome::Cancelled);
                }
            }
            Action::Answer { query, .. } | Action::Refuse { query, .. } | Action::Fail { query, .. } => {
                let number = self.open.iter().find(|(_, open)| open.id == query).map(|(number, _)| *number);
                let Some(open) = number.and_then(|number| self.open.get_mut(&number)) else { return };
                let first = !open.second && self.settings.classes[open.class].second_step_parts > 0;
                open.second = true;
                if !first {
                    self.open.remove(&number.unwrap_or_default());
                }
            }
            Action::Probe { replica } => self.probed.push(replica),
            Action::CloseIdle { .. } | Action::Subscribe | Action::WakeAt(_) | Action::Log(_) => {}
        }
    }

    /// Makes changes that no event carries: new settings, a restart with the learned state, a restored snapshot,
    /// replica failures.
    fn change_environment(&mut self) {
        if self.random.chance(0.01) {
            let other = settings(&mut self.random);
            // Existing classes keep their index; one more may be added.
            let mut classes = self.settings.classes.clone();
            for class in &mut classes {
                class.aim = self.random.pick(&[150.0, 400.0, 1000.0, 2000.0]);
            }
            classes.extend(other.classes.get(1).cloned().filter(|_| classes.len() < 5));
            self.settings = Settings { classes, ..other };
            self.router.apply_settings(self.settings.clone()).expect("valid settings");
        }
        if self.random.chance(0.005) {
            let seed = self.last_query ^ self.digest;
            let mut after = Router::new(self.settings.clone(), seed).expect("valid settings");
            // An infinite value cannot be written as JSON: the new process then starts without learned state.
            let understood = after.import_learned(&self.router.export_learned());
            self.digest = hash(&format!("{} {understood}", self.digest));
            self.router = after;
            self.in_flight.clear();
            self.open.clear();
        }
        if self.random.chance(0.01) {
            let state = postcard::to_stdvec(&self.router).expect("the router serializes");
            self.router = postcard::from_bytes(&state).expect("the router deserializes");
        }
        if self.random.chance(0.05) {
            let no = self.random.below(self.modes.len());
            self.modes[no] = match self.random.below(8) {
                0 | 1 => Mode::Hangs,
                2 => Mode::Loses,
                3 => Mode::Ends(self.random.pick(&[
                    Outcome::Errored,
                    Outcome::Rejected,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::NotSent,
                ])),
                _ => Mode::Answers,
            };
        }
        if self.random.chance(0.01) {
            // A shared cause: every replica changes at once.
            let mode =
                self.random.pick(&[Mode::Answers, Mode::Answers, Mode::Hangs, Mode::Ends(Outcome::Reset)]);
            self.modes.fill(mode);
            (self.latency, self.utilization) =
                (self.random.between(5.0, 900.0), self.random.between(0.2, 1.0));
        }
    }

    fn step(&mut self) {
        // Mostly 1 to 5 ticks, sometimes less than a tick or a stall.
        self.now += match self.random.below(40) {
            0 => self.random.between(0.0, 5.0),
            1 => self.random.between(5.0, 700.0),
            _ => self.settings.tick * (1 + self.random.below(5)) as f64,
        };
        self.change_environment();
        let events = self.events();
        let actions = self.router.step(self.now, events);
        self.digest = hash(&format!("{} {}", self.digest, encoding::encode(&actions)));
        actions.into_iter().for_each(|action| self.carry_out(action));
    }
}

/// Plays `steps` steps of the history of a seed, calls `look` after each, and returns the digest.
pub fn play(seed: u64, steps: usize, mut look: impl FnMut(&Router)) -> u64 {
    let mut history = History::new(seed);
    let lines = history.lines.clone();
    let update = if seed.is_multiple_of(2) { ListUpdate::Full(lines) } else { ListUpdate::Cached(lines) };
    history.router.step(0.0, vec![Event::List(update)]);
    for _ in 0..steps {
        history.step();
        look(&history.router);
    }
    history.digest
}
