//! The run stores of the scale run: one process answers for all run stores, each part after the same fixed time.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::json;

use super::roles::{RoleCommand, RoleHandler, Setup};
use super::wire::{add, Traffic, TrafficCounter};
use crate::stores::{frame, value};

/// The state shared by all connections.
struct Stores {
    executor: Rc<LocalExecutor<'static>>,
    work: Duration,
    seed: u64,
    traffic: TrafficCounter,
    connections: Cell<u64>,
    parts: Cell<u64>,
}

/// An answer frame and the time at which it is sent.
type ScheduledAnswer = (Instant, Vec<u8>);

impl Stores {
    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let stores = self.clone();
            let serving = async move {
                stores.connections.set(stores.connections.get() + 1);
                // Errors are ignored: they mean that the aggregator has disconnected.
                let _ = stores.serve(stream).await;
            };
            self.executor.spawn(serving).detach();
        }
    }

    /// Reads request frames from a connection until it is closed.
    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (sender, answers) = async_channel::unbounded();
        self.executor.spawn(write(stream.clone(), answers, self.traffic.clone())).detach();
        let (mut buffer, mut bytes) = (Vec::new(), [0; 4096]);
        loop {
            let read = stream.read(&mut bytes).await?;
            if read == 0 {
                return Ok(());
            }
            add(&self.traffic, Traffic { bytes_in: read as u64, ..Traffic::default() });
            buffer.extend_from_slice(&bytes[..read]);
            let mut at = 0;
            while let Some(length) =
                buffer[at..].first_chunk().map(|length| u32::from_le_bytes(*length) as usize)
            {
                let Some(rest) = buffer.get(at + 4..at + 4 + length) else { break };
                add(&self.traffic, Traffic { messages_in: 1, ..Traffic::default() });
                self.handle_frame(rest, &sender)?;
                at += 4 + length;
            }
            buffer.drain(..at);
        }
    }

    /// Handles a request frame: schedules the answer to a part, a ping or a load query.
    fn handle_frame(&self, bytes: &[u8], answers: &Sender<ScheduledAnswer>) -> io::Result<()> {
        let now = Instant::now();
        let answer = match bytes.first() {
            Some(b'1') => {
                let head = bytes[1..].split(|byte| *byte == b'\n').next().unwrap_or_default();
                let head = std::str::from_utf8(head).map_err(|_| io::ErrorKind::InvalidData)?;
                let part = head.split(' ').next().unwrap_or_default();
                self.parts.set(self.parts.get() + 1);
                let answer = format!("{part} S 7 util=0.30,qps=3\n{}", value(self.seed, part));
                (now + self.work, frame(b'5', answer.as_bytes()))
            }
            Some(b'3') => (now, frame(b'3', b"S")),
            Some(b'4') => (now, frame(b'4', b"util=0.30,qps=3")),
            // A cancelled part is answered all the same, as if its answer were already on the way.
            _ => return Ok(()),
        };
        answers.try_send(answer).map_err(io::Error::other)
    }
}

/// Writes answers in the order of their parts, each at its scheduled time; answers that are ready at the same time
/// share one write.
async fn write(mut stream: TcpStream, answers: Receiver<ScheduledAnswer>, traffic: TrafficCounter) {
    let mut next = answers.recv().await.ok();
    while let Some((send_at, mut bytes)) = next {
        Timer::at(send_at).await;
        let (mut messages, now) = (1, Instant::now());
        next = answers.try_recv().ok();
        while let Some((_, more)) = next.take_if(|(send_at, _)| *send_at <= now) {
            bytes.extend_from_slice(&more);
            messages += 1;
            next = answers.try_recv().ok();
        }
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        add(
            &traffic,
            Traffic { messages_out: messages, bytes_out: bytes.len() as u64, ..Traffic::default() },
        );
        if next.is_none() {
            next = answers.recv().await.ok();
        }
    }
}

/// Starts the run stores and returns the address that they share.
pub async fn start(
    setup: &Setup,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<(Vec<SocketAddr>, RoleHandler)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let stores = Rc::new(Stores {
        executor: executor.clone(),
        work: Duration::from_secs_f64(setup.work_ms / 1000.0),
        seed: setup.seed,
        traffic: TrafficCounter::default(),
        connections: Cell::new(0),
        parts: Cell::new(0),
    });
    executor.spawn(stores.clone().accept(listener)).detach();
    let handler = Box::new(move |command| match command {
        RoleCommand::Begin(_) => json!(true),
        RoleCommand::Report | RoleCommand::End => {
            json!({"traffic": stores.traffic.get(), "parts": stores.parts.get(),
                "connections": stores.connections.get()})
        }
    });
    Ok((vec![address], handler))
}
