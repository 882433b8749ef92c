//! Whether clients may come: one state for the server's connections, the fronts' health and whoever shuts it.

use std::cell::Cell;

use async_channel::{Receiver, Sender};

/// Where a [`Door`] stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum State {
    /// Clients may come.
    #[default]
    Open,
    /// Operators want no clients for now.
    Shut,
    /// The program is to end.
    Leaving,
}

/// Shut, it lets clients finish: each answer is its connection's last, and idle connections soon close.
pub struct Door {
    state: Cell<State>,
    changed: (Sender<()>, Receiver<()>),
}

impl Default for Door {
    fn default() -> Self {
        Door { state: Cell::default(), changed: async_channel::bounded(1) }
    }
}

impl Door {
    /// Where it stands.
    pub fn state(&self) -> State {
        self.state.get()
    }

    /// Whether connections may go on after their answers.
    pub fn is_open(&self) -> bool {
        self.state.get() == State::Open
    }

    /// Shuts or opens it by hand; `false` if the program is to end, which stands above that.
    pub fn by_hand(&self, state: State) -> bool {
        let may = self.state.get() != State::Leaving;
        if may {
            self.set(state);
        }
        may
    }

    /// The program is to end.
    pub fn leave(&self) {
        self.set(State::Leaving);
    }

    fn set(&self, state: State) {
        if self.state.replace(state) != state {
            let _ = self.changed.0.try_send(());
        }
    }

    /// Waits until it is shut for whatever reason, once for each time. One task at a time may wait.
    pub async fn shut(&self) {
        loop {
            let _ = self.changed.1.recv().await;
            if !self.is_open() {
                return;
            }
        }
    }
}
