//! Stand-ins for run stores, on both wires.

use std::cell::RefCell;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;

use serde_json::json;

use super::{
    accept_connections, bind_socket, read_http, write_byte_by_byte, Backends, Behavior, Release, Wire,
};

/// Starts the run store with the number `store`.
pub fn start_run_store(backends: &Arc<Backends>, wire: Wire, store: usize) -> SocketAddr {
    let backends = backends.clone();
    accept_connections(bind_socket(), move |stream| {
        backends.change(|state| *state.connections.entry(store).or_default() += 1);
        let open = stream.try_clone();
        // The stand-in does not care how a connection ends.
        let _ = match wire {
            Wire::Frames => serve_frames(&backends, store, stream),
            Wire::OpenSearch => serve_searches(&backends, store, stream),
        };
        // Recorded while `open` keeps the connection alive, before the aggregator can see that it has ended.
        backends.mark_ended(store);
        drop(open);
    })
}

fn write_frame(stream: &mut TcpStream, letter: u8, rest: &[u8]) -> io::Result<()> {
    let mut frame = (rest.len() as u32 + 1).to_le_bytes().to_vec();
    frame.push(letter);
    frame.extend_from_slice(rest);
    stream.write_all(&frame)
}

fn serve_frames(backends: &Backends, store: usize, mut stream: TcpStream) -> io::Result<()> {
    let mut send = stream.try_clone()?;
    let mut reply = stream.try_clone()?;
    let last_answer = RefCell::new(Vec::new());
    let mut answer = |letter: u8, rest: &[u8]| {
        if letter == b'5' {
            last_answer.replace(rest.to_vec());
        }
        write_frame(&mut reply, letter, rest)
    };
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let mut frame = vec![0; u32::from_le_bytes(length) as usize];
        stream.read_exact(&mut frame)?;
        match frame[0] {
            b'1' => {
                let text = String::from_utf8(frame[1..].to_vec()).unwrap();
                let (line, query) = text.split_once('\n').unwrap();
                let words: Vec<&str> = line.split(' ').collect();
                let [id, shard, list, size] = words[..] else { panic!("invalid line of a call: {line:?}") };
                let (wait, key) = list.split_once(',').map_or((list, None), |(wait, key)| (wait, Some(key)));
                let timeout_ms = wait.strip_prefix("d=").unwrap().parse().unwrap();
                assert!(timeout_ms > 0);
                let key = key.map(|key| key.strip_prefix("k=").unwrap());
                assert_eq!(size.parse::<usize>().unwrap(), query.len());
                assert_eq!(id.rsplit_once('.').unwrap().1, shard);
                if backends.read(|state| state.repeat_last_answer) && !last_answer.borrow().is_empty() {
                    write_frame(&mut send, b'5', &last_answer.borrow())?;
                }
                match backends.record_part(store, shard.parse().unwrap(), timeout_ms, key) {
                    Behavior::Serve => {
                        let value = backends.value(shard, query);
                        let answered = format!("{id} S 7 util=0.50,qps=3\n{value}");
                        let (service_time, mut delayed) =
                            (backends.read(|state| state.service_time), send.try_clone()?);
                        if service_time.is_zero() {
                            answer(b'5', answered.as_bytes())?;
                        } else {
                            // Answered on another thread, so that further parts are read meanwhile.
                            thread::spawn(move || {
                                thread::sleep(service_time);
                                let _ = write_frame(&mut delayed, b'5', answered.as_bytes());
                            });
                        }
                    }
                    Behavior::ServeByteByByte => {
                        let rest = format!("5{id} S 7 -\nv{shard}");
                        let frame = [&(rest.len() as u32).to_le_bytes()[..], rest.as_bytes()].concat();
                        write_byte_by_byte(&mut send, &frame)?;
                    }
                    Behavior::Error => answer(b'5', format!("{id} E 7 -\n").as_bytes())?,
                    Behavior::Reject => answer(b'5', format!("{id} B 7 -\n").as_bytes())?,
                    Behavior::NeverAnswer | Behavior::AnswerEvenShards => {}
                    Behavior::Disconnect => return Ok(()),
                    Behavior::Unresponsive => {
                        // Discards input until the aggregator closes the connection.
                        while stream.read(&mut [0; 64])? > 0 {}
                        return Ok(());
                    }
                    Behavior::NeverFinishAnswer => send.write_all(b"\0\x10\0\x005begun")?,
                    Behavior::Raw(_) => answer(b'?', b"what")?,
                    behavior @ (Behavior::StopReading | Behavior::GarbageThenStopReading) => {
                        if behavior == Behavior::GarbageThenStopReading {
                            answer(b'?', b"what")?;
                        }
                        match backends.wait_for_release(store, shard.parse().unwrap()) {
                            Release::Read => {}
                            Release::Serve => {
                                backends.mark_ended(store);
                                answer(b'5', format!("{id} S 7 -\nv{shard}").as_bytes())?;
                            }
                            Release::Close => return Ok(()),
                        }
                    }
                }
            }
            b'2' => {
                backends.mark_ended(store);
                backends.change(|state| state.cancelled.push(store));
            }
            b'3' => answer(b'3', b"S")?,
            b'4' => answer(b'4', b"util=0.10,qps=1")?,
            other => panic!("unknown frame type {other}"),
        }
    }
}

