//! Directories, which list the run stores: one watches the discovery service, the other queries DNS-SD records.

pub mod dns;
pub mod dns_sd;
pub mod list;
pub mod watch;

use std::cell::RefCell;

use async_channel::{Receiver, Sender};

use crate::config::Config;

/// A directory whose address can change when the configuration is reloaded.
pub trait Reload {
    /// Queries the address in `config` from now on. A call in progress to the old address is dropped, even if it hangs.
    fn reload(&self, config: &Config);
}

/// The address that a directory queries. A reload may change it while a call is in progress.
struct Target<T> {
    at: RefCell<T>,
    /// Signalled when the address has changed.
    moved: (Sender<()>, Receiver<()>),
}

impl<T: Clone + PartialEq> Target<T> {
    fn new(at: T) -> Self {
        Target { at: RefCell::new(at), moved: async_channel::bounded(1) }
    }

    fn get(&self) -> T {
        self.at.borrow().clone()
    }

    /// Returns the current address and clears the signal of earlier changes, so that [`Target::moved`] waits for a
    /// later one.
    fn settle(&self) -> T {
        let _ = self.moved.1.try_recv();
        self.get()
    }

    /// Sets the address and returns whether it differs from the one before.
    fn set(&self, at: T) -> bool {
        let changed = *self.at.borrow() != at;
        if changed {
            *self.at.borrow_mut() = at;
            let _ = self.moved.0.try_send(());
        }
        changed
    }

    /// Waits until the address has changed.
    async fn moved(&self) {
        let _ = self.moved.1.recv().await;
    }
}
