//! The lookups of DNS-SD records in progress, each a task of its own.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;

use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::future;

use super::dns::{Record, RecordType};
use super::instances::{Instances, StartedLookup};
use super::resolver::Resolver;
use crate::record_order::{Lookup, RecordKind};

/// Maximum number of overdue lookups in progress, which bounds the descriptors used. The oldest is given up for another.
const MAX_OVERDUE_LOOKUPS: usize = 4;

/// An event of a lookup.
pub enum LookupEvent {
    /// It has not been answered in the usual time.
    Overdue(StartedLookup),
    /// It has ended.
    Ended(StartedLookup, io::Result<Vec<Record>>),
}

/// Receives the events of lookups. It must not call back into their [`LookupTasks`].
pub type Report = Rc<dyn Fn(LookupEvent)>;

/// The lookups in progress.
pub struct LookupTasks {
    resolver: Rc<Resolver>,
    executor: Rc<LocalExecutor<'static>>,
    report: Report,
    /// The task of each lookup, which is cancelled when it is dropped.
    tasks: BTreeMap<Lookup, Task<()>>,
    /// The lookups among them that are overdue, the oldest first.
    overdue: VecDeque<StartedLookup>,
}

impl LookupTasks {
    /// Creates an empty collection. Events of its lookups are passed to `report`.
    pub fn new(resolver: Rc<Resolver>, executor: Rc<LocalExecutor<'static>>, report: Report) -> Self {
        LookupTasks { resolver, executor, report, tasks: BTreeMap::new(), overdue: VecDeque::new() }
    }

    /// Starts lookups of these instances while more may be in progress. Overdue ones hold up no other.
    pub fn start(&mut self, instances: &mut Instances) {
        loop {
            let round_trip_time = self.resolver.round_trip_time();
            let prompt = self.tasks.len() - self.overdue.len();
            if prompt >= round_trip_time.concurrency() {
                return;
            }
            let Some(started) = instances.start_lookup(&round_trip_time) else { return };
            let lookup = started.lookup.clone();
            let task = look_up(self.resolver.clone(), started, self.report.clone());
            self.tasks.insert(lookup, self.executor.spawn(task));
        }
    }

    /// Removes a lookup that has ended.
    pub fn remove(&mut self, lookup: &Lookup) {
        self.tasks.remove(lookup);
        self.overdue.retain(|started| started.lookup != *lookup);
    }

    /// Marks a lookup as overdue, and ends the oldest overdue one if there are too many.
    pub fn mark_overdue(&mut self, started: StartedLookup) {
        if !self.tasks.contains_key(&started.lookup) {
            return;
        }
        self.overdue.push_back(started);
        if self.overdue.len() <= MAX_OVERDUE_LOOKUPS {
            return;
        }
        if let Some(oldest) = self.overdue.pop_front() {
            self.tasks.remove(&oldest.lookup);
            (self.report)(LookupEvent::Ended(oldest, Err(io::ErrorKind::TimedOut.into())));
        }
    }
}

/// Looks up a record, and reports when the answer is overdue and how the lookup ends.
async fn look_up(resolver: Rc<Resolver>, started: StartedLookup, report: Report) {
    let overdue = async {
        Timer::after(resolver.retry_timeout()).await;
        report(LookupEvent::Overdue(started.clone()));
        future::pending().await
    };
    let answer = future::or(query_records(&resolver, &started), overdue).await;
    report(LookupEvent::Ended(started, answer));
}

/// Queries the records of a lookup. An IPv6 address is queried for a host that has no IPv4 address.
async fn query_records(resolver: &Resolver, started: &StartedLookup) -> io::Result<Vec<Record>> {
    match started.lookup.kind {
        RecordKind::Service => resolver.query(&started.name, RecordType::Srv).await,
        RecordKind::Texts => resolver.query(&started.name, RecordType::Txt).await,
        RecordKind::Address => {
            let records = resolver.query(&started.name, RecordType::A).await?;
            if records.is_empty() {
                return resolver.query(&started.name, RecordType::Aaaa).await;
            }
            Ok(records)
        }
    }
}
