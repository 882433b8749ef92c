//! Directories of run stores: the watch on the discovery service, and DNS-SD records.

pub mod dns;
pub mod dns_sd;
pub mod list;
pub mod watch;

use std::cell::RefCell;

use async_channel::{Receiver, Sender};

use crate::config::Config;

/// A directory that takes up a configuration that was read again.
pub trait Reload {
    /// Asks where the configuration says from now on, out of a call that hangs too.
    fn reload(&self, config: &Config);
}

/// Where a directory asks, which a reload may change while a call is out.
struct Target<T> {
    at: RefCell<T>,
    moved: (Sender<()>, Receiver<()>),
}

impl<T: Clone + PartialEq> Target<T> {
    fn new(at: T) -> Self {
        Target { at: RefCell::new(at), moved: async_channel::bounded(1) }
    }

    fn get(&self) -> T {
        self.at.borrow().clone()
    }

    /// The place to ask now; [`Target::moved`] tells of later changes only.
    fn settle(&self) -> T {
        let _ = self.moved.1.try_recv();
        self.get()
    }

    /// Says whether this is another place.
    fn set(&self, at: T) -> bool {
        let changed = *self.at.borrow() != at;
        if changed {
            *self.at.borrow_mut() = at;
            let _ = self.moved.0.try_send(());
        }
        changed
    }

    async fn moved(&self) {
        let _ = self.moved.1.recv().await;
    }
}
