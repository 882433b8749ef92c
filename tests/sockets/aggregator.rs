//! The real program, started on loopback for a test, and clients of it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::stand_in::{self, read_http, Board, Wire};

/// An aggregator with its stand-ins. Every shard is held by every run store.
pub struct Aggregator {
    pub wire: Wire,
    pub board: Arc<Board>,
    pub address: SocketAddr,
    pub stores: Vec<SocketAddr>,
    /// Where operators call.
    pub operator: Option<SocketAddr>,
    /// Where peers of its store meet it.
    pub store: Option<String>,
    /// The lines of its log up to the start.
    started: Vec<String>,
    child: Child,
    log: mpsc::Receiver<String>,
    folder: Arc<Folder>,
}

/// A folder of its own for each aggregator: processes of one find each other there.
struct Folder {
    path: PathBuf,
    /// What fails for its processes, as the library of `crates/faults` reads it.
    faults: Mutex<Option<String>>,
}

impl Folder {
    fn new(faults: Option<String>) -> Arc<Self> {
        static MADE: AtomicUsize = AtomicUsize::new(0);
        let number = MADE.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("ironpaddle-{}-{number}", std::process::id()));
        std::fs::create_dir(&path).unwrap();
        Arc::new(Folder { path, faults: Mutex::new(faults) })
    }

    fn config(&self) -> PathBuf {
        self.path.join("config.json")
    }

    fn command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ironpaddle"));
        command.arg(self.config()).env("TMPDIR", &self.path);
        if let Some(faults) = &*self.faults.lock().unwrap() {
            command.env("LD_PRELOAD", faults_library()).env("FAULTS", faults);
        }
        command
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// The library that makes system calls fail, which is built beside the tests.
fn faults_library() -> PathBuf {
    let library = std::env::current_exe().unwrap().with_file_name("libironpaddle_faults.so");
    assert!(library.exists(), "{}", library.display());
    library
}

/// A final answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|error| panic!("{error}: {}", self.body))
    }

    /// Whether it is served whole.
    pub fn whole(&self) -> bool {
        let json = self.json();
        self.status == 200 && (json["entire"] == json!(true) || json["timed_out"] == json!(false))
    }

    pub fn refused(&self) -> bool {
        matches!(self.status, 429 | 503)
    }
}

pub fn line(name: usize, address: SocketAddr, status: &str, since: u64) -> Value {
    json!({"name": format!("s-{name}"), "address": address.to_string(), "zone": "z", "type": "k",
        "group": name, "status": status, "weight": 1.0, "since_ms": since})
}

fn settings(stores: usize, max_open: usize) -> Value {
    let class = |name: &str, repeat: &str| {
        json!({"name": name, "aim_ms": 2000.0, "deadline_ms": 10000.0,
        "group": "all", "late_worth": 0.1, "repeat": repeat, "value": 1.0, "window_ms": 5000.0})
    };
    json!({"balancers": 1, "discovery": "subscribe", "tick_ms": 5.0, "zone": "z",
        "caps": {"connect_timeout_ms": 250.0, "keepalive_ms": 30000.0, "max_attempts": 3,
            "max_open": max_open, "max_retry_after_ms": 2000.0, "may_cancel": true, "probes": true,
            "streams_per_conn": 100},
        "domain": {"cells": stores, "width": stores, "shards": 4, "bundle_max": 1,
            "complete_from": [1.0, 1.0, 1.0], "least_share": [0.4, 1.0, 1.0]},
        "request_classes": [class("run-search", "read_like"), class("run-lookup", "read_like"),
            class("shift-entry", "non_idempotent")]})
}

fn config(wire: Wire, stores: &[SocketAddr], max_open: usize, board: &Arc<Board>) -> Value {
    let lines: Vec<_> = stores.iter().enumerate().map(|(n, at)| line(n, *at, "ready", 0)).collect();
    json!({"name": "n0", "listen": "127.0.0.1:0", "operator": "127.0.0.1:0", "seed": "7",
        "discovery": stand_in::discovery(board).to_string(),
        "api": match wire { Wire::Frames => "platform", Wire::OpenSearch => "opensearch" },
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 0, "snapshot": true, "endpoints": lines},
        "settings": settings(stores.len(), max_open)})
}

