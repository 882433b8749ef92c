//! Stand-ins for run stores (on both wires), discovery and DNS on loopback, with one thread per connection.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

/// The protocols between clients, the aggregator and run stores in a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wire {
    Frames,
    OpenSearch,
}

pub const WIRES: [Wire; 2] = [Wire::Frames, Wire::OpenSearch];

/// Runs a slow test on both wires in parallel.
pub fn on_both_wires(test: impl Fn(Wire) + Sync) {
    let test = &test;
    thread::scope(|scope| {
        for wire in WIRES {
            scope.spawn(move || test(wire));
        }
    });
}

/// How a run store handles a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behavior {
    /// Answers it.
    Serve,
    /// Runs it and reports an error.
    Error,
    /// Rejects it without running it.
    Reject,
    /// Accepts it and never answers.
    NeverAnswer,
    /// Answers for even shards; accepts it and never answers for odd ones.
    AnswerEvenShards,
    /// Accepts it and closes the connection.
    Disconnect,
    /// Accepts it, keeps the connection open, and answers nothing on it any more, not even a probe.
    Unresponsive,
    /// Answers it and writes the answer one byte at a time.
    ServeByteByByte,
    /// Accepts it and begins an answer that never ends.
    NeverFinishAnswer,
    /// Sends raw bytes as the answer to a search and closes the connection; sends an invalid frame on the frames wire.
    Raw(&'static str),
    /// Accepts it and reads nothing more on its connection until the test sets its [`Release`].
    StopReading,
    /// Like `StopReading`, but first sends bytes that no valid answer begins with.
    GarbageThenStopReading,
}

/// How a run store that holds a part continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Release {
    /// Continues to read.
    Read,
    /// Answers the part and continues to read.
    Serve,
    /// Closes the connection.
    Close,
}

/// The state that a test shares with its stand-ins.
#[derive(Default)]
pub struct Backends {
    state: Mutex<State>,
    changed: Condvar,
}

/// Behaviour that a test sets for its stand-ins, and what the stand-ins have observed.
#[derive(Default)]
pub struct State {
    /// How each run store handles parts; `Serve` if not set.
    pub behaviors: BTreeMap<usize, Behavior>,
    /// How long a run store works on each part.
    pub service_time: Duration,
    /// Run store and shard of each completely received part, in order of arrival.
    pub parts: Vec<(usize, u32)>,
    /// The time-out that each of these parts carried, in milliseconds.
    pub timeouts_ms: Vec<u64>,
    /// When each of these parts arrived.
    pub arrived_at: Vec<Instant>,
    /// The idempotency key of each of these parts, if it carried one.
    pub idempotency_keys: Vec<Option<String>>,
    /// The run store of each cancelled part, in order.
    pub cancelled: Vec<usize>,
    /// How each run store that holds a part continues.
    pub releases: BTreeMap<usize, Release>,
    /// Parts for which a run store stopped reading (`StopReading`, `GarbageThenStopReading`), by run store and shard,
    /// until it answers them, reads a cancellation, or the connection ends.
    held: BTreeSet<(usize, u32)>,
    /// Parts that arrived while a run store still held a part of the same shard.
    pub second_copies: usize,
    /// Whether run stores repeat their last answer on a connection as soon as another part has arrived there, as if
    /// the copy had been under way since that answer.
    pub repeat_last_answer: bool,
    /// Whether run stores return no `X-Opaque-Id`.
    pub omit_opaque_ids: bool,
    /// The number of connections that each run store has accepted.
    pub connections: BTreeMap<usize, usize>,
    /// The run stores listed in DNS: instance, port, texts.
    pub zone: Vec<(String, u16, Vec<String>)>,
    /// The number of PTR queries that DNS has received.
    pub dns_list_queries: usize,
    /// Whether discovery accepts calls and answers none.
    pub discovery_hangs: bool,
    /// The delay of each answer of discovery, in addition to the wait for a change.
    pub discovery_delay: Duration,
    /// The wait that each call to discovery asked for, in milliseconds.
    pub watch_waits_ms: Vec<usize>,
    /// The number of calls to discovery.
    pub discovery_calls: usize,
    /// The number of further calls that discovery fails, alternately with a 503 and by closing the connection.
    pub discovery_failures: usize,
    /// The changes of each version of the list, in order.
    list_versions: Vec<Value>,
    /// The highest version that a caller has acknowledged by asking for the changes after it.
    acknowledged_version: usize,
}

