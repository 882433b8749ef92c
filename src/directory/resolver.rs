//! Queries a DNS server.

use std::cell::Cell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Instant;

use async_net::UdpSocket;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::dns::{self, Name, Question, Record, RecordType, Response};
use crate::api::Millis;
use crate::core::drive::millis;
use crate::dns_pacing::{RoundTripTime, QUERY_LIFETIME};
use crate::http::client::within;
use crate::net::{retry_transient, Stream};
use crate::transport::duration_from_millis;

/// By how much the wait for an answer grows with each try.
const RETRY_BACKOFF: u32 = 7;
/// The maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 4096;

/// Queries one DNS server.
pub struct Resolver {
    server: SocketAddr,
    round_trip_time: Cell<RoundTripTime>,
    /// When the latest query that was answered had been sent.
    answered_query_sent_at: Cell<Option<Instant>>,
    /// Whether a query for the names of instances is in progress.
    querying_names: Cell<bool>,
}

impl Resolver {
    /// Creates a resolver that uses this server.
    pub fn new(server: SocketAddr) -> Self {
        Resolver {
            server,
            round_trip_time: Cell::default(),
            answered_query_sent_at: Cell::default(),
            querying_names: Cell::default(),
        }
    }

    /// Returns the address of the server.
    pub fn server(&self) -> SocketAddr {
        self.server
    }

    /// Returns how long the server's answers take.
    pub fn round_trip_time(&self) -> RoundTripTime {
        self.round_trip_time.get()
    }

    /// Returns whether the server has responded to a query that was sent after this time.
    pub fn has_answered_since(&self, time: Instant) -> bool {
        self.answered_query_sent_at.get().is_some_and(|sent_at| sent_at > time)
    }

    /// Queries the names of the instances of a service, like [`Resolver::query`].
    ///
    /// # Errors
    /// Returns an error unless the server has answered which names there are.
    pub async fn query_names(&self, service: &Name) -> io::Result<Vec<Record>> {
        self.querying_names.set(true);
        let answer = self.query(service, RecordType::Ptr).await;
        self.querying_names.set(false);
        answer
    }

    /// Queries a name once to find out whether the server responds, unless a query for the names of instances is in
    /// progress that shows it too.
    pub async fn probe(&self, service: &Name) {
        if self.querying_names.get() {
            return;
        }
        let question = Question { name: service.clone(), record_type: RecordType::Ptr };
        let probed = async {
            let (id, socket) = (fastrand::u16(..), self.connect().await?);
            let query = dns::encode_query(id, &question).ok_or(io::ErrorKind::InvalidInput)?;
            let sent_at = Instant::now();
            retry_transient(|| socket.send(&query)).await?;
            receive(&socket, id, &question).await?;
            self.record_response(sent_at);
            Ok(())
        };
        // What matters is recorded with the response.
        let _ = within(duration_from_millis(QUERY_LIFETIME), probed).await;
    }

    /// Records a response to a query that was first sent at this time.
    fn record_response(&self, sent_at: Instant) {
        self.record_round_trip(millis(sent_at.elapsed()));
        self.answered_query_sent_at.set(self.answered_query_sent_at.get().max(Some(sent_at)));
    }

    fn record_round_trip(&self, sample: Millis) {
        let mut round_trip_time = self.round_trip_time.get();
        round_trip_time.record(sample);
        self.round_trip_time.set(round_trip_time);
    }

    async fn connect(&self) -> io::Result<UdpSocket> {
        let unspecified: IpAddr = if self.server.is_ipv4() { [0; 4].into() } else { [0u16; 8].into() };
        let socket = UdpSocket::bind((unspecified, 0)).await?;
        socket.connect(self.server).await?;
        Ok(socket)
    }

    /// Queries the records of a name, and returns those of the answer and those sent along with it. Nothing is returned
    /// if the server knows that the name has no such records. The query is sent over UDP, and over TCP if the response
    /// is truncated.
    ///
    /// # Errors
    /// Returns an error unless the server has answered which records there are.
    pub async fn query(&self, name: &Name, record_type: RecordType) -> io::Result<Vec<Record>> {
        let question = Question { name: name.clone(), record_type };
        let sent_at = Instant::now();
        let response = within(duration_from_millis(QUERY_LIFETIME), self.exchange(&question)).await;
        let timed_out = response.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::TimedOut);
        if timed_out && !self.has_answered_since(sent_at) {
            // The server is slow, not silent on this name. Without a sample, more queries would keep it busy.
            self.record_round_trip(QUERY_LIFETIME);
        }
        response?.into_records(&question).map_err(invalid_data)
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
        let socket = self.connect().await?;
        let first_sent_at = Instant::now();
        let mut timeout = duration_from_millis(self.round_trip_time().retry_timeout());
        loop {
            retry_transient(|| socket.send(query)).await?;
            match within(timeout, receive(&socket, id, question)).await {
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                    timeout *= RETRY_BACKOFF;
                }
                Err(error) => return Err(error),
                Ok(response) => {
                    self.record_response(first_sent_at);
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
