//! A stand-in for a DNS server with the records of DNS-SD (RFC 6763) for one service.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::record::Record;

/// The service whose instances are listed.
pub const SERVICE: &str = "_run-store._tcp.jhb-dc1.test";
/// The response code for a name without any record.
const NXDOMAIN: u8 = 3;

/// An instance: its name, its port on 127.0.0.1 and its cell.
pub type Instance = (String, u16, usize);

#[derive(Default)]
struct State {
    instances: Vec<Instance>,
    /// When the list of instances was first answered without any.
    told_empty: Option<f64>,
}

/// A running stand-in.
pub struct Dns {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn encode_name(name: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    for label in name.split('.').filter(|label| !label.is_empty()) {
        bytes.push(label.len() as u8);
        bytes.extend_from_slice(label.as_bytes());
    }
    bytes.push(0);
    bytes
}

fn text(text: &str) -> Vec<u8> {
    let mut bytes = vec![text.len() as u8];
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

/// Reads the name of a question, and the position behind it.
fn read_name(bytes: &[u8]) -> Option<(String, usize)> {
    let (mut at, mut labels) = (12, Vec::new());
    loop {
        let length = usize::from(*bytes.get(at)?);
        if length == 0 {
            return Some((labels.join("."), at + 1));
        }
        labels.push(String::from_utf8_lossy(bytes.get(at + 1..at + 1 + length)?).into_owned());
        at += 1 + length;
    }
}

impl Dns {
    /// Starts a stand-in that lists these instances.
    pub fn start(instances: Vec<Instance>, record: &Arc<Record>) -> io::Result<Dns> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let address = socket.local_addr()?;
        let state = Arc::new(Mutex::new(State { instances, told_empty: None }));
        let (served, record) = (state.clone(), record.clone());
        thread::spawn(move || {
            let mut bytes = [0; 1024];
            while let Ok((count, peer)) = socket.recv_from(&mut bytes) {
                if let Some(response) = respond(&bytes[..count], &served, &record) {
                    let _ = socket.send_to(&response, peer);
                }
            }
        });
        Ok(Dns { address, state })
    }

    /// Removes all records.
    pub fn remove_all(&self) {
        if let Ok(mut state) = self.state.lock() {
            state.instances.clear();
        }
    }

    /// Returns when a question for the instances was first answered with none.
    pub fn told_empty(&self) -> Option<f64> {
        self.state.lock().ok()?.told_empty
    }
}

fn respond(query: &[u8], state: &Mutex<State>, record: &Record) -> Option<Vec<u8>> {
    let (name, end) = read_name(query)?;
    let kind = *query.get(end + 1)?;
    let mut state = state.lock().ok()?;
    let of = |known: &Instance| name == format!("{}.{SERVICE}", known.0);
    let answers: Vec<Vec<u8>> = match kind {
        12 if name == SERVICE => state
            .instances
            .iter()
            .map(|(instance, ..)| encode_name(&format!("{instance}.{SERVICE}")))
            .collect(),
        33 => {
            let service = |(instance, port, _): &Instance| {
                let mut data = vec![0, 0, 0, 0];
                data.extend_from_slice(&port.to_be_bytes());
                data.extend_from_slice(&encode_name(&format!("host-{instance}.jhb-dc1.test")));
                data
            };
            state.instances.iter().filter(|known| of(known)).map(service).collect()
        }
        16 => {
            let texts = |(_, _, group): &Instance| {
                [
                    text(&format!("group={group}")),
                    text("zone=jhb-dc1"),
                    text("status=ready"),
                    text("since_ms=0"),
                ]
                .concat()
            };
            state.instances.iter().filter(|known| of(known)).map(texts).collect()
        }
        1 => state
            .instances
            .iter()
            .filter(|(instance, ..)| name == format!("host-{instance}.jhb-dc1.test"))
            .map(|_| vec![127, 0, 0, 1])
            .collect(),
        _ => Vec::new(),
    };
    if kind == 12 {
        record.line(&format!("DNS answers that {} run stores are listed", answers.len()));
        if answers.is_empty() {
            state.told_empty.get_or_insert(record.now());
        }
    }
    let mut response = query[..end + 4].to_vec();
    response[2] |= 0x84;
    response[3] = if state.instances.is_empty() { NXDOMAIN } else { 0 };
    response[6..8].copy_from_slice(&(answers.len() as u16).to_be_bytes());
    response[8..12].fill(0);
    for data in answers {
        response.extend_from_slice(&[0xc0, 12, 0, kind, 0, 1, 0, 0, 0, 1]);
        response.extend_from_slice(&(data.len() as u16).to_be_bytes());
        response.extend_from_slice(&data);
    }
    Some(response)
}
