//! Edge cases: clients that leave or flood, the end of a process, and a discovery that is down or slow.

use std::io::{Read, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::aggregator::{endpoint, read_answer, Aggregator};
use crate::calls::health_status;
use crate::stand_in::{self, on_both_wires, Backends, Behavior, Wire, WIRES};

/// The time from SIGTERM to SIGKILL by the platform, for classes with deadlines over 3 s.
const KILL_DELAY: Duration = Duration::from_millis(3700);

#[test]
fn a_client_that_floods_after_its_request_is_rejected_and_its_parts_are_cancelled() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
        let mut client = aggregator.send_query("run-lookup", &[0], 9000);
        aggregator.backends.wait("the part", |state| state.parts.len() == 1);
        client.write_all(&vec![b'x'; 200_000]).unwrap();
        assert_eq!(read_answer(&mut client).status, 413, "{wire:?}");
        aggregator.backends.wait("the part to be cancelled", |state| state.cancelled == [0]);
        aggregator.wait_for_log("code=malformed");
    }
}

#[test]
fn bytes_after_a_request_do_not_hide_that_its_client_left() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
        let mut client = aggregator.send_query("run-lookup", &[0], 9000);
        aggregator.backends.wait("the part", |state| state.parts.len() == 1);
        client.write_all(b"POST /run-lookup HTTP/1.1\r\nX-Requ").unwrap();
        drop(client);
        aggregator.backends.wait("the part to be cancelled", |state| state.cancelled == [0]);
        aggregator.wait_for_log("code=client_gone");
    }
}

/// The process is stopped while clients connect, send a request and leave, so that it reads each request together with
/// the end of its connection. It must see that end and send no part.
#[test]
fn no_part_is_sent_for_clients_that_left_before_their_requests_were_read() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        aggregator.signal("STOP");
        for shard in 0..4 {
            drop(aggregator.send_query("run-lookup", &[shard], 9000));
        }
        let mut half = aggregator.send_query("run-lookup", &[0], 9000);
        half.shutdown(std::net::Shutdown::Write).unwrap();
        let mut stays = aggregator.send_query("run-search", &[3], 9000);
        aggregator.signal("CONT");
        assert!(read_answer(&mut stays).is_whole(), "{wire:?}");
        // A client that has shut down its own side only counts as gone as well.
        assert_eq!(half.read(&mut [0]).unwrap(), 0, "{wire:?}");
        assert_eq!(aggregator.backends.read(|state| state.parts.clone()), [(0, 3)], "{wire:?}");
    }
}

#[test]
fn requests_during_a_drain_are_answered_before_the_process_can_be_killed() {
    let drained = |wire: Wire| {
        let mut aggregator = Aggregator::start(wire, 1);
        aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
        let mut kept = aggregator.connect();
        let (head, tail) = match wire {
            Wire::Frames => (
                "POST /run-lookup HTTP/1.1\r\nX-Request-ID: kept\r\nX-Timeout: 9000m\r\nContent-Length: 46\r\n\r\n",
                "{\"slices\":[{\"slice\":2,\"mass\":1}],\"filter\":\"0\"}",
            ),
            Wire::OpenSearch => ("POST /run-lookup/_search?preference=_shards:2 HTTP/1.1\r\nContent-Length: 2\r\n\r\n", "{}"),
        };
        kept.write_all(head.as_bytes()).unwrap();
        let mut unsafe_one = aggregator.send_query("shift-entry", &[0], 9000);
        let mut safe = aggregator.send_query("run-lookup", &[1], 9000);
        aggregator.backends.wait("the parts", |state| state.parts.len() == 2);
        let signalled = Instant::now();
        aggregator.signal("TERM");
        aggregator.wait_for_log("draining");
        // Neither a second SIGTERM nor a reload extends the drain.
        aggregator.signal("TERM");
        aggregator.reload(&aggregator.configuration(|_| {}));
        aggregator.wait_for_log("reload: done");
        // A request that began before SIGTERM becomes complete more than 0.7 s after it.
        std::thread::sleep(Duration::from_millis(900).saturating_sub(signalled.elapsed()));
        kept.write_all(tail.as_bytes()).unwrap();
        assert_eq!(read_answer(&mut unsafe_one).status, 500, "{wire:?}: the unsafe part may have run");
        for client in [&mut safe, &mut kept] {
            let answer = read_answer(client);
            assert!(answer.status >= 429 && answer.head.contains("retry-after"), "{wire:?}: {answer:?}");
        }
        assert_eq!(aggregator.wait().code(), Some(0), "{wire:?}");
        assert!(signalled.elapsed() < KILL_DELAY, "{wire:?}: {:?}", signalled.elapsed());
    };
    on_both_wires(drained);
}

