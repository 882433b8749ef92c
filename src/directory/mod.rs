//! Directories, which list the run stores: one watches the discovery service, the other queries DNS-SD records.

pub mod dns;
pub mod dns_sd;
pub mod instances;
pub mod list;
pub mod lookup_tasks;
pub mod resolver;
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
struct ReloadTarget<T> {
    current: RefCell<T>,
    /// Signalled when the address has changed.
    changed: (Sender<()>, Receiver<()>),
}

impl<T: Clone + PartialEq> ReloadTarget<T> {
    fn new(current: T) -> Self {
        ReloadTarget { current: RefCell::new(current), changed: async_channel::bounded(1) }
    }

    fn get(&self) -> T {
        self.current.borrow().clone()
    }

    /// Returns the current address and clears the signal of earlier changes, so that [`ReloadTarget::changed`] waits
    /// for a later one.
    fn acknowledge(&self) -> T {
        let _ = self.changed.1.try_recv();
        self.get()
    }

    /// Sets the address and returns whether it differs from the one before.
    fn set(&self, target: T) -> bool {
        let changed = *self.current.borrow() != target;
        if changed {
            *self.current.borrow_mut() = target;
            let _ = self.changed.0.try_send(());
        }
        changed
    }

    /// Waits until the address has changed.
    async fn changed(&self) {
        let _ = self.changed.1.recv().await;
    }
}
