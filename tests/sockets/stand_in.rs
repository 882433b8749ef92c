//! Stand-ins for run stores (on both wires), discovery and DNS on loopback, with one thread per connection.

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

/// How a run store handles a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Act {
    /// Answers it.
    Serve,
    /// Runs it and reports an error.
    Error,
    /// Rejects it without running it.
    TurnAway,
    /// Accepts it and never answers.
    Silent,
    /// Answers for even shards; accepts it and never answers for odd ones.
    Half,
    /// Accepts it and closes the connection.
    Break,
    /// Accepts it, keeps the connection open, and answers nothing on it any more, not even a probe.
    Mute,
    /// Answers it and writes the answer one byte at a time.
    Pieces,
    /// Accepts it and begins an answer that never ends.
    Stuck,
    /// Sends raw bytes as the answer to a search and closes the connection; sends an invalid frame on the frames wire.
    Raw(&'static str),
    /// Accepts it and reads nothing more on its connection until the test sets its [`Release`].
    Hold,
    /// Like `Hold`, but first sends bytes that no valid answer begins with.
    SpoilAndHold,
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
pub struct Board {
    state: Mutex<State>,
    changed: Condvar,
}

/// Behaviour that a test sets for its stand-ins, and what the stand-ins have observed.
#[derive(Default)]
pub struct State {
    /// How each run store handles parts; `Serve` if not set.
    pub acts: BTreeMap<usize, Act>,
    /// How long a run store works on each part.
    pub work: Duration,
    /// Run store and shard of each completely received part, in order of arrival.
    pub parts: Vec<(usize, u32)>,
    /// The time-out that each of these parts carried, in milliseconds.
    pub told_ms: Vec<u64>,
    /// When each of these parts arrived.
    pub arrived_at: Vec<Instant>,
    /// The idempotency key of each of these parts, if it carried one.
    pub keys: Vec<Option<String>>,
    /// The run store of each cancelled part, in order.
    pub given_up: Vec<usize>,
    /// How each run store that holds a part continues.
    pub releases: BTreeMap<usize, Release>,
    /// Held parts by run store and shard: those that the run store has neither ended nor seen cancelled.
    held: BTreeSet<(usize, u32)>,
    /// Parts that arrived while a run store still held a part of the same shard.
    pub copies: usize,
    /// The number of connections that each run store has accepted.
    pub connections: BTreeMap<usize, usize>,
    /// The run stores listed in DNS: instance, port, texts.
    pub zone: Vec<(String, u16, Vec<String>)>,
    /// The number of PTR queries that DNS has received.
    pub looks: usize,
    /// Whether discovery accepts calls and answers none.
    pub hangs: bool,
    /// The delay of each answer of discovery, in addition to the wait for a change.
    pub slow: Duration,
    /// The wait that each call to discovery asked for, in milliseconds.
    pub waits: Vec<usize>,
    /// The number of calls to discovery.
    pub calls: usize,
    /// The number of further calls that discovery fails, alternately with a 503 and by closing the connection.
    pub failures: usize,
    /// The changes of each version of the list, in order.
    lists: Vec<Value>,
    /// The highest version that a caller has acknowledged by asking for the changes after it.
    told: usize,
}

/// Upper limit of every wait for an event. No test measures against it.
const PATIENCE: Duration = Duration::from_secs(30);

impl Board {
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
            self.changed.wait_timeout_while(state, PATIENCE, |state| !until(state)).expect("no panic");
        assert!(!late.timed_out(), "timed out waiting for {what}");
    }

    /// Sets how a run store handles parts from now on.
    pub fn act(&self, store: usize, act: Act) {
        self.change(|state| {
            state.acts.insert(store, act);
        });
    }

    /// Publishes a change of the list as a new version, without waiting for the aggregator.
    pub fn list(&self, endpoints: Value) {
        self.change(|state| state.lists.push(endpoints));
    }

    /// Publishes a change of the list and waits until the aggregator has received it and asks for the next one.
    pub fn tell(&self, endpoints: Value) {
        let mut version = 0;
        self.change(|state| {
            state.lists.push(endpoints);
            version = state.lists.len();
        });
        self.wait("the aggregator to receive the change of the list", |state| state.told >= version);
    }

    /// Holds a part until the test sets how its run store continues.
    fn hold(&self, store: usize, shard: u32) -> Release {
        self.change(|state| {
            state.held.insert((store, shard));
        });
        self.wait("the part to be released", |state| state.releases.contains_key(&store));
        self.read(|state| state.releases[&store])
    }

    /// Marks all parts held at a run store as ended: it has read their cancellation, answers them or closes their
    /// connection.
    fn over(&self, store: usize) {
        self.change(|state| state.held.retain(|held| held.0 != store));
    }

    /// Records a part that has arrived and returns how to handle it.
    fn arrived(&self, store: usize, shard: u32, told_ms: u64, key: Option<&str>) -> Act {
        let mut act = Act::Serve;
        self.change(|state| {
            state.copies += state.held.iter().filter(|held| held.1 == shard).count();
            state.parts.push((store, shard));
            state.told_ms.push(told_ms);
            state.arrived_at.push(Instant::now());
            state.keys.push(key.map(str::to_string));
            act = match state.acts.get(&store).copied().unwrap_or(Act::Serve) {
                Act::Half if shard % 2 == 1 => Act::Silent,
                Act::Half => Act::Serve,
                act => act,
            };
        });
        act
    }
}

