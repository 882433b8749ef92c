//! The running process's side of the handover: it waits for a new process and hands over to it.

use std::cell::Cell;
use std::io;
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;

use super::link::{Lines, Link};
use super::{hear, speak, Process, Wire, Word, LIMIT, VERSION};
use crate::http::client::within;
use crate::log;

/// The time within which a new process must serve after it was sent the state.
const PATIENCE: Duration = Duration::from_secs(5);
/// The interval at which the new process is sent the resources in use here.
const TELL_EVERY: Duration = Duration::from_millis(100);
/// The pause after a failed accept, for example when no descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts new processes that want to take over, one after the other.
pub async fn wait(path: &Path, process: Rc<dyn Process>, wire: &Wire) {
    loop {
        let listener = match listen(path) {
            Ok(listener) => listener,
            Err(error) => {
                // The process serves clients all the same, but can then be replaced only by a restart.
                log::line(&format!("handover: disabled, cannot listen on {}: {error}", path.display()));
                return;
            }
        };
        let listener = Cell::new(Some(listener));
        while let Some(waiting) = listener.take() {
            let stream = waiting.accept().await;
            listener.set(Some(waiting));
            let stream = match stream {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::line(&format!("handover: accept failed: {error}"));
                    Timer::after(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let offered = match Link::new(stream) {
                Ok(link) => offer(&link, &*process, wire, &listener).await,
                Err(error) => Err(error),
            };
            let (Ok(why) | Err(why)) = &offered;
            log::ended("handover", None, why.kind().into(), why);
            if offered.is_err() {
                log::line("handover: failed, this process serves on");
            }
        }
        // The process that took over has ended.
        process.stand_up();
    }
}

/// Listens on a Unix socket. A file that exists at its path is stale: this process has asked any running process there
/// to hand over before.
fn listen(path: &Path) -> io::Result<Async<UnixListener>> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    Async::<UnixListener>::bind(path)
}

/// Hands over to a process that has connected and exchanges messages with it; returns how the connection ended, as an
/// `Err` if the new process never served. Once the new process serves, this one stops listening for further handovers:
/// the next process asks the new one.
async fn offer(
    link: &Link,
    process: &dyn Process,
    wire: &Wire,
    listener: &Cell<Option<Async<UnixListener>>>,
) -> io::Result<io::Error> {
    let mut lines = Lines::default();
    let hello = within(LIMIT, lines.next(link)).await?;
    let ours = matches!(&hello, Word::Hello { version: VERSION, name } if *name == process.name());
    let other = "the other process has another aggregator name or protocol version";
    let sockets = match process.sockets() {
        Some(sockets) if ours => sockets,
        sockets => {
            let (word, why) = match sockets {
                None if ours => (Word::Ending, "this process is shutting down"),
                _ => (Word::No(other.into()), other),
            };
            within(LIMIT, link.pass(&[])).await?;
            within(LIMIT, link.say(&word)).await?;
            return Err(io::Error::other(why));
        }
    };
    // The channel is opened before the state is captured, so that operators' calls made afterwards are sent behind it.
    let words = wire.open();
    let state = Word::State(Box::new(process.state()));
    within(LIMIT, link.pass(&sockets)).await?;
    within(LIMIT, link.say(&state)).await?;
    let serving = Cell::new(false);
    let heard = hear(link, &mut lines, process, || {
        serving.set(true);
        drop(listener.take());
        process.stand_down();
        log::line("handover: the new process serves");
    });
    let told = async {
        loop {
            Timer::after(TELL_EVERY).await;
            if serving.get() {
                wire.say(Word::Held(process.held()));
            }
        }
    };
    let impatient = async {
        Timer::after(PATIENCE).await;
        if serving.get() {
            future::pending().await
        }
        io::ErrorKind::TimedOut.into()
    };
    let why = future::or(heard, future::or(speak(link, &words), future::or(told, impatient))).await;
    if serving.get() {
        Ok(why)
    } else {
        Err(why)
    }
}
