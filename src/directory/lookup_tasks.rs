//! The lookups of DNS-SD records in progress, each a task of its own.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Instant;

use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::future;

use super::dns::{Name, Record, RecordType};
use super::instances::{Instances, StartedLookup};
use super::resolver::Resolver;
use crate::record_order::{Lookup, RecordKind};
use crate::transport::duration_from_millis;

/// Maximum number of lookups that the server has passed over. The oldest is given up for another, which bounds the
/// descriptors used.
const MAX_PASSED_OVER: usize = 4;

/// An event of a lookup.
pub enum LookupEvent {
    /// It has not been answered in the usual time, and the server has been probed.
    Overdue,
    /// It has ended.
    Ended(StartedLookup, io::Result<Vec<Record>>),
}

/// Receives the events of lookups. It must not call back into their [`LookupTasks`].
pub type Report = Rc<dyn Fn(LookupEvent)>;

/// The lookups in progress: one at a time, as a server may answer one query after the other, and those that the server
/// has passed over. A lookup is passed over if the server has responded to a later query and not to it: the server is
/// not slow, but does not answer for this name.
pub struct LookupTasks {
    resolver: Rc<Resolver>,
    executor: Rc<LocalExecutor<'static>>,
    report: Report,
    /// The service, whose name is queried to find out whether the server responds.
    service: Name,
    current: Option<LookupTask>,
    /// The oldest first. They may still be answered.
    passed_over: VecDeque<LookupTask>,
}

struct LookupTask {
    started: StartedLookup,
    started_at: Instant,
    /// Is cancelled when it is dropped.
    _task: Task<()>,
}

impl LookupTasks {
    /// Creates an empty collection. Events of its lookups are passed to `report`.
    pub fn new(
        resolver: Rc<Resolver>,
        executor: Rc<LocalExecutor<'static>>,
        service: Name,
        report: Report,
    ) -> Self {
        LookupTasks { resolver, executor, report, service, current: None, passed_over: VecDeque::new() }
    }

    /// Starts the next lookup of these instances if none is in progress but ones that were passed over.
    pub fn start(&mut self, instances: &mut Instances) {
        self.pass_over();
        if self.current.is_some() {
            return;
        }
        let round_trip_time = self.resolver.round_trip_time();
        let Some(started) = instances.start_lookup(&round_trip_time) else { return };
        let task = look_up(self.resolver.clone(), started.clone(), self.service.clone(), self.report.clone());
        let task = self.executor.spawn(task);
        self.current = Some(LookupTask { started, started_at: Instant::now(), _task: task });
    }

    /// Removes a lookup that has ended.
    pub fn remove(&mut self, lookup: &Lookup) {
        self.current.take_if(|task| task.started.lookup == *lookup);
        self.passed_over.retain(|task| task.started.lookup != *lookup);
    }

    /// Sets the current lookup aside if the server has passed it over.
    fn pass_over(&mut self) {
        let is_passed_over = |task: &mut LookupTask| self.resolver.has_answered_since(task.started_at);
        let Some(task) = self.current.take_if(is_passed_over) else { return };
        self.passed_over.push_back(task);
        if self.passed_over.len() <= MAX_PASSED_OVER {
            return;
        }
        if let Some(oldest) = self.passed_over.pop_front() {
            let timed_out = Err(io::ErrorKind::TimedOut.into());
            (self.report)(LookupEvent::Ended(oldest.started, timed_out));
        }
    }
}

/// Looks up a record and reports how that ends. If the answer is overdue, the server is probed meanwhile.
async fn look_up(resolver: Rc<Resolver>, started: StartedLookup, service: Name, report: Report) {
    let probe = async {
        let overdue = resolver.round_trip_time().overdue_timeout();
        Timer::after(duration_from_millis(overdue)).await;
        resolver.probe(&service).await;
        report(LookupEvent::Overdue);
        future::pending().await
    };
    let answer = future::or(query_records(&resolver, &started), probe).await;
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
