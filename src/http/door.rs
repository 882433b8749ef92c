//! Tracks whether clients are accepted: one state shared by the server's connections, the fronts' health checks and
//! the code that closes the gate.

use std::cell::Cell;

use async_channel::{Receiver, Sender};

/// Controls whether clients are accepted. While it is closed, clients finish their requests: each response is the
/// last on its connection, and idle connections are closed soon.
pub struct Door {
    /// Operators have closed the gate.
    by_hand: Cell<bool>,
    /// Another process of this aggregator accepts the clients.
    handed_over: Cell<bool>,
    /// The process is shutting down.
    leaving: Cell<bool>,
    changed: (Sender<()>, Receiver<()>),
}

impl Default for Door {
    fn default() -> Self {
        Door {
            by_hand: Cell::default(),
            handed_over: Cell::default(),
            leaving: Cell::default(),
            changed: async_channel::bounded(1),
        }
    }
}

impl Door {
    /// Returns whether connections are kept open after a response.
    pub fn is_open(&self) -> bool {
        !(self.by_hand.get() || self.handed_over.get() || self.leaving.get())
    }

    /// Returns whether this aggregator accepts clients, in this process or in the one that took over.
    pub fn takes_clients(&self) -> bool {
        !self.by_hand.get() && (self.handed_over.get() || !self.leaving.get())
    }

    /// Returns whether operators have closed the gate.
    pub fn is_shut_by_hand(&self) -> bool {
        self.by_hand.get()
    }

    /// Returns whether the process is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Closes or opens the gate on behalf of an operator. Returns `false`, without effect, if the process is shutting
    /// down or has handed its clients over.
    pub fn by_hand(&self, shut: bool) -> bool {
        let may = !self.leaving.get() && !self.handed_over.get();
        if may {
            self.set(&self.by_hand, shut);
        }
        may
    }

    /// Records whether another process accepts the clients.
    pub fn hand_over(&self, to_other: bool) {
        self.set(&self.handed_over, to_other);
    }

    /// Closes the gate for good because the process is shutting down.
    pub fn leave(&self) {
        self.set(&self.leaving, true);
    }

    fn set(&self, flag: &Cell<bool>, to: bool) {
        if flag.replace(to) != to {
            let _ = self.changed.0.try_send(());
        }
    }

    /// Waits until the state changes to closed, for any reason. Only one task at a time may wait.
    pub async fn shut(&self) {
        loop {
            let _ = self.changed.1.recv().await;
            if !self.is_open() {
                return;
            }
        }
    }
}
