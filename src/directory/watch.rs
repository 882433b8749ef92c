//! Watches the discovery service by long polling: one call after the other on a keep-alive connection.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

use super::{Reload, ReloadTarget};
use crate::api::Millis;
use crate::asking::{CALL_TIMEOUT, WATCH_GRACE, WATCH_WAIT};
use crate::config::Config;
use crate::core::drive::{Directory, Driver};
use crate::core::DirectoryUpdate;
use crate::directory::list::{List, MAX_LIST_BYTES};
use crate::http::client::{within, Client};
use crate::http::parse::Message;
use crate::http::write;
use crate::log::{self, Reason};

/// The time-out for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// A watch on the discovery service. The core starts it, and starts it again after each failure.
pub struct Watch {
    driver: Rc<Driver>,
    address: ReloadTarget<SocketAddr>,
    /// The version of the list received last; `None` if there is none.
    index: Cell<Option<u64>>,
    /// Whether the task of the watch runs.
    running: Cell<bool>,
    /// Whether the last call was a long poll that timed out without an answer.
    unanswered: Cell<bool>,
}

impl Watch {
    /// Creates a watch that does not run yet. It continues from the known version of the list, if there is one.
    pub fn new(driver: Rc<Driver>, address: SocketAddr, known: Option<u64>) -> Rc<Self> {
        let address = ReloadTarget::new(address);
        Rc::new(Watch {
            driver,
            address,
            index: Cell::new(known),
            running: Cell::new(false),
            unanswered: Cell::new(false),
        })
    }

    async fn run(self: Rc<Self>) {
        let (address, why) = loop {
            let address = self.address.acknowledge();
            let mut client = None;
            let followed = async { Some(self.follow(address, &mut client).await) };
            let changed = async {
                self.address.changed().await;
                None
            };
            // A reload drops the call in progress, as the old address may never answer it. `changed` is polled
            // first: an answer of the old address, applied after the reload, would restore that address's version.
            match future::or(changed, followed).await {
                Some(why) => break (address, why),
                None => self.log_end(address, Reason::Retired, "the address of discovery has changed"),
            }
        };
        self.log_end(address, why.kind().into(), &why.to_string());
        // The core decides when to start again.
        self.running.set(false);
        self.driver.apply_directory_update(if self.unanswered.get() {
            DirectoryUpdate::Silent
        } else {
            DirectoryUpdate::Failed
        });
    }

    /// Logs the end of a connection to discovery.
    fn log_end(&self, address: SocketAddr, reason: Reason, why: &str) {
        log::ended("discovery", Some(address), reason, format_args!("index={:?} {why}", self.index.get()));
    }

    /// Follows changes of the list until a call fails, and returns the error.
    async fn follow(&self, address: SocketAddr, client: &mut Option<Client>) -> io::Error {
        loop {
            let reused = client.is_some();
            let mut answer = self.call(address, client).await;
            // The service may have closed the keep-alive connection between calls, which is not a failure: the call
            // is repeated on a new connection. An error status is not retried at once: it may say that the service
            // is overloaded, and all aggregators would then double their calls at the same time.
            if reused && answer.as_ref().is_err_and(is_connection_lost) {
                self.log_end(address, Reason::PeerClosed, "the keep-alive connection was closed");
                *client = None;
                answer = self.call(address, client).await;
            }
            match answer {
                Ok(list) => {
                    self.index.set(Some(list.index));
                    self.driver.apply_directory_update(list.into_update());
                }
                Err(error) => return error,
            }
        }
    }

    /// Makes one call: a long poll for changes, or a call for the whole list if no version is known.
    async fn call(&self, address: SocketAddr, client: &mut Option<Client>) -> io::Result<List> {
        self.unanswered.set(false);
        let open = client.take();
        // The long poll both returns changes that were missed and begins the watch. A separate call for missed changes
        // would double the load on discovery when all aggregators start at the same time.
        let answer = match self.index.get() {
            None => whole_list(address, open).await,
            Some(index) => {
                let changes = within(ms(WATCH_WAIT + WATCH_GRACE), changes(address, open, index)).await;
                let timed_out = changes.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::TimedOut);
                self.unanswered.set(timed_out);
                changes
            }
        };
        let (open, answer) = answer?;
        if answer.start.1 != "200" {
            return Err(io::Error::other(format!("status {}", answer.start.1)));
        }
        let list = serde_json::from_slice(&answer.body)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))?;
        if answer.keep_alive {
            *client = Some(open);
        } else {
            self.log_end(address, Reason::Done, "discovery did not keep the connection open");
        }
        Ok(list)
    }
}

/// A response and the connection on which it arrived.
type ResponseAndClient = (Client, Message);

/// Asks for the changes since version `index` and waits until there are any. The time spent on connecting is subtracted
/// from the wait, so that the call ends no later than one on an open connection.
async fn changes(address: SocketAddr, open: Option<Client>, index: u64) -> io::Result<ResponseAndClient> {
    let started = Instant::now();
    let open = connect_unless_open(address, open).await?;
    let wait = ms(WATCH_WAIT).saturating_sub(started.elapsed()).as_millis();
    get(address, open, &format!("/v1/servers?after={index}&wait_ms={wait}")).await
}

/// Asks for the whole list. If the call is not answered within [`CALL`], it may hang, or the service may be slow: the
/// call is made once more on another connection while the first continues, and the first answer of the two is used.
async fn whole_list(address: SocketAddr, open: Option<Client>) -> io::Result<ResponseAndClient> {
    let call =
        |open| async move { get(address, connect_unless_open(address, open).await?, "/v1/servers").await };
    let second_call = async {
        Timer::after(ms(CALL_TIMEOUT)).await;
        match call(None).await {
            Ok(response) => Ok(response),
            // The first call may still be answered.
            Err(_) => future::pending().await,
        }
    };
    within(ms(CALL_TIMEOUT + CALL_TIMEOUT), future::or(call(open), second_call)).await
}

/// Returns the open connection, or connects if there is none.
async fn connect_unless_open(address: SocketAddr, open: Option<Client>) -> io::Result<Client> {
    match open {
        Some(open) => Ok(open),
        None => Client::connect(address, CONNECT_TIMEOUT, MAX_LIST_BYTES).await,
    }
}

/// Sends a GET request and reads the response.
async fn get(address: SocketAddr, mut open: Client, target: &str) -> io::Result<ResponseAndClient> {
    open.write(&write::request("GET", target, &address.to_string(), &[], &[])).await?;
    let answer = open.read().await?;
    Ok((open, answer))
}

fn ms(span: Millis) -> Duration {
    Duration::from_secs_f64(span / 1000.0)
}

/// Returns whether a call failed because its connection was lost, rather than by a bad answer or a time-out.
fn is_connection_lost(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), BrokenPipe | ConnectionAborted | ConnectionReset | UnexpectedEof)
}

impl Directory for Rc<Watch> {
    fn watch(&self) {
        if !self.running.replace(true) {
            self.driver.executor().spawn(self.clone().run()).detach();
        }
    }

    fn version(&self) -> Option<u64> {
        self.index.get()
    }
}

impl Reload for Rc<Watch> {
    fn reload(&self, config: &Config) {
        if config.discovery.is_some_and(|address| self.address.set(address)) {
            // Each discovery service numbers its own versions, so the first call asks for the whole list.
            self.index.set(None);
            self.watch();
        }
    }
}
