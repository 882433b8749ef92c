//! Lists of run stores: what the core makes of each, beside a plain reference; and long ones, over sockets.

#[path = "common/core.rs"]
mod fixture;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use fixture::{commands, listed};
use futures_lite::future;
use ironpaddle::api::{Millis, ReplicaState};
use ironpaddle::core::drive::{Directory, Driver};
use ironpaddle::core::{Command, Core, DirectoryUpdate, ListedRunStore};
use ironpaddle::directory::list::{MAX_LINES, MAX_LIST_BYTES};
use ironpaddle::directory::watch::Watch;
use ironpaddle::settings::SiteSettings;
use proptest::prelude::*;
use serde_json::json;

fn core() -> Core {
    let site: SiteSettings = serde_json::from_value(json!({
        "caps": {"max_attempts": 3},
        "domain": {"cells": 1, "width": 1, "shards": 9},
        "request_classes":
            [{"name": "search", "aim_ms": 1000.0, "deadline_ms": 4000.0, "repeat": "read_like"}],
        "tick_ms": 5.0,
    }))
    .unwrap();
    Core::new(&site, 7).unwrap()
}

type Located = Option<(SocketAddr, Option<Millis>)>;

/// Run stores as the simplest reading of the rules has them: every line is looked for among all.
#[derive(Default)]
struct Reference(BTreeMap<String, (ReplicaState, Located)>);

impl Reference {
    fn take(&mut self, news: &DirectoryUpdate) -> Vec<Command> {
        let (lines, whole) = match news {
            DirectoryUpdate::Cached(lines) | DirectoryUpdate::Full(lines) => (&lines[..], true),
            DirectoryUpdate::Changes(lines) => (&lines[..], false),
            DirectoryUpdate::Failed | DirectoryUpdate::Silent => (&[][..], false),
        };
        let mut commands = Vec::new();
        if whole {
            for name in self.0.keys().cloned().collect::<Vec<_>>() {
                if !lines.iter().any(|line| *line.replica.id.0 == *name) {
                    self.0.remove(&name);
                    commands.push(Command::Retire(name.as_str().into()));
                }
            }
        }
        for line in lines {
            let (name, state) = (line.replica.id.0.to_string(), line.replica.state);
            let before = self.0.get(&name).copied();
            let at = line.address.map(|at| (at, line.replica.started)).or(before.and_then(|(_, at)| at));
            if state != ReplicaState::Active {
                commands.push(Command::Retire(line.replica.id.clone()));
            } else if before != Some((ReplicaState::Active, at)) {
                commands.extend(at.map(|(address, started)| Command::Locate {
                    run_store: line.replica.id.clone(),
                    address,
                    started,
                }));
            }
            match state {
                ReplicaState::Gone => self.0.remove(&name),
                _ => self.0.insert(name, (state, at)),
            };
        }
        commands
    }
}

fn news() -> impl Strategy<Value = DirectoryUpdate> {
    let state = prop_oneof![
        6 => Just(ReplicaState::Active),
        2 => Just(ReplicaState::Draining),
        1 => Just(ReplicaState::Gone),
    ];
    let line = (0u8..20, state, 0u8..4, prop::option::weighted(0.8, 1u16..4)).prop_map(
        |(name, state, started, port)| ListedRunStore {
            address: port.map(|port| ([127, 0, 0, 1], port).into()),
            ..listed(&format!("s-{name}"), state, f64::from(started))
        },
    );
    let lines = || prop::collection::vec(line.clone(), 0..30);
    prop_oneof![
        2 => lines().prop_map(DirectoryUpdate::Full),
        1 => lines().prop_map(DirectoryUpdate::Cached),
        3 => lines().prop_map(DirectoryUpdate::Changes),
        1 => Just(DirectoryUpdate::Failed),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn any_list_makes_the_orders_of_the_reference_in_their_order(told in prop::collection::vec(news(), 1..20)) {
        let (mut core, mut reference) = (core(), Reference::default());
        for news in told {
            let expected = reference.take(&news);
            core.apply_directory_update(news);
            prop_assert_eq!(commands(&mut core), expected);
            let names: Vec<_> = core.directory().iter().map(|line| line.replica.id.0.to_string()).collect();
            prop_assert_eq!(names, reference.0.keys().cloned().collect::<Vec<_>>());
        }
    }
}

/// A line of a whole list, indented.
fn line(no: usize) -> String {
    let line = json!({"name": format!("s-{no:08x}"), "address": format!("10.0.{}.{}:80", no >> 8 & 255, no & 255),
        "zone": "z", "type": "m2", "group": no, "status": "ready", "weight": 1.0, "since_ms": 0});
    serde_json::to_string_pretty(&line).unwrap()
}

fn body(lines: usize) -> String {
    let lines: Vec<_> = (0..lines).map(line).collect();
    format!("{{\"index\":7,\"snapshot\":true,\"endpoints\":[{}]}}", lines.join(",\n"))
}

/// What a discovery service does with a call.
enum Does {
    /// It answers with a body.
    Tells(String),
    /// It begins an answer of so many bytes.
    Begins(usize),
}

/// A discovery service that answers the calls of one connection in turn; it ends once the caller has closed.
fn discovery(does: Vec<Does>) -> (SocketAddr, thread::JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let served = thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
        let mut does = does.into_iter();
        let mut answered = 0;
        // A call ends with an empty line; a caller that is gone says nothing, or resets.
        while let Some(Ok(line)) = lines.next() {
            if !line.is_empty() {
                continue;
            }
            let (length, body) = match does.next() {
                Some(Does::Tells(body)) => (body.len(), body),
                Some(Does::Begins(length)) => (length, String::new()),
                None => break,
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            // A caller that refuses the answer may close before all of it is out.
            let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes()));
            answered += 1;
        }
        answered
    });
    (address, served)
}

/// How many run stores are known once a service has been asked that does this and is then left for good.
fn known_after(does: Vec<Does>) -> usize {
    let calls = does.len();
    let (address, served) = discovery(does);
    let executor = Rc::new(async_executor::LocalExecutor::new());
    let driver = Driver::new(core(), executor.clone());
    Rc::clone(&Watch::new(driver.clone(), address, None)).watch();
    let left = async {
        while !served.is_finished() {
            async_io::Timer::after(Duration::from_millis(5)).await;
        }
    };
    let late = async {
        async_io::Timer::after(Duration::from_secs(60)).await;
        panic!("the service is still being asked");
    };
    future::block_on(executor.run(future::or(left, late)));
    while executor.try_tick() {}
    assert_eq!(served.join().unwrap(), calls, "all calls were made, and none after them");
    driver.run_stores()
}

#[test]
fn a_list_of_57_000_lines_is_taken_and_one_beyond_the_bounds_leaves_it_as_it_was() {
    let whole = || Does::Tells(body(57_000));
    let too_many = Does::Tells(body(MAX_LINES + 1));
    assert_eq!(known_after(vec![whole(), too_many]), 57_000, "too many lines");
    assert_eq!(known_after(vec![whole(), Does::Begins(MAX_LIST_BYTES + 1)]), 57_000, "too many bytes");
    // What is beyond the old list and within the bounds takes its place.
    let fewer = Does::Tells(body(600));
    assert_eq!(known_after(vec![whole(), fewer, Does::Begins(MAX_LIST_BYTES + 1)]), 600);
}
