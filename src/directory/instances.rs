//! The instances of a DNS-SD service (RFC 6763) and their records: which are named, what is known of each, and which
//! run stores are therefore in use. Does no I/O.
//!
//! The PTR records of the service name the instances. A change of these names takes effect by itself, without any other
//! record. What the server says that there is no longer, is gone; what it fails to answer stays as it was last known.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use super::dns::{names_equal, Name, Record, RecordData};
use super::list::Line;
use crate::api::{ReplicaId, ReplicaState};
use crate::core::ListedRunStore;
use crate::dns_pacing::RoundTripTime;
use crate::record_order::{Lookup, Purpose, RecordKind, RecordOrder};

/// The instances of a service.
#[derive(Debug, Default)]
pub struct Instances {
    by_id: BTreeMap<ReplicaId, Instance>,
    order: RecordOrder,
    /// The number of instances whose run stores were in use when lookups were last requested.
    in_use: usize,
}

/// What is known of a kind of record.
#[derive(Debug, Clone, Default, PartialEq)]
enum Known<T> {
    /// No answer has come yet.
    #[default]
    Unknown,
    /// There is none.
    Absent,
    /// The data of the record.
    Present(T),
}

/// The port and the host of an instance.
#[derive(Debug, Clone, PartialEq)]
struct Service {
    port: u16,
    host: Name,
}

/// An instance that the service names.
#[derive(Debug, Default)]
struct Instance {
    name: Name,
    service: Known<Service>,
    address: Known<IpAddr>,
    texts: Known<Vec<Vec<u8>>>,
    /// The run store as it was last known; `None` if it is not to be used.
    run_store: Option<ListedRunStore>,
    /// The records whose lookup has ended, with or without an answer.
    tried: BTreeSet<RecordKind>,
    /// The records whose last lookup failed.
    failing: BTreeSet<RecordKind>,
    /// Those of them for which the server did not respond, so that another lookup takes long.
    unanswered: BTreeSet<RecordKind>,
}

/// A lookup that has been started, and the name to query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedLookup {
    /// The lookup.
    pub lookup: Lookup,
    /// The name that has the record.
    pub name: Name,
}

impl Instances {
    /// Replaces the named instances. One that was not named before takes over what is known of its run store from
    /// `in_use`, the run stores that are in use.
    pub fn set_names(&mut self, names: &[Name], in_use: &[ListedRunStore]) {
        let in_use: BTreeMap<&ReplicaId, &ListedRunStore> =
            in_use.iter().map(|run_store| (&run_store.replica.id, run_store)).collect();
        let mut before = std::mem::take(&mut self.by_id);
        for name in names {
            let Some(label) = name.first() else { continue };
            let id = ReplicaId::from(label.as_str());
            let instance = match before.remove(&id) {
                Some(instance) if names_equal(&instance.name, name) => instance,
                // A service of another domain, after a reload.
                Some(instance) => {
                    Instance { name: name.clone(), run_store: instance.run_store, ..Instance::default() }
                }
                None => {
                    let run_store = in_use.get(&id).map(|run_store| (*run_store).clone());
                    Instance { name: name.clone(), run_store, ..Instance::default() }
                }
            };
            self.by_id.insert(id, instance);
        }
    }

    /// Forgets all lookups that are queued or in progress.
    pub fn cancel_lookups(&mut self) {
        self.order.clear();
    }

    /// Queues a lookup of each record of each instance that is not queued or in progress, other than `known`.
    pub fn request_lookups(&mut self, known: &BTreeSet<Lookup>) {
        self.in_use = self.by_id.values().filter(|instance| instance.run_store.is_some()).count();
        for (id, instance) in &self.by_id {
            for kind in [RecordKind::Service, RecordKind::Address, RecordKind::Texts] {
                let lookup = Lookup { instance: id.clone(), kind };
                if instance.queried_name(kind).is_some() && !known.contains(&lookup) {
                    self.order.request(lookup, instance.purpose(kind));
                }
            }
        }
    }

    /// Queues again the lookups that failed.
    pub fn request_failed_lookups(&mut self) {
        for (id, instance) in &self.by_id {
            for kind in &instance.failing {
                let lookup = Lookup { instance: id.clone(), kind: *kind };
                self.order.request(lookup, instance.purpose(*kind));
            }
        }
    }

    /// Starts the next lookup, at the pace of a server with this round trip time.
    pub fn start_lookup(&mut self, round_trip_time: &RoundTripTime) -> Option<StartedLookup> {
        let state_share = round_trip_time.state_share(self.in_use);
        loop {
            let lookup = self.order.start_next(state_share)?;
            let instance = self.by_id.get(&lookup.instance);
            match instance.and_then(|instance| instance.queried_name(lookup.kind)) {
                Some(name) => return Some(StartedLookup { name: name.clone(), lookup }),
                // The instance is no longer named, or its host is unknown again.
                None => self.order.end(&lookup),
            }
        }
    }