/// The answers of a run store to searches on one connection.
struct SearchAnswers {
    stream: TcpStream,
    /// The `X-Opaque-Id` of the request that is being answered, as a header line, or nothing.
    id_line: String,
    last: Vec<u8>,
}

impl SearchAnswers {
    /// Returns the bytes of an answer and keeps them as the last answer.
    fn encode(&mut self, status: &str, body: &str) -> Vec<u8> {
        let (id_line, length) = (&self.id_line, body.len());
        self.last =
            format!("HTTP/1.1 {status}\r\n{id_line}Content-Length: {length}\r\n\r\n{body}").into_bytes();
        self.last.clone()
    }

    fn write(&mut self, status: &str, body: &str) -> io::Result<()> {
        let answer = self.encode(status, body);
        self.stream.write_all(&answer)
    }
}

/// Returns the body of the answer to a search, with one hit.
fn search_response(value: &str) -> String {
    let body = json!({"took": 1, "timed_out": false,
        "_shards": {"total": 1, "successful": 1, "skipped": 0, "failed": 0},
        "hits": {"total": {"value": 1, "relation": "eq"}, "max_score": 1.0,
            "hits": [{"_index": "i", "_id": value, "_score": 1.0}]}});
    body.to_string()
}

fn serve_searches(backends: &Backends, store: usize, mut stream: TcpStream) -> io::Result<()> {
    let mut answers = SearchAnswers { stream: stream.try_clone()?, id_line: String::new(), last: Vec::new() };
    loop {
        let (first, head, body) = read_http(&mut stream)?;
        let id = head.lines().find_map(|line| line.strip_prefix("x-opaque-id: "));
        let id = id.filter(|_| !backends.read(|state| state.omit_opaque_ids));
        answers.id_line = id.map(|id| format!("X-Opaque-Id: {id}\r\n")).unwrap_or_default();
        if first.starts_with("GET / ") {
            answers.write("200 OK", "{}")?;
            continue;
        }
        if backends.read(|state| state.repeat_last_answer) {
            stream.write_all(&answers.last)?;
        }
        assert!(first.contains("/_search?"), "{first}");
        let shard: u32 = first.split("_shards:").nth(1).unwrap().split('&').next().unwrap().parse().unwrap();
        let key = head.lines().find_map(|line| line.strip_prefix("idempotency-key: "));
        let timeout_ms = first.split("timeout=").nth(1).unwrap().split("ms").next().unwrap().parse().unwrap();
        let value = backends.value(&shard.to_string(), &String::from_utf8(body).unwrap());
        match backends.record_part(store, shard, timeout_ms, key) {
            Behavior::Serve => {
                thread::sleep(backends.read(|state| state.service_time));
                answers.write("200 OK", &search_response(&value))?;
            }
            Behavior::ServeByteByByte => {
                let answer = answers.encode("200 OK", &search_response(&value));
                write_byte_by_byte(&mut stream, &answer)?;
            }
            behavior @ (Behavior::StopReading | Behavior::GarbageThenStopReading) => {
                if behavior == Behavior::GarbageThenStopReading {
                    stream.write_all(b"SMTP ready\r\n\r\n")?;
                }
                match backends.wait_for_release(store, shard) {
                    // The next read sees that the aggregator has closed the connection.
                    Release::Read => {}
                    Release::Serve => {
                        backends.mark_ended(store);
                        answers.write("200 OK", &search_response(&value))?;
                    }
                    Release::Close => return Ok(()),
                }
            }
            Behavior::Error => answers.write("500 Internal Server Error", "{\"error\":{},\"status\":500}")?,
            Behavior::Reject => answers.write("429 Too Many Requests", "{\"error\":{},\"status\":429}")?,
            Behavior::NeverAnswer | Behavior::AnswerEvenShards | Behavior::Unresponsive => {
                // The aggregator cancels a search by closing its connection.
                let left = stream.read(&mut [0; 1])?;
                assert_eq!(left, 0, "no request follows a search that has no answer yet");
                backends.change(|state| state.cancelled.push(store));
                return Ok(());
            }
            Behavior::Disconnect => return Ok(()),
            Behavior::NeverFinishAnswer => {
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{")?
            }
            Behavior::Raw(text) => {
                stream.write_all(text.as_bytes())?;
                return Ok(());
            }
        }
    }
}
