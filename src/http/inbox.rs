//! Requests that were read from a connection and wait for their turn, each with the time of its last byte.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::parse::{Bad, Kind, Message, Parser, MOST_BODY};

/// A request that was read whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrived {
    /// The request.
    pub message: Message,
    /// When its last byte was read: its client's time counts from then.
    pub at: Instant,
    /// When its client stops waiting, if it says so.
    pub due: Option<Instant>,
}

impl Arrived {
    /// Whether its answer carries a body, which a client of `HEAD` would take for the next answer.
    pub fn has_body_in_answer(&self) -> bool {
        self.message.start.0 != "HEAD"
    }

    /// How long it has waited for its turn.
    pub fn waited(&self) -> Duration {
        self.at.elapsed()
    }
}

/// What was read from a connection and is not answered yet.
#[derive(Debug)]
pub struct Inbox {
    parser: Parser,
    whole: VecDeque<Arrived>,
    /// When the first byte came of the request that is not whole.
    begun: Option<Instant>,
    /// Why nothing more can be read behind the whole ones.
    bad: Option<Bad>,
    /// Bytes that came after that.
    unreadable: usize,
}

impl Default for Inbox {
    fn default() -> Self {
        Inbox {
            parser: Parser::new(Kind::Request),
            whole: VecDeque::new(),
            begun: None,
            bad: None,
            unreadable: 0,
        }
    }
}

impl Inbox {
    /// Takes in bytes that were read just now. `waits` tells how long the client of a request waits for its answer.
    pub fn push(&mut self, bytes: &[u8], now: Instant, waits: impl Fn(&Message) -> Option<Duration>) {
        if self.bad.is_some() {
            self.unreadable += bytes.len();
            return;
        }
        self.parser.push(bytes);
        loop {
            match self.parser.next_message() {
                Ok(Some(message)) => {
                    let due = waits(&message).and_then(|wait| now.checked_add(wait));
                    self.whole.push_back(Arrived { message, at: now, due });
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

    /// The next request, if one is whole.
    ///
    /// # Errors
    /// Says what cannot be read, once all that came before has been handed out.
    pub fn next_request(&mut self) -> Result<Option<Arrived>, Bad> {
        match (self.whole.pop_front(), self.bad) {
            (Some(request), _) => Ok(Some(request)),
            (None, Some(bad)) => Err(bad),
            (None, None) => Ok(None),
        }
    }

    /// The earliest time at which a client stops waiting whose request is in hand.
    pub fn earliest_due(&self) -> Option<Instant> {
        self.whole.iter().filter_map(|request| request.due).min()
    }

    /// Whether there is something to answer without reading more.
    pub fn has_whole(&self) -> bool {
        !self.whole.is_empty() || self.bad.is_some()
    }

    /// When a request began to come that is not whole, if there is one.
    pub fn begun(&self) -> Option<Instant> {
        self.begun
    }

    /// Whether a request has begun to come and is not whole.
    pub fn is_inside(&self) -> bool {
        self.begun.is_some()
    }

    /// Whether nothing was read that is not answered.
    pub fn is_empty(&self) -> bool {
        !self.has_whole() && !self.is_inside()
    }

    /// Whether it holds more than any one request may have.
    pub fn is_full(&self) -> bool {
        let whole: usize = self.whole.iter().map(|request| request.message.size()).sum();
        whole + self.parser.buffered() + self.unreadable > MOST_BODY
    }

    /// Takes in bytes of the request that has begun, or of the next one: once it is whole, or cannot be read, how many
    /// of the bytes stand behind it.
    pub fn bytes_behind_first(&mut self, bytes: &[u8]) -> Option<usize> {
        self.parser.push(bytes);
        match self.parser.next_message() {
            Ok(None) => None,
            Ok(Some(_)) | Err(_) => Some(self.parser.buffered().min(bytes.len())),
        }
    }

    /// Whether the client of the request that has begun waits for `100 Continue`.
    pub fn expects_continue(&self) -> bool {
        self.parser.expects_continue()
    }
}
