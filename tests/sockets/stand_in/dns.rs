//! A stand-in for DNS.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;

use super::Backends;

/// Starts a DNS server over UDP for `_run-store._tcp.test`; every host has the address 127.0.0.1.
pub fn start_dns(backends: &Arc<Backends>) -> SocketAddr {
    let backends = backends.clone();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        let mut bytes = [0; 512];
        while let Ok((count, peer)) = socket.recv_from(&mut bytes) {
            let question = &bytes[12..count];
            let (name, kind) = question.split_at(question.len() - 4);
            let first = String::from_utf8_lossy(&name[1..1 + usize::from(name[0])]).into_owned();
            let zone = backends.read(|state| state.zone.clone());
            let label = |text: &str| [&[text.len() as u8], text.as_bytes()].concat();
            let answers: Vec<Vec<u8>> = match kind[1] {
                12 => {
                    backends.change(|state| state.dns_list_queries += 1);
                    zone.iter().map(|(instance, ..)| [label(instance), vec![0xc0, 12]].concat()).collect()
                }
                1 => vec![vec![127, 0, 0, 1]],
                33 => zone
                    .iter()
                    .filter(|(instance, ..)| *instance == first)
                    .map(|(instance, port, _)| {
                        let host = [label(&format!("host-{instance}")), label("test"), vec![0]].concat();
                        [vec![0, 0, 0, 0], port.to_be_bytes().to_vec(), host].concat()
                    })
                    .collect(),
                16 => zone
                    .iter()
                    .filter(|(instance, ..)| *instance == first)
                    .map(|(_, _, texts)| texts.iter().flat_map(|text| label(text)).collect())
                    .collect(),
                _ => Vec::new(),
            };
            let mut response = bytes[..count].to_vec();
            response[2] |= 0x84;
            response[7] = answers.len() as u8;
            for data in answers {
                response.extend_from_slice(&[0xc0, 12, 0, kind[1], 0, 1, 0, 0, 0, 1]);
                response.extend_from_slice(&(data.len() as u16).to_be_bytes());
                response.extend_from_slice(&data);
            }
            // The client may be gone.
            let _ = socket.send_to(&response, peer);
        }
    });
    address
}
