//! Queries a DNS server.

use std::cell::Cell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use async_net::UdpSocket;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::dns::{self, Name, Question, Record, RecordType, Response};
use crate::core::drive::millis;
use crate::dns_pacing::RoundTripTime;
use crate::http::client::within;
use crate::net::{retry_transient, Stream};
use crate::transport::duration_from_millis;

/// How long a query lasts, with all its tries.
const QUERY_LIFETIME: Duration = Duration::from_millis(3000);
/// The maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 4096;

/// Queries one DNS server.
pub struct Resolver {
    server: SocketAddr,
    round_trip_time: Cell<RoundTripTime>,
}

impl Resolver {
    /// Creates a resolver that uses this server.
    pub fn new(server: SocketAddr) -> Self {
        Resolver { server, round_trip_time: Cell::default() }
    }

    /// Returns the address of the server.
    pub fn server(&self) -> SocketAddr {
        self.server
    }

    /// Returns how long the server's answers take.
    pub fn round_trip_time(&self) -> RoundTripTime {
        self.round_trip_time.get()
    }

    /// Returns how long to wait for an answer before the query is repeated.
    pub fn retry_timeout(&self) -> Duration {
        duration_from_millis(self.round_trip_time().retry_timeout())
    }

    /// Queries the records of a name, and returns those of the answer and those sent along with it. Nothing is returned
    /// if the server knows that the name has no such records. The query is sent over UDP, and over TCP if the response
    /// is truncated.
    ///
    /// # Errors
    /// Returns an error unless the server has answered which records there are.
    pub async fn query(&self, name: &Name, record_type: RecordType) -> io::Result<Vec<Record>> {
        let question = Question { name: name.clone(), record_type };
        let response = within(QUERY_LIFETIME, self.exchange(&question)).await?;
        response.into_records(&question).map_err(invalid_data)
    }

    async fn exchange(&self, question: &Question) -> io::Result<Response> {
        let id = fastrand::u16(..);
        let query = dns::encode_query(id, question).ok_or(io::ErrorKind::InvalidInput)?;
        let response = self.exchange_udp(id, question, &query).await?;
        if !response.truncated {
            return Ok(response);
        }
        let response = self.exchange_tcp(&query).await?;
        if response.truncated || !response.is_response_to(id, question) {
            return Err(invalid_data("a truncated or wrong response over TCP"));
        }
        Ok(response)
    }

    /// Sends a query and repeats it while there is no response. As all tries are sent from the same socket with the
    /// same id, a late response to an earlier one counts too.
    async fn exchange_udp(&self, id: u16, question: &Question, query: &[u8]) -> io::Result<Response> {
        let unspecified: IpAddr = if self.server.is_ipv4() { [0; 4].into() } else { [0u16; 8].into() };
        let socket = UdpSocket::bind((unspecified, 0)).await?;
        socket.connect(self.server).await?;
        let first_sent_at = Instant::now();
        let mut timeout = self.retry_timeout();
        loop {
            retry_transient(|| socket.send(query)).await?;
            match within(timeout, receive(&socket, id, question)).await {
                Err(error) if error.kind() == io::ErrorKind::TimedOut => timeout *= 2,
                Err(error) => return Err(error),
                Ok(response) => {
                    let mut round_trip_time = self.round_trip_time.get();
                    round_trip_time.record(millis(first_sent_at.elapsed()));
                    self.round_trip_time.set(round_trip_time);
                    return Ok(response);
                }
            }
        }
    }

    async fn exchange_tcp(&self, query: &[u8]) -> io::Result<Response> {
        let mut stream = Stream::connect(self.server).await?;
        let length = (query.len() as u16).to_be_bytes();
        stream.write_all(&[&length[..], query].concat()).await?;
        let mut length = [0; 2];
        stream.read_exact(&mut length).await?;
        let mut bytes = vec![0; usize::from(u16::from_be_bytes(length))];
        stream.read_exact(&mut bytes).await?;
        dns::decode_response(&bytes).ok_or_else(|| invalid_data("a malformed response over TCP"))
    }
}

/// Receives the response to a query. Datagrams that are malformed or belong to no such query are ignored.
async fn receive(socket: &UdpSocket, id: u16, question: &Question) -> io::Result<Response> {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let count = socket.recv(&mut bytes).await?;
        let response = dns::decode_response(&bytes[..count]);
        if let Some(response) = response.filter(|response| response.is_response_to(id, question)) {
            return Ok(response);
        }
    }
}

fn invalid_data(why: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.into())
}
