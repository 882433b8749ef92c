//! An incremental HTTP/1.1 parser. It takes bytes as they arrive and performs no I/O itself.

use std::fmt;

use super::body::{BodyReader, Framing};
use super::buffer::InputBuffer;
use super::headers::Headers;

/// Maximum size of a message head, in bytes.
pub const MAX_HEAD_LEN: usize = 16 * 1024;
/// Maximum size of a request body, in bytes.
pub const MAX_REQUEST_BODY_LEN: usize = 64 * 1024;
const MAX_HEADERS: usize = 100;

/// Why a message was rejected. Framing is lost, so the connection has to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageError {
    /// The first line is not a valid HTTP/1 request or status line.
    StartLine,
    /// The version is neither 1.0 nor 1.1.
    Version,
    /// A header line is malformed, or there are too many.
    Header,
    /// The head is too long.
    HeadTooLong,
    /// The content length is malformed, repeated with different values, or combined with a transfer coding.
    Length,
    /// The transfer coding is not `chunked`.
    TransferCoding,
    /// A chunk is malformed.
    Chunk,
    /// The body is too long.
    BodyTooLong,
    /// The rest of the request did not arrive in time.
    TooSlow,
    /// Before a request was answered, more data followed it than the largest permitted request holds.
    Flood,
}

impl MessageError {
    /// Returns the HTTP status for this error.
    pub fn status(self) -> u16 {
        match self {
            MessageError::HeadTooLong => 431,
            MessageError::BodyTooLong | MessageError::Flood => 413,
            MessageError::TransferCoding => 501,
            MessageError::Version => 505,
            MessageError::TooSlow => 408,
            MessageError::StartLine | MessageError::Header | MessageError::Length | MessageError::Chunk => {
                400
            }
        }
    }
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MessageError::StartLine => "the first line is not valid HTTP/1.1",
            MessageError::Version => "only HTTP/1.0 and HTTP/1.1 are supported",
            MessageError::Header => "a header line is malformed",
            MessageError::HeadTooLong => "the head is too long",
            MessageError::Length => "the length of the body is malformed",
            MessageError::TransferCoding => "the only supported transfer coding is chunked",
            MessageError::Chunk => "a chunk of the body is malformed",
            MessageError::BodyTooLong => "the body is too long",
            MessageError::TooSlow => "the request did not arrive in time",
            MessageError::Flood => "too much data follows a request that is not answered yet",
        })
    }
}

/// The three parts of a message's first line: method, target and version of a request, or version, status code and
/// reason phrase of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartLine(pub String, pub String, pub String);

/// A complete message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The first line.
    pub start: StartLine,
    /// The headers.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection may carry another message.
    pub keep_alive: bool,
}

impl Message {
    /// Returns the total length of the message's parts in bytes, without separators.
    pub fn size(&self) -> usize {
        self.start.0.len()
            + self.start.1.len()
            + self.start.2.len()
            + self.headers.text_len()
            + self.body.len()
    }

    /// Returns the memory that the message holds, in bytes, with what the allocator adds.
    pub fn memory(&self) -> usize {
        let start = self.start.0.capacity() + self.start.1.capacity() + self.start.2.capacity();
        let allocations = MESSAGE_ALLOCATIONS * ALLOCATION_OVERHEAD;
        size_of::<Message>() + allocations + start + self.headers.memory() + self.body.capacity()
    }
}

/// The number of allocations of a message: three for the first line, two for the headers, one for the body.
const MESSAGE_ALLOCATIONS: usize = 6;
/// What the allocator adds to an allocation for its own records and for alignment, in bytes.
const ALLOCATION_OVERHEAD: usize = 16;

/// Which kind of messages to parse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests, with the limits that apply to them.
    Request,
    /// Responses, with bodies of at most this many bytes.
    Response(usize),
}

/// A message whose body is incomplete. The body is added to the message once it is complete.
#[derive(Debug)]
struct PartialMessage {
    message: Message,
    body: BodyReader,
}

#[derive(Debug)]
enum State {
    Head,
    Body(Box<PartialMessage>),
}

