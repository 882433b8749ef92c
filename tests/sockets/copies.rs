//! Parts must not be in flight twice unless second copies are allowed. In these tests a run store accepts a part and
//! then stops reading, so that it cannot see the cancellation until the test releases it.

use std::thread::sleep;
use std::time::Duration;

use serde_json::{json, Value};

use crate::aggregator::{endpoint, read_answer, Aggregator};
use crate::stand_in::{start_run_store, Behavior, Release, Wire, WIRES};

/// Far longer than an immediate retry takes.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Enough run stores that one ended connection does not count as a mass failure, after which the router would not retry
/// the query at the others.
const RUN_STORES: usize = 5;

/// An aggregator with one query, whose part is held by a run store.
struct HeldPart {
    aggregator: Aggregator,
    client: std::net::TcpStream,
    /// The run store that holds the part.
    store: usize,
}

/// Starts an aggregator and sends a query. The run store that gets its part handles it by `behavior`; all others serve.
fn hold_part(wire: Wire, behavior: Behavior, timeout_ms: u32, caps: &[(&str, Value)]) -> HeldPart {
    let aggregator = Aggregator::start_with_config(wire, RUN_STORES, |config, _| {
        for (name, value) in caps {
            config["settings"]["caps"][*name] = value.clone();
        }
    });
    (0..RUN_STORES).for_each(|store| aggregator.backends.set_behavior(store, behavior));
    let client = aggregator.send_query("run-lookup", &[1], timeout_ms);
    aggregator.backends.wait("the part", |state| state.parts.len() == 1);
    let store = aggregator.backends.read(|state| state.parts[0].0);
    (0..RUN_STORES)
        .filter(|other| *other != store)
        .for_each(|other| aggregator.backends.set_behavior(other, Behavior::Serve));
    HeldPart { aggregator, client, store }
}

impl HeldPart {
    /// Sets how the run store that holds the part continues.
    fn release(&self, how: Release) {
        self.aggregator.backends.change(|state| {
            state.releases.insert(self.store, how);
        });
    }

    /// Returns the number of parts that have arrived and of second copies among them.
    fn parts(&self) -> (usize, usize) {
        self.aggregator.backends.read(|state| (state.parts.len(), state.second_copies))
    }

    /// Asserts that the part is retried at another run store only after the release, or not at all if `served_there`.
    fn assert_ended_before_retry(mut self, how: Release, served_there: bool, case: &str) {
        sleep(SETTLING_TIME);
        assert_eq!(self.parts(), (1, 0), "{case}: nothing proves yet that the part has ended");
        self.release(how);
        assert!(read_answer(&mut self.client).is_whole(), "{case}");
        assert_eq!(self.parts(), (if served_there { 1 } else { 2 }, 0), "{case}");
    }
}

#[test]
fn a_cancelled_part_is_retried_once_its_run_store_has_read_the_cancellation_or_ended_it() {
    let run_case = |wire, how, probes| {
        let held = hold_part(wire, Behavior::StopReading, 9000, &[("probes", json!(probes))]);
        // The part is cancelled in the same step.
        held.aggregator.wait_for_log(&format!("s-{} parked", held.store));
        held.assert_ended_before_retry(
            how,
            how == Release::Serve,
            &format!("{wire:?} {how:?} probes {probes}"),
        );
    };
    std::thread::scope(|scope| {
        for wire in WIRES {
            for how in [Release::Read, Release::Serve, Release::Close] {
                for probes in [true, false] {
                    scope.spawn(move || run_case(wire, how, probes));
                }
            }
        }
    });
}

#[test]
fn a_part_alone_on_an_unresponsive_connection_is_retried_once_its_run_store_closes_it() {
    for wire in WIRES {
        let mut held = hold_part(wire, Behavior::Unresponsive, 9000, &[]);
        // The run store answers no probe, but reads that the aggregator has closed the connection.
        assert!(read_answer(&mut held.client).is_whole(), "{wire:?}");
        assert_eq!(held.parts().0, 2, "{wire:?}");
    }
}

#[test]
fn a_part_at_a_run_store_that_hangs_forever_is_not_duplicated_and_ends_in_time() {
    for wire in WIRES {
        let mut held = hold_part(wire, Behavior::StopReading, 1500, &[]);
        held.aggregator.wait_for_log("parked");
        assert_eq!(read_answer(&mut held.client).status, 500, "{wire:?}");
        assert_eq!(held.parts(), (1, 0), "{wire:?}");
        // The next query is served by another run store.
        assert!(held.aggregator.ask("run-lookup", &[2], 1500).is_whole(), "{wire:?}");
    }
}

#[test]
fn with_second_copies_allowed_a_part_is_retried_at_once() {
    for wire in WIRES {
        let mut held = hold_part(wire, Behavior::StopReading, 9000, &[("parallel_tries", json!(true))]);
        assert!(read_answer(&mut held.client).is_whole(), "{wire:?}");
        assert_eq!(held.parts(), (2, 1), "{wire:?}: the first copy is still held");
    }
}

#[test]
fn after_the_aggregator_closes_a_connection_its_part_is_retried_once_the_run_store_has_ended_it_too() {
    let moved = |wire, how| {
        let held = hold_part(wire, Behavior::StopReading, 9000, &[]);
        // The same process of the run store now listens on another address.
        let new_address = start_run_store(&held.aggregator.backends, wire, RUN_STORES);
        held.aggregator.backends.publish_and_wait(json!([endpoint(held.store, new_address, "ready", 0)]));
        held.assert_ended_before_retry(how, how == Release::Serve, &format!("moved, {wire:?} {how:?}"));
    };
    let garbage = |wire, how| {
        let held = hold_part(wire, Behavior::GarbageThenStopReading, 9000, &[]);
        held.assert_ended_before_retry(how, false, &format!("garbage, {wire:?} {how:?}"));
    };
    std::thread::scope(|scope| {
        for wire in WIRES {
            for how in [Release::Read, Release::Close] {
                scope.spawn(move || moved(wire, how));
                scope.spawn(move || garbage(wire, how));
            }
            scope.spawn(move || moved(wire, Release::Serve));
        }
    });
}
