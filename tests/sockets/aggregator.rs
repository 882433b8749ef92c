//! Starts the real program on loopback for a test, and acts as its client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::stand_in::{self, read_http, Backends, Wire};

/// A running aggregator with its stand-ins. Every run store holds every shard unless the test changes the settings.
pub struct Aggregator {
    pub wire: Wire,
    pub backends: Arc<Backends>,
    pub address: SocketAddr,
    pub stores: Vec<SocketAddr>,
    /// The address of the operators' interface, if there is one.
    pub operator: Option<SocketAddr>,
    /// The address at which its replicated store accepts peers, if there is one.
    pub store_address: Option<String>,
    /// The log lines up to the one that reports that it listens.
    startup_log: Vec<String>,
    child: Child,
    log: mpsc::Receiver<String>,
    folder: Arc<Folder>,
}

/// The directory of one aggregator, which its processes share: it holds the configuration and the handover socket.
struct Folder {
    path: PathBuf,
    /// The faults to inject into its processes, in the syntax of `crates/faults`.
    faults: Mutex<Option<String>>,
}

impl Folder {
    fn new(faults: Option<String>) -> Arc<Self> {
        static CREATED: AtomicUsize = AtomicUsize::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("ironpaddle-{}-{number}", std::process::id()));
        std::fs::create_dir(&path).unwrap();
        Arc::new(Folder { path, faults: Mutex::new(faults) })
    }

    fn config_path(&self) -> PathBuf {
        self.path.join("config.json")
    }

    /// Returns the command that starts a process of this aggregator.
    fn command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ironpaddle"));
        command.arg(self.config_path()).env("TMPDIR", &self.path);
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

/// Returns the path of the library of `crates/faults`, which cargo builds next to the tests.
fn faults_library() -> PathBuf {
    let library = std::env::current_exe().unwrap().with_file_name("libironpaddle_faults.so");
    assert!(library.exists(), "{}", library.display());
    library
}

/// A final answer to a client or an operator.
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

    /// Returns whether this is a whole answer to a query.
    pub fn is_whole(&self) -> bool {
        let json = self.json();
        self.status == 200 && (json["entire"] == json!(true) || json["timed_out"] == json!(false))
    }

    /// Returns whether the query was refused.
    pub fn is_refused(&self) -> bool {
        matches!(self.status, 429 | 503)
    }
}

/// Returns the entry of a run store in a list of discovery.
pub fn endpoint(name: usize, address: SocketAddr, status: &str, since_ms: u64) -> Value {
    json!({"name": format!("s-{name}"), "address": address.to_string(), "zone": "z", "type": "k",
        "group": name, "status": status, "weight": 1.0, "since_ms": since_ms})
}

/// Returns settings with three classes: run-search and run-lookup can be repeated, shift-entry cannot.
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

fn config(wire: Wire, stores: &[SocketAddr], max_open: usize, backends: &Arc<Backends>) -> Value {
    let endpoints: Vec<_> = stores.iter().enumerate().map(|(n, at)| endpoint(n, *at, "ready", 0)).collect();
    json!({"name": "n0", "listen": "127.0.0.1:0", "operator": "127.0.0.1:0", "seed": "7",
        "discovery": stand_in::start_discovery(backends).to_string(),
        "api": match wire { Wire::Frames => "platform", Wire::OpenSearch => "opensearch" },
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 0, "snapshot": true, "endpoints": endpoints},
        "settings": settings(stores.len(), max_open)})
}

impl Aggregator {
    /// Starts an aggregator with some run stores.
    pub fn start(wire: Wire, stores: usize) -> Self {
        Aggregator::start_with_max_open(wire, stores, 1000)
    }

    /// Like [`Aggregator::start`], with another limit on what is in flight.
    pub fn start_with_max_open(wire: Wire, stores: usize, max_open: usize) -> Self {
        let backends = Arc::new(Backends::default());
        let stores: Vec<_> =
            (0..stores).map(|store| stand_in::start_run_store(&backends, wire, store)).collect();
        let config = config(wire, &stores, max_open, &backends);
        Aggregator::write_config_and_start(wire, backends, stores, &config, None)
    }

