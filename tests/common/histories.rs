//! Random histories of one router: any legal order of events, from a seed.
#![allow(dead_code)] // Each test file takes what it needs.

use std::collections::BTreeMap;

use ironpaddle::api::*;
use ironpaddle::hash::{draw, hash};
use ironpaddle::Router;

mod encoding;

/// Chance from a seed.
struct Chance(u64);

impl Chance {
    fn of(&mut self, odds: f64) -> bool {
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

/// How a store treats what is sent to it.
#[derive(Clone, Copy)]
enum Mode {
    Answers,
    Hangs,
    Ends(Outcome),
    /// It answers some and loses others.
    Loses,
}

struct Query {
    id: QueryId,
    class: usize,
    second: bool,
}

struct History {
    chance: Chance,
    settings: Settings,
    router: Router,
    now: Millis,
    /// How long a part takes, and how busy stores say that they are.
    latency: Millis,
    busy: f64,
    lines: Vec<Replica>,
    modes: Vec<Mode>,
    /// When attempts end, with how and since when.
    out: BTreeMap<(PartId, Attempt), (Millis, Outcome, ReplicaId, Millis)>,
    attempts: BTreeMap<PartId, u32>,
    open: BTreeMap<u64, Query>,
    next: u64,
    probed: Vec<ReplicaId>,
    /// Folded from the seed and the encoded actions of every step.
    digest: u64,
}

fn class(chance: &mut Chance) -> Class {
    let repeat = match chance.below(4) {
        0 => RepeatPolicy::Unsafe,
        1 => RepeatPolicy::Keyed { window: chance.between(100.0, 1500.0) },
        _ => RepeatPolicy::Safe,
    };
    let whole_from = chance.pick(&[1.0, 1.0, 0.8]);
    Class {
        aim: chance.pick(&[150.0, 400.0, 1000.0, 2000.0]),
        repeat,
        worth: chance.between(0.2, 4.0),
        late_worth: chance.pick(&[0.1, 0.1, 0.7]),
        least_share: chance.pick(&[whole_from, 0.5, 0.3]),
        whole_from,
        partial_worth: 0.9,
        second_step_parts: chance.pick(&[0, 0, 2]),
    }
}

fn settings(chance: &mut Chance) -> Settings {
    let cells = 1 + chance.below(6) as u32;
    let cold = ColdStartRule {
        initial_share: 0.3,
        warm_within: 4000.0,
        overload_multiple: 2.0,
        overload_window: 500.0,
    };
    let budget = AttemptBudget { base_attempts: 3.0, ratio: 0.2, window: 1000.0 };
    Settings {
        classes: (0..1 + chance.below(3)).map(|_| class(chance)).collect(),
        tenants: (0..chance.below(3)).map(|_| Tenant { quota_per_s: chance.between(1.0, 60.0) }).collect(),
        over_share_worth: 0.1,
        routers: chance.pick(&[1, 3, 30, 300]),
        cells,
        cells_per_shard: 1 + chance.below(cells.min(3) as usize) as u32,
        max_parts_per_call: 1 + chance.below(4) as u32,
        call_overhead: chance.pick(&[0.0, 4.0]),
        warm_keys: chance.of(0.5),
        worth_by_work: chance.of(0.3),
        max_attempts: 1 + chance.below(4) as u32,
        may_cancel: chance.of(0.8),
        parallel_attempts: chance.of(0.5),
        keep_alive: chance.of(0.7).then_some(3000.0),
        probes: chance.of(0.8),
        max_retry_after: 1000.0,
        discovery: chance.pick(&[Discovery::Asked, Discovery::Pushed]),
        list_refresh_within: 10_000.0,
        cold: chance.of(0.6).then_some(cold),
        budget: chance.of(0.3).then_some(budget),
        tick: 5.0,
        zone: "z0".into(),
    }
}

impl History {
    fn new(seed: u64) -> Self {
        let mut chance = Chance(seed);
        let settings = settings(&mut chance);
        let stores = 1 + chance.below(16);
        let line = |no: usize| Replica {
            id: format!("s-{no}").as_str().into(),
            zone: format!("z{}", no % 2).as_str().into(),
            cell: chance.below(settings.cells as usize) as u32,
            weight: 1.0,
            ..Replica::default()
        };
        let lines: Vec<_> = (0..stores).map(line).collect();
        let router = Router::new(settings.clone(), seed).expect("settings are sound");
        let (latency, busy) = (chance.between(5.0, 150.0), chance.between(0.2, 1.0));
        let modes = vec![Mode::Answers; stores];
        History {
            chance,
            settings,
            router,
            now: 0.0,
            latency,
            busy,
            lines,
            modes,
            out: BTreeMap::new(),
            attempts: BTreeMap::new(),
            open: BTreeMap::new(),
            next: 0,
            probed: Vec::new(),
            digest: seed,
        }
    }

    /// News of the list: of some lines or all, old or new, or none.
    fn list(&mut self) -> Event {
        let (chance, now) = (&mut self.chance, self.now);
        // At times all of a cell go.
        let lost = chance.of(0.2).then(|| chance.below(self.settings.cells as usize) as u32);
        for line in &mut self.lines {
            if chance.of(0.2) {
                line.state = chance.pick(&[
                    ReplicaState::Active,
                    ReplicaState::Active,
                    ReplicaState::Draining,
                    ReplicaState::Gone,
                ]);
                let restarts = line.state == ReplicaState::Active && chance.of(0.5);
                line.started = if restarts { Some(now - chance.between(0.0, 3000.0)) } else { line.started };
            }
            if chance.of(0.03) {
                line.cell = chance.below(self.settings.cells as usize) as u32;
            }
            if lost == Some(line.cell) {
                line.state = ReplicaState::Gone;
            }
        }
        let there = |line: &&Replica| line.state != ReplicaState::Gone;
        Event::List(match chance.below(8) {
            0 => ListUpdate::Failed,
            1 => ListUpdate::Cached(self.lines.iter().filter(there).cloned().collect()),
            2 | 3 => ListUpdate::Full(self.lines.iter().filter(there).cloned().collect()),
            _ => ListUpdate::Changes(self.lines.iter().filter(|_| chance.of(0.4)).cloned().collect()),
        })
    }

    fn part(&mut self, number: u64, name: String, weight: f64) -> Event {
        Event::Part(NewPart {
            id: name.as_str().into(),
            query: number,
            shard: Shard(self.chance.below(12) as u32),
            weight,
            cost_hint: self.chance.of(0.5).then(|| self.chance.between(1.0, 20.0)),
            key: self.chance.of(0.5).then(|| format!("k{}", self.chance.below(5)).as_str().into()),
        })
    }

    fn query(&mut self) -> Vec<Event> {
        self.next += 1;
        let (number, chance) = (self.next, &mut self.chance);
        let id = QueryId::from(format!("q{number}").as_str());
        let class = chance.below(self.settings.classes.len());
        let parts = 1 + chance.below(6) as u32;
        let tenants = self.settings.tenants.len();
        let query = Event::Query(NewQuery {
            id: id.clone(),
            number,
            class: ClassIndex(class),
            tenant: (tenants > 0).then(|| TenantIndex(chance.below(tenants))),
            key: None,
            arrived: self.now - chance.between(0.0, 20.0),
            deadline: self.now + chance.between(100.0, 4000.0),
            parts,
            client_retry: false,
        });
        self.open.insert(number, Query { id, class, second: false });
        let part = |no| self.part(number, format!("q{number}.{no}"), 1.0 / f64::from(parts));
        std::iter::once(query).chain((0..parts).map(part)).collect()
    }

    fn load(&mut self) -> Option<LoadReport> {
        let busy = (self.busy + self.chance.between(-0.1, 0.1)).max(0.0);
        self.chance.of(0.6).then(|| LoadReport {
            queue: self.chance.of(0.5).then(|| self.chance.between(0.0, 9.0).floor()),
            in_flight: None,
            utilization: self.chance.of(0.9).then_some(busy),
            throughput: self.chance.of(0.8).then(|| self.chance.between(0.0, 90.0).floor()),
        })
    }

    fn ends(&mut self) -> Vec<Event> {
        let due = self.out.iter().filter(|(_, (at, ..))| *at <= self.now);
        let due: Vec<_> = due.map(|(key, _)| key.clone()).collect();
        let mut events = Vec::new();
        for key in due {
            let Some((_, outcome, replica, sent)) = self.out.remove(&key) else { continue };
            let load = self.load().filter(|_| outcome == Outcome::Completed);
            let latency = self.now - sent;
            let (part, attempt) = key;
            events.push(Event::AttemptEnded(AttemptEnded { part, attempt, replica, outcome, latency, load }));
        }
        events
    }

    fn events(&mut self) -> Vec<Event> {
        let mut events = self.ends();
        for replica in std::mem::take(&mut self.probed) {
            let (ok, load) = (self.chance.of(0.6), self.load());
            events.push(Event::ProbeEnded { replica, ok, load });
        }
        if self.chance.of(0.04) {
            events.push(self.list());
        }
        if self.chance.of(0.03) {
            let gone = self.chance.below(self.open.len().max(1));
            let gone = self.open.iter().nth(gone).map(|(number, query)| (*number, query.id.clone()));
            if let Some((number, id)) = gone {
                self.open.remove(&number);
                events.push(Event::ClientGone(id));
            }
        }
        let waits = |(number, query): (&u64, &Query)| query.second.then_some(*number);
        for number in self.open.iter().filter_map(waits).collect::<Vec<_>>() {
            let class = self.open.get(&number).map_or(0, |query| query.class);
            let parts = self.settings.classes[class].second_step_parts;
            if !self.attempts.contains_key(&PartId::from(format!("q{number}.f").as_str())) {
                self.attempts.insert(format!("q{number}.f").as_str().into(), 0);
                for no in 0..parts {
                    events.push(self.part(number, format!("q{number}.f{no}"), 1.0 / f64::from(parts)));
                }
            }
        }
        if self.chance.of(0.3) {
            events.extend(self.query());
        }
        if self.chance.of(0.7) {
            events.push(Event::Wake);
        }
        events
    }

    fn carry(&mut self, action: Action) {
        match action {
            Action::Send { part, replica, timeout, .. } => {
                let count = self.attempts.entry(part.clone()).or_default();
                let attempt = Attempt(*count);
                *count += 1;
                let no = self.lines.iter().position(|line| line.id == replica).unwrap_or_default();
                let took = self.latency * self.chance.between(0.5, 2.0);
                let (after, outcome) = match self.modes[no] {
                    Mode::Answers => (took, Outcome::Completed),
                    Mode::Loses if self.chance.of(0.7) => (took, Outcome::Completed),
                    Mode::Hangs | Mode::Loses => (f64::INFINITY, Outcome::TimedOut),
                    Mode::Ends(outcome) => (took * self.chance.between(0.01, 1.0), outcome),
                };
                let outcome = if after < timeout { outcome } else { Outcome::TimedOut };
                let end = (self.now + after.min(timeout), outcome, replica, self.now);
                self.out.insert((part, attempt), end);
            }
            Action::Cancel { part, attempt, .. } => {
                let late = self.chance.of(0.1);
                if let Some(end) = self.out.get_mut(&(part, attempt)).filter(|_| !late) {
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

    /// What no event tells: other settings, another process, a process that goes on from what was written down.
    fn meddle(&mut self) {
        if self.chance.of(0.01) {
            let other = settings(&mut self.chance);
            // Classes that are held keep their places, and further ones may come.
            let mut classes = self.settings.classes.clone();
            for class in &mut classes {
                class.aim = self.chance.pick(&[150.0, 400.0, 1000.0, 2000.0]);
            }
            classes.extend(other.classes.get(1).cloned().filter(|_| classes.len() < 5));
            self.settings = Settings { classes, ..other };
            self.router.apply_settings(self.settings.clone()).expect("settings are sound");
        }
        if self.chance.of(0.005) {
            let seed = self.next ^ self.digest;
            let mut after = Router::new(self.settings.clone(), seed).expect("settings are sound");
            // Where a figure has grown beyond all bounds it can't be told, and the new process begins anew.
            let understood = after.import_learned(&self.router.export_learned());
            self.digest = hash(&format!("{} {understood}", self.digest));
            self.router = after;
            self.out.clear();
            self.open.clear();
        }
        if self.chance.of(0.01) {
            let state = postcard::to_stdvec(&self.router).expect("it can be written down");
            self.router = postcard::from_bytes(&state).expect("and read again");
        }
        if self.chance.of(0.05) {
            let no = self.chance.below(self.modes.len());
            self.modes[no] = match self.chance.below(8) {
                0 | 1 => Mode::Hangs,
                2 => Mode::Loses,
                3 => Mode::Ends(self.chance.pick(&[
                    Outcome::Errored,
                    Outcome::Rejected,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::NotSent,
                ])),
                _ => Mode::Answers,
            };
        }
        if self.chance.of(0.01) {
            // All at once: a shared cause.
            let mode =
                self.chance.pick(&[Mode::Answers, Mode::Answers, Mode::Hangs, Mode::Ends(Outcome::Reset)]);
            self.modes.fill(mode);
            (self.latency, self.busy) = (self.chance.between(5.0, 900.0), self.chance.between(0.2, 1.0));
        }
    }

    fn step(&mut self) {
        // Mostly a tick, now and then less or a stall.
        self.now += match self.chance.below(40) {
            0 => self.chance.between(0.0, 5.0),
            1 => self.chance.between(5.0, 700.0),
            _ => self.settings.tick * (1 + self.chance.below(5)) as f64,
        };
        self.meddle();
        let events = self.events();
        let actions = self.router.step(self.now, events);
        self.digest = hash(&format!("{} {}", self.digest, encoding::encode(&actions)));
        actions.into_iter().for_each(|action| self.carry(action));
    }
}

/// Plays the history of a seed for so many steps, with a look at the router after each; a digest of all its actions.
pub fn play(seed: u64, steps: usize, mut look: impl FnMut(&Router)) -> u64 {
    let mut history = History::new(seed);
    let lines = history.lines.clone();
    let news = if seed.is_multiple_of(2) { ListUpdate::Full(lines) } else { ListUpdate::Cached(lines) };
    history.router.step(0.0, vec![Event::List(news)]);
    for _ in 0..steps {
        history.step();
        look(&history.router);
    }
    history.digest
}
