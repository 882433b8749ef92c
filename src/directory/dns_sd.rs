//! A directory based on DNS-SD records (RFC 6763): PTR records name the run stores, SRV and TXT records describe each.
//!
//! The TXT record of a run store has `group` (its cell) and may have `zone`, `status` (`ready` or `draining`),
//! `weight` and `since_ms`, with the meanings of the discovery service's list.
//!
//! The names are queried at a fixed interval, whatever becomes of the queries for the records of each, and each answer
//! takes effect as it arrives. The records are looked up one after the other in the order of [`crate::record_order`].

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::Timer;
use futures_lite::future;

use super::dns::{self, Name, Record, RecordData};
use super::instances::{Instances, StartedLookup};
use super::lookup_tasks::{LookupEvent, LookupTasks, Report};
use super::resolver::Resolver;
use super::{Reload, ReloadTarget};
use crate::api::ReplicaId;
use crate::asking::MAX_BACKOFF;
use crate::config::{Config, DnsSd as DnsSdConfig};
use crate::core::drive::{Directory, Driver};
use crate::core::{DirectoryUpdate, ListedRunStore};
use crate::log::{self, Reason};
use crate::transport::duration_from_millis;

/// How long the first run stores that are found after a start wait for others, so that they are listed together.
const COLLECT_TIME: Duration = Duration::from_millis(100);

/// A directory that polls a DNS server.
pub struct DnsSd {
    driver: Rc<Driver>,
    config: ReloadTarget<DnsSdConfig>,
    /// Whether the polling task runs.
    running: Cell<bool>,
    /// Signalled when the core asks for the list again after a failure.
    retry: (Sender<()>, Receiver<()>),
    instances: RefCell<Instances>,
    /// Whether the whole list was passed to the core once. Until then it is passed on as a cached one, as the records
    /// of some instances have not been looked up.
    list_complete: Cell<bool>,
}

/// An event for the task that looks up the records of instances.
enum Event {
    /// The names have been queried again, so that all records are due.
    Round,
    /// A lookup is overdue or has ended.
    Lookup(LookupEvent),
    /// Run stores found after the start have waited for others long enough.
    Collected,
    /// Lookups that failed are due again.
    Retry,
}

impl DnsSd {
    /// Creates a directory of the instances of a service. It does not poll yet.
    pub fn new(driver: Rc<Driver>, config: DnsSdConfig) -> Rc<Self> {
        Rc::new(DnsSd {
            driver,
            config: ReloadTarget::new(config),
            running: Cell::new(false),
            retry: async_channel::bounded(1),
            instances: RefCell::default(),
            list_complete: Cell::new(false),
        })
    }

    async fn run(self: Rc<Self>) {
        loop {
            let config = self.config.acknowledge();
            // A reload drops the queries in progress. `changed` is polled first, so that no answer of the old server
            // is applied after the reload.
            future::or(self.config.changed(), self.poll(&config)).await;
            log::ended("dns", Some(config.server), Reason::Retired, "the DNS server or service has changed");
        }
    }

    /// Polls the records. Does not return.
    async fn poll(&self, config: &DnsSdConfig) {
        self.instances.borrow_mut().cancel_lookups();
        let resolver = Rc::new(Resolver::new(config.server));
        let (events, received) = async_channel::unbounded();
        let service = dns::parse_name(&config.service);
        let names = self.poll_names(config, &service, &resolver, &events);
        let records = self.look_up_records(&service, &resolver, &events, &received);
        future::or(names, records).await;
    }

    /// Polls the names of the instances. Does not return.
    async fn poll_names(
        &self,
        config: &DnsSdConfig,
        service: &Name,
        resolver: &Resolver,
        events: &Sender<Event>,
    ) {
        let refresh = duration_from_millis(config.refresh_ms);
        let max_backoff = duration_from_millis(MAX_BACKOFF);
        loop {
            let answer = resolver.query_names(service).await;
            match &answer {
                Ok(records) => self.apply_names(config.server, service, records),
                Err(why) => self.report_failure(config.server, why),
            }
            // The receiver outlives this task.
            let _ = events.try_send(Event::Round);
            if answer.is_ok() {
                Timer::after(refresh).await;
            } else {
                future::or(self.retry_requested(), sleep(max_backoff)).await;
            }
        }
    }

    /// Applies the names of the instances, and the records that came along with them. An answer without any name is a
    /// list too: all run stores are gone.
    fn apply_names(&self, server: SocketAddr, service: &Name, records: &[Record]) {
        let names = instance_names(service, records);
        let in_use = self.driver.directory();
        let mut instances = self.instances.borrow_mut();
        if names.is_empty() && !(instances.is_empty() && self.list_complete.get()) {
            log::line(&format!("dns {server}: the list of run stores is empty"));
        }
        instances.set_names(&names, &in_use);
        let known = instances.apply_additional(records);
        instances.request_lookups(&known);
        drop(instances);
        self.publish_names(&in_use);
    }

    /// Passes the run stores to the core after an answer about the names. `in_use` are those that the core uses.
    fn publish_names(&self, in_use: &[ListedRunStore]) {
        let run_stores = self.instances.borrow().run_stores();
        let ids: BTreeSet<&ReplicaId> = run_stores.iter().map(|run_store| &run_store.replica.id).collect();
        let any_removed = in_use.iter().any(|run_store| !ids.contains(&run_store.replica.id));
        if !self.list_complete.get() {
            self.publish_initial(any_removed);
        } else if any_removed {
            self.driver.apply_directory_update(DirectoryUpdate::Full(run_stores));
        } else {
            // Without any change, the update tells the core that the directory can be reached.
            let in_use: BTreeMap<&ReplicaId, &ListedRunStore> =
                in_use.iter().map(|run_store| (&run_store.replica.id, run_store)).collect();
            let is_changed =
                |run_store: &ListedRunStore| in_use.get(&run_store.replica.id) != Some(&run_store);
            let changes = run_stores.into_iter().filter(is_changed).collect();
            self.driver.apply_directory_update(DirectoryUpdate::Changes(changes));
        }
    }