    /// Starts an aggregator with a configuration that the test has changed.
    pub fn start_with_config(
        wire: Wire,
        stores: usize,
        change: impl FnOnce(&mut Value, &[SocketAddr]),
    ) -> Self {
        Aggregator::start_with_faults(wire, stores, None, change)
    }

    /// Like [`Aggregator::start_with_config`], with system calls that fail in its processes.
    pub fn start_with_faults(
        wire: Wire,
        stores: usize,
        faults: Option<&str>,
        change: impl FnOnce(&mut Value, &[SocketAddr]),
    ) -> Self {
        let backends = Arc::new(Backends::default());
        let stores: Vec<_> =
            (0..stores).map(|store| stand_in::start_run_store(&backends, wire, store)).collect();
        let mut config = config(wire, &stores, 1000, &backends);
        change(&mut config, &stores);
        Aggregator::write_config_and_start(wire, backends, stores, &config, faults)
    }

    fn write_config_and_start(
        wire: Wire,
        backends: Arc<Backends>,
        stores: Vec<SocketAddr>,
        config: &Value,
        faults: Option<&str>,
    ) -> Self {
        let folder = Folder::new(faults.map(str::to_string));
        std::fs::write(folder.config_path(), config.to_string()).unwrap();
        Aggregator::start_process(wire, backends, stores, folder)
    }

    /// Sets the faults of the processes that are started from now on.
    pub fn set_faults(&self, faults: Option<&str>) {
        *self.folder.faults.lock().unwrap() = faults.map(str::to_string);
    }

    /// Allows the process to open descriptors, or forbids it, by its resource limit.
    pub fn allow_new_descriptors(&self, allowed: bool) {
        let process = rustix::process::Pid::from_child(&self.child);
        let limits = rustix::process::getrlimit(rustix::process::Resource::Nofile);
        let current = if allowed { limits.current } else { Some(0) };
        let limits = rustix::process::Rlimit { current, ..limits };
        rustix::process::prlimit(Some(process), rustix::process::Resource::Nofile, limits).unwrap();
    }

    /// Starts a further process of this aggregator, which takes over from the running one.
    pub fn start_successor(&self) -> Self {
        self.wait_for_handover_socket();
        Aggregator::start_process(self.wire, self.backends.clone(), self.stores.clone(), self.folder.clone())
    }

    /// Starts a further process, asserts that it fails, and returns what it wrote to standard error.
    pub fn start_failing_successor(&self) -> String {
        let output = self.folder.command().output().unwrap();
        assert!(!output.status.success(), "the new process succeeded");
        String::from_utf8(output.stderr).unwrap()
    }

    /// Returns the path of the configuration file.
    pub fn config_path(&self) -> PathBuf {
        self.folder.config_path()
    }

    /// Returns the path of the socket over which processes of this aggregator hand over.
    pub fn handover_socket(&self) -> PathBuf {
        self.folder.path.join("ironpaddle-n0.sock")
    }

    /// Waits until the handover socket exists.
    pub fn wait_for_handover_socket(&self) {
        let begun = Instant::now();
        while !self.handover_socket().exists() {
            assert!(
                begun.elapsed() < Duration::from_secs(30),
                "no socket at {}",
                self.handover_socket().display()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn start_process(
        wire: Wire,
        backends: Arc<Backends>,
        stores: Vec<SocketAddr>,
        folder: Arc<Folder>,
    ) -> Self {
        let mut child = folder.command().stderr(Stdio::piped()).spawn().unwrap();
        let (sender, log) = mpsc::channel();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                // The receiver may be gone.
                let _ = sender.send(line);
            }
        });
        let mut startup_log: Vec<String> = Vec::new();
        while !startup_log.last().is_some_and(|line| line.contains(" listens on ")) {
            let line = log.recv_timeout(Duration::from_secs(30));
            startup_log.push(line.unwrap_or_else(|error| panic!("{error} after {startup_log:?}")));
        }
        let value_of = |text: &str| {
            let line = startup_log.iter().find(|line| line.contains(text))?;
            line.rsplit(' ').next().map(str::to_string)
        };
        let address = value_of(" listens on ").unwrap().parse().unwrap();
        let store_address = value_of("store meets peers on");
        let operator = value_of("operators call").map(|at| at.parse().unwrap());
        Aggregator {
            wire,
            backends,
            address,
            stores,
            operator,
            store_address,
            startup_log,
            child,
            log,
            folder,
        }
    }

