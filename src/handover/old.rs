//! The running process: it waits for one that takes over, and hands over to it.

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

/// The time in which one that was given all has to serve.
const PATIENCE: Duration = Duration::from_secs(5);
/// How often it is told what this process still holds.
const TELL_EVERY: Duration = Duration::from_millis(100);
/// The wait after an accept that failed, for want of descriptors for example.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Waits for processes that take over, one after the other.
pub async fn wait(path: &Path, process: Rc<dyn Process>, wire: &Wire) {
    loop {
        let listener = match listen(path) {
            Ok(listener) => listener,
            Err(error) => {
                // It serves all the same; a new version then needs a restart.
                log::line(&format!("handover: none can take over: {}: {error}", path.display()));
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
        // The one that took over is gone.
        process.stand_up();
    }
}

/// A socket at a path. What is there already is stale: a running process would have been asked.
fn listen(path: &Path) -> io::Result<Async<UnixListener>> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    Async::<UnixListener>::bind(path)
}

/// Hands over to a process that asks, and stays in step with it; says how that ended. Once it serves, this process
/// listens here no longer: the next one asks that one.
async fn offer(
    link: &Link,
    process: &dyn Process,
    wire: &Wire,
    listener: &Cell<Option<Async<UnixListener>>>,
) -> io::Result<io::Error> {
    let mut lines = Lines::default();
    let hello = within(LIMIT, lines.next(link)).await?;
    let ours = matches!(&hello, Word::Hello { version: VERSION, name } if *name == process.name());
    let other = "it is another aggregator, or of a version that speaks otherwise";
    let sockets = match process.sockets() {
        Some(sockets) if ours => sockets,
        sockets => {
            let (word, why) = match sockets {
                None if ours => (Word::Ending, "this process is to end"),
                _ => (Word::No(other.into()), other),
            };
            within(LIMIT, link.pass(&[])).await?;
            within(LIMIT, link.say(&word)).await?;
            return Err(io::Error::other(why));
        }
    };
    // What is called for from here on is told there, in order, behind the state of this moment.
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
