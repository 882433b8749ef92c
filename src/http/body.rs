//! Reads the body of a message, piece by piece as it arrives.

use super::buffer::InputBuffer;
use super::parse::MessageError;

/// Maximum size of a chunk size line or of the trailers, in bytes.
const MAX_CHUNK_LINE_LEN: usize = 1024;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// It has this many bytes.
    Length(usize),
    /// It comes in chunks.
    Chunked,
    /// It ends with the connection.
    UntilClose,
}

/// What comes next in a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkStage {
    /// A line with the size of a chunk.
    Size,
    /// This many bytes of a chunk.
    Data(usize),
    /// The line end after a chunk.
    DataEnd,
    /// Trailers and an empty line. This many bytes of them were skipped.
    Trailers(usize),
}

/// Reads one body.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    max_len: usize,
    /// Whether to keep the bytes of the body; otherwise only its end is searched.
    keep: bool,
    received: usize,
    body: Vec<u8>,
    chunk_stage: ChunkStage,
}

impl BodyReader {
    /// Creates a reader for a body of at most `max_len` bytes.
    pub fn new(framing: Framing, max_len: usize, keep: bool) -> Self {
        BodyReader { framing, max_len, keep, received: 0, body: Vec::new(), chunk_stage: ChunkStage::Size }
    }

    /// Allocates the whole body at once, if its length is known.
    pub fn reserve_all(&mut self) {
        if let Framing::Length(length) = self.framing {
            self.body.reserve_exact(length);
        }
    }

    /// Drops the bytes received so far and keeps none of those to come.
    pub fn discard(&mut self) {
        self.keep = false;
        self.body = Vec::new();
    }

    /// Returns how the end of the body is determined.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the number of bytes received.
    pub fn received(&self) -> usize {
        self.received
    }

    /// Returns the memory that the body holds, in bytes.
    pub fn memory(&self) -> usize {
        self.body.capacity()
    }

    /// Returns the body.
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// Moves available bytes into the body. Returns whether the body is complete.
    ///
    /// # Errors
    /// Returns why the body is malformed.
    pub fn read(&mut self, input: &mut InputBuffer) -> Result<bool, MessageError> {
        match self.framing {
            Framing::Length(length) => {
                self.take(input, length - self.received);
                Ok(self.received == length)
            }
            Framing::UntilClose => {
                if self.received + input.len() > self.max_len {
                    return Err(MessageError::BodyTooLong);
                }
                self.take(input, input.len());
                Ok(false)
            }
            Framing::Chunked => self.read_chunks(input),
        }
    }

    /// Moves up to `max` bytes into the body and returns their number.
    fn take(&mut self, input: &mut InputBuffer, max: usize) -> usize {
        let count = max.min(input.len());
        if self.keep {
            self.grow(count);
            self.body.extend_from_slice(&input.as_slice()[..count]);
        }
        input.consume(count);
        self.received += count;
        count
    }

    /// Makes room for `count` more bytes. Plain doubling would allocate up to twice the longest body.
    fn grow(&mut self, count: usize) {
        let needed = self.body.len() + count;
        if needed <= self.body.capacity() {
            return;
        }
        let longest = match self.framing {
            Framing::Length(length) => length,
            Framing::Chunked | Framing::UntilClose => self.max_len,
        };
        let capacity = needed.max(longest.min(self.body.capacity() * 2));
        self.body.reserve_exact(capacity - self.body.len());
    }

    fn read_chunks(&mut self, input: &mut InputBuffer) -> Result<bool, MessageError> {
        loop {
            self.chunk_stage = match self.chunk_stage {
                ChunkStage::Size => match read_chunk_size(input)? {
                    None => return Ok(false),
                    Some(0) => ChunkStage::Trailers(0),
                    Some(size) if self.received + size > self.max_len => {
                        return Err(MessageError::BodyTooLong)
                    }
                    Some(size) => ChunkStage::Data(size),
                },
                ChunkStage::Data(remaining) => match remaining - self.take(input, remaining) {
                    0 => ChunkStage::DataEnd,
                    remaining => {
                        self.chunk_stage = ChunkStage::Data(remaining);
                        return Ok(false);
                    }
                },
                ChunkStage::DataEnd => match input.as_slice() {
                    [] | [b'\r'] => return Ok(false),
                    [b'\n', ..] => {
                        input.consume(1);
                        ChunkStage::Size
                    }
                    [b'\r', b'\n', ..] => {
                        input.consume(2);
                        ChunkStage::Size
                    }
                    _ => return Err(MessageError::Chunk),
                },
                ChunkStage::Trailers(skipped) => match skip_line(input) {
                    Some(SkippedLine { empty: true, .. }) => return Ok(true),
                    Some(line) => ChunkStage::Trailers(skipped + line.len),
                    None if skipped + input.len() > MAX_CHUNK_LINE_LEN => return Err(MessageError::Chunk),
                    None => return Ok(false),
                },
            };
        }
    }
}

/// Reads the line with the size of a chunk; `None` if it is incomplete.
fn read_chunk_size(input: &mut InputBuffer) -> Result<Option<usize>, MessageError> {
    let bytes = input.as_slice();
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return if bytes.len() > MAX_CHUNK_LINE_LEN { Err(MessageError::Chunk) } else { Ok(None) };
    };
    let line = std::str::from_utf8(&bytes[..end]).map_err(|_| MessageError::Chunk)?;
    let digits = line.split(';').next().unwrap_or("").trim();
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(MessageError::Chunk);
    }
    let size = usize::from_str_radix(digits, 16).map_err(|_| MessageError::Chunk)?;
    input.consume(end + 1);
    Ok(Some(size))
}

/// A line that was skipped: its length with the line end, and whether it was empty.
struct SkippedLine {
    len: usize,
    empty: bool,
}

/// Skips a line; `None` if it is incomplete.
fn skip_line(input: &mut InputBuffer) -> Option<SkippedLine> {
    let end = input.as_slice().iter().position(|byte| *byte == b'\n')?;
    let empty = input.as_slice()[..end].iter().all(|byte| *byte == b'\r');
    input.consume(end + 1);
    Some(SkippedLine { len: end + 1, empty })
}
