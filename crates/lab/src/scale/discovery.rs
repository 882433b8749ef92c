//! The discovery service of the scale run: serves thousands of watches on one thread and caches each response for all
//! watchers at the same version.
//!
//! A relay is the same service, but follows the list of an upstream service, as machines between discovery and many
//! aggregators would.
//!
//! The service has one address for simulated aggregators and relays together, and one for each real aggregator. A
//! watcher that requests the changes after a version has applied that version; the separate addresses show which real
//! aggregator it is.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use event_listener::Event as Notifier;
use futures_lite::future;
use ironpaddle::http::parse::MessageKind;
use ironpaddle::http::write;
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;

use super::events::{self, Change, Entries, Event, FIRST_INDEX};
use super::roles::{RoleCommand, RoleHandler, Setup};
use super::wire::{Connection, TrafficCounter};
use crate::clock::Clock;

/// The longest wait that a watch may request, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// The wait that a relay requests for its own watch, in milliseconds.
const WAIT_MS: u64 = 20_000;
/// The maximum size of a list that a relay reads, in bytes.
const MAX_LIST_BYTES: usize = 64 << 20;

/// The run store list with its change log.
struct List {
    /// The Unix time at which the events began, in milliseconds.
    begin: u64,
    /// The version of the list; 0 before a relay has received one.
    index: u64,
    /// The serialized entries, by name.
    lines: BTreeMap<String, String>,
    /// The changes since the first list: version, name and serialized entry.
    changes: Vec<(u64, String, String)>,
    /// Cached responses by the version that the watcher has; cleared by each change.
    responses: HashMap<Option<u64>, Rc<[u8]>>,
}

impl List {
    /// Records a changed or removed entry.
    fn record(&mut self, index: u64, name: String, gone: bool, line: String) {
        if gone {
            self.lines.remove(&name);
        } else {
            self.lines.insert(name.clone(), line.clone());
        }
        self.index = index;
        self.changes.push((index, name, line));
        self.responses.clear();
    }

    /// Returns the serialized HTTP response with the changes after a version, or the whole list for `None`.
    fn response(&mut self, after: Option<u64>) -> Rc<[u8]> {
        if let Some(known) = self.responses.get(&after) {
            return known.clone();
        }
        let lines: Vec<&str> = match after {
            None => self.lines.values().map(String::as_str).collect(),
            Some(after) => {
                let from = self.changes.partition_point(|(index, _, _)| *index <= after);
                // Only the last of several changes of an entry is sent.
                let newest: BTreeMap<_, _> =
                    self.changes[from..].iter().map(|(_, name, line)| (name, line)).collect();
                newest.into_values().map(String::as_str).collect()
            }
        };
        let (index, whole) = (self.index, after.is_none());
        let body = format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, lines.join(","));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let response: Rc<[u8]> = [head, body].concat().into_bytes().into();
        self.responses.insert(after, response.clone());
        response
    }
}

/// The state of discovery or a relay.
struct Discovery {
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    list: RefCell<List>,
    changed: Notifier,
    /// Traffic at each address.
    traffic: Vec<TrafficCounter>,
    /// The time at which each change was published.
    published: RefCell<Vec<f64>>,
    /// For each real aggregator: the version that it has applied, and the time at which it had applied each change.
    applied: RefCell<Vec<(u64, Vec<f64>)>>,
    /// The size of the last whole-list response, in bytes.
    whole_list_bytes: Cell<usize>,
    /// Traffic between a relay and its upstream service.
    upstream_traffic: TrafficCounter,
}

/// A response of the upstream service to a relay.
#[derive(Deserialize)]
struct UpstreamResponse {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Box<RawValue>>,
}

/// The fields of a list entry that a relay reads.
#[derive(Deserialize)]
struct EntryHeader {
    name: String,
    status: String,
}

impl Discovery {
    async fn accept(self: Rc<Self>, listener: TcpListener, address_index: usize) {
        while let Ok((stream, _)) = listener.accept().await {
            let discovery = self.clone();
            // Errors are ignored: they mean that the caller has disconnected.
            let serving = async move { drop(discovery.serve(stream, address_index).await) };
            self.executor.spawn(serving).detach();
        }
    }

    async fn serve(&self, stream: TcpStream, address_index: usize) -> io::Result<()> {
        let mut connection =
            Connection::new(stream, MessageKind::Request, self.traffic[address_index].clone())?;
        while let Some(request) = connection.read().await? {
            let target = request.start.1;
            let number =
                |name: &str| -> Option<u64> { target.split(name).nth(1)?.split('&').next()?.parse().ok() };
            let (after, wait) = (number("after="), number("wait_ms=").unwrap_or(0).min(MAX_WAIT_MS));
            if let Some(after) = after {
                self.record_applied(address_index, after);
                let newer = self.wait_for_newer(after);
                future::or(newer, async {
                    Timer::after(Duration::from_millis(wait)).await;
                })
                .await;
            }
            let response = self.list.borrow_mut().response(after);
            if after.is_none() {
                self.whole_list_bytes.set(response.len());
            }
            connection.write(&response).await?;
        }
        Ok(())
    }

    /// Waits until the list is newer than a version.
    async fn wait_for_newer(&self, version: u64) {
        loop {
            let changed = self.changed.listen();
            if self.list.borrow().index > version {
                return;
            }
            changed.await;
        }
    }

