//! Replication: on each connection between two peers, each side sends the entries that it has not sent there yet.
//!
//! Each line is a JSON value: an entry, `"synced"` after the first round, or `"ping"` so that a dead peer is detected.
//! A lost connection is dialled again, and the first round on the new one brings both peers up to date.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use serde::{Deserialize, Serialize};

use super::{Entry, Store};
use crate::http::client::within;
use crate::log::{self, Reason};
use crate::net::Stream;

/// The time-out for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause before a peer is dialled again, or after a failed accept.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The interval at which an idle connection sends a ping.
const PING_INTERVAL: Duration = Duration::from_millis(1000);
/// The time after which a connection is closed if nothing is received.
const READ_TIMEOUT: Duration = Duration::from_millis(4000);
/// The time-out for writing one batch of lines.
const WRITE_TIMEOUT: Duration = Duration::from_millis(4000);
/// The longest accepted line, in bytes: escapes can double the size of a value.
const MAX_LINE_BYTES: usize = 3 * super::MAX_VALUE_BYTES;
/// The maximum number of accepted connections from peers.
const MAX_ACCEPTED: usize = 32;

/// A line of the replication protocol.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    Entry(Entry),
    Synced,
    Ping,
}

/// The replication of one store.
pub struct Replication {
    store: Rc<Store>,
    executor: Rc<LocalExecutor<'static>>,
    /// The number of listed peers whose first round has arrived, or with whom the first attempt failed.
    initial_syncs_done: Cell<usize>,
    /// The number of open connections that peers have made.
    accepted: Cell<usize>,
}

impl Replication {
    /// Starts replication: accepts peers at a listener and dials those that are listed.
    pub fn start(
        store: Rc<Store>,
        executor: Rc<LocalExecutor<'static>>,
        listener: TcpListener,
        peers: &[SocketAddr],
    ) -> Rc<Self> {
        let replication = Rc::new(Replication {
            store,
            executor: executor.clone(),
            initial_syncs_done: Cell::new(0),
            accepted: Cell::new(0),
        });
        executor.spawn(replication.clone().accept(listener)).detach();
        for peer in peers {
            executor.spawn(replication.clone().dial(*peer)).detach();
        }
        replication
    }

    /// Returns how many of the listed peers have sent all their entries or could not be reached.
    pub fn initial_syncs_done(&self) -> usize {
        self.initial_syncs_done.get()
    }

    /// Accepts connections from peers.
    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((_, peer)) if self.accepted.get() >= MAX_ACCEPTED => {
                    log::ended("peer", Some(peer), Reason::Full, "");
                }
                Ok((stream, peer)) => {
                    self.accepted.set(self.accepted.get() + 1);
                    let peers = self.clone();
                    let connection = async move {
                        peers.replicate(stream.into(), peer, &Cell::new(true)).await;
                        peers.accepted.set(peers.accepted.get() - 1);
                    };
                    self.executor.spawn(connection).detach();
                }
                Err(error) => {
                    log::line(&format!("store: accept failed: {error}"));
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Keeps a connection to a listed peer.
    async fn dial(self: Rc<Self>, peer: SocketAddr) {
        let initial_sync_done = Cell::new(false);
        loop {
            if let Ok(stream) = within(CONNECT_TIMEOUT, Stream::connect(peer)).await {
                self.replicate(stream, peer, &initial_sync_done).await;
            }
            self.mark_initial_sync_done(&initial_sync_done);
            Timer::after(RETRY_PAUSE).await;
        }
    }

    /// Counts the initial sync with a peer as done, at most once.
    fn mark_initial_sync_done(&self, initial_sync_done: &Cell<bool>) {
        if !initial_sync_done.replace(true) {
            self.initial_syncs_done.set(self.initial_syncs_done.get() + 1);
        }
    }

    /// Replicates over a connection until it ends, and logs why it ended.
    async fn replicate(&self, stream: Stream, peer: SocketAddr, initial_sync_done: &Cell<bool>) {
        let read = async { self.read(stream.clone(), initial_sync_done).await };
        let write = async { self.write(stream.clone()).await };
        let reason = match future::or(read, write).await {
            Ok(reason) => reason,
            Err(error) if error.kind() == io::ErrorKind::TimedOut => Reason::Silent,
            Err(error) if error.kind() == io::ErrorKind::InvalidData => Reason::Malformed,
            Err(_) => Reason::Reset,
        };
        log::ended("peer", Some(peer), reason, "");
    }

    /// Merges the entries that a peer sends.
    async fn read(&self, mut stream: Stream, initial_sync_done: &Cell<bool>) -> io::Result<Reason> {
        let mut buffer = Vec::new();
        let mut bytes = vec![0; 16 * 1024];
        loop {
            let count = within(READ_TIMEOUT, stream.read(&mut bytes)).await?;
            if count == 0 {
                return Ok(Reason::PeerClosed);
            }
            let searched = buffer.len();
            buffer.extend_from_slice(&bytes[..count]);
            if buffer.len() > MAX_LINE_BYTES {
                return Ok(Reason::Malformed);
            }
            let Some(last) = buffer[searched..].iter().rposition(|byte| *byte == b'\n') else { continue };
            for line in buffer[..searched + last].split(|byte| *byte == b'\n') {
                match serde_json::from_slice(line)? {
                    Line::Entry(entry) => {
                        self.store.merge(entry);
                    }
                    Line::Synced => self.mark_initial_sync_done(initial_sync_done),
                    Line::Ping => {}
                }
            }
            buffer.drain(..=searched + last);
        }
    }

    /// Sends entries that are new to a peer, and pings.
    async fn write(&self, mut stream: Stream) -> io::Result<Reason> {
        let changed = self.store.subscribe();
        let mut sent: BTreeMap<String, Entry> = BTreeMap::new();
        let mut synced = false;
        loop {
            let mut lines = Vec::new();
            for entry in self.store.unsent(&sent) {
                sent.insert(entry.key.clone(), entry.clone());
                lines.push(Line::Entry(entry));
            }
            if !std::mem::replace(&mut synced, true) {
                lines.push(Line::Synced);
            } else if lines.is_empty() {
                lines.push(Line::Ping);
            }
            let mut text = Vec::new();
            for line in &lines {
                serde_json::to_writer(&mut text, line)?;
                text.push(b'\n');
            }
            within(WRITE_TIMEOUT, stream.write_all(&text)).await?;
            let change = async {
                let _ = changed.recv().await;
            };
            future::or(change, async {
                Timer::after(PING_INTERVAL).await;
            })
            .await;
        }
    }
}
