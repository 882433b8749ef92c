//! A directory from DNS-SD records (RFC 6763): PTR names the run stores, SRV and TXT tell of each.
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

use super::dns::{self, Data, Kind, Name, Record, Response};
use super::list::{Line, List};
use super::{Reload, Target};
use crate::config::{Config, DnsSd as Place};
use crate::core::drive::{Directory, Driver};
use crate::core::{DirectoryUpdate, ListedRunStore};
use crate::http::client::within;
use crate::log::{self, Reason};
use crate::net::Stream;
use crate::transport::duration_from_millis;

/// How long a query may take, and how often it is made: datagrams get lost.
const LIMIT: Duration = Duration::from_millis(500);
const TRIES: usize = 3;

/// A directory that asks a DNS server again and again.
pub struct DnsSd {
    driver: Rc<Driver>,
    place: Target<Place>,
    on: Cell<bool>,
    last: RefCell<List>,
}

/// The looks at one place.
struct Looks {
    server: SocketAddr,
    service: Name,
}

impl DnsSd {
    /// A directory of the instances of a service.
    pub fn new(driver: Rc<Driver>, place: Place) -> Rc<Self> {
        let place = Target::new(place);
        Rc::new(DnsSd { driver, place, on: Cell::new(false), last: RefCell::default() })
    }

    async fn run(self: Rc<Self>) {
        let (server, why) = loop {
            let place = self.place.settle();
            let looked = async { Some(self.look(&place).await) };
            let moved = async {
                self.place.moved().await;
                None
            };
            // A reload ends whatever query is out, before an answer of the old place is taken in.
            match future::or(moved, looked).await {
                Some(why) => break (place.server, why),
                None => log::ended("dns", Some(place.server), Reason::Retired, "the directory has moved"),
            }
        };
        let reason = if why.kind() == io::ErrorKind::TimedOut { Reason::TooSlow } else { Reason::Malformed };
        log::ended("dns", Some(server), reason, why);
        // The core decides when to ask again.
        self.on.set(false);
        self.driver.apply_directory_update(DirectoryUpdate::Failed);
    }

    /// Looks again and again until a look fails.
    async fn look(&self, place: &Place) -> io::Error {
        let looks = Looks { server: place.server, service: dns::name(&place.service) };
        loop {
            match looks.list().await {
                // No run store at all is more likely a fault of the zone than the truth: the old list stands.
                Ok(list) if list.endpoints.is_empty() => {
                    return io::Error::new(io::ErrorKind::InvalidData, "no run store is listed");
                }
                Ok(list) if *self.last.borrow() != list => {
                    self.driver.apply_directory_update(list.clone().news());
                    *self.last.borrow_mut() = list;
                }
                // Nothing new, which the core is to know once, when it starts to watch.
                Ok(_) => self.driver.apply_directory_update(DirectoryUpdate::Changes(Vec::new())),
                Err(why) => return why,
            }
            Timer::after(duration_from_millis(place.refresh_ms)).await;
        }
    }
}

impl Looks {
    /// All run stores, as the records tell of them now.
    async fn list(&self) -> io::Result<List> {
        let pointers = self.ask(&self.service, Kind::Ptr).await?;
        let mut lines = BTreeMap::new();
        for record in pointers.iter().filter(|record| dns::same(&record.name, &self.service)) {
            let Data::Pointer(instance) = &record.data else { continue };
            if let Some(line) = self.instance(instance, &pointers).await? {
                lines.insert(line.replica.id.clone(), line);
            }
        }
        Ok(List { index: 0, snapshot: true, endpoints: lines.into_values().collect() })
    }

