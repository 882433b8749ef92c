//! A stand-in for a DNS server with the DNS-SD records of one service.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use super::WAIT_LIMIT;

/// The service whose instances are listed.
pub const SERVICE: &str = "_run-store._tcp.test";

pub const A: u8 = 1;
pub const PTR: u8 = 12;
pub const TXT: u8 = 16;
pub const SRV: u8 = 33;

/// The size above which a response over UDP is truncated (RFC 1035).
const MAX_DATAGRAM_BYTES: usize = 512;

/// An instance of the service. Its host is `host-` and its name, at 127.0.0.1.
#[derive(Debug, Clone)]
pub struct Instance {
    pub name: String,
    pub port: u16,
    pub texts: Vec<String>,
}

/// What the server does instead of answering a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DnsFault {
    /// Responds with this code and no records.
    Code(u8),
    /// Responds nothing.
    Silence,
    /// Responds with a response that ends in the middle of a record.
    Garbage,
    /// Refers to another server.
    Referral,
    /// Truncates the response over UDP, and ends the connection in the middle of the one over TCP.
    CutOverTcp,
}

impl DnsFault {
    pub const SERVFAIL: DnsFault = DnsFault::Code(2);
    pub const NXDOMAIN: DnsFault = DnsFault::Code(3);
    pub const REFUSED: DnsFault = DnsFault::Code(5);
}

/// The records of the server, how it behaves, and what it was asked.
#[derive(Default)]
pub struct Zone {
    pub instances: Vec<Instance>,
    /// How long each response takes. The server responds to one query after the other.
    pub delay: Duration,
    /// The faults for questions, by the first label of the name and the record type.
    pub faults: BTreeMap<(String, u8), DnsFault>,
    /// The first label and the type of each question, in order.
    pub questions: Vec<(String, u8)>,
}

impl Zone {
    /// Returns how often records of this type were queried.
    pub fn count(&self, record_type: u8) -> usize {
        self.questions.iter().filter(|(_, queried)| *queried == record_type).count()
    }

    fn records(&self, label: &str, record_type: u8) -> Vec<Vec<u8>> {
        let is_named = |instance: &&Instance| match record_type {
            PTR => true,
            A => label.strip_prefix("host-") == Some(&instance.name),
            _ => label == instance.name,
        };
        let data = |instance: &Instance| match record_type {
            // The name of the question follows.
            PTR => [encode_label(&instance.name), vec![0xc0, 12]].concat(),
            A => vec![127, 0, 0, 1],
            SRV => {
                let host = [encode_label(&format!("host-{}", instance.name)), encode_label("test"), vec![0]];
                [vec![0, 0, 0, 0], instance.port.to_be_bytes().to_vec(), host.concat()].concat()
            }
            TXT => instance.texts.iter().flat_map(|text| encode_label(text)).collect(),
            _ => Vec::new(),
        };
        let known = [A, PTR, TXT, SRV].contains(&record_type);
        self.instances.iter().filter(|_| known).filter(is_named).map(data).collect()
    }
}

/// A DNS server on loopback over UDP and TCP.
pub struct DnsServer {
    pub address: SocketAddr,
    zone: Mutex<Zone>,
    changed: Condvar,
    turns: Turns,
}

/// Lets the server respond to one query after the other, over UDP and TCP in the order of their arrival.
#[derive(Default)]
struct Turns {
    state: Mutex<TurnState>,
    ended: Condvar,
}

#[derive(Default)]
struct TurnState {
    /// The number of queries that have arrived.
    arrived: u64,
    /// The number of queries whose turn has ended.
    done: u64,
}

impl Turns {
    /// Runs `respond` once all queries that arrived earlier have had their turn.
    fn take<T>(&self, respond: impl FnOnce() -> T) -> T {
        let mut state = self.state.lock().unwrap();
        let earlier = state.arrived;
        state.arrived += 1;
        drop(self.ended.wait_while(state, |state| state.done < earlier).unwrap());
        let response = respond();
        self.state.lock().unwrap().done += 1;
        self.ended.notify_all();
        response
    }
}

impl DnsServer {
    /// Starts a server without records.
    pub fn start() -> Arc<Self> {
        let (udp, tcp) = bind_both();
        let address = udp.local_addr().unwrap();
        let server = Arc::new(DnsServer {
            address,
            zone: Mutex::default(),
            changed: Condvar::new(),
            turns: Turns::default(),
        });
        let over_udp = server.clone();
        thread::spawn(move || over_udp.serve_udp(&udp));
        let over_tcp = server.clone();
        thread::spawn(move || over_tcp.serve_tcp(&tcp));
        server
    }

    /// Changes the records or the behaviour.
    pub fn change(&self, change: impl FnOnce(&mut Zone)) {
        change(&mut self.zone.lock().unwrap());
        self.changed.notify_all();
    }

