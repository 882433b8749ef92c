//! A small replicated store: versioned entries, held in memory, the same at all peers in the end.
//!
//! It holds configuration and the last directory, never live load. Of two entries under one key the one with
//! the higher version stands, and between equal versions the one of the greater origin, so that all peers
//! agree in whatever order entries reach them.

pub mod peers;

use std::cell::RefCell;
use std::collections::BTreeMap;

use async_channel::{Receiver, Sender};
use serde::{Deserialize, Serialize};

/// The key of the settings object.
pub const SETTINGS: &str = "settings";
/// The key of the last directory.
pub const DIRECTORY: &str = "directory";
/// Bounds on what peers can make this process hold.
const MOST_KEYS: usize = 64;
const MOST_VALUE: usize = 1024 * 1024;

/// An entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its key.
    pub key: String,
    /// Its version; the higher stands.
    pub version: u64,
    /// Who wrote it.
    pub origin: String,
    /// Its value.
    pub value: String,
}

impl Entry {
    fn stands_over(&self, other: &Entry) -> bool {
        (self.version, &self.origin, &self.value) > (other.version, &other.origin, &other.value)
    }
}

/// One peer's copy.
pub struct Store {
    origin: String,
    entries: RefCell<BTreeMap<String, Entry>>,
    /// Whoever waits for changes: connections to peers.
    listeners: RefCell<Vec<Sender<()>>>,
}

impl Store {
    /// An empty copy; `origin` names this peer.
    pub fn new(origin: &str) -> Self {
        Store { origin: origin.to_string(), entries: RefCell::default(), listeners: RefCell::default() }
    }

    /// Writes an entry; it is passed over where a newer one is known.
    pub fn put(&self, key: &str, version: u64, value: String) -> bool {
        self.merge(Entry { key: key.to_string(), version, origin: self.origin.clone(), value })
    }

    /// Takes an entry in; says whether it is news.
    pub fn merge(&self, entry: Entry) -> bool {
        let mut entries = self.entries.borrow_mut();
        let known = entries.get(&entry.key);
        let room = known.is_some() || entries.len() < MOST_KEYS;
        if !room || entry.value.len() > MOST_VALUE || known.is_some_and(|known| !entry.stands_over(known)) {
            return false;
        }
        entries.insert(entry.key.clone(), entry);
        drop(entries);
        // One signal stands for any number of changes; a listener that is gone is forgotten.
        self.listeners.borrow_mut().retain(|listener| {
            let _ = listener.try_send(());
            !listener.is_closed()
        });
        true
    }

    /// The entry under a key.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.entries.borrow().get(key).cloned()
    }

    /// All entries.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.borrow().values().cloned().collect()
    }

    fn listen(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.listeners.borrow_mut().push(sender);
        receiver
    }

    /// The entries that a peer has not been sent in their present form.
    fn unsent(&self, sent: &BTreeMap<String, Entry>) -> Vec<Entry> {
        self.entries.borrow().values().filter(|entry| sent.get(&entry.key) != Some(entry)).cloned().collect()
    }
}

#[cfg(test)]
mod tests;
