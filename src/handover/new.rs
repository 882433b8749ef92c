//! The new process's side of the handover: it takes over from a running process, if there is one.

use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

use async_io::Async;
use futures_lite::future;

use super::link::{LineReader, Link};
use super::{receive_messages, send_messages, HandoverState, Message, PeerSender, Process, PROTOCOL_VERSION};
use crate::http::client::within;
use crate::log;

/// The timeout for connecting to the running process, and for its handover. Calls to the new process wait meanwhile.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// The state and sockets that a running process has handed over, and the connection to it.
pub struct Takeover {
    /// Its state.
    pub state: HandoverState,
    /// Its listening sockets.
    pub sockets: Vec<OwnedFd>,
    /// The connection to it.
    pub old_process: OldProcess,
}

/// The connection to the process that has handed over.
pub struct OldProcess {
    link: Link,
    lines: LineReader,
    accepts_query_ids: bool,
}

/// Asks the running process of an aggregator to hand over; `None` if its socket shows that none runs.
///
/// # Errors
/// Returns an error if a process runs and does not hand over. It continues to serve, and the new process must not start
/// while it does.
pub async fn take_over(path: &Path, name: &str) -> Result<Option<Takeover>, String> {
    let failed = |error: io::Error| format!("the running process does not hand over: {error}");
    let stream = match within(HANDOVER_TIMEOUT, Async::<UnixStream>::connect(path)).await {
        Ok(stream) => stream,
        // No socket, or a stale one.
        Err(error) if matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => {
            return Ok(None)
        }
        // The path is too long for a socket, so no process can listen there.
        Err(error) if error.kind() == io::ErrorKind::InvalidInput => return Ok(None),
        Err(error) => return Err(failed(error)),
    };
    let link = Link::new(stream).map_err(failed)?;
    let handover = async {
        let hello =
            Message::Hello { version: PROTOCOL_VERSION, name: name.to_string(), accepts_query_ids: true };
        link.send(&hello).await?;
        let sockets = link.receive_sockets().await?;
        let mut lines = LineReader::default();
        Ok((sockets, lines.next_message(&link).await?, lines))
    };
    match within(HANDOVER_TIMEOUT, handover).await.map_err(failed)? {
        (sockets, Message::State(state), lines) => {
            let accepts_query_ids = state.takeover_state.query_ids.is_some();
            let old_process = OldProcess { link, lines, accepts_query_ids };
            Ok(Some(Takeover { state: *state, sockets, old_process }))
        }
        (_, Message::ShuttingDown, _) => Ok(None),
        (_, Message::Refused(why), _) => Err(format!("the running process does not hand over: {why}")),
        _ => Err("the running process does not hand over: unexpected message".into()),
    }
}

/// Reports that this process serves, and exchanges messages with the old process until that has ended.
pub async fn follow(old_process: OldProcess, process: &dyn Process, peer: &PeerSender) {
    let OldProcess { link, mut lines, accepts_query_ids } = old_process;
    let messages = peer.open(accepts_query_ids);
    peer.send(Message::Serving);
    let why =
        future::or(receive_messages(&link, &mut lines, process, || {}), send_messages(&link, &messages))
            .await;
    log::ended("handover", None, why.kind().into(), why);
    process.reserve_for_peer(None);
    log::line("handover: the old process is gone");
}