/// Parses consecutive messages of one connection.
#[derive(Debug)]
pub struct Parser {
    kind: MessageKind,
    state: State,
    buffer: InputBuffer,
    /// How many bytes of the buffer were already searched for the end of the head.
    head_searched: usize,
    /// Whether bodies are kept; otherwise only the ends of messages are searched.
    keep_bodies: bool,
}

impl Parser {
    /// Creates a parser for a new connection.
    pub fn new(kind: MessageKind) -> Self {
        let buffer = InputBuffer::default();
        Parser { kind, state: State::Head, buffer, head_searched: 0, keep_bodies: true }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.push(bytes);
    }

    /// Returns whether a message was received partially.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty() || matches!(self.state, State::Body(_))
    }

    /// Returns the number of bytes that are not parsed yet.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the memory that is held for the incomplete message, in bytes.
    pub fn memory(&self) -> usize {
        let partial = match &self.state {
            State::Body(partial) => partial.message.memory() + partial.body.memory(),
            State::Head => 0,
        };
        self.buffer.memory() + partial
    }

    /// Returns the number of bytes received of the incomplete message.
    pub fn partial_len(&self) -> usize {
        match &self.state {
            State::Body(partial) => partial.message.size() + partial.body.received() + self.buffer.len(),
            State::Head => self.buffer.len(),
        }
    }

    /// Drops the body received so far and keeps no further bodies.
    pub fn discard_bodies(&mut self) {
        self.keep_bodies = false;
        if let State::Body(partial) = &mut self.state {
            partial.body.discard();
        }
    }

    /// Returns whether the client waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        match &self.state {
            State::Body(partial) => {
                self.buffer.is_empty() && partial.message.headers.has_token("expect", "100-continue")
            }
            State::Head => false,
        }
    }

    /// Returns the next message once it is complete.
    ///
    /// # Errors
    /// Returns why the input is malformed. Nothing after that can be parsed.
    pub fn next_message(&mut self) -> Result<Option<Message>, MessageError> {
        loop {
            match std::mem::replace(&mut self.state, State::Head) {
                State::Head => {
                    let Some(partial) = self.parse_head()? else { return Ok(None) };
                    self.state = State::Body(Box::new(partial));
                }
                State::Body(mut partial) => {
                    if partial.body.read(&mut self.buffer)? {
                        let body = partial.body.into_body();
                        return Ok(Some(Message { body, ..partial.message }));
                    }
                    self.state = State::Body(partial);
                    return Ok(None);
                }
            }
        }
    }

    /// Handles the end of the connection: returns the message whose body ends with it, if there is one.
    pub fn finish(&mut self) -> Option<Message> {
        match std::mem::replace(&mut self.state, State::Head) {
            State::Body(partial) if partial.body.framing() == Framing::UntilClose => {
                Some(Message { body: partial.body.into_body(), ..partial.message })
            }
            _ => None,
        }
    }

    fn max_body_len(&self) -> usize {
        match self.kind {
            MessageKind::Request => MAX_REQUEST_BODY_LEN,
            MessageKind::Response(max_len) => max_len,
        }
    }

    fn parse_head(&mut self) -> Result<Option<PartialMessage>, MessageError> {
        // Empty lines before a request are skipped (RFC 9112, section 2.2).
        let blank_len =
            self.buffer.as_slice().iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        if blank_len > 0 {
            self.buffer.consume(blank_len);
            self.head_searched = 0;
        }
        let Some(end) = find_head_end(self.buffer.as_slice(), self.head_searched) else {
            self.head_searched = self.buffer.len().saturating_sub(3);
            return if self.buffer.len() > MAX_HEAD_LEN { Err(MessageError::HeadTooLong) } else { Ok(None) };
        };
        if end > MAX_HEAD_LEN {
            return Err(MessageError::HeadTooLong);
        }
        self.head_searched = 0;
        let text = std::str::from_utf8(&self.buffer.as_slice()[..end]).map_err(|_| MessageError::Header)?;
        let (start, headers) = parse_head_text(text, self.kind)?;
        self.buffer.consume(end);
        let version = if self.kind == MessageKind::Request { &start.2 } else { &start.0 };
        let keep_alive = match version.as_str() {
            "HTTP/1.1" => !headers.has_token("connection", "close"),
            "HTTP/1.0" => headers.has_token("connection", "keep-alive"),
            _ => return Err(MessageError::Version),
        };
        let framing = self.parse_framing(&start, &headers)?;
        let keep_alive = keep_alive && framing != Framing::UntilClose;
        let mut body = BodyReader::new(framing, self.max_body_len(), self.keep_bodies);
        if self.keep_bodies && matches!(self.kind, MessageKind::Response(_)) {
            // Growing a long response step by step would copy it several times.
            body.reserve_all();
        }
        let message = Message { start, headers, body: Vec::new(), keep_alive };
        Ok(Some(PartialMessage { message, body }))
    }

    fn parse_framing(&self, start: &StartLine, headers: &Headers) -> Result<Framing, MessageError> {
        let mut lengths = headers.all("content-length");
        let mut encodings = headers.all("transfer-encoding");
        if let Some(encoding) = encodings.next() {
            // A message with two kinds of framing may be a request smuggling attempt.
            if lengths.next().is_some() {
                return Err(MessageError::Length);
            }
            let chunked = encoding.eq_ignore_ascii_case("chunked") && encodings.next().is_none();
            return if chunked { Ok(Framing::Chunked) } else { Err(MessageError::TransferCoding) };
        }
        if let Some(length) = lengths.next() {
            if lengths.any(|other| other != length) || !length.bytes().all(|b| b.is_ascii_digit()) {
                return Err(MessageError::Length);
            }
            let length: usize = length.parse().map_err(|_| {
                if length.is_empty() {
                    MessageError::Length
                } else {
                    MessageError::BodyTooLong
                }
            })?;
            return if length > self.max_body_len() {
                Err(MessageError::BodyTooLong)
            } else {
                Ok(Framing::Length(length))
            };
        }
        let has_no_body = self.kind == MessageKind::Request
            || matches!(start.1.as_str(), "204" | "304")
            || start.1.starts_with('1');
        Ok(if has_no_body { Framing::Length(0) } else { Framing::UntilClose })
    }
}

