//! A directory based on DNS-SD records (RFC 6763): PTR records name the run stores, SRV and TXT records describe each.
//!
//! The TXT record of a run store has `group` (its cell) and may have `zone`, `status` (`ready` or `draining`),
//! `weight` and `since_ms`, with the meanings of the discovery service's list.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use async_net::UdpSocket;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

use super::dns::{self, Name, Record, RecordData, RecordType, Response};
use super::list::{Line, List};
use super::{Reload, ReloadTarget};
use crate::config::{Config, DnsSd as DnsSdConfig};
use crate::core::drive::{Directory, Driver};
use crate::core::{DirectoryUpdate, ListedRunStore};
use crate::http::client::within;
use crate::log::{self, Reason};
use crate::net::Stream;
use crate::transport::duration_from_millis;

/// The time-out of one try of a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a query is sent before it fails, as datagrams can be lost.
const MAX_TRIES: usize = 3;

/// A directory that polls a DNS server.
pub struct DnsSd {
    driver: Rc<Driver>,
    config: ReloadTarget<DnsSdConfig>,
    /// Whether the polling task runs.
    running: Cell<bool>,
    /// The list passed to the core last.
    last_list: RefCell<List>,
}

/// Queries one DNS server for the instances of one service.
struct Lookup {
    server: SocketAddr,
    service: Name,
}

impl DnsSd {
    /// Creates a directory of the instances of a service. It does not poll yet.
    pub fn new(driver: Rc<Driver>, config: DnsSdConfig) -> Rc<Self> {
        let config = ReloadTarget::new(config);
        Rc::new(DnsSd { driver, config, running: Cell::new(false), last_list: RefCell::default() })
    }

    async fn run(self: Rc<Self>) {
        let (server, why) = loop {
            let config = self.config.acknowledge();
            let polled = async { Some(self.poll(&config).await) };
            let changed = async {
                self.config.changed().await;
                None
            };
            // A reload drops the query in progress. `changed` is polled first, so that no answer of the old server is
            // applied after the reload.
            match future::or(changed, polled).await {
                Some(why) => break (config.server, why),
                None => log::ended(
                    "dns",
                    Some(config.server),
                    Reason::Retired,
                    "the DNS server or service has changed",
                ),
            }
        };
        let reason = if why.kind() == io::ErrorKind::TimedOut { Reason::TooSlow } else { Reason::Malformed };
        log::ended("dns", Some(server), reason, why);
        // The core decides when to start again.
        self.running.set(false);
        self.driver.apply_directory_update(DirectoryUpdate::Failed);
    }

    /// Polls the records until a poll fails, and returns the error.
    async fn poll(&self, config: &DnsSdConfig) -> io::Error {
        let lookup = Lookup { server: config.server, service: dns::parse_name(&config.service) };
        loop {
            match lookup.list().await {
                // An empty list is more likely a fault in the DNS zone than the truth, so the old list is kept.
                Ok(list) if list.endpoints.is_empty() => {
                    return io::Error::new(io::ErrorKind::InvalidData, "no run store is listed");
                }
                Ok(list) if *self.last_list.borrow() != list => {
                    self.driver.apply_directory_update(list.clone().into_update());
                    *self.last_list.borrow_mut() = list;
                }
                // Nothing has changed. The empty update tells the core that the directory can be reached.
                Ok(_) => self.driver.apply_directory_update(DirectoryUpdate::Changes(Vec::new())),
                Err(why) => return why,
            }
            Timer::after(duration_from_millis(config.refresh_ms)).await;
        }
    }
}

impl Lookup {
    /// Queries the records of all run stores.
    async fn list(&self) -> io::Result<List> {
        let pointers = self.query(&self.service, RecordType::Ptr).await?;
        let mut lines = BTreeMap::new();
        for record in pointers.iter().filter(|record| dns::names_equal(&record.name, &self.service)) {
            let RecordData::Pointer(instance) = &record.data else { continue };
            if let Some(line) = self.resolve_instance(instance, &pointers).await? {
                lines.insert(line.replica.id.clone(), line);
            }
        }
        Ok(List { index: 0, snapshot: true, endpoints: lines.into_values().collect() })
    }

