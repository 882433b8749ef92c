//! Hands over from a running process of this aggregator to a new one, under load.
//!
//! The old process listens on a Unix socket in `$TMPDIR`. The new process connects to it and receives the listening
//! sockets and the state that belongs to the aggregator as a whole: the list of run stores, manual drains, and what the
//! router has learned. It reports when it serves; from then on the old process accepts no connections and only finishes
//! its open queries. While both run, they forward operators' manual drains to each other, and the old process reports
//! its share of the limits that apply to both together.

pub mod link;
pub mod new;
pub mod old;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use serde::{Deserialize, Serialize};

use crate::api::{Millis, ReplicaId};
use crate::core::takeover::TakeoverState;
use crate::directory::list::List;
use crate::http::client::within;
use crate::query_ids::IdHash;
use crate::store::Entry;
use link::{LineReader, Link};

/// The version of the handover protocol. Processes of different versions do not hand over.
const PROTOCOL_VERSION: u32 = 1;
/// The timeout for sending or receiving one message or the sockets between two processes on one machine.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// The state that the new process receives, apart from the sockets.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename = "State")]
pub struct HandoverState {
    /// The current list of run stores, with its version at the discovery service that `discovery` names.
    pub list: List,
    /// The address of the discovery service that `list` came from.
    pub discovery: Option<SocketAddr>,
    /// The state of the core.
    #[serde(rename = "legacy")]
    pub takeover_state: TakeoverState,
    /// The time on the old process's clock, to which all times in this state refer. `None` from an older version.
    #[serde(default)]
    pub now: Option<Millis>,
    /// Whether an operator has closed the gate to clients.
    #[serde(rename = "shut")]
    pub shut_by_operator: bool,
    /// Whether the trace recording was on. `None` from an older version.
    #[serde(default)]
    pub recording: Option<bool>,
    /// The entries of the replicated store.
    pub entries: Vec<Entry>,
    /// The resources that the old process uses at this time.
    pub held: HeldResources,
}

/// The resources that a process uses, out of limits that apply to both processes together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Held")]
pub struct HeldResources {
    /// The number of open queries and parts.
    pub open: usize,
    /// The number of open file descriptors.
    pub descriptors: usize,
}

/// A message between two processes, sent as one line of JSON.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename = "Word", rename_all = "snake_case")]
pub enum Message {
    /// The new process asks for the handover.
    Hello {
        /// The version of its handover protocol.
        version: u32,
        /// The aggregator's name.
        name: String,
        /// Whether the new process can be sent [`Message::QueryId`].
        #[serde(default)]
        accepts_query_ids: bool,
    },
    /// The old process is shutting down and no longer accepts connections, so there is nothing to hand over.
    #[serde(rename = "ending")]
    ShuttingDown,
    /// The old process refuses to hand over, for this reason.
    #[serde(rename = "no")]
    Refused(String),
    /// The old process hands over this state.
    State(Box<HandoverState>),
    /// The new process serves clients.
    Serving,
    /// The sending process has accepted a query with this id. Not sent to processes of older versions, which would end
    /// the handover.
    QueryId(IdHash),
    /// The old process uses these resources.
    #[serde(rename = "held")]
    Resources(HeldResources),
    /// An operator has drained a run store through the sending process.
    #[serde(rename = "out")]
    DrainRunStore(ReplicaId),
    /// An operator has ended the manual drain of a run store through the sending process, at this time.
    #[serde(rename = "back")]
    UndrainRunStore(ReplicaId, Millis),
}

/// The operations of the running program that the handover needs.
pub trait Process {
    /// Returns the aggregator's name.
    fn name(&self) -> String;
    /// Returns copies of the listening sockets, that for clients first; `None` if the process no longer accepts.
    fn sockets(&self) -> Option<Vec<OwnedFd>>;
    /// Returns the state for the new process.
    fn state(&self) -> HandoverState;
    /// Returns the resources in use.
    fn held(&self) -> HeldResources;
    /// Stops accepting connections and finishes open queries, as the new process serves.
    fn stop_accepting(&self);
    /// Accepts connections again, as the new process has ended. Does nothing if this process is shutting down.
    fn resume_accepting(&self);
    /// Applies a manual drain (`out`), or its end, that an operator requested from the other process at the time `at`.
    fn apply_manual_drain(&self, at: Millis, id: &ReplicaId, out: bool);
    /// Remembers the id of a query that the other process has accepted.
    fn remember_query_id(&self, id: IdHash);
    /// Leaves room, under the shared limits, for the resources of the other process; `None` once that has ended.
    fn reserve_for_peer(&self, held: Option<HeldResources>);
}

/// Returns the path of the Unix socket on which the running process of an aggregator listens.
pub fn socket_path(name: &str) -> PathBuf {
    let to_file_name_char =
        |c: char| if c.is_ascii_alphanumeric() || matches!(c, '-' | '.') { c } else { '_' };
    let name: String = name.chars().map(to_file_name_char).collect();
    std::env::temp_dir().join(format!("ironpaddle-{name}.sock"))
}

/// Sends messages to the other process of a handover, while there is one.
#[derive(Default)]
pub struct PeerSender {
    messages: RefCell<Option<Sender<Message>>>,
    accepts_query_ids: Cell<bool>,
}

impl PeerSender {
    /// Connects the sender to a new channel and returns its receiver. `accepts_query_ids` states whether the other process
    /// can be sent [`Message::QueryId`].
    fn open(&self, accepts_query_ids: bool) -> Receiver<Message> {
        let (sender, receiver) = async_channel::unbounded();
        *self.messages.borrow_mut() = Some(sender);
        self.accepts_query_ids.set(accepts_query_ids);
        receiver
    }

    /// Queues the id of a query that this process has accepted, if there is another process that can be told.
    pub fn send_query_id(&self, id: IdHash) {
        if self.accepts_query_ids.get() {
            self.send(Message::QueryId(id));
        }
    }

    /// Queues a message for the other process, if there is one.
    pub fn send(&self, message: Message) {
        if let Some(sender) = &*self.messages.borrow() {
            // A failure means that the other process has ended.
            let _ = sender.try_send(message);
        }
    }
}

/// Sends queued messages until one cannot be sent, and returns the error.
async fn send_messages(link: &Link, messages: &Receiver<Message>) -> io::Error {
    while let Ok(message) = messages.recv().await {
        if let Err(error) = within(MESSAGE_TIMEOUT, link.send(&message)).await {
            return error;
        }
    }
    future::pending().await
}

/// Receives and handles messages of the other process until that fails, and returns the error. Calls `serving` when the
/// new process reports that it serves.
async fn receive_messages(
    link: &Link,
    lines: &mut LineReader,
    process: &dyn Process,
    mut serving: impl FnMut(),
) -> io::Error {
    loop {
        let message = match lines.next_message(link).await {
            Ok(message) => message,
            Err(error) => return error,
        };
        match message {
            Message::DrainRunStore(id) => process.apply_manual_drain(0.0, &id, true),
            Message::UndrainRunStore(id, at) => process.apply_manual_drain(at, &id, false),
            Message::QueryId(id) => process.remember_query_id(id),
            Message::Resources(held) => process.reserve_for_peer(Some(held)),
            Message::Serving => serving(),
            Message::Hello { .. } | Message::ShuttingDown | Message::Refused(_) | Message::State(_) => {
                return io::Error::new(io::ErrorKind::InvalidData, "unexpected message");
            }
        }
    }
}
