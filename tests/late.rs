//! Calls and timers that have become obsolete by the time the transport or the driver acts on them.

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
        repeats_restricted: false,
        payload: Rc::from(&b"\ntext"[..]),
    }
}

/// Returns the address of a listener and a thread that returns the first bytes received there.
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

/// A retry is decided within its window, but its connection is established after the window has ended.
#[test]
fn a_call_that_expires_before_its_connection_is_up_is_not_written() {
    type Constructor = fn(Rc<Driver>, Limits) -> Rc<dyn RunStores>;
    let constructors: [Constructor; 2] = [
        |driver, limits| Rc::new(FrameTransport::new(driver, limits)),
        |driver, limits| Rc::new(SearchTransport::new(driver, limits)),
    ];
    for construct in constructors {
        let driver = driver();
        let stores = construct(driver.clone(), Limits::from_settings(&site(), 10));
        let (address, first) = listener();
        let (id, now) = (ReplicaId::from("s"), driver.now());
        stores.locate(&id, address, None);
        // When the connection is up, the window of call 1 and the time of call 2 have passed.
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

/// One part is in flight on a connection, and the next frame cannot be written in time.
#[test]
fn without_second_copies_a_slow_connection_is_kept_until_its_run_store_closes_it() {
    for copies in [true, false] {
        let (driver, mut site) = (driver(), site());
        site.caps.parallel_tries = copies;
        let stores = FrameTransport::new(driver.clone(), Limits::from_settings(&site, 10));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let now = driver.now();
        stores.locate(&"s".into(), listener.local_addr().unwrap(), None);
        stores.send(call(1, "s", now + 9000.0, Millis::INFINITY));
        // More than the socket buffers hold while the peer does not read.
        let text = vec![b'x'; 32_000_000].into();
        stores.send(Call { payload: text, ..call(2, "s", now + 9000.0, now + 200.0) });
        let executor = driver.executor().clone();
        let run_for_700_ms = || async_io::block_on(executor.run(Timer::after(Duration::from_millis(700))));
        run_for_700_ms();
        assert_eq!(stores.connections(), usize::from(!copies), "copies {copies}");
        drop(listener.accept().unwrap());
        run_for_700_ms();
        assert_eq!(stores.connections(), 0, "copies {copies}");
    }
}

/// A transport to run stores that reject every call.
struct RejectingRunStores {
    driver: Rc<Driver>,
    sent: Rc<Cell<usize>>,
}

impl RunStores for RejectingRunStores {
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

/// The last attempt waits for its time. The process stalls past it, and the client disconnects meanwhile: on resume,
/// the timer and the end of the connection are both ready.
#[test]
fn a_late_step_sends_nothing_for_a_client_that_has_left() {
    let driver = driver();
    let sent = Rc::new(Cell::new(0));
    driver.connect(
        Rc::new(RejectingRunStores { driver: driver.clone(), sent: sent.clone() }),
        Rc::new(NoDirectory),
    );
    let lines = ["a", "b"].map(|name| fixture::listed(name, ReplicaState::Active, 0.0));
    driver.apply_directory_update(DirectoryUpdate::Cached(lines.to_vec()));
    let executor = driver.executor().clone();
    executor.spawn(driver.clone().run()).detach();
    let (mut client, server) = std::os::unix::net::UnixStream::pair().unwrap();
    let mut server = Async::new(server).unwrap();
    let pending = driver.submit(fixture::ask("r1", "search", 1, 9000.0)).unwrap();
    let serve = async {
        let disconnected = async {
            let _ = server.read(&mut [0]).await;
        };
        let answered = async {
            pending.answer().await;
        };
        future::or(disconnected, answered).await;
        drop(pending);
    };
    let client_leaves = async {
        // Two attempts are rejected at once, and the third waits for four tenths of the aim.
        Timer::after(Duration::from_millis(200)).await;
        let before = sent.get();
        client.write_all(b"x").unwrap();
        std::thread::sleep(Duration::from_millis(400));
        Timer::after(Duration::from_millis(300)).await;
        (before, sent.get())
    };
    let (counts, ()) = async_io::block_on(executor.run(future::zip(client_leaves, serve)));
    assert_eq!(counts, (2, 2), "attempts before the client left, and in all");
}
