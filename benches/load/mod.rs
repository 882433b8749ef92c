//! Simulates a fleet under a steady load for the benchmarks. Each part completes after the same time, and the clock
//! advances between queries so that the number of parts in flight stays the same (Little's law).

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use ironpaddle::api::*;
use ironpaddle::Router;

/// The latency of each part, in milliseconds.
const LATENCY: Millis = 200.0;
/// The maximum number of queries that arrive in one step while the load is built.
const MAX_BATCH: usize = 50;
/// The router's tick, in milliseconds.
pub const TICK: Millis = 5.0;

/// A fleet and the parts in flight on it.
pub struct Load {
    router: Router,
    /// The current time, in milliseconds.
    pub now: Millis,
    /// The number of the last query; `benches/scale.rs` also counts changed lines with it.
    pub next: u64,
    /// The number of run stores.
    pub run_stores: u32,
    cells: u32,
    /// The number of parts that are kept in flight.
    target_in_flight: usize,
    /// The parts in flight, oldest first: the part, its run store, and when it was sent.
    in_flight: VecDeque<(PartId, ReplicaId, Millis)>,
}

impl Load {
    /// Builds a fleet of `run_stores` run stores with `target_in_flight` parts in flight. Each shard is held by all run
    /// stores if `all` is true, and otherwise by three. Returns `None` if building takes longer than `within`.
    pub fn new(run_stores: u32, target_in_flight: usize, all: bool, within: Duration) -> Option<Self> {
        let class = |repeat| Class {
            aim: 2000.0,
            repeat,
            worth: 1.0,
            late_worth: 0.1,
            least_share: 1.0,
            whole_from: 1.0,
            partial_worth: 0.9,
            second_step_parts: 0,
        };
        let (cells, width) = if all { (1, 1) } else { (run_stores, 3.min(run_stores)) };
        let settings = Settings {
            classes: vec![class(RepeatPolicy::Safe), class(RepeatPolicy::Unsafe)],
            over_share_worth: 0.05,
            routers: 3,
            cells,
            cells_per_shard: width,
            max_parts_per_call: 1,
            max_attempts: 3,
            may_cancel: true,
            parallel_attempts: true,
            probes: true,
            max_retry_after: 2000.0,
            cold: Some(ColdStartRule {
                initial_share: 0.4,
                warm_within: 10_000.0,
                overload_multiple: 2.0,
                overload_window: 1000.0,
            }),
            tick: TICK,
            ..Settings::default()
        };
        let started = Instant::now();
        let router = Router::new(settings, 7).expect("valid settings");
        let mut load = Load {
            router,
            now: 0.0,
            next: 0,
            run_stores,
            cells,
            target_in_flight,
            in_flight: VecDeque::new(),
        };
        load.list(load.lines());
        // Every part in flight is replaced once, so that the router knows load reports, rates and paces. Some queries
        // are refused meanwhile, as the first parts show the pace without load; more are sent in their place.
        let batch = (target_in_flight / 20).clamp(1, MAX_BATCH);
        let mut turnovers = 0;
        while turnovers < target_in_flight || load.in_flight.len() < target_in_flight {
            if started.elapsed() >= within {
                return None;
            }
            let missing = batch.min(target_in_flight - load.in_flight.len().min(target_in_flight));
            let mut events: Vec<Event> = (0..missing).flat_map(|_| load.query()).collect();
            if turnovers > 0 || load.in_flight.len() >= target_in_flight {
                (0..batch).for_each(|_| events.extend(load.turnover()));
                turnovers += batch;
            }
            load.play(events);
        }
        Some(load)
    }

    /// Returns the whole list.
    pub fn lines(&self) -> Vec<Replica> {
        (0..self.run_stores).map(|no| self.line(no, ReplicaState::Active)).collect()
    }

    /// Returns one line of the list.
    pub fn line(&self, no: u32, state: ReplicaState) -> Replica {
        let id = format!("s-{no}").as_str().into();
        Replica { id, cell: no % self.cells, weight: 1.0, state, ..Replica::default() }
    }

    /// Applies a whole list.
    pub fn list(&mut self, lines: Vec<Replica>) {
        self.play(vec![Event::List(ListUpdate::Full(lines))]);
    }

    /// Returns the events of a new query of one part.
    fn query(&mut self) -> [Event; 2] {
        self.next += 1;
        self.now += LATENCY / self.target_in_flight as f64;
        let (number, class) = (self.next, ClassIndex((self.next % 2) as usize));
        let id = PartId::from(format!("q{number}.0").as_str());
        let shard = Shard((number.wrapping_mul(0x9e37_79b9) % u64::from(self.run_stores * 2)) as u32);
        [
            Event::Query(NewQuery {
                id: format!("q{number}").as_str().into(),
                number,
                class,
                tenant: None,
                key: None,
                arrived: self.now,
                deadline: self.now + 6000.0,
                parts: 1,
                client_retry: false,
            }),
            Event::Part(NewPart { id, query: number, shard, weight: 1.0, cost_hint: None, key: None }),
        ]
    }

    /// Returns the events of one turnover: a query of one part arrives, and the part longest in flight completes.
    pub fn turnover(&mut self) -> Vec<Event> {
        let mut events = self.query().to_vec();
        if let Some((part, replica, sent)) = self.in_flight.pop_front() {
            events.push(Event::AttemptEnded(AttemptEnded {
                part,
                attempt: Attempt(0),
                replica,
                outcome: Outcome::Completed,
                latency: self.now - sent,
                load: Some(LoadReport {
                    utilization: Some(0.5),
                    throughput: Some(3.0),
                    ..LoadReport::default()
                }),
            }));
        }
        events
    }

    /// Steps the router with some events and notes the parts that it sends.
    pub fn play(&mut self, events: Vec<Event>) {
        for action in self.router.step(self.now, events) {
            if let Action::Send { part, replica, .. } = action {
                self.in_flight.push_back((part, replica, self.now));
            }
        }
    }
}
