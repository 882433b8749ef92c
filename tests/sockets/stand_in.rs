//! Stand-ins for run stores (on both wires), discovery and DNS on loopback, with one thread per connection, and the state
//! that they share with a test.

mod discovery;
mod dns;
mod run_store;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

pub use discovery::{start_discovery, start_discovery_on};
pub use dns::{DnsFault, DnsServer, Instance, A, PTR, SERVICE, SRV, TXT};
pub use run_store::start_run_store;

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
    /// Whether the value of a part is the text of its query, instead of `v` and its shard.
    pub return_query_text: bool,
    /// Whether run stores return no `X-Opaque-Id`.
    pub omit_opaque_ids: bool,
    /// The number of connections that each run store has accepted.
    pub connections: BTreeMap<usize, usize>,
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
    /// Returns the value of a part that carries the text `query`.
    pub fn value(&self, shard: &str, query: &str) -> String {
        match self.read(|state| state.return_query_text) {
            true => query.to_string(),
            false => format!("v{shard}"),
        }
    }

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
pub fn write_byte_by_byte(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.set_nodelay(true)?;
    bytes.iter().try_for_each(|byte| stream.write_all(&[*byte]))
}
