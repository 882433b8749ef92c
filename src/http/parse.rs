//! An incremental HTTP/1.1 parser. It takes bytes as they arrive and performs no I/O itself.

use std::fmt;

/// Maximum size of a message head, in bytes.
pub const MAX_HEAD_LEN: usize = 16 * 1024;
/// Maximum size of a request body, in bytes.
pub const MAX_REQUEST_BODY_LEN: usize = 64 * 1024;
/// Maximum size of a chunk size line or of the trailers, in bytes.
const MAX_CHUNK_LINE_LEN: usize = 1024;
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

/// The headers of a message, with names in lower case.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Returns the first value of a header. `name` must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(header_name, _)| header_name == name).map(|(_, value)| value.as_str())
    }

    /// Returns all values of a header. `name` must be in lower case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(header_name, _)| header_name == name).map(|(_, value)| value.as_str())
    }

    /// Returns whether a comma-separated header contains a token, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|value| value.split(',')).any(|item| item.trim().eq_ignore_ascii_case(token))
    }
}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
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
        let start = self.start.0.len() + self.start.1.len() + self.start.2.len();
        let headers: usize = self.headers.0.iter().map(|(name, value)| name.len() + value.len()).sum();
        start + headers + self.body.len()
    }
}

/// Which kind of messages to parse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests, with the limits that apply to them.
    Request,
    /// Responses, with bodies of at most this many bytes.
    Response(usize),
}

#[derive(Debug)]
enum State {
    Head,
    Body(Box<(Message, Framing)>),
}

/// Parses consecutive messages of one connection.
#[derive(Debug)]
pub struct Parser {
    kind: MessageKind,
    state: State,
    buffer: Vec<u8>,
    /// How many bytes of the buffer were already searched for the end of the head.
    head_searched: usize,
}

impl Parser {
    /// Creates a parser for a new connection.
    pub fn new(kind: MessageKind) -> Self {
        Parser { kind, state: State::Head, buffer: Vec::new(), head_searched: 0 }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether a message was received partially.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty() || matches!(self.state, State::Body(_))
    }

    /// Returns the number of bytes that are not parsed yet.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the client waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        match &self.state {
            State::Body(partial) => {
                self.buffer.is_empty() && partial.0.headers.has_token("expect", "100-continue")
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
                    let Some(head) = self.parse_head()? else { return Ok(None) };
                    self.state = State::Body(Box::new(head));
                }
                State::Body(mut partial) => {
                    if self.read_body(&mut partial)? {
                        return Ok(Some(partial.0));
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
            State::Body(partial) if partial.1 == Framing::UntilClose => Some(partial.0),
            _ => None,
        }
    }

    fn max_body_len(&self) -> usize {
        match self.kind {
            MessageKind::Request => MAX_REQUEST_BODY_LEN,
            MessageKind::Response(max_len) => max_len,
        }
    }

    fn parse_head(&mut self) -> Result<Option<(Message, Framing)>, MessageError> {
        // Empty lines before a request are skipped (RFC 9112, section 2.2).
        let blank_len = self.buffer.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        if blank_len > 0 {
            self.buffer.drain(..blank_len);
            self.head_searched = 0;
        }
        let Some(end) = find_head_end(&self.buffer, self.head_searched) else {
            self.head_searched = self.buffer.len().saturating_sub(3);
            return if self.buffer.len() > MAX_HEAD_LEN { Err(MessageError::HeadTooLong) } else { Ok(None) };
        };
        if end > MAX_HEAD_LEN {
            return Err(MessageError::HeadTooLong);
        }
        self.head_searched = 0;
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let text = std::str::from_utf8(&head).map_err(|_| MessageError::Header)?;
        let mut lines = text.lines();
        let start = parse_start_line(lines.next().unwrap_or(""), self.kind)?;
        let mut headers = Headers::default();
        for line in lines.filter(|line| !line.is_empty()) {
            if headers.0.len() == MAX_HEADERS {
                return Err(MessageError::Header);
            }
            headers.0.push(parse_header(line)?);
        }
        let version = if self.kind == MessageKind::Request { &start.2 } else { &start.0 };
        let keep_alive = match version.as_str() {
            "HTTP/1.1" => !headers.has_token("connection", "close"),
            "HTTP/1.0" => headers.has_token("connection", "keep-alive"),
            _ => return Err(MessageError::Version),
        };
        let framing = self.parse_framing(&start, &headers)?;
        let keep_alive = keep_alive && framing != Framing::UntilClose;
        let body = match (self.kind, framing) {
            // Reserve the exact size: growing by doubling would allocate up to twice the bytes of a long response.
            (MessageKind::Response(_), Framing::Length(length)) => Vec::with_capacity(length),
            _ => Vec::new(),
        };
        Ok(Some((Message { start, headers, body, keep_alive }, framing)))
    }

