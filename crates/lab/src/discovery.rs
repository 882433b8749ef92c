//! Discovery service on loopback: serves the list of run stores, whole or as changes after an index.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{json, Value};

use crate::stores::read_message;

/// How the service answers requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Mode {
    /// Correctly.
    #[default]
    Sound,
    /// Not at all: requests hang.
    Silent,
    /// With status 503.
    Busy,
    /// Correctly, after a delay in milliseconds.
    Slow(u64),
    /// Always with the whole list, without run stores that drain.
    Whole,
}

#[derive(Default)]
struct State {
    mode: Mode,
    /// The entries, each with the index of its last change.
    entries: Vec<(u64, Value)>,
    index: u64,
}

/// The discovery service.
#[derive(Default)]
pub struct Discovery {
    state: Mutex<State>,
    changed: Condvar,
}

impl Discovery {
    /// Starts the service and returns its address.
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let discovery = Arc::new(Discovery::default());
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let serving = serving.clone();
                // An error here means that the peer closed the connection.
                thread::spawn(move || drop(serving.serve(&stream)));
            }
        });
        Ok((discovery, address))
    }

    /// Sets how requests are answered, and wakes the waiting ones.
    pub fn set_mode(&self, mode: Mode) {
        if let Ok(mut state) = self.state.lock() {
            state.mode = mode;
        }
        self.changed.notify_all();
    }

    /// Adds an entry, or replaces the entry of the same name.
    pub fn publish(&self, entry: Value) {
        if let Ok(mut state) = self.state.lock() {
            state.index += 1;
            let index = state.index;
            state.entries.retain(|(_, known)| known["name"] != entry["name"]);
            state.entries.push((index, entry));
        }
        self.changed.notify_all();
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        let mut read = BufReader::new(stream);
        let mut write = stream.try_clone()?;
        while let Some((first, _, _)) = read_message(&mut read)? {
            let number = |name: &str| -> Option<u64> {
                first.split(name).nth(1)?.split(['&', ' ']).next()?.parse().ok()
            };
            let (after, wait) = (number("after="), number("wait_ms=").unwrap_or(0).min(60_000));
            let Ok(state) = self.state.lock() else { return Ok(()) };
            let initial_mode = state.mode;
            let waited = self.changed.wait_timeout_while(state, Duration::from_millis(wait), |state| {
                state.mode == initial_mode && after.is_some_and(|after| state.index <= after)
            });
            let Ok((state, _)) = waited else { return Ok(()) };
            let mode = state.mode;
            if mode == Mode::Silent {
                // A hanging request gets its connection closed when the service leaves the silent mode.
                let hung = self.changed.wait_while(state, |state| state.mode == Mode::Silent);
                drop(hung);
                return Ok(());
            }
            let whole = after.is_none() || mode == Mode::Whole;
            let newer = |(at, _): &&(u64, Value)| whole || after.is_none_or(|after| *at > after);
            let listed = |(_, entry): &&(u64, Value)| mode != Mode::Whole || entry["status"] == "ready";
            let entries: Vec<&Value> =
                state.entries.iter().filter(newer).filter(listed).map(|(_, entry)| entry).collect();
            let body = json!({"index": state.index, "snapshot": whole, "endpoints": entries}).to_string();
            drop(state);
            if mode == Mode::Busy {
                write.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            if let Mode::Slow(millis) = mode {
                thread::sleep(Duration::from_millis(millis));
            }
            write.write_all(
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
                .as_bytes(),
            )?;
        }
        Ok(())
    }
}
