//! The cost of a step of the decision module, by the size of the fleet and by what is in flight: in each step one query of
//! one part comes and one part that is out is completed.
//!
//! `cargo bench --bench module`; the whole grid, with figures, is `benches/scale.rs`.

mod load;

use std::time::Duration;

use divan::Bencher;
use load::Load;

fn main() {
    divan::main();
}

fn steps(bencher: Bencher, stores: u32, flights: usize, all: bool) {
    let mut load = Load::new(stores, flights, all, Duration::MAX).expect("there is time enough");
    let events = load.turn();
    load.play(events);
    bencher.bench_local(move || {
        let events = load.turn();
        load.play(events);
    });
}

/// In flight: 100 to 10,000 at 60 run stores, of which three hold a shard.
#[divan::bench(args = [100, 1000, 4000, 10_000])]
fn in_flight_at_60(bencher: Bencher, flights: usize) {
    steps(bencher, 60, flights, false);
}

/// The fleet: 60 to 57,000 run stores with 1000 in flight, of which three hold a shard.
#[divan::bench(args = [60, 600, 6000, 57_000])]
fn stores_of_which_three_hold(bencher: Bencher, stores: u32) {
    steps(bencher, stores, 1000, false);
}

/// The fleet where all hold each shard: 60 to 600 run stores with 1000 in flight.
#[divan::bench(args = [60, 600])]
fn stores_of_which_all_hold(bencher: Bencher, stores: u32) {
    steps(bencher, stores, 1000, true);
}
