//! Discovery as the scale run needs it: thousands of watches on one thread, each answer made once for all that ask for it.
//!
//! A relay is the same, but learns the list from another: so do machines that stand between discovery and many aggregators.
//!
//! It has an address for hollow aggregators and relays, and one for each real one. Whoever asks for what came after a version has
//! taken that version in, which is how it is known of real ones.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use event_listener::Event as Bell;
use futures_lite::future;
use ironpaddle::http::parse::MessageKind;
use ironpaddle::http::write;
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;

use super::events::{self, Change, Entries, Event, FIRST_INDEX};
use super::roles::{Attend, Setup, Word};
use super::wire::{Count, Wire};
use crate::clock::Clock;

/// The longest that a watch waits.
const LONGEST_WAIT: u64 = 60_000;
/// How long a relay has its watch wait, and the longest list that it learns.
const WAIT_MS: u64 = 20_000;
const MOST_LIST: usize = 64 << 20;

struct List {
    /// When the events began.
    begin: u64,
    /// Its version; 0 before there is any.
    index: u64,
    /// All lines as they are written.
    lines: BTreeMap<String, String>,
    /// What was changed since: the version, the name and its line.
    changes: Vec<(u64, String, String)>,
    /// Answers by the version after which is asked, as long as nothing changes.
    answers: HashMap<Option<u64>, Rc<[u8]>>,
}

impl List {
    /// A line has changed, or is gone.
    fn tell(&mut self, index: u64, name: String, gone: bool, line: String) {
        if gone {
            self.lines.remove(&name);
        } else {
            self.lines.insert(name.clone(), line.clone());
        }
        self.index = index;
        self.changes.push((index, name, line));
        self.answers.clear();
    }

