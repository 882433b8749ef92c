//! Aggregators: real processes of the program, on loopback.

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

/// The variable from which the library of `crates/faults` reads what is to fail.
const FAULTS: &str = "FAULTS";
/// How long a start may take.
const START: Duration = Duration::from_secs(20);

/// An aggregator.
pub struct Aggregator {
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where operators call.
    pub operator: SocketAddr,
    program: PathBuf,
    dir: PathBuf,
    child: Option<Child>,
    /// What fails for its processes, as the library of `crates/faults` reads it.
    faults: Option<String>,
    /// CPU of processes that are over, in milliseconds.
    cpu_ms: f64,
}

/// The processes that were started here, by id, so that they can be ended by it.
static STARTED: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// From now on a signal that ends this process ends all aggregators that it has started with it.
///
/// # Errors
/// If signals cannot be caught.
pub fn end_with_this_process() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    thread::spawn(move || {
        let signal = async_io::block_on(signals.next());
        let started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        for id in started.iter().filter_map(|id| rustix::process::Pid::from_raw(*id as i32)) {
            // It may have ended by itself.
            let _ = rustix::process::kill_process(id, rustix::process::Signal::KILL);
        }
        eprintln!("ironpaddle-lab: ended by {signal:?}");
        std::process::exit(1);
    });
    Ok(())
}

/// A process that was started here has ended.
pub fn has_ended(id: u32) {
    STARTED.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
}

/// How often an aggregator looks whether the process that started it is still there.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Is an aggregator: the program itself, which ends with the process that started it.
///
/// # Errors
/// If it cannot be run.
pub fn be(config: &Path) -> Result<(), String> {
    let parent = std::os::unix::process::parent_id();
    thread::spawn(move || {
        while std::os::unix::process::parent_id() == parent {
            thread::sleep(LOOK_EVERY);
        }
        std::process::exit(1);
    });
    ironpaddle::log::init(ironpaddle::log::Format::Text, "info")?;
    ironpaddle::service::run(config)
}

/// The library that makes system calls fail, which is built beside the lab.
fn faults_library() -> io::Result<PathBuf> {
    const NAME: &str = "libironpaddle_faults.so";
    let own = std::env::current_exe()?;
    let places = [own.with_file_name("deps").join(NAME), own.with_file_name(NAME)];
    places
        .into_iter()
        .find(|path| path.exists())
        .ok_or_else(|| io::Error::other(format!("there is no {NAME}")))
}

/// An address that is free just now.
fn free() -> io::Result<SocketAddr> {
    static TAKEN: AtomicU8 = AtomicU8::new(0);
    // An address of its own: on the usual one any connection that is being made may take the port meanwhile.
    let (process, place) = (std::process::id(), TAKEN.fetch_add(1, Ordering::Relaxed));
    let address = Ipv4Addr::new(127, 1 + (process >> 8 & 0x7f) as u8, process as u8, 1 + place % 254);
    TcpListener::bind((address, 0))?.local_addr()
}

impl Aggregator {
    /// Starts one by a configuration, whose addresses are set here.
    ///
    /// # Errors
    /// If it does not come up.
    pub fn start(program: &Path, dir: &Path, config: Value) -> io::Result<Self> {
        Aggregator::start_failing(program, dir, config, None)
    }

    /// The same, with system calls that fail for its processes.
    ///
    /// # Errors
    /// If it does not come up.
    pub fn start_failing(
        program: &Path,
        dir: &Path,
        mut config: Value,
        faults: Option<&str>,
    ) -> io::Result<Self> {
        std::fs::create_dir_all(dir)?;
        let (address, operator) = (free()?, free()?);
        config["listen"] = address.to_string().into();
        config["operator"] = operator.to_string().into();
        std::fs::write(dir.join("config.json"), config.to_string())?;
        let (program, dir) = (program.to_path_buf(), dir.to_path_buf());
        let faults = faults.map(str::to_string);
        let mut aggregator = Aggregator { address, operator, program, dir, child: None, faults, cpu_ms: 0.0 };
        aggregator.spawn()?;
        Ok(aggregator)
    }

    fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(self.dir.join("log"))?;
        let mut command = Command::new(&self.program);
        // The lab is the aggregator's program itself unless another one is named.
        if std::env::current_exe().is_ok_and(|own| own == self.program) {
            command.arg("aggregator");
        }
        if let Some(faults) = &self.faults {
            command.env("LD_PRELOAD", faults_library()?).env(FAULTS, faults);
        }
        let child = command
            .arg(self.dir.join("config.json"))
            .env("TMPDIR", &self.dir)
            .stdout(log.try_clone()?)
            .stderr(log);
        // None is started between a signal and the end.
        let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        let child = child.spawn()?;
        started.insert(child.id());
        drop(started);
        self.child = Some(child);
        let began = Instant::now();
        while !matches!(self.call("GET", "/healthcheck"), Ok((200, _))) {
            if began.elapsed() > START {
                return Err(io::Error::other(format!(
                    "the aggregator does not come up: see {}",
                    self.dir.join("log").display()
                )));
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Its process, while there is one.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Makes an operator's call.
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

    /// The CPU that its processes have used, in milliseconds, as the kernel counts it in hundredths of a second.
    pub fn cpu_ms(&self) -> f64 {
        let stat = self
            .child
            .as_ref()
            .and_then(|child| std::fs::read_to_string(format!("/proc/{}/stat", child.id())).ok());
        let ticks = stat.and_then(|stat| {
            let words: Vec<f64> =
                stat.rsplit(") ").next()?.split(' ').filter_map(|word| word.parse().ok()).collect();
            // Behind the name and the state, which is no number: user and system time are the 11th and 12th.
            Some(words.get(10)? + words.get(11)?)
        });
        self.cpu_ms + ticks.unwrap_or(0.0) * 10.0
    }

    /// Kills it and starts it again.
    ///
    /// # Errors
    /// If it does not come up.
    pub fn kill_and_start(&mut self) -> io::Result<()> {
        self.kill()?;
        self.spawn()
    }

    /// Kills it; [`Aggregator::start_again`] has it come back.
    ///
    /// # Errors
    /// If it cannot be killed.
    pub fn kill(&mut self) -> io::Result<()> {
        self.cpu_ms = self.cpu_ms();
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
            has_ended(child.id());
        }
        Ok(())
    }

    /// Starts it where it was.
    ///
    /// # Errors
    /// If it does not come up.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.spawn()
    }

    /// Sends its process a signal, if there is one.
    ///
    /// # Errors
    /// If it cannot be sent.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        Command::new("kill").args(["-s", name, &child.id().to_string()]).status().map(drop)
    }

    /// Its process, which is no longer its own from here on.
    pub fn take_process(&mut self) -> Option<Child> {
        self.cpu_ms = self.cpu_ms();
        self.child.take()
    }

    /// Starts a further process, which takes over from the running one; that one is handed back.
    ///
    /// # Errors
    /// If it does not come up.
    pub fn succeed(&mut self) -> io::Result<Option<Child>> {
        let path = self.dir.join("config.json");
        let mut config: Value = serde_json::from_slice(&std::fs::read(&path)?)?;
        self.operator = free()?;
        config["operator"] = self.operator.to_string().into();
        std::fs::write(path, config.to_string())?;
        let old = self.take_process();
        self.spawn()?;
        Ok(old)
    }

    /// Its descriptors and the most memory it has had, in megabytes.
    pub fn usage(&self) -> Option<(usize, f64)> {
        let id = self.id()?;
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kilobytes: f64 = peak.split_whitespace().next()?.parse().ok()?;
        Some((descriptors, kilobytes / 1024.0))
    }

    /// Has it stand still, or go on.
    ///
    /// # Errors
    /// If it cannot be told.
    pub fn stop(&self, stopped: bool) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let signal = if stopped { "STOP" } else { "CONT" };
        Command::new("kill").args(["-s", signal, &child.id().to_string()]).status().map(drop)
    }

    /// Ends it in good order; says whether it did so by itself.
    ///
    /// # Errors
    /// If it cannot be told.
    pub fn end(&mut self) -> io::Result<bool> {
        self.cpu_ms = self.cpu_ms();
        let Some(mut child) = self.child.take() else { return Ok(false) };
        Command::new("kill").args(["-s", "TERM", &child.id().to_string()]).status()?;
        let ended = child.wait()?.success();
        has_ended(child.id());
        Ok(ended)
    }
}

impl Drop for Aggregator {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
            has_ended(child.id());
        }
    }
}