/// Upper limit of every wait for an event. It only ends a test that hangs; no test depends on its length.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

impl Backends {
    /// Changes the state and wakes all waiters.
    pub fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.lock().unwrap());
        self.changed.notify_all();
    }

    /// Reads from the state.
    pub fn read<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.state.lock().unwrap())
    }

    /// Waits until a condition holds; `what` names it in the failure message.
    pub fn wait(&self, what: &str, until: impl Fn(&State) -> bool) {
        let state = self.state.lock().unwrap();
        let (_state, late) =
            self.changed.wait_timeout_while(state, WAIT_LIMIT, |state| !until(state)).expect("no panic");
        assert!(!late.timed_out(), "timed out waiting for {what}");
    }

    /// Sets how a run store handles parts from now on.
    pub fn set_behavior(&self, store: usize, behavior: Behavior) {
        self.change(|state| {
            state.behaviors.insert(store, behavior);
        });
    }

    /// Publishes a change of the list as a new version, without waiting for the aggregator.
    pub fn publish(&self, endpoints: Value) {
        self.change(|state| state.list_versions.push(endpoints));
    }

    /// Publishes a change of the list and waits until the aggregator has received it and asks for the next one.
    pub fn publish_and_wait(&self, endpoints: Value) {
        let mut version = 0;
        self.change(|state| {
            state.list_versions.push(endpoints);
            version = state.list_versions.len();
        });
        self.wait("the aggregator to receive the change of the list", |state| {
            state.acknowledged_version >= version
        });
    }

    /// Holds a part until the test sets how its run store continues.
    fn wait_for_release(&self, store: usize, shard: u32) -> Release {
        self.change(|state| {
            state.held.insert((store, shard));
        });
        self.wait("the part to be released", |state| state.releases.contains_key(&store));
        self.read(|state| state.releases[&store])
    }

    /// Marks all parts held at a run store as ended: it has read their cancellation, answers them or closes their
    /// connection.
    fn mark_ended(&self, store: usize) {
        self.change(|state| state.held.retain(|held| held.0 != store));
    }

    /// Records a part that has arrived and returns how to handle it.
    fn record_part(&self, store: usize, shard: u32, timeout_ms: u64, key: Option<&str>) -> Behavior {
        let mut behavior = Behavior::Serve;
        self.change(|state| {
            state.second_copies += state.held.iter().filter(|held| held.1 == shard).count();
            state.parts.push((store, shard));
            state.timeouts_ms.push(timeout_ms);
            state.arrived_at.push(Instant::now());
            state.idempotency_keys.push(key.map(str::to_string));
            behavior = match state.behaviors.get(&store).copied().unwrap_or(Behavior::Serve) {
                Behavior::AnswerEvenShards if shard % 2 == 1 => Behavior::NeverAnswer,
                Behavior::AnswerEvenShards => Behavior::Serve,
                behavior => behavior,
            };
        });
        behavior
    }
}

/// Binds a listening socket on loopback. Connections wait in its queue until a stand-in accepts them.
pub fn bind_socket() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Accepts connections and runs `accept` for each on a thread of its own.
fn accept_connections(
    listener: TcpListener,
    accept: impl Fn(TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    let accept = Arc::new(accept);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let accept = accept.clone();
            thread::spawn(move || accept(stream));
        }
    });
    address
}

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
                        let answered = format!("{id} S 7 util=0.50,qps=3\nv{shard}");
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

