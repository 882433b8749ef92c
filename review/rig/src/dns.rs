//! A DNS server with the DNS-SD records of a service. It answers each query with the records asked for and no others,
//! in turn, after a delay that may be set.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::Record;

pub const SERVICE: &str = "_run-store._tcp.jhb-dc1.test";

pub struct Dns {
    pub address: SocketAddr,
    /// The run stores that are listed, with the address of each.
    pub listed: Mutex<BTreeMap<usize, SocketAddr>>,
    pub delay: Mutex<Duration>,
}

impl Dns {
    pub fn start(listed: BTreeMap<usize, SocketAddr>, record: Arc<Record>) -> Arc<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let dns = Arc::new(Dns { address, listed: Mutex::new(listed), delay: Mutex::default() });
        let serving = dns.clone();
        thread::spawn(move || {
            let mut bytes = [0; 512];
            while let Ok((count, from)) = socket.recv_from(&mut bytes) {
                let delay = *serving.delay.lock().unwrap();
                thread::sleep(delay);
                if let Some((answer, what)) = serving.answer(&bytes[..count]) {
                    // A datagram without EDNS has room for 512 bytes.
                    assert!(answer.len() <= 512);
                    record.line(&format!("dns {what}"));
                    let _ = socket.send_to(&answer, from);
                }
            }
        });
        dns
    }

    fn answer(&self, query: &[u8]) -> Option<(Vec<u8>, String)> {
        let (mut at, mut labels) = (12, Vec::new());
        loop {
            let length = usize::from(*query.get(at)?);
            at += 1;
            if length == 0 {
                break;
            }
            labels.push(String::from_utf8_lossy(query.get(at..at + length)?).into_owned());
            at += length;
        }
        let kind = u16::from_be_bytes([*query.get(at)?, *query.get(at + 1)?]);
        let question = query.get(12..at + 4)?;
        let name = labels.join(".");
        let listed = self.listed.lock().unwrap();
        let instance = name
            .strip_suffix(&format!(".{SERVICE}"))
            .or(name.strip_suffix(".jhb-dc1.test").filter(|label| label.starts_with("h-")))
            .and_then(|label| label[2..].parse::<usize>().ok())
            .and_then(|no| Some((no, *listed.get(&no)?)));
        let mut records: Vec<(u16, Vec<u8>)> = Vec::new();
        match (kind, instance) {
            (12, _) if name == SERVICE => {
                for no in listed.keys() {
                    // A label, and a pointer to the name in the question.
                    let mut data = label(&format!("s-{no}"));
                    data.extend([0xc0, 12]);
                    records.push((12, data));
                }
            }
            (33, Some((no, at))) if name.starts_with("s-") => {
                let mut data = vec![0, 0, 0, 0];
                data.extend(at.port().to_be_bytes());
                for part in [format!("h-{no}"), "jhb-dc1".into(), "test".into()] {
                    data.extend(label(&part));
                }
                data.push(0);
                records.push((33, data));
            }
            (16, Some((no, _))) if name.starts_with("s-") => {
                let texts = [format!("group={no}"), "zone=jhb-dc1".into(), "status=ready".into()];
                records.push((16, texts.iter().flat_map(|text| label(text)).collect()));
            }
            (1, Some(_)) if name.starts_with("h-") => records.push((1, vec![127, 0, 0, 1])),
            _ => {}
        }
        let known = name == SERVICE || instance.is_some();
        let mut answer = query[..2].to_vec();
        answer.extend([0x85, if known { 0x80 } else { 0x83 }]);
        answer.extend([0, 1]);
        answer.extend((records.len() as u16).to_be_bytes());
        answer.extend([0, 0, 0, 0]);
        answer.extend(question);
        let what = format!("type {kind} {name}: {} records", records.len());
        for (kind, data) in records {
            answer.extend([0xc0, 12]);
            answer.extend(kind.to_be_bytes());
            answer.extend([0, 1, 0, 0, 0, 2]);
            answer.extend((data.len() as u16).to_be_bytes());
            answer.extend(data);
        }
        Some((answer, what))
    }
}

fn label(text: &str) -> Vec<u8> {
    let mut bytes = vec![text.len() as u8];
    bytes.extend(text.as_bytes());
    bytes
}