    /// The line of a run store; `None` if its records do not tell enough.
    async fn instance(&self, name: &Name, known: &[Record]) -> io::Result<Option<ListedRunStore>> {
        let mut records = known.to_vec();
        let of = |records: &[Record], wanted: fn(&Data) -> bool| {
            records.iter().any(|record| dns::same(&record.name, name) && wanted(&record.data))
        };
        // Servers may send these along with the pointers; what they did not is asked for.
        if !of(&records, |data| matches!(data, Data::Service(..))) {
            records.extend(self.ask(name, Kind::Srv).await?);
        }
        if !of(&records, |data| matches!(data, Data::Texts(_))) {
            records.extend(self.ask(name, Kind::Txt).await?);
        }
        let own = || records.iter().filter(|record| dns::same(&record.name, name));
        let service = own().find_map(|record| match &record.data {
            Data::Service(port, host) => Some((*port, host.clone())),
            _ => None,
        });
        let texts = own().find_map(|record| match &record.data {
            Data::Texts(texts) => Some(texts.clone()),
            _ => None,
        });
        let (Some((port, host)), Some(texts)) = (service, texts) else { return Ok(None) };
        let mut address = find_address(&records, &host);
        for kind in [Kind::A, Kind::Aaaa] {
            if address.is_none() {
                address = find_address(&self.ask(&host, kind).await?, &host);
            }
        }
        Ok(address.and_then(|ip| line(&name[0], SocketAddr::new(ip, port), &texts)))
    }

    async fn ask(&self, name: &[String], kind: Kind) -> io::Result<Vec<Record>> {
        let id = fastrand::u16(..);
        let query = dns::query(id, name, kind).ok_or(io::ErrorKind::InvalidInput)?;
        let mut answer = Err(io::ErrorKind::TimedOut.into());
        for _ in 0..TRIES {
            answer = within(LIMIT, self.datagram(id, &query)).await;
            if answer.is_ok() {
                break;
            }
        }
        let mut answer = answer?;
        if answer.cut {
            answer = within(LIMIT, self.stream(&query)).await?;
        }
        match answer.code {
            0 => Ok(answer.records),
            // No such name: there is no such record.
            3 => Ok(Vec::new()),
            code => Err(io::Error::new(io::ErrorKind::InvalidData, format!("response code {code}"))),
        }
    }

    async fn datagram(&self, id: u16, query: &[u8]) -> io::Result<Response> {
        let any: IpAddr = if self.server.is_ipv4() { [0; 4].into() } else { [0u16; 8].into() };
        let socket = UdpSocket::bind((any, 0)).await?;
        socket.connect(self.server).await?;
        socket.send(query).await?;
        let mut bytes = vec![0; 4096];
        loop {
            let count = socket.recv(&mut bytes).await?;
            // A late answer to another query is passed over.
            if let Some(response) = dns::read(&bytes[..count]).filter(|response| response.id == id) {
                return Ok(response);
            }
        }
    }

    async fn stream(&self, query: &[u8]) -> io::Result<Response> {
        let mut stream = Stream::connect(self.server).await?;
        let length = (query.len() as u16).to_be_bytes();
        stream.write_all(&[&length[..], query].concat()).await?;
        let mut length = [0; 2];
        stream.read_exact(&mut length).await?;
        let mut bytes = vec![0; usize::from(u16::from_be_bytes(length))];
        stream.read_exact(&mut bytes).await?;
        dns::read(&bytes).ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
}

impl Reload for Rc<DnsSd> {
    fn reload(&self, config: &Config) {
        if config.dns_sd.as_ref().is_some_and(|place| self.place.set(place.clone())) {
            *self.last.borrow_mut() = List::default();
            self.watch();
        }
    }
}

impl Directory for Rc<DnsSd> {
    fn watch(&self) {
        if !self.on.replace(true) {
            // What was known before a failure is told again, as the core waits for a list.
            *self.last.borrow_mut() = List::default();
            self.driver.executor().spawn(self.clone().run()).detach();
        }
    }
}

fn find_address(records: &[Record], host: &Name) -> Option<IpAddr> {
    records.iter().filter(|record| dns::same(&record.name, host)).find_map(|record| match record.data {
        Data::Address(ip) => Some(ip),
        _ => None,
    })
}

/// A run store's line from its TXT record; `None` without a `group`.
fn line(name: &str, address: SocketAddr, texts: &[Vec<u8>]) -> Option<ListedRunStore> {
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
    Some(line.listed())
}

#[cfg(test)]
mod tests;