    /// Passes the run stores to the core before the list is complete: as the whole list once it is, else, if `early`,
    /// as a cached one.
    fn publish_initial(&self, early: bool) {
        let is_complete = self.instances.borrow().is_complete();
        if !is_complete && !early {
            return;
        }
        self.list_complete.set(is_complete);
        let run_stores = self.instances.borrow().run_stores();
        self.driver.apply_directory_update(match is_complete {
            true => DirectoryUpdate::Full(run_stores),
            false => DirectoryUpdate::Cached(run_stores),
        });
    }

    /// Reports that the names could not be queried.
    fn report_failure(&self, server: SocketAddr, why: &io::Error) {
        log::ended("dns", Some(server), why.kind().into(), why);
        self.instances.borrow_mut().request_lookups(&BTreeSet::new());
        // A request of the core from before the failure is not one to retry.
        let _ = self.retry.1.try_recv();
        self.driver.apply_directory_update(DirectoryUpdate::Failed);
    }

    async fn retry_requested(&self) {
        let _ = self.retry.1.recv().await;
    }

    /// Looks up the records of instances. Does not return.
    async fn look_up_records(
        &self,
        service: &Name,
        resolver: &Rc<Resolver>,
        events: &Sender<Event>,
        received: &Receiver<Event>,
    ) {
        let report: Report = {
            let events = events.clone();
            // The receiver may be gone after a reload.
            Rc::new(move |event| drop(events.try_send(Event::Lookup(event))))
        };
        let executor = self.driver.executor().clone();
        let mut lookups = LookupTasks::new(resolver.clone(), executor, service.clone(), report);
        let (mut collecting, mut retrying) = (None, None);
        while let Ok(event) = received.recv().await {
            match event {
                Event::Round => {}
                Event::Lookup(LookupEvent::Overdue) => {}
                Event::Lookup(LookupEvent::Ended(started, answer)) => {
                    lookups.remove(&started.lookup);
                    if answer.is_err() && retrying.is_none() {
                        let backoff = duration_from_millis(MAX_BACKOFF);
                        retrying = Some(self.start_timer(backoff, Event::Retry, events));
                    }
                    let changed = self.apply_lookup(resolver.server(), &started, answer);
                    if changed && !self.list_complete.get() && collecting.is_none() {
                        collecting = Some(self.start_timer(COLLECT_TIME, Event::Collected, events));
                    }
                }
                Event::Collected => {
                    collecting = None;
                    if !self.list_complete.get() {
                        self.publish_initial(true);
                    }
                }
                Event::Retry => {
                    retrying = None;
                    self.instances.borrow_mut().request_failed_lookups();
                }
            }
            lookups.start(&mut self.instances.borrow_mut());
        }
    }

    /// Starts a timer that ends with an event.
    fn start_timer(&self, duration: Duration, event: Event, events: &Sender<Event>) -> Task<()> {
        let events = events.clone();
        self.driver.executor().spawn(async move {
            Timer::after(duration).await;
            // The receiver may be gone after a reload.
            let _ = events.try_send(event);
        })
    }

    /// Applies the end of a lookup. Returns whether it has changed a run store.
    fn apply_lookup(
        &self,
        server: SocketAddr,
        started: &StartedLookup,
        answer: io::Result<Vec<Record>>,
    ) -> bool {
        let changed = match answer {
            Ok(records) => self.instances.borrow_mut().apply_answer(started, &records),
            Err(why) => {
                let timed_out = why.kind() == io::ErrorKind::TimedOut;
                let first = self.instances.borrow_mut().record_failure(&started.lookup, timed_out);
                if first {
                    let what = format!("{:?} of {}: {why}", started.lookup.kind, started.name.join("."));
                    log::ended("dns", Some(server), why.kind().into(), what);
                }
                false
            }
        };
        if !self.list_complete.get() {
            self.publish_initial(false);
        } else if changed {
            let line = self.instances.borrow().line(&started.lookup.instance);
            self.driver.apply_directory_update(DirectoryUpdate::Changes(vec![line]));
        }
        changed
    }
}

/// Returns the names of the instances that the PTR records of a service list.
fn instance_names(service: &Name, records: &[Record]) -> Vec<Name> {
    let own = records.iter().filter(|record| dns::names_equal(&record.name, service));
    own.filter_map(|record| match &record.data {
        RecordData::Pointer(instance) => Some(instance.clone()),
        _ => None,
    })
    .collect()
}

async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}

impl Reload for Rc<DnsSd> {
    fn reload(&self, config: &Config) {
        if config.dns_sd.as_ref().is_some_and(|dns_sd| self.config.set(dns_sd.clone())) {
            self.watch();
        }
    }
}

impl Directory for Rc<DnsSd> {
    fn watch(&self) {
        if self.running.replace(true) {
            // Only a wait after a failure is ended.
            let _ = self.retry.0.try_send(());
        } else {
            self.driver.executor().spawn(self.clone().run()).detach();
        }
    }
}