    /// Applies the answer to a lookup. Returns whether the run store of the instance has changed.
    pub fn apply_answer(&mut self, started: &StartedLookup, records: &[Record]) -> bool {
        let StartedLookup { lookup, name } = started;
        self.order.end(lookup);
        let Some(instance) = self.by_id.get_mut(&lookup.instance) else { return false };
        if !instance.queried_name(lookup.kind).is_some_and(|now| names_equal(now, name)) {
            // The name changed meanwhile, so the answer is about another one.
            return false;
        }
        instance.record_answer(lookup.kind);
        instance.learn(lookup.kind, records);
        if lookup.kind == RecordKind::Service {
            self.follow_service(&lookup.instance, records);
        }
        self.by_id.get_mut(&lookup.instance).is_some_and(Instance::update_run_store)
    }

    /// Records that a lookup failed, as the server did not respond (`timed_out`) or its response was no answer.
    /// Returns whether the lookup before it did not fail.
    pub fn record_failure(&mut self, lookup: &Lookup, timed_out: bool) -> bool {
        self.order.end(lookup);
        let instance = self.by_id.get_mut(&lookup.instance);
        instance.is_some_and(|instance| instance.record_failure(lookup.kind, timed_out))
    }

    /// Applies the records that came along with the PTR records, and returns the lookups that they answer.
    pub fn apply_additional(&mut self, records: &[Record]) -> BTreeSet<Lookup> {
        let mut known = BTreeSet::new();
        for (id, instance) in &mut self.by_id {
            for kind in [RecordKind::Service, RecordKind::Address, RecordKind::Texts] {
                if instance.has_record(kind, records) {
                    instance.record_answer(kind);
                    instance.learn(kind, records);
                    known.insert(Lookup { instance: id.clone(), kind });
                }
            }
            instance.update_run_store();
        }
        known
    }

    /// Returns the run store of an instance as last known, or a line that reports it as gone.
    pub fn line(&self, id: &ReplicaId) -> ListedRunStore {
        let known = self.by_id.get(id).and_then(|instance| instance.run_store.clone());
        known.unwrap_or_else(|| gone(id))
    }

    /// Returns the run stores to use, ordered by id.
    pub fn run_stores(&self) -> Vec<ListedRunStore> {
        self.by_id.values().filter_map(|instance| instance.run_store.clone()).collect()
    }

    /// Returns whether no instance is named.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns whether all records of all instances have been looked up, with or without an answer.
    pub fn is_complete(&self) -> bool {
        self.by_id.values().all(Instance::is_tried)
    }

    /// Applies the address that came along with an SRV record, or looks it up if the instance lacks it.
    fn follow_service(&mut self, id: &ReplicaId, records: &[Record]) {
        let Some(instance) = self.by_id.get_mut(id) else { return };
        if instance.has_record(RecordKind::Address, records) {
            instance.record_answer(RecordKind::Address);
            instance.learn(RecordKind::Address, records);
        } else if instance.address == Known::Unknown && instance.queried_name(RecordKind::Address).is_some() {
            let lookup = Lookup { instance: id.clone(), kind: RecordKind::Address };
            self.order.request_first(lookup, instance.purpose(RecordKind::Address));
        }
    }
}

impl Instance {
    /// Returns the name that has this kind of record; `None` for the address while the host is unknown.
    fn queried_name(&self, kind: RecordKind) -> Option<&Name> {
        match (kind, &self.service) {
            (RecordKind::Service | RecordKind::Texts, _) => Some(&self.name),
            (RecordKind::Address, Known::Present(service)) => Some(&service.host),
            (RecordKind::Address, _) => None,
        }
    }

    fn purpose(&self, kind: RecordKind) -> Purpose {
        match (kind, self.run_store.is_some()) {
            // Lookups that take long must not delay those that show the drains of others.
            _ if self.unanswered.contains(&kind) => Purpose::CheckLocation,
            (RecordKind::Texts, true) => Purpose::CheckState,
            (_, false) if !self.tried.contains(&kind) => Purpose::Discover,
            _ => Purpose::CheckLocation,
        }
    }

    /// Returns whether each record has been looked up that can be.
    fn is_tried(&self) -> bool {
        let kinds = [RecordKind::Service, RecordKind::Address, RecordKind::Texts];
        kinds.iter().all(|kind| self.tried.contains(kind) || self.queried_name(*kind).is_none())
    }

    /// Records that a lookup was answered.
    fn record_answer(&mut self, kind: RecordKind) {
        self.tried.insert(kind);
        self.failing.remove(&kind);
        self.unanswered.remove(&kind);
    }

    /// Records that a lookup failed. Returns whether the one before it did not.
    fn record_failure(&mut self, kind: RecordKind, timed_out: bool) -> bool {
        self.tried.insert(kind);
        if timed_out {
            self.unanswered.insert(kind);
        } else {
            self.unanswered.remove(&kind);
        }
        self.failing.insert(kind)
    }

    fn has_record(&self, kind: RecordKind, records: &[Record]) -> bool {
        self.queried_name(kind).is_some_and(|name| data_of(records, name).any(|data| is_of_kind(data, kind)))
    }

