//! A buffer for received bytes that are consumed from the front.

/// Received bytes that are not consumed yet. It holds no memory while it is empty.
#[derive(Debug, Default)]
pub struct InputBuffer {
    bytes: Vec<u8>,
    /// The number of bytes at the front that were consumed.
    consumed: usize,
}

impl InputBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the bytes that are not consumed yet.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Removes the first `count` bytes.
    pub fn consume(&mut self, count: usize) {
        self.consumed = self.bytes.len().min(self.consumed + count);
        if self.consumed == self.bytes.len() {
            *self = InputBuffer::default();
        }
    }

    /// Returns the number of bytes that are not consumed yet.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// Returns whether every byte was consumed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory that the buffer holds, in bytes.
    pub fn memory(&self) -> usize {
        self.bytes.capacity()
    }
}
