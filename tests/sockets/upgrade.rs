//! A new process takes over from a running one under load.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::time::Duration;

use serde_json::json;

use crate::aggregator::{endpoint, read_answer, Aggregator};
use crate::stand_in::{Behavior, Wire, WIRES};

#[test]
fn a_new_process_takes_over_the_listening_socket_and_the_old_one_finishes_its_queries() {
    for wire in WIRES {
        let mut old = Aggregator::start(wire, 1);
        let mut kept = old.connect();
        kept.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(read_answer(&mut kept).status, 200, "{wire:?}");
        old.backends.set_behavior(0, Behavior::NeverAnswer);
        let mut held = old.send_query("run-lookup", &[0], 2500);
        old.backends.wait("the part", |state| state.parts.len() == 1);
        old.backends.set_behavior(0, Behavior::Serve);
        let new = old.start_successor();
        assert_eq!(new.address, old.address, "{wire:?}: the same socket");
        assert_eq!(new.call_operator("GET", "/healthcheck").status, 200, "{wire:?}");
        old.wait_for_log("handover: the new process serves");
        // New connections go to the new process; none is refused, and its counters begin at 0.
        for shard in 0..4 {
            assert!(new.ask("run-lookup", &[shard], 8000).is_whole(), "{wire:?}");
        }
        assert!(new.call_operator("GET", "/stats").body.contains("run-lookup.ok:4|c"), "{wire:?}");
        old.signal("TERM");
        assert!(
            read_answer(&mut held).status >= 200,
            "{wire:?}: the query in flight at the old process is answered"
        );
        assert_eq!(
            kept.read(&mut [0]).unwrap(),
            0,
            "{wire:?}: the idle connection to the old process is closed"
        );
        assert_eq!(old.wait().code(), Some(0), "{wire:?}");
        let line = new.wait_for_log("end handover");
        assert!(line.contains("code=peer_closed"), "{wire:?}: {line}");
        new.wait_for_log("handover: the old process is gone");
        assert!(new.ask("run-lookup", &[0], 8000).is_whole(), "{wire:?}");
    }
}

#[test]
fn operators_calls_survive_an_upgrade_and_reach_both_processes() {
    for wire in WIRES {
        let old = Aggregator::start(wire, 3);
        assert_eq!(old.call_operator("PUT", "/run-stores/s-0/maint").status, 200, "{wire:?}");
        let new = old.start_successor();
        let mut sent = 0;
        let mut stores = |from: &Aggregator| {
            for shard in 0..4 {
                assert!(from.ask("run-lookup", &[shard], 8000).is_whole(), "{wire:?}");
            }
            let parts = old.backends.read(|state| state.parts.iter().map(|part| part.0).collect::<Vec<_>>());
            let new = parts[sent..].to_vec();
            sent = parts.len();
            new
        };
        assert!(!stores(&new).contains(&0), "{wire:?}: taken out before the upgrade");
        // A call to the old process takes effect at the new one as well, and the other way round.
        assert_eq!(old.call_operator("PUT", "/run-stores/s-1/maint").status, 200, "{wire:?}");
        let ejected = |of: &Aggregator, count: usize| {
            while !of.call_operator("GET", "/stats").body.contains(&format!("pool_ejected:{count}|g")) {}
        };
        ejected(&new, 2);
        assert_eq!(stores(&new), [2; 4], "{wire:?}");
        assert_eq!(new.call_operator("PUT", "/run-stores/s-0/ready").status, 200, "{wire:?}");
        ejected(&old, 1);
        assert_eq!(old.call_operator("PUT", "/run-stores/s-1/ready").status, 200, "{wire:?}");
        ejected(&new, 0);
        new.backends.publish_and_wait(json!([endpoint(2, new.stores[2], "draining", 0)]));
        assert!(!stores(&new).contains(&2), "{wire:?}");
    }
}

#[test]
fn the_list_continues_from_its_version_after_an_upgrade() {
    for wire in WIRES {
        let old = Aggregator::start(wire, 2);
        old.backends.publish_and_wait(json!([endpoint(0, old.stores[0], "draining", 0)]));
        let new = old.start_successor();
        // The watch of the new process has received no change beyond those that the old one had received.
        for shard in 0..4 {
            assert!(new.ask("run-lookup", &[shard], 8000).is_whole(), "{wire:?}");
        }
        let stores = new.backends.read(|state| state.parts.iter().map(|part| part.0).collect::<Vec<_>>());
        assert_eq!(stores, [1; 4], "{wire:?}");
    }
}

#[test]
fn an_operators_drain_survives_an_upgrade() {
    let old = Aggregator::start(Wire::Frames, 1);
    assert_eq!(old.call_operator("PUT", "/healthcheck/fail").status, 200);
    let new = old.start_successor();
    assert_eq!(new.send_raw(b"GET /healthz HTTP/1.1\r\n\r\n").status, 503);
    assert_eq!(new.call_operator("PUT", "/healthcheck/ok").status, 200);
    let answer = new.ask("run-lookup", &[0], 8000);
    assert!(answer.is_whole() && !answer.head.contains("connection: close"), "{answer:?}");
}