/// Clients use all connections when SIGTERM arrives, and more wait in the listener's queue. Those must be answered too.
#[test]
fn requests_in_the_listen_queue_of_an_ending_process_are_answered() {
    let drained = |wire: Wire| {
        let mut aggregator =
            Aggregator::start_with_config(wire, 1, |config, _| config["limits"]["sockets"] = json!(128));
        aggregator.backends.set_behavior(0, Behavior::NeverAnswer);
        // There is room for 42 queries, and for six connections that are refused.
        let mut held: Vec<_> = (0..42).map(|n| aggregator.send_query("run-lookup", &[n % 4], 2500)).collect();
        while !aggregator.call_operator("GET", "/stats").body.contains("aggregator.active:42|g") {}
        let refused: Vec<_> = (0..6).map(|_| aggregator.connect()).collect();
        let mut queued: Vec<_> =
            (0..8).map(|n| aggregator.send_query("run-lookup", &[n % 4], 9000)).collect();
        aggregator.signal("TERM");
        aggregator.wait_for_log("draining");
        held.drain(..).for_each(|mut client| assert!(read_answer(&mut client).status >= 200, "{wire:?}"));
        drop(refused);
        for client in &mut queued {
            assert!(read_answer(client).status >= 200, "{wire:?}");
        }
        drop(queued);
        assert_eq!(aggregator.wait().code(), Some(0), "{wire:?}");
    };
    on_both_wires(drained);
}

#[test]
fn a_start_without_a_list_is_ready_in_time_and_refuses_queries() {
    let starts = |wire: Wire| {
        let aggregator = Aggregator::start_with_config(wire, 1, |config, _| {
            config["known"] = json!({"index": 0, "snapshot": true, "endpoints": []});
            // Nothing listens on this port.
            config["discovery"] = json!("127.0.0.1:1");
        });
        let started = Instant::now();
        assert_eq!(health_status(&aggregator), 503, "{wire:?}: not ready while a list may still arrive");
        while health_status(&aggregator) != 200 {
            assert!(
                started.elapsed() < Duration::from_secs(10),
                "{wire:?}: nine in ten processes must be ready by then"
            );
            std::thread::sleep(Duration::from_millis(100));
        }
        let refused = aggregator.ask("run-lookup", &[0], 300);
        assert!(refused.is_refused() && refused.head.contains("retry-after"), "{wire:?}: {refused:?}");
    };
    on_both_wires(starts);
}

/// Guards against queries that are held until their deadlines once discovery has listed the last run store as gone.
#[test]
fn queries_are_refused_at_once_after_the_last_run_store_has_gone() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        let at = aggregator.stores[0];
        assert!(aggregator.ask("run-lookup", &[0], 8000).is_whole(), "{wire:?}");
        aggregator.backends.publish_and_wait(json!([endpoint(0, at, "gone", 0)]));
        let asked_at = Instant::now();
        let refused = aggregator.ask("run-lookup", &[0], 8000);
        assert!(refused.is_refused() && refused.head.contains("retry-after"), "{wire:?}: {refused:?}");
        // The aim of the class, far below the 8 s of the client.
        assert!(asked_at.elapsed() < Duration::from_millis(2000), "{wire:?}: {:?}", asked_at.elapsed());
        aggregator.backends.publish_and_wait(json!([endpoint(0, at, "ready", 0)]));
        assert!(aggregator.ask("run-lookup", &[0], 8000).is_whole(), "{wire:?}");
    }
}

#[test]
fn idle_clients_on_every_connection_block_neither_discovery_nor_other_clients() {
    for wire in WIRES {
        let aggregator =
            Aggregator::start_with_config(wire, 2, |config, _| config["limits"]["sockets"] = json!(128));
        aggregator.backends.change(|state| state.discovery_failures = 4);
        aggregator.backends.publish(json!([endpoint(0, aggregator.stores[0], "ready", 0)]));
        let idle: Vec<_> = (0..200).map(|_| aggregator.connect()).collect();
        aggregator.backends.wait("the failures", |state| state.discovery_failures == 0);
        assert!(aggregator.open_descriptors() <= 128, "{wire:?}: {}", aggregator.open_descriptors());
        aggregator.backends.publish_and_wait(json!([endpoint(0, aggregator.stores[0], "draining", 0)]));
        for shard in 0..4 {
            assert!(aggregator.ask("run-lookup", &[shard], 9000).is_whole(), "{wire:?}");
        }
        let used =
            aggregator.backends.read(|state| state.parts.iter().map(|part| part.0).collect::<Vec<_>>());
        assert_eq!(used, [1; 4], "{wire:?}: the change is in effect");
        assert!(aggregator.open_descriptors() <= 128, "{wire:?}: {}", aggregator.open_descriptors());
        drop(idle);
    }
}

/// An idle connection times out and its next request arrives while the process is stopped. The request must be served.
#[test]
fn a_request_that_arrives_as_its_idle_connection_times_out_is_served() {
    on_both_wires(|wire| {
        let aggregator = Aggregator::start(wire, 1);
        let mut kept = aggregator.connect();
        kept.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(read_answer(&mut kept).status, 200, "{wire:?}");
        aggregator.signal("STOP");
        // Idle connections are closed after 2 s.
        std::thread::sleep(Duration::from_millis(2500));
        kept.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
        aggregator.signal("CONT");
        assert_eq!(read_answer(&mut kept).status, 200, "{wire:?}");
    });
}

