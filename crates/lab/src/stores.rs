//! Simulated run stores on loopback: serve frames or the OpenSearch-style API, with timing from [`Model`].

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::check::{Arrival, Checker};
use crate::clock::Clock;
use crate::model::{Model, PartOutcome, Profile};
use crate::Api;

/// Returns the answer of a run store for a part: a keyed hash, so that a made-up answer is detected.
pub fn value(seed: u64, part: &str) -> String {
    let hash = part.bytes().fold(seed ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    format!("{hash:016x}")
}

/// An answer to be written at a given time.
struct ScheduledAnswer {
    at: u64,
    no: u64,
    bytes: Vec<u8>,
    to: Arc<Mutex<TcpStream>>,
}

impl PartialEq for ScheduledAnswer {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.no) == (other.at, other.no)
    }
}

impl Eq for ScheduledAnswer {}

impl PartialOrd for ScheduledAnswer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledAnswer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.no).cmp(&(other.at, other.no))
    }
}

struct State {
    model: Model,
    /// Number of the running process; 0 while the run store is down.
    process_no: u64,
    processes_started: u64,
    muted: bool,
    connections: Vec<TcpStream>,
    scheduled: BinaryHeap<Reverse<ScheduledAnswer>>,
    next_no: u64,
}

/// Number of the process that accepted a connection, and the source address of the connection.
type Origin = (u64, Option<SocketAddr>);

/// A simulated run store.
pub struct RunStore {
    /// Number of the run store.
    pub no: usize,
    /// Address at which it listens.
    pub address: SocketAddr,
    profile: Profile,
    api: Api,
    seed: u64,
    clock: Clock,
    checker: Arc<Checker>,
    state: Mutex<State>,
    changed: Condvar,
}

