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
pub struct Weather {
    /// Whether bytes are held: towards the target, and back from it.
    pub cut: [bool; 2],
    /// Added delay, in milliseconds.
    pub delay_ms: f64,
}

#[derive(Default)]
struct State {
    weather: Weather,
    /// Both ends of each open connection, by its number.
    open: BTreeMap<u64, [TcpStream; 2]>,
    next: u64,
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
        known: impl Fn(SocketAddr) + Send + Sync + 'static,
    ) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let link = Arc::new(Link::default());
        let (serving, known) = (link.clone(), Arc::new(known));
        thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                let (link, known) = (serving.clone(), known.clone());
                // An error here means that one side closed the connection.
                thread::spawn(move || drop(link.join(&near, to, &*known)));
            }
        });
        Ok((link, address))
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets how bytes are treated from now on.
    pub fn turn(&self, weather: Weather) {
        self.with(|state| state.weather = weather);
        self.changed.notify_all();
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        for stream in self.with(|state| std::mem::take(&mut state.open)).into_values().flatten() {
            // The connection may have ended already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn join(
        self: &Arc<Self>,
        near: &TcpStream,
        to: SocketAddr,
        known: &dyn Fn(SocketAddr),
    ) -> io::Result<()> {
        self.wait(0);
        let far = TcpStream::connect(to);
        let Ok(far) = far else { return near.shutdown(Shutdown::Both) };
        known(far.local_addr()?);
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let both = [near.try_clone()?, far.try_clone()?];
        let no = self.with(|state| {
            state.next += 1;
            state.open.insert(state.next, both);
            state.next
        });
        let (link, back) = (self.clone(), (far.try_clone()?, near.try_clone()?));
        let returning = thread::spawn(move || link.pass(1, &back.0, &back.1));
        self.pass(0, near, &far);
        let _ = returning.join();
        self.with(|state| drop(state.open.remove(&no)));
        Ok(())
    }

    /// Waits while the direction is cut and returns the delay in milliseconds.
    fn wait(&self, way: usize) -> f64 {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self.changed.wait_while(state, |state| state.weather.cut[way]);
        waited.unwrap_or_else(PoisonError::into_inner).weather.delay_ms
    }

    fn pass(&self, way: usize, mut from: &TcpStream, mut to: &TcpStream) {
        let mut bytes = [0; 16_384];
        while let Ok(count @ 1..) = from.read(&mut bytes) {
            let delay = self.wait(way);
            if delay > 0.0 {
                thread::sleep(Duration::from_secs_f64(delay / 1000.0));
                // The link may have been cut during the delay.
                self.wait(way);
            }
            if to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        self.wait(way);
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}

#[cfg(test)]
mod tests;
