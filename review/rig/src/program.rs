//! Starts the program with the `run` command of the deploy file, in a folder of its own.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::Client;
use crate::record::quit;

pub struct Program {
    pub address: SocketAddr,
    pub folder: PathBuf,
    child: Child,
}

/// The process that runs, or 0.
static RUNNING: AtomicU32 = AtomicU32::new(0);

/// Kills the process that still runs, where the case ends early.
pub fn kill_running() {
    let id = RUNNING.swap(0, Ordering::SeqCst);
    if id != 0 {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {id}")]).status();
    }
}

/// Returns a loopback address whose port is free at this moment. It lies below the ports that the system gives to
/// connections, so that none of these takes it before the program listens.
fn free_address() -> SocketAddr {
    let first = 20_000 + (std::process::id() % 10_000) as u16;
    (first..first + 500)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .find(|address| TcpListener::bind(address).is_ok())
        .unwrap_or_else(|| quit("no port is free"))
}

/// Returns the value of `run` in the deploy file.
fn run_command(root: &Path) -> String {
    let text =
        fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_else(|why| quit(&why.to_string()));
    let line =
        text.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap_or_else(|| quit("no run command"));
    line.split('"').next().unwrap().to_string()
}

impl Program {
    /// Starts the program and waits until its health check says yes. `config` gets the address for clients.
    pub fn start(root: &Path, config: impl Fn(SocketAddr) -> String) -> Self {
        let folder = std::env::temp_dir().join(format!("ironpaddle-review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|why| quit(&why.to_string()));
        let address = free_address();
        let path = folder.join("config.json");
        fs::write(&path, config(address)).unwrap();
        let log = fs::File::create(folder.join("log.txt")).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command(root)])
            .current_dir(root)
            .env("GW_CONFIG", &path)
            .env("GW_NAME", "n1")
            .env("GW_LISTEN", address.to_string())
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|why| quit(&why.to_string()));
        RUNNING.store(child.id(), Ordering::SeqCst);
        let mut program = Program { address, folder, child };
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if program.has_ended() {
                eprintln!("{}", program.log());
                quit("the program ended at its start");
            }
            let healthy = Client::connect(address)
                .and_then(|mut client| client.exchange("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"))
                .is_ok_and(|answer| answer.status == 200);
            if healthy {
                return program;
            }
            sleep(Duration::from_millis(50));
        }
        eprintln!("{}", program.log());
        program.kill();
        quit("the program is not ready after 20 s")
    }

    pub fn write_config(&self, text: &str) {
        // As a whole or not at all: written beside the file and moved.
        let new = self.folder.join("config.new");
        fs::write(&new, text).unwrap();
        fs::rename(new, self.folder.join("config.json")).unwrap();
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }

    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("/bin/sh").args(["-c", &command]).status();
    }

    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.try_wait().is_ok_and(|ended| ended.is_some());
        if ended {
            RUNNING.store(0, Ordering::SeqCst);
        }
        ended
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.store(0, Ordering::SeqCst);
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
