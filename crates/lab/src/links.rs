//! TCP proxies on loopback between two processes, which can be cut, delayed and reset while they run.
//!
//! A cut link still accepts connections and keeps open ones open, but forwards nothing, as in a network partition. Held
//! bytes are forwarded when the cut ends.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How a link treats the bytes that it forwards.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Conditions {
    /// Whether bytes are held: towards the target, and back from it.
    pub cut: [bool; 2],
    /// Added delay, in milliseconds.
    pub delay_ms: f64,
}

#[derive(Default)]
struct State {
    conditions: Conditions,
    /// Both ends of each open connection, by its number.
    open: BTreeMap<u64, [TcpStream; 2]>,
    next_no: u64,
}

/// A proxy in front of one address.
#[derive(Default)]
pub struct Link {
    state: Mutex<State>,
    changed: Condvar,
}

impl Link {
    /// Starts a link to `to` and returns the address at which it accepts connections. Calls `known` with the local
    /// address of each connection to `to` before any byte is forwarded.
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn start(
        to: SocketAddr,
        on_connect: impl Fn(SocketAddr) + Send + Sync + 'static,
    ) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let link = Arc::new(Link::default());
        let (serving, on_connect) = (link.clone(), Arc::new(on_connect));
        thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                let (link, on_connect) = (serving.clone(), on_connect.clone());
                // An error here means that one side closed the connection.
                thread::spawn(move || drop(link.forward_connection(&near, to, &*on_connect)));
            }
        });
        Ok((link, address))
    }

    fn with_state<T>(&self, update: impl FnOnce(&mut State) -> T) -> T {
        update(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets how bytes are treated from now on.
    pub fn set_conditions(&self, conditions: Conditions) {
        self.with_state(|state| state.conditions = conditions);
        self.changed.notify_all();
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        for stream in self.with_state(|state| std::mem::take(&mut state.open)).into_values().flatten() {
            // The connection may have ended already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn forward_connection(
        self: &Arc<Self>,
        near: &TcpStream,
        to: SocketAddr,
        on_connect: &dyn Fn(SocketAddr),
    ) -> io::Result<()> {
        self.wait_while_cut(0);
        let far = TcpStream::connect(to);
        let Ok(far) = far else { return near.shutdown(Shutdown::Both) };
        on_connect(far.local_addr()?);
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let both = [near.try_clone()?, far.try_clone()?];
        let no = self.with_state(|state| {
            state.next_no += 1;
            state.open.insert(state.next_no, both);
            state.next_no
        });
        let (link, back) = (self.clone(), (far.try_clone()?, near.try_clone()?));
        let returning = thread::spawn(move || link.forward(1, &back.0, &back.1));
        self.forward(0, near, &far);
        let _ = returning.join();
        self.with_state(|state| drop(state.open.remove(&no)));
        Ok(())
    }

    /// Waits while the direction is cut and returns the delay in milliseconds.
    fn wait_while_cut(&self, direction: usize) -> f64 {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self.changed.wait_while(state, |state| state.conditions.cut[direction]);
        waited.unwrap_or_else(PoisonError::into_inner).conditions.delay_ms
    }

    fn forward(&self, direction: usize, mut from: &TcpStream, mut to: &TcpStream) {
        let mut bytes = [0; 16_384];
        while let Ok(count @ 1..) = from.read(&mut bytes) {
            let delay = self.wait_while_cut(direction);
            if delay > 0.0 {
                thread::sleep(Duration::from_secs_f64(delay / 1000.0));
                // The link may have been cut during the delay.
                self.wait_while_cut(direction);
            }
            if to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        self.wait_while_cut(direction);
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}

#[cfg(test)]
mod tests;