/// Binds a listening socket on loopback. Connections wait in its queue until a stand-in accepts them.
pub fn socket() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Accepts connections and runs `accept` for each on a thread of its own.
fn listen(listener: TcpListener, accept: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
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
pub fn run_store(board: &Arc<Board>, wire: Wire, store: usize) -> SocketAddr {
    let board = board.clone();
    listen(socket(), move |stream| {
        board.change(|state| *state.connections.entry(store).or_default() += 1);
        let open = stream.try_clone();
        // The stand-in does not care how a connection ends.
        let _ = match wire {
            Wire::Frames => frames(&board, store, stream),
            Wire::OpenSearch => searches(&board, store, stream),
        };
        // Recorded while `open` keeps the connection alive, before the aggregator can see that it has ended.
        board.over(store);
        drop(open);
    })
}

fn write_frame(stream: &mut TcpStream, letter: u8, rest: &[u8]) -> io::Result<()> {
    let mut frame = (rest.len() as u32 + 1).to_le_bytes().to_vec();
    frame.push(letter);
    frame.extend_from_slice(rest);
    stream.write_all(&frame)
}

fn frames(board: &Board, store: usize, mut stream: TcpStream) -> io::Result<()> {
    let mut send = stream.try_clone()?;
    let mut reply = stream.try_clone()?;
    let mut answer = move |letter: u8, rest: &[u8]| write_frame(&mut reply, letter, rest);
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
                let told_ms = wait.strip_prefix("d=").unwrap().parse().unwrap();
                assert!(told_ms > 0);
                let key = key.map(|key| key.strip_prefix("k=").unwrap());
                assert_eq!(size.parse::<usize>().unwrap(), query.len());
                assert_eq!(id.rsplit_once('.').unwrap().1, shard);
                match board.arrived(store, shard.parse().unwrap(), told_ms, key) {
                    Act::Serve => {
                        let answered = format!("{id} S 7 util=0.50,qps=3\nv{shard}");
                        let (work, mut later) = (board.read(|state| state.work), send.try_clone()?);
                        if work.is_zero() {
                            answer(b'5', answered.as_bytes())?;
                        } else {
                            // Answered on another thread, so that further parts are read meanwhile.
                            thread::spawn(move || {
                                thread::sleep(work);
                                let _ = write_frame(&mut later, b'5', answered.as_bytes());
                            });
                        }
                    }
                    Act::Pieces => {
                        let rest = format!("5{id} S 7 -\nv{shard}");
                        let frame = [&(rest.len() as u32).to_le_bytes()[..], rest.as_bytes()].concat();
                        in_pieces(&mut send, &frame)?;
                    }
                    Act::Error => answer(b'5', format!("{id} E 7 -\n").as_bytes())?,
                    Act::TurnAway => answer(b'5', format!("{id} B 7 -\n").as_bytes())?,
                    Act::Silent | Act::Half => {}
                    Act::Break => return Ok(()),
                    Act::Mute => {
                        // Discards input until the aggregator closes the connection.
                        while stream.read(&mut [0; 64])? > 0 {}
                        return Ok(());
                    }
                    Act::Stuck => send.write_all(b"\0\x10\0\x005begun")?,
                    Act::Raw(_) => answer(b'?', b"what")?,
                    act @ (Act::Hold | Act::SpoilAndHold) => {
                        if act == Act::SpoilAndHold {
                            answer(b'?', b"what")?;
                        }
                        match board.hold(store, shard.parse().unwrap()) {
                            Release::Read => {}
                            Release::Serve => {
                                board.over(store);
                                answer(b'5', format!("{id} S 7 -\nv{shard}").as_bytes())?;
                            }
                            Release::Close => return Ok(()),
                        }
                    }
                }
            }
            b'2' => {
                board.over(store);
                board.change(|state| state.given_up.push(store));
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

/// Writes an HTTP response.
fn respond(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}").as_bytes())
}

/// Writes one byte at a time with `TCP_NODELAY`, so that the system sends them apart where it can.
pub fn in_pieces(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.set_nodelay(true)?;
    bytes.iter().try_for_each(|byte| stream.write_all(&[*byte]))
}

/// Returns the body of the answer to a search of one shard.
fn found(shard: u32) -> String {
    let body = json!({"took": 1, "timed_out": false,
        "_shards": {"total": 1, "successful": 1, "skipped": 0, "failed": 0},
        "hits": {"total": {"value": 1, "relation": "eq"}, "max_score": 1.0,
            "hits": [{"_index": "i", "_id": format!("v{shard}"), "_score": 1.0}]}});
    body.to_string()
}

fn searches(board: &Board, store: usize, mut stream: TcpStream) -> io::Result<()> {
    loop {
        let (first, head, _) = read_http(&mut stream)?;
        if first.starts_with("GET / ") {
            respond(&mut stream, "200 OK", "{}")?;
            continue;
        }
        assert!(first.contains("/_search?"), "{first}");
        let shard: u32 = first.split("_shards:").nth(1).unwrap().split('&').next().unwrap().parse().unwrap();
        let key = head.lines().find_map(|line| line.strip_prefix("idempotency-key: "));
        let told_ms = first.split("timeout=").nth(1).unwrap().split("ms").next().unwrap().parse().unwrap();
        match board.arrived(store, shard, told_ms, key) {
            Act::Serve => {
                thread::sleep(board.read(|state| state.work));
                respond(&mut stream, "200 OK", &found(shard))?;
            }
            Act::Pieces => {
                let body = found(shard);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                in_pieces(&mut stream, format!("{head}{body}").as_bytes())?;
            }
            act @ (Act::Hold | Act::SpoilAndHold) => {
                if act == Act::SpoilAndHold {
                    stream.write_all(b"SMTP ready\r\n\r\n")?;
                }
                match board.hold(store, shard) {
                    // The next read sees that the aggregator has closed the connection.
                    Release::Read => {}
                    Release::Serve => {
                        board.over(store);
                        respond(&mut stream, "200 OK", &found(shard))?;
                    }
                    Release::Close => return Ok(()),
                }
            }
            Act::Error => respond(&mut stream, "500 Internal Server Error", "{\"error\":{},\"status\":500}")?,
            Act::TurnAway => respond(&mut stream, "429 Too Many Requests", "{\"error\":{},\"status\":429}")?,
            Act::Silent | Act::Half | Act::Mute => {
                // The aggregator cancels a search by closing its connection.
                let left = stream.read(&mut [0; 1])?;
                assert_eq!(left, 0, "no request follows a search that has no answer yet");
                board.change(|state| state.given_up.push(store));
                return Ok(());
            }
            Act::Break => return Ok(()),
            Act::Stuck => stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{")?,
            Act::Raw(text) => {
                stream.write_all(text.as_bytes())?;
                return Ok(());
            }
        }
    }
}

/// Starts a discovery service that serves the published lists.
pub fn discovery(board: &Arc<Board>) -> SocketAddr {
    discovery_on(socket(), board)
}

/// Like [`discovery`], on a socket to which callers may already have connected.
pub fn discovery_on(listener: TcpListener, board: &Arc<Board>) -> SocketAddr {
    let board = board.clone();
    listen(listener, move |mut stream| {
        while let Ok((first, _, _)) = read_http(&mut stream) {
            let number = |name: &str| -> Option<usize> {
                first.split(name).nth(1)?.split(['&', ' ']).next()?.parse().ok()
            };
            let after = number("after=").unwrap_or(0);
            let wait = Duration::from_millis(number("wait_ms=").unwrap_or(0) as u64);
            let mut state = board.state.lock().unwrap();
            state.calls += 1;
            state.waits.extend(number("wait_ms="));
            if state.hangs {
                drop(state);
                board.changed.notify_all();
                // Blocks until the caller gives up.
                let _ = stream.read(&mut [0]);
                return;
            }
            if state.failures > 0 {
                state.failures -= 1;
                let broken = state.failures.is_multiple_of(2);
                drop(state);
                board.changed.notify_all();
                if broken || respond(&mut stream, "503 Service Unavailable", "").is_err() {
                    return;
                }
                continue;
            }
            state.told = state.told.max(after);
            board.changed.notify_all();
            let (state, _) =
                board.changed.wait_timeout_while(state, wait, |state| state.lists.len() <= after).unwrap();
            let changes: Vec<Value> = state.lists[after.min(state.lists.len())..]
                .iter()
                .flat_map(|v| v.as_array().unwrap().clone())
                .collect();
            let whole = !first.contains("after=") && !state.lists.is_empty();
            let body =
                json!({"index": state.lists.len().max(after), "snapshot": whole, "endpoints": changes});
            let slow = state.slow;
            drop(state);
            thread::sleep(slow);
            if respond(&mut stream, "200 OK", &body.to_string()).is_err() {
                return;
            }
        }
    })
}

/// Starts a DNS server over UDP for `_run-store._tcp.test`; every host has the address 127.0.0.1.
pub fn dns(board: &Arc<Board>) -> SocketAddr {
    let board = board.clone();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        let mut bytes = [0; 512];
        while let Ok((count, peer)) = socket.recv_from(&mut bytes) {
            let question = &bytes[12..count];
            let (name, kind) = question.split_at(question.len() - 4);
            let first = String::from_utf8_lossy(&name[1..1 + usize::from(name[0])]).into_owned();
            let zone = board.read(|state| state.zone.clone());
            let label = |text: &str| [&[text.len() as u8], text.as_bytes()].concat();
            let answers: Vec<Vec<u8>> = match kind[1] {
                12 => {
                    board.change(|state| state.looks += 1);
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
