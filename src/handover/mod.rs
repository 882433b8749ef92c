//! From an old process of this aggregator to a new one, under load.
//!
//! The old one listens on a Unix socket in `$TMPDIR`. The new one finds it there and is given the listening sockets
//! and what the rules see as one aggregator's: the list, what operators have said, what the router learned. Once it
//! serves it says so; from then on the old one accepts no more and only ends what it has. Until one of them is gone
//! both tell each other what operators call for, and the old one tells what it holds of the limits that they share.

pub mod link;
pub mod new;
pub mod old;

use std::cell::RefCell;
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
use crate::store::Entry;
use link::{Lines, Link};

/// The version of what is said here. Processes of different versions do not hand over.
const VERSION: u32 = 1;
/// How long one thing may take to be said or to come, between two processes on one machine.
const LIMIT: Duration = Duration::from_secs(1);

/// All that the new process is given, beside the sockets.
#[derive(Debug, Serialize, Deserialize)]
pub struct State {
    /// The list as last told, with its version at the discovery service of this address.
    pub list: List,
    /// See `list`.
    pub discovery: Option<SocketAddr>,
    /// What the core leaves.
    #[serde(rename = "legacy")]
    pub takeover_state: TakeoverState,
    /// What the old process's clock shows, by which all times in this count; one of an older version does not say.
    #[serde(default)]
    pub now: Option<Millis>,
    /// Whether operators want no clients.
    pub shut: bool,
    /// Whether it was recording; a process of an older version does not say.
    #[serde(default)]
    pub recording: Option<bool>,
    /// What the replicated store holds.
    pub entries: Vec<Entry>,
    /// What the old process holds by now.
    pub held: Held,
}

/// What a process holds of the limits that both share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Queries and parts.
    pub open: usize,
    /// Descriptors.
    pub descriptors: usize,
}

/// What two processes say to each other, a line of JSON each.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Word {
    /// The new one asks.
    Hello {
        /// What it speaks.
        version: u32,
        /// The aggregator's name.
        name: String,
    },
    /// The old one accepts no more, as it is to end: there is nothing to hand over.
    Ending,
    /// The old one does not hand over.
    No(String),
    /// The old one hands over.
    State(Box<State>),
    /// The new one serves.
    Serving,
    /// The old one holds this.
    Held(Held),
    /// Either was told that a run store is out.
    Out(ReplicaId),
    /// Either was told, at that time, that a run store is back.
    Back(ReplicaId, Millis),
}

/// A process of an aggregator, as the handover needs it.
pub trait Process {
    /// The aggregator's name.
    fn name(&self) -> String;
    /// The listening sockets, that of clients first; `None` if it accepts no more.
    fn sockets(&self) -> Option<Vec<OwnedFd>>;
    /// What the new process is to know.
    fn state(&self) -> State;
    /// What it holds now.
    fn held(&self) -> Held;
    /// The other process serves: accept no more, and end what is there.
    fn stand_down(&self);
    /// The other process is gone: serve as before, unless this one is to end.
    fn stand_up(&self);
    /// Operators have spoken to the other process.
    fn apply_manual_drain(&self, at: Millis, id: &ReplicaId, out: bool);
    /// The other process holds this, or is gone.
    fn leave_room(&self, held: Option<Held>);
}

/// Where the running process of an aggregator is found.
pub fn path(name: &str) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() || matches!(c, '-' | '.') { c } else { '_' };
    let name: String = name.chars().map(plain).collect();
    std::env::temp_dir().join(format!("ironpaddle-{name}.sock"))
}

/// The words to the other process, while there is one.
#[derive(Default)]
pub struct Wire(RefCell<Option<Sender<Word>>>);

impl Wire {
    /// From now on what is said reaches the receiver.
    fn open(&self) -> Receiver<Word> {
        let (sender, words) = async_channel::unbounded();
        *self.0.borrow_mut() = Some(sender);
        words
    }

    /// Says something to the other process, if there is one.
    pub fn say(&self, word: Word) {
        if let Some(sender) = &*self.0.borrow() {
            // One that is gone needs no telling.
            let _ = sender.try_send(word);
        }
    }
}

/// Says what there is to say; ends when that cannot be said.
async fn speak(link: &Link, words: &Receiver<Word>) -> io::Error {
    while let Ok(word) = words.recv().await {
        if let Err(error) = within(LIMIT, link.say(&word)).await {
            return error;
        }
    }
    future::pending().await
}

/// Hears the other process out; says how that ended.
async fn hear(link: &Link, lines: &mut Lines, process: &dyn Process, mut serving: impl FnMut()) -> io::Error {
    loop {
        let word = match lines.next(link).await {
            Ok(word) => word,
            Err(error) => return error,
        };
        match word {
            Word::Out(id) => process.apply_manual_drain(0.0, &id, true),
            Word::Back(id, at) => process.apply_manual_drain(at, &id, false),
            Word::Held(held) => process.leave_room(Some(held)),
            Word::Serving => serving(),
            Word::Hello { .. } | Word::Ending | Word::No(_) | Word::State(_) => {
                return io::Error::new(io::ErrorKind::InvalidData, "a word out of its place");
            }
        }
    }
}
