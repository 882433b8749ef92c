//! Discovery as the scale run needs it: thousands of watches on one thread, each answer made once for all that ask for it.
//!
//! It has an address for hollow aggregators, and one for each real one. Whoever asks for what came after a version has
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
use ironpaddle::http::parse::Kind;
use serde_json::json;

use super::events::{self, Change, Entries, Event, FIRST_INDEX};
use super::roles::{Attend, Setup, Word};
use super::wire::{Count, Wire};
use crate::clock::Clock;

/// The longest that a watch waits.
const LONGEST_WAIT: u64 = 60_000;

struct List {
    /// When the events began.
    begin: u64,
    /// All lines as they are written.
    lines: BTreeMap<String, String>,
    /// What was changed, from the first version on: the name and its line.
    changes: Vec<(String, String)>,
    /// Answers by the version after which is asked, as long as nothing changes.
    answers: HashMap<Option<u64>, Rc<[u8]>>,
}

impl List {
    fn index(&self) -> u64 {
        FIRST_INDEX + self.changes.len() as u64
    }

    fn tell(&mut self, event: &Event, address: &str) {
        let gone = event.change == Change::Remove;
        let line = events::line(&event.name, &event.entry, gone, address, self.begin);
        if gone {
            self.lines.remove(&event.name);
        } else {
            self.lines.insert(event.name.clone(), line.clone());
        }
        self.changes.push((event.name.clone(), line));
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
                let from = (after.saturating_sub(FIRST_INDEX) as usize).min(self.changes.len());
                // Of several changes of a line the last alone counts.
                let newest: BTreeMap<_, _> =
                    self.changes[from..].iter().map(|(name, line)| (name, line)).collect();
                newest.into_values().map(String::as_str).collect()
            }
        };
        let (index, whole) = (self.index(), after.is_none());
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
        let mut wire = Wire::new(stream, Kind::Request, self.counts[place].clone())?;
        while let Some(request) = wire.read().await? {
            let target = request.start.1;
            let number =
                |name: &str| -> Option<u64> { target.split(name).nth(1)?.split('&').next()?.parse().ok() };
            let (after, wait) = (number("after="), number("wait_ms=").unwrap_or(0).min(LONGEST_WAIT));
            if let Some(after) = after {
                self.has_taken(place, after);
                let news = async {
                    loop {
                        let changed = self.changed.listen();
                        if self.list.borrow().index() > after {
                            break;
                        }
                        changed.await;
                    }
                };
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
            self.list.borrow_mut().tell(event, &address);
            self.told.borrow_mut().push(self.clock.now());
            self.changed.notify(usize::MAX);
        }
    }
}

/// Starts it; its addresses.
pub async fn start(
    setup: &Setup,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<(Vec<SocketAddr>, Attend)> {
    let address = setup.stores.ok_or(io::ErrorKind::InvalidInput)?.to_string();
    let first: Entries = events::first_list(setup.run_stores);
    let line = |(name, entry): (&String, &_)| (name.clone(), events::line(name, entry, false, &address, 0));
    let list = List {
        begin: 0,
        lines: first.iter().map(line).collect(),
        changes: Vec::new(),
        answers: HashMap::new(),
    };
    let discovery = Rc::new(Discovery {
        clock: Clock::new(),
        executor: executor.clone(),
        list: RefCell::new(list),
        changed: Bell::new(),
        counts: (0..=setup.real).map(|_| Count::default()).collect(),
        told: RefCell::default(),
        taken: RefCell::new(vec![(0, Vec::new()); setup.real]),
        whole: Cell::new(0),
    });
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
            json!({"index": discovery.list.borrow().index(), "hollow": discovery.counts[0].get(), "real": real,
                "taken": taken, "whole_list": discovery.whole.get()})
        }
        Word::End => {
            let taken: Vec<_> = discovery.taken.borrow().iter().map(|(_, times)| times.clone()).collect();
            json!({"told": *discovery.told.borrow(), "taken": taken})
        }
    });
    Ok((addresses, attend))
}