    fn parse_framing(&self, start: &StartLine, headers: &Headers) -> Result<Framing, MessageError> {
        let values_of = |wanted: &'static str| headers.0.iter().filter(move |(name, _)| name == wanted);
        let mut lengths = values_of("content-length").map(|(_, value)| value.as_str());
        let has_transfer_encoding = values_of("transfer-encoding").next().is_some();
        if has_transfer_encoding {
            // A message with two kinds of framing may be a request smuggling attempt.
            if lengths.next().is_some() {
                return Err(MessageError::Length);
            }
            let chunked =
                values_of("transfer-encoding").all(|(_, value)| value.eq_ignore_ascii_case("chunked"));
            return if chunked && values_of("transfer-encoding").count() == 1 {
                Ok(Framing::Chunked)
            } else {
                Err(MessageError::TransferCoding)
            };
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

    /// Moves available bytes into the body. Returns whether the body is complete.
    fn read_body(&mut self, (message, framing): &mut (Message, Framing)) -> Result<bool, MessageError> {
        match framing {
            Framing::Length(length) => {
                let remaining = *length - message.body.len();
                let available = remaining.min(self.buffer.len());
                message.body.extend(self.buffer.drain(..available));
                Ok(available == remaining)
            }
            Framing::UntilClose => {
                message.body.append(&mut self.buffer);
                if message.body.len() > self.max_body_len() {
                    Err(MessageError::BodyTooLong)
                } else {
                    Ok(false)
                }
            }
            Framing::Chunked => self.read_chunks(message),
        }
    }

    fn read_chunks(&mut self, message: &mut Message) -> Result<bool, MessageError> {
        loop {
            let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
                return if self.buffer.len() > MAX_CHUNK_LINE_LEN {
                    Err(MessageError::Chunk)
                } else {
                    Ok(false)
                };
            };
            let line = std::str::from_utf8(&self.buffer[..end]).map_err(|_| MessageError::Chunk)?;
            let digits = line.split(';').next().unwrap_or("").trim();
            if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
                return Err(MessageError::Chunk);
            }
            let size = usize::from_str_radix(digits, 16).map_err(|_| MessageError::Chunk)?;
            if message.body.len() + size > self.max_body_len() {
                return Err(MessageError::BodyTooLong);
            }
            if size == 0 {
                return self.skip_trailers(end + 1);
            }
            // A chunk is consumed once it is complete, including its line end.
            let after = end + 1 + size;
            let line_end_len = match (self.buffer.get(after), self.buffer.get(after + 1)) {
                (Some(b'\n'), _) => 1,
                (Some(b'\r'), Some(b'\n')) => 2,
                (None, _) | (Some(b'\r'), None) => return Ok(false),
                _ => return Err(MessageError::Chunk),
            };
            message.body.extend_from_slice(&self.buffer[end + 1..after]);
            self.buffer.drain(..after + line_end_len);
        }
    }

    /// Skips the trailers after the last chunk, up to and including the empty line.
    fn skip_trailers(&mut self, from: usize) -> Result<bool, MessageError> {
        let mut at = from;
        while let Some(length) = self.buffer[at..].iter().position(|byte| *byte == b'\n') {
            let empty = self.buffer[at..at + length].iter().all(|byte| *byte == b'\r');
            at += length + 1;
            if empty {
                self.buffer.drain(..at);
                return Ok(true);
            }
        }
        if self.buffer.len() > from + MAX_CHUNK_LINE_LEN {
            Err(MessageError::Chunk)
        } else {
            Ok(false)
        }
    }
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

fn parse_header(line: &str) -> Result<(String, String), MessageError> {
    let (name, value) = line.split_once(':').ok_or(MessageError::Header)?;
    let is_name_byte = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    // Implementations disagree on names with a space before the colon and on folded lines, so reject both.
    if name.is_empty() || !name.bytes().all(is_name_byte) || value.bytes().any(|b| b < b' ' && b != b'\t') {
        return Err(MessageError::Header);
    }
    Ok((name.to_ascii_lowercase(), value.trim().to_string()))
}
