//! Measures the cost of a step of the decision module, by the size of the fleet and the number of parts in flight. In
//! each step one query of one part arrives and one part in flight completes.
//!
//! Run `cargo bench --bench module`. `benches/scale.rs` measures the whole grid.

mod load;

use std::time::Duration;

use divan::Bencher;
use load::Load;

fn main() {
    divan::main();
}

fn bench_steps(bencher: Bencher, run_stores: u32, in_flight: usize, all: bool) {
    let mut load = Load::new(run_stores, in_flight, all, Duration::MAX).expect("no time limit");
    let events = load.turnover();
    load.play(events);
    bencher.bench_local(move || {
        let events = load.turnover();
        load.play(events);
    });
}

/// 100 to 10,000 parts in flight on 60 run stores, three of which hold each shard.
#[divan::bench(args = [100, 1000, 4000, 10_000])]
fn in_flight_at_60(bencher: Bencher, in_flight: usize) {
    bench_steps(bencher, 60, in_flight, false);
}

/// 60 to 57,000 run stores, three of which hold each shard, with 1000 parts in flight.
#[divan::bench(args = [60, 600, 6000, 57_000])]
fn stores_of_which_three_hold(bencher: Bencher, run_stores: u32) {
    bench_steps(bencher, run_stores, 1000, false);
}

/// 60 to 600 run stores, all of which hold each shard, with 1000 parts in flight.
#[divan::bench(args = [60, 600])]
fn stores_of_which_all_hold(bencher: Bencher, run_stores: u32) {
    bench_steps(bencher, run_stores, 1000, true);
}
