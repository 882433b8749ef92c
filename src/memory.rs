//! Decides how much memory requests may take while they are received and answered, so that clients cannot
//! bring the process to its memory limit.
//!
//! Each connection has a small allowance. What exceeds it comes from a pool that all connections share. When
//! the pool is used up, nothing more is read for requests that exceed the allowance, while smaller ones are
//! still read and answered.

/// The minimum of `limits.memory_mb`.
pub const MIN_MEMORY_MB: f64 = 16.0;
/// Memory that each connection may use for requests without drawing on the pool, in bytes.
pub const CONNECTION_ALLOWANCE: usize = 8 * 1024;
/// The pool is one part in this many of the process's memory limit. The rest is for the process itself, the
/// allowances of the connections, run stores' answers and the lists.
const POOL_DIVISOR: f64 = 8.0;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Accounts for the memory of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMemory {
    pool_size: usize,
    pool_used: usize,
}

impl RequestMemory {
    /// Creates the account of a process with a memory limit in MB (2^20 bytes).
    pub fn for_limit(memory_mb: f64) -> Self {
        RequestMemory::with_pool((memory_mb * BYTES_PER_MB / POOL_DIVISOR) as usize)
    }

    /// Creates an account with a pool of a size in bytes.
    pub fn with_pool(pool_size: usize) -> Self {
        RequestMemory { pool_size, pool_used: 0 }
    }

    /// Records that a connection that used `before` bytes now uses `after`. The pool may be overdrawn, as
    /// parsed requests can take more memory than the bytes that were read.
    pub fn record(&mut self, before: usize, after: usize) {
        let from_pool = |bytes: usize| bytes.saturating_sub(CONNECTION_ALLOWANCE);
        self.pool_used = self.pool_used + from_pool(after) - from_pool(before);
    }

    /// Returns how many bytes may be read from a connection that uses `used` bytes.
    pub fn readable(&self, used: usize) -> usize {
        self.pool_free().max(CONNECTION_ALLOWANCE.saturating_sub(used))
    }

    /// Returns the part of the pool that is not used.
    pub fn pool_free(&self) -> usize {
        self.pool_size.saturating_sub(self.pool_used)
    }
}

#[cfg(test)]
mod tests;