#[test]
fn the_old_process_serves_again_if_the_new_one_dies() {
    for wire in WIRES {
        let old = Aggregator::start(wire, 1);
        let new = old.start_successor();
        old.wait_for_log("handover: the new process serves");
        drop(new);
        old.wait_for_log("this one serves again");
        for shard in 0..4 {
            let answer = old.ask("run-lookup", &[shard], 8000);
            assert!(answer.is_whole() && !answer.head.contains("connection: close"), "{wire:?}: {answer:?}");
        }
        // Another process can take over afterwards.
        let newer = old.start_successor();
        old.wait_for_log("handover: the new process serves");
        assert!(newer.ask("run-lookup", &[0], 8000).is_whole(), "{wire:?}");
    }
}

#[test]
fn a_failed_handover_leaves_the_old_process_serving() {
    let old = Aggregator::start(Wire::Frames, 1);
    let sound = old.configuration(|_| {});
    for (set, other, why) in [
        (
            "\"listen\":\"127.0.0.1:0\"",
            "\"listen\":\"127.0.0.1:1\"",
            "key listen: the running process listens on",
        ),
        ("\"aim_ms\":2000.0", "\"aim_ms\":0", "key settings"),
    ] {
        assert!(sound.contains(set), "{set}: {sound}");
        std::fs::write(old.config_path(), sound.replace(set, other)).unwrap();
        let message = old.start_failing_successor();
        assert!(message.contains(why), "{message}");
        assert!(old.ask("run-lookup", &[0], 8000).is_whole(), "{why}");
    }
    // Only the first process connected to the old one before it failed.
    old.wait_for_log("handover: failed, this process was not replaced");
    // A peer that sends nothing, an incomplete or invalid message, or leaves, gets nothing and does no harm.
    for words in [
        "",
        "{\"hello\"",
        "nonsense\n",
        "{\"hello\":{\"version\":9,\"name\":\"n0\"}}\n",
        "{\"hello\":{\"version\":1,\"name\":\"other\"}}\n",
        "\"serving\"\n",
    ] {
        let mut stream = UnixStream::connect(old.handover_socket()).unwrap();
        stream.write_all(words.as_bytes()).unwrap();
        drop(stream);
        old.wait_for_log("handover: failed, this process was not replaced");
    }
    let mut slow = UnixStream::connect(old.handover_socket()).unwrap();
    slow.write_all(b"{\"hello\":{\"version\":1,\"name\":\"n0\"}}\n").unwrap();
    let mut state = vec![0; 100];
    slow.read_exact(&mut state).unwrap();
    // This peer receives the state and never reports that it serves.
    old.wait_for_log("handover: failed, this process was not replaced");
    std::fs::write(old.config_path(), sound).unwrap();
    let new = old.start_successor();
    assert!(new.ask("run-lookup", &[0], 8000).is_whole());
}

#[test]
fn a_stale_socket_does_not_count_as_a_running_process() {
    let mut old = Aggregator::start(Wire::Frames, 1);
    // A killed process leaves a socket file without a listener. The log line of the start precedes that listener by a
    // moment.
    old.wait_for_handover_socket();
    old.signal("KILL");
    old.wait();
    assert!(old.handover_socket().exists());
    let new = old.start_successor();
    assert!(new.ask("run-lookup", &[0], 8000).is_whole());
    let newer = new.start_successor();
    new.wait_for_log("handover: the new process serves");
    assert!(newer.ask("run-lookup", &[0], 8000).is_whole(), "another process can take over from it");
}

#[test]
fn a_process_that_has_stopped_accepting_hands_nothing_over() {
    let old = Aggregator::start(Wire::Frames, 1);
    old.backends.set_behavior(0, Behavior::NeverAnswer);
    let held = old.send_query("run-lookup", &[0], 9000);
    old.backends.wait("the part", |state| state.parts.len() == 1);
    old.signal("TERM");
    old.wait_for_log("draining");
    // The process hands over until it stops accepting; from then on new connections are refused.
    while TcpStream::connect(old.address).is_ok() {
        std::thread::sleep(Duration::from_millis(20));
    }
    old.backends.set_behavior(0, Behavior::Serve);
    let new = old.start_successor();
    assert_ne!(new.address, old.address, "it listens on a socket of its own");
    assert!(new.ask("run-lookup", &[1], 8000).is_whole());
    drop(held);
}

#[test]
fn two_processes_share_the_limit_on_queries_and_parts_in_flight() {
    for wire in WIRES {
        let old = Aggregator::start_with_max_open(wire, 1, 4);
        old.backends.set_behavior(0, Behavior::NeverAnswer);
        // One query and two parts.
        let held = old.send_query("run-lookup", &[0, 1], 9000);
        old.backends.wait("its parts", |state| state.parts.len() == 2);
        let new = old.start_successor();
        old.wait_for_log("handover: the new process serves");
        let second = new.send_query("run-lookup", &[2], 9000);
        old.backends.wait("one more part", |state| state.parts.len() == 3);
        let third = new.ask("run-lookup", &[3], 9000);
        assert!(third.is_refused(), "{wire:?}: both processes together hold five: {third:?}");
        drop((held, second));
        old.wait_for_log("code=client_gone");
        new.wait_for_log("code=client_gone");
        old.backends.set_behavior(0, Behavior::Serve);
        while !new.ask("run-lookup", &[0], 9000).is_whole() {}
    }
}