/// Parses a complete head.
fn parse_head_text(text: &str, kind: MessageKind) -> Result<(StartLine, Headers), MessageError> {
    let mut lines = text.lines();
    let start = parse_start_line(lines.next().unwrap_or(""), kind)?;
    let mut headers = Headers::with_capacity(text.len());
    for line in lines.filter(|line| !line.is_empty()) {
        if headers.len() == MAX_HEADERS {
            return Err(MessageError::Header);
        }
        let (name, value) = parse_header(line)?;
        headers.push(name, value);
    }
    Ok((start, headers))
}

fn find_head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(next) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let end = at + next + 1;
        match (bytes.get(end), bytes.get(end + 1)) {
            (Some(b'\n'), _) => return Some(end + 1),
            (Some(b'\r'), Some(b'\n')) => return Some(end + 2),
            _ => at = end,
        }
    }
    None
}

fn parse_start_line(line: &str, kind: MessageKind) -> Result<StartLine, MessageError> {
    let mut parts = line.splitn(3, ' ');
    let mut next_part = || parts.next().unwrap_or("").to_string();
    let start = StartLine(next_part(), next_part(), next_part());
    let is_valid = match kind {
        MessageKind::Request => {
            let method = !start.0.is_empty() && start.0.bytes().all(|b| b.is_ascii_alphabetic() || b == b'-');
            let path = start.1.starts_with('/') || start.1 == "*";
            method && path && start.2.starts_with("HTTP/")
        }
        MessageKind::Response(_) => start.1.len() == 3 && start.1.bytes().all(|b| b.is_ascii_digit()),
    };
    if is_valid {
        Ok(start)
    } else {
        Err(MessageError::StartLine)
    }
}

fn parse_header(line: &str) -> Result<(&str, &str), MessageError> {
    let (name, value) = line.split_once(':').ok_or(MessageError::Header)?;
    let is_name_byte = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    // Implementations disagree on names with a space before the colon and on folded lines, so reject both.
    if name.is_empty() || !name.bytes().all(is_name_byte) || value.bytes().any(|b| b < b' ' && b != b'\t') {
        return Err(MessageError::Header);
    }
    Ok((name, value.trim()))
}
