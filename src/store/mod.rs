//! A small replicated store of versioned entries. It is held in memory and eventually consistent between peers.
//!
//! It holds the settings and the last directory, never live load. Of two entries with one key, the one with the higher
//! version wins, then the one with the greater origin, then the one with the greater value, so that all peers agree
//! regardless of the order in which entries reach them.

pub mod peers;

use std::cell::RefCell;
use std::collections::BTreeMap;

use async_channel::{Receiver, Sender};
use serde::{Deserialize, Serialize};

/// The key of the settings object.
pub const SETTINGS: &str = "settings";
/// The key of the last directory.
pub const DIRECTORY: &str = "directory";
/// The maximum number of keys, which bounds the memory that peers can make this process use.
const MAX_KEYS: usize = 64;
/// The maximum size of a value, in bytes, for the same reason.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// An entry of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its key.
    pub key: String,
    /// Its version; the higher one wins.
    pub version: u64,
    /// The name of the aggregator that wrote it.
    pub origin: String,
    /// Its value.
    pub value: String,
}

impl Entry {
    /// Returns whether this entry replaces another one with the same key.
    fn supersedes(&self, other: &Entry) -> bool {
        (self.version, &self.origin, &self.value) > (other.version, &other.origin, &other.value)
    }
}

/// This peer's copy of the store.
pub struct Store {
    origin: String,
    entries: RefCell<BTreeMap<String, Entry>>,
    /// The connections to peers, which are notified of changes.
    subscribers: RefCell<Vec<Sender<()>>>,
}

impl Store {
    /// Creates an empty copy; `origin` is the name of this peer.
    pub fn new(origin: &str) -> Self {
        Store { origin: origin.to_string(), entries: RefCell::default(), subscribers: RefCell::default() }
    }

    /// Writes an entry unless a newer one is known; returns whether it was written.
    pub fn put(&self, key: &str, version: u64, value: String) -> bool {
        self.merge(Entry { key: key.to_string(), version, origin: self.origin.clone(), value })
    }

    /// Merges an entry into the store; returns whether it changed the store.
    pub fn merge(&self, entry: Entry) -> bool {
        let mut entries = self.entries.borrow_mut();
        let known = entries.get(&entry.key);
        let has_room = known.is_some() || entries.len() < MAX_KEYS;
        if !has_room
            || entry.value.len() > MAX_VALUE_BYTES
            || known.is_some_and(|known| !entry.supersedes(known))
        {
            return false;
        }
        entries.insert(entry.key.clone(), entry);
        drop(entries);
        // The channels have room for one signal, which covers any number of changes. Closed ones are removed.
        self.subscribers.borrow_mut().retain(|subscriber| {
            let _ = subscriber.try_send(());
            !subscriber.is_closed()
        });
        true
    }

    /// Returns the entry with this key.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.entries.borrow().get(key).cloned()
    }

    /// Returns all entries.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.borrow().values().cloned().collect()
    }

    /// Returns a channel that is signalled when the store changes.
    fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.subscribers.borrow_mut().push(sender);
        receiver
    }

    /// Returns the entries that are not in `sent` in their current form.
    fn unsent(&self, sent: &BTreeMap<String, Entry>) -> Vec<Entry> {
        self.entries.borrow().values().filter(|entry| sent.get(&entry.key) != Some(entry)).cloned().collect()
    }
}

#[cfg(test)]
mod tests;
