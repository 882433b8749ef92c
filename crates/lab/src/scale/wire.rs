//! HTTP connections of stand-ins that count their traffic.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ironpaddle::http::parse::{Message, MessageKind, Parser};
use serde::{Deserialize, Serialize};

/// Message and byte counts between a stand-in and its peers of one kind.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Traffic {
    /// Received messages.
    pub messages_in: u64,
    /// Sent messages.
    pub messages_out: u64,
    /// Received bytes.
    pub bytes_in: u64,
    /// Sent bytes.
    pub bytes_out: u64,
}

impl Traffic {
    /// Returns the traffic since an earlier sample.
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        Traffic {
            messages_in: self.messages_in - earlier.messages_in,
            messages_out: self.messages_out - earlier.messages_out,
            bytes_in: self.bytes_in - earlier.bytes_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
        }
    }

    /// Returns the same traffic from the peer's point of view: sent and received are swapped.
    pub fn reversed(&self) -> Traffic {
        Traffic {
            messages_in: self.messages_out,
            messages_out: self.messages_in,
            bytes_in: self.bytes_out,
            bytes_out: self.bytes_in,
        }
    }

    /// Returns the sum of both.
    pub fn plus(&self, other: &Traffic) -> Traffic {
        Traffic {
            messages_in: self.messages_in + other.messages_in,
            messages_out: self.messages_out + other.messages_out,
            bytes_in: self.bytes_in + other.bytes_in,
            bytes_out: self.bytes_out + other.bytes_out,
        }
    }
}

/// The counters that all connections of a kind share.
pub type TrafficCounter = Rc<Cell<Traffic>>;

/// Adds traffic to a counter.
pub fn add(counter: &TrafficCounter, more: Traffic) {
    counter.set(counter.get().plus(&more));
}

/// An HTTP connection that counts its traffic.
pub struct Connection {
    stream: TcpStream,
    parser: Parser,
    counter: TrafficCounter,
}

impl Connection {
    /// Wraps a stream on which messages of the given kind are received.
    pub fn new(stream: TcpStream, kind: MessageKind, counter: TrafficCounter) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Connection { stream, parser: Parser::new(kind), counter })
    }

    /// Reads the next message; `None` at the end of the connection.
    pub async fn read(&mut self) -> io::Result<Option<Message>> {
        // The buffer is small because thousands of connections wait here.
        let mut bytes = [0; 2048];
        loop {
            let next = self.parser.next_message();
            if let Some(message) =
                next.map_err(|bad| io::Error::new(io::ErrorKind::InvalidData, bad.to_string()))?
            {
                add(&self.counter, Traffic { messages_in: 1, ..Traffic::default() });
                return Ok(Some(message));
            }
            match self.stream.read(&mut bytes).await? {
                0 => return Ok(None),
                read => {
                    add(&self.counter, Traffic { bytes_in: read as u64, ..Traffic::default() });
                    self.parser.push(&bytes[..read]);
                }
            }
        }
    }

    /// Writes a message.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await?;
        add(&self.counter, Traffic { messages_out: 1, bytes_out: bytes.len() as u64, ..Traffic::default() });
        Ok(())
    }
}
