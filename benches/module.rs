//! The cost of a step of the decision module, by the size of the fleet and by what is in flight: in each step one query of
//! one part comes and one part that is out is completed.
//!
//! `cargo bench --bench module`; figures are in `docs/measurements/module.md`.

use std::collections::VecDeque;

use divan::Bencher;
use ironpaddle::api::*;
use ironpaddle::Router;

fn main() {
    divan::main();
}

/// A fleet and what is out on it.
struct Load {
    router: Router,
    now: Millis,
    next: u64,
    shards: u32,
    out: VecDeque<(PartId, ReplicaId)>,
}

impl Load {
    /// So many run stores, each shard held by three of them or by all, with so many parts in flight.
    fn new(stores: u32, flights: usize, all: bool) -> Self {
        let class = |repeat| Class {
            aim: 2000.0,
            repeat,
            worth: 1.0,
            late_worth: 0.1,
            least_share: 1.0,
            whole_from: 1.0,
            partial_earns: 0.9,
            second_step: 0,
        };
        let (cells, width) = if all { (1, 1) } else { (stores, 3.min(stores)) };
        let settings = Settings {
            classes: vec![class(Repeat::Safe), class(Repeat::Unsafe)],
            over_share_worth: 0.05,
            routers: 3,
            cells,
            width,
            call_parts: 1,
            max_attempts: 3,
            may_cancel: true,
            parallel_tries: true,
            probes: true,
            max_retry_after: 2000.0,
            tick: 5.0,
            ..Settings::default()
        };
        let mut router = Router::new(settings, 7).expect("sound");
        let line = |no: u32| Replica {
            id: format!("s-{no}").as_str().into(),
            cell: no % cells,
            weight: 1.0,
            ..Replica::default()
        };
        router.step(0.0, vec![Event::List(ListNews::Full((0..stores).map(line).collect()))]);
        let mut load = Load { router, now: 0.0, next: 0, shards: stores * 2, out: VecDeque::new() };
        while load.out.len() < flights {
            load.step(false);
        }
        // What has long been out is no longer looked at anew by every step.
        (0..50).for_each(|_| load.step(true));
        load
    }

    fn step(&mut self, complete: bool) {
        // What is out stays out for as long as it takes to be completed; the clock stands still meanwhile.
        if complete {
            self.now += 0.01;
        }
        self.next += 1;
        let (number, class) = (self.next, ClassIndex((self.next % 2) as usize));
        let id = PartId::from(format!("q{number}.0").as_str());
        let shard = Shard((number.wrapping_mul(0x9e37_79b9) % u64::from(self.shards)) as u32);
        let mut events = vec![
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
        ];
        if let Some((part, replica)) = complete.then(|| self.out.pop_front()).flatten() {
            events.push(Event::AttemptEnded(AttemptEnded {
                part,
                attempt: Attempt(0),
                replica,
                outcome: Outcome::Completed,
                latency: 50.0,
                load: Some(LoadReport {
                    utilization: Some(0.5),
                    throughput: Some(3.0),
                    ..LoadReport::default()
                }),
            }));
        }
        for action in self.router.step(self.now, events) {
            if let Action::Send { part, replica, .. } = action {
                self.out.push_back((part, replica));
            }
        }
    }
}

/// In flight: 100 to 10,000 at 60 run stores, of which three hold a shard.
#[divan::bench(args = [100, 1000, 4000, 10_000])]
fn in_flight_at_60(bencher: Bencher, flights: usize) {
    let mut load = Load::new(60, flights, false);
    bencher.bench_local(move || load.step(true));
}

/// The fleet: 60 to 6000 run stores with 1000 in flight, of which three hold a shard.
#[divan::bench(args = [60, 600, 6000])]
fn stores_of_which_three_hold(bencher: Bencher, stores: u32) {
    let mut load = Load::new(stores, 1000, false);
    bencher.bench_local(move || load.step(true));
}

/// The fleet where all hold each shard: 60 to 600 run stores with 1000 in flight.
#[divan::bench(args = [60, 600])]
fn stores_of_which_all_hold(bencher: Bencher, stores: u32) {
    let mut load = Load::new(stores, 1000, true);
    bencher.bench_local(move || load.step(true));
}
