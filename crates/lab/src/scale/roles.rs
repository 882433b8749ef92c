//! The processes of a run: stand-ins are the lab itself in a role, told by lines of JSON on their standard input, and
//! end when that does: whatever becomes of the process that started them, none is left.

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

/// How long a stand-in may take to end by itself.
const END: Duration = Duration::from_secs(2);

/// What a process of the lab stands in for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Role {
    /// Discovery, or a relay of it.
    Discovery,
    /// All run stores that are asked.
    Stores,
    /// All hollow aggregators.
    Hollow,
    /// All clients of the real aggregators.
    Clients,
}

/// What every stand-in is told first.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Setup {
    /// Lines of the list.
    pub run_stores: usize,
    /// Hollow aggregators.
    pub hollow: usize,
    /// Real aggregators.
    pub real: usize,
    /// Changes of the list a second.
    pub changes: f64,
    /// For how long it changes.
    pub seconds: f64,
    /// The source of chance.
    pub seed: u64,
    /// Queries at once for each real aggregator, and parts of each.
    pub queries: (usize, usize),
    /// Run stores that queries go to.
    pub asked: usize,
    /// How long a run store takes for a part, in milliseconds.
    pub work_ms: f64,
    /// The settings of the aggregators.
    pub settings: Value,
    /// Where the run stores listen, all of them.
    pub stores: Option<SocketAddr>,
    /// Where a relay learns the list; `None` at discovery itself.
    pub upstream: Option<SocketAddr>,
    /// Where hollow aggregators are told the list, in turn.
    pub discovery: Vec<SocketAddr>,
    /// Where the real aggregators listen.
    pub aggregators: Vec<SocketAddr>,
}

/// What a stand-in is told afterwards. It answers each with a line.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// Begin, at a time of the clock in Unix milliseconds.
    Begin(u64),
    /// Tell what is so just now.
    Mark,
    /// Tell what came of all.
    End,
}

/// What a role does when it is told something.
pub type Attend = Box<dyn FnMut(Word) -> Value>;

/// Plays a role until standard input ends.
///
/// # Errors
/// If it cannot be played.
pub fn play(role: Role) -> Result<bool, String> {
    let failed = |error: &dyn std::fmt::Display| format!("{role:?}: {error}");
    let mut first = String::new();
    io::stdin().read_line(&mut first).map_err(|error| failed(&error))?;
    let setup: Setup = serde_json::from_str(&first).map_err(|error| failed(&error))?;
    let executor = Rc::new(LocalExecutor::new());
    let (sender, words) = async_channel::unbounded();
    thread::spawn(move || {
        for line in io::stdin().lines().map_while(Result::ok) {
            let Ok(word) = serde_json::from_str::<Word>(&line) else { break };
            if sender.send_blocking(word).is_err() {
                break;
            }
        }
    });
    let played = async {
        let (addresses, mut attend) = match role {
            Role::Discovery => discovery::start(&setup, &executor).await,
            Role::Stores => stores::start(&setup, &executor).await,
            Role::Hollow => hollow::start(&setup),
            Role::Clients => Ok(clients::start(&setup, &executor)),
        }?;
        let mut out = io::stdout();
        writeln!(out, "{}", serde_json::to_string(&addresses)?)?;
        while let Ok(word) = words.recv().await {
            writeln!(out, "{}", attend(word))?;
        }
        Ok::<(), io::Error>(())
    };
    async_io::block_on(executor.run(played)).map(|()| true).map_err(|error| failed(&error))
}

/// A process that plays a role.
pub struct Process {
    role: Role,
    child: Child,
    told: Option<ChildStdin>,
    says: BufReader<ChildStdout>,
    /// Where it listens.
    pub addresses: Vec<SocketAddr>,
}

impl Process {
    /// Starts it.
    ///
    /// # Errors
    /// If it does not come up.
    pub fn start(role: Role, setup: &Setup) -> Result<Self, String> {
        let failed = |error: &dyn std::fmt::Display| format!("{role:?}: {error}");
        let name = role.to_possible_value().map(|value| value.get_name().to_string()).unwrap_or_default();
        let mut child = Command::new(std::env::current_exe().map_err(|error| failed(&error))?)
            .args(["scale-role", &name])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| failed(&error))?;
        let (told, says) = (child.stdin.take(), child.stdout.take());
        let Some(says) = says else { unreachable!("it was asked for") };
        let mut process = Process { role, child, told, says: BufReader::new(says), addresses: Vec::new() };
        let addresses = process.say(setup)?;
        process.addresses = serde_json::from_value(addresses).map_err(|error| failed(&error))?;
        Ok(process)
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Tells it something; what it answers.
    ///
    /// # Errors
    /// If it does not answer.
    pub fn tell(&mut self, word: Word) -> Result<Value, String> {
        self.say(&word)
    }

    fn say(&mut self, what: &impl Serialize) -> Result<Value, String> {
        let role = self.role;
        let failed = move |why: &dyn std::fmt::Display| format!("{role:?} does not answer: {why}");
        let told = self.told.as_mut().ok_or_else(|| failed(&"it has ended"))?;
        let line = serde_json::to_string(what).map_err(|error| failed(&error))?;
        writeln!(told, "{line}").map_err(|error| failed(&error))?;
        let mut answer = String::new();
        self.says.read_line(&mut answer).map_err(|error| failed(&error))?;
        serde_json::from_str(&answer).map_err(|error| failed(&error))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The end of its standard input ends it.
        self.told = None;
        let began = Instant::now();
        while matches!(self.child.try_wait(), Ok(None)) && began.elapsed() < END {
            thread::sleep(Duration::from_millis(5));
        }
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a process uses.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Usage {
    /// Processor time of its threads since their start, in milliseconds.
    pub cpu_ms: f64,
    /// Memory, in bytes.
    pub memory: u64,
    /// The most memory so far.
    pub peak: u64,
    /// Descriptors.
    pub descriptors: u64,
}

/// What a process uses, as the kernel counts it.
///
/// # Errors
/// If there is no such process.
pub fn usage(process: u32) -> io::Result<Usage> {
    let root = format!("/proc/{process}");
    let mut cpu_ns = 0;
    for task in std::fs::read_dir(format!("{root}/task"))? {
        // A thread may end meanwhile.
        let stat = std::fs::read_to_string(task?.path().join("schedstat")).unwrap_or_default();
        cpu_ns += stat.split(' ').next().and_then(|word| word.parse::<u64>().ok()).unwrap_or(0);
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
