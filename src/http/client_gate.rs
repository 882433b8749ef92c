//! Tracks whether clients are accepted: one state shared by the server's connections, the fronts' health checks and
//! the code that closes the gate.

use std::cell::Cell;

use async_channel::{Receiver, Sender};

/// Controls whether clients are accepted. While it is closed, clients finish their requests: each response is the
/// last on its connection, and idle connections are closed soon.
pub struct ClientGate {
    /// Operators have closed the gate.
    closed_by_operator: Cell<bool>,
    /// Another process of this aggregator accepts the clients.
    handed_over: Cell<bool>,
    /// The process is shutting down.
    shutting_down: Cell<bool>,
    changed: (Sender<()>, Receiver<()>),
}

impl Default for ClientGate {
    fn default() -> Self {
        ClientGate {
            closed_by_operator: Cell::default(),
            handed_over: Cell::default(),
            shutting_down: Cell::default(),
            changed: async_channel::bounded(1),
        }
    }
}

impl ClientGate {
    /// Returns whether connections are kept open after a response.
    pub fn is_open(&self) -> bool {
        !(self.closed_by_operator.get() || self.handed_over.get() || self.shutting_down.get())
    }

    /// Returns whether this aggregator accepts clients, in this process or in the one that took over.
    pub fn accepts_clients(&self) -> bool {
        !self.closed_by_operator.get() && (self.handed_over.get() || !self.shutting_down.get())
    }

    /// Returns whether operators have closed the gate.
    pub fn is_closed_by_operator(&self) -> bool {
        self.closed_by_operator.get()
    }

    /// Returns whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.get()
    }

    /// Closes or opens the gate on behalf of an operator. Returns `false`, without effect, if the process is shutting
    /// down or has handed its clients over.
    pub fn set_closed_by_operator(&self, closed: bool) -> bool {
        let accepts_here = !self.shutting_down.get() && !self.handed_over.get();
        if accepts_here {
            self.set(&self.closed_by_operator, closed);
        }
        accepts_here
    }

    /// Records whether another process accepts the clients.
    pub fn set_handed_over(&self, handed_over: bool) {
        self.set(&self.handed_over, handed_over);
    }

    /// Closes the gate for good because the process is shutting down.
    pub fn shut_down(&self) {
        self.set(&self.shutting_down, true);
    }

    fn set(&self, flag: &Cell<bool>, value: bool) {
        if flag.replace(value) != value {
            let _ = self.changed.0.try_send(());
        }
    }

    /// Waits until the state changes to closed, for any reason. Only one task at a time may wait.
    pub async fn closed(&self) {
        loop {
            let _ = self.changed.1.recv().await;
            if !self.is_open() {
                return;
            }
        }
    }
}