    /// The whole response to who asks for what came after a version.
    fn answer(&mut self, after: Option<u64>) -> Rc<[u8]> {
        if let Some(known) = self.answers.get(&after) {
            return known.clone();
        }
        let lines: Vec<&str> = match after {
            None => self.lines.values().map(String::as_str).collect(),
            Some(after) => {
                let from = self.changes.partition_point(|(index, _, _)| *index <= after);
                // Of several changes of a line the last alone counts.
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
        let answer: Rc<[u8]> = [head, body].concat().into_bytes().into();
        self.answers.insert(after, answer.clone());
        answer
    }
}

struct Discovery {
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    list: RefCell<List>,
    changed: Bell,
    /// What passed at each address.
    counts: Vec<Count>,
    /// For each version, when it came to be.
    told: RefCell<Vec<f64>>,
    /// The version that each real aggregator has taken in, and when it had taken in each.
    taken: RefCell<Vec<(u64, Vec<f64>)>>,
    /// The bytes of the whole list as it was last asked for.
    whole: Cell<usize>,
    /// What passed between a relay and whom it learns from.
    up: Count,
}

/// An answer that a relay learns from.
#[derive(Deserialize)]
struct Learned {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Box<RawValue>>,
}

/// What a relay needs to know of a line.
#[derive(Deserialize)]
struct Head {
    name: String,
    status: String,
}

impl Discovery {
    async fn accept(self: Rc<Self>, listener: TcpListener, place: usize) {
        while let Ok((stream, _)) = listener.accept().await {
            let discovery = self.clone();
            // A caller that leaves is no matter of discovery's.
            let serving = async move { drop(discovery.serve(stream, place).await) };
            self.executor.spawn(serving).detach();
        }
    }

    async fn serve(&self, stream: TcpStream, place: usize) -> io::Result<()> {
        let mut wire = Wire::new(stream, MessageKind::Request, self.counts[place].clone())?;
        while let Some(request) = wire.read().await? {
            let target = request.start.1;
            let number =
                |name: &str| -> Option<u64> { target.split(name).nth(1)?.split('&').next()?.parse().ok() };
            let (after, wait) = (number("after="), number("wait_ms=").unwrap_or(0).min(LONGEST_WAIT));
            if let Some(after) = after {
                self.has_taken(place, after);
                let news = self.newer_than(after);
                future::or(news, async {
                    Timer::after(Duration::from_millis(wait)).await;
                })
                .await;
            }
            let answer = self.list.borrow_mut().answer(after);
            if after.is_none() {
                self.whole.set(answer.len());
            }
            wire.write(&answer).await?;
        }
        Ok(())
    }

    /// Waits until the list is newer than a version.
    async fn newer_than(&self, version: u64) {
        loop {
            let changed = self.changed.listen();
            if self.list.borrow().index > version {
                return;
            }
            changed.await;
        }
    }

    /// Learns the list from another, until that ends.
    async fn follow(&self, from: SocketAddr) -> io::Result<()> {
        let stream = TcpStream::connect(from).await?;
        let mut wire = Wire::new(stream, MessageKind::Response(MOST_LIST), self.up.clone())?;
        loop {
            let target = match self.list.borrow().index {
                0 => "/v1/servers".to_string(),
                index => format!("/v1/servers?after={index}&wait_ms={WAIT_MS}"),
            };
            wire.write(&write::request("GET", &target, &from.to_string(), &[], &[])).await?;
            let answer = wire.read().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let news: Learned = serde_json::from_slice(&answer.body)?;
            let mut list = self.list.borrow_mut();
            for line in news.endpoints {
                let head: Head = serde_json::from_str(line.get())?;
                list.tell(news.index, head.name, head.status == "gone", line.get().to_string());
            }
            if news.snapshot {
                // Whoever asks from now on gets all of it.
                list.changes.clear();
            }
            drop(list);
            self.changed.notify(usize::MAX);
        }
    }

    /// The aggregator of an address has taken in a version, and all before.
    fn has_taken(&self, place: usize, version: u64) {
        let mut taken = self.taken.borrow_mut();
        let Some((last, times)) = place.checked_sub(1).and_then(|real| taken.get_mut(real)) else { return };
        *last = version.max(*last);
        times.resize((*last - FIRST_INDEX) as usize, self.clock.now());
    }

    async fn change(self: Rc<Self>, events: Vec<Event>, address: String) {
        let begin = self.list.borrow().begin;
        for event in &events {
            let left = (begin + event.at) as f64 - self.clock.now();
            if left > 0.0 {
                Timer::after(Duration::from_secs_f64(left / 1000.0)).await;
            }
            let gone = event.change == Change::Remove;
            let line = events::line(&event.name, &event.entry, gone, &address, begin);
            let index = self.list.borrow().index + 1;
            self.list.borrow_mut().tell(index, event.name.clone(), gone, line);
            self.told.borrow_mut().push(self.clock.now());
            self.changed.notify(usize::MAX);
        }
    }
}

/// Starts it, or a relay, which is there once it has the list; its addresses.
pub async fn start(
    setup: &Setup,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<(Vec<SocketAddr>, Attend)> {
    let address = setup.stores.ok_or(io::ErrorKind::InvalidInput)?.to_string();
    let mut list =
        List { begin: 0, index: 0, lines: BTreeMap::new(), changes: Vec::new(), answers: HashMap::new() };
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
        changed: Bell::new(),
        counts: (0..=setup.real).map(|_| Count::default()).collect(),
        told: RefCell::default(),
        taken: RefCell::new(vec![(0, Vec::new()); setup.real]),
        whole: Cell::new(0),
        up: Count::default(),
    });
    if let Some(from) = setup.upstream {
        let relay = discovery.clone();
        let following = async move {
            // Its aggregators hear no more from then on, which the run notices.
            if let Err(why) = relay.follow(from).await {
                eprintln!("a relay has lost {from}: {why}");
            }
        };
        executor.spawn(following).detach();
        discovery.newer_than(0).await;
    }
    let mut addresses = Vec::new();
    for place in 0..=setup.real {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
        executor.spawn(discovery.clone().accept(listener, place)).detach();
    }
    let mut events = Some(events::draw(setup.run_stores, setup.changes, setup.seconds, setup.seed));
    let attend = Box::new(move |word| match word {
        Word::Begin(at) => {
            discovery.list.borrow_mut().begin = at;
            let changing = discovery.clone().change(events.take().unwrap_or_default(), address.clone());
            discovery.executor.spawn(changing).detach();
            json!(true)
        }
        Word::Mark => {
            let real: Vec<_> = discovery.counts[1..].iter().map(|count| count.get()).collect();
            let taken: Vec<u64> = discovery.taken.borrow().iter().map(|(last, _)| *last).collect();
            json!({"index": discovery.list.borrow().index, "up": discovery.up.get(), "hollow": discovery.counts[0].get(), "real": real,
                "taken": taken, "whole_list": discovery.whole.get()})
        }
        Word::End => {
            let taken: Vec<_> = discovery.taken.borrow().iter().map(|(_, times)| times.clone()).collect();
            json!({"told": *discovery.told.borrow(), "taken": taken})
        }
    });
    Ok((addresses, attend))
}