/// Reads an HTTP message and returns its first line, its head in lower case, and its body, sized by Content-Length.
pub fn read_http(stream: &mut TcpStream) -> io::Result<(String, String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).unwrap();
    let first = head.lines().next().unwrap_or("").to_string();
    let head = head.to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body)?;
    Ok((first, head, body))
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

/// Writes an HTTP response.
fn respond(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}").as_bytes())
}

/// Writes one byte at a time with `TCP_NODELAY`, so that the system sends them apart where it can.
pub fn write_byte_by_byte(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.set_nodelay(true)?;
    bytes.iter().try_for_each(|byte| stream.write_all(&[*byte]))
}

/// Returns the body of the answer to a search of one shard.
fn search_response(shard: u32) -> String {
    let body = json!({"took": 1, "timed_out": false,
        "_shards": {"total": 1, "successful": 1, "skipped": 0, "failed": 0},
        "hits": {"total": {"value": 1, "relation": "eq"}, "max_score": 1.0,
            "hits": [{"_index": "i", "_id": format!("v{shard}"), "_score": 1.0}]}});
    body.to_string()
}

fn serve_searches(backends: &Backends, store: usize, mut stream: TcpStream) -> io::Result<()> {
    let mut answers = SearchAnswers { stream: stream.try_clone()?, id_line: String::new(), last: Vec::new() };
    loop {
        let (first, head, _) = read_http(&mut stream)?;
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
        match backends.record_part(store, shard, timeout_ms, key) {
            Behavior::Serve => {
                thread::sleep(backends.read(|state| state.service_time));
                answers.write("200 OK", &search_response(shard))?;
            }
            Behavior::ServeByteByByte => {
                let answer = answers.encode("200 OK", &search_response(shard));
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
                        answers.write("200 OK", &search_response(shard))?;
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

/// Starts a discovery service that serves the published lists.
pub fn start_discovery(backends: &Arc<Backends>) -> SocketAddr {
    start_discovery_on(bind_socket(), backends)
}

/// Like [`start_discovery`], on a socket to which callers may already have connected.
pub fn start_discovery_on(listener: TcpListener, backends: &Arc<Backends>) -> SocketAddr {
    let backends = backends.clone();
    accept_connections(listener, move |mut stream| {
        while let Ok((first, _, _)) = read_http(&mut stream) {
            let number = |name: &str| -> Option<usize> {
                first.split(name).nth(1)?.split(['&', ' ']).next()?.parse().ok()
            };
            let after = number("after=").unwrap_or(0);
            let wait = Duration::from_millis(number("wait_ms=").unwrap_or(0) as u64);
            let mut state = backends.state.lock().unwrap();
            state.discovery_calls += 1;
            state.watch_waits_ms.extend(number("wait_ms="));
            if state.discovery_hangs {
                drop(state);
                backends.changed.notify_all();
                // Blocks until the caller gives up.
                let _ = stream.read(&mut [0]);
                return;
            }
            if state.discovery_failures > 0 {
                state.discovery_failures -= 1;
                let broken = state.discovery_failures.is_multiple_of(2);
                drop(state);
                backends.changed.notify_all();
                if broken || respond(&mut stream, "503 Service Unavailable", "").is_err() {
                    return;
                }
                continue;
            }
            state.acknowledged_version = state.acknowledged_version.max(after);
            backends.changed.notify_all();
            let (state, _) = backends
                .changed
                .wait_timeout_while(state, wait, |state| state.list_versions.len() <= after)
                .unwrap();
            let changes: Vec<Value> = state.list_versions[after.min(state.list_versions.len())..]
                .iter()
                .flat_map(|v| v.as_array().unwrap().clone())
                .collect();
            let whole = !first.contains("after=") && !state.list_versions.is_empty();
            let body = json!({"index": state.list_versions.len().max(after), "snapshot": whole, "endpoints": changes});
            let delay = state.discovery_delay;
            drop(state);
            thread::sleep(delay);
            if respond(&mut stream, "200 OK", &body.to_string()).is_err() {
                return;
            }
        }
    })
}

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
