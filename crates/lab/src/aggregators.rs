//! Starts, signals and observes aggregators: real processes of the program, on loopback.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use serde_json::Value;

use crate::stores::read_message;

/// Environment variable from which the library of `crates/faults` reads the faults to inject.
const FAULTS_VARIABLE: &str = "FAULTS";
/// Time within which a started process must answer health checks.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// An aggregator under test, with the process that currently runs it.
pub struct Aggregator {
    /// Address for clients.
    pub address: SocketAddr,
    /// Address of the operators' interface.
    pub operator: SocketAddr,
    program: PathBuf,
    dir: PathBuf,
    child: Option<Child>,
    /// Faults injected into its processes, in the syntax of the library of `crates/faults`.
    faults: Option<String>,
    /// CPU time of its processes that have ended, in milliseconds.
    ended_cpu_ms: f64,
}

/// Ids of the running aggregator processes, to be killed when the lab is ended by a signal.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Installs a signal handler that kills all started aggregators before this process exits.
///
/// # Errors
/// If signals cannot be caught.
pub fn kill_children_on_signal() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    thread::spawn(move || {
        let signal = async_io::block_on(signals.next());
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        for id in running.iter().filter_map(|id| rustix::process::Pid::from_raw(*id as i32)) {
            // The process may have ended already.
            let _ = rustix::process::kill_process(id, rustix::process::Signal::KILL);
        }
        eprintln!("ironpaddle-lab: ended by {signal:?}");
        std::process::exit(1);
    });
    Ok(())
}

/// Removes a process that has ended from the processes to kill on a signal.
pub fn unregister(id: u32) {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
}

/// Interval at which an aggregator checks that its parent process still runs.
const PARENT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the aggregator program in this process, and exits when the parent process has ended.
///
/// # Errors
/// If the aggregator cannot be run.
pub fn run_as_aggregator(config: &Path) -> Result<(), String> {
    let parent = std::os::unix::process::parent_id();
    thread::spawn(move || {
        while std::os::unix::process::parent_id() == parent {
            thread::sleep(PARENT_CHECK_INTERVAL);
        }
        std::process::exit(1);
    });
    ironpaddle::log::init(ironpaddle::log::Format::Text, "info")?;
    ironpaddle::service::run(config)
}

/// Returns the path of the library that makes system calls fail, which is built next to the lab.
fn faults_library() -> io::Result<PathBuf> {
    const NAME: &str = "libironpaddle_faults.so";
    let own = std::env::current_exe()?;
    let places = [own.with_file_name("deps").join(NAME), own.with_file_name(NAME)];
    places.into_iter().find(|path| path.exists()).ok_or_else(|| {
        io::Error::other(format!("{NAME} was not found next to the lab: build the workspace first"))
    })
}

/// Returns an address with a free port.
fn free_address() -> io::Result<SocketAddr> {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(0);
    // On 127.0.0.1, an outgoing connection could take the port before the aggregator binds it.
    let (process, place) = (std::process::id(), NEXT_HOST.fetch_add(1, Ordering::Relaxed));
    let address = Ipv4Addr::new(127, 1 + (process >> 8 & 0x7f) as u8, process as u8, 1 + place % 254);
    TcpListener::bind((address, 0))?.local_addr()
}

impl Aggregator {
    /// Starts an aggregator with the given configuration; its addresses are filled in here.
    ///
    /// # Errors
    /// If it does not answer health checks in time.
    pub fn start(program: &Path, dir: &Path, config: Value) -> io::Result<Self> {
        Aggregator::start_with_faults(program, dir, config, None)
    }

    /// Starts an aggregator whose system calls fail as `faults` describes.
    ///
    /// # Errors
    /// If it does not answer health checks in time.
    pub fn start_with_faults(
        program: &Path,
        dir: &Path,
        mut config: Value,
        faults: Option<&str>,
    ) -> io::Result<Self> {
        std::fs::create_dir_all(dir)?;
        let (address, operator) = (free_address()?, free_address()?);
        config["listen"] = address.to_string().into();
        config["operator"] = operator.to_string().into();
        std::fs::write(dir.join("config.json"), config.to_string())?;
        let (program, dir) = (program.to_path_buf(), dir.to_path_buf());
        let faults = faults.map(str::to_string);
        let mut aggregator =
            Aggregator { address, operator, program, dir, child: None, faults, ended_cpu_ms: 0.0 };
        aggregator.spawn()?;
        Ok(aggregator)
    }

    fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(self.dir.join("log"))?;
        let mut command = Command::new(&self.program);
        // The lab runs as the aggregator itself unless another program is given.
        if std::env::current_exe().is_ok_and(|own| own == self.program) {
            command.arg("aggregator");
        }
        if let Some(faults) = &self.faults {
            command.env("LD_PRELOAD", faults_library()?).env(FAULTS_VARIABLE, faults);
        }
        let child = command
            .arg(self.dir.join("config.json"))
            .env("TMPDIR", &self.dir)
            .stdout(log.try_clone()?)
            .stderr(log);
        // Holding the lock keeps the signal handler from missing a process that is being started.
        let mut running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let child = child.spawn()?;
        running.insert(child.id());
        drop(running);
        self.child = Some(child);
        let began = Instant::now();
        while !matches!(self.call("GET", "/healthcheck"), Ok((200, _))) {
            if began.elapsed() > START_TIMEOUT {
                return Err(io::Error::other(format!(
                    "the aggregator did not answer health checks within {START_TIMEOUT:?}, see {}",
                    self.dir.join("log").display()
                )));
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Returns the id of its process, if one runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a request to the operators' interface and returns the status and the body.
    ///
    /// # Errors
    /// If there is no answer.
    pub fn call(&self, method: &str, path: &str) -> io::Result<(u16, String)> {
        let mut stream = TcpStream::connect(self.operator)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: lab\r\n\r\n").as_bytes())?;
        let (first, _, body) =
            read_message(&mut BufReader::new(stream))?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .ok_or(io::ErrorKind::InvalidData)?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Returns the CPU time of all its processes, in milliseconds. The kernel counts in hundredths of a second.
    pub fn cpu_ms(&self) -> f64 {
        let stat = self
            .child
            .as_ref()
            .and_then(|child| std::fs::read_to_string(format!("/proc/{}/stat", child.id())).ok());
        let ticks = stat.and_then(|stat| {
            let words: Vec<f64> =
                stat.rsplit(") ").next()?.split(' ').filter_map(|word| word.parse().ok()).collect();
            // After the name and the state, which is not a number, user and system time are the 11th and 12th field.
            Some(words.get(10)? + words.get(11)?)
        });
        self.ended_cpu_ms + ticks.unwrap_or(0.0) * 10.0
    }

    /// Kills its process and starts another one.
    ///
    /// # Errors
    /// If it does not answer health checks in time.
    pub fn kill_and_start(&mut self) -> io::Result<()> {
        self.kill()?;
        self.spawn()
    }

    /// Kills its process; [`Aggregator::start_again`] starts another one.
    ///
    /// # Errors
    /// If the process cannot be killed.
    pub fn kill(&mut self) -> io::Result<()> {
        self.ended_cpu_ms = self.cpu_ms();
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
            unregister(child.id());
        }
        Ok(())
    }

    /// Starts a process at the same addresses as the last one.
    ///
    /// # Errors
    /// If it does not answer health checks in time.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.spawn()
    }

    /// Sends a signal to its process, if one runs.
    ///
    /// # Errors
    /// If the signal cannot be sent.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        Command::new("kill").args(["-s", name, &child.id().to_string()]).status().map(drop)
    }

    /// Hands its process over to the caller, who has to wait for its end.
    pub fn take_process(&mut self) -> Option<Child> {
        self.ended_cpu_ms = self.cpu_ms();
        self.child.take()
    }

    /// Starts a new process, which takes over from the running one, and returns the old process.
    ///
    /// # Errors
    /// If it does not answer health checks in time.
    pub fn start_successor(&mut self) -> io::Result<Option<Child>> {
        let path = self.dir.join("config.json");
        let mut config: Value = serde_json::from_slice(&std::fs::read(&path)?)?;
        self.operator = free_address()?;
        config["operator"] = self.operator.to_string().into();
        std::fs::write(path, config.to_string())?;
        let old = self.take_process();
        self.spawn()?;
        Ok(old)
    }

    /// Returns its open file descriptors and its peak memory, in megabytes.
    pub fn usage(&self) -> Option<(usize, f64)> {
        let id = self.id()?;
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kilobytes: f64 = peak.split_whitespace().next()?.parse().ok()?;
        Some((descriptors, kilobytes / 1024.0))
    }

    /// Suspends its process, or resumes it.
    ///
    /// # Errors
    /// If the signal cannot be sent.
    pub fn set_suspended(&self, stopped: bool) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let signal = if stopped { "STOP" } else { "CONT" };
        Command::new("kill").args(["-s", signal, &child.id().to_string()]).status().map(drop)
    }

    /// Shuts its process down and returns whether it exited with success.
    ///
    /// # Errors
    /// If the signal cannot be sent or the process cannot be waited for.
    pub fn shut_down(&mut self) -> io::Result<bool> {
        self.ended_cpu_ms = self.cpu_ms();
        let Some(mut child) = self.child.take() else { return Ok(false) };
        Command::new("kill").args(["-s", "TERM", &child.id().to_string()]).status()?;
        let ended = child.wait()?.success();
        unregister(child.id());
        Ok(ended)
    }
}

impl Drop for Aggregator {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
            unregister(child.id());
        }
    }
}