#[test]
fn requests_after_the_end_of_a_connection_send_no_part() {
    for wire in WIRES {
        let aggregator = Aggregator::start(wire, 1);
        let mut client = aggregator.send_query("no-such-class", &[0], 9000);
        client.write_all(b"nonsense\r\n\r\n").unwrap();
        assert_eq!(read_answer(&mut client).status, 404, "{wire:?}");
        assert_eq!(read_answer(&mut client).status, 400, "{wire:?}");
        // From here on the aggregator only discards what it reads from the connection.
        let query = match wire {
            Wire::Frames => "POST /run-lookup HTTP/1.1\r\nX-Request-ID: late\r\nX-Timeout: 9000m\r\nContent-Length: 46\r\n\r\n{\"slices\":[{\"slice\":2,\"mass\":1}],\"filter\":\"0\"}",
            Wire::OpenSearch => "POST /run-lookup/_search HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
        };
        let _ = client.write_all(query.as_bytes());
        assert_eq!(
            client.read(&mut [0]).unwrap_or(0),
            0,
            "{wire:?}: a query after the end of the connection has no answer"
        );
        assert!(aggregator.ask("run-lookup", &[1], 9000).is_whole(), "{wire:?}");
        assert_eq!(aggregator.backends.read(|state| state.parts.clone()), [(0, 1)], "{wire:?}");
    }
}

/// SIGTERM arrives as soon as the process serves. A request sent before it and one sent shortly after it are answered.
#[test]
fn a_process_with_sigterm_right_after_its_start_answers_its_requests() {
    on_both_wires(|wire| {
        let mut aggregator = Aggregator::start(wire, 1);
        let mut first = aggregator.send_query("run-lookup", &[0], 9000);
        aggregator.signal("TERM");
        let mut second = aggregator.send_query("run-lookup", &[1], 9000);
        assert!(read_answer(&mut first).is_whole() && read_answer(&mut second).is_whole(), "{wire:?}");
        assert_eq!(aggregator.wait().code(), Some(0), "{wire:?}");
    });
}

/// Three reloads in quick succession, each to another discovery, of which the first two never answer. The last one must
/// be in effect 4 s after its SIGHUP.
#[test]
fn the_last_of_several_quick_reloads_takes_effect_in_time() {
    on_both_wires(|wire| {
        let aggregator = Aggregator::start(wire, 2);
        let silent: Vec<_> = (0..2).map(|_| stand_in::bind_socket()).collect();
        let last = Arc::new(Backends::default());
        last.publish(json!([
            endpoint(0, aggregator.stores[0], "draining", 0),
            endpoint(1, aggregator.stores[1], "ready", 0)
        ]));
        let addresses: Vec<_> = silent.iter().map(|socket| socket.local_addr().unwrap()).collect();
        for address in addresses.into_iter().chain([stand_in::start_discovery(&last)]) {
            aggregator
                .reload(&aggregator.configuration(|config| config["discovery"] = json!(address.to_string())));
            std::thread::sleep(Duration::from_millis(20));
        }
        let begun = Instant::now();
        last.wait("the call", |state| state.discovery_calls > 1);
        assert!(begun.elapsed() < Duration::from_millis(4000), "{wire:?}: {:?}", begun.elapsed());
        for shard in 0..4 {
            assert!(aggregator.ask("run-lookup", &[shard], 9000).is_whole(), "{wire:?}");
        }
        let used =
            aggregator.backends.read(|state| state.parts.iter().map(|part| part.0).collect::<Vec<_>>());
        assert_eq!(used, [1; 4], "{wire:?}: the list of the last discovery is in effect");
    });
}

/// After a reload to a discovery that takes 2.5 s for each answer, its list must be in effect within 6 s.
#[test]
fn the_list_of_a_slow_discovery_takes_effect_in_time_after_a_reload() {
    on_both_wires(|wire| {
        let aggregator = Aggregator::start(wire, 2);
        let slow = Arc::new(Backends::default());
        slow.change(|state| state.discovery_delay = Duration::from_millis(2500));
        slow.publish(json!([
            endpoint(0, aggregator.stores[0], "draining", 0),
            endpoint(1, aggregator.stores[1], "ready", 0)
        ]));
        let address = stand_in::start_discovery(&slow).to_string();
        let begun = Instant::now();
        aggregator.reload(&aggregator.configuration(|config| config["discovery"] = json!(address)));
        // The aggregator asks for changes after the version that it has received.
        slow.wait("the watch", |state| !state.watch_waits_ms.is_empty());
        assert!(begun.elapsed() < Duration::from_millis(6000), "{wire:?}: {:?}", begun.elapsed());
        for shard in 0..4 {
            assert!(aggregator.ask("run-lookup", &[shard], 9000).is_whole(), "{wire:?}");
        }
        let used =
            aggregator.backends.read(|state| state.parts.iter().map(|part| part.0).collect::<Vec<_>>());
        assert_eq!(used, [1; 4], "{wire:?}: the list of the slow discovery is in effect");
    });
}
