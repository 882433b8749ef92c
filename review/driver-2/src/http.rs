//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message: its first line, its headers in lower case, and its body.
pub struct Message {
    pub first: String,
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':')).map(str::trim)
    }
}

/// Reads a message with a length from a stream; `buffer` keeps what follows it.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Message> {
    let mut bytes = [0; 16 * 1024];
    loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let (first, head) = text.split_once("\r\n").unwrap_or((&text, ""));
            let (first, head) = (first.to_string(), head.to_ascii_lowercase());
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length:"))
                .and_then(|length| length.trim().parse::<usize>().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Ok(Message { first, head, body });
            }
        }
        match stream.read(&mut bytes)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&bytes[..count]),
        }
    }
}

/// Makes a call without a body on a connection of its own and returns the response.
pub fn call(to: SocketAddr, method: &str, path: &str, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let text =
        format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes())?;
    read_message(&mut stream, &mut Vec::new())
}

/// Waits until `GET path` answers 200. Returns whether it did within the limit.
pub fn wait_for_200(to: SocketAddr, path: &str, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if call(to, "GET", path, Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
