//! A stand-in for discovery, or for the agent to which lists are pushed: the whole list, and a watch on changes.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{read_message, Message};

/// The list: its version, and each line with the version at which it last changed.
#[derive(Default)]
struct State {
    index: u64,
    lines: Vec<(u64, String, String)>,
}

/// A running stand-in.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// Returns a line of the list.
pub fn line(name: &str, address: SocketAddr, zone: &str, group: usize, status: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"type\":\"small-2c\",\
         \"group\":{group},\"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0}}"
    )
}

impl Discovery {
    /// Starts a stand-in without any line.
    pub fn start() -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let served = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = served.clone();
                thread::spawn(move || {
                    let _ = serve(stream, &state);
                });
            }
        });
        Ok(Discovery { address, state })
    }

    /// Adds or replaces the line of a run store.
    pub fn put(&self, name: &str, line: String) {
        let (state, changed) = &*self.state;
        if let Ok(mut state) = state.lock() {
            state.index += 1;
            let index = state.index;
            state.lines.retain(|(_, known, _)| known != name);
            state.lines.push((index, name.to_string(), line));
            changed.notify_all();
        }
    }
}

fn parameter(target: &str, name: &str) -> Option<u64> {
    let query = target.split_once('?')?.1;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

fn serve(mut stream: TcpStream, shared: &(Mutex<State>, Condvar)) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    loop {
        let Message { first, .. } = read_message(&mut stream, &mut buffer)?;
        let target = first.split(' ').nth(1).unwrap_or("");
        let (state, changed) = shared;
        let state = state.lock().map_err(|_| io::ErrorKind::Other)?;
        let after = parameter(target, "after");
        let state = match after {
            Some(after) => {
                let wait = Duration::from_millis(parameter(target, "wait_ms").unwrap_or(0).min(60_000));
                let waited = changed.wait_timeout_while(state, wait, |state| state.index <= after);
                waited.map_err(|_| io::ErrorKind::Other)?.0
            }
            None => state,
        };
        let lines: Vec<&str> = state
            .lines
            .iter()
            .filter(|(index, ..)| after.is_none_or(|after| *index > after))
            .map(|(_, _, line)| line.as_str())
            .collect();
        let body = format!(
            "{{\"index\":{},\"snapshot\":{},\"endpoints\":[{}]}}",
            state.index,
            after.is_none(),
            lines.join(",")
        );
        drop(state);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes())?;
    }
}