impl RunStore {
    /// Starts a run store that is already warm.
    pub fn start(
        no: usize,
        profile: Profile,
        api: Api,
        seed: u64,
        clock: Clock,
        checker: Arc<Checker>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            model: Model::new(profile, clock.now() - profile.warm_ms, seed ^ no as u64),
            process_no: 1,
            processes_started: 1,
            muted: false,
            connections: Vec::new(),
            scheduled: BinaryHeap::new(),
            next_no: 0,
        };
        let store = Arc::new(RunStore {
            no,
            address: listener.local_addr()?,
            profile,
            api,
            seed,
            clock,
            checker,
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let (accepting, answering) = (store.clone(), store.clone());
        thread::spawn(move || accepting.accept(&listener));
        thread::spawn(move || answering.write_answers());
        Ok(store)
    }

    fn with_state<T>(&self, update: impl FnOnce(&mut State) -> T) -> T {
        update(&mut self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Simulates the death of the process: closes all connections, and new ones right after they are accepted.
    pub fn kill(&self) {
        self.with_state(|state| {
            state.process_no = 0;
            state.scheduled.clear();
            for stream in state.connections.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }

    /// Starts another process, which is cold, and returns the time of its start.
    pub fn restart(&self) -> f64 {
        let now = self.clock.now();
        self.with_state(|state| {
            state.processes_started += 1;
            state.process_no = state.processes_started;
            state.model =
                Model::new(self.profile, now, self.seed ^ self.no as u64 ^ state.processes_started << 32);
        });
        now
    }

    /// Divides the usual speed by a factor.
    pub fn set_slowdown(&self, by: f64) {
        self.with_state(|state| state.model.speed = 1.0 / by);
    }

    /// Returns the number of connections accepted since the last death of the process.
    pub fn connections(&self) -> usize {
        self.with_state(|state| state.connections.len())
    }

    /// Sets whether parts are accepted but never answered.
    pub fn set_muted(&self, muted: bool) {
        self.with_state(|state| state.muted = muted);
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming().map_while(Result::ok) {
            let process_no = self.with_state(|state| {
                if state.process_no > 0 {
                    state.connections.extend(stream.try_clone().ok());
                }
                state.process_no
            });
            if process_no == 0 {
                drop(stream);
                continue;
            }
            let store = self.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let from = stream.peer_addr().ok();
                // An error here means that the peer closed the connection.
                let _ = match store.api {
                    Api::Platform => store.serve_frames(&stream, (process_no, from)),
                    Api::Opensearch => store.serve_searches(&stream, (process_no, from)),
                };
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    }

    /// Writes answers at their times.
    fn write_answers(&self) {
        let mut state = self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        loop {
            let now = self.clock.micros();
            let mut ready = Vec::new();
            while state.scheduled.peek().is_some_and(|Reverse(answer)| answer.at <= now) {
                ready.extend(state.scheduled.pop().map(|Reverse(answer)| answer));
            }
            if !ready.is_empty() {
                drop(state);
                for answer in ready {
                    if let Ok(mut stream) = answer.to.lock() {
                        let _ = stream.write_all(&answer.bytes);
                    }
                }
                state = self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                continue;
            }
            let wait = state.scheduled.peek().map_or(50_000, |Reverse(answer)| answer.at - now);
            state = match self.changed.wait_timeout(state, Duration::from_micros(wait)) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    /// Records an arriving part and schedules its answer, if there is one.
    fn receive_part(
        &self,
        (process_no, from): Origin,
        part: &str,
        shard: u32,
        wait_ms: f64,
        to: &Arc<Mutex<TcpStream>>,
    ) {
        let now = self.clock.now();
        let (outcome, report) = self.with_state(|state| {
            if state.process_no != process_no || state.muted {
                return (None, 0.0);
            }
            let outcome = state.model.offer(now, now + wait_ms);
            (Some(outcome), state.model.utilization(now))
        });
        let ran = matches!(outcome, Some(PartOutcome::Done(_)));
        let from = from.and_then(|from| self.checker.aggregator_of(from));
        self.checker.check_arrival(Arrival {
            at: now,
            store: self.no,
            part: part.into(),
            shard,
            ran,
            from,
            timeout_ms: wait_ms,
        });
        let (at, bytes) = match outcome {
            Some(PartOutcome::Done(at)) => {
                (at, self.encode_answer(part, shard, Some(&value(self.seed, part)), report))
            }
            Some(PartOutcome::Rejected) => (now, self.encode_answer(part, shard, None, report)),
            Some(PartOutcome::Expired) | None => return,
        };
        self.with_state(|state| {
            if state.process_no == process_no {
                state.next_no += 1;
                let answer =
                    ScheduledAnswer { at: (at * 1000.0) as u64, no: state.next_no, bytes, to: to.clone() };
                state.scheduled.push(Reverse(answer));
            }
        });
        self.changed.notify_all();
    }

    fn encode_answer(&self, part: &str, shard: u32, value: Option<&str>, report: f64) -> Vec<u8> {
        match self.api {
            Api::Platform => {
                let end = if value.is_some() { "S" } else { "B" };
                frame(
                    b'5',
                    format!("{part} {end} 7 util={report:.2},qps=3\n{}", value.unwrap_or("")).as_bytes(),
                )
            }
            Api::Opensearch => match value {
                Some(value) => {
                    let hit = json!({"_index": "runs", "_id": format!("{shard}:{value}"), "_score": 1.0});
                    let body = json!({"took": 1, "timed_out": false,
                        "_shards": {"total": 1, "successful": 1, "skipped": 0, "failed": 0},
                        "hits": {"total": {"value": 1, "relation": "eq"}, "max_score": 1.0, "hits": [hit]}});
                    response("200 OK", query_id(part), &body.to_string())
                }
                None => {
                    let body = r#"{"error":{"type":"rejected"},"status":429}"#;
                    response("429 Too Many Requests", query_id(part), body)
                }
            },
        }
    }

    fn serve_frames(&self, stream: &TcpStream, origin: Origin) -> io::Result<()> {
        let to = Arc::new(Mutex::new(stream.try_clone()?));
        let mut read = BufReader::new(stream);
        loop {
            let mut length = [0; 4];
            read.read_exact(&mut length)?;
            let mut bytes = vec![0; u32::from_le_bytes(length).min(1 << 20) as usize];
            read.read_exact(&mut bytes)?;
            match bytes.first() {
                Some(b'1') => {
                    let text = String::from_utf8_lossy(&bytes[1..]).into_owned();
                    let words: Vec<&str> = text.lines().next().unwrap_or("").split(' ').collect();
                    let [part, shard, list, _] = words[..] else { return Ok(()) };
                    let wait = list.strip_prefix("d=").and_then(|wait| wait.parse().ok()).unwrap_or(0.0);
                    self.receive_part(origin, part, shard.parse().unwrap_or(0), wait, &to);
                }
                Some(b'3' | b'4') => {
                    if let Ok(mut stream) = to.lock() {
                        let answer: &[u8] = if bytes[0] == b'3' { b"S" } else { b"util=0.50,qps=3" };
                        stream.write_all(&frame(bytes[0], answer))?;
                    }
                }
                _ => {}
            }
        }
    }

    fn serve_searches(&self, stream: &TcpStream, origin: Origin) -> io::Result<()> {
        let to = Arc::new(Mutex::new(stream.try_clone()?));
        let mut read = BufReader::new(stream);
        while let Some((first, head, _)) = read_message(&mut read)? {
            let query = head.lines().find_map(|line| line.strip_prefix("x-opaque-id: ")).unwrap_or("");
            if !first.contains("/_search?") {
                if let Ok(mut stream) = to.lock() {
                    stream.write_all(&response("200 OK", query, "{}"))?;
                }
                continue;
            }
            let parameter = |name: &str| first.split(name).nth(1)?.split(['&', ' ']).next();
            let shard: u32 = parameter("_shards:").and_then(|shard| shard.parse().ok()).unwrap_or(0);
            let wait = parameter("timeout=")
                .and_then(|wait| wait.trim_end_matches("ms").parse().ok())
                .unwrap_or(0.0);
            self.receive_part(origin, &format!("{query}.{shard}"), shard, wait, &to);
        }
        Ok(())
    }
}

/// Encodes a frame from its type letter and its payload.
pub fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut frame = (rest.len() as u32 + 1).to_le_bytes().to_vec();
    frame.push(letter);
    frame.extend_from_slice(rest);
    frame
}

/// Returns the id of the query that a part belongs to.
fn query_id(part: &str) -> &str {
    part.rsplit_once('.').map_or(part, |(query, _)| query)
}

/// Encodes the response to a request with an `X-Opaque-Id`, which it returns as run stores do.
fn response(status: &str, opaque_id: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nX-Opaque-Id: {opaque_id}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Reads an HTTP message and returns its first line, its headers in lower case and its body, or `None` if the
/// connection ended before the first byte.
pub fn read_message(read: &mut impl BufRead) -> io::Result<Option<(String, String, Vec<u8>)>> {
    let mut first = String::new();
    if read.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if read.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.trim().is_empty() {
            break;
        }
        head.push_str(&line.to_lowercase());
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0usize).min(1 << 20)];
    read.read_exact(&mut body)?;
    Ok(Some((first.trim_end().to_string(), head, body)))
}