    /// Returns whether a log line up to the start contains `text`.
    pub fn logged_at_start(&self, text: &str) -> bool {
        self.startup_log.iter().any(|line| line.contains(text))
    }

    /// Waits for the next log line that contains `text` and returns it.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(Duration::from_secs(30));
            let line = line.unwrap_or_else(|_| panic!("no log line contains {text:?}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Connects as a client.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        stream
    }

    /// Sends a query of some shards and returns the connection, without reading the answer.
    pub fn send_query(&self, class: &str, shards: &[u32], timeout_ms: u32) -> TcpStream {
        self.send_query_with_headers("", class, shards, timeout_ms)
    }

    /// Like [`Aggregator::send_query`], with further header lines, each including its line end.
    pub fn send_query_with_headers(
        &self,
        headers: &str,
        class: &str,
        shards: &[u32],
        timeout_ms: u32,
    ) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(self.query_bytes(headers, class, shards, timeout_ms).as_bytes()).unwrap();
        stream
    }

    /// Returns the request of a query of some shards, with further header lines, each including its line end.
    pub fn query_bytes(&self, headers: &str, class: &str, shards: &[u32], timeout_ms: u32) -> String {
        static QUERIES: AtomicUsize = AtomicUsize::new(0);
        let id = QUERIES.fetch_add(1, Ordering::Relaxed);
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
             X-Timeout: {timeout_ms}m\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    /// Sends a query of some shards and reads its answer.
    pub fn ask(&self, class: &str, shards: &[u32], timeout_ms: u32) -> Answer {
        read_answer(&mut self.send_query(class, shards, timeout_ms))
    }

    /// Sends raw bytes, reads the answer, and asserts that the aggregator then closes the connection.
    pub fn send_raw(&self, bytes: &[u8]) -> Answer {
        let mut stream = self.connect();
        stream.write_all(bytes).unwrap();
        let answer = read_answer(&mut stream);
        assert_eq!(stream.read(&mut [0]).unwrap(), 0, "connection still open after status {}", answer.status);
        answer
    }

    /// Makes an operator's call, and asserts that the connection is closed after its answer.
    pub fn call_operator(&self, method: &str, path: &str) -> Answer {
        let mut stream = TcpStream::connect(self.operator.expect("the key `operator` is set")).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).unwrap();
        let answer = read_answer(&mut stream);
        assert_eq!(stream.read(&mut [0]).unwrap(), 0, "connection still open after status {}", answer.status);
        answer
    }

    /// Returns the body of `GET /counters`.
    pub fn counters(&self) -> String {
        let mut stream = self.connect();
        stream.write_all(b"GET /counters HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        read_answer(&mut stream).body
    }

    /// Sends a signal by its name, for example `TERM`, or `USR1` to have the counters logged.
    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status().unwrap();
        assert!(done.success());
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.folder.config_path(), text).unwrap();
        self.signal("HUP");
    }

    /// Returns the present configuration file with a change.
    pub fn configuration(&self, change: impl FnOnce(&mut Value)) -> String {
        let mut config = serde_json::from_slice(&std::fs::read(self.folder.config_path()).unwrap()).unwrap();
        change(&mut config);
        config.to_string()
    }

    /// Returns the number of descriptors that the process has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Returns the most memory that the process has used so far, in kB.
    pub fn peak_memory_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Waits for the process to exit.
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

/// Reads one answer from a connection.
pub fn read_answer(stream: &mut TcpStream) -> Answer {
    let (first, head, body) = read_http(stream).unwrap();
    let status = first.split(' ').nth(1).unwrap().parse().unwrap();
    Answer { status, head, body: String::from_utf8(body).unwrap() }
}
