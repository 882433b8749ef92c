//! HTTP/1.1 messages, as far as the cases need them: a client, and the reader of the stand-ins.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message: its first line, its headers in lower case, and its body.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// Reads a message with a length; `None` if the connection ended before its first byte.
pub fn read_message(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if from.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
    let mut message = Message { first: first.trim_end().to_string(), headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    from.read_exact(&mut message.body)?;
    Ok(Some(message))
}

pub struct Answer {
    pub status: u16,
    pub body: String,
    pub closes: bool,
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    read: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        let read = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, read })
    }

    pub fn send(&mut self, request: &str) -> io::Result<()> {
        self.stream.write_all(request.as_bytes())
    }

    pub fn read(&mut self) -> io::Result<Answer> {
        let message = read_message(&mut self.read)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = message.first.split(' ').nth(1).and_then(|status| status.parse().ok());
        Ok(Answer {
            status: status.ok_or(io::ErrorKind::InvalidData)?,
            closes: message.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
            body: String::from_utf8_lossy(&message.body).into_owned(),
        })
    }

    pub fn exchange(&mut self, request: &str) -> io::Result<Answer> {
        self.send(request)?;
        self.read()
    }
}

/// Builds an answer with a length.
pub fn answer(status: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
