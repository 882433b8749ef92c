//! A stand-in for a run store on the platform's wire: frames on connections that carry many parts at once.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// A running stand-in.
pub struct Store {
    pub name: String,
    pub address: SocketAddr,
}

/// How a stand-in serves a part.
#[derive(Clone, Copy)]
pub struct Service {
    /// How long the work of a part takes.
    pub work: Duration,
    /// The load report that comes with each answer, or `-`.
    pub answer_report: &'static str,
    /// The load report that answers a probe.
    pub probe_report: &'static str,
}

/// Returns the value that a run store makes for a part of a query with this text.
pub fn value(part: &str, text: &[u8]) -> String {
    let hash = part
        .bytes()
        .chain(text.iter().copied())
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3));
    format!("{hash:016x}")
}

impl Store {
    /// Starts a stand-in that serves each part.
    pub fn start(name: &str, service: Service, record: &Arc<Record>) -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (own, record) = (name.to_string(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, record) = (own.clone(), record.clone());
                thread::spawn(move || {
                    let _ = serve(stream, &name, service, &record);
                });
            }
        });
        Ok(Store { name: name.to_string(), address })
    }
}

fn write_frame(stream: &Mutex<TcpStream>, letter: u8, rest: &[u8]) -> io::Result<()> {
    let mut frame = (rest.len() as u32 + 1).to_le_bytes().to_vec();
    frame.push(letter);
    frame.extend_from_slice(rest);
    match stream.lock() {
        Ok(mut stream) => stream.write_all(&frame),
        Err(_) => Err(io::ErrorKind::Other.into()),
    }
}

fn serve(mut stream: TcpStream, name: &str, service: Service, record: &Arc<Record>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let out = Arc::new(Mutex::new(stream.try_clone()?));
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let mut frame = vec![0; u32::from_le_bytes(length) as usize];
        stream.read_exact(&mut frame)?;
        let (letter, mut rest) = frame.split_first().ok_or(io::ErrorKind::InvalidData)?;
        match letter {
            b'1' => {
                while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                    let line = String::from_utf8_lossy(&rest[..end]).into_owned();
                    let words: Vec<&str> = line.split(' ').collect();
                    let [id, shard, list, size] = words[..] else {
                        return write_frame(&out, b'X', b"malformed");
                    };
                    let size: usize = size.parse().map_err(|_| io::ErrorKind::InvalidData)?;
                    let text = rest.get(end + 1..end + 1 + size).ok_or(io::ErrorKind::InvalidData)?;
                    record.line(&format!("{name} got part {id} shard {shard} {list}"));
                    let answer = format!("{id} S 1 {}\n{}", service.answer_report, value(id, text));
                    let (out, record, name, id) =
                        (out.clone(), record.clone(), name.to_string(), id.to_string());
                    thread::spawn(move || {
                        thread::sleep(service.work);
                        if write_frame(&out, b'5', answer.as_bytes()).is_ok() {
                            record.line(&format!("{name} ran and answered part {id}"));
                        }
                    });
                    rest = &rest[end + 1 + size..];
                }
            }
            b'2' => record
                .line(&format!("{name} was told that part {} is given up", String::from_utf8_lossy(rest))),
            b'3' => write_frame(&out, b'3', b"S")?,
            b'4' => write_frame(&out, b'4', service.probe_report.as_bytes())?,
            _ => return write_frame(&out, b'X', b"unknown letter"),
        }
    }
}
