//! Starts the program under review with the command of the deploy file, and ends it.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// The ports that aggregators listen on.
const FIRST_PORT: u16 = 14_000;
const PORTS: u16 = 12_000;

/// A running aggregator.
pub struct Aggregator {
    name: String,
    pub child: Child,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
    folder: PathBuf,
    log_file: PathBuf,
}

/// Returns an address on loopback with a free port, below the ports that the system gives to connections.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    for _ in 0..PORTS {
        let offset =
            (std::process::id() as u16).wrapping_mul(97).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset % PORTS));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Returns the value of `run` in the deploy file.
fn run_command(root: &Path) -> io::Result<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run")?.trim_start().strip_prefix('='));
    let quoted = line.and_then(|line| line.split('"').nth(1));
    quoted.map(str::to_string).ok_or_else(|| io::Error::other("the deploy file names no run command"))
}

impl Aggregator {
    /// Starts an aggregator. `rest` holds the keys of the configuration beside name, addresses and seed.
    pub fn start(root: &Path, name: &str, rest: &str) -> io::Result<Aggregator> {
        let folder = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Aggregator::spawn(root, name, rest, free_address()?, folder, 1)
    }

    /// Starts a further process of this aggregator, with the same addresses but a new second one, and the same `$TMPDIR`.
    pub fn start_successor(&self, root: &Path, rest: &str, number: u32) -> io::Result<Aggregator> {
        Aggregator::spawn(root, &self.name, rest, self.listen, self.folder.clone(), number)
    }

    fn spawn(
        root: &Path,
        name: &str,
        rest: &str,
        listen: SocketAddr,
        folder: PathBuf,
        number: u32,
    ) -> io::Result<Aggregator> {
        let operator = free_address()?;
        let config = folder.join(format!("config-{number}.json"));
        let text = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"operator\":\"{operator}\",\"seed\":\"8c1f30d27a5be964\",{rest}}}"
        );
        fs::write(&config, text)?;
        let log_file = folder.join(format!("log-{number}.txt"));
        let log = fs::File::create(&log_file)?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command(root)?])
            .current_dir(root)
            .env("GW_NAME", name)
            .env("GW_LISTEN", listen.to_string())
            .env("GW_OPERATOR", operator.to_string())
            .env("GW_CONFIG", &config)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Aggregator { name: name.to_string(), child, listen, operator, folder, log_file })
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        let _ = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
    }

    /// Sends SIGKILL to the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the last line that the process wrote.
    pub fn last_log_line(&self) -> String {
        let text = fs::read_to_string(&self.log_file).unwrap_or_default();
        text.lines().last().unwrap_or("").to_string()
    }

    /// Returns the resident memory of the process in kB, or `None` if it has ended.
    pub fn resident_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?.split_whitespace().next()?.parse().ok()
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Aggregator {
    /// Ends the process, and removes its folder.
    fn drop(&mut self) {
        if self.child.try_wait().ok().flatten().is_none() {
            self.terminate();
            let end = Instant::now() + Duration::from_secs(5);
            while Instant::now() < end && self.child.try_wait().ok().flatten().is_none() {
                std::thread::sleep(Duration::from_millis(20));
            }
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
