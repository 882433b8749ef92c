//! Special clients of soak runs, each in a thread of its own until the run is over.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::draw::ClientKind;
use crate::clients::{self, End, Query, CLASSES};
use crate::demo::World;
use crate::stores;
use crate::Api;

/// Timeout of clients that send complete requests, in milliseconds.
const TIMEOUT_MS: f64 = 4000.0;
/// Time from connecting in which an incomplete request must get an error or a close: 3 s, and 0.4 s for slow machines.
const ERROR_WITHIN: Duration = Duration::from_millis(3000 + 400);
/// Requests that a flooding client sends at once.
const FLOOD_REQUESTS: usize = 100;
/// Connections that a crowding client opens.
const CROWD_CONNECTIONS: usize = 150;
/// Time after an orderly close in which a reset shows that the peer left bytes unread.
const RESET_SEEN_WITHIN: Duration = Duration::from_millis(1200);

/// A special client of one aggregator.
pub struct Client {
    /// All parts of the run.
    pub world: Arc<World>,
    /// Number and address of the aggregator.
    pub to: (usize, SocketAddr),
    /// API that the client uses.
    pub api: Api,
    /// Seed of the run.
    pub seed: u64,
    /// Number of the client, which is part of the ids of its queries.
    pub no: usize,
}

impl Client {
    /// Acts as a client of the given kind until the run is over.
    pub fn run(&self, kind: ClientKind) {
        let mut random = fastrand::Rng::with_seed(self.seed ^ (self.no as u64) << 32 ^ 0x9e57);
        while !self.world.over.load(Ordering::Acquire) {
            // A failure to connect is not checked: the aggregator may be shutting down.
            let done = match kind {
                ClientKind::Keeps => self.send_in_sequence(&mut random),
                ClientKind::Pipelines => self.send_batch(&mut random, 2..=5, TIMEOUT_MS),
                ClientKind::Floods => {
                    self.send_batch(&mut random, FLOOD_REQUESTS..=FLOOD_REQUESTS, TIMEOUT_MS)
                }
                ClientKind::Hurries => {
                    let wait = 5.0 + random.f64() * 50.0;
                    self.send_batch(&mut random, 1..=2, wait)
                }
                ClientKind::Dribbles => self.send_byte_by_byte(&mut random),
                ClientKind::Stops => self.send_partial(&mut random),
                ClientKind::Leaves => self.close_early(&mut random),
                ClientKind::Crowds => self.open_connections(),
                ClientKind::ReadsSlowly => self.read_slowly(&mut random),
            };
            let pause = if done.is_ok() { random.u64(20..300) } else { 100 };
            thread::sleep(Duration::from_millis(pause));
        }
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(self.to.1)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(12)))?;
        Ok(stream)
    }

    fn draw_query(&self, random: &mut fastrand::Rng) -> Query {
        let shards = self.world.stores.len() as u32 * 2;
        let no = self.world.special_queries.fetch_add(1, Ordering::Relaxed);
        let query = clients::draw_query(random, no, shards, self.api);
        Query { id: format!("g{}-{}", self.no, query.id), ..query }
    }

    /// Registers a query with the checker just before its last byte is written, and returns the time.
    fn register(&self, query: &Query, wait: f64) -> f64 {
        let now = self.world.clock.now();
        let shards = query.parts.iter().map(|(shard, _)| *shard);
        self.world.checker.register_query(query.id.clone(), shards, CLASSES[query.class].safe);
        self.world.checker.record_client_deadline(&query.id, now, wait);
        now
    }

    /// Reads the answer to a query, checks it, and returns whether the connection can still be used.
    fn read_and_check(&self, read: &mut BufReader<&TcpStream>, query: &Query, asked: (f64, f64)) -> bool {
        let result = clients::read_answer(read);
        let error = result.as_ref().err().map(|error| error.kind());
        let (end, mut answer) = clients::classify((self.to.0, self.api), query, asked, result);
        answer.answered_at = self.world.clock.now();
        if end == End::Lost {
            if self.was_read(read.get_ref(), error) {
                self.world.checker.check_unanswered(&answer);
            }
            return false;
        }
        let seed = self.seed;
        self.world.checker.check_answer(&answer, |part| stores::value(seed, part));
        self.world.counts.record_end(query, end, answer.answered_at - answer.asked_at);
        true
    }

    /// Returns whether a request without an answer was read by the aggregator, or timed out. Otherwise the connection
    /// was reset over unread bytes, and a client would retry on another one.
    fn was_read(&self, stream: &TcpStream, error: Option<io::ErrorKind>) -> bool {
        match error {
            Some(io::ErrorKind::UnexpectedEof) => {
                let until = Instant::now() + RESET_SEEN_WITHIN;
                while Instant::now() < until {
                    if !matches!(stream.take_error(), Ok(None)) {
                        return false;
                    }
                    thread::sleep(Duration::from_millis(20));
                }
                true
            }
            Some(io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => true,
            _ => false,
        }
    }

    fn send_in_sequence(&self, random: &mut fastrand::Rng) -> io::Result<()> {
        let stream = self.connect()?;
        let mut read = BufReader::new(&stream);
        // Goes on until the aggregator closes the connection, even while the aggregator is shutting down.
        while !self.world.over.load(Ordering::Acquire) {
            let query = self.draw_query(random);
            let text = clients::request(self.api, &query, TIMEOUT_MS, "");
            let asked = self.register(&query, TIMEOUT_MS);
            (&stream).write_all(text.as_bytes())?;
            if !self.read_and_check(&mut read, &query, (asked, TIMEOUT_MS)) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(random.u64(..400)));
        }
        Ok(())
    }

    fn send_batch(
        &self,
        random: &mut fastrand::Rng,
        count: std::ops::RangeInclusive<usize>,
        wait: f64,
    ) -> io::Result<()> {
        let stream = self.connect()?;
        let queries: Vec<_> = (0..random.usize(count)).map(|_| self.draw_query(random)).collect();
        let text: String = queries.iter().map(|query| clients::request(self.api, query, wait, "")).collect();
        let asked: Vec<_> = queries.iter().map(|query| self.register(query, wait)).collect();
        (&stream).write_all(text.as_bytes())?;
        let mut read = BufReader::new(&stream);
        for (query, asked) in queries.iter().zip(asked) {
            if !self.read_and_check(&mut read, query, (asked, wait)) {
                break;
            }
        }
        Ok(())
    }

    fn send_byte_by_byte(&self, random: &mut fastrand::Rng) -> io::Result<()> {
        let stream = self.connect()?;
        let query = self.draw_query(random);
        let text = clients::request(self.api, &query, TIMEOUT_MS, "");
        // Sends the whole request within the time limit of a first request.
        let pause = Duration::from_micros(1_000_000 / text.len() as u64);
        let (last, first) = text.as_bytes().split_last().ok_or(io::ErrorKind::InvalidInput)?;
        for byte in first {
            (&stream).write_all(&[*byte])?;
            thread::sleep(pause);
        }
        let asked = self.register(&query, TIMEOUT_MS);
        (&stream).write_all(&[*last])?;
        self.read_and_check(&mut BufReader::new(&stream), &query, (asked, TIMEOUT_MS));
        Ok(())
    }

    fn send_partial(&self, random: &mut fastrand::Rng) -> io::Result<()> {
        let began = Instant::now();
        let stream = self.connect()?;
        let query = self.draw_query(random);
        let text = clients::request(self.api, &query, TIMEOUT_MS, "");
        (&stream).write_all(&text.as_bytes()[..random.usize(1..text.len() - 1)])?;
        let result = clients::read_answer(&mut BufReader::new(&stream));
        let late = began.elapsed() > ERROR_WITHIN;
        if late || result.is_ok_and(|(status, _)| status < 400) {
            let took = began.elapsed().as_millis();
            self.world.checker.report_violation(
                "owed",
                &format!("incomplete request {} was answered or closed after {took} ms", query.id),
            );
        }
        Ok(())
    }

    fn close_early(&self, random: &mut fastrand::Rng) -> io::Result<()> {
        let stream = self.connect()?;
        let query = self.draw_query(random);
        let text = clients::request(self.api, &query, TIMEOUT_MS, "");
        self.register(&query, TIMEOUT_MS);
        (&stream).write_all(text.as_bytes())?;
        let stays = if random.bool() { 0 } else { random.u64(..300) };
        thread::sleep(Duration::from_millis(stays));
        drop(stream);
        self.world.checker.record_client_left(&query.id, self.world.clock.now());
        Ok(())
    }

    fn open_connections(&self) -> io::Result<()> {
        let held: Vec<_> = (0..CROWD_CONNECTIONS).filter_map(|_| self.connect().ok()).collect();
        thread::sleep(Duration::from_secs(2));
        drop(held);
        Ok(())
    }

    fn read_slowly(&self, random: &mut fastrand::Rng) -> io::Result<()> {
        let stream = self.connect()?;
        let query = self.draw_query(random);
        let text = clients::request(self.api, &query, TIMEOUT_MS, "Connection: close\r\n");
        let asked = self.register(&query, TIMEOUT_MS);
        (&stream).write_all(text.as_bytes())?;
        let mut bytes = Vec::new();
        let mut byte = [0];
        while matches!((&stream).read(&mut byte), Ok(1)) {
            bytes.push(byte[0]);
            thread::sleep(Duration::from_micros(300));
        }
        let result = clients::read_answer(&mut bytes.as_slice());
        let whole = result.is_ok();
        let (end, answer) = clients::classify((self.to.0, self.api), &query, (asked, TIMEOUT_MS), result);
        if whole {
            // The answer has no time of its own here: reading slowly must not make it late.
            let seed = self.seed;
            self.world.checker.check_answer(&answer, |part| stores::value(seed, part));
            self.world.counts.record_end(&query, end, 0.0);
        } else if bytes.is_empty() && self.was_read(&stream, Some(io::ErrorKind::UnexpectedEof)) {
            self.world.checker.check_unanswered(&answer);
        }
        Ok(())
    }
}
