//! A new process takes over from a running one, under load.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::time::Duration;

use serde_json::json;

use crate::aggregator::{answer, line, Aggregator};
use crate::stand_in::{Act, Wire, WIRES};

#[test]
fn a_new_process_takes_over_the_listening_socket_and_the_old_one_ends_what_it_has() {
    for wire in WIRES {
        let mut old = Aggregator::start(wire, 1);
        let mut kept = old.connect();
        kept.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").unwrap();
        assert_eq!(answer(&mut kept).status, 200, "{wire:?}");
        old.board.act(0, Act::Silent);
        let mut held = old.begin("run-lookup", &[0], 2500);
        old.board.wait("the part", |state| state.parts.len() == 1);
        old.board.act(0, Act::Serve);
        let new = old.succeed();
        assert_eq!(new.address, old.address, "{wire:?}: the same socket");
        assert_eq!(new.call("GET", "/healthcheck").status, 200, "{wire:?}");
        old.logged("handover: the new process serves");
        // New connections are the new one's; none is refused, and its counts begin at 0.
        for shard in 0..4 {
            assert!(new.ask("run-lookup", &[shard], 8000).whole(), "{wire:?}");
        }
        assert!(new.call("GET", "/stats").body.contains("run-lookup.ok:4|c"), "{wire:?}");
        old.signal("TERM");
        assert!(answer(&mut held).status >= 200, "{wire:?}: what the old one held is answered");
        assert_eq!(kept.read(&mut [0]).unwrap(), 0, "{wire:?}: what stood idle there is closed");
        assert_eq!(old.wait().code(), Some(0), "{wire:?}");
        let line = new.logged("end handover");
        assert!(line.contains("code=peer_closed"), "{wire:?}: {line}");
        new.logged("handover: the old process is gone");
        assert!(new.ask("run-lookup", &[0], 8000).whole(), "{wire:?}");
    }
}

#[test]
fn what_operators_said_holds_over_an_upgrade_and_reaches_both_processes() {
    for wire in WIRES {
        let old = Aggregator::start(wire, 3);
        assert_eq!(old.call("PUT", "/run-stores/s-0/maint").status, 200, "{wire:?}");
        let new = old.succeed();
        let mut sent = 0;
        let mut stores = |from: &Aggregator| {
            for shard in 0..4 {
                assert!(from.ask("run-lookup", &[shard], 8000).whole(), "{wire:?}");
            }
            let parts = old.board.read(|state| state.parts.iter().map(|part| part.0).collect::<Vec<_>>());
            let new = parts[sent..].to_vec();
            sent = parts.len();
            new
        };
        assert!(!stores(&new).contains(&0), "{wire:?}: out before the upgrade");
        // Said to the old process, it holds at the new one, and the other way round.
        assert_eq!(old.call("PUT", "/run-stores/s-1/maint").status, 200, "{wire:?}");
        let ejected = |of: &Aggregator, count: usize| {
            while !of.call("GET", "/stats").body.contains(&format!("pool_ejected:{count}|g")) {}
        };
        ejected(&new, 2);
        assert_eq!(stores(&new), [2; 4], "{wire:?}");
        assert_eq!(new.call("PUT", "/run-stores/s-0/ready").status, 200, "{wire:?}");
        ejected(&old, 1);
        assert_eq!(old.call("PUT", "/run-stores/s-1/ready").status, 200, "{wire:?}");
        ejected(&new, 0);
        new.board.tell(json!([line(2, new.stores[2], "draining", 0)]));
        assert!(!stores(&new).contains(&2), "{wire:?}");
    }
}

#[test]
fn the_list_goes_on_from_its_version() {
    for wire in WIRES {
        let old = Aggregator::start(wire, 2);
        old.board.tell(json!([line(0, old.stores[0], "draining", 0)]));
        let new = old.succeed();
        // Its watch has told nothing yet that the old one was not told.
        for shard in 0..4 {
            assert!(new.ask("run-lookup", &[shard], 8000).whole(), "{wire:?}");
        }
        let stores = new.board.read(|state| state.parts.iter().map(|part| part.0).collect::<Vec<_>>());
        assert_eq!(stores, [1; 4], "{wire:?}");
    }
}

#[test]
fn a_drain_by_hand_holds_over_an_upgrade() {
    let old = Aggregator::start(Wire::Frames, 1);
    assert_eq!(old.call("PUT", "/healthcheck/fail").status, 200);
    let new = old.succeed();
    assert_eq!(new.raw(b"GET /healthz HTTP/1.1\r\n\r\n").status, 503);
    assert_eq!(new.call("PUT", "/healthcheck/ok").status, 200);
    let answer = new.ask("run-lookup", &[0], 8000);
    assert!(answer.whole() && !answer.head.contains("connection: close"), "{answer:?}");
}

