//! A run store that speaks frames. From a given moment on it may hang: it reads, and answers nothing.

use std::collections::BTreeSet;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// What all run stores of a case share.
pub struct Shared {
    pub record: Arc<Record>,
    /// Parts that have arrived.
    pub arrived: Mutex<BTreeSet<String>>,
    /// Whether the run stores with an odd number hang.
    pub odd_hang: AtomicBool,
    pub work: Duration,
}

pub fn start(no: usize, shared: Arc<Shared>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let shared = shared.clone();
            thread::spawn(move || serve(no, stream, &shared));
        }
    });
    address
}

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut bytes = (rest.len() as u32 + 1).to_le_bytes().to_vec();
    bytes.push(letter);
    bytes.extend_from_slice(rest);
    bytes
}

fn serve(no: usize, stream: TcpStream, shared: &Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let mut read = BufReader::new(stream.try_clone().unwrap());
    let write = Arc::new(Mutex::new(stream));
    loop {
        let mut length = [0; 4];
        if read.read_exact(&mut length).is_err() {
            return;
        }
        let mut bytes = vec![0; (u32::from_le_bytes(length) as usize).min(1 << 20)];
        if read.read_exact(&mut bytes).is_err() || bytes.is_empty() {
            return;
        }
        let hangs = || no % 2 == 1 && shared.odd_hang.load(Ordering::SeqCst);
        match bytes[0] {
            b'1' => {
                let text = String::from_utf8_lossy(&bytes[1..]).into_owned();
                let line = text.lines().next().unwrap_or("").to_string();
                let part = line.split(' ').next().unwrap_or("").to_string();
                shared.arrived.lock().unwrap().insert(part.clone());
                shared.record.line(&format!("run s-{no} {line}{}", if hangs() { " (hangs)" } else { "" }));
                if hangs() {
                    continue;
                }
                let (write, work) = (write.clone(), shared.work);
                thread::spawn(move || {
                    thread::sleep(work);
                    let answer = frame(
                        b'5',
                        format!("{part} S 1840277719 util=0.20,qps=5\n5be2a07c19f04d63").as_bytes(),
                    );
                    let _ = write.lock().unwrap().write_all(&answer);
                });
            }
            b'3' | b'4' if !hangs() => {
                let rest: &[u8] = if bytes[0] == b'3' { b"S" } else { b"util=0.20,qps=5" };
                let _ = write.lock().unwrap().write_all(&frame(bytes[0], rest));
            }
            _ => {}
        }
    }
}
