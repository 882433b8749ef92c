//! System calls that fail as Linux documents, and a wrong wall clock: every accepted request is still answered.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::aggregator::{endpoint, read_answer, Aggregator};
use crate::stand_in::{self, Behavior, Wire, WIRES};

const HOUR_MS: i64 = 3_600_000;

/// Sends a query of one shard on an open connection and returns the status, or `None` if it ends without an answer.
fn query_on(stream: &mut TcpStream, aggregator: &Aggregator, shard: u32) -> Option<u16> {
    stream.write_all(aggregator.query_bytes("", "run-lookup", &[shard], 5000).as_bytes()).ok()?;
    stream.peek(&mut [0]).ok().filter(|count| *count > 0)?;
    Some(read_answer(stream).status)
}

/// A read or write that is interrupted, or fails for a temporary lack of memory, must not end the connection: the
/// request on it would be lost.
#[test]
fn temporarily_failing_reads_and_writes_lose_no_request() {
    const QUERIES: u32 = 40;
    for (wire, faults) in WIRES.into_iter().flat_map(|wire| {
        ["seed=1 recv=EINTR@30 send=EINTR@30", "seed=2 recv=ENOMEM@20 send=ENOBUFS@20"].map(|f| (wire, f))
    }) {
        let aggregator = Aggregator::start_with_faults(wire, 2, Some(faults), |_, _| {});
        let mut kept = aggregator.connect();
        let answered: Vec<_> = (0..QUERIES).map(|n| query_on(&mut kept, &aggregator, n % 4)).collect();
        assert_eq!(answered, vec![Some(200); QUERIES as usize], "{wire:?} {faults}");
    }
}

/// A failure of accept that concerns only the new connection (ECONNABORTED and the errors that accept(2) says to treat
/// alike) does not mean that descriptors are short, so no idle connection may be closed for it.
#[test]
fn an_aborted_connection_closes_no_other() {
    for wire in WIRES {
        let aggregator =
            Aggregator::start_with_faults(wire, 1, Some("seed=3 accept=ECONNABORTED@60"), |_, _| {});
        let mut kept = aggregator.connect();
        assert_eq!(query_on(&mut kept, &aggregator, 0), Some(200), "{wire:?}");
        for _ in 0..10 {
            assert!(aggregator.ask("run-lookup", &[1], 5000).is_whole(), "{wire:?}");
        }
        assert_eq!(
            query_on(&mut kept, &aggregator, 2),
            Some(200),
            "{wire:?}: a briefly idle connection is kept"
        );
    }
}

/// Time that a run store with one core takes for a part in the tests below, in milliseconds.
const WORK_MS: u64 = 50;
/// Window in which the parts sent to a cold run store are limited, in milliseconds.
const WINDOW_MS: f64 = 1000.0;
/// The setting `fall_multiple`: the multiple of its present capacity above which a cold run store fails.
const FALL_MULTIPLE: f64 = 2.0;
/// The setting `cold_from`: the share of its capacity that a cold run store has at its start.
const COLD_FROM: f64 = 0.3;

/// Starts an aggregator that has learned how long a part takes on a warm run store, with room for a further run store.
fn start_with_known_service_time(wire: Wire, stores: usize, faults: Option<&str>) -> Aggregator {
    let aggregator = Aggregator::start_with_faults(wire, stores, faults, |config, _| {
        config["settings"]["rules"] = json!({"cold_from": COLD_FROM, "fall_multiple": FALL_MULTIPLE,
            "overload_for_ms": WINDOW_MS, "warm_within_ms": 16000.0});
        config["settings"]["domain"]["cells"] = json!(2);
        config["settings"]["domain"]["width"] = json!(2);
    });
    aggregator.backends.change(|state| state.service_time = Duration::from_millis(WORK_MS));
    for shard in 0..8 {
        assert!(aggregator.ask("run-lookup", &[shard % 4], 5000).is_whole(), "{wire:?}");
    }
    aggregator
}

