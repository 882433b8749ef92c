//! Discovery on loopback: the list of run stores, asked whole or watched for changes.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{json, Value};

use crate::stores::read_message;

#[derive(Default)]
struct State {
    /// All lines, and the version at which each was changed last.
    lines: Vec<(u64, Value)>,
    index: u64,
}

/// The service.
#[derive(Default)]
pub struct Discovery {
    state: Mutex<State>,
    changed: Condvar,
}

impl Discovery {
    /// Starts it; says where it listens.
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
                // A caller that leaves is no matter of discovery's.
                thread::spawn(move || drop(serving.serve(&stream)));
            }
        });
        Ok((discovery, address))
    }

    /// Tells a line, new or changed.
    pub fn tell(&self, line: Value) {
        if let Ok(mut state) = self.state.lock() {
            state.index += 1;
            let index = state.index;
            state.lines.retain(|(_, known)| known["name"] != line["name"]);
            state.lines.push((index, line));
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
            let waited = self.changed.wait_timeout_while(state, Duration::from_millis(wait), |state| {
                after.is_some_and(|after| state.index <= after)
            });
            let Ok((state, _)) = waited else { return Ok(()) };
            let newer = |(at, _): &&(u64, Value)| after.is_none_or(|after| *at > after);
            let lines: Vec<&Value> = state.lines.iter().filter(newer).map(|(_, line)| line).collect();
            let body =
                json!({"index": state.index, "snapshot": after.is_none(), "endpoints": lines}).to_string();
            drop(state);
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