impl Aggregator {
    pub fn start(wire: Wire, stores: usize) -> Self {
        Aggregator::with(wire, stores, 1000)
    }

    pub fn with(wire: Wire, stores: usize, max_open: usize) -> Self {
        let board = Arc::new(Board::default());
        let stores: Vec<_> = (0..stores).map(|store| stand_in::run_store(&board, wire, store)).collect();
        let config = config(wire, &stores, max_open, &board);
        Aggregator::spawn(wire, board, stores, &config, None)
    }

    /// One of a configuration that the test has changed.
    pub fn changed(wire: Wire, stores: usize, change: impl FnOnce(&mut Value, &[SocketAddr])) -> Self {
        Aggregator::failing(wire, stores, None, change)
    }

    /// The same, with system calls that fail for its processes.
    pub fn failing(
        wire: Wire,
        stores: usize,
        faults: Option<&str>,
        change: impl FnOnce(&mut Value, &[SocketAddr]),
    ) -> Self {
        let board = Arc::new(Board::default());
        let stores: Vec<_> = (0..stores).map(|store| stand_in::run_store(&board, wire, store)).collect();
        let mut config = config(wire, &stores, 1000, &board);
        change(&mut config, &stores);
        Aggregator::spawn(wire, board, stores, &config, faults)
    }

    fn spawn(
        wire: Wire,
        board: Arc<Board>,
        stores: Vec<SocketAddr>,
        config: &Value,
        faults: Option<&str>,
    ) -> Self {
        let folder = Folder::new(faults.map(str::to_string));
        std::fs::write(folder.config(), config.to_string()).unwrap();
        Aggregator::run(wire, board, stores, folder)
    }

    /// What fails for the processes that are started from now on.
    pub fn set_faults(&self, faults: Option<&str>) {
        *self.folder.faults.lock().unwrap() = faults.map(str::to_string);
    }

    /// Lets the process open descriptors, or no more of them.
    pub fn may_open(&self, may: bool) {
        let process = rustix::process::Pid::from_child(&self.child);
        let limits = rustix::process::getrlimit(rustix::process::Resource::Nofile);
        let current = if may { limits.current } else { Some(0) };
        let limits = rustix::process::Rlimit { current, ..limits };
        rustix::process::prlimit(Some(process), rustix::process::Resource::Nofile, limits).unwrap();
    }

    /// Starts a further process of this aggregator, which takes over from the running one.
    pub fn succeed(&self) -> Self {
        self.meets();
        Aggregator::run(self.wire, self.board.clone(), self.stores.clone(), self.folder.clone())
    }

    /// Starts a further process that is to fail; says what it wrote.
    pub fn fail_to_succeed(&self) -> String {
        let output = self.folder.command().output().unwrap();
        assert!(!output.status.success(), "it fails");
        String::from_utf8(output.stderr).unwrap()
    }

    /// Where its configuration stands.
    pub fn config(&self) -> PathBuf {
        self.folder.config()
    }

    /// The socket at which processes of this aggregator find each other.
    pub fn meeting(&self) -> PathBuf {
        self.folder.path.join("ironpaddle-n0.sock")
    }