#[test]
fn a_new_process_that_dies_leaves_the_old_one_serving() {
    for wire in WIRES {
        let old = Aggregator::start(wire, 1);
        let new = old.succeed();
        old.logged("handover: the new process serves");
        drop(new);
        old.logged("this one serves again");
        for shard in 0..4 {
            let answer = old.ask("run-lookup", &[shard], 8000);
            assert!(answer.whole() && !answer.head.contains("connection: close"), "{wire:?}: {answer:?}");
        }
        // And it can be taken over from again.
        let newer = old.succeed();
        old.logged("handover: the new process serves");
        assert!(newer.ask("run-lookup", &[0], 8000).whole(), "{wire:?}");
    }
}

#[test]
fn a_handover_that_cannot_be_leaves_the_old_one_serving() {
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
        std::fs::write(old.config(), sound.replace(set, other)).unwrap();
        let message = old.fail_to_succeed();
        assert!(message.contains(why), "{message}");
        assert!(old.ask("run-lookup", &[0], 8000).whole(), "{why}");
    }
    // The first of them asked before it failed; the second did not come to that.
    old.logged("handover: failed, this process was not replaced");
    // Whoever says nothing, half a word, nonsense, or leaves, gets nothing and harms nothing.
    for words in [
        "",
        "{\"hello\"",
        "nonsense\n",
        "{\"hello\":{\"version\":9,\"name\":\"n0\"}}\n",
        "{\"hello\":{\"version\":1,\"name\":\"other\"}}\n",
        "\"serving\"\n",
    ] {
        let mut stream = UnixStream::connect(old.meeting()).unwrap();
        stream.write_all(words.as_bytes()).unwrap();
        drop(stream);
        old.logged("handover: failed, this process was not replaced");
    }
    let mut slow = UnixStream::connect(old.meeting()).unwrap();
    slow.write_all(b"{\"hello\":{\"version\":1,\"name\":\"n0\"}}\n").unwrap();
    let mut state = vec![0; 100];
    slow.read_exact(&mut state).unwrap();
    // It got all and never serves.
    old.logged("handover: failed, this process was not replaced");
    std::fs::write(old.config(), sound).unwrap();
    let new = old.succeed();
    assert!(new.ask("run-lookup", &[0], 8000).whole());
}

#[test]
fn a_stale_socket_is_no_running_process() {
    let mut old = Aggregator::start(Wire::Frames, 1);
    // Killed, it leaves its socket behind, at which nobody listens. It says that it serves a moment before it listens there.
    old.meets();
    old.signal("KILL");
    old.wait();
    assert!(old.meeting().exists());
    let new = old.succeed();
    assert!(new.ask("run-lookup", &[0], 8000).whole());
    let newer = new.succeed();
    new.logged("handover: the new process serves");
    assert!(newer.ask("run-lookup", &[0], 8000).whole(), "it can be taken over from in its turn");
}

#[test]
fn one_that_accepts_no_more_hands_nothing_over_and_a_plain_start_stands_beside_it() {
    let old = Aggregator::start(Wire::Frames, 1);
    old.board.act(0, Act::Silent);
    let held = old.begin("run-lookup", &[0], 9000);
    old.board.wait("the part", |state| state.parts.len() == 1);
    old.signal("TERM");
    old.logged("draining");
    // Until it stops accepting, it hands over; a new connection is refused from then on.
    while TcpStream::connect(old.address).is_ok() {
        std::thread::sleep(Duration::from_millis(20));
    }
    old.board.act(0, Act::Serve);
    let new = old.succeed();
    assert_ne!(new.address, old.address, "a socket of its own");
    assert!(new.ask("run-lookup", &[1], 8000).whole());
    drop(held);
}

#[test]
fn two_processes_share_the_limit_on_what_is_held() {
    for wire in WIRES {
        let old = Aggregator::with(wire, 1, 4);
        old.board.act(0, Act::Silent);
        // A query and two parts.
        let held = old.begin("run-lookup", &[0, 1], 9000);
        old.board.wait("its parts", |state| state.parts.len() == 2);
        let new = old.succeed();
        old.logged("handover: the new process serves");
        let second = new.begin("run-lookup", &[2], 9000);
        old.board.wait("one more", |state| state.parts.len() == 3);
        let third = new.ask("run-lookup", &[3], 9000);
        assert!(third.refused(), "{wire:?}: five are held by both: {third:?}");
        drop((held, second));
        old.logged("code=client_gone");
        new.logged("code=client_gone");
        old.board.act(0, Act::Serve);
        while !new.ask("run-lookup", &[0], 9000).whole() {}
    }
}
