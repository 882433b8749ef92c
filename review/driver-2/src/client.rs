//! A usual client: one query at a time, on a connection of its own.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::http::read_message;
use crate::record::Record;

/// A query.
#[derive(Clone)]
pub struct Query {
    pub id: String,
    pub class: &'static str,
    pub tenant: &'static str,
    /// How long the client waits, in milliseconds.
    pub timeout: u64,
    pub shards: Vec<usize>,
    /// What each part has to carry.
    pub filter: &'static str,
}

impl Query {
    /// Returns the bytes of the request.
    pub fn request(&self) -> Vec<u8> {
        let mass = 1.0 / self.shards.len() as f64;
        let slices: Vec<String> =
            self.shards.iter().map(|shard| format!("{{\"slice\":{shard},\"mass\":{mass}}}")).collect();
        let body = format!("{{\"slices\":[{}],\"filter\":\"{}\"}}", slices.join(","), self.filter);
        format!(
            "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {}\r\nX-Priority-Class: {class}\r\n\
             X-Tenant-Id: {}\r\nX-Timeout: {}m\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            self.tenant,
            self.timeout,
            body.len(),
            class = self.class
        )
        .into_bytes()
    }
}

/// How a query ended.
pub struct End {
    /// When its last byte was written, in milliseconds of the record.
    pub sent: f64,
    /// When the last byte of its answer was read, and the status; or when and how its connection ended.
    pub answer: Result<(f64, u16), (f64, String)>,
}

/// Sends a query and waits for its answer, for `wait` at most. Returns `None` if no connection came up, or if the request
/// could not be written whole.
pub fn ask(to: SocketAddr, query: &Query, wait: Duration, record: &Arc<Record>) -> Option<End> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(5)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.write_all(&query.request()).ok()?;
    let sent = record.now();
    record.line(&format!("query {} of {} sent, waits {} ms", query.id, query.class, query.timeout));
    let answer = match read_message(&mut stream, &mut Vec::new()) {
        Ok(answer) => {
            let at = record.now();
            record.line(&format!(
                "query {} answered with {} after {:.0} ms",
                query.id,
                answer.status(),
                at - sent
            ));
            Ok((at, answer.status()))
        }
        Err(error) => {
            let at = record.now();
            let why = match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => "no answer".to_string(),
                _ => error.to_string(),
            };
            record.line(&format!("query {}: {why} after {:.0} ms", query.id, at - sent));
            Err((at, why))
        }
    };
    Some(End { sent, answer })
}
