//! The running process's side of the handover: it waits for a new process and hands over to it.

use std::cell::Cell;
use std::io;
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;

use super::link::{LineReader, Link};
use super::{
    receive_messages, send_messages, Message, PeerSender, Process, MESSAGE_TIMEOUT, PROTOCOL_VERSION,
};
use crate::http::client::within;
use crate::log;

/// The time within which a new process must serve after it was sent the state.
const SERVING_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which the new process is sent the resources in use here.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// The pause after a failed accept, for example when no descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts new processes that want to take over, one after the other.
pub async fn serve_handovers(path: &Path, process: Rc<dyn Process>, peer: &PeerSender) {
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
        while let Some(accepting) = listener.take() {
            let stream = accepting.accept().await;
            listener.set(Some(accepting));
            let stream = match stream {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::line(&format!("handover: accept failed: {error}"));
                    Timer::after(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let result = match Link::new(stream) {
                Ok(link) => hand_over(&link, &*process, peer, &listener).await,
                Err(error) => Err(error),
            };
            let (Ok(why) | Err(why)) = &result;
            log::ended("handover", None, why.kind().into(), why);
            if result.is_err() {
                log::line("handover: failed, this process was not replaced");
            }
        }
        // The process that took over has ended.
        process.resume_accepting();
    }
}

/// Listens on a Unix socket. A file that exists at its path is stale, as this process has already asked any running
/// process there to hand over.
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
async fn hand_over(
    link: &Link,
    process: &dyn Process,
    peer: &PeerSender,
    listener: &Cell<Option<Async<UnixListener>>>,
) -> io::Result<io::Error> {
    let mut lines = LineReader::default();
    let hello = within(MESSAGE_TIMEOUT, lines.next_message(link)).await?;
    let is_compatible =
        matches!(&hello, Message::Hello { version: PROTOCOL_VERSION, name, .. } if *name == process.name());
    let accepts_query_ids = matches!(hello, Message::Hello { accepts_query_ids: true, .. });
    let mismatch = "the other process has another aggregator name or protocol version";
    let sockets = match process.sockets() {
        Some(sockets) if is_compatible => sockets,
        sockets => {
            let (message, why) = match sockets {
                None if is_compatible => (Message::ShuttingDown, "this process is shutting down"),
                _ => (Message::Refused(mismatch.into()), mismatch),
            };
            within(MESSAGE_TIMEOUT, link.send_sockets(&[])).await?;
            within(MESSAGE_TIMEOUT, link.send(&message)).await?;
            return Err(io::Error::other(why));
        }
    };
    // The channel is opened before the state is captured, so that operators' calls made afterwards are sent behind it.
    let messages = peer.open(accepts_query_ids);
    let state = Message::State(Box::new(process.state()));
    within(MESSAGE_TIMEOUT, link.send_sockets(&sockets)).await?;
    within(MESSAGE_TIMEOUT, link.send(&state)).await?;
    let serving = Cell::new(false);
    let received = receive_messages(link, &mut lines, process, || {
        serving.set(true);
        drop(listener.take());
        process.stop_accepting();
        log::line("handover: the new process serves");
    });
    let report_resources = async {
        loop {
            Timer::after(REPORT_INTERVAL).await;
            if serving.get() {
                peer.send(Message::Resources(process.held()));
            }
        }
    };
    let timed_out = async {
        Timer::after(SERVING_TIMEOUT).await;
        if serving.get() {
            future::pending().await
        }
        io::ErrorKind::TimedOut.into()
    };
    let why = future::or(
        received,
        future::or(send_messages(link, &messages), future::or(report_resources, timed_out)),
    )
    .await;
    if serving.get() {
        Ok(why)
    } else {
        Err(why)
    }
}
