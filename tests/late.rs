//! What a transport or the driver finds out of date in the instant of acting on it.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt};
use ironpaddle::api::{Millis, Outcome, ReplicaId, ReplicaState};
use ironpaddle::core::drive::{Directory, Driver, RunStores};
use ironpaddle::core::{Call, CallEnd, CallNo, Core, DirectoryUpdate, QueryNo};
use ironpaddle::settings::SiteSettings;
use ironpaddle::transport::{frames::FrameTransport, opensearch::SearchTransport, Limits};
use serde_json::json;

#[path = "common/core.rs"]
mod fixture;

fn site() -> SiteSettings {
    let class = json!({"name": "search", "aim_ms": 1000.0, "deadline_ms": 9000.0, "repeat": "read_like"});
    serde_json::from_value(json!({
        "caps": {"max_attempts": 3, "may_cancel": true},
        "domain": {"cells": 1, "width": 1, "shards": 9},
        "request_classes": [class],
        "tick_ms": 5.0,
    }))
    .unwrap()
}

fn driver() -> Rc<Driver> {
    Driver::new(Core::new(&site(), 7).unwrap(), Rc::new(LocalExecutor::new()))
}

fn call(no: u64, replica: &str, until: Millis, allowed_until: Millis) -> Call {
    Call {
        no: CallNo(no),
        run_store: replica.into(),
        part: format!("q{no}.0"),
        query: format!("q{no}"),
        class: "search".into(),
        query_attempt: (QueryNo(no), 0),
        key: None,
        shard: 0,
        until,
        allowed_until,
        payload: Rc::from(&b"\ntext"[..]),
    }
}

/// A listener, and the first bytes that come there.
fn listener() -> (SocketAddr, std::thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let first = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = [0; 1000];
        let count = stream.read(&mut bytes).unwrap();
        String::from_utf8_lossy(&bytes[..count]).into_owned()
    });
    (address, first)
}

/// A repeat is decided on within its window, and its connection comes up after that.
#[test]
fn a_call_that_is_late_when_it_could_be_written_is_not_written() {
    type Made = fn(Rc<Driver>, Limits) -> Rc<dyn RunStores>;
    let made: [Made; 2] = [
        |driver, limits| Rc::new(FrameTransport::new(driver, limits)),
        |driver, limits| Rc::new(SearchTransport::new(driver, limits)),
    ];
    for made in made {
        let driver = driver();
        let stores = made(driver.clone(), Limits::from_settings(&site(), 10));
        let (address, first) = listener();
        let (id, now) = (ReplicaId::from("s"), driver.now());
        stores.locate(&id, address, None);
        // The window of one is over when its connection is up, and the time of another.
        stores.send(call(1, "s", now + 9000.0, now));
        stores.send(call(2, "s", now, Millis::INFINITY));
        stores.send(call(3, "s", now + 9000.0, now + 9000.0));
        std::thread::sleep(Duration::from_millis(2));
        let executor = driver.executor().clone();
        let arrived = async {
            while !first.is_finished() {
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        async_io::block_on(executor.run(arrived));
        let first = first.join().unwrap();
        assert!(first.contains("q3") && !first.contains("q1") && !first.contains("q2"), "{first}");
    }
}

/// A part is out on a connection on which the next frame cannot be written in time.
#[test]
fn a_connection_that_is_too_slow_is_over_once_its_run_store_has_ended_it_where_copies_may_not_be_out() {
    for copies in [true, false] {
        let (driver, mut site) = (driver(), site());
        site.caps.parallel_tries = copies;
        let stores = FrameTransport::new(driver.clone(), Limits::from_settings(&site, 10));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let now = driver.now();
        stores.locate(&"s".into(), listener.local_addr().unwrap(), None);
        stores.send(call(1, "s", now + 9000.0, Millis::INFINITY));
        // More than the system takes for one that does not read.
        let text = vec![b'x'; 32_000_000].into();
        stores.send(Call { payload: text, ..call(2, "s", now + 9000.0, now + 200.0) });
        let executor = driver.executor().clone();
        let a_while = || async_io::block_on(executor.run(Timer::after(Duration::from_millis(700))));
        a_while();
        assert_eq!(stores.connections(), usize::from(!copies), "copies {copies}");
        drop(listener.accept().unwrap());
        a_while();
        assert_eq!(stores.connections(), 0, "copies {copies}");
    }
}

/// Run stores that turn away all that is sent to them.
struct Full {
    driver: Rc<Driver>,
    sent: Rc<Cell<usize>>,
}

impl RunStores for Full {
    fn send(&self, call: Call) {
        self.sent.set(self.sent.get() + 1);
        self.driver.call_ended(call.no, CallEnd::bare(Outcome::Rejected));
    }
    fn abandon(&self, _: &ReplicaId, _: CallNo, _: bool) {}
    fn probe(&self, _: &ReplicaId, no: CallNo) {
        self.driver.probe_ended(no, true, None);
    }
    fn probe_timed_out(&self, _: &ReplicaId, _: CallNo) {}
    fn close_idle(&self, _: &ReplicaId) {}
    fn retire(&self, _: &ReplicaId) {}
    fn locate(&self, _: &ReplicaId, _: SocketAddr, _: Option<Millis>) {}
    fn tracked_run_stores(&self) -> usize {
        0
    }
    fn connections(&self) -> usize {
        0
    }
    fn set_max_connections(&self, _: usize) {}
    fn apply_settings(&self, _: &SiteSettings) {}
}

struct NoDirectory;

impl Directory for NoDirectory {
    fn watch(&self) {}
}

/// The last attempt waits its turn. The process stands still past that, and meanwhile the client leaves: both are there
/// when it goes on, the timer and the connection's end.
#[test]
fn a_step_that_comes_late_sends_nothing_for_a_client_that_left_meanwhile() {
    let driver = driver();
    let sent = Rc::new(Cell::new(0));
    driver.connect(Rc::new(Full { driver: driver.clone(), sent: sent.clone() }), Rc::new(NoDirectory));
    let lines = ["a", "b"].map(|name| fixture::listed(name, ReplicaState::Active, 0.0));
    driver.apply_directory_update(DirectoryUpdate::Cached(lines.to_vec()));
    let executor = driver.executor().clone();
    executor.spawn(driver.clone().run()).detach();
    let (mut client, server) = std::os::unix::net::UnixStream::pair().unwrap();
    let mut server = Async::new(server).unwrap();
    let pending = driver.submit(fixture::ask("r1", "search", 1, 9000.0)).unwrap();
    let serves = async {
        let left = async {
            let _ = server.read(&mut [0]).await;
        };
        let answered = async {
            pending.answer().await;
        };
        future::or(left, answered).await;
        drop(pending);
    };
    let tries = async {
        // Two attempts are turned away at once, and the third waits for four tenths of the aim.
        Timer::after(Duration::from_millis(200)).await;
        let before = sent.get();
        client.write_all(b"x").unwrap();
        std::thread::sleep(Duration::from_millis(400));
        Timer::after(Duration::from_millis(300)).await;
        (before, sent.get())
    };
    let (counts, ()) = async_io::block_on(executor.run(future::zip(tries, serves)));
    assert_eq!(counts, (2, 2), "attempts before the client left, and in all");
}