    /// Waits until a further process can find this one.
    pub fn meets(&self) {
        let begun = Instant::now();
        while !self.meeting().exists() {
            assert!(begun.elapsed() < Duration::from_secs(30), "no socket at {}", self.meeting().display());
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn run(wire: Wire, board: Arc<Board>, stores: Vec<SocketAddr>, folder: Arc<Folder>) -> Self {
        let mut child = folder.command().stderr(Stdio::piped()).spawn().unwrap();
        let (sender, log) = mpsc::channel();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                // Nobody may be reading any more.
                let _ = sender.send(line);
            }
        });
        let mut started: Vec<String> = Vec::new();
        while !started.last().is_some_and(|line| line.contains(" listens on ")) {
            let line = log.recv_timeout(Duration::from_secs(30));
            started.push(line.unwrap_or_else(|error| panic!("{error} after {started:?}")));
        }
        let at = |words: &str| {
            let line = started.iter().find(|line| line.contains(words))?;
            line.rsplit(' ').next().map(str::to_string)
        };
        let address = at(" listens on ").unwrap().parse().unwrap();
        let store = at("store meets peers on");
        let operator = at("operators call").map(|at| at.parse().unwrap());
        Aggregator { wire, board, address, stores, operator, store, started, child, log, folder }
    }

    /// Whether the log has held some words by the time it had started.
    pub fn said(&self, words: &str) -> bool {
        self.started.iter().any(|line| line.contains(words))
    }

    /// The next line of the log that holds some words.
    pub fn logged(&self, words: &str) -> String {
        loop {
            let line = self.log.recv_timeout(Duration::from_secs(30));
            let line = line.unwrap_or_else(|_| panic!("no line in the log with {words:?}"));
            if line.contains(words) {
                return line;
            }
        }
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        stream
    }

    /// Writes a query of some shards and leaves its answer unread.
    pub fn begin(&self, class: &str, shards: &[u32], timeout_ms: u32) -> TcpStream {
        self.begin_with("", class, shards, timeout_ms)
    }

    /// The same with further header lines, each with its end.
    pub fn begin_with(&self, lines: &str, class: &str, shards: &[u32], timeout_ms: u32) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(self.query(lines, class, shards, timeout_ms).as_bytes()).unwrap();
        stream
    }

    /// The bytes of a query of some shards, with further header lines, each with its end.
    pub fn query(&self, lines: &str, class: &str, shards: &[u32], timeout_ms: u32) -> String {
        static ASKED: AtomicUsize = AtomicUsize::new(0);
        let id = ASKED.fetch_add(1, Ordering::Relaxed);
        let (target, body) = match self.wire {
            Wire::Frames => {
                let mass = 1.0 / shards.len() as f64;
                let slices: Vec<_> = shards.iter().map(|s| json!({"slice": s, "mass": mass})).collect();
                (format!("/{class}"), json!({"slices": slices, "filter": "c41e77d0"}))
            }
            Wire::OpenSearch => {
                let list: Vec<_> = shards.iter().map(u32::to_string).collect();
                let target =
                    format!("/{class}/_search?preference=_shards:{}&timeout={timeout_ms}ms", list.join(","));
                (target, json!({"query": {"match_all": {}}}))
            }
        };
        let body = body.to_string();
        format!(
            "POST {target} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: r{id}\r\nX-Priority-Class: {class}\r\n\
             X-Timeout: {timeout_ms}m\r\n{lines}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    pub fn ask(&self, class: &str, shards: &[u32], timeout_ms: u32) -> Answer {
        answer(&mut self.begin(class, shards, timeout_ms))
    }

    /// Writes raw bytes and reads the answer; then the connection has to be closed by the aggregator.
    pub fn raw(&self, bytes: &[u8]) -> Answer {
        let mut stream = self.connect();
        stream.write_all(bytes).unwrap();
        let answer = answer(&mut stream);
        assert_eq!(stream.read(&mut [0]).unwrap(), 0, "closed after {}", answer.status);
        answer
    }

    /// Makes an operator's call; the connection has to be closed after its answer.
    pub fn call(&self, method: &str, path: &str) -> Answer {
        let mut stream = TcpStream::connect(self.operator.expect("the key")).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).unwrap();
        let answer = answer(&mut stream);
        assert_eq!(stream.read(&mut [0]).unwrap(), 0, "closed after {}", answer.status);
        answer
    }

    pub fn counters(&self) -> String {
        let mut stream = self.connect();
        stream.write_all(b"GET /counters HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        answer(&mut stream).body
    }

    /// Sends a signal: `TERM`, or `USR1` for its counters.
    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status().unwrap();
        assert!(done.success());
    }

    /// Replaces the configuration file and has it read again.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.folder.config(), text).unwrap();
        self.signal("HUP");
    }

    /// The configuration it was started with, changed.
    pub fn configuration(&self, change: impl FnOnce(&mut Value)) -> String {
        let mut config = serde_json::from_slice(&std::fs::read(self.folder.config()).unwrap()).unwrap();
        change(&mut config);
        config.to_string()
    }

    /// Descriptors that the process holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Aggregator {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn answer(stream: &mut TcpStream) -> Answer {
    let (first, head, body) = read_http(stream).unwrap();
    let status = first.split(' ').nth(1).unwrap().parse().unwrap();
    Answer { status, head, body: String::from_utf8(body).unwrap() }
}