    /// Queries the records of one instance; `None` if they are incomplete. `known` holds the records that the server
    /// has already sent.
    async fn resolve_instance(&self, name: &Name, known: &[Record]) -> io::Result<Option<ListedRunStore>> {
        let mut records = known.to_vec();
        let has_record = |records: &[Record], wanted: fn(&RecordData) -> bool| {
            records.iter().any(|record| dns::names_equal(&record.name, name) && wanted(&record.data))
        };
        // Servers may send these records along with the PTR records; only missing ones are queried.
        if !has_record(&records, |data| matches!(data, RecordData::Service(..))) {
            records.extend(self.query(name, RecordType::Srv).await?);
        }
        if !has_record(&records, |data| matches!(data, RecordData::Texts(_))) {
            records.extend(self.query(name, RecordType::Txt).await?);
        }
        let own_records = || records.iter().filter(|record| dns::names_equal(&record.name, name));
        let service = own_records().find_map(|record| match &record.data {
            RecordData::Service(port, host) => Some((*port, host.clone())),
            _ => None,
        });
        let texts = own_records().find_map(|record| match &record.data {
            RecordData::Texts(texts) => Some(texts.clone()),
            _ => None,
        });
        let (Some((port, host)), Some(texts)) = (service, texts) else { return Ok(None) };
        let mut address = find_address(&records, &host);
        for record_type in [RecordType::A, RecordType::Aaaa] {
            if address.is_none() {
                address = find_address(&self.query(&host, record_type).await?, &host);
            }
        }
        Ok(address.and_then(|ip| listed_run_store(&name[0], SocketAddr::new(ip, port), &texts)))
    }

    /// Sends a query over UDP, repeats it after a time-out, and switches to TCP if the response is truncated.
    async fn query(&self, name: &[String], record_type: RecordType) -> io::Result<Vec<Record>> {
        let id = fastrand::u16(..);
        let query = dns::encode_query(id, name, record_type).ok_or(io::ErrorKind::InvalidInput)?;
        let mut answer = Err(io::ErrorKind::TimedOut.into());
        for _ in 0..MAX_TRIES {
            answer = within(QUERY_TIMEOUT, self.query_udp(id, &query)).await;
            if answer.is_ok() {
                break;
            }
        }
        let mut answer = answer?;
        if answer.truncated {
            answer = within(QUERY_TIMEOUT, self.query_tcp(&query)).await?;
        }
        match answer.code {
            0 => Ok(answer.records),
            // NXDOMAIN: the name has no records.
            3 => Ok(Vec::new()),
            code => Err(io::Error::new(io::ErrorKind::InvalidData, format!("response code {code}"))),
        }
    }

    async fn query_udp(&self, id: u16, query: &[u8]) -> io::Result<Response> {
        let unspecified: IpAddr = if self.server.is_ipv4() { [0; 4].into() } else { [0u16; 8].into() };
        let socket = UdpSocket::bind((unspecified, 0)).await?;
        socket.connect(self.server).await?;
        socket.send(query).await?;
        let mut bytes = vec![0; 4096];
        loop {
            let count = socket.recv(&mut bytes).await?;
            // A late response to an earlier query is ignored.
            if let Some(response) = dns::decode_response(&bytes[..count]).filter(|response| response.id == id)
            {
                return Ok(response);
            }
        }
    }

    async fn query_tcp(&self, query: &[u8]) -> io::Result<Response> {
        let mut stream = Stream::connect(self.server).await?;
        let length = (query.len() as u16).to_be_bytes();
        stream.write_all(&[&length[..], query].concat()).await?;
        let mut length = [0; 2];
        stream.read_exact(&mut length).await?;
        let mut bytes = vec![0; usize::from(u16::from_be_bytes(length))];
        stream.read_exact(&mut bytes).await?;
        dns::decode_response(&bytes).ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
}

impl Reload for Rc<DnsSd> {
    fn reload(&self, config: &Config) {
        if config.dns_sd.as_ref().is_some_and(|dns_sd| self.config.set(dns_sd.clone())) {
            *self.last_list.borrow_mut() = List::default();
            self.watch();
        }
    }
}

impl Directory for Rc<DnsSd> {
    fn watch(&self) {
        if !self.running.replace(true) {
            // After a failure the core waits for a list, so the next one is passed on even if it has not changed.
            *self.last_list.borrow_mut() = List::default();
            self.driver.executor().spawn(self.clone().run()).detach();
        }
    }
}

/// Finds an address record of a host.
fn find_address(records: &[Record], host: &Name) -> Option<IpAddr> {
    records.iter().filter(|record| dns::names_equal(&record.name, host)).find_map(|record| {
        match record.data {
            RecordData::Address(ip) => Some(ip),
            _ => None,
        }
    })
}

/// Builds the listed run store from the strings of its TXT record; `None` without a valid `group`.
fn listed_run_store(name: &str, address: SocketAddr, texts: &[Vec<u8>]) -> Option<ListedRunStore> {
    let value = |key: &str| {
        texts.iter().filter_map(|text| std::str::from_utf8(text).ok()).find_map(|text| {
            let (known, value) = text.split_once('=')?;
            known.eq_ignore_ascii_case(key).then(|| value.to_string())
        })
    };
    let line = Line {
        name: name.into(),
        address: address.to_string().into(),
        zone: value("zone").unwrap_or_default().into(),
        group: value("group")?.parse().ok()?,
        status: value("status").unwrap_or_else(|| "ready".into()).into(),
        weight: value("weight").and_then(|weight| weight.parse().ok()).unwrap_or(1.0),
        since_ms: value("since_ms").and_then(|since| since.parse().ok()).unwrap_or(0.0),
    };
    Some(line.to_listed())
}

#[cfg(test)]
mod tests;
