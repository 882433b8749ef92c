//! Whether clients may come: one state for the server's connections, the fronts' health and whoever shuts it.

use std::cell::Cell;

use async_channel::{Receiver, Sender};

/// Shut, it lets clients finish: each answer is its connection's last, and idle connections soon close.
pub struct Door {
    /// Operators want no clients for now.
    by_hand: Cell<bool>,
    /// Another process of this aggregator takes clients in.
    handed_over: Cell<bool>,
    /// The program is to end.
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
    /// Whether connections may go on after their answers.
    pub fn is_open(&self) -> bool {
        !(self.by_hand.get() || self.handed_over.get() || self.leaving.get())
    }

    /// Whether clients may come to this aggregator, be it to another process of it.
    pub fn takes_clients(&self) -> bool {
        !self.by_hand.get() && (self.handed_over.get() || !self.leaving.get())
    }

    /// Whether operators have shut it.
    pub fn is_shut_by_hand(&self) -> bool {
        self.by_hand.get()
    }

    /// Whether the program is to end.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Shuts or opens it by hand; `false` if this process has no clients to take in, now or any more.
    pub fn by_hand(&self, shut: bool) -> bool {
        let may = !self.leaving.get() && !self.handed_over.get();
        if may {
            self.set(&self.by_hand, shut);
        }
        may
    }

    /// Another process takes clients in, or does no longer.
    pub fn hand_over(&self, to_other: bool) {
        self.set(&self.handed_over, to_other);
    }

    /// The program is to end.
    pub fn leave(&self) {
        self.set(&self.leaving, true);
    }

    fn set(&self, flag: &Cell<bool>, to: bool) {
        if flag.replace(to) != to {
            let _ = self.changed.0.try_send(());
        }
    }

    /// Waits until it has changed and is shut, for whatever reason. One task at a time may wait.
    pub async fn shut(&self) {
        loop {
            let _ = self.changed.1.recv().await;
            if !self.is_open() {
                return;
            }
        }
    }
}