    /// Follows the list of the upstream service; returns only with an error.
    async fn follow(&self, from: SocketAddr) -> io::Result<()> {
        let stream = TcpStream::connect(from).await?;
        let mut connection =
            Connection::new(stream, MessageKind::Response(MAX_LIST_BYTES), self.upstream_traffic.clone())?;
        loop {
            let target = match self.list.borrow().index {
                0 => "/v1/servers".to_string(),
                index => format!("/v1/servers?after={index}&wait_ms={WAIT_MS}"),
            };
            connection.write(&write::request("GET", &target, &from.to_string(), &[], &[])).await?;
            let response = connection.read().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let update: UpstreamResponse = serde_json::from_slice(&response.body)?;
            let mut list = self.list.borrow_mut();
            for line in update.endpoints {
                let head: EntryHeader = serde_json::from_str(line.get())?;
                list.record(update.index, head.name, head.status == "gone", line.get().to_string());
            }
            if update.snapshot {
                // A new watcher receives the whole list anyway.
                list.changes.clear();
            }
            drop(list);
            self.changed.notify(usize::MAX);
        }
    }

    /// Records that the real aggregator of an address has applied a version and all earlier ones.
    fn record_applied(&self, address_index: usize, version: u64) {
        let mut applied = self.applied.borrow_mut();
        let Some((last, times)) = address_index.checked_sub(1).and_then(|real| applied.get_mut(real)) else {
            return;
        };
        *last = version.max(*last);
        times.resize((*last - FIRST_INDEX) as usize, self.clock.now());
    }

    /// Publishes the events at their times.
    async fn publish(self: Rc<Self>, events: Vec<Event>, address: String) {
        let begin = self.list.borrow().begin;
        for event in &events {
            let left = (begin + event.at) as f64 - self.clock.now();
            if left > 0.0 {
                Timer::after(Duration::from_secs_f64(left / 1000.0)).await;
            }
            let gone = event.change == Change::Remove;
            let line = events::line(&event.name, &event.entry, gone, &address, begin);
            let index = self.list.borrow().index + 1;
            self.list.borrow_mut().record(index, event.name.clone(), gone, line);
            self.published.borrow_mut().push(self.clock.now());
            self.changed.notify(usize::MAX);
        }
    }
}

/// Starts discovery, or a relay if the setup names an upstream address, and returns its addresses. A relay has its
/// first list by then.
pub async fn start(
    setup: &Setup,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<(Vec<SocketAddr>, RoleHandler)> {
    let address = setup.run_store_address.ok_or(io::ErrorKind::InvalidInput)?.to_string();
    let mut list =
        List { begin: 0, index: 0, lines: BTreeMap::new(), changes: Vec::new(), responses: HashMap::new() };
    if setup.upstream.is_none() {
        let first: Entries = events::first_list(setup.run_stores);
        let line =
            |(name, entry): (&String, &_)| (name.clone(), events::line(name, entry, false, &address, 0));
        list.lines = first.iter().map(line).collect();
        list.index = FIRST_INDEX;
    }
    let discovery = Rc::new(Discovery {
        clock: Clock::new(),
        executor: executor.clone(),
        list: RefCell::new(list),
        changed: Notifier::new(),
        traffic: (0..=setup.real).map(|_| TrafficCounter::default()).collect(),
        published: RefCell::default(),
        applied: RefCell::new(vec![(0, Vec::new()); setup.real]),
        whole_list_bytes: Cell::new(0),
        upstream_traffic: TrafficCounter::default(),
    });
    if let Some(from) = setup.upstream {
        let relay = discovery.clone();
        let following = async move {
            // Its aggregators receive no further changes, which makes the run fail.
            if let Err(why) = relay.follow(from).await {
                eprintln!("relay lost its upstream connection to {from}: {why}");
            }
        };
        executor.spawn(following).detach();
        discovery.wait_for_newer(0).await;
    }
    let mut addresses = Vec::new();
    for address_index in 0..=setup.real {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
        executor.spawn(discovery.clone().accept(listener, address_index)).detach();
    }
    let mut events = Some(events::generate(setup.run_stores, setup.changes, setup.seconds, setup.seed));
    let handler = Box::new(move |command| match command {
        RoleCommand::Begin(at) => {
            discovery.list.borrow_mut().begin = at;
            let changing = discovery.clone().publish(events.take().unwrap_or_default(), address.clone());
            discovery.executor.spawn(changing).detach();
            json!(true)
        }
        RoleCommand::Report => {
            let real: Vec<_> = discovery.traffic[1..].iter().map(|count| count.get()).collect();
            let applied: Vec<u64> = discovery.applied.borrow().iter().map(|(last, _)| *last).collect();
            json!({"index": discovery.list.borrow().index, "up": discovery.upstream_traffic.get(),
                "hollow": discovery.traffic[0].get(), "real": real,
                "taken": applied, "whole_list": discovery.whole_list_bytes.get()})
        }
        RoleCommand::End => {
            let applied: Vec<_> = discovery.applied.borrow().iter().map(|(_, times)| times.clone()).collect();
            json!({"told": *discovery.published.borrow(), "taken": applied})
        }
    });
    Ok((addresses, handler))
}
