//! The memory that client connections use for requests, accounted for by [`RequestMemory`].

use std::cell::RefCell;

use event_listener::Event;

use crate::memory::RequestMemory;

/// The memory of the requests of all connections of a server.
pub struct MemoryPool {
    account: RefCell<RequestMemory>,
    /// Notifies connections that wait for memory, one at a time.
    released: Event,
}

impl MemoryPool {
    /// Creates the pool for an account that no connection uses yet.
    pub fn new(account: RequestMemory) -> Self {
        MemoryPool { account: RefCell::new(account), released: Event::new() }
    }
}

/// The share of one connection, which is returned when it is dropped.
pub struct MemoryShare<'p> {
    pool: &'p MemoryPool,
    used: usize,
}

impl<'p> MemoryShare<'p> {
    /// Creates the share of a new connection.
    pub fn new(pool: &'p MemoryPool) -> Self {
        MemoryShare { pool, used: 0 }
    }

    /// Records how many bytes the connection uses now.
    pub fn set_used(&mut self, used: usize) {
        let mut account = self.pool.account.borrow_mut();
        account.record(self.used, used);
        self.used = used;
        if account.pool_free() > 0 {
            // The one that is notified notifies the next, if it leaves any.
            self.pool.released.notify(1);
        }
    }

    /// Returns how many bytes may be read now.
    pub fn readable(&self) -> usize {
        self.pool.account.borrow().readable(self.used)
    }

    /// Waits until something may be read.
    pub async fn wait_until_readable(&self) {
        loop {
            let released = self.pool.released.listen();
            if self.readable() > 0 {
                return;
            }
            released.await;
        }
    }
}

impl Drop for MemoryShare<'_> {
    fn drop(&mut self) {
        self.set_used(0);
    }
}