    /// Applies an answer that holds all records of this kind.
    fn learn(&mut self, kind: RecordKind, records: &[Record]) {
        let Some(name) = self.queried_name(kind).cloned() else { return };
        let mut data = data_of(records, &name);
        match kind {
            RecordKind::Service => {
                let service = data.find_map(|data| match data {
                    RecordData::Service(port, host) => Some(Service { port: *port, host: host.clone() }),
                    _ => None,
                });
                self.set_service(service);
            }
            RecordKind::Address => {
                let addresses: Vec<IpAddr> = data
                    .filter_map(|data| match data {
                        RecordData::Address(ip) => Some(*ip),
                        _ => None,
                    })
                    .collect();
                self.set_address(&addresses);
            }
            RecordKind::Texts => {
                let texts = data.find_map(|data| match data {
                    RecordData::Texts(texts) => Some(texts.clone()),
                    _ => None,
                });
                self.texts = texts.map_or(Known::Absent, Known::Present);
            }
        }
    }

    fn set_service(&mut self, service: Option<Service>) {
        let service = service.map_or(Known::Absent, Known::Present);
        let host = |service: &Known<Service>| match service {
            Known::Present(service) => Some(service.host.clone()),
            Known::Absent | Known::Unknown => None,
        };
        if host(&service) != host(&self.service) {
            self.address = Known::Unknown;
            self.tried.remove(&RecordKind::Address);
        }
        self.service = service;
    }

    /// Sets the address to one of these. Servers rotate them, so the present one is kept if it is among them.
    fn set_address(&mut self, addresses: &[IpAddr]) {
        let present = match self.address {
            Known::Present(ip) => Some(ip),
            Known::Absent | Known::Unknown => None,
        };
        let kept = present.filter(|ip| addresses.contains(ip));
        self.address = kept.or(addresses.first().copied()).map_or(Known::Absent, Known::Present);
    }

    /// Updates the run store to the records, and returns whether it has changed.
    fn update_run_store(&mut self) -> bool {
        let current = self.resolve();
        let changed = current != self.run_store;
        self.run_store = current;
        changed
    }

    /// Returns the run store that the records describe. What is not known yet stays as it was last known.
    fn resolve(&self) -> Option<ListedRunStore> {
        let address = match (&self.service, &self.address) {
            (Known::Absent, _) | (_, Known::Absent) => return None,
            (Known::Present(service), Known::Present(ip)) => SocketAddr::new(*ip, service.port),
            _ => self.run_store.as_ref()?.address?,
        };
        match &self.texts {
            Known::Present(texts) => run_store_from_texts(&self.name[0], address, texts),
            Known::Absent => None,
            Known::Unknown => {
                let last_known = self.run_store.clone()?;
                Some(ListedRunStore { address: Some(address), ..last_known })
            }
        }
    }
}

/// Returns the data of the records of a name.
fn data_of<'a>(records: &'a [Record], name: &'a Name) -> impl Iterator<Item = &'a RecordData> {
    records.iter().filter(|record| names_equal(&record.name, name)).map(|record| &record.data)
}

fn is_of_kind(data: &RecordData, kind: RecordKind) -> bool {
    match data {
        RecordData::Service(..) => kind == RecordKind::Service,
        RecordData::Address(_) => kind == RecordKind::Address,
        RecordData::Texts(_) => kind == RecordKind::Texts,
        RecordData::Pointer(_) | RecordData::Other => false,
    }
}

/// Returns a line that reports a run store as gone.
fn gone(id: &ReplicaId) -> ListedRunStore {
    let line = Line {
        name: id.0.as_ref().into(),
        address: "".into(),
        zone: "".into(),
        group: 0,
        status: "gone".into(),
        weight: 1.0,
        since_ms: 0.0,
    };
    line.to_listed()
}

/// Returns the run store that the strings of a TXT record describe; `None` without a valid `group`, or if it is gone.
fn run_store_from_texts(name: &str, address: SocketAddr, texts: &[Vec<u8>]) -> Option<ListedRunStore> {
    let value = |key: &str| {
        texts.iter().filter_map(|text| std::str::from_utf8(text).ok()).find_map(|text| {
            let (known, value) = text.split_once('=')?;
            known.eq_ignore_ascii_case(key).then(|| value.to_string())
        })
    };
    let number = |key: &str| value(key)?.parse().ok().filter(|number: &f64| number.is_finite());
    let line = Line {
        name: name.into(),
        address: address.to_string().into(),
        zone: value("zone").unwrap_or_default().into(),
        group: value("group")?.parse().ok()?,
        status: value("status").unwrap_or_else(|| "ready".into()).into(),
        weight: number("weight").unwrap_or(1.0),
        since_ms: number("since_ms").unwrap_or(0.0),
    };
    Some(line.to_listed()).filter(|run_store| run_store.replica.state != ReplicaState::Gone)
}

#[cfg(test)]
mod tests;
