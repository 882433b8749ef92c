//! The stand-in processes of a run. A stand-in is the lab's own program in a role. It receives commands as lines of
//! JSON on its standard input and exits when that is closed, so none is left behind even if the process that started it
//! is killed.

use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use clap::ValueEnum;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{clients, discovery, hollow, stores};

/// The time that a stand-in has to exit before it is killed.
const END: Duration = Duration::from_secs(2);

/// The role of a stand-in process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Role {
    /// Discovery, or a relay of the list.
    Discovery,
    /// All run stores that receive queries.
    Stores,
    /// All simulated aggregators. Error messages print the name of the variant.
    Hollow,
    /// All clients of the real aggregators.
    Clients,
}

/// The configuration that every stand-in receives as its first line.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Setup {
    /// The number of list entries.
    pub run_stores: usize,
    /// The number of simulated aggregators.
    #[serde(rename = "hollow")]
    pub simulated: usize,
    /// The number of real aggregators.
    pub real: usize,
    /// List changes per second.
    pub changes: f64,
    /// How long the list changes, in seconds.
    pub seconds: f64,
    /// The seed of the random events and queries.
    pub seed: u64,
    /// The number of concurrent queries at each real aggregator, and the number of parts of each.
    pub queries: (usize, usize),
    /// The number of run stores that receive queries.
    #[serde(rename = "asked")]
    pub queried: usize,
    /// The time that a run store takes for a part, in milliseconds.
    pub work_ms: f64,
    /// The settings of the aggregators.
    pub settings: Value,
    /// The address that all run stores share.
    #[serde(rename = "stores")]
    pub run_store_address: Option<SocketAddr>,
    /// The address from which a relay receives the list; `None` at discovery itself.
    pub upstream: Option<SocketAddr>,
    /// The addresses from which simulated aggregators receive the list, assigned round-robin.
    pub discovery: Vec<SocketAddr>,
    /// The addresses of the real aggregators.
    pub aggregators: Vec<SocketAddr>,
}

/// A command to a stand-in, which answers each with one line of JSON.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum RoleCommand {
    /// Begin at the given Unix time in milliseconds.
    Begin(u64),
    /// Report the current counters.
    #[serde(rename = "Mark")]
    Report,
    /// Finish and report the results.
    End,
}

/// The handler of a role: executes a command and returns the answer.
pub type RoleHandler = Box<dyn FnMut(RoleCommand) -> Value>;

/// Runs a stand-in until standard input is closed.
///
/// # Errors
/// If the setup cannot be read or the role cannot start or write its answers.
pub fn run(role: Role) -> Result<bool, String> {
    let failed = |error: &dyn std::fmt::Display| format!("{role:?}: {error}");
    let mut first = String::new();
    io::stdin().read_line(&mut first).map_err(|error| failed(&error))?;
    let setup: Setup = serde_json::from_str(&first).map_err(|error| failed(&error))?;
    let executor = Rc::new(LocalExecutor::new());
    let (sender, commands) = async_channel::unbounded();
    thread::spawn(move || {
        for line in io::stdin().lines().map_while(Result::ok) {
            let Ok(command) = serde_json::from_str::<RoleCommand>(&line) else { break };
            if sender.send_blocking(command).is_err() {
                break;
            }
        }
    });
    let running = async {
        let (addresses, mut handler) = match role {
            Role::Discovery => discovery::start(&setup, &executor).await,
            Role::Stores => stores::start(&setup, &executor).await,
            Role::Hollow => hollow::start(&setup),
            Role::Clients => Ok(clients::start(&setup, &executor)),
        }?;
        let mut out = io::stdout();
        writeln!(out, "{}", serde_json::to_string(&addresses)?)?;
        while let Ok(command) = commands.recv().await {
            writeln!(out, "{}", handler(command))?;
        }
        Ok::<(), io::Error>(())
    };
    async_io::block_on(executor.run(running)).map(|()| true).map_err(|error| failed(&error))
}

/// A stand-in process.
pub struct Process {
    role: Role,
    child: Child,
    stdin: Option<ChildStdin>,
    stdout: BufReader<ChildStdout>,
    /// The addresses on which it listens.
    pub addresses: Vec<SocketAddr>,
}

impl Process {
    /// Starts a stand-in and waits for its addresses.
    ///
    /// # Errors
    /// If the process cannot be started or does not answer.
    pub fn start(role: Role, setup: &Setup) -> Result<Self, String> {
        let failed = |error: &dyn std::fmt::Display| format!("{role:?}: {error}");
        let name = role.to_possible_value().map(|value| value.get_name().to_string()).unwrap_or_default();
        let mut child = Command::new(std::env::current_exe().map_err(|error| failed(&error))?)
            .args(["scale-role", &name])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| failed(&error))?;
        let (stdin, stdout) = (child.stdin.take(), child.stdout.take());
        let Some(stdout) = stdout else { unreachable!("standard output is piped") };
        let mut process =
            Process { role, child, stdin, stdout: BufReader::new(stdout), addresses: Vec::new() };
        let addresses = process.request(setup)?;
        process.addresses = serde_json::from_value(addresses).map_err(|error| failed(&error))?;
        Ok(process)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a command and returns the answer.
    ///
    /// # Errors
    /// If the stand-in does not answer.
    pub fn send(&mut self, command: RoleCommand) -> Result<Value, String> {
        self.request(&command)
    }

    /// Writes a line of JSON and reads the answer.
    fn request(&mut self, message: &impl Serialize) -> Result<Value, String> {
        let role = self.role;
        let failed = move |why: &dyn std::fmt::Display| format!("{role:?} does not answer: {why}");
        let stdin = self.stdin.as_mut().ok_or_else(|| failed(&"it has exited"))?;
        let line = serde_json::to_string(message).map_err(|error| failed(&error))?;
        writeln!(stdin, "{line}").map_err(|error| failed(&error))?;
        let mut answer = String::new();
        self.stdout.read_line(&mut answer).map_err(|error| failed(&error))?;
        serde_json::from_str(&answer).map_err(|error| failed(&error))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The stand-in exits when its standard input is closed.
        self.stdin = None;
        let began = Instant::now();
        while matches!(self.child.try_wait(), Ok(None)) && began.elapsed() < END {
            thread::sleep(Duration::from_millis(5));
        }
        // Fails if it has exited by itself, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The resource usage of a process.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Usage {
    /// CPU time of the current threads, in milliseconds.
    pub cpu_ms: f64,
    /// Resident memory, in bytes.
    pub memory: u64,
    /// Peak resident memory, in bytes.
    pub peak: u64,
    /// The number of open descriptors.
    pub descriptors: u64,
}

/// Reads the resource usage of a process from `/proc`.
///
/// # Errors
/// If the process does not exist.
pub fn usage(process: u32) -> io::Result<Usage> {
    let root = format!("/proc/{process}");
    let mut cpu_ns = 0;
    for task in std::fs::read_dir(format!("{root}/task"))? {
        // A thread may exit while its directory is read.
        let stat = std::fs::read_to_string(task?.path().join("schedstat")).unwrap_or_default();
        cpu_ns += stat.split(' ').next().and_then(|first| first.parse::<u64>().ok()).unwrap_or(0);
    }
    let status = std::fs::read_to_string(format!("{root}/status"))?;
    let kilobytes = |key: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(key));
        line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0)
    };
    Ok(Usage {
        cpu_ms: cpu_ns as f64 / 1e6,
        memory: kilobytes("VmRSS:") * 1024,
        peak: kilobytes("VmHWM:") * 1024,
        descriptors: std::fs::read_dir(format!("{root}/fd"))?.count() as u64,
    })
}
