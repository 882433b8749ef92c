//! A stand-in for discovery.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::{json, Value};

use super::{accept_connections, bind_socket, read_http, respond, Backends};

/// Starts a discovery service that serves the published lists.
pub fn start_discovery(backends: &Arc<Backends>) -> SocketAddr {
    start_discovery_on(bind_socket(), backends)
}

/// Like [`start_discovery`], on a socket to which callers may already have connected.
pub fn start_discovery_on(listener: TcpListener, backends: &Arc<Backends>) -> SocketAddr {
    let backends = backends.clone();
    accept_connections(listener, move |mut stream| {
        while let Ok((first, _, _)) = read_http(&mut stream) {
            let number = |name: &str| -> Option<usize> {
                first.split(name).nth(1)?.split(['&', ' ']).next()?.parse().ok()
            };
            let after = number("after=").unwrap_or(0);
            let wait = Duration::from_millis(number("wait_ms=").unwrap_or(0) as u64);
            let mut state = backends.state.lock().unwrap();
            state.discovery_calls += 1;
            state.watch_waits_ms.extend(number("wait_ms="));
            if state.discovery_hangs {
                drop(state);
                backends.changed.notify_all();
                // Blocks until the caller gives up.
                let _ = stream.read(&mut [0]);
                return;
            }
            if state.discovery_failures > 0 {
                state.discovery_failures -= 1;
                let broken = state.discovery_failures.is_multiple_of(2);
                drop(state);
                backends.changed.notify_all();
                if broken || respond(&mut stream, "503 Service Unavailable", "").is_err() {
                    return;
                }
                continue;
            }
            state.acknowledged_version = state.acknowledged_version.max(after);
            backends.changed.notify_all();
            let (state, _) = backends
                .changed
                .wait_timeout_while(state, wait, |state| state.list_versions.len() <= after)
                .unwrap();
            let changes: Vec<Value> = state.list_versions[after.min(state.list_versions.len())..]
                .iter()
                .flat_map(|v| v.as_array().unwrap().clone())
                .collect();
            let whole = !first.contains("after=") && !state.list_versions.is_empty();
            let body = json!({"index": state.list_versions.len().max(after), "snapshot": whole, "endpoints": changes});
            let delay = state.discovery_delay;
            drop(state);
            thread::sleep(delay);
            if respond(&mut stream, "200 OK", &body.to_string()).is_err() {
                return;
            }
        }
    })
}
