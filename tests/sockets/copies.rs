//! Parts must not be in flight twice unless second copies are allowed. In these tests a run store accepts a part and
//! then stops reading, so that it cannot see the cancellation until the test releases it.

use std::thread::sleep;
use std::time::Duration;

use serde_json::{json, Value};

use crate::aggregator::{answer, line, Aggregator};
use crate::stand_in::{run_store, Act, Release, Wire, WIRES};

/// Far longer than an immediate retry takes.
const A_WHILE: Duration = Duration::from_millis(500);

/// Enough run stores that one ended connection does not count as a mass failure, after which the router would not retry
/// the query at the others.
const STORES: usize = 5;

/// An aggregator with one query, whose part is held by a run store.
struct Held {
    aggregator: Aggregator,
    client: std::net::TcpStream,
    /// The run store that holds the part.
    store: usize,
}

/// Starts an aggregator and sends a query. The run store that gets its part handles it by `act`; all others serve.
fn held(wire: Wire, act: Act, timeout_ms: u32, caps: &[(&str, Value)]) -> Held {
    let aggregator = Aggregator::changed(wire, STORES, |config, _| {
        for (name, value) in caps {
            config["settings"]["caps"][*name] = value.clone();
        }
    });
    (0..STORES).for_each(|store| aggregator.board.act(store, act));
    let client = aggregator.begin("run-lookup", &[1], timeout_ms);
    aggregator.board.wait("the part", |state| state.parts.len() == 1);
    let store = aggregator.board.read(|state| state.parts[0].0);
    (0..STORES).filter(|other| *other != store).for_each(|other| aggregator.board.act(other, Act::Serve));
    Held { aggregator, client, store }
}

impl Held {
    /// Sets how the run store that holds the part continues.
    fn release(&self, how: Release) {
        self.aggregator.board.change(|state| {
            state.releases.insert(self.store, how);
        });
    }

    /// Returns the number of parts that have arrived and of second copies among them.
    fn parts(&self) -> (usize, usize) {
        self.aggregator.board.read(|state| (state.parts.len(), state.copies))
    }

    /// Asserts that the part is retried at another run store only after the release, or not at all if `served_there`.
    fn goes_on(mut self, how: Release, served_there: bool, about: &str) {
        sleep(A_WHILE);
        assert_eq!(self.parts(), (1, 0), "{about}: nothing proves yet that the part has ended");
        self.release(how);
        assert!(answer(&mut self.client).whole(), "{about}");
        assert_eq!(self.parts(), (if served_there { 1 } else { 2 }, 0), "{about}");
    }
}

#[test]
fn a_part_given_up_in_silence_goes_again_once_its_run_store_has_read_so_or_has_ended_it() {
    let play = |wire, how, probes| {
        let held = held(wire, Act::Hold, 9000, &[("probes", json!(probes))]);
        // The part is cancelled in the same step.
        held.aggregator.logged(&format!("s-{} parked", held.store));
        held.goes_on(how, how == Release::Serve, &format!("{wire:?} {how:?} probes {probes}"));
    };
    std::thread::scope(|scope| {
        for wire in WIRES {
            for how in [Release::Read, Release::Serve, Release::Close] {
                for probes in [true, false] {
                    scope.spawn(move || play(wire, how, probes));
                }
            }
        }
    });
}

#[test]
fn a_part_alone_on_a_connection_that_has_fallen_silent_goes_again_once_its_run_store_has_ended_that() {
    for wire in WIRES {
        let mut held = held(wire, Act::Mute, 9000, &[]);
        // The run store answers no probe, but reads that the aggregator has closed the connection.
        assert!(answer(&mut held.client).whole(), "{wire:?}");
        assert_eq!(held.parts().0, 2, "{wire:?}");
    }
}

#[test]
fn a_part_at_a_run_store_that_hangs_for_good_is_not_out_twice_and_ends_in_time() {
    for wire in WIRES {
        let mut held = held(wire, Act::Hold, 1500, &[]);
        held.aggregator.logged("parked");
        assert_eq!(answer(&mut held.client).status, 500, "{wire:?}");
        assert_eq!(held.parts(), (1, 0), "{wire:?}");
        // The next query is served by another run store.
        assert!(held.aggregator.ask("run-lookup", &[2], 1500).whole(), "{wire:?}");
    }
}

#[test]
fn where_second_copies_are_allowed_a_part_goes_again_at_once() {
    for wire in WIRES {
        let mut held = held(wire, Act::Hold, 9000, &[("parallel_tries", json!(true))]);
        assert!(answer(&mut held.client).whole(), "{wire:?}");
        assert_eq!(held.parts(), (2, 1), "{wire:?}: the first copy is still held");
    }
}

#[test]
fn a_connection_that_is_ended_here_is_over_once_its_run_store_has_ended_it_too() {
    let moved = |wire, how| {
        let held = held(wire, Act::Hold, 9000, &[]);
        // The same process of the run store now listens on another address.
        let there = run_store(&held.aggregator.board, wire, STORES);
        held.aggregator.board.tell(json!([line(held.store, there, "ready", 0)]));
        held.goes_on(how, how == Release::Serve, &format!("moved, {wire:?} {how:?}"));
    };
    let spoilt = |wire, how| {
        let held = held(wire, Act::SpoilAndHold, 9000, &[]);
        held.goes_on(how, false, &format!("spoilt, {wire:?} {how:?}"));
    };
    std::thread::scope(|scope| {
        for wire in WIRES {
            for how in [Release::Read, Release::Close] {
                scope.spawn(move || moved(wire, how));
                scope.spawn(move || spoilt(wire, how));
            }
            scope.spawn(move || moved(wire, Release::Serve));
        }
    });
}