    /// Reads from the records or the questions.
    pub fn read<T>(&self, read: impl FnOnce(&Zone) -> T) -> T {
        read(&self.zone.lock().unwrap())
    }

    /// Waits until so many more questions of this type have come.
    pub fn wait_for_questions(&self, record_type: u8, more: usize) {
        let zone = self.zone.lock().unwrap();
        let enough = zone.count(record_type) + more;
        let (_zone, late) = self
            .changed
            .wait_timeout_while(zone, WAIT_LIMIT, |zone| zone.count(record_type) < enough)
            .expect("no panic");
        assert!(!late.timed_out(), "timed out waiting for {more} questions of type {record_type}");
    }

    fn serve_udp(&self, socket: &UdpSocket) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        while let Ok((count, peer)) = socket.recv_from(&mut bytes) {
            let Some(mut response) = self.respond(&bytes[..count], false) else { continue };
            if response.len() > MAX_DATAGRAM_BYTES {
                response = with_flags(bytes[..count].to_vec(), 0x86, 0);
            }
            // The client may be gone.
            let _ = socket.send_to(&response, peer);
        }
    }

    fn serve_tcp(&self, listener: &TcpListener) {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut length = [0; 2];
            if stream.read_exact(&mut length).is_err() {
                continue;
            }
            let mut query = vec![0; usize::from(u16::from_be_bytes(length))];
            if stream.read_exact(&mut query).is_err() {
                continue;
            }
            let Some(response) = self.respond(&query, true) else { continue };
            let length = (response.len() as u16).to_be_bytes();
            let whole = [&length[..], &response].concat();
            let is_cut = self.fault_of(&query) == Some(DnsFault::CutOverTcp);
            let sent = if is_cut { &whole[..whole.len() / 2] } else { &whole[..] };
            // The client may be gone.
            let _ = stream.write_all(sent);
        }
    }

    fn fault_of(&self, query: &[u8]) -> Option<DnsFault> {
        self.read(|zone| zone.faults.get(&question_of(query)).copied())
    }

    /// Returns the response to a query, after the delay.
    fn respond(&self, query: &[u8], over_tcp: bool) -> Option<Vec<u8>> {
        self.turns.take(|| self.respond_in_turn(query, over_tcp))
    }

    fn respond_in_turn(&self, query: &[u8], over_tcp: bool) -> Option<Vec<u8>> {
        let (label, record_type) = question_of(query);
        if !over_tcp {
            self.change(|zone| zone.questions.push((label.clone(), record_type)));
        }
        thread::sleep(self.read(|zone| zone.delay));
        let (records, is_empty) =
            self.read(|zone| (zone.records(&label, record_type), zone.instances.is_empty()));
        let mut response = query.to_vec();
        response[2] |= 0x84;
        response[3] = if is_empty { 3 } else { 0 };
        response[6..8].copy_from_slice(&(records.len() as u16).to_be_bytes());
        for data in records {
            response.extend_from_slice(&[0xc0, 12, 0, record_type, 0, 1, 0, 0, 0, 1]);
            response.extend_from_slice(&(data.len() as u16).to_be_bytes());
            response.extend_from_slice(&data);
        }
        let empty = [query, &[]].concat();
        match self.fault_of(query) {
            None => Some(response),
            Some(DnsFault::Silence) => None,
            Some(DnsFault::Code(code)) => Some(with_flags(empty, 0x84, code)),
            Some(DnsFault::Garbage) => {
                let mut cut = with_flags(empty, 0x84, 0);
                cut[7] = 1;
                Some([cut, vec![0xc0, 12, 0]].concat())
            }
            Some(DnsFault::Referral) => {
                let mut referral = with_flags(empty, 0x80, 0);
                referral[9] = 1;
                Some([referral, vec![0xc0, 12, 0, 2, 0, 1, 0, 0, 0, 1, 0, 2, 0xc0, 12]].concat())
            }
            Some(DnsFault::CutOverTcp) if over_tcp => Some(response),
            Some(DnsFault::CutOverTcp) => Some(with_flags(empty, 0x86, 0)),
        }
    }
}

/// Binds a UDP and a TCP socket to the same port.
fn bind_both() -> (UdpSocket, TcpListener) {
    let bound = (0..100).find_map(|_| {
        let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
        let tcp = TcpListener::bind(udp.local_addr().unwrap()).ok()?;
        Some((udp, tcp))
    });
    bound.expect("a port that is free for both")
}

fn with_flags(mut message: Vec<u8>, flags: u8, code: u8) -> Vec<u8> {
    message[2] |= flags;
    message[3] = code;
    message
}

/// Returns the first label and the record type of a query's question.
fn question_of(query: &[u8]) -> (String, u8) {
    let question = &query[12..];
    let label = &question[1..1 + usize::from(question[0])];
    (String::from_utf8_lossy(label).into_owned(), question[question.len() - 3])
}

fn encode_label(text: &str) -> Vec<u8> {
    [&[text.len() as u8], text.as_bytes()].concat()
}