/// Sends a burst and asserts that it does not overload the cold run store 1. With N parts allowed in the window of the
/// settings, a cold run store fails at more than N + 2 sqrt(N) + 2 parts of mean work, or N + 3 sqrt(N) + 3 if N is
/// below 30.
fn assert_burst_within_limit(aggregator: &Aggregator, case: &str) {
    let reached = || aggregator.backends.read(|state| state.parts.iter().filter(|part| part.0 == 1).count());
    let before = reached();
    let clients: Vec<_> = (0..60).map(|n| aggregator.send_query("run-lookup", &[n % 4], 900)).collect();
    std::thread::sleep(Duration::from_millis(WINDOW_MS as u64));
    let sent = reached() - before;
    let allowed = FALL_MULTIPLE * COLD_FROM * WINDOW_MS / WORK_MS as f64;
    let limit = allowed + 3.0 * allowed.sqrt() + 3.0;
    assert!(sent as f64 <= limit, "{:?} {case}: {sent} parts sent with {allowed} allowed", aggregator.wire);
    drop(clients);
}

/// The wall clock of the process is wrong by an hour. A run store that has just started must still be treated as cold.
#[test]
fn a_starting_run_store_is_cold_even_if_the_wall_clock_is_wrong() {
    for (wire, ahead_ms) in WIRES.into_iter().flat_map(|wire| [-HOUR_MS, 0, HOUR_MS].map(|ms| (wire, ms))) {
        let aggregator = start_with_known_service_time(wire, 1, Some(&format!("seed=4 wall_ms={ahead_ms}")));
        let cold = stand_in::start_run_store(&aggregator.backends, wire, 1);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        aggregator.backends.publish_and_wait(json!([endpoint(1, cold, "ready", now)]));
        assert_burst_within_limit(&aggregator, &format!("ahead by {ahead_ms} ms"));
    }
}

/// The wall clock is stepped by an hour between an operator's call and the start of the process that takes over.
/// The run store that the call returned to service must still be treated as cold.
#[test]
fn a_run_store_returned_to_service_is_cold_for_a_new_process_after_a_clock_step() {
    for (wire, ahead_ms) in WIRES.into_iter().flat_map(|wire| [-HOUR_MS, HOUR_MS].map(|ms| (wire, ms))) {
        let old = start_with_known_service_time(wire, 2, Some(&format!("seed=5 wall_ms={ahead_ms}")));
        assert_eq!(old.call_operator("PUT", "/run-stores/s-1/maint").status, 200, "{wire:?}");
        assert_eq!(old.call_operator("PUT", "/run-stores/s-1/ready").status, 200, "{wire:?}");
        old.set_faults(None);
        let new = old.start_successor();
        old.wait_for_log("the new process serves");
        assert_burst_within_limit(&new, &format!("the old process was ahead by {ahead_ms} ms"));
    }
}

/// If the process can briefly open no descriptor, that must neither count as a failure of the run stores nor use up the
/// attempts: the query is served as soon as descriptors are available.
#[test]
fn a_brief_lack_of_descriptors_does_not_count_against_run_stores() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 2);
        let mut kept = aggregator.connect();
        kept.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(read_answer(&mut kept).status, 200, "{wire:?}");
        aggregator.allow_new_descriptors(false);
        kept.write_all(aggregator.query_bytes("", "run-lookup", &[0, 1, 2, 3], 5000).as_bytes()).unwrap();
        std::thread::sleep(Duration::from_millis(150));
        aggregator.allow_new_descriptors(true);
        let answer = read_answer(&mut kept);
        assert!(answer.is_whole(), "{wire:?}: {answer:?}");
        let ejected = aggregator.call_operator("GET", "/stats").body;
        assert!(ejected.contains("aggregator.pool_ejected:0|g"), "{wire:?}: {ejected}");
    }
}

/// The wall clock is stepped by an hour while a query waits. Time-outs and windows must follow the monotonic clock, and
/// a run store that starts after the step, with a start time by the stepped clock, must be treated as cold.
#[test]
fn a_step_of_the_wall_clock_changes_no_timeout_or_cold_start() {
    const TIMEOUT: Duration = Duration::from_millis(2500);
    const STEP_AFTER_MS: i64 = 2000;
    for (wire, step_ms) in WIRES.into_iter().flat_map(|wire| [-HOUR_MS, HOUR_MS].map(|ms| (wire, ms))) {
        let aggregator = start_with_known_service_time(
            wire,
            1,
            Some(&format!("seed=7 wall_step={STEP_AFTER_MS}:{step_ms}")),
        );
        aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
        let asked = Instant::now();
        let waiting = aggregator.ask("shift-entry", &[0], TIMEOUT.as_millis() as u32);
        let took = asked.elapsed();
        assert_eq!(waiting.status, 500, "{wire:?} {step_ms}: {waiting:?}");
        assert!(
            took > TIMEOUT / 2 && took < TIMEOUT + Duration::from_millis(500),
            "{wire:?} {step_ms}: {took:?}"
        );
        aggregator.backends.set_behavior(0, Behavior::Serve);
        let cold = stand_in::start_run_store(&aggregator.backends, wire, 1);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
        aggregator.backends.publish_and_wait(json!([endpoint(1, cold, "ready", (now + step_ms) as u64)]));
        assert_burst_within_limit(&aggregator, &format!("stepped by {step_ms} ms"));
    }
}

