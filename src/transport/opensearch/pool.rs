//! The connections to one run store and the jobs that wait for them.

use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use async_channel::{Receiver, Sender};

use super::request_ids::RequestIds;
use crate::core::{Call, CallNo};
use crate::log::Reason;
use crate::transport::Endpoint;

/// A request to a run store.
pub enum Job {
    /// A search of one shard.
    Search(Call),
    /// A probe.
    Probe(CallNo),
}

impl Job {
    /// Returns the number of the attempt or the probe.
    pub fn no(&self) -> CallNo {
        match self {
            Job::Search(call) => call.no,
            Job::Probe(no) => *no,
        }
    }

    /// Returns the id that the request carries. All attempts of all parts of a query have the client's id of it.
    pub fn request_id(&self) -> Cow<'_, str> {
        match self {
            Job::Search(call) => call.query.as_str().into(),
            Job::Probe(no) => format!("probe-{}", no.0).into(),
        }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It is being established.
    Connecting,
    /// It has no job.
    Idle,
    /// It was idle, and is being closed to make room.
    Closing,
    /// It has this job, whose request is not completely written.
    Sending(CallNo),
    /// It has this job, whose request is completely written.
    Sent(CallNo),
}

/// A connection, which carries one job at a time.
pub struct Connection {
    /// What it is doing.
    pub stage: Cell<Stage>,
    /// The ids of its requests.
    pub request_ids: RefCell<RequestIds>,
    /// Passes it the next job.
    pub jobs: (Sender<Job>, Receiver<Job>),
    /// Ends it at once.
    pub abort: (Sender<Reason>, Receiver<Reason>),
    /// Shuts down only the write side while a job is in progress.
    pub shutdown_write: (Sender<()>, Receiver<()>),
    /// Whether the write side was shut down.
    pub write_shut_down: Cell<bool>,
}

impl Connection {
    /// Returns a connection that is about to be established.
    pub fn new() -> Self {
        Connection {
            stage: Cell::new(Stage::Connecting),
            request_ids: RefCell::default(),
            jobs: async_channel::bounded(1),
            abort: async_channel::bounded(1),
            shutdown_write: async_channel::bounded(1),
            write_shut_down: Cell::new(false),
        }
    }

    /// Closes an idle connection.
    pub fn close_idle(&self, reason: Reason) {
        self.stage.set(Stage::Closing);
        let _ = self.abort.0.try_send(reason);
    }
}

/// A run store with its connections and the jobs that wait for one.
#[derive(Default)]
pub struct RunStoreEntry {
    /// The address, and when the process there started.
    pub endpoint: Option<Endpoint>,
    /// Whether nothing new may be sent.
    pub retired: bool,
    /// The jobs that no connection has, oldest first.
    pub queue: VecDeque<Job>,
    /// The connections.
    pub connections: Vec<Rc<Connection>>,
}

impl RunStoreEntry {
    /// Returns the first connection in a stage.
    pub fn connection_in(&self, stage: Stage) -> Option<&Rc<Connection>> {
        self.connections.iter().find(|connection| connection.stage.get() == stage)
    }

    /// Removes and returns the oldest job that an idle connection may carry, and that connection.
    pub fn take_assignable(&mut self) -> Option<(Job, Rc<Connection>)> {
        self.connection_in(Stage::Idle)?;
        let idle = |connection: &&Rc<Connection>| connection.stage.get() == Stage::Idle;
        let (position, connection) = self.queue.iter().enumerate().find_map(|(position, job)| {
            let allowed = |c: &&Rc<Connection>| idle(c) && c.request_ids.borrow().allow(&job.request_id());
            Some((position, self.connections.iter().find(allowed)?.clone()))
        })?;
        Some((self.queue.remove(position)?, connection))
    }
}
