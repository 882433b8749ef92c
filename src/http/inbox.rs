//! Requests that were read from a connection and wait to be answered, each with the arrival time of its last byte.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::parse::{Message, MessageError, MessageKind, Parser, MAX_REQUEST_BODY_LEN};

/// Maximum number of requests that are parsed ahead. The parts of a short request take many times the memory of its
/// bytes, so the rest of what was read stays unparsed.
const MAX_PARSED_REQUESTS: usize = 32;

/// A completely received request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// The request.
    pub message: Message,
    /// When its last byte was read. The client's timeout counts from then.
    pub received_at: Instant,
    /// When the client stops waiting, if the request states a timeout.
    pub deadline: Option<Instant>,
}

impl ReceivedRequest {
    /// Returns whether the response has a body. A client would take a body in the response to `HEAD` for the next
    /// response.
    pub fn response_has_body(&self) -> bool {
        self.message.start.0 != "HEAD"
    }

    /// Returns how long the request has waited to be processed.
    pub fn waited(&self) -> Duration {
        self.received_at.elapsed()
    }
}

/// Input of a connection that was read and is not yet answered.
#[derive(Debug)]
pub struct Inbox {
    parser: Parser,
    complete: VecDeque<ReceivedRequest>,
    /// When input was last received. All input that is not parsed yet arrived then.
    last_received_at: Option<Instant>,
    /// When the first byte of the incomplete request arrived.
    partial_since: Option<Instant>,
    /// Why nothing after the complete requests can be parsed.
    error: Option<MessageError>,
    /// Number of bytes received after that error.
    bytes_after_error: usize,
}

impl Default for Inbox {
    fn default() -> Self {
        Inbox {
            parser: Parser::new(MessageKind::Request),
            complete: VecDeque::new(),
            last_received_at: None,
            partial_since: None,
            error: None,
            bytes_after_error: 0,
        }
    }
}

impl Inbox {
    /// Adds bytes that arrived at `now`. `client_timeout` returns how long the client of a request waits for its
    /// response.
    pub fn push(
        &mut self,
        bytes: &[u8],
        now: Instant,
        client_timeout: impl Fn(&Message) -> Option<Duration>,
    ) {
        if self.error.is_some() {
            self.bytes_after_error += bytes.len();
            return;
        }
        self.parser.push(bytes);
        self.last_received_at = Some(now);
        self.parse(now, client_timeout);
    }

    /// Parses requests that arrived at `received_at`, as many as may be parsed ahead.
    fn parse(&mut self, received_at: Instant, client_timeout: impl Fn(&Message) -> Option<Duration>) {
        while self.complete.len() < MAX_PARSED_REQUESTS && self.error.is_none() {
            match self.parser.next_message() {
                Ok(Some(message)) => {
                    let deadline =
                        client_timeout(&message).and_then(|timeout| received_at.checked_add(timeout));
                    self.complete.push_back(ReceivedRequest { message, received_at, deadline });
                    self.partial_since = None;
                }
                Ok(None) => {
                    if self.parser.has_partial_message() {
                        self.partial_since.get_or_insert(received_at);
                    }
                    return;
                }
                Err(error) => self.error = Some(error),
            }
        }
    }

    /// Takes the next complete request. `client_timeout` is as for [`Inbox::push`].
    ///
    /// # Errors
    /// Returns the parse error once all requests before it have been taken.
    pub fn next_request(
        &mut self,
        client_timeout: impl Fn(&Message) -> Option<Duration>,
    ) -> Result<Option<ReceivedRequest>, MessageError> {
        let request = self.complete.pop_front();
        if let Some(received_at) = self.last_received_at.filter(|_| self.parser.buffered() > 0) {
            self.parse(received_at, client_timeout);
        }
        match (request, self.error) {
            (Some(request), _) => Ok(Some(request)),
            (None, Some(error)) => Err(error),
            (None, None) => Ok(None),
        }
    }

    /// Returns the earliest deadline among the complete requests.
    pub fn earliest_deadline(&self) -> Option<Instant> {
        self.complete.iter().filter_map(|request| request.deadline).min()
    }

    /// Returns whether there is a request to answer or an error to report without reading more.
    pub fn has_complete(&self) -> bool {
        !self.complete.is_empty() || self.error.is_some()
    }

    /// Returns when the incomplete request began to arrive, if there is one.
    pub fn partial_since(&self) -> Option<Instant> {
        self.partial_since
    }

    /// Returns whether a request was received partially.
    pub fn has_partial(&self) -> bool {
        self.partial_since.is_some()
    }

    /// Returns whether there is no input left to answer.
    pub fn is_empty(&self) -> bool {
        !self.has_complete() && !self.has_partial()
    }

    /// Returns whether the buffered input exceeds the largest permitted request, or holds more requests than are parsed
    /// ahead.
    pub fn is_full(&self) -> bool {
        let complete_size: usize = self.complete.iter().map(|request| request.message.size()).sum();
        self.complete.len() >= MAX_PARSED_REQUESTS
            || complete_size + self.parser.partial_len() + self.bytes_after_error > MAX_REQUEST_BODY_LEN
    }

    /// Returns the memory that the received requests hold, in bytes.
    pub fn memory(&self) -> usize {
        let complete: usize = self.complete.iter().map(|request| request.message.memory()).sum();
        complete + self.parser.memory()
    }

    /// Drops everything received, except where the incomplete request ends.
    pub fn discard(&mut self) {
        self.complete.clear();
        self.parser.discard_bodies();
    }

    /// Adds bytes of the partially received request, or of the next one. Once that request is complete or malformed,
    /// returns how many of the bytes follow it.
    pub fn bytes_after_first(&mut self, bytes: &[u8]) -> Option<usize> {
        self.parser.push(bytes);
        match self.parser.next_message() {
            Ok(None) => None,
            Ok(Some(_)) | Err(_) => Some(self.parser.buffered().min(bytes.len())),
        }
    }

    /// Returns whether the client of the partially received request waits for `100 Continue`.
    pub fn expects_continue(&self) -> bool {
        self.parser.expects_continue()
    }
}

#[cfg(test)]
mod tests;