/// The process is repeatedly stopped for 0.15 s. The time-out that a run store gets is at most the client's remaining
/// time plus those 0.15 s.
#[test]
fn a_stopped_process_passes_on_at_most_the_remaining_time_plus_slack() {
    const TIMEOUT_MS: u32 = 1000;
    const STOPPED_FOR: Duration = Duration::from_millis(150);
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 2);
        for no in 0..10 {
            let written = Instant::now();
            let mut client = aggregator.send_query("run-lookup", &[no % 4], TIMEOUT_MS);
            aggregator.signal("STOP");
            std::thread::sleep(STOPPED_FOR);
            aggregator.signal("CONT");
            assert!(read_answer(&mut client).is_whole(), "{wire:?}");
            let (sent_timeout_ms, at) = aggregator
                .backends
                .read(|state| (*state.timeouts_ms.last().unwrap(), *state.arrived_at.last().unwrap()));
            let waited = at.duration_since(written).as_millis() as u64;
            // Delivery of the signals takes some time as well.
            let slack = STOPPED_FOR.as_millis() as u64 + 50;
            assert!(
                sent_timeout_ms + waited <= u64::from(TIMEOUT_MS) + slack,
                "{wire:?}: the part carries {sent_timeout_ms} ms after {waited} ms"
            );
        }
    }
}

/// Reads and writes fail temporarily while a new process takes over and the old one gets SIGTERM. Neither process may
/// take the other for gone, and the signal must not be lost.
#[test]
fn handover_and_shutdown_survive_temporarily_failing_calls() {
    const KILL_DELAY: Duration = Duration::from_millis(3700);
    for seed in 1..=6 {
        let faults = format!("seed={seed} recv=ENOMEM@30 send=ENOBUFS@30");
        let mut old = Aggregator::start_with_faults(Wire::Frames, 1, Some(&faults), |_, _| {});
        let new = old.start_successor();
        old.wait_for_log("the new process serves");
        std::thread::sleep(Duration::from_millis(300));
        let signalled = Instant::now();
        old.signal("TERM");
        old.wait_for_log("draining");
        assert_eq!(old.wait().code(), Some(0), "seed {seed}");
        assert!(signalled.elapsed() < KILL_DELAY, "seed {seed}: {:?}", signalled.elapsed());
        assert!(new.ask("run-lookup", &[0], 5000).is_whole(), "seed {seed}");
        // The new process takes the place of the old one's socket shortly after it has seen that the old one is gone.
        new.wait_for_log("the old process is gone");
        std::thread::sleep(Duration::from_millis(100));
        let newer = new.start_successor();
        new.wait_for_log("the new process serves");
        assert!(newer.ask("run-lookup", &[1], 5000).is_whole(), "seed {seed}");
    }
}

/// Accept fails occasionally while many clients with a very short time-out connect at once. The delay after each
/// failure must not add up: every client gets its answer at most half a second after its time-out.
#[test]
fn occasional_accept_failures_do_not_delay_queued_clients_for_long() {
    // The length of the listener's queue.
    const CLIENTS: u32 = 120;
    const TIMEOUT_MS: u32 = 50;
    const LATEST: Duration = Duration::from_millis(TIMEOUT_MS as u64 + 500);
    for wire in WIRES {
        let aggregator = Aggregator::start_with_faults(wire, 1, Some("seed=8 accept=ENFILE@15"), |_, _| {});
        std::thread::scope(|scope| {
            for no in 0..CLIENTS {
                let mut client = aggregator.send_query("run-lookup", &[no % 4], TIMEOUT_MS);
                let written = Instant::now();
                scope.spawn(move || {
                    let status = read_answer(&mut client).status;
                    assert!(written.elapsed() < LATEST, "{wire:?}: {status} after {:?}", written.elapsed());
                });
            }
        });
    }
}
