//! Requests that were read from a connection and wait to be answered, each with the arrival time of its last byte.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::parse::{Message, MessageError, MessageKind, Parser, MOST_BODY};

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
    pub fn has_body_in_answer(&self) -> bool {
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
    whole: VecDeque<ReceivedRequest>,
    /// When the first byte of the incomplete request arrived.
    begun: Option<Instant>,
    /// Why nothing after the complete requests can be parsed.
    bad: Option<MessageError>,
    /// Number of bytes received after that error.
    unreadable: usize,
}

impl Default for Inbox {
    fn default() -> Self {
        Inbox {
            parser: Parser::new(MessageKind::Request),
            whole: VecDeque::new(),
            begun: None,
            bad: None,
            unreadable: 0,
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
        if self.bad.is_some() {
            self.unreadable += bytes.len();
            return;
        }
        self.parser.push(bytes);
        loop {
            match self.parser.next_message() {
                Ok(Some(message)) => {
                    let deadline = client_timeout(&message).and_then(|timeout| now.checked_add(timeout));
                    self.whole.push_back(ReceivedRequest { message, received_at: now, deadline });
                    self.begun = None;
                }
                Ok(None) => {
                    if self.parser.is_inside() {
                        self.begun.get_or_insert(now);
                    }
                    return;
                }
                Err(bad) => {
                    self.bad = Some(bad);
                    return;
                }
            }
        }
    }

    /// Takes the next complete request.
    ///
    /// # Errors
    /// Returns the parse error once all requests before it have been taken.
    pub fn next_request(&mut self) -> Result<Option<ReceivedRequest>, MessageError> {
        match (self.whole.pop_front(), self.bad) {
            (Some(request), _) => Ok(Some(request)),
            (None, Some(bad)) => Err(bad),
            (None, None) => Ok(None),
        }
    }

    /// Returns the earliest deadline among the complete requests.
    pub fn earliest_deadline(&self) -> Option<Instant> {
        self.whole.iter().filter_map(|request| request.deadline).min()
    }

    /// Returns whether there is a request to answer or an error to report without reading more.
    pub fn has_whole(&self) -> bool {
        !self.whole.is_empty() || self.bad.is_some()
    }

    /// Returns when the incomplete request began to arrive, if there is one.
    pub fn begun(&self) -> Option<Instant> {
        self.begun
    }

    /// Returns whether a request was received partially.
    pub fn is_inside(&self) -> bool {
        self.begun.is_some()
    }

    /// Returns whether there is no input left to answer.
    pub fn is_empty(&self) -> bool {
        !self.has_whole() && !self.is_inside()
    }

    /// Returns whether the buffered input exceeds the largest permitted request.
    pub fn is_full(&self) -> bool {
        let whole: usize = self.whole.iter().map(|request| request.message.size()).sum();
        whole + self.parser.buffered() + self.unreadable > MOST_BODY
    }

    /// Adds bytes of the partially received request, or of the next one. Once that request is complete or malformed,
    /// returns how many of the bytes follow it.
    pub fn bytes_behind_first(&mut self, bytes: &[u8]) -> Option<usize> {
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
